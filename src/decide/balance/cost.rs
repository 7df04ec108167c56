//! Expected time and cost of a request at a server.

use super::prompt::{self, kept};
use super::view::Workload;
use super::{Balancer, Need, View};
use crate::common::*;
use crate::world::message::Generation;
use crate::world::unit::float;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Round-trip times to a server in the same region and in another one, from the fact sheets of both
/// sites.
const DATA_CENTRE_ROUND_TRIP_SECONDS: f64 = 0.002;
const REGION_ROUND_TRIP_SECONDS: f64 = 0.025;
/// Time that a request must save to use the paid link between regions.
const PAID_LINK_COST_SECONDS: f64 = 0.04;
/// Time added for each running request, since an engine's step per token grows with the batch.
const BATCH_STEP_COST_SECONDS: f64 = 0.000_5;
/// Share of an engine's cache beyond which new requests are expected to wait for memory.
const CACHE_FULL_SHARE: f64 = 0.9;
/// Expected wait of a request at an engine whose cache or batch is full.
const CACHE_WAIT_SECONDS: f64 = 1.0;
/// Failure rate beyond which a server is avoided, and the cost per unit of rate beyond it.
const FAILURE_RATE_THRESHOLD: f64 = 0.3;
const FAILURE_COST_SECONDS: f64 = 1.0;
/// Time that a request must save to use a rate-limited server, whose capacity is left to requests
/// that have no other server.
const RATE_LIMIT_COST_SECONDS: f64 = 0.3;

impl Balancer {
    /// Returns the seconds of work of the request itself, which are subtracted from the work that
    /// arrives before the next gossip: if no more than this request arrives, no other one competes
    /// with it, and the least busy server is the right choice.
    pub(super) fn request_work(&self, need: &Need, costs: &[(f64, f64, &View)]) -> f64 {
        if let Some(generation) = &need.generation {
            let prefill_time = self
                .speeds
                .prefill_time(&generation.target.model, generation.prompt);
            return prefill_time.as_secs_f64();
        }
        let times = costs.iter().map(|(.., view)| view.service_time);
        times.sum::<f64>() / float(costs.len().max(1) as u64)
    }

    /// Returns the expected seconds to first byte.
    pub(super) fn expected_seconds(&self, now: Duration, need: &Need, view: &View) -> f64 {
        let running = view.running(now);
        let round_trip = self.round_trip(view);
        let Some(generation) = &need.generation else {
            let places = f64::from(view.backend.places.max(1));
            let taken = f64::from(running.requests) / places;
            let queue = (taken + 1.0 / places - 1.0).max(0.0) + taken.powi(3) * 0.5;
            let seconds = (1.0 + queue) * view.service_time;
            return round_trip + seconds * view.pace_during(now, seconds);
        };
        let own = prompt::prefill_time(&self.speeds, view, generation);
        let prefill_seconds = (Duration::from_micros(running.reading_us) + own).as_secs_f64();
        let steps = BATCH_STEP_COST_SECONDS * f64::from(running.requests);
        let memory = self.cache_wait_seconds(need, running, generation);
        let work = prefill_seconds + steps;
        round_trip + (work * view.pace_during(now, work) + memory) * view.slowness
    }

    /// Returns the expected seconds of waiting for memory or for a place in the engine's batch.
    fn cache_wait_seconds(&self, need: &Need, running: Workload, generation: &Generation) -> f64 {
        let service = self.services.get(&need.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return 0.0;
        };
        let full = float(engine.cache.0) * CACHE_FULL_SHARE;
        let used = float(running.kept + kept(generation));
        let batch_full = running.requests >= engine.batch;
        if used > full || batch_full {
            CACHE_WAIT_SECONDS * (used / full).max(1.0)
        } else {
            0.0
        }
    }

    /// Returns the cost of a server that is added to its expected seconds to first byte. A small
    /// jitter, derived from the request's random number, spreads requests over almost equally good
    /// servers.
    pub(super) fn surcharge(&self, need: &Need, view: &View) -> f64 {
        let region = |data_centre| self.regions.get(data_centre);
        let link_cost = if region(&view.backend.data_centre) == region(&self.local_data_centre) {
            0.0
        } else {
            PAID_LINK_COST_SECONDS
        };
        let failure_cost = (view.failures - FAILURE_RATE_THRESHOLD).max(0.0) * FAILURE_COST_SECONDS;
        let limit_cost = self.limit(view).map_or(0.0, |_| RATE_LIMIT_COST_SECONDS);
        let spread = xxh3_64_with_seed(view.backend.id.as_str().as_bytes(), need.draw);
        let jitter = float(spread >> 54) * 2e-6;
        link_cost + failure_cost + limit_cost + jitter
    }

    fn round_trip(&self, view: &View) -> f64 {
        let server_data_centre = &view.backend.data_centre;
        if *server_data_centre == self.local_data_centre {
            0.0
        } else if self.regions.get(server_data_centre) == self.regions.get(&self.local_data_centre)
        {
            DATA_CENTRE_ROUND_TRIP_SECONDS
        } else {
            REGION_ROUND_TRIP_SECONDS
        }
    }
}

/// Estimates the share of time for which a server is busy, from its current workload: for an
/// engine, 1 while it reads prompts and 0 otherwise; for a plain service, the share of occupied
/// places.
pub(super) fn utilization(now: Duration, need: &Need, view: &View) -> f64 {
    let running = view.running(now);
    if need.generation.is_some() {
        return f64::from(u8::from(running.reading_us > 0));
    }
    let places = f64::from(view.backend.places.max(1));
    (f64::from(running.requests) / places).min(1.0)
}
