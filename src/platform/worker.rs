//! Formats of backend servers: their entries in the store, their reports, and orders to them.

use crate::common::*;
use crate::world::backend::{Backend, Holdings, Report};
use crate::world::id;
use crate::world::message::Target;
use crate::world::order::{Action, Order, Reply};
use crate::world::unit::Incarnation;

/// Table of the backend servers' entries; the key is the server's id.
pub const TABLE: &str = "servers";
/// Path at which a worker reports its state.
pub const REPORT_PATH: &str = "/v1/report";
/// Path at which a worker takes orders.
pub const ORDER_PATH: &str = "/v1/order";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the server's software; in [`Held`] and elsewhere, versions are those of weights.
    #[serde(default)]
    version: Value,
    slots: u32,
    state: String,
    #[serde(default)]
    models: Vec<Held>,
    #[serde(default)]
    available: Available,
    #[serde(rename = "born")]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Held {
    name: String,
    #[serde(default)]
    adapters: Vec<Value>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Available {
    in_memory: Vec<Value>,
    on_disk: Vec<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct State {
    #[serde(default)]
    models: Vec<Held>,
    #[serde(default)]
    available: Available,
    /// Adapters on their way to the worker, which already take up places.
    #[serde(default)]
    incoming: Vec<Value>,
    busy: bool,
    /// Orders accepted since the start. In an [`Entry`], the field of this name counts heartbeats
    /// instead and is not read.
    sequence: u64,
}

/// Decodes a backend server's entry.
///
/// # Errors
/// [`Error::Entry`] if the entry does not describe a usable server.
pub fn decode(key: &str, bytes: &[u8]) -> Result<Backend> {
    let entry_error = |reason: String| Error::Entry {
        path: format!("{TABLE}/{key}"),
        reason,
    };
    let entry: Entry =
        serde_json::from_slice(bytes).map_err(|error| entry_error(error.to_string()))?;
    if entry.address.port() == 0 {
        return Err(entry_error("port 0 names no server".into()));
    }
    let leaving = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        state => return Err(entry_error(format!("unknown state `{state}`"))),
    };
    Ok(Backend {
        id: key.parse()?,
        service: entry.service.parse()?,
        address: entry.address,
        data_centre: entry.zone.parse()?,
        boot: Incarnation(entry.born),
        software: entry.version.as_str().and_then(|text| text.parse().ok()),
        leaving,
        places: entry.slots,
        holdings: decode_holdings(&entry.models)?,
        copies: entry.available.decode(),
    })
}

/// Decodes a worker's report.
///
/// # Errors
/// [`Error::Entry`] if the body is not a report.
pub fn decode_report(bytes: &[u8]) -> Result<Report> {
    let entry_error = |error: serde_json::Error| Error::Entry {
        path: REPORT_PATH.into(),
        reason: error.to_string(),
    };
    let state: State = serde_json::from_slice(bytes).map_err(entry_error)?;
    Ok(Report {
        holdings: decode_holdings(&state.models)?,
        incoming: state.incoming.iter().filter_map(decode_target).collect(),
        copies: state.available.decode(),
        busy: state.busy,
        orders: state.sequence,
    })
}

fn decode_holdings(models: &[Held]) -> Result<Holdings> {
    let held = models.iter().map(|held| {
        let adapters = held.adapters.iter().filter_map(item_name);
        let adapters = adapters.filter_map(|name| name.parse().ok()).collect();
        Ok((held.name.parse()?, adapters))
    });
    held.collect()
}

impl Available {
    fn decode(&self) -> BTreeSet<id::Model> {
        let names = self.in_memory.iter().chain(&self.on_disk);
        let names = names.filter_map(item_name);
        names.filter_map(|name| name.parse().ok()).collect()
    }
}

/// Decodes an adapter, written `MODEL/NAME@VERSION`.
fn decode_target(value: &Value) -> Option<Target> {
    value.as_str()?.split('@').next()?.parse().ok()
}

/// Returns the name of a list item: `NAME` or `PREFIX/NAME@VERSION`, as a string or in the `Name`
/// of an object.
fn item_name(value: &Value) -> Option<&str> {
    let text = value.as_str().or_else(|| value.get("Name")?.as_str())?;
    let text = text.split('@').next()?;
    text.rsplit('/').next()
}

/// Encodes the body of an order.
#[must_use]
pub fn encode_order(order: &Order) -> Vec<u8> {
    let (operation, target) = match &order.action {
        Action::Load(target) => ("load", target),
        Action::Unload(target) => ("unload", target),
    };
    let mut body = json!({
        "Operation": operation,
        "Model": target.model,
        "Expected": order.expected,
        "Holder": order.holder,
        "FencingToken": order.fence,
    });
    if let Some(adapter) = &target.adapter {
        body["Adapter"] = json!(adapter);
    }
    body.to_string().into_bytes()
}

/// Decodes the status code that answers an order.
#[must_use]
pub fn decode_reply(status: u16) -> Reply {
    match status {
        202 => Reply::Accepted,
        200 => Reply::Holds,
        409 => Reply::Conflict,
        421 => Reply::Misdirected,
        _ => Reply::Refused,
    }
}
