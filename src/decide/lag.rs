//! Whether a follower of versions lags behind what peers know, or only a little all the time.

use crate::common::*;

/// The version that is to be reached, since when.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    waits_for: Option<(u64, Duration)>,
}

impl Lag {
    /// Whether a version that a peer knew `longest` ago is still not known here; then waits anew.
    pub fn is_late(&mut self, now: Duration, known: u64, heard: u64, longest: Duration) -> bool {
        let reached = self.waits_for.is_none_or(|(version, _)| known >= version);
        if reached {
            self.waits_for = (heard > known).then_some((heard, now));
            return false;
        }
        let is_late = self
            .waits_for
            .is_some_and(|(_, since)| now >= since + longest);
        if is_late {
            self.waits_for = Some((heard, now));
        }
        is_late
    }
}
