//! Orders to workers: load or unload a model or an adapter.

use super::id;
use super::message::Target;
use super::unit::{Fence, Incarnation};
use crate::common::*;

/// What a worker is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    Load(Target),
    Unload(Target),
}

impl Action {
    /// What is loaded or unloaded.
    #[must_use]
    pub fn target(&self) -> &Target {
        match self {
            Self::Load(target) | Self::Unload(target) => target,
        }
    }
}

/// An order, valid at one count of orders that the worker accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    pub worker: id::Worker,
    pub boot: Incarnation,
    pub action: Action,
    /// Orders that the worker must have accepted before.
    pub expected: u64,
    pub holder: id::Instance,
    pub fence: Fence,
}

/// How a worker answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It is being carried out.
    Accepted,
    /// It holds already, or was carried out at once.
    Holds,
    /// Another order is under way, or the count differs.
    Conflict,
    /// Another worker has the address.
    Misdirected,
    /// The order is wrong.
    Refused,
    /// No answer: it may be carried out now or later.
    Unknown,
}
