//! Decides what one instance does with each request: admit or refuse it, queue it, choose its
//! worker and retry it.
//!
//! The dispatcher reads no clock and does no I/O. Its methods take the current time and an event,
//! and return the actions to carry out.

mod admission;
mod outcome;
mod request;

pub use request::{Action, Arrival, End, Reason, Refusal, Verdicts};

use crate::common::*;
use crate::decide::ledger::Report;
use crate::decide::quarantine::{Parts, Quarantine, Report as CrashReport, Write};
use crate::decide::queue::{Queue, Ticket};
use crate::decide::retry::{self, Budget};
use crate::decide::route::{Fleet, Location, Requirement, rendezvous_hash};
use crate::decide::share::Share;
use crate::decide::suspect::{Fingerprint, Registry, Status};
use crate::world::artifact::Artifact;
use crate::world::contract;
use crate::world::deployment::Allowance;
use crate::world::id;
use crate::world::unit::Incarnation;

/// Bound on the queued requests of one instance; only premium requests are admitted beyond it.
const MAX_QUEUED_REQUESTS: usize = 2000;
/// Limit on the attempts at one request, including the first.
const MAX_ATTEMPTS: u32 = 6;
/// `Retry-After` where no better estimate is known; also the least time that a retried request has
/// to start.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a struck request is retried because its attempt was not granted isolation
/// ([`End::Occupied`]).
const OCCUPIED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retry allowance of this instance alone; instances do not share it.
const RETRY_ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    extra: 80.0,
    window: Duration::from_secs(10),
};
/// Number of instances that share [`RETRY_ALLOWANCE`].
const SINGLE_INSTANCE: Option<u32> = Some(1);

/// A request that is queued or running.
#[derive(Debug, Clone)]
struct RequestState {
    arrival: Arrival,
    requirement: Requirement,
    attempts: u32,
    /// Worker and start time of the current attempt; `None` while queued.
    running: Option<(id::Worker, Duration)>,
    /// Incarnation of the current attempt's worker when the attempt started.
    incarnation: Incarnation,
    /// Whether the crash of the current attempt's worker was already attributed.
    ///
    /// All requests on a worker end when it crashes; only the first to end attributes the crash.
    crash_attributed: bool,
    /// Earliest time of the next attempt.
    not_before: Duration,
    /// Software version of the worker that began the answer, once a part of it was delivered.
    begun_at: Option<CompactString>,
}

/// Request dispatcher of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    instance: id::Instance,
    fleet: Fleet,
    queue: Queue,
    crash_suspects: Registry,
    quarantine: Quarantine,
    retry_budget: Budget,
    shares: BTreeMap<id::Team, Share>,
    requests: BTreeMap<id::Request, RequestState>,
    /// Instances that take callers' requests, this one included.
    instance_count: u32,
    stopping: bool,
    /// New requests by artifact since the last [`Dispatcher::take_demand`].
    demand: BTreeMap<Artifact, u64>,
    /// Fingerprints already counted in `demand`.
    demand_fingerprints: BTreeSet<Fingerprint>,
    /// Requests since the last [`Dispatcher::take_requests_by_team`].
    requests_by_team: BTreeMap<id::Team, u64>,
}

impl Dispatcher {
    /// Creates the dispatcher of `instance`, which runs at `location`.
    #[must_use]
    pub fn new(instance: id::Instance, location: Location) -> Self {
        Self::with_fleet(instance, Fleet::new(location))
    }

    /// Creates a dispatcher with the given fleet, which may use another cost function.
    #[must_use]
    pub fn with_fleet(instance: id::Instance, fleet: Fleet) -> Self {
        let quarantine = Quarantine::new(rendezvous_hash(0, instance.as_str()));
        Self {
            instance,
            fleet,
            queue: Queue::default(),
            crash_suspects: Registry::default(),
            quarantine,
            retry_budget: Budget::new(RETRY_ALLOWANCE, Duration::ZERO),
            shares: BTreeMap::new(),
            requests: BTreeMap::new(),
            instance_count: 1,
            stopping: false,
            demand: BTreeMap::new(),
            demand_fingerprints: BTreeSet::new(),
            requests_by_team: BTreeMap::new(),
        }
    }

