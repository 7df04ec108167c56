//! Instances that hear late of each other, are cut off and start anew keep together to the limit that a
//! server names.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::limit::{Crowd, Limits, Sent, Usage};
use poplarseam::world::id;
use poplarseam::world::unit::{Incarnation, Rate};
use proptest::prelude::*;
use std::time::Duration;

const SEED: u8 = 11;
const SCHEDULES: usize = 3000;
const INSTANCES: usize = 6;
const BOOT: Incarnation = Incarnation(1);
/// What a server may get within a span, as a multiple of its limit and on top.
const SPAN: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 1.5;
const EXTRA: f64 = 5.0;
/// An instance is bound by what it passed on this long ago, and excused for so long after a disturbance;
/// a server is bound to be spared so long after it first named its limit.
const HEARD: Duration = Duration::from_millis(500);
const SETTLED: Duration = Duration::from_secs(4);
/// Time between the news of instances.
const NEWS: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
enum Event {
    /// Requests come to an instance at once.
    Ask {
        who: usize,
        count: u32,
    },
    /// The server names another limit, in tenths of a request a second.
    Name {
        tenths: u32,
    },
    /// An instance hears no other one, and is not heard, until it is joined again.
    Cut {
        who: usize,
    },
    Join {
        who: usize,
    },
    Restart {
        who: usize,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let who = || 0..INSTANCES;
    prop_oneof![
        20 => (who(), 1..4_u32).prop_map(|(who, count)| Event::Ask { who, count }),
        1 => (5..60_u32).prop_map(|tenths| Event::Name { tenths }),
        1 => who().prop_map(|who| Event::Cut { who }),
        2 => who().prop_map(|who| Event::Join { who }),
        1 => who().prop_map(|who| Event::Restart { who }),
        12 => (1..400_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// One instance, as far as it keeps to the limit.
trait Keep: Default {
    fn hear_limit(&mut self, now: Duration, rate: Rate);
    fn hear_peers(&mut self, now: Duration, crowd: Crowd, others: u32);
    fn recent(&self, now: Duration) -> u32;
    fn may_send(&mut self, now: Duration, draw: f64) -> bool;
    fn send(&mut self, now: Duration);
}

fn server() -> id::Worker {
    "a".parse().unwrap()
}

/// This project's choice.
#[derive(Default)]
struct Ours {
    limits: Limits,
    sent: Sent,
    asked: Sent,
    others: u32,
    crowd: Crowd,
    heard_at: Duration,
}

impl Keep for Ours {
    fn hear_limit(&mut self, now: Duration, rate: Rate) {
        self.limits.on_said(now, &server(), BOOT, Some(rate));
    }

    fn hear_peers(&mut self, now: Duration, crowd: Crowd, others: u32) {
        (self.crowd, self.others, self.heard_at) = (crowd, others, now);
    }

    fn recent(&self, now: Duration) -> u32 {
        let limit = self.limits.of(&server(), BOOT);
        limit.map_or(0, |limit| self.sent.recent(now, limit))
    }

    fn may_send(&mut self, now: Duration, draw: f64) -> bool {
        self.asked.add(now);
        let Some(limit) = self.limits.of(&server(), BOOT) else {
            return true;
        };
        let news_age = now.saturating_sub(self.heard_at) + NEWS / 2;
        let usage = Usage {
            limit,
            unheard: self.sent.within(now, news_age),
            news_age,
            own: self.sent.recent(now, limit),
            asked: self.asked.recent(now, limit),
            others: self.others,
            crowd: self.crowd,
        };
        usage.wait(draw).is_none()
    }

    fn send(&mut self, now: Duration) {
        self.sent.add(now);
    }
}

/// Keeps to the limit by itself, as if nobody else sent there.
#[derive(Default)]
struct Naive(Ours);

impl Keep for Naive {
    fn hear_limit(&mut self, now: Duration, rate: Rate) {
        self.0.hear_limit(now, rate);
    }

    fn hear_peers(&mut self, _now: Duration, _crowd: Crowd, _others: u32) {}

    fn recent(&self, _now: Duration) -> u32 {
        0
    }

    fn may_send(&mut self, now: Duration, draw: f64) -> bool {
        self.0.may_send(now, draw)
    }

    fn send(&mut self, now: Duration) {
        self.0.send(now);
    }
}

struct World<K> {
    now: Duration,
    told_at: Duration,
    instances: Vec<K>,
    is_cut: [bool; INSTANCES],
    /// When each instance first passed on an answer that named the limit, and when it was last disturbed.
    heard_at: [Option<Duration>; INSTANCES],
    disturbed_at: [Option<Duration>; INSTANCES],
    /// Limits that the server named, and when.
    rates: Vec<(Duration, f64)>,
    arrivals: Vec<(Duration, usize)>,
    draws: u64,
}

impl<K: Keep> World<K> {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            told_at: Duration::ZERO,
            instances: (0..INSTANCES).map(|_| K::default()).collect(),
            is_cut: [false; INSTANCES],
            heard_at: [None; INSTANCES],
            disturbed_at: [None; INSTANCES],
            rates: vec![(Duration::ZERO, 2.0)],
            arrivals: Vec::new(),
            draws: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Ask { who, count } => (0..*count).for_each(|_| self.ask(*who)),
            Event::Name { tenths } => self.rates.push((self.now, f64::from(*tenths) / 10.0)),
            Event::Cut { who } => self.is_cut[*who] = true,
            Event::Join { who } => {
                if std::mem::take(&mut self.is_cut[*who]) {
                    self.disturbed_at[*who] = Some(self.now);
                }
            }
            Event::Restart { who } => {
                self.instances[*who] = K::default();
                self.heard_at[*who] = None;
                self.disturbed_at[*who] = Some(self.now);
                self.tell();
            }
            Event::Wait { ms } => {
                let until = self.now + Duration::from_millis(*ms);
                while self.told_at + NEWS <= until {
                    self.told_at += NEWS;
                    self.now = self.told_at;
                    self.tell();
                }
                self.now = until;
            }
        }
    }

    /// All that are not cut off hear what the others sent.
    fn tell(&mut self) {
        let now = self.now;
        let recent: Vec<u32> = self.instances.iter().map(|it| it.recent(now)).collect();
        let joined = |who: usize| !self.is_cut[who];
        for who in 0..INSTANCES {
            let heard = (0..INSTANCES).filter(|peer| *peer != who && joined(who) && joined(*peer));
            let heard: Vec<usize> = heard.collect();
            let crowd = Crowd {
                heard: u32::try_from(heard.len()).unwrap() + 1,
                all: Some(u32::try_from(INSTANCES).unwrap()),
            };
            let others = heard.iter().map(|peer| recent[*peer]).sum();
            self.instances[who].hear_peers(now, crowd, others);
        }
    }

    fn ask(&mut self, who: usize) {
        self.draws += 1;
        let draw = self.draws.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let draw = f64::from(u32::try_from(draw).unwrap()) / f64::from(1 << 24);
        let rate = self.rates.last().unwrap().1;
        let instance = &mut self.instances[who];
        if instance.may_send(self.now, draw) {
            instance.send(self.now);
            instance.hear_limit(self.now, Rate(rate));
            self.heard_at[who].get_or_insert(self.now);
            self.arrivals.push((self.now, who));
        }
    }

    /// Whether an arrival counts: its instance is bound, and was not disturbed for a while.
    fn counts(&self, at: Duration, who: usize) -> bool {
        let was_told = self.heard_at[who].is_some_and(|heard| at >= heard + HEARD);
        let is_calm = self.disturbed_at[who].is_none_or(|disturbed| at >= disturbed + SETTLED);
        was_told && is_calm && !self.is_cut[who] && at >= SETTLED
    }

    fn is_broken(&self) -> bool {
        let end = self.arrivals.last().map_or(Duration::ZERO, |(at, _)| *at);
        let start = end.saturating_sub(SPAN);
        let recent = self.arrivals.iter().rev();
        let recent = recent.take_while(|(at, _)| *at > start);
        let counted = recent.filter(|(at, who)| self.counts(*at, *who));
        let counted = f64::from(u32::try_from(counted.count()).unwrap());
        let before = self.rates.iter().rposition(|(at, _)| *at <= start);
        let rates = self.rates[before.unwrap_or(0)..].iter();
        let most = rates.map(|(_, rate)| *rate).fold(0.0, f64::max);
        counted > TOLERANCE * most * SPAN.as_secs_f64() + EXTRA
    }
}

fn breaks<K: Keep>(events: &[Event]) -> bool {
    let mut world = World::<K>::new();
    events.iter().any(|event| {
        world.apply(event);
        matches!(event, Event::Ask { .. }) && world.is_broken()
    })
}

/// Guards against a limit that each instance keeps to by itself, so that a server gets it many times over.
#[test]
fn instances_keep_together_to_a_limit() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 60..300, &event()) {
        schedule::assert_holds(&schedule, breaks::<Ours>);
        tally.add(breaks::<Naive>(&schedule), false);
    }
    tally.check("limit");
}
