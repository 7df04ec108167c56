//! Choice of another instance that sends a request to a server in place of this one.
//!
//! An instance without a path to the servers doesn't know which of its peers have one. It asks: a peer that has
//! none either declines at once, and is left out for a while. The nearest peers come first. A request is
//! passed on once at most, so that two instances that each take the other for better placed can't pass
//! it to and fro.

use crate::common::*;
use crate::world::id;

/// A peer that declined gets no requests for a service for this long.
const DECLINED_TTL: Duration = Duration::from_millis(1_500);
/// A peer that could not be connected to gets no requests for this long.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);
/// Peers of one data centre that must have declined until its others are left out too.
const DECLINED_FOR_ALL: usize = 2;

/// A peer that may carry a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// 0 for the own data centre, and more the farther it is.
    pub distance: u8,
}

/// What this instance knows of its peers as carriers.
#[derive(Debug, Default)]
pub struct Carriers {
    /// Until when each peer is left out, by service.
    declined: BTreeMap<(id::Service, SocketAddr), Duration>,
    unreachable: BTreeMap<SocketAddr, Duration>,
}

impl Carriers {
    /// Chooses the peer to ask next; `draw` spreads requests over equally near ones.
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        service: &id::Service,
        candidates: &[Candidate],
        tried: &[SocketAddr],
        draw: u64,
    ) -> Option<SocketAddr> {
        let has_declined = |candidate: &Candidate| {
            let until = self.declined.get(&(service.clone(), candidate.address));
            until.is_some_and(|until| now < *until)
        };
        let mut declined: BTreeMap<&id::DataCentre, usize> = BTreeMap::new();
        for candidate in candidates.iter().filter(|it| has_declined(it)) {
            *declined.entry(&candidate.data_centre).or_default() += 1;
        }
        let is_open = |candidate: &&Candidate| {
            let until = self.unreachable.get(&candidate.address);
            let declined = declined.get(&candidate.data_centre);
            !has_declined(candidate)
                && until.is_none_or(|until| now >= *until)
                && declined.is_none_or(|count| *count < DECLINED_FOR_ALL)
                && !tried.contains(&candidate.address)
        };
        let open: Vec<&Candidate> = candidates.iter().filter(is_open).collect();
        let nearest = open.iter().map(|candidate| candidate.distance).min()?;
        let mut near = open.iter().filter(|it| it.distance == nearest);
        let count = near.clone().count() as u64;
        let index = usize::try_from(draw % count).unwrap_or_default();
        near.nth(index).map(|candidate| candidate.address)
    }

    /// Records that a peer has no path to the servers of a service either, or is stopping.
    pub fn on_declined(&mut self, now: Duration, service: &id::Service, address: SocketAddr) {
        self.declined.retain(|_, until| now < *until);
        let until = now + DECLINED_TTL;
        self.declined.insert((service.clone(), address), until);
    }

    /// Records that a peer could not be connected to.
    pub fn on_unreachable(&mut self, now: Duration, address: SocketAddr) {
        self.unreachable.retain(|_, until| now < *until);
        self.unreachable.insert(address, now + UNREACHABLE_TTL);
    }
}
