//! What the duty "traffic" knows: routes, servers, channels, budgets, and what it tells peers.

use super::channel::Channel;
use super::event::{self, Heard, Interest, News, RING};
use super::journal::Journal;
use super::metrics::Metrics;
use super::pool::Pool;
use crate::common::*;
use crate::decide::balance::{Balance, Need};
use crate::decide::crash::Crashes;
use crate::decide::lag::Lag;
use crate::decide::limit::Crowd;
use crate::decide::retry::Budget;
use crate::decide::roster::{self, Change, Roster};
use crate::decide::suspect::Fingerprint;
use crate::decide::tally::Tally;
use crate::decide::told::Told;
use crate::decide::topology::{self, Topology};
use crate::node::clock::Clock;
use crate::platform::worker;
use crate::wire::generated_gossip::{Batch, Entry, Limit};
use crate::world::backend::Backend;
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Target;
use crate::world::shard::Shard;
use crate::world::site::Site;
use crate::world::unit::Incarnation;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// A want is told to the holder again after this time.
const WANT_AGAIN: Duration = Duration::from_millis(60);
/// What was asked of a holder is remembered this long.
const WANT_MEMORY: Duration = Duration::from_secs(2);
/// An instance that misses changes of the list of servers for this long reads them itself.
const CATCH_UP: Duration = Duration::from_millis(500);
/// After its start an instance listens this long to peers before it follows the store itself.
const LISTEN: Duration = Duration::from_millis(1_200);
/// An instance that hears no holder for this long follows the list of servers itself.
const ALONE: Duration = Duration::from_millis(1_500);
/// The word of a holder counts for this long.
const HOLDER_MEMORY: Duration = Duration::from_millis(1_100);

/// Everything that tasks of this duty share.
pub struct Traffic {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub site: RefCell<Option<Arc<Site>>>,
    /// The configuration as the operator wrote it, for peers that ask.
    pub written_site: RefCell<Bytes>,
    pub balance: RefCell<Balance>,
    pub pool: Pool,
    pub metrics: Metrics,
    pub journal: Journal,
    /// Callers' connections that are open.
    pub open: Cell<usize>,
    pub is_stopping: Cell<bool>,
    /// When a stopping process refuses what still waits to be sent.
    pub last_call: Cell<Option<Duration>>,
    /// Wakes requests that wait for a model, an adapter or a place.
    pub changed: Notify,
    /// Wakes the task that tells peers.
    pub to_tell: Notify,
    pub(super) budgets: RefCell<BTreeMap<id::Service, Budget>>,
    pub(super) is_first_start: Cell<bool>,
    pub(super) crashes: RefCell<Crashes>,
    /// Requests of which peers are to hear that they crash servers, or don't.
    pub(super) new_crashes: RefCell<BTreeSet<Fingerprint>>,
    pub(super) topology: RefCell<Topology>,
    pub(super) roster: RefCell<Roster>,
    /// Newest version of the list that a peer knows, and when one was last heard.
    pub(super) heard_version: Cell<(u64, Duration)>,
    /// Newest configuration that a peer has in force.
    pub(super) heard_configuration: Cell<u64>,
    pub(super) lags: RefCell<Lags>,
    /// Whether the store answered the last call.
    pub(super) reaches_store: Cell<bool>,
    /// Whether peers are to hear at once of a configuration that was read from the store.
    pub(super) is_site_news: Cell<bool>,
    /// Whether peers are to hear at once that a server leaves.
    pub(super) is_leaving_news: Cell<bool>,
    /// Limits of servers of which peers are to hear at once.
    pub(super) new_limits: RefCell<Vec<Limit>>,
    pub(super) interest: watch::Sender<Interest>,
    /// Tokens that this instance's callers asked for.
    pub(super) demands: RefCell<BTreeMap<Target, Asked>>,
    /// Tokens that callers of the whole data centre asked for.
    pub(super) sums: RefCell<BTreeMap<Target, Asked>>,
    pub(super) tally: RefCell<Tally>,
    /// Adapters that requests wait for, where, and when the holder was told.
    pub(super) wants: RefCell<BTreeMap<(id::Worker, Target), Duration>>,
    pub(super) held: RefCell<BTreeMap<id::Worker, Told>>,
    pub(super) new_wants: RefCell<Vec<(id::Worker, Target)>>,
    pub(super) holders: RefCell<BTreeMap<Shard, Holder>>,
    /// When demand was told in whole to each tier.
    pub(super) demand_told_at: Cell<[Duration; TIERS]>,
    pub(super) sequence: Cell<u64>,
    /// Changes of the list of servers that peers are to hear.
    pub batches: RefCell<Vec<ListNews>>,
    pub(super) placer: flume::Sender<Heard>,
}

