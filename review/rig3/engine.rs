//! Stand-in of a model worker: what it holds, the orders that it carries out, and short streams.

use crate::http::{Channel, Message, response};
use crate::json::{self, Json};
use crate::site::{self, HEARTBEAT, Record, milliseconds};
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MEMORY_MB: u64 = 200_000;
pub const ADAPTER_PLACES: usize = 8;
pub const LOAD_S: f64 = 1.2;
const DISK_LOAD_S: f64 = 0.78;
const ADAPTER_LOAD: Duration = Duration::from_millis(10);
/// Time after which the channel of an order without an answer is closed.
const UNANSWERED: Duration = Duration::from_secs(5);

/// Megabytes of a model, as at the site; of those that it doesn't have, the megabytes of its largest.
fn model_mb(number: usize) -> u64 {
    match number {
        0 | 14 | 17 => 34_300,
        3 | 13 | 16 => 65_100,
        6 | 9 | 12 | 18 | 19 => 65_500,
        _ => 72_700,
    }
}

/// Adapters of a model, and the megabytes of each.
fn adapters_of(number: usize) -> (usize, u64) {
    match number {
        0 => (31, 40),
        2 | 4 => (9, 66),
        6 => (7, 40),
        8 => (7, 66),
        _ => (0, 66),
    }
}

fn number_of(model: &str) -> usize {
    model[1..].parse().unwrap_or(0)
}

/// The first configuration, with this many models.
pub fn config(models: usize) -> String {
    let models = (0..models).map(|number| {
        let (adapters, mb) = adapters_of(number);
        format!(
            r#"{{"Name":"m{number}","WeightsMb":{}.0,"LoadTimeS":{LOAD_S},"Adapters":{adapters},"AdapterSizeMb":{mb}.0}}"#,
            model_mb(number)
        )
    });
    let models: Vec<String> = models.collect();
    let config = site::config(1, "");
    let (before, rest) = config.split_once("\"Models\":[").unwrap_or((&config, ""));
    let after = rest.split_once("}]}").map_or("", |(_, after)| after);
    format!("{before}\"Models\":[{}]}}{after}", models.join(","))
}

/// Returns what each worker holds at startup: the busiest model is on each, the others on one worker
/// each, as far as there is room for two beside the busiest.
pub fn placement(workers: usize, models: usize) -> Vec<Vec<usize>> {
    let mut placed = vec![vec![0]; workers];
    for (place, model) in (0..2 * workers).zip(1..models) {
        placed[place % workers].push(model);
    }
    placed
}

/// Loads from the weight store: when each began, at which worker, and of which model.
pub type Loads = Arc<Mutex<Vec<(f64, String, String)>>>;

#[derive(Default)]
struct State {
    held: BTreeMap<String, BTreeSet<String>>,
    copies: BTreeSet<String>,
    /// Model that is being loaded.
    coming: Option<String>,
    is_down: bool,
    heartbeats: u64,
    sequence: u64,
    is_busy: bool,
    has_crashed: bool,
    /// How much later the next load of an adapter is carried out, if it is to get no answer.
    delay: Option<Duration>,
    /// Machine that sent the last order.
    holder: String,
}

pub struct Engine {
    id: String,
    state: Mutex<State>,
    store: Store,
    record: Record,
    loads: Loads,
    entry: Mutex<Option<(SocketAddr, u64)>>,
}

impl Engine {
    pub fn new(
        id: &str,
        models: &[usize],
        store: Store,
        record: Record,
        loads: Loads,
    ) -> Arc<Self> {
        let mut state = State::default();
        for number in models {
            state.held.insert(format!("m{number}"), BTreeSet::new());
            state.copies.insert(format!("m{number}"));
        }
        Arc::new(Self {
            id: id.into(),
            state: Mutex::new(state),
            store,
            record,
            loads,
            entry: Mutex::new(None),
        })
    }

