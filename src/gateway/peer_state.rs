//! State that instances exchange by gossip: builds what is sent, and applies what is received.

use super::announcements;
use super::event::{Announcement, PlacerEvent};
use super::traffic::{Holder, TIERS, Tier, Traffic};
use crate::common::*;
use crate::decide::balance::{AGGREGATE_PREFIX, Balancer, Workload};
use crate::decide::follower::{self, Audience};
use crate::decide::tally::Source;
use crate::decide::topology::{Access, Freshness, Sender};
use crate::wire::generated_gossip::{Batch, Demand, Gossip, Holding, Lead, Load, Loads, Want};
use crate::world::backend;
use crate::world::id;
use crate::world::message::Target;
use crate::world::shard::Shard;
use crate::world::unit::{Era, Incarnation};

/// Interval at which demand is sent in full, so that a new holder learns of it.
const DEMAND_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Instances in each other data centre that receive a holder's announcements, in case one fails.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Number of starts of this process itself, which sees no other.
const OWN_START: u64 = 1;

impl Traffic {
    /// Applies a peer's datagram. Returns whether it may be news to others: not if it has changes
    /// of the server list that were known.
    pub fn on_gossip(&self, mut gossip: Gossip) -> bool {
        let now = self.clock.now();
        let Some(sender) = sender(&gossip) else {
            log::warn!("datagram without a valid sender dropped");
            return false;
        };
        if sender.instance == self.deployment.instance {
            log::debug!("datagram of this instance itself ignored: a peer sent it back");
            return false;
        }
        if self.on_quota_gossip(&gossip, sender.address) {
            return false;
        }
        let observation = self.topology.borrow_mut().on_datagram(now, &sender);
        if observation.freshness == Freshness::OlderIncarnation {
            return true;
        }
        self.on_peer_proofs(now, &sender, &gossip);
        gossip.incarnation = observation.start;
        if observation.is_new_start {
            self.has_newly_leaving.set(!self.leaving().is_empty());
            self.gossip_pending.notify_one();
        }
        if observation.was_silent {
            self.demand_sent_at.set([Duration::ZERO; TIERS]);
            let values = json!({"instance": sender.instance, "heard": true});
            self.journal.note("peer", &values);
        }
        let is_far = sender.data_centre != self.deployment.data_centre;
        if gossip.is_sum && is_far {
            let mut topology = self.topology.borrow_mut();
            topology.on_summary(now, &sender, gossip.instances);
        }
        if gossip.is_sum && !is_far {
            let mut topology = self.topology.borrow_mut();
            topology.on_hub_count(now, gossip.instances);
        }
        let is_already_counted = gossip.is_sum && !is_far && self.hears_all_peers();
        if observation.freshness == Freshness::Newest && !is_already_counted {
            self.on_peer_loads(now, &sender, &gossip);
        }
        if !is_far && !gossip.is_sum {
            self.add_peer_demand(&sender, &gossip);
        }
        self.on_peer_servers_version(now, &gossip);
        let newest_version = self
            .peer_configuration_version
            .get()
            .max(gossip.configuration);
        let is_news = newest_version > self.peer_configuration_version.replace(newest_version)
            || observation.has_access_changed;
        self.on_configuration_heard(now, newest_version);
        let has_newer = !is_far && gossip.configuration > self.configuration_version();
        if is_news || has_newer {
            self.update_subscription(now);
        }
        self.on_leads(now, &gossip.leads, Some(sender.address));
        self.on_holdings(&gossip.holdings, observation.start);
        self.on_peer_quarantine(now, &gossip);
        self.on_peer_leaving(&gossip.leaving);
        self.on_peer_limits(&gossip.limits);
        self.on_peer_streams(&gossip.streams);
        let batch = gossip.batch.as_ref();
        let batch = batch.filter(|batch| !(batch.partial && self.is_holder()));
        let is_news = batch.is_none_or(|batch| self.on_peer_batch(batch));
        if is_relevant_to_placer(&gossip) {
            self.notify_placer(PlacerEvent::Gossip(Box::new(gossip)));
        }
        is_news
    }

    /// Applies changes of the server list that a peer sent. Returns whether they were news.
    fn on_peer_batch(&self, batch: &Batch) -> bool {
        let before = self.roster.borrow().version();
        let Some(applied) = self.on_batch(batch) else {
            return true;
        };
        applied.is_news || self.roster.borrow().version() > before
    }

