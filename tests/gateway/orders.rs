//! A worker's memory is never overcommitted, even if orders are lost, delayed or unanswered.

use super::build::{backend, engine, holdings, model, ms, target};
use poplarseam::decide::orders::{Ledger, Step};
use poplarseam::decide::planner::Job;
use poplarseam::world::backend::{Backend, Holdings, Report};
use poplarseam::world::id;
use poplarseam::world::message::Target;
use poplarseam::world::order::{Action, Order, Reply};
use poplarseam::world::unit::{Fence, Incarnation};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn report(held: &str, orders: u64) -> Report {
    Report {
        holdings: holdings(held),
        incoming: Vec::new(),
        copies: [].into(),
        busy: false,
        orders,
    }
}

/// Creates a ledger whose worker has reported what it holds.
fn ledger(held: &str, orders: u64) -> Ledger {
    let mut ledger = Ledger::new(ms(0), backend("a", "north-1", held));
    assert_eq!(ledger.next(ms(0), &engine()), Step::RequestReport);
    ledger.on_report(ms(10), Some(report(held, orders)));
    ledger
}

/// Returns the order of a step.
fn order(step: &Step) -> Order {
    let Step::Send(action, expected) = step else {
        panic!("{step:?} is no order");
    };
    Order {
        worker: "a".parse().unwrap(),
        boot: Incarnation(1),
        action: action.clone(),
        expected: *expected,
        holder: "one".parse().unwrap(),
        fence: Fence(1),
    }
}

/// Sends the order that is due, and gives the ledger the answer.
fn exchange(ledger: &mut Ledger, sent_at: u64, answered_at: u64, reply: Reply) -> Step {
    let sent = ledger.next(ms(sent_at), &engine());
    ledger.on_reply(ms(answered_at), &order(&sent), reply, &engine());
    sent
}

fn job(evict: &[&str], load: &str) -> Job {
    Job {
        worker: "a".parse().unwrap(),
        load: model(load),
        evict: evict.iter().map(|name| model(name)).collect(),
        from_store: true,
    }
}

#[test]
fn expected_order_count_comes_from_the_report_and_not_from_the_list() {
    let mut ledger = ledger("m1", 7);
    ledger.assign(ms(20), &job(&[], "m2"));
    assert_eq!(
        ledger.next(ms(20), &engine()),
        Step::Send(Action::Load(target("m2")), 7)
    );
}

#[test]
fn unanswered_order_is_resent_unchanged() {
    let mut ledger = ledger("m1", 7);
    ledger.assign(ms(20), &job(&[], "m2"));
    let sent = exchange(&mut ledger, 20, 700, Reply::Unknown);
    assert_eq!(ledger.next(ms(800), &engine()), Step::Wait);
    assert_eq!(ledger.next(ms(1_200), &engine()), sent);
}

#[test]
fn model_is_unloaded_only_after_the_unload_notice() {
    let mut ledger = ledger("m1 m2", 0);
    ledger.assign(ms(20), &job(&["m1"], "m3"));
    assert!(ledger.closing().contains(&model("m1")));
    assert_eq!(ledger.next(ms(20), &engine()), Step::Wait);
    let step = ledger.next(ms(100), &engine());
    assert_eq!(step, Step::Send(Action::Unload(target("m1")), 0));
}

#[test]
fn load_that_does_not_fit_is_not_sent() {
    let mut ledger = ledger("m1 m2", 0);
    ledger.assign(ms(20), &job(&[], "m3"));
    assert_eq!(ledger.next(ms(20), &engine()), Step::Wait);
}

#[test]
fn memory_of_a_delayed_load_stays_reserved_after_a_worker_restart() {
    let mut ledger = ledger("m1", 0);
    ledger.assign(ms(20), &job(&[], "m2"));
    exchange(&mut ledger, 20, 700, Reply::Unknown);
    let mut restarted = backend("a", "north-1", "");
    restarted.boot.0 += 1;
    ledger.on_listed(ms(1_000), restarted);
    assert_eq!(ledger.reserved(&engine()).0, 10 + 40);
    ledger.next(ms(20_000), &engine());
    assert_eq!(ledger.reserved(&engine()).0, 10);
}

