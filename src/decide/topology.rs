//! The instances known to this one, and the roles that decide which of them exchange gossip.
//!
//! Within a data centre every instance sends to every other one, or to hubs if there are many
//! instances. Between data centres, one instance of each, its speaker, sends a summary on behalf of
//! all; the receiver forwards it within its own data centre. The number of messages per instance
//! therefore grows with the size of its data centre and not with the size of the site.

use crate::common::*;
use crate::world::deployment::Deployment;
use crate::world::id;
use xxhash_rust::xxh3::xxh3_64;

/// Time without a datagram after which a peer is not chosen as speaker, hub, broadcaster or reader.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a datagram after which a peer counts as silent and is left out of the instance
/// counts.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest number of instances in a data centre at which each reports its running requests to all
/// others. In larger ones they report to hubs, which send the sum to all, so that datagrams grow
/// linearly with the number of instances and not with its square.
const MAX_DIRECT_INSTANCES: u32 = 8;
/// Number of hubs of a data centre: if one is lost, the other continues.
const HUB_COUNT: usize = 2;
/// Number of instances that send heartbeats to their whole data centre if it has hubs. Hubs,
/// speakers and readers are chosen among them, and several may be lost at once. The other
/// instances send theirs to hubs only.
const BROADCASTER_COUNT: usize = 6;

/// Number of instances of a data centre that read the configuration from the store; the others get
/// it from them.
const READER_COUNT: usize = 2;
/// Largest number of readers. Until the store has answered the first ones, as many more read for each
/// instance that it does not answer, since it may not answer the next ones either.
const MAX_READER_COUNT: usize = 6;
/// Time that an instance sends heartbeats before it counts itself among the readers of a data centre
/// with hubs, unless the store is known to answer it: the others in the same situation, which sent none
/// either, are heard by then.
const INTRODUCTION_TIME: Duration = Duration::from_millis(500);

/// State of another instance, as last heard or listed.
#[derive(Debug, Clone)]
struct Member {
    address: SocketAddr,
    data_centre: id::DataCentre,
    incarnation: u64,
    sequence: u64,
    /// Number of its incarnations that were heard.
    start_count: u64,
    heard_at: Option<Duration>,
    access: Access,
    configuration: u64,
}

/// Whether the store answers an instance, as that instance last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It has answered a call within the last seconds.
    Confirmed,
    /// No call has failed since its last answer.
    Assumed,
    /// It answers, but the instance stops and reads no longer.
    Stopping,
    /// It did not answer the last call.
    Refused,
}

impl Access {
    /// Whether an instance may read from the store.
    fn may_read(self) -> bool {
        matches!(self, Self::Confirmed | Self::Assumed)
    }
}

/// A datagram's sender, as it describes itself.
#[derive(Debug, Clone)]
pub struct Sender {
    pub instance: id::Instance,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    pub incarnation: u64,
    pub sequence: u64,
    pub access: Access,
    /// Version of the configuration that the sender has in force.
    pub configuration: u64,
}

/// Order of a datagram relative to those already received from its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// A later incarnation of the sender is known.
    OlderIncarnation,
    /// A later datagram of the same incarnation was received before.
    Superseded,
    Newest,
}

/// What the receiver learns from a datagram's header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    pub freshness: Freshness,
    /// Whether the sender was silent before.
    pub was_silent: bool,
    /// Whether this is the first datagram of this incarnation of the sender.
    pub is_new_start: bool,
    /// Whether the store began or ceased to answer the sender, or is known to answer it.
    pub has_access_changed: bool,
    /// Number of the sender's incarnations heard so far. Unlike the incarnation itself it never
    /// decreases, even if the sender's system clock was set back.
    pub start: u64,
}

/// Summary that another data centre's speaker sent.
#[derive(Debug, Clone)]
struct Summary {
    speaker: SocketAddr,
    heard_at: Duration,
    instances: u32,
}

