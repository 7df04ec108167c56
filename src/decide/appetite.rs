//! How much work callers ask for, for each model and adapter, over all instances.
//!
//! Each instance tells the tokens that its callers asked for since it started. Two averages follow
//! the rate, a fast one and a slow one. While the fast one is above, demand rises, and what is
//! expected goes on with the rise: a load that begins now serves only seconds later. A rate falls
//! with the slow one, so that a short lull drops no copy.

use super::tally::{Source, Tally};
use crate::common::*;
use crate::world::id;
use crate::world::message::Target;
use crate::world::unit::{Incarnation, float};

/// Span over which asked tokens become a rate.
const STEP: Duration = Duration::from_millis(500);
/// Weight of the newest span in the fast average and in the slow one.
const FAST: f64 = 0.25;
const SLOW: f64 = 0.08;
/// From the decision for a load to its order.
const UNTIL_ORDER: Duration = Duration::from_millis(300);
/// A model counts as asked for this long after the last request.
const ASKED: Duration = Duration::from_secs(10);
/// Rates below this many tokens a second count as none.
const LEAST: f64 = 5.0;

#[derive(Debug, Clone, Default)]
struct Rate {
    fresh: f64,
    fast: f64,
    slow: f64,
    asked_at: Option<Duration>,
}

impl Rate {
    /// The rate that is expected after some time, if a rise goes on.
    fn expected(&self, ahead: Duration) -> f64 {
        let rise = (self.fast - self.slow).max(0.0);
        let apart = lag(SLOW) - lag(FAST);
        self.fast.max(self.slow) + rise * (lag(FAST) + ahead.as_secs_f64()) / apart
    }
}

/// Seconds by which an average with this weight lags behind a steady rise.
fn lag(weight: f64) -> f64 {
    STEP.as_secs_f64() * (1.0 / weight - 0.5)
}

/// Demand for each target.
#[derive(Debug, Clone, Default)]
pub struct Appetite {
    told: Tally,
    rates: BTreeMap<Target, Rate>,
    stepped_at: Duration,
}

impl Appetite {
    /// Takes the tokens that callers asked for since the source started.
    pub fn on_told(
        &mut self,
        now: Duration,
        source: &Source,
        incarnation: Incarnation,
        target: Target,
        total: u64,
    ) {
        let added = self.told.on_total(source, incarnation, &target, total);
        if added > 0 {
            self.on_asked(now, target, added);
        }
    }

    /// Notes that tokens were asked for.
    pub fn on_asked(&mut self, now: Duration, target: Target, tokens: u64) {
        let rate = self.rates.entry(target).or_default();
        rate.fresh += float(tokens);
        rate.asked_at = Some(now);
    }

    /// Moves the rates on; to be called regularly.
    pub fn tick(&mut self, now: Duration) {
        let span = now.saturating_sub(self.stepped_at);
        if span < STEP {
            return;
        }
        self.stepped_at = now;
        let steps = span.as_secs_f64() / STEP.as_secs_f64();
        for rate in self.rates.values_mut() {
            let fresh = std::mem::take(&mut rate.fresh) / span.as_secs_f64();
            for (average, weight) in [(&mut rate.fast, FAST), (&mut rate.slow, SLOW)] {
                let weight = 1.0 - (1.0 - weight).powf(steps);
                *average += weight * (fresh - *average);
            }
        }
        self.rates
            .retain(|_, rate| rate.expected(Duration::ZERO) >= LEAST || is_recent(now, rate));
    }

    /// Tokens a second expected of a model, its adapters included, once a load that takes this long
    /// has ended.
    #[must_use]
    pub fn of_model(&self, model: &id::Model, load: Duration) -> f64 {
        let sum = self
            .rates_of(model)
            .fold(Rate::default(), |sum, rate| Rate {
                fast: sum.fast + rate.fast,
                slow: sum.slow + rate.slow,
                ..sum
            });
        sum.expected(UNTIL_ORDER + load)
    }

    /// Whether anybody asked for a model lately.
    #[must_use]
    pub fn is_asked(&self, now: Duration, model: &id::Model) -> bool {
        self.rates_of(model).any(|rate| is_recent(now, rate))
    }

    /// Rates of a model and its adapters, which stand next to each other.
    fn rates_of(&self, model: &id::Model) -> impl Iterator<Item = &Rate> {
        let first = Target {
            model: model.clone(),
            adapter: None,
        };
        let rates = self.rates.range(first..);
        let rates = rates.take_while(move |(target, _)| target.model == *model);
        rates.map(|(_, rate)| rate)
    }

    /// Tokens a second expected of one target.
    #[must_use]
    pub fn of(&self, target: &Target) -> f64 {
        let rate = self.rates.get(target);
        rate.map_or(0.0, |rate| rate.expected(Duration::ZERO))
    }
}

fn is_recent(now: Duration, rate: &Rate) -> bool {
    rate.asked_at.is_some_and(|at| now < at + ASKED)
}
