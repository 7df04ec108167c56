//! Servers that announced that they are leaving, or asked for a rest, get no requests until they
//! restart or the rest ends, even if their entries lapse and come back or all of them rest.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::balance::{Balancer, Choice, Need};
use poplarseam::world::backend::Backend;
use poplarseam::world::id;
use poplarseam::world::unit::Incarnation;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SEED: u8 = 10;
const SCHEDULES: usize = 3000;
const SERVERS: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    /// A server announces in an answer that it is leaving.
    Leave {
        index: usize,
    },
    /// A server rejects a request and asks for a rest.
    Rest {
        index: usize,
        ms: u64,
    },
    /// The entry of a server lapses.
    Unlist {
        index: usize,
    },
    /// The entry of a server comes back.
    List {
        index: usize,
    },
    /// A server restarts under the same id.
    Restart {
        index: usize,
    },
    Wait {
        ms: u64,
    },
    /// A request arrives.
    Request,
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let index = || 0..SERVERS;
    prop_oneof![
        2 => index().prop_map(|index| Event::Leave { index }),
        4 => (index(), 1..5_000_u64).prop_map(|(index, ms)| Event::Rest { index, ms }),
        3 => index().prop_map(|index| Event::Unlist { index }),
        4 => index().prop_map(|index| Event::List { index }),
        1 => index().prop_map(|index| Event::Restart { index }),
        4 => (1..2_000_u64).prop_map(|ms| Event::Wait { ms }),
        8 => Just(Event::Request),
    ]
}

/// Choice of a server, implemented by this project's balancer and by a naive one for comparison.
trait Selector: Default {
    fn list(&mut self, backend: Backend);
    fn unlist(&mut self, server: &id::Worker);
    fn leave(&mut self, now: Duration, server: &id::Worker, boot: Incarnation);
    fn rest(&mut self, now: Duration, server: &id::Worker, boot: Incarnation, requested: Duration);
    fn choose(&self, now: Duration) -> Option<id::Worker>;
}

impl Selector for Balancer {
    fn list(&mut self, backend: Backend) {
        self.on_listed(backend);
    }

    fn unlist(&mut self, server: &id::Worker) {
        self.on_unlisted(server);
    }

    fn leave(&mut self, now: Duration, server: &id::Worker, boot: Incarnation) {
        self.on_leaving(now, server, boot);
    }

    fn rest(&mut self, now: Duration, server: &id::Worker, boot: Incarnation, requested: Duration) {
        self.on_rest(now, server, boot, requested);
    }

    fn choose(&self, now: Duration) -> Option<id::Worker> {
        let need = Need {
            service: "app".parse().unwrap(),
            generation: None,
            draw: 7,
        };
        match Self::choose(self, now, &need, |_| true) {
            Choice::Send(server, _) => Some(server),
            _ => None,
        }
    }
}

/// Forgets the notices of a server with its entry, and chooses a resting server if no other is
/// left.
#[derive(Default)]
struct Naive(BTreeMap<id::Worker, (Backend, Duration)>);

impl Selector for Naive {
    fn list(&mut self, backend: Backend) {
        let known = self.0.get(&backend.id).cloned();
        let known = known.filter(|(known, _)| known.boot == backend.boot);
        let entry = known.unwrap_or((backend.clone(), Duration::ZERO));
        self.0.insert(backend.id, entry);
    }

    fn unlist(&mut self, server: &id::Worker) {
        self.0.remove(server);
    }

    fn leave(&mut self, _now: Duration, server: &id::Worker, _boot: Incarnation) {
        if let Some((backend, _)) = self.0.get_mut(server) {
            backend.leaving = true;
        }
    }

    fn rest(
        &mut self,
        now: Duration,
        server: &id::Worker,
        _boot: Incarnation,
        requested: Duration,
    ) {
        if let Some((_, until)) = self.0.get_mut(server) {
            *until = now + requested;
        }
    }

    fn choose(&self, now: Duration) -> Option<id::Worker> {
        let staying = self.0.values().filter(|(backend, _)| !backend.leaving);
        let rested = staying.clone().find(|(_, until)| *until <= now);
        let (backend, _) = rested.or_else(|| staying.clone().next())?;
        Some(backend.id.clone())
    }
}

fn server(index: usize) -> id::Worker {
    format!("s{index}").parse().unwrap()
}

/// Simulated servers and the notices that they gave.
struct World<S> {
    now: Duration,
    selector: S,
    boots: [u64; SERVERS],
    is_leaving: [bool; SERVERS],
    rests_until: [Duration; SERVERS],
    is_violated: bool,
}

impl<S: Selector> World<S> {
    fn list(&mut self, index: usize) {
        self.selector.list(Backend {
            id: server(index),
            service: "app".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "north-1".parse().unwrap(),
            boot: Incarnation(self.boots[index]),
            software: "v1".parse().ok(),
            leaving: false,
            places: 8,
            holdings: BTreeMap::new(),
            copies: [].into(),
        });
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Leave { index } => {
                let boot = Incarnation(self.boots[*index]);
                self.is_leaving[*index] = true;
                self.selector.leave(self.now, &server(*index), boot);
            }
            Event::Rest { index, ms } => {
                let (boot, requested) =
                    (Incarnation(self.boots[*index]), Duration::from_millis(*ms));
                self.rests_until[*index] = self.rests_until[*index].max(self.now + requested);
                self.selector
                    .rest(self.now, &server(*index), boot, requested);
            }
            Event::Unlist { index } => self.selector.unlist(&server(*index)),
            Event::List { index } => self.list(*index),
            Event::Restart { index } => {
                self.boots[*index] += 1;
                (self.is_leaving[*index], self.rests_until[*index]) = (false, Duration::ZERO);
                self.list(*index);
            }
            Event::Wait { ms } => self.now += Duration::from_millis(*ms),
            Event::Request => self.request(),
        }
    }

    fn request(&mut self) {
        let chosen = self.selector.choose(self.now);
        let chosen = (0..SERVERS).find(|index| chosen.as_ref() == Some(&server(*index)));
        let violates = |index: usize| self.is_leaving[index] || self.now < self.rests_until[index];
        self.is_violated |= chosen.is_some_and(violates);
    }
}

fn violates<S: Selector>(events: &[Event]) -> bool {
    let mut world = World {
        selector: S::default(),
        now: Duration::ZERO,
        boots: [1; SERVERS],
        is_leaving: [false; SERVERS],
        rests_until: [Duration::ZERO; SERVERS],
        is_violated: false,
    };
    (0..SERVERS).for_each(|index| world.list(index));
    for event in events {
        world.apply(event);
    }
    world.is_violated
}

/// Guards against requests to servers that announced that they are leaving or asked for a rest.
#[test]
fn leaving_and_resting_servers_get_no_requests() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 5..60, &event()) {
        schedule::assert_holds(&schedule, violates::<Balancer>);
        tally.add(violates::<Naive>(&schedule), false);
    }
    tally.check("notice");
}
