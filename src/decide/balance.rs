//! Load balancer: sends each request to the backend server with the least expected time to first
//! byte.
//!
//! An instance knows its own workload exactly, and that of its peers as of their last gossip. It
//! learns the speed of a server from the server's answers.

use super::brittle::{self, Exposure};
use super::limit::{Limits, Sharers, Timestamps, Usage};
use super::notice::Notices;
use super::retry::backoff;
use super::speed::Speeds;
use super::water_filling;
use crate::common::*;
use crate::world::backend::{self, Backend, Holdings};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::{Generation, Load, Target};
use crate::world::site::{Service, Site};
use crate::world::unit::{Incarnation, Rate, Tokens, float};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Round-trip times to a server in the same region and in another one, from the fact sheets of both
/// sites.
const DATA_CENTRE_ROUND_TRIP_SECONDS: f64 = 0.002;
const REGION_ROUND_TRIP_SECONDS: f64 = 0.025;
/// Time that a request must save to use the paid link between regions.
const PAID_LINK_COST_SECONDS: f64 = 0.04;
/// Assumed time of a request to a plain service until answers give an average.
const INITIAL_SERVICE_SECONDS: f64 = 0.03;
/// Weight of the newest answer in moving averages.
const ANSWER_WEIGHT: f64 = 0.1;
/// Fraction by which the slowness of a server returns to 1, the average, with each answer, on a
/// logarithmic scale.
const SLOWNESS_DECAY: f64 = 0.02;
/// Bounds of the learned slowness of a server, relative to the average server.
const MAX_SLOWNESS: f64 = 8.0;
const MIN_SLOWNESS: f64 = 0.5;
/// Time after which the load in a server's last answer says nothing about its free places.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);
/// Time after which the workload reported by a peer is ignored.
const PEER_REPORT_TTL: Duration = Duration::from_secs(2);
/// Mean age of a peer's report and of an aggregate report on arrival: half of the gossip interval
/// at each hop, and the network latency.
const PEER_REPORT_AGE: Duration = Duration::from_millis(100);
const AGGREGATE_REPORT_AGE: Duration = Duration::from_millis(300);
/// Back-off after a server was unreachable; doubles with each further failure, up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time added for each running request, since an engine's step per token grows with the batch.
const BATCH_STEP_COST_SECONDS: f64 = 0.000_5;
/// Maximum number of prompt parts recorded for each server as expected in its cache.
const MAX_CACHED_PARTS: usize = 512;
/// Share of an engine's cache beyond which new requests are expected to wait for memory.
const CACHE_FULL_SHARE: f64 = 0.9;
/// Expected wait of a request at an engine whose cache or batch is full.
const CACHE_WAIT_SECONDS: f64 = 1.0;
/// Cost added for a worker that must evict another adapter to load the requested one.
const ADAPTER_SWAP_COST_SECONDS: f64 = 0.1;
/// Failure rate beyond which a server is avoided, and the cost per unit of rate beyond it.
const FAILURE_RATE_THRESHOLD: f64 = 0.3;
const FAILURE_COST_SECONDS: f64 = 1.0;
/// Time that a request must save to use a rate-limited server, whose capacity is left to requests
/// that have no other server.
const RATE_LIMIT_COST_SECONDS: f64 = 0.3;

/// Prefix of the peer names that stand for all instances of another data centre.
pub const AGGREGATE_PREFIX: &str = "sum.";

/// Requirements of a request on a backend server.
#[derive(Debug, Clone)]
pub struct Need {
    pub service: id::Service,
    pub generation: Option<Generation>,
    /// Random number in `0..2^64` that spreads requests over equally good servers.
    pub draw: u64,
}

