//! A worker of an experiment: batch places, a queue by class, a prefix cache, memory.

use super::arrivals::{PREFILL, Request, TOKEN};
use crate::engine::Memory;
use poplarseam::world::contract::Class;
use std::collections::VecDeque;
use std::time::Duration;

/// Prefixes that fit into the cache.
const CACHED: usize = 24;

/// A request under way at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Begun {
    pub request: usize,
    pub first_token: Duration,
    pub end: Duration,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    batch: u32,
    pub memory: Memory,
    pub running: Vec<usize>,
    queue: [VecDeque<usize>; 2],
    cache: VecDeque<u64>,
    pub alive: bool,
    pub hits: u64,
}

impl Worker {
    /// An idle worker.
    #[must_use]
    pub fn new(batch: u32, memory: u64) -> Self {
        Self {
            batch,
            memory: Memory::new(memory, false),
            running: Vec::new(),
            queue: [VecDeque::new(), VecDeque::new()],
            cache: VecDeque::new(),
            alive: true,
            hits: 0,
        }
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        (
            count(self.running.len()),
            count(self.queue[0].len() + self.queue[1].len()),
        )
    }

    /// Takes a request in.
    pub fn push(&mut self, request: usize, class: Class) {
        self.queue[usize::from(class != Class::Premium)].push_back(request);
    }

    /// Starts the next request that waits, if there is a place.
    pub fn begin(&mut self, now: Duration, requests: &[Request]) -> Option<Begun> {
        if self.running.len() >= self.batch as usize {
            return None;
        }
        let request = self.queue[0]
            .pop_front()
            .or_else(|| self.queue[1].pop_front())?;
        self.running.push(request);
        let wanted = &requests[request];
        let prefill = self.prefill(wanted);
        let output = u32::try_from(wanted.output).unwrap_or(u32::MAX);
        let first_token = now + prefill + TOKEN;
        Some(Begun {
            request,
            first_token,
            end: now + prefill + TOKEN * output,
        })
    }

    fn prefill(&mut self, wanted: &Request) -> Duration {
        let cached = self
            .cache
            .iter()
            .position(|prefix| *prefix == wanted.prefix);
        if let Some(at) = cached {
            self.cache.remove(at);
            self.hits += 1;
        }
        self.cache.push_back(wanted.prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        let whole = PREFILL * u32::try_from(wanted.prompt).unwrap_or(u32::MAX);
        if cached.is_some() { whole / 10 } else { whole }
    }

    /// Notes that a request ended; false where it was lost before.
    pub fn end(&mut self, request: usize) -> bool {
        let at = self.running.iter().position(|other| *other == request);
        at.map(|at| self.running.swap_remove(at)).is_some()
    }

    /// Dies and comes back empty; returns what was lost.
    pub fn die(&mut self) -> Vec<usize> {
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.queue.iter_mut().flat_map(std::mem::take));
        self.cache.clear();
        self.memory.restart();
        self.alive = false;
        lost
    }
}
