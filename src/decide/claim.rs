//! At-most-once execution of calls that must not be repeated.
//!
//! Before a call is sent, a row with the key `(team, key)` is inserted on condition that it does
//! not exist. A second write before the send would not help: the gap between the last write and
//! the send would remain, and each call would pay for the write. Once the row exists, a call
//! whose connection was refused before a byte was sent may go to another server; an interruption
//! after that ends with an unknown outcome.

use crate::common::*;
use crate::world::id;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::Incarnation;

/// Identity of one attempt: the request and the process that handles it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    pub request: id::Request,
    pub instance: id::Instance,
    pub incarnation: Incarnation,
}

/// Answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Key in the object store of a body that is too large for a row.
    #[serde(default)]
    pub object: Option<String>,
}

impl Answer {
    /// Returns the answer as stored in the row: without the body if the object store has it.
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

/// Outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Answered(Answer),
    /// The call may have run; it will not be run again.
    Unknown,
    /// The call did not run; another attempt may take over the row.
    NotRun,
}

/// Value of a claim's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub attempt: Attempt,
    pub digest: String,
    pub outcome: Option<Outcome>,
}

/// Result of sending the call to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery {
    /// No byte was sent, so the call certainly did not run.
    Refused,
    Answered(Answer),
    /// The connection broke after bytes may have been sent; the call may have run.
    Interrupted,
}

/// Next action for the caller of [`Claim`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Commit the insertion of the claim, then call [`Claim::on_insert`].
    Insert(Txn),
    /// Read the row, then call [`Claim::on_read`].
    Read,
    /// Send the call to a server not tried yet, then call [`Claim::on_sent`].
    Send,
    /// Commit [`Claim::outcome_txn`] in the background, with retries until it succeeds or
    /// [`Claim::on_outcome_read`] returns true.
    RecordOutcome,
    /// Commit that the attempt that holds the row ended with an unknown outcome.
    RecordUnknown(Txn),
    /// Read the row again after a pause: another attempt may be running, or the read failed.
    Wait,
    /// Send the final reply to the caller.
    Reply(Reply),
}

/// Final reply to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Answered(Answer),
    /// The call certainly did not run; the caller may retry.
    NotRun,
    /// The call may have run and will not be run again.
    Unknown,
    /// Another attempt of the same call is still running.
    Running,
    /// The key was used for a call with another body.
    Mismatch,
}

/// One attempt at one call.
#[derive(Debug, Clone)]
pub struct Claim {
    key: String,
    record: Record,
    deadline: Duration,
    /// Whether the row may exist, also if no answer of the store confirmed it.
    row_may_exist: bool,
    /// Version of the row that this attempt wrote, if known.
    version: Option<u64>,
}

impl Claim {
    /// Creates an attempt at the call whose row is `key`; it is given up at `deadline`.
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

    /// Returns the key of the call's row.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the first action.
    #[must_use]
    pub fn begin(&self) -> Action {
        self.insert_at_version(0)
    }

    /// Returns the write of the claim over the row at `version`; with 0 the row must not exist.
    fn insert_at_version(&self, version: u64) -> Action {
        Action::Insert(Txn::default().put(self.key.clone(), version, json!(self.record)))
    }

    /// Handles the store's answer to the insert.
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

    /// Handles the row as read; `is_holder_gone` tells whether the attempt in it certainly ended.
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

    /// Handles the result of a send; `has_untried_server` tells whether another server can be tried.
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

    /// Returns the transaction that writes the outcome. If the row's version is not known, the row
    /// is written as a new one, so that an insert still in transit conflicts with it.
    #[must_use]
    pub fn outcome_txn(&self) -> Txn {
        Txn::default().put(
            self.key.clone(),
            self.version.unwrap_or(0),
            json!(self.record),
        )
    }

    /// Handles the row as read after a failed write of the outcome; returns true when nothing is
    /// left to write.
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
