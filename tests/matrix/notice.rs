//! Servers that say that they leave, or that they want a rest, get nothing: while their entries lapse
//! and come back, while all of them rest, and until they start anew.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::balance::{Balance, Choice, Need};
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
    /// A server says in an answer that it leaves.
    Leave {
        who: usize,
    },
    /// A server turns a request away and says for how long.
    Rest {
        who: usize,
        ms: u64,
    },
    /// Its entry lapses or comes back.
    Unlist {
        who: usize,
    },
    List {
        who: usize,
    },
    /// It starts anew under its id.
    Restart {
        who: usize,
    },
    Wait {
        ms: u64,
    },
    /// A request comes.
    Ask,
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let who = || 0..SERVERS;
    prop_oneof![
        2 => who().prop_map(|who| Event::Leave { who }),
        4 => (who(), 1..5_000_u64).prop_map(|(who, ms)| Event::Rest { who, ms }),
        3 => who().prop_map(|who| Event::Unlist { who }),
        4 => who().prop_map(|who| Event::List { who }),
        1 => who().prop_map(|who| Event::Restart { who }),
        4 => (1..2_000_u64).prop_map(|ms| Event::Wait { ms }),
        8 => Just(Event::Ask),
    ]
}

/// Who gets a request: this project's choice, or one that keeps what servers say with their entries.
trait Choose: Default {
    fn list(&mut self, backend: Backend);
    fn unlist(&mut self, server: &id::Worker);
    fn leave(&mut self, now: Duration, server: &id::Worker, boot: Incarnation);
    fn rest(&mut self, now: Duration, server: &id::Worker, boot: Incarnation, asked: Duration);
    fn choose(&self, now: Duration) -> Option<id::Worker>;
}

impl Choose for Balance {
    fn list(&mut self, backend: Backend) {
        self.on_listed(backend);
    }

    fn unlist(&mut self, server: &id::Worker) {
        self.on_unlisted(server);
    }

    fn leave(&mut self, now: Duration, server: &id::Worker, boot: Incarnation) {
        self.on_leaving(now, server, boot);
    }

    fn rest(&mut self, now: Duration, server: &id::Worker, boot: Incarnation, asked: Duration) {
        self.on_rest(now, server, boot, asked);
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

/// Forgets what a server said with its entry, and asks those that rest where nobody else is left.
#[derive(Default)]
struct Naive(BTreeMap<id::Worker, (Backend, Duration)>);

impl Choose for Naive {
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

    fn rest(&mut self, now: Duration, server: &id::Worker, _boot: Incarnation, asked: Duration) {
        if let Some((_, until)) = self.0.get_mut(server) {
            *until = now + asked;
        }
    }

    fn choose(&self, now: Duration) -> Option<id::Worker> {
        let staying = self.0.values().filter(|(backend, _)| !backend.leaving);
        let rested = staying.clone().find(|(_, until)| *until <= now);
        let (backend, _) = rested.or_else(|| staying.clone().next())?;
        Some(backend.id.clone())
    }
}

fn server(who: usize) -> id::Worker {
    format!("s{who}").parse().unwrap()
}

/// What servers said, and what they are.
struct World<C> {
    now: Duration,
    choice: C,
    boots: [u64; SERVERS],
    leave: [bool; SERVERS],
    rest: [Duration; SERVERS],
    is_broken: bool,
}

impl<C: Choose> World<C> {
    fn list(&mut self, who: usize) {
        self.choice.list(Backend {
            id: server(who),
            service: "app".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "north-1".parse().unwrap(),
            boot: Incarnation(self.boots[who]),
            leaving: false,
            places: 8,
            holdings: BTreeMap::new(),
            copies: [].into(),
        });
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Leave { who } => {
                let boot = Incarnation(self.boots[*who]);
                self.leave[*who] = true;
                self.choice.leave(self.now, &server(*who), boot);
            }
            Event::Rest { who, ms } => {
                let (boot, asked) = (Incarnation(self.boots[*who]), Duration::from_millis(*ms));
                self.rest[*who] = self.rest[*who].max(self.now + asked);
                self.choice.rest(self.now, &server(*who), boot, asked);
            }
            Event::Unlist { who } => self.choice.unlist(&server(*who)),
            Event::List { who } => self.list(*who),
            Event::Restart { who } => {
                self.boots[*who] += 1;
                (self.leave[*who], self.rest[*who]) = (false, Duration::ZERO);
                self.list(*who);
            }
            Event::Wait { ms } => self.now += Duration::from_millis(*ms),
            Event::Ask => self.ask(),
        }
    }

    fn ask(&mut self) {
        let chosen = self.choice.choose(self.now);
        let chosen = (0..SERVERS).find(|who| chosen.as_ref() == Some(&server(*who)));
        let breaks = |who: usize| self.leave[who] || self.now < self.rest[who];
        self.is_broken |= chosen.is_some_and(breaks);
    }
}

fn breaks<C: Choose>(events: &[Event]) -> bool {
    let mut world = World {
        choice: C::default(),
        now: Duration::ZERO,
        boots: [1; SERVERS],
        leave: [false; SERVERS],
        rest: [Duration::ZERO; SERVERS],
        is_broken: false,
    };
    (0..SERVERS).for_each(|who| world.list(who));
    for event in events {
        world.apply(event);
    }
    world.is_broken
}

/// Guards against requests to servers that said they leave or want a rest.
#[test]
fn servers_that_leave_or_rest_get_nothing() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 5..60, &event()) {
        schedule::assert_holds(&schedule, breaks::<Balance>);
        tally.add(breaks::<Naive>(&schedule), false);
    }
    tally.check("notice");
}
