//! Servers that fall over when they have to reject too many requests in a second.
//!
//! The servers of a service say so together, in all their answers, and name the number that each of them
//! bears from all instances. Each instance therefore sends a server no more requests that may be rejected than
//! its share of that number, whether they are rejected in the end or not. Requests for which the
//! server has a free place are not counted. Where there are more instances than rejections that a server bears,
//! instances take turns, and use half of the bound only, since their turns are not synchronised.

use super::limit::{Sharers, Timestamps};
use crate::common::*;
use crate::world::id;

/// Time by which answers may arrive out of order: an answer without a bound lifts it only after this time.
const REORDER_MARGIN: Duration = Duration::from_millis(500);
/// Time after which a bound expires unless an answer confirms it.
const BOUND_TTL: Duration = Duration::from_secs(30);
/// Window over which an instance counts. It is longer than the second over which servers count, since requests of
/// one window may arrive closer together than they were sent.
const WINDOW: Duration = Duration::from_millis(1_250);
/// How long a rejection is remembered.
const REJECTION_TTL: Duration = Duration::from_secs(20);

/// Bounds on the rejections in a second of each server, by service.
#[derive(Debug, Clone, Default)]
pub struct Bounds {
    announced: BTreeMap<id::Service, (Duration, u32)>,
}

impl Bounds {
    /// Applies an answer of one of a service's servers; returns whether the bound has changed.
    pub fn on_answer(&mut self, now: Duration, service: &id::Service, bound: Option<u32>) -> bool {
        let known = self.announced.get(service).copied();
        match bound {
            Some(bound) => {
                self.announced.insert(service.clone(), (now, bound));
                known.is_none_or(|(_, known)| known != bound)
            }
            None if known.is_some_and(|(at, _)| now >= at + REORDER_MARGIN) => {
                self.announced.remove(service);
                true
            }
            None => false,
        }
    }

    /// Returns the bound of each server of a service.
    #[must_use]
    pub fn bound(&self, now: Duration, service: &id::Service) -> Option<u32> {
        let (at, bound) = self.announced.get(service)?;
        (now < *at + BOUND_TTL).then_some(*bound)
    }
}

/// Requests of this instance at one server that may be, or were, rejected.
#[derive(Debug, Clone, Default)]
pub struct Exposure {
    at_risk: Timestamps,
    rejected: Timestamps,
}

impl Exposure {
    /// Records that a request was sent for which the server may have no place.
    pub fn on_sent_at_risk(&mut self, now: Duration) {
        self.at_risk.add(now);
    }

    /// Records that the server rejected a request.
    pub fn on_rejected(&mut self, now: Duration) {
        self.rejected.add(now);
    }

    /// Whether the server rejected a request lately.
    #[must_use]
    pub fn was_rejected(&self, now: Duration) -> bool {
        self.rejected.within(now, REJECTION_TTL) > 0
    }

    /// Returns how long to wait until one more request may be rejected; `None` if it may be now. `stagger`, from 0
    /// to 1, differs between instances.
    #[must_use]
    pub fn wait(
        &self,
        now: Duration,
        bound: u32,
        sharers: Sharers,
        stagger: f64,
    ) -> Option<Duration> {
        let total = sharers
            .total
            .map(|total| total.max(sharers.reachable).max(1));
        match total {
            Some(total) if bound >= total => {
                let allowed = bound / total;
                (self.used(now, WINDOW) >= allowed).then(|| WINDOW / allowed)
            }
            Some(total) => {
                let turn = WINDOW * total * 2 / bound.max(1);
                self.wait_for_turn(now, turn, stagger)
            }
            None => (self.used(now, REJECTION_TTL) > 0).then_some(WINDOW),
        }
    }

    /// Returns how long to wait for the slot of this instance within a turn of all of them.
    fn wait_for_turn(&self, now: Duration, turn: Duration, stagger: f64) -> Option<Duration> {
        let shifted = (now + turn.mul_f64(stagger)).as_millis() % turn.as_millis();
        let phase = Duration::from_millis(u64::try_from(shifted).unwrap_or_default());
        let is_over = phase >= WINDOW || self.used(now, WINDOW) > 0;
        is_over.then(|| turn.saturating_sub(phase))
    }

    /// Returns the number of requests that were, or may have been, rejected within a time.
    fn used(&self, now: Duration, window: Duration) -> u32 {
        let at_risk = self.at_risk.within(now, window);
        at_risk.max(self.rejected.within(now, window))
    }
}
