//! Decodes the operator's configuration from its row in the store.

use super::request::is_workspace_name;
use crate::common::*;
use crate::world::site::{Engine, Limits, Model, Repeat, Route, Service, Site, Version};
use crate::world::time;
use crate::world::unit::{Bytes, Rate, Tokens};
use crate::world::workspace::{Quota, Unit, Workspace, Workspaces};

/// Table of the row that holds the configuration.
pub const TABLE: &str = "op";
/// Key of the row that holds the configuration.
pub const KEY: &str = "config";

/// Value of a tenant's `Unit` by which its quota counts tokens and not requests.
const TOKEN_UNIT: &str = "token_metering";

const MEGABYTE: f64 = 1_000_000.0;

/// Largest sizes, counts and rates that are taken; larger ones are cut to them. They stand for no limit, and
/// sums and products of them can't overflow.
const MAX_BYTES: u64 = 1 << 50;
const MAX_TOKENS: u64 = 1 << 50;
const MAX_ADAPTER_PLACES: usize = 1 << 12;
const MAX_LOADS: Rate = Rate(1e3);

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSite {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    name: CompactString,
    hostname: CompactString,
    path_prefix: CompactString,
    r#type: String,
    timeout_ms: f64,
    target_latency_ms: f64,
    #[serde(default)]
    gap_target_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<WireShare>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    public: bool,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireShare {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    name: String,
    max_connections: u32,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEngine {
    slots: u32,
    kv_capacity: u64,
    weights_mb: f64,
    adapter_capacity: usize,
    loads_per_s: f64,
    models: Vec<WireModel>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireModel {
    name: String,
    weights_mb: f64,
    load_time_s: f64,
    #[serde(default)]
    adapters: u32,
    #[serde(default)]
    adapter_size_mb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    max_header_bytes: u64,
    max_body_bytes: u64,
    idle_timeout_ms: u64,
    header_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    name: CompactString,
    #[serde(default)]
    api_keys: ApiKeys,
    priority: Option<u8>,
    #[serde(default)]
    unit: String,
    #[serde(default)]
    plain_tokens: f64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Keys of a tenant. Errors quote no value, because they are logged.
#[derive(Default)]
struct ApiKeys(Vec<String>);

impl<'de> Deserialize<'de> for ApiKeys {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let keys: Option<Vec<String>> = serde_json::from_value(value)
            .map_err(|_| serde::de::Error::custom("`ApiKeys` is not a list of strings"))?;
        Ok(Self(keys.unwrap_or_default()))
    }
}

/// Decodes a configuration.
///
/// # Errors
/// [`Error::Settings`] if the row is not a configuration that this version of the program can read.
pub fn decode(bytes: &[u8]) -> Result<Site> {
    let wire: WireSite = serde_json::from_slice(bytes).map_err(|error| Error::Settings {
        problems: vec![format!("the configuration: {error}; write it anew")],
    })?;
    let routes: Result<_> = wire.routes.into_iter().map(WireRoute::decode).collect();
    let services: Result<_> = wire.services.into_iter().map(WireService::decode).collect();
    Ok(Site {
        version: Version(wire.version),
        routes: routes?,
        services: services?,
        limits: wire.limits.decode(),
        workspaces: wire.tenants.map(decode_workspaces).transpose()?,
    })
}

impl WireRoute {
    fn decode(self) -> Result<Route> {
        let repeat = match (self.r#type.as_str(), self.resumable) {
            ("safe", _) => Repeat::Safe,
            ("streaming", true) => Repeat::Resume,
            ("streaming", false) => Repeat::Stream,
            _ => Repeat::Never,
        };
        let shares = self.traffic_split.into_iter();
        let mut split: Vec<_> = shares
            .map(|share| Ok((share.service.parse()?, share.weight)))
            .collect::<Result<_>>()?;
        if let (true, Some(service)) = (split.is_empty(), self.service) {
            split.push((service.parse()?, 1));
        }
        Ok(Route {
            name: self.name,
            host: self.hostname,
            prefix: self.path_prefix,
            repeat,
            timeout: milliseconds(self.timeout_ms),
            target: milliseconds(self.target_latency_ms),
            longest_pause: milliseconds(self.gap_target_ms),
            priority: self.priority,
            is_public: self.public,
            split,
            most_workers: self.max_attempts.max(1),
        })
    }
}

impl WireService {
    fn decode(self) -> Result<(crate::world::id::Service, Service)> {
        let service = Service {
            most_connections: self.max_connections,
            engine: self.engine.map(WireEngine::decode).transpose()?,
        };
        Ok((self.name.parse()?, service))
    }
}

impl WireEngine {
    fn decode(self) -> Result<Engine> {
        let models: Result<_> = self.models.into_iter().map(WireModel::decode).collect();
        Ok(Engine {
            batch: self.slots,
            cache: Tokens(self.kv_capacity.min(MAX_TOKENS)),
            memory: megabytes(self.weights_mb),
            adapter_places: self.adapter_capacity.min(MAX_ADAPTER_PLACES),
            loads: Rate(self.loads_per_s.clamp(0.0, MAX_LOADS.0)),
            models: models?,
        })
    }
}

impl WireModel {
    fn decode(self) -> Result<(crate::world::id::Model, Model)> {
        let model = Model {
            size: megabytes(self.weights_mb),
            load: time::from_secs_f64(self.load_time_s),
            adapters: self.adapters,
            adapter_size: megabytes(self.adapter_size_mb),
        };
        Ok((self.name.parse()?, model))
    }
}

fn decode_workspaces(tenants: Vec<WireTenant>) -> Result<Workspaces> {
    let mut workspaces = Workspaces::default();
    for tenant in tenants {
        if !is_workspace_name(&tenant.name) {
            return Err(Error::Settings {
                problems: vec![format!(
                    "the configuration: {:?} can't be the name of a tenant; write it anew with a \
                     name without control characters",
                    tenant.name
                )],
            });
        }
        let workspace = Workspace {
            quota: tenant.quota(),
            name: tenant.name,
            priority: tenant.priority,
        };
        workspaces.add(workspace, &tenant.api_keys.0);
    }
    Ok(workspaces)
}

impl WireTenant {
    /// Returns the limit; a rate of 0 means that there is none.
    fn quota(&self) -> Option<Quota> {
        let unit = if self.unit == TOKEN_UNIT {
            Unit::Tokens {
                plain: tokens(self.plain_tokens),
            }
        } else {
            Unit::Requests
        };
        (self.rate_per_s > 0.0).then_some(Quota {
            rate: Rate(self.rate_per_s),
            burst: self.burst.max(0.0),
            unit,
        })
    }
}

impl WireLimits {
    fn decode(&self) -> Limits {
        Limits {
            header: Bytes(self.max_header_bytes),
            body: Bytes(self.max_body_bytes),
            idle: time::from_millis(self.idle_timeout_ms),
            head: self.header_timeout_ms.map(time::from_millis),
        }
    }
}

fn milliseconds(value: f64) -> Duration {
    time::from_secs_f64(value / 1e3)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn megabytes(value: f64) -> Bytes {
    Bytes(((value.max(0.0) * MEGABYTE).round() as u64).min(MAX_BYTES))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn tokens(value: f64) -> Tokens {
    Tokens((value.max(0.0).round() as u64).min(MAX_TOKENS))
}
