//! Distribution of settings, from a proposed change to its application in every process.
//!
//! Accepted changes are numbered entries of a log. A process applies them strictly in order,
//! whatever the order of their arrival, so that a stale read can't revert a newer change.

use crate::common::*;
use crate::world::catalog::{Catalog, Subtree};
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::{Position, Revision};

/// Key of the row that holds the position of the last change.
pub const HEAD_KEY: &str = "log-head";
/// Key prefix of the log's rows.
pub const LOG_PREFIX: &str = "log/";
/// Key prefix of the rows that hold subtrees.
pub const SUBTREE_PREFIX: &str = "subtree/";
/// Key prefix of the rows that hold accepted changes by their ids.
const CHANGE_PREFIX: &str = "change/";

/// An accepted change, as stored in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub position: Position,
    pub owner: String,
    pub revision: Revision,
    pub change: String,
    /// New values by path; null removes the path.
    pub set: BTreeMap<String, Value>,
}

/// All settings at one position.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    pub position: Position,
    pub subtrees: BTreeMap<String, Subtree>,
}

/// Returns the key of the log's row at a position.
#[must_use]
pub fn log_key(position: Position) -> String {
    format!("{LOG_PREFIX}{:020}", position.0)
}

/// Settings that a process applies.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    snapshot: Snapshot,
    /// Entries that can't be applied yet, because entries before them are missing.
    pending: BTreeMap<Position, Entry>,
}

impl Rollout {
    /// Returns the settings in force.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the position of the settings in force.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.snapshot.position
    }

    /// Replaces all settings, unless the snapshot is not newer; returns whether it was applied.
    pub fn on_snapshot(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.position <= self.snapshot.position {
            return false;
        }
        self.snapshot = snapshot;
        self.apply_pending();
        true
    }

    /// Applies log entries, which may come in any order; returns whether the position advanced.
    pub fn on_entries(&mut self, entries: impl IntoIterator<Item = Entry>) -> bool {
        let before = self.snapshot.position;
        let newer = entries.into_iter().filter(|entry| entry.position > before);
        self.pending
            .extend(newer.map(|entry| (entry.position, entry)));
        self.apply_pending();
        self.snapshot.position > before
    }

    /// Returns whether entries are missing before one that was received.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    fn apply_pending(&mut self) {
        self.pending
            .retain(|position, _| *position > self.snapshot.position);
        while let Some(entry) = self.pending.remove(&Position(self.snapshot.position.0 + 1)) {
            apply_entry(&mut self.snapshot, &entry);
        }
    }

    /// Builds the catalog of the settings in force.
    ///
    /// # Errors
    /// [`Error::Settings`] if an entry is invalid; accepted changes contain no invalid entries.
    pub fn catalog(&self) -> Result<Catalog> {
        Catalog::build(self.snapshot.position, self.snapshot.subtrees.clone())
    }
}

fn apply_entry(snapshot: &mut Snapshot, entry: &Entry) {
    let subtree = snapshot.subtrees.entry(entry.owner.clone()).or_default();
    if entry.revision > subtree.revision {
        change_subtree(subtree, &entry.set);
        subtree.revision = entry.revision;
    }
    snapshot.position = entry.position;
}

fn change_subtree(subtree: &mut Subtree, set: &BTreeMap<String, Value>) {
    for (path, value) in set {
        if value.is_null() {
            subtree.entries.remove(path);
        } else {
            subtree.entries.insert(path.clone(), value.clone());
        }
    }
}

/// A change of settings that an operator proposes.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    pub owner: String,
    pub change: String,
    /// Revision of the subtree that the operator has read; `None` to skip this check.
    pub expected: Option<Revision>,
    pub set: BTreeMap<String, Value>,
}

/// Result of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    Accepted(Entry),
    /// The subtree has this revision, not the expected one.
    Stale(Revision),
    /// The settings would be invalid, or the change id is in use; holds the reason.
    Invalid(String),
    /// The change may have taken effect; a retry with the same change id finds out.
    Unknown,
    /// The store could not be reached, or conflicts persisted; the change had no effect.
    Unavailable,
}

/// Next action for the caller of [`Change`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read these rows, in this order, then call [`Change::on_read`].
    Read(Vec<String>),
    /// Commit this transaction, then call [`Change::on_commit`].
    Commit(Txn),
    /// Report the result to the operator.
    Reply(Verdict),
}

/// One attempt to change settings.
#[derive(Debug, Clone)]
pub struct Change {
    proposal: Proposal,
    /// Entry written by the commit whose answer is awaited.
    entry: Option<Entry>,
    /// Whether the answer to a commit was lost.
    is_outcome_unknown: bool,
    attempts: u32,
}

