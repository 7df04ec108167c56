//! Callers' connections to an entry: a thread for each, up to a limit.

use crate::common::*;
use crate::decide::connections::{self, Id, Limits};
use crate::node::callers;
use crate::node::duty::lock;
use crate::node::entry::Entry;
use crate::node::http::{Failure, Reader};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Condvar, Mutex, PoisonError};

/// Answer to a connection while all others are in use. Its request is not read, so it does not run.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n\
    Content-Length: 0\r\n\r\n";
const MALFORMED: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Longest time for which nothing of an answer can be written.
const MAX_BLOCKED_TIME: Duration = Duration::from_mins(1);
/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which it is checked whether a connection has closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct State {
    connections: connections::Connections,
    /// Connections that may be closed to make room, or whose requests run.
    streams: BTreeMap<Id, Arc<TcpStream>>,
}

/// The callers' open connections.
#[derive(Debug)]
pub struct Connections {
    state: Mutex<State>,
    closed: Condvar,
}

impl Connections {
    pub fn new(limits: &Limits) -> Self {
        Self {
            state: Mutex::new(State {
                connections: connections::Connections::new(limits.callers),
                streams: BTreeMap::new(),
            }),
            closed: Condvar::new(),
        }
    }

    pub fn count(&self) -> usize {
        lock(&self.state).connections.count()
    }
}

/// An open connection; it counts until it is dropped.
pub struct Connection {
    entry: Arc<Entry>,
    id: Id,
    pub stream: Arc<TcpStream>,
}

impl Connection {
    fn open(entry: &Arc<Entry>, stream: TcpStream) -> Self {
        let stream = Arc::new(stream);
        let mut state = lock(&entry.connections.state);
        let id = state.connections.open(entry.node.now());
        state.streams.insert(id, Arc::clone(&stream));
        drop(state);
        Self {
            entry: Arc::clone(entry),
            id,
            stream,
        }
    }

    /// Records that the connection begins to wait for its caller.
    fn wait(&self) {
        let mut state = lock(&self.entry.connections.state);
        if state.streams.contains_key(&self.id) {
            state.connections.on_waiting(self.entry.node.now(), self.id);
        }
    }

    /// Records that its request is complete; returns whether it may run, which it may not if the connection is
    /// being closed.
    pub fn run(&self) -> bool {
        let mut state = lock(&self.entry.connections.state);
        let is_open = state.streams.contains_key(&self.id);
        if is_open {
            state.connections.on_running(self.id);
        }
        is_open
    }

    /// Serves the requests of the connection, one after the other.
    fn serve(&self) {
        let mut reader = Reader::new(&self.stream);
        loop {
            self.wait();
            if !reader.wait() {
                return;
            }
            self.wait();
            let refusal = match reader.read_head() {
                Ok(head) => {
                    self.wait();
                    if callers::take(&self.entry, self, &mut reader, head) {
                        continue;
                    }
                    None
                }
                Err(Failure::Malformed) => Some(MALFORMED),
                Err(Failure::TooLarge) => Some(HEAD_TOO_LARGE),
                Err(Failure::TimedOut) => Some(HEAD_TOO_SLOW),
                Err(Failure::Gone | Failure::NoMemory) => return,
            };
            self.wait();
            let written = refusal.map_or(Ok(()), |refusal| (&*self.stream).write_all(refusal));
            if written.is_ok() && self.stream.shutdown(Shutdown::Write).is_ok() {
                reader.discard(self.entry.node.settings.max_body);
            }
            return;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = lock(&self.entry.connections.state);
        state.connections.on_closed(self.id);
        state.streams.remove(&self.id);
        drop(state);
        self.entry.connections.closed.notify_one();
    }
}

/// Accepts connections for good.
pub fn accept(entry: &Arc<Entry>, listener: &TcpListener) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => start(entry, stream),
            Err(error) => {
                log::warn!(error:% = error; "a connection could not be accepted");
                close_longest_waiting(entry, &mut lock(&entry.connections.state));
                std::thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn start(entry: &Arc<Entry>, stream: TcpStream) {
    let is_set = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(MAX_BLOCKED_TIME)));
    if let Err(error) = is_set {
        log::debug!(error:% = error; "a connection was closed");
        return;
    }
    if !make_room(entry) {
        let _ = (&stream).write(FULL);
        return;
    }
    let connection = Connection::open(entry, stream);
    let spawned = std::thread::Builder::new().spawn(move || connection.serve());
    if let Err(error) = spawned {
        log::error!(error:% = error; "no thread for a connection");
    }
}

/// Waits until there is room for another connection, if need be by closing the one that has waited longest;
/// returns whether there is room.
fn make_room(entry: &Entry) -> bool {
    let mut state = lock(&entry.connections.state);
    while !state.connections.has_room() {
        if !close_longest_waiting(entry, &mut state) {
            entry.node.metrics.decided("connection", "refused");
            return false;
        }
        let waited = entry
            .connections
            .closed
            .wait_timeout(state, CLOSE_CHECK_INTERVAL);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    true
}

fn close_longest_waiting(entry: &Entry, state: &mut State) -> bool {
    let Some(id) = state.connections.take_longest_waiting() else {
        return false;
    };
    if let Some(stream) = state.streams.remove(&id) {
        let closed = stream.shutdown(Shutdown::Both);
        log::debug!(result:? = closed; "a connection was closed to make room");
    }
    entry.node.metrics.decided("connection", "closed");
    true
}
