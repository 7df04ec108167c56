//! Answers to callers: those of servers, and the system's own.

use super::body::Body;
use crate::common::*;
use crate::platform::request;
use bytes::Bytes;
use hyper::http::response;
use hyper::{Response, StatusCode};

/// A server's whole answer.
pub fn passed_on(mut head: response::Parts, body: Bytes) -> Response<Body> {
    head.headers = request::end_to_end(&head.headers);
    head.headers.remove("content-length");
    Response::from_parts(head, Body::from(body))
}

/// A refusal: the request did not run, and the caller may come back.
#[must_use]
pub fn refusal(id: &str, cause: &str, back: Duration) -> Response<Body> {
    let mut response = own(id, StatusCode::SERVICE_UNAVAILABLE, cause);
    let seconds = format!("{:.2}", back.as_secs_f64());
    if let Ok(seconds) = seconds.parse() {
        response.headers_mut().insert("retry-after", seconds);
    }
    response
}

/// An answer of the system's own.
#[must_use]
pub fn own(id: &str, status: StatusCode, cause: &str) -> Response<Body> {
    let text = json!({"status": status.as_u16(), "title": cause}).to_string();
    let mut response = Response::new(Body::from(Bytes::from(text)));
    *response.status_mut() = status;
    *response.headers_mut() = request::local_answer_headers(id);
    if let Ok(kind) = "application/problem+json".parse() {
        response.headers_mut().insert("content-type", kind);
    }
    response
}
