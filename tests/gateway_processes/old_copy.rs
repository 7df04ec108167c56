//! The store comes back from an old copy of its data.

use super::site::{GRACE_S, POLL_INTERVAL, Site, config, exchange, request, wait_for};
use serde_json::json;
use standins::platform::Copy;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

const INSTANCES: u8 = 3;
/// Writes that the store loses; its versions don't catch up while a test waits.
const LOST_WRITES: usize = 5_000;
const MODEL_WORKERS: [&str; 2] = ["a", "b"];

/// Requests for adapters in turn, more than a worker can hold, so that orders go on.
struct Demand {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Demand {
    fn start(site: &Site) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&is_over);
        let instances = 0..usize::from(INSTANCES);
        let addresses: Vec<SocketAddr> = instances.map(|it| site.callers(it)).collect();
        let thread = std::thread::spawn(move || {
            for (count, address) in addresses.iter().cycle().enumerate() {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let target = format!("m{}/a{}", count % 2 + 1, count / 2 % 3 + 1);
                let id = format!("{count:016x}");
                let _answer = exchange(*address, &request("/draft/x", &id, &target));
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
    site.platform.configure(&config(5_050));
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
    let site = Site::start(INSTANCES);
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

/// Lets a site write a lot after a copy was taken, and come back from the copy.
fn site_after_return() -> Site {
    let site = Site::start(INSTANCES);
    site.wait_until_ready();
    let copy = site.platform.copy();
    for count in 0..LOST_WRITES {
        site.platform.put("other", "row", &json!(count));
    }
    site.platform.configure(&config(5_050));
    site.platform.unlist(site.platform.worker("p"));
    wait_for("the changes that the store will lose", || {
        all_instances(|instance| {
            site.state(instance)["version"] == json!(5_050)
                && listed(&site, instance) < site.platform.workers().count()
        })
    });
    return_from(&site, &copy);
    site
}

/// Number of servers that an instance lists.
fn listed(site: &Site, instance: usize) -> usize {
    site.state(instance)["servers"]
        .as_array()
        .map_or(0, Vec::len)
}

fn all_instances(holds: impl Fn(usize) -> bool) -> bool {
    (0..usize::from(INSTANCES)).all(holds)
}

/// Guards against a configuration that is never put in force: feeds asked for changes after a version
/// that the store no longer had.
#[test]
fn configuration_written_after_the_return_is_put_in_force() {
    let site = site_after_return();
    site.platform.configure(&config(5_100));
    wait_for("the configuration at all instances", || {
        all_instances(|instance| site.state(instance)["version"] == json!(5_100))
    });
}

/// Guards against requests to servers that left after the return: the list stood still like the
/// configuration.
#[test]
fn server_that_leaves_after_the_return_is_known_everywhere() {
    let site = site_after_return();
    let all = site.platform.workers().count();
    wait_for("all servers at all instances", || {
        all_instances(|instance| listed(&site, instance) == all)
    });
    site.platform.unlist(site.platform.worker("q"));
    wait_for("the shorter list at all instances", || {
        all_instances(|instance| listed(&site, instance) == all - 1)
    });
}

/// Guards against an instance that no other one finds after a restart: it had registered after the copy was
/// taken, and the store has forgotten it.
#[test]
fn instance_that_the_store_has_forgotten_registers_again() {
    let mut site = Site::start(2);
    site.wait_until_ready();
    let copy = site.platform.copy();
    site.add_instance(GRACE_S);
    let registered = || site.platform.keys("poplarseam", "instance.").len();
    wait_for("the third instance", || registered() == 3);
    return_from(&site, &copy);
    assert_eq!(registered(), 2);
    wait_for("the third instance again", || registered() == 3);
}
