//! The workers in the hands of this instance, and the plan for all workers.
//!
//! Each shard of the workers has a holder that gives orders to them. One of the holders plans for
//! all: it sees what every worker holds, and asks the holders for loads and unloads. Two planners
//! at one time are wasteful and do no harm, since a holder checks each job with its own ledger.

use super::appetite::Appetite;
use super::arrange::{Job, Planner, Policy, Wanted, Worker};
use super::limit::Limits;
use super::orders::{Ledger, Step};
use super::speed::Speeds;
use super::told::Told;
use crate::common::*;
use crate::world::backend::{Backend, Report};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Target;
use crate::world::order::{Action, Reply};
use crate::world::shard::Shard;
use crate::world::site::{Engine, Site};
use crate::world::unit::{Incarnation, Rate, float};

/// Part of its time that a worker may read prompts in and still answer in time.
const COMFORT: f64 = 0.7;
/// How often placement is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// A job that its holder does not begin is planned anew after this time.
const JOB_MEMORY: Duration = Duration::from_millis(600);

/// What to do for a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Task {
    Order {
        worker: id::Worker,
        action: Action,
        expected: u64,
    },
    Ask {
        worker: id::Worker,
    },
}

/// What the planner sees of one model.
#[derive(Debug, Clone, Serialize)]
pub struct Standing {
    pub model: id::Model,
    /// Work asked for, in workers.
    pub work: f64,
    /// Workers that hold it or are to load it.
    pub copies: usize,
    /// Those of them that serve it now.
    pub serving: usize,
}

