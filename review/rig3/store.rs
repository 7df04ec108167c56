//! Stand-in of the platform's store: rows, transactions and feeds, as PROTOCOL.md tells them.

use crate::http::{Channel, Message, response};
use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A table and a key.
type Name = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// The Base64 of each row, and its version.
    rows: BTreeMap<Name, (String, u64)>,
    /// What changed: the version, the row, and its Base64 unless it was removed.
    changes: Vec<(u64, Name, Option<String>)>,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    begun: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            state: Arc::default(),
            begun: Instant::now(),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || {
                    let mut channel = Channel::new(stream);
                    while let Ok(call) = channel.message() {
                        let (status, body) = store.answer(&call);
                        let kind = [("Content-Type", "application/json")];
                        if channel
                            .send(&response(status, &kind, body.as_bytes()))
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a worker does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut rows = self.state.0.lock().expect("no thread has panicked");
        rows.version += 1;
        let version = rows.version;
        rows.set(table, key, Some(json::to_base64(value.as_bytes())));
        drop(rows);
        self.state.1.notify_all();
        version
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        match (call.method(), call.path()) {
            ("GET", "/v1/rows-get") => ("200 OK", self.read(call)),
            ("GET", "/v1/rows-feed") => ("200 OK", self.feed(call)),
            ("POST", "/v1/rows-tx") => self.commit(call),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn envelope(&self, version: u64, rows: &[String]) -> String {
        let now = self.begun.elapsed().as_millis();
        format!(
            r#"{{"Rows":[{}],"HasMore":false,"Ver":{version},"NowMs":{now}}}"#,
            rows.join(",")
        )
    }

    fn read(&self, call: &Message) -> String {
        let table = call.query("Table").unwrap_or_default();
        let from = call.query("From").unwrap_or_default();
        let limit = call.query("Limit").and_then(|it| it.parse().ok());
        let rows = self.state.0.lock().expect("no thread has panicked");
        let found = rows.rows.range((table.clone(), from)..);
        let found = found.take_while(|((of, _), _)| *of == table);
        let found = found.take(limit.unwrap_or(500));
        let found: Vec<String> = found
            .map(|(name, (value, version))| row(name, Some(value), *version))
            .collect();
        self.envelope(rows.version, &found)
    }

    fn feed(&self, call: &Message) -> String {
        let table = call.query("Table").unwrap_or_default();
        let number = |name| call.query(name).and_then(|it| it.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut rows = self.state.0.lock().expect("no thread has panicked");
        loop {
            let changes = rows.changes.iter();
            let changes = changes.filter(|(at, (of, _), _)| *at > after && *of == table);
            let mut newest = BTreeMap::new();
            for (at, name, value) in changes {
                newest.insert(name, (*at, value));
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut newest: Vec<_> = newest.into_iter().collect();
                newest.sort_by_key(|(_, (at, _))| *at);
                let found: Vec<String> = newest
                    .into_iter()
                    .map(|(name, (at, value))| row(name, value.as_ref(), at))
                    .collect();
                return self.envelope(rows.version, &found);
            }
            let waited = self.state.1.wait_timeout(rows, left);
            rows = waited.expect("no thread has panicked").0;
        }
    }

    fn commit(&self, call: &Message) -> (&'static str, String) {
        let Some(txn) = json::parse(&String::from_utf8_lossy(&call.body)) else {
            return ("400 Bad Request", "{}".into());
        };
        let name = |entry: &Json| (entry.text("Table"), entry.text("Key"));
        let mut rows = self.state.0.lock().expect("no thread has panicked");
        let is_met = txn.list("Expected").iter().all(|entry| {
            let known = rows
                .rows
                .get(&name(entry))
                .map_or(0, |(_, version)| *version);
            known == entry.number("Ver")
        });
        if !is_met {
            let expected = txn.list("Expected");
            let found = expected.iter().filter_map(|entry| {
                let name = name(entry);
                let (value, version) = rows.rows.get(&name)?;
                Some(row(&name, Some(value), *version))
            });
            let found: Vec<String> = found.collect();
            return (
                "412 Precondition Failed",
                self.envelope(rows.version, &found),
            );
        }
        rows.version += 1;
        for entry in txn.list("Put") {
            let (table, key) = name(entry);
            rows.set(&table, &key, Some(entry.text("Value")));
        }
        for entry in txn.list("Remove") {
            let (table, key) = name(entry);
            rows.set(&table, &key, None);
        }
        let answer = self.envelope(rows.version, &[]);
        drop(rows);
        self.state.1.notify_all();
        ("200 OK", answer)
    }
}

impl Rows {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows
                    .insert(name.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push((self.version, name, value));
    }
}

fn row((table, key): &Name, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!(r#""Value":"{value}""#),
        None => r#""Tombstone":true"#.to_owned(),
    };
    format!(r#"{{"Table":"{table}","part":"","Key":"{key}",{value},"Ver":{version}}}"#)
}
