//! A stream of events on its way to a caller.
//!
//! Bytes are passed on as they come. A stream that may be resumed is passed on by whole events,
//! so that another worker can go on after the last one when its worker breaks off.

use super::channel::Channel;
use super::forward::{Case, End, Live};
use super::ticket::Ticket;
use crate::common::*;
use crate::decide::progress::Progress;
use crate::platform::request;
use crate::world::site::Repeat;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming};
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::{Sleep, sleep};

/// Resumptions of one stream.
const MOST_RESUMED: u32 = 3;
/// Longest event; a longer one is passed on in pieces, and its stream is not resumed.
const LONGEST_EVENT: usize = 64 << 10;

type Resumption = Pin<Box<dyn Future<Output = End>>>;

enum State {
    Reading { incoming: Incoming, end: Ending },
    Resuming(Resumption),
    Over,
}

/// What is needed once a stream is over.
struct Ending {
    channel: Channel,
    ticket: Ticket,
    reusable: bool,
    keeps: Option<Duration>,
}

/// A stream that is passed on.
pub struct Relay {
    case: Rc<Case>,
    state: State,
    resumable: bool,
    resumed: u32,
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    last_event: Option<String>,
    deadline: Pin<Box<Sleep>>,
    flow: Progress,
    /// Wakes when the stream may have stalled.
    stall: Pin<Box<Sleep>>,
    /// Bytes that came before the head of the answer was passed on.
    first: Option<Bytes>,
    /// How the stream ended, as far as it has.
    outcome: &'static str,
}

impl Relay {
    /// Passes a stream on.
    #[must_use]
    pub fn new(case: Rc<Case>, live: Live) -> Self {
        let deadline = Box::pin(sleep(case.left()));
        let resumable = case.route.repeat == Repeat::Resume;
        let flow = Progress::new(case.now(), case.pause_borne(), resumable);
        Self {
            resumable,
            stall: Box::pin(sleep(flow.stalls_at().saturating_sub(case.now()))),
            flow,
            case,
            state: reading(live),
            resumed: 0,
            partial: BytesMut::new(),
            last_event: None,
            deadline,
            first: None,
            outcome: "caller left",
        }
    }

    /// Waits for the first bytes, or for the end of a stream that has none.
    ///
    /// # Errors
    /// Where the stream breaks off before: the caller can still be answered.
    pub async fn begin(&mut self) -> io::Result<()> {
        self.first = poll_fn(|context| self.poll_next(context))
            .await
            .transpose()?;
        Ok(())
    }

