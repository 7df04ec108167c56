//! Workers whose shards this instance holds, and the placement plan for all workers.
//!
//! Workers are divided into shards. Each shard is held by one instance, its holder, which sends the
//! orders to its workers. One of the holders also plans for all shards: it sees what every worker
//! holds and requests loads and unloads from the other holders. Two planners at the same time waste
//! work but are safe, since a holder checks each job against its own ledger.

use super::forecast::Forecast;
use super::handover::Handover;
use super::lease::Ordered;
use super::limit::Limits;
use super::orders::{Ledger, MAX_ORDER_DELAY, Step};
use super::planner::{Demand, Job, Planner, Policy, Worker};
use super::snapshot::Snapshot;
use super::speed::Speeds;
use crate::common::*;
use crate::world::backend::{Backend, Report};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Target;
use crate::world::order::{Action, Order, Reply};
use crate::world::shard::Shard;
use crate::world::site::{Engine, Site};
use crate::world::unit::{Incarnation, Rate, float};

/// Highest fraction of its time that a worker may spend reading prompts and still answer within the
/// latency objective.
const MAX_READ_UTILISATION: f64 = 0.7;
/// Interval between planning runs.
const PLANNING_INTERVAL: Duration = Duration::from_millis(200);
/// A job that its holder has not started after this time is planned again.
const REQUESTED_JOB_EXPIRY: Duration = Duration::from_millis(600);

/// A call that is due to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Task {
    Order {
        worker: id::Worker,
        action: Action,
        /// Number of orders that the worker is expected to have accepted.
        expected: u64,
    },
    RequestReport {
        worker: id::Worker,
    },
}

/// Demand for one model and the number of its copies, as the planner sees them.
#[derive(Debug, Clone, Serialize)]
pub struct Coverage {
    pub model: id::Model,
    /// Work that callers request, as the number of workers that it keeps fully used.
    pub work: f64,
    /// Workers that hold the model or will load it.
    pub copies: usize,
    /// Workers among them that can serve it now.
    pub serving: usize,
}

/// All workers with engines, and the demand of callers for their models.
#[derive(Debug, Default)]
pub struct Fleet {
    load_window: Duration,
    engines: BTreeMap<id::Service, Engine>,
    backends: BTreeMap<id::Worker, Backend>,
    /// Ledgers of the workers in shards that this instance holds.
    ledgers: BTreeMap<id::Worker, Ledger>,
    handover: Handover,
    snapshots: BTreeMap<id::Worker, Snapshot>,
    pub token_demand: Forecast,
    /// Prompt reading speeds of engines, as observed in this instance's requests.
    pub speeds: Speeds,
    /// Times at which loads from the weight store, on any worker, leave the rate-limit window.
    load_expiries: Vec<Duration>,
    /// Whether loads that an earlier incarnation may have started were added to `load_expiries`.
    has_counted_earlier_loads: bool,
    /// End of each worker's requested pause, with the incarnation that requested it.
    throttled_until: Map<id::Worker, (Incarnation, Duration)>,
    /// Rate limits that workers announced.
    limits: Limits,
    /// Jobs requested from other holders, with the time of the request.
    requested_jobs: BTreeMap<id::Worker, (Duration, Job)>,
    planned_at: Duration,
}

