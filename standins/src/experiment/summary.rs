//! What an experiment showed.

use super::arrivals::{LENGTH, Request, WARM_UP};
use hdrhistogram::Histogram;
use poplarseam::world::contract::Class;
use serde::Serialize;
use std::time::Duration;

/// Longest time to the first token that counts as in time.
pub const TARGET: Duration = Duration::from_millis(880);

/// What became of one request.
#[derive(Debug, Clone, Default)]
pub struct Life {
    pub attempts: u32,
    pub first_token: Option<Duration>,
    pub done: Option<Duration>,
    pub refused: bool,
}

/// End of the faults that have one.
const FAULT_END: usize = 90;
/// Part of requests in time at which load counts as normal again.
const NORMAL: f64 = 0.9;
/// Seconds for which it must stay so.
const STEADY: usize = 5;

/// Figures of one experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    pub requests: u64,
    /// Answered whole, the first token in time: part of all requests.
    pub attainment: f64,
    /// Answered in time each second by each worker.
    pub attainment_per_accelerator: f64,
    pub late: u64,
    pub refused: u64,
    pub lost: u64,
    pub moves: u64,
    pub prefix_hits: u64,
    pub first_token_ms: [f64; 3],
    /// Attainment of premium requests and of routine ones.
    pub by_class: [f64; 2],
    /// Attainment of each team.
    pub by_team: Vec<f64>,
    /// Attainment in each second of arrival.
    #[serde(skip)]
    pub by_second: Vec<f64>,
    /// Seconds after second 90 until requests are answered in time again for good.
    pub normal_after_s: usize,
}

#[derive(Default, Clone, Copy)]
struct Count {
    all: u32,
    in_time: u32,
}

impl Count {
    fn add(&mut self, in_time: bool) {
        self.all += 1;
        self.in_time += u32::from(in_time);
    }

    fn part(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all.max(1))
    }
}

impl Summary {
    /// Sums up all requests after the warm-up.
    #[must_use]
    pub fn new(
        requests: &[Request],
        lives: &[Life],
        workers: usize,
        moves: u64,
        prefix_hits: u64,
    ) -> Self {
        let mut histogram = Histogram::<u64>::new_with_max(600_000, 3).expect("right bounds");
        let mut all = Count::default();
        let mut classes = [Count::default(); 2];
        let mut teams = vec![Count::default(); 4];
        let seconds = usize::try_from(LENGTH.as_secs()).unwrap_or(0) + 2;
        let mut by_second = vec![Count::default(); seconds];
        let (mut late, mut refused, mut lost) = (0, 0, 0);
        for (request, life) in requests.iter().zip(lives) {
            let took = life
                .first_token
                .map(|first| first.saturating_sub(request.at));
            let whole = life.done.is_some();
            let in_time = whole && took.is_some_and(|took| took <= TARGET);
            let second = usize::try_from(request.at.as_secs()).unwrap_or(0);
            by_second[second.min(seconds - 1)].add(in_time);
            if request.at < WARM_UP {
                continue;
            }
            all.add(in_time);
            classes[usize::from(request.class != Class::Premium)].add(in_time);
            teams[request.team].add(in_time);
            late += u64::from(whole && !in_time);
            refused += u64::from(life.refused);
            lost += u64::from(!whole && !life.refused);
            if let Some(took) = took.filter(|_| whole) {
                let took = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
                histogram.saturating_record(took);
            }
        }
        let time = LENGTH.checked_sub(WARM_UP).unwrap().as_secs_f64();
        #[allow(clippy::cast_precision_loss)]
        let (quantile, workers) = (|at| histogram.value_at_quantile(at) as f64, workers as f64);
        Self {
            requests: u64::from(all.all),
            attainment: all.part(),
            attainment_per_accelerator: f64::from(all.in_time) / time / workers,
            late,
            refused,
            lost,
            moves,
            prefix_hits,
            first_token_ms: [quantile(0.5), quantile(0.95), quantile(0.99)],
            by_class: classes.map(Count::part),
            by_team: teams.into_iter().map(Count::part).collect(),
            normal_after_s: normal_after(&by_second),
            by_second: by_second.into_iter().map(Count::part).collect(),
        }
    }
}

fn normal_after(by_second: &[Count]) -> usize {
    let after = by_second.get(FAULT_END..).unwrap_or_default();
    let mut windows = after.windows(STEADY);
    let normal = |window: &[Count]| window.iter().all(|count| count.part() >= NORMAL);
    windows.position(normal).unwrap_or(after.len())
}
