//! What the duties of a gateway tell each other, through bounded rings.

use crate::common::*;
use crate::world::backend::Backend;
use crate::world::id;
use crate::world::site::Site;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::wire::generated_gossip::{Gossip, Holding, Job, Lead};

/// Messages that a ring between duties holds.
pub const RING: usize = 4096;

/// Entries that vanished while the store was disturbed are back within this time, or gone.
pub const RETURNS: Duration = Duration::from_millis(1_800);

/// News from the store's feeds.
#[derive(Debug, Clone)]
pub enum News {
    Site(Arc<Site>),
    Listed(Backend),
    /// A server's entry is gone; `trusted` is false while the store was disturbed lately.
    Unlisted { worker: id::Worker, trusted: bool },
    /// Instances that registered, with their addresses for peers.
    Members(BTreeMap<id::Instance, SocketAddr>),
    /// The store answers, or does not.
    Store { up: bool },
}

/// What the placer hears.
#[derive(Debug, Clone)]
pub enum Heard {
    News(News),
    /// From a peer, or from this instance itself.
    Gossip(Box<Gossip>),
    /// The process stops: give the lease up.
    Stop,
}

/// What the placer has to say to all instances.
#[derive(Debug, Clone, Default)]
pub struct Word {
    pub leads: Vec<Lead>,
    pub holdings: Vec<Holding>,
    /// For the holders of the workers that they name.
    pub jobs: Vec<Job>,
}

/// Calls to the store for others.
#[derive(Debug)]
pub enum Call {
    Read(String, flume::Sender<Result<Option<Row>, Failure>>),
    Commit(Txn, flume::Sender<Result<Commit, Failure>>),
}
