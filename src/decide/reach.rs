//! Whether this instance has a path to the servers of each service.
//!
//! One server that accepts no connection is down, or its path is. Several of them within a short time,
//! with none that accepts one in between, mean that this instance itself is cut off. The evidence is new
//! connections only: those that are open may go on working after new ones fail, or hang without a reset.
//! The belief may be wrong when half of the servers are down, so that what follows from it must be safe then
//! too.

use crate::common::*;
use crate::world::id;

/// Time after which a failed connection is no evidence any more.
const EVIDENCE_TTL: Duration = Duration::from_secs(5);
/// Time within which another server must be heard to show that one that refused a connection has ended.
const DOUBT_TTL: Duration = Duration::from_secs(2);
/// Number of servers without a path that are enough, however many servers the service has.
const MAX_EVIDENCE: usize = 6;
/// Number of servers that must accept a connection before the path counts as restored.
const RESTORING_SERVERS: usize = 2;
/// Interval between checks of a lost path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A service that sends nothing for this long although requests wait is checked.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(250);

/// Change of the belief about a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    Lost,
    Restored,
}

/// What is known of the path to the servers of one service.
#[derive(Debug, Default, Serialize)]
struct Path {
    /// Servers that accepted no connection since another one did, with the time of the last failure.
    unreached: BTreeMap<id::Worker, Duration>,
    /// Servers that refused a connection while others could not be reached either: they have ended, or the path
    /// is lost.
    doubtful: BTreeMap<id::Worker, Duration>,
    lost_at: Option<Duration>,
    /// Servers that accepted a connection since the path was lost.
    restored: BTreeSet<id::Worker>,
    heard_at: Duration,
    checked_at: Option<Duration>,
    /// Number of servers that were checked, for the rotation.
    checked_count: usize,
}

/// Paths of one instance to the servers of all services.
#[derive(Debug, Default, Serialize)]
pub struct Reach {
    paths: BTreeMap<id::Service, Path>,
}

impl Reach {
    /// Records that bytes from a server of the service arrived.
    pub fn on_heard(&mut self, now: Duration, service: &id::Service) {
        match self.paths.get_mut(service) {
            Some(path) => path.heard_at = now,
            None => self.path(service).heard_at = now,
        }
    }

    /// Records that one of `server_count` servers of a service accepted a connection and kept it open.
    pub fn on_connected(
        &mut self,
        service: &id::Service,
        worker: &id::Worker,
        server_count: usize,
    ) -> Option<Change> {
        let path = self.path(service);
        path.unreached.clear();
        path.lost_at?;
        path.restored.insert(worker.clone());
        if path.restored.len() < RESTORING_SERVERS.min(server_count) {
            return None;
        }
        path.lost_at = None;
        path.restored.clear();
        Some(Change::Restored)
    }

    /// Records that one of `server_count` servers of a service could not be connected to.
    pub fn on_unreached(
        &mut self,
        now: Duration,
        service: &id::Service,
        worker: &id::Worker,
        server_count: usize,
    ) -> Option<Change> {
        let path = self.path(service);
        path.restored.remove(worker);
        path.unreached.insert(worker.clone(), now);
        path.unreached.retain(|_, at| now < *at + EVIDENCE_TTL);
        if path.lost_at.is_some() || path.unreached.len() < evidence_needed(server_count) {
            return None;
        }
        path.lost_at = Some(now);
        path.checked_at = Some(now);
        path.doubtful.clear();
        Some(Change::Lost)
    }

    /// Records that a server refused a connection, after [`Self::on_unreached`]; returns whether that means that the
    /// server has ended.
    pub fn on_refused(
        &mut self,
        now: Duration,
        service: &id::Service,
        worker: &id::Worker,
    ) -> bool {
        let path = self.path(service);
        let is_alone = path.unreached.keys().all(|unreached| unreached == worker);
        if !is_alone && path.lost_at.is_none() {
            path.doubtful.insert(worker.clone(), now);
        }
        is_alone
    }

    /// Returns the servers that have ended after all, since another one, `heard`, is in reach.
    pub fn take_ended(
        &mut self,
        now: Duration,
        service: &id::Service,
        heard: &id::Worker,
    ) -> Vec<id::Worker> {
        let path = self.paths.get_mut(service);
        let Some(path) = path.filter(|path| !path.doubtful.is_empty()) else {
            return Vec::new();
        };
        let still_doubtful = path.doubtful.remove_entry(heard);
        let ended = std::mem::take(&mut path.doubtful).into_iter();
        let ended = ended.filter(|(_, at)| now < *at + DOUBT_TTL);
        let ended = ended.map(|(worker, _)| worker).collect();
        path.doubtful.extend(still_doubtful);
        ended
    }

    /// Whether this instance has no path to the servers of a service.
    #[must_use]
    pub fn is_lost(&self, service: &id::Service) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| path.lost_at.is_some())
    }

    /// Returns for how long a path has been lost.
    #[must_use]
    pub fn lost_for(&self, now: Duration, service: &id::Service) -> Option<Duration> {
        let lost_at = self.paths.get(service)?.lost_at?;
        Some(now.saturating_sub(lost_at))
    }

    /// Returns the services to whose servers the path is lost.
    pub fn lost_services(&self) -> impl Iterator<Item = &id::Service> {
        let paths = self.paths.iter();
        paths
            .filter(|(_, path)| path.lost_at.is_some())
            .map(|(service, _)| service)
    }

    /// Returns which of the `servers` of a service to check now, because its path is lost.
    pub fn checks(
        &mut self,
        now: Duration,
        service: &id::Service,
        servers: &[id::Worker],
    ) -> Vec<id::Worker> {
        if !self.is_lost(service) {
            return Vec::new();
        }
        self.take_checks(now, service, servers, RESTORING_SERVERS)
    }

    /// Returns which of the `servers` of a service to check now, because a request waits there for
    /// longer than expected: as many as it takes to tell, if no server of the service has sent
    /// anything either.
    pub fn checks_after_silence(
        &mut self,
        now: Duration,
        service: &id::Service,
        servers: &[id::Worker],
    ) -> Vec<id::Worker> {
        let path = self.path(service);
        if now < path.heard_at + SUSPICIOUS_SILENCE {
            return Vec::new();
        }
        self.take_checks(now, service, servers, evidence_needed(servers.len()))
    }

    fn take_checks(
        &mut self,
        now: Duration,
        service: &id::Service,
        servers: &[id::Worker],
        count: usize,
    ) -> Vec<id::Worker> {
        let path = self.path(service);
        let is_early = path.checked_at.is_some_and(|at| now < at + CHECK_INTERVAL);
        if is_early || servers.is_empty() {
            return Vec::new();
        }
        path.checked_at = Some(now);
        let first = path.checked_count;
        let count = count.min(servers.len());
        path.checked_count = (first + count) % servers.len();
        let rotation = servers.iter().cycle().skip(first % servers.len());
        rotation.take(count).cloned().collect()
    }

    fn path(&mut self, service: &id::Service) -> &mut Path {
        self.paths.entry(service.clone()).or_default()
    }
}

/// Number of servers without a path that mean that the path to the whole service is lost.
fn evidence_needed(server_count: usize) -> usize {
    server_count
        .div_ceil(2)
        .clamp(2, MAX_EVIDENCE)
        .min(server_count.max(1))
}
