//! The clock of a process: time since its start, and the start itself.

use crate::common::*;
use crate::world::unit::Incarnation;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Time since the process started; it counts the time while the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: boot_time() }
    }
}

impl Clock {
    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Incarnation of a process that starts now.
#[must_use]
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