/// Guards against a worker that ends because it was ordered to load more than it holds: it had restarted
/// under its id, and a late copy of a load that was sent again and accepted fitted its new count.
#[test]
fn place_for_a_late_copy_of_an_accepted_load_stays_reserved_after_a_worker_restart() {
    let mut ledger = ledger("m1", 0);
    ledger.enqueue_adapter(Action::Load(target("m1/a1")));
    exchange(&mut ledger, 20, 700, Reply::Unknown);
    exchange(&mut ledger, 1_200, 1_250, Reply::Accepted);
    let mut restarted = backend("a", "north-1", "m1/a2");
    restarted.boot.0 += 1;
    ledger.on_listed(ms(2_000), restarted);
    ledger.enqueue_adapter(Action::Load(target("m1/a3")));
    assert_eq!(ledger.next(ms(13_600), &engine()), Step::Wait);
    ledger.enqueue_adapter(Action::Load(target("m1/a3")));
    let sent = ledger.next(ms(13_800), &engine());
    assert_eq!(sent, Step::Send(Action::Load(target("m1/a3")), 0));
}

#[test]
fn report_from_before_an_order_is_ignored() {
    let mut ledger = ledger("m1", 3);
    ledger.enqueue_adapter(Action::Load(target("m1/a1")));
    exchange(&mut ledger, 20, 25, Reply::Accepted);
    ledger.enqueue_adapter(Action::Load(target("m1/a2")));
    exchange(&mut ledger, 30, 35, Reply::Conflict);
    assert_eq!(ledger.next(ms(500), &engine()), Step::RequestReport);
    ledger.on_report(ms(510), Some(report("m1", 3)));
    assert_eq!(ledger.next(ms(520), &engine()), Step::Wait);
    assert_eq!(ledger.next(ms(1_000), &engine()), Step::RequestReport);
}

#[test]
fn adapter_is_not_loaded_without_a_free_place() {
    let mut ledger = ledger("m1/a1 m1/a2", 0);
    ledger.enqueue_adapter(Action::Load(target("m1/a3")));
    assert_eq!(ledger.next(ms(20), &engine()), Step::Wait);
}

/// Guards against a worker that ends because it was ordered to load more than it holds: its entry
/// from before an outage of the store arrived after its report.
#[test]
fn entry_from_before_a_report_frees_no_memory() {
    let mut ledger = ledger("m1 m2", 5);
    ledger.on_listed(ms(20), backend("a", "north-1", "m1"));
    ledger.assign(ms(30), &job(&[], "m3"));
    let steps = (30..5_000).map(|at| ledger.next(ms(at), &engine()));
    let sent = steps
        .filter(|step| matches!(step, Step::Send(..)))
        .collect::<Vec<_>>();
    assert_eq!(sent, []);
}

/// An entry that a worker wrote after its report differs for good; the next report tells.
#[test]
fn entry_that_differs_from_the_report_has_another_one_requested() {
    let mut ledger = ledger("m1 m2", 5);
    ledger.on_listed(ms(20), backend("a", "north-1", "m1"));
    assert!(!ledger.accepts_job());
    assert_eq!(ledger.next(ms(100), &engine()), Step::Wait);
    assert_eq!(ledger.next(ms(400), &engine()), Step::RequestReport);
    ledger.on_report(ms(410), Some(report("m1", 6)));
    ledger.assign(ms(420), &job(&[], "m3"));
    let sent = ledger.next(ms(420), &engine());
    assert_eq!(sent, Step::Send(Action::Load(target("m3")), 6));
}

#[test]
fn entry_that_shows_the_result_of_the_running_order_ends_it() {
    let mut ledger = ledger("m1 m2", 5);
    ledger.assign(ms(20), &job(&["m1"], "m3"));
    exchange(&mut ledger, 100, 110, Reply::Accepted);
    ledger.on_listed(ms(300), backend("a", "north-1", "m1 m2"));
    assert_eq!(ledger.next(ms(300), &engine()), Step::Wait);
    ledger.on_listed(ms(400), backend("a", "north-1", "m2"));
    let sent = ledger.next(ms(400), &engine());
    assert_eq!(sent, Step::Send(Action::Load(target("m3")), 6));
}

