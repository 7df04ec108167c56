//! Requests that crash the backend servers that run them.
//!
//! A crash strikes every fingerprint that ran on the worker. A struck one runs again only where
//! no other struck one runs, so a second crash names its cause. The bound is two workers for
//! each such request.

use crate::common::*;
use crate::world::id;

/// What a request is recognised by: its team, model and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// How long a strike or a conviction is remembered.
const RETENTION: Duration = Duration::from_hours(1);
/// Most fingerprints remembered.
const MAX_FINGERPRINTS: usize = 10_000;

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Clear,
    /// It ran on a worker that crashed.
    Struck,
    /// It crashes workers.
    Convicted,
}

/// What follows from a crash.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Verdict {
    pub struck: Vec<Fingerprint>,
    pub convicted: Option<Fingerprint>,
}

#[derive(Debug, Clone)]
struct Entry {
    convicted: bool,
    recorded_at: Duration,
}

/// Strikes and convictions that this instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Struck fingerprints that run now, with their worker.
    isolated_runs: BTreeMap<Fingerprint, id::Worker>,
}

impl Registry {
    /// What is known of a fingerprint.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        match self.entries.get(&fingerprint) {
            None => Status::Clear,
            Some(entry) if entry.convicted => Status::Convicted,
            Some(_) => Status::Struck,
        }
    }

    /// Whether a struck fingerprint runs on a worker.
    #[must_use]
    pub fn is_occupied(&self, worker: &id::Worker) -> bool {
        self.isolated_runs.values().any(|other| other == worker)
    }

    /// Whether a struck fingerprint runs now.
    #[must_use]
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.isolated_runs.contains_key(&fingerprint)
    }

    /// Notes that a struck fingerprint starts on a worker.
    pub fn isolate(&mut self, fingerprint: Fingerprint, worker: id::Worker) {
        self.isolated_runs.insert(fingerprint, worker);
    }

    /// Notes that a fingerprint ended well: true when that lifted its strike.
    pub fn on_success(&mut self, fingerprint: Fingerprint) -> bool {
        self.isolated_runs.remove(&fingerprint);
        self.clear(fingerprint)
    }

    /// Lifts a strike; a conviction stays.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let struck = self.status(fingerprint) == Status::Struck;
        if struck {
            self.entries.remove(&fingerprint);
        }
        struck
    }

    /// Notes that a fingerprint stopped without a crash and without success.
    pub fn on_stop(&mut self, fingerprint: Fingerprint) {
        self.isolated_runs.remove(&fingerprint);
    }

    /// Takes a worker's crash with what ran there, from this instance.
    ///
    /// What ran beside the convicted one is struck too: where the worker died for another
    /// reason, the cause may be among them.
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

    /// Remembers a strike.
    pub fn strike(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.entries.entry(fingerprint).or_insert(Entry {
            convicted: false,
            recorded_at: now,
        });
        self.evict_old(now);
    }

    /// Remembers a conviction.
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
