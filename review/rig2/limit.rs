//! An order that got no answer is carried out late, at a worker that has started again under its id
//! meanwhile.

use crate::gateway::{self, Gateway};
use crate::http;
use crate::record;
use crate::store::Store;
use crate::worker::{Capacity, Worker};
use crate::{Run, Verdict};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub const INSTANCES: u8 = 3;
/// Places for adapters, as at `tuulelend-quotes`.
pub const PLACES: usize = 5;
/// Time after which the unanswered order is carried out: the bench's orders come 2 to 12 s late.
const LATE_AFTER: Duration = Duration::from_secs(10);
/// Time for which the crashed worker is away.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

pub const CONFIG: &str = r#"{"Version": 1, "Routes": [
 {"Name": "brief", "Hostname": "h.example", "PathPrefix": "/brief/", "Type": "streaming", "TimeoutMs": 5000,
  "TargetLatencyMs": 1000, "GapTargetMs": 400, "Priority": 2, "Service": "llm", "MaxAttempts": 1, "Resumable": false}],
 "Services": [{"Name": "llm", "MaxConnections": 500, "HealthPath": "/healthz", "Engine": {"Slots": 96,
  "KvCapacity": 121595, "WeightsMb": 83000, "AdapterCapacity": 5, "LoadsPerS": 2.1, "Models": [
  {"Name": "m1", "WeightsMb": 16100, "LoadTimeS": 2.6, "Adapters": 31, "AdapterSizeMb": 40}]}}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 15000}}"#;

/// Asks for an adapter until it is served; returns whether it was.
pub fn ask(gateways: &[Gateway], adapter: usize, number: &mut usize) -> bool {
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until {
        *number += 1;
        let id = format!("{:016x}", 0x0c41_d07b_e2a3_0000 + *number);
        let gateway = &gateways[*number % gateways.len()];
        let status = send(gateway.callers, &id, adapter, *number, 20);
        record::line(&format!(
            "{id} for m1/a{adapter} at {}: {status}",
            gateway.name
        ));
        if status == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Sends one request; returns the status, or 0 if no complete answer came.
pub fn send(address: SocketAddr, id: &str, adapter: usize, number: usize, tokens: u32) -> u16 {
    let model = format!("m1/a{adapter}");
    let parts = format!("5c1e07a2:568,{number:x}:400");
    let usage = format!("968,{tokens}");
    let headers = [
        ("Host", "h.example"),
        ("X-Request-Id", id),
        ("X-Model-Name", model.as_str()),
        ("X-Token-Usage", usage.as_str()),
        ("X-Prompt-Prefix", parts.as_str()),
        ("X-Deadline-Ms", "5000"),
    ];
    let limit = Duration::from_secs(6);
    let answer = http::call(address, "POST", "/brief/x", &headers, "{}", limit);
    answer.map_or(0, |answer| answer.status())
}

pub fn ask_all(gateways: &[Gateway], number: &mut usize) -> bool {
    (1..=PLACES).all(|adapter| ask(gateways, adapter, number))
}

pub fn capacity() -> Capacity {
    Capacity {
        weights_mb: 83_000,
        adapters: PLACES,
        model_mb: 16_100,
        adapter_mb: 40,
        load: Duration::from_millis(2_600),
        disk_load: Duration::from_millis(520),
    }
}

pub fn run(run: &Run) -> Verdict {
    let store_ip = gateway::address(250);
    let (store, store_address) = Store::start(&format!("{store_ip}:0"));
    store.write("op", "config", Some(CONFIG));
    let capacity = capacity();
    let worker_ip = gateway::address(200);
    let worker = Worker::start("i-7f3a91c2", "llm", worker_ip, &store, capacity, &["m1"]);
    let mut ports = None;
    let gateways: Vec<Gateway> = (1..=INSTANCES)
        .map(|number| Gateway::start(number, store_address, &run.folder, &mut ports))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::NotRun("an instance is not ready".into());
    }
    let mut number = 0;
    if !ask_all(&gateways, &mut number) {
        return Verdict::NotRun("the first requests were not served".into());
    }
    if run.has_trouble {
        worker.delay_load(&format!("a{}", PLACES + 1), LATE_AFTER);
    }
    let began = Instant::now();
    if !ask(&gateways, PLACES + 1, &mut number) {
        return Verdict::NotRun("the swap was not served".into());
    }
    if run.has_trouble {
        if worker.late_at().is_none() {
            return Verdict::NotRun("no order was left unanswered".into());
        }
        record::line("the worker crashes");
        worker.crash();
        thread::sleep(DOWN_TIME);
        worker.restart();
        record::line("the worker has started again under its id, with nothing loaded");
    }
    if !ask_all(&gateways, &mut number) {
        return Verdict::NotRun("the requests after the restart were not served".into());
    }
    let (sequence, adapters) = worker.counts();
    record::line(&format!(
        "all asked for: sequence {sequence}, {adapters} adapters held"
    ));
    // A stream is under way as the order is carried out.
    let carried_out_at = worker.late_at().unwrap_or(began) + LATE_AFTER;
    let stream_from = carried_out_at - Duration::from_millis(700);
    thread::sleep(stream_from.saturating_duration_since(Instant::now()));
    let status = send(gateways[0].callers, "0c41d07be2a3ffff", 1, 0xffff, 200);
    let text = if status == 200 { "whole" } else { "broken off" };
    record::line(&format!("the stream 0c41d07be2a3ffff for m1/a1: {text}"));
    let end = carried_out_at + Duration::from_secs(1);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    match worker.excesses().first() {
        Some(order) => Verdict::Broken(format!(
            "LIMIT: the worker was ordered to hold more than {PLACES} adapters: {order}"
        )),
        None => Verdict::Held,
    }
}
