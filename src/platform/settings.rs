//! Decodes the settings file that the platform writes for each process.

use crate::common::*;
use crate::world::deployment::{Allowance, Bounds, Deployment, Machine, QuotaSlack};
use crate::world::unit::Bytes;

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "POPLARSEAM_SETTINGS";

const MEGABYTE: u64 = 1_000_000;

/// Path of the platform's readiness probe.
pub const READY_PATH: &str = "/v1/readyz";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct File {
    node_name: String,
    zone: String,
    zones: BTreeMap<String, String>,
    listen: Listen,
    internal_ports: [u16; 2],
    ip: std::net::IpAddr,
    bounds: WireBounds,
    platform: Store,
    #[serde(default)]
    limits: WireLimits,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Listen {
    frontend: SocketAddr,
    ready: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBounds {
    grace_s: f64,
    lease_ms: u64,
    #[serde(default)]
    fencing_enforced: bool,
    retry_budget_ratio: f64,
    budget_extra: f64,
    budget_window_s: f64,
    ceiling_window_s: f64,
    config_apply_ms: Option<u64>,
    #[serde(default)]
    revoke_strict: bool,
    revoke_ms: Option<u64>,
    quota_window_s: Option<f64>,
    #[serde(default)]
    quota_overage: f64,
    #[serde(default)]
    quota_slack: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    memory_mb: Option<u64>,
    max_fds: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Store {
    address: SocketAddr,
}

/// Decodes the settings of this process.
///
/// # Errors
/// [`Error::Settings`] with a message for operators of the platform that says what is wrong.
pub fn decode(text: &str) -> Result<Deployment> {
    let file: File =
        serde_json::from_str(text).map_err(|error| settings_error(&error.to_string()))?;
    if file.internal_ports[1] <= file.internal_ports[0] {
        return Err(settings_error(
            "`InternalPorts` must name two ports or more",
        ));
    }
    let mut regions = BTreeMap::new();
    for (zone, region) in &file.zones {
        regions.insert(zone.parse()?, region.parse()?);
    }
    Ok(Deployment {
        instance: file.node_name.parse()?,
        data_centre: file.zone.parse()?,
        regions,
        callers: file.listen.frontend,
        ready: file.listen.ready,
        peers: (file.ip, file.internal_ports[0]).into(),
        metrics: (file.ip, file.internal_ports[0] + 1).into(),
        store: file.platform.address,
        bounds: file.bounds.decode(),
        machine: file.limits.decode(),
    })
}

impl WireLimits {
    fn decode(&self) -> Machine {
        let memory = self.memory_mb.filter(|megabytes| *megabytes > 0);
        Machine {
            memory: memory.map(|megabytes| Bytes(megabytes.saturating_mul(MEGABYTE))),
            descriptors: self.max_fds.filter(|descriptors| *descriptors > 0),
        }
    }
}

impl WireBounds {
    fn decode(&self) -> Bounds {
        Bounds {
            grace: Duration::from_secs_f64(self.grace_s.max(0.0)),
            lease: Duration::from_millis(self.lease_ms),
            fencing_enforced: self.fencing_enforced,
            retries: Allowance {
                ratio: self.retry_budget_ratio,
                extra: self.budget_extra,
                window: Duration::from_secs_f64(self.budget_window_s.max(0.0)),
            },
            load_window: Duration::from_secs_f64(self.ceiling_window_s.max(0.0)),
            configuration: self.config_apply_ms.map(Duration::from_millis),
            revocation: self
                .revoke_ms
                .filter(|_| self.revoke_strict)
                .map(Duration::from_millis),
            quotas: self.quota_window_s.map(|window| QuotaSlack {
                window: Duration::from_secs_f64(window.max(0.0)),
                overage: self.quota_overage.max(0.0),
                extra: self.quota_slack.max(0.0),
            }),
        }
    }
}

fn settings_error(reason: &str) -> Error {
    let problem =
        format!("the file that {PATH_VARIABLE} names: {reason}; let the platform write it anew");
    Error::Settings {
        problems: vec![problem],
    }
}
