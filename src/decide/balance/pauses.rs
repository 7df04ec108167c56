//! Bound on the unread prompts at a server, beyond which its streams pause for too long.

use super::cost::FAILURE_RATE_THRESHOLD;
use super::prompt::prefill_time;
use super::view::Workload;
use super::{Balancer, Need, View};
use crate::common::*;
use crate::decide::pause::{INITIAL_STEP, Reading};
use crate::world::id;
use crate::world::site::Site;

/// A server's pace, and its unread prompts against the bound, for operators.
#[derive(Debug, Serialize)]
pub struct PauseState {
    pace: f64,
    requests: u32,
    unread_ms: u128,
    bound_ms: u128,
}

/// What the prompt of a request does to the streams of a server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PauseCost {
    /// Cost in seconds of the pauses beyond the target.
    pub cost: f64,
    /// Whether the server is below the bound and in a state to serve the request. A server that
    /// fails often or whose memory is full has few unread prompts just because of that.
    pub is_free: bool,
    /// Whether the server is above the bound and may get below it while the request waits.
    pub may_improve: bool,
}

impl View {
    /// Returns the work at the server that stops its streams, with its expected pace while it reads
    /// that and `own`.
    fn reading(&self, now: Duration, running: Workload, own: Duration) -> Reading {
        let unread = Duration::from_micros(running.reading_us);
        Reading {
            unread,
            step: self.pace.event_interval().unwrap_or(INITIAL_STEP),
            pace: self.pace.during(now, unread + own),
            requests: running.requests,
        }
    }
}

impl Balancer {
    /// Returns the pause target for the streams of servers, if they may be stopped by this request:
    /// only for generations, and if one of the servers states its pace.
    pub(super) fn pause_target(&self, need: &Need, views: &[&View]) -> Option<Duration> {
        need.generation.as_ref()?;
        let states_pace = views.iter().any(|view| view.pace.is_stated());
        let target = self.pause_targets.get(&need.service).copied();
        target.filter(|_| states_pace)
    }

    /// Returns what the prompt of a generation does to the streams of a server.
    pub(super) fn pause_cost(
        &self,
        now: Duration,
        need: &Need,
        view: &View,
        target: Duration,
    ) -> PauseCost {
        let Some(generation) = &need.generation else {
            return PauseCost::default();
        };
        let running = view.running(now);
        let own = prefill_time(&self.speeds, view, generation);
        let reading = view.reading(now, running, own);
        let excess = reading.excess(target, own);
        let memory = self.cache_wait_seconds(need, running, generation);
        let is_above = !excess.is_zero();
        PauseCost {
            cost: reading.cost(excess),
            is_free: !is_above && memory <= 0.0 && view.failures <= FAILURE_RATE_THRESHOLD,
            may_improve: is_above && reading.can_improve(),
        }
    }

    /// Returns the state of all servers that state a pace and have a pause target.
    #[must_use]
    pub fn pause_states(&self, now: Duration) -> BTreeMap<&id::Worker, PauseState> {
        let views = self.views.iter().filter(|(_, view)| view.pace.is_stated());
        let states = views.filter_map(|(worker, view)| {
            let target = *self.pause_targets.get(&view.backend.service)?;
            let reading = view.reading(now, view.running(now), Duration::ZERO);
            let state = PauseState {
                pace: reading.pace,
                requests: reading.requests,
                unread_ms: reading.unread.as_millis(),
                bound_ms: reading.bound(target).as_millis(),
            };
            Some((worker, state))
        });
        states.collect()
    }
}

/// Returns the smallest pause target of the routes to each service.
pub(super) fn pause_targets(site: &Site) -> BTreeMap<id::Service, Duration> {
    let mut targets = BTreeMap::new();
    let streams = site.routes.iter().filter(|route| route.repeat.is_stream());
    for route in streams.filter(|route| !route.longest_pause.is_zero()) {
        for (service, _) in &route.split {
            let target = targets.entry(service.clone());
            let target = target.or_insert(route.longest_pause);
            *target = route.longest_pause.min(*target);
        }
    }
    targets
}
