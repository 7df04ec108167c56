//! State of the traffic thread: routes, servers, connections, retry budgets, and the data that
//! is sent to peers by gossip.

use super::callers::Callers;
use super::channel::Channel;
use super::configuration::Rollout;
use super::event::{self, CHANNEL_CAPACITY, Call, PlacerEvent, Poll, StoreUpdate, Subscription};
use super::freshness::{DueCall, Proofs};
use super::journal::Journal;
use super::metrics::Metrics;
use super::origins::Binding;
use super::pool::Pool;
use super::quota::Quotas;
use crate::common::*;
use crate::decide::balance::{Balancer, Need};
use crate::decide::carrier::Carriers;
use crate::decide::era::Eras;
use crate::decide::follower::Audience;
use crate::decide::lag::Lag;
use crate::decide::limit::Sharers;
use crate::decide::memory::Memory;
use crate::decide::origin::Origins;
use crate::decide::quarantine::Quarantine;
use crate::decide::reach::Reach;
use crate::decide::recheck::Recheck;
use crate::decide::retry::Budget;
use crate::decide::roster::{self, Change, Roster};
use crate::decide::shutdown::Shutdown;
use crate::decide::snapshot::Snapshot;
use crate::decide::tally::Tally;
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
use crate::world::table::{Commit, Txn, Version};
use crate::world::unit::{Era, Incarnation};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum interval between requests for the same adapter to the holder.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// How long a request for an adapter is kept in the list of pending ones.
const ADAPTER_REQUEST_RETENTION: Duration = Duration::from_secs(2);
/// An instance whose peers have been ahead of it for this long reads the list or configuration
/// itself.
const MAX_LAG: Duration = Duration::from_millis(500);
/// After its start, an instance listens to peers for this long before it follows the store.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(1_200);
/// An instance that receives no announcement of a holder for this long follows the server list
/// itself.
const MAX_HOLDER_SILENCE: Duration = Duration::from_millis(1_500);
/// Delay of the periodic timer above which it is logged.
const LOGGED_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Bytes to other instances between two ticks above which they are logged: a quarter of a second of
/// the slowest links, 10 Mbit/s, holds 312 kB.
const LOGGED_GOSSIP_BYTES: usize = 100_000;
/// A holder's announcement is valid for this long.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_100);

