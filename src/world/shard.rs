//! Shards of the workers: each has one holder at a time that may give its workers orders.

use super::id;
use crate::common::*;
use xxhash_rust::xxh3::xxh3_64;

/// Shards of a site. More lose fewer workers with a holder, and cost more renewals.
pub const COUNT: u32 = 4;

/// One shard of the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Shard(pub u32);

impl Shard {
    /// The shard of a worker.
    #[must_use]
    pub fn for_worker(worker: &id::Worker) -> Self {
        let hash = xxh3_64(worker.as_str().as_bytes());
        Self(u32::try_from(hash % u64::from(COUNT)).unwrap_or(0))
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT).map(Self)
    }

    /// How far this shard comes after the one that an instance prefers.
    #[must_use]
    pub fn distance_from_preferred(self, instance: &id::Instance) -> u32 {
        let hash = xxh3_64(instance.as_str().as_bytes());
        let preferred = u32::try_from(hash % u64::from(COUNT)).unwrap_or(0);
        (self.0 + COUNT - preferred) % COUNT
    }
}

impl Display for Shard {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
