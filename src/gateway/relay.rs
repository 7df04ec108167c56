//! Relays a stream of events to a caller.
//!
//! Bytes are passed on as they arrive, from the first complete event on. A resumable stream is passed
//! on in complete events, so that another worker can continue after the last one if its worker
//! breaks off.

use super::channel::Channel;
use super::forward::{Exchange, Outcome, Server, Stream};
use super::origins::Binding;
use crate::common::*;
use crate::decide::progress::Progress;
use crate::platform::request;
use crate::world::site::Repeat;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming};
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::{Sleep, sleep};

/// Limit on resumptions of one stream.
const MAX_RESUMPTIONS: u32 = 3;

/// Cause of the end of a stream whose bytes form no event.
const NO_EVENT: &str = "too many bytes without an event";

type Resumption = Pin<Box<dyn Future<Output = Outcome>>>;

enum State {
    Reading {
        incoming: Incoming,
        teardown: Box<Teardown>,
    },
    Resuming(Resumption),
    Over,
}

/// Connection and accounting of a stream, released or reused when the stream ends.
struct Teardown {
    channel: Channel,
    /// The server that sends the stream; none if it comes from another instance.
    server: Option<Server>,
}

/// A stream that is being relayed.
pub struct Relay {
    exchange: Rc<Exchange>,
    state: State,
    is_resumable: bool,
    resumptions: u32,
    /// Bytes of an event that is not complete yet.
    incomplete_event: BytesMut,
    last_event: Option<String>,
    deadline_timer: Pin<Box<Sleep>>,
    progress: Progress,
    /// Fires when the stream may have stalled.
    stall_timer: Pin<Box<Sleep>>,
    /// Bytes that arrived before the head of the response was passed on.
    first_bytes: Option<Bytes>,
    /// Outcome to log. It is "caller left" until the stream ends, since a caller that disconnects
    /// drops the relay without further notice.
    outcome: &'static str,
    /// Whether the stream's software version was recorded for callers that take it up.
    is_recorded: Cell<bool>,
}

impl Relay {
    /// Creates a relay for a stream.
    #[must_use]
    pub fn new(exchange: Rc<Exchange>, stream: Stream) -> Self {
        let deadline_timer = Box::pin(sleep(exchange.time_left()));
        let is_resumable = exchange.route.repeat == Repeat::Resume;
        let progress = Progress::new(exchange.now(), exchange.max_pause(), is_resumable);
        Self {
            is_resumable,
            stall_timer: Box::pin(sleep(progress.stalls_at().saturating_sub(exchange.now()))),
            progress,
            exchange,
            state: reading_state(stream),
            resumptions: 0,
            incomplete_event: BytesMut::new(),
            last_event: None,
            deadline_timer,
            first_bytes: None,
            outcome: "caller left",
            is_recorded: Cell::new(false),
        }
    }

    /// Waits for the first bytes, or for the end of an empty stream.
    ///
    /// # Errors
    /// If the stream breaks off before that; the caller can then still get an error response.
    pub async fn read_first_bytes(&mut self) -> io::Result<()> {
        self.first_bytes = poll_fn(|context| self.poll_next(context))
            .await
            .transpose()?;
        Ok(())
    }