/// Result of choosing a server for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The server to send to, with the expected seconds to its first byte.
    Send(id::Worker, f64),
    /// The service has usable servers, but none holds the model.
    NoModel,
    /// Some servers hold the model, but none of them the adapter.
    NoAdapter,
    /// Each server that could serve the request asked for a rest or has reached its rate limit; the
    /// first of them accepts requests again at this time.
    Throttled(Duration),
    /// No server of the service is usable.
    NoServer,
}

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
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            reading_us: self.reading_us + other.reading_us,
            kept: self.kept + other.kept,
            recent: self.recent.saturating_add(other.recent),
        }
    }

    /// Returns whether there is anything to report to peers.
    fn is_reportable(self) -> bool {
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
    sent: Timestamps,
    /// Times of the requests that the server could have served, including those sent to other
    /// servers; recorded while it has a rate limit.
    #[serde(skip)]
    requested: Timestamps,
    /// Requests that the server may reject, or did.
    #[serde(skip)]
    exposure: Exposure,
    /// Last reported workloads of peers, with the time of the report.
    peers: BTreeMap<id::Instance, (Duration, Workload)>,
    /// Load that the server last reported in an answer, with the time of the answer.
    reported: Option<(Duration, Load)>,
    /// When this instance last received bytes from the server or opened a connection to it.
    heard_at: Option<Duration>,
    /// Models that are about to be unloaded.
    closing: BTreeSet<id::Model>,
    /// Learned factor by which the server is slower than an average one; corrected with each answer
    /// by the ratio of the measured to the expected time to first byte.
    pub slowness: f64,
    /// Average seconds that a plain service takes for a request.
    service_time: f64,
    /// Moving average of the failure rate, in `0..1`.
    failures: f64,
    #[serde(rename = "rests_until")]
    backoff_until: Duration,
    #[serde(rename = "rests")]
    unreachable_count: u32,
    /// Keys of the prompt parts expected in the server's cache, each with the number of the last
    /// prompt that contained it.
    #[serde(skip)]
    cached_parts: Map<u64, u64>,
    /// Number of prompts sent to the server.
    uses: u64,
}

impl View {
    fn new(backend: Backend) -> Self {
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

    fn on_peer(&mut self, now: Duration, peer: &id::Instance, running: Workload) {
        match self.peers.get_mut(peer) {
            Some(known) => *known = (now, running),
            None => {
                self.peers.insert(peer.clone(), (now, running));
            }
        }
    }

    fn fresh_peers(&self, now: Duration) -> impl Iterator<Item = (&id::Instance, Workload)> {
        let peers = self.peers.iter();
        let fresh = peers.filter(move |(_, (at, _))| now < *at + PEER_REPORT_TTL);
        fresh.map(|(peer, (_, running))| (peer, *running))
    }

    /// Whether the server may have no place for one more request, as far as this instance knows.
    fn may_be_full(&self, now: Duration) -> bool {
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

    fn holds(&self, target: &Target) -> bool {
        let Some(adapters) = self.backend.holdings.get(&target.model) else {
            return false;
        };
        let adapter = target.adapter.as_ref();
        adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    fn has_model(&self, model: &id::Model) -> bool {
        self.backend.holdings.contains_key(model) && !self.closing.contains(model)
    }
}

/// Load balancer of one instance, with its view of all servers.
#[derive(Debug, Default)]
pub struct Balancer {
    local_data_centre: id::DataCentre,
    regions: BTreeMap<id::DataCentre, id::Region>,
    views: BTreeMap<id::Worker, View>,
    services: BTreeMap<id::Service, Service>,
    speeds: Speeds,
    notices: Notices,
    limits: Limits,
    bounds: brittle::Bounds,
    /// Differs between instances, so that they don't risk rejections at the same moment.
    stagger_seed: u64,
    sharers: Sharers,
    /// Servers for which each peer last reported a workload, with the time of the report.
    reported_servers: Map<id::Instance, (Duration, Vec<id::Worker>)>,
    /// Ids of the servers by their keys in gossip datagrams.
    keys: Map<u64, id::Worker>,
}

impl Balancer {
    /// Returns a balancer without servers for an instance of this deployment.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            local_data_centre: deployment.data_centre.clone(),
            regions: deployment.regions.clone(),
            stagger_seed: xxh3_64(deployment.instance.as_str().as_bytes()),
            ..Self::default()
        }
    }

    /// Applies the services of the operator's settings.
    pub fn on_site(&mut self, site: &Site) {
        self.services = site.services.clone();
        let engines = site.services.values();
        for engine in engines.filter_map(|service| service.engine.as_ref()) {
            self.speeds.on_engine(engine);
        }
    }

    /// Whether the servers of a service have model engines.
    #[must_use]
    pub fn has_engine(&self, service: &id::Service) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Applies the entry of a server in the platform's list.
    pub fn on_listed(&mut self, mut backend: Backend) {
        if backend.leaving {
            self.notices.on_listed_leaving(&backend.id, backend.boot);
        }
        backend.leaving |= self.notices.is_leaving(&backend.id, backend.boot);
        let known = self.views.get_mut(&backend.id);
        match known {
            Some(view) if view.backend.boot == backend.boot => {
                let leaving = view.backend.leaving || backend.leaving;
                view.backend = backend;
                view.backend.leaving = leaving;
            }
            _ => {
                self.keys
                    .insert(backend::hash_id(&backend.id), backend.id.clone());
                self.views.insert(backend.id.clone(), View::new(backend));
            }
        }
    }

    /// Records that a server announced in an answer that it is leaving; returns whether this was
    /// unknown.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker, boot: Incarnation) -> bool {
        let is_new = self.notices.on_leaving(now, worker, boot);
        if let Some(view) = self.views.get_mut(worker) {
            view.backend.leaving |= self.notices.is_leaving(worker, view.backend.boot);
        }
        is_new
    }

