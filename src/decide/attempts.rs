//! Tracks to which workers a request was sent and to which it may be sent next.
//!
//! The route of a request limits the number of workers that may run it. A worker that rejected the
//! request or could not be reached does not count, since it did not run the request.

use crate::world::id;

/// Attempts to send one request, including those to resume its stream.
#[derive(Debug, Clone)]
pub struct Attempts {
    max_workers: usize,
    /// Workers that may have run the request.
    ran_on: Vec<id::Worker>,
    /// Workers to which the request is not sent again, until its stream breaks off.
    tried: Vec<id::Worker>,
    is_unsent: bool,
}

impl Attempts {
    /// Returns a record without attempts, for a request that may run on at most `max_workers`
    /// workers.
    #[must_use]
    pub fn new(max_workers: u32) -> Self {
        Self {
            max_workers: usize::try_from(max_workers).unwrap_or(usize::MAX),
            ran_on: Vec::new(),
            tried: Vec::new(),
            is_unsent: true,
        }
    }

    /// Marks the request as sent before, by another instance.
    #[must_use]
    pub fn as_repeat(mut self, is_repeat: bool) -> Self {
        self.is_unsent = !is_repeat;
        self
    }

    /// Returns the number of further servers that may run the request.
    #[must_use]
    pub const fn servers_left(&self) -> usize {
        self.max_workers.saturating_sub(self.ran_on.len())
    }

    /// Returns whether the request was never sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        self.is_unsent
    }

    /// Returns the worker to which the request was last sent.
    #[must_use]
    pub fn last(&self) -> Option<&id::Worker> {
        self.tried.last()
    }

    /// Returns whether any worker may have run the request.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        !self.ran_on.is_empty()
    }

    /// Returns whether the request may now be sent to this worker.
    #[must_use]
    pub fn allows(&self, worker: &id::Worker) -> bool {
        let is_permitted = self.ran_on.len() < self.max_workers || self.ran_on.contains(worker);
        is_permitted && !self.tried.contains(worker)
    }

    /// Returns whether the request may move from a worker to one that has not run it yet.
    #[must_use]
    pub fn may_move_from(&self, worker: &id::Worker) -> bool {
        let others = self.ran_on.iter().filter(|ran_on| *ran_on != worker);
        others.count() + 1 < self.max_workers
    }

    /// Records that the request was sent to a worker.
    pub fn on_sent(&mut self, worker: &id::Worker) {
        self.is_unsent = false;
        self.tried.push(worker.clone());
    }

    /// Records that a worker may have run the request.
    pub fn on_possible_run(&mut self, worker: &id::Worker) {
        if !self.ran_on.contains(worker) {
            self.ran_on.push(worker.clone());
        }
    }

    /// Records that the stream from a worker broke off. It may resume on any other permitted worker.
    pub fn on_stream_broken(&mut self, worker: &id::Worker) {
        self.tried = vec![worker.clone()];
    }
}
