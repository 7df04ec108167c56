//! Callers' connections: requests are read completely, then dispatched; responses go back in
//! order.

use super::body::Body;
use super::buffer::Lease;
use super::callers::{self, Answer, Connection, Opener};
use super::channel;
use super::detour::NO_PATH;
use super::discard::discard;
use super::forward::{self, Exchange};
use super::origins::Binding;
use super::reply;
use super::request_body::{self, Refusal};
use super::tasks;
use super::traffic::Traffic;
use super::write_limit;
use crate::common::*;
use crate::decide::attempts::Attempts;
use crate::decide::balance::Need;
use crate::platform::request;
use crate::wire::hop::{Hop, Verdict};
use crate::world::message::Request;
use crate::world::site::{Limits, Site};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
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
/// Cause and Retry-After of a refusal because bodies and answers fill the memory for them.
const NO_MEMORY: &str = "no memory for the body";
const RETRY_AFTER_MEMORY: Duration = Duration::from_secs(1);
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

impl Door {
    const fn opener(self) -> Opener {
        match self {
            Self::Callers => Opener::Callers,
            Self::Peers => Opener::Peers,
        }
    }
}

/// Accepts connections until shutdown.
pub async fn serve(
    traffic: Rc<Traffic>,
    listener: Rc<TcpListener>,
    door: Door,
    closing: watch::Receiver<bool>,
) {
    let opener = door.opener();
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
                if !traffic.callers.make_room(opener, &traffic.metrics).await {
                    callers::refuse(&stream);
                    continue;
                }
                let connection = Connection::new(&traffic.callers, opener);
                let guard = ConnectionGuard::new(&traffic);
                let connection = run_connection(guard, connection, stream, door, closing.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!("accepting a caller's connection failed: {error}");
                traffic
                    .callers
                    .close_longest_waiting(opener, &traffic.metrics);
                forward::wait_before_retry().await;
            }
        }
    }
}

