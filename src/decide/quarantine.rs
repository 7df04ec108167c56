//! Quarantine of requests, and of prompt parts, that crash the servers which begin an answer on them.
//!
//! The evidence is a server that ended, together with the prompts that it had hardly begun to
//! answer. A part that was in such prompts at several crashes, and in no answered prompt since, is
//! quarantined. The hash of a whole request is a part of its own, by which it is recognised when
//! it is sent again.
//!
//! Parts that always occurred together can't be told apart. They share one entry, and only prompts
//! with all of them are refused: no sound prompt has the cause, and an answer to a prompt with one
//! of the other parts removes that part from the entry. While several parts in different prompts
//! explain the same crashes about as well, none is quarantined: a service that fails as a whole
//! answers none of them.
//!
//! All instances exchange evidence and entries. Merging is idempotent and does not depend on the
//! order.

mod entry;
mod evidence;

pub use entry::{BASE_PERIOD, Entry, Row, Write};
pub use evidence::{Crash, Parts, Process};

use crate::common::*;
use crate::world::id;
use crate::world::message::PartId;
use evidence::{Evidence, THRESHOLD};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A server that ends later than this after the first event of an answer has not crashed by
/// beginning that answer.
const BEGIN_WINDOW: Duration = Duration::from_secs(1);
/// Time after a broken connection within which the end of the server counts as its cause. The entry
/// of a crashed server remains in the platform's list for three heartbeats.
const SUSPICION_WINDOW: Duration = Duration::from_secs(5);
/// Interval at which an instance lets a single prompt of a lapsed entry through.
const TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// Instances that know of the same change to the store each wait for a different part of this time,
/// so that usually one of them makes it.
const WRITE_SPREAD: Duration = Duration::from_secs(2);
/// Bounds of the state.
const MAX_SUSPICIONS: usize = 2_000;
const MAX_ENTRIES: usize = 128;

/// What instances tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    pub crashes: BTreeMap<Process, Crash>,
    /// Time up to which the crashes of a part have another cause.
    pub cleared: BTreeMap<PartId, Duration>,
    pub entries: BTreeMap<Parts, Entry>,
}

impl Report {
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.entries.is_empty()
    }
}

/// Broken connection to a server that may have crashed.
#[derive(Debug, Clone)]
struct Suspicion {
    process: Process,
    prompt: Parts,
    at: Duration,
}

/// State of an entry that only this instance needs.
#[derive(Debug, Clone, Copy, Default)]
struct Local {
    /// Since when the entry should be in the store.
    unstored_since: Duration,
    last_trial: Option<Duration>,
}

/// Difference between the entries before and after an update.
struct Change {
    added: BTreeMap<Parts, Entry>,
    dropped: Vec<Parts>,
}

/// Evidence and entries, as one instance knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Distinguishes this instance from others.
    seed: u64,
    suspicions: VecDeque<Suspicion>,
    evidence: Evidence,
    entries: BTreeMap<Parts, (Entry, Local)>,
    /// Rows in the store that should be removed, and since when.
    obsolete: BTreeMap<Parts, Duration>,
    news: Report,
}

impl Quarantine {
    /// Creates an empty quarantine; `seed` must differ between instances.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Returns whether no parts are quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether no part is quarantined or a suspect.
    #[must_use]
    pub fn accuses_none(&self) -> bool {
        self.evidence.is_empty() && self.entries.is_empty()
    }

    /// Returns whether a prompt must not be sent to a server.
    #[must_use]
    pub fn is_refused(&self, now: Duration, prompt: &[PartId]) -> bool {
        self.entries.iter().any(|(parts, (entry, local))| {
            parts.iter().all(|part| prompt.contains(part))
                && (now < self.lapses_at(parts, entry) || local.is_trial_running(now))
        })
    }

    /// Records that a prompt is sent to a server.
    pub fn on_sent(&mut self, now: Duration, prompt: &[PartId]) {
        for (parts, (_, local)) in &mut self.entries {
            if parts.iter().all(|part| prompt.contains(part)) {
                local.last_trial = Some(now);
            }
        }
    }

