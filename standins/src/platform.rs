//! The users' platform: its store of rows with a feed, and the settings file of an instance.
//!
//! Everything runs on one thread with a runtime of its own, which ends when the stand-in is
//! dropped. Only what the system uses of the platform is here.

use crate::link::{Link, Mode};
use crate::worker::{self, Worker};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Table and key of the operator's configuration, and the table of servers.
const OPERATOR: &str = "op";
const SERVERS: &str = "servers";
/// Name of the link to the store.
pub const STORE_LINK: &str = "store";
/// Number of addresses of the store, one for each of the first instances of a network.
const STORE_ADDRESSES: usize = 64;
/// Number of changes that the store remembers.
const MAX_HISTORY: usize = 4_096;
/// How long a feed is kept waiting at most.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Rows of the store at some time, for its return from an old copy.
#[derive(Debug, Clone)]
pub struct Copy {
    rows: BTreeMap<(String, String), Row>,
    history: VecDeque<Row>,
    version: u64,
}

#[derive(Debug, Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
}

/// Rows of the store, and whether it answers.
#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<(String, String), Row>,
    /// All changes of rows in order, and the version of the last one that was forgotten.
    history: VecDeque<Row>,
    forgotten: u64,
    version: u64,
    is_down: bool,
    /// Calls hang for good, also after this is cleared.
    is_silent: bool,
    /// Addresses, by their index, at which calls hang for good.
    silent_addresses: BTreeSet<usize>,
    /// How often it came back from an old copy.
    era: u64,
    /// Reads of whole tables, and polls for changes, by table.
    reads: BTreeMap<String, usize>,
    polls: BTreeMap<String, usize>,
    /// Bytes of the answers to both, by table.
    bytes: BTreeMap<String, usize>,
}

impl Row {
    fn encode(&self) -> Value {
        json!({"Table": self.table, "part": "", "Key": self.key, "Value": self.value,
            "Ver": self.version, "Tombstone": self.value.is_none()})
    }
}

impl Store {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            table: table.into(),
            key: key.into(),
            value,
            version: self.version,
        };
        self.rows.insert((table.into(), key.into()), row.clone());
        self.history.push_back(row);
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.forgotten = oldest.version;
        }
    }

    fn current(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        let row = row.filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let expected = list("Expected");
        let holds = expected.iter().all(|row| {
            let current = self.current(&text(row, "Table"), &text(row, "Key"));
            row["Ver"].as_u64() == Some(current)
        });
        if !holds {
            return (412, json!({"Rows": [], "Ver": self.version}));
        }
        self.version += 1;
        for row in list("Put") {
            let value = Some(text(&row, "Value"));
            self.write(&text(&row, "Table"), &text(&row, "Key"), value);
        }
        for row in list("Remove") {
            self.write(&text(&row, "Table"), &text(&row, "Key"), None);
        }
        (200, json!({"Ver": self.version, "NowMs": 1}))
    }

    fn is_silent_at(&self, address: usize) -> bool {
        self.is_silent || self.silent_addresses.contains(&address)
    }

    fn rows(&self, table: &str, is_wanted: impl Fn(&Row) -> bool) -> Vec<Value> {
        let rows = self.rows.values().filter(|row| row.table == table);
        let rows = rows.filter(|row| is_wanted(row));
        rows.map(Row::encode).collect()
    }

    /// All changes of a table after a version.
    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let rows = self.history.iter().filter(|row| row.table == table);
        let rows = rows.filter(|row| row.version > after);
        rows.map(Row::encode).collect()
    }
}

/// The platform with its workers.
#[derive(Debug)]
pub struct Platform {
    /// Addresses of the store.
    addresses: Vec<SocketAddr>,
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
    workers: BTreeMap<String, Arc<Worker>>,
    /// Links to workers by their ids and to the store, where there are any.
    links: BTreeMap<String, Link>,
    _end: oneshot::Sender<()>,
}

impl Platform {
    /// Starts the store, model workers and servers of a plain service.
    #[must_use]
    pub fn start(workers: Vec<Worker>) -> Self {
        Self::start_at(workers, false)
    }

    /// The same, all of it behind links that can be disturbed.
    #[must_use]
    pub fn start_linked(workers: Vec<Worker>) -> Self {
        Self::start_at(workers, true)
    }

