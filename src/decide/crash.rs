//! Requests that crash the servers that run them, as all instances together find them.
//!
//! A connection that breaks while a request runs is a suspicion. It becomes a strike when the server
//! turns out to have ended: faults of links strike nobody. A request that was running on three
//! servers that ended one after the other, and has not succeeded since, is not sent for a while.
//! What is known only grows, so instances can tell each other in any order and more than once.

use super::suspect::Fingerprint;
use crate::common::*;
use crate::world::id;
use crate::world::unit::Incarnation;

/// Servers that a request may end; the platform's page begins to count after three.
const QUARANTINE_THRESHOLD: usize = 3;
/// A server that ends so soon after a connection broke may have ended for what it ran there. Its
/// entry in the list stands for three heartbeats.
const SUSPICION_WINDOW: Duration = Duration::from_secs(5);
/// Strikes closer together than this are one: servers that end together have another cause.
const MIN_CRASH_SPACING: Duration = Duration::from_secs(1);
/// A convicted request may be sent again this long after its last strike, and may succeed.
const QUARANTINE_PERIOD: Duration = Duration::from_mins(1);
/// How long strikes and acquittals are remembered.
const RECORD_TTL: Duration = Duration::from_mins(10);
/// Most fingerprints remembered.
const MAX_RECORDS: usize = 2_000;

/// One start of a server.
pub type Start = (id::Worker, Incarnation);

/// What is known of one fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Servers that ended while they ran it, and when its connection broke.
    pub crashed_servers: BTreeMap<Start, Duration>,
    /// Whether it succeeded after a strike.
    pub cleared: bool,
}

impl Record {
    /// Strikes, those that came together counted as one.
    fn distinct_crashes(&self) -> usize {
        let mut times: Vec<Duration> = self.crashed_servers.values().copied().collect();
        times.sort_unstable();
        let mut last = None;
        times.retain(|at| {
            let is_distinct = last.is_none_or(|last| *at >= last + MIN_CRASH_SPACING);
            if is_distinct {
                last = Some(*at);
            }
            is_distinct
        });
        times.len()
    }

    fn last_crash(&self) -> Duration {
        self.crashed_servers
            .values()
            .max()
            .copied()
            .unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Suspicion {
    fingerprint: Fingerprint,
    start: Start,
    at: Duration,
}

/// What is known of requests that were running where servers ended.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    suspicions: VecDeque<Suspicion>,
    records: BTreeMap<Fingerprint, (Duration, Record)>,
}

impl Crashes {
    /// Whether nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request crashes servers and is not to be sent.
    #[must_use]
    pub fn is_quarantined(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|(_, record)| {
            let is_recent = now < record.last_crash() + QUARANTINE_PERIOD;
            !record.cleared && is_recent && record.distinct_crashes() >= QUARANTINE_THRESHOLD
        })
    }

    /// All requests that are not to be sent.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = Fingerprint> {
        let known = self.records.keys().copied();
        known.filter(move |fingerprint| self.is_quarantined(now, *fingerprint))
    }

    /// Notes that a connection broke while a server ran a request.
    pub fn on_connection_broken(&mut self, now: Duration, fingerprint: Fingerprint, start: Start) {
        self.forget(now);
        self.suspicions.push_back(Suspicion {
            fingerprint,
            start,
            at: now,
        });
    }

    /// Notes that a server has ended; what its end strikes for the first time.
    pub fn on_server_ended(&mut self, now: Duration, worker: &id::Worker) -> Vec<Fingerprint> {
        self.forget(now);
        let suspicions = std::mem::take(&mut self.suspicions).into_iter();
        let (matching, pending): (VecDeque<_>, VecDeque<_>) =
            suspicions.partition(|suspicion| suspicion.start.0 == *worker);
        self.suspicions = pending;
        let matching = matching.into_iter().filter_map(|suspicion| {
            let record = Record {
                crashed_servers: [(suspicion.start, suspicion.at)].into(),
                cleared: false,
            };
            let is_new = self.merge(now, suspicion.fingerprint, record);
            is_new.then_some(suspicion.fingerprint)
        });
        matching.collect()
    }

    /// Notes that a request succeeded; true where that acquits it.
    pub fn on_success(&mut self, fingerprint: Fingerprint) -> bool {
        let Some((_, record)) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        !std::mem::replace(&mut record.cleared, true)
    }

    /// Takes what another instance knows; true where it is news.
    pub fn merge(&mut self, now: Duration, fingerprint: Fingerprint, update: Record) -> bool {
        let entry = self.records.entry(fingerprint);
        let (_, record) = entry.or_insert_with(|| (now, Record::default()));
        let mut is_new = update.cleared && !record.cleared;
        record.cleared |= update.cleared;
        for (start, at) in update.crashed_servers {
            is_new |= !record.crashed_servers.contains_key(&start);
            record.crashed_servers.entry(start).or_insert(at);
        }
        self.forget(now);
        is_new
    }

    /// Everything that is known, to tell others.
    pub fn records(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let records = self.records.iter();
        records.map(|(fingerprint, (_, record))| (*fingerprint, record))
    }

    fn forget(&mut self, now: Duration) {
        self.suspicions
            .retain(|suspicion| now < suspicion.at + SUSPICION_WINDOW);
        self.records
            .retain(|_, (since, _)| now < *since + RECORD_TTL);
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, (since, _))| *since);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&oldest);
        }
        while self.suspicions.len() > MAX_RECORDS {
            self.suspicions.pop_front();
        }
    }
}
