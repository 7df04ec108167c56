//! One instance's decisions about requests: limit, suspicion, queue, worker, retry.

mod ending;
mod gate;
mod request;

pub use request::{Action, Arrival, End, Reason, Refusal, Verdicts};

use crate::common::*;
use crate::decide::admit::{Queue, Ticket};
use crate::decide::ledger::Report;
use crate::decide::retry::{self, Budget};
use crate::decide::route::{Fleet, Need, Place};
use crate::decide::share::Share;
use crate::decide::suspect::{Fingerprint, Registry, Standing};
use crate::world::artifact::Artifact;
use crate::world::contract;
use crate::world::deployment::Allowance;
use crate::world::id;

/// Requests that may wait at one instance.
const MOST_WAITING: usize = 2000;
/// Attempts at one request.
const MOST_ATTEMPTS: u32 = 6;
/// When to come back where nothing better is known.
pub const COME_BACK: Duration = Duration::from_secs(1);
/// Pause before a struck request looks for a free worker again.
const OCCUPIED_PAUSE: Duration = Duration::from_millis(100);

/// Retries of one instance; they are not shared with others.
const RETRIES: Allowance = Allowance {
    ratio: 0.2,
    extra: 80.0,
    window: Duration::from_secs(10),
};
const ALONE: Option<u32> = Some(1);

#[derive(Debug, Clone)]
struct Live {
    arrival: Arrival,
    need: Need,
    attempts: u32,
    running: Option<(id::Worker, Duration)>,
    /// Whether the crash that ended the attempt was judged already.
    judged: bool,
    not_before: Duration,
}

/// Everything that one instance decides about requests.
#[derive(Debug)]
pub struct Dispatcher {
    me: id::Instance,
    fleet: Fleet,
    queue: Queue,
    registry: Registry,
    budget: Budget,
    shares: BTreeMap<id::Team, Share>,
    live: BTreeMap<id::Request, Live>,
    entries: u32,
    stopping: bool,
    demand: BTreeMap<Artifact, u64>,
    /// Fingerprints in `demand`.
    counted: BTreeSet<Fingerprint>,
    asked: BTreeMap<id::Team, u64>,
}

impl Dispatcher {
    /// Decisions of the instance `me` at `here`.
    #[must_use]
    pub fn new(me: id::Instance, here: Place) -> Self {
        Self::with_fleet(me, Fleet::new(here))
    }

    /// Decisions over a fleet with costs of its own.
    #[must_use]
    pub fn with_fleet(me: id::Instance, fleet: Fleet) -> Self {
        Self {
            me,
            fleet,
            queue: Queue::default(),
            registry: Registry::default(),
            budget: Budget::new(RETRIES, Duration::ZERO),
            shares: BTreeMap::new(),
            live: BTreeMap::new(),
            entries: 1,
            stopping: false,
            demand: BTreeMap::new(),
            counted: BTreeSet::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Workers as this instance sees them.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes the workers that settings name.
    pub fn on_contracts(
        &mut self,
        now: Duration,
        workers: &BTreeMap<id::Worker, contract::Worker>,
    ) -> Vec<Action> {
        self.fleet.on_contracts(workers);
        self.drain(now)
    }

    /// Takes how many entries serve callers.
    pub fn on_entries(&mut self, entries: usize) {
        self.entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    }

    /// A team's part of its limit at this instance.
    pub fn share(&mut self, now: Duration, team: &id::Team) -> &mut Share {
        let me = &self.me;
        self.shares
            .entry(team.clone())
            .or_insert_with(|| Share::new(me.clone(), now))
    }

    /// Requests by team since the last call, admitted or not.
    pub fn take_asked(&mut self) -> BTreeMap<id::Team, u64> {
        std::mem::take(&mut self.asked)
    }

    /// Requests by artifact since the last call, with what still waits.
    pub fn take_demand(&mut self) -> BTreeMap<Artifact, u64> {
        self.counted.clear();
        let mut demand = std::mem::take(&mut self.demand);
        for (artifact, waiting) in self.queue.waiting() {
            *demand.entry(artifact).or_default() += u64::try_from(waiting).unwrap_or(u64::MAX);
        }
        demand
    }

    /// Requests in any state.
    #[must_use]
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request.
    pub fn on_arrival(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        *self.asked.entry(arrival.team.clone()).or_default() += 1;
        let refusal = self.gate(now, &arrival);
        self.count_demand(&arrival, refusal);
        if let Some(refusal) = refusal {
            return vec![Action::Refuse {
                request: arrival.request,
                refusal,
            }];
        }
        self.budget.on_first_attempt(now, ALONE);
        let mut actions = self.make_room(arrival.class);
        let need = Need {
            artifact: arrival.artifact.clone(),
            prefix: arrival.prefix,
            prompt: arrival.prompt,
            class: arrival.class,
            avoid: Vec::new(),
        };
        self.queue.push(ticket(&arrival));
        let live = Live {
            arrival,
            need,
            attempts: 0,
            running: None,
            judged: false,
            not_before: Duration::ZERO,
        };
        self.live.insert(live.arrival.request.clone(), live);
        actions.extend(self.drain(now));
        actions
    }

    /// Counts what placement could help: also what was refused for want of places, but a caller
    /// that asks again and again only once.
    fn count_demand(&mut self, arrival: &Arrival, refusal: Option<Refusal>) {
        let reason = refusal.map(|refusal| refusal.reason);
        let helps = matches!(reason, None | Some(Reason::Deadline | Reason::Full));
        if helps && self.counted.insert(arrival.fingerprint) {
            *self.demand.entry(arrival.artifact.clone()).or_default() += 1;
        }
    }

    /// Admits a call to a plain service, or refuses it.
    pub fn admit_call(&mut self, now: Duration, team: &id::Team) -> Option<Refusal> {
        *self.asked.entry(team.clone()).or_default() += 1;
        if self.stopping {
            return Some(Refusal {
                reason: Reason::Stopping,
                retry_after: Some(COME_BACK),
            });
        }
        let wait = self.share(now, team).admit(now).err()?;
        Some(Refusal {
            reason: Reason::Limit,
            retry_after: Some(wait),
        })
    }

    /// Takes an engine's report.
    pub fn on_report(&mut self, now: Duration, worker: &id::Worker, report: Report) -> Vec<Action> {
        self.fleet.on_report(now, worker, report);
        self.drain(now)
    }

    /// Takes what a peer runs on each worker.
    pub fn on_peer(
        &mut self,
        now: Duration,
        peer: &id::Instance,
        counts: &BTreeMap<id::Worker, u32>,
    ) -> Vec<Action> {
        self.fleet.on_peer_gone(peer);
        for (worker, count) in counts {
            self.fleet.on_peer(now, peer, worker, *count);
        }
        self.drain(now)
    }

    /// Forgets a peer that ended.
    pub fn on_peer_gone(&mut self, peer: &id::Instance) {
        self.fleet.on_peer_gone(peer);
    }

    /// Takes the word that a worker leaves.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker) {
        self.fleet.on_leaving(now, worker);
    }

    /// Takes strikes and convictions from peers or the table.
    pub fn on_verdicts(&mut self, now: Duration, verdicts: &Verdicts) {
        let Verdicts {
            struck,
            convicted,
            cleared,
        } = verdicts;
        for fingerprint in struck {
            self.registry.strike(now, *fingerprint);
        }
        for fingerprint in convicted {
            self.registry.convict(now, *fingerprint);
        }
        for fingerprint in cleared {
            self.registry.clear(*fingerprint);
        }
    }

    /// What this instance runs on each worker.
    #[must_use]
    pub fn own(&self) -> BTreeMap<id::Worker, u32> {
        let busy = self.fleet.views().filter(|(_, view)| view.own() > 0);
        busy.map(|(worker, view)| (worker.clone(), view.own()))
            .collect()
    }

    /// Begins to stop: what waits or runs is finished, nothing new is taken.
    pub fn on_stop(&mut self) {
        self.stopping = true;
    }

    /// Refuses what can't start in time and starts what can.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let late = self.queue.expire(now);
        let mut actions: Vec<Action> = late
            .iter()
            .map(|ticket| self.refuse(&ticket.request, Reason::Deadline))
            .collect();
        actions.extend(self.drain(now));
        actions
    }

