//! What the duty "traffic" knows: routes, servers, channels, budgets, and what it tells peers.

use super::event::{Heard, News, RETURNS, RING, Word};
use super::journal::Journal;
use super::metrics::Metrics;
use super::pool::Pool;
use crate::common::*;
use super::placer;
use crate::decide::balance::{Balance, Need, Running};
use crate::decide::fleet::Told;
use crate::decide::retry::Budget;
use crate::node::clock::Clock;
use crate::wire::generated_gossip::{Demand, Gossip, Holding, Lead, Load, Want};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Target;
use crate::world::shard::Shard;
use crate::world::site::Site;
use crate::world::unit::Incarnation;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// A want is told to the holder again after this time.
const WANT_AGAIN: Duration = Duration::from_millis(60);
/// Demand is told anew in whole after this time, for a holder that has just begun.
const DEMAND_AGAIN: Duration = Duration::from_secs(2);
/// A peer that is silent this long has no share of what all instances may do together.
const PEER_GONE: Duration = Duration::from_secs(3);
/// The word of a holder counts for this long.
const HOLDER_MEMORY: Duration = Duration::from_millis(1_100);

/// Everything that tasks of this duty share.
pub struct Traffic {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub site: RefCell<Option<Arc<Site>>>,
    pub balance: RefCell<Balance>,
    pub pool: Pool,
    pub metrics: Metrics,
    pub journal: Journal,
    /// Callers' connections that are open.
    pub open: Cell<usize>,
    pub is_stopping: Cell<bool>,
    /// Wakes requests that wait for a model, an adapter or a place.
    pub changed: Notify,
    /// Wakes the task that tells peers.
    pub to_tell: Notify,
    budgets: RefCell<BTreeMap<id::Service, Budget>>,
    members: RefCell<BTreeMap<id::Instance, Member>>,
    demands: RefCell<BTreeMap<Target, Asked>>,
    /// Adapters that requests wait for, where, and when the holder was told.
    wants: RefCell<BTreeMap<(id::Worker, Target), Duration>>,
    unlisted: RefCell<BTreeMap<id::Worker, Duration>>,
    held: RefCell<BTreeMap<id::Worker, Told>>,
    /// When the holder of a shard was last heard.
    holders: RefCell<BTreeMap<Shard, Duration>>,
    demand_told_at: Cell<Duration>,
    sequence: Cell<u64>,
    placer: flume::Sender<Heard>,
}

