//! The transactional table service.
//!
//! `POST /txn`, `POST /read {"keys": […]}`, `POST /scan {"after", "prefix", "limit"}`,
//! `GET /counts`.

use crate::http::{Answer, Call, Host, serve};
use poplarseam::world::table::{Commit, Put, Row, Txn};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Rows and their versions, with counts of what was asked.
#[derive(Debug, Default, Clone)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    last_version: u64,
    pub reads: u64,
    pub writes: u64,
}

impl Table {
    /// Commits a transaction, or changes nothing.
    pub fn commit(&mut self, txn: &Txn) -> Commit {
        self.writes += 1;
        let stale = txn
            .checks
            .iter()
            .filter(|check| self.version(&check.key) != check.version);
        let conflicts: Vec<String> = stale.map(|check| check.key.clone()).collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        let versions = txn.puts.iter().map(|put| self.write(put)).collect();
        Commit::Done(versions)
    }

    fn write(&mut self, put: &Put) -> u64 {
        if put.value.is_null() {
            self.rows.remove(&put.key);
            return 0;
        }
        self.last_version += 1;
        let (key, value) = (put.key.clone(), put.value.clone());
        let row = Row {
            key: key.clone(),
            version: self.last_version,
            value,
        };
        self.rows.insert(key, row);
        self.last_version
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    /// The row under a key.
    pub fn read(&mut self, key: &str) -> Option<Row> {
        self.reads += 1;
        self.rows.get(key).cloned()
    }

    /// Rows whose keys start with `prefix` and stand after `after`.
    pub fn scan(&mut self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        self.reads += 1;
        let from = if after > prefix { after } else { prefix };
        let rows = self.rows.range(from.to_owned()..);
        let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        let rows = rows.filter(|(key, _)| key.as_str() > after);
        rows.take(limit).map(|(_, row)| row.clone()).collect()
    }
}

/// Starts the service.
#[must_use]
pub fn start(address: SocketAddr) -> Host {
    start_with(address, Arc::default())
}

/// Starts the service over rows that a test holds too.
#[must_use]
pub fn start_with(address: SocketAddr, table: Arc<Mutex<Table>>) -> Host {
    serve(address, move |call| {
        answer(&mut table.lock().unwrap(), call)
    })
}

fn answer(table: &mut Table, call: &Call) -> Answer {
    let body = call.json();
    match call.path.as_str() {
        "/txn" => match serde_json::from_value::<Txn>(body) {
            Ok(txn) => Answer::Json(200, json!(table.commit(&txn))),
            Err(error) => Answer::Json(400, json!({"error": error.to_string()})),
        },
        "/read" => {
            let keys = body["keys"].as_array().cloned().unwrap_or_default();
            let rows: Vec<Value> = keys
                .iter()
                .map(|key| json!(table.read(key.as_str().unwrap_or(""))))
                .collect();
            Answer::Json(200, json!({"rows": rows}))
        }
        "/scan" => {
            let text = |name: &str| body[name].as_str().unwrap_or("").to_owned();
            let limit = body["limit"].as_u64().unwrap_or(1000);
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            let rows = table.scan(&text("prefix"), &text("after"), limit);
            Answer::Json(200, json!({"rows": rows}))
        }
        "/counts" => Answer::Json(200, json!({"reads": table.reads, "writes": table.writes})),
        _ => Answer::Json(404, json!({"error": "no such call"})),
    }
}