    /// Records which server list a peer has, and whether it announces leases. Neither counts if its
    /// era is unknown: such a peer may no longer be able to follow the store.
    fn on_peer_servers_version(&self, now: Duration, gossip: &Gossip) {
        let era = gossip.era.map(Era);
        if let Some(era) = era {
            self.on_era(era);
        }
        let version = self.eras.borrow().version(era, gossip.servers_version);
        let Some(version) = version else {
            return;
        };
        let (newest_version, at) = self.peer_servers_version.get();
        let at = if gossip.leads.is_empty() { at } else { now };
        self.peer_servers_version
            .set((newest_version.max(version), at));
    }

    /// Applies the load at a peer, or that of a whole data centre without this instance's share.
    fn on_peer_loads(&self, now: Duration, sender: &Sender, gossip: &Gossip) {
        let Some(running) = &gossip.running else {
            return;
        };
        let mut balance = self.balance.borrow_mut();
        let mut loads = decode_loads(&balance, running);
        if let Some(included) = &gossip.included {
            for (server, reported) in decode_loads(&balance, included) {
                if let Some(all) = loads.get_mut(&server) {
                    *all = all.minus(reported);
                }
            }
        }
        let source = if gossip.is_sum {
            format!("{AGGREGATE_PREFIX}{}", sender.data_centre)
                .parse()
                .unwrap_or_default()
        } else {
            sender.instance.clone()
        };
        balance.on_peer(now, &source, &loads);
    }

    /// Adds the demand of a peer's callers to the sum of this data centre.
    fn add_peer_demand(&self, sender: &Sender, gossip: &Gossip) {
        let source = Source {
            instance: sender.instance.clone(),
            is_sum: false,
        };
        let incarnation = Incarnation(gossip.incarnation);
        let mut tally = self.tally.borrow_mut();
        let mut demand_sums = self.demand_sums.borrow_mut();
        for demand in &gossip.demands {
            if let Ok(target) = demand.target.parse::<Target>() {
                let added = tally.on_total(&source, incarnation, &target, demand.tokens);
                demand_sums.entry(target).or_default().tokens += added;
            }
        }
    }

    fn on_leads(&self, now: Duration, leads: &[Lead], address: Option<SocketAddr>) {
        let mut holders = self.holders.borrow_mut();
        holders.extend(leads.iter().map(|lead| {
            let holder = Holder {
                last_heard_at: now,
                address,
                grants_quotas: lead.grants_quotas,
            };
            (Shard(lead.shard), holder)
        }));
    }

    fn on_holdings(&self, holdings: &[Holding], start: u64) {
        let decoded = holdings.iter();
        let decoded = decoded.filter_map(|it| announcements::decode_holding(it, start));
        for (worker, reported) in decoded {
            let mut held = self.worker_holdings.borrow_mut();
            let is_old = !reported.is_newer_than(held.get(&worker));
            let mut balance = self.balance.borrow_mut();
            let boot = balance.view(&worker).map(|view| view.backend.boot);
            if is_old || boot.is_some_and(|boot| boot > reported.boot) {
                continue;
            }
            balance.on_holdings(&worker, reported.holdings.clone(), reported.closing.clone());
            held.insert(worker, reported);
        }
        if !holdings.is_empty() {
            self.capacity_changed.notify_waiters();
        }
    }

    /// Applies an announcement of this instance's own placer.
    pub fn on_announcement(&self, announcement: &Announcement) {
        let now = self.clock.now();
        self.update_subscription(now);
        self.on_leads(now, &announcement.leads, None);
        self.on_tenures(&announcement.tenures);
        self.on_holdings(&announcement.holdings, OWN_START);
        for (worker, boot, notice) in &announcement.notices {
            self.on_notice(worker, *boot, *notice);
        }
    }

    /// Builds the datagram for a tier: the load at this instance, or at the whole data centre.
    pub fn build_gossip(&self, tier: Tier) -> Gossip {
        let now = self.clock.now();
        let is_sum = tier != Tier::DataCentre;
        let loads = if is_sum {
            self.balance.borrow().data_centre_workload(now)
        } else {
            self.balance.borrow().own_workload(now)
        };
        let includes_demand = tier != Tier::DataCentreSum || self.topology.borrow().is_speaker(now);
        let demands = includes_demand.then(|| self.take_demands(now, tier));
        Gossip {
            running: Some(encode_loads(loads)),
            demands: demands.unwrap_or_default(),
            is_sum,
            pass_on: matches!(tier, Tier::Region | Tier::Far),
            instances: self.topology.borrow().heard_local_count(now),
            leaving: self.leaving(),
            proofs: if is_sum || self.has_hubs() {
                Vec::new()
            } else {
                self.proofs_for_peers(now)
            },
            ..self.envelope()
        }
    }