/// All workers with engines, and what callers want of them.
#[derive(Debug, Default)]
pub struct Fleet {
    load_window: Duration,
    engines: BTreeMap<id::Service, Engine>,
    backends: BTreeMap<id::Worker, Backend>,
    /// Workers of the shards that this instance holds.
    ledgers: BTreeMap<id::Worker, Ledger>,
    told: BTreeMap<id::Worker, Told>,
    pub appetite: Appetite,
    /// How fast engines read, as this instance's requests show.
    pub speeds: Speeds,
    /// When loads from the weight store, on all workers, leave the window over which they count.
    loads: Vec<Duration>,
    /// Whether what an earlier start of the process may have begun counts among them.
    counts_earlier: bool,
    /// When rests end that workers asked for, with the start that did.
    rests: Map<id::Worker, (Incarnation, Duration)>,
    /// Rate limits that workers named.
    limits: Limits,
    /// Jobs that were asked of other holders.
    asked: BTreeMap<id::Worker, (Duration, Job)>,
    looked_at: Duration,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            load_window: deployment.bounds.load_window,
            ..Self::default()
        }
    }

    /// Takes the operator's services.
    pub fn on_site(&mut self, site: &Site) {
        let engines = site.services.iter();
        let engines =
            engines.filter_map(|(id, service)| Some((id.clone(), service.engine.clone()?)));
        self.engines = engines.collect();
        for engine in self.engines.values() {
            self.speeds.on_engine(engine);
        }
        self.count_earlier();
    }

    /// Counts as many loads as are allowed, evenly over the window before the start: nobody knows
    /// how many an earlier start of this process began.
    fn count_earlier(&mut self) {
        let rates = self.engines.values().map(|engine| engine.loads.0);
        let allowed = rates.fold(0.0, f64::max) * self.load_window.as_secs_f64();
        if self.counts_earlier || allowed < 1.0 {
            return;
        }
        self.counts_earlier = true;
        let ends = (1..).map(float).take_while(|number| *number <= allowed);
        let ends = ends.map(|number| self.load_window.mul_f64(number / allowed));
        self.loads.extend(ends);
    }

    /// Takes a worker's entry; `held` says whether this instance holds its shard.
    pub fn on_listed(&mut self, now: Duration, backend: Backend, held: bool) {
        let id = backend.id.clone();
        match self.ledgers.get_mut(&id) {
            Some(ledger) => ledger.on_listed(now, backend.clone()),
            None if held => {
                let ledger = Ledger::new(now, backend.clone());
                self.ledgers.insert(id.clone(), ledger);
            }
            None => {}
        }
        self.backends.insert(id, backend);
    }

    /// Forgets a worker that ended.
    pub fn on_unlisted(&mut self, worker: &id::Worker) {
        self.ledgers.remove(worker);
        self.backends.remove(worker);
        self.told.remove(worker);
    }

    /// Takes a shard in hand. Its workers are asked what they hold, from `orders_from` on.
    pub fn on_gained(&mut self, orders_from: Duration, shard: Shard) {
        let workers = self.backends.values();
        let workers = workers.filter(|backend| Shard::for_worker(&backend.id) == shard);
        for backend in workers {
            let mut ledger = Ledger::new(orders_from, backend.clone());
            let before = self.told.get(&backend.id);
            ledger.revision += before.map_or(0, |told| told.revision);
            self.ledgers.insert(backend.id.clone(), ledger);
        }
    }

    /// Lets go of a shard.
    pub fn on_lost(&mut self, shard: Shard) {
        self.ledgers
            .retain(|worker, _| Shard::for_worker(worker) != shard);
    }

    /// Takes what another holder told of a worker.
    pub fn on_told(&mut self, now: Duration, worker: id::Worker, told: Told) {
        let known = self.told.get(&worker);
        if !told.is_newer_than(known) {
            return;
        }
        let coming = known.map(|known| &known.coming);
        if told.from_store && !told.coming.is_empty() && coming != Some(&told.coming) {
            self.loads.push(now + self.load_window);
        }
        if !told.open {
            self.asked.remove(&worker);
        }
        self.told.insert(worker, told);
    }

    /// Has an adapter loaded at a worker, in the place of the least asked one if need be.
    pub fn on_want(&mut self, worker: &id::Worker, target: &Target) {
        let Some(ledger) = self.ledgers.get_mut(worker) else {
            return;
        };
        let Some(engine) = self.engines.get(&ledger.backend.service) else {
            return;
        };
        let has_model = ledger.holdings().contains_key(&target.model);
        if !has_model || ledger.expects(target) || !ledger.takes_adapters() {
            return;
        }
        if ledger.adapter_count() >= engine.adapter_places
            && let Some(victim) = least_asked(&self.appetite, ledger, target)
        {
            ledger.give_adapter(Action::Unload(victim));
        }
        ledger.give_adapter(Action::Load(target.clone()));
    }

    /// Notes that a worker wants no orders until some time.
    pub fn on_rest(&mut self, worker: id::Worker, boot: Incarnation, until: Duration) {
        self.rests.insert(worker, (boot, until));
    }

    /// Notes that a worker named a rate limit, or lifted it.
    pub fn on_limit(
        &mut self,
        at: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) {
        self.limits.on_told(at, worker, boot, rate);
    }

    /// Takes a job from the planner, if it fits what the worker does.
    pub fn on_job(&mut self, now: Duration, job: &Job) -> bool {
        let Some(ledger) = self.ledgers.get_mut(&job.worker) else {
            return false;
        };
        let models = ledger.models();
        let known = job.evict.iter().all(|model| models.contains(model));
        let fits = ledger.is_open() && known && !models.contains(&job.load);
        if fits {
            if job.from_store {
                self.loads.push(now + self.load_window);
            }
            ledger.give(now, job);
        }
        fits
    }

    /// Takes the answer to an order.
    pub fn on_reply(&mut self, now: Duration, worker: &id::Worker, reply: Reply) {
        let Some(ledger) = self.ledgers.get_mut(worker) else {
            return;
        };
        if let Some(engine) = self.engines.get(&ledger.backend.service) {
            ledger.on_reply(now, reply, engine);
        }
    }

    /// Takes a report, or the lack of one.
    pub fn on_report(&mut self, now: Duration, worker: &id::Worker, report: Option<Report>) {
        if let Some(ledger) = self.ledgers.get_mut(worker) {
            ledger.on_report(now, report);
        }
    }

    /// One worker's ledger, where this instance holds it.
    #[must_use]
    pub fn ledger(&self, worker: &id::Worker) -> Option<&Ledger> {
        self.ledgers.get(worker)
    }

    /// Ledgers of the workers that this instance holds.
    pub fn ledgers(&self) -> impl Iterator<Item = (&id::Worker, &Ledger)> {
        self.ledgers.iter()
    }

    /// Everything to do now for workers of the shards for which `may_order` holds.
    pub fn steps(&mut self, now: Duration, may_order: impl Fn(Shard) -> bool) -> Vec<Task> {
        self.rests.retain(|_, (_, until)| now < *until);
        let mut tasks = Vec::new();
        for (worker, ledger) in &mut self.ledgers {
            let Some(engine) = self.engines.get(&ledger.backend.service) else {
                continue;
            };
            let rest = self.rests.get(worker);
            let rests = rest.is_some_and(|(boot, _)| *boot == ledger.backend.boot);
            if rests || !may_order(Shard::for_worker(worker)) {
                continue;
            }
            let worker = worker.clone();
            match ledger.next(now, engine) {
                Step::Wait => {}
                Step::Ask => tasks.push(Task::Ask { worker }),
                Step::Send(action, expected) => tasks.push(Task::Order {
                    worker,
                    action,
                    expected,
                }),
            }
        }
        tasks
    }

    /// Jobs for all workers; those of this instance's workers are begun at once.
    pub fn plan(&mut self, now: Duration) -> Vec<Job> {
        if now < self.looked_at + LOOK {
            return Vec::new();
        }
        self.looked_at = now;
        self.asked.retain(|_, (at, _)| now < *at + JOB_MEMORY);
        self.loads.retain(|leaves| now < *leaves);
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
        let wanted = self.wanted(now, engine);
        let workers = self.workers(service, engine);
        let mut planner = Planner::new(Policy::default(), &wanted, &workers);
        let mut room = self.room_at_store(service, engine);
        while let Some(job) = planner.next(room >= 1.0) {
            planner.give(&job);
            room -= f64::from(u8::from(job.from_store));
            if !self.on_job(now, &job) {
                self.asked.insert(job.worker.clone(), (now, job.clone()));
            }
            jobs.push(job);
        }
    }

    /// The models with the most work, as the planner sees them.
    #[must_use]
    pub fn standings(&self, most: usize) -> Vec<Standing> {
        let mut standings = Vec::new();
        for (service, engine) in &self.engines {
            let workers = self.workers(service, engine);
            standings.extend(engine.models.iter().map(|(model, sheet)| {
                let copies = workers.iter().filter(|it| it.models.contains(model));
                let serving = copies.clone().filter(|it| !it.coming.contains(model));
                Standing {
                    model: model.clone(),
                    work: self.work(model, sheet.load),
                    copies: copies.count(),
                    serving: serving.count(),
                }
            }));
        }
        standings.sort_by(|a, b| b.work.total_cmp(&a.work));
        standings.truncate(most);
        standings
    }

    /// Loads that may begin at the weight store now: they stay below its rate, and all that run have
    /// its full speed. A load that was asked of another holder counts as begun.
    fn room_at_store(&self, service: &id::Service, engine: &Engine) -> f64 {
        let asked = self.asked.values().filter(|(_, job)| job.from_store);
        let allowed = engine.loads.0 * self.load_window.as_secs_f64();
        let by_rate = allowed - float((self.loads.len() + asked.count()) as u64);
        let backends = self.backends.values();
        let loading = backends.filter(|backend| {
            let told = self.told.get(&backend.id);
            let elsewhere = told.is_some_and(|told| told.from_store && !told.coming.is_empty());
            let here = self.ledgers.get(&backend.id).map(Ledger::loads_from_store);
            let asked = self.asked.contains_key(&backend.id);
            backend.service == *service && (here.unwrap_or(elsewhere) || asked)
        });
        let slots = (engine.loads.0 * mean_load(engine)).ceil().max(1.0);
        by_rate.min(slots - float(loading.count() as u64))
    }

    fn wanted(&self, now: Duration, engine: &Engine) -> BTreeMap<id::Model, Wanted> {
        let models = engine.models.iter();
        let wanted = models.map(|(id, model)| {
            let wanted = Wanted {
                size: model.size,
                load: model.load,
                work: self.work(id, model.load),
                asked: self.appetite.is_asked(now, id),
            };
            (id.clone(), wanted)
        });
        wanted.collect()
    }

    /// Work asked for, in workers that would be busy as much as they may be.
    fn work(&self, model: &id::Model, load: Duration) -> f64 {
        let asked = self.appetite.of_model(model, load);
        self.speeds.busy(model, asked) / COMFORT
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
        let told = self.told.get(&backend.id);
        let told = told.filter(|told| told.boot == backend.boot);
        let (reserved, mut models, open) = match (ledger, told) {
            (Some(ledger), _) => (ledger.reserved(engine), ledger.models(), ledger.is_open()),
            (None, Some(told)) => (Ledger::adapter_space(engine), told.models(), told.open),
            (None, None) => {
                let models = backend.holdings.keys().cloned().collect();
                (Ledger::adapter_space(engine), models, false)
            }
        };
        let held = match (ledger, told) {
            (Some(ledger), _) => ledger.holdings(),
            (None, Some(told)) => &told.holdings,
            (None, None) => &backend.holdings,
        };
        let asked = self.asked.get(&backend.id);
        if let Some((_, job)) = asked {
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
            open: open && asked.is_none(),
            limited: self.limits.of(&backend.id, backend.boot).is_some(),
        }
    }
}

/// Seconds that loads take on average. The weight store serves as many at full speed as begin
/// meanwhile at its rate.
fn mean_load(engine: &Engine) -> f64 {
    let times = engine.models.values().map(|model| model.load.as_secs_f64());
    times.sum::<f64>() / float(engine.models.len().max(1) as u64)
}

/// The adapter at a worker that callers ask for least.
fn least_asked(appetite: &Appetite, ledger: &Ledger, but: &Target) -> Option<Target> {
    let held = ledger.holdings().iter().flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| Target {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        })
    });
    let others = held.filter(|held| held != but);
    others.min_by(|a, b| appetite.of(a).total_cmp(&appetite.of(b)))
}
