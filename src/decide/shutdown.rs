//! Which requests a stopping process still passes on.

use crate::common::*;

/// The platform may send new connections for this long after a stop began.
const ARRIVAL_TIME: Duration = Duration::from_secs(3);

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
}
