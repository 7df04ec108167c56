//! An entry: callers' requests, from admission to the last token.

use crate::common::*;
use crate::decide::connections::Limits;
use crate::decide::dispatch::Verdicts;
use crate::decide::member::Role;
use crate::decide::memory::{Memory, Share};
use crate::decide::pool::Pool;
use crate::decide::suspect::Fingerprint;
use crate::error::Result;
use crate::flags::Settings;
use crate::node::claims::Claims;
use crate::node::connections::Connections;
use crate::node::dispatcher;
use crate::node::duty::lock;
use crate::node::input::Input;
use crate::node::members::{self, News};
use crate::node::node::{Node, rate};
use crate::node::stop::POLL;
use crate::node::{callers, convictions, follow, limits, operators, reports};
use crate::wire::generated::Heartbeat;
use crate::wire::generated_gossip::Quarantine;
use crate::wire::quarantine;
use crate::world::id;
use crate::world::unit::Bytes;
use prost::Message;
use rouille::{Request, Response};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

const MEGABYTE: u64 = 1_000_000;

/// Requests per second of each team at each other entry.
type Asked = BTreeMap<id::Instance, BTreeMap<id::Team, f64>>;

/// Shared parts of an entry.
#[derive(Debug)]
pub struct Entry {
    pub node: Arc<Node>,
    pub dispatcher: flume::Sender<Input>,
    pub claims: Arc<Claims>,
    pub pool: Mutex<Pool>,
    pub asked: Mutex<Asked>,
    /// Calls to plain services that this process runs.
    pub running: Mutex<BTreeSet<id::Request>>,
    /// Requests in hand.
    pub in_hand: AtomicUsize,
    /// Requests whose bodies are being read, by team.
    reading: Mutex<BTreeMap<id::Team, usize>>,
    pub connections: Connections,
    /// Memory of the requests in hand.
    memory: Mutex<Memory>,
    counter: AtomicU64,
}

/// A request in hand; it stops counting when dropped, also when its thread panicked.
#[derive(Debug)]
pub struct InHand {
    entry: Arc<Entry>,
    /// Requests that were in hand before it.
    pub before: usize,
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.entry.in_hand.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Memory of a request, given back when it is dropped.
#[derive(Debug)]
pub struct Held<'a> {
    entry: &'a Entry,
    share: Share,
    bytes: usize,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        lock(&self.entry.memory).give_back_to(self.share, self.bytes);
    }
}

/// A body that is being read; it stops counting when dropped.
#[derive(Debug)]
pub struct Reading<'a> {
    entry: &'a Entry,
    team: id::Team,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        let mut reading = lock(&self.entry.reading);
        if let Some(count) = reading.get_mut(&self.team) {
            *count -= 1;
        }
    }
}

impl Entry {
    /// A request id that no other request has.
    ///
    /// # Panics
    /// Never: instance names are short enough for an id.
    #[must_use]
    pub fn next_request(&self) -> id::Request {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let instance: String = self.node.name.instance.as_str().chars().take(24).collect();
        let text = format!("{instance}.{:x}.{number:x}", self.node.incarnation.0);
        text.parse().expect("a valid id")
    }

    /// Counts a request until what is returned is dropped.
    #[must_use]
    pub fn take_in_hand(self: &Arc<Self>) -> InHand {
        let before = self.in_hand.fetch_add(1, Ordering::SeqCst);
        InHand {
            entry: Arc::clone(self),
            before,
        }
    }

    /// Begins to read a body, unless `most` bodies of the team are being read.
    #[must_use]
    pub fn begin_reading(&self, team: &id::Team, most: usize) -> Option<Reading<'_>> {
        let mut reading = lock(&self.reading);
        let count = reading.entry(team.clone()).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(Reading {
            entry: self,
            team: team.clone(),
        })
    }

    /// Takes memory for a request; `None` if there is not enough.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> Option<Held<'_>> {
        let share = lock(&self.memory).take_request(bytes)?;
        Some(Held {
            entry: self,
            share,
            bytes,
        })
    }

    /// Hands something to the dispatcher.
    pub fn tell(&self, input: Input) {
        let _ = self.dispatcher.send(input);
    }
}

/// Runs an entry until it was told to stop and everything in hand is finished.
///
/// # Errors
/// Where an address is taken or signals can't be caught.
pub fn run(settings: Settings) -> Result<()> {
    let (node, rings) = Node::start(settings, Role::Entry)?;
    let descriptors = node.settings.max_fds;
    let memory = Bytes(node.settings.memory_mb as u64 * MEGABYTE);
    let (records, kept) = flume::bounded(dispatcher::RECORD_RING);
    let dispatcher = dispatcher::start(&node, records);
    let entry = Arc::new(Entry {
        claims: Claims::start(&node),
        node: Arc::clone(&node),
        dispatcher,
        pool: Mutex::default(),
        asked: Mutex::default(),
        running: Mutex::default(),
        in_hand: AtomicUsize::new(0),
        reading: Mutex::default(),
        connections: Connections::new(&Limits::new(u64::try_from(descriptors).ok(), Some(memory))),
        memory: Mutex::new(Memory::for_requests(memory)),
        counter: AtomicU64::new(0),
    });
    let taking = Arc::clone(&entry);
    members::start(&node, rings.inbound, move |news| take(&taking, news));
    let changing = Arc::clone(&entry);
    follow::start(&node, rings.follow, move || changing.tell(Input::Catalog));
    reports::start(&entry);
    limits::start(&entry);
    convictions::start(&entry, kept);
    let (dumping, explaining) = (Arc::clone(&entry), Arc::clone(&entry));
    operators::start(
        &node,
        move || dump(&dumping),
        move |request| explain(&explaining, request),
    )?;
    callers::start(&entry)?;
    log::info!(instance:% = node.name.instance, callers:% = node.settings.callers; "entry started");
    node.stop.wait();
    finish(&entry);
    Ok(())
}

