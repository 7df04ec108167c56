//! A lease never has two holders, whatever faults the store and the processes have.

use super::schedule;
use super::store::{self, Fault, Store};
use super::tally::Tally;
use poplarseam::decide::lease::{Action, Lease, Timing};
use poplarseam::world::unit::Incarnation;
use proptest::prelude::*;
use std::time::Duration;

const TIMING: Timing = Timing {
    term: Duration::from_secs(3),
    margin: Duration::from_millis(500),
};
const SEED: u8 = 1;
const SCHEDULES: usize = 3000;

#[derive(Debug, Clone)]
enum Event {
    /// One contender runs a step; the store's answer takes some time and may fail.
    Step {
        contender: usize,
        fault: Fault,
        latency_ms: u64,
    },
    /// Time passes; a contender without a step in that time behaves as if paused.
    Elapse {
        ms: u64,
    },
    Resign {
        contender: usize,
    },
    DeliverLate,
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let fault = store::fault(6);
    prop_oneof![
        8 => (0..3_usize, fault, prop_oneof![Just(1_u64), 1..800_u64, 800..4000_u64])
            .prop_map(|(contender, fault, latency_ms)| Event::Step { contender, fault, latency_ms }),
        4 => prop_oneof![1..500_u64, 500..4000_u64].prop_map(|ms| Event::Elapse { ms }),
        1 => (0..3_usize).prop_map(|contender| Event::Resign { contender }),
        1 => Just(Event::DeliverLate),
    ]
}

#[derive(Default)]
struct World {
    store: Store,
    now: Duration,
}

impl World {
    fn run_step(&mut self, lease: &mut Lease, fault: Fault, latency: Duration) {
        match lease.tick(self.now) {
            Action::Wait => {}
            Action::Read => {
                let row = self.store.table.read("lease");
                self.now += latency;
                if fault == Fault::None {
                    lease.on_read(self.now, row.as_ref());
                }
            }
            Action::Commit(txn) => {
                let answer = self.store.commit(&txn, fault);
                self.now += latency;
                lease.on_commit(self.now, answer);
            }
        }
    }
}

/// Whether two contenders held the lease at the same time. With `checks_naive`, also counts
/// contenders of the naive variant, which trusts its last renewal forever.
fn has_two_holders(schedule: &[Event], checks_naive: bool) -> bool {
    let mut world = World::default();
    let mut leases: Vec<Lease> = (0..3)
        .map(|contender| {
            let name = format!("i{contender}").parse().unwrap();
            Lease::new("lease".into(), name, Incarnation(1), TIMING)
        })
        .collect();
    let mut naive_holders = [false; 3];
    for event in schedule {
        match event {
            Event::Step {
                contender,
                fault,
                latency_ms,
            } => {
                world.run_step(
                    &mut leases[*contender],
                    *fault,
                    Duration::from_millis(*latency_ms),
                );
                naive_holders[*contender] = leases[*contender].fence(world.now).is_some();
            }
            Event::Elapse { ms } => world.now += Duration::from_millis(*ms),
            Event::Resign { contender } => {
                naive_holders[*contender] = false;
                if let Some(txn) = leases[*contender].resign() {
                    world.store.table.commit(&txn);
                }
            }
            Event::DeliverLate => {
                world.store.deliver_late();
            }
        }
        let holding = leases
            .iter()
            .filter(|lease| lease.fence(world.now).is_some())
            .count();
        let naive_count = naive_holders.iter().filter(|held| **held).count();
        if holding > 1 || (checks_naive && naive_count > 1) {
            return true;
        }
    }
    false
}

#[test]
fn lease_has_at_most_one_holder_in_every_schedule() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 10..80, &event()) {
        schedule::assert_holds(&schedule, |schedule| has_two_holders(schedule, false));
        tally.add(has_two_holders(&schedule, true), false);
    }
    tally.check("lease");
}

/// After the holder stops, another contender acquires the lease within the lease term plus 1 s.
#[test]
fn lease_is_taken_over_after_its_term() {
    let mut world = World::default();
    let lease = |name: &str| {
        Lease::new(
            "lease".into(),
            name.parse().unwrap(),
            Incarnation(1),
            TIMING,
        )
    };
    let (mut first, mut second) = (lease("i0"), lease("i1"));
    for _ in 0..5 {
        world.run_step(&mut first, Fault::None, Duration::from_millis(1));
        world.run_step(&mut second, Fault::None, Duration::from_millis(1));
    }
    assert!(first.fence(world.now).is_some());
    let holder_stopped_at = world.now;
    while second.fence(world.now).is_none() {
        world.now += Duration::from_millis(100);
        world.run_step(&mut second, Fault::None, Duration::from_millis(1));
    }
    assert!(
        world.now.checked_sub(holder_stopped_at).unwrap() < TIMING.term + Duration::from_secs(1)
    );
}
