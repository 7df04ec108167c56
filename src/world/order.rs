//! Orders to workers: load or unload a model or an adapter.

use super::id;
use super::message::Target;
use super::unit::{Fence, Incarnation};
use crate::common::*;

/// The operation that an order asks of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    Load(Target),
    Unload(Target),
}

impl Action {
    /// Returns the model or adapter to load or unload.
    #[must_use]
    pub fn target(&self) -> &Target {
        match self {
            Self::Load(target) | Self::Unload(target) => target,
        }
    }
}

/// An order to a worker. It is valid only while the worker has accepted exactly `expected` orders,
/// so that a delayed or repeated order is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    pub worker: id::Worker,
    pub boot: Incarnation,
    pub action: Action,
    /// Number of orders that the worker must have accepted so far.
    pub expected: u64,
    /// Instance that holds the lease of the worker's shard.
    pub holder: id::Instance,
    pub fence: Fence,
}

/// Answer of a worker to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The order is being carried out.
    Accepted,
    /// The worker is already in the requested state, or the order was carried out immediately.
    Holds,
    /// Another order is being carried out, or the number of accepted orders differs from the
    /// expected one.
    Conflict,
    /// Another worker answers at the address.
    Misdirected,
    /// The order was rejected for another reason.
    Refused,
    /// No answer: the order may be carried out now or later.
    Unknown,
}
