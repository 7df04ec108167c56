//! Model workers while demand moves between models. They check that they are never ordered to load more
//! than they hold, and that no order bears a fencing token that another holder has used, or a lower one.

use crate::Record;
use crate::http::{self, Reply, Request};
use crate::machines::{FRONTEND, Machines};
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const MACHINES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const WORKERS: usize = 18;
const MODELS: usize = 72;
/// Three models fit into a worker.
const WORKER_MB: u64 = 200_000;
const MODEL_MB: u64 = 60_000;
const LOAD_TIME: Duration = Duration::from_millis(1_200);
/// A load from the worker's own disk, and an unload without runs.
const OWN_LOAD_TIME: Duration = Duration::from_millis(240);
const UNLOAD_TIME: Duration = Duration::from_millis(30);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Age of what a report says.
const REPORT_AGE: Duration = Duration::from_millis(200);
/// Models that are asked for at a time, and the time after which the oldest of them is no longer.
const ASKED_MODELS: usize = 12;
const SHIFT_INTERVAL: Duration = Duration::from_millis(350);
const FIRST_OUTAGE: Duration = Duration::from_secs(8);
const OUTAGE: Duration = Duration::from_millis(5_600);
const OUTAGE_INTERVAL: Duration = Duration::from_secs(11);
/// Workers that can't reach the store for some time around the end of an outage: a share of 0.17.
const CUT_WORKERS: usize = 3;
const CUT_FROM: Duration = Duration::from_millis(4_500);
const CUT: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(102);

/// What a worker holds from some time on.
#[derive(Debug, Clone)]
struct Step {
    at: Instant,
    models: BTreeSet<String>,
    is_busy: bool,
    sequence: u64,
}

struct Worker {
    id: String,
    address: SocketAddr,
    /// Past and future steps in the order of their times.
    steps: Mutex<Vec<Step>>,
    copies: Mutex<BTreeSet<String>>,
    record: Arc<Record>,
    /// When the worker can reach the store again.
    cut_until: Mutex<Instant>,
    /// Highest fencing token of an order, and its holder.
    last_fence: Mutex<(u64, String)>,
    broken: Arc<Broken>,
}

/// What any worker has found.
#[derive(Debug, Default)]
struct Broken {
    /// One was ordered to load more than it holds.
    limit: AtomicBool,
    /// One got an order with the token of another holder, or with a lower one.
    one: AtomicBool,
}

/// What happens meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// The store is down again and again, and some workers can't reach it for a little longer.
    Outages,
    /// The store leaves a holder without a response for some seconds, and comes back from an old copy later.
    OldCopy,
}

impl Worker {
    fn at(&self, time: Instant) -> Step {
        let steps = self.steps.lock().expect("the steps");
        let step = steps.iter().rev().find(|step| step.at <= time);
        step.unwrap_or(&steps[0]).clone()
    }

    fn models(step: &Step) -> Vec<Value> {
        let models = step.models.iter();
        models
            .map(|name| json!({"Name": name, "Version": 1, "Adapters": []}))
            .collect()
    }

    fn available(&self) -> Value {
        json!({"InMemory": [], "OnDisk": *self.copies.lock().expect("the copies")})
    }

    fn entry(&self) -> Value {
        let step = self.at(Instant::now());
        json!({"Service": "llm", "Address": self.address, "Zone": "north-a", "Version": "v1",
            "Slots": 64, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "Phase": "unified",
            "Models": Self::models(&step), "Available": self.available(),
            "born": 1_779_413_999_092_u64})
    }

    fn report(&self) -> Value {
        let step = self.at(Instant::now()
            .checked_sub(REPORT_AGE)
            .unwrap_or_else(Instant::now));
        json!({"Phase": "unified", "Models": Self::models(&step), "Busy": step.is_busy,
            "Sequence": step.sequence, "Queued": 0, "Active": 0, "KvInUse": 0, "KvSize": 162_655,
            "Handles": 0, "Available": self.available()})
    }

