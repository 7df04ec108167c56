//! Limits on the connections that others open to a process, and the choice of those to close.

use crate::common::*;
use crate::world::unit::Bytes;

/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors of a process if its settings state none.
const DEFAULT_DESCRIPTORS: u64 = 8_192;
/// Part of the memory that connections may take, and what one connection takes at most: 64 KiB of bytes
/// received and unread, and 32 KiB of an unfinished head.
const MEMORY_DIVISOR: u64 = 2;
const CONNECTION_BYTES: u64 = 96 << 10;
/// Minimum number of connections to the endpoints for metrics and readiness.
const MIN_OPERATORS: u64 = 4;

/// Limits on the connections to a process, by who opens them. At least half of the descriptors are left
/// for connections to servers, to the store and to peers: each request needs one at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub callers: usize,
    pub peers: usize,
    pub operators: usize,
}

impl Limits {
    /// Derives the limits from the descriptors and the memory of the process, as far as they are stated.
    #[must_use]
    pub fn new(descriptors: Option<u64>, memory: Option<Bytes>) -> Self {
        let sockets = descriptors
            .unwrap_or(DEFAULT_DESCRIPTORS)
            .saturating_sub(FILE_DESCRIPTORS);
        let room = memory.map_or(u64::MAX, |memory| {
            memory.0 / MEMORY_DIVISOR / CONNECTION_BYTES
        });
        let limit = |by_descriptors: u64, by_memory: u64| {
            usize::try_from(by_descriptors.min(by_memory).max(1)).unwrap_or(usize::MAX)
        };
        Self {
            callers: limit(sockets * 11 / 32, room / 4 * 3),
            peers: limit(sockets / 8, room / 4),
            operators: limit((sockets / 32).max(MIN_OPERATORS), u64::MAX),
        }
    }
}

/// Number of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// The open connections to a listener, and which of them wait for their callers.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    /// Since when each connection has waited; `None` while a request runs or its answer is sent.
    open: BTreeMap<Id, Option<Duration>>,
    waiting: BTreeSet<(Duration, Id)>,
    next: u64,
}

impl Connections {
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: BTreeMap::new(),
            waiting: BTreeSet::new(),
            next: 0,
        }
    }

    /// Records a new connection.
    pub fn open(&mut self, now: Duration) -> Id {
        let id = Id(self.next);
        self.next += 1;
        self.open.insert(id, Some(now));
        self.waiting.insert((now, id));
        id
    }

    /// Records that a connection begins to wait for its caller: idle, for a head, or for a body.
    pub fn on_waiting(&mut self, now: Duration, id: Id) {
        self.set(id, Some(now));
    }

    /// Records that the request of a connection is complete and may be passed on.
    pub fn on_running(&mut self, id: Id) {
        self.set(id, None);
    }

    fn set(&mut self, id: Id, since: Option<Duration>) {
        let Some(previous) = self.open.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(previous, since);
        if let Some(previous) = previous {
            self.waiting.remove(&(previous, id));
        }
        if let Some(since) = since {
            self.waiting.insert((since, id));
        }
    }

    /// Records that a connection was closed.
    pub fn on_closed(&mut self, id: Id) {
        self.set(id, None);
        self.open.remove(&id);
    }

    /// Whether another connection may be opened.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.open.len() < self.limit
    }

    /// Takes the connection that has waited longest for its caller, so that it is closed; it counts as
    /// open until then.
    pub fn take_longest_waiting(&mut self) -> Option<Id> {
        let (_, id) = self.waiting.pop_first()?;
        self.open.insert(id, None);
        Some(id)
    }

    #[must_use]
    pub fn count(&self) -> usize {
        self.open.len()
    }
}
