//! Placement: which load patterns lead to which jobs.

use super::build::{model, worker};
use super::reference::Reference;
use poplarseam::decide::arrange::{Job, Planner, Policy, Wanted, Worker};
use poplarseam::world::id;
use poplarseam::world::unit::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn models(text: &str) -> BTreeSet<id::Model> {
    text.split_whitespace().map(model).collect()
}

fn workers(held: &[&str]) -> Vec<Worker> {
    let held = held.iter().enumerate();
    let workers = held.map(|(index, held)| Worker {
        id: worker(&format!("w{index}")),
        memory: Bytes(100),
        reserved: Bytes(10),
        models: models(held),
        coming: models(""),
        copies: models(""),
        open: true,
        limited: false,
    });
    workers.collect()
}

/// Time that a load takes from the weight store.
const LOAD: Duration = Duration::from_secs(4);

/// Models of 40 bytes with their work; those with work were asked for.
fn wanted(work: &[(&str, f64)]) -> BTreeMap<id::Model, Wanted> {
    let wanted = work.iter().map(|(name, work)| {
        let wanted = Wanted {
            size: Bytes(40),
            load: LOAD,
            work: *work,
            asked: *work > 0.0,
        };
        (model(name), wanted)
    });
    wanted.collect()
}

fn next(work: &[(&str, f64)], workers: &[Worker]) -> Option<Job> {
    Planner::new(Policy::default(), &wanted(work), workers).next(true)
}

#[test]
fn a_model_that_is_asked_for_and_held_nowhere_is_loaded() {
    let work = [("m1", 0.5), ("m2", 0.1), ("m3", 0.01)];
    let job = next(&work, &workers(&["m1 m2", "m1"])).unwrap();
    assert_eq!(job.load, model("m3"));
    assert_eq!(job.worker, worker("w1"));
    assert!(job.evict.is_empty());
}

#[test]
fn demand_that_moves_to_one_model_gets_it_more_copies() {
    let work = [("m1", 2.0), ("m2", 0.0), ("m3", 0.0)];
    let job = next(&work, &workers(&["m1 m2", "m2 m3", "m2 m3"])).unwrap();
    assert_eq!(job.load, model("m1"));
    assert_eq!(job.evict.len(), 1);
}

#[test]
fn the_last_copy_of_a_quiet_model_stays_for_when_demand_comes_back() {
    let work = [("m1", 0.6), ("m2", 0.0), ("m3", 0.0)];
    assert_eq!(next(&work, &workers(&["m1", "m2 m3"])), None);
}

#[test]
fn the_last_copy_of_a_model_in_use_never_goes() {
    let work = [("m1", 9.0), ("m2", 0.001), ("m3", 0.001)];
    assert_eq!(next(&work, &workers(&["m1", "m2 m3"])), None);
}

#[test]
fn models_that_nobody_asks_for_are_not_moved_in_circles() {
    let work = [("m1", 0.4), ("m2", 0.4), ("m3", 0.0)];
    let mut workers = workers(&["m1 m3", "m2", "m2 m1"]);
    for worker in &mut workers {
        worker.copies = models("m1 m2 m3");
    }
    assert_eq!(next(&work, &workers), None);
}

#[test]
fn a_copy_of_the_worker_needs_no_room_at_the_weight_store() {
    let work = [("m1", 2.0), ("m2", 0.0)];
    let mut workers = workers(&["m1 m2", "m2"]);
    let work = wanted(&work);
    let planner = Planner::new(Policy::default(), &work, &workers);
    assert_eq!(planner.next(false), None);
    workers[1].copies = models("m1");
    let planner = Planner::new(Policy::default(), &work, &workers);
    assert!(!planner.next(false).unwrap().from_store);
}

#[test]
fn a_worker_that_is_busy_gets_no_job() {
    let work = [("m1", 2.0), ("m2", 0.0)];
    let mut workers = workers(&["m1 m2", "m2"]);
    workers[1].open = false;
    assert_eq!(next(&work, &workers), None);
}

/// Load: demand moves to a model while all memory is in use. An unload of a model that serves waits for
/// its streams, so one that nobody asks for goes first.
#[test]
fn a_rising_model_takes_the_place_of_one_that_is_not_in_use() {
    let work = [("m1", 6.0), ("m2", 0.5), ("m3", 0.0), ("m4", 0.0)];
    let job = next(&work, &workers(&["m1 m2", "m2 m2", "m2 m3", "m3 m4"])).unwrap();
    assert_eq!(job.load, model("m1"));
    assert_eq!(job.evict, [model("m3")]);
}

/// Load: the only worker with a model names a rate limit below what callers ask of it.
#[test]
fn a_model_that_only_a_limited_worker_holds_gets_a_copy_elsewhere() {
    let work = [("m1", 0.1), ("m2", 0.02), ("m3", 0.02)];
    let mut workers = workers(&["m1 m2", "m3"]);
    assert_eq!(next(&work, &workers), None);
    workers[0].limited = true;
    let job = next(&work, &workers).unwrap();
    assert_eq!((job.worker, job.load), (worker("w1"), model("m1")));
}

/// Load: demand moves to a model, and the worker with the least work names a rate limit.
#[test]
fn a_limited_worker_gets_no_copy() {
    let work = [("m1", 2.0), ("m2", 0.0)];
    let mut workers = workers(&["m1 m2", "m2"]);
    workers[1].limited = true;
    assert_eq!(next(&work, &workers), None);
}

