//! Placement jobs that the planner selects for given demand and worker states.

use super::build::{model, worker};
use super::reference::Reference;
use poplarseam::decide::planner::{Demand, Job, Planner, Policy, Worker};
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
        assignable: true,
        rate_limited: false,
    });
    workers.collect()
}

/// Load time from the weight store.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Models of 40 bytes with their work; those with work were requested recently.
fn demand(work: &[(&str, f64)]) -> BTreeMap<id::Model, Demand> {
    let demand = work.iter().map(|(name, work)| {
        let demand = Demand {
            size: Bytes(40),
            load: LOAD_TIME,
            work: *work,
            is_requested: *work > 0.0,
        };
        (model(name), demand)
    });
    demand.collect()
}

fn next(work: &[(&str, f64)], workers: &[Worker]) -> Option<Job> {
    Planner::new(Policy::default(), &demand(work), workers).next(true)
}

#[test]
fn requested_model_without_a_copy_is_loaded() {
    let work = [("m1", 0.5), ("m2", 0.1), ("m3", 0.01)];
    let job = next(&work, &workers(&["m1 m2", "m1"])).unwrap();
    assert_eq!(job.load, model("m3"));
    assert_eq!(job.worker, worker("w1"));
    assert!(job.evict.is_empty());
}

#[test]
fn model_with_rising_demand_gets_another_copy() {
    let work = [("m1", 2.0), ("m2", 0.0), ("m3", 0.0)];
    let job = next(&work, &workers(&["m1 m2", "m2 m3", "m2 m3"])).unwrap();
    assert_eq!(job.load, model("m1"));
    assert_eq!(job.evict.len(), 1);
}

#[test]
fn last_copy_of_an_idle_model_is_kept() {
    let work = [("m1", 0.6), ("m2", 0.0), ("m3", 0.0)];
    assert_eq!(next(&work, &workers(&["m1", "m2 m3"])), None);
}

#[test]
fn last_copy_of_a_model_in_use_is_never_evicted() {
    let work = [("m1", 9.0), ("m2", 0.001), ("m3", 0.001)];
    assert_eq!(next(&work, &workers(&["m1", "m2 m3"])), None);
}

#[test]
fn idle_models_are_not_moved_back_and_forth() {
    let work = [("m1", 0.4), ("m2", 0.4), ("m3", 0.0)];
    let mut workers = workers(&["m1 m3", "m2", "m2 m1"]);
    for worker in &mut workers {
        worker.copies = models("m1 m2 m3");
    }
    assert_eq!(next(&work, &workers), None);
}

#[test]
fn load_from_the_workers_own_copy_does_not_need_the_weight_store() {
    let work = [("m1", 2.0), ("m2", 0.0)];
    let mut workers = workers(&["m1 m2", "m2"]);
    let work = demand(&work);
    let planner = Planner::new(Policy::default(), &work, &workers);
    assert_eq!(planner.next(false), None);
    workers[1].copies = models("m1");
    let planner = Planner::new(Policy::default(), &work, &workers);
    assert!(!planner.next(false).unwrap().from_store);
}

#[test]
fn busy_worker_gets_no_job() {
    let work = [("m1", 2.0), ("m2", 0.0)];
    let mut workers = workers(&["m1 m2", "m2"]);
    workers[1].assignable = false;
    assert_eq!(next(&work, &workers), None);
}

/// Demand moves to a model while all memory is in use. Unloading a model in use waits for its
/// streams, so an idle one is evicted first.
#[test]
fn model_with_rising_demand_replaces_an_idle_one() {
    let work = [("m1", 6.0), ("m2", 0.5), ("m3", 0.0), ("m4", 0.0)];
    let job = next(&work, &workers(&["m1 m2", "m2 m2", "m2 m3", "m3 m4"])).unwrap();
    assert_eq!(job.load, model("m1"));
    assert_eq!(job.evict, [model("m3")]);
}

/// The only worker with a model announces a rate limit below the demand for it.
#[test]
fn model_held_only_by_a_rate_limited_worker_gets_another_copy() {
    let work = [("m1", 0.1), ("m2", 0.02), ("m3", 0.02)];
    let mut workers = workers(&["m1 m2", "m3"]);
    assert_eq!(next(&work, &workers), None);
    workers[0].rate_limited = true;
    let job = next(&work, &workers).unwrap();
    assert_eq!((job.worker, job.load), (worker("w1"), model("m1")));
}

/// Demand moves to a model while the worker with the least work has a rate limit.
#[test]
fn rate_limited_worker_gets_no_copy() {
    let work = [("m1", 2.0), ("m2", 0.0)];
    let mut workers = workers(&["m1 m2", "m2"]);
    workers[1].rate_limited = true;
    assert_eq!(next(&work, &workers), None);
}

/// Gains whose difference is below this are equal but for rounding.
const ROUNDING: f64 = 1e-9;