/// All instances, as seen by one of them.
#[derive(Debug)]
pub struct Topology {
    local_instance: id::Instance,
    local_data_centre: id::DataCentre,
    members: BTreeMap<id::Instance, Member>,
    summaries: BTreeMap<id::DataCentre, Summary>,
    /// Number of instances of this data centre that a hub last reported, with the time of the
    /// report.
    count_by_hub: Option<(Duration, u32)>,
    rotation: usize,
    /// Whether the list of instances in the store was read.
    is_list_read: bool,
    /// Largest number of instances ever counted.
    max_count: u32,
    /// Whether the store answers this instance.
    local_access: Access,
    /// Since when this instance sends heartbeats to its whole data centre.
    broadcasting_since: Option<Duration>,
    /// Since when a peer of this data centre is not refused by the store, as far as it has told.
    reaching_since: Option<Duration>,
}

impl Topology {
    /// Creates a topology without peers.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            local_instance: deployment.instance.clone(),
            local_data_centre: deployment.data_centre.clone(),
            members: BTreeMap::new(),
            summaries: BTreeMap::new(),
            count_by_hub: None,
            rotation: 0,
            is_list_read: false,
            max_count: 1,
            local_access: Access::Assumed,
            broadcasting_since: None,
            reaching_since: None,
        }
    }

    /// Records whether the store answers this instance; returns whether that has changed.
    pub fn on_access(&mut self, access: Access) -> bool {
        std::mem::replace(&mut self.local_access, access) != access
    }

    /// Updates since when this instance sends heartbeats, and since when the store answers a peer.
    pub fn tick(&mut self, now: Duration) {
        let is_broadcaster = self.is_broadcaster(now);
        let is_reaching = self
            .live_locals(now)
            .any(|(_, member)| member.access.may_read());
        update_since(&mut self.broadcasting_since, now, is_broadcaster);
        update_since(&mut self.reaching_since, now, is_reaching);
    }

    /// Whether the store has not refused a peer of this data centre for at least `time`.
    #[must_use]
    pub fn has_reaching_peer(&self, now: Duration, time: Duration) -> bool {
        self.reaching_since.is_some_and(|since| now >= since + time)
    }

    /// Adds an instance from the list in the store.
    pub fn on_listed(
        &mut self,
        instance: id::Instance,
        address: SocketAddr,
        data_centre: id::DataCentre,
    ) {
        if instance == self.local_instance {
            return;
        }
        let member = self.members.entry(instance).or_insert(Member {
            address,
            data_centre: data_centre.clone(),
            incarnation: 0,
            sequence: 0,
            start_count: 0,
            heard_at: None,
            access: Access::Assumed,
            configuration: 0,
        });
        if member.heard_at.is_none() {
            member.address = address;
            member.data_centre = data_centre;
        }
    }

    /// Records that the whole list of instances in the store was read.
    pub fn on_list_read(&mut self) {
        self.is_list_read = true;
    }

    /// Records the sender of a datagram.
    pub fn on_datagram(&mut self, now: Duration, sender: &Sender) -> Receipt {
        let member = self.members.entry(sender.instance.clone());
        let member = member.or_insert(Member {
            address: sender.address,
            data_centre: sender.data_centre.clone(),
            incarnation: 0,
            sequence: 0,
            start_count: 0,
            heard_at: None,
            access: Access::Assumed,
            configuration: 0,
        });
        let was_silent = !is_recent(now, member.heard_at, SILENCE_TIMEOUT);
        let receipt = |freshness, member: &Member| Receipt {
            freshness,
            was_silent: was_silent && freshness != Freshness::OlderIncarnation,
            is_new_start: false,
            has_access_changed: false,
            start: member.start_count,
        };
        if sender.incarnation < member.incarnation && !was_silent {
            return receipt(Freshness::OlderIncarnation, member);
        }
        member.heard_at = Some(now);
        member.address = sender.address;
        member.data_centre.clone_from(&sender.data_centre);
        if sender.incarnation == member.incarnation && sender.sequence <= member.sequence {
            return receipt(Freshness::Superseded, member);
        }
        let is_new_start = sender.incarnation != member.incarnation;
        member.start_count += u64::from(is_new_start);
        member.incarnation = sender.incarnation;
        member.sequence = sender.sequence;
        let has_access_changed = member.access != sender.access;
        member.access = sender.access;
        member.configuration = sender.configuration;
        Receipt {
            is_new_start,
            has_access_changed,
            ..receipt(Freshness::Newest, member)
        }
    }

    /// Records the summary of another data centre, sent by its speaker.
    pub fn on_summary(&mut self, now: Duration, sender: &Sender, instances: u32) {
        let summary = Summary {
            speaker: sender.address,
            heard_at: now,
            instances,
        };
        self.summaries.insert(sender.data_centre.clone(), summary);
    }

    /// Records the number of instances of this data centre that a hub hears.
    pub fn on_hub_count(&mut self, now: Duration, instances: u32) {
        self.count_by_hub = Some((now, instances));
    }

    /// Whether this instance sends heartbeats to its whole data centre: it is among the first live
    /// instances in the order of [`Self::rank`].
    #[must_use]
    pub fn is_broadcaster(&self, now: Duration) -> bool {
        self.rank(now) < BROADCASTER_COUNT
    }

    /// Number of live peers of this data centre before this instance: by name, and those that can't read
    /// from the store after all others.
    fn rank(&self, now: Duration) -> usize {
        let key = (!self.local_access.may_read(), &self.local_instance);
        let preceding = self
            .live_locals(now)
            .filter(|(peer, member)| (!member.access.may_read(), *peer) < key);
        preceding.count()
    }

    /// Number of instances of this data centre that should read the configuration.
    fn wanted_readers(&self, now: Duration) -> usize {
        let locals = self.live_locals(now);
        let locals = locals.map(|(peer, member)| (peer, member.access));
        let mut locals: Vec<_> = locals
            .chain([(&self.local_instance, self.local_access)])
            .collect();
        locals.sort_unstable_by_key(|(peer, access)| (!access.may_read(), *peer));
        let refused = locals.iter().filter(|(_, it)| *it == Access::Refused);
        let refused = refused.count();
        let mut first = locals.iter().take(READER_COUNT);
        if refused == 0 || first.all(|(_, access)| *access == Access::Confirmed) {
            READER_COUNT
        } else {
            (READER_COUNT * (1 + refused)).min(MAX_READER_COUNT)
        }
    }

    /// Whether this instance is its data centre's speaker: the first by name of the live instances.
    #[must_use]
    pub fn is_speaker(&self, now: Duration) -> bool {
        let preceding = self.members.range(..self.local_instance.clone());
        let mut local =
            preceding.filter(|(_, member)| member.data_centre == self.local_data_centre);
        local.all(|(_, member)| !is_recent(now, member.heard_at, LIVENESS_TIMEOUT))
    }

    /// Whether instances of this data centre report running requests to hubs and not to each other.
    #[must_use]
    pub fn has_hubs(&self, now: Duration) -> bool {
        self.local_count(now) > MAX_DIRECT_INSTANCES
    }

    /// Whether this instance is a hub: it is among the first by name of the live instances.
    #[must_use]
    pub fn is_hub(&self, now: Duration) -> bool {
        let preceding = self
            .live_locals(now)
            .filter(|(peer, _)| **peer < self.local_instance);
        preceding.count() < HUB_COUNT
    }

    /// Returns the hubs of this data centre, other than this instance.
    #[must_use]
    pub fn hubs(&self, now: Duration) -> Vec<SocketAddr> {
        let others = HUB_COUNT - usize::from(self.is_hub(now));
        let live = self.live_locals(now).take(others);
        live.map(|(_, member)| member.address).collect()
    }

    /// Returns the live peers of this data centre, ordered by name.
    fn live_locals(&self, now: Duration) -> impl Iterator<Item = (&id::Instance, &Member)> {
        let local = self.members.iter();
        local.filter(move |(_, member)| {
            member.data_centre == self.local_data_centre
                && is_recent(now, member.heard_at, LIVENESS_TIMEOUT)
        })
    }

    /// Whether the store answers the instance with this address, as far as it has told.
    #[must_use]
    pub fn reaches_store(&self, address: SocketAddr) -> bool {
        let mut members = self.members.values();
        members
            .find(|member| member.address == address)
            .is_none_or(|member| member.access.may_read())
    }

    /// Returns the peers of this data centre with their addresses.
    pub fn local_peers(&self) -> impl Iterator<Item = (&id::Instance, SocketAddr)> {
        let local = self.members.iter();
        let local = local.filter(|(_, member)| member.data_centre == self.local_data_centre);
        local.map(|(peer, member)| (peer, member.address))
    }

    /// Returns the peers that may carry requests, with their data centres: in the own one those that are heard, in
    /// others all that are known.
    pub fn carriers(&self, now: Duration) -> impl Iterator<Item = (SocketAddr, &id::DataCentre)> {
        let members = self.members.values();
        let members = members.filter(move |member| {
            member.data_centre != self.local_data_centre
                || is_recent(now, member.heard_at, LIVENESS_TIMEOUT)
        });
        members.map(|member| (member.address, &member.data_centre))
    }

    /// Whether this instance reads the configuration from the store. While the store answers nobody, the
    /// number of readers stays small, so that few read at its return.
    #[must_use]
    pub fn is_reader(&self, now: Duration) -> bool {
        let is_known = || {
            let since = self.broadcasting_since;
            since.is_some_and(|since| now >= since + INTRODUCTION_TIME)
        };
        let is_confirmed = self.local_access == Access::Confirmed;
        self.rank(now) < self.wanted_readers(now)
            && (is_confirmed || !self.has_hubs(now) || is_known())
    }

    /// Number of live instances of this data centre that read the configuration.
    #[must_use]
    pub fn reader_count(&self, now: Duration) -> usize {
        let instances = self.live_locals(now).count() + 1;
        self.wanted_readers(now).min(instances)
    }

    /// Whether the store does not answer a live instance of this data centre.
    #[must_use]
    pub fn has_refused(&self, now: Duration) -> bool {
        let mut locals = self.live_locals(now);
        self.local_access == Access::Refused
            || locals.any(|(_, member)| member.access == Access::Refused)
    }

    /// Returns the live peers of this data centre that read the configuration and that the store
    /// answers, as far as they have told.
    #[must_use]
    pub fn readers(&self, now: Duration) -> Vec<SocketAddr> {
        let reaching = self
            .live_locals(now)
            .filter(|(_, member)| member.access.may_read());
        let readers = reaching.take(self.wanted_readers(now));
        readers.map(|(_, member)| member.address).collect()
    }

    /// Whether this instance's data centre is the first by name of those that are heard. Its readers
    /// notice soon if the store does not answer them; the others hear of a configuration from there.
    #[must_use]
    pub fn is_first_data_centre(&self, now: Duration) -> bool {
        let mut preceding = self.summaries.range(..self.local_data_centre.clone());
        preceding.all(|(_, summary)| now >= summary.heard_at + LIVENESS_TIMEOUT)
    }

    /// Returns a live peer of this data centre that has a newer configuration in force than `known`,
    /// and its version: one of those with the newest. Instances that ask at the same time get
    /// different peers where there are several.
    #[must_use]
    pub fn configuration_source(&self, now: Duration, known: u64) -> Option<(SocketAddr, u64)> {
        let local = self.members.iter();
        let candidates = local.filter(|(_, member)| {
            member.data_centre == self.local_data_centre
                && member.configuration > known
                && is_recent(now, member.heard_at, LIVENESS_TIMEOUT)
        });
        let best =
            candidates.max_by_key(|(peer, member)| (member.configuration, self.source_rank(peer)));
        best.map(|(_, member)| (member.address, member.configuration))
    }

    /// Returns the peers of this data centre that an instance without a configuration asks for it, in
    /// order: those that are known to have one, then those that have not told. `None` until the list of
    /// instances was read or a peer was heard to have one.
    #[must_use]
    pub fn start_sources(&self, now: Duration) -> Option<Vec<SocketAddr>> {
        let local = self.members.iter();
        let local = local.filter(|(_, member)| member.data_centre == self.local_data_centre);
        let mut candidates: Vec<(bool, u64, SocketAddr)> = local
            .filter_map(|(peer, member)| {
                let is_live = is_recent(now, member.heard_at, LIVENESS_TIMEOUT);
                let has_one = is_live && member.configuration > 0;
                let may_have_one = has_one || member.heard_at.is_none();
                may_have_one.then(|| (!has_one, self.source_rank(peer), member.address))
            })
            .collect();
        candidates.sort_unstable();
        let is_known = self.is_list_read || candidates.first().is_some_and(|first| !first.0);
        is_known.then(|| {
            candidates
                .into_iter()
                .map(|(_, _, address)| address)
                .collect()
        })
    }

    /// Returns a number that orders the peers from which this instance may fetch something, differently
    /// from other instances.
    fn source_rank(&self, peer: &id::Instance) -> u64 {
        xxh3_64(format!("{} {peer}", self.local_instance).as_bytes())
    }

    /// Number of instances of this data centre that this instance hears, including itself.
    #[must_use]
    pub fn heard_local_count(&self, now: Duration) -> u32 {
        let local = self.members.values();
        let local = local.filter(|member| member.data_centre == self.local_data_centre);
        let live = local.filter(|member| is_recent(now, member.heard_at, SILENCE_TIMEOUT));
        u32::try_from(live.count()).unwrap_or(u32::MAX - 1) + 1
    }

    /// Number of instances of this data centre that this instance or a hub hears, including itself.
    #[must_use]
    pub fn local_count(&self, now: Duration) -> u32 {
        let recent_count_by_hub = self
            .count_by_hub
            .filter(|(at, _)| now < *at + LIVENESS_TIMEOUT);
        let recent_count_by_hub = recent_count_by_hub.map_or(0, |(_, instances)| instances);
        self.heard_local_count(now).max(recent_count_by_hub)
    }

    /// Number of instances of the site, including this one, that are heard in this data centre or
    /// counted in recent summaries of other data centres.
    #[must_use]
    pub fn count(&self, now: Duration) -> u32 {
        let others = self.summaries.values();
        let others = others.filter(|summary| now < summary.heard_at + SILENCE_TIMEOUT);
        self.local_count(now) + others.map(|summary| summary.instances).sum::<u32>()
    }

    /// Number of instances among which site-wide limits are divided: the largest number that was
    /// ever listed, heard or summarised. A silent instance still counts, since it may only be cut
    /// off from this one and go on using its share. `None` until the list of instances was read.
    pub fn sharer_count(&mut self, now: Duration) -> Option<u32> {
        let known = u32::try_from(self.members.len()).unwrap_or(u32::MAX - 1) + 1;
        self.max_count = self.max_count.max(known).max(self.count(now));
        self.is_list_read.then_some(self.max_count)
    }

    /// Returns the addresses of all peers in this data centre.
    #[must_use]
    pub fn local_addresses(&self) -> Vec<SocketAddr> {
        self.local_peers().map(|(_, address)| address).collect()
    }

    /// Returns up to `limit` addresses in each data centre for which `is_wanted` returns true, to
    /// which messages are sent for forwarding: the speaker if it is live, and others in rotation.
    pub fn relays(
        &mut self,
        now: Duration,
        limit: usize,
        is_wanted: impl Fn(&id::DataCentre) -> bool,
    ) -> Vec<SocketAddr> {
        self.rotation += 1;
        let mut data_centres: BTreeMap<&id::DataCentre, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.members.values() {
            if member.data_centre != self.local_data_centre && is_wanted(&member.data_centre) {
                let members = data_centres.entry(&member.data_centre).or_default();
                members.push(member.address);
            }
        }
        let relays = data_centres
            .into_iter()
            .flat_map(|(relay_data_centre, mut members)| {
                let summary = self.summaries.get(relay_data_centre);
                let speaker = summary.filter(|summary| now < summary.heard_at + LIVENESS_TIMEOUT);
                let offset = self.rotation % members.len();
                members.rotate_left(offset);
                if let Some(speaker) = speaker {
                    members.retain(|address| *address != speaker.speaker);
                    members.insert(0, speaker.speaker);
                }
                members.truncate(limit);
                members
            });
        relays.collect()
    }
}

fn is_recent(now: Duration, heard_at: Option<Duration>, timeout: Duration) -> bool {
    heard_at.is_some_and(|at| now < at + timeout)
}

fn update_since(since: &mut Option<Duration>, now: Duration, holds: bool) {
    *since = holds.then(|| since.unwrap_or(now));
}

/// Returns this instance's share of a total: at least 1, and exactly 1 while the number of sharers
/// is unknown.
#[must_use]
pub fn fair_share(total: u32, sharer_count: Option<u32>) -> u32 {
    sharer_count
        .map_or(1, |sharer_count| total / sharer_count.max(1))
        .max(1)
}
