//! Which requests a stopping process still passes on, and until when it lets them wait.

use crate::common::*;

/// The platform may send new connections for this long after a stop began.
const ARRIVAL_TIME: Duration = Duration::from_secs(3);
/// Requests that still wait for a server this long before the process exits are refused, so that the
/// refusal can still be delivered.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);

/// A stop, from the signal until the process exits.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    pub began_at: Duration,
    pub ends_at: Duration,
}

impl Shutdown {
    /// Whether a request may still be passed on. One that comes late and may last until after the exit
    /// is refused instead: cut, a call that may run once could not be sent again.
    #[must_use]
    pub fn accepts(self, now: Duration, deadline: Duration) -> bool {
        now < self.began_at + ARRIVAL_TIME || deadline <= self.ends_at
    }

    /// Whether a request that still waits for a server must be refused now.
    #[must_use]
    pub fn refuses_pending(self, now: Duration) -> bool {
        now + REFUSAL_MARGIN >= self.ends_at
    }
}
