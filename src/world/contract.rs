//! Schema of the settings: the values that operators store under each path.
//!
//! The subtree `site` holds workers, services, teams, the placement policy, and models and adapters
//! that every team may use. A team's subtree holds its own models, adapters and keys.

use super::id;
use super::unit::{Bytes, Rate};
use crate::common::*;

/// Name of the subtree that applies to all teams.
pub const SITE: &str = "site";

/// Goal that placement optimises for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weighing {
    /// As many requests as possible answered within the target latency, per accelerator.
    #[default]
    Attainment,
    /// As few loads, unloads and relocations as possible.
    Moves,
}

/// Placement policy, at `site/placement`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    #[serde(default)]
    pub weighing: Weighing,
    /// Loads per second that the weight store allows.
    pub loads_per_second: Rate,
    /// Concurrent loads that the weight store serves at full speed.
    pub load_slots: usize,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            weighing: Weighing::default(),
            loads_per_second: Rate(1.6),
            load_slots: 2,
        }
    }
}

/// A backend server with a model engine, at `site/workers/NAME`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    pub region: id::Region,
    pub memory: Bytes,
    /// Maximum number of requests in a batch.
    pub batch: u32,
    /// Whether the worker rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fences: bool,
}

/// A plain service, at `site/services/NAME`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub servers: BTreeMap<id::Server, Endpoint>,
    /// Paths below the service whose requests are idempotent and may be retried.
    #[serde(default)]
    pub idempotent: BTreeSet<String>,
}

/// Address and location of a plain service's backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    pub region: id::Region,
}

/// A team, at `site/teams/NAME`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 in hex of the operators' key that grants access to the team's subtree.
    pub operator_key: String,
    /// Rate limit in requests per second, over all instances.
    pub limit: Rate,
    /// Weight of the team when capacity is shared between teams.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// Priority class of a request; `Premium` is served before `Routine`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    Premium,
    #[default]
    Routine,
}

/// A caller's API key, at `TEAM/keys/SHA256`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    #[serde(default)]
    pub class: Class,
}

/// A model, at `SUBTREE/models/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub version: id::Version,
    pub size: Bytes,
    /// Maximum time to the first token that meets the target latency.
    #[serde(default = "first_token_target_ms")]
    pub first_token_ms: u64,
}

fn first_token_target_ms() -> u64 {
    880
}

/// An adapter, at `SUBTREE/adapters/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub model: id::Model,
    pub version: id::Version,
    pub size: Bytes,
}
