//! Routing: chooses the worker that a request is sent to.
//!
//! A worker's cost is the expected time to the first token. The requests in flight on a worker are
//! estimated from three sources: this instance's own requests, whose count is exact; the counts
//! that peers last sent; and the engine's report, which lags but covers all instances.
//!
//! Requests with the same prompt prefix go to the same worker where possible, to use its prefix
//! cache. This needs no messages between instances: all of them rank the workers of a prefix by
//! the same hash.

mod view;

pub use view::View;

use crate::common::*;
use crate::decide::ledger::Report;
use crate::world::artifact::Artifact;
use crate::world::contract::Class;
use crate::world::time;
use crate::world::unit::Tokens;
use crate::world::{contract, id};
use view::Observation;
use xxhash_rust::xxh3::xxh3_64;

/// Time to prefill a token that is not cached.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(100);
/// One-way latency between data centres of a region.
const DATA_CENTRE_LATENCY: Duration = Duration::from_millis(1);
/// One-way latency between regions.
const REGION_LATENCY: Duration = Duration::from_millis(12);
/// Time for which a worker that did not answer gets no requests.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a notice that a worker is leaving is valid; its senders repeat it.
const LEAVING_NOTICE_TTL: Duration = Duration::from_secs(5);
/// Bound on the remembered prefixes of a worker; the least recently used one is dropped.
const MAX_PREFIXES_PER_WORKER: usize = 4096;
/// Weight of the newest sample in the moving average of the service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// What a request requires of a worker, and what its cost there depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct Requirement {
    pub artifact: Artifact,
    /// Hash of team, model, adapter and the prompt's first block.
    pub prefix: u64,
    pub prompt: Tokens,
    pub class: Class,
    /// Workers that must not be chosen, such as one that just failed the request.
    pub excluded_workers: Vec<id::Worker>,
}

/// Location of an instance.
#[derive(Debug, Clone)]
pub struct Location {
    pub data_centre: id::DataCentre,
    pub region: id::Region,
}

/// A worker that a request could be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    pub view: &'a View,
    /// Whether the worker ranks first for the request's prefix, by a hash that is the same on every
    /// instance.
    pub is_home: bool,
    /// One-way latency from this instance to the worker.
    pub one_way_latency: Duration,
}