#[derive(Debug, Clone)]
struct Member {
    address: SocketAddr,
    incarnation: u64,
    sequence: u64,
    heard: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    tokens: u64,
    told: u64,
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
    ) -> Rc<Self> {
        let balance = Balance::new(&deployment);
        Rc::new(Self {
            deployment,
            clock,
            incarnation,
            site: RefCell::new(None),
            balance: RefCell::new(balance),
            pool: Pool::default(),
            metrics: Metrics::default(),
            journal,
            open: Cell::new(0),
            is_stopping: Cell::new(false),
            changed: Notify::new(),
            to_tell: Notify::new(),
            budgets: RefCell::default(),
            members: RefCell::default(),
            demands: RefCell::default(),
            wants: RefCell::default(),
            unlisted: RefCell::default(),
            held: RefCell::default(),
            holders: RefCell::default(),
            demand_told_at: Cell::new(Duration::ZERO),
            sequence: Cell::new(0),
            placer,
        })
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.site.borrow().is_some()
    }

    /// Takes news from the store, and hands it to the placer.
    pub fn on_news(&self, news: News) {
        self.hand(Heard::News(news.clone()));
        let now = self.clock.now();
        match news {
            News::Site(site) => self.on_site(site),
            News::Listed(backend) => {
                self.unlisted.borrow_mut().remove(&backend.id);
                self.journal.note("listed", &json!({"backend": backend}));
                let held = self.held.borrow().get(&backend.id).cloned();
                let known = held.filter(|held| held.boot == backend.boot);
                let mut backend = backend;
                if let Some(known) = known.filter(|_| self.has_holder(now, &backend.id)) {
                    backend.holdings = known.holdings;
                }
                self.balance.borrow_mut().on_listed(backend);
            }
            News::Unlisted { worker, trusted } => {
                self.journal
                    .note("unlisted", &json!({"worker": worker, "trusted": trusted}));
                if trusted {
                    self.forget(&worker);
                } else {
                    let until = now + RETURNS;
                    self.unlisted.borrow_mut().insert(worker, until);
                }
            }
            News::Members(members) => self.on_members(members),
            News::Store { up } => self.journal.note("store", &json!({"up": up})),
        }
        self.changed.notify_waiters();
    }

    fn on_site(&self, site: Arc<Site>) {
        self.journal.note(
            "configuration",
            &json!({"version": site.version, "routes": site.routes.len()}),
        );
        self.balance.borrow_mut().on_site(&site);
        *self.site.borrow_mut() = Some(site);
    }

    fn on_members(&self, listed: BTreeMap<id::Instance, SocketAddr>) {
        let mut members = self.members.borrow_mut();
        for (instance, address) in listed {
            if instance != self.deployment.instance {
                let member = members.entry(instance).or_insert(Member::at(address));
                member.address = address;
            }
        }
        drop(members);
        self.demand_told_at.set(Duration::ZERO);
        self.to_tell.notify_one();
    }

    fn forget(&self, worker: &id::Worker) {
        self.balance.borrow_mut().on_unlisted(worker);
        self.pool.close(worker);
        self.held.borrow_mut().remove(worker);
    }

    /// Moves on what depends on time.
    pub fn tick(&self) {
        let now = self.clock.now();
        let unlisted = self.unlisted.borrow();
        let over = unlisted.iter().filter(|(_, until)| now >= **until);
        let over: Vec<id::Worker> = over.map(|(worker, _)| worker.clone()).collect();
        drop(unlisted);
        for worker in over {
            self.unlisted.borrow_mut().remove(&worker);
            self.forget(&worker);
        }
        self.pool.tick(now);
    }

    fn hand(&self, heard: Heard) {
        if self.placer.try_send(heard).is_err() {
            self.journal.note("ring_full", &json!({"ring": "placer", "size": RING}));
        }
    }

    /// Notes what a caller asked for.
    pub fn on_asked(&self, target: &Target, tokens: u64) {
        let mut demands = self.demands.borrow_mut();
        demands.entry(target.clone()).or_default().tokens += tokens.max(1);
    }

    /// Has an adapter loaded where the request would be served first.
    pub fn want(&self, need: &Need, target: &Target) {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let is_held = |worker: &id::Worker| is_heard(now, &holders, worker);
        let worker = self.balance.borrow().place_for(now, need, is_held);
        drop(holders);
        let Some(worker) = worker else {
            return;
        };
        let mut wants = self.wants.borrow_mut();
        let pending = wants.iter();
        let mut pending = pending.filter(|((_, wanted), _)| wanted == target);
        if pending.all(|(_, at)| now >= *at + WANT_AGAIN) {
            wants.retain(|(_, wanted), _| wanted != target);
            wants.insert((worker, target.clone()), now);
            drop(wants);
            self.to_tell.notify_one();
        }
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
        let now = self.clock.now();
        let members = self.members.borrow();
        let heard = members.values().filter(|member| member.is_heard(now));
        u32::try_from(heard.count()).unwrap_or(u32::MAX - 1) + 1
    }

    /// Takes one repeat of the share of this instance, if one is left.
    pub fn may_repeat(&self, service: &id::Service) -> bool {
        let instances = f64::from(self.instances());
        let mut budgets = self.budgets.borrow_mut();
        let bounds = &self.deployment.bounds;
        let budget = budgets.entry(service.clone());
        let most = bounds.retry_extra / 2.0 / instances;
        budget
            .or_insert_with(|| Budget::new(bounds.retry_ratio / 2.0, most))
            .take()
    }

    /// Notes the first sending of a request.
    pub fn on_first_send(&self, service: &id::Service) {
        if let Some(budget) = self.budgets.borrow_mut().get_mut(service) {
            budget.on_first();
        }
    }

    /// Takes a peer's datagram.
    pub fn on_gossip(&self, gossip: Gossip, from: SocketAddr) {
        let now = self.clock.now();
        let Ok(instance) = gossip.instance.parse::<id::Instance>() else {
            return;
        };
        if !self.is_newer(now, &instance, &gossip, from) {
            return;
        }
        let loads = gossip.loads.iter().filter_map(|load| {
            let running = Running {
                requests: load.requests,
                unread: load.unread,
                kept: load.kept,
            };
            Some((load.worker.parse().ok()?, running))
        });
        let loads = loads.collect();
        self.balance.borrow_mut().on_peer(now, &instance, &loads);
        self.on_leads(now, &gossip.leads);
        self.on_holdings(&gossip.holdings);
        if concerns_placer(&gossip) {
            self.hand(Heard::Gossip(Box::new(gossip)));
        }
    }

    fn is_newer(
        &self,
        now: Duration,
        instance: &id::Instance,
        gossip: &Gossip,
        from: SocketAddr,
    ) -> bool {
        let mut members = self.members.borrow_mut();
        let is_new = !members.contains_key(instance);
        let member = members.entry(instance.clone()).or_insert(Member::at(from));
        let order = (gossip.incarnation, gossip.sequence);
        let is_newer = order > (member.incarnation, member.sequence);
        if is_newer {
            if !member.is_heard(now) || is_new {
                self.demand_told_at.set(Duration::ZERO);
                self.journal
                    .note("peer", &json!({"instance": instance, "heard": true}));
            }
            (member.incarnation, member.sequence) = order;
            member.heard = Some(now);
            member.address = from;
        }
        is_newer
    }

    fn on_leads(&self, now: Duration, leads: &[Lead]) {
        let mut holders = self.holders.borrow_mut();
        holders.extend(leads.iter().map(|lead| (Shard(lead.shard), now)));
    }

    fn on_holdings(&self, holdings: &[Holding]) {
        for (worker, told) in holdings.iter().filter_map(placer::decode_holding) {
            let mut held = self.held.borrow_mut();
            let known = held.get(&worker);
            let order = (told.fence, told.revision);
            let is_old = known.is_some_and(|known| order <= (known.fence, known.revision));
            let mut balance = self.balance.borrow_mut();
            let boot = balance.view(&worker).map(|view| view.backend.boot);
            if is_old || boot.is_some_and(|boot| boot > told.boot) {
                continue;
            }
            balance.on_holdings(&worker, told.holdings.clone(), told.closing.clone());
            held.insert(worker, told);
        }
        if !holdings.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Takes the word of this instance's own placer.
    pub fn on_word(&self, word: &Word) {
        self.on_leads(self.clock.now(), &word.leads);
        self.on_holdings(&word.holdings);
    }

    /// What to tell peers now; the placer hears it too.
    pub fn gossip(&self) -> Gossip {
        let now = self.clock.now();
        self.sequence.set(self.sequence.get() + 1);
        let own = self.balance.borrow().own();
        let loads = own.into_iter().map(|(worker, running)| Load {
            worker: worker.to_string(),
            requests: running.requests,
            unread: running.unread,
            kept: running.kept,
        });
        let gossip = Gossip {
            instance: self.deployment.instance.to_string(),
            incarnation: self.incarnation.0,
            sequence: self.sequence.get(),
            data_centre: self.deployment.data_centre.to_string(),
            loads: loads.collect(),
            demands: self.take_demands(now),
            wants: self.take_wants(now),
            leads: Vec::new(),
            holdings: Vec::new(),
            jobs: Vec::new(),
        };
        if !gossip.demands.is_empty() || !gossip.wants.is_empty() {
            self.hand(Heard::Gossip(Box::new(gossip.clone())));
        }
        gossip
    }

    fn take_demands(&self, now: Duration) -> Vec<Demand> {
        let all = now >= self.demand_told_at.get() + DEMAND_AGAIN;
        if all {
            self.demand_told_at.set(now);
        }
        let mut demands = self.demands.borrow_mut();
        let told = demands.iter_mut();
        let told = told.filter(|(_, asked)| all || asked.tokens > asked.told);
        let told = told.map(|(target, asked)| {
            asked.told = asked.tokens;
            Demand {
                target: target.to_string(),
                tokens: asked.tokens,
            }
        });
        told.collect()
    }

    fn take_wants(&self, now: Duration) -> Vec<Want> {
        let mut wants = self.wants.borrow_mut();
        wants.retain(|_, at| now < *at + WANT_AGAIN);
        let told = wants.keys().map(|(worker, target)| Want {
            target: target.to_string(),
            worker: worker.to_string(),
        });
        told.collect()
    }

    /// Addresses of peers, with the data centre's distance left to the network.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        members.values().map(|member| member.address).collect()
    }

    /// Connections that this instance may have to one server of a service.
    #[must_use]
    pub fn most_connections(&self, service: &id::Service) -> usize {
        let site = self.site.borrow();
        let service = site.as_ref().and_then(|site| site.services.get(service));
        let most = service.map_or(8, |service| service.most_connections);
        let share = most / self.instances().max(1);
        usize::try_from(share.max(2)).unwrap_or(2)
    }
}

impl Member {
    fn at(address: SocketAddr) -> Self {
        Self {
            address,
            incarnation: 0,
            sequence: 0,
            heard: None,
        }
    }

    fn is_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|at| now < at + PEER_GONE)
    }
}

fn is_heard(now: Duration, holders: &BTreeMap<Shard, Duration>, worker: &id::Worker) -> bool {
    let heard = holders.get(&Shard::of(worker));
    heard.is_some_and(|at| now < *at + HOLDER_MEMORY)
}

fn concerns_placer(gossip: &Gossip) -> bool {
    let says_nothing = gossip.leads.is_empty()
        && gossip.demands.is_empty()
        && gossip.wants.is_empty()
        && gossip.holdings.is_empty()
        && gossip.jobs.is_empty();
    !says_nothing
}
