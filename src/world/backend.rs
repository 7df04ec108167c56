//! Backend servers as they describe themselves.

use super::id;
use super::unit::Incarnation;
use crate::common::*;

/// What a backend server's engine holds in memory.
pub type Holdings = BTreeMap<id::Model, BTreeSet<id::Adapter>>;

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Backend {
    pub id: id::Worker,
    pub service: id::Service,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Start of the server: a restart under the same id has another.
    pub boot: Incarnation,
    pub leaving: bool,
    /// Requests that run at one time.
    pub places: u32,
    pub holdings: Holdings,
    /// Models that load from its own copies.
    pub copies: BTreeSet<id::Model>,
}

/// What a worker's engine says of itself when asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    pub holdings: Holdings,
    pub copies: BTreeSet<id::Model>,
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
}