    /// Builds a datagram with nothing but the sender's fields.
    pub fn envelope(&self) -> Gossip {
        self.sequence.set(self.sequence.get() + 1);
        let newest_change = self.roster.borrow().newest_change();
        let (access, is_stopping) = (self.store_access(self.clock.now()), self.is_stopping());
        Gossip {
            instance: self.deployment.instance.to_string(),
            incarnation: self.incarnation.0,
            sequence: self.sequence.get(),
            data_centre: self.deployment.data_centre.to_string(),
            address: self.deployment.peers.to_string(),
            servers_version: newest_change.number,
            era: newest_change.era.map(|era| era.0),
            configuration: self.configuration_version(),
            reaches_store: access != Access::Refused && !is_stopping,
            store_answered: access == Access::Confirmed
                || (is_stopping && access != Access::Refused),
            quarantine_digest: self.quarantine.borrow().digest(),
            sent_at_ms: self.stated_time_ms(),
            ..Gossip::default()
        }
    }

    fn take_demands(&self, now: Duration, tier: Tier) -> Vec<Demand> {
        let mut sent_at = self.demand_sent_at.get();
        let is_refresh_due = now >= sent_at[tier as usize] + DEMAND_REFRESH_INTERVAL;
        if is_refresh_due {
            sent_at[tier as usize] = now;
            self.demand_sent_at.set(sent_at);
        }
        let demands = match tier {
            Tier::DataCentre => &self.demands,
            Tier::DataCentreSum | Tier::Region | Tier::Far => &self.demand_sums,
        };
        let mut demands = demands.borrow_mut();
        let reported = demands.iter_mut();
        let reported = reported
            .filter(|(_, count)| is_refresh_due || count.tokens > count.sent[tier as usize]);
        let reported = reported.map(|(target, count)| {
            count.sent[tier as usize] = count.tokens;
            Demand {
                target: target.to_string(),
                tokens: count.tokens,
            }
        });
        reported.collect()
    }

    /// Takes the adapters that requests wait for. Those on workers held here go to this
    /// instance's placer; the others are returned with the addresses of their holders.
    pub fn take_adapter_requests(&self) -> Vec<(SocketAddr, Want)> {
        let now = self.clock.now();
        let wants = std::mem::take(&mut *self.new_adapter_requests.borrow_mut());
        let holders = self.holders.borrow();
        let mut own = self.envelope();
        let mut others = Vec::new();
        for (worker, target) in wants {
            let want = Want {
                target: target.to_string(),
                worker: worker.to_string(),
            };
            match holders.get(&Shard::for_worker(&worker)) {
                Some(holder) if holder.is_live(now) => match holder.address {
                    Some(address) => others.push((address, want)),
                    None => own.wants.push(want),
                },
                _ => {}
            }
        }
        if !own.wants.is_empty() {
            self.notify_placer(PlacerEvent::Gossip(Box::new(own)));
        }
        others
    }

    /// Sends the demand of this instance's callers to its own placer.
    pub fn notify_placer_of_demand(&self, gossip: &Gossip) {
        if !gossip.demands.is_empty() && self.hears_all_peers() {
            self.notify_placer(PlacerEvent::Gossip(Box::new(gossip.clone())));
        }
    }

