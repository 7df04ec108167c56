//! A worker's memory is never overcommitted, whatever becomes of orders on their way.

use super::build::{backend, engine, holdings, model, ms, target};
use poplarseam::decide::arrange::Job;
use poplarseam::decide::orders::{Ledger, Step};
use poplarseam::world::backend::{Backend, Holdings, Report};
use poplarseam::world::id;
use poplarseam::world::message::Target;
use poplarseam::world::order::{Action, Reply};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn report(held: &str, orders: u64) -> Report {
    Report {
        holdings: holdings(held),
        copies: [].into(),
        busy: false,
        orders,
    }
}

/// A ledger whose worker reported what it holds.
fn ledger(held: &str, orders: u64) -> Ledger {
    let mut ledger = Ledger::new(ms(0), backend("a", "north-1", held));
    assert_eq!(ledger.next(ms(0), &engine()), Step::Ask);
    ledger.on_report(ms(10), Some(report(held, orders)));
    ledger
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
fn orders_count_from_the_report_and_not_from_heartbeats() {
    let mut ledger = ledger("m1", 7);
    ledger.give(ms(20), &job(&[], "m2"));
    assert_eq!(
        ledger.next(ms(20), &engine()),
        Step::Send(Action::Load(target("m2")), 7)
    );
}

#[test]
fn an_order_without_answer_is_sent_again_as_it_was() {
    let mut ledger = ledger("m1", 7);
    ledger.give(ms(20), &job(&[], "m2"));
    let sent = ledger.next(ms(20), &engine());
    ledger.on_reply(ms(700), Reply::Unknown, &engine());
    assert_eq!(ledger.next(ms(800), &engine()), Step::Wait);
    assert_eq!(ledger.next(ms(1_200), &engine()), sent);
}

#[test]
fn a_model_is_unloaded_only_after_requests_were_kept_away() {
    let mut ledger = ledger("m1 m2", 0);
    ledger.give(ms(20), &job(&["m1"], "m3"));
    assert!(ledger.closing().contains(&model("m1")));
    assert_eq!(ledger.next(ms(20), &engine()), Step::Wait);
    let step = ledger.next(ms(100), &engine());
    assert_eq!(step, Step::Send(Action::Unload(target("m1")), 0));
}

#[test]
fn a_load_that_does_not_fit_is_not_sent() {
    let mut ledger = ledger("m1 m2", 0);
    ledger.give(ms(20), &job(&[], "m3"));
    assert_eq!(ledger.next(ms(20), &engine()), Step::Wait);
}

#[test]
fn after_a_restart_under_the_same_id_a_late_load_keeps_its_room() {
    let mut ledger = ledger("m1", 0);
    ledger.give(ms(20), &job(&[], "m2"));
    ledger.next(ms(20), &engine());
    ledger.on_reply(ms(700), Reply::Unknown, &engine());
    let mut restarted = backend("a", "north-1", "");
    restarted.boot.0 += 1;
    ledger.on_listed(ms(1_000), restarted);
    assert_eq!(ledger.reserved(&engine()).0, 10 + 40);
    ledger.next(ms(20_000), &engine());
    assert_eq!(ledger.reserved(&engine()).0, 10);
}

#[test]
fn a_report_from_before_an_order_is_not_taken() {
    let mut ledger = ledger("m1", 3);
    ledger.give_adapter(Action::Load(target("m1/a1")));
    ledger.next(ms(20), &engine());
    ledger.on_reply(ms(25), Reply::Accepted, &engine());
    ledger.give_adapter(Action::Load(target("m1/a2")));
    ledger.next(ms(30), &engine());
    ledger.on_reply(ms(35), Reply::Conflict, &engine());
    assert_eq!(ledger.next(ms(500), &engine()), Step::Ask);
    ledger.on_report(ms(510), Some(report("m1", 3)));
    assert_eq!(ledger.next(ms(520), &engine()), Step::Wait);
    assert_eq!(ledger.next(ms(1_000), &engine()), Step::Ask);
}

#[test]
fn adapters_take_no_more_places_than_there_are() {
    let mut ledger = ledger("m1/a1 m1/a2", 0);
    ledger.give_adapter(Action::Load(target("m1/a3")));
    assert_eq!(ledger.next(ms(20), &engine()), Step::Wait);
}

/// A worker that carries orders out at once, late, or never answers.
#[derive(Debug)]
struct Worker {
    backend: Backend,
    orders: u64,
    held: Holdings,
    late: Vec<(Action, u64)>,
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
            copies: [].into(),
            busy: false,
            orders: self.orders,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// What becomes of the next order.
    Deliver,
    DeliverUnanswered,
    Lose,
    Delay,
    /// A late order arrives.
    Arrive,
    Give(u8, u8),
    GiveAdapter(u8),
    Listed,
    Pass(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Deliver),
        2 => Just(Event::DeliverUnanswered),
        1 => Just(Event::Lose),
        2 => Just(Event::Delay),
        2 => Just(Event::Arrive),
        3 => (1..6_u8, 1..6_u8).prop_map(|(evict, load)| Event::Give(evict, load)),
        3 => (1..5_u8).prop_map(Event::GiveAdapter),
        2 => Just(Event::Listed),
        6 => (1..900_u16).prop_map(Event::Pass),
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
            Event::Pass(span) => self.now += u64::from(span),
            Event::Arrive => {
                if let Some((action, expected)) = self.worker.late.pop() {
                    self.worker.apply(&action, expected);
                }
            }
            Event::Give(evict, load) => self.give(evict, load),
            Event::GiveAdapter(number) => self.give_adapter(number),
            Event::Listed => {
                let mut backend = self.worker.backend.clone();
                backend.holdings = self.worker.held.clone();
                self.ledger.on_listed(now, backend);
            }
            _ => match self.ledger.next(now, &engine) {
                Step::Wait => {}
                Step::Ask => self.ledger.on_report(now, Some(self.worker.report())),
                Step::Send(action, expected) => {
                    let reply = self.deliver(event, action, expected);
                    self.ledger.on_reply(now, reply, &engine);
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
            Event::Delay => {
                self.worker.late.push((action, expected));
                Reply::Unknown
            }
            _ => Reply::Unknown,
        }
    }

    fn give(&mut self, evict: u8, load: u8) {
        let (evict, load) = (format!("m{evict}"), format!("m{load}"));
        let held: BTreeSet<id::Model> = self.ledger.models();
        if self.ledger.is_open() && held.contains(&model(&evict)) && !held.contains(&model(&load)) {
            self.ledger.give(ms(self.now), &job(&[&evict], &load));
        }
    }

    fn give_adapter(&mut self, number: u8) {
        let held = self.ledger.holdings().keys().next().cloned();
        if let Some(held) = held.filter(|_| self.ledger.takes_adapters()) {
            let wanted = target(&format!("{held}/a{number}"));
            self.ledger.give_adapter(Action::Load(wanted));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn orders_lost_late_or_unanswered_never_overcommit(
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut world = World::new();
        for event in events {
            world.step(event);
            prop_assert!(world.worker.is_within_limits(), "{:?}", world.worker);
        }
    }
}
