//! The engine's memory is never overcommitted, even if two keepers reserve memory at the same time,
//! orders are lost, late or duplicated, the engine crashes, or it ignores fences.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::ledger::{Engine, Kind, Ledger, Record, Report};
use poplarseam::world::artifact::Artifact;
use poplarseam::world::table::{Check, Commit, Txn};
use poplarseam::world::unit::Bytes;
use proptest::prelude::*;
use standins::engine::{Memory, Order};
use standins::table::Table;
use std::time::Duration;

const SEED: u8 = 1;
const SCHEDULES: usize = 3000;
const MEMORY: u64 = 100;
const ORDER_DELAY: Duration = Duration::from_secs(5);
const ARTIFACTS: [(&str, u64); 4] = [("a", 60), ("b", 50), ("c", 40), ("d", 30)];

#[derive(Debug, Clone)]
enum Event {
    Load {
        keeper: usize,
        artifact: usize,
        answer_lost: bool,
    },
    Unload {
        keeper: usize,
        artifact: usize,
        answer_lost: bool,
    },
    /// The lease holder sends its outstanding order; copies of it may arrive later.
    Send {
        arrives: bool,
        copies_ms: Vec<u64>,
    },
    /// The engine finishes the oldest order that it is working on.
    Finish,
    Report {
        keeper: usize,
    },
    /// The other keeper takes over the lease; the previous holder may still try to write.
    TakeOver,
    Crash,
    Advance {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let order = || {
        (
            0..2_usize,
            0..ARTIFACTS.len(),
            proptest::bool::weighted(0.1),
        )
    };
    prop_oneof![
        4 => order()
            .prop_map(|(keeper, artifact, answer_lost)| Event::Load { keeper, artifact, answer_lost }),
        4 => order()
            .prop_map(|(keeper, artifact, answer_lost)| Event::Unload { keeper, artifact, answer_lost }),
        6 => (proptest::bool::weighted(0.8), proptest::collection::vec(0..5000_u64, 0..3))
            .prop_map(|(arrives, copies_ms)| Event::Send { arrives, copies_ms }),
        6 => Just(Event::Finish),
        8 => (0..2_usize).prop_map(|keeper| Event::Report { keeper }),
        1 => Just(Event::TakeOver),
        1 => Just(Event::Crash),
        4 => prop_oneof![1..500_u64, 500..6000_u64].prop_map(|ms| Event::Advance { ms }),
    ]
}

/// A process that orders loads and unloads, with the row versions on which its writes are
/// conditional.
struct Keeper {
    ledger: Ledger,
    ledger_version: u64,
    lease_version: u64,
}

struct World {
    table: Table,
    memory: Memory,
    now: Duration,
    /// Copies of orders in transit, with their times of arrival.
    in_transit: Vec<(Duration, Order)>,
    running: Vec<Order>,
    keepers: Vec<Keeper>,
    lease_holder: usize,
    checks_fences: bool,
}

fn artifact(at: usize) -> Artifact {
    format!("site/{}@v1", ARTIFACTS[at].0).parse().unwrap()
}

impl World {
    fn new(checks_fences: bool) -> Self {
        let mut world = Self {
            table: Table::default(),
            memory: Memory::new(MEMORY, checks_fences),
            now: Duration::ZERO,
            in_transit: Vec::new(),
            running: Vec::new(),
            keepers: Vec::new(),
            lease_holder: 1,
            checks_fences,
        };
        world.keepers = vec![world.read(), world.read()];
        world.take_over();
        world
    }

    /// Lets the other keeper write the lease's row and read the ledger's record.
    fn take_over(&mut self) {
        self.lease_holder = 1 - self.lease_holder;
        let version = self.table.read("lease").map_or(0, |row| row.version);
        let txn = Txn::default().put("lease", version, self.lease_holder.into());
        let Commit::Done(versions) = self.table.commit(&txn) else {
            panic!("conflict on the lease's row")
        };
        self.keepers[self.lease_holder] = self.read();
        self.keepers[self.lease_holder].lease_version = versions[0];
    }

    /// Returns a keeper that has read the current record.
    fn read(&mut self) -> Keeper {
        let row = self.table.read("ledger");
        let record = row.as_ref().map_or_else(Record::default, |row| {
            serde_json::from_value(row.value.clone()).unwrap()
        });
        let engine = Engine {
            memory: Bytes(MEMORY),
            checks_fences: self.checks_fences,
            order_delay: ORDER_DELAY,
        };
        let ledger = Ledger::new("w", engine, record, self.now);
        Keeper {
            ledger,
            ledger_version: row.map_or(0, |row| row.version),
            lease_version: 0,
        }
    }

