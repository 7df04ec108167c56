//! A budget for retries that instances share, so that retries can't become a storm.
//!
//! Each instance has a part of what all may do together. It earns a fixed part of its own first
//! attempts, which needs no count of the others, and over time its share of the rest, which follows
//! that count. A start hands out nothing, since nobody knows what was spent before it; only the first
//! start of an instance does.

use crate::common::*;
use crate::world::deployment::Allowance;

/// Part of the ratio that is used; a retry may arrive in a window with fewer first attempts.
const USABLE_RATIO_SHARE: f64 = 0.5;
/// Part of the retries on top that all instances together earn within a window.
const EARNED_SHARE: f64 = 0.25;
/// Part of the retries on top that all instances together may save up.
const SAVED_SHARE: f64 = 0.25;

/// Retries of an instance that never ran before, as far as it may save them: enough for its first
/// requests.
const FIRST_START_RETRIES: f64 = 2.0;

/// What one instance may retry.
#[derive(Debug, Clone, Serialize)]
pub struct Budget {
    allowance: Allowance,
    left: f64,
    earned_at: Duration,
}

impl Budget {
    /// An empty budget.
    #[must_use]
    pub const fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            allowance,
            left: 0.0,
            earned_at: now,
        }
    }

    /// Retries that are left.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.left
    }

    /// Notes that there was no earlier start, and so nothing was spent before this one.
    pub fn on_first_start(&mut self) {
        self.left += FIRST_START_RETRIES;
    }

    /// Notes a first attempt; `sharers` is the number of instances that share the allowance, if
    /// known.
    pub fn on_first_attempt(&mut self, now: Duration, sharers: Option<u32>) {
        self.earn(now, sharers, self.allowance.ratio * USABLE_RATIO_SHARE);
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self, now: Duration, sharers: Option<u32>) -> bool {
        self.earn(now, sharers, 0.0);
        let is_allowed = self.left >= 1.0;
        if is_allowed {
            self.left -= 1.0;
        }
        is_allowed
    }

    /// Adds `gain` and what was earned over time, up to what may be saved. One may always be saved:
    /// an instance could make no retry at all otherwise.
    fn earn(&mut self, now: Duration, sharers: Option<u32>, gain: f64) {
        let Allowance { extra, window, .. } = self.allowance;
        let share = sharers.map_or(0.0, |sharers| extra / f64::from(sharers.max(1)));
        let elapsed = now.saturating_sub(self.earned_at);
        let windows = elapsed.as_secs_f64() / window.as_secs_f64().max(f64::EPSILON);
        self.earned_at = now;
        let left = self.left + gain + share * EARNED_SHARE * windows;
        self.left = left.min((share * SAVED_SHARE).max(1.0));
    }
}

/// Time to wait before asking again: `base` doubled for each try up to `most`, spread by `jitter` in
/// 0..=1; the whole time where that is 1.
#[must_use]
pub fn backoff(base: Duration, tries: u32, longest: Duration, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1 << tries.min(16));
    doubled.min(longest).mul_f64(0.5 + jitter / 2.0)
}

/// A wait spread over `wait` to one and a half times `wait`, so that callers don't return
/// together.
#[must_use]
pub fn spread(wait: Duration, jitter: f64) -> Duration {
    wait.mul_f64(1.0 + jitter / 2.0)
}
