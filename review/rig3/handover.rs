//! A worker starts again under its id while its shard passes to another holder, and a copy of an order of
//! the former holder is carried out late.

use crate::Verdict;
use crate::engine::{self, ADAPTER_PLACES, Engine, Loads};
use crate::restart;
use crate::site::{self, Record, Site, Work};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
/// One of them crashes, which is a share of at most 0.17.
const WORKERS: usize = 6;
const MODELS: usize = 20;
/// A model with more adapters than a worker has places. One worker holds it.
const MODEL: usize = 4;
/// The bench's orders are carried out 2 to 12 s late.
const DELAY: Duration = Duration::from_secs(11);
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &engine::config(MODELS));
    let mut found = None;
    let mut others = Vec::new();
    for (index, models) in engine::placement(WORKERS, MODELS).iter().enumerate() {
        let id = format!("i-llm-{}", index + 1);
        let (store, loads) = (site.store.clone(), Loads::default());
        let engine = Engine::new(&id, models, store, record.clone(), loads);
        let serving = Arc::clone(&engine);
        let work: Work = Arc::new(move |call, channel| serving.answer(call, channel));
        let server = site.serve(&id, "llm", work)?;
        engine.list(server.address, server.born);
        if models.contains(&MODEL) {
            found = Some((engine, server));
        } else {
            others.extend(models.iter().filter(|it| **it != 0).copied());
        }
    }
    let Some((engine, server)) = found else {
        return Err(ErrorKind::NotFound.into());
    };
    for _ in 0..GATEWAYS {
        site.add_gateway("")?;
    }
    if !site.wait_until_ready(WORKERS) {
        return Err(ErrorKind::TimedOut.into());
    }
    sleep(Duration::from_secs(4));
    let callers: Vec<SocketAddr> = (0..GATEWAYS).map(|index| site.callers(index)).collect();
    // The models of the other workers are asked for all the time, so that these have no room to spare.
    let is_over = Arc::new(AtomicBool::new(false));
    for (index, address) in callers.iter().copied().enumerate() {
        let (record, others, is_over) = (record.clone(), others.clone(), Arc::clone(&is_over));
        std::thread::spawn(move || {
            for number in (index..).step_by(GATEWAYS) {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                ask(
                    &record,
                    address,
                    &format!("m{}", others[number % others.len()]),
                );
                sleep(PAUSE);
            }
        });
    }
    sleep(Duration::from_secs(3));
    for adapter in 1..=ADAPTER_PLACES {
        ask_until_served(&record, callers[0], adapter)?;
    }
    if has_trouble {
        engine.delay_next(DELAY);
    }
    let until = Instant::now() + DELAY + Duration::from_secs(2);
    ask_until_served(&record, callers[0], ADAPTER_PLACES + 1)?;
    let holder = engine.holder();
    let mut names = site.gateways.iter().map(|it| it.name.clone());
    let Some(stopped) = names.position(|name| name == holder) else {
        return Err(ErrorKind::NotFound.into());
    };
    drop(names);
    site.terminate(stopped)?;
    record.note(&format!("SIGTERM to {holder}"));
    if has_trouble {
        engine.crash();
        server.crash();
        record.note("the worker crashes");
        sleep(DOWN_TIME);
        engine.restart();
        server.return_from_crash();
        record.note("the worker is back under its id");
    }
    let address = callers[(stopped + 1) % GATEWAYS];
    let mut is_back = false;
    let mut adapter = 0;
    while Instant::now() < until && !engine.has_crashed() {
        if !is_back && site.gateways[stopped].process.try_wait()?.is_some() {
            sleep(RESTART_DELAY);
            site.relaunch(stopped)?;
            record.note(&format!("{holder} starts again"));
            is_back = true;
        }
        let target = format!("m{MODEL}/a{}", 1 + adapter % ADAPTER_PLACES);
        ask(&record, address, &target);
        adapter += 1;
        sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    let is_kept = !engine.has_crashed();
    let result = if is_kept {
        "the worker was never ordered to load more than AdapterCapacity holds"
    } else {
        "the worker was ordered to load more than AdapterCapacity holds"
    };
    record.note(result);
    println!("{result}");
    Ok(is_kept)
}

fn ask(record: &Record, address: SocketAddr, target: &str) -> u16 {
    let id = site::new_id();
    let status = restart::answer(address, &id, target).unwrap_or(0);
    record.note(&format!("caller asks for {target} ({id}): {status}"));
    status
}

fn ask_until_served(record: &Record, address: SocketAddr, adapter: usize) -> std::io::Result<()> {
    let until = Instant::now() + Duration::from_secs(12);
    let target = format!("m{MODEL}/a{adapter}");
    while ask(record, address, &target) != 200 {
        if Instant::now() > until {
            return Err(ErrorKind::TimedOut.into());
        }
        sleep(PAUSE);
    }
    Ok(())
}
