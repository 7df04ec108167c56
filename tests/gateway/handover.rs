//! Orders of earlier holders: a worker's memory is never overcommitted, whatever a holder doesn't know.

use super::build::{backend, deployment, holdings, model, ms, site, target};
use poplarseam::decide::fleet::{Fleet, Task};
use poplarseam::decide::lease::Ordered;
use poplarseam::decide::planner::Job;
use poplarseam::world::backend::{Backend, Report};
use poplarseam::world::id;
use poplarseam::world::message::Target;
use poplarseam::world::order::{Action, Order, Reply};
use poplarseam::world::shard::Shard;
use poplarseam::world::unit::Fence;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;

const WORKER: &str = "a";
/// Longest delay of an order, in milliseconds.
const LONGEST_DELAY: u64 = 12_000;
/// Time within which a ledger counts on orders of others.
const FOREIGN_TIME: u64 = 13_000;
/// Time after the end of a holder from which the next one gives orders.
const LEASE: u64 = 3_000;
/// Steps in which a holder fills a worker, in milliseconds, and their number.
const FILL_STEP: u64 = 50;
const FILL_STEPS: usize = 8;

fn shard() -> Shard {
    Shard::for_worker(&WORKER.parse().unwrap())
}

fn load(name: &str) -> Job {
    Job {
        worker: WORKER.parse().unwrap(),
        load: model(name),
        evict: Vec::new(),
        from_store: true,
    }
}

/// A worker that carries orders out at once or late.
#[derive(Debug)]
struct Worker {
    backend: Backend,
    orders: u64,
    late: Vec<(u64, Action, u64)>,
}

impl Worker {
    fn new() -> Self {
        Self {
            backend: backend(WORKER, "north-1", "m1"),
            orders: 0,
            late: Vec::new(),
        }
    }

    fn apply(&mut self, action: &Action, expected: u64) -> Reply {
        let Target { model, adapter } = action.target().clone();
        let held = &mut self.backend.holdings;
        let lacks_model = !held.contains_key(&model) && adapter.is_some();
        if expected != self.orders || lacks_model {
            return Reply::Conflict;
        }
        self.orders += 1;
        match (action, adapter) {
            (Action::Load(_), None) => {
                held.entry(model).or_default();
            }
            (Action::Load(_), Some(adapter)) => {
                held.entry(model).or_default().insert(adapter);
            }
            (Action::Unload(_), None) => {
                held.remove(&model);
            }
            (Action::Unload(_), Some(adapter)) => {
                held.get_mut(&model).map(|held| held.remove(&adapter));
            }
        }
        Reply::Accepted
    }

    fn restart(&mut self) {
        self.backend.boot.0 += 1;
        self.backend.holdings = holdings("");
        self.orders = 0;
    }

    fn is_within_limits(&self) -> bool {
        let held = &self.backend.holdings;
        let adapters: usize = held.values().map(BTreeSet::len).sum();
        held.len() * 40 + adapters * 5 <= 100 && adapters <= 2
    }

    fn report(&self) -> Report {
        Report {
            holdings: self.backend.holdings.clone(),
            incoming: Vec::new(),
            copies: [].into(),
            busy: false,
            orders: self.orders,
        }
    }
}

/// What becomes of an order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    Answered,
    Unanswered,
    Lost,
    Late,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Deliver(Delivery),
    /// A late order arrives, if there is one that the worker would carry out now.
    Arrive,
    Load(u8),
    /// The holder loads an adapter for which it unloads another one; the load may get no answer.
    Swap(u8, Delivery),
    /// The holder fills the worker, and late orders arrive meanwhile or not.
    Fill(bool),
    Elapse(u16),
    Restart,
    Listed,
    /// The worker is not listed for a while.
    Unlisted,
    /// The other instance takes over.
    HandOver,
    /// The other instance takes over, and the holder's process starts again.
    Kill,
    /// The holder's process starts again and takes its lease back.
    Reclaim,
    /// The holder loses its lease, and gains it again.
    Lapse,
}

