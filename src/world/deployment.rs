//! Location, addresses and guaranteed bounds of an instance, as the platform configures them.

use super::id;
use super::unit::Bytes;
use crate::common::*;
use xxhash_rust::xxh3::xxh3_64;

/// Settings that the platform gives an instance at its start.
#[derive(Debug, Clone, Serialize)]
pub struct Deployment {
    pub instance: id::Instance,
    pub data_centre: id::DataCentre,
    /// Region of each data centre.
    pub regions: BTreeMap<id::DataCentre, id::Region>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address for gossip between instances; the port is the same on all instances.
    pub peers: SocketAddr,
    /// Address of the endpoint for metrics and state dumps.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    pub bounds: Bounds,
    pub machine: Machine,
}

impl Deployment {
    /// Returns a number from 0 to 1 that differs between instances, so that they don't act at the same
    /// moment.
    #[must_use]
    pub fn spread(&self) -> f64 {
        let hash = xxh3_64(self.instance.as_str().as_bytes()) >> 32;
        f64::from(u32::try_from(hash).unwrap_or(0)) / f64::from(u32::MAX)
    }
}

/// What the platform lets the process use, as far as it states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Machine {
    pub memory: Option<Bytes>,
    /// Maximum number of open descriptors.
    pub descriptors: Option<u64>,
}

/// Bounds that the platform guarantees or requires.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Bounds {
    /// Time from the stop signal until the platform kills the process.
    pub grace: Duration,
    /// Minimum time between orders of two successive lease holders.
    pub lease: Duration,
    /// Whether workers refuse orders with a lower fencing token than one they have seen.
    pub fencing_enforced: bool,
    /// Retry budget of each service, over all instances.
    pub retries: Allowance,
    /// Window over which loads from the weight store are counted against its allowed rate.
    pub load_window: Duration,
    /// Time after which a configuration must be in force everywhere; `None` if it is not stated.
    pub configuration: Option<Duration>,
    /// Time after which a key that was taken away must not be served by any instance; `None` if there
    /// is no such bound.
    pub revocation: Option<Duration>,
    /// How far the quotas of workspaces may be exceeded; `None` if it is not stated.
    pub quotas: Option<QuotaSlack>,
}

/// Amounts by which all instances together may exceed a workspace's quota within any window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct QuotaSlack {
    pub window: Duration,
    /// Fraction of what the quota allows within the window.
    pub overage: f64,
    /// Units of the quota, in addition.
    pub extra: f64,
}

/// A retry budget that all instances share within a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Allowance {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed within the window in addition to those.
    pub extra: f64,
    pub window: Duration,
}
