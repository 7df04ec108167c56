//! Notices of servers: departure and Retry-After.

use super::site::{GRACE_S, POLL_INTERVAL, Site, exchange, request, status, wait_for};
use serde_json::json;
use standins::platform::Platform;
use standins::worker::{Fault, Worker};
use std::time::{Duration, Instant};

/// The Retry-After that servers send.
const REST_TIME: Duration = Duration::from_secs(3);
/// Number of requests that show where an instance sends them.
const REQUEST_COUNT: usize = 20;
/// An immediate refusal arrives within this time, even on a busy machine.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

fn arrivals(site: &Site, worker: &str) -> usize {
    site.platform.worker(worker).arrivals().len()
}

/// Sends requests to the plain service until one has arrived at a server.
fn send_until_received(site: &Site, instance: usize, worker: &str) {
    let before = arrivals(site, worker);
    let mut number = 0;
    wait_for("an answer of the server", || {
        number += 1;
        let id = format!("seek-{instance}-{worker}-{number}");
        site.ask_at(instance, "/check/x", &id, "");
        arrivals(site, worker) > before
    });
}

fn send_probes(site: &Site, instance: usize, name: &str) {
    for number in 0..REQUEST_COUNT {
        let id = format!("{name}-{number}");
        let answer = site.ask_at(instance, "/issue/x", &id, "");
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

fn is_known_as_leaving(site: &Site, instance: usize, worker: &str) -> bool {
    let servers = site.state(instance)["servers"].clone();
    let servers = servers.as_array().cloned().unwrap_or_default();
    let mut servers = servers.iter().map(|server| &server["backend"]);
    servers.any(|backend| backend["id"] == worker && backend["leaving"] == json!(true))
}

/// Guards against requests to a leaving server until the list shows it. The server announces it
/// in its responses first, and the list may not show it at all while the store is down.
#[test]
fn a_server_that_announces_its_departure_gets_no_more_requests_from_any_instance() {
    let mut site = Site::start(2);
    site.wait_until_ready();
    site.platform.worker("p").leave();
    send_until_received(&site, 0, "p");
    wait_for("the peer hears of it", || {
        is_known_as_leaving(&site, 1, "p")
    });
    let seen = arrivals(&site, "p");
    send_probes(&site, 0, "here");
    send_probes(&site, 1, "there");
    site.platform.set_down(true);
    send_probes(&site, 0, "down");
    site.platform.set_down(false);
    site.platform.unlist(site.platform.worker("p"));
    wait_for("the entry lapses", || {
        let servers = site.state(0)["servers"].clone();
        servers.as_array().map_or(0, Vec::len) == 3
    });
    site.platform.list(site.platform.worker("p"), "ready");
    site.wait_until_ready();
    send_probes(&site, 0, "back");
    assert_eq!(arrivals(&site, "p"), seen);
    site.restart(0);
    site.wait_until_ready();
    wait_for("a peer tells the new start", || {
        is_known_as_leaving(&site, 0, "p")
    });
    let seen = arrivals(&site, "p");
    send_probes(&site, 0, "anew");
    assert_eq!(arrivals(&site, "p"), seen);
}

/// Guards against knowledge of departures that ends with the processes: after a restart of all instances,
/// a server that only its answers had announced as leaving got requests again.
#[test]
fn a_server_that_announced_its_departure_gets_no_requests_after_the_restart_of_all_instances() {
    let mut site = Site::start(2);
    site.wait_until_ready();
    site.platform.worker("p").leave();
    send_until_received(&site, 0, "p");
    wait_for("the row", || {
        site.platform.keys("poplarseam", "leaving.").len() == 1
    });
    for instance in 0..2 {
        site.instances[instance].1.kill();
    }
    for instance in 0..2 {
        site.relaunch(instance);
    }
    site.wait_until_ready();
    wait_for("the row is read", || {
        (0..2).all(|instance| is_known_as_leaving(&site, instance, "p"))
    });
    let seen = arrivals(&site, "p");
    send_probes(&site, 0, "one");
    send_probes(&site, 1, "two");
    assert_eq!(arrivals(&site, "p"), seen);
    site.platform.list(site.platform.worker("p"), "draining");
    wait_for("the row is removed", || {
        site.platform.keys("poplarseam", "leaving.").is_empty()
    });
}

/// Guards against requests to a full server before its Retry-After has passed.
#[test]
fn a_server_that_sends_retry_after_gets_no_requests_until_it_expires() {
    let site = Site::ready();
    site.platform.worker("p").turn_away(&["3"]);
    send_until_received(&site, 0, "p");
    let (began, _) = site.platform.worker("p").arrivals().last().unwrap().clone();
    site.instances[0].1.signal("STOP");
    std::thread::sleep(REST_TIME / 3);
    site.instances[0].1.signal("CONT");
    let mut number = 0;
    while began.elapsed() + POLL_INTERVAL < REST_TIME {
        number += 1;
        let id = format!("r{number}");
        assert_eq!(status(&site.ask("/check/x", &id, "")), 200);
    }
    let seen = site.platform.worker("p").arrivals();
    let meanwhile = seen
        .iter()
        .filter(|(at, _)| *at > began && *at < began + REST_TIME);
    assert_eq!(meanwhile.count(), 0);
    assert_is_used_again(&site);
}

/// Checks that `p` gets requests again while the other server is throttled.
fn assert_is_used_again(site: &Site) {
    site.set_fault(&["p"], Fault::None);
    site.platform.worker("q").turn_away(&["30"]);
    send_until_received(site, 0, "p");
}

/// All servers of a service are full.
#[test]
fn callers_are_refused_at_once_with_retry_after_when_all_servers_are_throttled() {
    let site = Site::ready();
    for server in ["p", "q"] {
        site.platform.worker(server).turn_away(&["3"]);
    }
    send_until_received(&site, 0, "p");
    send_until_received(&site, 0, "q");
    let asked = Instant::now();
    let answer = site.ask("/issue/x", "r1", "");
    assert!(asked.elapsed() < MAX_REFUSAL_TIME, "{:?}", asked.elapsed());
    assert_eq!(status(&answer), 503, "{answer}");
    let back = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let back: f64 = back.unwrap().trim().parse().unwrap();
    assert!(
        back > 0.0 && back <= 2.0 * REST_TIME.as_secs_f64(),
        "{back}"
    );
    assert_eq!(site.run_count("r1"), 0);
}

/// A worker is full: its streams must continue, and orders for it can wait.
#[test]
fn streams_continue_and_orders_wait_at_a_throttled_worker() {
    let site = Site::ready();
    let callers = site.callers(0);
    let stream = std::thread::spawn(move || exchange(callers, &request("/draft/x", "r1", "m2")));
    wait_for("the stream runs", || site.run_count("r1") == 1);
    site.platform.worker("b").turn_away(&["3"]);
    let turned_away = site.ask("/draft/x", "r2", "m2");
    assert_eq!(status(&turned_away), 503, "{turned_away}");
    let (began, _) = site.platform.worker("b").arrivals().last().unwrap().clone();
    let refused = site.ask("/draft/x", "r3", "m2/a1");
    assert_eq!(status(&refused), 503, "{refused}");
    let whole = stream.join().unwrap().unwrap();
    assert!(whole.contains("piece 10"), "{whole}");
    std::thread::sleep(REST_TIME.saturating_sub(began.elapsed() + POLL_INTERVAL));
    let calls = site.platform.worker("b").calls();
    let meanwhile = calls
        .iter()
        .filter(|at| **at > began + POLL_INTERVAL && **at < began + REST_TIME);
    assert_eq!(meanwhile.count(), 0);
    site.set_fault(&["b"], Fault::None);
    wait_for("the adapter", || {
        status(&site.ask("/draft/x", "r4", "m2/a1")) == 200
    });
}

/// Guards against invalid Retry-After values: they must break nothing and exclude no server.
#[test]
fn an_invalid_retry_after_is_counted_and_ignored() {
    let site = Site::start_all(Vec::new(), 1, GRACE_S, Platform::start);
    site.wait_until_ready();
    let p: &Worker = site.platform.worker("p");
    p.turn_away(&["soon", "-3"]);
    send_until_received(&site, 0, "p");
    assert!(site.counter(0, "poplarseam_rests_total{outcome=\"unclear\"}") > 0);
    assert_eq!(
        site.counter(0, "poplarseam_rests_total{outcome=\"taken\"}"),
        0
    );
    assert_is_used_again(&site);
}