/// Function that returns a worker's cost for a request, in expected seconds to the first token.
pub type Cost = fn(&Candidate<'_>, &Requirement, Duration) -> f64;

/// All workers, as this instance sees them.
#[derive(Debug, Clone)]
pub struct Fleet {
    location: Location,
    views: BTreeMap<id::Worker, View>,
    /// Workers by resident artifact, as last reported.
    holders: BTreeMap<Artifact, BTreeSet<id::Worker>>,
    cost: Cost,
}

impl Fleet {
    /// Creates an empty fleet with the default cost function, [`expected_cost`].
    #[must_use]
    pub fn new(location: Location) -> Self {
        Self::with_cost(location, expected_cost)
    }

    /// Creates an empty fleet with another cost function.
    #[must_use]
    pub fn with_cost(location: Location, cost: Cost) -> Self {
        Self {
            location,
            views: BTreeMap::new(),
            holders: BTreeMap::new(),
            cost,
        }
    }

    /// Updates the known workers to those in the settings; workers that remain keep their state.
    pub fn on_contracts(&mut self, workers: &BTreeMap<id::Worker, contract::Worker>) {
        self.views.retain(|worker, _| workers.contains_key(worker));
        for (worker, contract) in workers {
            let view = self.views.entry(worker.clone());
            let view = view.or_insert_with(|| View::new(contract.clone()));
            view.contract = contract.clone();
        }
    }

    /// Applies an engine's report; returns whether the engine has restarted since the last one.
    ///
    /// Reports of an earlier incarnation are ignored. A restart clears the remembered prefixes.
    pub fn on_report(&mut self, now: Duration, worker: &id::Worker, report: Report) -> bool {
        let Some(view) = self.views.get_mut(worker) else {
            return false;
        };
        let last_incarnation = view
            .observation
            .as_ref()
            .map(|observation| observation.report.incarnation);
        if last_incarnation.is_some_and(|last_incarnation| report.incarnation < last_incarnation) {
            return false;
        }
        let restarted =
            last_incarnation.is_some_and(|last_incarnation| report.incarnation > last_incarnation);
        if restarted {
            view.prefixes.clear();
        }
        let last_resident = view
            .observation
            .as_ref()
            .map(|observation| &observation.report.resident);
        if last_resident != Some(&report.resident) {
            let removed = last_resident
                .into_iter()
                .flatten()
                .map(|(artifact, _)| artifact);
            for artifact in removed.filter(|artifact| !report.resident.contains_key(*artifact)) {
                if let Some(holders) = self.holders.get_mut(artifact) {
                    holders.remove(worker);
                }
            }
            for artifact in report.resident.keys() {
                let holders = self.holders.entry(artifact.clone()).or_default();
                holders.insert(worker.clone());
            }
        }
        view.leaving = report.leaving;
        view.sent_since_report = 0;
        view.observation = Some(Observation {
            at: now,
            own_in_flight_at_report: view.own_in_flight,
            report,
        });
        restarted
    }

    /// Records the number of a peer's requests in flight on a worker.
    pub fn on_peer_in_flight(
        &mut self,
        now: Duration,
        peer: &id::Instance,
        worker: &id::Worker,
        count: u32,
    ) {
        if let Some(view) = self.views.get_mut(worker) {
            view.peer_in_flight.insert(peer.clone(), (now, count));
        }
    }

    /// Drops the counts of a peer that has stopped.
    pub fn on_peer_gone(&mut self, peer: &id::Instance) {
        self.views.values_mut().for_each(|view| {
            view.peer_in_flight.remove(peer);
        });
    }

    /// Records a notice that a worker is leaving.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.leaving_until = now + LEAVING_NOTICE_TTL;
        }
    }

    /// Records that this instance sent a request to a worker.
    pub fn on_sent(&mut self, now: Duration, worker: &id::Worker, prefix: u64) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        view.own_in_flight += 1;
        view.sent_since_report += 1;
        view.prefixes.insert(prefix, now);
        if view.prefixes.len() > MAX_PREFIXES_PER_WORKER {
            let oldest = view
                .prefixes
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(prefix, _)| *prefix);
            oldest.map(|oldest| view.prefixes.remove(&oldest));
        }
    }

    /// Records that a request ended; `service_time` is given if it was answered in full.
    pub fn on_ended(&mut self, worker: &id::Worker, service_time: Option<Duration>) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        view.own_in_flight = view.own_in_flight.saturating_sub(1);
        if let Some(service_time) = service_time {
            let mean = view.service_time.as_secs_f64();
            let mean = mean + SERVICE_TIME_SMOOTHING * (service_time.as_secs_f64() - mean);
            view.service_time = time::from_secs_f64(mean);
        }
    }

    /// Records that a worker crashed or did not answer.
    pub fn on_unresponsive(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.backoff_until = now + UNRESPONSIVE_BACKOFF;
        }
    }

    /// Returns the view of one worker.
    #[must_use]
    pub fn view(&self, worker: &id::Worker) -> Option<&View> {
        self.views.get(worker)
    }

    /// Iterates over the views of all workers.
    pub fn views(&self) -> impl Iterator<Item = (&id::Worker, &View)> {
        self.views.iter()
    }

    /// Iterates over the workers that can serve an artifact now.
    fn serving_workers(
        &self,
        now: Duration,
        artifact: &Artifact,
    ) -> impl Iterator<Item = (&id::Worker, &View)> {
        let holders = self.holders.get(artifact).into_iter().flatten();
        let views = holders.filter_map(|worker| Some((worker, self.views.get(worker)?)));
        views.filter(move |(_, view)| view.can_serve(now, artifact))
    }

    /// Returns the batch slots of all workers that can serve an artifact, and their mean service
    /// time weighted by slots; `None` if no worker can.
    #[must_use]
    pub fn capacity(&self, now: Duration, artifact: &Artifact) -> Option<(u32, Duration)> {
        let (mut slots, mut weighted_service_time) = (0, Duration::ZERO);
        for (_, view) in self.serving_workers(now, artifact) {
            slots += view.contract.batch;
            weighted_service_time += view.service_time * view.contract.batch;
        }
        (slots > 0).then(|| (slots, weighted_service_time / slots))
    }

    /// Returns the cheapest worker with room for a request; `is_allowed` may rule workers out.
    ///
    /// The home of a prefix is the worker that ranks first for it among all that can serve the
    /// artifact, whether they have room or not.
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        requirement: &Requirement,
        is_allowed: impl Fn(&id::Worker) -> bool,
    ) -> Option<id::Worker> {
        let rank_of = |worker: &id::Worker| rendezvous_hash(requirement.prefix, worker.as_str());
        let home = self
            .serving_workers(now, &requirement.artifact)
            .max_by_key(|(worker, _)| rank_of(worker));
        let home = home.map(|(worker, _)| worker);
        let serving_workers = self.serving_workers(now, &requirement.artifact);
        let with_room = serving_workers
            .filter(|(_, view)| view.in_flight(now) < max_in_flight(view, requirement.class));
        let eligible = with_room.filter(|(worker, _)| {
            !requirement.excluded_workers.contains(worker) && is_allowed(worker)
        });
        let costs = eligible.map(|(worker, view)| {
            let is_home = home == Some(worker);
            let candidate = Candidate {
                view,
                is_home,
                one_way_latency: self.one_way_latency(&view.contract),
            };
            ((self.cost)(&candidate, requirement, now), worker)
        });
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, worker)| worker.clone())
    }

    /// Returns the one-way latency from this instance to a worker.
    #[must_use]
    pub fn one_way_latency(&self, worker: &contract::Worker) -> Duration {
        if worker.data_centre == self.location.data_centre {
            Duration::ZERO
        } else if worker.region == self.location.region {
            DATA_CENTRE_LATENCY
        } else {
            REGION_LATENCY
        }
    }
}