impl Fleet {
    /// Creates a fleet without workers or services.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            load_window: deployment.bounds.load_window,
            ..Self::default()
        }
    }

    /// Updates engines from the operator's services.
    pub fn on_site(&mut self, site: &Site) {
        let engines = site.services.iter();
        let engines =
            engines.filter_map(|(id, service)| Some((id.clone(), service.engine.clone()?)));
        self.engines = engines.collect();
        for engine in self.engines.values() {
            self.speeds.on_engine(engine);
        }
        self.count_earlier_loads();
    }

    /// Assumes that as many loads as the weight store allows were started, evenly over the window
    /// before this start: the number that an earlier incarnation started is unknown.
    fn count_earlier_loads(&mut self) {
        let rates = self.engines.values().map(|engine| engine.loads.0);
        let allowed = rates.fold(0.0, f64::max) * self.load_window.as_secs_f64();
        if self.has_counted_earlier_loads || allowed < 1.0 {
            return;
        }
        self.has_counted_earlier_loads = true;
        let ends = (1..).map(float).take_while(|number| *number <= allowed);
        let ends = ends.map(|number| self.load_window.mul_f64(number / allowed));
        self.load_expiries.extend(ends);
    }

    /// Updates a worker's entry; `held` says whether this instance holds its shard.
    pub fn on_listed(&mut self, now: Duration, backend: Backend, held: bool) {
        let id = backend.id.clone();
        self.handover.on_listed(now, &backend);
        match self.ledgers.get_mut(&id) {
            Some(ledger) => ledger.on_listed(now, backend.clone()),
            None if held => self.start_ledger(now, now, &backend),
            None => {}
        }
        self.backends.insert(id, backend);
    }

    /// Creates the ledger of a worker, which is asked for a report from `may_order_from` on.
    fn start_ledger(&mut self, now: Duration, may_order_from: Duration, backend: &Backend) {
        let mut ledger = self.handover.start_ledger(now, may_order_from, backend);
        let before = self.snapshots.get(&backend.id);
        ledger.revision += before.map_or(0, |snapshot| snapshot.revision);
        self.ledgers.insert(backend.id.clone(), ledger);
    }

    fn end_ledger(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(ledger) = self.ledgers.remove(worker) {
            self.handover.on_ledger_ended(now, ledger);
        }
    }

    /// Removes a worker that has ended. It may come back under its id.
    pub fn on_unlisted(&mut self, now: Duration, worker: &id::Worker) {
        self.end_ledger(now, worker);
        self.handover.on_unlisted(now, worker);
        self.backends.remove(worker);
        self.snapshots.remove(worker);
    }

    /// Starts holding a shard, for which no other holder acts from `acts_from` on. Its workers are asked
    /// for reports, which precede all orders, from `may_order_from` on. `ordered` is what the holder before
    /// stated.
    pub fn on_shard_gained(
        &mut self,
        now: Duration,
        acts_from: Duration,
        may_order_from: Duration,
        shard: Shard,
        ordered: &Ordered,
    ) {
        self.handover
            .on_shard_gained(now, acts_from, shard, ordered);
        let workers = self.backends.values();
        let workers = workers.filter(|backend| Shard::for_worker(&backend.id) == shard);
        for backend in workers.cloned().collect::<Vec<_>>() {
            self.start_ledger(now, may_order_from, &backend);
        }
    }

    /// Stops holding a shard.
    pub fn on_shard_lost(&mut self, now: Duration, shard: Shard) {
        let workers = self.ledgers.keys();
        let workers = workers.filter(|worker| Shard::for_worker(worker) == shard);
        for worker in workers.cloned().collect::<Vec<_>>() {
            self.end_ledger(now, &worker);
        }
        self.handover.on_shard_lost(shard);
    }

    /// Returns the workers of a shard to which orders may still be on their way.
    pub fn ordered(&mut self, now: Duration, shard: Shard) -> Ordered {
        self.handover.ordered(now, shard)
    }

    /// Records the snapshot of a worker that the holder of its shard sent, unless a newer one is
    /// known.
    pub fn on_snapshot(&mut self, now: Duration, worker: id::Worker, snapshot: Snapshot) {
        let known = self.snapshots.get(&worker);
        if !snapshot.is_newer_than(known) {
            return;
        }
        let coming = known.map(|known| &known.coming);
        if snapshot.from_store && !snapshot.coming.is_empty() && coming != Some(&snapshot.coming) {
            self.load_expiries.push(now + self.load_window);
        }
        if !snapshot.assignable {
            self.requested_jobs.remove(&worker);
        }
        self.snapshots.insert(worker, snapshot);
    }

    /// Queues the load of an adapter at a worker. If the worker has no free place, the unload of
    /// its least requested adapter is queued first.
    pub fn request_adapter(&mut self, worker: &id::Worker, target: &Target) {
        let Some(ledger) = self.ledgers.get_mut(worker) else {
            return;
        };
        let Some(engine) = self.engines.get(&ledger.backend.service) else {
            return;
        };
        let has_model = ledger.holdings().contains_key(&target.model);
        if !has_model || ledger.holds_or_expects(target) || !ledger.accepts_adapters() {
            return;
        }
        if ledger.adapter_count() >= engine.adapter_places
            && let Some(victim) = least_requested(&self.token_demand, ledger, target)
        {
            ledger.enqueue_adapter(Action::Unload(victim));
        }
        ledger.enqueue_adapter(Action::Load(target.clone()));
    }

    /// Records that this incarnation of a worker accepts no orders until `until`.
    pub fn on_throttled(&mut self, worker: id::Worker, boot: Incarnation, until: Duration) {
        self.throttled_until.insert(worker, (boot, until));
    }

    /// Records a rate limit that a worker announced; `None` if it lifted the limit.
    pub fn on_limit(
        &mut self,
        at: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) {
        self.limits.on_gossip(at, worker, boot, rate);
    }

    /// Assigns a job from the planner if the worker's current state allows it. Returns whether it
    /// was assigned.
    pub fn on_job(&mut self, now: Duration, job: &Job) -> bool {
        let Some(ledger) = self.ledgers.get_mut(&job.worker) else {
            return false;
        };
        let models = ledger.models();
        let known = job.evict.iter().all(|model| models.contains(model));
        let fits = ledger.accepts_job() && known && !models.contains(&job.load);
        if fits {
            if job.from_store {
                self.load_expiries.push(now + self.load_window);
            }
            ledger.assign(now, job);
        }
        fits
    }

    /// Handles the answer to an order.
    pub fn on_reply(&mut self, now: Duration, order: &Order, reply: Reply) {
        let Some(ledger) = self.ledgers.get_mut(&order.worker) else {
            return;
        };
        if let Some(engine) = self.engines.get(&ledger.backend.service) {
            ledger.on_reply(now, order, reply, engine);
        }
    }

    /// Handles a report; `None` if the worker sent none.
    pub fn on_report(&mut self, now: Duration, worker: &id::Worker, report: Option<Report>) {
        if let Some(ledger) = self.ledgers.get_mut(worker) {
            ledger.on_report(now, report);
        }
    }

    /// Returns a worker's ledger if this instance holds its shard.
    #[must_use]
    pub fn ledger(&self, worker: &id::Worker) -> Option<&Ledger> {
        self.ledgers.get(worker)
    }

    /// Returns the ledgers of the workers in shards that this instance holds.
    pub fn ledgers(&self) -> impl Iterator<Item = (&id::Worker, &Ledger)> {
        self.ledgers.iter()
    }

    /// Returns the calls that are due to workers of the shards for which `may_order` returns true.
    pub fn due_tasks(&mut self, now: Duration, may_order: impl Fn(Shard) -> bool) -> Vec<Task> {
        self.throttled_until.retain(|_, (_, until)| now < *until);
        let backends = &self.backends;
        self.handover
            .forget_unlisted(now, |worker| backends.contains_key(worker));
        let mut tasks = Vec::new();
        for (worker, ledger) in &mut self.ledgers {
            let Some(engine) = self.engines.get(&ledger.backend.service) else {
                continue;
            };
            let throttle = self.throttled_until.get(worker);
            let is_throttled = throttle.is_some_and(|(boot, _)| *boot == ledger.backend.boot);
            if is_throttled || !may_order(Shard::for_worker(worker)) {
                continue;
            }
            let worker = worker.clone();
            match ledger.next(now, engine) {
                Step::Wait => {}
                Step::RequestReport => tasks.push(Task::RequestReport { worker }),
                Step::Send(action, expected) => {
                    let (boot, until) = (ledger.backend.boot, now + MAX_ORDER_DELAY);
                    self.handover.on_ordered(&worker, boot, until);
                    tasks.push(Task::Order {
                        worker,
                        action,
                        expected,
                    });
                }
            }
        }
        tasks
    }

    /// Plans jobs for all workers, at most once per [`PLANNING_INTERVAL`], and returns them. Jobs
    /// for workers that this instance holds are assigned at once.
    pub fn plan(&mut self, now: Duration) -> Vec<Job> {
        if now < self.planned_at + PLANNING_INTERVAL {
            return Vec::new();
        }
        self.planned_at = now;
        self.requested_jobs
            .retain(|_, (at, _)| now < *at + REQUESTED_JOB_EXPIRY);
        self.load_expiries.retain(|leaves| now < *leaves);
        let mut jobs = Vec::new();
        let services: Vec<id::Service> = self.engines.keys().cloned().collect();
        for service in services {
            self.plan_service(now, &service, &mut jobs);
        }
        jobs
    }

    fn plan_service(&mut self, now: Duration, service: &id::Service, jobs: &mut Vec<Job>) {
        let Some(engine) = self.engines.get(service) else {
            return;
        };
        let demand = self.demand(now, engine);
        let workers = self.workers(service, engine);
        let mut planner = Planner::new(Policy::default(), &demand, &workers);
        let mut capacity = self.store_capacity(service, engine);
        while let Some(job) = planner.next(capacity >= 1.0) {
            planner.apply(&job);
            capacity -= f64::from(u8::from(job.from_store));
            if !self.on_job(now, &job) {
                self.requested_jobs
                    .insert(job.worker.clone(), (now, job.clone()));
            }
            jobs.push(job);
        }
    }

    /// Returns the coverage of the `limit` models with the most requested work.
    #[must_use]
    pub fn coverage(&self, limit: usize) -> Vec<Coverage> {
        let mut coverage = Vec::new();
        for (service, engine) in &self.engines {
            let workers = self.workers(service, engine);
            coverage.extend(engine.models.iter().map(|(model, spec)| {
                let copies = workers.iter().filter(|it| it.models.contains(model));
                let serving = copies.clone().filter(|it| !it.coming.contains(model));
                Coverage {
                    model: model.clone(),
                    work: self.work(model, spec.load),
                    copies: copies.count(),
                    serving: serving.count(),
                }
            }));
        }
        coverage.sort_by(|a, b| b.work.total_cmp(&a.work));
        coverage.truncate(limit);
        coverage
    }

    /// Number of loads from the weight store that may start now. It is bounded by the store's rate
    /// and by the number of concurrent loads that the store serves at full speed. A load requested
    /// from another holder counts as started.
    fn store_capacity(&self, service: &id::Service, engine: &Engine) -> f64 {
        let requested = self
            .requested_jobs
            .values()
            .filter(|(_, job)| job.from_store);
        let allowed = engine.loads.0 * self.load_window.as_secs_f64();
        let rate_allowance = allowed - float((self.load_expiries.len() + requested.count()) as u64);
        let backends = self.backends.values();
        let loading = backends.filter(|backend| {
            let snapshot = self.snapshots.get(&backend.id);
            let loads_elsewhere =
                snapshot.is_some_and(|snapshot| snapshot.from_store && !snapshot.coming.is_empty());
            let loads_here = self.ledgers.get(&backend.id).map(Ledger::loads_from_store);
            let requested = self.requested_jobs.contains_key(&backend.id);
            backend.service == *service && (loads_here.unwrap_or(loads_elsewhere) || requested)
        });
        let slots = (engine.loads.0 * mean_load_seconds(engine)).ceil().max(1.0);
        rate_allowance.min(slots - float(loading.count() as u64))
    }

    fn demand(&self, now: Duration, engine: &Engine) -> BTreeMap<id::Model, Demand> {
        let models = engine.models.iter();
        let demand = models.map(|(id, model)| {
            let demand = Demand {
                size: model.size,
                load: model.load,
                work: self.work(id, model.load),
                is_requested: self.token_demand.has_recent_demand(now, id),
            };
            (id.clone(), demand)
        });
        demand.collect()
    }

    /// Requested work, as the number of workers that are used up to [`MAX_READ_UTILISATION`].
    fn work(&self, model: &id::Model, load: Duration) -> f64 {
        let requested = self.token_demand.model_rate(model, load);
        self.speeds.engines_needed(model, requested) / MAX_READ_UTILISATION
    }

    fn workers(&self, service: &id::Service, engine: &Engine) -> Vec<Worker> {
        let backends = self.backends.values();
        let backends = backends.filter(|backend| backend.service == *service && !backend.leaving);
        backends
            .map(|backend| self.worker(backend, engine))
            .collect()
    }

    fn worker(&self, backend: &Backend, engine: &Engine) -> Worker {
        let ledger = self.ledgers.get(&backend.id);
        let snapshot = self.snapshots.get(&backend.id);
        let snapshot = snapshot.filter(|snapshot| snapshot.boot == backend.boot);
        let (reserved, mut models, assignable) = match (ledger, snapshot) {
            (Some(ledger), _) => (
                ledger.reserved(engine),
                ledger.models(),
                ledger.accepts_job(),
            ),
            (None, Some(snapshot)) => (
                Ledger::adapter_space(engine),
                snapshot.models(),
                snapshot.assignable,
            ),
            (None, None) => {
                let models = backend.holdings.keys().cloned().collect();
                (Ledger::adapter_space(engine), models, false)
            }
        };
        let held = match (ledger, snapshot) {
            (Some(ledger), _) => ledger.holdings(),
            (None, Some(snapshot)) => &snapshot.holdings,
            (None, None) => &backend.holdings,
        };
        let requested = self.requested_jobs.get(&backend.id);
        if let Some((_, job)) = requested {
            models.retain(|model| !job.evict.contains(model));
            models.insert(job.load.clone());
        }
        let coming = models.iter().filter(|model| !held.contains_key(*model));
        Worker {
            coming: coming.cloned().collect(),
            id: backend.id.clone(),
            memory: engine.memory,
            reserved,
            models,
            copies: backend.copies.clone(),
            assignable: assignable && requested.is_none(),
            rate_limited: self.limits.limit_for(&backend.id, backend.boot).is_some(),
        }
    }
}

/// Mean load time of the engine's models, in seconds. Multiplied by the weight store's rate it
/// gives the number of loads that can run at full speed at the same time.
fn mean_load_seconds(engine: &Engine) -> f64 {
    let times = engine.models.values().map(|model| model.load.as_secs_f64());
    times.sum::<f64>() / float(engine.models.len().max(1) as u64)
}

/// Returns the adapter at a worker that callers request least, other than `excluded`.
fn least_requested(token_demand: &Forecast, ledger: &Ledger, excluded: &Target) -> Option<Target> {
    let held = ledger.holdings().iter().flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| Target {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        })
    });
    let others = held.filter(|held| held != excluded);
    others.min_by(|a, b| {
        token_demand
            .target_rate(a)
            .total_cmp(&token_demand.target_rate(b))
    })
}
