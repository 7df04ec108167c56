//! The duty "placer": holds the lease, or stands by; has models and adapters loaded.
//!
//! The lease is looked at right before each order. A holder that took the lease from another
//! instance waits until no order of that one can come any more.

use super::channel;
use super::event::{Call, Heard, News, RETURNS, Word};
use crate::common::*;
use crate::decide::fleet::{Fleet, Task};
use crate::decide::lease::{Action, Lease, Timing};
use crate::node::clock::Clock;
use crate::platform::{request, worker};
use super::journal::Journal;
use crate::wire::generated_gossip::{Gossip, Held, Holding, Lead};
use crate::world::backend::Report;
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::order::{Order, Reply};
use crate::world::table::{Commit, Failure, Row};
use crate::world::unit::{Fence, Incarnation};
use hyper::Method;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::{MissedTickBehavior, interval};

/// Row of the lease.
const LEASE: &str = "lease.placement";
/// Others may take a lease over that stood unchanged this long.
const TERM: Duration = Duration::from_millis(2_000);
/// The holder stops this much before the end of its term.
const MARGIN: Duration = Duration::from_millis(500);
/// Time between looks at what is to be done.
const TICK: Duration = Duration::from_millis(10);
/// A holder that was heard of within this time needs no look at its row.
const HEARD: Duration = Duration::from_millis(1_200);
/// Time between looks at the row while nobody is heard to hold it.
const LOOK: Duration = Duration::from_millis(400);
/// Longest time for a worker's answer to an order or a question.
const ANSWER: Duration = Duration::from_millis(700);
/// How often everything that workers hold is told again.
const TELL_AGAIN: Duration = Duration::from_millis(1_000);

/// What the tasks of this duty share.
struct Placer {
    deployment: Arc<Deployment>,
    clock: Clock,
    journal: Journal,
    lease: Lease,
    fleet: Fleet,
    /// No order before this time: those of the holder before may still come.
    orders_from: Duration,
    was_holder: bool,
    heard_holder: Option<Duration>,
    looked_at: Duration,
    in_call: bool,
    told: BTreeMap<id::Worker, u64>,
    told_all_at: Duration,
    /// Entries that vanished while the store was disturbed: forgotten then, unless they return.
    doubtful: BTreeMap<id::Worker, Duration>,
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
    let timing = Timing {
        term: TERM,
        margin: MARGIN,
    };
    let instance = deployment.instance.clone();
    let placer = Placer {
        lease: Lease::new(LEASE.into(), instance, incarnation, timing),
        fleet: Fleet::new(&deployment),
        deployment,
        clock,
        journal,
        orders_from: Duration::ZERO,
        was_holder: false,
        heard_holder: None,
        looked_at: Duration::ZERO,
        in_call: false,
        told: BTreeMap::new(),
        told_all_at: Duration::ZERO,
        doubtful: BTreeMap::new(),
        is_stopping: false,
    };
    let placer = Rc::new(RefCell::new(placer));
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = heard.recv_async() => match event {
                Ok(event) => on_heard(&placer, event, &calls),
                Err(_) => return,
            },
            _ = ticks.tick() => {}
        }
        while let Ok(event) = heard.try_recv() {
            on_heard(&placer, event, &calls);
        }
        step_lease(&placer, &calls);
        step_fleet(&placer);
        if let Some(word) = word(&placer) {
            let _ = words.try_send(word).inspect_err(|_| log::warn!("a full ring drops what workers hold"));
        }
    }
}

fn on_heard(placer: &Shared, event: Heard, calls: &flume::Sender<Call>) {
    let mut this = placer.borrow_mut();
    match event {
        Heard::News(news) => this.on_news(news),
        Heard::Gossip(gossip) => this.on_gossip(&gossip),
        Heard::Stop => {
            this.is_stopping = true;
            let resigned = this.lease.resign();
            drop(this);
            if let Some(txn) = resigned {
                let (reply, _) = flume::bounded(1);
                let _ = calls.try_send(Call::Commit(txn, reply)).inspect_err(|_| log::warn!("the lease lapses: the ring to the store is full"));
            }
        }
    }
}


impl Placer {
    fn on_news(&mut self, news: News) {
        let now = self.clock.now();
        match news {
            News::Site(site) => self.fleet.on_site(&site),
            News::Listed(backend) => {
                self.doubtful.remove(&backend.id);
                self.fleet.on_listed(now, backend);
            }
            News::Unlisted { worker, trusted } => {
                if trusted {
                    self.fleet.on_unlisted(&worker);
                } else {
                    self.doubtful.insert(worker, now + RETURNS);
                }
            }
            News::Members(_) | News::Store { .. } => {}
        }
    }