    /// Returns the notices of servers, for their rows in the store.
    pub fn notices_mut(&mut self) -> &mut Notices {
        &mut self.notices
    }

    /// Records that a server asked for a rest; returns when the rest ends.
    pub fn on_rest(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        requested: Duration,
    ) -> Duration {
        self.notices.on_rest(now, worker, boot, requested)
    }

    /// Returns the rate limits that servers named in their answers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the rate limits for updates from answers and gossip.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Applies the bound on rejections that a server named in an answer, or its absence; returns whether
    /// the bound of the service has changed.
    pub fn on_max_rejections(
        &mut self,
        now: Duration,
        service: &id::Service,
        bound: Option<u32>,
    ) -> bool {
        self.bounds.on_answer(now, service, bound)
    }

    /// Records that a server rejected a request for want of room.
    pub fn on_rejected(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.exposure.on_rejected(now);
        }
    }

    /// Records how many instances share the rate limits of servers.
    pub fn on_sharers(&mut self, sharers: Sharers) {
        self.sharers = sharers;
    }

    /// Returns the usage of a server's rate limit, if it has one.
    #[must_use]
    pub fn usage(&self, now: Duration, worker: &id::Worker) -> Option<Usage> {
        self.usage_of(now, self.views.get(worker)?)
    }

    fn limit(&self, view: &View) -> Option<Rate> {
        self.limits.limit_for(&view.backend.id, view.backend.boot)
    }

    fn usage_of(&self, now: Duration, view: &View) -> Option<Usage> {
        let limit = self.limit(view)?;
        let peers = view.fresh_peers(now);
        let gossip_age = self.gossip_age(now);
        Some(Usage {
            limit,
            own: view.sent.recent(now, limit),
            requested: view.requested.recent(now, limit),
            others: peers.fold(0, |sum, (_, peer)| sum.saturating_add(peer.recent)),
            unreported: view.sent.within(now, gossip_age),
            sharers: self.sharers,
            gossip_age,
        })
    }

    /// Returns the leaving notices and rests that servers announced in their answers.
    #[must_use]
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Removes a server that is no longer listed.
    pub fn on_unlisted(&mut self, worker: &id::Worker) {
        self.views.remove(worker);
        self.keys.remove(&backend::hash_id(worker));
    }

    /// Returns the server with this key in gossip datagrams.
    #[must_use]
    pub fn server_by_key(&self, key: u64) -> Option<&id::Worker> {
        self.keys.get(&key)
    }

    /// Applies the models and adapters of a worker as reported by the holder of its lease; `closing`
    /// are the models about to be unloaded.
    pub fn on_holdings(
        &mut self,
        worker: &id::Worker,
        holdings: Holdings,
        closing: BTreeSet<id::Model>,
    ) {
        if let Some(view) = self.views.get_mut(worker) {
            view.backend.holdings = holdings;
            view.closing = closing;
        }
    }

    /// Applies a peer's report of its workload at all servers. A server that the report no longer
    /// contains has no workload of this peer.
    pub fn on_peer(
        &mut self,
        now: Duration,
        peer: &id::Instance,
        loads: &BTreeMap<id::Worker, Workload>,
    ) {
        let reported_servers = loads.keys().cloned().collect();
        let previous = self
            .reported_servers
            .insert(peer.clone(), (now, reported_servers));
        let mut current = loads.keys().peekable();
        for worker in previous.unwrap_or_default().1 {
            while current.next_if(|it| **it < worker).is_some() {}
            if current.peek() != Some(&&worker)
                && let Some(view) = self.views.get_mut(&worker)
            {
                view.peers.remove(peer);
            }
        }
        for (worker, running) in loads {
            if let Some(view) = self.views.get_mut(worker) {
                view.on_peer(now, peer, *running);
            }
        }
    }

    /// Returns the workload of this instance, by server.
    #[must_use]
    pub fn own_workload(&self, now: Duration) -> BTreeMap<id::Worker, Workload> {
        self.reportable_workload(|view| self.own_workload_at(now, view))
    }

    /// Returns the workloads computed by `running` that must be reported to peers, by server.
    fn reportable_workload(
        &self,
        running: impl Fn(&View) -> Workload,
    ) -> BTreeMap<id::Worker, Workload> {
        let views = self.views.iter();
        let current = views.filter_map(|(worker, view)| {
            let running = running(view);
            running.is_reportable().then(|| (worker.clone(), running))
        });
        current.collect()
    }

    fn own_workload_at(&self, now: Duration, view: &View) -> Workload {
        let limit = self.limit(view);
        Workload {
            recent: limit.map_or(0, |limit| view.sent.recent(now, limit)),
            ..view.own
        }
    }

    /// Returns the workload that one peer last reported, by server.
    #[must_use]
    pub fn peer_workload(&self, peer: &id::Instance) -> BTreeMap<id::Worker, Workload> {
        let servers = self
            .reported_servers
            .get(peer)
            .into_iter()
            .flat_map(|(_, reported_servers)| reported_servers);
        let current = servers.filter_map(|server| {
            let (_, running) = self.views.get(server)?.peers.get(peer)?;
            Some((server.clone(), *running))
        });
        current.collect()
    }

    /// Returns the workload of this instance and its peers in the data centre, by server.
    #[must_use]
    pub fn data_centre_workload(&self, now: Duration) -> BTreeMap<id::Worker, Workload> {
        self.reportable_workload(|view| {
            let peers = view.fresh_peers(now);
            let peers = peers.filter(|(peer, _)| !peer.as_str().starts_with(AGGREGATE_PREFIX));
            let own = self.own_workload_at(now, view);
            peers.fold(own, |sum, (_, running)| sum.plus(running))
        })
    }

    /// Records a request at each rate-limited server that could serve it.
    pub fn on_request(&mut self, now: Duration, need: &Need) {
        if self.limits.active().next().is_none() {
            return;
        }
        let model = need.generation.as_ref().map(|it| &it.target.model);
        for view in self.views.values_mut() {
            let Backend {
                id, boot, service, ..
            } = &view.backend;
            let could_serve = *service == need.service
                && model.is_none_or(|model| view.has_model(model))
                && self.limits.limit_for(id, *boot).is_some();
            if could_serve {
                view.requested.add(now);
            }
        }
    }

    /// Records a sent request and returns its workload, which must be passed to [`Self::on_ended`]
    /// when the request ends.
    pub fn on_sent(&mut self, now: Duration, worker: &id::Worker, need: &Need) -> Workload {
        let Some(view) = self.views.get_mut(worker) else {
            return Workload::default();
        };
        let generation = need.generation.as_ref();
        let prefill_time = generation.map(|it| prefill_time(&self.speeds, view, it));
        let added = Workload {
            requests: 1,
            reading_us: microseconds(prefill_time.unwrap_or_default()),
            kept: need.generation.as_ref().map_or(0, kept),
            recent: 0,
        };
        if self.bounds.bound(now, &need.service).is_some() && view.may_be_full(now) {
            view.exposure.on_sent_at_risk(now);
        }
        view.sent.add(now);
        view.own.requests += added.requests;
        view.own.reading_us += added.reading_us;
        view.own.kept += added.kept;
        if let Some(generation) = &need.generation {
            record_cached_parts(view, generation);
        }
        added
    }

    /// Records the first byte of an answer: the prompt has been read.
    pub fn on_first_byte(&mut self, worker: &id::Worker, added: &mut Workload) {
        if let Some(view) = self.views.get_mut(worker) {
            view.own.reading_us = view.own.reading_us.saturating_sub(added.reading_us);
        }
        added.reading_us = 0;
    }

    /// Removes the workload of a request that ended.
    pub fn on_ended(&mut self, worker: &id::Worker, added: Workload) {
        if let Some(view) = self.views.get_mut(worker) {
            view.own.requests = view.own.requests.saturating_sub(added.requests);
            view.own.reading_us = view.own.reading_us.saturating_sub(added.reading_us);
            view.own.kept = view.own.kept.saturating_sub(added.kept);
        }
    }

    /// Updates the learned speeds from the measured and the expected time to first byte. `model` is
    /// the model that read the prompt.
    pub fn on_served(
        &mut self,
        worker: &id::Worker,
        model: Option<&id::Model>,
        expected_seconds: f64,
        elapsed: Duration,
    ) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let elapsed = elapsed.as_secs_f64();
        view.failures *= 1.0 - ANSWER_WEIGHT;
        view.unreachable_count = 0;
        view.backoff_until = Duration::ZERO;
        view.service_time += ANSWER_WEIGHT * (elapsed - view.service_time);
        let ratio = (elapsed / expected_seconds.max(0.001)).clamp(0.2, 5.0);
        let average = view.slowness.powf(1.0 - SLOWNESS_DECAY);
        let slowness = average * (1.0 - ANSWER_WEIGHT + ANSWER_WEIGHT * ratio);
        view.slowness = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        if let Some(model) = model {
            self.speeds.on_answer(model, ratio);
        }
    }

    /// Returns the learned prompt-reading speeds of engines.
    #[must_use]
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Records the load that a server reported in an answer.
    pub fn on_load(&mut self, now: Duration, worker: &id::Worker, load: Load) {
        if let Some(view) = self.views.get_mut(worker) {
            view.reported = Some((now, load));
        }
    }

    /// Records that bytes from a server arrived here, or that it accepted a connection.
    pub fn on_heard(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.heard_at = Some(now);
        }
    }

    /// Returns for how long nothing has arrived here from a server; `None` if nothing ever did.
    #[must_use]
    pub fn silence(&self, now: Duration, worker: &id::Worker) -> Option<Duration> {
        let heard_at = self.views.get(worker)?.heard_at?;
        Some(now.saturating_sub(heard_at))
    }

    /// Records that a server failed while it ran a request.
    pub fn on_failed(&mut self, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.failures += ANSWER_WEIGHT * (1.0 - view.failures);
        }
    }

    /// Backs off from a server that can't be reached or has no room.
    pub fn on_unreachable(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.backoff_until =
                now + backoff(INITIAL_BACKOFF, view.unreachable_count, MAX_BACKOFF, 1.0);
            view.unreachable_count += 1;
        }
    }

    /// Ends the back-off from the servers of a service, since it was the path to them that failed.
    pub fn on_path_restored(&mut self, service: &id::Service) {
        let views = self.views.values_mut();
        for view in views.filter(|view| view.backend.service == *service) {
            view.unreachable_count = 0;
            view.backoff_until = Duration::ZERO;
        }
    }

    /// Records that a server is not as listed: it has ended, or does not hold the target.
    pub fn on_misdirected(&mut self, now: Duration, worker: &id::Worker, target: Option<&Target>) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        match target {
            None => view.backoff_until = now + MAX_BACKOFF,
            Some(Target {
                model,
                adapter: Some(adapter),
            }) => {
                let held = view.backend.holdings.get_mut(model);
                held.map(|adapters| adapters.remove(adapter));
            }
            Some(Target { model, .. }) => {
                view.backend.holdings.remove(model);
            }
        }
    }

    /// Returns the state of one server.
    #[must_use]
    pub fn view(&self, worker: &id::Worker) -> Option<&View> {
        self.views.get(worker)
    }

    /// Returns the states of all servers.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }

    /// Chooses a server for a request among those that `is_allowed` accepts.
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        need: &Need,
        is_allowed: impl Fn(&id::Worker) -> bool,
    ) -> Choice {
        let usable = self.usable(need);
        let (mut throttled, mut accepting) = (Vec::new(), Vec::new());
        for view in usable.filter(|view| is_allowed(&view.backend.id)) {
            match self.throttled_until(now, need, view) {
                Some(at) => throttled.push((at, view)),
                None => accepting.push(view),
            }
        }
        let choice = self.choose_among(now, need, accepting);
        let is_missing = matches!(choice, Choice::NoModel | Choice::NoServer);
        if throttled.is_empty() || !is_missing {
            return choice;
        }
        let would_serve =
            |view| matches!(self.choose_among(now, need, vec![view]), Choice::Send(..));
        let resume_times = throttled.iter().filter(|(_, view)| would_serve(*view));
        match resume_times.map(|(at, _)| *at).min() {
            Some(first) => Choice::Throttled(first),
            None if choice == Choice::NoServer => {
                let throttled = throttled.into_iter().map(|(_, view)| view);
                self.choose_among(now, need, throttled.collect())
            }
            None => choice,
        }
    }

    fn choose_among(&self, now: Duration, need: &Need, usable: Vec<&View>) -> Choice {
        if usable.is_empty() {
            return Choice::NoServer;
        }
        let Some(generation) = &need.generation else {
            return self.choose_best(now, need, &usable);
        };
        let target = &generation.target;
        let with_model: Vec<&View> = usable
            .into_iter()
            .filter(|view| view.has_model(&target.model))
            .collect();
        if with_model.is_empty() {
            return Choice::NoModel;
        }
        let holders: Vec<&View> = with_model
            .into_iter()
            .filter(|view| view.holds(target))
            .collect();
        if holders.is_empty() {
            return Choice::NoAdapter;
        }
        self.choose_best(now, need, &holders)
    }

    /// Chooses the worker that is to load a missing adapter: the one with the least cost among those
    /// that hold the model and that `has_holder` accepts, so that a lease holder can order the load.
    /// A worker without a free adapter place costs more.
    #[must_use]
    pub fn choose_adapter_worker(
        &self,
        now: Duration,
        need: &Need,
        has_holder: impl Fn(&id::Worker) -> bool,
    ) -> Option<id::Worker> {
        let target = &need.generation.as_ref()?.target;
        let service = self.services.get(&need.service)?;
        let places = service.engine.as_ref()?.adapter_places;
        let views = self.usable(need);
        let views = views.filter(|view| self.throttled_until(now, need, view).is_none());
        let views = views.filter(|view| view.has_model(&target.model));
        let views = views.filter(|view| has_holder(&view.backend.id));
        let costs = views.map(|view| {
            let adapters: usize = view.backend.holdings.values().map(BTreeSet::len).sum();
            let full = if adapters < places {
                0.0
            } else {
                ADAPTER_SWAP_COST_SECONDS
            };
            let cost = self.expected_seconds(now, need, view) + self.surcharge(need, view);
            (cost + full, &view.backend.id)
        });
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, worker)| worker.clone())
    }

    fn usable(&self, need: &Need) -> impl Iterator<Item = &View> {
        let views = self.views.values();
        views.filter(|view| view.backend.service == need.service && !view.backend.leaving)
    }

    /// Returns when a server that asked for a rest or has reached its rate limit accepts the
    /// request; `None` if it accepts it now.
    fn throttled_until(&self, now: Duration, need: &Need, view: &View) -> Option<Duration> {
        let Backend { id, boot, .. } = &view.backend;
        let rest = Some(self.notices.rests_until(id, *boot)).filter(|until| now < *until);
        let wait = self.usage_of(now, view).and_then(|usage| {
            let draw = xxh3_64_with_seed(id.as_str().as_bytes(), need.draw);
            usage.wait(to_unit_interval(draw))
        });
        let rejection_wait = self
            .bounds
            .bound(now, &view.backend.service)
            .filter(|_| view.may_be_full(now))
            .and_then(|bound| {
                let key = xxh3_64_with_seed(id.as_str().as_bytes(), self.stagger_seed);
                let stagger = to_unit_interval(key);
                view.exposure.wait(now, bound, self.sharers, stagger)
            });
        let waits = [wait, rejection_wait].into_iter().flatten();
        rest.max(waits.max().map(|wait| now + wait))
    }

    fn choose_best(&self, now: Duration, need: &Need, views: &[&View]) -> Choice {
        let reachable = views.iter().filter(|view| view.backoff_until <= now);
        let reachable: Vec<&&View> = reachable.collect();
        let candidates = if reachable.is_empty() {
            views.iter().collect()
        } else {
            reachable
        };
        let costs = candidates.into_iter().map(|view| {
            let expected_seconds = self.expected_seconds(now, need, view);
            (
                expected_seconds + self.surcharge(need, view),
                expected_seconds,
                *view,
            )
        });
        let costs: Vec<(f64, f64, &View)> = costs.collect();
        let totals: Vec<f64> = costs.iter().map(|(cost, ..)| *cost).collect();
        let utilization = costs.iter().map(|(.., view)| utilization(now, need, view));
        let arriving = utilization.sum::<f64>() * self.gossip_age(now).as_secs_f64();
        let arriving = (arriving - self.request_work(need, &costs)).max(0.0);
        let drawn = water_filling::draw(&totals, arriving, to_unit_interval(need.draw));
        drawn.map_or(Choice::NoServer, |index| {
            let (_, expected_seconds, view) = costs[index];
            Choice::Send(view.backend.id.clone(), expected_seconds)
        })
    }

    /// Returns the seconds of work of the request itself, which are subtracted from the work that
    /// arrives before the next gossip: if no more than this request arrives, no other one competes
    /// with it, and the least busy server is the right choice.
    fn request_work(&self, need: &Need, costs: &[(f64, f64, &View)]) -> f64 {
        if let Some(generation) = &need.generation {
            let prefill_time = self
                .speeds
                .prefill_time(&generation.target.model, generation.prompt);
            return prefill_time.as_secs_f64();
        }
        let times = costs.iter().map(|(.., view)| view.service_time);
        times.sum::<f64>() / float(costs.len().max(1) as u64)
    }

    /// Returns the mean age of the workloads of other instances at the time of a request, over all
    /// recent reports.
    fn gossip_age(&self, now: Duration) -> Duration {
        let current = self
            .reported_servers
            .iter()
            .filter(|(_, (at, _))| now < *at + PEER_REPORT_TTL);
        let ages = current.map(|(peer, (at, _))| {
            let is_aggregate = peer.as_str().starts_with(AGGREGATE_PREFIX);
            now.saturating_sub(*at)
                + if is_aggregate {
                    AGGREGATE_REPORT_AGE
                } else {
                    PEER_REPORT_AGE
                }
        });
        let (sum, count) = ages.fold((Duration::ZERO, 0), |(sum, count), age| {
            (sum + age, count + 1)
        });
        sum.checked_div(count).unwrap_or_default()
    }

    /// Returns the expected seconds to first byte.
    fn expected_seconds(&self, now: Duration, need: &Need, view: &View) -> f64 {
        let running = view.running(now);
        let round_trip = self.round_trip(view);
        let Some(generation) = &need.generation else {
            let places = f64::from(view.backend.places.max(1));
            let taken = f64::from(running.requests) / places;
            let queue = (taken + 1.0 / places - 1.0).max(0.0) + taken.powi(3) * 0.5;
            return round_trip + (1.0 + queue) * view.service_time;
        };
        let own = prefill_time(&self.speeds, view, generation);
        let prefill_seconds = (Duration::from_micros(running.reading_us) + own).as_secs_f64();
        let steps = BATCH_STEP_COST_SECONDS * f64::from(running.requests);
        let memory = self.cache_wait_seconds(need, running, generation);
        round_trip + (prefill_seconds + steps + memory) * view.slowness
    }

    /// Returns the expected seconds of waiting for memory or for a place in the engine's batch.
    fn cache_wait_seconds(&self, need: &Need, running: Workload, generation: &Generation) -> f64 {
        let service = self.services.get(&need.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return 0.0;
        };
        let full = float(engine.cache.0) * CACHE_FULL_SHARE;
        let used = float(running.kept + kept(generation));
        let batch_full = running.requests >= engine.batch;
        if used > full || batch_full {
            CACHE_WAIT_SECONDS * (used / full).max(1.0)
        } else {
            0.0
        }
    }

    /// Returns the cost of a server that is added to its expected seconds to first byte. A small
    /// jitter, derived from the request's random number, spreads requests over almost equally good
    /// servers.
    fn surcharge(&self, need: &Need, view: &View) -> f64 {
        let region = |data_centre| self.regions.get(data_centre);
        let link_cost = if region(&view.backend.data_centre) == region(&self.local_data_centre) {
            0.0
        } else {
            PAID_LINK_COST_SECONDS
        };
        let failure_cost = (view.failures - FAILURE_RATE_THRESHOLD).max(0.0) * FAILURE_COST_SECONDS;
        let limit_cost = self.limit(view).map_or(0.0, |_| RATE_LIMIT_COST_SECONDS);
        let spread = xxh3_64_with_seed(view.backend.id.as_str().as_bytes(), need.draw);
        let jitter = float(spread >> 54) * 2e-6;
        link_cost + failure_cost + limit_cost + jitter
    }

    fn round_trip(&self, view: &View) -> f64 {
        let server_data_centre = &view.backend.data_centre;
        if *server_data_centre == self.local_data_centre {
            0.0
        } else if self.regions.get(server_data_centre) == self.regions.get(&self.local_data_centre)
        {
            DATA_CENTRE_ROUND_TRIP_SECONDS
        } else {
            REGION_ROUND_TRIP_SECONDS
        }
    }
}

