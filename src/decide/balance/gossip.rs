//! Workloads that instances report to each other.

use super::view::{PEER_REPORT_TTL, View, Workload};
use super::{AGGREGATE_PREFIX, Balancer};
use crate::common::*;
use crate::world::id;

/// Mean age of a peer's report and of an aggregate report on arrival: half of the gossip interval
/// at each hop, and the network latency.
const PEER_REPORT_AGE: Duration = Duration::from_millis(100);
const AGGREGATE_REPORT_AGE: Duration = Duration::from_millis(300);

impl Balancer {
    /// Applies a peer's report of its workload at all servers. A server that the report no longer
    /// contains has no workload of this peer.
    pub fn on_peer(
        &mut self,
        now: Duration,
        peer: &id::Instance,
        loads: &BTreeMap<id::Worker, Workload>,
    ) {
        let reported_servers = loads.keys().cloned().collect();
        let previous = self
            .reported_servers
            .insert(peer.clone(), (now, reported_servers));
        let mut current = loads.keys().peekable();
        for worker in previous.unwrap_or_default().1 {
            while current.next_if(|it| **it < worker).is_some() {}
            if current.peek() != Some(&&worker)
                && let Some(view) = self.views.get_mut(&worker)
            {
                view.peers.remove(peer);
            }
        }
        for (worker, running) in loads {
            if let Some(view) = self.views.get_mut(worker) {
                view.on_peer(now, peer, *running);
            }
        }
    }

    /// Returns the workload of this instance, by server.
    #[must_use]
    pub fn own_workload(&self, now: Duration) -> BTreeMap<id::Worker, Workload> {
        self.reportable_workload(|view| self.own_workload_at(now, view))
    }

    /// Returns the workloads computed by `running` that must be reported to peers, by server.
    fn reportable_workload(
        &self,
        running: impl Fn(&View) -> Workload,
    ) -> BTreeMap<id::Worker, Workload> {
        let views = self.views.iter();
        let current = views.filter_map(|(worker, view)| {
            let running = running(view);
            running.is_reportable().then(|| (worker.clone(), running))
        });
        current.collect()
    }

    fn own_workload_at(&self, now: Duration, view: &View) -> Workload {
        let limit = self.limit(view);
        Workload {
            recent: limit.map_or(0, |limit| view.sent.recent(now, limit)),
            ..view.own
        }
    }

    /// Returns the workload that one peer last reported, by server.
    #[must_use]
    pub fn peer_workload(&self, peer: &id::Instance) -> BTreeMap<id::Worker, Workload> {
        let servers = self
            .reported_servers
            .get(peer)
            .into_iter()
            .flat_map(|(_, reported_servers)| reported_servers);
        let current = servers.filter_map(|server| {
            let (_, running) = self.views.get(server)?.peers.get(peer)?;
            Some((server.clone(), *running))
        });
        current.collect()
    }

    /// Returns the workload of this instance and its peers in the data centre, by server.
    #[must_use]
    pub fn data_centre_workload(&self, now: Duration) -> BTreeMap<id::Worker, Workload> {
        self.reportable_workload(|view| {
            let peers = view.fresh_peers(now);
            let peers = peers.filter(|(peer, _)| !peer.as_str().starts_with(AGGREGATE_PREFIX));
            let own = self.own_workload_at(now, view);
            peers.fold(own, |sum, (_, running)| sum.plus(running))
        })
    }

    /// Returns the mean age of the workloads of other instances at the time of a request, over all
    /// recent reports.
    pub(super) fn gossip_age(&self, now: Duration) -> Duration {
        let current = self
            .reported_servers
            .iter()
            .filter(|(_, (at, _))| now < *at + PEER_REPORT_TTL);
        let ages = current.map(|(peer, (at, _))| {
            let is_aggregate = peer.as_str().starts_with(AGGREGATE_PREFIX);
            now.saturating_sub(*at)
                + if is_aggregate {
                    AGGREGATE_REPORT_AGE
                } else {
                    PEER_REPORT_AGE
                }
        });
        let (sum, count) = ages.fold((Duration::ZERO, 0), |(sum, count), age| {
            (sum + age, count + 1)
        });
        sum.checked_div(count).unwrap_or_default()
    }
}
