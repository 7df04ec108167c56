//! What an instance tells its peers, and what it learns from them.

use super::event::{Heard, Word};
use super::traffic::{Holder, TIERS, Tier, Traffic};
use super::words;
use crate::common::*;
use crate::decide::balance::{Balance, Running, SUM};
use crate::decide::tally::Source;
use crate::decide::topology::{Sender, Standing};
use crate::wire::generated_gossip::{Demand, Gossip, Holding, Lead, Load, Loads, Want};
use crate::world::backend;
use crate::world::id;
use crate::world::message::Target;
use crate::world::shard::Shard;
use crate::world::unit::Incarnation;

/// Demand is told anew in whole after this time, for a holder that has just begun.
const DEMAND_AGAIN: Duration = Duration::from_secs(2);
/// Instances of each other data centre that are told what a holder tells, should one be lost.
const RELAYS: usize = 2;

impl Traffic {
    /// Takes a peer's datagram.
    pub fn on_gossip(&self, mut gossip: Gossip) {
        let now = self.clock.now();
        let Some(sender) = sender(&gossip) else {
            log::warn!("a datagram names no sender: it is not taken");
            return;
        };
        let hearing = self.topology.borrow_mut().on_heard(now, &sender);
        if hearing.standing == Standing::Outdated {
            return;
        }
        gossip.incarnation = hearing.start;
        if hearing.is_new_start {
            self.is_leaving_news.set(!self.leaving().is_empty());
            self.to_tell.notify_one();
        }
        if hearing.was_silent {
            self.demand_told_at.set([Duration::ZERO; TIERS]);
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
            topology.on_near_sum(now, gossip.instances);
        }
        let counts_twice = gossip.is_sum && !is_far && self.hears_all();
        if hearing.standing == Standing::Newest && !counts_twice {
            self.on_running(now, &sender, &gossip);
        }
        if !is_far && !gossip.is_sum {
            self.add_to_sum(&sender, &gossip);
        }
        let (heard, at) = self.heard_version.get();
        let at = if gossip.leads.is_empty() { at } else { now };
        self.heard_version
            .set((heard.max(gossip.servers_version), at));
        let heard = self.heard_configuration.get().max(gossip.configuration);
        if heard > self.heard_configuration.replace(heard) {
            self.set_interest(now);
        }
        self.on_leads(now, &gossip.leads, Some(sender.address));
        self.on_holdings(&gossip.holdings);
        self.on_crashes(now, &gossip.crashes);
        self.on_told_leaving(&gossip.leaving);
        self.on_told_limits(&gossip.limits);
        let batch = gossip.batch.as_ref();
        if let Some(batch) = batch.filter(|batch| !(batch.partial && self.is_holder())) {
            self.on_batch(batch);
        }
        if concerns_placer(&gossip) {
            self.hand(Heard::Gossip(Box::new(gossip)));
        }
    }

    /// Takes what runs at a peer, or at all of a data centre but this instance.
    fn on_running(&self, now: Duration, sender: &Sender, gossip: &Gossip) {
        let Some(running) = &gossip.running else {
            return;
        };
        let mut balance = self.balance.borrow_mut();
        let mut loads = decode_loads(&balance, running);
        if let Some(included) = &gossip.included {
            for (server, told) in decode_loads(&balance, included) {
                if let Some(all) = loads.get_mut(&server) {
                    *all = all.minus(told);
                }
            }
        }
        let source = if gossip.is_sum {
            format!("{SUM}{}", sender.data_centre)
                .parse()
                .unwrap_or_default()
        } else {
            sender.instance.clone()
        };
        balance.on_peer(now, &source, &loads);
    }

    /// Adds what a peer's callers asked for to the sum of this data centre.
    fn add_to_sum(&self, sender: &Sender, gossip: &Gossip) {
        let source = Source {
            instance: sender.instance.clone(),
            is_sum: false,
        };
        let incarnation = Incarnation(gossip.incarnation);
        let mut tally = self.tally.borrow_mut();
        let mut sums = self.sums.borrow_mut();
        for demand in &gossip.demands {
            if let Ok(target) = demand.target.parse::<Target>() {
                let added = tally.on_told(&source, incarnation, &target, demand.tokens);
                sums.entry(target).or_default().tokens += added;
            }
        }
    }

