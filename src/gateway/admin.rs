//! HTTP endpoints for the platform's readiness probe, for metrics and for operators' state
//! dumps.

use super::callers::{self, Connection, Opener};
use super::event::milliseconds;
use super::forward;
use super::traffic::Traffic;
use crate::common::*;
use crate::platform::settings;
use crate::world::workspace::Workspaces;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Path at which peers read the configuration.
pub const CONFIGURATION_PATH: &str = "/configuration";
/// Header with the version of the configuration's row at the store, so that a peer that reads the store
/// later asks for what is newer.
pub const POSITION_HEADER: &str = "row-version";
/// Time-out for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves these endpoints on a listener.
pub async fn serve(traffic: Rc<Traffic>, listener: Rc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            traffic
                .callers
                .close_longest_waiting(Opener::Operators, &traffic.metrics);
            forward::wait_before_retry().await;
            continue;
        };
        if !traffic
            .callers
            .make_room(Opener::Operators, &traffic.metrics)
            .await
        {
            callers::refuse(&stream);
            continue;
        }
        let connection = Connection::new(&traffic.callers, Opener::Operators);
        let traffic = Rc::clone(&traffic);
        tokio::task::spawn_local(async move {
            let answer = service_fn(move |request| {
                let response = answer(&traffic, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), answer);
            let served = tokio::select! {
                biased;
                () = connection.closing() => return,
                served = served => served,
            };
            if let Err(error) = served {
                log::debug!("a request for readiness, metrics or state failed: {error}");
            }
        });
    }
}

fn answer(traffic: &Traffic, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        settings::READY_PATH if traffic.is_ready() => (StatusCode::OK, "ready\n".into()),
        settings::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        "/metrics" => (StatusCode::OK, traffic.metrics.text()),
        "/state" => (StatusCode::OK, state_dump(traffic).to_string()),
        CONFIGURATION_PATH => return configuration_response(traffic),
        _ => (
            StatusCode::NOT_FOUND,
            "use /metrics, /state or /configuration\n".into(),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Returns the configuration in force, for peers that don't read the store.
fn configuration_response(traffic: &Traffic) -> Response<Full<Bytes>> {
    let raw = traffic.raw_site.borrow().clone();
    let mut response = Response::new(Full::new(raw));
    if let Some(position) = traffic.site_position.get()
        && let Ok(position) = position.to_string().parse()
    {
        response.headers_mut().insert(POSITION_HEADER, position);
    }
    if traffic.site.borrow().is_none() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn state_dump(traffic: &Traffic) -> Value {
    let site = traffic.site.borrow();
    let balance = traffic.balance.borrow();
    json!({
        "instance": traffic.deployment.instance,
        "at_ms": traffic.clock.now().as_millis(),
        "version": site.as_ref().map(|site| site.version),
        "workspaces": site.as_ref().and_then(|site| site.workspaces.as_ref()).map(names),
        "configuration_age_ms": traffic.configuration_age(traffic.clock.now()).map(milliseconds),
        "plans": traffic.is_planner(),
        "open": traffic.open_connections.get(),
        "answer_bytes": traffic.memory.borrow().used(),
        "request_bytes": traffic.memory.borrow().used_by_requests(),
        "connections": traffic.callers.counts().collect::<BTreeMap<_, _>>(),
        "stopping": traffic.is_stopping(),
        "instances": traffic.instances(),
        "sharers": traffic.sharers(),
        "budgets": &*traffic.budgets.borrow(),
        "quarantine": traffic.quarantine.borrow().entries().map(|(parts, _)| parts).collect::<Vec<_>>(),
        "software": software_dump(traffic),
        "quotas": traffic.quotas.dump(traffic.clock.now()),
        "paths": *traffic.reach.borrow(),
        "streams": traffic.origins.borrow().stream_count(),
        "limits": balance.limits().active().collect::<BTreeMap<_, _>>(),
        "servers": balance.views().collect::<Vec<_>>(),
    })
}

fn names(workspaces: &Workspaces) -> Vec<&str> {
    let names = workspaces.iter().map(|workspace| workspace.name.as_str());
    names.collect()
}

/// Returns the software versions of each service, with the seconds since each was listed.
fn software_dump(traffic: &Traffic) -> Value {
    let origins = traffic.origins.borrow();
    let versions = origins.versions(traffic.clock.now());
    let versions = versions.map(|(service, software, age)| {
        json!({"service": service, "software": software, "age_s": age.as_secs()})
    });
    versions.collect()
}
