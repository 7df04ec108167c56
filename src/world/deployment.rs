//! Where a process of the system stands and what it was promised.

use super::id;
use crate::common::*;

/// Settings that an instance gets at its start.
#[derive(Debug, Clone, Serialize)]
pub struct Deployment {
    pub instance: id::Instance,
    pub data_centre: id::DataCentre,
    /// The region of each data centre.
    pub regions: BTreeMap<id::DataCentre, id::Region>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's questions whether this instance is ready.
    pub ready: SocketAddr,
    /// Address for messages between instances, the same port everywhere.
    pub peers: SocketAddr,
    /// Address for metrics and dumps.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    pub bounds: Bounds,
}

/// Figures that the platform promises or asks for.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Bounds {
    /// Time between a stop signal and the kill.
    pub grace: Duration,
    /// Orders of two holders must lie this far apart.
    pub lease: Duration,
    /// Retries at each service, over all instances.
    pub retries: Allowance,
    /// Part of the weight store's rate that may be used, over a window.
    pub load_window: Duration,
}

/// What all instances together may retry within a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Allowance {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Retries on top of those.
    pub extra: f64,
    pub window: Duration,
}
