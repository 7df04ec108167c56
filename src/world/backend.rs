//! Backend servers as they describe themselves.

use super::id;
use super::unit::Incarnation;
use crate::common::*;
use xxhash_rust::xxh3::xxh3_64;

/// What a backend server's engine holds in memory.
pub type Holdings = BTreeMap<id::Model, BTreeSet<id::Adapter>>;

/// What a server is called in datagrams between instances.
#[must_use]
pub fn hash_id(server: &id::Worker) -> u64 {
    xxh3_64(server.as_str().as_bytes())
}

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Backend {
    pub id: id::Worker,
    pub service: id::Service,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Start of the server: a restart under the same id has another.
    pub boot: Incarnation,
    pub leaving: bool,
    /// Requests that run at one time.
    pub places: u32,
    pub holdings: Holdings,
    /// Models that load from its own copies.
    pub copies: BTreeSet<id::Model>,
}

impl Backend {
    /// Whether another entry says the same but for what the server's engine holds, which the holders of
    /// leases tell.
    #[must_use]
    pub fn is_equal_ignoring_models(&self, other: &Self) -> bool {
        let compared_fields = |backend: &Self| {
            let (id, service, address) =
                (backend.id.clone(), backend.service.clone(), backend.address);
            let data_centre = backend.data_centre.clone();
            (
                id,
                service,
                address,
                data_centre,
                backend.boot,
                backend.leaving,
                backend.places,
            )
        };
        compared_fields(self) == compared_fields(other)
    }
}

/// What a worker's engine says of itself when asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    pub holdings: Holdings,
    pub copies: BTreeSet<id::Model>,
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
}
