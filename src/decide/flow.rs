//! Whether a stream of events goes on, and whether it is whole.
//!
//! Only whole events count: a server that sends a byte now and then, or comments, has stalled all the
//! same. A stream that ends within an event has broken off, however cleanly its connection ended.

use crate::common::*;

/// Callers leave a stream after a pause of this length; or of this many targets, or of this many of
/// the longest pauses that its route allows, if that is longer. The platform's page says so.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
const TARGETS: u32 = 4;
const PAUSES: u32 = 8;
/// A stream is ended this much after its caller would leave.
const MARGIN: Duration = Duration::from_millis(500);

/// Longest pause after which a caller still waits for the next event.
#[must_use]
pub fn patience(target: Duration, longest_pause: Duration) -> Duration {
    let patience = (target * TARGETS).max(longest_pause * PAUSES);
    patience.max(LEAST_PATIENCE)
}

/// How far a stream has come.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    longest_pause: Duration,
    /// When the newest whole event came.
    event_at: Duration,
    at_line_start: bool,
    /// Whether the event that has begun says anything.
    has_field: bool,
    /// Whether the newest byte ended an event, or none has come.
    is_whole: bool,
}

impl Flow {
    /// A stream that begins now, of which a caller bears pauses of this length. One that may go on
    /// elsewhere does so after half of that, while its caller is still there.
    #[must_use]
    pub fn new(now: Duration, patience: Duration, may_resume: bool) -> Self {
        let longest_pause = if may_resume {
            patience / 2
        } else {
            patience + MARGIN
        };
        Self {
            longest_pause,
            event_at: now,
            at_line_start: true,
            has_field: false,
            is_whole: true,
        }
    }

    /// Takes the next bytes.
    pub fn on_bytes(&mut self, now: Duration, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\r' => {}
                b'\n' if self.at_line_start => {
                    if self.has_field {
                        self.event_at = now;
                    }
                    self.has_field = false;
                    self.is_whole = true;
                }
                b'\n' => self.at_line_start = true,
                _ => {
                    self.has_field |= self.at_line_start && *byte != b':';
                    self.at_line_start = false;
                    self.is_whole = false;
                }
            }
        }
    }

    /// Whether the stream may end here: no event has begun that has not ended.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// When the stream counts as stalled, if no whole event comes before.
    #[must_use]
    pub fn stalls_at(&self) -> Duration {
        self.event_at + self.longest_pause
    }
}