/// Maps a random number to `0..1`.
fn to_unit_interval(draw: u64) -> f64 {
    float(draw >> 11) / float(1 << 53)
}

/// Estimates the share of time for which a server is busy, from its current workload: for an
/// engine, 1 while it reads prompts and 0 otherwise; for a plain service, the share of occupied
/// places.
fn utilization(now: Duration, need: &Need, view: &View) -> f64 {
    let running = view.running(now);
    if need.generation.is_some() {
        return f64::from(u8::from(running.reading_us > 0));
    }
    let places = f64::from(view.backend.places.max(1));
    (f64::from(running.requests) / places).min(1.0)
}

/// Returns the prompt tokens that a server must read: those after the parts expected in its cache.
fn uncached_tokens(view: &View, generation: &Generation) -> u64 {
    let keys = part_keys(generation);
    let kept = keys.take_while(|(key, _)| view.cached_parts.contains_key(key));
    let kept: u64 = kept.map(|(_, tokens)| tokens).sum();
    generation.prompt.0.saturating_sub(kept)
}

fn prefill_time(speeds: &Speeds, view: &View, generation: &Generation) -> Duration {
    speeds.prefill_time(
        &generation.target.model,
        Tokens(uncached_tokens(view, generation)),
    )
}

fn microseconds(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the tokens that a request may occupy in the engine's cache.
fn kept(generation: &Generation) -> u64 {
    generation.prompt.0 + generation.output.0
}

/// Returns the keys and tokens of a prompt's parts. A part is cached for one target and only
/// together with all parts before it, so each key covers the target and the preceding parts.
fn part_keys(generation: &Generation) -> impl Iterator<Item = (u64, u64)> {
    let target = generation.target.to_string();
    let mut key = xxh3_64_with_seed(target.as_bytes(), 0);
    generation.parts.iter().map(move |part| {
        key = xxh3_64_with_seed(&part.id.0.to_le_bytes(), key);
        (key, part.tokens.0)
    })
}

/// Records the parts of a prompt as cached. Beyond the maximum number of parts, the less recently
/// used half is dropped.
fn record_cached_parts(view: &mut View, generation: &Generation) {
    view.uses += 1;
    for (key, _) in part_keys(generation) {
        view.cached_parts.insert(key, view.uses);
    }
    if view.cached_parts.len() > MAX_CACHED_PARTS {
        let mut ages: Vec<u64> = view.cached_parts.values().copied().collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        view.cached_parts
            .retain(|_, use_number| *use_number > middle);
    }
}
