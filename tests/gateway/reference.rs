//! A straightforward implementation of the planner, as a reference for the optimised one.

use poplarseam::decide::planner::{Demand, Job, Policy, Worker};
use poplarseam::world::id;
use poplarseam::world::unit::Bytes;
use std::collections::BTreeMap;

/// Seconds that the unload of a model in use waits for running requests.
const DRAIN_SECONDS: f64 = 3.0;
/// Seconds for which demand is assumed to last.
const DEMAND_HORIZON_SECONDS: f64 = 20.0;
/// Time of a load from a worker's own copy, as a fraction of that of a load from the weight store.
const OWN_COPY_LOAD_FRACTION: f64 = 0.2;
/// Work per copy up to which a model counts as idle.
const MAX_IDLE_WORK: f64 = 0.01;

/// Computes the gain of every model on every worker, recomputing all sums for each pair.
pub struct Reference<'a> {
    policy: Policy,
    demand: &'a BTreeMap<id::Model, Demand>,
    workers: &'a [Worker],
    copies: BTreeMap<&'a id::Model, f64>,
    /// Number of copies that can serve now.
    serving: BTreeMap<&'a id::Model, f64>,
    work: Vec<f64>,
}

impl<'a> Reference<'a> {
    pub fn new(
        policy: Policy,
        demand: &'a BTreeMap<id::Model, Demand>,
        workers: &'a [Worker],
    ) -> Self {
        let mut copies: BTreeMap<&id::Model, f64> = BTreeMap::new();
        let mut serving: BTreeMap<&id::Model, f64> = BTreeMap::new();
        for worker in workers {
            for model in &worker.models {
                *copies.entry(model).or_default() += 1.0;
                let serves = !worker.coming.contains(model);
                *serving.entry(model).or_default() += f64::from(u8::from(serves));
            }
        }
        let work = workers.iter().map(|worker| {
            let models = worker.models.iter();
            let shares = models.filter_map(|model| Some(demand.get(model)?.work / copies[model]));
            shares.sum()
        });
        let work = work.collect();
        Self {
            policy,
            demand,
            workers,
            copies,
            serving,
            work,
        }
    }

    /// Returns the best job with its gain, if one is worthwhile.
    pub fn next(&self, store_available: bool) -> Option<(f64, Job)> {
        let jobs = self.demand.iter().flat_map(|(model, demand)| {
            let workers = self.workers.iter().enumerate();
            workers.filter_map(move |(worker_index, _)| {
                self.job(worker_index, model, demand, store_available)
            })
        });
        let best = jobs.max_by(|(a, _), (b, _)| a.total_cmp(b));
        best.filter(|(gain, _)| *gain > self.policy.min_gain)
    }

    /// Returns the gain of a job if it is the one that the reference selects for its model and
    /// worker.
    pub fn gain(&self, job: &Job, store_available: bool) -> Option<f64> {
        let worker_index = self.workers.iter().position(|it| it.id == job.worker)?;
        let demand = self.demand.get(&job.load)?;
        let (gain, reference_job) = self.job(worker_index, &job.load, demand, store_available)?;
        (reference_job == *job).then_some(gain)
    }

