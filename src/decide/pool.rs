//! Backend servers of a plain service: which one a call goes to.

use crate::common::*;
use crate::decide::route::Location;
use crate::world::contract::{Endpoint, Service};
use crate::world::id;

/// A server that refused a connection gets nothing for this long.
const CONNECT_FAILURE_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, Default)]
struct State {
    running: u32,
    backoff_until: Duration,
    leaving_until: Duration,
}

/// What this instance knows of all services' servers.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    states: BTreeMap<(id::Service, id::Server), State>,
}

/// A server that said that it leaves is not asked again for this long.
const LEAVING_EXCLUSION: Duration = Duration::from_secs(30);

impl Pool {
    /// The nearest and least busy server that was not tried yet.
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        name: &id::Service,
        service: &Service,
        location: &Location,
        tried: &[id::Server],
    ) -> Option<(id::Server, SocketAddr)> {
        let untried = service
            .servers
            .iter()
            .filter(|(server, _)| !tried.contains(server));
        let available = untried.filter(|(server, _)| now >= self.state(name, server).leaving_until);
        let best = available.min_by_key(|(server, endpoint)| {
            let state = self.state(name, server);
            (
                now < state.backoff_until,
                distance_rank(location, endpoint),
                state.running,
            )
        });
        best.map(|(server, endpoint)| (server.clone(), endpoint.address))
    }

    fn state(&self, name: &id::Service, server: &id::Server) -> State {
        let key = (name.clone(), server.clone());
        self.states.get(&key).copied().unwrap_or_default()
    }

    fn state_mut(&mut self, name: &id::Service, server: &id::Server) -> &mut State {
        self.states
            .entry((name.clone(), server.clone()))
            .or_default()
    }

    /// Notes that a call starts.
    pub fn on_start(&mut self, name: &id::Service, server: &id::Server) {
        self.state_mut(name, server).running += 1;
    }

    /// Notes that a call ended; `reached` says whether the server took the connection.
    pub fn on_end(
        &mut self,
        now: Duration,
        name: &id::Service,
        server: &id::Server,
        reached: bool,
    ) {
        let state = self.state_mut(name, server);
        state.running = state.running.saturating_sub(1);
        if !reached {
            state.backoff_until = now + CONNECT_FAILURE_BACKOFF;
        }
    }

    /// Takes the word that a server leaves.
    pub fn on_leaving(&mut self, now: Duration, name: &id::Service, server: &id::Server) {
        self.state_mut(name, server).leaving_until = now + LEAVING_EXCLUSION;
    }
}

fn distance_rank(location: &Location, endpoint: &Endpoint) -> u8 {
    if endpoint.data_centre == location.data_centre {
        0
    } else if endpoint.region == location.region {
        1
    } else {
        2
    }
}
