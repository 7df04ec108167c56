//! The shares of a limit never sum to more than the limit, even if the store fails, writes take
//! effect late, and instances restart or are removed.

use super::schedule;
use super::store::{self, Fault, Store};
use super::tally::Tally;
use poplarseam::decide::share::{Demand, Share, estimate_own_demand, fair_share};
use poplarseam::world::id::Instance;
use poplarseam::world::table::{Commit, Failure};
use poplarseam::world::unit::Rate;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SEED: u8 = 3;
const SCHEDULES: usize = 3000;
const LIMIT: f64 = 100.0;
const INSTANCES: usize = 4;

#[derive(Debug, Clone)]
enum Event {
    Adjust {
        index: usize,
        fault: Fault,
    },
    /// The demand at an instance changes.
    Demand {
        index: usize,
        rate: u32,
    },
    /// The instance's process is replaced by one without state.
    Restart {
        index: usize,
    },
    /// The instance ends, and the platform removes it from its list.
    Remove {
        index: usize,
    },
    DeliverLate,
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let index = || 0..INSTANCES;
    let fault = store::fault(6);
    prop_oneof![
        10 => (index(), fault).prop_map(|(index, fault)| Event::Adjust { index, fault }),
        5 => (index(), 0..200_u32).prop_map(|(index, rate)| Event::Demand { index, rate }),
        1 => index().prop_map(|index| Event::Restart { index }),
        1 => index().prop_map(|index| Event::Remove { index }),
        2 => Just(Event::DeliverLate),
    ]
}

fn name(index: usize) -> Instance {
    format!("i{index}").parse().unwrap()
}

struct World {
    store: Store,
    demand: Demand,
    shares: BTreeMap<usize, Share>,
}

impl World {
    fn new() -> Self {
        let share = |index| (index, Share::new(name(index), Duration::ZERO));
        Self {
            store: Store::default(),
            demand: (0..INSTANCES).map(|index| (name(index), 0.0)).collect(),
            shares: (0..INSTANCES).map(share).collect(),
        }
    }

    fn sum(&self) -> f64 {
        self.shares.values().map(|share| share.granted().0).sum()
    }

    fn adjust(&mut self, index: usize, fault: Fault) {
        let row = self.store.table.read("share");
        let running: Vec<Instance> = self.shares.keys().map(|index| name(*index)).collect();
        let Some(share) = self.shares.get_mut(&index) else {
            return;
        };
        let is_listed = |instance: &Instance| running.contains(instance);
        let now = Duration::ZERO;
        let txn = share.adjust(
            now,
            "share",
            row.as_ref(),
            Rate(LIMIT),
            &self.demand,
            is_listed,
        );
        let Some(txn) = txn else { return };
        match self.store.commit(&txn, fault) {
            Ok(Commit::Done(_)) => share.on_committed(now, &txn),
            Ok(Commit::Conflict(_)) | Err(Failure::Refused) => share.on_refused(),
            Err(Failure::Lost) => {}
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Adjust { index, fault } => self.adjust(*index, *fault),
            Event::Demand { index, rate } => {
                self.demand.insert(name(*index), f64::from(*rate));
            }
            Event::Restart { index } => {
                self.shares
                    .insert(*index, Share::new(name(*index), Duration::ZERO));
            }
            Event::Remove { index } => {
                self.shares.remove(index);
                self.demand.remove(&name(*index));
            }
            Event::DeliverLate => {
                self.store.deliver_late();
            }
        }
    }
}

fn implementation_breaks(schedule: &[Event]) -> bool {
    let mut world = World::new();
    schedule.iter().any(|event| {
        world.apply(event);
        world.sum() > LIMIT + 1e-6
    })
}

/// Naive baseline in which each instance computes its share from demand alone, without a write to
/// the store.
fn baseline_breaks(schedule: &[Event]) -> bool {
    let mut parts = [LIMIT / 4.0; INSTANCES];
    let mut demand: Demand = (0..INSTANCES).map(|index| (name(index), 1.0)).collect();
    schedule.iter().any(|event| {
        match event {
            Event::Demand { index, rate } => {
                demand.insert(name(*index), f64::from(*rate));
            }
            Event::Adjust {
                index,
                fault: Fault::None,
            } => {
                let total: f64 = demand.values().sum();
                parts[*index] = LIMIT * demand[&name(*index)] / total.max(1.0);
            }
            _ => {}
        }
        parts.iter().sum::<f64>() > LIMIT + 1e-6
    })
}

#[test]
fn shares_never_exceed_the_limit_in_any_schedule() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 5..100, &event()) {
        schedule::assert_holds(&schedule, implementation_breaks);
        tally.add(baseline_breaks(&schedule), false);
    }
    tally.check("share");
}

/// Guards against an instance that rejects callers just after its start: it is ready, but its share
/// has shrunk to that of an instance without callers.
#[test]
fn an_instance_that_has_just_started_keeps_an_average_share() {
    let other_demand: Demand = [(name(1), 10.0), (name(2), 20.0)].into();
    let part = |at_ms| {
        let own_rate = estimate_own_demand(Duration::from_millis(at_ms), 0.0, &other_demand);
        let mut demand = other_demand.clone();
        demand.insert(name(0), own_rate);
        fair_share(Rate(LIMIT), &name(0), &demand)
    };
    assert!(part(100) > LIMIT * 0.3, "{}", part(100));
    assert!(part(3_000) < LIMIT * 0.05, "{}", part(3_000));
}

/// With demand at one instance only, its share becomes more than 95 % of the limit.
#[test]
fn shares_follow_demand() {
    let mut world = World::new();
    for index in (0..INSTANCES).chain(0..INSTANCES) {
        world.adjust(index, Fault::None);
    }
    world.apply(&Event::Demand {
        index: 2,
        rate: 500,
    });
    for _ in 0..2 {
        (0..INSTANCES).for_each(|index| world.adjust(index, Fault::None));
    }
    assert!(
        world.shares[&2].granted().0 > LIMIT * 0.95,
        "{:?}",
        world.shares[&2].granted()
    );
}