fn event() -> impl Strategy<Value = Event> {
    let delivery = prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::Unanswered),
        1 => Just(Delivery::Lost),
        3 => Just(Delivery::Late),
    ];
    prop_oneof![
        6 => delivery.clone().prop_map(Event::Deliver),
        6 => Just(Event::Arrive),
        1 => (3..6_u8).prop_map(Event::Load),
        6 => (3..5_u8, delivery.clone()).prop_map(|(number, delivery)| Event::Swap(number, delivery)),
        6 => any::<bool>().prop_map(Event::Fill),
        8 => (1..1_500_u16).prop_map(Event::Elapse),
        2 => Just(Event::Restart),
        4 => Just(Event::Listed),
        1 => Just(Event::Unlisted),
        1 => Just(Event::HandOver),
        1 => Just(Event::Kill),
        1 => Just(Event::Reclaim),
        1 => Just(Event::Lapse),
    ]
}

/// Two instances, of which one holds the worker's shard.
struct World {
    now: u64,
    worker: Worker,
    fleets: [Fleet; 2],
    holder: usize,
    orders_from: u64,
    /// What the row of the lease says of orders on their way.
    row: Ordered,
    is_listed: bool,
}

impl World {
    fn new() -> Self {
        let worker = Worker::new();
        let fleets = [(); 2].map(|()| started());
        let mut world = Self {
            now: 0,
            worker,
            fleets,
            holder: 0,
            orders_from: 0,
            row: Ordered::new(),
            is_listed: true,
        };
        world.list();
        world.gain(0);
        world
    }

    fn gain(&mut self, orders_from: u64) {
        self.orders_from = orders_from;
        let (now, from) = (ms(self.now), ms(orders_from));
        self.fleets[self.holder].on_shard_gained(now, now, from, shard(), &self.row);
    }

    fn hand_over(&mut self) {
        self.fleets[self.holder].on_shard_lost(ms(self.now), shard());
        self.holder = 1 - self.holder;
        self.gain(self.now + LEASE);
    }

    /// Starts the process of an instance again.
    fn restart_process(&mut self, instance: usize) {
        self.fleets[instance] = started();
        if self.is_listed {
            self.list();
        }
    }

    fn list(&mut self) {
        self.is_listed = true;
        for (instance, fleet) in self.fleets.iter_mut().enumerate() {
            let backend = self.worker.backend.clone();
            fleet.on_listed(ms(self.now), backend, instance == self.holder);
        }
    }

    fn step(&mut self, event: Event) {
        let now = ms(self.now);
        match event {
            Event::Elapse(span) => self.now += u64::from(span),
            Event::Arrive => self.arrive(),
            Event::Load(number) => {
                self.fleets[self.holder].on_job(now, &load(&format!("m{number}")));
            }
            Event::Swap(number, delivery) => {
                self.load_adapter(number);
                self.deliver(Delivery::Answered);
                self.deliver(delivery);
            }
            Event::Fill(arrives) => self.fill(arrives),
            Event::Restart => self.worker.restart(),
            Event::Listed => self.list(),
            Event::Unlisted => {
                self.is_listed = false;
                for fleet in &mut self.fleets {
                    fleet.on_unlisted(now, &WORKER.parse().unwrap());
                }
            }
            Event::HandOver => self.hand_over(),
            Event::Kill => {
                let killed = self.holder;
                self.hand_over();
                self.restart_process(killed);
            }
            Event::Reclaim => {
                self.restart_process(self.holder);
                self.gain(self.now);
            }
            Event::Lapse => {
                self.fleets[self.holder].on_shard_lost(now, shard());
                self.gain(self.now);
            }
            Event::Deliver(delivery) => self.deliver(delivery),
        }
    }

    fn fill(&mut self, arrives: bool) {
        for _ in 0..FILL_STEPS {
            for name in ["m1", "m2"] {
                self.fleets[self.holder].on_job(ms(self.now), &load(name));
            }
            for number in [1, 2] {
                self.load_adapter(number);
            }
            self.deliver(Delivery::Answered);
            self.now += FILL_STEP;
            if arrives {
                self.arrive();
            }
        }
    }

