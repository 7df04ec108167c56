//! Limits the start of model loads to the rate and concurrency that the weight store allows.

use crate::common::*;
use crate::world::contract::Placement;

/// Token bucket for model loads, limited by the weight store's rate and concurrent slots.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    tokens: f64,
    refilled_at: Duration,
}

impl Throttle {
    /// Returns the number of loads that may start now.
    pub fn available(&mut self, now: Duration, policy: &Placement, loading: usize) -> usize {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let burst = policy.loads_per_second.0.max(1.0);
        self.tokens = (self.tokens + elapsed * policy.loads_per_second.0).min(burst);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole_tokens = self.tokens.floor() as usize;
        whole_tokens.min(policy.load_slots.saturating_sub(loading))
    }

    /// Records the start of a load.
    pub fn on_load(&mut self) {
        self.tokens -= 1.0;
    }
}
