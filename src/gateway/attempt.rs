//! One attempt to serve a request at one server, and the interpretation of its response.

use super::access::{Clearance, Denial};
use super::body::Body;
use super::buffer::{self, Failure};
use super::channel::{self, Channel};
use super::forward::{DEADLINE_MARGIN, Exchange, Server, Stream};
use super::in_flight::Guard;
use super::reply;
use crate::common::*;
use crate::platform::request::{self, Stamp};
use crate::world::id;
use crate::world::message::{Answer, Outcome};
use crate::world::site::Repeat;
use crate::world::time;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Incoming;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::time::timeout;

/// Causes that may mean that the server crashed: the connection broke before the response head
/// was complete, or the body was cut short.
pub const BROKEN: &str = "broken";
pub const CUT: &str = "cut";
/// A request that may be retried is sent to another server if it has no response after this
/// multiple of its expected time.
const SILENCE_FACTOR: f64 = 4.0;
/// Time without an answer after which the path to the servers is checked, if it is shorter than the time after
/// which a request is sent to another server.
const MAX_UNCHECKED_SILENCE: Duration = Duration::from_millis(800);
/// Longest wait until an open connection accepts a request; also the time to read a rejection's
/// body.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// Outcome of one attempt.
pub enum Attempt {
    Stream(Box<Stream>),
    Complete(Response<Body>),
    /// The server was reached but did not run the request.
    NotRun,
    /// No connection could be opened, so the request reached no server.
    Unreachable,
    /// The caller's key no longer allows the request, which was not sent.
    Denied(Denial),
    /// The server failed; its own response may be passed on.
    Failed(Response<Body>),
    Unknown(&'static str),
    TimedOut,
}

impl Attempt {
    /// Whether the server may have run the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotRun | Self::Unreachable | Self::Denied(_))
    }
}

impl Exchange {
    pub(super) fn log_attempt(&self, worker: &id::Worker, expected: f64, attempt: &Attempt) {
        let outcome = match attempt {
            Attempt::Stream(_) => "stream",
            Attempt::Complete(_) => "answer",
            Attempt::NotRun => "not_run",
            Attempt::Unreachable => "unreached",
            Attempt::Denied(_) => "denied",
            Attempt::Failed(_) => "failed",
            Attempt::Unknown(cause) => cause,
            Attempt::TimedOut => "late",
        };
        self.traffic.metrics.on_send(outcome);
        let expected_ms = (expected * 1e3).round();
        let mut values = json!({"server": worker, "service": self.need.service,
            "expected_ms": expected_ms, "outcome": outcome});
        let balance = self.traffic.balance.borrow();
        if let Some(usage) = balance.usage(self.now(), worker) {
            values["usage"] = json!(usage);
        }
        if self.route.repeat == Repeat::Resume {
            values["software"] = json!(balance.view(worker).map(|view| &view.backend.software));
        }
        drop(balance);
        self.note("sent", values);
    }

