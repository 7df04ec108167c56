//! How much work callers ask for, for each model and adapter, over all instances.
//!
//! Each instance tells the tokens that its callers asked for since it started. Rates rise within
//! seconds and fall more slowly, so that a short lull drops no copy.

use super::tally::{Source, Tally};
use crate::common::*;
use crate::world::id;
use crate::world::message::Target;
use crate::world::unit::{Incarnation, float};

/// Span over which asked tokens become a rate.
const STEP: Duration = Duration::from_millis(500);
/// Weight of the newest span while demand rises, and while it falls.
const RISE: f64 = 0.35;
const FALL: f64 = 0.12;
/// A model counts as asked for this long after the last request.
const ASKED: Duration = Duration::from_secs(10);
/// Rates below this many tokens a second count as none.
const LEAST: f64 = 5.0;

#[derive(Debug, Clone, Default)]
struct Rate {
    fresh: f64,
    per_second: f64,
    asked_at: Option<Duration>,
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
        let added = self.told.on_told(source, incarnation, &target, total);
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
            let weight = if fresh > rate.per_second { RISE } else { FALL };
            let weight = 1.0 - (1.0 - weight).powf(steps);
            rate.per_second += weight * (fresh - rate.per_second);
        }
        self.rates
            .retain(|_, rate| rate.per_second >= LEAST || is_recent(now, rate));
    }

    /// Tokens a second asked of a model, its adapters included.
    #[must_use]
    pub fn of_model(&self, model: &id::Model) -> f64 {
        let rates = self.rates.iter();
        let rates = rates.filter(|(target, _)| target.model == *model);
        rates.map(|(_, rate)| rate.per_second).sum()
    }

    /// Whether anybody asked for a model lately.
    #[must_use]
    pub fn is_asked(&self, now: Duration, model: &id::Model) -> bool {
        let mut rates = self.rates.iter();
        rates.any(|(target, rate)| target.model == *model && is_recent(now, rate))
    }

    /// Tokens a second asked of one target.
    #[must_use]
    pub fn of(&self, target: &Target) -> f64 {
        self.rates.get(target).map_or(0.0, |rate| rate.per_second)
    }
}

fn is_recent(now: Duration, rate: &Rate) -> bool {
    rate.asked_at.is_some_and(|at| now < at + ASKED)
}
