//! All instances together keep to the rate limit that a server names, despite delayed gossip,
//! partitions and restarts.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::limit::{Limits, Sharers, Timestamps, Usage};
use poplarseam::world::id;
use poplarseam::world::unit::{Incarnation, Rate};
use proptest::prelude::*;
use std::time::Duration;

const SEED: u8 = 11;
const SCHEDULES: usize = 3000;
const INSTANCES: usize = 6;
const BOOT: Incarnation = Incarnation(1);
/// Requests that a server may get within a window: a multiple of its limit, plus a constant.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// An arrival counts against the limit once `ANNOUNCE_DELAY` has passed since its instance first
/// received the limit, and `RECOVERY_TIME` since the last disturbance of the instance and since the
/// start of the simulation.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(500);
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Interval of gossip between instances.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
enum Event {
    /// Requests arrive at an instance at once.
    Request {
        index: usize,
        count: u32,
    },
    /// The server names another limit, in tenths of a request per second.
    SetLimit {
        tenths: u32,
    },
    /// An instance is partitioned from all others until it rejoins.
    Partition {
        index: usize,
    },
    Rejoin {
        index: usize,
    },
    Restart {
        index: usize,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let index = || 0..INSTANCES;
    prop_oneof![
        20 => (index(), 1..4_u32).prop_map(|(index, count)| Event::Request { index, count }),
        1 => (5..60_u32).prop_map(|tenths| Event::SetLimit { tenths }),
        1 => index().prop_map(|index| Event::Partition { index }),
        2 => index().prop_map(|index| Event::Rejoin { index }),
        1 => index().prop_map(|index| Event::Restart { index }),
        12 => (1..400_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// Rate limiting of one instance.
trait Limiter: Default {
    fn on_limit(&mut self, now: Duration, rate: Rate);
    fn on_peers(&mut self, now: Duration, sharers: Sharers, others: u32);
    fn recent(&self, now: Duration) -> u32;
    fn may_send(&mut self, now: Duration, draw: f64) -> bool;
    fn send(&mut self, now: Duration);
}

fn server() -> id::Worker {
    "a".parse().unwrap()
}

/// Limiter of this project, which counts the requests of all instances.
#[derive(Default)]
struct Cooperative {
    limits: Limits,
    sent: Timestamps,
    requested: Timestamps,
    others: u32,
    sharers: Sharers,
    received_at: Duration,
}

impl Limiter for Cooperative {
    fn on_limit(&mut self, now: Duration, rate: Rate) {
        self.limits.on_answer(now, &server(), BOOT, Some(rate));
    }

    fn on_peers(&mut self, now: Duration, sharers: Sharers, others: u32) {
        (self.sharers, self.others, self.received_at) = (sharers, others, now);
    }

    fn recent(&self, now: Duration) -> u32 {
        let limit = self.limits.limit_for(&server(), BOOT);
        limit.map_or(0, |limit| self.sent.recent(now, limit))
    }

    fn may_send(&mut self, now: Duration, draw: f64) -> bool {
        self.requested.add(now);
        let Some(limit) = self.limits.limit_for(&server(), BOOT) else {
            return true;
        };
        let gossip_age = now.saturating_sub(self.received_at) + GOSSIP_INTERVAL / 2;
        let usage = Usage {
            limit,
            unreported: self.sent.within(now, gossip_age),
            gossip_age,
            own: self.sent.recent(now, limit),
            requested: self.requested.recent(now, limit),
            others: self.others,
            sharers: self.sharers,
        };
        usage.wait(draw).is_none()
    }

    fn send(&mut self, now: Duration) {
        self.sent.add(now);
    }
}

/// Limiter that keeps to the limit by itself, as if no other instance sent requests.
#[derive(Default)]
struct Naive(Cooperative);

impl Limiter for Naive {
    fn on_limit(&mut self, now: Duration, rate: Rate) {
        self.0.on_limit(now, rate);
    }

    fn on_peers(&mut self, _now: Duration, _sharers: Sharers, _others: u32) {}

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

struct World<L> {
    now: Duration,
    gossiped_at: Duration,
    instances: Vec<L>,
    is_partitioned: [bool; INSTANCES],
    /// When each instance first received an answer that named the limit, and when it was last
    /// disturbed.
    received_at: [Option<Duration>; INSTANCES],
    disturbed_at: [Option<Duration>; INSTANCES],
    /// Limits that the server named, and when.
    rates: Vec<(Duration, f64)>,
    arrivals: Vec<(Duration, usize)>,
    draws: u64,
}

impl<L: Limiter> World<L> {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            gossiped_at: Duration::ZERO,
            instances: (0..INSTANCES).map(|_| L::default()).collect(),
            is_partitioned: [false; INSTANCES],
            received_at: [None; INSTANCES],
            disturbed_at: [None; INSTANCES],
            rates: vec![(Duration::ZERO, 2.0)],
            arrivals: Vec::new(),
            draws: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Request { index, count } => (0..*count).for_each(|_| self.request(*index)),
            Event::SetLimit { tenths } => self.rates.push((self.now, f64::from(*tenths) / 10.0)),
            Event::Partition { index } => self.is_partitioned[*index] = true,
            Event::Rejoin { index } => {
                if std::mem::take(&mut self.is_partitioned[*index]) {
                    self.disturbed_at[*index] = Some(self.now);
                }
            }
            Event::Restart { index } => {
                self.instances[*index] = L::default();
                self.received_at[*index] = None;
                self.disturbed_at[*index] = Some(self.now);
                self.exchange_gossip();
            }
            Event::Wait { ms } => {
                let until = self.now + Duration::from_millis(*ms);
                while self.gossiped_at + GOSSIP_INTERVAL <= until {
                    self.gossiped_at += GOSSIP_INTERVAL;
                    self.now = self.gossiped_at;
                    self.exchange_gossip();
                }
                self.now = until;
            }
        }
    }

    /// Reports to each instance the requests of the others, except across partitions.
    fn exchange_gossip(&mut self) {
        let now = self.now;
        let recent: Vec<u32> = self.instances.iter().map(|it| it.recent(now)).collect();
        let is_connected = |index: usize| !self.is_partitioned[index];
        for index in 0..INSTANCES {
            let peers = (0..INSTANCES)
                .filter(|peer| *peer != index && is_connected(index) && is_connected(*peer));
            let peers: Vec<usize> = peers.collect();
            let sharers = Sharers {
                reachable: u32::try_from(peers.len()).unwrap() + 1,
                total: Some(u32::try_from(INSTANCES).unwrap()),
            };
            let others = peers.iter().map(|peer| recent[*peer]).sum();
            self.instances[index].on_peers(now, sharers, others);
        }
    }

    fn request(&mut self, index: usize) {
        self.draws += 1;
        let draw = self.draws.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let draw = f64::from(u32::try_from(draw).unwrap()) / f64::from(1 << 24);
        let rate = self.rates.last().unwrap().1;
        let instance = &mut self.instances[index];
        if instance.may_send(self.now, draw) {
            instance.send(self.now);
            instance.on_limit(self.now, Rate(rate));
            self.received_at[index].get_or_insert(self.now);
            self.arrivals.push((self.now, index));
        }
    }

    /// Returns whether an arrival counts: its instance knows the limit, is connected and was not
    /// disturbed recently.
    fn is_counted(&self, at: Duration, index: usize) -> bool {
        let is_bound = self.received_at[index].is_some_and(|peers| at >= peers + ANNOUNCE_DELAY);
        let is_recovered =
            self.disturbed_at[index].is_none_or(|disturbed| at >= disturbed + RECOVERY_TIME);
        is_bound && is_recovered && !self.is_partitioned[index] && at >= RECOVERY_TIME
    }

    fn exceeds_limit(&self) -> bool {
        let end = self.arrivals.last().map_or(Duration::ZERO, |(at, _)| *at);
        let start = end.saturating_sub(WINDOW);
        let recent = self.arrivals.iter().rev();
        let recent = recent.take_while(|(at, _)| *at > start);
        let counted = recent.filter(|(at, index)| self.is_counted(*at, *index));
        let counted = f64::from(u32::try_from(counted.count()).unwrap());
        let first = self.rates.iter().rposition(|(at, _)| *at <= start);
        let rates = self.rates[first.unwrap_or(0)..].iter();
        let max_rate = rates.map(|(_, rate)| *rate).fold(0.0, f64::max);
        counted > TOLERANCE * max_rate * WINDOW.as_secs_f64() + EXTRA_REQUESTS
    }
}

fn violates<L: Limiter>(events: &[Event]) -> bool {
    let mut world = World::<L>::new();
    events.iter().any(|event| {
        world.apply(event);
        matches!(event, Event::Request { .. }) && world.exceeds_limit()
    })
}

/// Guards against instances that each keep to the limit by themselves, so that a server gets many
/// times the requests that it accepts.
#[test]
fn instances_together_keep_to_a_limit() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 60..300, &event()) {
        schedule::assert_holds(&schedule, violates::<Cooperative>);
        tally.add(violates::<Naive>(&schedule), false);
    }
    tally.check("limit");
}
