//! The placer thread: holds leases on shards of the workers or waits to take them over, and
//! orders models and adapters to be loaded.
//!
//! The lease is checked right before each order for its shard. An instance that took a lease
//! over from another waits until no order of the former holder can arrive any more.

use super::announcements;
use super::channel;
use super::event::{Announcement, Answer, Call, LEASE_KEY_PREFIX, PlacerEvent};
use super::journal::Journal;
use super::tasks;
use crate::common::*;
use crate::decide::fleet::{Fleet, Task};
use crate::decide::lease::{Action, Lease, Timing};
use crate::decide::planner;
use crate::decide::quota::Tenure;
use crate::decide::retry::backoff;
use crate::decide::roster::Change;
use crate::decide::tally::Source;
use crate::node::clock::Clock;
use crate::platform::{request, worker};
use crate::wire::generated_gossip::{Gossip, Holding, Lead};
use crate::world::backend::{Backend, Report};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Notice;
use crate::world::order::{Order, Reply};
use crate::world::shard::Shard;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::{Era, Fence, Incarnation};
use hyper::Method;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::sleep;

/// Other instances may take over a lease that was not renewed for this long.
const LEASE_TERM: Duration = Duration::from_secs(2);
/// The holder stops giving orders this long before its term ends.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Tick interval of a holder, which must send orders on time, and of an instance that only waits
/// for a shard to become free.
const HOLDER_TICK: Duration = Duration::from_millis(10);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// A lease row is not read if its holder was announced by gossip within this time.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Interval between reads of a lease row while no holder is announced.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Longest interval between reads, after failures.
const MAX_LEASE_POLL_INTERVAL: Duration = Duration::from_millis(3_200);
/// Interval between a holder's attempts to renew its lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(120);
/// An instance delays its claim to a free shard by this much for each shard that it holds, and
/// for each step of distance from its preferred shard, so that other instances come first.
const CLAIM_DELAY_PER_HELD_SHARD: Duration = Duration::from_millis(600);
const CLAIM_DELAY_PER_DISTANCE: Duration = Duration::from_millis(150);
/// Claims of the instances of a site are spread over this span.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(600);
/// After a start, an instance first listens for this long, and claims are spread more widely:
/// all instances may have started at once.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(600);
const MAX_STARTUP_CLAIM_JITTER: Duration = Duration::from_secs(2);
/// Exponent that skews the spread of claims at startup. Few of hundreds of instances claim
/// early; the others learn of the holder by gossip before they read the row.
const STARTUP_CLAIM_JITTER_EXPONENT: f64 = 0.15;
/// Time-out for a worker's response to an order or a report request.
const WORKER_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which the planner logs the demand for models, and the limit on models in that log
/// line.
const DEMAND_LOG_INTERVAL: Duration = Duration::from_secs(2);
const MAX_LOGGED_MODELS: usize = 6;
/// Interval between announcements of leases, and between announcements of all holdings.
const LEASE_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);
const HOLDINGS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// One shard, from this instance's point of view.
struct ShardState {
    shard: Shard,
    lease: Lease,
    /// No orders are given before this time, since the former holder's may still arrive.
    orders_from: Duration,
    /// Time from which no earlier holder can act, by its own clock.
    acts_from: Duration,
    was_holder: bool,
    /// When another holder was last announced; if none was, when this instance last gained or lost
    /// the lease, or zero.
    holder_heard_at: Duration,
    /// When this instance last began to read or commit the lease row; zero after a read that found
    /// no row, so that the claim follows at once.
    polled_at: Duration,
    /// Whether to reclaim the lease that this instance held before it restarted.
    should_reclaim: bool,
    /// Consecutive failed calls about the lease.
    failed_polls: u32,
    has_pending_call: bool,
}

