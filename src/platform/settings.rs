//! Decodes the settings file that the platform writes for each process.

use crate::common::*;
use crate::world::deployment::{Allowance, Bounds, Deployment, Machine, QuotaSlack};
use crate::world::time;
use crate::world::unit::Bytes;

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "POPLARSEAM_SETTINGS";

const MEGABYTE: u64 = 1_000_000;
/// Largest number of requests or units, and largest ratio, in the settings.
const MAX_AMOUNT: f64 = 1e9;

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
    lease_ms: f64,
    #[serde(default)]
    fencing_enforced: bool,
    retry_budget_ratio: f64,
    budget_extra: f64,
    budget_window_s: f64,
    ceiling_window_s: f64,
    config_apply_ms: Option<f64>,
    #[serde(default)]
    revoke_strict: bool,
    revoke_ms: Option<f64>,
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
        bounds: file.bounds.decode()?,
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
    fn decode(&self) -> Result<Bounds> {
        let revocation = optional("RevokeMs", self.revoke_ms, millis)?;
        let window = optional("QuotaWindowS", self.quota_window_s, seconds)?;
        Ok(Bounds {
            grace: seconds("GraceS", self.grace_s)?,
            lease: millis("LeaseMs", self.lease_ms)?,
            fencing_enforced: self.fencing_enforced,
            retries: Allowance {
                ratio: amount("RetryBudgetRatio", self.retry_budget_ratio)?,
                extra: amount("BudgetExtra", self.budget_extra)?,
                window: seconds("BudgetWindowS", self.budget_window_s)?,
            },
            load_window: seconds("CeilingWindowS", self.ceiling_window_s)?,
            configuration: optional("ConfigApplyMs", self.config_apply_ms, millis)?,
            revocation: revocation.filter(|_| self.revoke_strict),
            quotas: match window {
                Some(window) => Some(QuotaSlack {
                    window,
                    overage: amount("QuotaOverage", self.quota_overage)?,
                    extra: amount("QuotaSlack", self.quota_slack)?,
                }),
                None => None,
            },
        })
    }
}

fn optional<T, U>(
    field: &str,
    value: Option<T>,
    decode: impl Fn(&str, T) -> Result<U>,
) -> Result<Option<U>> {
    value.map(|value| decode(field, value)).transpose()
}

fn seconds(field: &str, value: f64) -> Result<Duration> {
    let seconds = check_range(field, value, time::LONGEST.as_secs_f64())?;
    Ok(time::from_secs_f64(seconds))
}

fn millis(field: &str, value: f64) -> Result<Duration> {
    let millis = check_range(field, value, time::LONGEST.as_secs_f64() * 1e3)?;
    Ok(time::from_secs_f64(millis / 1e3))
}

/// Checks a number of requests or units, or a ratio of such numbers.
fn amount(field: &str, value: f64) -> Result<f64> {
    check_range(field, value, MAX_AMOUNT)
}

fn check_range(field: &str, value: f64, most: f64) -> Result<f64> {
    if (0.0..=most).contains(&value) {
        return Ok(value);
    }
    Err(settings_error(&format!(
        "`{field}` is {value:e}, but must be from 0 to {most}"
    )))
}

fn settings_error(reason: &str) -> Error {
    let problem =
        format!("the file that {PATH_VARIABLE} names: {reason}; let the platform write it anew");
    Error::Settings {
        problems: vec![problem],
    }
}