/// State shared by all tasks of this thread.
pub struct Traffic {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub site: RefCell<Option<Arc<Site>>>,
    /// The configuration as the operator wrote it, for peers that request it.
    pub raw_site: RefCell<Bytes>,
    /// Version of its row at the store, if it is known.
    pub site_position: Cell<Option<Version>>,
    pub balance: RefCell<Balancer>,
    pub pool: Pool,
    pub metrics: Metrics,
    pub journal: Journal,
    /// Number of callers' open connections.
    pub open_connections: Cell<usize>,
    /// The stop under way, if any.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Wakes requests that wait for a model, an adapter or a server.
    pub capacity_changed: Notify,
    /// Wakes the task that sends urgent gossip.
    pub gossip_pending: Notify,
    pub(super) budgets: RefCell<BTreeMap<id::Service, Budget>>,
    pub(super) is_first_start: Cell<bool>,
    /// Servers that are being checked since a connection to them broke.
    pub(super) checked_servers: RefCell<BTreeSet<id::Worker>>,
    /// Connections that others opened to this instance.
    pub(super) callers: Rc<Callers>,
    /// Memory of the requests and answers that are held in full.
    pub(super) memory: RefCell<Memory>,
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) quotas: Quotas,
    pub(super) reach: RefCell<Reach>,
    pub(super) carriers: RefCell<Carriers>,
    pub(super) origins: RefCell<Origins>,
    pub(super) proofs: Proofs,
    /// Wakes requests that wait for the origin of a stream.
    pub(super) origins_changed: Notify,
    /// Whether peers must be told of new streams now.
    pub(super) has_new_streams: Cell<bool>,
    /// When this instance last sent its quarantine to peers that have another one.
    pub(super) quarantine_sent_at: Cell<Duration>,
    pub(super) peers_with_other_quarantine: RefCell<BTreeSet<SocketAddr>>,
    /// Changes of the quarantine's rows, for the store thread.
    pub(super) calls: flume::Sender<Call>,
    pub(super) topology: RefCell<Topology>,
    pub(super) roster: RefCell<Roster>,
    pub(super) eras: RefCell<Eras>,
    /// Newest version of the server list at a peer, and when a holder last announced its
    /// lease.
    pub(super) peer_servers_version: Cell<(Version, Duration)>,
    /// Newest configuration in force at a peer.
    pub(super) peer_configuration_version: Cell<u64>,
    pub(super) lags: RefCell<Lags>,
    pub(super) rollout: Rollout,
    /// A number from 0 to 1 that differs between instances, so that they don't act at the same moment.
    pub(super) spread: f64,
    /// Whether the store answered the last call.
    pub(super) reaches_store: Cell<bool>,
    /// When the store last answered a call, as far as the store thread has told.
    pub(super) store_answered_at: Cell<Option<Duration>>,
    /// When the store is called again by an instance that is no reader.
    pub(super) recheck: RefCell<Recheck>,
    /// Whether the data centre must be told that the store is known to answer.
    pub(super) has_new_access: Cell<bool>,
    /// Whether peers must be told that the store began or ceased to answer.
    pub(super) has_reach_changed: Cell<bool>,
    /// Whether a configuration was read from the store that has not been announced to peers yet.
    pub(super) has_new_site: Cell<bool>,
    /// Whether departures of servers must be announced to peers.
    pub(super) has_newly_leaving: Cell<bool>,
    /// Rate limits that have not been announced to peers yet.
    pub(super) new_limits: RefCell<Vec<Limit>>,
    pub(super) subscription: watch::Sender<Subscription>,
    /// Tokens requested by this instance's callers.
    pub(super) demands: RefCell<BTreeMap<Target, DemandCount>>,
    /// Tokens requested by callers of the whole data centre.
    pub(super) demand_sums: RefCell<BTreeMap<Target, DemandCount>>,
    pub(super) tally: RefCell<Tally>,
    /// Adapters that requests wait for, by worker, and when each was last requested.
    pub(super) adapter_requests: RefCell<BTreeMap<(id::Worker, Target), Duration>>,
    /// Newest announcement about each worker.
    pub(super) worker_holdings: RefCell<BTreeMap<id::Worker, Snapshot>>,
    /// Adapter requests that have not been sent to the holder yet.
    pub(super) new_adapter_requests: RefCell<Vec<(id::Worker, Target)>>,
    pub(super) holders: RefCell<BTreeMap<Shard, Holder>>,
    /// When demand was last sent in full to each tier.
    pub(super) demand_sent_at: Cell<[Duration; TIERS]>,
    /// Sequence number of the last datagram.
    pub(super) sequence: Cell<u64>,
    /// Changes of the server list to send to peers.
    pub list_updates: RefCell<Vec<ListUpdate>>,
    /// Whether an update from the store was lost, so that what it held must be read again.
    pub misses_update: Cell<bool>,
    pub(super) placer: flume::Sender<PlacerEvent>,
    /// Bytes of datagrams sent to other instances since the last tick, by kind.
    pub(super) gossip_sent: RefCell<BTreeMap<&'static str, usize>>,
}

/// A change of the server list. Holders get it in full, because their orders depend on it; other
/// instances get only the entries whose changes holders don't announce.
#[derive(Debug)]
pub struct ListUpdate {
    pub complete: Batch,
    pub reduced: Batch,
    pub audience: Audience,
}

/// Result of applying changes of the server list.
#[derive(Debug)]
pub(super) struct Applied {
    /// The changes without those that holders announce.
    pub reduced: Batch,
    /// Whether they were unknown here.
    pub is_news: bool,
}

