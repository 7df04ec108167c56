//! Retry budget that instances share, so that retries cannot amplify an outage.
//!
//! Each instance has a share of the retries that all instances may make together. It earns retries
//! in two ways: a fixed fraction of a retry for each of its own first attempts, whatever the number
//! of instances, and over time its share of the extra retries, which are divided by that number. A
//! restarted instance begins with an empty budget, because the retries spent before are unknown;
//! only the very first start of an instance gets an initial budget.

use crate::common::*;
use crate::world::deployment::Allowance;

/// Share of the allowed ratio of retries to first attempts that is used. It is below 1 because a
/// retry may fall into a later window with fewer first attempts.
const USABLE_RATIO_SHARE: f64 = 0.5;
/// Share of the extra retries that all instances together earn within a window.
const EARNED_SHARE: f64 = 0.25;
/// Share of the extra retries that all instances together may save up.
const SAVED_SHARE: f64 = 0.25;

/// Initial retries of an instance that never ran before, enough for its first requests. The bound of
/// saved retries applies to them too.
const FIRST_START_RETRIES: f64 = 2.0;

/// Retry budget of one instance.
#[derive(Debug, Clone, Serialize)]
pub struct Budget {
    allowance: Allowance,
    left: f64,
    earned_at: Duration,
}

impl Budget {
    /// Returns an empty budget.
    #[must_use]
    pub const fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            allowance,
            left: 0.0,
            earned_at: now,
        }
    }

    /// Returns the remaining retries.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.left
    }

    /// Grants the initial retries: there was no earlier start that could have spent any.
    pub fn on_first_start(&mut self) {
        self.left += FIRST_START_RETRIES;
    }

    /// Records a first attempt; `sharers` is the number of instances that share the allowance, if
    /// known.
    pub fn on_first_attempt(&mut self, now: Duration, sharers: Option<u32>) {
        self.earn(now, sharers, self.allowance.ratio * USABLE_RATIO_SHARE);
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn take(&mut self, now: Duration, sharers: Option<u32>) -> bool {
        self.earn(now, sharers, 0.0);
        let is_allowed = self.left >= 1.0;
        if is_allowed {
            self.left -= 1.0;
        }
        is_allowed
    }

    /// Adds `gain` and the retries earned over time, up to the number that may be saved. One retry
    /// may always be saved, because an instance could never make any otherwise.
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

/// Returns the exponential back-off: `base` doubled for each of the `tries`, up to `longest`. A
/// `jitter` in `0..=1` scales it to between half of this value and all of it.
#[must_use]
pub fn backoff(base: Duration, tries: u32, longest: Duration, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1 << tries.min(16));
    doubled.min(longest).mul_f64(0.5 + jitter / 2.0)
}

/// Lengthens `wait` by up to half, depending on `jitter` in `0..=1`, so that callers do not all
/// return at once.
#[must_use]
pub fn add_jitter(wait: Duration, jitter: f64) -> Duration {
    wait.mul_f64(1.0 + jitter / 2.0)
}