/// Changes of the list of servers: all of them for holders, who give orders by them, and for others
/// those that holders don't tell.
#[derive(Debug)]
pub struct ListNews {
    pub whole: Batch,
    pub news: Batch,
}

/// Number of tiers.
pub(super) const TIERS: usize = 4;

/// How far a data centre is; the farther, the less often it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Of this data centre, what runs at this instance.
    DataCentre,
    /// Of this data centre, the sum over it.
    Here,
    Region,
    Far,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Asked {
    pub tokens: u64,
    /// Tokens that were told to each tier.
    pub told: [u64; TIERS],
}

/// How far this instance is behind its peers.
#[derive(Debug, Default)]
pub(super) struct Lags {
    servers: Lag,
    site: Lag,
}

/// The holder of a shard.
#[derive(Debug, Clone, Copy)]
pub(super) struct Holder {
    pub heard: Duration,
    /// None where it is this instance.
    pub address: Option<SocketAddr>,
}

impl Holder {
    pub fn is_heard(&self, now: Duration) -> bool {
        now < self.heard + HOLDER_MEMORY
    }
}

impl Traffic {
    /// A gateway that knows nothing yet.
    #[must_use]
    pub fn new(
        deployment: Arc<Deployment>,
        clock: Clock,
        incarnation: Incarnation,
        journal: Journal,
        placer: flume::Sender<Heard>,
        interest: watch::Sender<Interest>,
    ) -> Rc<Self> {
        let balance = Balance::new(&deployment);
        let topology = RefCell::new(Topology::new(&deployment));
        Rc::new(Self {
            deployment,
            clock,
            incarnation,
            site: RefCell::new(None),
            written_site: RefCell::default(),
            reaches_store: Cell::new(true),
            is_site_news: Cell::new(false),
            is_leaving_news: Cell::new(false),
            new_limits: RefCell::default(),
            balance: RefCell::new(balance),
            pool: Pool::default(),
            metrics: Metrics::default(),
            journal,
            open: Cell::new(0),
            is_stopping: Cell::new(false),
            last_call: Cell::new(None),
            changed: Notify::new(),
            to_tell: Notify::new(),
            budgets: RefCell::default(),
            is_first_start: Cell::new(false),
            crashes: RefCell::default(),
            new_crashes: RefCell::default(),
            topology,
            roster: RefCell::default(),
            heard_version: Cell::default(),
            heard_configuration: Cell::new(0),
            lags: RefCell::default(),
            interest,
            demands: RefCell::default(),
            sums: RefCell::default(),
            tally: RefCell::default(),
            wants: RefCell::default(),
            held: RefCell::default(),
            new_wants: RefCell::default(),
            holders: RefCell::default(),
            demand_told_at: Cell::default(),
            sequence: Cell::new(0),
            batches: RefCell::default(),
            placer,
        })
    }

    /// Keeps an idle connection to a server; of those that the server takes, half of this
    /// instance's part may be idle.
    pub fn keep(
        &self,
        service: &id::Service,
        worker: &id::Worker,
        channel: Channel,
        keeps: Option<Duration>,
    ) {
        let site = self.site.borrow();
        let service = site.as_ref().and_then(|site| site.services.get(service));
        let all = service.map_or(0, |service| service.most_connections);
        let most = topology::part(all / 2, self.sharers());
        let most = usize::try_from(most).unwrap_or(1);
        let now = self.clock.now();
        self.pool.put(now, worker, channel, keeps, most);
    }

