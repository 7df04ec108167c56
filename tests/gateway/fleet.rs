//! Holders and the planner: loads stay below the weight store's rate.

use super::build::{backend, deployment, model, ms, site, target, worker};
use poplarseam::decide::arrange::Job;
use poplarseam::decide::fleet::Fleet;
use poplarseam::decide::told::Told;
use poplarseam::world::shard::Shard;
use poplarseam::world::unit::{Fence, Incarnation};

/// What is promised for a window of 5 s at 2 loads a second: a tenth more, and three.
const MOST_LOADS: u64 = 14;

/// Twelve workers that are told to be open and hold one model each.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&deployment("north-1"));
    fleet.on_site(&site());
    for number in 0..12 {
        let name = format!("w{number}");
        fleet.on_listed(ms(0), backend(&name, "north-1", "m1"), false);
        tell(&mut fleet, 0, &name, 1, &[]);
    }
    fleet
}

/// Tells that a worker loads some models from the weight store, or is open.
fn tell(fleet: &mut Fleet, at: u64, name: &str, revision: u64, coming: &[&str]) {
    let told = Told {
        boot: Incarnation(1),
        fence: Fence(1),
        revision,
        holdings: super::build::holdings("m1"),
        closing: [].into(),
        coming: coming.iter().map(|name| model(name)).collect(),
        open: coming.is_empty(),
        from_store: !coming.is_empty(),
    };
    fleet.on_told(ms(at), worker(name), told);
}

/// Everybody asks for models that nobody holds.
fn ask(fleet: &mut Fleet, at: u64) {
    for number in 2..10 {
        let asked = target(&format!("m{number}"));
        fleet.appetite.on_asked(ms(at), asked, 100_000);
    }
    fleet.appetite.tick(ms(at + 1));
}

#[test]
fn no_more_loads_at_once_than_the_store_gives_at_full_speed() {
    let mut fleet = fleet();
    ask(&mut fleet, 1_000);
    assert_eq!(fleet.plan(ms(1_100)).len(), 2);
    assert_eq!(fleet.plan(ms(1_400)).len(), 0);
}

#[test]
fn a_job_asked_of_another_holder_counts_as_begun() {
    let mut fleet = fleet();
    fleet.appetite.on_asked(ms(1_000), target("m2"), 100);
    fleet.appetite.tick(ms(1_001));
    assert_eq!(fleet.plan(ms(1_100)).len(), 1);
    assert_eq!(fleet.plan(ms(1_400)).len(), 0);
    assert_eq!(fleet.plan(ms(1_800)).len(), 1);
}

#[test]
fn a_storm_of_demand_stays_below_the_rate_of_the_store() {
    let mut fleet = fleet();
    let mut begun = Vec::new();
    for step in 0..200_u64 {
        let at = 1_000 + 100 * step;
        ask(&mut fleet, at);
        for (index, job) in fleet.plan(ms(at)).into_iter().enumerate() {
            begun.push(at);
            let name = job.worker.to_string();
            let revision = 2 + 10 * step + index as u64;
            tell(
                &mut fleet,
                at,
                &name,
                revision,
                &[job.load.to_string().as_str()],
            );
            tell(&mut fleet, at, &name, revision + 1, &[]);
        }
    }
    let in_window = |from: u64| {
        begun
            .iter()
            .filter(|at| (from..from + 5_000).contains(at))
            .count()
    };
    let most = begun.iter().map(|at| in_window(*at)).max().unwrap();
    assert!(most <= 10, "{most} loads within 5 s at 2 a second");
}

/// Guards against a start that hands out a full rate of loads: those that an earlier start began
/// count in the same window.
#[test]
fn a_planner_that_starts_anew_leaves_room_for_the_loads_of_its_earlier_start() {
    let mut fleet = fleet();
    let mut begun = 0_u64;
    for step in 1..50_u64 {
        let at = 100 * step;
        ask(&mut fleet, at);
        for job in fleet.plan(ms(at)) {
            begun += 1;
            let (name, load) = (job.worker.to_string(), job.load.to_string());
            tell(&mut fleet, at, &name, 2 * begun, &[load.as_str()]);
            tell(&mut fleet, at, &name, 2 * begun + 1, &[]);
        }
        let before = (5_000 - at) / 500;
        assert!(
            begun + before <= MOST_LOADS,
            "{begun} and {before} at {at} ms"
        );
    }
}

#[test]
fn loads_that_other_holders_begin_count_for_the_next_planner() {
    let mut fleet = fleet();
    for number in 0..10 {
        let name = format!("w{number}");
        tell(&mut fleet, 900, &name, 2, &["m2"]);
        tell(&mut fleet, 950, &name, 3, &[]);
    }
    ask(&mut fleet, 1_000);
    assert_eq!(fleet.plan(ms(1_100)), Vec::<Job>::new());
}

#[test]
fn older_word_of_a_worker_is_not_taken() {
    let mut fleet = fleet();
    tell(&mut fleet, 900, "w0", 5, &["m2"]);
    tell(&mut fleet, 950, "w0", 4, &[]);
    ask(&mut fleet, 1_000);
    let jobs = fleet.plan(ms(1_100));
    assert!(jobs.iter().all(|job| job.worker != worker("w0")));
}

#[test]
fn a_job_for_a_worker_that_is_held_elsewhere_is_refused() {
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
fn workers_fall_to_several_shards() {
    let shards = (0..40).map(|number| Shard::for_worker(&worker(&format!("w{number}"))));
    let shards: std::collections::BTreeSet<Shard> = shards.collect();
    assert_eq!(shards.len(), 4);
}