/// State shared by the placer's tasks.
struct Placer {
    deployment: Arc<Deployment>,
    clock: Clock,
    journal: Journal,
    shards: Vec<ShardState>,
    fleet: Fleet,
    /// Revision of each worker's ledger in the last announcement.
    announced_revisions: BTreeMap<id::Worker, u64>,
    announced_all_at: Duration,
    announced_leases_at: Duration,
    announced_tenures: Vec<Tenure>,
    demand_logged_at: Duration,
    /// Notices from workers since the last announcement.
    notices: Vec<(id::Worker, Incarnation, Notice)>,
    is_stopping: bool,
}

type Shared = Rc<RefCell<Placer>>;

/// Runs the placer until the channel of its events closes.
pub async fn run(
    deployment: Arc<Deployment>,
    clock: Clock,
    incarnation: Incarnation,
    journal: Journal,
    events: flume::Receiver<PlacerEvent>,
    calls: flume::Sender<Call>,
    announcements: flume::Sender<Announcement>,
) {
    let placer = Placer::new(deployment, clock, incarnation, journal);
    let placer = Rc::new(RefCell::new(placer));
    loop {
        let is_holder = placer.borrow().held_count() > 0;
        let poll_interval = if is_holder { HOLDER_TICK } else { IDLE_TICK };
        tokio::select! {
            event = events.recv_async() => match event {
                Ok(event) => on_event(&placer, event, &calls),
                Err(_) => return,
            },
            () = sleep(poll_interval) => {}
        }
        while let Ok(event) = events.try_recv() {
            on_event(&placer, event, &calls);
        }
        let shards = placer.borrow().shards.len();
        (0..shards).for_each(|index| step_lease(&placer, index, &calls));
        let jobs = step_fleet(&placer);
        if let Some(announcement) = placer.borrow_mut().announcement(&jobs)
            && announcements.try_send(announcement).is_err()
        {
            log::warn!(
                "announcement dropped: the channel to the traffic thread is full; it will be repeated"
            );
        }
    }
}

fn on_event(placer: &Shared, event: PlacerEvent, calls: &flume::Sender<Call>) {
    let mut this = placer.borrow_mut();
    match event {
        PlacerEvent::Site(site) => this.fleet.on_site(&site),
        PlacerEvent::Server(change) => this.on_server(change),
        PlacerEvent::Gossip(gossip) => this.on_gossip(&gossip),
        PlacerEvent::Speeds(speeds) => this.fleet.speeds = speeds,
        PlacerEvent::FormerLeases(rows, era) => this.on_former_leases(&rows, era),
        PlacerEvent::Era(era) => {
            for shard_state in &mut this.shards {
                shard_state.lease.on_era(Some(era));
            }
        }
        PlacerEvent::Throttled(worker, boot, until) => this.fleet.on_throttled(worker, boot, until),
        PlacerEvent::Limit(at, worker, boot, rate) => this.fleet.on_limit(at, &worker, boot, rate),
        PlacerEvent::Stop => {
            this.is_stopping = true;
            let now = this.clock.now();
            let this = &mut *this;
            for shard_state in &mut this.shards {
                let ordered = this.fleet.ordered(now, shard_state.shard);
                shard_state.lease.set_ordered(ordered);
            }
            let releases = this
                .shards
                .iter_mut()
                .filter_map(|shard_state| shard_state.lease.resign());
            for txn in releases.collect::<Vec<Txn>>() {
                let (reply, _) = flume::bounded(1);
                if calls.try_send(Call::Commit(txn, reply)).is_err() {
                    log::warn!(
                        "lease not released: the channel to the store thread is full; it will lapse"
                    );
                }
            }
        }
    }
}

