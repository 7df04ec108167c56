//! Detection of requests that crash the backend servers that run them.
//!
//! Every request that ran on a crashed worker gets a strike: it is suspected. A struck request is
//! retried in isolation, on a worker that runs no other struck request. If that worker crashes too,
//! the request is convicted and refused from then on; if the request succeeds, its strike is
//! lifted. So a request that crashes its workers crashes at most two of them.

use crate::common::*;
use crate::world::id;

/// Hash of a request's team, model and body, by which repeats of it are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Time for which a strike or a conviction is kept.
const RETENTION: Duration = Duration::from_hours(1);
/// Bound on the kept fingerprints; strikes are evicted before convictions, the oldest first.
const MAX_FINGERPRINTS: usize = 10_000;

/// Status of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Neither struck nor convicted.
    Clear,
    /// Suspected: it ran on a worker that crashed.
    Struck,
    /// It ran in isolation on a worker that crashed, and is refused.
    Convicted,
}

/// Strikes and convictions that follow from a crash.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Verdict {
    pub struck: Vec<Fingerprint>,
    pub convicted: Option<Fingerprint>,
}

/// A strike or a conviction.
#[derive(Debug, Clone)]
struct Entry {
    convicted: bool,
    recorded_at: Duration,
}

/// Strikes and convictions that this instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Struck fingerprints that run in isolation now, with their worker.
    isolated_runs: BTreeMap<Fingerprint, id::Worker>,
}

impl Registry {
    /// Returns the status of a fingerprint.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        match self.entries.get(&fingerprint) {
            None => Status::Clear,
            Some(entry) if entry.convicted => Status::Convicted,
            Some(_) => Status::Struck,
        }
    }

    /// Whether a struck fingerprint runs in isolation on a worker.
    #[must_use]
    pub fn has_isolated_run(&self, worker: &id::Worker) -> bool {
        self.isolated_runs.values().any(|other| other == worker)
    }

    /// Whether a struck fingerprint runs in isolation now.
    #[must_use]
    pub fn is_isolated(&self, fingerprint: Fingerprint) -> bool {
        self.isolated_runs.contains_key(&fingerprint)
    }

    /// Records that a struck fingerprint starts on a worker in isolation.
    pub fn isolate(&mut self, fingerprint: Fingerprint, worker: id::Worker) {
        self.isolated_runs.insert(fingerprint, worker);
    }

    /// Records that a fingerprint succeeded; returns whether that lifted a strike.
    pub fn on_success(&mut self, fingerprint: Fingerprint) -> bool {
        self.isolated_runs.remove(&fingerprint);
        self.clear(fingerprint)
    }

    /// Lifts a strike, but not a conviction; returns whether there was one to lift.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let struck = self.status(fingerprint) == Status::Struck;
        if struck {
            self.entries.remove(&fingerprint);
        }
        struck
    }

    /// Records that an attempt ended with neither a crash nor success; a strike stays.
    pub fn on_inconclusive_end(&mut self, fingerprint: Fingerprint) {
        self.isolated_runs.remove(&fingerprint);
    }

    /// Applies the crash of a worker on which this instance ran the fingerprints `running`.
    ///
    /// If one of them ran there in isolation, it is convicted. Those that are clear get a strike even
    /// then, since the isolated request may be harmless and one of the others the cause.
    pub fn on_crash(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        running: &[Fingerprint],
    ) -> Verdict {
        let is_isolated_here =
            |candidate: &&Fingerprint| self.isolated_runs.get(candidate) == Some(worker);
        let convicted = running.iter().find(is_isolated_here).copied();
        self.isolated_runs.retain(|_, other| other != worker);
        let clear = |candidate: &&Fingerprint| self.status(**candidate) == Status::Clear;
        let struck: Vec<Fingerprint> = running.iter().filter(clear).copied().collect();
        for fingerprint in &struck {
            self.strike(now, *fingerprint);
        }
        if let Some(fingerprint) = convicted {
            self.convict(now, fingerprint);
        }
        Verdict { struck, convicted }
    }

    /// Records a strike; an earlier strike or conviction stays as it is.
    pub fn strike(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.entries.entry(fingerprint).or_insert(Entry {
            convicted: false,
            recorded_at: now,
        });
        self.evict_old(now);
    }

    /// Records a conviction.
    pub fn convict(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.entries.insert(
            fingerprint,
            Entry {
                convicted: true,
                recorded_at: now,
            },
        );
        self.isolated_runs.remove(&fingerprint);
        self.evict_old(now);
    }

    /// Evicts expired entries, then the oldest ones above the bound.
    fn evict_old(&mut self, now: Duration) {
        self.entries
            .retain(|_, entry| now < entry.recorded_at + RETENTION);
        while self.entries.len() > MAX_FINGERPRINTS {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.convicted, entry.recorded_at));
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
