//! Idle connections to backend servers.

use super::channel::Channel;
use crate::common::*;
use crate::world::id;
use std::cell::RefCell;

/// Idle connections are closed after this time, before servers usually do.
const IDLE: Duration = Duration::from_secs(4);
/// Rest of a connection before its next request: an answer too many shows itself meanwhile.
const REST: Duration = Duration::from_millis(8);

#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: Duration,
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
        idle.retain(|idle| is_sound(now, idle));
        let rested = idle.iter().rposition(|idle| now >= idle.since + REST)?;
        Some(idle.remove(rested).channel)
    }

    /// Keeps a connection for later.
    pub fn put(&self, now: Duration, worker: &id::Worker, channel: Channel) {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(worker.clone()).or_default();
        idle.push(Idle {
            channel,
            since: now,
        });
    }

    /// Closes all connections to a server.
    pub fn close(&self, worker: &id::Worker) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Closes connections that were idle for long.
    pub fn tick(&self, now: Duration) {
        let mut all = self.idle.borrow_mut();
        for idle in all.values_mut() {
            idle.retain(|idle| is_sound(now, idle));
        }
        all.retain(|_, idle| !idle.is_empty());
    }
}

fn is_sound(now: Duration, idle: &Idle) -> bool {
    now < idle.since + IDLE && !idle.channel.sender.is_closed()
}
