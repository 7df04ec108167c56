//! The platform's list of live and leaving instances, which lags.
//!
//! `PUT /instances` sets the truth, `GET /instances` shows it as it was a lag ago.

use crate::http::{Answer, Host, serve};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tiny_http::Method;

/// Starts the list.
#[must_use]
pub fn start(address: SocketAddr, lag: Duration) -> Host {
    let history: Mutex<Vec<(Instant, Value)>> = Mutex::default();
    serve(address, move |call| {
        let mut history = history.lock().unwrap();
        let now = Instant::now();
        if call.method == Method::Put {
            history.push((now, call.json()));
            return Answer::Json(200, json!({}));
        }
        let seen = history.iter().rev().find(|(at, _)| now - *at >= lag);
        let shown = seen
            .or(history.first())
            .map_or(json!([]), |(_, list)| list.clone());
        Answer::Json(200, shown)
    })
}
