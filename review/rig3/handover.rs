//! A worker starts again under its id while its shard passes to another holder, and a copy of an order of
//! the former holder is carried out late.

use crate::Verdict;
use crate::engine::{ADAPTER_PLACES, Engine, Loads};
use crate::restart;
use crate::site::{self, Record, Site, Work};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
/// The bench's orders are carried out 2 to 12 s late.
const DELAY: Duration = Duration::from_secs(11);
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &restart::config());
    let engine = Engine::new(
        "i-llm-1",
        site.store.clone(),
        record.clone(),
        Loads::default(),
    );
    let serving = Arc::clone(&engine);
    let work: Work = Arc::new(move |call, channel| serving.answer(call, channel));
    let server = site.serve("i-llm-1", "llm", work)?;
    engine.list(server.address, server.born);
    for _ in 0..GATEWAYS {
        site.add_gateway("")?;
    }
    if !site.wait_until_ready(1) {
        return Err(ErrorKind::TimedOut.into());
    }
    sleep(Duration::from_secs(4));
    let callers: Vec<SocketAddr> = (0..GATEWAYS).map(|index| site.callers(index)).collect();
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
        ask(&record, address, 1 + adapter % ADAPTER_PLACES);
        adapter += 1;
        sleep(PAUSE);
    }
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

fn ask(record: &Record, address: SocketAddr, adapter: usize) -> u16 {
    let (id, target) = (site::new_id(), format!("m0/a{adapter}"));
    let status = restart::answer(address, &id, &target).unwrap_or(0);
    record.note(&format!("caller asks for {target} ({id}): {status}"));
    status
}

fn ask_until_served(record: &Record, address: SocketAddr, adapter: usize) -> std::io::Result<()> {
    let until = Instant::now() + Duration::from_secs(12);
    while ask(record, address, adapter) != 200 {
        if Instant::now() > until {
            return Err(ErrorKind::TimedOut.into());
        }
        sleep(PAUSE);
    }
    Ok(())
}
