//! Entries of the quarantine: how long they refuse, and what is stored of them.

use super::evidence::Parts;
use crate::common::*;

/// Time after the last crash for which an entry refuses all its prompts. Each trial that crashes a
/// server multiplies it, at most [`MAX_GROWTH_STEPS`] times. It begins short, since the evidence may
/// have been a chance.
pub const BASE_PERIOD: Duration = Duration::from_mins(1);
const PERIOD_GROWTH: u32 = 4;
const MAX_GROWTH_STEPS: u32 = 5;
/// Time after which an entry that has lapsed and was not tried is dropped.
const RETENTION: Duration = Duration::from_hours(1);

/// Quarantine of prompts that contain certain parts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    pub last_crash: Duration,
    /// Number of servers that ended under these parts.
    pub crashes: u32,
    /// Number of these that ended after the entry had lapsed.
    pub failed_trials: u32,
    /// Whether the entry is in the store.
    pub is_stored: bool,
}

impl Entry {
    pub(super) fn merge(&mut self, other: Self) {
        self.last_crash = self.last_crash.max(other.last_crash);
        self.crashes = self.crashes.max(other.crashes);
        self.failed_trials = self.failed_trials.max(other.failed_trials);
        self.is_stored |= other.is_stored;
    }

    pub(super) fn period(&self) -> Duration {
        BASE_PERIOD * PERIOD_GROWTH.pow(self.failed_trials.min(MAX_GROWTH_STEPS))
    }

    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now >= self.last_crash + self.period() * 2 + RETENTION
    }
}

/// An entry as it is kept in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct Row {
    pub parts: Parts,
    pub crashes: u32,
}

/// A change to the rows in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    Insert(Parts, u32),
    Remove(Parts),
}
