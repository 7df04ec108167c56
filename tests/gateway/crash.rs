//! Requests that crash the servers that run them.

use super::build::{ms, worker};
use poplarseam::decide::crash::Crashes;
use poplarseam::decide::suspect::Fingerprint;
use poplarseam::world::unit::Incarnation;

const CAUSE: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

fn broken(crashes: &mut Crashes, at: u64, fingerprint: Fingerprint, name: &str) {
    crashes.on_broken(ms(at), fingerprint, (worker(name), Incarnation(1)));
}

fn ended(crashes: &mut Crashes, at: u64, fingerprint: Fingerprint, name: &str) {
    broken(crashes, at, fingerprint, name);
    crashes.on_ended(ms(at + 100), &worker(name));
}

fn after(servers: &[&str]) -> Crashes {
    let mut crashes = Crashes::default();
    for name in servers {
        ended(&mut crashes, 0, CAUSE, name);
    }
    crashes
}

#[test]
fn a_request_that_was_running_on_three_servers_that_ended_is_not_sent() {
    assert!(!after(&["a", "b"]).is_convicted(CAUSE));
    assert!(!after(&["a", "b", "b"]).is_convicted(CAUSE));
    assert!(after(&["a", "b", "c"]).is_convicted(CAUSE));
}

#[test]
fn a_broken_connection_to_a_server_that_lives_on_strikes_nobody() {
    let mut crashes = Crashes::default();
    for name in ["a", "b", "c"] {
        broken(&mut crashes, 0, CAUSE, name);
        assert!(crashes.on_ended(ms(6_000), &worker(name)).is_empty());
    }
    assert!(!crashes.is_convicted(CAUSE));
}

/// Load: many requests run on servers that crash one after the other, and come again.
#[test]
fn a_success_acquits_for_good() {
    let mut crashes = after(&["a", "b"]);
    assert!(crashes.on_success(CAUSE));
    assert!(!crashes.on_success(CAUSE));
    ended(&mut crashes, 200, CAUSE, "c");
    assert!(!crashes.is_convicted(CAUSE));
    assert!(!crashes.on_success(INNOCENT));
}

#[test]
fn instances_that_tell_each_other_convict_together() {
    let [mut one, other] = [after(&["a"]), after(&["b", "c"])];
    for _ in 0..2 {
        for (fingerprint, record) in other.records() {
            one.on_told(ms(0), fingerprint, record.clone());
        }
    }
    assert!(one.is_convicted(CAUSE));
    assert!(!other.is_convicted(CAUSE));
}

#[test]
fn strikes_are_forgotten_after_a_while() {
    let mut crashes = after(&["a", "b", "c"]);
    ended(&mut crashes, 700_000, INNOCENT, "d");
    assert!(!crashes.is_convicted(CAUSE));
}
