//! Callers' connections: requests are read whole and handed on, answers go back in order.

use super::body::Body;
use super::channel;
use super::forward::{self, Case};
use super::reply;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::attempts::Attempts;
use crate::decide::balance::Need;
use crate::platform::request;
use crate::world::message::Request;
use crate::world::site::{Limits, Site};
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

/// When a caller should come back to an instance that knows no configuration yet.
const COME_BACK: Duration = Duration::from_millis(500);
/// A request's time where neither caller nor route states one.
const PATIENCE: Duration = Duration::from_secs(30);
/// A connection that was opened just before the end is kept this long for its first request.
const FIRST_REQUEST: Duration = Duration::from_secs(1);
/// Connections that are opened while the port closes are still taken for this long.
const LAST_CONNECTIONS: Duration = Duration::from_millis(100);
/// Space for the head of a request, beside the limit on headers.
const HEAD_SLACK: usize = 16 << 10;

/// Takes callers' connections until the process is about to end.
pub async fn serve(traffic: Rc<Traffic>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let mut ending = closing.clone();
    let end = async {
        if ending.wait_for(|ending| *ending).await.is_ok() {
            sleep(LAST_CONNECTIONS).await;
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
                let connection = connection(Rc::clone(&traffic), stream, closing.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!("a caller's connection was not taken: {error}");
                forward::pause().await;
            }
        }
    }
}

async fn connection(traffic: Rc<Traffic>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let _open = Open::new(&traffic);
    channel::guard(&stream);
    let limits = limits(&traffic);
    let asked = Rc::new(Notify::new());
    let on_asked = Rc::clone(&asked);
    let head = usize::try_from(limits.header.0).unwrap_or(usize::MAX / 2);
    let answer = service_fn(move |request| {
        let traffic = Rc::clone(&traffic);
        on_asked.notify_one();
        async move { Ok::<_, Infallible>(take(traffic, request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(head + HEAD_SLACK)
        .serve_connection(TokioIo::new(stream), answer);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = ending(&mut closing, &asked) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended: {error}");
    }
}

/// Waits until a connection is to be closed: the process is about to end, and the first request came
/// or has had its time.
async fn ending(closing: &mut watch::Receiver<bool>, asked: &Notify) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        log::debug!("the process ends: its callers' connections close");
    }
    let _first = timeout(FIRST_REQUEST, asked.notified()).await;
}

fn limits(traffic: &Traffic) -> Limits {
    let site = traffic.site.borrow();
    site.as_ref()
        .map_or_else(Limits::default, |site| site.limits)
}

/// Counts a caller's connection while it is open: until the last byte of its last answer.
struct Open(Rc<Traffic>);

impl Open {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.open.set(traffic.open.get() + 1);
        Self(Rc::clone(traffic))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

async fn take(traffic: Rc<Traffic>, incoming: hyper::Request<Incoming>) -> Response<Body> {
    let arrived = traffic.clock.now();
    let (head, body) = incoming.into_parts();
    let mut response = match read(&traffic, arrived, head, body).await {
        Ok(case) => Rc::new(case).serve().await,
        Err(response) => response,
    };
    if traffic.is_stopping.get()
        && let Ok(close) = "close".parse()
    {
        response.headers_mut().insert("connection", close);
    }
    response
}

/// Reads a request whole and finds its route.
async fn read(
    traffic: &Rc<Traffic>,
    arrived: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
) -> Result<Case, Response<Body>> {
    let Some(site) = traffic.site.borrow().clone() else {
        traffic.metrics.on_answer(503, "no configuration");
        return Err(reply::refusal("", "no configuration", COME_BACK));
    };
    let Some(request) = request::decode(&head) else {
        return Err(denied(
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
        return Err(denied(
            traffic,
            &request.id,
            StatusCode::NOT_FOUND,
            "no route",
        ));
    };
    let patience = request.patience.unwrap_or(PATIENCE).min(route.timeout);
    let need = need(&site, &request, &route)
        .ok_or_else(|| reply::refusal(&request.id, "the route has no service", COME_BACK))?;
    let body = read_body(traffic, &site, &request, body, patience).await?;
    if let Some(generation) = &need.generation {
        traffic.on_asked(&generation.target, generation.prompt.0);
    }
    Ok(Case {
        traffic: Rc::clone(traffic),
        head,
        request,
        body,
        site,
        attempts: RefCell::new(Attempts::new(route.most_workers)),
        route,
        need,
        arrived,
        deadline: arrived + patience,
    })
}

fn need(site: &Site, request: &Request, route: &crate::world::site::Route) -> Option<Need> {
    let draw = xxh3_64(request.id.as_bytes());
    let part = f64::from(u32::try_from(draw >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    let service = route.pick_service(part)?.clone();
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
    patience: Duration,
) -> Result<Bytes, Response<Body>> {
    let largest = usize::try_from(site.limits.body.0).unwrap_or(usize::MAX);
    let read = timeout(patience, Limited::new(body, largest).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(denied(
                traffic,
                &request.id,
                status,
                "the body is too large",
            ))
        }
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            Err(denied(traffic, &request.id, status, "the body was cut"))
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(denied(
                traffic,
                &request.id,
                status,
                "the body came too slowly",
            ))
        }
    }
}

fn denied(traffic: &Traffic, id: &str, status: StatusCode, cause: &'static str) -> Response<Body> {
    traffic.metrics.on_answer(status.as_u16(), cause);
    let values = json!({"request": id, "status": status.as_u16(), "cause": cause});
    traffic.journal.note("denied", &values);
    reply::own(id, status, cause)
}
