//! Load and unload orders to one worker, issued so that its memory is never overcommitted.
//!
//! Every order carries the number of orders that the worker is expected to have accepted so far,
//! and the worker rejects it if its own count differs. Of all orders with the same expected count,
//! including delayed copies, at most one takes effect. An order that gets no answer is resent
//! unchanged until its outcome is known. A restarted worker counts from zero again, so memory for
//! orders to its earlier incarnation stays reserved until they can no longer arrive. Orders that other
//! holders of the worker's shard sent are not known, so a worker that restarts while they may arrive gets
//! no orders until then.

use super::planner::Job;
use crate::common::*;
use crate::world::backend::{Backend, Holdings, Report};
use crate::world::id;
use crate::world::message::Target;
use crate::world::order::{Action, Order, Reply};
use crate::world::site::Engine;
use crate::world::unit::{Bytes, Incarnation};

/// Longest time for which an unanswered order may still be carried out later; the platform
/// specifies it.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);
/// Delay before an unanswered order is resent or a report is requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Greatest age of the state that a report describes, at the time the report arrives.
const MAX_REPORT_AGE: Duration = Duration::from_millis(350);
/// Time past the expected completion of a model order after which a report is requested.
const LOAD_OVERDUE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time that a worker takes to load an adapter after it accepted the order.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);
/// Time between announcing an unload and ordering it, in which requests that were already sent to
/// the worker can still arrive.
const UNLOAD_NOTICE: Duration = Duration::from_millis(60);

/// Next step for a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send this order, with the number of orders that the worker is expected to have accepted.
    Send(Action, u64),
    /// Request a report from the worker.
    RequestReport,
    /// Nothing to do yet.
    Wait,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// No report has arrived yet; one is requested at `ask_at`.
    Unknown {
        ask_at: Duration,
    },
    Idle,
    /// An order was sent and not answered yet.
    Sent {
        action: Action,
    },
    /// An order got no answer and is resent at `again_at`.
    Unanswered {
        action: Action,
        again_at: Duration,
    },
    /// The worker is carrying out a model order, expected to finish at `due`.
    Running {
        action: Action,
        due: Duration,
    },
    /// The order count or the outcome of an order is unknown: a report is requested at `ask_at`.
    Unclear {
        ask_at: Duration,
    },
    /// A report was requested and has not arrived yet.
    Asked,
}

/// What outlives a ledger when its worker is no longer listed or its shard is lost: loads that may still
/// be carried out, as in a [`Ledger`], and the revision.
#[derive(Debug, Clone)]
pub struct Remains {
    boot: Incarnation,
    copies: Vec<(Target, Duration)>,
    late: Vec<(Target, Duration)>,
    revision: u64,
    pub ended_at: Duration,
}

/// Known memory contents and outstanding orders of one worker.
#[derive(Debug, Clone, Serialize)]
pub struct Ledger {
    pub backend: Backend,
    state: State,
    orders: u64,
    /// Whether the worker has reported what it holds; a restarted one holds nothing that its entry
    /// does not list.
    has_reported: bool,
    /// Models announced for unloading, with the time of the announcement.
    closing: BTreeMap<id::Model, Duration>,
    /// Models still to be unloaded before `load` is loaded.
    evict: VecDeque<id::Model>,
    load: Option<id::Model>,
    /// Whether the most recently assigned load reads from the weight store.
    from_store: bool,
    adapters: VecDeque<Action>,
    /// Adapters being loaded, with the time at which they are expected to be ready.
    arriving: Vec<(Target, Duration)>,
    /// Loads that were once left unanswered by this incarnation, with the time until which a copy may
    /// still arrive. Its count keeps them out, also once the load was sent again and accepted, but the
    /// next incarnation may come to the same count.
    copies: Vec<(Target, Duration)>,
    /// The same loads of earlier incarnations of this worker.
    late: Vec<(Target, Duration)>,
    /// Time until which orders of earlier holders may arrive.
    foreign_until: Duration,
    /// Increases with every change that other instances need to know.
    pub revision: u64,
}

