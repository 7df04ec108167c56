//! Quarantine of requests that crash the servers that run them.

use super::build::{ms, worker};
use poplarseam::decide::crash::Crashes;
use poplarseam::decide::suspect::Fingerprint;
use poplarseam::world::unit::Incarnation;

const CAUSE: Fingerprint = Fingerprint(1);
const UNRELATED: Fingerprint = Fingerprint(2);

fn break_connection(crashes: &mut Crashes, at: u64, fingerprint: Fingerprint, name: &str) {
    crashes.on_connection_broken(ms(at), fingerprint, (worker(name), Incarnation(1)));
}

fn crash(crashes: &mut Crashes, at: u64, fingerprint: Fingerprint, name: &str) {
    break_connection(crashes, at, fingerprint, name);
    crashes.on_server_ended(ms(at + 100), &worker(name));
}

/// Returns the records after these servers crashed one after the other, two seconds apart.
fn after_crashes_of(servers: &[&str]) -> Crashes {
    let mut crashes = Crashes::default();
    for (number, name) in servers.iter().enumerate() {
        crash(&mut crashes, 2_000 * number as u64, CAUSE, name);
    }
    crashes
}

fn is_quarantined(crashes: &Crashes) -> bool {
    crashes.is_quarantined(ms(6_000), CAUSE)
}

#[test]
fn a_request_that_crashed_three_servers_is_quarantined() {
    assert!(!is_quarantined(&after_crashes_of(&["a", "b"])));
    assert!(!is_quarantined(&after_crashes_of(&["a", "b", "b"])));
    assert!(is_quarantined(&after_crashes_of(&["a", "b", "c"])));
}

/// Guards against quarantine of a popular request because all servers ended at once.
#[test]
fn simultaneous_crashes_count_once() {
    let mut crashes = Crashes::default();
    for name in ["a", "b", "c", "d"] {
        break_connection(&mut crashes, 0, CAUSE, name);
    }
    for (number, name) in ["a", "b", "c", "d"].iter().enumerate() {
        crashes.on_server_ended(ms(1_200 * number as u64), &worker(name));
    }
    assert!(!is_quarantined(&crashes));
}

#[test]
fn a_broken_connection_to_a_surviving_server_does_not_count() {
    let mut crashes = Crashes::default();
    for name in ["a", "b", "c"] {
        break_connection(&mut crashes, 0, CAUSE, name);
        assert!(crashes.on_server_ended(ms(6_000), &worker(name)).is_empty());
    }
    assert!(!is_quarantined(&crashes));
}

#[test]
fn quarantine_ends_one_minute_after_the_last_crash() {
    let crashes = after_crashes_of(&["a", "b", "c"]);
    assert!(crashes.is_quarantined(ms(63_000), CAUSE));
    assert!(!crashes.is_quarantined(ms(65_000), CAUSE));
}

/// Many requests run on servers that crash one after the other, and are then sent again. A request
/// that succeeds after a crash did not cause the crashes.
#[test]
fn a_success_clears_a_request_permanently() {
    let mut crashes = after_crashes_of(&["a", "b"]);
    assert!(crashes.on_success(CAUSE));
    assert!(!crashes.on_success(CAUSE));
    crash(&mut crashes, 4_000, CAUSE, "c");
    assert!(!is_quarantined(&crashes));
    assert!(!crashes.on_success(UNRELATED));
}

#[test]
fn merged_records_of_instances_lead_to_quarantine() {
    let [mut one, mut other] = [after_crashes_of(&["a"]), Crashes::default()];
    crash(&mut other, 2_000, CAUSE, "b");
    crash(&mut other, 4_000, CAUSE, "c");
    for _ in 0..2 {
        for (fingerprint, record) in other.records() {
            one.merge(ms(4_200), fingerprint, record.clone());
        }
    }
    assert!(is_quarantined(&one));
    assert!(!is_quarantined(&other));
}

#[test]
fn records_expire() {
    let mut crashes = after_crashes_of(&["a", "b", "c"]);
    crash(&mut crashes, 700_000, UNRELATED, "d");
    assert!(!crashes.is_quarantined(ms(700_000), CAUSE));
    let known = crashes.records().map(|(fingerprint, _)| fingerprint);
    assert_eq!(known.collect::<Vec<_>>(), [UNRELATED]);
}
