//! Where an instance gets a new configuration: from the store, or from a peer of its data centre.
//!
//! Few instances of a data centre follow the configuration at the store. The others may hear of a
//! version, from another data centre, before any peer of their own has it. They wait for a peer: a
//! configuration may be large, and many copies of it would fill the link to the store. An instance for
//! which a version is late reads the store only if no peer has it, or if fetching it from one failed:
//! it may be late because that link is full.

use std::net::SocketAddr;

/// How the configuration in force compares to the newest one that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    Current,
    /// A newer version was heard of.
    Behind,
    /// A newer version has been missing for too long.
    Late,
}

/// What an instance knows about the configuration and about those that may have it.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Whether this instance follows the store, or has never read the configuration.
    pub follows_store: bool,
    pub reaches_store: bool,
    pub progress: Progress,
    /// A peer of this data centre that has a newer version than the one in force, unless the last
    /// attempt to get it from there failed.
    pub peer: Option<SocketAddr>,
}

/// Where to get the configuration from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    Store,
    Peer(SocketAddr),
    /// Wait until a peer has the version, or until it is late.
    Await,
}

impl Situation {
    /// Returns the source to use now.
    #[must_use]
    pub fn source(self) -> Source {
        let is_current = self.progress == Progress::Current;
        match self.peer {
            _ if self.follows_store && (self.reaches_store || is_current) => Source::Store,
            Some(peer) if !is_current => Source::Peer(peer),
            _ if self.progress == Progress::Late => Source::Store,
            None if self.follows_store => Source::Store,
            _ => Source::Await,
        }
    }
}
