//! Placement: which load patterns lead to which jobs.

use super::build::{model, worker};
use poplarseam::decide::arrange::{Job, Planner, Policy, Wanted, Worker};
use poplarseam::world::id;
use poplarseam::world::unit::Bytes;
use std::collections::{BTreeMap, BTreeSet};

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
    });
    workers.collect()
}

/// Models of 40 bytes with their work; those with work were asked for.
fn wanted(work: &[(&str, f64)]) -> BTreeMap<id::Model, Wanted> {
    let wanted = work.iter().map(|(name, work)| {
        let wanted = Wanted {
            size: Bytes(40),
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
