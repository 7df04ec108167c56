//! Decides which worker should hold which model, so that work is balanced with few loads.
//!
//! The work of a model is divided evenly among its copies. The work of a worker is the sum of these
//! shares over the models that it holds. The sum of the squares of all workers' work approximates
//! the waiting time of requests. A load is worthwhile if it lowers that sum by more than it costs.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Bytes, float};

/// Time of a load from a worker's own copy of the weights, as a fraction of the time of a load from
/// the weight store; the platform specifies it.
const OWN_COPY_LOAD_FRACTION: f64 = 0.2;
/// Seconds that the unload of a model in use waits for running requests: the duration of a stream.
const DRAIN_SECONDS: f64 = 3.0;
/// Work per copy up to which a model counts as idle, in fully used workers.
const MAX_IDLE_WORK: f64 = 0.01;
/// Highest work of a model that a rate-limited worker is assumed to serve, in fully used workers:
/// about a request every two seconds.
const MAX_LIMITED_WORK: f64 = 0.05;
/// Seconds for which demand is assumed to last: a copy that starts serving later gains less.
const DEMAND_HORIZON_SECONDS: f64 = 20.0;

/// State of a worker that may hold models.
#[derive(Debug, Clone)]
pub struct Worker {
    pub id: id::Worker,
    pub memory: Bytes,
    /// Memory set aside for adapters and for orders whose outcome is unknown.
    pub reserved: Bytes,
    /// Models that it holds or will hold.
    pub models: BTreeSet<id::Model>,
    /// Models among them that it does not serve yet.
    pub coming: BTreeSet<id::Model>,
    /// Models of whose weights it has its own copies, so that it need not read the weight store.
    pub copies: BTreeSet<id::Model>,
    /// Whether it can be assigned a job now.
    pub assignable: bool,
    /// Whether it announced a rate limit: it is assigned no loads, and is assumed to serve only
    /// models with little work.
    pub rate_limited: bool,
}

/// Size, load time and demand of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    pub size: Bytes,
    /// Load time from the weight store.
    pub load: Duration,
    /// Work that callers request, as the number of workers that it keeps fully used.
    pub work: f64,
    /// Whether any caller requested the model recently.
    pub is_requested: bool,
}

/// A change to one worker: unloads some models, then loads one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Job {
    pub worker: id::Worker,
    pub load: id::Model,
    pub evict: Vec<id::Model>,
    /// Whether the weights are read from the weight store and not from the worker's own copies.
    pub from_store: bool,
}

/// Values by which the planner compares the gains and costs of jobs.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Smallest decrease of the sum of squares that justifies a load.
    pub min_gain: f64,
    /// Value of the first copy of a requested model that no worker holds.
    pub first_copy_value: f64,
    /// Value of keeping the last copy of a model that was not requested recently.
    pub last_copy_value: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            min_gain: 0.1,
            first_copy_value: 10.0,
            last_copy_value: 1.0,
        }
    }
}

/// A model in the plan.
#[derive(Debug)]
struct Model {
    id: id::Model,
    /// `None` for a model that workers hold but that is not offered to callers.
    demand: Option<Demand>,
    /// Indices of the workers that hold or will hold it, and of those that serve it now.
    holders: Vec<usize>,
    serving: Vec<usize>,
}

impl Model {
    fn work(&self) -> f64 {
        self.demand.as_ref().map_or(0.0, |demand| demand.work)
    }

    fn size(&self) -> u64 {
        self.demand.as_ref().map_or(0, |demand| demand.size.0)
    }

    /// Work of each copy if the model has `copies` of them.
    fn work_per_copy(&self, copies: usize) -> f64 {
        self.work() / float(copies as u64)
    }