impl Placer {
    fn new(
        deployment: Arc<Deployment>,
        clock: Clock,
        incarnation: Incarnation,
        journal: Journal,
    ) -> Self {
        let timing = Timing {
            term: LEASE_TERM,
            margin: LEASE_SAFETY_MARGIN,
        };
        let shards = Shard::all().map(|shard| {
            let key = format!("{LEASE_KEY_PREFIX}{shard}");
            let instance = deployment.instance.clone();
            ShardState {
                shard,
                lease: Lease::new(key, instance, incarnation, timing)
                    .with_fencing(deployment.bounds.fencing_enforced),
                orders_from: Duration::ZERO,
                acts_from: Duration::ZERO,
                was_holder: false,
                holder_heard_at: Duration::ZERO,
                polled_at: Duration::ZERO,
                should_reclaim: false,
                failed_polls: 0,
                has_pending_call: false,
            }
        });
        Self {
            shards: shards.collect(),
            fleet: Fleet::new(&deployment),
            deployment,
            clock,
            journal,
            announced_revisions: BTreeMap::new(),
            announced_all_at: Duration::ZERO,
            announced_leases_at: Duration::ZERO,
            announced_tenures: Vec::new(),
            demand_logged_at: Duration::ZERO,
            notices: Vec::new(),
            is_stopping: false,
        }
    }

    fn on_server(&mut self, change: Change) {
        let now = self.clock.now();
        match change {
            Change::Listed(backend) => {
                let held = self
                    .shard_state(&backend.id)
                    .is_some_and(|shard_state| shard_state.was_holder);
                self.log_difference(&backend);
                let worker = backend.id.clone();
                self.fleet.on_listed(now, backend, held);
                self.log_held_back(now, &worker);
            }
            Change::Unlisted(worker) => self.fleet.on_unlisted(now, &worker),
        }
    }

    /// Logs that a worker gets no orders yet.
    fn log_held_back(&self, now: Duration, worker: &id::Worker) {
        let ledger = self.fleet.ledger(worker);
        if let Some(until) = ledger.and_then(|ledger| ledger.held_back_until(now)) {
            let values = json!({"server": worker, "until_ms": until.as_millis()});
            self.journal.note("orders_held_back", &values);
        }
    }

    /// Logs an entry whose models differ from those that the worker's ledger knows.
    fn log_difference(&self, listed: &Backend) {
        let ledger = self.fleet.ledger(&listed.id);
        let Some(ledger) = ledger.filter(|ledger| ledger.is_known()) else {
            return;
        };
        let known: Vec<&id::Model> = ledger.holdings().keys().collect();
        let models: Vec<&id::Model> = listed.holdings.keys().collect();
        if known != models {
            let values = json!({"server": listed.id, "listed": models, "ledger": ledger});
            self.journal.note("entry_differs", &values);
        }
    }

    fn on_former_leases(&mut self, rows: &[Row], era: Option<Era>) {
        let now = self.clock.now();
        for shard_state in &mut self.shards {
            let key = format!("{LEASE_KEY_PREFIX}{}", shard_state.shard);
            let row = rows.iter().find(|row| row.key == key);
            if let Some(row) = row.filter(|_| shard_state.lease.on_era(era)) {
                shard_state.should_reclaim = shard_state.lease.reclaim(now, row);
            }
        }
    }

    fn shard_state(&self, worker: &id::Worker) -> Option<&ShardState> {
        let shard = Shard::for_worker(worker);
        self.shards
            .iter()
            .find(|shard_state| shard_state.shard == shard)
    }

    fn on_gossip(&mut self, gossip: &Gossip) {
        let now = self.clock.now();
        let Ok(instance) = gossip.instance.parse::<id::Instance>() else {
            return;
        };
        let incarnation = Incarnation(gossip.incarnation);
        let source = Source {
            instance: instance.clone(),
            is_sum: gossip.is_sum,
        };
        for demand in &gossip.demands {
            if let Ok(target) = demand.target.parse() {
                let forecast = &mut self.fleet.token_demand;
                forecast.on_total(now, &source, incarnation, target, demand.tokens);
            }
        }
        for want in &gossip.wants {
            if let (Ok(worker), Ok(target)) = (want.worker.parse(), want.target.parse()) {
                self.fleet.request_adapter(&worker, &target);
            }
        }
        if instance == self.deployment.instance {
            return;
        }
        for lead in &gossip.leads {
            let shards = self.shards.iter_mut();
            for shard_state in shards.filter(|shard_state| shard_state.shard.0 == lead.shard) {
                shard_state.holder_heard_at = now;
                let era = lead.era.map(Era);
                if shard_state.lease.on_era(era) {
                    shard_state.lease.on_advertised(now, era, lead.version);
                }
            }
        }
        for holding in &gossip.holdings {
            if let Some((worker, reported)) = announcements::decode_holding(holding, incarnation.0)
            {
                self.fleet.on_snapshot(now, worker, reported);
            }
        }
        for job in gossip.jobs.iter().filter_map(announcements::decode_job) {
            let begun = self.fleet.on_job(now, &job);
            let values = json!({"job": job, "planner": instance, "begun": begun});
            self.journal.note("job", &values);
        }
    }

