//! A claimed call runs at most once, and a call reported as `NotRun` did not run. Covers two
//! instances, every pair of faults, and every step at which the second instance may receive the
//! same call.

use super::tally::Tally;
use poplarseam::decide::claim::{Action, Answer, Attempt, Claim, Delivery, Reply};
use poplarseam::world::table::{Commit, Failure, Txn};
use poplarseam::world::unit::Incarnation;
use standins::table::Table;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The request is rejected, certainly without effect.
    Refused,
    /// The request is lost: no effect and no answer.
    LostBefore,
    /// The answer is lost after the request took effect.
    LostAfter,
    /// The request takes effect after the sender stopped waiting for the answer.
    Late,
    /// The instance is killed before it takes the step.
    KilledBefore,
    /// The instance is killed after it took the step.
    KilledAfter,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Refused,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::Late,
    Fault::KilledBefore,
    Fault::KilledAfter,
];
const STEPS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(1);
const MAX_STEPS: usize = 400;

/// Simulated store and service, with the requests to them that are still in transit.
#[derive(Default)]
struct World {
    table: Table,
    runs: u32,
    late_txns: Vec<Txn>,
    late_runs: u32,
    now: Duration,
    ended_attempts: Vec<Attempt>,
}

impl World {
    fn deliver_late(&mut self) {
        for txn in std::mem::take(&mut self.late_txns) {
            self.table.commit(&txn);
        }
        self.runs += std::mem::take(&mut self.late_runs);
    }

    fn commit(&mut self, txn: &Txn, fault: Fault) -> Result<Commit, Failure> {
        match fault {
            Fault::Refused => Err(Failure::Refused),
            Fault::LostBefore => Err(Failure::Lost),
            Fault::Late => {
                self.late_txns.push(txn.clone());
                Err(Failure::Lost)
            }
            Fault::LostAfter => {
                self.table.commit(txn);
                Err(Failure::Lost)
            }
            _ => Ok(self.table.commit(txn)),
        }
    }

    fn run(&mut self, fault: Fault) -> Delivery {
        match fault {
            Fault::Refused => Delivery::Refused,
            Fault::LostBefore => Delivery::Interrupted,
            Fault::Late => {
                self.late_runs += 1;
                Delivery::Interrupted
            }
            Fault::LostAfter => {
                self.runs += 1;
                Delivery::Interrupted
            }
            _ => {
                self.runs += 1;
                Delivery::Answered(answer())
            }
        }
    }
}

fn answer() -> Answer {
    Answer {
        status: 200,
        body: "done".into(),
        object: None,
    }
}

/// One instance's attempt.
struct Actor {
    attempt: Attempt,
    claim: Claim,
    actions: VecDeque<Action>,
    reply: Option<Reply>,
    alive: bool,
    /// Whether this attempt may have sent a byte to the service.
    sent: bool,
}

impl Actor {
    fn new(name: &str, now: Duration) -> Self {
        let attempt = Attempt {
            request: name.parse().unwrap(),
            instance: name.parse().unwrap(),
            incarnation: Incarnation(1),
        };
        let claim = Claim::new(
            "claim".into(),
            attempt.clone(),
            "digest".into(),
            now + DEADLINE,
        );
        let actions = VecDeque::from([claim.begin()]);
        Self {
            attempt,
            claim,
            actions,
            reply: None,
            alive: true,
            sent: false,
        }
    }

    fn is_busy(&self) -> bool {
        self.alive && !self.actions.is_empty()
    }

    fn step(&mut self, world: &mut World, fault: Fault) {
        world.now += Duration::from_millis(1);
        if fault == Fault::KilledBefore {
            return self.kill(world);
        }
        let Some(action) = self.actions.pop_front() else {
            return;
        };
        let now = world.now;
        let next = match action {
            Action::Insert(txn) => {
                let answer = world.commit(&txn, fault);
                self.claim.on_insert(now, answer)
            }
            Action::Read => {
                let row = match fault {
                    Fault::None | Fault::KilledAfter => Ok(world.table.read(self.claim.key())),
                    _ => Err(Failure::Lost),
                };
                let ended_attempts = world.ended_attempts.clone();
                self.claim
                    .on_read(now, row, |attempt| ended_attempts.contains(attempt))
            }
            Action::Wait => {
                world.now += Duration::from_millis(100);
                vec![Action::Read]
            }
            Action::Send => {
                self.sent |= fault != Fault::Refused;
                let sent = world.run(fault);
                self.claim.on_sent(now, sent, true)
            }
            Action::RecordOutcome => {
                self.record_outcome(world, fault);
                Vec::new()
            }
            Action::RecordUnknown(txn) => {
                let _ = world.commit(&txn, fault);
                Vec::new()
            }
            Action::Reply(reply) => {
                self.reply = Some(reply);
                Vec::new()
            }
        };
        self.actions.extend(next);
        if fault == Fault::KilledAfter {
            self.kill(world);
        }
    }

