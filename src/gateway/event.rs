//! What the duties of a gateway tell each other, through bounded rings.

use crate::common::*;
use crate::decide::roster::Change;
use crate::decide::speed::Speeds;
use crate::wire::generated_gossip::{Batch, Gossip, Holding, Job, Lead};
use crate::world::id;
use crate::world::message::Notice;
use crate::world::site::Site;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::{Incarnation, Rate};
use bytes::Bytes;

/// Messages that a ring between duties holds.
pub const RING_CAPACITY: usize = 4096;

/// Rows of the leases, one a shard.
pub const LEASE_KEY_PREFIX: &str = "lease.shard.";

/// News from the store's feeds.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// A configuration, as it was read and as it was written.
    Site(Arc<Site>, Bytes),
    /// Changed rows of the list of servers.
    Servers(Batch),
    /// This instance had no row yet: it never ran before.
    FirstStart,
    /// Instances that registered.
    Members(Vec<Member>),
    /// Rows of leases, of which this instance may have held some before it started anew.
    FormerLeases(Vec<Row>),
    /// The store answers, or does not.
    Store { up: bool },
}

/// An instance that registered.
#[derive(Debug, Clone)]
pub struct Member {
    pub instance: id::Instance,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
}

/// What the store duty is to follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Subscription {
    /// Whether to follow the configuration at the store, and not to ask peers for it.
    pub is_following_site: bool,
    /// Newest configuration that is heard of, and a peer that has it.
    pub newest_site_version: u64,
    pub site_source: Option<SocketAddr>,
    /// Whether to follow the list of servers, and not only to catch up.
    pub is_following_servers: bool,
    /// Version up to which nothing is missing.
    pub known_version: u64,
    /// Newest version that is heard of.
    pub newest_version: u64,
    /// Rise each time that peers know more than a feed told for a while: it may hang.
    pub site_stalls: u64,
    pub server_stalls: u64,
}

/// What the placer hears.
#[derive(Debug, Clone)]
pub enum PlacerEvent {
    Site(Arc<Site>),
    Server(Change),
    /// From a peer, or from this instance itself.
    Gossip(Box<Gossip>),
    /// How fast engines read, as this instance's requests show.
    Speeds(Speeds),
    /// Rows of leases, of which this instance may have held some before it started anew.
    FormerLeases(Vec<Row>),
    /// A server wants no orders until some time.
    Rest(id::Worker, Incarnation, Duration),
    /// A server named a rate limit at this time, or lifted it.
    Limit(Duration, id::Worker, Incarnation, Option<Rate>),
    /// The process stops: give the lease up.
    Stop,
}

/// What the placer has to say to all instances.
#[derive(Debug, Clone, Default)]
pub struct Announcement {
    pub leads: Vec<Lead>,
    pub holdings: Vec<Holding>,
    /// For the holders of the workers that they name.
    pub jobs: Vec<Job>,
    /// What workers said of themselves in answers to orders and questions; for this instance.
    pub notices: Vec<(id::Worker, Incarnation, Notice)>,
}

/// Calls to the store for others.
#[derive(Debug)]
pub enum Call {
    Read(String, flume::Sender<Result<Option<Row>, Failure>>),
    Commit(Txn, flume::Sender<Result<Commit, Failure>>),
}
