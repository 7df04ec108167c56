//! What operators may ask every process: health, metrics, its whole state.

use crate::common::*;
use crate::error::ListenSnafu;
use crate::node::duty;
use crate::node::node::Node;
use rouille::{Request, Response, Server};
use snafu::ResultExt;

/// Threads that answer operators.
const THREADS: usize = 4;

/// Starts the operators' port. `dump` gives the state of this process, `extra` answers what is
/// not answered here.
///
/// # Errors
/// [`Error::Listen`] where the address is taken.
pub fn start(
    node: &Arc<Node>,
    dump: impl Fn() -> Value + Send + Sync + 'static,
    extra: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static,
) -> Result<()> {
    let address = node.settings.operators;
    let answering = Arc::clone(node);
    let server = Server::new(address, move |request| {
        answer(&answering, request, &dump, &extra)
    });
    let server = server.context(ListenSnafu { address })?.pool_size(THREADS);
    duty::start("operators", move || {
        server.run();
        log::error!("the operators' port ended");
        std::process::exit(1);
    });
    Ok(())
}

fn answer(
    node: &Node,
    request: &Request,
    dump: &dyn Fn() -> Value,
    extra: &dyn Fn(&Request) -> Option<Response>,
) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/health") => Response::json(&json!({"live": true})),
        ("GET", "/ready") if node.is_ready() => Response::json(&json!({"ready": true})),
        ("GET", "/ready") => Response::json(&json!({"ready": false})).with_status_code(503),
        ("GET", "/metrics") => Response::text(node.metrics.text()),
        ("GET", "/dump") if !is_operator(node, request) => unauthorized(),
        ("GET", "/dump") => {
            let mut state = node.dump();
            state["state"] = dump();
            Response::json(&state)
        }
        _ => extra(request).unwrap_or_else(|| {
            problem(
                404,
                "no such call",
                "GET /health, /ready, /metrics, /dump or see the manual",
            )
        }),
    }
}

/// The bearer key of a request.
#[must_use]
pub fn bearer(request: &Request) -> Option<&str> {
    request.header("Authorization")?.strip_prefix("Bearer ")
}

/// Whether a request carries the key of the site's operators.
#[must_use]
pub fn is_operator(node: &Node, request: &Request) -> bool {
    let expected = node.settings.operator_key.sign(&[b"operator"]);
    let given = bearer(request).and_then(|key| key.parse::<crate::wire::key::Key>().ok());
    given.is_some_and(|given| given.verify(&[b"operator"], &expected))
}

/// Answer to a request without the right key.
#[must_use]
pub fn unauthorized() -> Response {
    problem(
        401,
        "no or wrong key",
        "send `Authorization: Bearer KEY` with an operators' key",
    )
}

/// An error as RFC 9457 has it.
#[must_use]
pub fn problem(status: u16, title: &str, detail: &str) -> Response {
    let body = json!({"status": status, "title": title, "detail": detail}).to_string();
    Response::from_data("application/problem+json", body).with_status_code(status)
}