    fn on_gossip(&mut self, gossip: &Gossip) {
        let now = self.clock.now();
        let Ok(instance) = gossip.instance.parse::<id::Instance>() else {
            return;
        };
        let incarnation = Incarnation(gossip.incarnation);
        for demand in &gossip.demands {
            if let Ok(target) = demand.target.parse() {
                let appetite = &mut self.fleet.appetite;
                appetite.on_told(now, &instance, incarnation, target, demand.tokens);
            }
        }
        for want in &gossip.wants {
            if let Ok(target) = want.target.parse() {
                self.fleet.on_want(now, target);
            }
        }
        if let Some(lead) = gossip.lead
            && instance != self.deployment.instance
        {
            self.heard_holder = Some(now);
            self.lease.on_heard(now, lead.version);
        }
    }

    fn forget_doubtful(&mut self, now: Duration) {
        let over = self.doubtful.iter().filter(|(_, until)| now >= **until);
        let over: Vec<id::Worker> = over.map(|(worker, _)| worker.clone()).collect();
        for worker in over {
            self.doubtful.remove(&worker);
            self.fleet.on_unlisted(&worker);
        }
    }

    /// The fence under which orders may be given now.
    fn fence(&self) -> Option<Fence> {
        let now = self.clock.now();
        let fence = self.lease.fence(now)?;
        (now >= self.orders_from && !self.is_stopping).then_some(fence)
    }

    /// Notes a lease that was gained or lost.
    fn check_holder(&mut self) {
        let now = self.clock.now();
        let is_holder = self.lease.fence(now).is_some();
        if is_holder == self.was_holder {
            return;
        }
        self.was_holder = is_holder;
        if is_holder {
            let pause = if self.lease.is_from_another() {
                self.deployment.bounds.lease
            } else {
                Duration::ZERO
            };
            self.orders_from = now + pause;
            self.fleet.on_taken_over(self.orders_from);
            self.told.clear();
        }
        let values = json!({"holder": is_holder, "version": self.lease.version()});
        self.journal.note("lease", &values);
    }
}

fn step_lease(placer: &Shared, calls: &flume::Sender<Call>) {
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.check_holder();
    let heard = this.heard_holder.is_some_and(|at| now < at + HEARD);
    let is_holder = this.was_holder;
    let rests = !is_holder && (heard || now < this.looked_at + LOOK);
    if this.in_call || this.is_stopping || rests {
        return;
    }
    this.looked_at = now;
    match this.lease.tick(now) {
        Action::Wait => {}
        Action::Read => {
            let (reply, answer) = flume::bounded(1);
            this.in_call = calls.try_send(Call::Read(LEASE.into(), reply)).is_ok();
            drop(this);
            tokio::task::spawn_local(take_read(Rc::clone(placer), answer));
        }
        Action::Commit(txn) => {
            let (reply, answer) = flume::bounded(1);
            this.in_call = calls.try_send(Call::Commit(txn, reply)).is_ok();
            drop(this);
            tokio::task::spawn_local(take_commit(Rc::clone(placer), answer));
        }
    }
}

async fn take_read(placer: Shared, answer: flume::Receiver<Result<Option<Row>, Failure>>) {
    let answer = answer.recv_async().await;
    let mut this = placer.borrow_mut();
    this.in_call = false;
    let now = this.clock.now();
    if let Ok(Ok(row)) = answer {
        this.lease.on_read(now, row.as_ref());
    }
}

async fn take_commit(placer: Shared, answer: flume::Receiver<Result<Commit, Failure>>) {
    let answer = answer.recv_async().await;
    let mut this = placer.borrow_mut();
    this.in_call = false;
    let now = this.clock.now();
    this.lease.on_commit(now, answer.unwrap_or(Err(Failure::Lost)));
    this.check_holder();
}

fn step_fleet(placer: &Shared) {
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.forget_doubtful(now);
    this.fleet.appetite.tick(now);
    if this.fence().is_none() {
        return;
    }
    let (tasks, jobs) = this.fleet.tick(now);
    for job in jobs {
        this.journal.note("place", &json!(job));
    }
    drop(this);
    for task in tasks {
        match task {
            Task::Ask { worker } => {
                tokio::task::spawn_local(ask(Rc::clone(placer), worker));
            }
            Task::Order {
                worker,
                action,
                expected,
            } => {
                let order = placer.borrow().order(worker, action, expected);
                if let Some(order) = order {
                    tokio::task::spawn_local(send(Rc::clone(placer), order));
                }
            }
        }
    }
}

