//! Speeds at which engines read prompts, learned for each model from the engines' answers.
//!
//! Until answers arrive, the speed of a model is assumed to be inversely proportional to its size,
//! with the largest model at the initial speed.

use crate::common::*;
use crate::world::id;
use crate::world::site::Engine;
use crate::world::time;
use crate::world::unit::{Tokens, float};

/// Assumed speed of the largest model, before any answer.
const INITIAL_TOKENS_PER_SECOND: f64 = 20_000.0;
/// Weight of one answer in the learned speed of a model.
const ANSWER_WEIGHT: f64 = 0.04;
/// Bounds of a learned speed.
const MIN_TOKENS_PER_SECOND: f64 = 2_000.0;
const MAX_TOKENS_PER_SECOND: f64 = 200_000.0;
/// Bounds of the ratio of the measured to the expected time that one answer may contribute.
const MIN_RATIO: f64 = 0.2;
const MAX_RATIO: f64 = 5.0;

/// Prompt tokens that an engine reads per second, by model.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Speeds {
    rates: BTreeMap<id::Model, f64>,
}

impl Speeds {
    /// Adds the models of a service; the learned speeds of known models are kept.
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

    /// Adjusts the speed of a model after an answer that took `ratio` times as long as expected.
    pub fn on_answer(&mut self, model: &id::Model, ratio: f64) {
        let rate = self
            .rates
            .entry(model.clone())
            .or_insert(INITIAL_TOKENS_PER_SECOND);
        let factor = ratio.clamp(MIN_RATIO, MAX_RATIO).powf(-ANSWER_WEIGHT);
        *rate = (*rate * factor).clamp(MIN_TOKENS_PER_SECOND, MAX_TOKENS_PER_SECOND);
    }

    /// Returns the time that an engine needs to read `tokens` of a prompt.
    #[must_use]
    pub fn prefill_time(&self, model: &id::Model, tokens: Tokens) -> Duration {
        time::from_secs_f64(float(tokens.0) / self.rate(model))
    }

    /// Returns the number of engines needed to read `tokens` prompt tokens per second.
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
