//! Workloads at a server, and the state of one server as known to this instance.

use crate::common::*;
use crate::decide::brittle::Exposure;
use crate::decide::limit::Timestamps;
use crate::decide::pace::Pace;
use crate::world::backend::Backend;
use crate::world::id;
use crate::world::message::{Load, Target};
use crate::world::time;

/// Assumed time of a request to a plain service until answers give an average.
const INITIAL_SERVICE_SECONDS: f64 = 0.03;
/// Time after which the load in a server's last answer says nothing about its free places.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);
/// Time after which the workload reported by a peer is ignored.
pub(super) const PEER_REPORT_TTL: Duration = Duration::from_secs(2);

/// Requests that one instance, or a group of instances, has running at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Workload {
    pub requests: u32,
    /// Remaining time to read (prefill) their prompts, in microseconds.
    pub reading_us: u64,
    /// Tokens that the running requests may occupy in the engine's cache.
    pub kept: u64,
    /// Requests sent within the window of the server's rate limit; 0 if it has no limit.
    pub recent: u32,
}

impl Workload {
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            reading_us: self.reading_us.saturating_add(other.reading_us),
            kept: self.kept.saturating_add(other.kept),
            recent: self.recent.saturating_add(other.recent),
        }
    }

    /// Returns whether there is anything to report to peers.
    pub(super) fn is_reportable(self) -> bool {
        self.requests > 0 || self.recent > 0
    }

    /// Subtracts a workload that is counted elsewhere; no figure falls below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            reading_us: self.reading_us.saturating_sub(other.reading_us),
            kept: self.kept.saturating_sub(other.kept),
            recent: self.recent.saturating_sub(other.recent),
        }
    }
}

/// State of one server as known to this instance.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    pub backend: Backend,
    pub own: Workload,
    /// Times of the requests that this instance sent to the server.
    #[serde(skip)]
    pub(super) sent: Timestamps,
    /// Times of the requests that the server could have served, including those sent to other
    /// servers; recorded while it has a rate limit.
    #[serde(skip)]
    pub(super) requested: Timestamps,
    /// Requests that the server may reject, or did.
    #[serde(skip)]
    pub(super) exposure: Exposure,
    /// Last reported workloads of peers, with the time of the report.
    pub(super) peers: BTreeMap<id::Instance, (Duration, Workload)>,
    /// Load that the server last reported in an answer, with the time of the answer.
    pub(super) reported: Option<(Duration, Load)>,
    /// When this instance last received bytes from the server or opened a connection to it.
    pub(super) heard_at: Option<Duration>,
    /// Models that are about to be unloaded.
    pub(super) closing: BTreeSet<id::Model>,
    /// Learned factor by which the server is slower than an average one; corrected with each answer
    /// by the ratio of the measured to the expected time to first byte.
    pub slowness: f64,
    /// Pace that the server states in its answers.
    #[serde(skip)]
    pub(super) pace: Pace,
    /// Average seconds that a plain service takes for a request at the usual pace.
    pub(super) service_time: f64,
    /// Moving average of the failure rate, in `0..1`.
    pub(super) failures: f64,
    #[serde(rename = "rests_until")]
    pub(super) backoff_until: Duration,
    #[serde(rename = "rests")]
    pub(super) unreachable_count: u32,
    /// Keys of the prompt parts expected in the server's cache, each with the number of the last
    /// prompt that contained it.
    #[serde(skip)]
    pub(super) cached_parts: Map<u64, u64>,
    /// Number of prompts sent to the server.
    pub(super) uses: u64,
}

impl View {
    pub(super) fn new(backend: Backend) -> Self {
        Self {
            backend,
            own: Workload::default(),
            sent: Timestamps::default(),
            requested: Timestamps::default(),
            exposure: Exposure::default(),
            peers: BTreeMap::new(),
            reported: None,
            heard_at: None,
            closing: BTreeSet::new(),
            slowness: 1.0,
            pace: Pace::default(),
            service_time: INITIAL_SERVICE_SECONDS,
            failures: 0.0,
            backoff_until: Duration::ZERO,
            unreachable_count: 0,
            cached_parts: Map::default(),
            uses: 0,
        }
    }

    /// Returns the workload of this instance and of its peers at the server.
    #[must_use]
    pub fn running(&self, now: Duration) -> Workload {
        let fresh = self.fresh_peers(now);
        fresh.fold(self.own, |sum, (_, peer)| sum.plus(peer))
    }

    /// Returns the factor by which work at the server takes longer now than usual.
    #[must_use]
    pub fn pace(&self, now: Duration) -> f64 {
        self.pace.effective(now)
    }

    /// Returns the factor by which work of this many seconds that starts now takes longer than usual.
    pub(super) fn pace_during(&self, now: Duration, seconds: f64) -> f64 {
        self.pace.during(now, time::from_secs_f64(seconds))
    }

    pub(super) fn on_peer(&mut self, now: Duration, peer: &id::Instance, running: Workload) {
        match self.peers.get_mut(peer) {
            Some(known) => *known = (now, running),
            None => {
                self.peers.insert(peer.clone(), (now, running));
            }
        }
    }

    pub(super) fn fresh_peers(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&id::Instance, Workload)> {
        let peers = self.peers.iter();
        let fresh = peers.filter(move |(_, (at, _))| now < *at + PEER_REPORT_TTL);
        fresh.map(|(peer, (_, running))| (peer, *running))
    }

    /// Whether the server may have no place for one more request, as far as this instance knows.
    pub(super) fn may_be_full(&self, now: Duration) -> bool {
        let load = self
            .reported
            .filter(|(at, _)| now < *at + REPORTED_LOAD_TTL);
        let places = self.backend.places;
        let is_full = match load {
            Some((_, load)) => load.waiting > 0 || load.running >= places,
            None => self.exposure.was_rejected(now),
        };
        is_full || self.running(now).requests >= places
    }

    pub(super) fn holds(&self, target: &Target) -> bool {
        let Some(adapters) = self.backend.holdings.get(&target.model) else {
            return false;
        };
        let adapter = target.adapter.as_ref();
        adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    pub(super) fn has_model(&self, model: &id::Model) -> bool {
        self.backend.holdings.contains_key(model) && !self.closing.contains(model)
    }
}
