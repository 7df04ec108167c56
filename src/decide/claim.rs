//! At most one run of a call that may not be repeated.
//!
//! One row `(team, key)` is inserted on condition that it is absent, before the only send. A
//! second write before the send would narrow nothing: the gap between the last write and the
//! send stays, and each call pays for it. After the row is in, a call whose connection was
//! refused before a byte left may go to another server; any cut after that ends as unknown.

use crate::common::*;
use crate::world::id;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::Incarnation;

/// Who runs an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    pub request: id::Request,
    pub instance: id::Instance,
    pub incarnation: Incarnation,
}

/// What a backend server answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Where the object store keeps a body that is too large for a row.
    #[serde(default)]
    pub object: Option<String>,
}

impl Answer {
    /// The answer as its row holds it: without a body that the object store keeps.
    fn without_external_body(&self) -> Self {
        let body = if self.object.is_some() {
            String::new()
        } else {
            self.body.clone()
        };
        Self {
            body,
            ..self.clone()
        }
    }
}

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Answered(Answer),
    /// It may have run; nobody will run it again.
    Unknown,
    /// It was given up before it was sent: another attempt may take the row over.
    NotRun,
}

/// Value of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub attempt: Attempt,
    pub digest: String,
    pub outcome: Option<Outcome>,
}

/// What became of the only send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery {
    /// No byte left: certainly not run.
    Refused,
    Answered(Answer),
    /// It may have run.
    Interrupted,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Insert the claim, then call [`Claim::on_insert`].
    Insert(Txn),
    /// Read the row, then call [`Claim::on_read`].
    Read,
    /// Send the call to a server not tried yet, then call [`Claim::on_sent`].
    Send,
    /// Commit [`Claim::settle`] in the background until it holds.
    RecordOutcome,
    /// Write that the attempt that holds the row ended without a known outcome.
    RecordUnknown(Txn),
    /// Read again after a pause: another attempt runs.
    Wait,
    /// The final answer.
    Reply(Reply),
}

/// Final answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Answered(Answer),
    /// It certainly did not run; the caller may come back.
    NotRun,
    /// It may have run and will never be run again.
    Unknown,
    /// Another attempt of the same call is still running.
    Running,
    /// The key belongs to a call with another body.
    Mismatch,
}

/// One attempt at one call.
#[derive(Debug, Clone)]
pub struct Claim {
    key: String,
    record: Record,
    deadline: Duration,
    /// Whether the row may be there without an answer that said so.
    row_may_exist: bool,
    /// Version of the attempt's own row, where it is known.
    version: Option<u64>,
}

impl Claim {
    /// An attempt at the call whose row is `key`; it is given up at `deadline`.
    #[must_use]
    pub const fn new(key: String, attempt: Attempt, digest: String, deadline: Duration) -> Self {
        let record = Record {
            attempt,
            digest,
            outcome: None,
        };
        Self {
            key,
            record,
            deadline,
            row_may_exist: false,
            version: None,
        }
    }

    /// Key of the call's row.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// First action.
    #[must_use]
    pub fn begin(&self) -> Action {
        self.insert_at_version(0)
    }

    /// Writes the claim over a row at `version`; 0 where there must be none.
    fn insert_at_version(&self, version: u64) -> Action {
        Action::Insert(Txn::default().put(self.key.clone(), version, json!(self.record)))
    }

    /// Takes the answer to the insert.
    pub fn on_insert(&mut self, now: Duration, answer: Result<Commit, Failure>) -> Vec<Action> {
        match answer {
            Ok(Commit::Done(versions)) => {
                self.version = versions.first().copied();
                self.send(now)
            }
            Ok(Commit::Conflict(_)) => vec![Action::Read],
            Err(Failure::Refused) => self.give_up(),
            Err(Failure::Lost) => {
                self.row_may_exist = true;
                if now < self.deadline {
                    vec![Action::Read]
                } else {
                    self.give_up()
                }
            }
        }
    }