    /// Returns the workers as this instance sees them.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Updates the known workers to those in the settings, and starts queued requests.
    pub fn on_contracts(
        &mut self,
        now: Duration,
        workers: &BTreeMap<id::Worker, contract::Worker>,
    ) -> Vec<Action> {
        self.fleet.on_contracts(workers);
        self.start_queued(now)
    }

    /// Sets the number of instances that take callers' requests.
    pub fn on_instance_count(&mut self, instance_count: usize) {
        self.instance_count = u32::try_from(instance_count.max(1)).unwrap_or(u32::MAX);
    }

    /// Returns this instance's share of a team's limit.
    pub fn share(&mut self, now: Duration, team: &id::Team) -> &mut Share {
        let instance = &self.instance;
        self.shares
            .entry(team.clone())
            .or_insert_with(|| Share::new(instance.clone(), now))
    }

    /// Returns and resets the number of requests by team, admitted or refused.
    pub fn take_requests_by_team(&mut self) -> BTreeMap<id::Team, u64> {
        std::mem::take(&mut self.requests_by_team)
    }

    /// Returns the demand by artifact: the new requests since the last call plus those still queued.
    pub fn take_demand(&mut self) -> BTreeMap<Artifact, u64> {
        self.demand_fingerprints.clear();
        let mut demand = std::mem::take(&mut self.demand);
        for (artifact, waiting) in self.queue.waiting_by_artifact() {
            *demand.entry(artifact).or_default() += u64::try_from(waiting).unwrap_or(u64::MAX);
        }
        demand
    }

    /// Returns the number of requests that are queued or running.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Admits a request to the queue, or refuses it.
    pub fn on_arrival(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        *self
            .requests_by_team
            .entry(arrival.team.clone())
            .or_default() += 1;
        let refusal = self.check_admission(now, &arrival);
        self.count_demand(&arrival, refusal);
        if let Some(refusal) = refusal {
            return vec![Action::Refuse {
                request: arrival.request,
                refusal,
            }];
        }
        self.retry_budget.on_first_attempt(now, SINGLE_INSTANCE);
        let mut actions = self.make_room(arrival.class);
        let requirement = Requirement {
            artifact: arrival.artifact.clone(),
            prefix: arrival.prefix,
            prompt: arrival.prompt,
            class: arrival.class,
            excluded_workers: Vec::new(),
        };
        self.queue.push(new_ticket(&arrival));
        let state = RequestState {
            arrival,
            requirement,
            attempts: 0,
            running: None,
            incarnation: Incarnation(0),
            crash_attributed: false,
            not_before: Duration::ZERO,
            begun_at: None,
        };
        self.requests.insert(state.arrival.request.clone(), state);
        actions.extend(self.start_queued(now));
        actions
    }

    /// Counts a request as demand if placing more copies of its artifact could help it.
    ///
    /// Requests refused for lack of capacity count too. Each fingerprint counts once per
    /// [`Dispatcher::take_demand`], so that a caller who retries does not inflate the demand.
    fn count_demand(&mut self, arrival: &Arrival, refusal: Option<Refusal>) {
        let reason = refusal.map(|refusal| refusal.reason);
        let placement_helps = matches!(reason, None | Some(Reason::Deadline | Reason::Full));
        if placement_helps && self.demand_fingerprints.insert(arrival.fingerprint) {
            *self.demand.entry(arrival.artifact.clone()).or_default() += 1;
        }
    }

    /// Checks a call to a plain service against the team's limit; returns the refusal, or `None` if
    /// the call is admitted.
    pub fn admit_call(&mut self, now: Duration, team: &id::Team) -> Option<Refusal> {
        *self.requests_by_team.entry(team.clone()).or_default() += 1;
        if self.stopping {
            return Some(Refusal {
                reason: Reason::Stopping,
                retry_after: Some(DEFAULT_RETRY_AFTER),
            });
        }
        let wait = self.share(now, team).admit(now).err()?;
        Some(Refusal {
            reason: Reason::Limit,
            retry_after: Some(wait),
        })
    }

    /// Applies an engine's report.
    pub fn on_report(&mut self, now: Duration, worker: &id::Worker, report: Report) -> Vec<Action> {
        self.fleet.on_report(now, worker, report);
        self.start_queued(now)
    }

