//! How attempts end: what is tried again, and who is to blame for a crash.

use super::request::{Action, End, Reason, Refusal};
use super::{ALONE, COME_BACK, Dispatcher, MOST_ATTEMPTS, OCCUPIED_PAUSE, ticket};
use crate::common::*;
use crate::decide::suspect::{Fingerprint, Standing};
use crate::world::id;

impl Dispatcher {
    /// Takes how an attempt ended.
    pub fn on_end(&mut self, now: Duration, request: &id::Request, end: End) -> Vec<Action> {
        let Some(live) = self.live.get_mut(request) else {
            return Vec::new();
        };
        let fingerprint = live.arrival.fingerprint;
        let Some((worker, started)) = live.running.take() else {
            self.queue.remove(request);
            self.live.remove(request);
            return Vec::new();
        };
        let service = (end == End::Done).then(|| now.saturating_sub(started));
        self.fleet.on_ended(&worker, service);
        let mut actions = match end {
            End::Done => {
                let cleared = self.registry.on_success(fingerprint);
                self.live.remove(request);
                cleared
                    .then_some(Action::Cleared(fingerprint))
                    .into_iter()
                    .collect()
            }
            End::Abandoned => {
                self.registry.on_stop(fingerprint);
                self.live.remove(request);
                Vec::new()
            }
            End::NotRun => self.on_not_run(now, request, &worker),
            End::Unreachable | End::Lost => {
                self.fleet.on_silent(now, &worker);
                self.on_not_run(now, request, &worker)
            }
            End::Crashed => self.on_crash(now, request, &worker),
            End::Occupied => {
                self.on_occupied(now, request);
                Vec::new()
            }
        };
        actions.extend(self.drain(now));
        actions
    }

    fn on_not_run(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        if let Some(live) = self.live.get(request) {
            self.registry.on_stop(live.arrival.fingerprint);
        }
        self.requeue(now, request, worker)
    }

    fn on_occupied(&mut self, now: Duration, request: &id::Request) {
        let Some(live) = self.live.get_mut(request) else {
            return;
        };
        self.registry.on_stop(live.arrival.fingerprint);
        live.attempts -= 1;
        live.not_before = now + OCCUPIED_PAUSE;
        self.queue.push(ticket(&live.arrival));
    }

    fn on_crash(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        self.fleet.on_silent(now, worker);
        let mut actions = self.judge(now, request, worker);
        let guilty = self.live.get(request).map(|live| live.arrival.fingerprint);
        let convicted =
            guilty.is_some_and(|guilty| self.registry.standing(guilty) == Standing::Convicted);
        if convicted {
            self.live.remove(request);
            let refusal = Refusal {
                reason: Reason::Convicted,
                retry_after: None,
            };
            actions.push(Action::Refuse {
                request: request.clone(),
                refusal,
            });
        } else {
            actions.extend(self.requeue(now, request, worker));
        }
        actions
    }

    /// Judges a crash once, for everything that ran on the worker.
    fn judge(&mut self, now: Duration, request: &id::Request, worker: &id::Worker) -> Vec<Action> {
        if self.live.get(request).is_some_and(|live| live.judged) {
            return Vec::new();
        }
        let running = self.running_on(worker, request);
        for live in self.live.values_mut() {
            live.judged |= live
                .running
                .as_ref()
                .is_some_and(|(other, _)| other == worker);
        }
        let verdict = self.registry.on_crash(now, worker, &running);
        let struck = (!verdict.struck.is_empty()).then_some(Action::Struck(verdict.struck));
        let convicted = verdict.convicted.map(Action::Convicted);
        struck.into_iter().chain(convicted).collect()
    }

    fn running_on(&self, worker: &id::Worker, request: &id::Request) -> Vec<Fingerprint> {
        let there = self.live.values().filter(|live| {
            let runs = live
                .running
                .as_ref()
                .is_some_and(|(other, _)| other == worker);
            runs || live.arrival.request == *request
        });
        there.map(|live| live.arrival.fingerprint).collect()
    }

    fn requeue(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: &id::Worker,
    ) -> Vec<Action> {
        let Some(live) = self.live.get_mut(request) else {
            return Vec::new();
        };
        let free = live.attempts <= 1;
        if live.attempts >= MOST_ATTEMPTS || !(free || self.budget.take(now, ALONE)) {
            return vec![self.refuse(request, Reason::Retries)];
        }
        live.need.avoid = vec![worker.clone()];
        live.arrival.resume_at = None;
        live.arrival.deadline = live.arrival.deadline.max(now + COME_BACK);
        self.queue.push(ticket(&live.arrival));
        Vec::new()
    }
}