    fn job(
        &self,
        worker_index: usize,
        model: &id::Model,
        demand: &Demand,
        store_available: bool,
    ) -> Option<(f64, Job)> {
        let worker = &self.workers[worker_index];
        let has_copy = worker.copies.contains(model);
        if !worker.assignable || worker.models.contains(model) || !(has_copy || store_available) {
            return None;
        }
        let copies = self.copies.get(model).copied().unwrap_or(0.0);
        if copies == 0.0 && !demand.is_requested && demand.work == 0.0 {
            return None;
        }
        let (evict, eviction_cost, freed_work) = self.eviction(worker_index, demand.size)?;
        let gain = if copies == 0.0 {
            self.policy.first_copy_value + demand.work - self.work[worker_index]
        } else {
            self.relief(worker_index, model, demand.work, copies, freed_work)
        };
        let mut in_use = evict
            .iter()
            .filter_map(|model| Some(self.demand.get(model)?.work / self.copies[model]));
        let drain_seconds = if in_use.any(|share| share > MAX_IDLE_WORK) {
            DRAIN_SECONDS
        } else {
            0.0
        };
        let load = demand.load.as_secs_f64()
            * if has_copy {
                OWN_COPY_LOAD_FRACTION
            } else {
                1.0
            };
        let remaining_fraction = (1.0 - (load + drain_seconds) / DEMAND_HORIZON_SECONDS).max(0.0);
        let job = Job {
            worker: worker.id.clone(),
            load: model.clone(),
            evict,
            from_store: !has_copy,
        };
        Some((gain.max(0.0) * remaining_fraction - eviction_cost, job))
    }

    /// Decrease of the sum of squares when a worker gets a copy of a model.
    fn relief(
        &self,
        worker_index: usize,
        model: &id::Model,
        work: f64,
        copies: f64,
        freed_work: f64,
    ) -> f64 {
        let (share_before, share_after) = (work / copies, work / (copies + 1.0));
        let holders = self.workers.iter().zip(&self.work);
        let holders = holders.filter(|(worker, _)| worker.models.contains(model));
        let holder_relief: f64 = holders
            .map(|(_, load)| load * load - (load - share_before + share_after).powi(2))
            .sum();
        let remaining_work = self.work[worker_index] - freed_work;
        holder_relief + self.work[worker_index].powi(2) - (remaining_work + share_after).powi(2)
    }

    /// Returns the models to unload so that `size` fits, the cost of unloading them, and the work
    /// that the worker loses.
    fn eviction(&self, worker_index: usize, size: Bytes) -> Option<(Vec<id::Model>, f64, f64)> {
        let worker = &self.workers[worker_index];
        let sizes = worker.models.iter();
        let used: u64 = sizes
            .filter_map(|model| Some(self.demand.get(model)?.size.0))
            .sum();
        let used = used + worker.reserved.0 + size.0;
        let mut shortfall = used.saturating_sub(worker.memory.0);
        let mut victims: Vec<(f64, &id::Model)> = worker
            .models
            .iter()
            .map(|model| (self.eviction_cost(model), model))
            .collect();
        victims.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let (mut evict, mut eviction_cost, mut freed_work) = (Vec::new(), 0.0, 0.0);
        for (cost, model) in victims {
            if shortfall == 0 {
                break;
            }
            let demand = self.demand.get(model);
            shortfall = shortfall.saturating_sub(demand.map_or(0, |it| it.size.0));
            freed_work += demand.map_or(0.0, |it| it.work) / self.copies[model];
            eviction_cost += cost;
            evict.push(model.clone());
        }
        (shortfall == 0 && eviction_cost.is_finite()).then_some((evict, eviction_cost, freed_work))
    }

    /// Cost of unloading one copy of a model. Copies that are still loading do not count as
    /// replacements, so a model in use loses one copy at a time.
    fn eviction_cost(&self, model: &id::Model) -> f64 {
        let Some(demand) = self.demand.get(model) else {
            return 0.0;
        };
        let copies = self.serving[model];
        if copies > 1.0 {
            let (share_before, share_after) = (demand.work / copies, demand.work / (copies - 1.0));
            let serves =
                |worker: &Worker| worker.models.contains(model) && !worker.coming.contains(model);
            let holders = self.workers.iter().zip(&self.work);
            let other_holders = holders.filter(|(worker, _)| serves(worker));
            let increase: f64 = other_holders
                .map(|(_, load)| {
                    let load = load.max(share_before);
                    (load - share_before + share_after).powi(2) - load * load
                })
                .sum();
            return increase * (copies - 1.0) / copies;
        }
        if demand.is_requested {
            return f64::INFINITY;
        }
        self.policy.last_copy_value
    }
}
