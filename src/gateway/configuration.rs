//! What operators see of the configuration's way to this instance: who reads it, and how long it
//! takes.

use super::event::{START_SOURCES, milliseconds};
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::arrival::Arrival;
use crate::decide::topology::Access;
use std::cell::{Cell, RefCell};

/// Fraction of the bound on configurations after which one that is awaited is logged.
const OVERDUE_FRACTION: f64 = 0.5;

/// Time after an answer of the store for which it is known to answer. Brief polls are answered more
/// often.
const CONFIRMED_TIME: Duration = Duration::from_millis(2_500);

/// State of these measurements.
#[derive(Debug, Default)]
pub struct Rollout {
    arrival: RefCell<Arrival>,
    /// Number of readers, and whether this instance is one, as last logged.
    readers: Cell<Option<(usize, bool)>>,
}

impl Traffic {
    /// Records that the store has answered a call.
    pub(super) fn on_store_answered(&self) {
        let now = self.clock.now();
        self.store_answered_at.set(Some(now));
        if self.update_access(now) && self.topology.borrow().has_refused(now) {
            self.has_new_access.set(true);
            self.gossip_pending.notify_one();
            self.update_subscription(now);
        }
    }

    /// Returns whether the store answers this instance.
    pub(super) fn store_access(&self, now: Duration) -> Access {
        let answered_at = self.store_answered_at.get();
        if !self.reaches_store.get() {
            Access::Refused
        } else if answered_at.is_some_and(|at| now < at + CONFIRMED_TIME) {
            Access::Confirmed
        } else {
            Access::Assumed
        }
    }

    /// Updates whether the store answers this instance; returns whether that has changed.
    pub(super) fn update_access(&self, now: Duration) -> bool {
        let access = self.store_access(now);
        self.topology.borrow_mut().on_access(access)
    }

    /// Whether the store must be called to see if it answers again; at most now and then.
    pub(super) fn is_recheck_due(&self, now: Duration) -> bool {
        let is_refused = !self.reaches_store.get() && !self.topology.borrow().is_reader(now);
        let mut recheck = self.recheck.borrow_mut();
        recheck.is_due(now, is_refused, self.spread)
    }

    /// Returns the peers that this instance asks for a configuration at its start, if it knows of any or
    /// that there are none.
    pub(super) fn start_sources(
        &self,
        now: Duration,
    ) -> Option<[Option<SocketAddr>; START_SOURCES]> {
        let known = self.topology.borrow().start_sources(now)?;
        Some(std::array::from_fn(|index| known.get(index).copied()))
    }

    /// Records the newest configuration that peers have.
    pub(super) fn on_configuration_heard(&self, now: Duration, version: u64) {
        let mut arrival = self.rollout.arrival.borrow_mut();
        arrival.on_heard(now, version, self.configuration_version());
    }

    /// Records that a configuration is in force.
    pub(super) fn on_configuration_in_force(&self, now: Duration, version: u64) {
        let delays = self.rollout.arrival.borrow_mut().on_in_force(now, version);
        for delay in delays {
            self.metrics
                .configuration_delay
                .observe(delay.as_secs_f64());
        }
    }

    /// Logs a change of the readers, and a configuration that is awaited for long.
    pub(super) fn check_rollout(&self, now: Duration) {
        let topology = self.topology.borrow();
        let is_reader = topology.is_reader(now);
        let count = topology.reader_count(now);
        self.metrics
            .readers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        let readers = Some((count, is_reader));
        if self.rollout.readers.replace(readers) != readers {
            let instances = topology.heard_local_count(now);
            let values = json!({"count": count, "instances": instances, "is_reader": is_reader});
            self.journal.note("readers", &values);
        }
        drop(topology);
        let Some(bound) = self.deployment.bounds.configuration else {
            return;
        };
        let limit = bound.mul_f64(OVERDUE_FRACTION);
        if let Some(overdue) = self.rollout.arrival.borrow_mut().take_overdue(now, limit) {
            let values = json!({"version": overdue.version, "in_force": self.configuration_version(),
                "waited_ms": milliseconds(overdue.waited)});
            self.journal.note("configuration_overdue", &values);
        }
    }
}