    /// Whether this instance holds a shard.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let mut live_holders = holders.values().filter(|holder| holder.is_live(now));
        live_holders.any(|holder| holder.address.is_none())
    }

    /// Returns the addresses of the other instances that hold shards.
    #[must_use]
    pub fn other_holders(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let live_holders = holders.values().filter(|holder| holder.is_live(now));
        let addresses: BTreeSet<SocketAddr> = live_holders.filter_map(|it| it.address).collect();
        addresses.into_iter().collect()
    }

    /// Whether this instance plans placement: it holds the first of the held shards.
    #[must_use]
    pub fn is_planner(&self) -> bool {
        let holders = self.live_holders(self.clock.now());
        holders.first().is_some_and(|first| first.address.is_none())
    }

    /// Whether this instance reads the server list from the store as soon as it misses changes. In a
    /// large data centre the others wait for those that do.
    pub(super) fn reads_list(&self, now: Duration) -> bool {
        let topology = self.topology.borrow();
        !topology.has_hubs(now) || topology.is_reader(now)
    }

    /// Whether this instance follows the server list.
    pub(super) fn should_follow_servers(&self, now: Duration) -> bool {
        follower::should_follow(&self.live_holders(now), self.reads_list(now))
    }

    /// Whether this instance's polls for changes of the server list are brief.
    pub(super) fn polls_servers_briefly(&self, now: Duration) -> bool {
        !self.is_holder() || follower::is_last(&self.live_holders(now))
    }

    /// Returns whom this instance tells of changes of the server list that it has read.
    pub(super) fn list_audience(&self, now: Duration) -> Option<Audience> {
        let has_few_readers = self.topology.borrow().has_hubs(now);
        let holders = self.live_holders(now);
        follower::audience(&holders, self.reads_list(now), has_few_readers)
    }

    /// Whether the polls of this data centre's readers show for all others whether the store answers.
    pub(super) fn checks_store(&self) -> bool {
        let now = self.clock.now();
        self.topology.borrow().is_first_data_centre(now)
    }

    /// Returns the holders that were heard recently, in shard order.
    fn live_holders(&self, now: Duration) -> Vec<follower::Holder> {
        let holders = self.holders.borrow();
        let topology = self.topology.borrow();
        let live_holders = holders.values().filter(|holder| holder.is_live(now));
        let live_holders = live_holders.map(|holder| follower::Holder {
            address: holder.address,
            reaches_store: match holder.address {
                None => self.reaches_store.get(),
                Some(address) => topology.reaches_store(address),
            },
        });
        live_holders.collect()
    }

    /// Returns the peers that receive this instance's load: the hubs of the data centre, or all
    /// its peers.
    #[must_use]
    pub fn load_recipients(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        if topology.has_hubs(now) {
            topology.hubs(now)
        } else {
            topology.local_addresses()
        }
    }

    /// If this instance is a hub, returns what each peer gets in addition to the sum: its own part of
    /// it, which the peer subtracts because it knows that part better, and a proof that the
    /// configuration is current.
    #[must_use]
    pub fn included_loads(&self) -> Vec<(SocketAddr, Gossip)> {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        if !topology.has_hubs(now) || !topology.is_hub(now) {
            return Vec::new();
        }
        let balance = self.balance.borrow();
        let peers = topology.local_peers();
        let parts = peers.map(|(peer, address)| {
            let part = Gossip {
                included: Some(encode_loads(balance.peer_workload(peer))),
                proofs: self.proof_for(now, peer).into_iter().collect(),
                ..Gossip::default()
            };
            (address, part)
        });
        parts.collect()
    }

    /// Returns the addresses of all peers in this data centre.
    #[must_use]
    pub fn data_centre_peers(&self) -> Vec<SocketAddr> {
        self.topology.borrow().local_addresses()
    }

    /// Returns the addresses in a tier that receive this data centre's sum; none if another
    /// instance speaks for it.
    #[must_use]
    pub fn sum_recipients(&self, tier: Tier) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut topology = self.topology.borrow_mut();
        if !topology.is_speaker(now) {
            return Vec::new();
        }
        topology.relays(now, 1, |data_centre| self.tier_of(data_centre) == tier)
    }

    /// Returns the addresses in other data centres that forward a holder's announcements.
    #[must_use]
    pub fn relays(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.topology
            .borrow_mut()
            .relays(now, RELAYS_PER_DATA_CENTRE, |_| true)
    }

    /// Returns the address of a worker's holder, if that is another instance.
    #[must_use]
    pub fn holder_address(&self, worker: &id::Worker) -> Option<SocketAddr> {
        self.holders
            .borrow()
            .get(&Shard::for_worker(worker))?
            .address
    }
}

fn sender(gossip: &Gossip) -> Option<Sender> {
    Some(Sender {
        instance: gossip.instance.parse().ok()?,
        address: gossip.address.parse().ok()?,
        data_centre: gossip.data_centre.parse().ok()?,
        incarnation: gossip.incarnation,
        sequence: gossip.sequence,
        access: match (gossip.reaches_store, gossip.store_answered) {
            (false, false) => Access::Refused,
            (false, true) => Access::Stopping,
            (true, true) => Access::Confirmed,
            (true, false) => Access::Assumed,
        },
        configuration: gossip.configuration,
    })
}

fn encode_loads(loads: BTreeMap<id::Worker, Workload>) -> Loads {
    let loads = loads.into_iter().map(|(server, running)| Load {
        server: backend::hash_id(&server),
        requests: running.requests,
        reading_us: running.reading_us,
        kept: running.kept,
        recent: running.recent,
    });
    Loads {
        loads: loads.collect(),
    }
}

/// Decodes loads, skipping unknown servers.
fn decode_loads(balance: &Balancer, loads: &Loads) -> BTreeMap<id::Worker, Workload> {
    let known = loads.loads.iter().filter_map(|load| {
        let running = Workload {
            requests: load.requests,
            reading_us: load.reading_us,
            kept: load.kept,
            recent: load.recent,
        };
        Some((balance.server_by_key(load.server)?.clone(), running))
    });
    known.collect()
}

fn is_relevant_to_placer(gossip: &Gossip) -> bool {
    let is_empty_for_placer = gossip.leads.is_empty()
        && gossip.demands.is_empty()
        && gossip.wants.is_empty()
        && gossip.holdings.is_empty()
        && gossip.jobs.is_empty();
    !is_empty_for_placer
}
