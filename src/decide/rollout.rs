//! Settings on their way from an accepted change to every process.
//!
//! The log of changes has a number for each. A process applies entries in order and never an
//! older one after a newer, whatever arrives when: a late read can't revert anything.

use crate::common::*;
use crate::world::catalog::{Catalog, Subtree};
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::{Position, Revision};

/// Row that holds the number of the last change.
pub const HEAD_KEY: &str = "log-head";
/// Prefix of the rows of the log.
pub const LOG_PREFIX: &str = "log/";
/// Prefix of the rows that hold subtrees.
pub const SUBTREE_PREFIX: &str = "subtree/";
/// Prefix of the rows that tell what became of a change, by its id.
const CHANGE_PREFIX: &str = "change/";

/// One accepted change, as the log holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub position: Position,
    pub owner: String,
    pub revision: Revision,
    pub change: String,
    /// Paths with their new values; null removes a path.
    pub set: BTreeMap<String, Value>,
}

/// All settings at one position.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    pub position: Position,
    pub subtrees: BTreeMap<String, Subtree>,
}

/// Key of a change's place in the log.
#[must_use]
pub fn log_key(position: Position) -> String {
    format!("{LOG_PREFIX}{:020}", position.0)
}

/// What a process has in force.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    snapshot: Snapshot,
    pending: BTreeMap<Position, Entry>,
}

impl Rollout {
    /// Settings in force.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Position in force.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.snapshot.position
    }

    /// Takes settings as a whole, unless they are older; true when they were taken.
    pub fn on_snapshot(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.position <= self.snapshot.position {
            return false;
        }
        self.snapshot = snapshot;
        self.apply_pending();
        true
    }

    /// Takes entries of the log in any order; true when something came into force.
    pub fn on_entries(&mut self, entries: impl IntoIterator<Item = Entry>) -> bool {
        let before = self.snapshot.position;
        let newer = entries.into_iter().filter(|entry| entry.position > before);
        self.pending
            .extend(newer.map(|entry| (entry.position, entry)));
        self.apply_pending();
        self.snapshot.position > before
    }

    /// Whether entries are missing before one that is known.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    fn apply_pending(&mut self) {
        self.pending
            .retain(|position, _| *position > self.snapshot.position);
        while let Some(entry) = self.pending.remove(&Position(self.snapshot.position.0 + 1)) {
            apply(&mut self.snapshot, &entry);
        }
    }

    /// Catalog of what is in force.
    ///
    /// # Errors
    /// [`Error::Settings`] where an entry is wrong; accepted changes have none.
    pub fn catalog(&self) -> Result<Catalog> {
        Catalog::build(self.snapshot.position, self.snapshot.subtrees.clone())
    }
}

fn apply(snapshot: &mut Snapshot, entry: &Entry) {
    let subtree = snapshot.subtrees.entry(entry.owner.clone()).or_default();
    if entry.revision > subtree.revision {
        change(subtree, &entry.set);
        subtree.revision = entry.revision;
    }
    snapshot.position = entry.position;
}

fn change(subtree: &mut Subtree, set: &BTreeMap<String, Value>) {
    for (path, value) in set {
        if value.is_null() {
            subtree.entries.remove(path);
        } else {
            subtree.entries.insert(path.clone(), value.clone());
        }
    }
}

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    pub owner: String,
    pub change: String,
    /// Revision that the operator saw; none to change whatever is there.
    pub expected: Option<Revision>,
    pub set: BTreeMap<String, Value>,
}

/// Final answer to a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    Accepted(Entry),
    /// Somebody else changed the subtree first.
    Stale(Revision),
    /// The settings would be wrong.
    Invalid(String),
    /// Not known whether it took; the same change id finds out.
    Unknown,
    /// Certainly without effect.
    Unavailable,
}

/// What to do next for a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read these rows, in this order, then call [`Change::on_read`].
    Read(Vec<String>),
    /// Commit this, then call [`Change::on_commit`].
    Commit(Txn),
    Reply(Verdict),
}

/// One attempt to change settings.
#[derive(Debug, Clone)]
pub struct Change {
    proposal: Proposal,
    entry: Option<Entry>,
    is_outcome_unknown: bool,
    attempts: u32,
}

/// Attempts at one change while others change settings too.
const MAX_ATTEMPTS: u32 = 20;

impl Change {
    /// An attempt at a proposal.
    #[must_use]
    pub const fn new(proposal: Proposal) -> Self {
        Self {
            proposal,
            entry: None,
            is_outcome_unknown: false,
            attempts: 0,
        }
    }

    /// First action, and the next after a conflict or a lost answer.
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

    /// Takes the rows of the change id, the head and the subtree; `others` are all other
    /// subtrees, against which the change is checked.
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

    fn recorded_verdict(&self, recorded: &Row) -> Verdict {
        match Entry::deserialize(&recorded.value) {
            Ok(entry) if entry.set == self.proposal.set => Verdict::Accepted(entry),
            _ => Verdict::Invalid(
                "the change id was used for another change: choose a new one".into(),
            ),
        }
    }

    fn validate(&self, mut subtree: Subtree, other_subtrees: &Snapshot) -> Result<Subtree> {
        change(&mut subtree, &self.proposal.set);
        subtree.revision = Revision(subtree.revision.0 + 1);
        let mut subtrees = other_subtrees.subtrees.clone();
        subtrees.insert(self.proposal.owner.clone(), subtree.clone());
        Catalog::build(other_subtrees.position, subtrees)?;
        Ok(subtree)
    }

    fn commit(&mut self, head: Option<&Row>, previous: Option<&Row>, subtree: &Subtree) -> Action {
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
            .put(self.subtree_key(), version(previous), json!(subtree))
            .put(log_key(position), 0, json!(entry))
            .put(self.change_key(), 0, json!(entry));
        self.entry = Some(entry);
        Action::Commit(txn)
    }

    /// Takes the answer to the commit.
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
