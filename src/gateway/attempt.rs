//! One sending of a request to one server, and what its answer means.

use super::body::Body;
use super::channel::{self, Channel};
use super::forward::{CLOSE, Case, Live};
use super::reply;
use super::ticket::Ticket;
use crate::common::*;
use crate::platform::request::{self, Stamp};
use crate::world::id;
use crate::world::message::{Answer, Outcome};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Incoming;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::time::timeout;

/// Causes that a server may have ended for: its connection broke before its answer began, or within.
pub const BROKEN: &str = "broken";
pub const CUT: &str = "cut";
/// A repeatable request is sent to another server after this multiple of its expected time.
const SILENCE: f64 = 4.0;
/// Longest wait for a connection to take a request.
const TAKES: Duration = Duration::from_millis(200);

/// Outcome of one sending.
pub enum Attempt {
    Live(Box<Live>),
    Whole(Response<Body>),
    /// The server was reached and did not run it.
    NotRun,
    /// No connection was had: nothing has arrived anywhere.
    Unreached,
    /// The server failed; its own answer may be passed on.
    Failed(Response<Body>),
    Unknown(&'static str),
    Late,
}

impl Case {
    pub(super) fn note_attempt(&self, worker: &id::Worker, expected: f64, attempt: &Attempt) {
        let outcome = match attempt {
            Attempt::Live(_) => "stream",
            Attempt::Whole(_) => "answer",
            Attempt::NotRun => "not_run",
            Attempt::Unreached => "unreached",
            Attempt::Failed(_) => "failed",
            Attempt::Unknown(cause) => cause,
            Attempt::Late => "late",
        };
        self.traffic.metrics.on_send(outcome);
        let expected_ms = (expected * 1e3).round();
        let mut values = json!({"server": worker, "service": self.need.service,
            "expected_ms": expected_ms, "outcome": outcome});
        let usage = self.traffic.balance.borrow().usage(self.now(), worker);
        if let Some(usage) = usage {
            values["usage"] = json!(usage);
        }
        self.note("sent", values);
    }

    /// Sends the request to a server; `may_go_on` says whether another one may be tried after it.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        worker: &id::Worker,
        expected: f64,
        last_event: Option<&str>,
        may_go_on: bool,
    ) -> Attempt {
        let ticket = Ticket::new(self, worker, expected);
        let left = self.left().saturating_sub(CLOSE);
        let silence = Duration::from_secs_f64(expected * SILENCE).max(self.route.target);
        let longest = if may_go_on { left.min(silence) } else { left };
        let attempt = timeout(longest, self.send(ticket, last_event)).await;
        attempt.unwrap_or_else(|_| {
            self.traffic.balance.borrow_mut().on_failed(worker);
            if longest < left {
                Attempt::Unknown("silent")
            } else {
                Attempt::Late
            }
        })
    }