    /// The next bytes for the caller.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        self.poll_next(context)
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return self.fail("late");
        }
        if self.stall.as_mut().poll(context).is_ready() && self.has_stalled(context) {
            self.on_broken();
            if !self.resume() {
                return self.fail("stalled");
            }
        }
        loop {
            match &mut self.state {
                State::Over => return Poll::Ready(None),
                State::Reading { incoming, end } => {
                    let frame = std::task::ready!(Pin::new(incoming).poll_frame(context));
                    match frame {
                        Some(Ok(frame)) => {
                            end.ticket.on_first();
                            let Ok(data) = frame.into_data() else {
                                continue;
                            };
                            self.flow.on_bytes(self.case.now(), &data);
                            if let Some(bytes) = self.pass(data) {
                                return Poll::Ready(Some(Ok(bytes)));
                            }
                        }
                        Some(Err(error)) => {
                            self.on_broken();
                            if !self.resume() {
                                return self.fail(&error.to_string());
                            }
                        }
                        None if self.flow.is_complete() => return self.finish(),
                        None => {
                            self.on_broken();
                            if !self.resume() {
                                return self.fail("ended within an event");
                            }
                        }
                    }
                }
                State::Resuming(resumption) => {
                    match std::task::ready!(resumption.as_mut().poll(context)) {
                        End::Live(live) => {
                            let now = self.case.now();
                            self.flow = Progress::new(now, self.case.pause_borne(), self.resumable);
                            self.stall
                                .set(sleep(self.flow.stalls_at().saturating_sub(now)));
                            self.state = reading(*live);
                        }
                        _ => return self.fail("not resumed"),
                    }
                }
            }
        }
    }

    /// Whether no whole event came for too long; if one came, the time for the next begins there.
    fn has_stalled(&mut self, context: &mut Context<'_>) -> bool {
        if !matches!(self.state, State::Reading { .. }) {
            return false;
        }
        let left = self.flow.stalls_at().saturating_sub(self.case.now());
        if left.is_zero() {
            return true;
        }
        self.stall.set(sleep(left));
        self.stall.as_mut().poll(context).is_ready()
    }

    /// Notes that the worker broke the stream off.
    fn on_broken(&self) {
        if let State::Reading { end, .. } = &self.state {
            let worker = &end.ticket.worker;
            let traffic = &self.case.traffic;
            traffic.on_broken(self.case.fingerprint(), worker);
        }
    }

    /// Bytes to pass on now: all of them, or up to the end of the last whole event.
    fn pass(&mut self, data: Bytes) -> Option<Bytes> {
        if !self.resumable {
            return Some(data);
        }
        self.partial.extend_from_slice(&data);
        let whole = end_of_events(&self.partial);
        if whole == 0 {
            if self.partial.len() > LONGEST_EVENT {
                self.resumable = false;
                return Some(self.partial.split().freeze());
            }
            return None;
        }
        let events = self.partial.split_to(whole).freeze();
        let ids = events.split(|byte| *byte == b'\n');
        if let Some(last) = ids.filter_map(request::event_id).next_back() {
            self.last_event = Some(last.to_owned());
        }
        Some(events)
    }

    /// Has another worker go on after the last event passed on.
    fn resume(&mut self) -> bool {
        let traffic = &self.case.traffic;
        let allowed = self.resumable
            && self.resumed < MOST_RESUMED
            && !traffic.is_convicted(|| self.case.fingerprint())
            && self.case.may_repeat("stream broke off");
        if !allowed {
            return false;
        }
        if let State::Reading { end, .. } = &self.state {
            let worker = &end.ticket.worker;
            traffic.balance.borrow_mut().on_failed(worker);
            self.case.attempts.borrow_mut().on_stream_broken(worker);
        }
        self.resumed += 1;
        self.partial.clear();
        let case = Rc::clone(&self.case);
        let last = self.last_event.clone();
        let values = json!({"request": case.request.id, "after": last});
        traffic.journal.note("resumed", &values);
        self.state = State::Resuming(Box::pin(
            async move { case.dispatch(last.as_deref()).await },
        ));
        true
    }

    fn fail(&mut self, reason: &str) -> Poll<Option<io::Result<Bytes>>> {
        self.state = State::Over;
        self.outcome = "cut";
        let values = json!({"request": self.case.request.id, "reason": reason});
        self.case.traffic.journal.note("stream_cut", &values);
        Poll::Ready(Some(Err(io::Error::other(reason.to_owned()))))
    }

    fn finish(&mut self) -> Poll<Option<io::Result<Bytes>>> {
        let state = std::mem::replace(&mut self.state, State::Over);
        self.outcome = "whole";
        if let State::Reading { end, .. } = state {
            self.case.traffic.on_success(|| self.case.fingerprint());
            let worker = end.ticket.worker.clone();
            if end.reusable {
                let traffic = &self.case.traffic;
                let service = &self.case.need.service;
                traffic.keep(service, &worker, end.channel, end.keeps);
            }
        }
        let rest = self.partial.split().freeze();
        if rest.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(rest)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let values = json!({"outcome": self.outcome, "resumed": self.resumed});
        self.case.note("stream_ended", values);
    }
}

fn reading(live: Live) -> State {
    let reusable = live.answer.framed && !live.answer.closes;
    State::Reading {
        incoming: live.incoming,
        end: Ending {
            channel: live.channel,
            ticket: live.ticket,
            reusable,
            keeps: live.answer.keeps,
        },
    }
}

/// Length of the whole events at the start of some bytes.
fn end_of_events(bytes: &[u8]) -> usize {
    let ends = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    ends.map_or(0, |at| at + 2)
}
