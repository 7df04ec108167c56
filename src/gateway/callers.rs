//! Connections that callers, peers and operators open to this instance, and their number.

use super::body::Body;
use super::journal::Journal;
use super::metrics::Metrics;
use crate::common::*;
use crate::decide::connections::{Connections, Id, Limits};
use crate::node::clock::Clock;
use crate::world::deployment::Deployment;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Answer to a connection while all others are in use. Its request is not read, so it does not run.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n\
    content-length: 0\r\n\r\n";
/// Closed and refused connections are logged at most once in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Who opens connections to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opener {
    Callers,
    /// Other instances, with requests of their callers.
    Peers,
    /// Readiness probes, and readers of metrics and state.
    Operators,
}

impl Opener {
    const fn text(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Operators => "operators",
        }
    }
}

/// The connections to the ports of one kind.
#[derive(Debug)]
struct Port {
    connections: RefCell<Connections>,
    /// Wakes the tasks of connections that must close.
    closing: RefCell<BTreeMap<Id, Rc<Notify>>>,
    /// Wakes the task that accepts connections when one is closed.
    closed: Notify,
}

/// All connections to this instance.
#[derive(Debug)]
pub struct Callers {
    clock: Clock,
    ports: [Port; 3],
    /// Connections closed and refused since the last log line, and when that was.
    unlogged: Cell<(u64, u64)>,
    logged_at: Cell<Duration>,
}

impl Callers {
    pub fn new(deployment: &Deployment, clock: Clock) -> Self {
        let machine = deployment.machine;
        let limits = Limits::new(machine.descriptors, machine.memory);
        let port = |limit| Port {
            connections: RefCell::new(Connections::new(limit)),
            closing: RefCell::default(),
            closed: Notify::new(),
        };
        Self {
            clock,
            ports: [limits.callers, limits.peers, limits.operators].map(port),
            unlogged: Cell::default(),
            logged_at: Cell::default(),
        }
    }

    fn port(&self, opener: Opener) -> &Port {
        &self.ports[opener as usize]
    }

    /// Waits until there is room for another connection, if need be by closing the one that has waited
    /// longest; returns whether there is room.
    pub async fn make_room(&self, opener: Opener, metrics: &Metrics) -> bool {
        let port = self.port(opener);
        while !port.connections.borrow().has_room() {
            if !self.close_longest_waiting(opener, metrics) {
                metrics.on_connection_limit(opener.text(), "refused");
                let (closed, refused) = self.unlogged.get();
                self.unlogged.set((closed, refused + 1));
                return false;
            }
            port.closed.notified().await;
        }
        true
    }

    /// Closes the connection that has waited longest within an idle time or an unfinished request; returns
    /// whether there was one.
    pub fn close_longest_waiting(&self, opener: Opener, metrics: &Metrics) -> bool {
        let port = self.port(opener);
        let longest = port.connections.borrow_mut().take_longest_waiting();
        let closing = longest.and_then(|id| port.closing.borrow().get(&id).cloned());
        let Some(closing) = closing else {
            return false;
        };
        closing.notify_one();
        metrics.on_connection_limit(opener.text(), "closed");
        let (closed, refused) = self.unlogged.get();
        self.unlogged.set((closed + 1, refused));
        true
    }

    /// Logs how many connections were closed and refused since the last log line.
    pub fn log(&self, journal: &Journal) {
        let now = self.clock.now();
        let is_due = now >= self.logged_at.get() + LOG_INTERVAL;
        if !is_due || self.unlogged.get() == (0, 0) {
            return;
        }
        self.logged_at.set(now);
        let (closed, refused) = self.unlogged.take();
        let open: BTreeMap<_, _> = self.counts().collect();
        let values = json!({"closed": closed, "refused": refused, "open": open});
        journal.note("connection_limit", &values);
    }

    /// Returns the numbers of open connections, by who opened them.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let openers = [Opener::Callers, Opener::Peers, Opener::Operators].into_iter();
        openers.map(|opener| {
            let count = self.port(opener).connections.borrow().count();
            (opener.text(), count)
        })
    }
}

/// Refuses a connection for which there is no room.
pub fn refuse(stream: &TcpStream) {
    if let Err(error) = stream.try_write(FULL) {
        log::debug!("a connection was closed without an answer: {error}");
    }
}

/// What a connection waits for or does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Head,
    Body,
    Running,
    /// The body of the answer was taken over, but not all of it was written yet.
    Answered,
}

/// An open connection; it counts until it is dropped.
pub struct Connection {
    callers: Rc<Callers>,
    opener: Opener,
    id: Id,
    closing: Rc<Notify>,
    phase: Cell<Phase>,
    discarded: Cell<usize>,
}

impl Connection {
    pub fn new(callers: &Rc<Callers>, opener: Opener) -> Rc<Self> {
        let port = callers.port(opener);
        let id = port.connections.borrow_mut().open(callers.clock.now());
        let closing = Rc::new(Notify::new());
        port.closing.borrow_mut().insert(id, Rc::clone(&closing));
        Rc::new(Self {
            callers: Rc::clone(callers),
            opener,
            id,
            closing,
            phase: Cell::new(Phase::Idle),
            discarded: Cell::new(0),
        })
    }

    /// Waits until this connection must close to make room for another one.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    fn wait_in(&self, phase: Phase) {
        self.phase.set(phase);
        let port = self.callers.port(self.opener);
        let now = self.callers.clock.now();
        port.connections.borrow_mut().on_waiting(now, self.id);
    }

    /// Records that bytes were received.
    pub fn on_bytes(&self) {
        if self.phase.get() == Phase::Idle {
            self.wait_in(Phase::Head);
        }
    }

    /// Whether a head has begun and is not complete.
    pub fn awaits_head(&self) -> bool {
        self.phase.get() == Phase::Head
    }

    /// Records that a head is complete.
    pub fn on_head(&self) {
        self.wait_in(Phase::Body);
    }

    /// Records that the request is complete: from now until its answer is written, the connection is not
    /// closed to make room.
    pub fn on_request(&self) {
        self.phase.set(Phase::Running);
        let port = self.callers.port(self.opener);
        port.connections.borrow_mut().on_running(self.id);
    }

    /// Returns how many bytes of a refused request are still read and discarded before the connection closes, so
    /// that its caller can read the refusal; a connection with unread bytes would be reset.
    pub fn take_discarded(&self) -> usize {
        self.discarded.take()
    }

    /// Has up to `bytes` of the rest of a refused request read and discarded.
    pub fn discard(&self, bytes: usize) {
        self.discarded.set(bytes);
    }

    /// Records that everything was written that was to be written so far.
    pub fn on_flushed(&self) {
        if self.phase.get() == Phase::Answered {
            self.wait_in(Phase::Idle);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let port = self.callers.port(self.opener);
        port.connections.borrow_mut().on_closed(self.id);
        port.closing.borrow_mut().remove(&self.id);
        port.closed.notify_one();
    }
}

/// The body of an answer, whose end is recorded at its connection.
pub struct Answer {
    pub body: Body,
    pub connection: Rc<Connection>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.connection.phase.set(Phase::Answered);
    }
}

impl hyper::body::Body for Answer {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
