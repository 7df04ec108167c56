//! Owners of callers' keys, found by the digests of the keys.

use crate::common::*;

/// Owners of keys by the SHA-256 of each key in hex.
///
/// Digests are secrets like the keys, so the `Debug` output hides them.
#[derive(Clone)]
pub struct KeyIndex<T>(Map<String, T>);

impl<T> KeyIndex<T> {
    /// Sets the owner of the key with this SHA-256 in hex; returns its former owner.
    pub fn insert(&mut self, digest: &str, owner: T) -> Option<T> {
        self.0.insert(digest.to_ascii_lowercase(), owner)
    }

    /// Returns the owner of the key with this SHA-256 in lower-case hex.
    #[must_use]
    pub fn owner(&self, digest: &str) -> Option<&T> {
        self.0.get(digest)
    }
}

impl<T> Default for KeyIndex<T> {
    fn default() -> Self {
        Self(Map::default())
    }
}

impl<T> fmt::Debug for KeyIndex<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "KeyIndex({} keys)", self.0.len())
    }
}
