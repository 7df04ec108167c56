//! A worker preempts a stream that may be resumed, and no other worker holds its model. Its instance is
//! told to stop meanwhile, as in a planned restart.

use crate::gateway::{self, Gateway};
use crate::http;
use crate::limit::INSTANCES;
use crate::record;
use crate::store::Store;
use crate::worker::{Capacity, Worker};
use crate::{Run, Verdict};
use std::thread;
use std::time::Duration;

/// Deadline of the caller and time-out of the route, as for `feeder-map-bg` of `ishikari-smt`. With its
/// objective of 1,500 ms, callers abandon a stream after a pause of 6 s.
const DEADLINE_MS: &str = "6000";
/// How long the stream is preempted.
const PREEMPTION: Duration = Duration::from_millis(3_300);
const EVENTS: usize = 12;

const CONFIG: &str = r#"{"Version": 1, "Routes": [
 {"Name": "bg", "Hostname": "h.example", "PathPrefix": "/bg/", "Type": "streaming", "TimeoutMs": 6000,
  "TargetLatencyMs": 1500, "GapTargetMs": 300, "Priority": 2, "Service": "llm", "MaxAttempts": 2, "Resumable": true}],
 "Services": [{"Name": "llm", "MaxConnections": 370, "HealthPath": "/healthz", "Engine": {"Slots": 64,
  "KvCapacity": 162655, "WeightsMb": 200000, "AdapterCapacity": 8, "LoadsPerS": 1.6, "Models": [
  {"Name": "m1", "WeightsMb": 72700, "LoadTimeS": 1.2, "Adapters": 0, "AdapterSizeMb": 66},
  {"Name": "m2", "WeightsMb": 72700, "LoadTimeS": 1.2, "Adapters": 0, "AdapterSizeMb": 66}]}}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 15000}}"#;

fn ask(gateway: &Gateway, id: &str, model: &str) -> Option<http::Streamed> {
    let usage = format!("2368,{}", EVENTS * 2);
    let parts = format!("5c1e07a2:568,{id}:1800");
    let headers = [
        ("Host", "h.example"),
        ("X-Request-Id", id),
        ("X-Model-Name", model),
        ("X-Token-Usage", usage.as_str()),
        ("X-Prompt-Prefix", parts.as_str()),
        ("X-Deadline-Ms", DEADLINE_MS),
    ];
    let streamed = http::stream(gateway.callers, "/bg/x", &headers, Duration::from_secs(7));
    record::line(&format!(
        "{id} for {model} at {}: {streamed:?}",
        gateway.name
    ));
    streamed
}

pub fn run(run: &Run) -> Verdict {
    let store_ip = gateway::address(250);
    let (store, store_address) = Store::start(&format!("{store_ip}:0"));
    store.write("op", "config", Some(CONFIG));
    let capacity = Capacity {
        weights_mb: 200_000,
        adapters: 8,
        model_mb: 72_700,
        adapter_mb: 66,
        load: Duration::from_millis(1_200),
        disk_load: Duration::from_millis(780),
    };
    // Rare models are held by one worker each.
    let [first, _second] =
        [("i-7f3a91c2", "m1", 200), ("i-1b8d20e4", "m2", 201)].map(|(id, model, address)| {
            let ip = gateway::address(address);
            Worker::start(id, "llm", ip, &store, capacity.clone(), &[model])
        });
    let mut ports = None;
    let gateways: Vec<Gateway> = (1..=INSTANCES)
        .map(|number| Gateway::start(number, store_address, &run.folder, &mut ports))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::NotRun("an instance is not ready".into());
    }
    // Each instance serves both models for a while, so that nothing is new to it.
    for round in 0..12 {
        for (index, gateway) in gateways.iter().enumerate() {
            for (model, letter) in [("m1", 'a'), ("m2", 'b')] {
                let id = format!("0c41d07be2a3{letter}{round:02x}{index}");
                let streamed = ask(gateway, &id, model);
                let is_served = streamed.is_some_and(|it| it.status == 200 && it.is_complete);
                if round > 8 && !is_served {
                    return Verdict::NotRun("a plain request was not served".into());
                }
            }
        }
    }
    thread::sleep(Duration::from_secs(4));
    if run.has_trouble {
        first.preempt(PREEMPTION);
    }
    let streamed = thread::scope(|scope| {
        let asking = scope.spawn(|| ask(&gateways[0], "0c41d07be2a3ffff", "m1"));
        thread::sleep(Duration::from_millis(100));
        record::line(&format!("{} is told to stop (SIGTERM)", gateways[0].name));
        gateways[0].signal("TERM");
        asking.join().ok().flatten()
    });
    let Some(streamed) = streamed else {
        return Verdict::NotRun("the stream did not begin".into());
    };
    if streamed.status != 200 {
        return Verdict::NotRun("the stream was not served".into());
    }
    if streamed.is_complete {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: the channel ended after {} of {EVENTS} events and {:.1} s, with {:.1} s of the time budget left; the worker was silent",
        streamed.events,
        streamed.took.as_secs_f64(),
        6.0 - streamed.took.as_secs_f64()
    ))
}
