//! Callers' connections: requests are read completely, then dispatched; responses go back in
//! order.

use super::body::Body;
use super::channel;
use super::detour::NO_PATH;
use super::forward::{self, Exchange};
use super::origins::Binding;
use super::reply;
use super::traffic::Traffic;
use super::write_limit;
use crate::common::*;
use crate::decide::attempts::Attempts;
use crate::decide::balance::Need;
use crate::platform::request;
use crate::wire::hop::{Hop, Verdict};
use crate::wire::key::digest;
use crate::world::message::Request;
use crate::world::site::{Limits, Site};
use crate::world::workspace::Workspace;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Retry-After while this instance has no configuration yet.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time-out of a request whose caller states none; the route's time-out applies as well.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// During shutdown, a connection that was just opened is kept this long for its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that arrive during shutdown are accepted for this long.
const ACCEPT_GRACE: Duration = Duration::from_millis(100);
/// Buffer space for the request line and other parts of a head, on top of the limit on headers.
const HEAD_SLACK_BYTES: usize = 16 << 10;

/// Who connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    Callers,
    /// Other instances, with requests of their callers.
    Peers,
}

/// Accepts connections until shutdown.
pub async fn serve(
    traffic: Rc<Traffic>,
    listener: TcpListener,
    door: Door,
    closing: watch::Receiver<bool>,
) {
    let mut closing_signal = closing.clone();
    let end = async {
        if closing_signal
            .wait_for(|is_closing| *is_closing)
            .await
            .is_ok()
        {
            sleep(ACCEPT_GRACE).await;
        }
    };
    let mut end = std::pin::pin!(end);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = end.as_mut() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = ConnectionGuard::new(&traffic);
                let connection = run_connection(guard, stream, door, closing.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!("accepting a caller's connection failed: {error}");
                forward::wait_before_retry().await;
            }
        }
    }
}

async fn run_connection(
    guard: ConnectionGuard,
    stream: TcpStream,
    door: Door,
    mut closing: watch::Receiver<bool>,
) {
    let traffic = Rc::clone(&guard.0);
    channel::set_keepalive(&stream);
    let limits = limits(&traffic);
    let first_request = Rc::new(Notify::new());
    let on_first_request = Rc::clone(&first_request);
    let head = usize::try_from(limits.header.0).unwrap_or(usize::MAX / 2);
    let answer = service_fn(move |request| {
        let traffic = Rc::clone(&traffic);
        on_first_request.notify_one();
        async move { Ok::<_, Infallible>(handle(traffic, door, request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(head + HEAD_SLACK_BYTES)
        .serve_connection(TokioIo::new(write_limit::Stream::new(stream)), answer);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = wait_for_closing(&mut closing, &first_request) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection failed: {error}");
    }
}

/// Waits until a connection may close: shutdown has begun, and the first request has arrived or
/// timed out.
async fn wait_for_closing(closing: &mut watch::Receiver<bool>, first_request: &Notify) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        log::debug!("the process is ending; closing callers' connections");
    }
    let _first = timeout(FIRST_REQUEST_TIMEOUT, first_request.notified()).await;
}

impl Traffic {
    /// Whether this instance has no path to the servers of the service to which a request goes.
    fn lacks_path(&self, head: &hyper::http::request::Parts) -> bool {
        let site = self.site.borrow();
        let (Some(site), Some(request)) = (site.as_ref(), request::decode(head)) else {
            return false;
        };
        let route = site.route(&request.host, head.uri.path());
        let need = route.and_then(|route| need(site, &request, route));
        need.is_some_and(|need| self.reach.borrow().is_lost(&need.service))
    }
}

fn limits(traffic: &Traffic) -> Limits {
    let site = traffic.site.borrow();
    site.as_ref()
        .map_or_else(Limits::default, |site| site.limits)
}

/// Counts a caller's connection as open until the last byte of its last response.
struct ConnectionGuard(Rc<Traffic>);

impl ConnectionGuard {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic
            .open_connections
            .set(traffic.open_connections.get() + 1);
        Self(Rc::clone(traffic))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get().saturating_sub(1));
    }
}

async fn handle(
    traffic: Rc<Traffic>,
    door: Door,
    incoming: hyper::Request<Incoming>,
) -> Response<Body> {
    let arrived = traffic.clock.now();
    let (mut head, body) = incoming.into_parts();
    let mut response = match door {
        Door::Callers => serve_request(&traffic, arrived, head, body, None).await,
        Door::Peers => match Hop::take(&mut head.headers) {
            Some(hop) => carry(&traffic, arrived, head, body, hop).await,
            None => deny(
                &traffic,
                "",
                StatusCode::BAD_REQUEST,
                "the request comes from no instance of this version",
            ),
        },
    };
    if traffic.is_stopping()
        && let Ok(close) = "close".parse()
    {
        response.headers_mut().insert("connection", close);
    }
    response
}