/// Guards against an order whose count is right and whose models are not: the answer to an order
/// that was sent before the shard was lost for a time was taken for that to a later order.
#[test]
fn answer_to_an_order_of_an_earlier_ledger_is_not_taken_for_another_one() {
    let mut earlier = ledger("m1 m2", 5);
    earlier.assign(ms(20), &job(&["m1"], "m3"));
    let unload = order(&earlier.next(ms(100), &engine()));
    let mut ledger = ledger("m1 m2", 5);
    ledger.enqueue_adapter(Action::Load(target("m1/a1")));
    let load = order(&ledger.next(ms(200), &engine()));
    ledger.on_reply(ms(300), &unload, Reply::Accepted, &engine());
    assert!(ledger.holds_or_expects(&target("m1/a1")));
    ledger.enqueue_adapter(Action::Load(target("m2/a1")));
    assert_eq!(ledger.next(ms(300), &engine()), Step::Wait);
    ledger.on_reply(ms(310), &load, Reply::Conflict, &engine());
    assert_eq!(ledger.next(ms(700), &engine()), Step::RequestReport);
}

/// A holder announced models from an entry because its first request for a report got no answer.
#[test]
fn models_are_not_known_before_the_first_report() {
    let mut ledger = Ledger::new(ms(0), backend("a", "north-1", "m1"));
    ledger.next(ms(0), &engine());
    ledger.on_report(ms(10), None);
    assert!(!ledger.is_known());
    ledger.on_listed(ms(20), backend("a", "north-1", "m2"));
    assert!(!ledger.is_known());
    assert_eq!(ledger.next(ms(420), &engine()), Step::RequestReport);
    ledger.on_report(ms(430), Some(report("m1 m2", 5)));
    assert!(ledger.is_known());
}

/// Guards against a worker that ends because it was ordered to load more adapters than it has places
/// for: the report of a new holder has those on their way apart from those that it holds.
#[test]
fn adapters_on_their_way_take_up_places() {
    let mut ledger = Ledger::new(ms(0), backend("a", "north-1", "m1"));
    ledger.next(ms(0), &engine());
    let report = Report {
        incoming: vec![target("m1/a2")],
        ..report("m1/a1", 5)
    };
    ledger.on_report(ms(10), Some(report));
    ledger.enqueue_adapter(Action::Load(target("m1/a3")));
    assert_eq!(ledger.next(ms(12), &engine()), Step::Wait);
    assert!(ledger.holds_or_expects(&target("m1/a2")));
}

/// A worker that carries orders out at once, late or not at all, and may leave them unanswered.
#[derive(Debug)]
struct Worker {
    backend: Backend,
    orders: u64,
    held: Holdings,
    late: Vec<(Action, u64)>,
    /// Entries that the worker wrote, which may arrive late.
    entries: Vec<Holdings>,
}

impl Worker {
    fn apply(&mut self, action: &Action, expected: u64) -> Reply {
        if expected != self.orders {
            return Reply::Conflict;
        }
        self.orders += 1;
        let Target { model, adapter } = action.target().clone();
        match (action, adapter) {
            (Action::Load(_), None) => {
                self.held.entry(model).or_default();
            }
            (Action::Load(_), Some(adapter)) => {
                self.held.entry(model).or_default().insert(adapter);
            }
            (Action::Unload(_), None) => {
                self.held.remove(&model);
            }
            (Action::Unload(_), Some(adapter)) => {
                self.held.get_mut(&model).map(|held| held.remove(&adapter));
            }
        }
        Reply::Accepted
    }

    fn is_within_limits(&self) -> bool {
        let adapters: usize = self.held.values().map(BTreeSet::len).sum();
        self.held.len() * 40 + adapters * 5 <= 100 && adapters <= 2
    }

