//! What a request adds to a server while it is there.

use super::forward::Exchange;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::balance::Running;
use crate::world::id;
use crate::world::unit::Incarnation;
use std::rc::Rc;

/// What a request adds to a server while it is there.
pub struct Guard {
    traffic: Rc<Traffic>,
    pub worker: id::Worker,
    /// Start of the server to which it was sent.
    pub boot: Incarnation,
    added: Running,
    sent: Duration,
    /// What is read there; none for plain calls.
    model: Option<id::Model>,
    expected: f64,
    has_first_byte: bool,
}

impl Guard {
    /// Counts the request in, until this is dropped.
    pub fn new(exchange: &Exchange, worker: &id::Worker, expected: f64) -> Self {
        let traffic = Rc::clone(&exchange.traffic);
        let sent = traffic.clock.now();
        let added = traffic
            .balance
            .borrow_mut()
            .on_sent(sent, worker, &exchange.need);
        let boot = traffic.boot(worker);
        let generation = exchange.need.generation.as_ref();
        Self {
            sent,
            traffic,
            worker: worker.clone(),
            boot,
            added,
            model: generation.map(|generation| generation.target.model.clone()),
            expected,
            has_first_byte: false,
        }
    }

    /// Notes the first byte of the answer's body.
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
        balance.on_first(&self.worker, &mut self.added);
        balance.on_served(&self.worker, self.model.as_ref(), self.expected, latency);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_ended(&self.worker, self.added);
    }
}