    /// Returns the fencing token for orders to a worker, if it may be given orders now.
    fn fence(&self, worker: &id::Worker) -> Option<Fence> {
        self.shard_state(worker)?
            .fence(self.clock.now(), self.is_stopping)
    }

    /// Updates and logs whether this instance holds a shard's lease.
    fn update_holder(&mut self, index: usize) {
        let now = self.clock.now();
        let lease = self.deployment.bounds.lease;
        let shard_state = &mut self.shards[index];
        let lease_state = &shard_state.lease;
        let is_holder = lease_state.fence(now).is_some()
            || (shard_state.was_holder && lease_state.may_prove(now));
        if is_holder == shard_state.was_holder {
            return;
        }
        shard_state.was_holder = is_holder;
        shard_state.holder_heard_at = now;
        if is_holder {
            let former_holder = shard_state.lease.previous_holder();
            shard_state.acts_from = former_holder.map_or(now, |(_, until)| now.max(until));
            shard_state.orders_from =
                former_holder.map_or(now, |(_, until)| now.max(until + lease));
            self.fleet.on_shard_gained(
                now,
                shard_state.acts_from,
                shard_state.orders_from,
                shard_state.shard,
                &shard_state.lease.take_previously_ordered(),
            );
        } else {
            self.fleet.on_shard_lost(now, shard_state.shard);
        }
        let values = json!({
            "shard": shard_state.shard,
            "holder": is_holder,
            "version": shard_state.lease.version(),
            "fence": shard_state.lease.fence(now),
            "orders_from_ms": shard_state.orders_from.as_millis(),
        });
        self.journal.note("lease", &values);
    }

    /// Logs the demand for models if `DEMAND_LOG_INTERVAL` has passed.
    fn log_demand(&mut self, now: Duration) {
        if now >= self.demand_logged_at + DEMAND_LOG_INTERVAL {
            self.demand_logged_at = now;
            let model_coverage = self.fleet.coverage(MAX_LOGGED_MODELS);
            self.journal.note("demand", &json!(model_coverage));
        }
    }