impl Ledger {
    /// Creates a ledger for a worker that is known only from its entry in the platform's list.
    #[must_use]
    pub fn new(now: Duration, backend: Backend) -> Self {
        Self {
            backend,
            state: State::Unknown { ask_at: now },
            orders: 0,
            has_reported: false,
            closing: BTreeMap::new(),
            evict: VecDeque::new(),
            load: None,
            from_store: false,
            adapters: VecDeque::new(),
            arriving: Vec::new(),
            copies: Vec::new(),
            late: Vec::new(),
            foreign_until: Duration::ZERO,
            revision: 1,
        }
    }

    /// Sets the time until which orders of earlier holders may arrive. A worker that has restarted
    /// recently gets no orders before then.
    #[must_use]
    pub fn after_others(mut self, until: Duration, has_restarted: bool) -> Self {
        self.foreign_until = until;
        if let State::Unknown { ask_at } = &mut self.state
            && has_restarted
        {
            *ask_at = until.max(*ask_at);
        }
        self
    }

    /// Continues an earlier ledger of the same worker.
    #[must_use]
    pub fn resume(mut self, former: Remains) -> Self {
        self.late = former.late;
        if former.boot == self.backend.boot {
            self.copies = former.copies;
        } else {
            self.late.extend(former.copies);
        }
        self.revision = former.revision + 1;
        self
    }

    /// Ends the ledger.
    #[must_use]
    pub fn end(mut self, now: Duration) -> Remains {
        self.expect_unanswered(now);
        Remains {
            boot: self.backend.boot,
            copies: self.copies,
            late: self.late,
            revision: self.revision,
            ended_at: now,
        }
    }

    /// Updates the ledger from the worker's entry in the platform's list.
    ///
    /// An entry may be older than the report and the answers from which the ledger knows the
    /// worker's models. It therefore shows only that the running order has ended; if its models
    /// differ otherwise, a report is requested.
    pub fn on_listed(&mut self, now: Duration, backend: Backend) {
        if backend.boot != self.backend.boot {
            self.on_restart(now, backend);
            return;
        }
        if !self.has_reported {
            self.backend = backend;
            return;
        }
        let was_open = self.accepts_job();
        let known = std::mem::take(&mut self.backend.holdings);
        self.backend = backend;
        let listed = std::mem::replace(&mut self.backend.holdings, known);
        self.end_running(&listed);
        let is_idle = matches!(self.state, State::Idle);
        if is_idle && !listed.keys().eq(self.backend.holdings.keys()) {
            self.state = State::Unclear {
                ask_at: now + MAX_REPORT_AGE,
            };
        }
        self.revision += u64::from(self.accepts_job() != was_open);
    }

    /// Ends the running order if the listed models show its result.
    fn end_running(&mut self, listed: &Holdings) {
        let State::Running { action, .. } = &self.state else {
            return;
        };
        let action = action.clone();
        let target = action.target();
        let is_load = matches!(action, Action::Load(_));
        if listed.contains_key(&target.model) != is_load {
            return;
        }
        if is_load {
            self.add_held(target.clone());
        } else {
            self.remove_held(target);
        }
        self.state = State::Idle;
        self.revision += 1;
    }

    fn on_restart(&mut self, now: Duration, backend: Backend) {
        let foreign_until = self.foreign_until;
        let ended = std::mem::replace(self, Self::new(now, backend.clone())).end(now);
        *self = Self::new(now, backend)
            .after_others(foreign_until, true)
            .resume(ended);
        if now >= foreign_until {
            self.has_reported = true;
            self.state = State::Idle;
        }
    }

    /// Records that the order that is not answered yet may arrive later.
    fn expect_unanswered(&mut self, now: Duration) {
        if let State::Sent { action } | State::Unanswered { action, .. } = &self.state {
            self.expect_copy(now, &action.clone());
        }
    }

    /// Records that a copy of an order may arrive later.
    fn expect_copy(&mut self, now: Duration, action: &Action) {
        if let Action::Load(target) = action {
            self.copies.retain(|(copied, _)| copied != target);
            self.copies.push((target.clone(), now + MAX_ORDER_DELAY));
        }
    }