    async fn send(self: &Rc<Self>, ticket: Ticket, last_event: Option<&str>) -> Attempt {
        let worker = ticket.worker.clone();
        let mut pooled = true;
        loop {
            let channel = if pooled {
                self.traffic.pool.take(self.now(), &worker)
            } else {
                None
            };
            pooled = channel.is_some();
            let Some(mut channel) = self.open(&worker, channel).await else {
                let now = self.now();
                self.traffic
                    .balance
                    .borrow_mut()
                    .on_unreachable(now, &worker);
                return Attempt::Unreached;
            };
            if !matches!(timeout(TAKES, channel.ready()).await, Ok(Ok(()))) {
                if pooled {
                    continue;
                }
                return Attempt::NotRun;
            }
            let outgoing = self.outgoing(&worker, last_event);
            match channel.send(outgoing).await {
                Ok(response) => return self.take(response, channel, ticket).await,
                Err(mut error) => {
                    if error.take_message().is_some() {
                        if pooled {
                            continue;
                        }
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

    async fn open(&self, worker: &id::Worker, channel: Option<Channel>) -> Option<Channel> {
        if channel.is_some() {
            return channel;
        }
        let address = self.traffic.address(worker)?;
        let opened = channel::connect(address).await;
        self.traffic.metrics.connections.inc();
        opened
            .inspect_err(|error| {
                if error.kind() == ErrorKind::ConnectionRefused {
                    self.traffic.on_ended(worker);
                }
                self.note(
                    "unreachable",
                    json!({"server": worker, "error": error.to_string()}),
                );
            })
            .ok()
    }

    fn outgoing(
        &self,
        worker: &id::Worker,
        last_event: Option<&str>,
    ) -> hyper::Request<Full<Bytes>> {
        let stamp = Stamp {
            worker,
            remaining: self.left(),
            priority: self.need.generation.as_ref().map(|_| self.route.priority),
            last_event,
        };
        let mut outgoing = hyper::Request::new(Full::new(self.body.clone()));
        *outgoing.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query();
        *outgoing.uri_mut() = path.map_or_else(Default::default, |path| path.clone().into());
        *outgoing.headers_mut() = request::encode(&self.head.headers, &stamp);
        outgoing
    }

    /// Takes the head of an answer.
    async fn take(
        self: &Rc<Self>,
        response: Response<Incoming>,
        channel: Channel,
        mut ticket: Ticket,
    ) -> Attempt {
        let (head, incoming) = response.into_parts();
        let answer = request::decode_answer(&self.request.id, &head);
        let now = self.now();
        let worker = ticket.worker.clone();
        let traffic = &self.traffic;
        if let Some(load) = answer.load {
            traffic.balance.borrow_mut().on_load(now, &worker, load);
        }
        if answer.outcome != Outcome::Foreign {
            traffic.on_notice(&worker, ticket.boot, answer.notice);
        }
        let has_run = matches!(
            answer.outcome,
            Outcome::Success | Outcome::Rejected | Outcome::Failed
        );
        if has_run && answer.notice.limit.is_none() && !answer.notice.is_limit_unclear {
            traffic.on_limit(&worker, ticket.boot, None);
        }
        match answer.outcome {
            Outcome::Full => {
                traffic.balance.borrow_mut().on_unreachable(now, &worker);
                self.give_back(incoming, channel, &worker, &answer).await;
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
            Outcome::Success if self.route.repeat.is_stream() => Attempt::Live(Box::new(Live {
                head,
                incoming,
                channel,
                ticket,
                answer,
            })),
            Outcome::Success | Outcome::Rejected | Outcome::Failed => {
                let body = Limited::new(incoming, self.largest()).collect().await;
                let Ok(body) = body else {
                    traffic.balance.borrow_mut().on_failed(&worker);
                    return Attempt::Unknown(CUT);
                };
                ticket.on_first();
                if answer.framed && !answer.closes {
                    traffic.keep(&self.need.service, &worker, channel, answer.keeps);
                }
                if answer.outcome == Outcome::Success {
                    traffic.on_success(|| self.fingerprint());
                }
                let response = reply::passed_on(head, body.to_bytes());
                if answer.outcome == Outcome::Failed {
                    traffic.balance.borrow_mut().on_failed(&worker);
                    return Attempt::Failed(response);
                }
                Attempt::Whole(response)
            }
        }
    }

    fn largest(&self) -> usize {
        usize::try_from(self.site.limits.body.0).unwrap_or(usize::MAX)
    }

    /// Keeps a connection whose short answer is of no more use.
    async fn give_back(
        &self,
        body: Incoming,
        channel: Channel,
        worker: &id::Worker,
        answer: &Answer,
    ) {
        let read = timeout(TAKES, Limited::new(body, 1 << 16).collect()).await;
        if matches!(read, Ok(Ok(_))) && answer.framed && !answer.closes {
            let service = &self.need.service;
            self.traffic.keep(service, worker, channel, answer.keeps);
        }
    }
}