    fn load_adapter(&mut self, number: u8) {
        let Some(held) = self.worker.backend.holdings.keys().next().cloned() else {
            return;
        };
        let adapter = target(&format!("{held}/a{number}"));
        self.fleets[self.holder].request_adapter(&WORKER.parse().unwrap(), &adapter);
    }

    fn arrive(&mut self) {
        let earliest = self.now.saturating_sub(LONGEST_DELAY);
        let late = &mut self.worker.late;
        late.retain(|(sent_at, ..)| *sent_at >= earliest);
        let orders = self.worker.orders;
        let fitting = late.iter().position(|(_, _, expected)| *expected == orders);
        if let Some(index) = fitting {
            let (_, action, expected) = late.remove(index);
            self.worker.apply(&action, expected);
        }
    }

    /// Makes the calls that are due.
    fn deliver(&mut self, delivery: Delivery) {
        let now = ms(self.now);
        let may_order = self.now >= self.orders_from;
        let fleet = &mut self.fleets[self.holder];
        for task in fleet.due_tasks(now, |it| may_order && it == shard()) {
            match task {
                Task::RequestReport { worker } => {
                    let report = (delivery == Delivery::Answered).then(|| self.worker.report());
                    fleet.on_report(now, &worker, report);
                }
                Task::Order {
                    worker,
                    action,
                    expected,
                } => {
                    let reply = match delivery {
                        Delivery::Answered => self.worker.apply(&action, expected),
                        Delivery::Unanswered => {
                            self.worker.apply(&action, expected);
                            Reply::Unknown
                        }
                        Delivery::Lost => Reply::Unknown,
                        Delivery::Late => {
                            self.worker.late.push((self.now, action.clone(), expected));
                            Reply::Unknown
                        }
                    };
                    let order = sent(fleet, worker, action, expected);
                    fleet.on_reply(now, &order, reply);
                }
            }
        }
        self.row = fleet.ordered(now, shard());
    }
}

fn started() -> Fleet {
    let mut fleet = Fleet::new(&deployment("north-1"));
    fleet.on_site(&site());
    fleet
}

