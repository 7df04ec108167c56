//! Shards of the workers and workspaces. Each shard is leased to one instance at a time, and only this
//! holder may give orders to its workers and grant the quotas of its workspaces.

use super::id;
use crate::common::*;
use xxhash_rust::xxh3::xxh3_64;

/// Number of shards of a site. With more shards, fewer workers are without a holder when an
/// instance fails, but more leases must be renewed.
pub const COUNT: u32 = 4;

/// A shard, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Shard(pub u32);

impl Shard {
    /// Returns the shard to which a worker belongs.
    #[must_use]
    pub fn for_worker(worker: &id::Worker) -> Self {
        Self::of_name(worker.as_str())
    }

    /// Returns the shard to which a name belongs.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        let hash = xxh3_64(name.as_bytes());
        Self(u32::try_from(hash % u64::from(COUNT)).unwrap_or(0))
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT).map(Self)
    }

    /// Returns the distance, modulo [`COUNT`], from the shard that an instance prefers to this one.
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