    /// Address of a server.
    #[must_use]
    pub fn address(&self, worker: &id::Worker) -> Option<SocketAddr> {
        let balance = self.balance.borrow();
        Some(balance.view(worker)?.backend.address)
    }

    /// Start of a server; 0 where it isn't known.
    #[must_use]
    pub fn boot(&self, worker: &id::Worker) -> Incarnation {
        let balance = self.balance.borrow();
        let view = balance.view(worker);
        view.map_or(Incarnation(0), |view| view.backend.boot)
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.site.borrow().is_some()
    }

    /// Takes news from the store.
    pub fn on_news(&self, news: News) {
        match news {
            News::Site(site, written) => self.on_site(site, written),
            News::Servers(batch) => {
                let news = self.on_batch(&batch);
                let is_first_list = news.from == 0;
                if !is_first_list && self.follows_servers(self.clock.now()) {
                    let told = ListNews { whole: batch, news };
                    self.batches.borrow_mut().push(told);
                    self.to_tell.notify_one();
                }
            }
            News::Former(rows) => self.hand(Heard::Former(rows)),
            News::FirstStart => self.on_first_start(),
            News::Members(members) => self.on_members(members),
            News::Store { up } => {
                self.reaches_store.set(up);
                self.journal.note("store", &json!({"up": up}));
            }
        }
    }

    /// Takes changes of the list of servers, from the store or from a peer. Returns them without those
    /// of which holders tell.
    pub(super) fn on_batch(&self, batch: &Batch) -> Batch {
        let read = roster::Batch {
            from: batch.from,
            to: batch.to,
            entries: batch
                .entries
                .iter()
                .filter_map(|it| self.decode(it))
                .collect(),
            trusted: batch.trusted,
        };
        let mut roster = self.roster.borrow_mut();
        let news = roster.news(&read);
        let written: Map<&str, &Entry> = batch
            .entries
            .iter()
            .map(|entry| (entry.worker.as_str(), entry))
            .collect();
        let told = news.entries.iter().map(|entry| {
            let ended = || Entry {
                worker: entry.worker.to_string(),
                version: entry.version,
                value: Vec::new(),
            };
            let known = written.get(entry.worker.as_str());
            known.map_or_else(ended, |entry| (*entry).clone())
        });
        let news = Batch {
            from: news.from,
            to: news.to,
            entries: told.collect(),
            trusted: news.trusted,
            partial: true,
        };
        let now = self.clock.now();
        let changes = roster.on_batch(now, read);
        drop(roster);
        self.on_changes(changes);
        self.set_interest(now);
        news
    }

    fn decode(&self, entry: &Entry) -> Option<roster::Entry> {
        let bad = |error: &Error| {
            let values = json!({"server": entry.worker, "error": error.to_string()});
            self.journal.note("bad_entry", &values);
        };
        let worker: id::Worker = entry.worker.parse().inspect_err(bad).ok()?;
        let backend =
            (!entry.value.is_empty()).then(|| worker::decode(&entry.worker, &entry.value));
        let backend = backend.and_then(|backend| backend.inspect_err(bad).ok());
        Some(roster::Entry {
            worker,
            version: entry.version,
            backend,
        })
    }

    pub(super) fn on_changes(&self, changes: Vec<Change>) {
        for change in changes {
            match &change {
                Change::Listed(backend) => {
                    let backend = self.on_listed(backend.clone());
                    self.hand(Heard::Server(Change::Listed(backend)));
                    continue;
                }
                Change::Unlisted(worker) => {
                    self.journal.note("unlisted", &json!({"server": worker}));
                    self.on_ended(worker);
                    self.balance.borrow_mut().on_unlisted(worker);
                    self.pool.close(worker);
                    self.held.borrow_mut().remove(worker);
                }
            }
            self.hand(Heard::Server(change));
        }
        self.changed.notify_waiters();
    }