/// Gains that differ by less are the same but for rounding.
const ROUNDING: f64 = 1e-9;

/// A fleet in which a few models have most of the work, and some workers are busy.
fn drawn(draw: &mut SmallRng) -> (BTreeMap<id::Model, Wanted>, Vec<Worker>) {
    let models = draw.random_range(2..40);
    let wanted = (0..models).map(|number| {
        let popular = draw.random_bool(0.2);
        let work = if popular {
            draw.random_range(0.0..4.0)
        } else {
            draw.random_range(0.0..0.1)
        };
        let asked = draw.random_bool(0.7);
        let work = if asked { work } else { 0.0 };
        let wanted = Wanted {
            size: Bytes(draw.random_range(30..80)),
            load: LOAD.mul_f64(draw.random_range(0.2..2.0)),
            work,
            asked,
        };
        (model(&format!("m{number:02}")), wanted)
    });
    let wanted: BTreeMap<id::Model, Wanted> = wanted.collect();
    let names: Vec<&id::Model> = wanted.keys().collect();
    let some = |draw: &mut SmallRng, most: usize| {
        let count = draw.random_range(0..=most);
        let names = (0..count).map(|_| names[draw.random_range(0..names.len())].clone());
        names.collect::<BTreeSet<id::Model>>()
    };
    let workers = (0..draw.random_range(1..30)).map(|number| {
        let held = some(draw, 4);
        let coming = held.iter().filter(|_| draw.random_bool(0.2));
        Worker {
            id: worker(&format!("w{number:02}")),
            memory: Bytes(200),
            reserved: Bytes(20),
            coming: coming.cloned().collect(),
            copies: some(draw, 5),
            open: draw.random_bool(0.8),
            limited: draw.random_bool(0.1),
            models: held,
        }
    });
    let workers = workers.collect();
    (wanted, workers)
}

/// The same workers, where those with a limit get no job and hold only models that take little work.
fn spared(wanted: &BTreeMap<id::Model, Wanted>, workers: &[Worker]) -> Vec<Worker> {
    let mut workers = workers.to_vec();
    for worker in workers.iter_mut().filter(|worker| worker.limited) {
        worker.open = false;
        let work = |model: &id::Model| wanted.get(model).map_or(0.0, |wanted| wanted.work);
        worker.models.retain(|model| work(model) <= 0.05);
    }
    workers
}

/// What a worker holds once it got a job.
fn give(workers: &mut [Worker], job: &Job) {
    let worker = workers.iter_mut().find(|worker| worker.id == job.worker);
    let worker = worker.unwrap();
    worker.models.retain(|model| !job.evict.contains(model));
    worker.models.insert(job.load.clone());
    worker.coming.insert(job.load.clone());
    worker.open = false;
}

/// Guards the fast plan: sums that are kept for each model give the jobs that sums made anew give.
#[test]
fn drawn_fleets_get_the_jobs_of_the_plain_reckoning() {
    let mut compared = 0;
    for seed in 0..400 {
        let mut draw = SmallRng::seed_from_u64(seed);
        let (wanted, mut workers) = drawn(&mut draw);
        let mut planner = Planner::new(Policy::default(), &wanted, &workers);
        loop {
            let store_open = draw.random_bool(0.7);
            let job = planner.next(store_open);
            let spared = spared(&wanted, &workers);
            let reference = Reference::new(Policy::default(), &wanted, &spared);
            let best = reference.next(store_open);
            let best_gain = best.map(|(gain, _)| gain);
            let gain = job
                .as_ref()
                .map(|job| reference.gain(job, store_open).unwrap());
            let apart = best_gain.unwrap_or(0.0) - gain.unwrap_or(0.0);
            assert!(
                apart.abs() < ROUNDING,
                "seed {seed}: {gain:?}, not {best_gain:?}"
            );
            let Some(job) = job else { break };
            give(&mut workers, &job);
            planner.give(&job);
            compared += 1;
        }
    }
    assert!(compared > 1_000, "{compared} jobs");
}

/// Load: a fleet of hundreds of workers, where demand moves to models that few of them hold.
#[test]
fn a_large_fleet_is_planned_job_after_job() {
    let wanted: Vec<(String, f64)> = (0..350)
        .map(|number| {
            (
                format!("m{number:03}"),
                if number < 50 { 2.0 } else { 0.001 },
            )
        })
        .collect();
    let wanted: Vec<(&str, f64)> = wanted
        .iter()
        .map(|(name, work)| (name.as_str(), *work))
        .collect();
    let wanted = self::wanted(&wanted);
    let names: Vec<String> = (0..250)
        .map(|number| format!("m{:03} m{:03}", number, (number + 100) % 350))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let workers = workers(&names);
    let mut planner = Planner::new(Policy::default(), &wanted, &workers);
    let (mut busy, mut grown) = (BTreeSet::new(), BTreeSet::new());
    while let Some(job) = planner.next(true) {
        planner.give(&job);
        assert!(busy.insert(job.worker), "a worker got two jobs");
        grown.insert(job.load);
    }
    let popular = (0..50).map(|number| model(&format!("m{number:03}")));
    assert_eq!(grown, popular.collect());
}