fn sent(fleet: &Fleet, worker: id::Worker, action: Action, expected: u64) -> Order {
    Order {
        boot: fleet.ledger(&worker).unwrap().backend.boot,
        worker,
        action,
        expected,
        holder: "one".parse().unwrap(),
        fence: Fence(1),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Guards against a worker that is filled although an order to its earlier incarnation is still on its
    /// way, which the holder doesn't know because an earlier one sent it.
    #[test]
    fn a_workers_memory_is_never_overcommitted_over_changes_of_the_holder(
        events in proptest::collection::vec(event(), 1..200),
    ) {
        let mut world = World::new();
        for event in events {
            world.step(event);
            prop_assert!(world.worker.is_within_limits(), "{event:?} at {}: {:?}", world.now, world.worker);
        }
    }
}

/// How the worker's shard gets another holder, or the same one without its memory.
#[derive(Debug, Clone, Copy)]
enum Change {
    Stop,
    Lapse,
    Reclaim,
}

/// Leaves the load of an adapter unanswered that the worker carries out late, and then changes the holder.
fn with_late_load(change: Change) -> World {
    let mut world = World::new();
    world.deliver(Delivery::Answered);
    for number in [1, 2] {
        world.load_adapter(number);
        world.deliver(Delivery::Answered);
        world.now += 100;
    }
    world.load_adapter(3);
    world.deliver(Delivery::Answered);
    world.deliver(Delivery::Late);
    world.now += 100;
    match change {
        Change::Stop => world.hand_over(),
        Change::Lapse => world.step(Event::Lapse),
        Change::Reclaim => world.step(Event::Reclaim),
    }
    world
}

/// Has the holder fill a worker that started again, and checks that there is always room for late orders,
/// whatever count they expect.
fn fill(world: &mut World, until: u64) {
    while world.now < until {
        world.fill(false);
        let late = world.worker.late.iter();
        for (_, action, _) in late.filter(|(at, ..)| world.now <= at + LONGEST_DELAY) {
            let mut worker = Worker {
                backend: world.worker.backend.clone(),
                orders: world.worker.orders,
                late: Vec::new(),
            };
            worker.apply(action, worker.orders);
            assert!(
                worker.is_within_limits(),
                "{action:?} at {}: {worker:?}",
                world.now
            );
        }
    }
}

/// Guards against a holder that fills a worker which restarted under its id, since it knows no late orders of
/// the holder before.
#[rstest]
fn a_restarted_worker_has_room_for_late_orders_of_the_holder_before(
    #[values(Change::Stop, Change::Lapse, Change::Reclaim)] change: Change,
    #[values(false, true)] is_unlisted: bool,
) {
    let mut world = with_late_load(change);
    world.now += 500;
    if is_unlisted {
        world.step(Event::Unlisted);
    }
    world.step(Event::Restart);
    world.list();
    let latest = world.worker.late[0].0 + LONGEST_DELAY;
    fill(&mut world, latest + FOREIGN_TIME);
    assert!(world.worker.orders > 0, "the worker gets orders again");
}

/// Guards against the same when the worker restarts just before the holder changes.
#[test]
fn a_worker_that_restarted_before_the_holder_changed_has_room_for_late_orders() {
    let mut world = World::new();
    world.deliver(Delivery::Answered);
    world.load_adapter(1);
    world.deliver(Delivery::Late);
    world.step(Event::Restart);
    world.list();
    world.now += 500;
    world.hand_over();
    let latest = world.worker.late[0].0 + LONGEST_DELAY;
    fill(&mut world, latest);
    assert_eq!(world.worker.orders, 0);
}

/// Guards against the same when the process of the next holder, or of the same one, starts only after the worker
/// has restarted.
#[rstest]
#[case::killed(Event::Kill)]
#[case::reclaimed(Event::Reclaim)]
fn a_process_that_starts_after_a_worker_restarted_knows_of_orders_on_their_way(
    #[case] change: Event,
    #[values(false, true)] is_unlisted: bool,
) {
    let mut world = World::new();
    world.deliver(Delivery::Answered);
    world.load_adapter(1);
    world.deliver(Delivery::Late);
    world.step(Event::Restart);
    if is_unlisted {
        world.step(Event::Unlisted);
    }
    world.now += 500;
    world.step(change);
    world.list();
    let latest = world.worker.late[0].0 + LONGEST_DELAY;
    fill(&mut world, latest);
    assert_eq!(world.worker.orders, 0);
}

/// Guards against needless waits: a worker that goes on running gets orders as soon as its holder may give
/// them, since the number of orders that it expects keeps late ones out.
#[test]
fn a_worker_that_goes_on_running_gets_orders_of_the_next_holder_at_once() {
    let mut world = with_late_load(Change::Stop);
    let from = world.orders_from;
    world.now = from;
    world.deliver(Delivery::Answered);
    world.step(Event::Load(2));
    world.deliver(Delivery::Answered);
    assert!(world.worker.backend.holdings.contains_key(&model("m2")));
}

/// Guards against announcements that peers take for old ones: after a lapse of the lease a ledger began with
/// its first revision again.
#[test]
fn revisions_go_on_after_a_lapse_of_the_lease() {
    let mut world = World::new();
    world.deliver(Delivery::Answered);
    for number in [1, 2] {
        world.load_adapter(number);
        world.deliver(Delivery::Answered);
        world.now += 100;
    }
    let id: id::Worker = WORKER.parse().unwrap();
    let revision = |world: &World| world.fleets[0].ledger(&id).unwrap().revision;
    let before = revision(&world);
    world.step(Event::Lapse);
    assert!(revision(&world) > before);
    let before = revision(&world);
    world.step(Event::Unlisted);
    world.list();
    assert!(revision(&world) > before);
}
