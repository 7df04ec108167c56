//! Which instances there are, and who tells whom.
//!
//! Within a data centre every instance tells every other one. Between data centres one instance
//! of each, its speaker, tells the sum for all; what it is told is passed on within the data centre
//! that hears it. So the messages of an instance grow with its data centre and not with the site.

use crate::common::*;
use crate::world::deployment::Deployment;
use crate::world::id;
use xxhash_rust::xxh3::xxh3_64;

/// A peer that is silent this long does not speak for its data centre.
const SILENT: Duration = Duration::from_millis(1_500);
/// A peer that is silent this long has no share of what all instances may do together.
const GONE: Duration = Duration::from_secs(3);

/// Instances of a data centre up to which each tells all others what runs at it. Where there are more,
/// they tell hubs, which tell the sum to all: datagrams grow with their number, not with its square.
const MOST_DIRECT: u32 = 8;
/// Hubs of a data centre: one may be lost, and the other's word goes on.
const HUBS: usize = 2;
/// Instances of a data centre with hubs that all others there hear: hubs, speakers and readers are chosen
/// among them, and several may be lost at once. The rest are heard by hubs only.
const HERALDS: usize = 6;

/// Instances of a data centre that read the configuration from the store; the others get it from
/// them.
const READERS: usize = 2;

/// One instance.
#[derive(Debug, Clone)]
struct Member {
    address: SocketAddr,
    data_centre: id::DataCentre,
    incarnation: u64,
    sequence: u64,
    /// Starts of it that were heard.
    starts: u64,
    heard: Option<Duration>,
    reaches_store: bool,
    configuration: u64,
}

/// A datagram's sender, as it describes itself.
#[derive(Debug, Clone)]
pub struct Sender {
    pub instance: id::Instance,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    pub incarnation: u64,
    pub sequence: u64,
    /// Whether the store answers it.
    pub reaches_store: bool,
    /// Version of the configuration that it has in force.
    pub configuration: u64,
}

/// What to do with a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// A later start of its sender is known.
    Outdated,
    /// A later datagram of its sender was taken already.
    Overtaken,
    Newest,
}

/// A datagram, as its receiver sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hearing {
    pub standing: Standing,
    /// Whether its sender was silent before.
    pub was_silent: bool,
    /// Whether nothing of this start of the sender was heard before.
    pub is_new_start: bool,
    /// Starts of the sender heard so far. This number grows, also where the sender's incarnation falls
    /// because its time of day was set back.
    pub start: u64,
}

/// What one data centre tells others of itself.
#[derive(Debug, Clone)]
struct Summary {
    speaker: SocketAddr,
    heard: Duration,
    instances: u32,
}

/// All instances, as one of them sees them.
#[derive(Debug)]
pub struct Topology {
    me: id::Instance,
    here: id::DataCentre,
    members: BTreeMap<id::Instance, Member>,
    summaries: BTreeMap<id::DataCentre, Summary>,
    /// Instances of this data centre, as a hub counted them last.
    near_sum: Option<(Duration, u32)>,
    turn: usize,
    /// Whether the list of instances in the store was read.
    is_list_read: bool,
    /// Most instances that were ever counted.
    most: u32,
}