async fn run_connection(
    guard: ConnectionGuard,
    connection: Rc<Connection>,
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
    let stream = write_limit::Stream::new(stream, Rc::clone(&connection), limits.head);
    let close = Rc::clone(&connection);
    let service = service_fn(move |request| {
        let (traffic, connection) = (Rc::clone(&traffic), Rc::clone(&connection));
        on_first_request.notify_one();
        connection.on_head();
        async move {
            let response = answer(&traffic, &connection, door, request).await;
            Ok::<_, Infallible>(response.map(|body| Answer { body, connection }))
        }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(head + HEAD_SLACK_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    let serve = async {
        tokio::select! {
            ended = served.as_mut() => ended,
            () = wait_for_closing(&mut closing, &first_request) => {
                served.as_mut().graceful_shutdown();
                served.await
            }
        }
    };
    // The signal to close comes first, so that no request is passed on after it.
    let ended = tokio::select! {
        biased;
        () = close.closing() => return,
        ended = serve => ended,
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

/// Serves a request. If that panics, the caller learns that its outcome is unknown.
async fn answer(
    traffic: &Rc<Traffic>,
    connection: &Connection,
    door: Door,
    incoming: hyper::Request<Incoming>,
) -> Response<Body> {
    let id = request::id(incoming.headers()).unwrap_or_default();
    let handled = tasks::catch(handle(Rc::clone(traffic), connection, door, incoming));
    handled
        .await
        .unwrap_or_else(|| deny(traffic, &id, StatusCode::BAD_GATEWAY, "internal error"))
}

async fn handle(
    traffic: Rc<Traffic>,
    connection: &Connection,
    door: Door,
    incoming: hyper::Request<Incoming>,
) -> Response<Body> {
    let arrived = traffic.clock.now();
    let (mut head, body) = incoming.into_parts();
    let mut response = match door {
        Door::Callers => serve_request(&traffic, connection, arrived, head, body, None).await,
        Door::Peers => match Hop::take(&mut head.headers) {
            Some(hop) => carry(&traffic, connection, arrived, head, body, hop).await,
            None => deny(
                &traffic,
                "",
                StatusCode::BAD_REQUEST,
                "the request comes from no instance of this version",
            ),
        },
    };
    if traffic.is_stopping() {
        response = closing(response);
    }
    response
}

async fn serve_request(
    traffic: &Rc<Traffic>,
    connection: &Connection,
    arrived: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
    hop: Option<Hop>,
) -> Response<Body> {
    match read_exchange(traffic, connection, arrived, head, body, hop).await {
        Ok(exchange) => Rc::new(exchange).serve().await,
        Err(response) => response,
    }
}

/// Serves a request of another instance, and says in the answer what became of it.
async fn carry(
    traffic: &Rc<Traffic>,
    connection: &Connection,
    arrived: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
    hop: Hop,
) -> Response<Body> {
    let site = traffic.site.borrow().clone();
    let has_workspaces = site.is_some_and(|site| site.workspaces.is_some());
    let declined = if traffic.is_stopping() {
        Some("stopping")
    } else if hop.has_workspaces && !has_workspaces {
        Some("no workspaces")
    } else if traffic.lacks_path(&head) {
        Some(NO_PATH)
    } else {
        None
    };
    if let Some(cause) = declined {
        traffic.metrics.on_answer(503, cause);
        discard(&head, body, limits(traffic).body);
        let mut response = reply::refusal("", cause, RETRY_AFTER);
        Verdict::Declined.write(response.headers_mut());
        return response;
    }
    let mut response = serve_request(traffic, connection, arrived, head, body, Some(hop)).await;
    reply::verdict(&response).write(response.headers_mut());
    response
}

/// Reads a request completely and finds its route.
async fn read_exchange(
    traffic: &Rc<Traffic>,
    connection: &Connection,
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
    let key = request::key_digest(&head.headers);
    let workspace = match traffic.admit(&site, &route, &request.id, key.as_deref()) {
        Ok(workspace) => workspace,
        Err(denial) => {
            discard(&head, body, site.limits.body);
            let response = denial.response(&request.id);
            let status = response.status().as_u16();
            traffic.metrics.on_answer(status, denial.cause());
            return Err(response);
        }
    };
    let time_allowed = request
        .patience
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    let need = need(&site, &request, &route)
        .ok_or_else(|| reply::refusal(&request.id, "the route has no service", RETRY_AFTER))?;
    let (body, lease) = read_body(traffic, connection, &site, &request, body, time_allowed).await?;
    connection.on_request();
    let deadline = arrived + time_allowed;
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
        _lease: lease,
        site,
        attempts: RefCell::new(attempts),
        binding: RefCell::new(Binding::Free),
        hop,
        route,
        need,
        workspace,
        key,
        units: RefCell::default(),
        arrived,
        deadline,
    })
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
    traffic: &Rc<Traffic>,
    connection: &Connection,
    site: &Site,
    request: &Request,
    body: Incoming,
    time_allowed: Duration,
) -> Result<(Bytes, Lease), Response<Body>> {
    let max_body_bytes = usize::try_from(site.limits.body.0).unwrap_or(usize::MAX);
    let refusal = match request_body::read(traffic, body, max_body_bytes, time_allowed).await {
        Ok(read) => return Ok(read),
        Err(refusal) => refusal,
    };
    let (status, cause) = match refusal {
        Refusal::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        Refusal::Cut => (StatusCode::BAD_REQUEST, "the body was cut"),
        Refusal::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        Refusal::Stalled => (StatusCode::REQUEST_TIMEOUT, "the body stalled"),
        Refusal::NoMemory => {
            // The caller must learn that the request did not run.
            connection.discard(max_body_bytes);
            traffic.metrics.on_answer(503, NO_MEMORY);
            let values = json!({"request": request.id, "status": 503, "cause": NO_MEMORY});
            traffic.journal.note("denied", &values);
            return Err(closing(reply::refusal(
                &request.id,
                NO_MEMORY,
                RETRY_AFTER_MEMORY,
            )));
        }
    };
    Err(closing(deny(traffic, &request.id, status, cause)))
}

/// Has the connection closed after a response, since the rest of the request is not read.
fn closing(mut response: Response<Body>) -> Response<Body> {
    response
        .headers_mut()
        .insert("connection", HeaderValue::from_static("close"));
    response
}

fn deny(traffic: &Traffic, id: &str, status: StatusCode, cause: &'static str) -> Response<Body> {
    traffic.metrics.on_answer(status.as_u16(), cause);
    let values = json!({"request": id, "status": status.as_u16(), "cause": cause});
    traffic.journal.note("denied", &values);
    reply::problem(id, status, cause)
}
