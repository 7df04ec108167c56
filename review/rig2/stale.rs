//! An order is on its way over a cut link as its sender is killed; the next start of the same instance
//! gives orders with a higher fencing token before it arrives.

use crate::gateway::{self, Gateway};
use crate::limit::{CONFIG, INSTANCES, PLACES, ask_all, capacity};
use crate::link::Link;
use crate::record;
use crate::store::Store;
use crate::worker::Worker;
use crate::{Run, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the link to the worker is cut.
const CUT_TIME: Duration = Duration::from_millis(700);
/// Orders that arrive within this time after a link healed don't count.
const THAW: Duration = Duration::from_millis(300);
/// Time after the order was sent until its sender is killed, and until the process starts again.
const KILL_AFTER: Duration = Duration::from_millis(50);
const RESTART_AFTER: Duration = Duration::from_millis(450);

pub fn run(run: &Run) -> Verdict {
    let store_ip = gateway::address(250);
    let (store, store_address) = Store::start(&format!("{store_ip}:0"));
    store.write("op", "config", Some(CONFIG));
    let worker_ip = gateway::address(200);
    let worker = Worker::start("i-7f3a91c2", "llm", worker_ip, &store, capacity(), &["m1"]);
    let link = Link::open(gateway::address(201), worker.address());
    worker.tell(link.address);
    let mut ports = None;
    let mut gateways: Vec<Gateway> = (1..=INSTANCES)
        .map(|number| Gateway::start(number, store_address, &run.folder, &mut ports))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::NotRun("an instance is not ready".into());
    }
    let mut number = 0;
    if !ask_all(&gateways, &mut number) {
        return Verdict::NotRun("the first requests were not served".into());
    }
    let Some((_, holder, _)) = worker.fences().pop() else {
        return Verdict::NotRun("no order came".into());
    };
    let Some(index) = gateways.iter().position(|gateway| gateway.name == holder) else {
        return Verdict::NotRun("the holder is none of the instances".into());
    };
    // Callers reach the other instances only: the holder is about to be killed.
    let others: Vec<std::net::SocketAddr> = gateways
        .iter()
        .filter(|gateway| gateway.name != holder)
        .map(|gateway| gateway.callers)
        .collect();
    if run.has_trouble {
        link.cut(CUT_TIME);
    }
    let cut_at = Instant::now();
    record::line("the link to the worker is cut");
    let asking = thread::spawn(move || {
        let until = Instant::now() + Duration::from_secs(4);
        let mut asked = 0;
        while Instant::now() < until {
            let id = format!("0c41d07be2b3{asked:04x}");
            let address = others[asked % others.len()];
            let status = crate::limit::send(address, &id, PLACES + 1 + asked % 3, asked, 20);
            record::line(&format!(
                "{id} for m1/a{}: {status}",
                PLACES + 1 + asked % 3
            ));
            asked += 1;
            thread::sleep(Duration::from_millis(20));
        }
    });
    if run.has_trouble {
        let sent_at = loop {
            if let Some(at) = link.order_held_at() {
                break at;
            }
            if cut_at.elapsed() > CUT_TIME {
                return Verdict::NotRun("no order was sent while the link was cut".into());
            }
            thread::sleep(Duration::from_millis(2));
        };
        thread::sleep((sent_at + KILL_AFTER).saturating_duration_since(Instant::now()));
        record::line(&format!("{holder} is killed"));
        gateways[index].kill();
        thread::sleep((sent_at + RESTART_AFTER).saturating_duration_since(Instant::now()));
        gateways[index].launch();
        record::line(&format!("{holder} starts again"));
    }
    let _ = asking.join();
    let counting_from = cut_at + CUT_TIME + THAW;
    let fences = worker.fences();
    let is_stale = |pair: &&[(Instant, String, u64)]| {
        pair[1].2 < pair[0].2 && (!run.has_trouble || pair[1].0 > counting_from)
    };
    match fences.windows(2).find(is_stale) {
        Some(pair) => Verdict::Broken(format!(
            "ONE: an order with the fencing token {} came {:.0} ms after the link had healed, after one with {}",
            pair[1].2,
            (pair[1].0 - cut_at - CUT_TIME).as_secs_f64() * 1e3,
            pair[0].2
        )),
        None => Verdict::Held,
    }
}