    /// Sends the request to a server; `may_try_another` says whether it may go to another one
    /// afterwards.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        worker: &id::Worker,
        expected: f64,
        last_event: Option<&str>,
        may_try_another: bool,
    ) -> Attempt {
        let guard = Guard::new(self, worker, expected);
        let time_left = self.time_left().saturating_sub(DEADLINE_MARGIN);
        let silence_limit = time::from_secs_f64(expected * SILENCE_FACTOR).max(self.route.target);
        let time_limit = if may_try_another {
            time_left.min(silence_limit)
        } else {
            time_left
        };
        let sent = self.send_watched(guard, last_event, silence_limit);
        let attempt = timeout(time_limit, sent).await;
        attempt.unwrap_or_else(|_| {
            self.traffic.balance.borrow_mut().on_failed(worker);
            if time_limit < time_left {
                Attempt::Unknown("silent")
            } else {
                Attempt::TimedOut
            }
        })
    }

    /// Sends the request; has the path to the servers checked if no answer begins within `silence_limit`.
    async fn send_watched(
        self: &Rc<Self>,
        guard: Guard,
        last_event: Option<&str>,
        silence_limit: Duration,
    ) -> Attempt {
        let check_after = silence_limit.min(MAX_UNCHECKED_SILENCE);
        let mut sent = std::pin::pin!(self.send(guard, last_event));
        if let Ok(attempt) = timeout(check_after, sent.as_mut()).await {
            return attempt;
        }
        self.traffic.check_path(&self.need.service);
        sent.await
    }

    async fn send(self: &Rc<Self>, guard: Guard, last_event: Option<&str>) -> Attempt {
        let worker = guard.worker.clone();
        let mut is_pooled = true;
        loop {
            let channel = if is_pooled {
                self.traffic.pool.take(self.now(), &worker)
            } else {
                None
            };
            is_pooled = channel.is_some();
            let Some(mut channel) = self.pooled_or_new_channel(&worker, channel).await else {
                let now = self.now();
                self.traffic
                    .balance
                    .borrow_mut()
                    .on_unreachable(now, &worker);
                return Attempt::Unreachable;
            };
            if !matches!(timeout(READY_TIMEOUT, channel.ready()).await, Ok(Ok(()))) {
                if is_pooled {
                    continue;
                }
                self.traffic.on_unreached(&self.need.service, &worker);
                return Attempt::NotRun;
            }
            let clearance = match self.clearance() {
                Ok(clearance) => clearance,
                Err(denial) => return Attempt::Denied(denial),
            };
            if !self.may_use_units() {
                self.note("units_expired", json!({"server": worker}));
                return Attempt::Unreachable;
            }
            let outgoing_request = self.outgoing_request(&worker, last_event, &clearance);
            match channel.send(outgoing_request).await {
                Ok(response) => {
                    self.traffic.on_heard(&self.need.service, &worker);
                    if !is_pooled {
                        self.traffic.on_connected(&self.need.service, &worker);
                    }
                    return self
                        .handle_response(response, channel, guard, is_pooled)
                        .await;
                }
                Err(mut error) => {
                    if error.take_message().is_some() {
                        if is_pooled {
                            continue;
                        }
                        self.traffic.on_unreached(&self.need.service, &worker);
                        return Attempt::NotRun;
                    }
                    self.note(
                        "broke",
                        json!({"server": worker, "error": error.error().to_string()}),
                    );
                    self.traffic.balance.borrow_mut().on_failed(&worker);
                    return Attempt::Unknown(BROKEN);
                }
            }
        }
    }

    async fn pooled_or_new_channel(
        &self,
        worker: &id::Worker,
        channel: Option<Channel>,
    ) -> Option<Channel> {
        if channel.is_some() {
            return channel;
        }
        let address = self.traffic.address(worker)?;
        let source = self.traffic.deployment.peers.ip();
        let opened = channel::connect_from(source, address).await;
        self.traffic.metrics.connections.inc();
        opened
            .inspect_err(|error| {
                self.traffic.on_unreached(&self.need.service, worker);
                if error.kind() == ErrorKind::ConnectionRefused {
                    self.traffic.on_refused(&self.need.service, worker);
                }
                self.note(
                    "unreachable",
                    json!({"server": worker, "error": error.to_string()}),
                );
            })
            .ok()
    }

    fn outgoing_request(
        &self,
        worker: &id::Worker,
        last_event: Option<&str>,
        clearance: &Clearance,
    ) -> hyper::Request<Full<Bytes>> {
        let generation = self.need.generation.as_ref();
        let stamp = Stamp {
            worker,
            remaining: self.time_left(),
            priority: generation.map(|_| clearance.priority(&self.route)),
            identity: clearance.identity(),
            last_event,
        };
        let mut outgoing_request = hyper::Request::new(Full::new(self.body.clone()));
        *outgoing_request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query();
        *outgoing_request.uri_mut() =
            path.map_or_else(Default::default, |path| path.clone().into());
        *outgoing_request.headers_mut() = request::encode(&self.head.headers, &stamp);
        outgoing_request
    }

    /// Interprets the head of a response.
    async fn handle_response(
        self: &Rc<Self>,
        response: Response<Incoming>,
        channel: Channel,
        mut guard: Guard,
        is_reused: bool,
    ) -> Attempt {
        let (head, incoming) = response.into_parts();
        let answer = request::decode_answer(&self.request.id, &head, is_reused);
        let now = self.now();
        let worker = guard.worker.clone();
        let traffic = &self.traffic;
        if let Some(load) = answer.load {
            traffic.balance.borrow_mut().on_load(now, &worker, load);
        }
        if answer.outcome != Outcome::Foreign {
            traffic.on_notice(&worker, guard.boot, answer.notice);
            traffic.on_max_rejections(&self.need.service, &worker, answer.notice);
        }
        let has_run = matches!(
            answer.outcome,
            Outcome::Success | Outcome::Rejected | Outcome::Failed
        );
        if has_run && answer.notice.limit.is_none() && !answer.notice.is_limit_unclear {
            traffic.on_limit(&worker, guard.boot, None);
        }
        match answer.outcome {
            Outcome::Full => {
                traffic.balance.borrow_mut().on_rejected(now, &worker);
                traffic.balance.borrow_mut().on_unreachable(now, &worker);
                self.recycle_connection(incoming, channel, &worker, &answer)
                    .await;
                Attempt::NotRun
            }
            Outcome::Misdirected => {
                let target = self.need.generation.as_ref().map(|it| &it.target);
                traffic
                    .balance
                    .borrow_mut()
                    .on_misdirected(now, &worker, target);
                Attempt::NotRun
            }
            Outcome::Foreign => {
                traffic.balance.borrow_mut().on_failed(&worker);
                Attempt::Unknown("foreign")
            }
            Outcome::Success if self.route.repeat.is_stream() => {
                Attempt::Stream(Box::new(Stream {
                    head,
                    incoming,
                    channel,
                    server: Some(Server {
                        guard,
                        is_reusable: answer.framed && !answer.closes,
                        keep_alive: answer.keeps,
                    }),
                }))
            }
            Outcome::Success | Outcome::Rejected | Outcome::Failed => {
                let read = buffer::read(traffic, incoming, self.max_body_bytes()).await;
                let (body, lease) = match read {
                    Ok(read) => read,
                    Err(failure) => return self.handle_unread(&worker, failure),
                };
                guard.on_first_byte();
                if answer.framed && !answer.closes {
                    traffic.pool_connection(&self.need.service, &worker, channel, answer.keeps);
                }
                if answer.outcome == Outcome::Success {
                    self.on_success();
                }
                let response = reply::forwarded(head, body, lease);
                if answer.outcome == Outcome::Failed {
                    traffic.balance.borrow_mut().on_failed(&worker);
                    return Attempt::Failed(response);
                }
                Attempt::Complete(response)
            }
        }
    }

    /// Interprets an answer that could not be read in full.
    fn handle_unread(&self, worker: &id::Worker, failure: Failure) -> Attempt {
        if failure != Failure::NoMemory {
            self.traffic.balance.borrow_mut().on_failed(worker);
        }
        Attempt::Unknown(match failure {
            Failure::Broken => CUT,
            Failure::TooLarge => "answer too large",
            Failure::TooManyPieces => "answer in too many pieces",
            Failure::NoMemory => "no memory for the answer",
        })
    }

    pub(super) fn max_body_bytes(&self) -> usize {
        usize::try_from(self.site.limits.body.0).unwrap_or(usize::MAX)
    }

    /// Returns a connection to the pool after discarding the short body of a rejection.
    async fn recycle_connection(
        &self,
        body: Incoming,
        channel: Channel,
        worker: &id::Worker,
        answer: &Answer,
    ) {
        let read = timeout(READY_TIMEOUT, Limited::new(body, 1 << 16).collect()).await;
        if matches!(read, Ok(Ok(_))) && answer.framed && !answer.closes {
            let service = &self.need.service;
            self.traffic
                .pool_connection(service, worker, channel, answer.keeps);
        }
    }
}
