//! State of a worker, as the holder of its shard sends it to other instances.

use crate::common::*;
use crate::world::backend::Holdings;
use crate::world::id;
use crate::world::unit::{Fence, Incarnation};

/// State of a worker, sent by the instance that holds the worker's shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    pub boot: Incarnation,
    pub fence: Fence,
    /// Starts of the holder's process that this instance has seen. A holder that starts again may keep its
    /// token, but counts revisions anew.
    pub start: u64,
    pub revision: u64,
    pub holdings: Holdings,
    /// Models announced for unloading.
    pub closing: BTreeSet<id::Model>,
    /// Models that are being loaded or are queued for loading.
    pub coming: BTreeSet<id::Model>,
    /// Whether the worker can be assigned a job.
    pub assignable: bool,
    /// Whether a load from the weight store is running or queued.
    pub from_store: bool,
}

impl Snapshot {
    /// Whether this snapshot is newer than the known one of the same worker.
    #[must_use]
    pub fn is_newer_than(&self, known: Option<&Self>) -> bool {
        let age_key = |snapshot: &Self| (snapshot.fence, snapshot.start, snapshot.revision);
        known.is_none_or(|known| age_key(self) > age_key(known))
    }

    /// Models that the worker holds or will load, except those announced for unloading.
    #[must_use]
    pub fn models(&self) -> BTreeSet<id::Model> {
        let held = self.holdings.keys();
        let held = held.filter(|model| !self.closing.contains(*model));
        held.chain(&self.coming).cloned().collect()
    }
}
