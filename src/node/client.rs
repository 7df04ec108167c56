//! Calls over HTTP to the platform and to backend servers.

use crate::common::*;
use attohttpc::header::HeaderName;
use attohttpc::{Method, ProxySettings, RequestBuilder, ResponseReader};
use std::io::Read;

/// Longest answer that is read whole, in bytes.
pub const MAX_ANSWER: u64 = 16 << 20;
/// Statuses that may end a call; others that can be parsed belong to no class.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: no byte left.
    Refused,
    /// The call may have taken effect.
    Lost(String),
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the connection was refused"),
            Self::Lost(reason) => f.write_str(reason),
        }
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// Body as JSON, null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

/// One call to be made.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: Method,
    pub address: SocketAddr,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
    /// Longest silence while the answer is read.
    pub silence: Duration,
    /// Longest time for the whole call; none for streams.
    pub whole: Option<Duration>,
}

impl<'a> Call<'a> {
    /// A call without headers that takes at most `whole`.
    #[must_use]
    pub const fn new(
        method: Method,
        address: SocketAddr,
        path: &'a str,
        body: &'a str,
        whole: Duration,
    ) -> Self {
        Self {
            method,
            address,
            path,
            headers: &[],
            body,
            silence: whole,
            whole: Some(whole),
        }
    }

    /// Makes the call and hands out the body as it comes.
    ///
    /// # Errors
    /// [`Failure::Refused`] where nothing was sent, [`Failure::Lost`] otherwise.
    pub fn open(&self) -> Result<(u16, ResponseReader), Failure> {
        let url = format!("http://{}{}", self.address, self.path);
        let mut request = RequestBuilder::new(self.method.clone(), url)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(CONNECT.min(self.silence))
            .read_timeout(self.silence);
        if let Some(whole) = self.whole {
            request = request.timeout(whole);
        }
        for (name, value) in self.headers {
            let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else {
                continue;
            };
            request = request
                .try_header(name, *value)
                .map_err(|error| failure(&error))?;
        }
        let request = request.text(self.body);
        let response = request.send().map_err(|error| failure(&error))?;
        let (status, _, reader) = response.split();
        let status = status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(Failure::Lost(format!(
                "the answer has the invalid status {status}: check the server"
            )));
        }
        Ok((status, reader))
    }

    /// Makes the call and reads the whole answer.
    ///
    /// # Errors
    /// As [`Call::open`]; an answer that is cut short or too long is lost too.
    pub fn send(&self) -> Result<Answer, Failure> {
        let (status, reader) = self.open()?;
        let mut body = String::new();
        let read = reader.take(MAX_ANSWER + 1).read_to_string(&mut body);
        let read = read.map_err(|error| Failure::Lost(error.to_string()))?;
        if read as u64 > MAX_ANSWER {
            return Err(Failure::Lost("the answer is too long".into()));
        }
        Ok(Answer { status, body })
    }
}

fn failure(error: &attohttpc::Error) -> Failure {
    use std::io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable};
    if let attohttpc::ErrorKind::Io(io) = error.kind()
        && matches!(
            io.kind(),
            ConnectionRefused | HostUnreachable | NetworkUnreachable
        )
    {
        return Failure::Refused;
    }
    Failure::Lost(error.to_string())
}
