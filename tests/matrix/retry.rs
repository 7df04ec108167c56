//! All instances together keep to one retry budget, while they start, restart, learn the number of
//! instances, and are busy or idle.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::retry::Budget;
use poplarseam::world::deployment::Allowance;
use proptest::prelude::*;
use std::time::Duration;

const SEED: u8 = 9;
const SCHEDULES: usize = 3000;
const INSTANCES: usize = 6;
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

#[derive(Debug, Clone)]
enum Event {
    /// Requests arrive at an instance, and each attempt fails.
    Fail {
        index: usize,
        requests: usize,
    },
    /// Requests arrive at an instance and are served.
    Serve {
        index: usize,
        requests: usize,
    },
    /// An instance restarts without any state.
    Restart {
        index: usize,
    },
    RestartAll,
    /// An instance reads the list of all instances.
    Learn {
        index: usize,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let index = || 0..INSTANCES;
    prop_oneof![
        8 => (index(), 1..60_usize).prop_map(|(index, requests)| Event::Fail { index, requests }),
        2 => (index(), 1..400_usize).prop_map(|(index, requests)| Event::Serve { index, requests }),
        3 => index().prop_map(|index| Event::Restart { index }),
        1 => Just(Event::RestartAll),
        4 => index().prop_map(|index| Event::Learn { index }),
        4 => (1..6_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// Retry budget of one instance: this project's, or the naive one that it used before.
trait Limiter {
    fn first_start() -> Self;
    fn start(now: Duration) -> Self;
    fn on_first_attempt(&mut self, now: Duration, sharers: Option<u32>);
    fn take(&mut self, now: Duration, sharers: Option<u32>) -> bool;
}

impl Limiter for Budget {
    fn first_start() -> Self {
        let mut budget = Self::new(ALLOWANCE, Duration::ZERO);
        budget.on_first_start();
        budget
    }

    fn start(now: Duration) -> Self {
        Self::new(ALLOWANCE, now)
    }

    fn on_first_attempt(&mut self, now: Duration, sharers: Option<u32>) {
        Self::on_first_attempt(self, now, sharers);
    }

    fn take(&mut self, now: Duration, sharers: Option<u32>) -> bool {
        Self::take(self, now, sharers)
    }
}

/// Computes its share at its first retry and keeps it, so that each restarted instance has a full
/// share again at once.
struct Naive {
    share: Option<f64>,
    left: f64,
}

impl Limiter for Naive {
    fn first_start() -> Self {
        Self::start(Duration::ZERO)
    }

    fn start(_now: Duration) -> Self {
        Self {
            share: None,
            left: 0.0,
        }
    }

    fn on_first_attempt(&mut self, _now: Duration, _sharers: Option<u32>) {
        if let Some(share) = self.share {
            self.left = (self.left + ALLOWANCE.ratio / 2.0).min(share);
        }
    }

    fn take(&mut self, _now: Duration, sharers: Option<u32>) -> bool {
        if self.share.is_none() {
            self.left = ALLOWANCE.extra / 2.0 / f64::from(sharers.unwrap_or(1));
            self.share = Some(self.left);
        }
        let is_allowed = self.left >= 1.0;
        if is_allowed {
            self.left -= 1.0;
        }
        is_allowed
    }
}

/// Simulated instances, and the times of first attempts and retries that reach the backend servers.
struct World<L> {
    now: Duration,
    limiters: Vec<(L, Option<u32>)>,
    first_attempts: Vec<Duration>,
    retries: Vec<Duration>,
}

impl<L: Limiter> World<L> {
    fn new() -> Self {
        let limiters = (0..INSTANCES).map(|_| (L::first_start(), None));
        Self {
            now: Duration::ZERO,
            limiters: limiters.collect(),
            first_attempts: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn request(&mut self, index: usize, requests: usize, fail: bool) {
        for _ in 0..requests {
            let (limiter, sharers) = &mut self.limiters[index];
            limiter.on_first_attempt(self.now, *sharers);
            self.first_attempts.push(self.now);
            if fail && limiter.take(self.now, *sharers) {
                self.retries.push(self.now);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.limiters[index] = (L::start(self.now), None);
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Fail { index, requests } => self.request(*index, *requests, true),
            Event::Serve { index, requests } => self.request(*index, *requests, false),
            Event::Restart { index } => self.restart(*index),
            Event::RestartAll => (0..INSTANCES).for_each(|index| self.restart(index)),
            Event::Learn { index } => self.limiters[*index].1 = u32::try_from(INSTANCES).ok(),
            Event::Wait { ms } => self.now += Duration::from_millis(*ms),
        }
    }

    /// Returns whether some window has more retries than are allowed for its first attempts.
    fn exceeds_budget(&self) -> bool {
        self.retries.iter().any(|window_start| {
            let end = *window_start + ALLOWANCE.window;
            let count = |times: &[Duration]| {
                let before = |until| times.partition_point(|at| *at < until);
                f64::from(u32::try_from(before(end) - before(*window_start)).unwrap())
            };
            count(&self.retries) > ALLOWANCE.ratio * count(&self.first_attempts) + ALLOWANCE.extra
        })
    }
}

fn exceeds_budget<L: Limiter>(events: &[Event]) -> bool {
    let mut world = World::<L>::new();
    for event in events {
        world.apply(event);
    }
    world.exceeds_budget()
}

/// Guards against shares that sum to more than the budget while instances start, restart or learn
/// their number.
#[test]
fn all_instances_together_keep_to_one_retry_budget() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 5..60, &event()) {
        schedule::assert_holds(&schedule, exceeds_budget::<Budget>);
        tally.add(exceeds_budget::<Naive>(&schedule), false);
    }
    tally.check("retry");
}
