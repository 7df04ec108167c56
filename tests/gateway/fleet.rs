//! Shard holders and the planner: loads stay within the weight store's rate.

use super::build::{backend, deployment, model, ms, site, target, worker};
use poplarseam::decide::fleet::Fleet;
use poplarseam::decide::planner::Job;
use poplarseam::decide::snapshot::Snapshot;
use poplarseam::world::shard::Shard;
use poplarseam::world::unit::{Fence, Incarnation};

/// Most loads allowed in a window of 5 s at 2 loads per second: 10 % above the rate, plus 3 loads.
const MAX_LOADS_PER_WINDOW: u64 = 14;

/// Creates a fleet of twelve idle workers with model `m1`, whose shards other instances hold.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&deployment("north-1"));
    fleet.on_site(&site());
    for number in 0..12 {
        let name = format!("w{number}");
        fleet.on_listed(ms(0), backend(&name, "north-1", "m1"), false);
        report_snapshot(&mut fleet, 0, &name, 1, &[]);
    }
    fleet
}

/// Reports a worker as loading some models from the weight store, or as idle if there are none.
fn report_snapshot(fleet: &mut Fleet, at: u64, name: &str, revision: u64, coming: &[&str]) {
    report_snapshot_of_start(fleet, at, name, (1, revision), coming);
}

/// Does so for a holder whose process has started `start` times.
fn report_snapshot_of_start(
    fleet: &mut Fleet,
    at: u64,
    name: &str,
    (start, revision): (u64, u64),
    coming: &[&str],
) {
    let snapshot = Snapshot {
        boot: Incarnation(1),
        fence: Fence(1),
        start,
        revision,
        holdings: super::build::holdings("m1"),
        closing: [].into(),
        coming: coming.iter().map(|name| model(name)).collect(),
        assignable: coming.is_empty(),
        from_store: !coming.is_empty(),
    };
    fleet.on_snapshot(ms(at), worker(name), snapshot);
}

/// Requests models that no worker holds.
fn request_unloaded_models(fleet: &mut Fleet, at: u64) {
    for number in 2..10 {
        let requested = target(&format!("m{number}"));
        fleet.token_demand.on_request(ms(at), requested, 100_000);
    }
    fleet.token_demand.tick(ms(at + 1));
}

#[test]
fn concurrent_loads_are_limited_to_what_the_store_serves_at_full_speed() {
    let mut fleet = fleet();
    request_unloaded_models(&mut fleet, 1_000);
    assert_eq!(fleet.plan(ms(1_100)).len(), 2);
    assert_eq!(fleet.plan(ms(1_400)).len(), 0);
}

#[test]
fn job_requested_from_another_holder_counts_as_started() {
    let mut fleet = fleet();
    fleet.token_demand.on_request(ms(1_000), target("m2"), 100);
    fleet.token_demand.tick(ms(1_001));
    assert_eq!(fleet.plan(ms(1_100)).len(), 1);
    assert_eq!(fleet.plan(ms(1_400)).len(), 0);
    assert_eq!(fleet.plan(ms(1_800)).len(), 1);
}

#[test]
fn loads_in_a_demand_spike_stay_within_the_load_rate_of_the_store() {
    let mut fleet = fleet();
    let mut started = Vec::new();
    for step in 0..200_u64 {
        let at = 1_000 + 100 * step;
        request_unloaded_models(&mut fleet, at);
        for (index, job) in fleet.plan(ms(at)).into_iter().enumerate() {
            started.push(at);
            let name = job.worker.to_string();
            let revision = 2 + 10 * step + index as u64;
            report_snapshot(
                &mut fleet,
                at,
                &name,
                revision,
                &[job.load.to_string().as_str()],
            );
            report_snapshot(&mut fleet, at, &name, revision + 1, &[]);
        }
    }
    let in_window = |from: u64| {
        started
            .iter()
            .filter(|at| (from..from + 5_000).contains(at))
            .count()
    };
    let max_in_window = started.iter().map(|at| in_window(*at)).max().unwrap();
    assert!(
        max_in_window <= 10,
        "{max_in_window} loads within 5 s at 2 a second"
    );
}

