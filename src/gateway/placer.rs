//! The duty "placer": holds shards of the workers, or stands by; has models and adapters loaded.
//!
//! A lease is looked at right before each order of its shard. A holder that took a lease from
//! another instance waits until no order of that one can come any more.

use super::channel;
use super::event::{Call, Heard, LEASE, Word};
use super::journal::Journal;
use super::words;
use crate::common::*;
use crate::decide::arrange;
use crate::decide::fleet::{Fleet, Task};
use crate::decide::lease::{Action, Lease, Timing};
use crate::decide::retry::backoff;
use crate::decide::roster::Change;
use crate::decide::tally::Source;
use crate::node::clock::Clock;
use crate::platform::{request, worker};
use crate::wire::generated_gossip::{Gossip, Holding, Lead};
use crate::world::backend::Report;
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Notice;
use crate::world::order::{Order, Reply};
use crate::world::shard::Shard;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::{Fence, Incarnation};
use hyper::Method;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Others may take a lease over that stood unchanged this long.
const TERM: Duration = Duration::from_secs(2);
/// The holder stops this much before the end of its term.
const MARGIN: Duration = Duration::from_millis(500);
/// Longest time between looks at what is to be done: at a holder, whose orders are due to the millisecond,
/// and at others, who only wait for a shard to become free.
const TICK: Duration = Duration::from_millis(10);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// A holder that was heard of within this time needs no look at its row.
const HEARD: Duration = Duration::from_millis(1_100);
/// Time between looks at the row while nobody is heard to hold it.
const LOOK: Duration = Duration::from_millis(400);
/// The longest such time, after looks that failed.
const LONGEST_LOOK: Duration = Duration::from_millis(3_200);
/// Time between a holder's tries to renew its lease.
const RENEW_AGAIN: Duration = Duration::from_millis(120);
/// An instance that holds a shard leaves an open one to others for this long; one that prefers
/// other shards does so for each step of its preference.
const LEAVE: Duration = Duration::from_millis(600);
const PREFERENCE: Duration = Duration::from_millis(150);
/// Span over which the instances of a site take turns at an open shard.
const TURNS: Duration = Duration::from_millis(600);
/// After a start, others are listened for this long, and the turns are longer: all instances may
/// have started together.
const START: Duration = Duration::from_millis(600);
const FIRST_TURNS: Duration = Duration::from_secs(2);
/// Power of the draw for the first turn. Few of hundreds of instances have an early one: the others hear of
/// the holder before they look at the row.
const FIRST_TURN_POWER: f64 = 0.15;
/// Longest time for a worker's answer to an order or a question.
const ANSWER: Duration = Duration::from_millis(700);
/// How often the planner notes what it sees, and of how many models.
const NOTE: Duration = Duration::from_secs(2);
const NOTED: usize = 6;
/// How often leases are told, and everything that workers hold is told again.
const TELL_LEADS: Duration = Duration::from_millis(400);
const TELL_AGAIN: Duration = Duration::from_secs(2);

/// One shard, as this instance sees it.
struct Part {
    shard: Shard,
    lease: Lease,
    /// No order before this time: those of the holder before may still come.
    orders_from: Duration,
    was_holder: bool,
    /// When another holder was last heard of, or the time from which one was missed.
    heard: Duration,
    looked_at: Duration,
    /// Whether to take the lease back that an earlier start of this instance held.
    reclaims: bool,
    /// Looks that failed one after the other.
    failed_looks: u32,
    in_call: bool,
}

/// What the tasks of this duty share.
struct Placer {
    deployment: Arc<Deployment>,
    clock: Clock,
    journal: Journal,
    parts: Vec<Part>,
    fleet: Fleet,
    told: BTreeMap<id::Worker, u64>,
    told_all_at: Duration,
    told_leads_at: Duration,
    noted_at: Duration,
    /// What workers said of themselves since the last word.
    notices: Vec<(id::Worker, Incarnation, Notice)>,
    is_stopping: bool,
}

type Shared = Rc<RefCell<Placer>>;