    /// Writes the outcome; if that fails, reads the row and writes once more if needed.
    fn record_outcome(&mut self, world: &mut World, fault: Fault) {
        let first = world.commit(&self.claim.outcome_txn(), fault);
        if matches!(first, Ok(Commit::Done(_))) || fault == Fault::KilledAfter {
            return;
        }
        let row = world.table.read(self.claim.key());
        if !self.claim.on_outcome_read(row.as_ref()) {
            world.table.commit(&self.claim.outcome_txn());
        }
    }

    fn kill(&mut self, world: &mut World) {
        self.alive = false;
        self.actions.clear();
        world.ended_attempts.push(self.attempt.clone());
    }

    fn finish(&mut self, world: &mut World) {
        for _ in 0..MAX_STEPS {
            if !self.is_busy() {
                return;
            }
            self.step(world, Fault::None);
        }
        panic!("an attempt did not finish within {MAX_STEPS} steps");
    }

    /// Returns whether the reply to the caller is false.
    fn has_false_reply(&self) -> bool {
        match &self.reply {
            Some(Reply::NotRun) => self.sent,
            Some(Reply::Answered(other)) => *other != answer(),
            _ => false,
        }
    }
}

/// One combination of faults and of the step at which the second instance receives the call.
struct Cell {
    faults: [(usize, Fault); 2],
    second_starts_at: usize,
}

impl Cell {
    fn fault(&self, step: usize) -> Fault {
        let found = self
            .faults
            .iter()
            .find(|(at, fault)| *at == step && *fault != Fault::None);
        found.map_or(Fault::None, |(_, fault)| *fault)
    }
}

/// Result of running a cell.
struct Observation {
    is_violated: bool,
    /// The last repeat of the call did not learn whether the call ran.
    unknown: bool,
    /// The call never ran, not even by the last repeat.
    never_ran: bool,
}

fn observe(cell: &Cell) -> Observation {
    let mut world = World::default();
    let mut first = Actor::new("first", world.now);
    let mut second = None;
    for step in 0..MAX_STEPS {
        if step == cell.second_starts_at {
            let mut actor = Actor::new("second", world.now);
            actor.finish(&mut world);
            second = Some(actor);
        }
        if !first.is_busy() {
            break;
        }
        first.step(&mut world, cell.fault(step));
    }
    world.deliver_late();
    let mut last = Actor::new("last", world.now);
    last.finish(&mut world);
    let has_false_reply = first.has_false_reply()
        || last.has_false_reply()
        || second.as_ref().is_some_and(Actor::has_false_reply);
    let undecided = matches!(last.reply, Some(Reply::Unknown | Reply::Running));
    Observation {
        is_violated: world.runs > 1 || has_false_reply,
        unknown: undecided,
        never_ran: world.runs == 0,
    }
}

/// Naive baseline that keeps claims in memory only and retries on any error. Returns whether the
/// call ran twice, as it does if an answer is lost or if the call reaches another instance.
fn baseline_breaks(cell: &Cell) -> bool {
    let mut world = World::default();
    let mut alive = true;
    for step in 0..STEPS {
        let fault = cell.fault(step);
        alive &= fault != Fault::KilledBefore;
        let done = alive && matches!(world.run(fault), Delivery::Answered(_));
        alive &= fault != Fault::KilledAfter;
        if done || !alive {
            break;
        }
    }
    world.deliver_late();
    let repeated_elsewhere = !alive || cell.second_starts_at < STEPS;
    if repeated_elsewhere {
        world.run(Fault::None);
    }
    world.runs > 1
}

#[test]
fn a_claimed_call_runs_at_most_once_under_every_pair_of_faults() {
    let mut tally = Tally::default();
    let (mut unknown, mut never_ran) = (0, 0);
    let at = |step: usize, fault| (step, fault);
    for first in (0..STEPS).flat_map(|step| FAULTS.map(|fault| at(step, fault))) {
        for other in (0..STEPS).flat_map(|step| FAULTS.map(|fault| at(step, fault))) {
            for second_starts_at in 0..=STEPS {
                let cell = Cell {
                    faults: [first, other],
                    second_starts_at,
                };
                let observation = observe(&cell);
                tally.add(baseline_breaks(&cell), observation.is_violated);
                unknown += u64::from(observation.unknown);
                never_ran += u64::from(observation.never_ran);
            }
        }
    }
    println!("claim: last repeat undecided in {unknown} cells; nothing ran in {never_ran}");
    tally.check("claim");
}
