//! Which backend server gets a request: the one with the least expected time to its first byte.
//!
//! What runs where is known exactly for requests of this instance, and as last told for those of
//! its peers. How fast a server works is learned from the answers it gives.

use super::level;
use super::limit::{Crowd, Limits, Sent, Usage};
use super::notice::Notices;
use super::retry::backoff;
use super::speed::Speeds;
use crate::common::*;
use crate::world::backend::{self, Backend, Holdings};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::{Generation, Load, Target};
use crate::world::site::{Service, Site};
use crate::world::unit::{Incarnation, Rate, Tokens, float};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time to a server and back, within a region and to another one; both sites' sheets.
const DATA_CENTRE_ROUND_TRIP: f64 = 0.002;
const REGION_ROUND_TRIP: f64 = 0.025;
/// Seconds that a request should gain before it takes the paid link between regions.
const PAID_LINK: f64 = 0.04;
/// Seconds that a plain request takes, until answers tell better.
const FIRST_SERVICE: f64 = 0.03;
/// Weight of the newest answer in averages.
const SMOOTHING: f64 = 0.1;
/// How fast a server's slowness goes back to that of the average, with each answer.
const FORGETTING: f64 = 0.02;
/// Bounds of a server's learned slowness, against the average server.
const SLOWEST: f64 = 8.0;
const FASTEST: f64 = 0.5;
/// What a peer told of its requests counts for this long.
const PEER_MEMORY: Duration = Duration::from_secs(2);
/// How old the word of a peer is when it comes, and that of a sum: half of the time between datagrams at
/// each step, and their way.
const PEER_AGE: Duration = Duration::from_millis(100);
const SUM_AGE: Duration = Duration::from_millis(300);
/// A server that could not be reached rests this long; twice as long each further time.
const REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Seconds added for each request running, for each token's step grows with the batch.
const STEP_SHARE: f64 = 0.000_5;
/// Prompt parts that are remembered of each server.
const MOST_PARTS: usize = 512;
/// Part of an engine's memory for running requests beyond which new ones would wait.
const CACHE_FULL: f64 = 0.9;
/// Seconds that a request waits where memory is full.
const CACHE_WAIT: f64 = 1.0;
/// Seconds that count against a worker which would have to give up another adapter.
const ADAPTER_SWAP: f64 = 0.1;
/// Share of failed answers beyond which a server is avoided, and what it then costs.
const GREY: f64 = 0.3;
const GREY_COST: f64 = 1.0;
/// Seconds that a request should gain before it uses up what a server in need takes: others may have
/// nowhere else to go.
const LIMITED_COST: f64 = 0.3;

/// Prefix of the peers that stand for all instances of another data centre.
pub const SUM: &str = "sum.";

/// What a request needs of a backend server.
#[derive(Debug, Clone)]
pub struct Need {
    pub service: id::Service,
    pub generation: Option<Generation>,
    /// Draw in `0..2^64` that spreads requests over servers that look alike.
    pub draw: u64,
}

/// Where a request can go.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To this server, with the seconds expected to its first byte.
    Send(id::Worker, f64),
    /// Servers are there, but none holds the model.
    NoModel,
    /// Servers hold the model, but none of them the adapter.
    NoAdapter,
    /// All servers that could serve it asked for a rest, or got what their limits allow; the first one
    /// takes requests again at this time.
    Resting(Duration),
    /// No server of the service can be used.
    Nobody,
}

/// What one peer has running at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Running {
    pub requests: u32,
    /// Time that reading their prompts still takes, in microseconds.
    pub reading_us: u64,
    /// Tokens that running requests may keep in memory.
    pub kept: u64,
    /// Requests sent over the span of the server's limit; none where it named no limit.
    pub recent: u32,
}

impl Running {
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            reading_us: self.reading_us + other.reading_us,
            kept: self.kept + other.kept,
            recent: self.recent.saturating_add(other.recent),
        }
    }

    /// Whether peers are to hear of it.
    fn is_told(self) -> bool {
        self.requests > 0 || self.recent > 0
    }

    /// Without what is counted elsewhere.
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

