//! What follows from the end of an attempt: retries, refusals, and the attribution of crashes to
//! requests.

use super::request::{Action, End, Reason};
use super::{
    DEFAULT_RETRY_AFTER, Dispatcher, MAX_ATTEMPTS, OCCUPIED_RETRY_DELAY, RequestState,
    SINGLE_INSTANCE, new_ticket,
};
use crate::common::*;
use crate::decide::suspect::{Fingerprint, Status};
use crate::world::id;
use crate::world::message::PartId;
use crate::world::unit::Incarnation;

impl Dispatcher {
    /// Handles the end of an attempt. A request that is still queued is removed from the queue,
    /// whatever `end` is.
    pub fn on_end(&mut self, now: Duration, request: &id::Request, end: End) -> Vec<Action> {
        let Some(state) = self.requests.get_mut(request) else {
            return Vec::new();
        };
        let fingerprint = state.arrival.fingerprint;
        let parts = state.arrival.parts.clone();
        let Some((worker, started)) = state.running.take() else {
            self.queue.remove(request);
            self.requests.remove(request);
            return Vec::new();
        };
        let service_time = (end == End::Done).then(|| now.saturating_sub(started));
        self.fleet.on_ended(&worker, service_time);
        let mut actions = match end {
            End::Done => {
                let cleared = self.crash_suspects.on_success(fingerprint);
                self.quarantine.on_answered(now, &parts);
                self.requests.remove(request);
                cleared
                    .then_some(Action::Cleared(fingerprint))
                    .into_iter()
                    .collect()
            }
            End::Abandoned => {
                self.crash_suspects.on_inconclusive_end(fingerprint);
                self.requests.remove(request);
                Vec::new()
            }
            End::NotRun => self.on_not_run(now, request, &worker),
            End::Unreachable | End::Lost => {
                self.fleet.on_unresponsive(now, &worker);
                self.on_not_run(now, request, &worker)
            }
            End::Crashed => self.on_crash(now, request, &worker),
            End::Occupied => {
                self.on_occupied(now, request);
                Vec::new()
            }
        };
        actions.extend(self.start_queued(now));
        actions
    }

    /// Queues a request again after an attempt that did not crash its worker.
    fn on_not_run(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        if let Some(state) = self.requests.get(request) {
            self.crash_suspects
                .on_inconclusive_end(state.arrival.fingerprint);
        }
        self.requeue(now, request, worker)
    }

    /// Queues a request again, with a delay, after it was not granted isolation. The attempt does not
    /// count.
    fn on_occupied(&mut self, now: Duration, request: &id::Request) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        self.crash_suspects
            .on_inconclusive_end(state.arrival.fingerprint);
        state.attempts -= 1;
        state.not_before = now + OCCUPIED_RETRY_DELAY;
        self.queue.push(new_ticket(&state.arrival));
    }

    /// Attributes a crash to requests, then refuses `request` if it is convicted, or else retries it.
    fn on_crash(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        self.fleet.on_unresponsive(now, worker);
        let mut actions = self.attribute_crash(now, request, worker);
        let crashed_fingerprint = self
            .requests
            .get(request)
            .map(|state| state.arrival.fingerprint);
        let convicted = crashed_fingerprint.is_some_and(|crashed_fingerprint| {
            self.crash_suspects.status(crashed_fingerprint) == Status::Convicted
        });
        if convicted {
            actions.push(self.convict(request));
        } else if self.is_quarantined(now, request) {
            actions.push(self.convict(request));
            actions.extend(self.refuse_quarantined(now));
        } else {
            actions.extend(self.requeue(now, request, worker));
        }
        actions
    }

    fn is_quarantined(&self, now: Duration, request: &id::Request) -> bool {
        let state = self.requests.get(request);
        state.is_some_and(|state| self.quarantine.is_refused(now, &state.arrival.parts))
    }

    /// Attributes a worker's crash to the requests that ran there, once for all of them.
    ///
    /// The requests that are still marked as running there will end with the same crash later, so
    /// they are marked as attributed.
    fn attribute_crash(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        if self
            .requests
            .get(request)
            .is_some_and(|state| state.crash_attributed)
        {
            return Vec::new();
        }
        let running: Vec<Fingerprint> = self
            .requests_running_on(worker, request)
            .map(|state| state.arrival.fingerprint)
            .collect();
        self.accuse_prompts(now, request, worker);
        for state in self.requests.values_mut() {
            state.crash_attributed |= state
                .running
                .as_ref()
                .is_some_and(|(other, _)| other == worker);
        }
        let verdict = self.crash_suspects.on_crash(now, worker, &running);
        let struck = (!verdict.struck.is_empty()).then_some(Action::Struck(verdict.struck));
        let convicted = verdict.convicted.map(Action::Convicted);
        struck.into_iter().chain(convicted).collect()
    }

    /// Records the prompts that ran on a crashed worker.
    fn accuse_prompts(&mut self, now: Duration, request: &id::Request, worker: &id::Worker) {
        let running = self.requests_running_on(worker, request);
        let running: Vec<(Vec<PartId>, Incarnation)> = running
            .map(|state| (state.arrival.parts.clone(), state.incarnation))
            .collect();
        for (parts, incarnation) in running {
            let process = (worker.clone(), incarnation);
            self.quarantine
                .on_connection_broken(now, &parts, &process, None);
        }
        self.quarantine.on_server_ended(now, worker);
    }

    /// Returns the requests that run on a worker, and `request`, which is no longer marked as running.
    fn requests_running_on(
        &self,
        worker: &id::Worker,
        request: &id::Request,
    ) -> impl Iterator<Item = &RequestState> {
        self.requests.values().filter(move |state| {
            let is_running = state
                .running
                .as_ref()
                .is_some_and(|(other, _)| other == worker);
            is_running || state.arrival.request == *request
        })
    }

    /// Queues a request again, away from `worker`, or refuses it if no retry is left.
    ///
    /// The first retry is free; later ones are taken from the retry budget. The new attempt has at
    /// least [`DEFAULT_RETRY_AFTER`] to start, and need not go to the worker that began the answer.
    fn requeue(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        let fits = self
            .requests
            .get(request)
            .is_none_or(|state| self.has_fitting_worker(state));
        if !fits {
            return vec![self.refuse(request, Reason::Version)];
        }
        let Some(state) = self.requests.get_mut(request) else {
            return Vec::new();
        };
        let is_free_retry = state.attempts <= 1;
        if state.attempts >= MAX_ATTEMPTS
            || !(is_free_retry || self.retry_budget.take(now, SINGLE_INSTANCE))
        {
            return vec![self.refuse(request, Reason::Retries)];
        }
        state.requirement.excluded_workers = vec![worker.clone()];
        state.arrival.resume_worker = None;
        state.arrival.deadline = state.arrival.deadline.max(now + DEFAULT_RETRY_AFTER);
        self.queue.push(new_ticket(&state.arrival));
        Vec::new()
    }
}