    fn order(&self, order: &Value) -> u16 {
        let now = Instant::now();
        let step = self.at(now);
        self.check_fence(order);
        let model = order["Model"].as_str().unwrap_or_default().to_owned();
        let is_load = order["Operation"] == "load";
        let expected = order["Expected"].as_u64();
        if step.is_busy || expected.is_some_and(|expected| expected != step.sequence) {
            return 409;
        }
        if is_load == step.models.contains(&model) {
            return 200;
        }
        let needed = MODEL_MB * (step.models.len() as u64 + 1);
        if is_load && needed > WORKER_MB {
            self.broken.limit.store(true, Ordering::SeqCst);
            self.record.note(&format!(
                "LIMIT: worker {} holds {:?} and is ordered by {} to load {model} as well: \
                 {needed} MB of {WORKER_MB}; it crashes",
                self.id, step.models, order["Holder"],
            ));
            return 0;
        }
        let mut models = step.models.clone();
        let time = match (
            is_load,
            self.copies
                .lock()
                .expect("the copies")
                .insert(model.clone()),
        ) {
            (true, true) => LOAD_TIME,
            (true, false) => OWN_LOAD_TIME,
            (false, _) => UNLOAD_TIME,
        };
        if is_load {
            models.insert(model);
        } else {
            models.remove(&model);
        }
        let sequence = step.sequence + 1;
        let mut steps = self.steps.lock().expect("the steps");
        steps.push(Step {
            at: now,
            is_busy: true,
            sequence,
            ..step
        });
        steps.push(Step {
            at: now + time,
            models,
            is_busy: false,
            sequence,
        });
        202
    }

