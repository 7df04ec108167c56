//! Demand of callers, smoothed so that it rises fast and falls slowly.

use crate::common::*;
use crate::world::artifact::Artifact;
use crate::world::contract::Weighing;

/// Time constant of the moving average while demand rises.
const RISE_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Moving average of the demand for each artifact.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    rates: BTreeMap<Artifact, f64>,
    updated_at: Duration,
}

impl Demand {
    /// Updates the averages with the requests per second measured since the last call.
    pub fn on_rates(
        &mut self,
        now: Duration,
        weighing: Weighing,
        measured: &BTreeMap<Artifact, f64>,
    ) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        for (artifact, rate) in measured {
            self.rates.entry(artifact.clone()).or_insert(*rate);
        }
        for (artifact, mean) in &mut self.rates {
            let rate = measured.get(artifact).copied().unwrap_or(0.0);
            let time_constant = if rate > *mean {
                RISE_TIME_CONSTANT
            } else {
                fall_time_constant(weighing)
            };
            let weight = 1.0 - (-elapsed / time_constant.as_secs_f64()).exp();
            *mean += weight * (rate - *mean);
        }
        self.rates.retain(|_, rate| *rate > 1e-6);
    }

    /// Returns the requests per second for an artifact.
    #[must_use]
    pub fn rate(&self, artifact: &Artifact) -> f64 {
        self.rates.get(artifact).copied().unwrap_or(0.0)
    }
}

/// Time constant of the moving average while demand falls. It is shorter if attainment matters more
/// than avoiding moves, so that unused copies are removed sooner.
const fn fall_time_constant(weighing: Weighing) -> Duration {
    match weighing {
        Weighing::Attainment => Duration::from_secs(20),
        Weighing::Moves => Duration::from_mins(1),
    }
}