    /// Replaces the counts of a peer's requests in flight on each worker.
    pub fn on_peer_in_flight(
        &mut self,
        now: Duration,
        peer: &id::Instance,
        counts: &BTreeMap<id::Worker, u32>,
    ) -> Vec<Action> {
        self.fleet.on_peer_gone(peer);
        for (worker, count) in counts {
            self.fleet.on_peer_in_flight(now, peer, worker, *count);
        }
        self.start_queued(now)
    }

    /// Drops the counts of a peer that has stopped.
    pub fn on_peer_gone(&mut self, peer: &id::Instance) {
        self.fleet.on_peer_gone(peer);
    }

    /// Records a notice that a worker is leaving.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker) {
        self.fleet.on_leaving(now, worker);
    }

    /// Applies the strikes, convictions and lifted strikes that peers or the table service sent.
    pub fn on_verdicts(&mut self, now: Duration, verdicts: &Verdicts) {
        let Verdicts {
            struck,
            convicted,
            cleared,
        } = verdicts;
        for fingerprint in struck {
            self.crash_suspects.strike(now, *fingerprint);
        }
        for fingerprint in convicted {
            self.crash_suspects.convict(now, *fingerprint);
        }
        for fingerprint in cleared {
            self.crash_suspects.clear(*fingerprint);
        }
    }

    /// Applies a peer's report on requests that crash workers, and refuses queued ones.
    pub fn on_crash_report(&mut self, now: Duration, report: &CrashReport) -> Vec<Action> {
        self.quarantine.merge(now, report);
        self.refuse_quarantined(now)
    }

    /// Applies the quarantine that was read from the table service, and refuses queued requests.
    pub fn on_quarantine_rows(
        &mut self,
        now: Duration,
        rows: &BTreeMap<Parts, u32>,
    ) -> Vec<Action> {
        self.quarantine.on_rows(now, rows);
        self.refuse_quarantined(now)
    }

    /// Returns what peers must be told of requests that crash workers.
    pub fn take_crash_report(&mut self) -> CrashReport {
        self.quarantine.take_news()
    }

    /// Returns the changes of the quarantine that the table service must be told now.
    pub fn take_quarantine_writes(&mut self, now: Duration) -> Vec<Write> {
        self.quarantine.take_writes(now)
    }

    /// Records that the table service has taken a change of the quarantine.
    pub fn on_quarantine_written(&mut self, write: &Write) {
        self.quarantine.on_written(write);
    }

    /// Returns the parts of prompts that are in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = Parts> {
        self.quarantine.entries().map(|(parts, _)| parts)
    }

    /// Returns the number of this instance's requests in flight on each worker that has any.
    #[must_use]
    pub fn own_in_flight(&self) -> BTreeMap<id::Worker, u32> {
        let busy = self
            .fleet
            .views()
            .filter(|(_, view)| view.own_in_flight() > 0);
        busy.map(|(worker, view)| (worker.clone(), view.own_in_flight()))
            .collect()
    }

    /// Records that the first part of an answer was delivered: it must go on at workers of the same
    /// software version, since what two versions generate does not fit together.
    pub fn on_begun(&mut self, request: &id::Request) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        if let Some((worker, _)) = &state.running
            && state.begun_at.is_none()
        {
            let view = self.fleet.view(worker);
            state.begun_at = view.map(|view| view.software().into());
        }
    }

    /// Whether a worker has the software version at which a request must go on.
    fn has_fitting_worker(&self, state: &RequestState) -> bool {
        let mut views = self.fleet.views();
        views.any(|(worker, _)| fits(&self.fleet, state, worker))
    }

    /// Begins the shutdown: new requests are refused, queued and running ones continue.
    pub fn on_stop(&mut self) {
        self.stopping = true;
    }

    /// Refuses queued requests whose deadline has passed, then starts those that find a worker.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        self.quarantine.tick(now);
        let expired = self.queue.expire(now);
        let mut actions: Vec<Action> = expired
            .iter()
            .map(|ticket| self.refuse(&ticket.request, Reason::Deadline))
            .collect();
        actions.extend(self.start_queued(now));
        actions
    }

    /// Starts queued requests until none of them finds a worker.
    fn start_queued(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let (fleet, crash_suspects, requests) =
                (&self.fleet, &self.crash_suspects, &self.requests);
            let next = self.queue.pop(|ticket| {
                let state = requests.get(&ticket.request)?;
                choose_worker(now, fleet, crash_suspects, state)
            });
            let Some((ticket, worker)) = next else {
                return actions;
            };
            actions.extend(self.start(now, &ticket.request, worker));
        }
    }

    /// Records a new attempt on a worker and returns the action that starts it.
    fn start(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: id::Worker,
    ) -> Option<Action> {
        let state = self.requests.get_mut(request)?;
        state.attempts += 1;
        state.crash_attributed = false;
        if let Some(view) = self.fleet.view(&worker) {
            state.incarnation = view.incarnation();
        }
        self.quarantine.on_sent(now, &state.arrival.parts);
        state.running = Some((worker.clone(), now));
        self.fleet.on_sent(now, &worker, state.arrival.prefix);
        let fingerprint = state.arrival.fingerprint;
        let isolated = self.crash_suspects.status(fingerprint) == Status::Struck;
        if isolated {
            self.crash_suspects.isolate(fingerprint, worker.clone());
        }
        Some(Action::Start {
            request: request.clone(),
            worker,
            attempt: state.attempts,
            isolated,
        })
    }
}

