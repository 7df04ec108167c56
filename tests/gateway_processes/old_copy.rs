//! The store comes back from an old copy of its data.

use super::site::{POLL_INTERVAL, Site, config, wait_for};
use standins::platform::Copy;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

const MODEL_WORKERS: [&str; 2] = ["a", "b"];

/// Requests for adapters in turn, more than a worker can hold, so that orders go on.
struct Demand {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Demand {
    fn start(site: &Arc<Site>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (site, ends) = (Arc::clone(site), Arc::clone(&is_over));
        let thread = std::thread::spawn(move || {
            let instances = site.instances.len();
            for count in 0_usize.. {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let target = format!("m{}/a{}", count % 2 + 1, count / 2 % 3 + 1);
                let id = format!("{count:016x}");
                site.ask_at(count % instances, "/draft/x", &id, &target);
            }
        });
        Self { is_over, thread }
    }

    fn end(self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
    }
}

/// Lets the store come back from a copy; the operator and the workers write their rows again.
fn return_from(site: &Site, copy: &Copy) {
    site.platform.return_from(copy);
    site.platform.configure(&config(5_000));
    for worker in site.platform.workers() {
        site.platform.list(worker, "ready");
    }
}

fn order_count(site: &Site) -> usize {
    let workers = MODEL_WORKERS.map(|worker| site.platform.worker(worker).fences().len());
    workers.iter().sum()
}

/// Returns the holder whose order came last at a worker.
fn last_holder(site: &Site, worker: &str) -> Option<String> {
    let fences = site.platform.worker(worker).fences();
    fences.last().map(|(_, holder)| holder.clone())
}

fn address(site: &Site, instance: &str) -> Ipv4Addr {
    let number: u8 = instance.trim_start_matches("edge-").parse().unwrap();
    site.instances[usize::from(number) - 1].0
}

/// Guards against two holders with one fencing token, or a lower one after a higher one: the lease
/// changed hands after the copy was taken, so that its row bears the former holder's token again.
#[test]
fn orders_never_bear_a_token_of_another_holder_after_the_store_came_back_from_an_old_copy() {
    let site = Arc::new(Site::start(3));
    site.wait_until_ready();
    let demand = Demand::start(&site);
    let worker = "b";
    wait_for("an order", || last_holder(&site, worker).is_some());
    let first = last_holder(&site, worker).unwrap();
    let copy = site.platform.copy();
    site.platform.set_silent_to(address(&site, &first), true);
    wait_for("an order of another holder", || {
        last_holder(&site, worker).is_some_and(|holder| holder != first)
    });
    site.platform.set_silent_to(address(&site, &first), false);
    std::thread::sleep(POLL_INTERVAL * 10);
    let before = order_count(&site);
    return_from(&site, &copy);
    wait_for("many orders after the return", || {
        order_count(&site) >= before + 20
    });
    demand.end();
    for worker in MODEL_WORKERS {
        let fences = site.platform.worker(worker).fences();
        let breaches = fences.windows(2).filter(|pair| {
            let ((before, former), (fence, holder)) = (&pair[0], &pair[1]);
            holder != former && fence <= before
        });
        assert_eq!(breaches.count(), 0, "{worker}: {fences:?}");
    }
}