/// Guards against a restarted planner that uses the full load rate again, although loads that its
/// earlier incarnation started count in the same window.
#[test]
fn restarted_planner_counts_loads_of_its_earlier_incarnation() {
    let mut fleet = fleet();
    let mut started = 0_u64;
    for step in 1..50_u64 {
        let at = 100 * step;
        request_unloaded_models(&mut fleet, at);
        for job in fleet.plan(ms(at)) {
            started += 1;
            let (name, load) = (job.worker.to_string(), job.load.to_string());
            report_snapshot(&mut fleet, at, &name, 2 * started, &[load.as_str()]);
            report_snapshot(&mut fleet, at, &name, 2 * started + 1, &[]);
        }
        let earlier_loads = (5_000 - at) / 500;
        assert!(
            started + earlier_loads <= MAX_LOADS_PER_WINDOW,
            "{started} loads and {earlier_loads} earlier ones at {at} ms"
        );
    }
}

#[test]
fn loads_started_by_other_holders_count_for_the_planner() {
    let mut fleet = fleet();
    for number in 0..10 {
        let name = format!("w{number}");
        report_snapshot(&mut fleet, 900, &name, 2, &["m2"]);
        report_snapshot(&mut fleet, 950, &name, 3, &[]);
    }
    request_unloaded_models(&mut fleet, 1_000);
    assert_eq!(fleet.plan(ms(1_100)), Vec::<Job>::new());
}

/// Guards against a planner that ignores holders which were killed and took their leases back under the same
/// tokens, since they count revisions anew: it counted the loads of before as running for good, and no model
/// was loaded any more.
#[test]
fn a_holder_that_started_again_under_its_token_is_heard() {
    let mut fleet = fleet();
    for name in ["w0", "w1"] {
        report_snapshot_of_start(&mut fleet, 900, name, (1, 50), &["m9"]);
    }
    request_unloaded_models(&mut fleet, 1_000);
    assert_eq!(fleet.plan(ms(1_100)).len(), 0);
    for name in ["w0", "w1"] {
        report_snapshot_of_start(&mut fleet, 2_000, name, (2, 1), &[]);
    }
    assert_eq!(fleet.plan(ms(6_500)).len(), 2);
}

/// Guards against announcements from before a restart of the holder that arrive after it.
#[test]
fn announcements_from_before_a_restart_of_the_holder_are_ignored() {
    let mut fleet = fleet();
    for name in ["w0", "w1"] {
        report_snapshot_of_start(&mut fleet, 900, name, (2, 1), &[]);
        report_snapshot_of_start(&mut fleet, 910, name, (1, 50), &["m9"]);
    }
    request_unloaded_models(&mut fleet, 1_000);
    assert_eq!(fleet.plan(ms(6_500)).len(), 2);
}

#[test]
fn older_snapshot_of_a_worker_is_ignored() {
    let mut fleet = fleet();
    report_snapshot(&mut fleet, 900, "w0", 5, &["m2"]);
    report_snapshot(&mut fleet, 950, "w0", 4, &[]);
    request_unloaded_models(&mut fleet, 1_000);
    let jobs = fleet.plan(ms(1_100));
    assert!(jobs.iter().all(|job| job.worker != worker("w0")));
}

#[test]
fn job_for_a_worker_of_another_holder_is_refused() {
    let mut fleet = fleet();
    let job = Job {
        worker: worker("w0"),
        load: model("m2"),
        evict: Vec::new(),
        from_store: true,
    };
    assert!(!fleet.on_job(ms(0), &job));
}

#[test]
fn workers_are_spread_over_all_shards() {
    let shards = (0..40).map(|number| Shard::for_worker(&worker(&format!("w{number}"))));
    let shards: std::collections::BTreeSet<Shard> = shards.collect();
    assert_eq!(shards.len(), 4);
}
