//! Checks that requests with a prompt part that crashes servers stop reaching servers.

use super::raw_server::replace_servers;
use super::site::{GRACE_S, Site, exchange, request_with_parts, status, wait_for};
use standins::platform::Platform;
use standins::worker::Worker;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const SERVERS: [&str; 4] = ["a", "b", "c", "d"];
/// Part that crashes servers, in hexadecimal.
const DEADLY: &str = "dead";
/// Crashes of a part after which its requests must not reach a server.
const MAX_CRASHES: u64 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A site one of whose prompt parts crashes servers.
struct Tainted {
    site: Site,
    requests: usize,
}

impl Tainted {
    fn start(instances: u8) -> Self {
        let more = ["c", "d"].map(|name| Worker::new(name, "llm", &["m1"], 4, EVENT_INTERVAL));
        let site = Site::start_all(more.into(), instances, GRACE_S, Platform::start);
        site.wait_until_ready();
        for name in SERVERS {
            site.platform.worker(name).crash_on(Some(DEADLY));
        }
        Self { site, requests: 0 }
    }

    /// Sends a request whose prompt has these shared parts and a last part of its own; returns the
    /// answer and how many servers it crashed.
    fn ask(&mut self, instance: usize, parts: &[&str]) -> (String, u64) {
        self.requests += 1;
        let parts = parts
            .iter()
            .fold(String::new(), |all, part| all + part + ":50,");
        let parts = format!("{parts}{:x}:10", 0x1000 + self.requests);
        let id = format!("t{}", self.requests);
        let request = request_with_parts("/draft/x", &id, "m1", &parts);
        let before = self.crashes();
        let answer = exchange(self.site.callers(instance), &request).unwrap_or_default();
        (answer, self.crashes() - before)
    }

    fn crashes(&self) -> u64 {
        let servers = SERVERS.map(|name| self.site.platform.worker(name).crashes());
        servers.iter().sum()
    }

    /// Sends deadly requests to one instance after the other until one is refused.
    fn crash_until_refused(&mut self) {
        for number in 0.. {
            let instance = number % self.site.instances.len();
            let before = SERVERS.map(|name| self.site.platform.worker(name).crashes());
            let (answer, crashes) = self.ask(instance, &["1", DEADLY]);
            if status(&answer) == 503 {
                assert_eq!(crashes, 0, "{answer}");
                return;
            }
            assert!(self.crashes() <= MAX_CRASHES, "still sent: {answer}");
            self.restart_crashed(&before);
        }
    }

    /// Has the servers that crashed since `before` return as new incarnations, and waits until all
    /// instances know.
    fn restart_crashed(&self, before: &[u64]) {
        for (name, before) in SERVERS.iter().zip(before) {
            let worker = self.site.platform.worker(name);
            if worker.crashes() != *before {
                self.site.platform.unlist(worker);
                self.site.platform.list(worker, "ready");
            }
        }
        wait_for("the new incarnations", || {
            let mut instances = 0..self.site.instances.len();
            instances.all(|instance| self.knows_incarnations(instance))
        });
    }

    fn knows_incarnations(&self, instance: usize) -> bool {
        let state = self.site.state(instance);
        let servers = state["servers"].as_array().cloned().unwrap_or_default();
        SERVERS.iter().all(|name| {
            let boot = 1_000 + self.site.platform.worker(name).crashes();
            let mut servers = servers.iter().map(|server| &server["backend"]);
            servers.any(|server| server["id"] == *name && server["boot"] == boot)
        })
    }

    /// Waits until the quarantine is in the store; returns its key.
    fn wait_for_row(&self) -> String {
        let keys = || self.site.platform.keys("poplarseam", "quarantine.");
        wait_for("the quarantine in the store", || keys().len() == 1);
        keys().remove(0)
    }

    fn assert_refused_everywhere(&mut self) {
        for instance in 0..self.site.instances.len() {
            let (answer, crashes) = self.ask(instance, &["1", DEADLY]);
            assert_eq!((status(&answer), crashes), (503, 0), "{answer}");
            assert!(answer.contains("retry-after"), "{answer}");
        }
    }
}

/// Guards against a prompt part that crashes one server after the other: no two requests with it
/// are alike, so they can't be recognised by their bodies.
#[test]
fn requests_with_a_part_that_crashes_servers_are_refused_at_every_instance() {
    let mut tainted = Tainted::start(2);
    tainted.crash_until_refused();
    wait_for("the other instance to refuse", || {
        tainted.site.state(1)["quarantine"] == tainted.site.state(0)["quarantine"]
    });
    tainted.assert_refused_everywhere();
}

/// Guards against a quarantine that also refuses the sound requests which share the other parts of
/// the deadly ones.
#[test]
fn sound_requests_that_share_the_other_parts_of_deadly_ones_are_served() {
    let mut tainted = Tainted::start(2);
    tainted.crash_until_refused();
    for instance in 0..2 {
        let (answer, _) = tainted.ask(instance, &["1"]);
        assert_eq!(status(&answer), 200, "{answer}");
        let (answer, _) = tainted.ask(instance, &["1", "beef"]);
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

/// Guards against a quarantine that ends with the processes that know of it: every restart would
/// cost the servers that are needed to find the part again.
#[test]
fn a_quarantine_outlives_the_restart_of_all_instances() {
    let mut tainted = Tainted::start(2);
    tainted.crash_until_refused();
    tainted.wait_for_row();
    for instance in 0..2 {
        tainted.site.instances[instance].1.kill();
    }
    for instance in 0..2 {
        tainted.site.relaunch(instance);
    }
    tainted.site.wait_until_ready();
    tainted.assert_refused_everywhere();
}

/// Guards against an instance that starts when the store has lost the quarantine, and would have
/// to find the part by itself.
#[test]
fn an_instance_that_joins_learns_the_quarantine_from_its_peers() {
    let mut tainted = Tainted::start(2);
    tainted.crash_until_refused();
    let row = tainted.wait_for_row();
    tainted.site.platform.remove("poplarseam", &row);
    tainted.site.add_instance(GRACE_S);
    tainted.site.wait_until_ready();
    wait_for("the new instance to refuse", || {
        tainted.site.state(2)["quarantine"] == tainted.site.state(0)["quarantine"]
    });
    tainted.assert_refused_everywhere();
}

/// A server that ends as soon as it receives a request, and leaves its entry in the list. It answers
/// other calls with an error.
fn start_server_that_ends() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut call = [0; 4_096];
            let length = stream.read(&mut call).unwrap_or(0);
            let call = String::from_utf8_lossy(&call[..length]).to_lowercase();
            if call.contains("x-request-id") {
                return;
            }
            let refusal =
                b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            let _ = stream.write_all(refusal);
        }
    });
    address
}

/// Guards against a crash that counts only when the next request finds the server gone: meanwhile
/// further servers end.
#[test]
fn the_end_of_a_server_is_confirmed_without_another_request() {
    let site = Site::ready();
    replace_servers(&site, start_server_that_ends(), "llm", &["m1"]);
    let answer = site.ask("/draft/x", "r1", "m1");
    assert_eq!(status(&answer), 502, "{answer}");
    wait_for("the crash", || {
        site.counter(0, "poplarseam_crashes_total{outcome=\"confirmed\"}") == 1
    });
}
