//! No accepted change is lost or applied twice, and no node returns to an older position, with
//! concurrent operators and a store that fails.

use super::schedule;
use super::store::{self, Fault, Store};
use super::tally::Tally;
use poplarseam::decide::rollout::{
    Action, Change, Entry, HEAD_KEY, LOG_PREFIX, Proposal, Rollout, SUBTREE_PREFIX, Snapshot,
    Verdict,
};
use poplarseam::world::catalog::Subtree;
use poplarseam::world::table::{Failure, Row};
use poplarseam::world::unit::Position;
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;

const SEED: u8 = 4;
const SCHEDULES: usize = 1500;
const OPERATORS: usize = 3;
const NODES: usize = 2;

#[derive(Debug, Clone)]
enum Event {
    /// An operator takes the next step of its change, or starts one if it has none.
    Step {
        operator: usize,
        fault: Fault,
    },
    /// A node reads the log entries after its position.
    ReadLog {
        node: usize,
    },
    /// A node receives log entries from an index on, some of them already applied, in either order.
    Gossip {
        node: usize,
        from: usize,
        reversed: bool,
    },
    /// A node receives a snapshot that some node had earlier.
    StaleSnapshot {
        node: usize,
    },
    /// A node restarts from the stored subtrees and the other node's snapshot.
    Restart {
        node: usize,
    },
    DeliverLate,
}

fn event() -> impl Strategy<Value = Event> + Clone {
    let fault = store::fault(8);
    let node = || 0..NODES;
    prop_oneof![
        12 => (0..OPERATORS, fault).prop_map(|(operator, fault)| Event::Step { operator, fault }),
        3 => node().prop_map(|node| Event::ReadLog { node }),
        3 => (node(), 0..10_usize, any::<bool>())
            .prop_map(|(node, from, reversed)| Event::Gossip { node, from, reversed }),
        1 => node().prop_map(|node| Event::StaleSnapshot { node }),
        1 => node().prop_map(|node| Event::Restart { node }),
        1 => Just(Event::DeliverLate),
    ]
}

#[derive(Default)]
struct Operator {
    change: Option<(Change, Action)>,
    count: usize,
    accepted: Vec<Entry>,
}

struct World {
    store: Store,
    operators: Vec<Operator>,
    nodes: Vec<Rollout>,
    old_snapshots: Vec<Snapshot>,
}

fn proposal(operator: usize, count: usize) -> Proposal {
    let model = json!({"version": format!("v{operator}-{count}"), "size": 1});
    Proposal {
        owner: "red".into(),
        change: format!("change-{operator}-{count}"),
        expected: None,
        set: BTreeMap::from([("models/notes".to_owned(), model)]),
    }
}