/// Returns how many requests may be in flight on a worker before it gets no more of a class.
///
/// Premium requests may exceed the batch by a quarter and queue at the worker, since engines start
/// them first. Otherwise a freed slot would go to whichever instance notices it first.
fn max_in_flight(view: &View, class: Class) -> u32 {
    let batch = view.contract.batch;
    match class {
        Class::Premium => batch + batch.div_ceil(4),
        Class::Routine => batch,
    }
}

/// Returns the rank of a name for a key (rendezvous hashing), which is the same on every instance.
#[must_use]
pub fn rendezvous_hash(key: u64, name: &str) -> u64 {
    let mut bytes = key.to_le_bytes().to_vec();
    bytes.extend_from_slice(name.as_bytes());
    xxh3_64(&bytes)
}

/// Returns the expected seconds to the first token: the wait in the worker's queue, the prefill of
/// tokens that are not cached, and the network round trip.
///
/// The wait has a part for the requests beyond the batch, and a part that rises with the fourth
/// power of the load for the risk of having to queue. Of the prompt, 90 % is expected to be cached
/// where this instance sent the prefix before, and 50 % at the prefix's home.
#[must_use]
pub fn expected_cost(candidate: &Candidate<'_>, requirement: &Requirement, now: Duration) -> f64 {
    let view = candidate.view;
    let batch = f64::from(view.contract.batch);
    let load = f64::from(view.in_flight(now)) / batch;
    let service_time = view.service_time.as_secs_f64();
    let queue = (load - 1.0 + 1.0 / batch).max(0.0) * service_time;
    let queueing_risk = load.powi(4) * service_time;
    let tokens = u32::try_from(requirement.prompt.0).unwrap_or(u32::MAX);
    let prefill = (PREFILL_TIME_PER_TOKEN * tokens).as_secs_f64();
    let cached_fraction = if view.has_prefix(requirement.prefix) {
        0.9
    } else if candidate.is_home {
        0.5
    } else {
        0.0
    };
    let round_trip = 2.0 * candidate.one_way_latency.as_secs_f64();
    queue + queueing_risk + prefill * (1.0 - cached_fraction) + round_trip
}