    fn start_at(workers: Vec<Worker>, linked: bool) -> Self {
        let stores: Vec<TcpListener> = (0..STORE_ADDRESSES).map(|_| listen()).collect();
        let addresses = stores.iter().map(TcpListener::local_addr);
        let addresses: Vec<SocketAddr> = addresses
            .map(|address| address.expect("an address"))
            .collect();
        let store = Arc::new(Mutex::new(Store::default()));
        let changed = Arc::new(Notify::new());
        let workers = workers.into_iter().map(Arc::new);
        let workers: BTreeMap<String, Arc<Worker>> =
            workers.map(|worker| (worker.id.clone(), worker)).collect();
        let (end, ended) = oneshot::channel();
        let targets = workers
            .values()
            .map(|worker| (worker.id.clone(), worker.address));
        let targets = targets.chain([(STORE_LINK.to_owned(), addresses[0])]);
        let (mut links, mut listeners) = (BTreeMap::new(), Vec::new());
        for (name, target) in targets.filter(|_| linked) {
            let (link, listener) = Link::new();
            links.insert(name, link);
            listeners.push((listener, target));
        }
        let hosted: Vec<Arc<Worker>> = workers.values().cloned().collect();
        let (rows, feed) = (Arc::clone(&store), Arc::clone(&changed));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                for (index, listener) in stores.into_iter().enumerate() {
                    let (rows, feed) = (Arc::clone(&rows), Arc::clone(&feed));
                    tokio::task::spawn_local(host(listener, move |request| {
                        answer(Arc::clone(&rows), Arc::clone(&feed), index, request)
                    }));
                }
                for worker in hosted {
                    tokio::task::spawn_local(worker::host(worker));
                }
                for (listener, target) in listeners {
                    tokio::task::spawn_local(listener.host(target));
                }
                let _ = ended.await;
            });
        });
        let platform = Self {
            addresses,
            store,
            changed,
            workers,
            links,
            _end: end,
        };
        for worker in platform.workers.values() {
            platform.list(worker, "ready");
        }
        platform
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A worker by its id.
    #[must_use]
    pub fn worker(&self, id: &str) -> &Worker {
        &self.workers[id]
    }

    /// All workers that it hosts.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().map(Arc::as_ref)
    }

    /// Writes a worker's entry with a state.
    pub fn list(&self, worker: &Worker, state: &str) {
        let mut entry = worker.entry(state);
        if let Some(link) = self.links.get(&worker.id) {
            entry["Address"] = json!(link.address);
        }
        self.write(SERVERS, &worker.id, Some(&entry));
    }

    /// Removes a worker's entry.
    pub fn unlist(&self, worker: &Worker) {
        self.write(SERVERS, &worker.id, None);
    }

    /// Writes a row as another process of the system would.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.write(table, key, Some(value));
    }

    /// Writes these bytes as a row, as a faulty process would.
    pub fn put_bytes(&self, table: &str, key: &str, bytes: &[u8]) {
        self.write_value(table, key, Some(BASE64.encode(bytes)));
    }

    /// Removes a row, as an operator by hand would.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Keys of a table's rows that begin with a prefix.
    #[must_use]
    pub fn keys(&self, table: &str, prefix: &str) -> Vec<String> {
        let store = self.store();
        let rows = store.rows.values().filter(|row| row.table == table);
        let rows = rows.filter(|row| row.value.is_some() && row.key.starts_with(prefix));
        rows.map(|row| row.key.clone()).collect()
    }

    /// Number of times that a whole table was read.
    #[must_use]
    pub fn reads(&self, table: &str) -> usize {
        self.store().reads.get(table).copied().unwrap_or_default()
    }

    /// Number of times that changes of a table were asked for.
    #[must_use]
    pub fn polls(&self, table: &str) -> usize {
        self.store().polls.get(table).copied().unwrap_or_default()
    }

    /// Bytes of all answers about a table.
    #[must_use]
    pub fn bytes(&self, table: &str) -> usize {
        self.store().bytes.get(table).copied().unwrap_or_default()
    }

    /// Changes what the link to a worker or to the store does.
    pub fn disturb(&self, name: &str, mode: Mode) {
        self.links[name].set(mode);
    }

    /// Changes what all links to workers do with connections from one instance.
    pub fn cut(&self, instance: Ipv4Addr, mode: Mode) {
        let links = self.links.iter().filter(|(name, _)| *name != STORE_LINK);
        for (_, link) in links {
            link.set_for(instance.into(), mode);
        }
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, config: &Value) {
        self.write(OPERATOR, "config", Some(config));
    }

    /// Has the store answer every call with 503, or answer again.
    pub fn set_down(&self, is_down: bool) {
        self.store().is_down = is_down;
    }

    /// Has the store hang on every call, those that wait included, or answer new ones again.
    pub fn set_silent(&self, is_silent: bool) {
        self.store().is_silent = is_silent;
        self.changed.notify_waiters();
    }

    /// Has the store hang on every call of an instance, or answer its new ones again.
    pub fn set_silent_to(&self, instance: Ipv4Addr, is_silent: bool) {
        let index = store_index(instance);
        let mut store = self.store();
        if is_silent {
            store.silent_addresses.insert(index);
        } else {
            store.silent_addresses.remove(&index);
        }
        drop(store);
        self.changed.notify_waiters();
    }

    /// Takes a copy of all rows.
    #[must_use]
    pub fn copy(&self) -> Copy {
        let store = self.store();
        Copy {
            rows: store.rows.clone(),
            history: store.history.clone(),
            version: store.version,
        }
    }

    /// Has the store come back from a copy: what was written since is lost, and versions are given out
    /// again.
    pub fn return_from(&self, copy: &Copy) {
        let mut store = self.store();
        store.rows.clone_from(&copy.rows);
        store.history.clone_from(&copy.history);
        store.version = copy.version;
        store.era += 1;
        drop(store);
        self.changed.notify_waiters();
    }

    /// The value of a row of JSON.
    #[must_use]
    pub fn value(&self, table: &str, key: &str) -> Option<Value> {
        let store = self.store();
        let row = store.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = BASE64.decode(row.value.as_ref()?).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    fn write(&self, table: &str, key: &str, value: Option<&Value>) {
        self.write_value(
            table,
            key,
            value.map(|value| BASE64.encode(value.to_string())),
        );
    }

    fn write_value(&self, table: &str, key: &str, value: Option<String>) {
        let mut store = self.store();
        store.version += 1;
        store.write(table, key, value);
        drop(store);
        self.changed.notify_waiters();
    }

    /// Settings of an instance on its own loopback address.
    #[must_use]
    pub fn settings(&self, name: &str, ip: Ipv4Addr) -> Value {
        let link = self.links.get(STORE_LINK);
        let store = link.map_or(self.addresses[store_index(ip)], |link| link.address);
        json!({
            "NodeName": name, "Zone": "north-1", "Ip": ip, "InternalPorts": [7000, 7015],
            "Zones": {"north-1": "north", "north-2": "north", "south-1": "south"},
            "Listen": {"Frontend": format!("{ip}:8000"), "Ready": format!("{ip}:8001")},
            "Bounds": {"GraceS": 8, "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "BudgetExtra": 56,
                "BudgetWindowS": 10, "CeilingWindowS": 5, "QuotaWindowS": 8,
                "QuotaOverage": 0.1, "QuotaSlack": 17_000},
            "Platform": {"Address": store},
        })
    }
}

