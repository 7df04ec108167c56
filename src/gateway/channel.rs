//! Connections to backend servers and to the platform's store.
//!
//! A connection may go silent without a reset. Each therefore uses keep-alive probes and a limit
//! on unacknowledged data, and each wait on one has a time-out of its own.

use super::head_limit::{HeadLimit, LimitedStream};
use crate::common::*;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::client::conn::{TrySendError, http1};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::IpAddr;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Interval between keep-alive probes, and how many may go unanswered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Longest time that sent data may stay unacknowledged.
const MAX_UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(2_500);
/// Time-out for opening a connection: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest response body that the gateway's own calls read.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Longest time in which the body of a response to the gateway's own calls is read.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// An open connection; dropping it closes it.
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

/// Sets keep-alive probes, so that a connection on which nothing is under way is closed when the other end
/// has vanished.
pub(crate) fn set_keepalive(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(stream).set_tcp_keepalive(&probes));
    log_unset(set);
}

/// Sets the limit on unacknowledged data as well, which on Linux also ends connections whose keep-alive probes go
/// unanswered for that long, whatever their number.
fn set_limits(stream: &TcpStream) {
    set_keepalive(stream);
    let limit = Some(MAX_UNACKNOWLEDGED_TIME);
    log_unset(SockRef::from(stream).set_tcp_user_timeout(limit));
}

fn log_unset(set: std::io::Result<()>) {
    if let Err(error) = set {
        log::warn!("keep-alive could not be set on a connection: {error}");
    }
}

/// Opens a connection.
///
/// # Errors
/// If the server does not accept it in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<Channel> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    start(stream, address).await
}

/// Opens a connection from one of this machine's addresses, by which a firewall can tell the instances
/// apart.
///
/// # Errors
/// If the server does not accept it in time.
pub async fn connect_from(source: IpAddr, address: SocketAddr) -> std::io::Result<Channel> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((source, 0).into())?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    start(stream, address).await
}

async fn start(stream: TcpStream, address: SocketAddr) -> std::io::Result<Channel> {
    set_limits(&stream);
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

/// Response to one of the gateway's own calls.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    /// Returns the body if the status is 200.
    ///
    /// # Errors
    /// [`Error::Answer`] with any other status; `what` names the requested resource.
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
    /// Waits until the connection can accept a request.
    ///
    /// # Errors
    /// If it is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether the connection accepts no more requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// If the connection breaks; the error contains the request if none of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.start();
        let response = self.sender.try_send_request(request).await;
        self.head_limit.finish();
        response
    }

    /// Makes a call and reads the complete response.
    ///
    /// # Errors
    /// If the connection breaks; the call may have been executed.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Reply> {
        self.begin(request).await?.read(MAX_READ_TIME).await
    }

    /// Makes a call and waits for the head of its response.
    ///
    /// # Errors
    /// If the connection breaks; the call may have been executed.
    pub async fn begin(&mut self, request: Request<Full<Bytes>>) -> Result<BegunReply> {
        let url = request.uri().to_string();
        let failed = |error: &dyn Display| call_error(&url, error);
        self.ready().await.map_err(|error| failed(&error))?;
        let response = self.send(request).await;
        let response = response.map_err(|error| failed(error.error()))?;
        Ok(BegunReply { url, response })
    }
}

/// Response whose head has arrived.
#[derive(Debug)]
pub struct BegunReply {
    url: String,
    response: Response<Incoming>,
}

impl BegunReply {
    /// Reads the body. A large one may take long over a slow link: only a pause of more than
    /// `max_pause`, or more than [`MAX_READ_TIME`] in all, ends the call.
    ///
    /// # Errors
    /// If the connection breaks or the body stalls; the call may have been executed.
    pub async fn read(self, max_pause: Duration) -> Result<Reply> {
        let failed = |error: &dyn Display| call_error(&self.url, error);
        let (head, body) = self.response.into_parts();
        let mut body = Limited::new(body, MAX_BODY_BYTES);
        let mut bytes = BytesMut::new();
        let reading = async {
            while let Some(frame) = timeout(max_pause, body.frame())
                .await
                .map_err(|_| failed(&format!("no more of the body within {max_pause:?}")))?
            {
                let frame = frame.map_err(|error| failed(&error))?;
                bytes.extend(frame.into_data());
            }
            Ok(())
        };
        timeout(MAX_READ_TIME, reading).await.unwrap_or_else(|_| {
            Err(failed(&format!(
                "body not complete within {MAX_READ_TIME:?}"
            )))
        })?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: bytes.freeze(),
        })
    }
}

fn call_error(url: &str, reason: &dyn Display) -> Error {
    Error::Call {
        url: url.into(),
        reason: reason.to_string(),
    }
}

/// Builds a request for one of the gateway's own calls.
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

/// Opens a connection and sends a request; returns once the head of its response has arrived. The
/// connection must be kept until the response is read.
///
/// # Errors
/// If there is no connection or no response; the call may have been executed.
pub async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Channel, BegunReply)> {
    let url = request.uri().to_string();
    let mut channel = connect(address)
        .await
        .map_err(|error| call_error(&url, &error))?;
    let begun = channel.begin(request).await?;
    Ok((channel, begun))
}

/// Opens a connection, makes one call and closes it. `pause_limit` is for the answer to begin, and
/// for pauses in it.
///
/// # Errors
/// If no complete response arrived within `time_limit`; the call may have been executed.
pub async fn fetch_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    pause_limit: Duration,
    time_limit: Duration,
) -> Result<Reply> {
    let url = request.uri().to_string();
    let late = |limit| call_error(&url, &format!("no response within {limit:?}"));
    let call = async {
        let opened = timeout(pause_limit, open(address, request)).await;
        let (_channel, begun) = opened.unwrap_or_else(|_| Err(late(pause_limit)))?;
        begun.read(pause_limit).await
    };
    let reply = timeout(time_limit, call).await;
    reply.unwrap_or_else(|_| Err(late(time_limit)))
}

/// Opens a connection, makes one call and closes it, all within `time_limit`.
///
/// # Errors
/// If no complete response arrived in time; the call may have been executed.
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Reply> {
    let url = request.uri().to_string();
    let call = async {
        let mut channel = connect(address)
            .await
            .map_err(|error| call_error(&url, &error))?;
        channel.call(request).await
    };
    timeout(time_limit, call).await.unwrap_or_else(|_| {
        Err(call_error(
            &url,
            &format!("no response within {time_limit:?}"),
        ))
    })
}
