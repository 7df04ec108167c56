//! All workers of the site in the hands of the lease's holder: which models and adapters they
//! load and unload, and when.

use super::appetite::Appetite;
use super::arrange::{Job, Planner, Policy, Wanted, Worker};
use super::orders::{Ledger, Step};
use crate::common::*;
use crate::world::backend::{Backend, Report};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Target;
use crate::world::order::{Action, Reply};
use crate::world::site::{Engine, Site};
use crate::world::unit::{Bytes, float};

/// Prompt tokens that a worker reads in a second and still answers in time.
const COMFORT: f64 = 16_000.0;
/// Part of the weight store's rate that is used; orders without answer may come late.
const STORE_SHARE: f64 = 1.0;
/// How often placement is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// A want that is not repeated is forgotten.
const WANT_MEMORY: Duration = Duration::from_millis(400);

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

/// All workers with engines, and what callers want of them.
#[derive(Debug, Default)]
pub struct Fleet {
    regions: BTreeMap<id::DataCentre, id::Region>,
    load_window: Duration,
    engines: BTreeMap<id::Service, Engine>,
    ledgers: BTreeMap<id::Worker, Ledger>,
    pub appetite: Appetite,
    wants: BTreeMap<Target, Duration>,
    /// When loads from the weight store began.
    loads: VecDeque<Duration>,
    looked_at: Duration,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            regions: deployment.regions.clone(),
            load_window: deployment.bounds.load_window,
            ..Self::default()
        }
    }

    /// Takes the operator's services.
    pub fn on_site(&mut self, site: &Site) {
        let engines = site.services.iter();
        let engines = engines.filter_map(|(id, service)| Some((id.clone(), service.engine.clone()?)));
        self.engines = engines.collect();
    }

    /// Takes a worker's entry.
    pub fn on_listed(&mut self, now: Duration, backend: Backend) {
        match self.ledgers.get_mut(&backend.id) {
            Some(ledger) => ledger.on_listed(now, backend),
            None => {
                let id = backend.id.clone();
                self.ledgers.insert(id, Ledger::new(now, backend));
            }
        }
    }

    /// Forgets a worker that ended.
    pub fn on_unlisted(&mut self, worker: &id::Worker) {
        self.ledgers.remove(worker);
    }

    /// Forgets what is known of workers' memory: another holder may have changed it.
    pub fn on_taken_over(&mut self, now: Duration) {
        self.loads.clear();
        for ledger in self.ledgers.values_mut() {
            let backend = ledger.backend.clone();
            let revision = ledger.revision;
            *ledger = Ledger::new(now, backend);
            ledger.revision = revision + 1;
        }
    }

    /// Notes that requests wait for a target.
    pub fn on_want(&mut self, now: Duration, target: Target) {
        self.wants.insert(target, now);
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

    /// All workers' ledgers.
    pub fn ledgers(&self) -> impl Iterator<Item = (&id::Worker, &Ledger)> {
        self.ledgers.iter()
    }

    /// Everything to do now; jobs that were decided are returned for the log.
    pub fn tick(&mut self, now: Duration) -> (Vec<Task>, Vec<Job>) {
        self.appetite.tick(now);
        self.wants.retain(|_, at| now < *at + WANT_MEMORY);
        self.place_adapters();
        let jobs = if now >= self.looked_at + LOOK {
            self.looked_at = now;
            self.place_models(now)
        } else {
            Vec::new()
        };
        (self.steps(now), jobs)
    }

    fn steps(&mut self, now: Duration) -> Vec<Task> {
        let mut tasks = Vec::new();
        for (worker, ledger) in &mut self.ledgers {
            let Some(engine) = self.engines.get(&ledger.backend.service) else {
                continue;
            };
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

    fn place_models(&mut self, now: Duration) -> Vec<Job> {
        let mut jobs = Vec::new();
        let services: Vec<id::Service> = self.engines.keys().cloned().collect();
        for service in services {
            while let Some(job) = self.next_job(now, &service) {
                if job.from_store {
                    self.loads.push_back(now);
                }
                if let Some(ledger) = self.ledgers.get_mut(&job.worker) {
                    ledger.give(now, &job);
                }
                jobs.push(job);
            }
        }
        jobs
    }

    fn next_job(&mut self, now: Duration, service: &id::Service) -> Option<Job> {
        let window = self.load_window;
        while self.loads.front().is_some_and(|at| now >= *at + window) {
            self.loads.pop_front();
        }
        let engine = self.engines.get(service)?;
        let allowed = engine.loads.0 * window.as_secs_f64() * STORE_SHARE;
        let store_open =
            float(self.loads.len() as u64) + 1.0 <= allowed && self.has_slot(service, engine);
        let wanted = self.wanted(now, engine);
        let workers = self.workers(service, engine);
        Planner::new(Policy::default(), &wanted, &workers).next(store_open)
    }

    /// Whether another load from the weight store would run at full speed.
    fn has_slot(&self, service: &id::Service, engine: &Engine) -> bool {
        let times = engine.models.values().map(|model| model.load.as_secs_f64());
        let longest = times.fold(0.0, f64::max);
        let slots = (engine.loads.0 * longest).ceil().max(1.0);
        let loading = self.ledgers.values();
        let loading = loading.filter(|ledger| ledger.backend.service == *service);
        let loading = loading.filter(|ledger| ledger.loads_from_store()).count();
        float(loading as u64) < slots
    }

    fn wanted(&self, now: Duration, engine: &Engine) -> BTreeMap<id::Model, Wanted> {
        let models = engine.models.iter();
        let wanted = models.map(|(id, model)| {
            let wanted = Wanted {
                size: model.size,
                work: self.appetite.of_model(id) / COMFORT,
                asked: self.appetite.is_asked(now, id),
            };
            (id.clone(), wanted)
        });
        wanted.collect()
    }

    fn workers(&self, service: &id::Service, engine: &Engine) -> Vec<Worker> {
        let ledgers = self.ledgers.iter();
        let ledgers = ledgers.filter(|(_, ledger)| {
            ledger.backend.service == *service && !ledger.backend.leaving
        });
        let workers = ledgers.map(|(id, ledger)| Worker {
            id: id.clone(),
            region: self.regions.get(&ledger.backend.data_centre).cloned(),
            memory: engine.memory,
            reserved: ledger.reserved(engine),
            models: ledger.models(),
            copies: ledger.backend.copies.clone(),
            open: ledger.is_open(),
        });
        workers.collect()
    }

    fn place_adapters(&mut self) {
        let wants: Vec<Target> = self.wants.keys().cloned().collect();
        for target in wants.iter().filter(|target| target.adapter.is_some()) {
            self.place_adapter(target);
        }
    }

    /// Has an adapter loaded at the worker with most room that holds its model.
    fn place_adapter(&mut self, target: &Target) {
        let expected = self.ledgers.values().any(|ledger| ledger.expects(target));
        if expected {
            return;
        }
        let fit = self.ledgers.values_mut().filter(|ledger| {
            let holds = ledger.holdings().contains_key(&target.model);
            let stays = !ledger.closing().contains(&target.model);
            holds && stays && ledger.takes_adapters()
        });
        let Some(ledger) = fit.min_by_key(|ledger| ledger.adapter_count()) else {
            return;
        };
        let Some(engine) = self.engines.get(&ledger.backend.service) else {
            return;
        };
        if ledger.adapter_count() >= engine.adapter_places
            && let Some(victim) = least_asked(&self.appetite, ledger, target)
        {
            ledger.give_adapter(Action::Unload(victim));
        }
        ledger.give_adapter(Action::Load(target.clone()));
    }

    /// Memory of the workers of a service that models could use, for the dump.
    #[must_use]
    pub fn memory(&self, service: &id::Service) -> Option<Bytes> {
        let engine = self.engines.get(service)?;
        let workers = self.workers(service, engine);
        Some(Bytes(engine.memory.0 * workers.len() as u64))
    }
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
