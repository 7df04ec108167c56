//! Messages between the gateway's threads, which pass through bounded channels.

use super::origins;
use crate::common::*;
use crate::decide::notice::Process;
use crate::decide::quarantine::Parts;
use crate::decide::quota::Tenure;
use crate::decide::roster::Change;
use crate::decide::speed::Speeds;
use crate::wire::generated_gossip::{Batch, Gossip, Holding, Job, Lead};
use crate::world::id;
use crate::world::message::Notice;
use crate::world::site::Site;
use crate::world::table::{Commit, Failure, Row, Txn, Version};
use crate::world::unit::{Era, Incarnation, Rate};
use bytes::Bytes;

/// Capacity of each channel between the threads.
pub const CHANNEL_CAPACITY: usize = 4096;

/// Number of peers that an instance asks for a configuration at its start.
pub const START_SOURCES: usize = 2;

/// Key prefix of the lease rows, one for each shard.
pub const LEASE_KEY_PREFIX: &str = "lease.shard.";
/// Key prefix of the rows of servers that announced their departure in their answers only.
pub const LEAVING_KEY_PREFIX: &str = "leaving.";
/// Key prefix of the rows of software versions, one for each version of a service.
pub const VERSION_KEY_PREFIX: &str = "version.";
/// Key prefix of the rows of unfinished streams, one for each start of an instance.
pub const STREAMS_KEY_PREFIX: &str = "streams.";
/// Key prefix of the rows of quarantined prompt parts, one for each entry.
pub const QUARANTINE_KEY_PREFIX: &str = "quarantine.";

/// An update from the store thread.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// A configuration, parsed and in the bytes that the operator wrote, and the peer it came from
    /// unless it was read from the store.
    Site {
        site: Arc<Site>,
        written: Bytes,
        peer: Option<SocketAddr>,
        /// Version of its row; none from a peer that does not state it.
        position: Option<Version>,
    },
    /// The store's answer to a call that began at this time, on this process's clock, shows that no
    /// newer configuration than this version was acknowledged before then.
    Proof { began_at: Duration, version: u64 },
    /// Changed rows of the server list.
    Servers(Batch),
    /// This instance had no row in the store, so it has never run before.
    FirstStart,
    /// Registered instances.
    Members(Vec<Member>),
    /// All rows of the quarantine: the parts of each entry, and the number of its crashes.
    Quarantine(BTreeMap<Parts, u32>),
    /// All rows of leaving servers.
    Leaving(BTreeSet<Process>),
    /// All rows of software versions and unfinished streams.
    Origins(origins::Rows),
    /// Lease rows, some of which this instance may have held before it restarted, and the era in
    /// which they were read.
    FormerLeases(Vec<Row>, Option<Era>),
    /// The store answered in this era for the first time.
    Era(Era),
    /// The store became reachable or unreachable.
    Store { up: bool },
    /// The store has answered a call; sent now and then.
    StoreAnswered,
    /// Rows or a configuration were fetched; only for the logs.
    Fetched(Fetch),
    /// A call for the changes of a table ended without an answer; only for the logs.
    FetchFailed(FailedFetch),
}

/// Size and duration of reading a table of the store, or the configuration of a peer.
#[derive(Debug, Clone, Serialize)]
pub struct Fetch {
    pub table: &'static str,
    /// The peer, unless the store was read.
    pub peer: Option<SocketAddr>,
    /// Whether it was read in full instead of the changes since a version.
    pub whole: bool,
    pub rows: usize,
    pub bytes: usize,
    /// Duration of the read; for changes, which are awaited, from the head of the answer on.
    pub took_ms: u64,
}

/// A call for the changes of a table that ended without an answer.
#[derive(Debug, Clone, Serialize)]
pub struct FailedFetch {
    pub table: &'static str,
    /// Version after which changes were wanted; none for the whole table.
    pub after: Option<Version>,
    pub waited_ms: u64,
    /// The error, or why the call was dropped.
    pub reason: String,
}

