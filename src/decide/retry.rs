//! A budget for retries: a fixed part of first attempts, so that retries can't become a storm.

use crate::common::*;

/// Retries allowed for each first attempt.
const RATIO: f64 = 0.1;
/// Retries that may be saved up.
const MOST: f64 = 20.0;

/// Retries that are left.
#[derive(Debug, Clone, Serialize)]
pub struct Budget {
    ratio: f64,
    most: f64,
    left: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(RATIO, MOST)
    }
}

impl Budget {
    /// A full budget that grows by `ratio` with each first attempt, up to `most`.
    #[must_use]
    pub fn new(ratio: f64, most: f64) -> Self {
        Self {
            ratio,
            most,
            left: most,
        }
    }

    /// Notes a first attempt.
    pub fn on_first(&mut self) {
        self.left = (self.left + self.ratio).min(self.most);
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self) -> bool {
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
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