    /// Takes the row; `holder_gone` says that the attempt in it certainly ended.
    pub fn on_read(
        &mut self,
        now: Duration,
        answer: Result<Option<Row>, Failure>,
        is_holder_gone: impl Fn(&Attempt) -> bool,
    ) -> Vec<Action> {
        let in_time = now < self.deadline;
        match answer {
            Ok(Some(row)) => self.on_row(now, &row, is_holder_gone),
            Ok(None) if in_time => vec![self.begin()],
            Err(_) if in_time => vec![Action::Wait],
            Ok(None) | Err(_) => self.give_up(),
        }
    }

    fn on_row(
        &mut self,
        now: Duration,
        row: &Row,
        is_holder_gone: impl Fn(&Attempt) -> bool,
    ) -> Vec<Action> {
        let Ok(found) = Record::deserialize(&row.value) else {
            return vec![Action::Reply(Reply::Unknown)];
        };
        if found.attempt == self.record.attempt {
            self.version = Some(row.version);
            return self.send(now);
        }
        if found.outcome == Some(Outcome::NotRun) {
            let in_time = now < self.deadline;
            return if in_time {
                vec![self.insert_at_version(row.version)]
            } else {
                self.give_up()
            };
        }
        if found.digest != self.record.digest {
            return vec![Action::Reply(Reply::Mismatch)];
        }
        match &found.outcome {
            Some(outcome) => vec![Action::Reply(reply(outcome))],
            None if is_holder_gone(&found.attempt) => {
                let updated = Record {
                    outcome: Some(Outcome::Unknown),
                    ..found
                };
                let txn = Txn::default().put(self.key.clone(), row.version, json!(updated));
                vec![Action::RecordUnknown(txn), Action::Reply(Reply::Unknown)]
            }
            None if now < self.deadline => vec![Action::Wait],
            None => vec![Action::Reply(Reply::Running)],
        }
    }

    fn send(&mut self, now: Duration) -> Vec<Action> {
        self.row_may_exist = true;
        if now < self.deadline {
            vec![Action::Send]
        } else {
            self.give_up()
        }
    }

    /// Takes what became of the send; `others` says whether an untried server is left.
    pub fn on_sent(
        &mut self,
        now: Duration,
        delivery: Delivery,
        has_untried_server: bool,
    ) -> Vec<Action> {
        let outcome = match delivery {
            Delivery::Refused if has_untried_server && now < self.deadline => {
                return vec![Action::Send];
            }
            Delivery::Refused => return self.give_up(),
            Delivery::Answered(answer) => Outcome::Answered(answer),
            Delivery::Interrupted => Outcome::Unknown,
        };
        let reply = reply(&outcome);
        self.record.outcome = Some(match outcome {
            Outcome::Answered(answer) => Outcome::Answered(answer.without_external_body()),
            other => other,
        });
        vec![Action::RecordOutcome, Action::Reply(reply)]
    }

    fn give_up(&mut self) -> Vec<Action> {
        if !self.row_may_exist {
            return vec![Action::Reply(Reply::NotRun)];
        }
        self.record.outcome = Some(Outcome::NotRun);
        vec![Action::RecordOutcome, Action::Reply(Reply::NotRun)]
    }

    /// Transaction that writes the outcome. Where the row was never seen, it is written as a new
    /// one, so that an insert that is still on its way finds it taken.
    #[must_use]
    pub fn outcome_txn(&self) -> Txn {
        Txn::default().put(
            self.key.clone(),
            self.version.unwrap_or(0),
            json!(self.record),
        )
    }

    /// Takes the row as read to settle; true when nothing is left to write.
    pub fn on_outcome_read(&mut self, row: Option<&Row>) -> bool {
        self.version = row.map(|row| row.version);
        let Some(row) = row else {
            return false;
        };
        let Ok(found) = Record::deserialize(&row.value) else {
            return true;
        };
        let is_answered = matches!(found.outcome, Some(Outcome::Answered(_)));
        let is_written = found.outcome == self.record.outcome;
        found.attempt != self.record.attempt || is_answered || is_written
    }
}

fn reply(outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::Answered(answer) => Reply::Answered(answer.clone()),
        Outcome::Unknown => Reply::Unknown,
        Outcome::NotRun => Reply::NotRun,
    }
}