    fn report(&self) -> Report {
        Report {
            holdings: self.held.clone(),
            incoming: Vec::new(),
            copies: [].into(),
            busy: false,
            orders: self.orders,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// `Deliver` to `DelayOrder`: what happens to the next order.
    Deliver,
    DeliverUnanswered,
    LoseOrder,
    DelayOrder,
    /// A delayed order arrives.
    Arrive,
    Assign(u8, u8),
    AssignLoad(u8),
    EnqueueAdapter(u8),
    Listed,
    /// An entry that the worker wrote earlier arrives.
    ListedLate(u8),
    Elapse(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Deliver),
        2 => Just(Event::DeliverUnanswered),
        1 => Just(Event::LoseOrder),
        2 => Just(Event::DelayOrder),
        2 => Just(Event::Arrive),
        3 => (1..6_u8, 1..6_u8).prop_map(|(evict, load)| Event::Assign(evict, load)),
        3 => (1..6_u8).prop_map(Event::AssignLoad),
        3 => (1..5_u8).prop_map(Event::EnqueueAdapter),
        2 => Just(Event::Listed),
        2 => (0..20_u8).prop_map(Event::ListedLate),
        6 => (1..900_u16).prop_map(Event::Elapse),
    ]
}

struct World {
    now: u64,
    worker: Worker,
    ledger: Ledger,
}

impl World {
    fn new() -> Self {
        let backend = backend("a", "north-1", "m1 m2");
        Self {
            now: 0,
            ledger: Ledger::new(ms(0), backend.clone()),
            worker: Worker {
                held: backend.holdings.clone(),
                entries: vec![backend.holdings.clone()],
                backend,
                orders: 0,
                late: Vec::new(),
            },
        }
    }

    fn step(&mut self, event: Event) {
        let engine = engine();
        let now = ms(self.now);
        match event {
            Event::Elapse(span) => self.now += u64::from(span),
            Event::Arrive => {
                if let Some((action, expected)) = self.worker.late.pop() {
                    self.worker.apply(&action, expected);
                }
            }
            Event::Assign(evict, load) => self.assign(Some(evict), load),
            Event::AssignLoad(load) => self.assign(None, load),
            Event::EnqueueAdapter(number) => self.enqueue_adapter(number),
            Event::Listed => {
                self.worker.entries.push(self.worker.held.clone());
                self.on_entry(0);
            }
            Event::ListedLate(age) => self.on_entry(age.into()),
            _ => match self.ledger.next(now, &engine) {
                Step::Wait => {}
                Step::RequestReport => self.ledger.on_report(now, Some(self.worker.report())),
                step @ Step::Send(..) => {
                    let sent = order(&step);
                    let reply = self.deliver(event, sent.action.clone(), sent.expected);
                    self.ledger.on_reply(now, &sent, reply, &engine);
                }
            },
        }
    }

    fn deliver(&mut self, event: Event, action: Action, expected: u64) -> Reply {
        match event {
            Event::Deliver => self.worker.apply(&action, expected),
            Event::DeliverUnanswered => {
                self.worker.apply(&action, expected);
                Reply::Unknown
            }
            Event::DelayOrder => {
                self.worker.late.push((action, expected));
                Reply::Unknown
            }
            _ => Reply::Unknown,
        }
    }

    /// Delivers the entry before which the worker wrote `age` others, or its first.
    fn on_entry(&mut self, age: usize) {
        let entries = &self.worker.entries;
        let mut backend = self.worker.backend.clone();
        backend.holdings = entries[entries.len().saturating_sub(age + 1)].clone();
        self.ledger.on_listed(ms(self.now), backend);
    }

    fn assign(&mut self, evict: Option<u8>, load: u8) {
        let name = |number| format!("m{number}");
        let (evict, load) = (evict.map(name), name(load));
        let evict: Vec<&str> = evict.iter().map(String::as_str).collect();
        let held: BTreeSet<id::Model> = self.ledger.models();
        if self.ledger.accepts_job()
            && evict.iter().all(|evict| held.contains(&model(evict)))
            && !held.contains(&model(&load))
        {
            self.ledger.assign(ms(self.now), &job(&evict, &load));
        }
    }

    fn enqueue_adapter(&mut self, number: u8) {
        let held = self.ledger.holdings().keys().next().cloned();
        if let Some(held) = held.filter(|_| self.ledger.accepts_adapters()) {
            let adapter_target = target(&format!("{held}/a{number}"));
            self.ledger.enqueue_adapter(Action::Load(adapter_target));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn lost_delayed_or_unanswered_orders_and_late_entries_never_overcommit_memory(
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut world = World::new();
        for event in events {
            world.step(event);
            prop_assert!(world.worker.is_within_limits(), "{:?}", world.worker);
        }
    }
}
