//! Connections to backend servers and to the platform's store.
//!
//! A connection may fall silent without a reset, so each has keep-alive probes and a bound on
//! unacknowledged bytes; and every wait on one has a bound of its own.

use super::head_limit::{HeadLimit, LimitedStream};
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
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged.
const MAX_UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(2_500);
/// Time to open a connection: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body that a call of the system's own reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// An open connection; it closes when this is dropped.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    task: AbortHandle,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Bounds silence on a connection.
pub(crate) fn set_keepalive(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED_TIME)));
    if let Err(error) = set {
        log::warn!("a connection has no bound on silence: {error}");
    }
}

/// Opens a connection.
///
/// # Errors
/// Where nobody answers in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<Channel> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_keepalive(&stream);
    let head_limit = HeadLimit::default();
    let limited = LimitedStream {
        stream,
        head_limit: head_limit.clone(),
    };
    let handshake = http1::Builder::new().handshake(TokioIo::new(limited)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Channel {
        sender,
        head_limit,
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
    pub fn require_ok(self, what: &str) -> Result<Bytes> {
        if self.status == StatusCode::OK {
            return Ok(self.body);
        }
        Err(Error::Answer {
            url: what.into(),
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
        self.head_limit.start();
        let response = self.sender.try_send_request(request).await;
        self.head_limit.finish();
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
        let body = Limited::new(body, MAX_BODY_BYTES);
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
pub fn build_request(
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
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Reply> {
    let url = request.uri().to_string();
    let call_error = |reason: String| Error::Call {
        url: url.clone(),
        reason,
    };
    let call = async {
        let mut channel = connect(address)
            .await
            .map_err(|error| call_error(error.to_string()))?;
        channel.call(request).await
    };
    timeout(time_limit, call)
        .await
        .unwrap_or_else(|_| Err(call_error(format!("no answer within {time_limit:?}"))))
}
