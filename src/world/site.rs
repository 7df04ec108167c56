//! What the operator wants served: routes, services and limits, in one version.

use super::id;
use super::unit::{Bytes, Rate, Tokens};
use crate::common::*;

/// Version of the operator's configuration; only rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize)]
pub struct Version(pub u64);

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Everything the operator set, in one version.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Site {
    pub version: Version,
    pub routes: Vec<Route>,
    pub services: BTreeMap<id::Service, Service>,
    pub limits: Limits,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// May run any number of times.
    Safe,
    /// May run once.
    Never,
    /// A stream that may go on at another worker after the last event delivered.
    Resume,
    /// A stream that may not be resumed, and so runs once.
    Stream,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_allowed(self) -> bool {
        matches!(self, Self::Safe | Self::Resume)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resume | Self::Stream)
    }
}

/// Which requests go where, and how.
#[derive(Debug, Clone, Serialize)]
pub struct Route {
    pub name: CompactString,
    pub host: CompactString,
    pub prefix: CompactString,
    pub repeat: Repeat,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth.
    pub target: Duration,
    /// Longest pause between events of a stream that is still on time; zero where none is stated.
    pub longest_pause: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub split: Vec<(id::Service, u32)>,
    /// Workers on which one request may run.
    pub most_workers: u32,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Connections that one backend server accepts, from all instances together.
    pub most_connections: u32,
    pub engine: Option<Engine>,
}

/// What the model engines of a service can hold.
#[derive(Debug, Clone, Serialize)]
pub struct Engine {
    pub batch: u32,
    pub cache: Tokens,
    pub memory: Bytes,
    pub adapter_places: usize,
    /// Loads from the weight store, over all workers.
    pub loads: Rate,
    pub models: BTreeMap<id::Model, Model>,
}

/// A model that engines can load.
#[derive(Debug, Clone, Serialize)]
pub struct Model {
    pub size: Bytes,
    pub load: Duration,
    pub adapters: u32,
    pub adapter_size: Bytes,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Limits {
    pub header: Bytes,
    pub body: Bytes,
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header: Bytes(16 << 10),
            body: Bytes(4 << 20),
            idle: Duration::from_secs(15),
        }
    }
}

impl Site {
    /// The route of a request: same host, longest prefix of its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()));
        matching.max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// The service for a request, by a draw in `0..1`.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&id::Service> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.split {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service)
    }
}
