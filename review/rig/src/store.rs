//! The platform's store: rows, transactions and the feed, as PROTOCOL.md describes them.

use crate::http::{Reply, Request};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Row {
    /// Base64; none if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Machines whose calls get no answer.
    unanswered: BTreeSet<usize>,
    is_down: bool,
    /// Counts the returns from an old copy.
    era: u64,
    /// Time that each answer takes.
    delay: Duration,
}

/// All rows as of some time, and the newest version then.
pub struct Copy(BTreeMap<(String, String), Row>, u64);

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        let delay = Duration::from_millis(4);
        let state = State {
            delay,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the store's state")
    }

    /// Leaves the calls of these machines without an answer.
    pub fn set_unanswered(&self, machines: &[usize]) {
        self.state().unanswered = machines.iter().copied().collect();
    }

    fn is_unanswered(&self, machine: usize) -> bool {
        let state = self.state();
        state.is_down || state.unanswered.contains(&machine)
    }

    /// Leaves all calls without an answer and without effect, those of servers included, or answers
    /// new ones again.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    /// Takes a copy of all rows.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy(state.rows.clone(), state.version)
    }

    /// Comes back from a copy: what was written since is gone, and versions are given out again.
    pub fn return_from(&self, copy: &Copy) {
        let mut state = self.state();
        state.rows.clone_from(&copy.0);
        state.version = copy.1;
        state.era += 1;
        state.is_down = false;
    }

    pub fn is_down(&self) -> bool {
        self.state().is_down
    }

    /// Writes a row as the operator or a server does; the return is the acknowledgement.
    pub fn write(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut state = self.state();
        state.version += 1;
        let row = Row {
            value: value.map(|value| BASE64.encode(value.to_string())),
            version: state.version,
        };
        state.rows.insert((table.into(), key.into()), row);
        drop(state);
        self.changed.notify_all();
    }

    /// The values of a table's rows whose keys begin with a prefix.
    pub fn read(&self, table: &str, prefix: &str) -> BTreeMap<String, Value> {
        let state = self.state();
        let rows = state
            .rows
            .iter()
            .filter(|((of, key), _)| of == table && key.starts_with(prefix));
        let rows = rows.filter_map(|((_, key), row)| {
            let bytes = BASE64.decode(row.value.as_ref()?).ok()?;
            Some((key.clone(), serde_json::from_slice(&bytes).ok()?))
        });
        rows.collect()
    }

    /// Answers a call of a machine.
    pub fn answer(&self, machine: usize, request: &Request) -> Reply {
        let delay = self.state().delay;
        if self.is_unanswered(machine) {
            return Reply::Silence;
        }
        let answer = match request.path.as_str() {
            "/v1/rows-tx" => {
                self.transaction(&serde_json::from_slice(&request.body).unwrap_or_default())
            }
            "/v1/rows-get" => self.page(request),
            "/v1/rows-feed" => self.feed(machine, request),
            _ => (404, json!({})),
        };
        thread::sleep(delay);
        if self.is_unanswered(machine) {
            return Reply::Silence;
        }
        let era = self.state().era.to_string();
        let headers = vec![
            ("content-type", "application/json".to_owned()),
            ("store-era", era),
        ];
        Reply::Answer(answer.0, headers, answer.1.to_string().into_bytes())
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn transaction(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let id = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("Table"), text("Key"))
        };
        let mut state = self.state();
        let holds = list("Expected").iter().all(|row| {
            let known = state.rows.get(&id(row)).filter(|row| row.value.is_some());
            row["Ver"].as_u64() == Some(known.map_or(0, |row| row.version))
        });
        if !holds {
            let ids: BTreeSet<(String, String)> = list("Expected").iter().map(id).collect();
            let tables: BTreeSet<&String> = ids.iter().map(|(table, _)| table).collect();
            let rows = tables.into_iter().flat_map(|table| {
                Self::rows(&state, table, |key, row| {
                    row.value.is_some() && ids.contains(&(table.clone(), key.to_owned()))
                })
            });
            let rows: Vec<Value> = rows.collect();
            return (
                412,
                json!({"Rows": rows, "Ver": state.version, "NowMs": self.now_ms()}),
            );
        }
        state.version += 1;
        let version = state.version;
        let puts = list("Put")
            .into_iter()
            .map(|row| (id(&row), row["Value"].as_str().map(str::to_owned)));
        let removed = list("Remove").into_iter().map(|row| (id(&row), None));
        let written: Vec<_> = puts.chain(removed).collect();
        for (id, value) in written {
            state.rows.insert(id, Row { value, version });
        }
        drop(state);
        self.changed.notify_all();
        (200, json!({"Ver": version, "NowMs": self.now_ms()}))
    }

    fn rows(state: &State, table: &str, is_wanted: impl Fn(&str, &Row) -> bool) -> Vec<Value> {
        let rows = state
            .rows
            .iter()
            .filter(|((of, key), row)| of == table && is_wanted(key, row));
        let mut rows: Vec<(u64, Value)> = rows
            .map(|((_, key), row)| {
                let value = json!({"Table": table, "part": "", "Key": key, "Value": row.value,
                    "Ver": row.version, "Tombstone": row.value.is_none()});
                (row.version, value)
            })
            .collect();
        rows.sort_by_key(|(version, _)| *version);
        rows.into_iter().map(|(_, row)| row).collect()
    }

    fn page(&self, request: &Request) -> (u16, Value) {
        let (table, from) = (request.parameter("Table"), request.parameter("From"));
        let limit = request.parameter("Limit").parse().unwrap_or(500);
        let state = self.state();
        let mut rows = Self::rows(&state, &table, |key, row| {
            row.value.is_some() && key >= from.as_str()
        });
        rows.sort_by(|a, b| a["Key"].as_str().cmp(&b["Key"].as_str()));
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (
            200,
            json!({"Rows": rows, "HasMore": has_more, "Ver": state.version, "NowMs": self.now_ms()}),
        )
    }

    fn feed(&self, machine: usize, request: &Request) -> (u16, Value) {
        let table = request.parameter("Table");
        let after = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("WaitMs").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let rows = Self::rows(&state, &table, |_, row| row.version > after);
            let now = Instant::now();
            if after > state.version {
                return (410, json!({"Ver": state.version, "NowMs": self.now_ms()}));
            }
            if !rows.is_empty() || now >= until || state.unanswered.contains(&machine) {
                let body = json!({"Rows": rows, "HasMore": false, "Ver": state.version, "NowMs": self.now_ms()});
                return (200, body);
            }
            state = self
                .changed
                .wait_timeout(state, until - now)
                .expect("the store's state")
                .0;
        }
    }
}
