//! The platform's list of backend servers, assembled from batches of changes.
//!
//! Batches come from the store's feed or from a peer that follows it, in any order and with gaps.
//! Each entry has its own version, so an older one never replaces a newer one. After the store's
//! return from an old copy, versions are of a later era and newer than all before. The version up to
//! which the list is complete shows whether this instance has to read from the store itself.

use crate::common::*;
use crate::world::backend::Backend;
use crate::world::id;
use crate::world::table::Version;
use crate::world::unit::Incarnation;

/// Time after which an entry that vanished during a store outage counts as gone, unless it
/// returned.
const OUTAGE_GRACE: Duration = Duration::from_millis(1_800);

/// Time for which a server that was removed in an earlier era stays removed, unless it writes its
/// entry. The store removes the entries of silent servers sooner.
const REMOVAL_MEMORY: Duration = Duration::from_secs(5);

/// Limit on the spans of changes that are kept while changes before them are missing.
const MAX_DETACHED_SPANS: usize = 64;

/// A row of the list; `backend` is `None` if the row was deleted or is not usable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub worker: id::Worker,
    pub version: Version,
    pub backend: Option<Backend>,
}

/// Rows that changed between two versions of one era. A batch from version 0 is the whole list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    pub from: Version,
    pub to: Version,
    pub entries: Vec<Entry>,
    /// Whether the store was reachable throughout, so that a missing entry means that its server
    /// ended.
    pub trusted: bool,
}

impl Batch {
    /// Whether this is the whole list.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.from.number == 0
    }

    fn workers(&self) -> BTreeSet<&id::Worker> {
        self.entries.iter().map(|entry| &entry.worker).collect()
    }
}

/// A change to the list of usable servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Listed(Backend),
    Unlisted(id::Worker),
}

/// Newest known row of one server.
#[derive(Debug, Clone)]
struct Record {
    version: Version,
    /// Version of the newest entry that changed more than what the server holds in memory.
    changed_at: Version,
    backend: Option<Backend>,
    /// Incarnation that was listed last before its entry was removed.
    removed: Option<Incarnation>,
}

/// The list as far as it is known.
#[derive(Debug, Default)]
pub struct Roster {
    /// Version up to which the list is complete.
    version: Version,
    /// Version of the newest change seen. Rows of the store's other tables advance the store's
    /// version without changing this one.
    newest_change: Version,
    /// Spans of known changes, from one version to another, before which changes are missing.
    detached_spans: VecDeque<(Version, Version)>,
    entries: BTreeMap<id::Worker, Record>,
    /// Entries that vanished during a store outage, and when they count as gone.
    unconfirmed: BTreeMap<id::Worker, Duration>,
    /// Entries whose removal the store has forgotten, and when they count again.
    forgotten: BTreeMap<id::Worker, (Duration, Backend)>,
}

impl Roster {
    /// Version up to which the list is complete.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Version of the newest change seen. An instance whose list is complete only up to an earlier
    /// version is behind.
    #[must_use]
    pub fn newest_change(&self) -> Version {
        self.newest_change
    }

    /// Whether a server is listed.
    #[must_use]
    pub fn is_listed(&self, worker: &id::Worker) -> bool {
        let record = self.entries.get(worker);
        record.is_some_and(|record| record.backend.is_some())
    }