    fn held_count(&self) -> u32 {
        let held = self
            .shards
            .iter()
            .filter(|shard_state| shard_state.was_holder);
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Whether this instance plans placement: it holds the lowest-numbered shard that has a holder.
    fn is_planner(&self, now: Duration) -> bool {
        let mut held = self.shards.iter();
        let held = held.find(|shard_state| {
            shard_state.was_holder || now < shard_state.holder_heard_at + HOLDER_TIMEOUT
        });
        held.is_some_and(|shard_state| shard_state.was_holder)
    }

    fn build_order(
        &self,
        worker: id::Worker,
        action: crate::world::order::Action,
        expected: u64,
    ) -> Option<Order> {
        Some(Order {
            boot: self.fleet.ledger(&worker)?.backend.boot,
            fence: self.fence(&worker)?,
            worker,
            action,
            expected,
            holder: self.deployment.instance.clone(),
        })
    }

    /// Returns the address and incarnation of a worker in a shard that this instance holds.
    fn address_and_boot(&self, worker: &id::Worker) -> Option<(SocketAddr, Incarnation)> {
        let backend = &self.fleet.ledger(worker)?.backend;
        Some((backend.address, backend.boot))
    }

    /// Builds an announcement of the holdings that have changed, or of all at an interval; none if
    /// there is nothing to announce.
    fn announcement(&mut self, jobs: &[planner::Job]) -> Option<Announcement> {
        let now = self.clock.now();
        if now >= self.announced_all_at + HOLDINGS_REFRESH_INTERVAL {
            self.announced_all_at = now;
            self.announced_revisions.clear();
        }
        let tenures = self.tenures(now);
        let has_new_tenures = tenures != self.announced_tenures;
        let announced = &self.announced_tenures;
        let is_known = |tenure: &Tenure| {
            let mut known = announced.iter().filter(|it| it.shard == tenure.shard);
            known.any(|it| it.fence == tenure.fence)
        };
        let announces_leases = now >= self.announced_leases_at + LEASE_ANNOUNCEMENT_INTERVAL
            || !tenures.iter().all(is_known);
        self.announced_tenures.clone_from(&tenures);
        if announces_leases {
            self.announced_leases_at = now;
        }
        let holdings = self.holdings(now);
        let notices = std::mem::take(&mut self.notices);
        let is_for_peers =
            announces_leases || !(holdings.is_empty() && jobs.is_empty() && notices.is_empty());
        if !is_for_peers && !has_new_tenures {
            return None;
        }
        let shards = self.shards.iter().filter(|_| is_for_peers);
        let leads = shards.filter_map(|shard_state| {
            let version = shard_state.lease.version()?;
            Some(Lead {
                shard: shard_state.shard.0,
                version: version.number,
                era: version.era.map(|era| era.0),
                fence: shard_state.lease.fence(now)?.0,
                grants_quotas: true,
            })
        });
        let announcement = Announcement {
            leads: leads.collect(),
            holdings,
            jobs: jobs.iter().map(announcements::encode_job).collect(),
            notices,
            tenures,
        };
        let is_empty = announcement.leads.is_empty()
            && announcement.holdings.is_empty()
            && announcement.jobs.is_empty()
            && announcement.notices.is_empty()
            && !has_new_tenures;
        (!is_empty).then_some(announcement)
    }

    /// Returns the times in which this instance may act as holder of its shards.
    fn tenures(&self, now: Duration) -> Vec<Tenure> {
        let shards = self.shards.iter().filter(|_| !self.is_stopping);
        let tenures = shards.filter_map(|shard_state| {
            Some(Tenure {
                shard: shard_state.shard,
                fence: shard_state.lease.fence(now)?,
                from: shard_state.acts_from,
                until: shard_state.lease.acts_until(now)?,
            })
        });
        tenures.collect()
    }

    fn holdings(&mut self, now: Duration) -> Vec<Holding> {
        let mut announced = std::mem::take(&mut self.announced_revisions);
        let mut holdings = Vec::new();
        for (worker, ledger) in self.fleet.ledgers() {
            let shard_state = self.shard_state(worker);
            let fence =
                shard_state.and_then(|shard_state| shard_state.fence(now, self.is_stopping));
            let Some(fence) = fence.filter(|_| ledger.is_known()) else {
                continue;
            };
            if announced.get(worker) != Some(&ledger.revision) {
                announced.insert(worker.clone(), ledger.revision);
                holdings.push(announcements::encode_holding(worker, ledger, fence));
            }
        }
        self.announced_revisions = announced;
        holdings
    }
}

impl ShardState {
    fn fence(&self, now: Duration, is_stopping: bool) -> Option<Fence> {
        let fence = self.lease.fence(now)?;
        (now >= self.orders_from && !is_stopping).then_some(fence)
    }

    /// Returns the interval between reads of the lease row.
    fn poll_interval(&self) -> Duration {
        backoff(
            LEASE_POLL_INTERVAL,
            self.failed_polls,
            MAX_LEASE_POLL_INTERVAL,
            1.0,
        )
    }

