//! Backend servers, as their entries and reports describe them.

use super::id;
use super::message::Target;
use super::unit::Incarnation;
use crate::common::*;
use xxhash_rust::xxh3::xxh3_64;

/// Models in the memory of a backend server's engine, with the loaded adapters of each.
pub type Holdings = BTreeMap<id::Model, BTreeSet<id::Adapter>>;

/// Returns the hash by which gossip between instances names a server.
#[must_use]
pub fn hash_id(server: &id::Worker) -> u64 {
    xxh3_64(server.as_str().as_bytes())
}

/// Version of a backend server's software; versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Software(CompactString);

/// Limit on the length of a software version in bytes.
const MAX_SOFTWARE_BYTES: usize = 128;

impl Software {
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for Software {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Software {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > MAX_SOFTWARE_BYTES {
            return Err(Error::Identifier { text: text.into() });
        }
        Ok(Self(text.into()))
    }
}

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Backend {
    pub id: id::Worker,
    pub service: id::Service,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Incarnation of the server: a restart under the same id has another.
    pub boot: Incarnation,
    /// `None` if the entry states none that can be read.
    pub software: Option<Software>,
    /// Whether the server is shutting down and takes no new requests.
    pub leaving: bool,
    /// Requests that the server can run concurrently.
    pub places: u32,
    pub holdings: Holdings,
    /// Models that the server can load from its own memory or disk instead of the weight store.
    pub copies: BTreeSet<id::Model>,
}

impl Backend {
    /// Whether another entry is equal apart from loaded models and local copies. The instance that
    /// holds the lease of the worker's shard tells the others about those.
    #[must_use]
    pub fn is_equal_ignoring_models(&self, other: &Self) -> bool {
        let compared_fields = |backend: &Self| {
            let (id, service, address) =
                (backend.id.clone(), backend.service.clone(), backend.address);
            let data_centre = backend.data_centre.clone();
            let software = backend.software.clone();
            (
                id,
                service,
                address,
                data_centre,
                backend.boot,
                software,
                backend.leaving,
                backend.places,
            )
        };
        compared_fields(self) == compared_fields(other)
    }
}

/// A worker's answer to a query for its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    pub holdings: Holdings,
    /// Adapters that are being loaded.
    pub incoming: Vec<Target>,
    pub copies: BTreeSet<id::Model>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted since the worker's start.
    pub orders: u64,
}