impl Placer {
    fn order(
        &self,
        worker: id::Worker,
        action: crate::world::order::Action,
        expected: u64,
    ) -> Option<Order> {
        let boot = self.ledger(&worker)?.backend.boot;
        Some(Order {
            worker,
            boot,
            action,
            expected,
            holder: self.deployment.instance.clone(),
            fence: self.fence()?,
        })
    }

    fn ledger(&self, worker: &id::Worker) -> Option<&crate::decide::orders::Ledger> {
        let mut ledgers = self.fleet.ledgers();
        ledgers
            .find(|(id, _)| *id == worker)
            .map(|(_, ledger)| ledger)
    }

    fn address(&self, worker: &id::Worker) -> Option<SocketAddr> {
        self.ledger(worker).map(|ledger| ledger.backend.address)
    }
}

async fn send(placer: Shared, order: Order) {
    let Some(address) = placer.borrow().address(&order.worker) else {
        return;
    };
    let body = worker::encode_order(&order);
    let mut call = channel::request(Method::POST, address, worker::ORDER_PATH, body);
    request::address(call.headers_mut(), &order.worker);
    let reply = give(&placer, address, call).await;
    let mut this = placer.borrow_mut();
    let values = json!({"order": order, "reply": reply});
    this.journal.note("order", &values);
    let now = this.clock.now();
    let same_boot = this
        .ledger(&order.worker)
        .is_some_and(|ledger| ledger.backend.boot == order.boot);
    if same_boot {
        this.fleet.on_reply(now, &order.worker, reply);
    }
}

/// Sends an order if the lease still holds once the connection is open.
async fn give(
    placer: &Shared,
    address: SocketAddr,
    call: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Reply {
    let Ok(mut opened) = channel::connect(address).await else {
        return Reply::Refused;
    };
    if placer.borrow().fence().is_none() {
        return Reply::Refused;
    }
    let answer = tokio::time::timeout(ANSWER, opened.call(call)).await;
    match answer {
        Ok(Ok(reply)) => worker::decode_reply(reply.status),
        Ok(Err(error)) => {
            log::info!("an order got no answer: {error}");
            Reply::Unknown
        }
        Err(_) => Reply::Unknown,
    }
}

async fn ask(placer: Shared, id: id::Worker) {
    let Some(address) = placer.borrow().address(&id) else {
        return;
    };
    let mut call = channel::request(Method::GET, address, worker::REPORT_PATH, Vec::new());
    request::address(call.headers_mut(), &id);
    let reply = channel::once(address, call, ANSWER).await;
    let report: Option<Report> = reply
        .and_then(|reply| worker::decode_report(&reply.body))
        .inspect_err(|error| log::info!("no report: {error}"))
        .ok();
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    this.fleet.on_report(now, &id, report);
}

/// What has changed since the last word, or everything once in a while.
fn word(placer: &Shared) -> Option<Word> {
    let mut this = placer.borrow_mut();
    let now = this.clock.now();
    let fence = this.lease.fence(now)?;
    let version = this.lease.version()?;
    let again = now >= this.told_all_at + TELL_AGAIN;
    if again {
        this.told_all_at = now;
        this.told.clear();
    }
    if now < this.orders_from {
        let lead = Lead {
            version,
            fence: fence.0,
        };
        return again.then(|| Word {
            lead: Some(lead),
            holdings: Vec::new(),
        });
    }
    let mut holdings = Vec::new();
    let mut told = std::mem::take(&mut this.told);
    for (worker, ledger) in this.fleet.ledgers() {
        if told.get(worker) != Some(&ledger.revision) && ledger.is_known() {
            told.insert(worker.clone(), ledger.revision);
            holdings.push(holding(worker, ledger, fence));
        }
    }
    this.told = told;
    let lead = Lead {
        version,
        fence: fence.0,
    };
    (again || !holdings.is_empty()).then_some(Word {
        lead: Some(lead),
        holdings,
    })
}

fn holding(worker: &id::Worker, ledger: &crate::decide::orders::Ledger, fence: Fence) -> Holding {
    let held = ledger.holdings().iter().map(|(model, adapters)| Held {
        model: model.to_string(),
        adapters: adapters.iter().map(ToString::to_string).collect(),
    });
    let closing = ledger.closing();
    let coming = ledger.models();
    let coming = coming.iter().filter(|model| !ledger.holdings().contains_key(*model));
    Holding {
        worker: worker.to_string(),
        boot: ledger.backend.boot.0,
        fence: fence.0,
        revision: ledger.revision,
        held: held.collect(),
        closing: closing.iter().map(ToString::to_string).collect(),
        coming: coming.map(ToString::to_string).collect(),
    }
}
