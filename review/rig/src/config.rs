//! A configuration changes while the store answers neither of two machines, or after it has come back
//! from an old copy.

use crate::Record;
use crate::http::{self, Reply, Request};
use crate::machines::{FRONTEND, Machines};
use crate::store::Store;
use serde_json::{Value, json};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

const HOST: &str = "ficu95.example";
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// `MaxSkewMs`: the page grants as much more while the core isn't stable. After the return from an old copy
/// the script grants it, though the core has been stable for `StableWindowMs`.
const MAX_SKEW: Duration = Duration::from_secs(6);
/// Machines to which the store doesn't respond: two of eight, a share of 0.25.
const UNANSWERED: [usize; 2] = [0, 1];
/// Time from the ack of the configuration until the store responds to them again: 9 s in all.
const UNANSWERED_AFTER_ACK: Duration = Duration::from_secs(8);
const MACHINES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// The store is away for a moment and comes back from a copy some seconds old.
const COPY_AGE: Duration = Duration::from_secs(8);
/// Time between the last configuration before that and the absence, and between the return and the time
/// at which the operator has written that configuration again.
const LAST_CHANGE: Duration = Duration::from_millis(1_500);
const REWRITE_AFTER: Duration = Duration::from_millis(500);
const AWAY: Duration = Duration::from_secs(1);
/// `StableWindowMs`, and a little more.
const STABLE_AFTER: Duration = Duration::from_millis(4_500);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What happens before the configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Unanswered,
    OldCopy,
}

fn route(name: &str, service: &str) -> Value {
    json!({"Name": name, "Hostname": HOST, "PathPrefix": format!("/{name}/"), "Type": "safe",
        "TimeoutMs": 1200, "TargetLatencyMs": 200, "Priority": 2, "Service": service,
        "MaxAttempts": 2})
}

