//! What one instance knows of a worker.

use crate::common::*;
use crate::decide::ledger::Report;
use crate::world::artifact::Artifact;
use crate::world::unit::Incarnation;
use crate::world::{contract, id};

/// What a peer said counts for this long.
const PEER_COUNT_TTL: Duration = Duration::from_secs(3);
/// A report counts for this long.
const REPORT_TTL: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
pub(super) struct Observation {
    pub(super) at: Duration,
    pub(super) own_at_report: u32,
    pub(super) report: Report,
}

/// What is known of one worker.
#[derive(Debug, Clone)]
pub struct View {
    pub contract: contract::Worker,
    pub(super) observation: Option<Observation>,
    pub(super) own_in_flight: u32,
    pub(super) sent_since_report: u32,
    pub(super) peer_in_flight: BTreeMap<id::Instance, (Duration, u32)>,
    pub(super) backoff_until: Duration,
    pub(super) leaving: bool,
    pub(super) leaving_until: Duration,
    pub(super) service_time: Duration,
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

    /// Requests of this instance that run there.
    #[must_use]
    pub const fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Requests that the last report showed.
    #[must_use]
    pub fn reported_in_flight(&self) -> u32 {
        self.observation.as_ref().map_or(0, |observation| {
            observation.report.active + observation.report.queued
        })
    }

    /// Requests sent by this instance since the last report.
    #[must_use]
    pub const fn sent_since_report(&self) -> u32 {
        self.sent_since_report
    }

    /// Requests that are expected to run there now.
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
                .saturating_sub(observation.own_at_report)
        });
        self.own_in_flight + peer_in_flight.max(other_in_flight)
    }

    /// Whether a request for an artifact can run there now.
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

    pub(super) fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Whether it said, or the platform says, that it leaves.
    #[must_use]
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.leaving || now < self.leaving_until
    }

    /// Start of the engine as last reported.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.observation
            .as_ref()
            .map_or(Incarnation(0), |observation| observation.report.incarnation)
    }
}