/// What is known of one server.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    pub backend: Backend,
    pub own: Running,
    #[serde(skip)]
    sent: Sent,
    /// Requests that could go there, whether they did or not; noted while it names a limit.
    #[serde(skip)]
    asked: Sent,
    /// Peers that have anything running there.
    peers: BTreeMap<id::Instance, (Duration, Running)>,
    reported: Option<(Duration, Load)>,
    /// Models that are about to be unloaded.
    closing: BTreeSet<id::Model>,
    /// Time that requests take, as a multiple of what was expected.
    pub slowness: f64,
    service_time: f64,
    failures: f64,
    rests_until: Duration,
    rests: u32,
    #[serde(skip)]
    parts: Map<u64, u64>,
    uses: u64,
}

impl View {
    fn new(backend: Backend) -> Self {
        Self {
            backend,
            own: Running::default(),
            sent: Sent::default(),
            asked: Sent::default(),
            peers: BTreeMap::new(),
            reported: None,
            closing: BTreeSet::new(),
            slowness: 1.0,
            service_time: FIRST_SERVICE,
            failures: 0.0,
            rests_until: Duration::ZERO,
            rests: 0,
            parts: Map::default(),
            uses: 0,
        }
    }

    /// Everything that runs there, of this instance and of its peers.
    #[must_use]
    pub fn running(&self, now: Duration) -> Running {
        let fresh = self.fresh_peers(now);
        fresh.fold(self.own, |sum, (_, peer)| sum.plus(peer))
    }

    fn on_peer(&mut self, now: Duration, peer: &id::Instance, running: Running) {
        match self.peers.get_mut(peer) {
            Some(known) => *known = (now, running),
            None => {
                self.peers.insert(peer.clone(), (now, running));
            }
        }
    }

    fn fresh_peers(&self, now: Duration) -> impl Iterator<Item = (&id::Instance, Running)> {
        let peers = self.peers.iter();
        let fresh = peers.filter(move |(_, (at, _))| now < *at + PEER_MEMORY);
        fresh.map(|(peer, (_, running))| (peer, *running))
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

/// All servers, as one instance sees them.
#[derive(Debug, Default)]
pub struct Balance {
    here: id::DataCentre,
    regions: BTreeMap<id::DataCentre, id::Region>,
    views: BTreeMap<id::Worker, View>,
    services: BTreeMap<id::Service, Service>,
    speeds: Speeds,
    notices: Notices,
    limits: Limits,
    crowd: Crowd,
    /// Servers at which each peer last told that it has anything running.
    busy: Map<id::Instance, (Duration, Vec<id::Worker>)>,
    /// Servers by what they are called in datagrams.
    keys: Map<u64, id::Worker>,
}

impl Balance {
    /// A view from where an instance stands.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            here: deployment.data_centre.clone(),
            regions: deployment.regions.clone(),
            ..Self::default()
        }
    }

    /// Takes the operator's services.
    pub fn on_site(&mut self, site: &Site) {
        self.services = site.services.clone();
        let engines = site.services.values();
        for engine in engines.filter_map(|service| service.engine.as_ref()) {
            self.speeds.on_engine(engine);
        }
    }

    /// Takes a server's entry in the platform's list.
    pub fn on_listed(&mut self, mut backend: Backend) {
        if backend.leaving {
            self.notices.on_listed_leaving(&backend.id, backend.boot);
        }
        backend.leaving |= self.notices.leaves(&backend.id, backend.boot);
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

    /// Notes that a server said in an answer that it leaves; whether that is news.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker, boot: Incarnation) -> bool {
        let is_news = self.notices.on_leaving(now, worker, boot);
        if let Some(view) = self.views.get_mut(worker) {
            view.backend.leaving |= self.notices.leaves(worker, view.backend.boot);
        }
        is_news
    }

    /// Notes that a server wants no requests for some time; returns when its rest ends.
    pub fn on_rest(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        asked: Duration,
    ) -> Duration {
        self.notices.on_rest(now, worker, boot, asked)
    }

    /// Limits that servers named in their answers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The same, to take what is heard of them.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Notes how many instances share what servers take.
    pub fn on_crowd(&mut self, crowd: Crowd) {
        self.crowd = crowd;
    }

    /// What is known of the requests to a server that named a limit.
    #[must_use]
    pub fn usage(&self, now: Duration, worker: &id::Worker) -> Option<Usage> {
        self.usage_of(now, self.views.get(worker)?)
    }

    fn limit(&self, view: &View) -> Option<Rate> {
        self.limits.of(&view.backend.id, view.backend.boot)
    }

