//! The thread that asks engines for their reports and passes them on.
//!
//! Each engine is asked by two entries of its data centre, which all entries work out alike
//! from the list of live entries; the others hear of it over the mesh.

use crate::common::*;
use crate::decide::ledger::Report;
use crate::decide::member::{Member, Role};
use crate::decide::route::rendezvous_hash;
use crate::node::client::Call;
use crate::node::duty::{self, lock};
use crate::node::entry::Entry;
use crate::node::input::Input;
use crate::node::members::message;
use crate::wire::generated;
use crate::wire::generated::message::Body;
use crate::world::contract;
use crate::world::id;
use attohttpc::Method;
use std::sync::Mutex;

/// Time between two reports of one engine to one asker.
const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(500);
/// An unchanged report is passed on again after this long.
const REPEAT: Duration = Duration::from_secs(2);
/// Entries that ask each engine.
const ASKERS: usize = 2;
/// Engines asked at the same time.
const THREADS: usize = 8;

/// The report of each engine that was last passed on, and when.
type Passed = Mutex<BTreeMap<id::Worker, (Duration, Report)>>;

/// Starts the threads.
pub fn start(entry: &Arc<Entry>) {
    let (ring, work) = flume::bounded::<(id::Worker, SocketAddr)>(1024);
    let passed: Arc<Passed> = Arc::default();
    for _ in 0..THREADS {
        let (entry, work, passed) = (Arc::clone(entry), work.clone(), Arc::clone(&passed));
        duty::start("reports", move || {
            for (worker, address) in work {
                ask(&entry, &worker, address, &passed);
            }
        });
    }
    let entry = Arc::clone(entry);
    duty::start("reports", move || {
        loop {
            for (worker, contract) in &entry.node.catalog.load().workers {
                if is_asker(&entry, worker, contract) {
                    let _ = ring.try_send((worker.clone(), contract.address));
                }
            }
            std::thread::sleep(INTERVAL);
        }
    });
}

/// Whether this entry ranks first for an engine, among the entries of its data centre or, where
/// there are none, among all.
fn is_asker(entry: &Entry, worker: &id::Worker, contract: &contract::Worker) -> bool {
    let now = entry.node.now();
    let roster = lock(&entry.node.roster);
    let live: Vec<&Member> = roster
        .recent_members(now)
        .filter(|member| member.name.role == Role::Entry)
        .collect();
    let near = |member: &&&Member| member.data_centre == contract.data_centre;
    let local: Vec<&&Member> = live.iter().filter(near).collect();
    let pool: Vec<&&Member> = if local.is_empty() {
        live.iter().collect()
    } else {
        local
    };
    let me = &entry.node.name.instance;
    let weight = |instance: &id::Instance| {
        rendezvous_hash(rendezvous_hash(0, worker.as_str()), instance.as_str())
    };
    let mine = weight(me);
    let member = pool.iter().any(|member| member.name.instance == *me);
    let above = pool
        .iter()
        .filter(|member| weight(&member.name.instance) > mine)
        .count();
    member && above < ASKERS
}

fn ask(entry: &Entry, worker: &id::Worker, address: SocketAddr, passed: &Passed) {
    let call = Call::new(Method::GET, address, "/report", "", TIMEOUT);
    let Ok(answer) = call.send() else {
        return;
    };
    let Ok(report) = serde_json::from_str::<Report>(&answer.body) else {
        entry.node.metrics.decided("report", "nonsense");
        return;
    };
    if is_news(entry, worker, &report, passed) {
        let json = json!(report).to_string();
        let worker = worker.to_string();
        let message = message(Body::Report(generated::Report { worker, json }));
        entry.node.mesh.send_all(&entry.node.entries(), message);
    }
    let worker = worker.clone();
    entry.tell(Input::Report { worker, report });
}

/// Whether others have to hear of a report: it changed, or the last one is getting old.
fn is_news(entry: &Entry, worker: &id::Worker, report: &Report, passed: &Passed) -> bool {
    let now = entry.node.now();
    let mut passed = lock(passed);
    let known = passed.get(worker);
    let news = known.is_none_or(|(at, last)| now > *at + REPEAT || last != report);
    if news {
        passed.insert(worker.clone(), (now, report.clone()));
    }
    news
}