/// Runs the duty until the ring of news closes.
pub async fn run(
    deployment: Arc<Deployment>,
    clock: Clock,
    incarnation: Incarnation,
    journal: Journal,
    heard: flume::Receiver<Heard>,
    calls: flume::Sender<Call>,
    words: flume::Sender<Word>,
) {
    let placer = Placer::new(deployment, clock, incarnation, journal);
    let placer = Rc::new(RefCell::new(placer));
    loop {
        let is_holder = placer.borrow().held_count() > 0;
        let pause = if is_holder { TICK } else { IDLE_TICK };
        tokio::select! {
            event = heard.recv_async() => match event {
                Ok(event) => on_heard(&placer, event, &calls),
                Err(_) => return,
            },
            () = sleep(pause) => {}
        }
        while let Ok(event) = heard.try_recv() {
            on_heard(&placer, event, &calls);
        }
        let parts = placer.borrow().parts.len();
        (0..parts).for_each(|index| step_lease(&placer, index, &calls));
        let jobs = step_fleet(&placer);
        if let Some(word) = placer.borrow_mut().word(&jobs)
            && words.try_send(word).is_err()
        {
            log::warn!("a full ring drops what workers hold; it is told again");
        }
    }
}

fn on_heard(placer: &Shared, event: Heard, calls: &flume::Sender<Call>) {
    let mut this = placer.borrow_mut();
    match event {
        Heard::Site(site) => this.fleet.on_site(&site),
        Heard::Server(change) => this.on_server(change),
        Heard::Gossip(gossip) => this.on_gossip(&gossip),
        Heard::Speeds(speeds) => this.fleet.speeds = speeds,
        Heard::Former(rows) => this.on_former(&rows),
        Heard::Rest(worker, boot, until) => this.fleet.on_rest(worker, boot, until),
        Heard::Limit(at, worker, boot, rate) => this.fleet.on_limit(at, &worker, boot, rate),
        Heard::Stop => {
            this.is_stopping = true;
            let resigned = this.parts.iter_mut().filter_map(|part| part.lease.resign());
            for txn in resigned.collect::<Vec<Txn>>() {
                let (reply, _) = flume::bounded(1);
                if calls.try_send(Call::Commit(txn, reply)).is_err() {
                    log::warn!("a lease lapses: the ring to the store is full");
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
            term: TERM,
            margin: MARGIN,
        };
        let parts = Shard::all().map(|shard| {
            let key = format!("{LEASE}{shard}");
            let instance = deployment.instance.clone();
            Part {
                shard,
                lease: Lease::new(key, instance, incarnation, timing),
                orders_from: Duration::ZERO,
                was_holder: false,
                heard: Duration::ZERO,
                looked_at: Duration::ZERO,
                reclaims: false,
                failed_looks: 0,
                in_call: false,
            }
        });
        Self {
            parts: parts.collect(),
            fleet: Fleet::new(&deployment),
            deployment,
            clock,
            journal,
            told: BTreeMap::new(),
            told_all_at: Duration::ZERO,
            told_leads_at: Duration::ZERO,
            noted_at: Duration::ZERO,
            notices: Vec::new(),
            is_stopping: false,
        }
    }

    fn on_server(&mut self, change: Change) {
        let now = self.clock.now();
        match change {
            Change::Listed(backend) => {
                let held = self.part(&backend.id).is_some_and(|part| part.was_holder);
                self.fleet.on_listed(now, backend, held);
            }
            Change::Unlisted(worker) => self.fleet.on_unlisted(&worker),
        }
    }

    fn on_former(&mut self, rows: &[Row]) {
        let now = self.clock.now();
        for part in &mut self.parts {
            let key = format!("{LEASE}{}", part.shard);
            if let Some(row) = rows.iter().find(|row| row.key == key) {
                part.reclaims = part.lease.reclaim(now, row);
            }
        }
    }

    fn part(&self, worker: &id::Worker) -> Option<&Part> {
        let shard = Shard::for_worker(worker);
        self.parts.iter().find(|part| part.shard == shard)
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
                let appetite = &mut self.fleet.appetite;
                appetite.on_told(now, &source, incarnation, target, demand.tokens);
            }
        }
        for want in &gossip.wants {
            if let (Ok(worker), Ok(target)) = (want.worker.parse(), want.target.parse()) {
                self.fleet.on_want(&worker, &target);
            }
        }
        if instance == self.deployment.instance {
            return;
        }
        for lead in &gossip.leads {
            let parts = self.parts.iter_mut();
            for part in parts.filter(|part| part.shard.0 == lead.shard) {
                part.heard = now;
                part.lease.on_heard(now, lead.version);
            }
        }
        for holding in &gossip.holdings {
            if let Some((worker, told)) = words::decode_holding(holding) {
                self.fleet.on_told(now, worker, told);
            }
        }
        for job in gossip.jobs.iter().filter_map(words::decode_job) {
            let begun = self.fleet.on_job(now, &job);
            let values = json!({"job": job, "planner": instance, "begun": begun});
            self.journal.note("job", &values);
        }
    }

    /// The fence under which a worker may be given orders now.
    fn fence(&self, worker: &id::Worker) -> Option<Fence> {
        self.part(worker)?.fence(self.clock.now(), self.is_stopping)
    }

    /// Notes leases that were gained or lost.
    fn check_holder(&mut self, index: usize) {
        let now = self.clock.now();
        let lease = self.deployment.bounds.lease;
        let part = &mut self.parts[index];
        let is_holder = part.lease.fence(now).is_some();
        if is_holder == part.was_holder {
            return;
        }
        part.was_holder = is_holder;
        part.heard = now;
        if is_holder {
            let before = part.lease.taken_from();
            part.orders_from = before.map_or(now, |(_, until)| now.max(until + lease));
            self.fleet.on_gained(part.orders_from, part.shard);
        } else {
            self.fleet.on_lost(part.shard);
        }
        let values = json!({
            "shard": part.shard,
            "holder": is_holder,
            "version": part.lease.version(),
            "orders_from_ms": part.orders_from.as_millis(),
        });
        self.journal.note("lease", &values);
    }

    /// Notes what the planner sees, once in a while.
    fn note_standings(&mut self, now: Duration) {
        if now >= self.noted_at + NOTE {
            self.noted_at = now;
            let standings = self.fleet.standings(NOTED);
            self.journal.note("demand", &json!(standings));
        }
    }

    fn held_count(&self) -> u32 {
        let held = self.parts.iter().filter(|part| part.was_holder);
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Whether this instance plans: it holds the first shard of those that are held.
    fn is_planner(&self, now: Duration) -> bool {
        let mut held = self.parts.iter();
        let held = held.find(|part| part.was_holder || now < part.heard + HEARD);
        held.is_some_and(|part| part.was_holder)
    }

    fn order(
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

    /// Address and start of a worker that is held here.
    fn start_of(&self, worker: &id::Worker) -> Option<(SocketAddr, Incarnation)> {
        let backend = &self.fleet.ledger(worker)?.backend;
        Some((backend.address, backend.boot))
    }

    /// What has changed since the last word, or everything once in a while.
    fn word(&mut self, jobs: &[arrange::Job]) -> Option<Word> {
        let now = self.clock.now();
        if now >= self.told_all_at + TELL_AGAIN {
            self.told_all_at = now;
            self.told.clear();
        }
        let again = now >= self.told_leads_at + TELL_LEADS;
        if again {
            self.told_leads_at = now;
        }
        let holdings = self.holdings(now);
        let notices = std::mem::take(&mut self.notices);
        if !again && holdings.is_empty() && jobs.is_empty() && notices.is_empty() {
            return None;
        }
        let leads = self.parts.iter().filter_map(|part| {
            Some(Lead {
                shard: part.shard.0,
                version: part.lease.version()?,
                fence: part.lease.fence(now)?.0,
            })
        });
        let word = Word {
            leads: leads.collect(),
            holdings,
            jobs: jobs.iter().map(words::encode_job).collect(),
            notices,
        };
        let is_empty = word.leads.is_empty()
            && word.holdings.is_empty()
            && word.jobs.is_empty()
            && word.notices.is_empty();
        (!is_empty).then_some(word)
    }

    fn holdings(&mut self, now: Duration) -> Vec<Holding> {
        let mut told = std::mem::take(&mut self.told);
        let mut holdings = Vec::new();
        for (worker, ledger) in self.fleet.ledgers() {
            let part = self.part(worker);
            let fence = part.and_then(|part| part.fence(now, self.is_stopping));
            let Some(fence) = fence.filter(|_| ledger.is_known()) else {
                continue;
            };
            if told.get(worker) != Some(&ledger.revision) {
                told.insert(worker.clone(), ledger.revision);
                holdings.push(words::encode_holding(worker, ledger, fence));
            }
        }
        self.told = told;
        holdings
    }
}

impl Part {
    fn fence(&self, now: Duration, is_stopping: bool) -> Option<Fence> {
        let fence = self.lease.fence(now)?;
        (now >= self.orders_from && !is_stopping).then_some(fence)
    }

    /// Time between looks at the row.
    fn pause(&self) -> Duration {
        backoff(LOOK, self.failed_looks, LONGEST_LOOK, 1.0)
    }

    /// How long this instance leaves the shard to others once it is open.
    fn patience(&self, instance: &id::Instance, held_count: u32) -> Duration {
        turn(instance, TURNS)
            + LEAVE * held_count
            + PREFERENCE * self.shard.distance_from_preferred(instance)
    }
}

/// When the turn of an instance comes within a span.
fn turn(instance: &id::Instance, span: Duration) -> Duration {
    span.mul_f64(draw(instance))
}

/// A number in `0..=1` that follows from an instance's name.
fn draw(instance: &id::Instance) -> f64 {
    let hash = xxh3_64(instance.as_str().as_bytes()) >> 32;
    f64::from(u32::try_from(hash).unwrap_or(0)) / f64::from(u32::MAX)
}

fn step_lease(placer: &Shared, index: usize, calls: &flume::Sender<Call>) {
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.check_holder(index);
    let (is_stopping, held_count) = (this.is_stopping, this.held_count());
    let instance = this.deployment.instance.clone();
    let mut open = this.parts.iter().filter(|part| !part.was_holder);
    let takes_another = open.any(|part| part.in_call);
    let part = &mut this.parts[index];
    let is_open = now >= part.heard + HEARD + part.patience(&instance, held_count);
    let first_turn = START + FIRST_TURNS.mul_f64(draw(&instance).powf(FIRST_TURN_POWER));
    let is_first =
        part.heard == Duration::ZERO && now >= first_turn + part.patience(&instance, held_count);
    let is_turn = (is_open || is_first) && !takes_another;
    let looks = part.reclaims || (is_turn && now >= part.looked_at + part.pause());
    let renews = part.was_holder && now >= part.looked_at + RENEW_AGAIN;
    if part.in_call || is_stopping || !(renews || looks) {
        return;
    }
    part.looked_at = now;
    part.reclaims = false;
    match part.lease.tick(now) {
        Action::Wait => {}
        Action::Read => {
            let key = format!("{LEASE}{}", part.shard);
            let (reply, answer) = flume::bounded(1);
            part.in_call = calls.try_send(Call::Read(key, reply)).is_ok();
            drop(this);
            tokio::task::spawn_local(take_read(Rc::clone(placer), index, answer));
        }
        Action::Commit(txn) => {
            let (reply, answer) = flume::bounded(1);
            part.in_call = calls.try_send(Call::Commit(txn, reply)).is_ok();
            drop(this);
            tokio::task::spawn_local(take_commit(Rc::clone(placer), index, answer));
        }
    }
}

async fn take_read(
    placer: Shared,
    index: usize,
    answer: flume::Receiver<Result<Option<Row>, Failure>>,
) {
    let answer = answer.recv_async().await;
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    let part = &mut this.parts[index];
    part.in_call = false;
    part.failed_looks += 1;
    if let Ok(Ok(row)) = answer {
        part.failed_looks = 0;
        part.lease.on_read(now, row.as_ref());
        if row.is_none() {
            part.looked_at = Duration::ZERO;
        }
    }
}

async fn take_commit(
    placer: Shared,
    index: usize,
    answer: flume::Receiver<Result<Commit, Failure>>,
) {
    let answer = answer.recv_async().await;
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    let part = &mut this.parts[index];
    part.in_call = false;
    let answer = answer.unwrap_or(Err(Failure::Lost));
    part.failed_looks = if answer.is_ok() {
        0
    } else {
        part.failed_looks + 1
    };
    part.lease.on_commit(now, answer);
    this.check_holder(index);
}

/// Has everything done that is due; the jobs are for other holders.
fn step_fleet(placer: &Shared) -> Vec<arrange::Job> {
    let mut this = placer.borrow_mut();
    let this = &mut *this;
    let now = this.clock.now();
    this.fleet.appetite.tick(now);
    let jobs = if this.is_planner(now) && !this.is_stopping {
        this.note_standings(now);
        this.fleet.plan(now)
    } else {
        Vec::new()
    };
    for job in &jobs {
        this.journal.note("place", &json!(job));
    }
    let (parts, is_stopping) = (&this.parts, this.is_stopping);
    let may_order = |shard| {
        let mut part = parts.iter().filter(|part| part.shard == shard);
        part.any(|part| part.fence(now, is_stopping).is_some())
    };
    for task in this.fleet.steps(now, may_order) {
        begin(placer, this, task);
    }
    let fleet = &this.fleet;
    jobs.into_iter()
        .filter(|job| fleet.ledger(&job.worker).is_none())
        .collect()
}

fn begin(placer: &Shared, this: &Placer, task: Task) {
    match task {
        Task::Ask { worker } => {
            tokio::task::spawn_local(ask(Rc::clone(placer), worker));
        }
        Task::Order {
            worker,
            action,
            expected,
        } => {
            if let Some(order) = this.order(worker, action, expected) {
                tokio::task::spawn_local(send(Rc::clone(placer), order));
            }
        }
    }
}

async fn send(placer: Shared, order: Order) {
    let Some((address, _)) = placer.borrow().start_of(&order.worker) else {
        return;
    };
    let body = worker::encode_order(&order);
    let mut call = channel::request(Method::POST, address, worker::ORDER_PATH, body);
    request::set_expected_worker(call.headers_mut(), &order.worker);
    let reply = give(&placer, &order, address, call).await;
    let mut this = placer.borrow_mut();
    let values = json!({"order": order, "reply": reply});
    this.journal.note("order", &values);
    let now = this.clock.now();
    let ledger = this.fleet.ledger(&order.worker);
    if ledger.is_some_and(|ledger| ledger.backend.boot == order.boot) {
        this.fleet.on_reply(now, &order.worker, reply);
    }
}

/// Sends an order if the lease still holds once the connection is open.
async fn give(
    placer: &Shared,
    order: &Order,
    address: SocketAddr,
    call: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Reply {
    let Ok(mut opened) = channel::connect(address).await else {
        return Reply::Refused;
    };
    if placer.borrow().fence(&order.worker).is_none() {
        return Reply::Refused;
    }
    let answer = tokio::time::timeout(ANSWER, opened.call(call)).await;
    match answer {
        Ok(Ok(reply)) => {
            take_notice(placer, &order.worker, order.boot, &reply);
            worker::decode_reply(reply.status.as_u16())
        }
        Ok(Err(error)) => {
            log::info!("an order got no answer: {error}");
            Reply::Unknown
        }
        Err(_) => Reply::Unknown,
    }
}

/// Keeps what an answer says about its worker, for the duty of traffic.
fn take_notice(placer: &Shared, worker: &id::Worker, boot: Incarnation, reply: &channel::Reply) {
    let notice = request::decode_notice(reply.status, &reply.headers);
    if notice != Notice::default() {
        let mut this = placer.borrow_mut();
        this.notices.push((worker.clone(), boot, notice));
    }
}

async fn ask(placer: Shared, id: id::Worker) {
    let Some((address, boot)) = placer.borrow().start_of(&id) else {
        return;
    };
    let mut call = channel::request(Method::GET, address, worker::REPORT_PATH, Vec::new());
    request::set_expected_worker(call.headers_mut(), &id);
    let reply = channel::once(address, call, ANSWER).await;
    if let Ok(reply) = &reply {
        take_notice(&placer, &id, boot, reply);
    }
    let report: Option<Report> = reply
        .and_then(|reply| worker::decode_report(&reply.body))
        .inspect_err(|error| log::info!("no report: {error}"))
        .ok();
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.fleet.on_report(now, &id, report);
}