    /// Takes an entry of the list; returns it with what its server said of itself.
    fn on_listed(&self, listed: Backend) -> Backend {
        let mut backend = listed.clone();
        self.note_listed(&backend);
        let boot = self
            .balance
            .borrow()
            .view(&backend.id)
            .map(|view| view.backend.boot);
        if boot.is_some_and(|boot| boot != backend.boot) {
            self.on_ended(&backend.id);
        }
        let now = self.clock.now();
        let held = self.held.borrow().get(&backend.id).cloned();
        let known = held.filter(|held| held.boot == backend.boot);
        if let Some(known) = known.filter(|_| self.has_holder(now, &backend.id)) {
            backend.holdings = known.holdings;
        }
        let mut balance = self.balance.borrow_mut();
        balance.on_listed(backend);
        let view = balance.view(&listed.id);
        let leaving = view.is_some_and(|view| view.backend.leaving);
        Backend { leaving, ..listed }
    }

    /// Logs an entry that says more than what its server holds.
    fn note_listed(&self, listed: &Backend) {
        let balance = self.balance.borrow();
        let known = balance.view(&listed.id).map(|view| &view.backend);
        if known.is_none_or(|known| !known.is_equal_ignoring_models(listed)) {
            self.journal.note("listed", &json!({"backend": listed}));
        }
    }

    /// Version of the configuration in force, 0 before the first.
    pub(super) fn configuration(&self) -> u64 {
        let site = self.site.borrow();
        site.as_ref().map_or(0, |site| site.version.0)
    }

    /// Tells the store duty whether to follow the list of servers or to catch up.
    pub(super) fn set_interest(&self, now: Duration) {
        let known = self.roster.borrow().version();
        let (heard, heard_at) = self.heard_version.get();
        let mut lags = self.lags.borrow_mut();
        let misses_servers = lags.servers.is_late(now, known, heard, CATCH_UP);
        if misses_servers {
            let values = json!({"list": "servers", "known": known, "heard": heard});
            self.journal.note("behind", &values);
        }
        let (in_force, newest) = (self.configuration(), self.heard_configuration.get());
        let misses_site = lags.site.is_late(now, in_force, newest, CATCH_UP);
        drop(lags);
        let old = *self.interest.borrow();
        let topology = self.topology.borrow();
        let interest = Interest {
            reads_site: now >= LISTEN && topology.is_reader(now),
            site_heard: newest,
            site_peer: topology.has_configuration(now, newest),
            follow: self.follows_servers(now) || now >= heard_at.max(LISTEN) + ALONE,
            known,
            heard: if misses_servers { heard } else { old.heard },
            site_doubts: old.site_doubts + u64::from(misses_site),
            server_doubts: old.server_doubts + u64::from(misses_servers),
        };
        self.interest.send_if_modified(|old| {
            let changed = *old != interest;
            *old = interest;
            changed
        });
    }

    fn on_site(&self, site: Arc<Site>, written: Bytes) {
        self.journal.note(
            "configuration",
            &json!({"version": site.version, "routes": site.routes.len()}),
        );
        self.balance.borrow_mut().on_site(&site);
        self.hand(Heard::Site(Arc::clone(&site)));
        *self.site.borrow_mut() = Some(site);
        *self.written_site.borrow_mut() = written;
        if self.interest.borrow().reads_site {
            self.is_site_news.set(true);
            self.to_tell.notify_one();
        }
    }

    fn on_members(&self, listed: Vec<event::Member>) {
        let mut topology = self.topology.borrow_mut();
        for member in listed {
            topology.on_listed(member.instance, member.address, member.data_centre);
        }
        topology.on_list_read();
        drop(topology);
        self.demand_told_at.set([Duration::ZERO; TIERS]);
        self.to_tell.notify_one();
    }

    /// How far a data centre is.
    pub(super) fn tier(&self, data_centre: &id::DataCentre) -> Tier {
        let regions = &self.deployment.regions;
        let here = &self.deployment.data_centre;
        if data_centre == here {
            Tier::DataCentre
        } else if regions.get(data_centre).is_some()
            && regions.get(data_centre) == regions.get(here)
        {
            Tier::Region
        } else {
            Tier::Far
        }
    }