    /// Seconds until a copy serves if its load is decided on now.
    fn seconds_until_serving(&self, has_copy: bool, must_drain: bool) -> f64 {
        let load = self.demand.as_ref().map_or(0.0, |it| it.load.as_secs_f64());
        let load = if has_copy {
            load * OWN_COPY_LOAD_FRACTION
        } else {
            load
        };
        load + if must_drain { DRAIN_SECONDS } else { 0.0 }
    }

    /// Whether a first copy is worth loading: the model was requested recently or has work.
    fn needs_first_copy(&self) -> bool {
        let demand = self.demand.as_ref();
        demand.is_some_and(|demand| demand.is_requested || demand.work > 0.0)
    }
}

/// A worker in the plan, with models given by index.
#[derive(Debug)]
struct Host {
    id: id::Worker,
    memory: u64,
    /// Memory in use, including the reserved memory.
    used: u64,
    models: Vec<usize>,
    copies: Vec<usize>,
    assignable: bool,
    work: f64,
}

/// Effect of unloading the first models of a [`Candidate`].
#[derive(Debug, Clone, Copy, Default)]
struct Eviction {
    /// Number of models to unload, in the order of [`Candidate::unload_order`].
    evicted_count: usize,
    freed_bytes: u64,
    /// Work that the worker loses.
    work: f64,
    /// Sum of the models' unload costs.
    unload_cost: f64,
    /// Whether any of the models is in use, so that the unload waits for its requests.
    must_drain: bool,
}

/// A worker that can be assigned a job, with its models ordered by the cost of unloading them.
#[derive(Debug)]
struct Candidate {
    host: usize,
    unload_order: Vec<usize>,
    evictions: Vec<Eviction>,
}

/// Selects one job at a time and updates the plan for each applied job.
///
/// The workers that hold each model are kept per model, so that the gain of a pair of a model and a
/// worker is cheap to compute. Models whose gain cannot exceed the threshold on any worker are
/// skipped.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    models: Vec<Model>,
    hosts: Vec<Host>,
}

impl Planner {
    /// Builds a plan from the current state of all workers and the demand for models.
    #[must_use]
    pub fn new(policy: Policy, demand: &BTreeMap<id::Model, Demand>, workers: &[Worker]) -> Self {
        let held = workers.iter().flat_map(|worker| &worker.models);
        let ids: BTreeSet<&id::Model> = demand.keys().chain(held).collect();
        let model_indices: Map<&id::Model, usize> = ids.iter().copied().zip(0..).collect();
        let models = ids.iter().map(|id| Model {
            id: (*id).clone(),
            demand: demand.get(*id).cloned(),
            holders: Vec::new(),
            serving: Vec::new(),
        });
        let mut models: Vec<Model> = models.collect();
        let mut hosts = Vec::with_capacity(workers.len());
        for (index, worker) in workers.iter().enumerate() {
            let held = worker.models.iter().map(|id| model_indices[id]);
            let held = held
                .filter(|held| !worker.rate_limited || models[*held].work() <= MAX_LIMITED_WORK);
            let held: Vec<usize> = held.collect();
            for model_index in &held {
                let model = &mut models[*model_index];
                model.holders.push(index);
                if !worker.coming.contains(&model.id) {
                    model.serving.push(index);
                }
            }
            let copies = worker.copies.iter().filter_map(|id| model_indices.get(id));
            hosts.push(Host {
                id: worker.id.clone(),
                memory: worker.memory.0,
                used: worker.reserved.0 + held.iter().map(|held| models[*held].size()).sum::<u64>(),
                models: held,
                copies: copies.copied().collect(),
                assignable: worker.assignable && !worker.rate_limited,
                work: 0.0,
            });
        }
        let mut planner = Self {
            policy,
            models,
            hosts,
        };
        planner.update_work();
        planner
    }

