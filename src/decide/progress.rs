//! Progress of an event stream: whether it has stalled, and whether it ended between events.
//!
//! Only complete events count as progress: a server that hangs may still send single bytes or
//! comments. A stream that ends within an event was cut off, however cleanly
//! its connection was closed.

use crate::common::*;

/// Callers abandon a stream after a pause that is the longest of a fixed minimum, a multiple of the
/// route's target, and a multiple of the route's longest pause. The platform specifies these
/// values.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const TARGET_MULTIPLE: u32 = 4;
const PAUSE_MULTIPLE: u32 = 8;
/// Time between the caller's time-out and the end of a stalled stream that cannot be resumed.
const STALL_MARGIN: Duration = Duration::from_millis(500);

/// Limit on the bytes of an event, and of anything else between two events.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Returns the longest pause after which a caller still waits for the next event.
#[must_use]
pub fn caller_timeout(target: Duration, longest_pause: Duration) -> Duration {
    let caller_timeout = (target * TARGET_MULTIPLE).max(longest_pause * PAUSE_MULTIPLE);
    caller_timeout.max(MIN_CALLER_TIMEOUT)
}

/// Progress of one stream.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Pause after which the stream counts as stalled.
    longest_pause: Duration,
    /// Arrival of the last complete event.
    last_event_at: Duration,
    is_at_line_start: bool,
    /// Whether the current event has any line that is not a comment.
    has_field: bool,
    /// Whether the last byte ended an event, or no byte has arrived.
    is_complete: bool,
    /// Arrival of the first complete event.
    first_event_at: Option<Duration>,
    /// Bytes since the last complete event.
    pending_bytes: usize,
}

impl Progress {
    /// Returns the progress of a stream that begins now. A resumable stream counts as stalled after
    /// half of the caller's time-out, so that it can resume on another server while its caller
    /// still waits.
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
            first_event_at: None,
            pending_bytes: 0,
        }
    }

    /// Processes the next bytes of the stream. Returns the mean interval between the events that
    /// they complete, counted from the last event before them; `None` if there is no such interval.
    pub fn on_bytes(&mut self, now: Duration, bytes: &[u8]) -> Option<Duration> {
        let previous_event_at = self.first_event_at.map(|_| self.last_event_at);
        let mut events = 0;
        for byte in bytes {
            self.pending_bytes += 1;
            match byte {
                b'\r' => {}
                b'\n' if self.is_at_line_start => {
                    if self.has_field {
                        events += 1;
                        self.last_event_at = now;
                        self.first_event_at.get_or_insert(now);
                        self.pending_bytes = 0;
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
        now.saturating_sub(previous_event_at?).checked_div(events)
    }

    /// Returns whether the stream may end here, that is, no event is incomplete.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether more bytes than an event may have arrived without a complete one.
    #[must_use]
    pub const fn exceeds_event_limit(&self) -> bool {
        self.pending_bytes > MAX_EVENT_BYTES
    }

    /// Returns when the first complete event arrived.
    #[must_use]
    pub const fn first_event_at(&self) -> Option<Duration> {
        self.first_event_at
    }

    /// Returns when the stream counts as stalled unless a complete event arrives.
    #[must_use]
    pub fn stalls_at(&self) -> Duration {
        self.last_event_at + self.longest_pause
    }
}
