//! Load balancing of calls over the backend servers of plain services.

use crate::common::*;
use crate::decide::route::Location;
use crate::world::contract::{Endpoint, Service};
use crate::world::id;

/// Time for which a server that could not be connected to is the last choice.
const CONNECT_FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// What this instance knows of one server.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// Number of this instance's calls that run on the server.
    running: u32,
    backoff_until: Duration,
    leaving_until: Duration,
}

/// The servers of all plain services, as this instance sees them.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    states: BTreeMap<(id::Service, id::Server), State>,
}

/// Time for which a server that announced that it is leaving gets no calls.
const LEAVING_EXCLUSION: Duration = Duration::from_secs(30);

impl Pool {
    /// Returns the best server that was not tried yet and is not leaving.
    ///
    /// Servers in back-off come last; otherwise the nearest one wins, then the least loaded.
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

    /// Records the start of a call.
    pub fn on_start(&mut self, name: &id::Service, server: &id::Server) {
        self.state_mut(name, server).running += 1;
    }

    /// Records the end of a call; `reached` tells whether the server accepted the connection.
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

    /// Records that a server announced that it is leaving.
    pub fn on_leaving(&mut self, now: Duration, name: &id::Service, server: &id::Server) {
        self.state_mut(name, server).leaving_until = now + LEAVING_EXCLUSION;
    }
}

/// Ranks an endpoint by distance: 0 in the same data centre, 1 in the same region, 2 elsewhere.
fn distance_rank(location: &Location, endpoint: &Endpoint) -> u8 {
    if endpoint.data_centre == location.data_centre {
        0
    } else if endpoint.region == location.region {
        1
    } else {
        2
    }
}