    fn commit(&mut self, keeper: usize, record: Record, answer_lost: bool) {
        let value = serde_json::to_value(&record).unwrap();
        let lease_version = self.keepers[keeper].lease_version;
        let check = Check {
            key: "lease".into(),
            version: lease_version,
        };
        let txn = Txn::default()
            .put("ledger", self.keepers[keeper].ledger_version, value)
            .check(check);
        match self.table.commit(&txn) {
            Commit::Done(versions) if !answer_lost => {
                self.keepers[keeper].ledger_version = versions[0];
                self.keepers[keeper].ledger.on_committed(self.now, record);
            }
            _ => {
                self.keepers[keeper] = Keeper {
                    lease_version,
                    ..self.read()
                }
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            self.in_transit.sort_by_key(|(at, _)| *at);
            if self.in_transit.first().is_none_or(|(at, _)| *at > until) {
                break;
            }
            let (at, order) = self.in_transit.remove(0);
            self.now = self.now.max(at);
            self.arrive(order);
        }
        self.now = until;
    }

    fn arrive(&mut self, order: Order) {
        if self.memory.begin(&order) == Some(true) {
            self.running.push(order);
        }
    }

    fn send(&mut self, arrives: bool, copies_ms: &[u64]) {
        let Some(order) = self.keepers[self.lease_holder].ledger.on_send(self.now) else {
            return;
        };
        let order = Order {
            order: order.id("w"),
            fence: order.fence.0,
            load: order.kind == Kind::Load,
            artifact: order.artifact.to_string(),
            size: order.size.0,
        };
        for copy in copies_ms {
            let at = self.now + Duration::from_millis(*copy);
            self.in_transit.push((at, order.clone()));
        }
        if arrives {
            self.arrive(order);
        }
    }

    fn report(&self) -> Report {
        serde_json::from_value(self.memory.report()).unwrap()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Load {
                keeper,
                artifact: at,
                answer_lost,
            } => {
                let record = self.keepers[*keeper]
                    .ledger
                    .record_with_load(&artifact(*at), Bytes(ARTIFACTS[*at].1));
                if let Some(record) = record {
                    self.commit(*keeper, record, *answer_lost);
                }
            }
            Event::Unload {
                keeper,
                artifact: at,
                answer_lost,
            } => {
                if let Some(record) = self.keepers[*keeper]
                    .ledger
                    .record_with_unload(self.now, &artifact(*at))
                {
                    self.commit(*keeper, record, *answer_lost);
                }
            }
            Event::Send { arrives, copies_ms } => self.send(*arrives, copies_ms),
            Event::Finish => {
                if !self.running.is_empty() {
                    let order = self.running.remove(0);
                    self.memory.finish(&order);
                }
            }
            Event::Report { keeper } => {
                let report = self.report();
                if let Some(record) = self.keepers[*keeper].ledger.on_report(self.now, &report) {
                    self.commit(*keeper, record, false);
                }
            }
            Event::TakeOver => self.take_over(),
            Event::Crash => {
                self.memory.restart();
                self.running.clear();
            }
            Event::Advance { ms } => self.advance(Duration::from_millis(*ms)),
        }
    }
}

fn implementation_breaks(schedule: &[Event], checks_fences: bool) -> bool {
    let mut world = World::new(checks_fences);
    for event in schedule {
        world.apply(event);
    }
    world.memory.breaches > 0
}

/// Naive baseline that relies on its own orders only: it counts memory as free as soon as it has
/// ordered the unload, and reads no reports.
fn baseline_breaks(schedule: &[Event], checks_fences: bool) -> bool {
    let mut world = World::new(checks_fences);
    let mut held = [false; ARTIFACTS.len()];
    let mut fence = 0;
    let mut order = None;
    for event in schedule {
        let free_memory = |held: &[bool]| {
            let used = held.iter().zip(ARTIFACTS).filter(|(held, _)| **held);
            MEMORY - used.map(|(_, (_, size))| size).sum::<u64>()
        };
        let (at, load) = match event {
            Event::Load { artifact, .. } if ARTIFACTS[*artifact].1 <= free_memory(&held) => {
                (*artifact, true)
            }
            Event::Unload { artifact, .. } => (*artifact, false),
            Event::Send { arrives, copies_ms } => {
                let Some(order) = order.take() else { continue };
                deliver(&mut world, &order, *arrives, copies_ms);
                continue;
            }
            Event::Finish | Event::Crash | Event::Advance { .. } => {
                world.apply(event);
                continue;
            }
            _ => continue,
        };
        if held[at] != load {
            held[at] = load;
            fence += 1;
            let (artifact, size) = (artifact(at).to_string(), ARTIFACTS[at].1);
            order = Some(Order {
                order: fence.to_string(),
                fence,
                load,
                artifact,
                size,
            });
        }
    }
    world.memory.breaches > 0
}

fn deliver(world: &mut World, order: &Order, arrives: bool, copies_ms: &[u64]) {
    for copy in copies_ms {
        let at = world.now + Duration::from_millis(*copy);
        world.in_transit.push((at, order.clone()));
    }
    if arrives {
        world.arrive(order.clone());
    }
}

#[rstest::rstest]
#[case::ignores_fences(false)]
#[case::checks_fences(true)]
fn memory_is_never_overcommitted_in_any_schedule(#[case] checks_fences: bool) {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 10..150, &event()) {
        schedule::assert_holds(&schedule, |schedule| {
            implementation_breaks(schedule, checks_fences)
        });
        tally.add(baseline_breaks(&schedule, checks_fences), false);
    }
    tally.check(if checks_fences {
        "ledger, fences checked"
    } else {
        "ledger, fences ignored"
    });
}

/// Guards against memory that stays reserved after a lost order, and against memory that is
/// released while a late copy of an order can still arrive.
#[test]
fn memory_is_released_after_lost_orders_and_late_copies() {
    let mut world = World::new(false);
    world.apply(&Event::Load {
        keeper: 0,
        artifact: 0,
        answer_lost: false,
    });
    world.send(false, &[]);
    assert_eq!(world.keepers[0].ledger.free_memory(), Bytes(40));
    world.send(true, &[]);
    world.apply(&Event::Finish);
    world.apply(&Event::Report { keeper: 0 });
    world.advance(ORDER_DELAY + Duration::from_millis(1));
    world.apply(&Event::Unload {
        keeper: 0,
        artifact: 0,
        answer_lost: false,
    });
    world.send(true, &[]);
    world.apply(&Event::Finish);
    world.apply(&Event::Report { keeper: 0 });
    assert_eq!(
        world.keepers[0].ledger.free_memory(),
        Bytes(40),
        "a copy may still arrive"
    );
    world.advance(ORDER_DELAY + Duration::from_millis(1));
    world.apply(&Event::Report { keeper: 0 });
    assert_eq!(world.keepers[0].ledger.free_memory(), Bytes(100));
}