    /// Records that a connection broke while a server worked on a prompt; `first_event` is when the
    /// answer began, if it did.
    pub fn on_connection_broken(
        &mut self,
        now: Duration,
        prompt: &[PartId],
        process: &Process,
        first_event: Option<Duration>,
    ) {
        if prompt.is_empty() {
            return;
        }
        if first_event.is_some_and(|begun| now >= begun + BEGIN_WINDOW) {
            return self.on_answered(now, prompt);
        }
        self.suspicions
            .retain(|suspicion| now < suspicion.at + SUSPICION_WINDOW);
        if self.suspicions.len() >= MAX_SUSPICIONS {
            self.suspicions.pop_front();
        }
        self.suspicions.push_back(Suspicion {
            process: process.clone(),
            prompt: prompt.iter().copied().collect(),
            at: now,
        });
        if self.evidence.crash(process).is_some() {
            self.confirm(now, |suspected| suspected == process);
        }
    }

    /// Returns the number of suspicions that the end of a server would confirm.
    #[must_use]
    pub fn suspicion_count(&self, now: Duration, worker: &id::Worker) -> u64 {
        let suspicions = self.suspicions.iter().filter(|suspicion| {
            suspicion.process.0 == *worker && now < suspicion.at + SUSPICION_WINDOW
        });
        suspicions.map(|_| 1).sum()
    }

    /// Records that a server has ended; the prompts that it was working on may be the cause.
    pub fn on_server_ended(&mut self, now: Duration, worker: &id::Worker) {
        self.confirm(now, |suspected| suspected.0 == *worker);
    }

    /// Turns the suspicions against some processes into crashes.
    fn confirm(&mut self, now: Duration, has_ended: impl Fn(&Process) -> bool) {
        let mut crashes = BTreeMap::<Process, Crash>::new();
        for suspicion in std::mem::take(&mut self.suspicions) {
            if !has_ended(&suspicion.process) {
                self.suspicions.push_back(suspicion);
            } else if now < suspicion.at + SUSPICION_WINDOW {
                let crash = crashes.entry(suspicion.process).or_insert(Crash {
                    at: suspicion.at,
                    ..Crash::default()
                });
                crash.prompts.insert(suspicion.prompt);
            }
        }
        crashes.retain(|process, crash| self.add_crash(process, crash));
        if crashes.is_empty() {
            return;
        }
        let known = crashes.into_keys().filter_map(|process| {
            let crash = self.evidence.crash(&process)?.clone();
            Some((process, crash))
        });
        self.news.crashes.extend(known);
        let change = self.update(now);
        self.announce(now, change);
    }

    /// Records that a server answered a prompt, which clears the prompt's parts.
    pub fn on_answered(&mut self, now: Duration, prompt: &[PartId]) {
        let cleared = prompt.iter().copied();
        let cleared: Vec<PartId> = cleared.filter(|part| self.is_accused(*part)).collect();
        for part in &cleared {
            self.evidence.clear(*part, now);
            self.news.cleared.insert(*part, now);
        }
        if !cleared.is_empty() {
            let change = self.update(now);
            self.announce(now, change);
        }
    }

    /// Tells peers of a change that this instance's own requests led to, and plans the removal of
    /// rows.
    fn announce(&mut self, now: Duration, change: Change) {
        self.news.entries.extend(change.added);
        let since = change.dropped.into_iter().map(|parts| (parts, now));
        self.obsolete.extend(since);
    }

    /// Applies a peer's report.
    pub fn merge(&mut self, now: Duration, report: &Report) {
        let mut is_new = false;
        for (process, crash) in &report.crashes {
            is_new |= self.add_crash(process, crash);
            self.confirm(now, |suspected| suspected == process);
        }
        for (part, until) in &report.cleared {
            is_new |= self.evidence.clear(*part, *until);
        }
        for (parts, entry) in &report.entries {
            is_new |= self.add_entry(now, parts, *entry);
        }
        if is_new {
            self.update(now);
        }
    }

