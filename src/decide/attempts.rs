//! Where a request was sent, and where it may go next.
//!
//! Its route says on how many workers it may run. A worker that turned it away, or could not be
//! reached, did not run it.

use crate::world::id;

/// The attempts at one request, those at resuming its stream included.
#[derive(Debug, Clone)]
pub struct Attempts {
    max_workers: usize,
    /// Workers that may have run it.
    ran_on: Vec<id::Worker>,
    /// Workers that are not asked again while it is tried.
    tried: Vec<id::Worker>,
    is_unsent: bool,
}

impl Attempts {
    /// No attempt yet at a request that may run on so many workers.
    #[must_use]
    pub fn new(max_workers: u32) -> Self {
        Self {
            max_workers: usize::try_from(max_workers).unwrap_or(usize::MAX),
            ran_on: Vec::new(),
            tried: Vec::new(),
            is_unsent: true,
        }
    }

    /// Whether it was never sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        self.is_unsent
    }

    /// Whether a worker may have run it.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        !self.ran_on.is_empty()
    }

    /// Whether it may be sent to a worker now.
    #[must_use]
    pub fn allows(&self, worker: &id::Worker) -> bool {
        let is_permitted = self.ran_on.len() < self.max_workers || self.ran_on.contains(worker);
        is_permitted && !self.tried.contains(worker)
    }

    /// Whether a worker may be left for one that has not run it yet.
    #[must_use]
    pub fn may_move_from(&self, worker: &id::Worker) -> bool {
        let others = self.ran_on.iter().filter(|ran_on| *ran_on != worker);
        others.count() + 1 < self.max_workers
    }

    /// Notes that it was sent to a worker.
    pub fn on_sent(&mut self, worker: &id::Worker) {
        self.is_unsent = false;
        self.tried.push(worker.clone());
    }

    /// Notes that a worker may have run it.
    pub fn on_possible_run(&mut self, worker: &id::Worker) {
        if !self.ran_on.contains(worker) {
            self.ran_on.push(worker.clone());
        }
    }

    /// Notes that a worker broke its stream off: it goes on at another one.
    pub fn on_stream_broken(&mut self, worker: &id::Worker) {
        self.tried = vec![worker.clone()];
    }
}
