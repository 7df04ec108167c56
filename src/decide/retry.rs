//! A budget for retries that instances share, so that retries can't become a storm.
//!
//! Each instance has a part of what all may do together: a fixed part of its own first attempts,
//! which needs no count of the others, and a share of the rest, which follows that count.

use crate::common::*;
use crate::world::deployment::Allowance;

/// Part of the ratio that is used; a retry may arrive in a window with fewer first attempts.
const RATIO_PART: f64 = 0.5;
/// Part of the retries on top that all instances may save up together.
const SAVED_PART: f64 = 0.5;

/// What one instance may retry.
#[derive(Debug, Clone, Serialize)]
pub struct Budget {
    allowance: Allowance,
    left: f64,
}

impl Budget {
    /// A full budget; `sharers` is the number of instances that share the allowance, if known.
    #[must_use]
    pub fn new(allowance: Allowance, sharers: Option<u32>) -> Self {
        let mut budget = Self {
            allowance,
            left: f64::INFINITY,
        };
        budget.bound(sharers);
        budget
    }

    /// Retries that are left.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.left
    }

    /// Notes a first attempt.
    pub fn on_first(&mut self, sharers: Option<u32>) {
        self.left += self.allowance.ratio * RATIO_PART;
        self.bound(sharers);
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self, sharers: Option<u32>) -> bool {
        self.bound(sharers);
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }

    /// Holds what is saved up to the share of this instance. One may always be saved: an instance
    /// could make no retry at all otherwise.
    fn bound(&mut self, sharers: Option<u32>) {
        let saved = self.allowance.extra * SAVED_PART;
        let share = sharers.map_or(0.0, |sharers| saved / f64::from(sharers.max(1)));
        self.left = self.left.min(share.max(1.0));
    }
}

/// Time to wait before asking again: `base` doubled for each try up to `most`, spread by `jitter` in
/// 0..=1; the whole time where that is 1.
#[must_use]
pub fn backoff(base: Duration, tries: u32, most: Duration, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1 << tries.min(16));
    doubled.min(most).mul_f64(0.5 + jitter / 2.0)
}

/// A wait spread over `wait` to one and a half times `wait`, so that callers don't return
/// together.
#[must_use]
pub fn spread(wait: Duration, jitter: f64) -> Duration {
    wait.mul_f64(1.0 + jitter / 2.0)
}
