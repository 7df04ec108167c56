//! Forecast of the demand of callers for each model and adapter, over all instances.
//!
//! Each instance reports the tokens that its callers requested since it started. A fast and a slow
//! moving average follow the rate. While the fast one is above the slow one, demand is rising, and
//! the forecast extrapolates the rise, because a model whose load begins now can serve requests only
//! seconds later. When the rate falls, the forecast follows the slow average, so that a short lull
//! does not cause a copy of a model to be dropped.

use super::tally::{Source, Tally};
use crate::common::*;
use crate::world::id;
use crate::world::message::Target;
use crate::world::unit::{Incarnation, float};

/// Shortest time over which the rate of requested tokens is computed.
const AVERAGING_STEP: Duration = Duration::from_millis(500);
/// Weights of the newest step in the fast and in the slow average.
const FAST_WEIGHT: f64 = 0.25;
const SLOW_WEIGHT: f64 = 0.08;
/// Time from the decision to load a model until it is ordered.
const LOAD_ORDER_DELAY: Duration = Duration::from_millis(300);
/// Time after its last request for which a model counts as in demand.
const RECENT_DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// Expected rate below which a target without recent requests is no longer tracked.
const MIN_TOKENS_PER_SECOND: f64 = 5.0;

/// Averages of the tokens per second that callers request.
#[derive(Debug, Clone, Default)]
struct Trend {
    /// Tokens requested since the last step.
    newest: f64,
    fast_average: f64,
    slow_average: f64,
    requested_at: Option<Duration>,
}

impl Trend {
    /// Returns the rate expected after `horizon` if a rise continues.
    fn expected_rate(&self, horizon: Duration) -> f64 {
        let rise = (self.fast_average - self.slow_average).max(0.0);
        let lag_difference = lag(SLOW_WEIGHT) - lag(FAST_WEIGHT);
        self.fast_average.max(self.slow_average)
            + rise * (lag(FAST_WEIGHT) + horizon.as_secs_f64()) / lag_difference
    }
}

/// Returns the seconds by which an average with this weight lags behind a steady rise.
fn lag(weight: f64) -> f64 {
    AVERAGING_STEP.as_secs_f64() * (1.0 / weight - 0.5)
}

/// Forecast of the demand for each target.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    totals: Tally,
    trends: BTreeMap<Target, Trend>,
    last_step_at: Duration,
}

impl Forecast {
    /// Applies the total number of tokens that callers requested since the source started.
    pub fn on_total(
        &mut self,
        now: Duration,
        source: &Source,
        incarnation: Incarnation,
        target: Target,
        total: u64,
    ) {
        let added = self.totals.on_total(source, incarnation, &target, total);
        if added > 0 {
            self.on_request(now, target, added);
        }
    }

    /// Records requested tokens.
    pub fn on_request(&mut self, now: Duration, target: Target, tokens: u64) {
        let trend = self.trends.entry(target).or_default();
        trend.newest += float(tokens);
        trend.requested_at = Some(now);
    }

    /// Updates the averages; must be called regularly.
    pub fn tick(&mut self, now: Duration) {
        let span = now.saturating_sub(self.last_step_at);
        if span < AVERAGING_STEP {
            return;
        }
        self.last_step_at = now;
        let steps = span.as_secs_f64() / AVERAGING_STEP.as_secs_f64();
        for trend in self.trends.values_mut() {
            let newest = std::mem::take(&mut trend.newest) / span.as_secs_f64();
            for (average, weight) in [
                (&mut trend.fast_average, FAST_WEIGHT),
                (&mut trend.slow_average, SLOW_WEIGHT),
            ] {
                let weight = 1.0 - (1.0 - weight).powf(steps);
                *average += weight * (newest - *average);
            }
        }
        self.trends.retain(|_, trend| {
            trend.expected_rate(Duration::ZERO) >= MIN_TOKENS_PER_SECOND || is_recent(now, trend)
        });
    }

    /// Returns the tokens per second expected of a model and its adapters once a load that takes
    /// `load_time` is done.
    #[must_use]
    pub fn model_rate(&self, model: &id::Model, load_time: Duration) -> f64 {
        let sum = self
            .trends_for_model(model)
            .fold(Trend::default(), |sum, trend| Trend {
                fast_average: sum.fast_average + trend.fast_average,
                slow_average: sum.slow_average + trend.slow_average,
                ..sum
            });
        sum.expected_rate(LOAD_ORDER_DELAY + load_time)
    }

    /// Returns whether callers recently requested a model.
    #[must_use]
    pub fn has_recent_demand(&self, now: Duration, model: &id::Model) -> bool {
        self.trends_for_model(model)
            .any(|trend| is_recent(now, trend))
    }

    /// Returns the trends of a model and its adapters, which are adjacent in the map.
    fn trends_for_model(&self, model: &id::Model) -> impl Iterator<Item = &Trend> {
        let first = Target {
            model: model.clone(),
            adapter: None,
        };
        let trends = self.trends.range(first..);
        let trends = trends.take_while(move |(target, _)| target.model == *model);
        trends.map(|(_, trend)| trend)
    }

    /// Returns the tokens per second expected of one target.
    #[must_use]
    pub fn target_rate(&self, target: &Target) -> f64 {
        let trend = self.trends.get(target);
        trend.map_or(0.0, |trend| trend.expected_rate(Duration::ZERO))
    }
}

fn is_recent(now: Duration, trend: &Trend) -> bool {
    trend
        .requested_at
        .is_some_and(|at| now < at + RECENT_DEMAND_WINDOW)
}
