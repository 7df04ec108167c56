//! What a request adds to a server while it is there.

use super::forward::Case;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::balance::Workload;
use crate::world::id;
use crate::world::unit::Incarnation;
use std::rc::Rc;

/// What a request adds to a server while it is there.
pub struct Ticket {
    traffic: Rc<Traffic>,
    pub worker: id::Worker,
    /// Start of the server to which it was sent.
    pub boot: Incarnation,
    added: Workload,
    sent: Duration,
    /// What is read there; none for plain calls.
    model: Option<id::Model>,
    expected: f64,
    first_seen: bool,
}

impl Ticket {
    /// Counts the request in, until this is dropped.
    pub fn new(case: &Case, worker: &id::Worker, expected: f64) -> Self {
        let traffic = Rc::clone(&case.traffic);
        let sent = traffic.clock.now();
        let added = traffic
            .balance
            .borrow_mut()
            .on_sent(sent, worker, &case.need);
        let boot = traffic.boot(worker);
        let generation = case.need.generation.as_ref();
        Self {
            sent,
            traffic,
            worker: worker.clone(),
            boot,
            added,
            model: generation.map(|generation| generation.target.model.clone()),
            expected,
            first_seen: false,
        }
    }

    /// Notes the first byte of the answer's body.
    pub fn on_first(&mut self) {
        if self.first_seen {
            return;
        }
        self.first_seen = true;
        let took = self.traffic.clock.now().saturating_sub(self.sent);
        self.traffic.metrics.first_byte.observe(took.as_secs_f64());
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_first_byte(&self.worker, &mut self.added);
        balance.on_served(&self.worker, self.model.as_ref(), self.expected, took);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_ended(&self.worker, self.added);
    }
}
