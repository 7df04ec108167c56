//! Connections to backend servers and to the platform's store.
//!
//! A connection may fall silent without a reset, so each has keep-alive probes and a bound on
//! unacknowledged bytes; and every wait on one has a bound of its own.

use super::gauge::{Gauge, Gauged};
use crate::common::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::client::conn::{TrySendError, http1};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time between probes of a connection, and how many may stay unanswered.
const PROBE: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Time to open a connection: a few round trips between regions.
const CONNECT: Duration = Duration::from_millis(250);
/// Largest body that a call of the system's own reads.
const LARGEST: usize = 16 << 20;

/// An open connection; it closes when this is dropped.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    gauge: Gauge,
    task: AbortHandle,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Bounds silence on a connection.
pub(crate) fn guard(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = set {
        log::warn!("a connection has no bound on silence: {error}");
    }
}

/// Opens a connection.
///
/// # Errors
/// Where nobody answers in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<Channel> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    guard(&stream);
    let gauge = Gauge::default();
    let gauged = Gauged {
        stream,
        gauge: gauge.clone(),
    };
    let handshake = http1::Builder::new().handshake(TokioIo::new(gauged)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Channel {
        sender,
        gauge,
        task: task.abort_handle(),
    })
}

/// An answer to a call of the system's own.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    /// The body, where the status is 200.
    ///
    /// # Errors
    /// [`Error::Answer`] with any other status; `of` names what was asked.
    pub fn sound(self, of: &str) -> Result<Bytes> {
        if self.status == StatusCode::OK {
            return Ok(self.body);
        }
        Err(Error::Answer {
            url: of.into(),
            status: self.status.as_u16(),
            text: "see the status".into(),
        })
    }
}

impl Channel {
    /// Waits until it can take a request.
    ///
    /// # Errors
    /// Where it is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether it can take no more requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Where the connection breaks; the error gives the request back if none of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.gauge.await_head();
        let response = self.sender.try_send_request(request).await;
        self.gauge.on_head();
        response
    }

    /// Makes a call and reads its whole answer.
    ///
    /// # Errors
    /// Where the connection breaks; the call may have been carried out.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Reply> {
        let url = request.uri().to_string();
        let failed = |error: &dyn Display| Error::Call {
            url: url.clone(),
            reason: error.to_string(),
        };
        self.ready().await.map_err(|error| failed(&error))?;
        let response = self.send(request).await;
        let response = response.map_err(|error| failed(error.error()))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, LARGEST);
        let body = body.collect().await.map_err(|error| failed(&error))?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// A request of the system's own.
#[must_use]
pub fn request(
    method: Method,
    host: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let has_body = !body.is_empty();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = host.to_string().parse() {
        headers.insert("host", host);
    }
    if has_body && let Ok(kind) = "application/json".parse() {
        headers.insert("content-type", kind);
    }
    request
}

/// Opens a connection, makes one call and closes it, all within `longest`.
///
/// # Errors
/// Where no whole answer came in time; the call may have been carried out.
pub async fn once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    longest: Duration,
) -> Result<Reply> {
    let url = request.uri().to_string();
    let lost = |reason: String| Error::Call {
        url: url.clone(),
        reason,
    };
    let call = async {
        let mut channel = connect(address)
            .await
            .map_err(|error| lost(error.to_string()))?;
        channel.call(request).await
    };
    timeout(longest, call)
        .await
        .unwrap_or_else(|_| Err(lost(format!("no answer within {longest:?}"))))
}