    fn drain(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let (fleet, registry, live) = (&self.fleet, &self.registry, &self.live);
            let next = self.queue.pop(|ticket| {
                let live = live.get(&ticket.request)?;
                place(now, fleet, registry, live)
            });
            let Some((ticket, worker)) = next else {
                return actions;
            };
            actions.extend(self.start(now, &ticket.request, worker));
        }
    }

    fn start(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: id::Worker,
    ) -> Option<Action> {
        let live = self.live.get_mut(request)?;
        live.attempts += 1;
        live.judged = false;
        live.running = Some((worker.clone(), now));
        self.fleet.on_sent(now, &worker, live.arrival.prefix);
        let fingerprint = live.arrival.fingerprint;
        let isolated = self.registry.standing(fingerprint) == Standing::Struck;
        if isolated {
            self.registry.isolate(fingerprint, worker.clone());
        }
        Some(Action::Start {
            request: request.clone(),
            worker,
            attempt: live.attempts,
            isolated,
        })
    }
}

/// A wait spread by the request's id, so that callers don't return together.
fn spread(wait: Duration, arrival: &Arrival) -> Duration {
    let drawn = crate::decide::route::rank(0, arrival.request.as_str()) % 1000;
    let jitter = f64::from(u32::try_from(drawn).unwrap_or(0)) / 1000.0;
    retry::spread(wait, jitter)
}

fn ticket(arrival: &Arrival) -> Ticket {
    Ticket {
        request: arrival.request.clone(),
        team: arrival.team.clone(),
        weight: arrival.weight,
        class: arrival.class,
        artifact: arrival.artifact.clone(),
        work: arrival.prompt.0 / 10 + arrival.output.0,
        deadline: arrival.deadline,
    }
}

/// A worker for a request: a struck one runs where no other struck one does.
fn place(now: Duration, fleet: &Fleet, registry: &Registry, live: &Live) -> Option<id::Worker> {
    let struck = registry.standing(live.arrival.fingerprint) == Standing::Struck;
    let held_back = struck && registry.is_running(live.arrival.fingerprint);
    if held_back || now < live.not_before {
        return None;
    }
    if let Some(worker) = &live.arrival.resume_at {
        let serves = fleet
            .view(worker)
            .is_some_and(|view| view.serves(now, &live.need.artifact));
        if serves {
            return Some(worker.clone());
        }
    }
    let suits = |worker: &id::Worker| !struck || !registry.is_occupied(worker);
    let chosen = fleet.choose(now, &live.need, suits);
    let alone = || {
        let anywhere = Need {
            avoid: Vec::new(),
            ..live.need.clone()
        };
        fleet.choose(now, &anywhere, suits)
    };
    chosen.or_else(|| if struck { None } else { alone() })
}