    /// Whether an entry differs from the known one, apart from what its server holds in memory.
    #[must_use]
    pub fn is_changed(&self, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.worker);
        let known = known.and_then(|known| known.backend.as_ref());
        match (known, &entry.backend) {
            (Some(known), Some(backend)) => !known.is_equal_ignoring_models(backend),
            (known, backend) => known.is_some() || backend.is_some(),
        }
    }

    /// Whether a batch has an entry that is newer than the known one and differs from it.
    #[must_use]
    pub fn is_news(&self, batch: &Batch) -> bool {
        batch.entries.iter().any(|entry| {
            let known = self.entries.get(&entry.worker);
            known.is_none_or(|known| entry.version > known.version && self.is_changed(entry))
        })
    }

    /// Reduces a batch to the changes that any peer with the complete list of the batch's start may
    /// lack, whatever this instance has heard of them from others already. For a whole list these are
    /// the changes since this instance's version, including the removal of servers that are no longer
    /// in it. If that version is of an earlier era, they make no list complete: peers may know of
    /// changes that the store has forgotten.
    #[must_use]
    pub fn delta(&self, batch: &Batch) -> Batch {
        let mut from = batch.from;
        if batch.is_whole() {
            if self.version.era == batch.to.era {
                from = self.version;
            } else if self.version.number > 0 {
                from = batch.to;
            }
        }
        let entries = batch.entries.iter();
        let entries = entries.filter(|entry| self.has_changed_since(from, entry));
        let mut entries: Vec<Entry> = entries.cloned().collect();
        if batch.is_whole() {
            entries.extend(self.missing_entries(batch));
            entries.extend(self.removals_since(from, batch));
        }
        Batch {
            from,
            to: batch.to,
            entries,
            trusted: batch.trusted,
        }
    }

    /// Whether peers that are complete up to `from` need an entry, be it only because the server was
    /// listed or removed in between.
    fn has_changed_since(&self, from: Version, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.worker);
        let is_same = known.is_some_and(|known| known.changed_at <= from);
        entry.backend.is_none() || !is_same || self.is_changed(entry)
    }

    /// Returns the known removals after `from` of servers that are missing from a whole list.
    fn removals_since(&self, from: Version, list: &Batch) -> Vec<Entry> {
        let present = list.workers();
        let known = self.entries.iter();
        let removed = known.filter(|(worker, known)| {
            known.backend.is_none()
                && known.changed_at > from
                && known.version <= list.to
                && !present.contains(worker)
        });
        let removals = removed.map(|(worker, known)| Entry {
            worker: worker.clone(),
            version: known.version,
            backend: None,
        });
        removals.collect()
    }

    /// Whether a batch has the servers that changed within its span, as far as this instance knows.
    /// Otherwise its sender saw a server only before and after the change, and found it equal.
    #[must_use]
    pub fn covers_known_changes(&self, batch: &Batch) -> bool {
        if batch.is_whole() {
            return true;
        }
        let workers = batch.workers();
        let known = self.entries.iter();
        let mut changed = known
            .filter(|(_, known)| known.changed_at > batch.from && known.changed_at <= batch.to);
        changed.all(|(worker, _)| workers.contains(worker))
    }

    /// Applies a batch and returns the changes to the list.
    pub fn on_batch(&mut self, now: Duration, batch: Batch) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_whole = batch.is_whole();
        let is_complete = self.covers_known_changes(&batch);
        if is_whole {
            self.remove_missing(now, &batch, &mut changes);
        }
        for entry in batch.entries {
            self.newest_change = self.newest_change.max(entry.version);
            self.on_entry(now, entry, batch.trusted, &mut changes);
        }
        if is_whole {
            self.version = self.version.max(batch.to);
        }
        if is_complete {
            self.join_span(batch.from, batch.to);
        }
        changes
    }

    /// Advances the version by a span of changes, and by those that follow it.
    fn join_span(&mut self, from: Version, to: Version) {
        let mut spans = std::mem::take(&mut self.detached_spans);
        spans.push_back((from, to));
        while let Some(index) = spans.iter().position(|(from, _)| *from <= self.version)
            && let Some((_, to)) = spans.remove(index)
        {
            self.version = self.version.max(to);
        }
        self.detached_spans = spans;
        if self.detached_spans.len() > MAX_DETACHED_SPANS {
            self.detached_spans.pop_front();
        }
    }

    /// Removes the entries that are missing from a whole list.
    fn remove_missing(&mut self, now: Duration, batch: &Batch, changes: &mut Vec<Change>) {
        for entry in self.missing_entries(batch) {
            self.on_entry(now, entry, batch.trusted, changes);
        }
    }

    /// Returns removals of the servers that are missing from a whole list.
    fn missing_entries(&self, list: &Batch) -> Vec<Entry> {
        let present = list.workers();
        let known = self.entries.iter();
        let missing_entries = known.filter(|(worker, known)| {
            known.backend.is_some() && known.version <= list.to && !present.contains(worker)
        });
        let removals = missing_entries.map(|(worker, _)| Entry {
            worker: worker.clone(),
            version: list.to,
            backend: None,
        });
        removals.collect()
    }

    fn on_entry(&mut self, now: Duration, entry: Entry, trusted: bool, changes: &mut Vec<Change>) {
        let known = self.entries.get(&entry.worker);
        let is_outdated = known.is_some_and(|known| entry.version <= known.version);
        // What changed up to the version of a complete list is known; the entry may since have been
        // removed.
        if is_outdated || (entry.version <= self.version && self.is_changed(&entry)) {
            return;
        }
        let changed_at = known
            .filter(|_| !self.is_changed(&entry))
            .map_or(entry.version, |known| known.changed_at);
        let was_listed = known.is_some_and(|known| known.backend.is_some());
        let is_forgotten = known.is_some_and(|known| known.is_forgotten(&entry));
        let listed_before = known.and_then(|known| known.backend.as_ref());
        let removed_before = known.and_then(|known| known.removed);
        let removed = listed_before.map(|before| before.boot).or(removed_before);
        let mut backend = entry.backend;
        self.forgotten.remove(&entry.worker);
        if is_forgotten && let Some(backend) = backend.take() {
            let until = now + REMOVAL_MEMORY;
            self.forgotten
                .insert(entry.worker.clone(), (until, backend));
        }
        let newest = Record {
            version: entry.version,
            changed_at,
            backend: backend.clone(),
            removed,
        };
        self.entries.insert(entry.worker.clone(), newest);
        match backend {
            Some(backend) => {
                self.unconfirmed.remove(&entry.worker);
                changes.push(Change::Listed(backend));
            }
            None if !was_listed => {}
            None if trusted => changes.push(Change::Unlisted(entry.worker)),
            None => {
                self.unconfirmed.insert(entry.worker, now + OUTAGE_GRACE);
            }
        }
    }

    /// Removes the entries that did not return within [`OUTAGE_GRACE`], and lists those that the store
    /// still has after [`REMOVAL_MEMORY`].
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = self.remove_unconfirmed(now);
        let kept = self
            .forgotten
            .iter()
            .filter(|(_, (until, _))| now >= *until);
        let kept: Vec<id::Worker> = kept.map(|(worker, _)| worker.clone()).collect();
        for worker in kept {
            if let Some((_, backend)) = self.forgotten.remove(&worker)
                && let Some(record) = self.entries.get_mut(&worker)
            {
                record.backend = Some(backend.clone());
                changes.push(Change::Listed(backend));
            }
        }
        changes
    }

    fn remove_unconfirmed(&mut self, now: Duration) -> Vec<Change> {
        let expired = self.unconfirmed.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<id::Worker> = expired.map(|(worker, _)| worker.clone()).collect();
        for worker in &expired {
            self.unconfirmed.remove(worker);
        }
        expired.into_iter().map(Change::Unlisted).collect()
    }
}

impl Record {
    /// Whether an entry was removed and stands in the store again only because the store has
    /// forgotten its removal. A server that lives writes its entry once more.
    fn is_forgotten(&self, entry: &Entry) -> bool {
        let boot = entry.backend.as_ref().map(|backend| backend.boot);
        self.backend.is_none()
            && self.version.era < entry.version.era
            && boot.is_some()
            && self.removed == boot
    }
}