    fn usage_of(&self, now: Duration, view: &View) -> Option<Usage> {
        let limit = self.limit(view)?;
        let peers = view.fresh_peers(now);
        let news_age = self.news_age(now);
        Some(Usage {
            limit,
            own: view.sent.recent(now, limit),
            asked: view.asked.recent(now, limit),
            others: peers.fold(0, |sum, (_, peer)| sum.saturating_add(peer.recent)),
            unheard: view.sent.within(now, news_age),
            crowd: self.crowd,
            news_age,
        })
    }

    /// What servers said of themselves in their answers.
    #[must_use]
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Forgets a server that ended.
    pub fn on_unlisted(&mut self, worker: &id::Worker) {
        self.views.remove(worker);
        self.keys.remove(&backend::hash_id(worker));
    }

    /// The server that is called so in datagrams.
    #[must_use]
    pub fn server(&self, key: u64) -> Option<&id::Worker> {
        self.keys.get(&key)
    }

    /// Takes what the holder of the lease knows of a worker's memory.
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

    /// Takes what a peer has running, at all servers.
    pub fn on_peer(
        &mut self,
        now: Duration,
        peer: &id::Instance,
        loads: &BTreeMap<id::Worker, Running>,
    ) {
        let busy = loads.keys().cloned().collect();
        let before = self.busy.insert(peer.clone(), (now, busy));
        let mut told = loads.keys().peekable();
        for worker in before.unwrap_or_default().1 {
            while told.next_if(|it| **it < worker).is_some() {}
            if told.peek() != Some(&&worker)
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

    /// What this instance has running, at all servers.
    #[must_use]
    pub fn own(&self, now: Duration) -> BTreeMap<id::Worker, Running> {
        self.told(|view| self.own_at(now, view))
    }

    /// Servers at which there is anything to tell, with what `running` finds there.
    fn told(&self, running: impl Fn(&View) -> Running) -> BTreeMap<id::Worker, Running> {
        let views = self.views.iter();
        let told = views.filter_map(|(worker, view)| {
            let running = running(view);
            running.is_told().then(|| (worker.clone(), running))
        });
        told.collect()
    }

    fn own_at(&self, now: Duration, view: &View) -> Running {
        let limit = self.limit(view);
        Running {
            recent: limit.map_or(0, |limit| view.sent.recent(now, limit)),
            ..view.own
        }
    }

    /// What one peer told that it has running, at all servers.
    #[must_use]
    pub fn of_peer(&self, peer: &id::Instance) -> BTreeMap<id::Worker, Running> {
        let servers = self.busy.get(peer).into_iter().flat_map(|(_, busy)| busy);
        let told = servers.filter_map(|server| {
            let (_, running) = self.views.get(server)?.peers.get(peer)?;
            Some((server.clone(), *running))
        });
        told.collect()
    }

    /// What this instance and its peers in the data centre have running, at all servers.
    #[must_use]
    pub fn near(&self, now: Duration) -> BTreeMap<id::Worker, Running> {
        self.told(|view| {
            let peers = view.fresh_peers(now);
            let peers = peers.filter(|(peer, _)| !peer.as_str().starts_with(SUM));
            let own = self.own_at(now, view);
            peers.fold(own, |sum, (_, running)| sum.plus(running))
        })
    }

    /// Notes that a request came, at servers with a limit that could serve it.
    pub fn on_asked(&mut self, now: Duration, need: &Need) {
        if self.limits.named().next().is_none() {
            return;
        }
        let model = need.generation.as_ref().map(|it| &it.target.model);
        for view in self.views.values_mut() {
            let Backend {
                id, boot, service, ..
            } = &view.backend;
            let could_serve = *service == need.service
                && model.is_none_or(|model| view.has_model(model))
                && self.limits.of(id, *boot).is_some();
            if could_serve {
                view.asked.add(now);
            }
        }
    }

    /// Notes that a request was sent; what it adds is to be given back by [`Self::on_ended`].
    pub fn on_sent(&mut self, now: Duration, worker: &id::Worker, need: &Need) -> Running {
        let Some(view) = self.views.get_mut(worker) else {
            return Running::default();
        };
        let generation = need.generation.as_ref();
        let reading = generation.map(|it| reading(&self.speeds, view, it));
        let added = Running {
            requests: 1,
            reading_us: microseconds(reading.unwrap_or_default()),
            kept: need.generation.as_ref().map_or(0, kept),
            recent: 0,
        };
        view.sent.add(now);
        view.own.requests += added.requests;
        view.own.reading_us += added.reading_us;
        view.own.kept += added.kept;
        if let Some(generation) = &need.generation {
            remember(view, generation);
        }
        added
    }

    /// Notes that the first byte of an answer came.
    pub fn on_first(&mut self, worker: &id::Worker, added: &mut Running) {
        if let Some(view) = self.views.get_mut(worker) {
            view.own.reading_us = view.own.reading_us.saturating_sub(added.reading_us);
        }
        added.reading_us = 0;
    }

    /// Notes that a request ended there.
    pub fn on_ended(&mut self, worker: &id::Worker, added: Running) {
        if let Some(view) = self.views.get_mut(worker) {
            view.own.requests = view.own.requests.saturating_sub(added.requests);
            view.own.reading_us = view.own.reading_us.saturating_sub(added.reading_us);
            view.own.kept = view.own.kept.saturating_sub(added.kept);
        }
    }

    /// Learns from the time to the first byte, beside the time that was expected.
    /// `model` is what was read there.
    pub fn on_served(
        &mut self,
        worker: &id::Worker,
        model: Option<&id::Model>,
        expected: f64,
        took: Duration,
    ) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let took = took.as_secs_f64();
        view.failures *= 1.0 - SMOOTHING;
        view.rests = 0;
        view.rests_until = Duration::ZERO;
        view.service_time += SMOOTHING * (took - view.service_time);
        let ratio = (took / expected.max(0.001)).clamp(0.2, 5.0);
        let average = view.slowness.powf(1.0 - FORGETTING);
        let slowness = average * (1.0 - SMOOTHING + SMOOTHING * ratio);
        view.slowness = slowness.clamp(FASTEST, SLOWEST);
        if let Some(model) = model {
            self.speeds.on_answer(model, ratio);
        }
    }

    /// How fast engines read.
    #[must_use]
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Takes the load that a server told in an answer.
    pub fn on_load(&mut self, now: Duration, worker: &id::Worker, load: Load) {
        if let Some(view) = self.views.get_mut(worker) {
            view.reported = Some((now, load));
        }
    }

    /// Notes that a server failed while it ran a request.
    pub fn on_failed(&mut self, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.failures += SMOOTHING * (1.0 - view.failures);
        }
    }

