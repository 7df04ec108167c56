//! Holders of shards are killed while their workers load models, and start again.

use crate::Verdict;
use crate::engine::{Engine, LOAD_S, Loads, MODEL_MB, MODELS};
use crate::http::Channel;
use crate::site::{self, Record, Site, Work};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
const WORKERS: usize = 12;
const WARM_UP: Duration = Duration::from_secs(25);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(40);
/// Share of the machines that may be killed at once.
const MAX_KILLED: usize = GATEWAYS * 55 / 100;

/// Answers for each model: when each request was sent, and its status.
type Asked = Arc<Mutex<BTreeMap<String, Vec<(f64, u16)>>>>;

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &config());
    let loads = Loads::default();
    for number in 1..=WORKERS {
        let id = format!("i-llm-{number}");
        let engine = Engine::new(&id, site.store.clone(), record.clone(), Arc::clone(&loads));
        let serving = Arc::clone(&engine);
        let work: Work = Arc::new(move |call, channel| serving.answer(call, channel));
        let server = site.serve(&id, "llm", work)?;
        engine.list(server.address, server.born);
    }
    for _ in 0..GATEWAYS {
        site.add_gateway("")?;
    }
    if !site.wait_until_ready(WORKERS) {
        return Err(ErrorKind::TimedOut.into());
    }
    sleep(Duration::from_secs(4));
    let holders = site.holders();
    record.note(&format!("holders: {holders:?}"));
    let Some(planner) = holders.get(&0).copied() else {
        return Err(ErrorKind::NotFound.into());
    };
    let killed: BTreeSet<usize> = holders
        .values()
        .copied()
        .filter(|it| *it != planner)
        .collect();
    let killed: Vec<usize> = killed.into_iter().take(MAX_KILLED).collect();
    let asked = Asked::default();
    // How many of the models are asked for; none while adapters are.
    let wanted = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for index in 0..GATEWAYS {
        let (record, address) = (record.clone(), site.callers(index));
        let (asked, wanted, is_over) = (
            Arc::clone(&asked),
            Arc::clone(&wanted),
            Arc::clone(&is_over),
        );
        threads.push(std::thread::spawn(move || {
            let mut number = index as u64;
            while !is_over.load(Ordering::Relaxed) {
                number += 7;
                let target = match wanted.load(Ordering::Relaxed) {
                    0 => format!("m0/a{}", 1 + number % 31),
                    wanted => format!("m{}", 1 + number % wanted),
                };
                ask(&record, address, &target, &asked);
                sleep(Duration::from_millis(180));
            }
        }));
    }
    sleep(WARM_UP);
    let is_caught = disturb(&mut site, &loads, &wanted, &killed, has_trouble)?;
    wanted.store(MODELS as u64 - 1, Ordering::Relaxed);
    record.note("all models are asked for");
    sleep(RECOVERY);
    let from = record.now();
    sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    if !is_caught {
        return Err(ErrorKind::TimedOut.into());
    }
    let asked = asked.lock().expect("no thread has panicked");
    let mut starved = Vec::new();
    let (mut often, mut sent, mut served) = (0, 0, 0);
    for (target, tries) in asked.iter() {
        let tries: Vec<&(f64, u16)> = tries.iter().filter(|(at, _)| *at >= from).collect();
        let successes = tries.iter().filter(|(_, status)| *status == 200).count();
        let span = tries.last().map_or(0.0, |it| it.0) - tries.first().map_or(0.0, |it| it.0);
        sent += tries.len();
        served += successes;
        if tries.len() >= 4 && span > 8.0 {
            often += 1;
            if successes == 0 {
                starved.push(target.clone());
            }
        }
    }
    let limit = 1.0 + 0.1 * f64::from(often);
    let summary = format!(
        "later than RecoveryS after the restart: {served} of {sent} requests served; {} of {often} models never (limit {limit:.1}): {starved:?}",
        starved.len()
    );
    record.note(&summary);
    println!("{summary}");
    Ok(starved.len() as f64 <= limit)
}

/// Has one model after another asked for, and kills holders while two workers of theirs load; returns
/// whether that came about.
fn disturb(
    site: &mut Site,
    loads: &Loads,
    wanted: &AtomicU64,
    killed: &[usize],
    has_trouble: bool,
) -> std::io::Result<bool> {
    let record = site.record.clone();
    let mut is_caught = false;
    let until = Instant::now() + Duration::from_secs(20);
    let mut next = record.now();
    while !is_caught && Instant::now() < until {
        let now = record.now();
        if now >= next && wanted.load(Ordering::Relaxed) < MODELS as u64 - 1 {
            next = now + 1.5;
            wanted.fetch_add(2, Ordering::Relaxed);
        }
        let loading: BTreeSet<String> = {
            let loads = loads.lock().expect("no thread has panicked");
            let loading = loads
                .iter()
                .filter(|(at, ..)| (0.2..LOAD_S - 0.2).contains(&(now - at)));
            loading.map(|(_, worker, _)| worker.clone()).collect()
        };
        let held = loading
            .iter()
            .filter(|worker| killed.iter().any(|index| site.orders(*index, worker)));
        is_caught = held.count() >= 2;
        sleep(Duration::from_millis(20));
    }
    record.note(&format!("two workers of {killed:?} load: {is_caught}"));
    if is_caught && has_trouble {
        for index in killed {
            site.gateways[*index].process.kill()?;
            site.gateways[*index].process.wait()?;
        }
        record.note(&format!("killed {killed:?}"));
        sleep(RESTART_DELAY);
        for index in killed {
            site.relaunch(*index)?;
        }
        record.note(&format!("started {killed:?} again"));
    }
    Ok(is_caught)
}

pub fn config() -> String {
    let models: Vec<String> = (0..MODELS)
        .map(|number| format!(r#"{{"Name":"m{number}","WeightsMb":{MODEL_MB},"LoadTimeS":{LOAD_S},"Adapters":31,"AdapterSizeMb":40.0}}"#))
        .collect();
    let config = site::config(1, "");
    let (before, rest) = config.split_once("\"Models\":[").unwrap_or((&config, ""));
    let after = rest.split_once("}]}").map_or("", |(_, after)| after);
    format!("{before}\"Models\":[{}]}}{after}", models.join(","))
}

fn ask(record: &Record, address: SocketAddr, target: &str, asked: &Asked) {
    let id = site::new_id();
    let at = record.now();
    let status = answer(address, &id, target).unwrap_or(0);
    record.note(&format!(
        "caller asks {address} for {target} ({id}): {status}"
    ));
    let mut asked = asked.lock().expect("no thread has panicked");
    asked
        .entry(target.to_owned())
        .or_default()
        .push((at, status));
}

pub fn answer(address: SocketAddr, id: &str, target: &str) -> std::io::Result<u16> {
    let mut channel = Channel::open(address)?;
    channel
        .stream
        .set_read_timeout(Some(Duration::from_secs(6)))?;
    let headers = format!(
        "X-Model-Name: {target}\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\nConnection: close\r\n"
    );
    channel.send(&site::request("/map/a", id, 5_000, &headers))?;
    let answer = channel.message()?;
    Ok(if answer.is_whole { answer.status() } else { 0 })
}
