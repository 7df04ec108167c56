//! Checks on how many workers a request may run, and to which it may be sent next.

use super::build::worker;
use poplarseam::decide::attempts::Attempts;

fn run_on(attempts: &mut Attempts, name: &str) {
    attempts.on_sent(&worker(name));
    attempts.on_possible_run(&worker(name));
}

#[test]
fn a_request_is_sent_to_each_worker_once() {
    let mut attempts = Attempts::new(3);
    assert!(attempts.is_unsent());
    attempts.on_sent(&worker("a"));
    assert!(!attempts.is_unsent());
    assert!(!attempts.allows(&worker("a")));
    assert!(attempts.allows(&worker("b")));
}

/// Guards against a resumed stream that runs on more workers than its route allows.
#[test]
fn a_resumed_stream_alternates_between_the_workers_that_its_route_allows() {
    let mut attempts = Attempts::new(2);
    run_on(&mut attempts, "a");
    attempts.on_stream_broken(&worker("a"));
    assert!(!attempts.allows(&worker("a")));
    run_on(&mut attempts, "b");
    attempts.on_stream_broken(&worker("b"));
    assert!(attempts.allows(&worker("a")));
    assert!(!attempts.allows(&worker("b")));
    assert!(!attempts.allows(&worker("c")));
}

#[test]
fn workers_that_did_not_run_the_request_do_not_count() {
    let mut attempts = Attempts::new(1);
    attempts.on_sent(&worker("a"));
    attempts.on_sent(&worker("b"));
    assert!(!attempts.has_run());
    assert!(attempts.allows(&worker("c")));
}

#[test]
fn a_request_may_move_only_if_its_route_allows_another_worker() {
    let mut attempts = Attempts::new(2);
    assert!(attempts.may_move_from(&worker("a")));
    run_on(&mut attempts, "a");
    assert!(attempts.may_move_from(&worker("a")));
    assert!(!attempts.may_move_from(&worker("b")));
    assert!(!Attempts::new(1).may_move_from(&worker("a")));
}