fn config(version: u64, routes: &[Value]) -> Value {
    let services = ["old", "new"].map(|name| json!({"Name": name, "MaxConnections": 110}));
    json!({"Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000}})
}

/// A server of a plain service; its answer names the service.
fn serve(record: &Arc<Record>, id: &'static str, service: &'static str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let record = Arc::clone(record);
    let handler = move |request: Request| {
        let request_id = request.header("x-request-id").to_owned();
        let mut headers = vec![
            ("x-request-id", request_id.clone()),
            ("x-instance-id", id.to_owned()),
        ];
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != id {
            return Reply::Answer(421, headers, Vec::new());
        }
        record.note(&format!(
            "server {id} of {service} runs {request_id} {}",
            request.path
        ));
        headers.push((
            "x-response-signature",
            "3e1b.07.5a2.600.0.c9f2a4d1".to_owned(),
        ));
        Reply::Answer(200, headers, service.as_bytes().to_vec())
    };
    http::serve(listener, Arc::new(handler));
    Ok(address)
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
    list_servers(&store, &record)?;
    let first = [
        route("moved", "old"),
        route("dropped", "old"),
        route("kept", "old"),
    ];
    store.write("op", "config", Some(&config(10, &first)));
    let names: Vec<String> = MACHINES
        .iter()
        .map(|it| format!("edge-north-{it}"))
        .collect();
    let names: Vec<(&str, &str)> = names
        .iter()
        .map(|name| (name.as_str(), "north-a"))
        .collect();
    let root = std::env::current_dir()?;
    let mut machines = Machines::new(&root, &names, &stores)?;
    for machine in 0..MACHINES.len() {
        machines.start(machine)?;
    }
    machines.wait_until_ready()?;
    sleep(Duration::from_secs(10));
    for (key, value) in store.read("poplarseam", "lease.") {
        record.note(&format!("{key} is held by {}", value["instance"]));
    }
    let mut probe = Probe {
        record: &record,
        machines: &machines,
        asked: (0..MACHINES.len()).collect(),
        count: 0,
    };
    if probe.round(Duration::ZERO).iter().any(|it| !it.is_first) {
        return Err(io::Error::other(
            "the first configuration isn't in force everywhere",
        ));
    }
    probe.asked = disturb(trouble, has_trouble, &store, &machines, &record, &first);
    let second = [
        route("moved", "new"),
        route("kept", "old"),
        route("added", "old"),
    ];
    store.write("op", "config", Some(&config(13, &second)));
    let acked_at = record.now();
    record.note("the store acknowledges the configuration with version 13");
    let bound = match trouble {
        Trouble::Unanswered => CONFIG_APPLY,
        Trouble::OldCopy => CONFIG_APPLY + MAX_SKEW,
    };
    let mut broken = 0;
    while record.now() < acked_at + Duration::from_secs(32) {
        for it in probe.round(acked_at) {
            broken += u32::from(it.is_first && it.sent_at > acked_at + bound);
        }
        if record.now() >= acked_at + UNANSWERED_AFTER_ACK {
            store.set_unanswered(&[]);
        }
        sleep(Duration::from_secs(1));
    }
    record.note(&format!(
        "{broken} requests at machines in touch, sent later than {bound:?} after the ack, were handled as \
         only the older version allows"
    ));
    Ok(broken == 0)
}

/// Starts the servers and keeps their entries in the store.
fn list_servers(store: &Arc<Store>, record: &Arc<Record>) -> io::Result<()> {
    for (id, service) in [
        ("i-1", "old"),
        ("i-2", "old"),
        ("i-3", "new"),
        ("i-4", "new"),
    ] {
        let address = serve(record, id, service)?;
        let entry = json!({"Service": service, "Address": address, "Zone": "north-a",
            "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
            "born": 1_779_413_999_092_u64});
        store.write("servers", id, Some(&entry));
        let (store, mut entry) = (Arc::clone(store), entry);
        thread::spawn(move || {
            for count in 2_u64.. {
                sleep(HEARTBEAT);
                entry["Sequence"] = json!(count);
                if !store.is_down() {
                    store.write("servers", id, Some(&entry));
                }
            }
        });
    }
    Ok(())
}

/// Brings the trouble about, and returns the machines that are in touch afterwards.
fn disturb(
    trouble: Trouble,
    has_trouble: bool,
    store: &Store,
    machines: &Machines,
    record: &Record,
    first: &[Value],
) -> Vec<usize> {
    match trouble {
        Trouble::Unanswered => {
            if has_trouble {
                store.set_unanswered(&UNANSWERED);
                let names = UNANSWERED.map(|it| machines.all[it].name.clone());
                record.note(&format!("the store no longer responds to {names:?}"));
            }
            sleep(Duration::from_secs(1));
            let all = 0..MACHINES.len();
            all.filter(|it| !UNANSWERED.contains(it)).collect()
        }
        Trouble::OldCopy => {
            let copy = store.copy();
            sleep(COPY_AGE.saturating_sub(LAST_CHANGE));
            store.write("op", "config", Some(&config(11, first)));
            record
                .note("the store acknowledges the configuration with version 11, the same routes");
            sleep(LAST_CHANGE);
            store.set_down(has_trouble);
            record.note(if has_trouble {
                "the store is away"
            } else {
                "nothing happens"
            });
            sleep(AWAY);
            if has_trouble {
                store.return_from(&copy);
                record.note(&format!(
                    "the store is back from a copy {:?} old",
                    COPY_AGE + AWAY
                ));
            }
            sleep(REWRITE_AFTER);
            store.write("op", "config", Some(&config(11, first)));
            record.note("the operator has written version 11 again");
            sleep(STABLE_AFTER.saturating_sub(REWRITE_AFTER));
            (0..MACHINES.len()).collect()
        }
    }
}

/// How a request was handled.
struct Handled {
    sent_at: Duration,
    /// Whether only the first configuration allows it.
    is_first: bool,
}

/// Sends requests to the machines in touch.
struct Probe<'a> {
    record: &'a Record,
    machines: &'a Machines,
    /// Machines that are asked.
    asked: Vec<usize>,
    count: u32,
}

impl Probe<'_> {
    fn round(&mut self, acked_at: Duration) -> Vec<Handled> {
        let asked = self.asked.clone().into_iter();
        let asked = asked.flat_map(|machine| ["moved", "dropped", "added"].map(|it| (machine, it)));
        asked
            .map(|(machine, name)| self.ask(machine, name, acked_at))
            .collect()
    }

    fn ask(&mut self, machine: usize, name: &str, acked_at: Duration) -> Handled {
        self.count += 1;
        let machine = &self.machines.all[machine];
        let id = format!("{:016x}", self.count);
        let head = format!(
            "GET /{name}/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\n\
             Connection: close\r\n\r\n"
        );
        let sent_at = self.record.now();
        let answer = http::exchange(
            (machine.ip, FRONTEND).into(),
            &head,
            b"",
            Duration::from_secs(3),
        );
        let (status, service) = match &answer {
            Ok(answer) => (
                answer.status,
                String::from_utf8_lossy(&answer.body).into_owned(),
            ),
            Err(error) => (0, error.to_string()),
        };
        let is_first = match name {
            "moved" => status == 200 && service == "old",
            "dropped" => status == 200,
            _ => status == 404,
        };
        let after = sent_at.saturating_sub(acked_at).as_millis();
        let service = if status == 200 {
            service.as_str()
        } else {
            "none"
        };
        self.record.note(&format!(
            "request {id} /{name}/1 to {}, sent {after} ms after the ack: {status}, service {service}{}",
            machine.name,
            if is_first { ", as only version 10 allows" } else { "" },
        ));
        Handled { sent_at, is_first }
    }
}