    /// Polls for the next bytes for the caller.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(first_bytes) = self.first_bytes.take() {
            return Poll::Ready(Some(Ok(first_bytes)));
        }
        self.poll_next(context)
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.deadline_timer.as_mut().poll(context).is_ready() {
            return self.fail("late");
        }
        loop {
            match &mut self.state {
                State::Over => return Poll::Ready(None),
                State::Reading { incoming, teardown } => {
                    let Poll::Ready(frame) = Pin::new(incoming).poll_frame(context) else {
                        let is_due = self.stall_timer.as_mut().poll(context).is_ready();
                        if !is_due || !self.has_stalled(context) {
                            return Poll::Pending;
                        }
                        self.on_broken();
                        if !self.resume("stalled") {
                            return self.fail("stalled");
                        }
                        continue;
                    };
                    match frame {
                        Some(Ok(frame)) => {
                            if let Some(server) = &mut teardown.server {
                                server.guard.on_first_byte();
                                let service = &self.exchange.need.service;
                                let traffic = &self.exchange.traffic;
                                traffic.on_heard(service, &server.guard.worker);
                            }
                            let Ok(data) = frame.into_data() else {
                                continue;
                            };
                            let now = self.exchange.now();
                            if let Some(interval) = self.progress.on_bytes(now, &data)
                                && let Some(server) = &teardown.server
                            {
                                server.guard.on_event_interval(now, interval);
                            }
                            if self.progress.exceeds_event_limit() {
                                if !self.resume(NO_EVENT) {
                                    self.penalize_worker();
                                    return self.fail(NO_EVENT);
                                }
                                continue;
                            }
                            if let Some(bytes) = self.complete_events(data) {
                                return Poll::Ready(Some(Ok(bytes)));
                            }
                        }
                        Some(Err(error)) => {
                            self.on_broken();
                            if !self.resume("broken") {
                                return self.fail(&error.to_string());
                            }
                        }
                        None if self.progress.is_complete() => return self.finish(),
                        None => {
                            self.on_broken();
                            if !self.resume("ended within an event") {
                                return self.fail("ended within an event");
                            }
                        }
                    }
                }
                State::Resuming(resumption) => {
                    match std::task::ready!(resumption.as_mut().poll(context)) {
                        Outcome::Stream(stream) => {
                            let now = self.exchange.now();
                            self.progress =
                                Progress::new(now, self.exchange.max_pause(), self.is_resumable);
                            self.stall_timer
                                .set(sleep(self.progress.stalls_at().saturating_sub(now)));
                            self.state = reading_state(*stream);
                        }
                        _ => return self.fail("not resumed"),
                    }
                }
            }
        }
    }

    /// Whether no complete event arrived for too long; otherwise restarts the timer for the time
    /// that is left.
    fn has_stalled(&mut self, context: &mut Context<'_>) -> bool {
        if !matches!(self.state, State::Reading { .. }) {
            return false;
        }
        let time_left = self
            .progress
            .stalls_at()
            .saturating_sub(self.exchange.now());
        if time_left.is_zero() {
            return true;
        }
        self.stall_timer.set(sleep(time_left));
        self.stall_timer.as_mut().poll(context).is_ready()
    }

    /// Returns the server that sends the stream to this instance.
    fn server(&self) -> Option<&Server> {
        match &self.state {
            State::Reading { teardown, .. } => teardown.server.as_ref(),
            State::Resuming(_) | State::Over => None,
        }
    }

    /// Records that the worker broke the stream off.
    fn on_broken(&self) {
        if let Some(server) = self.server() {
            self.exchange
                .on_broken(&server.guard.worker, self.progress.first_event_at());
        }
    }

    fn has_first_event(&self) -> bool {
        self.progress.first_event_at().is_some()
    }

    /// Lowers the worker's rank in the choice of servers.
    fn penalize_worker(&self) {
        if let Some(server) = self.server() {
            let worker = &server.guard.worker;
            self.exchange.traffic.balance.borrow_mut().on_failed(worker);
        }
    }

    /// Returns the bytes to pass on now: all of them, or up to the end of the last complete
    /// event.
    fn complete_events(&mut self, data: Bytes) -> Option<Bytes> {
        if !self.is_resumable && self.incomplete_event.is_empty() && self.has_first_event() {
            return Some(data);
        }
        self.incomplete_event.extend_from_slice(&data);
        if !self.is_resumable {
            let bytes = self
                .has_first_event()
                .then(|| self.incomplete_event.split());
            return bytes.map(BytesMut::freeze);
        }
        let complete_len = end_of_events(&self.incomplete_event);
        if complete_len == 0 {
            return None;
        }
        let events = self.incomplete_event.split_to(complete_len).freeze();
        self.bind();
        let ids = events.split(|byte| *byte == b'\n');
        if let Some(last) = ids.filter_map(request::event_id).next_back() {
            self.last_event = Some(last.to_owned());
        }
        Some(events)
    }

    /// Binds the stream to the software version of the server that sent its first event.
    fn bind(&self) {
        let mut binding = self.exchange.binding.borrow_mut();
        let Some(server) = self.server() else {
            // Only the instance that carries the stream knows the version and records it.
            *binding = Binding::Unknown;
            return;
        };
        let is_taken_up = self.exchange.request.taken_up.is_some();
        if *binding == Binding::Free {
            *binding = match &server.guard.software {
                Some(software) => Binding::To(software.clone()),
                None => Binding::Unknown,
            };
        }
        if let Binding::To(software) = &*binding
            && !is_taken_up
            && !self.is_recorded.replace(true)
        {
            self.exchange
                .traffic
                .on_stream_begun(&self.exchange, software);
        }
    }

    /// Lets another worker continue after the last event passed on, since `cause` ended the stream;
    /// returns whether that is allowed.
    fn resume(&mut self, cause: &'static str) -> bool {
        self.exchange.traffic.metrics.on_stream_break(cause);
        let traffic = &self.exchange.traffic;
        let allowed = self.is_resumable
            && self.resumptions < MAX_RESUMPTIONS
            && !self.exchange.crashes_servers()
            && self.exchange.has_fitting_server()
            && self.exchange.try_take_retry("stream broke off");
        if !allowed {
            return false;
        }
        let broken_worker = self.server().map(|server| server.guard.worker.clone());
        if let Some(worker) = &broken_worker {
            traffic.balance.borrow_mut().on_failed(worker);
            self.exchange.attempts.borrow_mut().on_stream_broken(worker);
        }
        self.resumptions += 1;
        self.incomplete_event.clear();
        let exchange = Rc::clone(&self.exchange);
        let last = self.last_event.clone();
        let values = json!({"request": exchange.request.id, "after": last, "cause": cause,
            "server": broken_worker});
        traffic.journal.note("resumed", &values);
        self.state = State::Resuming(Box::pin(
            async move { exchange.dispatch(last.as_deref()).await },
        ));
        true
    }

    fn fail(&mut self, reason: &str) -> Poll<Option<io::Result<Bytes>>> {
        self.state = State::Over;
        self.outcome = "cut";
        let values = json!({"request": self.exchange.request.id, "reason": reason});
        self.exchange.traffic.journal.note("stream_cut", &values);
        Poll::Ready(Some(Err(io::Error::other(reason.to_owned()))))
    }

    fn finish(&mut self) -> Poll<Option<io::Result<Bytes>>> {
        let state = std::mem::replace(&mut self.state, State::Over);
        self.outcome = "whole";
        if let State::Reading { teardown, .. } = state
            && let Some(server) = teardown.server
        {
            self.exchange.on_success();
            if server.is_reusable {
                let traffic = &self.exchange.traffic;
                let service = &self.exchange.need.service;
                traffic.pool_connection(
                    service,
                    &server.guard.worker,
                    teardown.channel,
                    server.keep_alive,
                );
            }
        }
        let remainder = self.incomplete_event.split().freeze();
        if remainder.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(remainder)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let server = self.server().map(|server| &server.guard.worker);
        let silence = server.and_then(|worker| self.exchange.traffic.silence_ms(worker));
        let values = json!({"outcome": self.outcome, "resumed": self.resumptions,
            "server": server, "server_silent_ms": silence});
        self.exchange.note("stream_ended", values);
        if self.is_recorded.get() {
            let is_whole = self.outcome == "whole";
            let traffic = &self.exchange.traffic;
            traffic.on_stream_ended(&self.exchange.request.id, is_whole);
        }
    }
}

fn reading_state(stream: Stream) -> State {
    State::Reading {
        incoming: stream.incoming,
        teardown: Box::new(Teardown {
            channel: stream.channel,
            server: stream.server,
        }),
    }
}

/// Returns the length of the complete events at the start of some bytes.
fn end_of_events(bytes: &[u8]) -> usize {
    let ends = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    ends.map_or(0, |at| at + 2)
}
