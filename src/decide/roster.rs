//! The platform's list of backend servers, put together from batches of changes.
//!
//! Batches come from the store's feed, or from a peer that follows it, in any order and with
//! gaps. Each entry counts with its own version, so an older one never replaces a newer one; and
//! the version up to which nothing is missing tells whether this instance has to read for itself.

use crate::common::*;
use crate::world::backend::Backend;
use crate::world::id;

/// Entries that vanished while the store was disturbed are back within this time, or gone.
const RETURNS: Duration = Duration::from_millis(1_800);

/// A row of the list: a server, or none where it names no server to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub worker: id::Worker,
    pub version: u64,
    pub backend: Option<Backend>,
}

/// Rows that changed after one version and up to another; the whole list from version 0 on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    pub from: u64,
    pub to: u64,
    pub entries: Vec<Entry>,
    /// Whether the store was reachable all the while, so that a missing entry means an end.
    pub trusted: bool,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Listed(Backend),
    Unlisted(id::Worker),
}

/// The newest row of one server.
#[derive(Debug, Clone)]
struct Known {
    version: u64,
    backend: Option<Backend>,
}

/// The list, as far as it is known.
#[derive(Debug, Default)]
pub struct Roster {
    /// Nothing up to this version is missing.
    version: u64,
    /// Version of the newest change that was seen. The versions of the store's other tables lie between
    /// this and the one before.
    changed: u64,
    entries: BTreeMap<id::Worker, Known>,
    /// Entries that vanished while the store was disturbed, and when they count as gone.
    doubtful: BTreeMap<id::Worker, Duration>,
}

impl Roster {
    /// Version up to which nothing is missing.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Version of the newest change that was seen: who knows less is behind.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Whether an entry says more than is known here, what its server holds left out.
    #[must_use]
    pub fn is_news(&self, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.worker);
        let known = known.and_then(|known| known.backend.as_ref());
        match (known, &entry.backend) {
            (Some(known), Some(backend)) => !known.is_equal_ignoring_models(backend),
            (known, backend) => known.is_some() || backend.is_some(),
        }
    }

    /// What a batch tells peers that know as much as is known here. Of a whole list that is what changed
    /// since, with the servers that it no longer has.
    #[must_use]
    pub fn news(&self, batch: &Batch) -> Batch {
        let told = batch.entries.iter().filter(|entry| self.is_news(entry));
        let mut news = Batch {
            from: batch.from,
            to: batch.to,
            entries: told.cloned().collect(),
            trusted: batch.trusted,
        };
        if batch.from == 0 {
            news.from = self.version;
            news.entries.extend(self.missing(batch));
        }
        news
    }

    /// Takes a batch.
    pub fn on_batch(&mut self, now: Duration, batch: Batch) -> Vec<Change> {
        let mut changes = Vec::new();
        if batch.from == 0 {
            self.miss(now, &batch, &mut changes);
        }
        for entry in batch.entries {
            self.changed = self.changed.max(entry.version);
            self.on_entry(now, entry, batch.trusted, &mut changes);
        }
        if batch.from <= self.version {
            self.version = self.version.max(batch.to);
        }
        changes
    }

    /// Entries that a whole list no longer has.
    fn miss(&mut self, now: Duration, batch: &Batch, changes: &mut Vec<Change>) {
        for entry in self.missing(batch) {
            self.on_entry(now, entry, batch.trusted, changes);
        }
    }

    /// Ends of the servers that a whole list no longer has.
    fn missing(&self, list: &Batch) -> Vec<Entry> {
        let present: BTreeSet<&id::Worker> =
            list.entries.iter().map(|entry| &entry.worker).collect();
        let known = self.entries.iter();
        let missing = known.filter(|(worker, known)| {
            known.backend.is_some() && known.version <= list.to && !present.contains(worker)
        });
        let ends = missing.map(|(worker, _)| Entry {
            worker: worker.clone(),
            version: list.to,
            backend: None,
        });
        ends.collect()
    }

    fn on_entry(&mut self, now: Duration, entry: Entry, trusted: bool, changes: &mut Vec<Change>) {
        let known = self.entries.get(&entry.worker);
        if known.is_some_and(|known| entry.version <= known.version) {
            return;
        }
        let was_there = known.is_some_and(|known| known.backend.is_some());
        let newest = Known {
            version: entry.version,
            backend: entry.backend.clone(),
        };
        self.entries.insert(entry.worker.clone(), newest);
        match entry.backend {
            Some(backend) => {
                self.doubtful.remove(&entry.worker);
                changes.push(Change::Listed(backend));
            }
            None if !was_there => {}
            None if trusted => changes.push(Change::Unlisted(entry.worker)),
            None => {
                self.doubtful.insert(entry.worker, now + RETURNS);
            }
        }
    }

    /// Entries that did not come back in time.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        let over = self.doubtful.iter().filter(|(_, until)| now >= **until);
        let over: Vec<id::Worker> = over.map(|(worker, _)| worker.clone()).collect();
        for worker in &over {
            self.doubtful.remove(worker);
        }
        over.into_iter().map(Change::Unlisted).collect()
    }
}
