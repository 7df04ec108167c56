//! Checks the retries of all instances together, as the backend servers count them.

use super::site::{EXTRA_RETRIES, GRACE_S, RETRY_RATIO, RETRY_WINDOW, Site, status, wait_for};
use standins::worker::Fault;
use std::time::Instant;

/// Requests to one instance; more than its retry budget could cover.
const MAX_REQUESTS: usize = 60;

/// A site whose plain servers run each request and fail.
struct Failing {
    site: Site,
    requests: usize,
    began: Instant,
}

impl Failing {
    fn start(instances: u8) -> Self {
        let site = Site::start(instances);
        site.wait_until_ready();
        site.set_fault(&["p", "q"], Fault::Fail);
        Self {
            site,
            requests: 0,
            began: Instant::now(),
        }
    }

    /// Sends retryable requests to one instance until it retries no more.
    fn exhaust(&mut self, instance: usize) {
        for _ in 0..MAX_REQUESTS {
            self.requests += 1;
            let id = format!("r{}", self.requests);
            let answer = self.site.ask_at(instance, "/check/x", &id, "");
            assert_eq!(status(&answer), 500, "{answer}");
            if self.site.run_count(&id) == 1 {
                return;
            }
        }
        panic!("instance {instance} repeated all of {MAX_REQUESTS} requests");
    }

    fn assert_within_budget(&self) {
        let servers = ["p", "q"].map(|server| self.site.platform.worker(server).ran().len());
        let repeats = servers.iter().sum::<usize>() - self.requests;
        let windows = self.began.elapsed().div_duration_f64(RETRY_WINDOW).ceil();
        let requests = self.requests;
        let allowed = RETRY_RATIO * as_f64(requests) + EXTRA_RETRIES * windows;
        assert!(
            as_f64(repeats) <= allowed,
            "{repeats} repeats for {requests} requests; allowed are {allowed}"
        );
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Guards against a share of the retry budget that is computed from the peers known at the first
/// retry and never reduced when more instances join.
#[test]
fn instances_that_join_one_by_one_keep_to_one_retry_budget() {
    let mut failing = Failing::start(1);
    failing.exhaust(0);
    for instance in 1..8 {
        failing.site.add_instance(GRACE_S);
        failing.site.wait_until_ready();
        failing.exhaust(instance);
    }
    failing.assert_within_budget();
}

/// Guards against a full retry budget at each start: every restart then adds another one.
#[test]
fn instances_that_restart_keep_to_one_retry_budget() {
    let mut failing = Failing::start(4);
    for _ in 0..4 {
        for instance in 0..4 {
            failing.exhaust(instance);
            failing.site.restart(instance);
        }
        wait_for("all instances hear each other", || {
            (0..4).all(|instance| failing.site.state(instance)["instances"] == 4)
        });
        failing.site.wait_until_ready();
    }
    failing.assert_within_budget();
}