    /// Applies the entries that were read from the store. Their age is unknown, so they refuse for a
    /// whole period from now on.
    pub fn on_rows(&mut self, now: Duration, rows: &BTreeMap<Parts, u32>) {
        for (parts, (entry, local)) in &mut self.entries {
            if entry.is_stored && !rows.contains_key(parts) {
                entry.is_stored = false;
                local.unstored_since = now;
            }
        }
        for (parts, crashes) in rows {
            let cleared = self.evidence.cleared();
            let is_cleared = parts.iter().all(|part| cleared.contains_key(part));
            if let Some((entry, _)) = self.entries.get_mut(parts) {
                entry.is_stored = true;
            } else if is_cleared || self.is_subsumed(parts) {
                self.obsolete.entry(parts.clone()).or_insert(now);
            } else {
                let entry = Entry {
                    last_crash: now,
                    crashes: *crashes,
                    failed_trials: 0,
                    is_stored: true,
                };
                self.add_entry(now, parts, entry);
            }
        }
        self.update(now);
    }

    /// Returns the changes to the store that are due; each is returned again later unless
    /// [`Self::on_written`] confirms it.
    pub fn take_writes(&mut self, now: Duration) -> Vec<Write> {
        let seed = self.seed;
        let mut writes = Vec::new();
        for (parts, (entry, local)) in &mut self.entries {
            let due = local.unstored_since + WRITE_SPREAD.mul_f64(fraction(seed, parts));
            if !entry.is_stored && now >= due {
                local.unstored_since = now + WRITE_SPREAD;
                writes.push(Write::Insert(parts.clone(), entry.crashes));
            }
        }
        for (parts, since) in &mut self.obsolete {
            if now >= *since + WRITE_SPREAD.mul_f64(fraction(seed, parts)) {
                *since = now + WRITE_SPREAD;
                writes.push(Write::Remove(parts.clone()));
            }
        }
        writes
    }

    /// Records that the store has taken a change.
    pub fn on_written(&mut self, write: &Write) {
        match write {
            Write::Insert(parts, _) => {
                if let Some((entry, _)) = self.entries.get_mut(parts) {
                    entry.is_stored = true;
                    self.news.entries.insert(parts.clone(), *entry);
                } else {
                    self.obsolete.entry(parts.clone()).or_default();
                }
            }
            Write::Remove(parts) => {
                self.obsolete.remove(parts);
            }
        }
    }

    /// Drops what has expired.
    pub fn tick(&mut self, now: Duration) {
        let has_expired = |(entry, _): &(Entry, Local)| entry.is_expired(now);
        if self.entries.values().any(has_expired) {
            self.update(now);
        }
    }

    /// Takes what peers must be told without delay.
    pub fn take_news(&mut self) -> Report {
        std::mem::take(&mut self.news)
    }

    /// Returns whether there is something to tell peers.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns what a peer needs that knows other entries than this instance.
    #[must_use]
    pub fn summary(&self) -> Report {
        Report {
            crashes: BTreeMap::new(),
            cleared: self.evidence.cleared().clone(),
            entries: self.entries().collect(),
        }
    }

