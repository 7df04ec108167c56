//! Distinguishes a follower that no longer receives new versions from one that is always slightly
//! behind its peers but still receives them.

use crate::common::*;

/// Version that a follower is waiting for, with the time since when it waits.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag<V> {
    awaited: Option<(V, Duration)>,
}

impl<V: Copy + PartialOrd> Lag<V> {
    /// Returns whether a version that a peer had at least `max_delay` ago has still not arrived. If
    /// so, starts to wait for the peer's current version.
    pub fn is_late(
        &mut self,
        now: Duration,
        known_version: V,
        peer_version: V,
        max_delay: Duration,
    ) -> bool {
        let is_reached = self
            .awaited
            .is_none_or(|(version, _)| known_version >= version);
        if is_reached {
            self.awaited = (peer_version > known_version).then_some((peer_version, now));
            return false;
        }
        let is_late = self
            .awaited
            .is_some_and(|(_, since)| now >= since + max_delay);
        if is_late {
            self.awaited = Some((peer_version, now));
        }
        is_late
    }
}
