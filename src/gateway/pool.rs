//! Idle connections to backend servers.

use super::channel::Channel;
use crate::common::*;
use crate::world::id;
use std::cell::RefCell;

/// Idle time after which a connection is closed if its server states none; shorter than the idle
/// time-outs that servers usually have.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection is closed this long before its server would close it, so that a request still
/// arrives in time.
const SERVER_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Minimum idle time before a connection is used again, so that a surplus response is detected
/// before the next request.
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
    /// Takes an idle connection that is still usable.
    pub fn take(&self, now: Duration, worker: &id::Worker) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(worker)?;
        idle.retain(|idle| is_usable(now, idle));
        let position = idle.iter().rposition(|idle| now >= idle.since + MIN_REST)?;
        Some(idle.remove(position).channel)
    }

    /// Keeps a connection for reuse, but at most `max_idle` for one server; `server_keep_alive`
    /// is the idle time that the server states.
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
        let surplus_count = idle.len().saturating_sub(max_idle);
        idle.drain(..surplus_count);
    }

    /// Closes all connections to a server.
    pub fn close(&self, worker: &id::Worker) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Closes connections whose idle time is over.
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