fn take(entry: &Entry, news: News) {
    match news {
        News::Heartbeat(name, heartbeat) if dispatcher::is_entry(&name) => {
            take_heartbeat(entry, name.instance, &heartbeat);
        }
        News::Report(report) => {
            let worker = report.worker.parse();
            let parsed = serde_json::from_str(&report.json);
            if let (Ok(worker), Ok(report)) = (worker, parsed) {
                entry.tell(Input::Report { worker, report });
            }
        }
        News::Verdicts(verdicts) => {
            let prints = |numbers: Vec<u64>| numbers.into_iter().map(Fingerprint).collect();
            entry.tell(Input::Verdicts(Verdicts {
                struck: prints(verdicts.struck),
                convicted: prints(verdicts.convicted),
                cleared: prints(verdicts.cleared),
            }));
        }
        News::Quarantine(report) => match Quarantine::decode(&*report) {
            Ok(report) => {
                let report = quarantine::decode(entry.node.now(), &report);
                entry.tell(Input::Crashes(report));
            }
            Err(error) => log::warn!("invalid report on crashes from a peer: {error}"),
        },
        News::Gone(name) if dispatcher::is_entry(&name) => {
            lock(&entry.asked).remove(&name.instance);
            entry.tell(Input::Gone(name.instance));
        }
        News::Heartbeat(..) | News::Gone(_) => {}
        News::Leaving(instance) => {
            if let Ok(worker) = instance.as_str().parse() {
                entry.tell(Input::Leaving(worker));
            }
        }
    }
}

fn take_heartbeat(entry: &Entry, instance: id::Instance, heartbeat: &Heartbeat) {
    let own = heartbeat.own.iter().filter_map(|count| {
        Some((
            count.name.parse().ok()?,
            u32::try_from(count.count).unwrap_or(u32::MAX),
        ))
    });
    let own = own.collect();
    entry.tell(Input::Peer {
        instance: instance.clone(),
        own,
    });
    let asked = heartbeat
        .asked
        .iter()
        .filter_map(|count| Some((count.name.parse().ok()?, rate(count))));
    lock(&entry.asked).insert(instance, asked.collect());
}

fn dump(entry: &Entry) -> Value {
    let (reply, answer) = flume::bounded(1);
    entry.tell(Input::Dump(reply));
    let dispatcher = answer
        .recv_timeout(Duration::from_secs(2))
        .unwrap_or(Value::Null);
    json!({
      "in_hand": entry.in_hand.load(Ordering::SeqCst),
      "connections": entry.connections.count(),
      "request_bytes": lock(&entry.memory).used_by_requests(),
      "unsettled_outcomes": entry.claims.unsettled(),
      "calls_running": *lock(&entry.running),
      "dispatcher": dispatcher,
    })
}

fn explain(entry: &Entry, request: &Request) -> Option<Response> {
    let url = request.url();
    let wanted = url.strip_prefix("/explain/")?;
    if !operators::is_operator(&entry.node, request) {
        return Some(operators::unauthorized());
    }
    let Ok(wanted) = wanted.parse() else {
        return Some(operators::problem(
            400,
            "no request id",
            "take it from X-Request-Id",
        ));
    };
    let (reply, answer) = flume::bounded(1);
    entry.tell(Input::Explain {
        request: wanted,
        reply,
    });
    let found = answer.recv_timeout(Duration::from_secs(2)).ok().flatten();
    Some(found.map_or_else(
        || operators::problem(404, "not remembered", "ask the entry that took it, sooner"),
        |notes| Response::json(&notes),
    ))
}

/// Finishes what is in hand: no new work, streams to their ends, outcomes written.
fn finish(entry: &Entry) {
    let node = &entry.node;
    log::info!(instance:% = node.name.instance; "stopping");
    node.leave();
    let until = node.now() + node.settings.drain_timeout;
    std::thread::sleep(GRACE);
    entry.tell(Input::Stop);
    let busy = || entry.in_hand.load(Ordering::SeqCst) > 0 || entry.claims.unsettled() > 0;
    while busy() && node.now() < until {
        std::thread::sleep(POLL);
    }
    let left = entry.in_hand.load(Ordering::SeqCst);
    log::info!(instance:% = node.name.instance, left; "stopped");
}

/// Time in which the balancer learns that this instance is not ready; requests that still
/// come are served.
const GRACE: Duration = Duration::from_secs(1);
