//! Responses to callers: those of servers, and the gateway's own.

use super::body::Body;
use super::buffer::Lease;
use crate::common::*;
use crate::platform::request;
use crate::wire::hop::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response;
use hyper::{Response, StatusCode};

/// Builds the response that passes on a server's complete one.
pub fn forwarded(mut head: response::Parts, body: Bytes, lease: Lease) -> Response<Body> {
    head.headers = request::end_to_end(&head.headers);
    head.headers.remove("content-length");
    let body = Body::Complete {
        content: Full::new(body),
        _lease: Some(lease),
    };
    Response::from_parts(head, body)
}

/// Builds a refusal: the request did not run, and the caller may retry.
#[must_use]
pub fn refusal(id: &str, cause: &str, retry_after: Duration) -> Response<Body> {
    refusal_with(StatusCode::SERVICE_UNAVAILABLE, id, cause, retry_after)
}

/// Builds the refusal of a request beyond its workspace's quota.
#[must_use]
pub fn over_quota(id: &str, cause: &str, retry_after: Duration) -> Response<Body> {
    refusal_with(StatusCode::TOO_MANY_REQUESTS, id, cause, retry_after)
}

fn refusal_with(
    status: StatusCode,
    id: &str,
    cause: &str,
    retry_after: Duration,
) -> Response<Body> {
    let mut response = problem(id, status, cause);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(seconds) = seconds.parse() {
        response.headers_mut().insert("retry-after", seconds);
    }
    response
}

/// Marks one of the gateway's own responses.
#[derive(Debug, Clone, Copy)]
struct Local;

/// Marks a refusal of a request that another instance may serve.
#[derive(Debug, Clone, Copy)]
pub struct Declined {
    /// Whether it concerns the key of the request only.
    pub is_for_key: bool,
}

/// Returns what a response says to the instance that passed the request on.
pub fn verdict(response: &Response<Body>) -> Verdict {
    if response.extensions().get::<Local>().is_none() {
        return Verdict::Answer;
    }
    if let Some(declined) = response.extensions().get::<Declined>() {
        return if declined.is_for_key {
            Verdict::KeyDeclined
        } else {
            Verdict::Declined
        };
    }
    match response.status() {
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Verdict::Unknown,
        _ => Verdict::Refused,
    }
}

/// Builds one of the gateway's own responses, as problem details.
#[must_use]
pub fn problem(id: &str, status: StatusCode, cause: &str) -> Response<Body> {
    let text = json!({"status": status.as_u16(), "title": cause}).to_string();
    let mut response = Response::new(Body::from(Bytes::from(text)));
    *response.status_mut() = status;
    *response.headers_mut() = request::local_answer_headers(id);
    response.extensions_mut().insert(Local);
    if let Ok(kind) = "application/problem+json".parse() {
        response.headers_mut().insert("content-type", kind);
    }
    response
}