/// Limit on the attempts at one change; conflicts with concurrent changes and lost answers cause
/// further attempts.
const MAX_ATTEMPTS: u32 = 20;

impl Change {
    /// Creates the change for a proposal.
    #[must_use]
    pub const fn new(proposal: Proposal) -> Self {
        Self {
            proposal,
            entry: None,
            is_outcome_unknown: false,
            attempts: 0,
        }
    }

    /// Returns the first action, which is also the next one after a conflict or a lost answer.
    #[must_use]
    pub fn begin(&self) -> Action {
        Action::Read(vec![self.change_key(), HEAD_KEY.into(), self.subtree_key()])
    }

    fn change_key(&self) -> String {
        format!(
            "{CHANGE_PREFIX}{}/{}",
            self.proposal.owner, self.proposal.change
        )
    }

    fn subtree_key(&self) -> String {
        format!("{SUBTREE_PREFIX}{}", self.proposal.owner)
    }

    /// Handles the rows of the change id, the head and the subtree; the change is validated
    /// together with `other_subtrees`.
    pub fn on_read(
        &mut self,
        rows: Result<Vec<Option<Row>>, Failure>,
        other_subtrees: &Snapshot,
    ) -> Action {
        self.attempts += 1;
        let Ok(rows) = rows else {
            return self.give_up();
        };
        let row = |at: usize| rows.get(at).and_then(Option::as_ref);
        if let Some(recorded) = row(0) {
            return Action::Reply(self.recorded_verdict(recorded));
        }
        let subtree = row(2).map_or_else(Subtree::default, |row| {
            Subtree::deserialize(&row.value).unwrap_or_default()
        });
        let expected = self.proposal.expected.unwrap_or(subtree.revision);
        if expected != subtree.revision {
            return Action::Reply(Verdict::Stale(subtree.revision));
        }
        match self.validate(subtree, other_subtrees) {
            Ok(subtree) => self.commit(row(1), row(2), &subtree),
            Err(error) => Action::Reply(Verdict::Invalid(error.to_string())),
        }
    }

    /// Returns the verdict for a change id that is already recorded.
    fn recorded_verdict(&self, recorded: &Row) -> Verdict {
        match Entry::deserialize(&recorded.value) {
            Ok(entry) if entry.set == self.proposal.set => Verdict::Accepted(entry),
            _ => Verdict::Invalid(
                "the change id was used for another change: choose a new one".into(),
            ),
        }
    }

    /// Returns the changed subtree if the settings remain valid with it.
    fn validate(&self, mut subtree: Subtree, other_subtrees: &Snapshot) -> Result<Subtree> {
        change_subtree(&mut subtree, &self.proposal.set);
        subtree.revision = Revision(subtree.revision.0 + 1);
        let mut subtrees = other_subtrees.subtrees.clone();
        subtrees.insert(self.proposal.owner.clone(), subtree.clone());
        Catalog::build(other_subtrees.position, subtrees)?;
        Ok(subtree)
    }

    fn commit(
        &mut self,
        head: Option<&Row>,
        subtree_row: Option<&Row>,
        subtree: &Subtree,
    ) -> Action {
        let last = head.and_then(|row| row.value.as_u64()).unwrap_or(0);
        let position = Position(last + 1);
        let version = |row: Option<&Row>| row.map_or(0, |row| row.version);
        let entry = Entry {
            position,
            owner: self.proposal.owner.clone(),
            revision: subtree.revision,
            change: self.proposal.change.clone(),
            set: self.proposal.set.clone(),
        };
        let txn = Txn::default()
            .put(HEAD_KEY, version(head), json!(position))
            .put(self.subtree_key(), version(subtree_row), json!(subtree))
            .put(log_key(position), 0, json!(entry))
            .put(self.change_key(), 0, json!(entry));
        self.entry = Some(entry);
        Action::Commit(txn)
    }

    /// Handles the store's answer to the commit.
    pub fn on_commit(&mut self, answer: &Result<Commit, Failure>) -> Action {
        let entry = self.entry.take();
        match answer {
            Ok(Commit::Done(_)) => entry.map_or_else(
                || self.begin(),
                |entry| Action::Reply(Verdict::Accepted(entry)),
            ),
            Ok(Commit::Conflict(_)) if self.attempts < MAX_ATTEMPTS => self.begin(),
            Err(Failure::Lost) if self.attempts < MAX_ATTEMPTS => {
                self.is_outcome_unknown = true;
                self.begin()
            }
            Ok(Commit::Conflict(_)) | Err(_) => self.give_up(),
        }
    }

    const fn give_up(&self) -> Action {
        Action::Reply(if self.is_outcome_unknown {
            Verdict::Unknown
        } else {
            Verdict::Unavailable
        })
    }
}