impl Topology {
    /// A view that holds nobody else yet.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            me: deployment.instance.clone(),
            here: deployment.data_centre.clone(),
            members: BTreeMap::new(),
            summaries: BTreeMap::new(),
            near_sum: None,
            turn: 0,
            is_list_read: false,
            most: 1,
        }
    }

    /// Takes an instance from the list in the store.
    pub fn on_listed(
        &mut self,
        instance: id::Instance,
        address: SocketAddr,
        data_centre: id::DataCentre,
    ) {
        if instance == self.me {
            return;
        }
        let member = self.members.entry(instance).or_insert(Member {
            address,
            data_centre: data_centre.clone(),
            incarnation: 0,
            sequence: 0,
            starts: 0,
            heard: None,
            reaches_store: true,
            configuration: 0,
        });
        if member.heard.is_none() {
            member.address = address;
            member.data_centre = data_centre;
        }
    }

    /// Notes that all instances on the list in the store were taken.
    pub fn on_list_read(&mut self) {
        self.is_list_read = true;
    }

    /// Takes the sender of a datagram.
    pub fn on_heard(&mut self, now: Duration, sender: &Sender) -> Hearing {
        let member = self.members.entry(sender.instance.clone());
        let member = member.or_insert(Member {
            address: sender.address,
            data_centre: sender.data_centre.clone(),
            incarnation: 0,
            sequence: 0,
            starts: 0,
            heard: None,
            reaches_store: true,
            configuration: 0,
        });
        let was_silent = !is_within(now, member.heard, GONE);
        let hearing = |standing, member: &Member| Hearing {
            standing,
            was_silent: was_silent && standing != Standing::Outdated,
            is_new_start: false,
            start: member.starts,
        };
        if sender.incarnation < member.incarnation && !was_silent {
            return hearing(Standing::Outdated, member);
        }
        member.heard = Some(now);
        member.address = sender.address;
        member.data_centre.clone_from(&sender.data_centre);
        if sender.incarnation == member.incarnation && sender.sequence <= member.sequence {
            return hearing(Standing::Overtaken, member);
        }
        let is_new_start = sender.incarnation != member.incarnation;
        member.starts += u64::from(is_new_start);
        member.incarnation = sender.incarnation;
        member.sequence = sender.sequence;
        member.reaches_store = sender.reaches_store;
        member.configuration = sender.configuration;
        Hearing {
            is_new_start,
            ..hearing(Standing::Newest, member)
        }
    }

    /// Takes the summary of another data centre, from its speaker.
    pub fn on_summary(&mut self, now: Duration, sender: &Sender, instances: u32) {
        let summary = Summary {
            speaker: sender.address,
            heard: now,
            instances,
        };
        self.summaries.insert(sender.data_centre.clone(), summary);
    }

    /// Takes the number of instances of this data centre that a hub hears.
    pub fn on_near_sum(&mut self, now: Duration, instances: u32) {
        self.near_sum = Some((now, instances));
    }

    /// Whether this instance lets all others of its data centre hear that it is there: it is among the
    /// first by name of those that the store answers.
    #[must_use]
    pub fn is_herald(&self, now: Duration) -> bool {
        let before = self.heard_near(now).filter(|(peer, _)| **peer < self.me);
        before.filter(|(_, member)| member.reaches_store).count() < HERALDS
    }

    /// Whether this instance speaks for its data centre: the first by name of those heard.
    #[must_use]
    pub fn is_speaker(&self, now: Duration) -> bool {
        let before = self.members.range(..self.me.clone());
        let mut near = before.filter(|(_, member)| member.data_centre == self.here);
        near.all(|(_, member)| !is_within(now, member.heard, SILENT))
    }

    /// Whether instances of this data centre tell hubs what runs at them, and not each other.
    #[must_use]
    pub fn has_hubs(&self, now: Duration) -> bool {
        self.near_count(now) > MOST_DIRECT
    }

    /// Whether this instance is a hub: it is among the first by name of those heard here.
    #[must_use]
    pub fn is_hub(&self, now: Duration) -> bool {
        let before = self.heard_near(now).filter(|(peer, _)| **peer < self.me);
        before.count() < HUBS
    }

    /// The hubs of this data centre, this instance left out.
    #[must_use]
    pub fn hubs(&self, now: Duration) -> Vec<SocketAddr> {
        let others = HUBS - usize::from(self.is_hub(now));
        let heard = self.heard_near(now).take(others);
        heard.map(|(_, member)| member.address).collect()
    }

    /// Peers of this data centre that are not silent, by name.
    fn heard_near(&self, now: Duration) -> impl Iterator<Item = (&id::Instance, &Member)> {
        let near = self.members.iter();
        near.filter(move |(_, member)| {
            member.data_centre == self.here && is_within(now, member.heard, SILENT)
        })
    }

    /// Peers of this data centre with their addresses.
    pub fn near_peers(&self) -> impl Iterator<Item = (&id::Instance, SocketAddr)> {
        let near = self.members.iter();
        let near = near.filter(|(_, member)| member.data_centre == self.here);
        near.map(|(peer, member)| (peer, member.address))
    }

    /// Whether this instance reads the configuration from the store: it is among the first by name
    /// of those that are heard here and that the store answers.
    #[must_use]
    pub fn is_reader(&self, now: Duration) -> bool {
        let before = self.members.range(..self.me.clone());
        let near = before.filter(|(_, member)| member.data_centre == self.here);
        let able =
            near.filter(|(_, member)| member.reaches_store && is_within(now, member.heard, SILENT));
        able.count() < READERS
    }

    /// A peer of this data centre that has this configuration in force; instances that ask at the
    /// same time get different ones where there are several.
    #[must_use]
    pub fn has_configuration(&self, now: Duration, version: u64) -> Option<SocketAddr> {
        let near = self.members.iter();
        let able = near.filter(|(_, member)| {
            member.data_centre == self.here
                && member.configuration >= version
                && is_within(now, member.heard, SILENT)
        });
        let rank = |peer: &id::Instance| xxh3_64(format!("{} {peer}", self.me).as_bytes());
        let best = able.min_by_key(|(peer, _)| rank(peer));
        best.map(|(_, member)| member.address)
    }

    /// Instances of this data centre that are heard here, this one included.
    #[must_use]
    pub fn heard_count(&self, now: Duration) -> u32 {
        let near = self.members.values();
        let near = near.filter(|member| member.data_centre == self.here);
        let heard = near.filter(|member| is_within(now, member.heard, GONE));
        u32::try_from(heard.count()).unwrap_or(u32::MAX - 1) + 1
    }

    /// Instances of this data centre that are heard, here or by a hub, this one included.
    #[must_use]
    pub fn near_count(&self, now: Duration) -> u32 {
        let by_hub = self.near_sum.filter(|(at, _)| now < *at + SILENT);
        let by_hub = by_hub.map_or(0, |(_, instances)| instances);
        self.heard_count(now).max(by_hub)
    }

    /// Instances of the site that are heard or summed up, this one included.
    #[must_use]
    pub fn count(&self, now: Duration) -> u32 {
        let others = self.summaries.values();
        let others = others.filter(|summary| now < summary.heard + GONE);
        self.near_count(now) + others.map(|summary| summary.instances).sum::<u32>()
    }

    /// Instances that share what all may do together, listed or heard at any time. One that falls
    /// silent counts: it may be cut off from this instance only, and go on using its share. None
    /// before the list of instances was read.
    pub fn sharers(&mut self, now: Duration) -> Option<u32> {
        let known = u32::try_from(self.members.len()).unwrap_or(u32::MAX - 1) + 1;
        self.most = self.most.max(known).max(self.count(now));
        self.is_list_read.then_some(self.most)
    }

    /// Addresses of all peers in this data centre.
    #[must_use]
    pub fn near(&self) -> Vec<SocketAddr> {
        self.near_peers().map(|(_, address)| address).collect()
    }

    /// Addresses in each of some other data centres that pass on what they are told: the speaker
    /// if it is heard, and others by turns up to `most`.
    pub fn relays(
        &mut self,
        now: Duration,
        most: usize,
        is_wanted: impl Fn(&id::DataCentre) -> bool,
    ) -> Vec<SocketAddr> {
        self.turn += 1;
        let mut centres: BTreeMap<&id::DataCentre, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.members.values() {
            if member.data_centre != self.here && is_wanted(&member.data_centre) {
                let members = centres.entry(&member.data_centre).or_default();
                members.push(member.address);
            }
        }
        let relays = centres.into_iter().flat_map(|(centre, mut members)| {
            let summary = self.summaries.get(centre);
            let speaker = summary.filter(|summary| now < summary.heard + SILENT);
            let first = self.turn % members.len();
            members.rotate_left(first);
            if let Some(speaker) = speaker {
                members.retain(|address| *address != speaker.speaker);
                members.insert(0, speaker.speaker);
            }
            members.truncate(most);
            members
        });
        relays.collect()
    }
}

fn is_within(now: Duration, heard: Option<Duration>, span: Duration) -> bool {
    heard.is_some_and(|at| now < at + span)
}

/// One instance's part of what so many share, at least one; no more where their number is unknown.
#[must_use]
pub fn part(all: u32, sharers: Option<u32>) -> u32 {
    sharers.map_or(1, |sharers| all / sharers.max(1)).max(1)
}
