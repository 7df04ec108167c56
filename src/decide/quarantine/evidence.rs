//! Crashes of servers, and which prompt parts explain them.

use super::hash;
use crate::common::*;
use crate::world::id;
use crate::world::message::PartId;
use crate::world::unit::Incarnation;

/// Number of crashes after which a part counts as their cause.
pub(super) const THRESHOLD: usize = 3;
/// Number of crashes without another part after which the two are told apart.
const INDEPENDENT_CRASHES: usize = 2;
/// A part is the cause of crashes if it was at this many times as many as any part of other prompts
/// that was at the same ones.
const MIN_DOMINANCE: usize = 2;
/// Crashes closer together than this count as one: servers that end together have another cause.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(200);
/// Time for which crashes are kept. It is long, since prompts with the cause may be rare.
const EVIDENCE_TTL: Duration = Duration::from_hours(1);

/// Bounds of the state, which callers could otherwise fill with invented parts.
const MAX_CRASHES: usize = 128;
const MAX_PROMPTS_PER_CRASH: usize = 64;
const MAX_CLEARED: usize = 2_000;

/// One incarnation of a server.
pub type Process = (id::Worker, Incarnation);

/// A set of prompt parts.
pub type Parts = BTreeSet<PartId>;

/// A server that ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Crash {
    /// When the first connection to it broke.
    pub at: Duration,
    /// Prompts that it had hardly begun to answer.
    pub prompts: BTreeSet<Parts>,
}

impl Crash {
    /// Whether one of the prompts has all of these parts.
    pub(super) fn involves(&self, parts: &Parts) -> bool {
        self.prompts.iter().any(|prompt| parts.is_subset(prompt))
    }
}

/// Parts that explain several crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Cause {
    pub parts: Parts,
    pub crashes: u32,
    pub last_crash: Duration,
}

/// Known crashes, and the parts that are not their cause.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<Process, Crash>,
    /// Crashes by the parts of their prompts.
    by_part: BTreeMap<PartId, BTreeSet<Process>>,
    /// Time up to which the crashes of a part have another cause.
    cleared: BTreeMap<PartId, Duration>,
}

impl Evidence {
    pub fn crash(&self, process: &Process) -> Option<&Crash> {
        self.crashes.get(process)
    }

    pub fn cleared(&self) -> &BTreeMap<PartId, Duration> {
        &self.cleared
    }

    /// Whether a part is cleared of a crash at this time.
    pub fn is_cleared(&self, part: PartId, at: Duration) -> bool {
        self.cleared.get(&part).is_some_and(|until| at <= *until)
    }

    /// Whether a part may be the cause of a crash.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.open_crashes(part).next().is_some()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Adds a crash, or more prompts to a known one; returns whether anything was new.
    ///
    /// Above the bound, prompts with parts that are suspected of other crashes are kept first, then
    /// those with the lowest hashes, so that all instances keep the same ones.
    pub fn add(&mut self, process: &Process, crash: &Crash) -> bool {
        let known = self.remove(process);
        let count = known.as_ref().map_or(0, |known| known.prompts.len());
        let mut merged = known.unwrap_or(Crash {
            at: crash.at,
            ..Crash::default()
        });
        merged.at = merged.at.min(crash.at);
        merged.prompts.extend(crash.prompts.iter().cloned());
        let is_new = merged.prompts.len() > count;
        if merged.prompts.len() > MAX_PROMPTS_PER_CRASH {
            let rank = |prompt: &Parts| {
                let is_recurrent = prompt.iter().any(|part| self.is_suspect(*part));
                (!is_recurrent, hash(0, prompt))
            };
            let mut prompts: Vec<Parts> = merged.prompts.into_iter().collect();
            prompts.sort_by_cached_key(rank);
            prompts.truncate(MAX_PROMPTS_PER_CRASH);
            merged.prompts = prompts.into_iter().collect();
        }
        for part in merged.prompts.iter().flatten() {
            let crashes = self.by_part.entry(*part).or_default();
            crashes.insert(process.clone());
        }
        self.crashes.insert(process.clone(), merged);
        is_new
    }

    /// Records that the crashes of a part up to this time have another cause; returns whether that is
    /// new.
    pub fn clear(&mut self, part: PartId, until: Duration) -> bool {
        let known = self.cleared.entry(part).or_default();
        let is_new = until > *known;
        *known = until.max(*known);
        is_new
    }

    /// Removes what has expired or exceeds the bounds, the oldest first.
    pub fn evict(&mut self, now: Duration) {
        let is_expired = |at: Duration| now >= at + EVIDENCE_TTL;
        self.cleared.retain(|_, until| !is_expired(*until));
        let mut crashes: Vec<(Duration, Process)> = self
            .crashes
            .iter()
            .map(|(process, crash)| (crash.at, process.clone()))
            .collect();
        crashes.sort_unstable();
        let excess = crashes.len().saturating_sub(MAX_CRASHES);
        let evicted = crashes.into_iter().enumerate();
        let evicted = evicted.filter(|(rank, (at, _))| *rank < excess || is_expired(*at));
        for (_, (_, process)) in evicted {
            self.remove(&process);
        }
        while self.cleared.len() > MAX_CLEARED {
            let oldest = self.cleared.iter().min_by_key(|(_, until)| **until);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.cleared.remove(&oldest);
        }
    }