    /// Whether the worker can be assigned a job.
    #[must_use]
    pub fn accepts_job(&self) -> bool {
        let idle = matches!(self.state, State::Idle);
        idle && self.load.is_none() && self.evict.is_empty() && !self.backend.leaving
    }

    /// Whether the worker's memory contents are known: not before its first report, and not while a
    /// requested report is awaited. After a restart they are taken from the platform's list.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.has_reported && !matches!(self.state, State::Asked)
    }

    /// Returns until when the worker gets no orders because those of earlier holders may arrive.
    #[must_use]
    pub fn held_back_until(&self, now: Duration) -> Option<Duration> {
        let State::Unknown { ask_at } = self.state else {
            return None;
        };
        (now < ask_at && ask_at == self.foreign_until).then_some(ask_at)
    }

    /// Whether adapters can be loaded or unloaded.
    #[must_use]
    pub fn accepts_adapters(&self) -> bool {
        let known = matches!(self.state, State::Idle | State::Sent { .. });
        known && !self.backend.leaving
    }

    /// Assigns a job: models to unload, then a model to load.
    pub fn assign(&mut self, now: Duration, job: &Job) {
        let closing = job.evict.iter().map(|model| (model.clone(), now));
        self.closing = closing.collect();
        self.evict = job.evict.clone().into();
        self.load = Some(job.load.clone());
        self.from_store = job.from_store;
        self.revision += 1;
    }

    /// Whether a load from the weight store is running or queued at this worker.
    #[must_use]
    pub fn loads_from_store(&self) -> bool {
        let running = matches!(
            &self.state,
            State::Running {
                action: Action::Load(_),
                ..
            }
        );
        self.from_store && (running || self.load.is_some())
    }

    /// Queues a load of an adapter, or an unload that makes room for one.
    pub fn enqueue_adapter(&mut self, action: Action) {
        if !self.adapters.contains(&action) {
            self.adapters.push_back(action);
        }
    }

    /// Whether an adapter is loaded, being loaded or queued for loading.
    #[must_use]
    pub fn holds_or_expects(&self, target: &Target) -> bool {
        let queued = self.adapters.iter();
        let mut queued = queued.filter(|action| matches!(action, Action::Load(_)));
        let arriving = self.arriving.iter().any(|(arriving, _)| arriving == target);
        let sent = matches!(&self.state, State::Sent { action: Action::Load(sent) } | State::Unanswered { action: Action::Load(sent), .. } if sent == target);
        let queued = queued.any(|action| action.target() == target);
        arriving || sent || queued || self.holds(target)
    }

    fn holds(&self, target: &Target) -> bool {
        let adapters = self.backend.holdings.get(&target.model);
        let adapter = target.adapter.as_ref();
        adapters.is_some_and(|held| adapter.is_none_or(|adapter| held.contains(adapter)))
    }

    /// Models that are held, being loaded or queued for loading, except those announced for
    /// unloading.
    #[must_use]
    pub fn models(&self) -> BTreeSet<id::Model> {
        let held = self.backend.holdings.keys();
        let held = held.filter(|model| !self.closing.contains_key(*model));
        let coming = match &self.state {
            State::Running {
                action: Action::Load(target),
                ..
            } => Some(&target.model),
            _ => self.load.as_ref(),
        };
        held.chain(coming).cloned().collect()
    }

    /// Models announced for unloading: no new requests for them should be sent to this worker.
    #[must_use]
    pub fn closing(&self) -> BTreeSet<id::Model> {
        self.closing.keys().cloned().collect()
    }

    /// Models and adapters that requests can use now.
    #[must_use]
    pub fn holdings(&self) -> &Holdings {
        &self.backend.holdings
    }

    /// Number of adapters that are loaded, being loaded or queued for loading, plus the delayed
    /// loads that may still arrive, minus the adapters queued for unloading.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        let held_count: usize = self.backend.holdings.values().map(BTreeSet::len).sum();
        let loads = self
            .adapters
            .iter()
            .filter(|it| matches!(it, Action::Load(_)));
        let unloads = self
            .adapters
            .iter()
            .filter(|it| matches!(it, Action::Unload(_)));
        let sent = match &self.state {
            State::Sent { action } | State::Unanswered { action, .. } => match action {
                Action::Load(target) => usize::from(target.adapter.is_some()),
                Action::Unload(_) => 0,
            },
            _ => 0,
        };
        let late = self.late.iter().filter(|(it, _)| it.adapter.is_some());
        (held_count + self.arriving.len() + loads.count() + sent + late.count())
            .saturating_sub(unloads.count())
    }

    /// Memory reserved for adapters: as many of the largest size as the engine can hold.
    #[must_use]
    pub fn adapter_space(engine: &Engine) -> Bytes {
        let largest = engine.models.values().map(|model| model.adapter_size);
        Bytes(largest.max().unwrap_or_default().0 * engine.adapter_places as u64)
    }

    /// Memory not available to models: the space for adapters, and for models that a delayed order
    /// may still load.
    #[must_use]
    pub fn reserved(&self, engine: &Engine) -> Bytes {
        let adapters = Self::adapter_space(engine);
        let late = self.late.iter().filter(|(it, _)| it.adapter.is_none());
        let late = late.filter_map(|(it, _)| engine.models.get(&it.model));
        late.fold(adapters, |sum, model| sum.plus(model.size))
    }

    /// Returns the next step for this worker.
    pub fn next(&mut self, now: Duration, engine: &Engine) -> Step {
        self.apply_elapsed(now);
        match &self.state {
            State::Unknown { ask_at } | State::Unclear { ask_at } if now >= *ask_at => {
                self.state = State::Asked;
                Step::RequestReport
            }
            State::Running { due, .. } if now >= *due + LOAD_OVERDUE_MARGIN => {
                self.state = State::Asked;
                Step::RequestReport
            }
            State::Unanswered { action, again_at } if now >= *again_at => {
                let action = action.clone();
                self.send(action)
            }
            State::Idle => match self.next_action(now, engine) {
                Some(action) => self.send(action),
                None => Step::Wait,
            },
            _ => Step::Wait,
        }
    }

    fn send(&mut self, action: Action) -> Step {
        self.state = State::Sent {
            action: action.clone(),
        };
        Step::Send(action, self.orders)
    }

    fn apply_elapsed(&mut self, now: Duration) {
        self.late.retain(|(_, until)| now < *until);
        self.copies.retain(|(_, until)| now < *until);
        let (arrived, arriving) = std::mem::take(&mut self.arriving)
            .into_iter()
            .partition(|(_, at)| now >= *at);
        self.arriving = arriving;
        let arrived: Vec<(Target, Duration)> = arrived;
        for (target, _) in arrived {
            self.add_held(target);
            self.revision += 1;
        }
    }

    fn add_held(&mut self, target: Target) {
        match target.adapter {
            Some(adapter) => {
                if let Some(adapters) = self.backend.holdings.get_mut(&target.model) {
                    adapters.insert(adapter);
                }
            }
            None => {
                self.backend.holdings.entry(target.model).or_default();
            }
        }
    }

    fn remove_held(&mut self, target: &Target) {
        if let Some(adapter) = &target.adapter {
            let held = self.backend.holdings.get_mut(&target.model);
            held.map(|adapters| adapters.remove(adapter));
        } else {
            self.backend.holdings.remove(&target.model);
            self.closing.remove(&target.model);
        }
    }

    fn next_action(&mut self, now: Duration, engine: &Engine) -> Option<Action> {
        while let Some(action) = self.adapters.pop_front() {
            if self.is_valid(&action, engine) {
                return Some(action);
            }
        }
        if let Some(model) = self.evict.front() {
            let since = self.closing.get(model).copied().unwrap_or(now);
            if now < since + UNLOAD_NOTICE {
                return None;
            }
            let model = self.evict.pop_front()?;
            return Some(Action::Unload(model_target(model)));
        }
        let model = self.load.take()?;
        let action = Action::Load(model_target(model));
        self.is_valid(&action, engine).then_some(action)
    }

    /// Whether an order would change what the worker holds and, if it is a load, fits into memory.
    fn is_valid(&self, action: &Action, engine: &Engine) -> bool {
        let target = action.target();
        let Some(model) = engine.models.get(&target.model) else {
            return matches!(action, Action::Unload(_));
        };
        match (action, &target.adapter) {
            (Action::Unload(_), _) => self.holds(target),
            (Action::Load(_), None) => {
                let held = self.backend.holdings.keys();
                let held = held.filter_map(|model| engine.models.get(model));
                let held: u64 = held.map(|model| model.size.0).sum();
                let total = held + self.reserved(engine).0 + model.size.0;
                total <= engine.memory.0 && !self.holds(target)
            }
            (Action::Load(_), Some(_)) => {
                let has_model = self.backend.holdings.contains_key(&target.model);
                let is_kept = !self.closing.contains_key(&target.model);
                let held_count = self.backend.holdings.values().map(BTreeSet::len);
                let held_count = held_count.sum::<usize>() + self.arriving.len() + self.late.len();
                has_model && is_kept && held_count < engine.adapter_places && !self.holds(target)
            }
        }
    }

    /// Handles the answer to an order, unless another order was sent since: the answer may be to
    /// one that this instance sent before it lost the worker's shard for a time.
    pub fn on_reply(&mut self, now: Duration, order: &Order, reply: Reply, engine: &Engine) {
        let is_current = self.backend.boot == order.boot && self.orders == order.expected;
        let State::Sent { action } = &self.state else {
            return;
        };
        if !is_current || *action != order.action {
            return;
        }
        let action = action.clone();
        if reply == Reply::Unknown {
            self.expect_copy(now, &action);
        }
        self.revision += 1;
        self.state = match reply {
            Reply::Accepted => self.on_accepted(now, action, engine),
            Reply::Holds => self.on_held_already(now, &action),
            Reply::Unknown => State::Unanswered {
                action,
                again_at: now + RETRY_INTERVAL,
            },
            Reply::Conflict | Reply::Misdirected | Reply::Refused => State::Unclear {
                ask_at: now + MAX_REPORT_AGE,
            },
        };
    }

    fn on_accepted(&mut self, now: Duration, action: Action, engine: &Engine) -> State {
        self.orders += 1;
        let target = action.target();
        if target.adapter.is_some() {
            match &action {
                Action::Load(target) => {
                    self.arriving
                        .push((target.clone(), now + ADAPTER_LOAD_TIME));
                }
                Action::Unload(target) => self.remove_held(&target.clone()),
            }
            return State::Idle;
        }
        let model = engine.models.get(&target.model);
        let load_time = model.map_or(Duration::ZERO, |model| model.load);
        let due = now + load_time;
        State::Running { action, due }
    }

    fn on_held_already(&mut self, now: Duration, action: &Action) -> State {
        match action {
            Action::Unload(target) if target.adapter.is_some() => {
                self.orders += 1;
                self.remove_held(&target.clone());
                State::Idle
            }
            Action::Load(target) => {
                self.add_held(target.clone());
                State::Unclear {
                    ask_at: now + MAX_REPORT_AGE,
                }
            }
            Action::Unload(target) => {
                self.remove_held(&target.clone());
                State::Unclear {
                    ask_at: now + MAX_REPORT_AGE,
                }
            }
        }
    }

    /// Handles a report; `None` if the worker sent none.
    pub fn on_report(&mut self, now: Duration, report: Option<Report>) {
        if !matches!(self.state, State::Asked) {
            return;
        }
        let Some(report) = report.filter(|report| report.orders >= self.orders) else {
            self.state = State::Unclear {
                ask_at: now + RETRY_INTERVAL,
            };
            return;
        };
        self.has_reported = true;
        self.orders = report.orders;
        self.backend.holdings = report.holdings;
        self.backend.copies = report.copies;
        self.closing
            .retain(|model, _| self.backend.holdings.contains_key(model));
        let incoming = report.incoming.into_iter();
        self.arriving = incoming
            .map(|target| (target, now + ADAPTER_LOAD_TIME))
            .collect();
        self.revision += 1;
        self.state = if report.busy {
            State::Unclear {
                ask_at: now + RETRY_INTERVAL,
            }
        } else {
            State::Idle
        };
    }
}

fn model_target(model: id::Model) -> Target {
    Target {
        model,
        adapter: None,
    }
}
