//! What the holder of a worker tells other instances of it.

use crate::common::*;
use crate::world::backend::Holdings;
use crate::world::id;
use crate::world::unit::{Fence, Incarnation};

/// What another instance told of a worker that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    pub boot: Incarnation,
    pub fence: Fence,
    pub revision: u64,
    pub holdings: Holdings,
    pub closing: BTreeSet<id::Model>,
    pub coming: BTreeSet<id::Model>,
    pub open: bool,
    pub from_store: bool,
}

impl Snapshot {
    /// Whether this is later word of the same worker than what is known.
    #[must_use]
    pub fn is_newer_than(&self, known: Option<&Self>) -> bool {
        let age_key = |snapshot: &Self| (snapshot.fence, snapshot.revision);
        known.is_none_or(|known| age_key(self) > age_key(known))
    }

    /// Models that the worker holds or is about to hold, those about to go left out.
    #[must_use]
    pub fn models(&self) -> BTreeSet<id::Model> {
        let held = self.holdings.keys();
        let held = held.filter(|model| !self.closing.contains(*model));
        held.chain(&self.coming).cloned().collect()
    }
}
