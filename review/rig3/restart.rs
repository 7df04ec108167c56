//! Holders of shards are killed while their workers load models, and start again.

use crate::Verdict;
use crate::engine::{self, Engine, LOAD_S, Loads};
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
/// More than the workers have room for at startup.
const MODELS: usize = 60;
/// First of the models that are asked for at first, all of which workers hold at startup.
const FIRST_WANTED: u64 = 15;
/// Models that are asked for at a time.
const WANTED: u64 = 10;
const WARM_UP: Duration = Duration::from_secs(20);
const CATCH: Duration = Duration::from_secs(34);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(44);
/// The demand moves on by two models at a time, as with `model_shift`.
const SHIFT: u64 = 2;
const SHIFT_INTERVAL: Duration = Duration::from_secs(4);
/// Share of the machines that may be killed at once.
const MAX_KILLED: usize = GATEWAYS * 55 / 100;

/// Answers for each model: when each request was sent, and its status.
type Asked = Arc<Mutex<BTreeMap<String, Vec<(f64, u16)>>>>;

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &engine::config(MODELS));
    let placement = engine::placement(WORKERS, MODELS);
    let loads = Loads::default();
    for number in 1..=WORKERS {
        let id = format!("i-llm-{number}");
        let models = &placement[number - 1];
        let engine = Engine::new(
            &id,
            models,
            site.store.clone(),
            record.clone(),
            Arc::clone(&loads),
        );
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
    // The first of the models that are asked for.
    let wanted = Arc::new(AtomicU64::new(FIRST_WANTED));
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
                let target = if number % 2 == 0 {
                    format!("m0/a{}", 1 + number / 2 % 31)
                } else {
                    let first = wanted.load(Ordering::Relaxed);
                    format!("m{}", first + number / 2 % WANTED)
                };
                ask(&record, address, &target, &asked);
                sleep(Duration::from_millis(180));
            }
        }));
    }
    sleep(WARM_UP);
    let (moving, moved, ends) = (record.clone(), Arc::clone(&wanted), Arc::clone(&is_over));
    threads.push(std::thread::spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            let first = moved.load(Ordering::Relaxed) + SHIFT;
            if first + WANTED <= MODELS as u64 {
                moved.store(first, Ordering::Relaxed);
                moving.note(&format!("demand moves on to m{first} and those after it"));
            }
            sleep(SHIFT_INTERVAL);
        }
    }));
    let is_caught = disturb(&mut site, &loads, &killed, has_trouble)?;
    sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    if !is_caught {
        return Err(ErrorKind::TimedOut.into());
    }
    let asked = asked.lock().expect("no thread has panicked");
    let tries = || asked.values().flatten();
    let sent = tries().count();
    let served = tries().filter(|(_, status)| *status == 200).count();
    let unserved = 1.0 - served as f64 / sent as f64;
    let (mut often, mut by_chance, mut starved) = (0, 0.0, Vec::new());
    for (target, tries) in asked.iter() {
        let span = tries.last().map_or(0.0, |it| it.0) - tries.first().map_or(0.0, |it| it.0);
        if tries.len() < 4 || span <= 8.0 {
            continue;
        }
        often += 1;
        by_chance += unserved.powi(tries.len() as i32);
        if tries.iter().all(|(_, status)| *status != 200) {
            starved.push(target.clone());
        }
    }
    let limit = 1.0 + 0.1 * f64::from(often) + 3.0 * by_chance;
    let summary = format!(
        "{} of {often} models and adapters were never served (limit {limit:.1}, by chance {by_chance:.4}); {served} of {sent} requests were: {starved:?}",
        starved.len()
    );
    record.note(&summary);
    println!("{summary}");
    Ok(starved.len() as f64 <= limit)
}

/// Waits until two workers of these holders load, and kills the holders; returns whether that
/// came about.
fn disturb(
    site: &mut Site,
    loads: &Loads,
    killed: &[usize],
    has_trouble: bool,
) -> std::io::Result<bool> {
    let record = site.record.clone();
    let mut is_caught = false;
    let until = Instant::now() + CATCH;
    while !is_caught && Instant::now() < until {
        let now = record.now();
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