/// Creates a random fleet in which a few models have most of the work and some workers are busy.
fn random_fleet(rng: &mut SmallRng) -> (BTreeMap<id::Model, Demand>, Vec<Worker>) {
    let models = rng.random_range(2..40);
    let demand = (0..models).map(|number| {
        let popular = rng.random_bool(0.2);
        let work = if popular {
            rng.random_range(0.0..4.0)
        } else {
            rng.random_range(0.0..0.1)
        };
        let is_requested = rng.random_bool(0.7);
        let work = if is_requested { work } else { 0.0 };
        let demand = Demand {
            size: Bytes(rng.random_range(30..80)),
            load: LOAD_TIME.mul_f64(rng.random_range(0.2..2.0)),
            work,
            is_requested,
        };
        (model(&format!("m{number:02}")), demand)
    });
    let demand: BTreeMap<id::Model, Demand> = demand.collect();
    let names: Vec<&id::Model> = demand.keys().collect();
    let random_models = |rng: &mut SmallRng, limit: usize| {
        let count = rng.random_range(0..=limit);
        let names = (0..count).map(|_| names[rng.random_range(0..names.len())].clone());
        names.collect::<BTreeSet<id::Model>>()
    };
    let workers = (0..rng.random_range(1..30)).map(|number| {
        let held = random_models(rng, 4);
        let coming = held.iter().filter(|_| rng.random_bool(0.2));
        Worker {
            id: worker(&format!("w{number:02}")),
            memory: Bytes(200),
            reserved: Bytes(20),
            coming: coming.cloned().collect(),
            copies: random_models(rng, 5),
            assignable: rng.random_bool(0.8),
            rate_limited: rng.random_bool(0.1),
            models: held,
        }
    });
    let workers = workers.collect();
    (demand, workers)
}

/// Copies the workers; those with a rate limit get no job and hold only models with little work.
fn without_limited_workers(
    demand: &BTreeMap<id::Model, Demand>,
    workers: &[Worker],
) -> Vec<Worker> {
    let mut workers = workers.to_vec();
    for worker in workers.iter_mut().filter(|worker| worker.rate_limited) {
        worker.assignable = false;
        let work = |model: &id::Model| demand.get(model).map_or(0.0, |demand| demand.work);
        worker.models.retain(|model| work(model) <= 0.05);
    }
    workers
}

/// Updates a worker as if it had been assigned the job.
fn apply(workers: &mut [Worker], job: &Job) {
    let worker = workers.iter_mut().find(|worker| worker.id == job.worker);
    let worker = worker.unwrap();
    worker.models.retain(|model| !job.evict.contains(model));
    worker.models.insert(job.load.clone());
    worker.coming.insert(job.load.clone());
    worker.assignable = false;
}

/// Guards the incremental planner: its per-model data must give the same gains as a full
/// computation.
#[test]
fn random_fleets_get_the_jobs_of_the_reference_planner() {
    let mut compared = 0;
    for seed in 0..400 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (demand, mut workers) = random_fleet(&mut rng);
        let mut planner = Planner::new(Policy::default(), &demand, &workers);
        loop {
            let store_available = rng.random_bool(0.7);
            let job = planner.next(store_available);
            let without_limited_workers = without_limited_workers(&demand, &workers);
            let reference = Reference::new(Policy::default(), &demand, &without_limited_workers);
            let best = reference.next(store_available);
            let best_gain = best.map(|(gain, _)| gain);
            let gain = job
                .as_ref()
                .map(|job| reference.gain(job, store_available).unwrap());
            let difference = best_gain.unwrap_or(0.0) - gain.unwrap_or(0.0);
            assert!(
                difference.abs() < ROUNDING,
                "seed {seed}: {gain:?}, not {best_gain:?}"
            );
            let Some(job) = job else { break };
            apply(&mut workers, &job);
            planner.apply(&job);
            compared += 1;
        }
    }
    assert!(compared > 1_000, "{compared} jobs");
}

/// Hundreds of workers, with high demand for models that few of them hold.
#[test]
fn large_fleet_gets_one_job_per_worker_for_the_popular_models() {
    let demand: Vec<(String, f64)> = (0..350)
        .map(|number| {
            (
                format!("m{number:03}"),
                if number < 50 { 2.0 } else { 0.001 },
            )
        })
        .collect();
    let demand: Vec<(&str, f64)> = demand
        .iter()
        .map(|(name, work)| (name.as_str(), *work))
        .collect();
    let demand = self::demand(&demand);
    let names: Vec<String> = (0..250)
        .map(|number| format!("m{:03} m{:03}", number, (number + 100) % 350))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let workers = workers(&names);
    let mut planner = Planner::new(Policy::default(), &demand, &workers);
    let (mut busy, mut loaded) = (BTreeSet::new(), BTreeSet::new());
    while let Some(job) = planner.next(true) {
        planner.apply(&job);
        assert!(busy.insert(job.worker), "a worker got two jobs");
        loaded.insert(job.load);
    }
    let popular = (0..50).map(|number| model(&format!("m{number:03}")));
    assert_eq!(loaded, popular.collect());
}