/// Number of variants of [`Tier`].
pub(super) const TIERS: usize = 4;

/// Recipients of gossip by distance; the farther, the less often they receive it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// This data centre: the load at this instance.
    DataCentre,
    /// This data centre: the sum of all its instances.
    DataCentreSum,
    Region,
    Far,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandCount {
    pub tokens: u64,
    /// Tokens already sent to each tier.
    pub sent: [u64; TIERS],
}

/// How far this instance is behind its peers.
#[derive(Debug, Default)]
pub(super) struct Lags {
    servers: Lag<Version>,
    site: Lag<u64>,
}

/// Holder of a shard's lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct Holder {
    pub last_heard_at: Duration,
    /// None if this instance is the holder.
    pub address: Option<SocketAddr>,
    /// Whether it grants units of quotas, which earlier releases do not.
    pub grants_quotas: bool,
}

impl Holder {
    pub fn is_live(&self, now: Duration) -> bool {
        now < self.last_heard_at + HOLDER_TIMEOUT
    }
}

impl Traffic {
    /// Creates the state of a gateway that has no configuration yet.
    #[must_use]
    pub fn new(
        deployment: Arc<Deployment>,
        clock: Clock,
        incarnation: Incarnation,
        journal: Journal,
        placer: flume::Sender<PlacerEvent>,
        subscription: watch::Sender<Subscription>,
        calls: flume::Sender<Call>,
    ) -> Rc<Self> {
        let seed = xxh3_64(deployment.instance.as_str().as_bytes());
        let balance = Balancer::new(&deployment);
        let topology = RefCell::new(Topology::new(&deployment));
        let spread = deployment.spread();
        let proofs = Proofs::new(&deployment, incarnation);
        let callers = Rc::new(Callers::new(&deployment, clock));
        let memory = RefCell::new(Memory::new(deployment.machine.memory));
        let quotas = Quotas::new(&deployment.bounds);
        Rc::new(Self {
            deployment,
            clock,
            incarnation,
            site: RefCell::new(None),
            raw_site: RefCell::default(),
            site_position: Cell::new(None),
            reaches_store: Cell::new(true),
            store_answered_at: Cell::new(None),
            recheck: RefCell::default(),
            has_new_access: Cell::new(false),
            has_reach_changed: Cell::new(false),
            has_new_site: Cell::new(false),
            has_newly_leaving: Cell::new(false),
            new_limits: RefCell::default(),
            balance: RefCell::new(balance),
            pool: Pool::default(),
            metrics: Metrics::default(),
            journal,
            open_connections: Cell::new(0),
            shutdown: Cell::new(None),
            capacity_changed: Notify::new(),
            gossip_pending: Notify::new(),
            budgets: RefCell::default(),
            is_first_start: Cell::new(false),
            checked_servers: RefCell::default(),
            callers,
            memory,
            quarantine: RefCell::new(Quarantine::new(seed)),
            quotas,
            reach: RefCell::default(),
            carriers: RefCell::default(),
            origins: RefCell::new(Origins::new(seed)),
            proofs,
            origins_changed: Notify::new(),
            has_new_streams: Cell::new(false),
            quarantine_sent_at: Cell::default(),
            peers_with_other_quarantine: RefCell::default(),
            calls,
            topology,
            roster: RefCell::default(),
            eras: RefCell::default(),
            peer_servers_version: Cell::default(),
            peer_configuration_version: Cell::new(0),
            lags: RefCell::default(),
            rollout: Rollout::default(),
            spread,
            subscription,
            demands: RefCell::default(),
            demand_sums: RefCell::default(),
            tally: RefCell::default(),
            adapter_requests: RefCell::default(),
            worker_holdings: RefCell::default(),
            new_adapter_requests: RefCell::default(),
            holders: RefCell::default(),
            demand_sent_at: Cell::default(),
            sequence: Cell::new(0),
            list_updates: RefCell::default(),
            misses_update: Cell::new(false),
            placer,
            gossip_sent: RefCell::default(),
        })
    }