    /// Notes that a server can't be reached or has no room.
    pub fn on_unreachable(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.rests_until = now + backoff(REST, view.rests, LONGEST_REST, 1.0);
            view.rests += 1;
        }
    }

    /// Notes that a server is not what its entry says: it ended, or does not hold the target.
    pub fn on_misdirected(&mut self, now: Duration, worker: &id::Worker, target: Option<&Target>) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        match target {
            None => view.rests_until = now + LONGEST_REST,
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

    /// One server's view.
    #[must_use]
    pub fn view(&self, worker: &id::Worker) -> Option<&View> {
        self.views.get(worker)
    }

    /// All views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }

    /// The server for a request, of those that are allowed.
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        need: &Need,
        is_allowed: impl Fn(&id::Worker) -> bool,
    ) -> Choice {
        let usable = self.usable(need);
        let (mut resting, mut open) = (Vec::new(), Vec::new());
        for view in usable.filter(|view| is_allowed(&view.backend.id)) {
            match self.opens_at(now, need, view) {
                Some(at) => resting.push((at, view)),
                None => open.push(view),
            }
        }
        let choice = self.choose_of(now, need, open);
        let is_missing = matches!(choice, Choice::NoModel | Choice::Nobody);
        if resting.is_empty() || !is_missing {
            return choice;
        }
        let would_serve = |view| matches!(self.choose_of(now, need, vec![view]), Choice::Send(..));
        let ends = resting.iter().filter(|(_, view)| would_serve(*view));
        match ends.map(|(at, _)| *at).min() {
            Some(first) => Choice::Resting(first),
            None if choice == Choice::Nobody => {
                let resting = resting.into_iter().map(|(_, view)| view);
                self.choose_of(now, need, resting.collect())
            }
            None => choice,
        }
    }

    fn choose_of(&self, now: Duration, need: &Need, usable: Vec<&View>) -> Choice {
        if usable.is_empty() {
            return Choice::Nobody;
        }
        let Some(generation) = &need.generation else {
            return self.best(now, need, &usable);
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
        self.best(now, need, &holders)
    }

    /// The worker at which a missing adapter would be served first, out of those that hold its
    /// model and whose holder can give orders; one with a free place for it if there is any.
    #[must_use]
    pub fn place_for(
        &self,
        now: Duration,
        need: &Need,
        has_holder: impl Fn(&id::Worker) -> bool,
    ) -> Option<id::Worker> {
        let target = &need.generation.as_ref()?.target;
        let service = self.services.get(&need.service)?;
        let places = service.engine.as_ref()?.adapter_places;
        let views = self.usable(need);
        let views = views.filter(|view| self.opens_at(now, need, view).is_none());
        let views = views.filter(|view| view.has_model(&target.model));
        let views = views.filter(|view| has_holder(&view.backend.id));
        let costs = views.map(|view| {
            let adapters: usize = view.backend.holdings.values().map(BTreeSet::len).sum();
            let full = if adapters < places { 0.0 } else { ADAPTER_SWAP };
            let cost = self.expected(now, need, view) + self.surcharge(need, view);
            (cost + full, &view.backend.id)
        });
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, worker)| worker.clone())
    }

    fn usable(&self, need: &Need) -> impl Iterator<Item = &View> {
        let views = self.views.values();
        views.filter(|view| view.backend.service == need.service && !view.backend.leaving)
    }

    /// When a server takes a request again that asked for a rest, or got what its limit allows; none where
    /// it takes the request now.
    fn opens_at(&self, now: Duration, need: &Need, view: &View) -> Option<Duration> {
        let Backend { id, boot, .. } = &view.backend;
        let rest = Some(self.notices.rests_until(id, *boot)).filter(|until| now < *until);
        let wait = self.usage_of(now, view).and_then(|usage| {
            let draw = xxh3_64_with_seed(id.as_str().as_bytes(), need.draw);
            usage.wait(unit(draw))
        });
        rest.max(wait.map(|wait| now + wait))
    }

    fn best(&self, now: Duration, need: &Need, views: &[&View]) -> Choice {
        let rested = views.iter().filter(|view| view.rests_until <= now);
        let rested: Vec<&&View> = rested.collect();
        let candidates = if rested.is_empty() {
            views.iter().collect()
        } else {
            rested
        };
        let costs = candidates.into_iter().map(|view| {
            let expected = self.expected(now, need, view);
            (expected + self.surcharge(need, view), expected, *view)
        });
        let costs: Vec<(f64, f64, &View)> = costs.collect();
        let totals: Vec<f64> = costs.iter().map(|(cost, ..)| *cost).collect();
        let busy = costs.iter().map(|(.., view)| busy(now, need, view));
        let arriving = busy.sum::<f64>() * self.news_age(now).as_secs_f64();
        let arriving = (arriving - self.own_work(need, &costs)).max(0.0);
        let drawn = level::draw(&totals, arriving, unit(need.draw));
        drawn.map_or(Choice::Nobody, |index| {
            let (_, expected, view) = costs[index];
            Choice::Send(view.backend.id.clone(), expected)
        })
    }

    /// Work of the request itself, in seconds. Where no more than that arrives before the next news, hardly
    /// another request comes in between, and the least busy server is right.
    fn own_work(&self, need: &Need, costs: &[(f64, f64, &View)]) -> f64 {
        if let Some(generation) = &need.generation {
            let reading = self
                .speeds
                .reading(&generation.target.model, generation.prompt);
            return reading.as_secs_f64();
        }
        let times = costs.iter().map(|(.., view)| view.service_time);
        times.sum::<f64>() / float(costs.len().max(1) as u64)
    }

    /// How old the news of other instances is, as requests are sent: on average over those that tell.
    fn news_age(&self, now: Duration) -> Duration {
        let told = self
            .busy
            .iter()
            .filter(|(_, (at, _))| now < *at + PEER_MEMORY);
        let ages = told.map(|(peer, (at, _))| {
            let is_sum = peer.as_str().starts_with(SUM);
            now.saturating_sub(*at) + if is_sum { SUM_AGE } else { PEER_AGE }
        });
        let (sum, count) = ages.fold((Duration::ZERO, 0), |(sum, count), age| {
            (sum + age, count + 1)
        });
        sum.checked_div(count).unwrap_or_default()
    }

    /// Expected seconds to the first byte.
    fn expected(&self, now: Duration, need: &Need, view: &View) -> f64 {
        let running = view.running(now);
        let link = self.link(view);
        let Some(generation) = &need.generation else {
            let places = f64::from(view.backend.places.max(1));
            let taken = f64::from(running.requests) / places;
            let queue = (taken + 1.0 / places - 1.0).max(0.0) + taken.powi(3) * 0.5;
            return link + (1.0 + queue) * view.service_time;
        };
        let own = reading(&self.speeds, view, generation);
        let read = (Duration::from_micros(running.reading_us) + own).as_secs_f64();
        let steps = STEP_SHARE * f64::from(running.requests);
        let memory = self.memory_wait(need, running, generation);
        link + (read + steps + memory) * view.slowness
    }

    fn memory_wait(&self, need: &Need, running: Running, generation: &Generation) -> f64 {
        let service = self.services.get(&need.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return 0.0;
        };
        let full = float(engine.cache.0) * CACHE_FULL;
        let used = float(running.kept + kept(generation));
        let batch_full = running.requests >= engine.batch;
        if used > full || batch_full {
            CACHE_WAIT * (used / full).max(1.0)
        } else {
            0.0
        }
    }

    /// Seconds that count against a server beside the wait.
    fn surcharge(&self, need: &Need, view: &View) -> f64 {
        let region = |data_centre| self.regions.get(data_centre);
        let paid = if region(&view.backend.data_centre) == region(&self.here) {
            0.0
        } else {
            PAID_LINK
        };
        let grey = (view.failures - GREY).max(0.0) * GREY_COST;
        let limited = self.limit(view).map_or(0.0, |_| LIMITED_COST);
        let spread = xxh3_64_with_seed(view.backend.id.as_str().as_bytes(), need.draw);
        let jitter = float(spread >> 54) * 2e-6;
        paid + grey + limited + jitter
    }

    fn link(&self, view: &View) -> f64 {
        let there = &view.backend.data_centre;
        if *there == self.here {
            0.0
        } else if self.regions.get(there) == self.regions.get(&self.here) {
            DATA_CENTRE_ROUND_TRIP
        } else {
            REGION_ROUND_TRIP
        }
    }
}

