//! The weight store: `POST /load` takes as long as the load, slower beyond its slots.
//!
//! A call above the allowed rate is counted as a breach and answered with 429.

use crate::http::{Answer, Host, serve};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Window over which the rate is held, in seconds.
const WINDOW: f64 = 10.0;

/// What the store allows.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub loads_per_second: f64,
    pub slots: u32,
    pub load: Duration,
}

#[derive(Debug, Default)]
struct State {
    starts: VecDeque<Instant>,
    active: u32,
    loads: u64,
    breaches: u64,
}

/// Starts the store.
#[must_use]
pub fn start(address: SocketAddr, limits: Limits) -> Host {
    let state: Mutex<State> = Mutex::default();
    serve(address, move |call| {
        if call.path == "/counts" {
            let state = state.lock().unwrap();
            return Answer::Json(
                200,
                json!({"loads": state.loads, "breaches": state.breaches}),
            );
        }
        let Some(active) = begin(&mut state.lock().unwrap(), limits) else {
            return Answer::Json(429, json!({"error": "over the rate"}));
        };
        let crowding = active.div_ceil(limits.slots.max(1));
        std::thread::sleep(limits.load * crowding);
        state.lock().unwrap().active -= 1;
        Answer::Json(200, json!({}))
    })
}

fn begin(state: &mut State, limits: Limits) -> Option<u32> {
    let now = Instant::now();
    let window = Duration::from_secs_f64(WINDOW);
    while state
        .starts
        .front()
        .is_some_and(|start| now - *start > window)
    {
        state.starts.pop_front();
    }
    #[allow(clippy::cast_precision_loss)]
    let started = state.starts.len() as f64;
    if started + 1.0 > limits.loads_per_second * WINDOW {
        state.breaches += 1;
        return None;
    }
    state.starts.push_back(now);
    state.active += 1;
    state.loads += 1;
    Some(state.active)
}
