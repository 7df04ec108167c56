//! Load balancer: sends each request to the backend server with the least expected time to first
//! byte.
//!
//! An instance knows its own workload exactly, and that of its peers as of their last gossip. It
//! learns the speed of a server from the server's answers.

mod answers;
mod choose;
mod cost;
mod gossip;
mod prompt;
mod view;

pub use view::{View, Workload};

use super::brittle;
use super::limit::{Limits, Sharers, Usage};
use super::notice::Notices;
use super::speed::Speeds;
use crate::common::*;
use crate::world::backend::{self, Backend, Holdings};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::message::Generation;
use crate::world::site::{Service, Site};
use crate::world::unit::{Incarnation, Rate, float};
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of the peer names that stand for all instances of another data centre.
pub const AGGREGATE_PREFIX: &str = "sum.";

/// Requirements of a request on a backend server.
#[derive(Debug, Clone)]
pub struct Need {
    pub service: id::Service,
    pub generation: Option<Generation>,
    /// Random number in `0..2^64` that spreads requests over equally good servers.
    pub draw: u64,
}

/// Result of choosing a server for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The server to send to, with the expected seconds to its first byte.
    Send(id::Worker, f64),
    /// The service has usable servers, but none holds the model.
    NoModel,
    /// Some servers hold the model, but none of them the adapter.
    NoAdapter,
    /// Each server that could serve the request asked for a rest or has reached its rate limit; the
    /// first of them accepts requests again at this time.
    Throttled(Duration),
    /// No server of the service is usable.
    NoServer,
}

/// Load balancer of one instance, with its view of all servers.
#[derive(Debug, Default)]
pub struct Balancer {
    local_data_centre: id::DataCentre,
    regions: BTreeMap<id::DataCentre, id::Region>,
    views: BTreeMap<id::Worker, View>,
    services: BTreeMap<id::Service, Service>,
    speeds: Speeds,
    notices: Notices,
    limits: Limits,
    bounds: brittle::Bounds,
    /// Differs between instances, so that they don't risk rejections at the same moment.
    stagger_seed: u64,
    sharers: Sharers,
    /// Servers for which each peer last reported a workload, with the time of the report.
    reported_servers: Map<id::Instance, (Duration, Vec<id::Worker>)>,
    /// Ids of the servers by their keys in gossip datagrams.
    keys: Map<u64, id::Worker>,
}

impl Balancer {
    /// Returns a balancer without servers for an instance of this deployment.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            local_data_centre: deployment.data_centre.clone(),
            regions: deployment.regions.clone(),
            stagger_seed: xxh3_64(deployment.instance.as_str().as_bytes()),
            ..Self::default()
        }
    }

    /// Applies the services of the operator's settings.
    pub fn on_site(&mut self, site: &Site) {
        self.services = site.services.clone();
        let engines = site.services.values();
        for engine in engines.filter_map(|service| service.engine.as_ref()) {
            self.speeds.on_engine(engine);
        }
    }

    /// Whether the servers of a service have model engines.
    #[must_use]
    pub fn has_engine(&self, service: &id::Service) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Applies the entry of a server in the platform's list.
    pub fn on_listed(&mut self, mut backend: Backend) {
        if backend.leaving {
            self.notices.on_listed_leaving(&backend.id, backend.boot);
        }
        backend.leaving |= self.notices.is_leaving(&backend.id, backend.boot);
        let known = self.views.get_mut(&backend.id);
        match known {
            Some(view) if view.backend.boot == backend.boot => {
                let leaving = view.backend.leaving || backend.leaving;
                view.backend = backend;
                view.backend.leaving = leaving;
            }
            _ => {
                self.keys
                    .insert(backend::hash_id(&backend.id), backend.id.clone());
                self.views.insert(backend.id.clone(), View::new(backend));
            }
        }
    }

    /// Records that a server announced in an answer that it is leaving; returns whether this was
    /// unknown.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker, boot: Incarnation) -> bool {
        let is_new = self.notices.on_leaving(now, worker, boot);
        if let Some(view) = self.views.get_mut(worker) {
            view.backend.leaving |= self.notices.is_leaving(worker, view.backend.boot);
        }
        is_new
    }

    /// Returns the notices of servers, for their rows in the store.
    pub fn notices_mut(&mut self) -> &mut Notices {
        &mut self.notices
    }

    /// Records that a server asked for a rest; returns when the rest ends.
    pub fn on_rest(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        requested: Duration,
    ) -> Duration {
        self.notices.on_rest(now, worker, boot, requested)
    }

    /// Returns the rate limits that servers named in their answers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the rate limits for updates from answers and gossip.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Applies the bound on rejections that a server named in an answer, or its absence; returns whether
    /// the bound of the service has changed.
    pub fn on_max_rejections(
        &mut self,
        now: Duration,
        service: &id::Service,
        bound: Option<u32>,
    ) -> bool {
        self.bounds.on_answer(now, service, bound)
    }

    /// Records that a server rejected a request for want of room.
    pub fn on_rejected(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(view) = self.views.get_mut(worker) {
            view.exposure.on_rejected(now);
        }
    }

    /// Records how many instances share the rate limits of servers.
    pub fn on_sharers(&mut self, sharers: Sharers) {
        self.sharers = sharers;
    }

    /// Returns the usage of a server's rate limit, if it has one.
    #[must_use]
    pub fn usage(&self, now: Duration, worker: &id::Worker) -> Option<Usage> {
        self.usage_of(now, self.views.get(worker)?)
    }

    fn limit(&self, view: &View) -> Option<Rate> {
        self.limits.limit_for(&view.backend.id, view.backend.boot)
    }

    fn usage_of(&self, now: Duration, view: &View) -> Option<Usage> {
        let limit = self.limit(view)?;
        let peers = view.fresh_peers(now);
        let gossip_age = self.gossip_age(now);
        Some(Usage {
            limit,
            own: view.sent.recent(now, limit),
            requested: view.requested.recent(now, limit),
            others: peers.fold(0, |sum, (_, peer)| sum.saturating_add(peer.recent)),
            unreported: view.sent.within(now, gossip_age),
            sharers: self.sharers,
            gossip_age,
        })
    }

    /// Returns the leaving notices and rests that servers announced in their answers.
    #[must_use]
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Removes a server that is no longer listed.
    pub fn on_unlisted(&mut self, worker: &id::Worker) {
        self.views.remove(worker);
        self.keys.remove(&backend::hash_id(worker));
    }

    /// Returns the server with this key in gossip datagrams.
    #[must_use]
    pub fn server_by_key(&self, key: u64) -> Option<&id::Worker> {
        self.keys.get(&key)
    }

    /// Applies the models and adapters of a worker as reported by the holder of its lease; `closing`
    /// are the models about to be unloaded.
    pub fn on_holdings(
        &mut self,
        worker: &id::Worker,
        holdings: Holdings,
        closing: BTreeSet<id::Model>,
    ) {
        if let Some(view) = self.views.get_mut(worker) {
            view.backend.holdings = holdings;
            view.closing = closing;
        }
    }

    /// Returns the learned prompt-reading speeds of engines.
    #[must_use]
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Returns the state of one server.
    #[must_use]
    pub fn view(&self, worker: &id::Worker) -> Option<&View> {
        self.views.get(worker)
    }

    /// Returns the states of all servers.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }
}

/// Maps a random number to `0..1`.
fn to_unit_interval(draw: u64) -> f64 {
    float(draw >> 11) / float(1 << 53)
}
