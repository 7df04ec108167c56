//! Accounting of the load that a request puts on a server while it runs there.

use super::forward::Exchange;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::balance::Workload;
use crate::world::backend::Software;
use crate::world::id;
use crate::world::unit::Incarnation;
use std::rc::Rc;

/// Counts a request as running on a server until it is dropped.
pub struct Guard {
    traffic: Rc<Traffic>,
    pub worker: id::Worker,
    /// Incarnation of the server to which the request was sent.
    pub boot: Incarnation,
    /// Version of the server's software, if its entry states it.
    pub software: Option<Software>,
    added: Workload,
    sent: Duration,
    /// The model that it uses; none for plain calls.
    model: Option<id::Model>,
    expected: f64,
    has_first_byte: bool,
}

impl Guard {
    /// Counts the request as running until the guard is dropped.
    pub fn new(exchange: &Exchange, worker: &id::Worker, expected: f64) -> Self {
        let traffic = Rc::clone(&exchange.traffic);
        let sent = traffic.clock.now();
        let added = traffic
            .balance
            .borrow_mut()
            .on_sent(sent, worker, &exchange.need);
        let boot = traffic.boot(worker);
        let software = {
            let balance = traffic.balance.borrow();
            let view = balance.view(worker);
            view.and_then(|view| view.backend.software.clone())
        };
        let generation = exchange.need.generation.as_ref();
        Self {
            sent,
            traffic,
            worker: worker.clone(),
            boot,
            software,
            added,
            model: generation.map(|generation| generation.target.model.clone()),
            expected,
            has_first_byte: false,
        }
    }

    /// Records the latency to the first byte of the response body.
    pub fn on_first_byte(&mut self) {
        if self.has_first_byte {
            return;
        }
        self.has_first_byte = true;
        let latency = self.traffic.clock.now().saturating_sub(self.sent);
        self.traffic
            .metrics
            .first_byte
            .observe(latency.as_secs_f64());
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_first_byte(&self.worker, &mut self.added);
        balance.on_served(&self.worker, self.model.as_ref(), self.expected, latency);
    }

    /// Records the interval between two events of the response body, which shows the server's pace.
    pub fn on_event_interval(&self, now: Duration, interval: Duration) {
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_event_interval(now, &self.worker, interval);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_ended(&self.worker, self.added);
    }
}