    /// Moves on what depends on time.
    pub fn tick(&self) {
        let now = self.clock.now();
        let changes = self.roster.borrow_mut().tick(now);
        if !changes.is_empty() {
            self.on_changes(changes);
        }
        self.set_interest(now);
        self.pool.tick(now);
        let crowd = Crowd {
            heard: self.instances(),
            all: self.sharers(),
        };
        self.balance.borrow_mut().on_crowd(crowd);
        if self.is_holder() {
            let speeds = self.balance.borrow().speeds().clone();
            self.hand(Heard::Speeds(speeds));
        }
    }

    pub(super) fn hand(&self, heard: Heard) {
        if self.placer.try_send(heard).is_err() {
            self.journal
                .note("ring_full", &json!({"ring": "placer", "size": RING}));
        }
    }

    /// Notes what a caller asked for.
    pub fn on_asked(&self, target: &Target, tokens: u64) {
        for demands in [&self.demands, &self.sums] {
            let mut demands = demands.borrow_mut();
            demands.entry(target.clone()).or_default().tokens += tokens.max(1);
        }
    }

    /// Has an adapter loaded where the request would be served first.
    pub fn want(&self, need: &Need, target: &Target) {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let held = self.held.borrow();
        let is_held = |worker: &id::Worker| is_heard(now, &holders, worker);
        let is_open =
            |worker: &id::Worker| is_held(worker) && held.get(worker).is_none_or(|told| told.open);
        let balance = self.balance.borrow();
        let worker = balance.place_for(now, need, is_open);
        let worker = worker.or_else(|| balance.place_for(now, need, is_held));
        drop((holders, held, balance));
        let Some(worker) = worker else {
            return;
        };
        let mut wants = self.wants.borrow_mut();
        let pending = wants.iter();
        let mut pending = pending.filter(|((_, wanted), _)| wanted == target);
        if pending.all(|(_, at)| now >= *at + WANT_AGAIN) {
            wants.retain(|(_, wanted), _| wanted != target);
            wants.insert((worker.clone(), target.clone()), now);
            wants.retain(|_, at| now < *at + WANT_MEMORY);
            self.new_wants.borrow_mut().push((worker, target.clone()));
            drop(wants);
            self.to_tell.notify_one();
        }
    }

    /// Whether instances of this data centre tell hubs what runs at them, and not each other.
    #[must_use]
    pub fn has_hubs(&self) -> bool {
        self.topology.borrow().has_hubs(self.clock.now())
    }

    /// Whether all others of this data centre are to hear that this instance is there.
    #[must_use]
    pub fn is_herald(&self) -> bool {
        self.topology.borrow().is_herald(self.clock.now())
    }

    /// Whether this instance is told what runs at all others of its data centre.
    #[must_use]
    pub fn hears_all(&self) -> bool {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        !topology.has_hubs(now) || topology.is_hub(now)
    }

    /// Whether a model is being loaded somewhere.
    #[must_use]
    pub fn is_coming(&self, model: &id::Model) -> bool {
        let held = self.held.borrow();
        held.values().any(|told| told.coming.contains(model))
    }

    /// Whether the holder of a worker is heard.
    fn has_holder(&self, now: Duration, worker: &id::Worker) -> bool {
        is_heard(now, &self.holders.borrow(), worker)
    }

    /// Instances that are heard, this one included.
    #[must_use]
    pub fn instances(&self) -> u32 {
        self.topology.borrow().count(self.clock.now())
    }

    /// Instances that share what all may do together; none before the list of them was read.
    #[must_use]
    pub fn sharers(&self) -> Option<u32> {
        self.topology.borrow_mut().sharers(self.clock.now())
    }
}

fn is_heard(now: Duration, holders: &BTreeMap<Shard, Holder>, worker: &id::Worker) -> bool {
    let holder = holders.get(&Shard::for_worker(worker));
    holder.is_some_and(|holder| holder.is_heard(now))
}
