//! The operator's configuration: routes, services and limits.

use super::id;
use super::unit::{Bytes, Rate, Tokens};
use super::workspace::Workspaces;
use crate::common::*;

/// Version of the operator's configuration; increases monotonically.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize)]
pub struct Version(pub u64);

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The operator's configuration in one version.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Site {
    pub version: Version,
    pub routes: Vec<Route>,
    pub services: BTreeMap<id::Service, Service>,
    pub limits: Limits,
    /// `None` if every caller is served.
    pub workspaces: Option<Workspaces>,
}

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Idempotent: may run any number of times.
    Safe,
    /// Not idempotent: may run once only.
    Never,
    /// A stream that can be resumed at another worker after the last event delivered.
    Resume,
    /// A stream that cannot be resumed and so may run once only.
    Stream,
}

impl Repeat {
    /// Whether a request that may have run already may be sent again.
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

/// A route: which requests it matches, to which services they go, and under which terms.
#[derive(Debug, Clone, Serialize)]
pub struct Route {
    pub name: CompactString,
    pub host: CompactString,
    pub prefix: CompactString,
    pub repeat: Repeat,
    /// Maximum time that a request may take.
    pub timeout: Duration,
    /// Target latency of an answer.
    pub target: Duration,
    /// Maximum gap between events of a stream that meets the target; zero if there is no such
    /// target.
    pub longest_pause: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Services between which the traffic is split, with their weights.
    pub split: Vec<(id::Service, u32)>,
    /// Maximum number of workers on which one request may run, retries included.
    pub most_workers: u32,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Maximum number of connections to one backend server, over all instances.
    pub most_connections: u32,
    /// `None` for plain services.
    pub engine: Option<Engine>,
}

/// Capacity of the model engine of each worker of a service.
#[derive(Debug, Clone, Serialize)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub batch: u32,
    /// Capacity of the KV cache.
    pub cache: Tokens,
    /// Memory for the weights of models.
    pub memory: Bytes,
    /// Maximum number of loaded adapters.
    pub adapter_places: usize,
    /// Allowed rate of loads from the weight store, over all workers.
    pub loads: Rate,
    pub models: BTreeMap<id::Model, Model>,
}

/// A model that engines can load.
#[derive(Debug, Clone, Serialize)]
pub struct Model {
    pub size: Bytes,
    /// Time that loading the model takes.
    pub load: Duration,
    /// Number of adapters of the model.
    pub adapters: u32,
    pub adapter_size: Bytes,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub header: Bytes,
    /// Maximum size of a request's body.
    pub body: Bytes,
    /// Time-out of a caller's connection while the head of a request is awaited.
    pub idle: Duration,
    /// Time-out of a head that has begun; `None` if only `idle` bounds it.
    pub head: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header: Bytes(16 << 10),
            body: Bytes(4 << 20),
            idle: Duration::from_secs(15),
            head: None,
        }
    }
}

impl Site {
    /// Returns the route with the request's host and the longest prefix of its path.
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
    /// Picks a service by weight, for a random number `draw` between 0 and 1.
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
