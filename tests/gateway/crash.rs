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

/// Servers that end one after the other, two seconds apart.
fn after(servers: &[&str]) -> Crashes {
    let mut crashes = Crashes::default();
    for (number, name) in servers.iter().enumerate() {
        ended(&mut crashes, 2_000 * number as u64, CAUSE, name);
    }
    crashes
}

fn is_convicted(crashes: &Crashes) -> bool {
    crashes.is_convicted(ms(6_000), CAUSE)
}

#[test]
fn a_request_that_was_running_on_three_servers_that_ended_is_not_sent() {
    assert!(!is_convicted(&after(&["a", "b"])));
    assert!(!is_convicted(&after(&["a", "b", "b"])));
    assert!(is_convicted(&after(&["a", "b", "c"])));
}

/// Guards against a popular request that is refused because all servers ended at once.
#[test]
fn servers_that_end_together_are_one_strike() {
    let mut crashes = Crashes::default();
    for name in ["a", "b", "c", "d"] {
        broken(&mut crashes, 0, CAUSE, name);
    }
    for (number, name) in ["a", "b", "c", "d"].iter().enumerate() {
        crashes.on_ended(ms(1_200 * number as u64), &worker(name));
    }
    assert!(!is_convicted(&crashes));
}

#[test]
fn a_broken_connection_to_a_server_that_lives_on_strikes_nobody() {
    let mut crashes = Crashes::default();
    for name in ["a", "b", "c"] {
        broken(&mut crashes, 0, CAUSE, name);
        assert!(crashes.on_ended(ms(6_000), &worker(name)).is_empty());
    }
    assert!(!is_convicted(&crashes));
}

#[test]
fn a_convicted_request_may_be_sent_again_after_a_minute() {
    let crashes = after(&["a", "b", "c"]);
    assert!(crashes.is_convicted(ms(63_000), CAUSE));
    assert!(!crashes.is_convicted(ms(65_000), CAUSE));
}

/// Load: many requests run on servers that crash one after the other, and come again.
#[test]
fn a_success_acquits_for_good() {
    let mut crashes = after(&["a", "b"]);
    assert!(crashes.on_success(CAUSE));
    assert!(!crashes.on_success(CAUSE));
    ended(&mut crashes, 4_000, CAUSE, "c");
    assert!(!is_convicted(&crashes));
    assert!(!crashes.on_success(INNOCENT));
}

#[test]
fn instances_that_tell_each_other_convict_together() {
    let [mut one, mut other] = [after(&["a"]), Crashes::default()];
    ended(&mut other, 2_000, CAUSE, "b");
    ended(&mut other, 4_000, CAUSE, "c");
    for _ in 0..2 {
        for (fingerprint, record) in other.records() {
            one.on_told(ms(4_200), fingerprint, record.clone());
        }
    }
    assert!(is_convicted(&one));
    assert!(!is_convicted(&other));
}

#[test]
fn strikes_are_forgotten_after_a_while() {
    let mut crashes = after(&["a", "b", "c"]);
    ended(&mut crashes, 700_000, INNOCENT, "d");
    assert!(!crashes.is_convicted(ms(700_000), CAUSE));
    let known = crashes.records().map(|(fingerprint, _)| fingerprint);
    assert_eq!(known.collect::<Vec<_>>(), [INNOCENT]);
}
