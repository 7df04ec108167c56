//! Open-loop arrivals from a seed.

use super::shape::Shape;
use poplarseam::world::contract::Class;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::str::FromStr;
use std::time::Duration;

/// Length of an experiment.
pub const LENGTH: Duration = Duration::from_mins(3);
/// Arrivals before this don't count.
pub const WARM_UP: Duration = Duration::from_secs(30);
/// Mean tokens of an answer.
pub const MEAN_OUTPUT: f64 = 24.0;
/// Time of one token.
pub const TOKEN: Duration = Duration::from_millis(20);
/// Time to prefill one token that is not cached.
pub const PREFILL: Duration = Duration::from_micros(100);
const PROMPT: u64 = 200;
const LONG_PROMPT: u64 = 4000;
const TEAMS: usize = 4;
const PREFIXES_PER_MODEL: u64 = 12;
/// Part of requests that are premium.
const PREMIUM: f64 = 0.3;
const SHIFT_EVERY: f64 = 30.0;

/// How demand behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Steady,
    /// One model's demand rises tenfold for a third of the time.
    Burst,
    /// Demand moves between models every half minute.
    Shift,
    /// One team sends ten times its demand.
    Flood,
    /// Long prompts that share prefixes.
    Prefixes,
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "steady" => Ok(Self::Steady),
            "burst" => Ok(Self::Burst),
            "shift" => Ok(Self::Shift),
            "flood" => Ok(Self::Flood),
            "prefixes" => Ok(Self::Prefixes),
            _ => Err("use steady, burst, shift, flood or prefixes".into()),
        }
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    pub at: Duration,
    pub entry: usize,
    pub team: usize,
    pub class: Class,
    pub model: usize,
    pub prefix: u64,
    pub prompt: u64,
    pub output: u64,
}

/// Draws all requests of an experiment. `load` is their work against what all workers can do.
#[must_use]
pub fn draw(shape: &Shape, scenario: Scenario, load: f64, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = capacity(shape, prompt(scenario));
    let mut popularity = Popularity::new(shape, &mut rng);
    let mut requests = Vec::new();
    let mut now = 0.0;
    let mut shifted = 0.0;
    while now < LENGTH.as_secs_f64() {
        if scenario == Scenario::Shift && now - shifted > SHIFT_EVERY {
            shifted = now;
            popularity.shift(&mut rng);
        }
        let bursting = scenario == Scenario::Burst && in_middle_third(now);
        let flooding = scenario == Scenario::Flood && in_middle_third(now);
        let factor = popularity.factor(bursting) * if flooding { 3.25 } else { 1.0 };
        let rate = capacity * load * factor;
        now += -(1.0 - rng.random::<f64>()).ln() / rate;
        let team = if flooding && rng.random::<f64>() < 10.0 / 13.0 {
            0
        } else {
            rng.random_range(0..TEAMS)
        };
        let model = popularity.draw(&mut rng, bursting);
        requests.push(request(&mut rng, shape, scenario, now, team, model));
    }
    requests
}

fn in_middle_third(now: f64) -> bool {
    let third = LENGTH.as_secs_f64() / 3.0;
    (third..2.0 * third).contains(&now)
}

const fn prompt(scenario: Scenario) -> u64 {
    if matches!(scenario, Scenario::Prefixes) {
        LONG_PROMPT
    } else {
        PROMPT
    }
}

/// Requests per second that all workers can answer, with nothing cached.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn capacity(shape: &Shape, prompt: u64) -> f64 {
    let service = TOKEN.as_secs_f64() * MEAN_OUTPUT + PREFILL.as_secs_f64() * prompt as f64;
    shape.workers as f64 * f64::from(shape.batch) / service
}

fn request(
    rng: &mut StdRng,
    shape: &Shape,
    scenario: Scenario,
    now: f64,
    team: usize,
    model: usize,
) -> Request {
    let output = (-(1.0 - rng.random::<f64>()).ln() * MEAN_OUTPUT).ceil();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let output = (output as u64).clamp(1, 400);
    let premium = rng.random::<f64>() < PREMIUM;
    Request {
        at: Duration::from_secs_f64(now),
        entry: rng.random_range(0..shape.entries),
        team,
        class: if premium {
            Class::Premium
        } else {
            Class::Routine
        },
        model,
        prefix: model as u64 * 1000 + rng.random_range(0..PREFIXES_PER_MODEL),
        prompt: prompt(scenario),
        output,
    }
}

/// How much each model is asked for; the parts sum to one.
struct Popularity {
    parts: Vec<f64>,
    burst: usize,
}

impl Popularity {
    #[allow(clippy::cast_precision_loss)]
    fn new(shape: &Shape, rng: &mut StdRng) -> Self {
        let weights: Vec<f64> = (1..=shape.models).map(|rank| 1.0 / rank as f64).collect();
        let sum: f64 = weights.iter().sum();
        let mut parts: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        parts.shuffle(rng);
        let burst = rng.random_range(0..shape.models);
        Self { parts, burst }
    }

    fn shift(&mut self, rng: &mut StdRng) {
        self.parts.shuffle(rng);
    }

    /// Demand in a burst against usual demand.
    fn factor(&self, bursting: bool) -> f64 {
        if bursting {
            1.0 + 9.0 * self.parts[self.burst].min(0.05)
        } else {
            1.0
        }
    }

    fn draw(&self, rng: &mut StdRng, bursting: bool) -> usize {
        let extra = self.factor(bursting) - 1.0;
        if rng.random::<f64>() * (1.0 + extra) < extra {
            return self.burst;
        }
        let mut left = rng.random::<f64>();
        for (model, part) in self.parts.iter().enumerate() {
            left -= part;
            if left <= 0.0 {
                return model;
            }
        }
        self.parts.len() - 1
    }
}
