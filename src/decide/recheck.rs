//! When an instance that the store did not answer, and that need not read it, calls it again.
//!
//! Readers call it by themselves. The others would go on telling that it does not answer them, so that
//! nobody relied on them once the readers fail.

use crate::common::*;

/// Time before the first of these calls; it doubles with each further one, up to the maximum. The spread
/// of an instance adds up to as much again.
const FIRST_DELAY: Duration = Duration::from_secs(1);
const MAX_DELAY: Duration = Duration::from_secs(8);

/// The next call of one instance.
#[derive(Debug, Default)]
pub struct Recheck {
    /// When it is due, and the delay after it.
    next: Option<(Duration, Duration)>,
}

impl Recheck {
    /// Whether to call now. `is_refused` says whether the last call was not answered and no other is
    /// made.
    pub fn is_due(&mut self, now: Duration, is_refused: bool, spread: f64) -> bool {
        if !is_refused {
            self.next = None;
            return false;
        }
        let Some((at, delay)) = self.next else {
            self.next = Some((now + FIRST_DELAY.mul_f64(1.0 + spread), FIRST_DELAY * 2));
            return false;
        };
        if now < at {
            return false;
        }
        let following = (delay * 2).min(MAX_DELAY);
        self.next = Some((now + delay.mul_f64(1.0 + spread), following));
        true
    }
}