fn entry(row: &Row) -> Entry {
    serde_json::from_value(row.value.clone()).unwrap()
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            nodes: vec![Rollout::default(); NODES],
            old_snapshots: Vec::new(),
        }
    }

    fn subtrees(&mut self) -> Snapshot {
        let rows = self.store.table.scan(SUBTREE_PREFIX, "", 100);
        let by_owner = rows.iter().map(|row| {
            let subtree: Subtree = serde_json::from_value(row.value.clone()).unwrap();
            (
                row.key.trim_start_matches(SUBTREE_PREFIX).to_owned(),
                subtree,
            )
        });
        let head = self
            .store
            .table
            .read(HEAD_KEY)
            .and_then(|row| row.value.as_u64())
            .unwrap_or(0);
        Snapshot {
            position: Position(head),
            subtrees: by_owner.collect(),
        }
    }

    fn step(&mut self, operator: usize, fault: Fault) {
        let slot = &mut self.operators[operator];
        let (mut change, action) = slot.change.take().unwrap_or_else(|| {
            slot.count += 1;
            let change = Change::new(proposal(operator, slot.count));
            let action = change.begin();
            (change, action)
        });
        let next = match action {
            Action::Read(keys) => {
                let rows = keys.iter().map(|key| self.store.table.read(key)).collect();
                let other_subtrees = self.subtrees();
                let failed = matches!(fault, Fault::Refused | Fault::LostBefore);
                change.on_read(
                    if failed { Err(Failure::Lost) } else { Ok(rows) },
                    &other_subtrees,
                )
            }
            Action::Commit(txn) => {
                let answer = self.store.commit(&txn, fault);
                change.on_commit(&answer)
            }
            Action::Reply(_) => unreachable!("a change has no step after its reply"),
        };
        match next {
            Action::Reply(Verdict::Accepted(entry)) => {
                self.operators[operator].accepted.push(entry);
            }
            Action::Reply(_) => {}
            next => self.operators[operator].change = Some((change, next)),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Step { operator, fault } => self.step(*operator, *fault),
            Event::ReadLog { node } => {
                let after = poplarseam::decide::rollout::log_key(self.nodes[*node].position());
                let rows = self.store.table.scan(LOG_PREFIX, &after, 100);
                self.nodes[*node].on_entries(rows.iter().map(entry));
            }
            Event::Gossip {
                node,
                from,
                reversed,
            } => {
                let rows = self.store.table.scan(LOG_PREFIX, "", 100);
                let mut entries: Vec<Entry> = rows.iter().skip(*from).map(entry).collect();
                if *reversed {
                    entries.reverse();
                }
                self.nodes[*node].on_entries(entries);
            }
            Event::StaleSnapshot { node } => {
                self.old_snapshots
                    .push(self.nodes[*node].snapshot().clone());
                let copy = self.old_snapshots[self.old_snapshots.len() / 2].clone();
                self.nodes[*node].on_snapshot(copy);
            }
            Event::Restart { node } => {
                let other = self.nodes[1 - *node].snapshot().clone();
                let own_position = self.nodes[*node].position();
                let mut restarted = Rollout::default();
                restarted.on_snapshot(self.subtrees());
                restarted.on_snapshot(other);
                assert!(restarted.position() >= own_position);
                self.nodes[*node] = restarted;
            }
            Event::DeliverLate => {
                self.store.deliver_late();
            }
        }
    }

    /// Returns whether the log holds every accepted change exactly once, with consecutive positions
    /// and revisions.
    fn is_log_complete(&mut self) -> bool {
        let rows = self.store.table.scan(LOG_PREFIX, "", 10_000);
        let entries: Vec<Entry> = rows.iter().map(entry).collect();
        let is_numbered = entries.iter().zip(1..).all(|(entry, number)| {
            entry.position == Position(number) && entry.revision.0 == number
        });
        let accepted = self
            .operators
            .iter()
            .flat_map(|operator| &operator.accepted);
        let mut accepted = accepted.collect::<Vec<_>>().into_iter();
        let ids: Vec<&String> = entries.iter().map(|entry| &entry.change).collect();
        let is_unique = ids.iter().collect::<std::collections::BTreeSet<_>>().len() == ids.len();
        is_numbered && is_unique && accepted.all(|one| entries.contains(one))
    }

    /// Returns whether a node's settings equal the log up to the node's position.
    fn is_node_consistent(&mut self, node: usize) -> bool {
        let position = self.nodes[node].position();
        let rows = self.store.table.scan(LOG_PREFIX, "", 10_000);
        let last = rows
            .iter()
            .map(entry)
            .rfind(|entry| entry.position <= position);
        let expected_value = last.map(|entry| entry.set["models/notes"].clone());
        let subtree = self.nodes[node].snapshot().subtrees.get("red");
        subtree.and_then(|subtree| subtree.entries.get("models/notes").cloned()) == expected_value
    }
}

fn implementation_breaks(schedule: &[Event]) -> bool {
    let mut world = World::new();
    let mut highest_positions = [Position(0); NODES];
    for event in schedule {
        world.apply(event);
        for (node, highest) in highest_positions.iter_mut().enumerate() {
            let position = world.nodes[node].position();
            if position < *highest || !world.is_node_consistent(node) {
                return true;
            }
            *highest = position;
        }
    }
    !world.is_log_complete()
}

/// Naive baseline that writes without conditions, and whose nodes apply whatever they read last.
fn baseline_breaks(schedule: &[Event]) -> bool {
    let mut log: Vec<usize> = Vec::new();
    let mut late = Vec::new();
    let mut nodes = [0; NODES];
    for (next, event) in schedule.iter().enumerate() {
        match event {
            Event::Step {
                fault: Fault::Late, ..
            } => late.push(next),
            Event::Step {
                fault: Fault::Refused | Fault::LostBefore,
                ..
            } => {}
            Event::Step { .. } => log.push(next),
            Event::ReadLog { node } => nodes[*node] = log.len(),
            Event::Gossip { node, from, .. } => {
                let older = log.len().min(*from);
                if older < nodes[*node] {
                    return true;
                }
                nodes[*node] = older;
            }
            Event::DeliverLate if !late.is_empty() && !log.is_empty() => return true,
            _ => {}
        }
    }
    false
}

#[test]
fn accepted_changes_are_kept_and_never_reverted_in_any_schedule() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 10..120, &event()) {
        schedule::assert_holds(&schedule, implementation_breaks);
        tally.add(baseline_breaks(&schedule), false);
    }
    tally.check("rollout");
}
