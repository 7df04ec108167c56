//! On how many workers a request may run, and where it may go next.

use super::build::worker;
use poplarseam::decide::attempts::Attempts;

fn ran(attempts: &mut Attempts, name: &str) {
    attempts.on_sent(&worker(name));
    attempts.on_run(&worker(name));
}

#[test]
fn a_request_goes_to_each_worker_once() {
    let mut attempts = Attempts::new(3);
    assert!(attempts.is_new());
    attempts.on_sent(&worker("a"));
    assert!(!attempts.is_new());
    assert!(!attempts.allows(&worker("a")));
    assert!(attempts.allows(&worker("b")));
}

/// Guards against a resumed stream that runs on more workers than its route allows.
#[test]
fn a_resumed_stream_goes_back_and_forth_between_the_workers_that_its_route_allows() {
    let mut attempts = Attempts::new(2);
    ran(&mut attempts, "a");
    attempts.on_broken_off(&worker("a"));
    assert!(!attempts.allows(&worker("a")));
    ran(&mut attempts, "b");
    attempts.on_broken_off(&worker("b"));
    assert!(attempts.allows(&worker("a")));
    assert!(!attempts.allows(&worker("b")));
    assert!(!attempts.allows(&worker("c")));
}

#[test]
fn workers_that_did_not_run_it_do_not_count() {
    let mut attempts = Attempts::new(1);
    attempts.on_sent(&worker("a"));
    attempts.on_sent(&worker("b"));
    assert!(!attempts.has_run());
    assert!(attempts.allows(&worker("c")));
}

#[test]
fn a_worker_may_be_left_only_for_one_more_that_the_route_allows() {
    let mut attempts = Attempts::new(2);
    assert!(attempts.may_leave(&worker("a")));
    ran(&mut attempts, "a");
    assert!(attempts.may_leave(&worker("a")));
    assert!(!attempts.may_leave(&worker("b")));
    assert!(!Attempts::new(1).may_leave(&worker("a")));
}