    fn on_leads(&self, now: Duration, leads: &[Lead], address: Option<SocketAddr>) {
        let holder = Holder {
            heard: now,
            address,
        };
        let mut holders = self.holders.borrow_mut();
        holders.extend(leads.iter().map(|lead| (Shard(lead.shard), holder)));
    }

    fn on_holdings(&self, holdings: &[Holding]) {
        for (worker, told) in holdings.iter().filter_map(words::decode_holding) {
            let mut held = self.held.borrow_mut();
            let is_old = !told.is_newer_than(held.get(&worker));
            let mut balance = self.balance.borrow_mut();
            let boot = balance.view(&worker).map(|view| view.backend.boot);
            if is_old || boot.is_some_and(|boot| boot > told.boot) {
                continue;
            }
            balance.on_holdings(&worker, told.holdings.clone(), told.closing.clone());
            held.insert(worker, told);
        }
        if !holdings.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Takes the word of this instance's own placer.
    pub fn on_word(&self, word: &Word) {
        let now = self.clock.now();
        self.set_interest(now);
        self.on_leads(now, &word.leads, None);
        self.on_holdings(&word.holdings);
        for (worker, boot, notice) in &word.notices {
            self.on_notice(worker, *boot, *notice);
        }
    }

    /// What to tell peers of a tier now: what runs here, or in the whole data centre.
    pub fn gossip(&self, tier: Tier) -> Gossip {
        let now = self.clock.now();
        let is_sum = tier != Tier::DataCentre;
        let loads = if is_sum {
            self.balance.borrow().near(now)
        } else {
            self.balance.borrow().own(now)
        };
        let tells_demand = tier != Tier::Here || self.topology.borrow().is_speaker(now);
        let demands = tells_demand.then(|| self.take_demands(now, tier));
        Gossip {
            running: Some(encode_loads(loads)),
            demands: demands.unwrap_or_default(),
            is_sum,
            pass_on: matches!(tier, Tier::Region | Tier::Far),
            instances: self.topology.borrow().heard_count(now),
            leaving: self.leaving(),
            ..self.envelope()
        }
    }

    /// A datagram with nothing but its sender.
    pub fn envelope(&self) -> Gossip {
        self.sequence.set(self.sequence.get() + 1);
        Gossip {
            instance: self.deployment.instance.to_string(),
            incarnation: self.incarnation.0,
            sequence: self.sequence.get(),
            data_centre: self.deployment.data_centre.to_string(),
            address: self.deployment.peers.to_string(),
            servers_version: self.roster.borrow().changed(),
            configuration: self.configuration(),
            reaches_store: self.reaches_store.get() && !self.is_stopping.get(),
            ..Gossip::default()
        }
    }

    fn take_demands(&self, now: Duration, tier: Tier) -> Vec<Demand> {
        let mut told_at = self.demand_told_at.get();
        let all = now >= told_at[tier as usize] + DEMAND_AGAIN;
        if all {
            told_at[tier as usize] = now;
            self.demand_told_at.set(told_at);
        }
        let demands = match tier {
            Tier::DataCentre => &self.demands,
            Tier::Here | Tier::Region | Tier::Far => &self.sums,
        };
        let mut demands = demands.borrow_mut();
        let told = demands.iter_mut();
        let told = told.filter(|(_, asked)| all || asked.tokens > asked.told[tier as usize]);
        let told = told.map(|(target, asked)| {
            asked.told[tier as usize] = asked.tokens;
            Demand {
                target: target.to_string(),
                tokens: asked.tokens,
            }
        });
        told.collect()
    }

    /// Adapters that requests wait for, of workers held here; those held elsewhere are returned
    /// with the addresses of their holders.
    pub fn take_wants(&self) -> Vec<(SocketAddr, Want)> {
        let now = self.clock.now();
        let wants = std::mem::take(&mut *self.new_wants.borrow_mut());
        let holders = self.holders.borrow();
        let mut own = self.envelope();
        let mut others = Vec::new();
        for (worker, target) in wants {
            let want = Want {
                target: target.to_string(),
                worker: worker.to_string(),
            };
            match holders.get(&Shard::for_worker(&worker)) {
                Some(holder) if holder.is_heard(now) => match holder.address {
                    Some(address) => others.push((address, want)),
                    None => own.wants.push(want),
                },
                _ => {}
            }
        }
        if !own.wants.is_empty() {
            self.hand(Heard::Gossip(Box::new(own)));
        }
        others
    }

    /// Has the own placer hear what this instance's callers ask for.
    pub fn tell_placer(&self, gossip: &Gossip) {
        if !gossip.demands.is_empty() && self.hears_all() {
            self.hand(Heard::Gossip(Box::new(gossip.clone())));
        }
    }

    /// Whether this instance holds a shard.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let mut heard = holders.values().filter(|holder| holder.is_heard(now));
        heard.any(|holder| holder.address.is_none())
    }

