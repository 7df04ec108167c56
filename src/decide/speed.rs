//! How fast engines read prompts, learned for each model from the answers they give.
//!
//! Until answers tell, a model is taken to be as much slower than the smallest as it is larger.

use crate::common::*;
use crate::world::id;
use crate::world::site::Engine;
use crate::world::unit::{Tokens, float};

/// Prompt tokens of the largest model that an engine reads in a second, before any answer.
const INITIAL_TOKENS_PER_SECOND: f64 = 20_000.0;
/// Weight of one answer in a model's speed.
const ANSWER_WEIGHT: f64 = 0.04;
/// Bounds of a learned speed, in tokens a second.
const MIN_TOKENS_PER_SECOND: f64 = 2_000.0;
const MAX_TOKENS_PER_SECOND: f64 = 200_000.0;
/// Bounds of how far one answer counts as off.
const MIN_RATIO: f64 = 0.2;
const MAX_RATIO: f64 = 5.0;

/// Tokens a second that engines read, for each model.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Speeds {
    rates: BTreeMap<id::Model, f64>,
}

impl Speeds {
    /// Takes the models of a service; what was learned of known ones stays.
    pub fn on_engine(&mut self, engine: &Engine) {
        let sizes = engine.models.values().map(|model| model.size.0);
        let largest = float(sizes.max().unwrap_or(1).max(1));
        for (id, model) in &engine.models {
            let size = float(model.size.0.max(1));
            let initial_rate =
                (INITIAL_TOKENS_PER_SECOND * largest / size).min(MAX_TOKENS_PER_SECOND);
            self.rates.entry(id.clone()).or_insert(initial_rate);
        }
    }

    /// Learns from an answer that took `ratio` times as long as expected.
    pub fn on_answer(&mut self, model: &id::Model, ratio: f64) {
        let rate = self
            .rates
            .entry(model.clone())
            .or_insert(INITIAL_TOKENS_PER_SECOND);
        let factor = ratio.clamp(MIN_RATIO, MAX_RATIO).powf(-ANSWER_WEIGHT);
        *rate = (*rate * factor).clamp(MIN_TOKENS_PER_SECOND, MAX_TOKENS_PER_SECOND);
    }

    /// Time that an engine needs to read this much.
    #[must_use]
    pub fn prefill_time(&self, model: &id::Model, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(float(tokens.0) / self.rate(model))
    }

    /// Engines that are kept busy by this many tokens a second.
    #[must_use]
    pub fn engines_needed(&self, model: &id::Model, tokens: f64) -> f64 {
        tokens / self.rate(model)
    }

    fn rate(&self, model: &id::Model) -> f64 {
        self.rates
            .get(model)
            .copied()
            .unwrap_or(INITIAL_TOKENS_PER_SECOND)
    }
}
