//! How long configurations take to be in force here after this instance has heard of them.

use crate::common::*;

/// Number of awaited versions that are kept; further ones are not measured.
const MAX_AWAITED: usize = 64;

/// A version that was heard of and is not in force.
#[derive(Debug, Clone, Copy)]
struct Awaited {
    version: u64,
    heard_at: Duration,
    is_reported: bool,
}

/// A version that has been awaited for longer than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overdue {
    pub version: u64,
    pub waited: Duration,
}

/// Versions that were heard of and are not in force, in order.
#[derive(Debug, Default)]
pub struct Arrival {
    awaited: VecDeque<Awaited>,
}

impl Arrival {
    /// Records the newest version that peers have, and the one in force here.
    pub fn on_heard(&mut self, now: Duration, version: u64, in_force: u64) {
        let known = self.awaited.back().map_or(0, |last| last.version);
        if version > known.max(in_force) && self.awaited.len() < MAX_AWAITED {
            self.awaited.push_back(Awaited {
                version,
                heard_at: now,
                is_reported: false,
            });
        }
    }

    /// Records the version in force. Returns how long each awaited version took that it includes.
    pub fn on_in_force(&mut self, now: Duration, version: u64) -> Vec<Duration> {
        let count = self
            .awaited
            .partition_point(|awaited| awaited.version <= version);
        let arrived = self.awaited.drain(..count);
        arrived
            .map(|awaited| now.saturating_sub(awaited.heard_at))
            .collect()
    }

    /// Returns the version that has been awaited longest, once, if that is at least `limit`.
    pub fn take_overdue(&mut self, now: Duration, limit: Duration) -> Option<Overdue> {
        let mut awaited = self.awaited.iter_mut();
        let overdue =
            awaited.find(|awaited| !awaited.is_reported && now >= awaited.heard_at + limit)?;
        overdue.is_reported = true;
        Some(Overdue {
            version: overdue.version,
            waited: now.saturating_sub(overdue.heard_at),
        })
    }
}