    /// Keeps an idle connection to a server. At most half of this instance's share of the
    /// server's connections may be idle.
    pub fn pool_connection(
        &self,
        service: &id::Service,
        worker: &id::Worker,
        channel: Channel,
        server_keep_alive: Option<Duration>,
    ) {
        let site = self.site.borrow();
        let service = site.as_ref().and_then(|site| site.services.get(service));
        let all = service.map_or(0, |service| service.most_connections);
        let max_idle = topology::fair_share(all / 2, self.sharers());
        let max_idle = usize::try_from(max_idle).unwrap_or(1);
        let now = self.clock.now();
        self.pool
            .put(now, worker, channel, server_keep_alive, max_idle);
    }

    /// Returns the address of a server.
    #[must_use]
    pub fn address(&self, worker: &id::Worker) -> Option<SocketAddr> {
        let balance = self.balance.borrow();
        Some(balance.view(worker)?.backend.address)
    }

    /// Returns for how many milliseconds nothing has arrived from a server.
    pub(super) fn silence_ms(&self, worker: &id::Worker) -> Option<u128> {
        let silence = self.balance.borrow().silence(self.clock.now(), worker);
        silence.map(|silence| silence.as_millis())
    }

    /// Returns the incarnation of a server; 0 if it is unknown.
    #[must_use]
    pub fn boot(&self, worker: &id::Worker) -> Incarnation {
        let balance = self.balance.borrow();
        let view = balance.view(worker);
        view.map_or(Incarnation(0), |view| view.backend.boot)
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.site.borrow().is_some()
    }

    /// Whether the process has been told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Commits a transaction at the store; returns whether its rows are now as they should be.
    pub(super) async fn commit(&self, txn: Txn) -> bool {
        let (reply, committed) = flume::bounded(1);
        if self
            .calls
            .send_async(Call::Commit(txn, reply))
            .await
            .is_err()
        {
            return false;
        }
        // A conflict means that another instance has written the same row.
        matches!(
            committed.recv_async().await.map(|answer| answer.result),
            Ok(Ok(Commit::Done(_) | Commit::Conflict(_)))
        )
    }

