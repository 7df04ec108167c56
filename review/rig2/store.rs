//! The platform's store: rows, transactions and the feed, as its pages describe them.

use crate::http::{self, Message};
use crate::json::{Json, base64};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Row {
    /// `None` once it was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

impl Rows {
    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.into(), key.into()));
        let row = row.filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            value,
            version: self.version,
        };
        self.rows.insert((table.into(), key.into()), row);
    }

    fn page(&self, table: &str, in_order: bool, is_wanted: impl Fn(&str, &Row) -> bool) -> String {
        let rows = self.rows.iter();
        let rows = rows.filter(|((of, key), row)| of == table && is_wanted(key, row));
        let mut rows: Vec<(u64, String)> = rows
            .map(|((table, key), row)| {
                let value = row.value.as_deref().unwrap_or("");
                let text = format!(
                    "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{value}\",\
                     \"Ver\":{},\"Tombstone\":{}}}",
                    row.version,
                    row.value.is_none()
                );
                (row.version, text)
            })
            .collect();
        if in_order {
            rows.sort();
        }
        rows.truncate(500);
        let rows: Vec<String> = rows.into_iter().map(|(_, text)| text).collect();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{},\"NowMs\":1}}",
            rows.join(","),
            self.version
        )
    }
}

/// The store; all answers are linearizable, and nothing is lost.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: &str) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        http::listen(listener, move |message, stream| {
            serving.serve(message, stream)
        });
        (store, address)
    }

    /// Writes a row as the operator or a worker does.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.put(table, key, value.map(|value| base64(value.as_bytes())));
        self.changed.notify_all();
    }

    fn serve(&self, message: &Message, stream: &mut TcpStream) -> bool {
        let (status, body) = match message.path() {
            "/v1/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let from = percent_decoded(message.query("From"));
                let limit = message.query("Limit").parse().unwrap_or(500);
                let mut count = 0;
                let counted = std::cell::RefCell::new(&mut count);
                let page = rows.page(message.query("Table"), false, |key, row| {
                    let is_wanted =
                        row.value.is_some() && key >= from.as_str() && **counted.borrow() < limit;
                    **counted.borrow_mut() += usize::from(is_wanted);
                    is_wanted
                });
                (200, page)
            }
            "/v1/rows-feed" => (200, self.feed(message)),
            "/v1/rows-tx" => self.commit(&message.text()),
            _ => (404, String::new()),
        };
        http::answer(
            stream,
            status,
            &[("Content-Type", "application/json")],
            &body,
        )
        .is_ok()
    }

    fn feed(&self, message: &Message) -> String {
        let table = message.query("Table").to_owned();
        let after: u64 = message.query("after").parse().unwrap_or(0);
        let wait: u64 = message.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_new = |of: &str, row: &Row| of == table && row.version > after;
            let has_news = rows.rows.iter().any(|((of, _), row)| is_new(of, row));
            let left = until.saturating_duration_since(Instant::now());
            if has_news || left.is_zero() {
                return rows.page(&table, true, |_, row| row.version > after);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, String::new());
        };
        let mut rows = self.rows.lock().unwrap();
        let holds = body.get("Expected").list().iter().all(|row| {
            let version = rows.version_of(row.get("Table").text(), row.get("Key").text());
            row.get("Ver").number() == Some(version)
        });
        if !holds {
            return (412, format!("{{\"Rows\":[],\"Ver\":{}}}", rows.version));
        }
        rows.version += 1;
        for row in body.get("Put").list() {
            let value = Some(row.get("Value").text().to_owned());
            rows.put(row.get("Table").text(), row.get("Key").text(), value);
        }
        for row in body.get("Remove").list() {
            rows.put(row.get("Table").text(), row.get("Key").text(), None);
        }
        self.changed.notify_all();
        (200, format!("{{\"Ver\":{},\"NowMs\":1}}", rows.version))
    }

    /// Value of a row, decoded.
    pub fn read(&self, table: &str, key: &str) -> Option<Json> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.into(), key.into()))?;
        let bytes = crate::json::from_base64(row.value.as_ref()?);
        Json::parse(&String::from_utf8(bytes).ok()?)
    }
}

fn percent_decoded(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits: Vec<u8> = bytes.by_ref().take(2).collect();
            let digits = String::from_utf8(digits).unwrap_or_default();
            decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
