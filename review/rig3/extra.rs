//! Servers that reject part of their requests, and of which two send some answers a second time, late: at
//! the point where the next answer is expected.

use crate::Verdict;
use crate::http::{Channel, response};
use crate::site::{self, Record, Site, Work};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
const SERVERS: [&str; 3] = ["i-app-1", "i-app-2", "i-app-3"];
/// How many of the servers send extra answers: a share of 0.6 at most.
const EXTRA_SERVERS: usize = 2;
/// Share of the answers that such a server sends a second time.
const EXTRA_SHARE: f64 = 0.03;
/// Share of the requests that a server rejects.
const REJECTED_SHARE: f64 = 0.4;
/// Spells in which servers do both, and the time between them.
const SPELLS: usize = 14;
const SPELL: Duration = Duration::from_secs(4);
const REST: Duration = Duration::from_secs(1);
const TIME_ALLOWED: Duration = Duration::from_millis(1_200);
const MAX_REPEATS: usize = 3;

/// Draws that are the same in each run.
struct Draws(Mutex<u64>);

impl Draws {
    fn is_within(&self, share: f64) -> bool {
        let mut state = self.0.lock().expect("no thread has panicked");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        let part = u32::try_from(*state >> 32).unwrap_or(0);
        f64::from(part) < share * f64::from(u32::MAX)
    }
}

/// What the servers have done.
#[derive(Default)]
struct Done {
    /// The servers that ran each request.
    runs: Mutex<BTreeMap<String, Vec<&'static str>>>,
    answers: AtomicUsize,
    extras: AtomicUsize,
    is_disturbed: AtomicBool,
}

fn work(id: &'static str, record: Record, done: Arc<Done>, sends_extras: bool) -> Work {
    let draws = Draws(Mutex::new(
        0x9e37_79b9_7f4a_7c15 ^ u64::from(id.as_bytes()[6]),
    ));
    let late: Mutex<BTreeMap<SocketAddr, Vec<u8>>> = Mutex::default();
    Arc::new(move |call, channel| {
        let Ok(peer) = channel.stream.peer_addr() else {
            return false;
        };
        let request = call.header("x-request-id").unwrap_or("").to_owned();
        let copy = late.lock().expect("no thread has panicked").remove(&peer);
        if let Some(copy) = copy {
            record.note(&format!(
                "server {id} sends an answer once more, as {request} arrives on its channel"
            ));
            done.extras.fetch_add(1, Ordering::Relaxed);
            if channel.send(&copy).is_err() {
                return false;
            }
        }
        let is_disturbed = done.is_disturbed.load(Ordering::Relaxed);
        let answer = if is_disturbed && draws.is_within(REJECTED_SHARE) {
            record.note(&format!("server {id} rejects {request}"));
            let headers = [("X-Request-Id", request.as_str()), ("X-Not-Executed", "1")];
            response("503 Service Unavailable", &headers, b"")
        } else {
            record.note(&format!("server {id} runs {request}"));
            let mut runs = done.runs.lock().expect("no thread has panicked");
            runs.entry(request.clone()).or_default().push(id);
            drop(runs);
            std::thread::sleep(Duration::from_millis(30));
            let headers = site::signed(call, site::SIGNATURE);
            response("200 OK", &headers, b"confirmed")
        };
        done.answers.fetch_add(1, Ordering::Relaxed);
        if channel.send(&answer).is_err() {
            return false;
        }
        if sends_extras && is_disturbed && draws.is_within(EXTRA_SHARE) {
            let mut late = late.lock().expect("no thread has panicked");
            late.insert(peer, answer);
        }
        true
    })
}

impl Done {
    fn runs_of(&self, request: &str) -> Vec<&'static str> {
        let runs = self.runs.lock().expect("no thread has panicked");
        runs.get(request).cloned().unwrap_or_default()
    }
}

/// How often each rule was broken.
#[derive(Default)]
struct Broken {
    requests: usize,
    /// Requests that ran more than once.
    twice: usize,
    /// Attempts that were answered 429 or 503, although a server had run the request.
    refused: usize,
}

