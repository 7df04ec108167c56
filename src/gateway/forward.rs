//! One request on its way: where it goes, what its answers mean, when it is given up.

use super::attempt::{Attempt, BROKEN, CUT};
use super::body::Body;
use super::channel::Channel;
use super::relay::Relay;
use super::reply;
use super::ticket::Ticket;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::attempts::Attempts;
use crate::decide::balance::{Choice, Need};
use crate::decide::suspect::Fingerprint;
use crate::decide::{progress, shed};
use crate::platform::request;
use crate::world::id;
use crate::world::message::{Answer, Request};
use crate::world::site::{Route, Site};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::{request::Parts, response};
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
/// Times that a request may be turned away by servers that did not run it.
const MOST_TURNS: usize = 4;
/// Servers that may be found unreachable before that counts as being turned away. Such a try reaches
/// nobody, so it draws on no budget for repeats.
const MOST_UNREACHED: usize = 12;
/// Time before the deadline at which a request that runs still is given up.
pub(super) const CLOSE: Duration = Duration::from_millis(15);

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

impl Case {
    pub(super) fn now(&self) -> Duration {
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
            if self.attempts.borrow().is_unsent() {
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
                self.route.repeat.is_allowed() && self.attempts.borrow().may_move_from(&worker);
            self.attempts.borrow_mut().on_sent(&worker);
            let attempt = self.attempt(&worker, expected, last_event, may_go_on).await;
            self.note_attempt(&worker, expected, &attempt);
            if !matches!(attempt, Attempt::NotRun | Attempt::Unreached) {
                self.attempts.borrow_mut().on_possible_run(&worker);
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

    /// A server for the request; waits a while for one that holds what it needs.
    async fn place(&self) -> Result<(id::Worker, f64), End> {
        let began = self.now();
        let left = self.left_to_begin(began);
        self.traffic
            .balance
            .borrow_mut()
            .on_request(began, &self.need);
        loop {
            let now = self.now();
            let (longest, cause, back) = match self.choose(now) {
                Choice::Send(worker, expected) => return Ok((worker, expected)),
                Choice::Throttled(until) => {
                    let back = until.saturating_sub(now);
                    let cause = "servers rest";
                    return Err(End::Refused { cause, back });
                }
                Choice::NoServer => (UNDECIDED, "no server", COME_BACK),
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
        shed::retry_after(&self.site, &self.route, Duration::from_secs_f64(expected))
    }

    /// Time that is left until the caller leaves, if nothing of its answer came by then.
    fn left_to_begin(&self, now: Duration) -> Duration {
        if self.route.repeat.is_stream() {
            let left = (self.arrived + self.pause_borne()).saturating_sub(now);
            left.min(self.left())
        } else {
            self.left()
        }
    }

    /// Longest pause, also before the first event, after which its caller still waits.
    pub(super) fn pause_borne(&self) -> Duration {
        progress::caller_timeout(self.route.target, self.route.longest_pause)
    }

    fn is_coming(&self) -> bool {
        let generation = self.need.generation.as_ref();
        generation.is_some_and(|generation| self.traffic.is_coming(&generation.target.model))
    }

    /// Serves the request to its answer.
    pub async fn serve(self: Rc<Self>) -> Response<Body> {
        let (response, cause) = match self.dispatch(None).await {
            End::Live(live) => self.stream(*live).await,
            End::Whole(response) => (response, "passed on"),
            End::Refused { cause, back } => {
                let spread = xxh3_64(self.request.id.as_bytes()) % 1_000;
                let back = back.mul_f64(1.0 + f64::from(u32::try_from(spread).unwrap_or(0)) / 1e3);
                (reply::refusal(&self.request.id, cause, back), cause)
            }
            End::Unknown { cause } => (self.own(StatusCode::BAD_GATEWAY, cause), cause),
            End::Late => (self.own(StatusCode::GATEWAY_TIMEOUT, "late"), "late"),
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

    /// A stream that is passed on from its first bytes; an answer of the system's own where it breaks off
    /// before.
    async fn stream(self: &Rc<Self>, live: Live) -> (Response<Body>, &'static str) {
        let mut head = Response::from_parts(live.head.clone(), ());
        *head.headers_mut() = request::end_to_end(&live.head.headers);
        let mut relay = Relay::new(Rc::clone(self), live);
        match relay.begin().await {
            Ok(()) => (head.map(|()| Body::Relay(Box::new(relay))), "passed on"),
            Err(_) if self.left().is_zero() => {
                (self.own(StatusCode::GATEWAY_TIMEOUT, "late"), "late")
            }
            Err(_) => {
                let cause = "stream broke off";
                (self.own(StatusCode::BAD_GATEWAY, cause), cause)
            }
        }
    }

    fn own(&self, status: StatusCode, cause: &'static str) -> Response<Body> {
        reply::own(&self.request.id, status, cause)
    }
}

/// Waits a moment before something is tried again.
pub(crate) async fn pause() {
    sleep(LOOK).await;
}
