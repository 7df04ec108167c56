//! Requests that wait at this instance until a server can read their prompts without stopping its
//! streams for too long.

use super::forward::{DEADLINE_MARGIN, Exchange};
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::balance::Choice;
use crate::decide::waiting::{self, Line, Place, Queue};
use crate::world::id;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::timeout;

/// Interval at which the first request of a line looks for a server. A server reads a piece of a
/// prompt in about 200 ms, so a place found this much later costs little.
const FIRST_RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which other waiting requests notice a stop.
const RECHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Waiting requests of this instance.
#[derive(Default)]
pub struct Waiting {
    queue: RefCell<Queue>,
}

impl Waiting {
    /// Returns the numbers of waiting requests by service.
    pub fn state(&self) -> Value {
        json!(self.queue.borrow().by_service())
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

/// Keeps the place of a waiting request until it is dropped.
pub struct Waiter {
    traffic: Rc<Traffic>,
    line: Line,
    place: Place,
    since: Duration,
    until: Duration,
    /// How the wait ended. It is "ended" until a server is chosen, since a caller that leaves drops
    /// the waiter without further notice.
    outcome: &'static str,
}

impl Waiter {
    fn is_first(&self) -> bool {
        let queue = self.traffic.waiting.queue.borrow();
        queue.is_first(&self.line, self.place)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let traffic = &self.traffic;
        let has_next = traffic
            .waiting
            .queue
            .borrow_mut()
            .leave(&self.line, self.place);
        traffic.metrics.pauses.on_wait(self.outcome);
        if has_next {
            traffic.capacity_changed.notify_waiters();
        }
    }
}

impl Exchange {
    /// Waits behind more urgent or older requests for the same servers; returns at once if there
    /// is none, or if the request may wait no longer.
    pub(super) async fn wait_for_turn(&self, waiter: Option<&Waiter>) {
        while let Some(waiter) = waiter {
            let now = self.now();
            if waiter.is_first() || now >= waiter.until || self.traffic.is_stopping() {
                return;
            }
            let time_left = waiter.until.saturating_sub(now).min(RECHECK_INTERVAL);
            let _ = timeout(time_left, self.traffic.capacity_changed.notified()).await;
        }
    }

    /// Waits for a short time if a request may wait for a better server than the chosen one; returns
    /// whether it did.
    pub(super) async fn wait_for_room(&self, choice: &Choice, waiter: &mut Option<Waiter>) -> bool {
        let (worker, expected, is_above_bound) = match choice {
            Choice::Send(worker, expected) => (worker, *expected, false),
            Choice::AboveBound(worker, expected) => (worker, *expected, true),
            _ => {
                *waiter = None;
                return false;
            }
        };
        let (now, is_stopping) = (self.now(), self.traffic.is_stopping());
        let until = self.may_wait_until(expected);
        let must_wait = is_above_bound || self.is_behind(waiter.as_ref());
        if !must_wait || is_stopping || now >= until {
            if let Some(mut waiter) = waiter.take() {
                waiter.outcome = match (is_above_bound, is_stopping) {
                    (false, _) => "free server",
                    (true, false) => "limit",
                    (true, true) => "stop",
                };
                self.log_wait(&waiter, worker);
            }
            if is_above_bound {
                self.traffic.metrics.pauses.sends_above_bound.inc();
            }
            return false;
        }
        if waiter.is_none() {
            *waiter = self.join(now);
        }
        let Some(waiter) = waiter else {
            return false;
        };
        waiter.until = until;
        let time_left = until.saturating_sub(now).min(FIRST_RECHECK_INTERVAL);
        let _ = timeout(time_left, self.traffic.capacity_changed.notified()).await;
        true
    }

    fn may_wait_until(&self, expected: f64) -> Duration {
        let expected = Duration::try_from_secs_f64(expected).unwrap_or(Duration::MAX);
        let until = waiting::wait_until(self.arrived, self.route.target, expected);
        until.min(self.deadline.saturating_sub(DEADLINE_MARGIN))
    }

    /// Whether another waiting request must be sent before this one.
    fn is_behind(&self, waiter: Option<&Waiter>) -> bool {
        let queue = self.traffic.waiting.queue.borrow();
        if queue.is_empty() {
            return false;
        }
        match (waiter, self.line()) {
            (Some(waiter), _) => !queue.is_first(&waiter.line, waiter.place),
            (None, Some(line)) => queue.has_before(&line, self.route.priority, self.arrived),
            (None, None) => false,
        }
    }

    fn line(&self) -> Option<Line> {
        let generation = self.need.generation.as_ref()?;
        Some(Line {
            service: self.need.service.clone(),
            target: generation.target.clone(),
        })
    }

    fn join(&self, now: Duration) -> Option<Waiter> {
        let line = self.line()?;
        let traffic = Rc::clone(&self.traffic);
        let mut queue = traffic.waiting.queue.borrow_mut();
        let place = queue.join(&line, self.route.priority, self.arrived);
        drop(queue);
        Some(Waiter {
            traffic,
            line,
            place,
            since: now,
            until: now,
            outcome: "ended",
        })
    }

    fn log_wait(&self, waiter: &Waiter, worker: &id::Worker) {
        let duration = self.now().saturating_sub(waiter.since);
        let values = json!({"server": worker, "route": self.route.name, "outcome": waiter.outcome,
            "waited_ms": duration.as_millis()});
        self.note("waited_for_server", values);
    }
}