    fn remove(&mut self, process: &Process) -> Option<Crash> {
        let crash = self.crashes.remove(process)?;
        for part in crash.prompts.iter().flatten() {
            if let Some(crashes) = self.by_part.get_mut(part) {
                crashes.remove(process);
                if crashes.is_empty() {
                    self.by_part.remove(part);
                }
            }
        }
        Some(crash)
    }

    /// Returns the crashes of which a part is not cleared.
    fn open_crashes(&self, part: PartId) -> impl Iterator<Item = &Process> {
        let crashes = self.by_part.get(&part).into_iter().flatten();
        crashes.filter(move |process| !self.is_cleared(part, self.crashes[*process].at))
    }

    /// Returns the number of crashes that involve all of these parts, none of which is cleared.
    pub fn count_open(&self, parts: &Parts) -> usize {
        let Some(first) = parts.first() else {
            return 0;
        };
        let open = self.open_crashes(*first);
        let open = open.filter(|process| {
            let crash = &self.crashes[*process];
            let is_open = parts.iter().all(|part| !self.is_cleared(*part, crash.at));
            is_open && crash.involves(parts)
        });
        self.count_distinct(open)
    }

    /// Returns the parts that explain the crashes.
    ///
    /// A part with more crashes explains those of parts with fewer, which were on the same servers by
    /// chance. Parts that occurred in the same prompts are one cause, unless one of them had enough
    /// crashes without the other.
    pub fn causes(&self) -> Vec<Cause> {
        let recurrent = self
            .by_part
            .iter()
            .filter(|(_, crashes)| crashes.len() >= THRESHOLD);
        let open: BTreeMap<PartId, BTreeSet<&Process>> = recurrent
            .map(|(part, _)| (*part, self.open_crashes(*part).collect()))
            .collect();
        let counts = open.iter().map(|(part, crashes)| {
            let distinct = self.count_distinct(crashes.iter().copied());
            ((distinct, crashes.len()), *part)
        });
        let counts = counts.filter(|((distinct, _), _)| *distinct >= THRESHOLD);
        let mut candidates: Vec<((usize, usize), PartId)> = counts.collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let mut explained = BTreeSet::<&Process>::new();
        let mut causes = Vec::new();
        for level in candidates.chunk_by(|a, b| a.0 == b.0) {
            let mut explained_here = BTreeSet::new();
            for (_, part) in level {
                let unexplained = open[part].difference(&explained).copied();
                if self.count_distinct(unexplained) < THRESHOLD
                    || self.is_ambiguous(*part, &explained, &open)
                {
                    continue;
                }
                let others = candidates.iter().map(|(_, other)| *other);
                let inseparable = others.filter(|other| self.is_inseparable(*part, *other, &open));
                let crashes = &open[part];
                let times = crashes.iter().map(|process| self.crashes[*process].at);
                causes.push(Cause {
                    parts: inseparable.chain([*part]).collect(),
                    crashes: u32::try_from(crashes.len()).unwrap_or(u32::MAX),
                    last_crash: times.max().unwrap_or_default(),
                });
                explained_here.extend(crashes.iter().copied());
            }
            explained.extend(explained_here);
        }
        causes
    }

    /// Whether a part of other prompts explains the same crashes about as well.
    fn is_ambiguous(
        &self,
        part: PartId,
        explained: &BTreeSet<&Process>,
        open: &BTreeMap<PartId, BTreeSet<&Process>>,
    ) -> bool {
        let crashes: BTreeSet<&Process> = open[&part].difference(explained).copied().collect();
        let mut rivals = open.iter().filter(|(rival, rival_crashes)| {
            let shared = rival_crashes.intersection(&crashes).copied();
            rival_crashes.len() * MIN_DOMINANCE > crashes.len()
                && self.count_distinct(shared) >= THRESHOLD
                && **rival != part
        });
        rivals.any(|(rival, _)| {
            let pair = Parts::from([part, *rival]);
            let mut crashes = crashes.iter().map(|process| &self.crashes[*process]);
            !crashes.any(|crash| crash.involves(&pair))
        })
    }

    /// Whether a part was in the same prompts as another one, and had too few crashes without it.
    fn is_inseparable(
        &self,
        part: PartId,
        other: PartId,
        open: &BTreeMap<PartId, BTreeSet<&Process>>,
    ) -> bool {
        let pair = Parts::from([part, other]);
        let alone = open[&part].difference(&open[&other]).copied();
        let mut crashes = open[&part].iter().map(|process| &self.crashes[*process]);
        crashes.any(|crash| crash.involves(&pair))
            && self.count_distinct(alone) < INDEPENDENT_CRASHES
    }

    /// Returns the number of crashes, counting those in quick succession as one.
    fn count_distinct<'a>(&self, crashes: impl Iterator<Item = &'a Process>) -> usize {
        let mut times: Vec<Duration> = crashes.map(|process| self.crashes[process].at).collect();
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
}
