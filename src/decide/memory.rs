//! Bound on the memory that requests and answers take while an instance holds them.

use crate::world::unit::Bytes;

/// Bytes of requests and answers that an instance may hold if its settings state no memory.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;
/// The budget is this part of the memory in the settings: half of it is for connections
/// (`decide::connections`), and the process itself takes up to some 30 MB.
const MEMORY_DIVISOR: u64 = 4;
/// Requests may take this part of the budget, so that there is room for their answers.
const REQUESTS_DIVISOR: usize = 2;
/// Size of the reserve for small requests, as a part of the budget and in addition to it.
const RESERVE_DIVISOR: usize = 8;
/// Size up to which a request is small. Prompts of 8,000 tokens are about as large.
pub const SMALL_REQUEST_BYTES: usize = 32 << 10;

/// The part of the memory from which some bytes were taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    Answers,
    Requests,
    /// The reserve for small requests.
    Reserve,
}

/// Bytes of the requests and answers that are held.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    /// Limit on requests without the reserve.
    max_requests: usize,
    answers: usize,
    requests: usize,
    reserve: usize,
}

fn budget(machine: Bytes) -> usize {
    usize::try_from(machine.0 / MEMORY_DIVISOR).unwrap_or(usize::MAX)
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            limit: MAX_ANSWER_BYTES,
            max_requests: MAX_ANSWER_BYTES / REQUESTS_DIVISOR,
            answers: 0,
            requests: 0,
            reserve: 0,
        }
    }
}

impl Memory {
    /// Creates the budget of a process whose machine has this memory, if it is known.
    #[must_use]
    pub fn new(machine: Option<Bytes>) -> Self {
        let limit = machine.map_or(MAX_ANSWER_BYTES, budget);
        Self {
            limit,
            max_requests: limit / REQUESTS_DIVISOR,
            ..Self::default()
        }
    }

    /// Creates the budget of a process that counts requests only.
    #[must_use]
    pub fn for_requests(machine: Bytes) -> Self {
        let limit = budget(machine);
        Self {
            limit,
            max_requests: limit,
            ..Self::default()
        }
    }

    /// Returns whether another request may be sent.
    #[must_use]
    pub const fn admits(&self) -> bool {
        self.answers + self.requests < self.limit / 4 * 3
    }

    /// Takes memory for an answer; returns whether there was enough.
    pub const fn take(&mut self, bytes: usize) -> bool {
        let is_free = bytes <= self.free();
        if is_free {
            self.answers += bytes;
        }
        is_free
    }

    /// Gives memory of an answer back.
    pub const fn give_back(&mut self, bytes: usize) {
        self.answers = self.answers.saturating_sub(bytes);
    }

    /// Takes memory for a request; returns from where it was taken, or `None` if there was not enough.
    /// A small request may use the reserve as well.
    pub fn take_request(&mut self, bytes: usize) -> Option<Share> {
        let free = self.max_requests.saturating_sub(self.requests);
        if bytes <= free.min(self.free()) {
            self.requests += bytes;
            return Some(Share::Requests);
        }
        let free = (self.limit / RESERVE_DIVISOR).saturating_sub(self.reserve);
        if bytes <= SMALL_REQUEST_BYTES.min(free) {
            self.reserve += bytes;
            return Some(Share::Reserve);
        }
        None
    }

    /// Gives memory back to the part from which it was taken.
    pub const fn give_back_to(&mut self, share: Share, bytes: usize) {
        match share {
            Share::Answers => self.give_back(bytes),
            Share::Requests => self.requests = self.requests.saturating_sub(bytes),
            Share::Reserve => self.reserve = self.reserve.saturating_sub(bytes),
        }
    }

    const fn free(&self) -> usize {
        self.limit.saturating_sub(self.answers + self.requests)
    }

    /// Returns the bytes of answers.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.answers
    }

    /// Returns the bytes of requests.
    #[must_use]
    pub const fn used_by_requests(&self) -> usize {
        self.requests + self.reserve
    }
}
