//! Workspaces of the operator's configuration: who may call, how urgently, and how much.
//!
//! A configuration that lists no workspaces serves every caller. One that does serves only callers
//! with a key of a workspace, except on public routes.

use super::key_index::KeyIndex;
use super::unit::{Rate, Tokens};
use crate::common::*;
use crate::wire::key::digest;

/// Group of callers that share keys, a priority and a quota.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Workspace {
    pub name: CompactString,
    /// Priority of the workspace's requests in place of their routes' priority.
    pub priority: Option<u8>,
    /// `None` if its requests are not limited.
    pub quota: Option<Quota>,
}

/// Limit on the requests of a workspace at all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quota {
    /// Units per second.
    pub rate: Rate,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    Requests,
    /// Prompt and output tokens; a request that states none counts as `plain` tokens.
    Tokens {
        plain: Tokens,
    },
}

/// All workspaces of a configuration, by the digests of their keys.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    by_name: BTreeMap<CompactString, Arc<Workspace>>,
    by_key: KeyIndex<Arc<Workspace>>,
}

impl Workspaces {
    /// Adds a workspace with its keys. A key that belongs to a workspace added before stays with it.
    pub fn add(&mut self, workspace: Workspace, keys: &[String]) {
        let workspace = Arc::new(workspace);
        for key in keys {
            let digest = digest(key.as_bytes());
            if self.by_key.owner(&digest).is_none() {
                self.by_key.insert(&digest, Arc::clone(&workspace));
            }
        }
        self.by_name.insert(workspace.name.clone(), workspace);
    }

    /// Returns the workspace to which the key with this SHA-256 in hex belongs.
    #[must_use]
    pub fn of_key(&self, digest: &str) -> Option<&Arc<Workspace>> {
        self.by_key.owner(digest)
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns all workspaces, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }
}

/// Serializes the workspaces without their keys, whose digests are secrets as well.
impl Serialize for Workspaces {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.by_name.values().map(Arc::as_ref))
    }
}
