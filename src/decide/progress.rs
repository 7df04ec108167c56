//! Whether a stream of events goes on, and whether it is whole.
//!
//! Only whole events count: a server that sends a byte now and then, or comments, has stalled all the
//! same. A stream that ends within an event has broken off, however cleanly its connection ended.

use crate::common::*;

/// Callers leave a stream after a pause of this length; or of this many targets, or of this many of
/// the longest pauses that its route allows, if that is longer. The platform's page says so.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const TARGET_MULTIPLE: u32 = 4;
const PAUSE_MULTIPLE: u32 = 8;
/// A stream is ended this much after its caller would leave.
const STALL_MARGIN: Duration = Duration::from_millis(500);

/// Longest pause after which a caller still waits for the next event.
#[must_use]
pub fn caller_timeout(target: Duration, longest_pause: Duration) -> Duration {
    let caller_timeout = (target * TARGET_MULTIPLE).max(longest_pause * PAUSE_MULTIPLE);
    caller_timeout.max(MIN_CALLER_TIMEOUT)
}

/// How far a stream has come.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    longest_pause: Duration,
    /// When the newest whole event came.
    last_event_at: Duration,
    is_at_line_start: bool,
    /// Whether the event that has begun says anything.
    has_field: bool,
    /// Whether the newest byte ended an event, or none has come.
    is_complete: bool,
}

impl Progress {
    /// A stream that begins now, of which a caller bears pauses of this length. One that may go on
    /// elsewhere does so after half of that, while its caller is still there.
    #[must_use]
    pub fn new(now: Duration, caller_timeout: Duration, may_resume: bool) -> Self {
        let longest_pause = if may_resume {
            caller_timeout / 2
        } else {
            caller_timeout + STALL_MARGIN
        };
        Self {
            longest_pause,
            last_event_at: now,
            is_at_line_start: true,
            has_field: false,
            is_complete: true,
        }
    }

    /// Takes the next bytes.
    pub fn on_bytes(&mut self, now: Duration, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\r' => {}
                b'\n' if self.is_at_line_start => {
                    if self.has_field {
                        self.last_event_at = now;
                    }
                    self.has_field = false;
                    self.is_complete = true;
                }
                b'\n' => self.is_at_line_start = true,
                _ => {
                    self.has_field |= self.is_at_line_start && *byte != b':';
                    self.is_at_line_start = false;
                    self.is_complete = false;
                }
            }
        }
    }

    /// Whether the stream may end here: no event has begun that has not ended.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// When the stream counts as stalled, if no whole event comes before.
    #[must_use]
    pub fn stalls_at(&self) -> Duration {
        self.last_event_at + self.longest_pause
    }
}
