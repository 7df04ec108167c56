//! Admission control: which requests are refused on arrival, and which queued ones are evicted
//! to make room.

use super::request::{Action, Arrival, Reason, Refusal};
use super::{DEFAULT_RETRY_AFTER, Dispatcher, MAX_QUEUED_REQUESTS, add_jitter};
use crate::common::*;
use crate::decide::suspect::{Fingerprint, Status};
use crate::world::contract::Class;
use crate::world::id;

impl Dispatcher {
    /// Returns why a request is refused, or `None` if it is admitted.
    ///
    /// The team's limit is checked last, so that a request refused for another reason does not
    /// use it up.
    pub(super) fn check_admission(&mut self, now: Duration, arrival: &Arrival) -> Option<Refusal> {
        let refuse = |reason, retry_after| {
            Some(Refusal {
                reason,
                retry_after,
            })
        };
        if self.stopping {
            return refuse(Reason::Stopping, Some(DEFAULT_RETRY_AFTER));
        }
        if self.quarantine.is_refused(now, &arrival.parts) {
            return refuse(Reason::Convicted, None);
        }
        match self.crash_suspects.status(arrival.fingerprint) {
            Status::Convicted => return refuse(Reason::Convicted, None),
            Status::Struck if self.is_in_progress(arrival.fingerprint) => {
                return refuse(Reason::Isolated, Some(DEFAULT_RETRY_AFTER));
            }
            Status::Struck | Status::Clear => {}
        }
        if self.queue.len() >= MAX_QUEUED_REQUESTS && arrival.class != Class::Premium {
            return refuse(Reason::Full, Some(DEFAULT_RETRY_AFTER));
        }
        let wait = self.predict_wait(now, arrival);
        if now + wait > arrival.deadline {
            let overrun = (now + wait).saturating_sub(arrival.deadline);
            return refuse(
                Reason::Deadline,
                Some(add_jitter(overrun.max(DEFAULT_RETRY_AFTER), arrival)),
            );
        }
        if let Err(wait) = self.share(now, &arrival.team).admit(now) {
            return refuse(Reason::Limit, Some(add_jitter(wait, arrival)));
        }
        None
    }

    /// Whether a request with this fingerprint is queued or running here.
    fn is_in_progress(&self, fingerprint: Fingerprint) -> bool {
        self.requests
            .values()
            .any(|state| state.arrival.fingerprint == fingerprint)
    }

    /// Predicts how long a new request would stay queued, from the requests ahead of it.
    ///
    /// The other instances' queues are assumed to be as long as this instance's. If no worker serves
    /// the artifact, there is no estimate and the wait counts as zero.
    fn predict_wait(&self, now: Duration, arrival: &Arrival) -> Duration {
        let Some((slots, service_time)) = self.fleet.capacity(now, &arrival.artifact) else {
            return Duration::ZERO;
        };
        let ahead = self.queue.count_ahead(
            arrival.class,
            &arrival.team,
            &arrival.artifact,
            arrival.deadline,
        );
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        service_time
            .saturating_mul(ahead)
            .saturating_mul(self.instance_count)
            / slots
    }

    /// Evicts a queued request of a lower class than `class` if the queue is full.
    pub(super) fn make_room(&mut self, class: Class) -> Vec<Action> {
        if self.queue.len() < MAX_QUEUED_REQUESTS {
            return Vec::new();
        }
        let evicted = self.queue.evict_below(class);
        evicted
            .into_iter()
            .map(|ticket| self.refuse(&ticket.request, Reason::Full))
            .collect()
    }

    /// Refuses the queued requests whose prompts are in quarantine.
    pub(super) fn refuse_quarantined(&mut self, now: Duration) -> Vec<Action> {
        let refused = self.requests.iter().filter(|(_, state)| {
            state.running.is_none() && self.quarantine.is_refused(now, &state.arrival.parts)
        });
        let refused: Vec<id::Request> = refused.map(|(request, _)| request.clone()).collect();
        let refused = refused.into_iter().map(|request| {
            self.queue.remove(&request);
            self.convict(&request)
        });
        refused.collect()
    }

    /// Drops the state of a request that crashes workers and returns its refusal.
    pub(super) fn convict(&mut self, request: &id::Request) -> Action {
        self.requests.remove(request);
        Action::Refuse {
            request: request.clone(),
            refusal: Refusal {
                reason: Reason::Convicted,
                retry_after: None,
            },
        }
    }

    /// Drops a request's state and returns its refusal.
    pub(super) fn refuse(&mut self, request: &id::Request, reason: Reason) -> Action {
        self.requests.remove(request);
        let refusal = Refusal {
            reason,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        };
        Action::Refuse {
            request: request.clone(),
            refusal,
        }
    }
}