    fn check_fence(&self, order: &Value) {
        let fence = order["FencingToken"].as_u64().unwrap_or_default();
        let holder = order["Holder"].as_str().unwrap_or_default().to_owned();
        let mut last = self.last_fence.lock().expect("the last token");
        if holder != last.1 && fence <= last.0 {
            self.broken.one.store(true, Ordering::SeqCst);
            self.record.note(&format!(
                "ONE: worker {} gets an order of {holder} with token {fence} after one of {} with token {}",
                self.id, last.1, last.0,
            ));
        }
        if fence >= last.0 {
            *last = (fence, holder);
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let expected = request.header("x-expected-instance");
        let id = ("x-request-id", request.header("x-request-id").to_owned());
        if !expected.is_empty() && expected != self.id {
            return Reply::Answer(421, vec![id], Vec::new());
        }
        match request.path.as_str() {
            "/v1/report" => json_answer(200, &self.report()),
            "/v1/order" => {
                let order = serde_json::from_slice(&request.body).unwrap_or_default();
                let status = self.order(&order);
                self.record
                    .note(&format!("worker {}: order {order}: {status}", self.id));
                if status == 0 {
                    Reply::Silence
                } else {
                    json_answer(status, &json!({}))
                }
            }
            _ if !self
                .at(Instant::now())
                .models
                .contains(request.header("x-model-name")) =>
            {
                Reply::Answer(421, vec![id], Vec::new())
            }
            _ => {
                let headers = vec![
                    id,
                    (
                        "x-response-signature",
                        "3e1b.07.5a2.600.0.c9f2a4d1".to_owned(),
                    ),
                    ("content-type", "text/event-stream".to_owned()),
                ];
                Reply::Answer(200, headers, b"id: 1\ndata: x\n\n".to_vec())
            }
        }
    }
}

fn json_answer(status: u16, body: &Value) -> Reply {
    let headers = vec![("content-type", "application/json".to_owned())];
    Reply::Answer(status, headers, body.to_string().into_bytes())
}

fn model(number: usize) -> String {
    format!("daka{:02}0000", number % MODELS)
}

fn config() -> Value {
    let models = (0..MODELS).map(|number| {
        json!({"Name": model(number), "WeightsMb": MODEL_MB, "LoadTimeS": LOAD_TIME.as_secs_f64(),
            "Adapters": 0, "AdapterSizeMb": 0})
    });
    let models: Vec<Value> = models.collect();
    json!({"Version": 10,
        "Routes": [{"Name": "map", "Hostname": HOST, "PathPrefix": "/map/", "Type": "streaming",
            "TimeoutMs": 5000, "TargetLatencyMs": 800, "GapTargetMs": 300, "Priority": 1,
            "Service": "llm", "MaxAttempts": 1}],
        "Services": [{"Name": "llm", "MaxConnections": 370, "Engine": {"Slots": 64,
            "KvCapacity": 162_655, "WeightsMb": WORKER_MB, "AdapterCapacity": 8, "LoadsPerS": 3,
            "Models": models}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000}})
}

pub fn play(record: Record, trouble: Trouble, has_trouble: bool) -> io::Result<bool> {
    let record = Arc::new(record);
    let store = Arc::new(Store::new());
    let mut stores = Vec::new();
    for machine in 0..MACHINES.len() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        stores.push(listener.local_addr()?);
        let store = Arc::clone(&store);
        http::serve(
            listener,
            Arc::new(move |request| store.answer(machine, &request)),
        );
    }
    let broken = Arc::new(Broken::default());
    let workers = (0..WORKERS).map(|number| start_worker(number, &store, &record, &broken));
    let workers: Vec<Arc<Worker>> = workers.collect::<io::Result<_>>()?;
    store.write("op", "config", Some(&config()));
    let names: Vec<String> = MACHINES
        .iter()
        .map(|it| format!("edge-north-{it}"))
        .collect();
    let names: Vec<(&str, &str)> = names
        .iter()
        .map(|name| (name.as_str(), "north-a"))
        .collect();
    let mut machines = Machines::new(&std::env::current_dir()?, &names, &stores)?;
    for machine in 0..MACHINES.len() {
        machines.start(machine)?;
    }
    machines.wait_until_ready()?;
    sleep(Duration::from_secs(5));
    let addresses = machines
        .all
        .iter()
        .map(|machine| (machine.ip, FRONTEND).into());
    let addresses: Vec<SocketAddr> = addresses.collect();
    let started = Instant::now();
    for consumer in 0..ASKED_MODELS {
        let (addresses, record) = (addresses.clone(), Arc::clone(&record));
        thread::spawn(move || ask(consumer, started, &addresses, &record));
    }
    let held = match trouble {
        Trouble::Outages => {
            play_outages(&store, &workers, &record, &broken, has_trouble);
            !broken.limit.load(Ordering::SeqCst)
        }
        Trouble::OldCopy => {
            play_old_copy(&store, &machines, &record, has_trouble);
            !broken.one.load(Ordering::SeqCst)
        }
    };
    record.note(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(held)
}

fn play_outages(
    store: &Store,
    workers: &[Arc<Worker>],
    record: &Record,
    broken: &Broken,
    has_trouble: bool,
) {
    let started = Instant::now();
    let (mut next_outage, mut cut_count) = (FIRST_OUTAGE, 0);
    while started.elapsed() < LENGTH && !broken.limit.load(Ordering::SeqCst) {
        let elapsed = started.elapsed();
        if has_trouble && elapsed >= next_outage && next_outage + OUTAGE < LENGTH {
            let is_ending = elapsed >= next_outage + OUTAGE;
            if store.is_down() == is_ending {
                store.set_down(!is_ending);
                let change = if is_ending {
                    "answers again"
                } else {
                    "is down"
                };
                record.note(&format!("the store {change}"));
                if !is_ending {
                    cut_count = cut_some(workers, cut_count, record);
                }
            }
            if is_ending {
                next_outage += OUTAGE_INTERVAL;
            }
        }
        sleep(Duration::from_millis(10));
    }
}

/// The times of the drill: a copy, a holder without a response, the absence, the end.
const COPY_AT: Duration = Duration::from_secs(6);
const UNANSWERED_FROM: Duration = Duration::from_millis(6_500);
const UNANSWERED_UNTIL: Duration = Duration::from_millis(11_500);
const AWAY_AT: Duration = Duration::from_secs(15);
const BACK_AT: Duration = Duration::from_secs(16);
const END: Duration = Duration::from_secs(40);

fn play_old_copy(store: &Store, machines: &Machines, record: &Record, has_trouble: bool) {
    let started = Instant::now();
    let wait_until = |time: Duration| sleep(time.saturating_sub(started.elapsed()));
    let note_holders = || {
        for (key, value) in store.read("poplarseam", "lease.") {
            record.note(&format!(
                "{key}: {} with token {}",
                value["instance"], value["fence"]
            ));
        }
    };
    wait_until(COPY_AT);
    let copy = store.copy();
    note_holders();
    let holder = store
        .read("poplarseam", "lease.shard.0")
        .remove("lease.shard.0");
    let holder = holder.and_then(|row| row["instance"].as_str().map(str::to_owned));
    let index = machines
        .all
        .iter()
        .position(|it| Some(&it.name) == holder.as_ref());
    wait_until(UNANSWERED_FROM);
    if let (Some(index), true) = (index, has_trouble) {
        store.set_unanswered(&[index]);
        record.note(&format!(
            "the store no longer responds to {}",
            machines.all[index].name
        ));
    }
    wait_until(UNANSWERED_UNTIL);
    store.set_unanswered(&[]);
    record.note("the store responds to all machines");
    wait_until(AWAY_AT);
    note_holders();
    if has_trouble {
        store.set_down(true);
        record.note("the store is away");
    }
    wait_until(BACK_AT);
    if has_trouble {
        store.return_from(&copy);
        record.note("the store is back from the copy of 10 s ago");
        store.write("op", "config", Some(&config()));
    }
    wait_until(END);
    note_holders();
}

/// Cuts the next workers in turn off from the store for a time that begins later; they have no store to
/// write to until then either.
fn cut_some(workers: &[Arc<Worker>], first: usize, record: &Record) -> usize {
    for worker in workers
        .iter()
        .cycle()
        .skip(first % workers.len())
        .take(CUT_WORKERS)
    {
        *worker.cut_until.lock().expect("the time") = Instant::now() + CUT_FROM + CUT;
        record.note(&format!(
            "worker {} will not reach the store for {CUT:?}, in {CUT_FROM:?}",
            worker.id
        ));
    }
    first + CUT_WORKERS
}

fn start_worker(
    number: usize,
    store: &Arc<Store>,
    record: &Arc<Record>,
    broken: &Arc<Broken>,
) -> io::Result<Arc<Worker>> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let held: BTreeSet<String> = (0..3).map(|slot| model(number * 3 + slot)).collect();
    let first = Step {
        at: Instant::now(),
        models: held.clone(),
        is_busy: false,
        sequence: 0,
    };
    let worker = Arc::new(Worker {
        id: format!("i-7f3a9{number:03}"),
        address: listener.local_addr()?,
        steps: Mutex::new(vec![first]),
        copies: Mutex::new(held),
        record: Arc::clone(record),
        cut_until: Mutex::new(Instant::now()),
        last_fence: Mutex::default(),
        broken: Arc::clone(broken),
    });
    store.write("servers", &worker.id, Some(&worker.entry()));
    let serving = Arc::clone(&worker);
    http::serve(listener, Arc::new(move |request| serving.answer(&request)));
    let store = Arc::clone(store);
    let writing = Arc::clone(&worker);
    thread::spawn(move || {
        sleep(HEARTBEAT * u32::try_from(number).unwrap_or(0) / 18);
        let mut silence = 0;
        loop {
            sleep(HEARTBEAT);
            let is_cut = Instant::now() < *writing.cut_until.lock().expect("the time");
            // The platform removes an entry after three intervals of silence; not while it is away.
            silence = if store.is_down() || !is_cut {
                0
            } else {
                silence + 1
            };
            if silence == 3 {
                store.write("servers", &writing.id, None);
            } else if !store.is_down() && !is_cut {
                store.write("servers", &writing.id, Some(&writing.entry()));
            }
        }
    });
    Ok(worker)
}

/// Asks for one of the models that are wanted now, about eight times a second, until the process ends.
fn ask(consumer: usize, started: Instant, addresses: &[SocketAddr], record: &Record) {
    for count in 0_usize.. {
        let shifts = started.elapsed().as_millis() / SHIFT_INTERVAL.as_millis();
        let model = model(usize::try_from(shifts).unwrap_or(0) + consumer);
        let id = format!("{:016x}", count * ASKED_MODELS + consumer);
        let head = format!(
            "POST /map/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
             X-Model-Name: {model}\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: {id}:1460\r\n\
             Connection: close\r\nContent-Length: 2\r\n\r\n"
        );
        let address = addresses[(count * ASKED_MODELS + consumer) % addresses.len()];
        let answer = http::exchange(address, &head, b"hi", Duration::from_secs(6));
        let status = answer.map_or(0, |answer| answer.status);
        record.note(&format!("request {id} for {model}: {status}"));
        sleep(Duration::from_millis(120));
    }
}
