//! One instance's view of a worker.

use crate::common::*;
use crate::decide::ledger::Report;
use crate::world::artifact::Artifact;
use crate::world::unit::Incarnation;
use crate::world::{contract, id};

/// Time for which a peer's count is valid.
const PEER_COUNT_TTL: Duration = Duration::from_secs(3);
/// Time for which an engine's report is valid.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// An engine's report and the state at its arrival.
#[derive(Debug, Clone)]
pub(super) struct Observation {
    pub(super) at: Duration,
    /// This instance's requests in flight when the report arrived.
    pub(super) own_in_flight_at_report: u32,
    pub(super) report: Report,
}

/// What this instance knows of one worker.
#[derive(Debug, Clone)]
pub struct View {
    pub contract: contract::Worker,
    pub(super) observation: Option<Observation>,
    /// This instance's requests in flight on the worker.
    pub(super) own_in_flight: u32,
    pub(super) sent_since_report: u32,
    /// Number of each peer's requests in flight, with the time at which the count was received.
    pub(super) peer_in_flight: BTreeMap<id::Instance, (Duration, u32)>,
    pub(super) backoff_until: Duration,
    /// Whether the engine's last report says that it is leaving.
    pub(super) leaving: bool,
    /// Time until which a notice that the worker is leaving is valid.
    pub(super) leaving_until: Duration,
    /// Moving average of the service time, 500 ms until the first sample.
    pub(super) service_time: Duration,
    /// Prefixes that this instance sent to the worker, with the time of the last use.
    pub(super) prefixes: BTreeMap<u64, Duration>,
}

impl View {
    pub(super) fn new(contract: contract::Worker) -> Self {
        Self {
            contract,
            observation: None,
            own_in_flight: 0,
            sent_since_report: 0,
            peer_in_flight: BTreeMap::new(),
            backoff_until: Duration::ZERO,
            leaving: false,
            leaving_until: Duration::ZERO,
            service_time: Duration::from_millis(500),
            prefixes: BTreeMap::new(),
        }
    }

    /// Returns this instance's requests in flight on the worker.
    #[must_use]
    pub const fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the number of active and queued requests in the last report.
    #[must_use]
    pub fn reported_in_flight(&self) -> u32 {
        self.observation.as_ref().map_or(0, |observation| {
            observation.report.active + observation.report.queued
        })
    }

    /// Returns the number of requests that this instance sent since the last report.
    #[must_use]
    pub const fn sent_since_report(&self) -> u32 {
        self.sent_since_report
    }

    /// Estimates the requests of all instances in flight on the worker.
    ///
    /// The estimate is this instance's own count plus the valid counts of peers. If no count of a
    /// peer is known, not even an expired one, the engine's report replaces them: its total less this
    /// instance's requests in flight when it arrived.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> u32 {
        let fresh = self
            .peer_in_flight
            .values()
            .filter(|(at, _)| now < *at + PEER_COUNT_TTL);
        let peer_in_flight: u32 = fresh.map(|(_, count)| count).sum();
        let other_in_flight = self
            .observation
            .as_ref()
            .filter(|_| self.peer_in_flight.is_empty());
        let other_in_flight = other_in_flight.map_or(0, |observation| {
            self.reported_in_flight()
                .saturating_sub(observation.own_in_flight_at_report)
        });
        self.own_in_flight + peer_in_flight.max(other_in_flight)
    }

    /// Whether the worker can serve an artifact now: the artifact is resident by a valid report, and
    /// the worker is neither leaving nor in back-off.
    #[must_use]
    pub fn can_serve(&self, now: Duration, artifact: &Artifact) -> bool {
        let observation = self
            .observation
            .as_ref()
            .filter(|observation| now < observation.at + REPORT_TTL);
        let resident = observation
            .is_some_and(|observation| observation.report.resident.contains_key(artifact));
        resident && !self.is_leaving(now) && now >= self.backoff_until
    }

    /// Whether this instance sent the prefix to the worker, so that the engine likely has it cached.
    pub(super) fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Whether the engine's report or a notice says that the worker is leaving.
    #[must_use]
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.leaving || now < self.leaving_until
    }

    /// Returns the version of the engine's software as last reported, or an empty text without a
    /// report.
    #[must_use]
    pub fn software(&self) -> &str {
        let observation = self.observation.as_ref();
        observation.map_or("", |observation| observation.report.software.as_str())
    }

    /// Returns the engine's incarnation as last reported, or 0 without a report.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.observation
            .as_ref()
            .map_or(Incarnation(0), |observation| observation.report.incarnation)
    }
}
