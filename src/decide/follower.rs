//! Which instances follow the server list at the store and tell the others of its changes.
//!
//! The first two holders of leases do: their renewals show whether the store answers them. Both tell
//! the others, so that a change of either, or a lost datagram, leaves no gap. A holder that gets no
//! answer goes on with its leases until they end, but does not count here, and if no holder gets one,
//! the readers of every data centre follow the list.
//!
//! In a large data centre few instances read the store, also when all have missed changes; they
//! tell the others of their data centre. In a small one every instance is a reader.

use std::net::SocketAddr;

/// Number of instances that follow the list.
const FOLLOWER_COUNT: usize = 2;

/// A holder of a lease that was heard recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// `None` if it is this instance.
    pub address: Option<SocketAddr>,
    /// Whether the store answers it, as far as it has told.
    pub reaches_store: bool,
}

/// Instances that are told of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    All,
    DataCentre,
}

/// Whether this instance follows the list, given the holders in the order of their leases and whether
/// it is a reader. Without any holder, the instances decide by how long none was heard.
#[must_use]
pub fn should_follow(holders: &[Holder], is_reader: bool) -> bool {
    is_follower(holders) || (is_reader && !holders.is_empty() && followers(holders).is_empty())
}

/// Whom this instance tells of changes that it has read; `has_few_readers` says whether others of
/// its data centre rely on the readers.
#[must_use]
pub fn audience(holders: &[Holder], is_reader: bool, has_few_readers: bool) -> Option<Audience> {
    if is_follower(holders) {
        Some(Audience::All)
    } else {
        (is_reader && has_few_readers).then_some(Audience::DataCentre)
    }
}

/// Whether this instance is the last of the followers. Its polls are brief, so that the followers
/// notice soon if all their polls hang: nobody else is ahead of them then.
#[must_use]
pub fn is_last(holders: &[Holder]) -> bool {
    let followers = followers(holders);
    followers.iter().take(FOLLOWER_COUNT).next_back() == Some(&None)
}

fn is_follower(holders: &[Holder]) -> bool {
    let followers = followers(holders);
    followers.iter().take(FOLLOWER_COUNT).any(Option::is_none)
}

/// Returns the addresses of the holders that the store answers, each once.
fn followers(holders: &[Holder]) -> Vec<Option<SocketAddr>> {
    let mut addresses = Vec::new();
    for holder in holders.iter().filter(|holder| holder.reaches_store) {
        if !addresses.contains(&holder.address) {
            addresses.push(holder.address);
        }
    }
    addresses
}