async fn serve_request(
    traffic: &Rc<Traffic>,
    arrived: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
    hop: Option<Hop>,
) -> Response<Body> {
    match read_exchange(traffic, arrived, head, body, hop).await {
        Ok(exchange) => Rc::new(exchange).serve().await,
        Err(response) => response,
    }
}

/// Serves a request of another instance, and says in the answer what became of it.
async fn carry(
    traffic: &Rc<Traffic>,
    arrived: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
    hop: Hop,
) -> Response<Body> {
    let declined = if traffic.is_stopping() {
        Some("stopping")
    } else if traffic.lacks_path(&head) {
        Some(NO_PATH)
    } else {
        None
    };
    if let Some(cause) = declined {
        traffic.metrics.on_answer(503, cause);
        let mut response = reply::refusal("", cause, RETRY_AFTER);
        Verdict::Declined.write(response.headers_mut());
        return response;
    }
    let mut response = serve_request(traffic, arrived, head, body, Some(hop)).await;
    reply::verdict(&response).write(response.headers_mut());
    response
}

/// Reads a request completely and finds its route.
async fn read_exchange(
    traffic: &Rc<Traffic>,
    arrived: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
    hop: Option<Hop>,
) -> Result<Exchange, Response<Body>> {
    let Some(site) = traffic.site.borrow().clone() else {
        traffic.metrics.on_answer(503, "no configuration");
        return Err(reply::refusal("", "no configuration", RETRY_AFTER));
    };
    let Some(request) = request::decode(&head) else {
        return Err(deny(
            traffic,
            "",
            StatusCode::BAD_REQUEST,
            "the request has no id",
        ));
    };
    let path = head.uri.path();
    let Some(route) = site.route(&request.host, path).cloned() else {
        let values = json!({"request": request.id, "host": request.host, "path": path, "version": site.version});
        traffic.journal.note("no_route", &values);
        return Err(deny(
            traffic,
            &request.id,
            StatusCode::NOT_FOUND,
            "no route",
        ));
    };
    let time_allowed = request
        .patience
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    let need = need(&site, &request, &route)
        .ok_or_else(|| reply::refusal(&request.id, "the route has no service", RETRY_AFTER))?;
    let body = read_body(traffic, &site, &request, body, time_allowed).await?;
    let deadline = arrived + time_allowed;
    let workspace = key_workspace(&site, &head);
    let shutdown = traffic.shutdown.get();
    if shutdown.is_some_and(|shutdown| !shutdown.accepts(traffic.clock.now(), deadline)) {
        traffic.metrics.on_answer(503, "stopping");
        return Err(reply::refusal(&request.id, "stopping", RETRY_AFTER));
    }
    if let Some(generation) = &need.generation
        && hop.is_none()
    {
        traffic.on_demand(&generation.target, generation.prompt.0);
    }
    let max_servers = hop.map_or(route.most_workers, |hop| hop.max_servers);
    let attempts = Attempts::new(max_servers).as_repeat(hop.is_some_and(|hop| hop.is_repeat));
    Ok(Exchange {
        traffic: Rc::clone(traffic),
        head,
        request,
        body,
        site,
        attempts: RefCell::new(attempts),
        binding: RefCell::new(Binding::Free),
        hop,
        route,
        need,
        workspace,
        units: RefCell::default(),
        arrived,
        deadline,
    })
}

/// Returns the workspace of the request's key; part A replaces this.
fn key_workspace(site: &Site, head: &hyper::http::request::Parts) -> Option<Arc<Workspace>> {
    let value = head.headers.get("authorization")?.to_str().ok()?;
    let key = digest(value.strip_prefix("Token ")?.as_bytes());
    site.workspaces.as_ref()?.of_key(&key).cloned()
}

fn need(site: &Site, request: &Request, route: &crate::world::site::Route) -> Option<Need> {
    let draw = xxh3_64(request.id.as_bytes());
    let fraction = f64::from(u32::try_from(draw >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    let service = route.pick_service(fraction)?.clone();
    let engine = site
        .services
        .get(&service)
        .and_then(|it| it.engine.as_ref());
    Some(Need {
        generation: engine.and(request.generation.clone()),
        service,
        draw,
    })
}

async fn read_body(
    traffic: &Traffic,
    site: &Site,
    request: &Request,
    body: Incoming,
    time_allowed: Duration,
) -> Result<Bytes, Response<Body>> {
    let max_body_bytes = usize::try_from(site.limits.body.0).unwrap_or(usize::MAX);
    let read = timeout(time_allowed, Limited::new(body, max_body_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(deny(traffic, &request.id, status, "the body is too large"))
        }
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            Err(deny(traffic, &request.id, status, "the body was cut"))
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(deny(
                traffic,
                &request.id,
                status,
                "the body came too slowly",
            ))
        }
    }
}

fn deny(traffic: &Traffic, id: &str, status: StatusCode, cause: &'static str) -> Response<Body> {
    traffic.metrics.on_answer(status.as_u16(), cause);
    let values = json!({"request": id, "status": status.as_u16(), "cause": cause});
    traffic.journal.note("denied", &values);
    reply::problem(id, status, cause)
}