    /// Returns a hash of the entries' parts, by which instances find out that they differ; 0 if there
    /// are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.entries.keys().map(|parts| hash(0, parts));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = (Parts, Entry)> {
        let entries = self.entries.iter();
        entries.map(|(parts, (entry, _))| (parts.clone(), *entry))
    }

    /// When an entry begins to let single prompts through. Instances differ, so that they don't try
    /// at the same moment.
    fn lapses_at(&self, parts: &Parts, entry: &Entry) -> Duration {
        let delay = 1.0 + fraction(self.seed, parts);
        entry.last_crash + entry.period().mul_f64(delay)
    }

    /// Whether a part is a suspect or in an entry.
    fn is_accused(&self, part: PartId) -> bool {
        self.evidence.is_suspect(part) || self.entries.keys().any(|parts| parts.contains(&part))
    }

    fn is_subsumed(&self, parts: &Parts) -> bool {
        let mut others = self.entries.keys();
        others.any(|other| other != parts && other.is_subset(parts))
    }

    /// Adds a crash; returns whether it contained anything new.
    fn add_crash(&mut self, process: &Process, crash: &Crash) -> bool {
        let before = self.evidence.crash(process).cloned().unwrap_or_default();
        let is_new = self.evidence.add(process, crash);
        let Some(after) = self.evidence.crash(process).filter(|_| is_new) else {
            return false;
        };
        for (parts, (entry, _)) in &mut self.entries {
            if after.involves(parts) && !before.involves(parts) {
                let is_trial = after.at >= entry.last_crash + entry.period();
                entry.failed_trials += u32::from(is_trial);
                entry.last_crash = entry.last_crash.max(after.at);
                entry.crashes = entry.crashes.saturating_add(1);
            }
        }
        true
    }

    /// Adds an entry, or merges it into the known one; returns whether anything changed.
    fn add_entry(&mut self, now: Duration, parts: &Parts, entry: Entry) -> bool {
        if entry.is_expired(now) || parts.is_empty() {
            return false;
        }
        if let Some((known, _)) = self.entries.get_mut(parts) {
            let before = *known;
            known.merge(entry);
            return before != *known;
        }
        let local = Local {
            unstored_since: now,
            last_trial: None,
        };
        self.entries.insert(parts.clone(), (entry, local));
        true
    }

    /// Brings entries in line with the evidence.
    fn update(&mut self, now: Duration) -> Change {
        let before: BTreeSet<Parts> = self.entries.keys().cloned().collect();
        self.evidence.evict(now);
        self.drop_cleared(now);
        let causes = self.evidence.causes();
        for cause in &causes {
            if !self.is_subsumed(&cause.parts) {
                let entry = Entry {
                    last_crash: cause.last_crash,
                    crashes: cause.crashes,
                    failed_trials: 0,
                    is_stored: false,
                };
                self.add_entry(now, &cause.parts, entry);
            }
        }
        let is_cause = |parts: &Parts| causes.iter().any(|cause| cause.parts == *parts);
        let explained = self
            .entries
            .iter()
            .filter(|(parts, _)| !is_cause(parts) && self.evidence.count_open(parts) >= THRESHOLD);
        let explained: Vec<(Parts, Duration)> = explained
            .map(|(parts, (entry, _))| (parts.clone(), entry.last_crash))
            .collect();
        for (parts, last_crash) in &explained {
            self.drop_explained(parts, *last_crash);
        }
        let redundant = self.entries.keys().filter(|parts| self.is_subsumed(parts));
        let redundant: Vec<Parts> = redundant.cloned().collect();
        self.entries
            .retain(|parts, (entry, _)| !redundant.contains(parts) && !entry.is_expired(now));
        self.limit_entries();
        let added = self.entries().filter(|(parts, _)| !before.contains(parts));
        let is_dropped = |parts: &Parts| !self.entries.contains_key(parts);
        Change {
            added: added.collect(),
            dropped: before.iter().filter(|it| is_dropped(it)).cloned().collect(),
        }
    }

    /// Removes cleared parts from entries; an entry without parts is dropped.
    fn drop_cleared(&mut self, now: Duration) {
        for (parts, (mut entry, local)) in std::mem::take(&mut self.entries) {
            let is_cleared = |part: &&PartId| self.evidence.is_cleared(**part, entry.last_crash);
            let rest: Parts = parts.iter().filter(|it| !is_cleared(it)).copied().collect();
            if rest == parts {
                self.entries.insert(parts, (entry, local));
            } else {
                entry.is_stored = false;
                self.add_entry(now, &rest, entry);
            }
        }
    }

    /// Drops an entry whose crashes have another cause, and clears the parts that no other entry has.
    fn drop_explained(&mut self, parts: &Parts, last_crash: Duration) {
        self.entries.remove(parts);
        for part in parts {
            if !self.entries.keys().any(|other| other.contains(part)) {
                self.evidence.clear(*part, last_crash);
                self.news.cleared.insert(*part, last_crash);
            }
        }
    }

    fn limit_entries(&mut self) {
        while self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter();
            let oldest = oldest.min_by_key(|(_, (entry, _))| entry.last_crash);
            let Some(oldest) = oldest.map(|(parts, _)| parts.clone()) else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}

impl Local {
    fn is_trial_running(&self, now: Duration) -> bool {
        self.last_trial.is_some_and(|at| now < at + TRIAL_INTERVAL)
    }
}

/// Returns a hash of parts.
#[must_use]
pub fn hash(seed: u64, parts: &Parts) -> u64 {
    parts.iter().fold(seed, |hash, part| {
        xxh3_64_with_seed(&part.0.to_le_bytes(), hash)
    })
}

/// Returns a number from 0 to 1 that depends on the instance and the parts.
fn fraction(seed: u64, parts: &Parts) -> f64 {
    let draw = u32::try_from(hash(seed, parts) >> 32).unwrap_or(0);
    f64::from(draw) / f64::from(u32::MAX)
}