    fn models(held: &BTreeMap<String, BTreeSet<String>>) -> String {
        let models = held.iter().map(|(model, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|it| format!("\"{it}\"")).collect();
            format!(
                r#"{{"Name":"{model}","Version":1,"Adapters":[{}]}}"#,
                adapters.join(",")
            )
        });
        models.collect::<Vec<_>>().join(",")
    }

    fn available(state: &State) -> String {
        let copies: Vec<String> = state.copies.iter().map(|it| format!("\"{it}\"")).collect();
        format!(r#"{{"InMemory":[],"OnDisk":[{}]}}"#, copies.join(","))
    }

    /// Leaves the next load of an adapter without an answer, and carries it out that much later.
    pub fn delay_next(&self, delay: Duration) {
        self.lock().delay = Some(delay);
    }

    /// Falls silent, also towards the store.
    pub fn crash(&self) {
        self.lock().is_down = true;
    }

    /// Starts anew under the same id, and holds nothing but its copies on disk.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.is_down = false;
        state.coming = None;
        state.held.clear();
        state.sequence = 0;
        state.is_busy = false;
        drop(state);
        if let Some((_, born)) = &mut *self.entry.lock().expect("no thread has panicked") {
            *born = milliseconds();
        }
        self.write_entry();
    }

    /// Returns the name of the machine that sent the last order.
    pub fn holder(&self) -> String {
        self.lock().holder.clone()
    }

    /// Whether the worker was ordered to load more than it holds.
    pub fn has_crashed(&self) -> bool {
        self.lock().has_crashed
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread has panicked")
    }

    /// Writes the worker's entry in the list, now and at each heartbeat.
    pub fn list(self: &Arc<Self>, address: SocketAddr, born: u64) {
        *self.entry.lock().expect("no thread has panicked") = Some((address, born));
        let engine = Arc::clone(self);
        std::thread::spawn(move || {
            loop {
                engine.write_entry();
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    fn write_entry(&self) {
        let Some((address, born)) = *self.entry.lock().expect("no thread has panicked") else {
            return;
        };
        let mut state = self.lock();
        if state.is_down {
            return;
        }
        state.heartbeats += 1;
        let heartbeats = state.heartbeats;
        let (models, available) = (Self::models(&state.held), Self::available(&state));
        drop(state);
        let entry = format!(
            r#"{{"Service":"llm","Address":"{address}","Zone":"zone-a","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Phase":"unified","Models":[{models}],"Available":{available},"Sequence":{heartbeats},"born":{born}}}"#
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Answers a call.
    pub fn answer(self: &Arc<Self>, call: &Message, channel: &mut Channel) -> bool {
        let answer = match call.path() {
            "/v1/report" => self.report(),
            "/v1/order" => match self.order(call) {
                Some(answer) => answer,
                None => {
                    std::thread::sleep(UNANSWERED);
                    return false;
                }
            },
            _ => return self.serve(call, channel),
        };
        channel.send(&answer).is_ok()
    }

    fn report(&self) -> Vec<u8> {
        let entry = *self.entry.lock().expect("no thread has panicked");
        let born = entry.map_or(0, |(_, born)| born);
        let state = self.state.lock().expect("no thread has panicked");
        let body = format!(
            r#"{{"Phase":"unified","Models":[{}],"Available":{},"Incoming":[],"Busy":{},"Sequence":{},"born":{born},"Queued":0,"Active":0,"KvInUse":0,"KvSize":162655,"Handles":0}}"#,
            Self::models(&state.held),
            Self::available(&state),
            state.is_busy,
            state.sequence
        );
        response(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    /// Returns the answer to an order, if it gets one.
    fn order(self: &Arc<Self>, call: &Message) -> Option<Vec<u8>> {
        let empty = |status| response(status, &[], b"");
        let Some(order) = json::parse(&String::from_utf8_lossy(&call.body)) else {
            return Some(empty("400 Bad Request"));
        };
        let mut state = self.lock();
        state.holder = order.text("Holder");
        let is_adapter_load =
            order.text("Operation") == "load" && !order.text("Adapter").is_empty();
        if is_adapter_load && let Some(delay) = state.delay.take() {
            drop(state);
            self.note(&order, "no answer");
            let engine = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let status = engine.carry_out(&mut engine.lock(), &order);
                engine.note(&order, &format!("carried out late, {status}"));
            });
            return None;
        }
        let status = self.carry_out(&mut state, &order);
        drop(state);
        self.note(&order, status);
        Some(empty(status))
    }

    fn note(&self, order: &Json, result: &str) {
        self.record.note(&format!(
            "worker {} gets from {} (token {}): {} {} {}, expected {}: {result}",
            self.id,
            order.text("Holder"),
            order.number("FencingToken"),
            order.text("Operation"),
            order.text("Model"),
            order.text("Adapter"),
            order.number("Expected"),
        ));
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, order: &Json) -> &'static str {
        let (operation, model) = (&*order.text("Operation"), &*order.text("Model"));
        let (adapter, expected) = (&*order.text("Adapter"), order.number("Expected"));
        if state.sequence != expected || state.is_busy {
            return "409 Conflict";
        }
        let holds_model = state.held.contains_key(model);
        if !adapter.is_empty() {
            let Some(adapters) = state.held.get_mut(model) else {
                return "421 Misdirected Request";
            };
            let is_changed = match operation {
                "load" => adapters.insert(adapter.to_owned()),
                _ => adapters.remove(adapter),
            };
            let count: usize = state.held.values().map(BTreeSet::len).sum();
            state.has_crashed |= count > ADAPTER_PLACES;
            if operation == "load" && !is_changed {
                return "200 OK";
            }
            state.sequence += 1;
            if operation == "load" {
                std::thread::sleep(ADAPTER_LOAD);
                return "202 Accepted";
            }
            return "200 OK";
        }
        if operation == "load" && holds_model || operation == "unload" && !holds_model {
            return "200 OK";
        }
        state.sequence += 1;
        if operation == "unload" {
            state.held.remove(model);
            let engine = Arc::clone(self);
            std::thread::spawn(move || engine.write_entry());
            return "202 Accepted";
        }
        let held = state.held.iter().map(|(model, adapters)| {
            let number = number_of(model);
            model_mb(number) + adapters.len() as u64 * adapters_of(number).1
        });
        let used: u64 = held.sum::<u64>() + model_mb(number_of(model));
        state.has_crashed |= used > MEMORY_MB;
        state.is_busy = true;
        state.coming = Some(model.to_owned());
        let is_from_store = state.copies.insert(model.to_owned());
        if is_from_store {
            let mut loads = self.loads.lock().expect("no thread has panicked");
            loads.push((self.record.now(), self.id.clone(), model.to_owned()));
        }
        let (engine, model) = (Arc::clone(self), model.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(if is_from_store {
                LOAD_S
            } else {
                DISK_LOAD_S
            }));
            let mut state = engine.lock();
            if state.coming.as_ref() != Some(&model) {
                return;
            }
            state.coming = None;
            state.held.insert(model, BTreeSet::new());
            state.is_busy = false;
            drop(state);
            engine.write_entry();
        });
        "202 Accepted"
    }

    fn serve(&self, call: &Message, channel: &mut Channel) -> bool {
        let target = call.header("x-model-name").unwrap_or("");
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let state = self.state.lock().expect("no thread has panicked");
        let adapters = state.held.get(model);
        let is_held = adapters.is_some_and(|it| adapter.is_empty() || it.contains(adapter));
        let is_coming = state.coming.as_deref() == Some(model);
        drop(state);
        let id = call.header("x-request-id").unwrap_or("");
        if !is_held {
            let headers = [("X-Request-Id", id), ("X-Not-Executed", "1")];
            let status = if is_coming {
                "503 Service Unavailable"
            } else {
                "421 Misdirected Request"
            };
            return channel.send(&response(status, &headers, b"")).is_ok();
        }
        stream(channel, id, 3)
    }
}

/// Streams this many events.
fn stream(channel: &mut Channel, id: &str, events: usize) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Response-Signature: {}\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        site::SIGNATURE
    );
    if channel.send(head.as_bytes()).is_err() {
        return false;
    }
    for number in 1..=events {
        std::thread::sleep(Duration::from_millis(10));
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(30));
        if channel
            .send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            .is_err()
        {
            return false;
        }
    }
    channel.send(b"0\r\n\r\n").is_ok()
}
