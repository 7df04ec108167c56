//! One request on its way: where it goes, what its answers mean, when it is given up.

use super::body::Body;
use super::channel::{self, Channel};
use super::relay::Relay;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::attempts::Attempts;
use crate::decide::balance::{Choice, Need, Running};
use crate::decide::shed;
use crate::decide::suspect::Fingerprint;
use crate::platform::request::{self, Stamp};
use crate::world::id;
use crate::world::message::{Answer, Outcome, Request};
use crate::world::site::{Route, Site};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::{request::Parts, response};
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Callers leave a stream that has not begun after this time, or after this multiple of the target
/// if that is longer; the platform's page says so.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);
const STREAM_TARGETS: u32 = 4;
/// Longest wait for an adapter, as a part of the time that is left.
const ADAPTER_SHARE: f64 = 0.3;
/// Longest wait for a model that is being loaded, as a part of the time that is left.
const MODEL_SHARE: f64 = 0.5;
/// A model that nobody loads is waited for this long: the placer decides within it.
const UNDECIDED: Duration = Duration::from_millis(400);
/// Wait between looks while something is missing.
const LOOK: Duration = Duration::from_millis(60);
/// When a refused caller should come back, at least; spread up to twice as long.
const COME_BACK: Duration = Duration::from_millis(300);
/// When a caller should come back whose model is being loaded.
const COME_BACK_LOADED: Duration = Duration::from_millis(1_200);
/// When a caller may come back whose request crashes servers.
const COME_BACK_CONVICTED: Duration = Duration::from_mins(1);
/// Causes that a server may have ended for: its connection broke before its answer began, or within.
const BROKEN: &str = "broken";
const CUT: &str = "cut";
/// Times that a request may be turned away by servers that did not run it.
const MOST_TURNS: usize = 4;
/// Servers that may be found unreachable before that counts as being turned away. Such a try reaches
/// nobody, so it draws on no budget for repeats.
const MOST_UNREACHED: usize = 12;
/// A repeatable request is sent to another server after this multiple of its expected time.
const SILENCE: f64 = 4.0;
/// Longest wait for a connection to take a request.
const TAKES: Duration = Duration::from_millis(200);
/// Time before the deadline at which a request that runs still is given up.
const CLOSE: Duration = Duration::from_millis(15);

/// A request that was read whole.
pub struct Case {
    pub traffic: Rc<Traffic>,
    pub head: Parts,
    pub request: Request,
    pub body: Bytes,
    pub site: Arc<Site>,
    pub route: Route,
    pub need: Need,
    pub attempts: RefCell<Attempts>,
    pub arrived: Duration,
    /// When the caller or the route gives up.
    pub deadline: Duration,
}

/// An answer that has begun.
pub struct Live {
    pub head: response::Parts,
    pub incoming: Incoming,
    pub channel: Channel,
    pub ticket: Ticket,
    pub answer: Answer,
}

/// How a request ended before any of its answer was passed on.
pub enum End {
    Live(Box<Live>),
    Whole(Response<Body>),
    /// It did not run, and will not.
    Refused {
        cause: &'static str,
        back: Duration,
    },
    /// It may have run.
    Unknown {
        cause: &'static str,
    },
    /// Its time is over, and it may have run.
    Late,
}

/// Outcome of one sending.
enum Attempt {
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

/// What a request adds to a server while it is there.
pub struct Ticket {
    traffic: Rc<Traffic>,
    pub worker: id::Worker,
    added: Running,
    sent: Duration,
    /// What is read there; none for plain calls.
    model: Option<id::Model>,
    expected: f64,
    first_seen: bool,
}

impl Ticket {
    fn new(case: &Case, worker: &id::Worker, expected: f64) -> Self {
        let traffic = Rc::clone(&case.traffic);
        let added = traffic.balance.borrow_mut().on_sent(worker, &case.need);
        let generation = case.need.generation.as_ref();
        Self {
            sent: traffic.clock.now(),
            traffic,
            worker: worker.clone(),
            added,
            model: generation.map(|generation| generation.target.model.clone()),
            expected,
            first_seen: false,
        }
    }

    /// Notes the first byte of the answer's body.
    pub fn on_first(&mut self) {
        if self.first_seen {
            return;
        }
        self.first_seen = true;
        let took = self.traffic.clock.now().saturating_sub(self.sent);
        self.traffic.metrics.first_byte.observe(took.as_secs_f64());
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_first(&self.worker, &mut self.added);
        balance.on_served(&self.worker, self.model.as_ref(), self.expected, took);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut balance = self.traffic.balance.borrow_mut();
        balance.on_ended(&self.worker, self.added);
    }
}

impl Case {
    fn now(&self) -> Duration {
        self.traffic.clock.now()
    }

