//! Idle connections to backend servers.

use super::channel::Channel;
use crate::common::*;
use crate::world::id;
use std::cell::RefCell;

/// Idle connections are closed after this time, before servers usually do, where those don't say how
/// long they keep them.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Connections are closed this much before the server would: what is sent must still arrive.
const SERVER_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Rest of a connection before its next request: an answer too many shows itself meanwhile.
const MIN_REST: Duration = Duration::from_millis(8);

#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: Duration,
    until: Duration,
}

/// Idle connections, by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<id::Worker, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection that is still sound.
    pub fn take(&self, now: Duration, worker: &id::Worker) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(worker)?;
        idle.retain(|idle| is_usable(now, idle));
        let rested = idle.iter().rposition(|idle| now >= idle.since + MIN_REST)?;
        Some(idle.remove(rested).channel)
    }

    /// Keeps a connection for later, and no more than `most` for one server; `keeps` is how long the
    /// server says that it does.
    pub fn put(
        &self,
        now: Duration,
        worker: &id::Worker,
        channel: Channel,
        server_keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        let longest = server_keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |server_keep_alive| {
            server_keep_alive.saturating_sub(SERVER_TIMEOUT_MARGIN)
        });
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(worker.clone()).or_default();
        idle.push(Idle {
            channel,
            since: now,
            until: now + longest,
        });
        let surplus = idle.len().saturating_sub(max_idle);
        idle.drain(..surplus);
    }

    /// Closes all connections to a server.
    pub fn close(&self, worker: &id::Worker) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Closes connections that were idle for long.
    pub fn tick(&self, now: Duration) {
        let mut all = self.idle.borrow_mut();
        for idle in all.values_mut() {
            idle.retain(|idle| is_usable(now, idle));
        }
        all.retain(|_, idle| !idle.is_empty());
    }
}

fn is_usable(now: Duration, idle: &Idle) -> bool {
    now < idle.until && !idle.channel.is_closed()
}