/// Adds jitter to a wait so that callers do not retry at the same moment.
///
/// The jitter is derived from a hash of the request's id, since this module draws no random numbers.
fn add_jitter(wait: Duration, arrival: &Arrival) -> Duration {
    let hash = rendezvous_hash(0, arrival.request.as_str()) % 1000;
    let jitter = f64::from(u32::try_from(hash).unwrap_or(0)) / 1000.0;
    retry::add_jitter(wait, jitter)
}

/// Returns the queue's ticket for a request. Its expected work counts a prompt token as a tenth of
/// an output token.
fn new_ticket(arrival: &Arrival) -> Ticket {
    Ticket {
        request: arrival.request.clone(),
        team: arrival.team.clone(),
        weight: arrival.weight,
        class: arrival.class,
        artifact: arrival.artifact.clone(),
        expected_tokens: arrival.prompt.0 / 10 + arrival.output.0,
        deadline: arrival.deadline,
    }
}

/// Whether a worker has the software version that began a request's answer, if any part of it was
/// delivered.
fn fits(fleet: &Fleet, state: &RequestState, worker: &id::Worker) -> bool {
    let Some(software) = &state.begun_at else {
        return true;
    };
    let view = fleet.view(worker);
    view.is_some_and(|view| view.software() == software)
}

/// Chooses a worker for a queued request; returns `None` if the request has to wait.
///
/// A resumed request goes to the worker that began its answer, if that worker can still serve it.
/// Otherwise, a struck request only goes to a worker on which this instance runs no other struck
/// request, and never to an excluded worker. Any other request may go to an excluded worker if no
/// other worker has room. A struck request waits while a repeat of it runs in isolation.
fn choose_worker(
    now: Duration,
    fleet: &Fleet,
    crash_suspects: &Registry,
    state: &RequestState,
) -> Option<id::Worker> {
    let struck = crash_suspects.status(state.arrival.fingerprint) == Status::Struck;
    let already_isolated = struck && crash_suspects.is_isolated(state.arrival.fingerprint);
    if already_isolated || now < state.not_before {
        return None;
    }
    if let Some(worker) = &state.arrival.resume_worker {
        let can_serve = fleet
            .view(worker)
            .is_some_and(|view| view.can_serve(now, &state.requirement.artifact));
        if can_serve {
            return Some(worker.clone());
        }
    }
    let is_allowed = |worker: &id::Worker| {
        let is_free = !struck || !crash_suspects.has_isolated_run(worker);
        is_free && fits(fleet, state, worker)
    };
    let chosen = fleet.choose(now, &state.requirement, is_allowed);
    let fallback = || {
        let relaxed = Requirement {
            excluded_workers: Vec::new(),
            ..state.requirement.clone()
        };
        fleet.choose(now, &relaxed, is_allowed)
    };
    chosen.or_else(|| if struck { None } else { fallback() })
}
