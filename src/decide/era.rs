//! Eras of the platform's store, as one instance has seen them in answers and in news from peers.
//!
//! The store starts a new era each time it comes back from an old copy. It then gives out again
//! versions that it has forgotten, so a version means something only together with its era.

use crate::world::table::Version;
use crate::world::unit::Era;

/// The newest era seen.
#[derive(Debug, Clone, Default)]
pub struct Eras {
    newest: Option<Era>,
    has_changed: bool,
}

impl Eras {
    /// Returns the newest era; `None` if the store does not count them.
    #[must_use]
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// Whether more than one era was seen.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// Records an era. Returns whether it is newer than another one seen before.
    pub fn on_seen(&mut self, era: Option<Era>) -> bool {
        if era <= self.newest {
            return false;
        }
        let is_change = self.newest.is_some();
        self.newest = era;
        self.has_changed |= is_change;
        is_change
    }

    /// Returns a version that a peer reported. Without an era it is from a build that does not know
    /// them: it counts for the only era seen, and means nothing if there were several.
    #[must_use]
    pub fn version(&self, era: Option<Era>, number: u64) -> Option<Version> {
        let is_known = era.is_some() || !self.has_changed;
        is_known.then(|| Version {
            era: era.or(self.newest),
            number,
        })
    }
}
