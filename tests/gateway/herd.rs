//! Simulates a thundering herd: many instances choose workers by stale workloads. Checks how evenly
//! the requests for one model are spread over the workers.
//!
//! Each data centre has one view of the workers, as reported to all its instances; the requests of
//! a single instance are too few to add to it. Workers read prompts one after the other.

use super::build::{SERVICE, backend, deployment, generation, ms, site, worker};
use poplarseam::decide::balance::{Balancer, Choice, Need, Workload};
use poplarseam::world::id;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const DATA_CENTRES: usize = 6;
const WORKERS: usize = 36;
/// Time to read one prompt, and the request rate at which workers are reading for 60% of their
/// time.
const PREFILL_MS: f64 = 70.0;
const REQUESTS_PER_SECOND: f64 = 0.6 * 36.0 / 0.07;
/// Age of reports from the same data centre, and of those from other data centres.
const LOCAL_REPORT_AGE_MS: usize = 150;
const REMOTE_REPORT_AGE_MS: usize = 400;
const DURATION_MS: usize = 20_000;
/// Backlog beyond which streams that run at a worker are late.
const MAX_BACKLOG_MS: f64 = 400.0;
/// Share of requests that may find such a backlog at workers that are busy for 60% of their time.
const MAX_LATE_SHARE: f64 = 0.02;

/// Number of requests waiting at each worker, for each data centre that sent them.
type Waiting = Vec<Vec<u32>>;

struct Simulation {
    rng: SmallRng,
    views: Vec<Balancer>,
    /// For each worker, the data centres of the waiting requests and the remaining milliseconds of
    /// the first one.
    queues: Vec<(Vec<usize>, f64)>,
    history: Vec<Waiting>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let view = |_| {
            let mut balance = Balancer::new(&deployment("north-1"));
            balance.on_site(&site());
            for number in 0..WORKERS {
                balance.on_listed(backend(&format!("w{number:02}"), "north-1", "m1"));
            }
            balance
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            views: (0..DATA_CENTRES).map(view).collect(),
            queues: vec![(Vec::new(), 0.0); WORKERS],
            history: Vec::new(),
        }
    }

    /// Returns the share of arrivals that find a backlog at which streams are late.
    fn late_share(mut self) -> f64 {
        let (mut arrivals, mut late) = (0.0, 0.0);
        for at in 0..DURATION_MS {
            self.advance();
            self.record_queues();
            if at % 100 == 0 {
                self.deliver_reports(at);
            }
            if self.rng.random_bool(REQUESTS_PER_SECOND / 1e3) {
                let chosen = self.send(at);
                arrivals += 1.0;
                late += f64::from(u8::from(self.backlog(chosen) > MAX_BACKLOG_MS));
            }
        }
        late / arrivals
    }

    /// Returns the milliseconds until a worker has read all waiting prompts.
    fn backlog(&self, worker: usize) -> f64 {
        let (queue, remaining_ms) = &self.queues[worker];
        let behind = queue.len().saturating_sub(1);
        remaining_ms + PREFILL_MS * f64::from(u32::try_from(behind).unwrap())
    }

    /// Simulates one millisecond of all workers.
    fn advance(&mut self) {
        for (queue, remaining_ms) in &mut self.queues {
            if queue.is_empty() {
                continue;
            }
            *remaining_ms -= 1.0;
            if *remaining_ms <= 0.0 {
                queue.remove(0);
                *remaining_ms = if queue.is_empty() { 0.0 } else { PREFILL_MS };
            }
        }
    }

    fn record_queues(&mut self) {
        let waiting_from = |data_centre: usize| {
            let waiting = self.queues.iter().map(|(queue, _)| {
                let here = queue.iter().filter(|from| **from == data_centre);
                u32::try_from(here.count()).unwrap()
            });
            waiting.collect()
        };
        self.history
            .push((0..DATA_CENTRES).map(waiting_from).collect());
    }

    fn deliver_reports(&mut self, at: usize) {
        for (here, view) in self.views.iter_mut().enumerate() {
            for there in 0..DATA_CENTRES {
                let age = if here == there {
                    LOCAL_REPORT_AGE_MS
                } else {
                    REMOTE_REPORT_AGE_MS
                };
                let waiting = &self.history[at.saturating_sub(age)][there];
                let peer: id::Instance = format!("sum.{there}").parse().unwrap();
                let now = ms(at as u64);
                view.on_peer(now, &peer, &loads(waiting));
            }
        }
    }

    /// Sends a request from a random data centre; returns the number of the chosen worker.
    fn send(&mut self, at: usize) -> usize {
        let data_centre = self.rng.random_range(0..DATA_CENTRES);
        let need = Need {
            service: SERVICE.parse().unwrap(),
            generation: Some(generation("m1", 1_400)),
            draw: self.rng.random(),
        };
        let choice = self.views[data_centre].choose(ms(at as u64), &need, |_| true);
        let Choice::Send(chosen, _) = choice else {
            panic!("{choice:?}");
        };
        let chosen: usize = chosen.as_str()[1..].parse().unwrap();
        let (queue, remaining_ms) = &mut self.queues[chosen];
        if queue.is_empty() {
            *remaining_ms = PREFILL_MS;
        }
        queue.push(data_centre);
        chosen
    }
}

fn loads(waiting: &[u32]) -> BTreeMap<id::Worker, Workload> {
    let busy = waiting.iter().enumerate().filter(|(_, count)| **count > 0);
    let loads = busy.map(|(number, count)| {
        let running = Workload {
            requests: *count,
            reading_us: u64::from(*count) * 70_000,
            kept: 0,
            recent: 0,
        };
        (worker(&format!("w{number:02}")), running)
    });
    loads.collect()
}

/// Hundreds of instances all know the same least busy worker and must not all send to it.
#[test]
fn requests_of_many_instances_are_spread_over_workers() {
    for seed in 0..3 {
        let late = Simulation::new(seed).late_share();
        assert!(late < MAX_LATE_SHARE, "seed {seed}: {late}");
    }
}