    /// Returns the best job if one is worthwhile; `store_available` says whether the weight store
    /// can serve another load.
    #[must_use]
    pub fn next(&self, store_available: bool) -> Option<Job> {
        let candidates = self.candidates();
        let threshold = self.policy.min_gain;
        let relief_bound = self.max_relief(&candidates);
        let mut gain_bounds: Vec<(f64, usize)> = (0..self.models.len())
            .map(|model| (self.gain_bound(model, relief_bound), model))
            .filter(|(gain_bound, _)| *gain_bound > threshold)
            .collect();
        gain_bounds.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let mut best: Option<(f64, usize, usize)> = None;
        for (gain_bound, model) in gain_bounds {
            if best.is_some_and(|(gain, ..)| gain > gain_bound) {
                break;
            }
            let gains = candidates
                .iter()
                .enumerate()
                .filter_map(|(candidate_index, candidate)| {
                    let gain = self.gain(candidate, model, store_available)?;
                    (gain > threshold).then_some((gain, model, candidate_index))
                });
            best = best.into_iter().chain(gains).max_by(|a, b| {
                let by_gain = a.0.total_cmp(&b.0);
                by_gain.then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
            });
        }
        best.map(|(_, model, candidate_index)| self.job(&candidates[candidate_index], model))
    }

    /// Updates the plan as if the job were done; the worker is assigned no other job.
    pub fn apply(&mut self, job: &Job) {
        let host = self.hosts.iter().position(|host| host.id == job.worker);
        let Some(index) = host else {
            return;
        };
        self.hosts[index].assignable = false;
        for id in &job.evict {
            if let Some(model) = self.model_index(id) {
                self.hosts[index].models.retain(|held| *held != model);
                self.hosts[index].used -= self.models[model].size();
                self.models[model].holders.retain(|held| *held != index);
                self.models[model].serving.retain(|held| *held != index);
            }
        }
        if let Some(model) = self.model_index(&job.load) {
            self.hosts[index].models.push(model);
            self.hosts[index].used += self.models[model].size();
            self.models[model].holders.push(index);
        }
        self.update_work();
    }

    fn model_index(&self, id: &id::Model) -> Option<usize> {
        self.models.binary_search_by(|model| model.id.cmp(id)).ok()
    }