/// Sends a request, and again after a promise that it hasn't run, each time on a new channel.
fn send(address: SocketAddr, record: &Record, done: &Done, broken: &mut Broken) -> Result<()> {
    let id = site::new_id();
    broken.requests += 1;
    let until = Instant::now() + TIME_ALLOWED;
    for _ in 0..=MAX_REPEATS {
        let left = until.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(0);
        if left_ms == 0 {
            break;
        }
        let runs_before = done.runs_of(&id).len();
        let mut channel = Channel::open(address)?;
        let limit = left + Duration::from_millis(300);
        channel.stream.set_read_timeout(Some(limit))?;
        record.note(&format!("caller sends {id}"));
        channel.send(&site::request("/issue/a", &id, left_ms, ""))?;
        let Ok(answer) = channel.message() else {
            record.note(&format!("caller gets no answer to {id}"));
            break;
        };
        record.note(&format!("caller gets {} for {id}", answer.status()));
        if ![429, 503].contains(&answer.status()) {
            break;
        }
        let retry_after = answer.header("retry-after").and_then(|it| it.parse().ok());
        let wait = Duration::try_from_secs_f64(retry_after.unwrap_or(0.0)).unwrap_or_default();
        let left = until.saturating_duration_since(Instant::now());
        std::thread::sleep(wait.min(left / 3));
        if done.runs_of(&id).len() > runs_before {
            broken.refused += 1;
            let status = answer.status();
            record.note(&format!("REFUSED: {id} was answered {status} and has run"));
        }
    }
    let runs = done.runs_of(&id);
    if runs.len() > 1 {
        broken.twice += 1;
        record.note(&format!("TWICE: {id} ran on {runs:?}"));
    }
    Ok(())
}

fn call(address: SocketAddr, record: &Record, done: &Done, is_over: &AtomicBool) -> Broken {
    let mut broken = Broken::default();
    while !is_over.load(Ordering::Relaxed) {
        if let Err(error) = send(address, record, done, &mut broken) {
            record.note(&format!("a request could not be sent: {error}"));
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    broken
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &site::config(1, ""));
    let done = Arc::new(Done::default());
    for (number, id) in SERVERS.into_iter().enumerate() {
        let sends_extras = has_trouble && number < EXTRA_SERVERS;
        let work = work(id, record.clone(), Arc::clone(&done), sends_extras);
        let server = site.serve(id, "app", work)?;
        site.list(&server, "", "ready");
    }
    for _ in 0..GATEWAYS {
        site.add_gateway("")?;
    }
    if !site.wait_until_ready(SERVERS.len()) {
        return Err(ErrorKind::TimedOut.into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..GATEWAYS)
        .map(|index| {
            let (address, record) = (site.callers(index), record.clone());
            let (done, is_over) = (Arc::clone(&done), Arc::clone(&is_over));
            std::thread::spawn(move || call(address, &record, &done, &is_over))
        })
        .collect();
    for _ in 0..SPELLS {
        done.is_disturbed.store(true, Ordering::Relaxed);
        std::thread::sleep(SPELL);
        done.is_disturbed.store(false, Ordering::Relaxed);
        std::thread::sleep(REST);
    }
    is_over.store(true, Ordering::Relaxed);
    let mut all = Broken::default();
    for caller in callers {
        let broken = caller.join().expect("no caller panics");
        all.requests += broken.requests;
        all.twice += broken.twice;
        all.refused += broken.refused;
    }
    let answers = done.answers.load(Ordering::Relaxed);
    let extras = done.extras.load(Ordering::Relaxed);
    let Broken {
        requests,
        twice,
        refused,
    } = all;
    let result = format!(
        "{requests} unsafe requests, {answers} answers of servers and {extras} extra ones: {twice} ran twice, {refused} were answered 429 or 503 and had run"
    );
    record.note(&result);
    println!("{result}");
    Ok(twice == 0 && refused == 0)
}