    /// Returns how long this instance waits before it claims a free shard.
    fn claim_delay(&self, deployment: &Deployment, held_count: u32) -> Duration {
        MAX_CLAIM_JITTER.mul_f64(deployment.spread())
            + CLAIM_DELAY_PER_HELD_SHARD * held_count
            + CLAIM_DELAY_PER_DISTANCE * self.shard.distance_from_preferred(&deployment.instance)
    }
}

fn step_lease(placer: &Shared, index: usize, calls: &flume::Sender<Call>) {
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.update_holder(index);
    let (is_stopping, held_count) = (this.is_stopping, this.held_count());
    let deployment = Arc::clone(&this.deployment);
    let mut open = this
        .shards
        .iter()
        .filter(|shard_state| !shard_state.was_holder);
    let is_claiming_another = open.any(|shard_state| shard_state.has_pending_call);
    let this = &mut *this;
    let shard_state = &mut this.shards[index];
    let is_open = now
        >= shard_state.holder_heard_at
            + HOLDER_TIMEOUT
            + shard_state.claim_delay(&deployment, held_count);
    let first_claim_at = STARTUP_LISTEN_TIME
        + MAX_STARTUP_CLAIM_JITTER.mul_f64(deployment.spread().powf(STARTUP_CLAIM_JITTER_EXPONENT));
    let is_startup_claim = shard_state.holder_heard_at == Duration::ZERO
        && now >= first_claim_at + shard_state.claim_delay(&deployment, held_count);
    let may_claim = (is_open || is_startup_claim) && !is_claiming_another;
    let should_poll = shard_state.should_reclaim
        || (may_claim && now >= shard_state.polled_at + shard_state.poll_interval());
    let should_renew = (shard_state.was_holder || shard_state.lease.may_prove(now))
        && now >= shard_state.polled_at + LEASE_RENEWAL_INTERVAL;
    if shard_state.has_pending_call || is_stopping || !(should_renew || should_poll) {
        return;
    }
    shard_state.polled_at = now;
    shard_state.should_reclaim = false;
    let ordered = this.fleet.ordered(now, shard_state.shard);
    shard_state.lease.set_ordered(ordered);
    match shard_state.lease.tick(now) {
        Action::Wait => {}
        Action::Read => {
            let key = format!("{LEASE_KEY_PREFIX}{}", shard_state.shard);
            let (reply, answer) = flume::bounded(1);
            shard_state.has_pending_call = calls.try_send(Call::Read(key, reply)).is_ok();
            tasks::require("lease", on_lease_read(Rc::clone(placer), index, answer));
        }
        Action::Commit(txn) => {
            let (reply, answer) = flume::bounded(1);
            shard_state.has_pending_call = calls.try_send(Call::Commit(txn, reply)).is_ok();
            tasks::require("lease", on_lease_commit(Rc::clone(placer), index, answer));
        }
    }
}

async fn on_lease_read(placer: Shared, index: usize, answer: flume::Receiver<Answer<Option<Row>>>) {
    let answer = answer.recv_async().await;
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    let shard_state = &mut this.shards[index];
    shard_state.has_pending_call = false;
    shard_state.failed_polls += 1;
    if let Ok(Answer {
        era,
        result: Ok(row),
    }) = answer
    {
        shard_state.failed_polls = 0;
        if shard_state.lease.on_era(era) {
            shard_state.lease.on_read(now, row.as_ref());
        }
        if shard_state.lease.is_vacant() {
            shard_state.polled_at = Duration::ZERO;
        }
    }
}

async fn on_lease_commit(placer: Shared, index: usize, answer: flume::Receiver<Answer<Commit>>) {
    let answer = answer.recv_async().await;
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    let shard_state = &mut this.shards[index];
    shard_state.has_pending_call = false;
    let answer = answer.unwrap_or_else(|_| Answer::failed(Failure::Lost));
    shard_state.failed_polls = if answer.result.is_ok() {
        0
    } else {
        shard_state.failed_polls + 1
    };
    let is_current = shard_state.lease.on_era(answer.era);
    let result = answer.result.and_then(|commit| {
        let current = is_current.then_some(commit);
        current.ok_or(Failure::Lost)
    });
    shard_state.lease.on_commit(now, result);
    this.update_holder(index);
}

/// Plans placement if this instance is the planner, and starts all tasks that are due. Returns
/// the jobs for workers of other holders.
fn step_fleet(placer: &Shared) -> Vec<planner::Job> {
    let mut this = placer.borrow_mut();
    let this = &mut *this;
    let now = this.clock.now();
    this.fleet.token_demand.tick(now);
    let jobs = if this.is_planner(now) && !this.is_stopping {
        this.log_demand(now);
        this.fleet.plan(now)
    } else {
        Vec::new()
    };
    for job in &jobs {
        this.journal.note("place", &json!(job));
    }
    let (shards, is_stopping) = (&this.shards, this.is_stopping);
    let may_order = |shard| {
        let mut shard_state = shards
            .iter()
            .filter(|shard_state| shard_state.shard == shard);
        shard_state.any(|shard_state| shard_state.fence(now, is_stopping).is_some())
    };
    for task in this.fleet.due_tasks(now, may_order) {
        start_task(placer, this, task);
    }
    let fleet = &this.fleet;
    jobs.into_iter()
        .filter(|job| fleet.ledger(&job.worker).is_none())
        .collect()
}

fn start_task(placer: &Shared, this: &Placer, task: Task) {
    match task {
        Task::RequestReport { worker } => {
            tasks::require("report", request_report(Rc::clone(placer), worker));
        }
        Task::Order {
            worker,
            action,
            expected,
        } => {
            if let Some(order) = this.build_order(worker, action, expected) {
                tasks::require("order", send_order(Rc::clone(placer), order));
            }
        }
    }
}

async fn send_order(placer: Shared, order: Order) {
    let Some((address, _)) = placer.borrow().address_and_boot(&order.worker) else {
        return;
    };
    let body = worker::encode_order(&order);
    let mut call = channel::build_request(Method::POST, address, worker::ORDER_PATH, body);
    request::set_expected_worker(call.headers_mut(), &order.worker);
    let reply = deliver_order(&placer, &order, address, call).await;
    let mut this = placer.borrow_mut();
    let values = json!({"order": order, "reply": reply});
    this.journal.note("order", &values);
    let now = this.clock.now();
    this.fleet.on_reply(now, &order, reply);
}

/// Sends an order if the lease is still held once the connection is open.
async fn deliver_order(
    placer: &Shared,
    order: &Order,
    address: SocketAddr,
    call: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Reply {
    let Ok(mut connection) = channel::connect(address).await else {
        return Reply::Refused;
    };
    if placer.borrow().fence(&order.worker).is_none() {
        return Reply::Refused;
    }
    let answer = tokio::time::timeout(WORKER_TIMEOUT, connection.call(call)).await;
    match answer {
        Ok(Ok(reply)) => {
            record_notice(placer, &order.worker, order.boot, &reply);
            worker::decode_reply(reply.status.as_u16())
        }
        Ok(Err(error)) => {
            log::info!("an order got no response: {error}");
            Reply::Unknown
        }
        Err(_) => Reply::Unknown,
    }
}

/// Queues the notice in a worker's response for the traffic thread.
fn record_notice(placer: &Shared, worker: &id::Worker, boot: Incarnation, reply: &channel::Reply) {
    let notice = request::decode_notice(reply.status, &reply.headers);
    if notice != Notice::default() {
        let mut this = placer.borrow_mut();
        this.notices.push((worker.clone(), boot, notice));
    }
}

async fn request_report(placer: Shared, id: id::Worker) {
    let Some((address, boot)) = placer.borrow().address_and_boot(&id) else {
        return;
    };
    let mut call = channel::build_request(Method::GET, address, worker::REPORT_PATH, Vec::new());
    request::set_expected_worker(call.headers_mut(), &id);
    let reply = channel::call_once(address, call, WORKER_TIMEOUT).await;
    if let Ok(reply) = &reply {
        record_notice(&placer, &id, boot, reply);
    }
    let report: Option<Report> = reply
        .and_then(|reply| reply.require_ok("a worker's report"))
        .and_then(|body| worker::decode_report(&body))
        .inspect_err(|error| log::info!("fetching a worker's report failed: {error}"))
        .ok();
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.fleet.on_report(now, &id, report);
}