    /// Time that is left.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.now())
    }

    /// What it is recognised by when it comes again, under another id.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let path = self.head.uri.path_and_query();
        let path = path.map_or("", |path| path.as_str());
        Fingerprint(xxh3_64_with_seed(&self.body, xxh3_64(path.as_bytes())))
    }

    /// Writes a log line about this request.
    pub(super) fn note(&self, event: &str, mut values: Value) {
        values["request"] = json!(self.request.id);
        values["age_ms"] = json!(self.now().saturating_sub(self.arrived).as_millis());
        self.traffic.journal.note(event, &values);
    }

    /// Brings the request to a server, or says why not.
    pub async fn dispatch(self: &Rc<Self>, last_event: Option<&str>) -> End {
        let mut failed: Option<Response<Body>> = None;
        let mut turns = 0;
        let mut unreached = 0;
        loop {
            let has_run = self.attempts.borrow().has_run();
            if self.left() <= CLOSE {
                return if has_run {
                    End::Late
                } else {
                    End::Refused {
                        cause: "late",
                        back: COME_BACK,
                    }
                };
            }
            let (worker, expected) = match self.place().await {
                Ok(place) => place,
                Err(end) if !has_run => return end,
                Err(_) => {
                    let cause = "no other server";
                    return failed.map_or(End::Unknown { cause }, End::Whole);
                }
            };
            if self.attempts.borrow().is_new() {
                if self.traffic.is_convicted(|| self.fingerprint()) {
                    return End::Refused {
                        cause: "crashes servers",
                        back: COME_BACK_CONVICTED,
                    };
                }
                if let Some(back) = self.refuses(expected) {
                    return End::Refused {
                        cause: "busy",
                        back,
                    };
                }
                self.traffic.on_first_send(&self.need.service);
            }
            let may_go_on =
                self.route.repeat.is_allowed() && self.attempts.borrow().may_leave(&worker);
            self.attempts.borrow_mut().on_sent(&worker);
            let attempt = self.attempt(&worker, expected, last_event, may_go_on).await;
            self.note_attempt(&worker, expected, &attempt);
            if !matches!(attempt, Attempt::NotRun | Attempt::Unreached) {
                self.attempts.borrow_mut().on_run(&worker);
            }
            if matches!(attempt, Attempt::Unknown(BROKEN | CUT)) {
                self.traffic.on_broken(self.fingerprint(), &worker);
            }
            match attempt {
                Attempt::Live(live) => return End::Live(live),
                Attempt::Whole(response) => return End::Whole(response),
                Attempt::Late => return End::Late,
                Attempt::Unreached if unreached < MOST_UNREACHED => unreached += 1,
                Attempt::NotRun | Attempt::Unreached => {
                    turns += 1;
                    if turns >= MOST_TURNS || !self.may_repeat("turned away") {
                        let cause = "turned away";
                        return if has_run {
                            End::Unknown { cause }
                        } else {
                            End::Refused {
                                cause,
                                back: COME_BACK,
                            }
                        };
                    }
                }
                Attempt::Failed(response) => {
                    if !may_go_on || !self.may_repeat("failed") {
                        return End::Whole(response);
                    }
                    failed = Some(response);
                }
                Attempt::Unknown(cause) => {
                    if !may_go_on || !self.may_repeat(cause) {
                        return End::Unknown { cause };
                    }
                }
            }
        }
    }

    /// Takes a repeat from the budget, or says that none is left.
    pub(super) fn may_repeat(&self, cause: &str) -> bool {
        let service = &self.need.service;
        self.traffic.may_repeat(&self.request.id, service, cause)
    }

    fn note_attempt(&self, worker: &id::Worker, expected: f64, attempt: &Attempt) {
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
        self.note(
            "sent",
            json!({"server": worker, "service": self.need.service, "expected_ms": expected_ms,
                "outcome": outcome}),
        );
    }

    /// A server for the request; waits a while for one that holds what it needs.
    async fn place(&self) -> Result<(id::Worker, f64), End> {
        let began = self.now();
        let left = self.left_to_begin(began);
        loop {
            let now = self.now();
            let (longest, cause, back) = match self.choose(now) {
                Choice::Send(worker, expected) => return Ok((worker, expected)),
                Choice::Nobody => (UNDECIDED, "no server", COME_BACK),
                Choice::NoAdapter => {
                    if let Some(generation) = &self.need.generation {
                        self.traffic.want(&self.need, &generation.target);
                    }
                    (left.mul_f64(ADAPTER_SHARE), "no adapter", COME_BACK)
                }
                Choice::NoModel if self.is_coming() => {
                    (left.mul_f64(MODEL_SHARE), "model loads", COME_BACK_LOADED)
                }
                Choice::NoModel => (UNDECIDED, "no model", COME_BACK_LOADED),
            };
            let last_call = self.traffic.last_call.get();
            if now >= began + longest || last_call.is_some_and(|last| now >= last) {
                return Err(End::Refused { cause, back });
            }
            let _ = timeout(LOOK, self.traffic.changed.notified()).await;
        }
    }

    fn choose(&self, now: Duration) -> Choice {
        let attempts = self.attempts.borrow();
        let balance = self.traffic.balance.borrow();
        balance.choose(now, &self.need, |worker| attempts.allows(worker))
    }

    /// When to come back, where the best server would let a new request wait too long.
    fn refuses(&self, expected: f64) -> Option<Duration> {
        self.need.generation.as_ref()?;
        shed::refuses(&self.site, &self.route, Duration::from_secs_f64(expected))
    }

    /// Time that is left until the caller leaves, if nothing of its answer came by then.
    fn left_to_begin(&self, now: Duration) -> Duration {
        let useful = STREAM_PATIENCE.max(self.route.target * STREAM_TARGETS);
        if self.route.repeat.is_stream() {
            let left = (self.arrived + useful).saturating_sub(now);
            left.min(self.left())
        } else {
            self.left()
        }
    }

    fn is_coming(&self) -> bool {
        let generation = self.need.generation.as_ref();
        generation.is_some_and(|generation| self.traffic.is_coming(&generation.target.model))
    }

    async fn attempt(
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
            if !matches!(timeout(TAKES, channel.sender.ready()).await, Ok(Ok(()))) {
                if pooled {
                    continue;
                }
                return Attempt::NotRun;
            }
            let outgoing = self.outgoing(&worker, last_event);
            match channel.sender.try_send_request(outgoing).await {
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
            left: self.left(),
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
                let response = passed_on(head, body.to_bytes());
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

    /// Serves the request to its answer.
    pub async fn serve(self: Rc<Self>) -> Response<Body> {
        let end = self.dispatch(None).await;
        let (response, cause) = match end {
            End::Live(live) => {
                let mut head = Response::from_parts(live.head.clone(), ());
                *head.headers_mut() = request::end_to_end(&live.head.headers);
                let relay = Relay::new(Rc::clone(&self), *live);
                (head.map(|()| Body::Relay(Box::new(relay))), "passed on")
            }
            End::Whole(response) => (response, "passed on"),
            End::Refused { cause, back } => {
                let spread = xxh3_64(self.request.id.as_bytes()) % 1_000;
                let back = back.mul_f64(1.0 + f64::from(u32::try_from(spread).unwrap_or(0)) / 1e3);
                (refusal(&self.request.id, cause, back), cause)
            }
            End::Unknown { cause } => {
                (own(&self.request.id, StatusCode::BAD_GATEWAY, cause), cause)
            }
            End::Late => (
                own(&self.request.id, StatusCode::GATEWAY_TIMEOUT, "late"),
                "late",
            ),
        };
        let status = response.status().as_u16();
        self.traffic.metrics.on_answer(status, cause);
        let target = self
            .need
            .generation
            .as_ref()
            .map(|it| it.target.to_string());
        self.note(
            "answered",
            json!({"status": status, "cause": cause, "route": self.route.name, "target": target}),
        );
        response
    }
}

fn passed_on(mut head: response::Parts, body: Bytes) -> Response<Body> {
    head.headers = request::end_to_end(&head.headers);
    head.headers.remove("content-length");
    Response::from_parts(head, Body::from(body))
}

/// A refusal: the request did not run, and the caller may come back.
#[must_use]
pub fn refusal(id: &str, cause: &str, back: Duration) -> Response<Body> {
    let mut response = own(id, StatusCode::SERVICE_UNAVAILABLE, cause);
    let seconds = format!("{:.2}", back.as_secs_f64());
    if let Ok(seconds) = seconds.parse() {
        response.headers_mut().insert("retry-after", seconds);
    }
    response
}

/// An answer of the system's own.
#[must_use]
pub fn own(id: &str, status: StatusCode, cause: &str) -> Response<Body> {
    let text = json!({"status": status.as_u16(), "title": cause}).to_string();
    let mut response = Response::new(Body::from(Bytes::from(text)));
    *response.status_mut() = status;
    *response.headers_mut() = request::own_answer(id);
    if let Ok(kind) = "application/problem+json".parse() {
        response.headers_mut().insert("content-type", kind);
    }
    response
}

/// Waits a moment before something is tried again.
pub(crate) async fn pause() {
    sleep(LOOK).await;
}
