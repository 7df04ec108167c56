//! All instances together keep to one budget of retries, while they start, restart, learn how many
//! they are, and come under load or fall idle.

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
    /// Requests come to an instance, and each attempt fails.
    Fail {
        who: usize,
        requests: usize,
    },
    /// Requests come to an instance and are served.
    Serve {
        who: usize,
        requests: usize,
    },
    /// The process is replaced by one that knows nothing.
    Restart {
        who: usize,
    },
    RestartAll,
    /// An instance reads the list of all others.
    Learn {
        who: usize,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let who = || 0..INSTANCES;
    prop_oneof![
        8 => (who(), 1..60_usize).prop_map(|(who, requests)| Event::Fail { who, requests }),
        2 => (who(), 1..400_usize).prop_map(|(who, requests)| Event::Serve { who, requests }),
        3 => who().prop_map(|who| Event::Restart { who }),
        1 => Just(Event::RestartAll),
        4 => who().prop_map(|who| Event::Learn { who }),
        4 => (1..6_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// A part of the budget: this project's, or the one that it had before.
trait Part {
    fn first_start() -> Self;
    fn start(now: Duration) -> Self;
    fn on_first(&mut self, now: Duration, known: Option<u32>);
    fn take(&mut self, now: Duration, known: Option<u32>) -> bool;
}

impl Part for Budget {
    fn first_start() -> Self {
        let mut budget = Self::new(ALLOWANCE, Duration::ZERO);
        budget.on_first_start();
        budget
    }

    fn start(now: Duration) -> Self {
        Self::new(ALLOWANCE, now)
    }

    fn on_first(&mut self, now: Duration, known: Option<u32>) {
        Self::on_first(self, now, known);
    }

    fn take(&mut self, now: Duration, known: Option<u32>) -> bool {
        Self::take(self, now, known)
    }
}

/// Full at its start; its share is worked out at its first retry and kept.
struct Naive {
    share: Option<f64>,
    left: f64,
}

impl Part for Naive {
    fn first_start() -> Self {
        Self::start(Duration::ZERO)
    }

    fn start(_now: Duration) -> Self {
        Self {
            share: None,
            left: 0.0,
        }
    }

    fn on_first(&mut self, _now: Duration, _known: Option<u32>) {
        if let Some(share) = self.share {
            self.left = (self.left + ALLOWANCE.ratio / 2.0).min(share);
        }
    }

    fn take(&mut self, _now: Duration, known: Option<u32>) -> bool {
        if self.share.is_none() {
            self.left = ALLOWANCE.extra / 2.0 / f64::from(known.unwrap_or(1));
            self.share = Some(self.left);
        }
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}

/// What back ends count: times of first attempts and of retries.
struct World<P> {
    now: Duration,
    parts: Vec<(P, Option<u32>)>,
    firsts: Vec<Duration>,
    retries: Vec<Duration>,
}

impl<P: Part> World<P> {
    fn new() -> Self {
        let parts = (0..INSTANCES).map(|_| (P::first_start(), None));
        Self {
            now: Duration::ZERO,
            parts: parts.collect(),
            firsts: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn ask(&mut self, who: usize, requests: usize, fail: bool) {
        for _ in 0..requests {
            let (part, known) = &mut self.parts[who];
            part.on_first(self.now, *known);
            self.firsts.push(self.now);
            if fail && part.take(self.now, *known) {
                self.retries.push(self.now);
            }
        }
    }

    fn restart(&mut self, who: usize) {
        self.parts[who] = (P::start(self.now), None);
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Fail { who, requests } => self.ask(*who, *requests, true),
            Event::Serve { who, requests } => self.ask(*who, *requests, false),
            Event::Restart { who } => self.restart(*who),
            Event::RestartAll => (0..INSTANCES).for_each(|who| self.restart(who)),
            Event::Learn { who } => self.parts[*who].1 = u32::try_from(INSTANCES).ok(),
            Event::Wait { ms } => self.now += Duration::from_millis(*ms),
        }
    }

    /// Whether some window has more retries than are allowed for the first attempts in it.
    fn breaks(&self) -> bool {
        self.retries.iter().any(|begin| {
            let end = *begin + ALLOWANCE.window;
            let count = |times: &[Duration]| {
                let before = |until| times.partition_point(|at| *at < until);
                f64::from(u32::try_from(before(end) - before(*begin)).unwrap())
            };
            count(&self.retries) > ALLOWANCE.ratio * count(&self.firsts) + ALLOWANCE.extra
        })
    }
}

fn breaks<P: Part>(events: &[Event]) -> bool {
    let mut world = World::<P>::new();
    for event in events {
        world.apply(event);
    }
    world.breaks()
}

/// Guards against shares that sum to more than the budget, whoever starts, restarts or learns of
/// others at which time.
#[test]
fn all_instances_together_keep_to_one_budget_of_retries() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 5..60, &event()) {
        schedule::assert_holds(&schedule, breaks::<Budget>);
        tally.add(breaks::<Naive>(&schedule), false);
    }
    tally.check("retry");
}
