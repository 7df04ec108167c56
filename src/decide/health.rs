//! Whether the store answers this instance, as the outcomes of its calls show.
//!
//! Calls that were made while the store was silent fail only after it has answered later ones. Such a
//! failure says nothing about the store any more.

use crate::common::*;

/// What the calls of one instance show of the store.
#[derive(Debug)]
pub struct Health {
    is_up: bool,
    /// When the newest call began that was answered.
    answered: Option<Duration>,
    /// When the newest failure was seen that showed something.
    failed_at: Option<Duration>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            is_up: true,
            answered: None,
            failed_at: None,
        }
    }
}

impl Health {
    /// Whether the store answers.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Whether a call has failed at `time` or later that showed that the store did not answer.
    #[must_use]
    pub fn has_failed_since(&self, time: Duration) -> bool {
        self.failed_at.is_some_and(|at| at >= time)
    }

    /// Records the answer to a call that began at this time.
    pub fn on_answered(&mut self, began_at: Duration) {
        self.answered = self.answered.max(Some(began_at));
        self.is_up = true;
    }

    /// Records that a call that began at `began_at` has failed or waits for long.
    pub fn on_failed(&mut self, now: Duration, began_at: Duration) {
        if self.answered.is_none_or(|answered| began_at >= answered) {
            self.is_up = false;
            self.failed_at = Some(now);
        }
    }
}