/// Index of the store's address that an instance is given.
fn store_index(instance: Ipv4Addr) -> usize {
    usize::from(instance.octets()[3]) % STORE_ADDRESSES
}

/// Listens on a free port of a loopback address that no other process uses: instances that outlive
/// their test would go on calling its ports, which the system gives out again.
pub(crate) fn listen() -> TcpListener {
    let [low, middle, high, _] = std::process::id().to_le_bytes();
    let address = Ipv4Addr::new(127, high, middle, low);
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

/// Answers requests on a listener until the runtime ends.
pub(crate) async fn host<F>(
    listener: TcpListener,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Option<Response<worker::Body>>> + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { answer.await.ok_or(std::fmt::Error) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _: Result<(), _> = connection.await;
        });
    }
}

async fn answer(
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
    address: usize,
    request: Request<Incoming>,
) -> Option<Response<worker::Body>> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let lock = || store.lock().unwrap_or_else(PoisonError::into_inner);
    if lock().is_silent_at(address) {
        std::future::pending::<()>().await;
    }
    let (status, body) = match path.as_str() {
        _ if lock().is_down => (503, json!({})),
        "/v1/rows-tx" => {
            let answer = lock().commit(&body);
            changed.notify_waiters();
            answer
        }
        "/v1/rows-get" => {
            let (table, from) = (parameter(&query, "Table"), parameter(&query, "From"));
            let mut store = lock();
            *store.reads.entry(table.clone()).or_default() += 1;
            let rows = store.rows(&table, |row| row.value.is_some() && row.key >= from);
            (
                200,
                json!({"Rows": rows, "HasMore": false, "Ver": store.version}),
            )
        }
        "/v1/rows-feed" => {
            let after = parameter(&query, "after").parse().unwrap_or(0);
            let table = parameter(&query, "Table");
            *lock().polls.entry(table.clone()).or_default() += 1;
            let wait = parameter(&query, "WaitMs")
                .parse()
                .map(Duration::from_millis);
            let longest = tokio::time::sleep(wait.unwrap_or_default().min(LONGEST_WAIT));
            let mut longest = std::pin::pin!(longest);
            loop {
                if lock().is_silent_at(address) {
                    std::future::pending::<()>().await;
                }
                let woken = changed.notified();
                let (rows, version) = {
                    let store = lock();
                    let is_known = (store.forgotten..=store.version).contains(&after);
                    (
                        is_known.then(|| store.changes(&table, after)),
                        store.version,
                    )
                };
                let Some(rows) = rows else {
                    break (410, json!({"Ver": version}));
                };
                if !rows.is_empty() || longest.is_elapsed() {
                    break (200, json!({"Rows": rows, "HasMore": false, "Ver": version}));
                }
                tokio::select! {
                    () = woken => {}
                    () = &mut longest => {}
                }
            }
        }
        _ => (404, json!({})),
    };
    let body = body.to_string();
    let table = parameter(&query, "Table");
    *lock().bytes.entry(table).or_default() += body.len();
    let body = worker::Body::Whole(Full::new(Bytes::from(body)));
    let era = lock().era;
    Response::builder()
        .status(status)
        .header("store-era", era)
        .body(body)
        .ok()
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or_else(String::new, |(_, value)| value.to_owned())
}