    /// Computes the work of each worker.
    fn update_work(&mut self) {
        for host in &mut self.hosts {
            let models = host.models.iter().map(|model| &self.models[*model]);
            let works_per_copy = models.map(|model| model.work_per_copy(model.holders.len()));
            host.work = works_per_copy.sum();
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let unload_costs: Vec<f64> = self
            .models
            .iter()
            .map(|model| self.unload_cost(model))
            .collect();
        let assignable = (0..self.hosts.len()).filter(|host| self.hosts[*host].assignable);
        assignable
            .map(|host| self.candidate(host, &unload_costs))
            .collect()
    }

    fn candidate(&self, host: usize, unload_costs: &[f64]) -> Candidate {
        let mut unload_order = self.hosts[host].models.clone();
        unload_order.sort_by(|a, b| unload_costs[*a].total_cmp(&unload_costs[*b]).then(a.cmp(b)));
        let evictions = unload_order
            .iter()
            .scan(Eviction::default(), |eviction, model| {
                let held = &self.models[*model];
                let work_per_copy = held.work_per_copy(held.holders.len());
                eviction.evicted_count += 1;
                eviction.freed_bytes += held.size();
                eviction.work += work_per_copy;
                eviction.must_drain |= work_per_copy > MAX_IDLE_WORK;
                eviction.unload_cost += unload_costs[*model];
                Some(*eviction)
            });
        let evictions = std::iter::once(Eviction::default())
            .chain(evictions)
            .collect();
        Candidate {
            host,
            unload_order,
            evictions,
        }
    }

    /// Upper bound of the decrease of any worker's own squared work by a job, less the unload cost.
    fn max_relief(&self, candidates: &[Candidate]) -> f64 {
        let host_reliefs = candidates.iter().flat_map(|candidate| {
            let work = self.hosts[candidate.host].work;
            let evictions = candidate.evictions.iter();
            evictions.map(move |eviction| {
                work.powi(2) - (work - eviction.work).powi(2) - eviction.unload_cost
            })
        });
        host_reliefs.fold(0.0, f64::max)
    }

    /// Upper bound of the gain of another copy of a model on any worker.
    fn gain_bound(&self, model: usize, relief_bound: f64) -> f64 {
        let model = &self.models[model];
        match model.demand {
            Some(_) if !model.holders.is_empty() => self.holder_relief(model) + relief_bound,
            Some(_) if model.needs_first_copy() => self.policy.first_copy_value + model.work(),
            _ => f64::NEG_INFINITY,
        }
    }

    /// Decrease of the sum of squares over the current holders of a model when it gets another
    /// copy.
    fn holder_relief(&self, model: &Model) -> f64 {
        let copies = model.holders.len();
        let reduction = model.work_per_copy(copies) - model.work_per_copy(copies + 1);
        let host_works = model.holders.iter().map(|host| self.hosts[*host].work);
        reduction * (2.0 * host_works.sum::<f64>() - float(copies as u64) * reduction)
    }

    fn gain(&self, candidate: &Candidate, model: usize, store_available: bool) -> Option<f64> {
        let host = &self.hosts[candidate.host];
        let has_copy = host.copies.contains(&model);
        if host.models.contains(&model) || !(has_copy || store_available) {
            return None;
        }
        let model = &self.models[model];
        let eviction = self.eviction(candidate, model.size())?;
        let gain = if model.holders.is_empty() {
            self.policy.first_copy_value + model.work() - host.work
        } else {
            let added_work = model.work_per_copy(model.holders.len() + 1);
            let own_relief = host.work.powi(2) - (host.work - eviction.work + added_work).powi(2);
            self.holder_relief(model) + own_relief
        };
        let remaining_fraction = 1.0
            - model.seconds_until_serving(has_copy, eviction.must_drain) / DEMAND_HORIZON_SECONDS;
        Some(gain.max(0.0) * remaining_fraction.max(0.0) - eviction.unload_cost)
    }

    /// Returns the cheapest eviction after which `size` fits.
    fn eviction<'a>(&self, candidate: &'a Candidate, size: u64) -> Option<&'a Eviction> {
        let host = &self.hosts[candidate.host];
        let shortfall = (host.used + size).saturating_sub(host.memory);
        let fits = candidate
            .evictions
            .iter()
            .find(|eviction| eviction.freed_bytes >= shortfall);
        fits.filter(|eviction| eviction.unload_cost.is_finite())
    }

    fn job(&self, candidate: &Candidate, model: usize) -> Job {
        let host = &self.hosts[candidate.host];
        let eviction = self.eviction(candidate, self.models[model].size());
        let evicted_count = eviction.map_or(0, |eviction| eviction.evicted_count);
        let evict = candidate.unload_order[..evicted_count].iter();
        Job {
            worker: host.id.clone(),
            load: self.models[model].id.clone(),
            evict: evict.map(|model| self.models[*model].id.clone()).collect(),
            from_store: !host.copies.contains(&model),
        }
    }

    /// Cost of unloading one copy of a model. Copies that are still loading do not count as
    /// replacements, so a model in use loses one copy at a time.
    fn unload_cost(&self, model: &Model) -> f64 {
        let Some(demand) = &model.demand else {
            return 0.0;
        };
        let copies = model.serving.len();
        if copies > 1 {
            let (before, after) = (model.work_per_copy(copies), model.work_per_copy(copies - 1));
            let host_works = model.serving.iter().map(|host| self.hosts[*host].work);
            let increases = host_works
                .map(|work| (work.max(before) - before + after).powi(2) - work.max(before).powi(2));
            return increases.sum::<f64>() * float(copies as u64 - 1) / float(copies as u64);
        }
        if demand.is_requested {
            return f64::INFINITY;
        }
        self.policy.last_copy_value
    }
}
