//! What this instance learns from the requests that it sends: workloads, speeds and failures.

use super::prompt::{self, kept, record_cached_parts};
use super::view::Workload;
use super::{Balancer, Need};
use crate::common::*;
use crate::decide::retry::backoff;
use crate::world::backend::Backend;
use crate::world::id;
use crate::world::message::{Load, Target};

/// Weight of the newest answer in moving averages.
const ANSWER_WEIGHT: f64 = 0.1;
/// Fraction by which the slowness of a server returns to 1, the average, with each answer, on a
/// logarithmic scale.
const SLOWNESS_DECAY: f64 = 0.02;
/// Bounds of the learned slowness of a server, relative to the average server.
const MAX_SLOWNESS: f64 = 8.0;
const MIN_SLOWNESS: f64 = 0.5;
/// Back-off after a server was unreachable; doubles with each further failure, up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

impl Balancer {
    /// Records a request at each rate-limited server that could serve it.
    pub fn on_request(&mut self, now: Duration, need: &Need) {
        if self.limits.active().next().is_none() {
            return;
        }
        let model = need.generation.as_ref().map(|it| &it.target.model);
        for view in self.views.values_mut() {
            let Backend {
                id, boot, service, ..
            } = &view.backend;
            let could_serve = *service == need.service
                && model.is_none_or(|model| view.has_model(model))
                && self.limits.limit_for(id, *boot).is_some();
            if could_serve {
                view.requested.add(now);
            }
        }
    }

    /// Records a sent request and returns its workload, which must be passed to [`Self::on_ended`]
    /// when the request ends.
    pub fn on_sent(&mut self, now: Duration, worker: &id::Worker, need: &Need) -> Workload {
        let Some(view) = self.views.get_mut(worker) else {
            return Workload::default();
        };
        let generation = need.generation.as_ref();
        let prefill_time = generation.map(|it| prompt::prefill_time(&self.speeds, view, it));
        let added = Workload {
            requests: 1,
            reading_us: microseconds(prefill_time.unwrap_or_default()),
            kept: need.generation.as_ref().map_or(0, kept),
            recent: 0,
        };
        if self.bounds.bound(now, &need.service).is_some() && view.may_be_full(now) {
            view.exposure.on_sent_at_risk(now);
        }
        view.sent.add(now);
        view.own.requests += added.requests;
        view.own.reading_us += added.reading_us;
        view.own.kept += added.kept;
        if let Some(generation) = &need.generation {
            record_cached_parts(view, generation);
        }
        added
    }

    /// Records the first byte of an answer: the prompt has been read.
    pub fn on_first_byte(&mut self, worker: &id::Worker, added: &mut Workload) {
        if let Some(view) = self.views.get_mut(worker) {
            view.own.reading_us = view.own.reading_us.saturating_sub(added.reading_us);
        }
        added.reading_us = 0;
    }

    /// Removes the workload of a request that ended.
    pub fn on_ended(&mut self, worker: &id::Worker, added: Workload) {
        if let Some(view) = self.views.get_mut(worker) {
            view.own.requests = view.own.requests.saturating_sub(added.requests);
            view.own.reading_us = view.own.reading_us.saturating_sub(added.reading_us);
            view.own.kept = view.own.kept.saturating_sub(added.kept);
        }
    }

    /// Updates the learned speeds from the measured and the expected time to first byte. `model` is
    /// the model that read the prompt. The expected time contains the pace of the server at that
    /// time, so that `slowness` learns only what the pace does not explain.
    pub fn on_served(
        &mut self,
        worker: &id::Worker,
        model: Option<&id::Model>,
        expected_seconds: f64,
        elapsed: Duration,
    ) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let elapsed = elapsed.as_secs_f64();
        view.failures *= 1.0 - ANSWER_WEIGHT;
        view.unreachable_count = 0;
        view.backoff_until = Duration::ZERO;
        // The head of this answer stated the pace, so the service time is that of the usual pace.
        let usual = elapsed / view.pace.newest();
        view.service_time += ANSWER_WEIGHT * (usual - view.service_time);
        let ratio = (elapsed / expected_seconds.max(0.001)).clamp(0.2, 5.0);
        let average = view.slowness.powf(1.0 - SLOWNESS_DECAY);
        let slowness = average * (1.0 - ANSWER_WEIGHT + ANSWER_WEIGHT * ratio);
        view.slowness = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        if let Some(model) = model {
            self.speeds.on_answer(model, ratio);
        }
    }

    /// Records the load that a server reported in an answer.
    pub fn on_load(&mut self, now: Duration, worker: &id::Worker, load: Load) {
        if let Some(view) = self.views.get_mut(worker) {
            view.reported = Some((now, load));
            if let Some(pace) = load.pace {
                view.pace.on_stated(now, pace);
            }
        }
    }

    /// Records the interval between two events of a stream from a server, which shows its pace. An
    /// interval in which this instance waits for a prompt to be read there is ignored.
    pub fn on_event_interval(&mut self, now: Duration, worker: &id::Worker, interval: Duration) {
        let view = self.views.get_mut(worker);
        if let Some(view) = view.filter(|view| view.own.reading_us == 0) {
            view.pace.on_interval(now, interval);
        }
    }

    /// Records that bytes from a server arrived here, or that it accepted a connection.
    pub fn on_heard(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.heard_at = Some(now);
        }
    }

    /// Returns for how long nothing has arrived here from a server; `None` if nothing ever did.
    #[must_use]
    pub fn silence(&self, now: Duration, worker: &id::Worker) -> Option<Duration> {
        let heard_at = self.views.get(worker)?.heard_at?;
        Some(now.saturating_sub(heard_at))
    }

    /// Records that a server failed while it ran a request.
    pub fn on_failed(&mut self, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.failures += ANSWER_WEIGHT * (1.0 - view.failures);
        }
    }

    /// Backs off from a server that can't be reached or has no room.
    pub fn on_unreachable(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.backoff_until =
                now + backoff(INITIAL_BACKOFF, view.unreachable_count, MAX_BACKOFF, 1.0);
            view.unreachable_count += 1;
        }
    }

    /// Ends the back-off from the servers of a service, since it was the path to them that failed.
    pub fn on_path_restored(&mut self, service: &id::Service) {
        let views = self.views.values_mut();
        for view in views.filter(|view| view.backend.service == *service) {
            view.unreachable_count = 0;
            view.backoff_until = Duration::ZERO;
        }
    }

    /// Records that a server is not as listed: it has ended, or does not hold the target.
    pub fn on_misdirected(&mut self, now: Duration, worker: &id::Worker, target: Option<&Target>) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        match target {
            None => view.backoff_until = now + MAX_BACKOFF,
            Some(Target {
                model,
                adapter: Some(adapter),
            }) => {
                let held = view.backend.holdings.get_mut(model);
                held.map(|adapters| adapters.remove(adapter));
            }
            Some(Target { model, .. }) => {
                view.backend.holdings.remove(model);
            }
        }
    }
}

fn microseconds(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