    /// Applies an update from the store thread.
    pub fn on_store_update(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::Site {
                site,
                written,
                peer,
                position,
            } => {
                self.site_position.set(position);
                self.on_site(site, written, peer);
            }
            StoreUpdate::Servers(batch) => {
                let Some(Applied { reduced, .. }) = self.on_batch(&batch) else {
                    return;
                };
                let is_first_list = reduced.from == 0;
                let audience = self.list_audience(self.clock.now());
                if let Some(audience) = audience.filter(|_| !is_first_list) {
                    let list_update = ListUpdate {
                        complete: batch,
                        reduced,
                        audience,
                    };
                    self.list_updates.borrow_mut().push(list_update);
                    self.gossip_pending.notify_one();
                }
            }
            StoreUpdate::FormerLeases(rows, era) => {
                self.notify_placer(PlacerEvent::FormerLeases(rows, era));
            }
            StoreUpdate::Era(era) => self.on_era(era),
            StoreUpdate::Quarantine(rows) => self.on_quarantine_rows(&rows),
            StoreUpdate::Leaving(rows) => self.on_leaving_rows(&rows),
            StoreUpdate::Origins(rows) => self.on_origin_rows(&rows),
            StoreUpdate::Proof { began_at, version } => self.on_store_proof(began_at, version),
            StoreUpdate::FirstStart => self.on_first_start(),
            StoreUpdate::Members(members) => self.on_members(members),
            StoreUpdate::Fetched(fetch) => self.journal.note("fetched", &json!(fetch)),
            StoreUpdate::FetchFailed(failed) => self.journal.note("fetch_failed", &json!(failed)),
            StoreUpdate::Store { up } => {
                self.reaches_store.set(up);
                self.update_access(self.clock.now());
                self.has_reach_changed.set(true);
                self.gossip_pending.notify_one();
                self.journal.note("store", &json!({"up": up}));
            }
            StoreUpdate::StoreAnswered => self.on_store_answered(),
        }
    }

    /// Records the era of the store's answers or of a peer's news.
    pub(super) fn on_era(&self, era: Era) {
        let before = self.eras.borrow().newest();
        if before >= Some(era) {
            return;
        }
        if self.eras.borrow_mut().on_seen(Some(era)) {
            self.metrics.era_changes.inc();
            let servers = self.roster.borrow().version();
            let values = json!({"era": era, "before": before, "servers": servers});
            self.journal.note("era", &values);
            self.origins.borrow_mut().on_row_lost();
        }
        self.notify_placer(PlacerEvent::Era(era));
    }

    /// Applies changes of the server list from the store or a peer; returns none if their era is
    /// unknown.
    pub(super) fn on_batch(&self, batch: &Batch) -> Option<Applied> {
        let era = batch.era.map(Era);
        let to = self.eras.borrow().version(era, batch.to)?;
        let entries = batch.entries.iter();
        let read = roster::Batch {
            from: to.at(batch.from),
            to,
            entries: entries.filter_map(|it| self.decode(it, to)).collect(),
            trusted: batch.trusted,
        };
        let mut roster = self.roster.borrow_mut();
        let reduced = roster.delta(&read);
        let is_news = roster.is_news(&read);
        let written: Map<&str, &Entry> = batch
            .entries
            .iter()
            .map(|entry| (entry.worker.as_str(), entry))
            .collect();
        let reported = reduced.entries.iter().map(|entry| {
            let ended = || Entry {
                worker: entry.worker.to_string(),
                version: entry.version.number,
                value: Vec::new(),
            };
            let known = written.get(entry.worker.as_str());
            known.map_or_else(ended, |entry| (*entry).clone())
        });
        let reduced = Batch {
            from: reduced.from.number,
            to: reduced.to.number,
            era: reduced.to.era.map(|era| era.0),
            entries: reported.collect(),
            trusted: reduced.trusted,
            partial: true,
        };
        let now = self.clock.now();
        if !roster.covers_known_changes(&read) {
            let values = json!({"from": read.from, "to": read.to});
            self.journal.note("span_incomplete", &values);
        }
        let changes = roster.on_batch(now, read);
        drop(roster);
        self.on_changes(changes);
        self.update_versions(now);
        self.update_subscription(now);
        Some(Applied { reduced, is_news })
    }

    /// Decodes an entry of a batch up to a version.
    fn decode(&self, entry: &Entry, to: Version) -> Option<roster::Entry> {
        let log_invalid = |error: &Error| {
            let values = json!({"server": entry.worker, "error": error.to_string()});
            self.journal.note("bad_entry", &values);
        };
        let worker: id::Worker = entry.worker.parse().inspect_err(log_invalid).ok()?;
        let backend =
            (!entry.value.is_empty()).then(|| worker::decode(&entry.worker, &entry.value));
        let backend = backend.and_then(|backend| backend.inspect_err(log_invalid).ok());
        Some(roster::Entry {
            worker,
            version: to.at(entry.version),
            backend,
        })
    }

    pub(super) fn on_changes(&self, changes: Vec<Change>) {
        for change in changes {
            match &change {
                Change::Listed(backend) => {
                    let backend = self.on_listed(backend.clone());
                    self.notify_placer(PlacerEvent::Server(Change::Listed(backend)));
                    continue;
                }
                Change::Unlisted(worker) => {
                    self.journal.note("unlisted", &json!({"server": worker}));
                    self.on_ended(worker);
                    self.balance.borrow_mut().on_unlisted(worker);
                    self.pool.close(worker);
                    self.worker_holdings.borrow_mut().remove(worker);
                }
            }
            self.notify_placer(PlacerEvent::Server(change));
        }
        self.capacity_changed.notify_waiters();
    }

    /// Applies an entry of the server list; returns it with the server's own notice of
    /// departure.
    fn on_listed(&self, listed: Backend) -> Backend {
        let mut backend = listed.clone();
        self.log_listed(&backend);
        let boot = self
            .balance
            .borrow()
            .view(&backend.id)
            .map(|view| view.backend.boot);
        if boot.is_some_and(|boot| boot != backend.boot) {
            self.on_ended(&backend.id);
        }
        let now = self.clock.now();
        let held = self.worker_holdings.borrow().get(&backend.id).cloned();
        let known = held.filter(|held| held.boot == backend.boot);
        if let Some(known) = known.filter(|_| self.has_live_holder(now, &backend.id)) {
            backend.holdings = known.holdings;
        }
        let mut balance = self.balance.borrow_mut();
        balance.on_listed(backend);
        let view = balance.view(&listed.id);
        let leaving = view.is_some_and(|view| view.backend.leaving);
        Backend { leaving, ..listed }
    }

    /// Logs an entry if more than the server's holdings has changed.
    fn log_listed(&self, listed: &Backend) {
        let balance = self.balance.borrow();
        let known = balance.view(&listed.id).map(|view| &view.backend);
        if known.is_none_or(|known| !known.is_equal_ignoring_models(listed)) {
            self.journal.note("listed", &json!({"backend": listed}));
        }
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub(super) fn configuration_version(&self) -> u64 {
        let site = self.site.borrow();
        site.as_ref().map_or(0, |site| site.version.0)
    }

    /// Updates the store thread's subscription: whether it follows the store or only catches up.
    pub(super) fn update_subscription(&self, now: Duration) {
        let known_version = self.roster.borrow().version();
        let (peer_version, holder_heard_at) = self.peer_servers_version.get();
        let mut lags = self.lags.borrow_mut();
        let reads_list = self.reads_list(now);
        let max_lag = if !reads_list {
            MAX_LAG.mul_f64(1.5 + self.spread)
        } else if peer_version.era == known_version.era {
            MAX_LAG
        } else {
            // After a return from an old copy all instances read the list.
            MAX_LAG.mul_f64(1.0 + self.spread)
        };
        let misses_servers = lags
            .servers
            .is_late(now, known_version, peer_version, max_lag);
        if misses_servers {
            let values = json!({"list": "servers", "known": known_version, "heard": peer_version});
            self.journal.note("behind", &values);
        }
        let (in_force, newest) = (
            self.configuration_version(),
            self.peer_configuration_version.get(),
        );
        // The first instance that reads the store can then serve the others.
        let max_lag = MAX_LAG.mul_f64(1.0 + self.spread);
        let must_reread = self.misses_update.take();
        let misses_servers = misses_servers || must_reread;
        let misses_site = lags.site.is_late(now, in_force, newest, max_lag) || must_reread;
        drop(lags);
        let old = *self.subscription.borrow();
        let topology = self.topology.borrow();
        let is_following_site = now >= STARTUP_LISTEN_TIME && topology.is_reader(now);
        // Shows at once whether the store answers the new reader.
        let is_new_reader = is_following_site && !old.is_following_site;
        let due_call = self.due_call(now);
        let must_probe = (is_new_reader && topology.has_refused(now))
            || self.is_recheck_due(now)
            || due_call == Some(DueCall::Probe);
        let subscription = Subscription {
            is_following_site,
            newest_site_version: newest,
            site_source: topology.configuration_source(now, in_force),
            start_sources: if in_force == 0 {
                self.start_sources(now)
            } else {
                None
            },
            is_following_servers: self.should_follow_servers(now)
                || (reads_list
                    && now >= holder_heard_at.max(STARTUP_LISTEN_TIME) + MAX_HOLDER_SILENCE),
            known_version,
            newest_version: if misses_servers {
                peer_version
            } else {
                old.newest_version
            },
            site_stalls: old.site_stalls + u64::from(misses_site),
            server_stalls: old.server_stalls + u64::from(misses_servers),
            site_checks: old.site_checks + u64::from(due_call == Some(DueCall::Check)),
            probes: old.probes + u64::from(must_probe),
            is_site_recent: self.is_site_recent(now),
            site_poll: Poll::brief_if(self.polls_site_briefly(now)),
            server_poll: Poll::brief_if(self.polls_servers_briefly(now)),
        };
        self.subscription.send_if_modified(|old| {
            let changed = *old != subscription;
            *old = subscription;
            changed
        });
    }

    fn on_site(&self, site: Arc<Site>, written: Bytes, peer: Option<SocketAddr>) {
        let values =
            json!({"version": site.version, "routes": site.routes.len(), "from_peer": peer});
        self.journal.note("configuration", &values);
        self.balance.borrow_mut().on_site(&site);
        self.on_quota_site(&site);
        self.notify_placer(PlacerEvent::Site(Arc::clone(&site)));
        self.on_configuration_in_force(self.clock.now(), site.version.0);
        *self.site.borrow_mut() = Some(site);
        *self.raw_site.borrow_mut() = written;
        if peer.is_none() {
            self.has_new_site.set(true);
            self.gossip_pending.notify_one();
        }
    }

    fn on_members(&self, listed: Vec<event::Member>) {
        let mut topology = self.topology.borrow_mut();
        for member in listed {
            topology.on_listed(member.instance, member.address, member.data_centre);
        }
        topology.on_list_read();
        drop(topology);
        self.update_subscription(self.clock.now());
        self.demand_sent_at.set([Duration::ZERO; TIERS]);
        self.gossip_pending.notify_one();
    }

    /// Returns the tier of a data centre.
    pub(super) fn tier_of(&self, data_centre: &id::DataCentre) -> Tier {
        let regions = &self.deployment.regions;
        let own_data_centre = &self.deployment.data_centre;
        if data_centre == own_data_centre {
            Tier::DataCentre
        } else if regions.get(data_centre).is_some()
            && regions.get(data_centre) == regions.get(own_data_centre)
        {
            Tier::Region
        } else {
            Tier::Far
        }
    }

    /// Records how late the periodic timer fired.
    pub fn on_timer(&self, delay: Duration) {
        self.metrics.timer_delay.observe(delay.as_secs_f64());
        if delay >= LOGGED_TIMER_DELAY {
            let values = json!({"delay_ms": delay.as_millis()});
            self.journal.note("late_timer", &values);
        }
    }

    /// Counts the bytes of datagrams to other instances.
    pub fn on_gossip_sent(&self, kind: &'static str, bytes: usize) {
        self.metrics
            .on_gossip(kind, u64::try_from(bytes).unwrap_or(u64::MAX));
        *self.gossip_sent.borrow_mut().entry(kind).or_default() += bytes;
    }

    /// Logs the bytes of datagrams since the last tick if they were many.
    fn log_gossip_burst(&self) {
        let sent = std::mem::take(&mut *self.gossip_sent.borrow_mut());
        if sent.values().sum::<usize>() >= LOGGED_GOSSIP_BYTES {
            self.journal
                .note("gossip_burst", &json!({"bytes_by_kind": sent}));
        }
    }

    /// Updates time-dependent state.
    pub fn tick(self: &Rc<Self>) {
        self.log_gossip_burst();
        self.check_lost_paths();
        let now = self.clock.now();
        let changes = self.roster.borrow_mut().tick(now);
        if !changes.is_empty() {
            self.on_changes(changes);
        }
        self.update_access(now);
        self.topology.borrow_mut().tick(now);
        self.update_subscription(now);
        self.check_proofs(now);
        self.check_rollout(now);
        self.update_versions(now);
        self.pool.tick(now);
        if !self.quarantine.borrow().is_empty() {
            self.update_quarantine(|quarantine| quarantine.tick(now));
        }
        let instance_counts = Sharers {
            reachable: self.instances(),
            total: self.sharers(),
        };
        self.balance.borrow_mut().on_sharers(instance_counts);
        if self.is_holder() {
            let speeds = self.balance.borrow().speeds().clone();
            self.notify_placer(PlacerEvent::Speeds(speeds));
        }
    }

    pub(super) fn notify_placer(&self, placer_event: PlacerEvent) {
        if self.placer.try_send(placer_event).is_err() {
            self.journal.note(
                "ring_full",
                &json!({"ring": "placer", "size": CHANNEL_CAPACITY}),
            );
        }
    }

    /// Records the demand of a caller's request.
    pub fn on_demand(&self, target: &Target, tokens: u64) {
        for demands in [&self.demands, &self.demand_sums] {
            let mut demands = demands.borrow_mut();
            demands.entry(target.clone()).or_default().tokens += tokens.max(1);
        }
    }

    /// Requests that an adapter be loaded on the server that the load balancer chooses for it among
    /// those that fit.
    pub(super) fn request_adapter(&self, need: &Need, target: &Target, binding: &Binding) {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let held = self.worker_holdings.borrow();
        let is_held =
            |worker: &id::Worker| is_live(now, &holders, worker) && self.fits(binding, worker);
        let is_open = |worker: &id::Worker| {
            is_held(worker) && held.get(worker).is_none_or(|reported| reported.assignable)
        };
        let balance = self.balance.borrow();
        let worker = balance.choose_adapter_worker(now, need, is_open);
        let worker = worker.or_else(|| balance.choose_adapter_worker(now, need, is_held));
        drop((holders, held, balance));
        let Some(worker) = worker else {
            return;
        };
        let mut pending_requests = self.adapter_requests.borrow_mut();
        let pending = pending_requests.iter();
        let mut pending = pending.filter(|((_, requested_target), _)| requested_target == target);
        if pending.all(|(_, at)| now >= *at + ADAPTER_REQUEST_INTERVAL) {
            pending_requests.retain(|(_, requested_target), _| requested_target != target);
            pending_requests.insert((worker.clone(), target.clone()), now);
            pending_requests.retain(|_, at| now < *at + ADAPTER_REQUEST_RETENTION);
            self.new_adapter_requests
                .borrow_mut()
                .push((worker, target.clone()));
            drop(pending_requests);
            self.gossip_pending.notify_one();
        }
    }

    /// Whether instances of this data centre send their load to hubs instead of to each other.
    #[must_use]
    pub fn has_hubs(&self) -> bool {
        self.topology.borrow().has_hubs(self.clock.now())
    }

    /// Whether this instance sends heartbeats to all peers of its data centre.
    #[must_use]
    pub fn should_send_heartbeats(&self) -> bool {
        self.topology.borrow().is_broadcaster(self.clock.now())
    }

    /// Whether this instance receives the load of all other instances of its data centre.
    #[must_use]
    pub fn hears_all_peers(&self) -> bool {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        !topology.has_hubs(now) || topology.is_hub(now)
    }

    /// Whether a model is being loaded on some worker.
    #[must_use]
    pub fn is_loading(&self, model: &id::Model) -> bool {
        let held = self.worker_holdings.borrow();
        held.values()
            .any(|reported| reported.coming.contains(model))
    }

    /// Whether the holder of a worker was announced within `HOLDER_TIMEOUT`.
    fn has_live_holder(&self, now: Duration, worker: &id::Worker) -> bool {
        is_live(now, &self.holders.borrow(), worker)
    }

    /// Returns the number of live instances, including this one.
    #[must_use]
    pub fn instances(&self) -> u32 {
        self.topology.borrow().count(self.clock.now())
    }

    /// Returns the number of instances that share common limits; none before the instance list
    /// was read.
    #[must_use]
    pub fn sharers(&self) -> Option<u32> {
        self.topology.borrow_mut().sharer_count(self.clock.now())
    }
}

fn is_live(now: Duration, holders: &BTreeMap<Shard, Holder>, worker: &id::Worker) -> bool {
    let holder = holders.get(&Shard::for_worker(worker));
    holder.is_some_and(|holder| holder.is_live(now))
}
