//! A plain service that counts how often it ran each call.
//!
//! `GET /runs` shows the counts by idempotency key; every other path is a run.

use crate::http::{Answer, Host, serve};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Runs by idempotency key.
pub type Runs = Arc<Mutex<BTreeMap<String, u64>>>;

/// Starts the service; each run takes `work`.
#[must_use]
pub fn start(address: SocketAddr, work: Duration) -> Host {
    start_with(address, work, Runs::default())
}

/// Starts the service over counts that a test holds too.
#[must_use]
pub fn start_with(address: SocketAddr, work: Duration, runs: Runs) -> Host {
    serve(address, move |call| {
        if call.path == "/runs" {
            return Answer::Json(200, json!(*runs.lock().unwrap()));
        }
        if call.path == "/health" {
            return Answer::Json(200, json!({"leaving": false}));
        }
        let count = {
            let mut runs = runs.lock().unwrap();
            let count = runs.entry(call.idempotency_key.clone()).or_default();
            *count += 1;
            *count
        };
        std::thread::sleep(work);
        let length = call.json()["pad"]
            .as_u64()
            .and_then(|length| usize::try_from(length).ok());
        let pad = "x".repeat(length.unwrap_or(0));
        let key = &call.idempotency_key;
        let answer = json!({"path": call.path, "key": key, "run": count, "pad": pad});
        Answer::Json(200, answer)
    })
}
