//! Where a request was sent, and where it may go next.
//!
//! Its route says on how many workers it may run. A worker that turned it away, or could not be
//! reached, did not run it.

use crate::world::id;

/// The attempts at one request, those at resuming its stream included.
#[derive(Debug, Clone)]
pub struct Attempts {
    most_workers: usize,
    /// Workers that may have run it.
    ran: Vec<id::Worker>,
    /// Workers that are not asked again while it is tried.
    tried: Vec<id::Worker>,
    is_new: bool,
}

impl Attempts {
    /// No attempt yet at a request that may run on so many workers.
    #[must_use]
    pub fn new(most_workers: u32) -> Self {
        Self {
            most_workers: usize::try_from(most_workers).unwrap_or(usize::MAX),
            ran: Vec::new(),
            tried: Vec::new(),
            is_new: true,
        }
    }

    /// Whether it was never sent.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.is_new
    }

    /// Whether a worker may have run it.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        !self.ran.is_empty()
    }

    /// Whether it may be sent to a worker now.
    #[must_use]
    pub fn allows(&self, worker: &id::Worker) -> bool {
        let is_open = self.ran.len() < self.most_workers || self.ran.contains(worker);
        is_open && !self.tried.contains(worker)
    }

    /// Whether a worker may be left for one that has not run it yet.
    #[must_use]
    pub fn may_leave(&self, worker: &id::Worker) -> bool {
        let others = self.ran.iter().filter(|ran| *ran != worker);
        others.count() + 1 < self.most_workers
    }

    /// Notes that it was sent to a worker.
    pub fn on_sent(&mut self, worker: &id::Worker) {
        self.is_new = false;
        self.tried.push(worker.clone());
    }

    /// Notes that a worker may have run it.
    pub fn on_run(&mut self, worker: &id::Worker) {
        if !self.ran.contains(worker) {
            self.ran.push(worker.clone());
        }
    }

    /// Notes that a worker broke its stream off: it goes on at another one.
    pub fn on_broken_off(&mut self, worker: &id::Worker) {
        self.tried = vec![worker.clone()];
    }
}
