//! Quarantine of requests that crash the servers that run them, based on the observations of all
//! instances.
//!
//! A connection that breaks while a request runs makes the request suspect. The suspicion becomes a
//! crash once the server turns out to have ended, so a mere network fault does not count against a
//! request.
//! A request that was running on three servers that ended one after the other, and has not
//! succeeded since the first of these crashes, is quarantined for a while. Merging only adds to a
//! record, so instances can exchange records in any order and more than once.

use super::suspect::Fingerprint;
use crate::common::*;
use crate::world::id;
use crate::world::unit::Incarnation;

/// Number of crashes after which a request is quarantined; the platform starts to count breaches
/// after three crashes.
const QUARANTINE_THRESHOLD: usize = 3;
/// Time after a broken connection within which the end of the server may be a crash caused by the
/// request. The entry of a crashed server remains in the platform's list for three heartbeats.
const SUSPICION_WINDOW: Duration = Duration::from_secs(5);
/// Crashes closer together than this count as one: servers that end together have another cause.
const MIN_CRASH_SPACING: Duration = Duration::from_secs(1);
/// Time after its last crash for which a request is quarantined; then it may be sent again and may
/// succeed.
const QUARANTINE_PERIOD: Duration = Duration::from_mins(1);
/// Time for which records are kept.
const RECORD_TTL: Duration = Duration::from_mins(10);
/// Maximum number of records, and of suspicions.
const MAX_RECORDS: usize = 2_000;

/// One incarnation of a server.
pub type Process = (id::Worker, Incarnation);

/// Crashes attributed to one request fingerprint, and whether the request succeeded since.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Servers that ended while they ran the request, and when its connection broke.
    pub crashed_servers: BTreeMap<Process, Duration>,
    /// Whether the request succeeded after a crash.
    pub cleared: bool,
}

impl Record {
    /// Returns the number of crashes, counting those in quick succession as one.
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

/// Broken connection to a server that may have crashed.
#[derive(Debug, Clone)]
struct Suspicion {
    fingerprint: Fingerprint,
    process: Process,
    at: Duration,
}

/// Crash records and open suspicions, by request fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    suspicions: VecDeque<Suspicion>,
    records: BTreeMap<Fingerprint, (Duration, Record)>,
}

impl Crashes {
    /// Returns whether there are no crash records; suspicions do not count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a request is quarantined and must not be sent.
    #[must_use]
    pub fn is_quarantined(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|(_, record)| {
            let is_recent = now < record.last_crash() + QUARANTINE_PERIOD;
            !record.cleared && is_recent && record.distinct_crashes() >= QUARANTINE_THRESHOLD
        })
    }

    /// Returns all quarantined requests.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = Fingerprint> {
        let known = self.records.keys().copied();
        known.filter(move |fingerprint| self.is_quarantined(now, *fingerprint))
    }

    /// Records that a connection broke while a server ran a request.
    pub fn on_connection_broken(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        process: Process,
    ) {
        self.evict_expired(now);
        self.suspicions.push_back(Suspicion {
            fingerprint,
            process,
            at: now,
        });
    }

    /// Records that a server has ended; returns the requests that are newly recorded as crashing it.
    pub fn on_server_ended(&mut self, now: Duration, worker: &id::Worker) -> Vec<Fingerprint> {
        self.evict_expired(now);
        let suspicions = std::mem::take(&mut self.suspicions).into_iter();
        let (matching, pending): (VecDeque<_>, VecDeque<_>) =
            suspicions.partition(|suspicion| suspicion.process.0 == *worker);
        self.suspicions = pending;
        let matching = matching.into_iter().filter_map(|suspicion| {
            let record = Record {
                crashed_servers: [(suspicion.process, suspicion.at)].into(),
                cleared: false,
            };
            let is_new = self.merge(now, suspicion.fingerprint, record);
            is_new.then_some(suspicion.fingerprint)
        });
        matching.collect()
    }

    /// Records that a request succeeded; returns whether this newly clears a recorded request.
    pub fn on_success(&mut self, fingerprint: Fingerprint) -> bool {
        let Some((_, record)) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        !std::mem::replace(&mut record.cleared, true)
    }

    /// Merges a record of another instance; returns whether it contained anything new.
    pub fn merge(&mut self, now: Duration, fingerprint: Fingerprint, update: Record) -> bool {
        let entry = self.records.entry(fingerprint);
        let (_, record) = entry.or_insert_with(|| (now, Record::default()));
        let mut is_new = update.cleared && !record.cleared;
        record.cleared |= update.cleared;
        for (process, at) in update.crashed_servers {
            is_new |= !record.crashed_servers.contains_key(&process);
            record.crashed_servers.entry(process).or_insert(at);
        }
        self.evict_expired(now);
        is_new
    }

    /// Returns all records, to be sent to other instances.
    pub fn records(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let records = self.records.iter();
        records.map(|(fingerprint, (_, record))| (*fingerprint, record))
    }

    /// Removes expired suspicions and records, and the oldest ones beyond the maximum number.
    fn evict_expired(&mut self, now: Duration) {
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