/// A registered instance.
#[derive(Debug, Clone)]
pub struct Member {
    pub instance: id::Instance,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
}

/// Which data the store thread should follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Subscription {
    /// Whether to follow the configuration at the store instead of fetching it from peers.
    pub is_following_site: bool,
    /// Newest configuration that peers report, and a peer that has a newer one than this instance,
    /// with its version.
    pub newest_site_version: u64,
    pub site_source: Option<(SocketAddr, u64)>,
    /// Peers that an instance without a configuration asks for it; `None` until it knows of any, or that
    /// there are none.
    pub start_sources: Option<[Option<SocketAddr>; START_SOURCES]>,
    /// Whether to follow the server list, rather than only catch up when behind.
    pub is_following_servers: bool,
    /// Version up to which this instance has the complete server list.
    pub known_version: Version,
    /// Newest version of the server list to catch up with, as peers report it.
    pub newest_version: Version,
    /// Increased each time peers have been ahead of a feed for too long, since its call may
    /// hang.
    pub site_stalls: u64,
    pub server_stalls: u64,
    /// Increased each time the store must be asked at once whether the configuration is current.
    pub site_checks: u64,
    /// Increased each time the store must be called to see whether it answers.
    pub probes: u64,
    /// Whether the configuration in force was lately proven to be the newest.
    pub is_site_recent: bool,
    pub site_poll: Poll,
    pub server_poll: Poll,
}

/// How long the store may hold a poll open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Poll {
    #[default]
    Long,
    /// For an instance that others rely on and that learns of no hanging poll in another way, or that
    /// proves to others that the configuration is current.
    Brief,
    /// The store answers at once.
    Immediate,
}

impl Poll {
    /// Returns a brief poll if `is_brief` holds.
    pub fn brief_if(is_brief: bool) -> Self {
        if is_brief { Self::Brief } else { Self::Long }
    }
}

/// An event for the placer thread.
#[derive(Debug, Clone)]
pub enum PlacerEvent {
    Site(Arc<Site>),
    Server(Change),
    /// Gossip from a peer or from this instance itself.
    Gossip(Box<Gossip>),
    /// Prefill speeds of engines, as observed by this instance's requests.
    Speeds(Speeds),
    /// Lease rows, some of which this instance may have held before it restarted, and the era in
    /// which they were read.
    FormerLeases(Vec<Row>, Option<Era>),
    /// The store answered in this era for the first time.
    Era(Era),
    /// A server sent Retry-After; it gets no orders before this time.
    Throttled(id::Worker, Incarnation, Duration),
    /// A server reported a rate limit at this time, or lifted it.
    Limit(Duration, id::Worker, Incarnation, Option<Rate>),
    /// The process stops, so leases must be released.
    Stop,
}

/// Announcement of the placer to all instances.
#[derive(Debug, Clone, Default)]
pub struct Announcement {
    pub leads: Vec<Lead>,
    pub holdings: Vec<Holding>,
    /// Jobs for the holders of the workers that they name.
    pub jobs: Vec<Job>,
    /// Notices from workers' responses to orders and report requests; for this instance only.
    pub notices: Vec<(id::Worker, Incarnation, Notice)>,
    /// Times in which this instance may act as holder of its shards and an earlier holder no longer
    /// can; for this instance only.
    pub tenures: Vec<Tenure>,
}

/// A call that the store thread makes for another thread.
#[derive(Debug)]
pub enum Call {
    Read(String, flume::Sender<Answer<Option<Row>>>),
    Commit(Txn, flume::Sender<Answer<Commit>>),
}

/// Result of a call, and the era in which the store answered; no era if it gave none.
#[derive(Debug)]
pub struct Answer<T> {
    pub era: Option<Era>,
    pub result: Result<T, Failure>,
}

impl<T> Answer<T> {
    /// Returns the result of a call without an answer from the store.
    pub fn failed(failure: Failure) -> Self {
        Self {
            era: None,
            result: Err(failure),
        }
    }
}

/// Returns a duration in whole milliseconds.
#[must_use]
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