/// A draw as a number in `0..1`.
fn unit(draw: u64) -> f64 {
    float(draw >> 11) / float(1 << 53)
}

/// Part of its time that a server is kept busy, as far as one look at it tells: whether its engine reads,
/// or the part of its places that is taken.
fn busy(now: Duration, need: &Need, view: &View) -> f64 {
    let running = view.running(now);
    if need.generation.is_some() {
        return f64::from(u8::from(running.reading_us > 0));
    }
    let places = f64::from(view.backend.places.max(1));
    (f64::from(running.requests) / places).min(1.0)
}

/// Prompt tokens that a server has to read: those after the parts it is expected to keep.
fn unread(view: &View, generation: &Generation) -> u64 {
    let keys = part_keys(generation);
    let kept = keys.take_while(|(key, _)| view.parts.contains_key(key));
    let kept: u64 = kept.map(|(_, tokens)| tokens).sum();
    generation.prompt.0.saturating_sub(kept)
}

fn reading(speeds: &Speeds, view: &View, generation: &Generation) -> Duration {
    speeds.reading(&generation.target.model, Tokens(unread(view, generation)))
}

fn microseconds(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn kept(generation: &Generation) -> u64 {
    generation.prompt.0 + generation.output.0
}

/// Keys of a prompt's parts: a part is kept for one target, and only with all parts before it.
fn part_keys(generation: &Generation) -> impl Iterator<Item = (u64, u64)> {
    let target = generation.target.to_string();
    let mut key = xxh3_64_with_seed(target.as_bytes(), 0);
    generation.parts.iter().map(move |part| {
        key = xxh3_64_with_seed(&part.id.to_le_bytes(), key);
        (key, part.tokens.0)
    })
}

fn remember(view: &mut View, generation: &Generation) {
    view.uses += 1;
    for (key, _) in part_keys(generation) {
        view.parts.insert(key, view.uses);
    }
    if view.parts.len() > MOST_PARTS {
        let mut ages: Vec<u64> = view.parts.values().copied().collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        view.parts.retain(|_, use_number| *use_number > middle);
    }
}