    /// Addresses of the other instances that hold shards.
    #[must_use]
    pub fn other_holders(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let heard = holders.values().filter(|holder| holder.is_heard(now));
        let addresses: BTreeSet<SocketAddr> = heard.filter_map(|it| it.address).collect();
        addresses.into_iter().collect()
    }

    /// Whether this instance holds the first of the shards that are held, and so plans.
    #[must_use]
    pub fn is_planner(&self) -> bool {
        self.is_among_holders(self.clock.now(), 1)
    }

    /// Whether this instance is to follow the list of servers: the planner, and one beside it
    /// should that fall silent.
    pub(super) fn follows_servers(&self, now: Duration) -> bool {
        self.is_among_holders(now, 2)
    }

    /// Whether this instance is among the first holders, in the order of their shards.
    fn is_among_holders(&self, now: Duration, first: usize) -> bool {
        let holders = self.holders.borrow();
        let heard = holders.values().filter(|holder| holder.is_heard(now));
        let mut addresses: Vec<Option<SocketAddr>> = Vec::new();
        for holder in heard {
            if !addresses.contains(&holder.address) {
                addresses.push(holder.address);
            }
        }
        addresses.iter().take(first).any(Option::is_none)
    }

    /// Whom this instance tells what runs at it: all peers of its data centre, or the hubs there.
    #[must_use]
    pub fn listeners(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        if topology.has_hubs(now) {
            topology.hubs(now)
        } else {
            topology.near()
        }
    }

    /// What each peer of this data centre told that runs at it, where this instance is a hub: the part of
    /// a sum that the peer knows better itself.
    #[must_use]
    pub fn included(&self) -> Vec<(SocketAddr, Loads)> {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        if !topology.has_hubs(now) || !topology.is_hub(now) {
            return Vec::new();
        }
        let balance = self.balance.borrow();
        let peers = topology.near_peers();
        let parts = peers.map(|(peer, address)| (address, encode_loads(balance.of_peer(peer))));
        parts.collect()
    }

    /// Addresses of all peers in this data centre.
    #[must_use]
    pub fn near(&self) -> Vec<SocketAddr> {
        self.topology.borrow().near()
    }

    /// Addresses in the data centres of a tier that are told the sum for this one; none where
    /// another instance speaks for it.
    #[must_use]
    pub fn told_of_sums(&self, tier: Tier) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut topology = self.topology.borrow_mut();
        if !topology.is_speaker(now) {
            return Vec::new();
        }
        topology.relays(now, 1, |data_centre| self.tier(data_centre) == tier)
    }

    /// Addresses in all other data centres that pass on what a holder tells.
    #[must_use]
    pub fn relays(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.topology.borrow_mut().relays(now, RELAYS, |_| true)
    }

    /// The address of the holder of a worker, where that is another instance.
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
        reaches_store: gossip.reaches_store,
        configuration: gossip.configuration,
    })
}

fn encode_loads(loads: BTreeMap<id::Worker, Running>) -> Loads {
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

/// Loads of the servers that are known here.
fn decode_loads(balance: &Balance, loads: &Loads) -> BTreeMap<id::Worker, Running> {
    let known = loads.loads.iter().filter_map(|load| {
        let running = Running {
            requests: load.requests,
            reading_us: load.reading_us,
            kept: load.kept,
            recent: load.recent,
        };
        Some((balance.server(load.server)?.clone(), running))
    });
    known.collect()
}

fn concerns_placer(gossip: &Gossip) -> bool {
    let says_nothing = gossip.leads.is_empty()
        && gossip.demands.is_empty()
        && gossip.wants.is_empty()
        && gossip.holdings.is_empty()
        && gossip.jobs.is_empty();
    !says_nothing
}
