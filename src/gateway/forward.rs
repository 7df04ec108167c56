//! Life of one request: choice of a server, retries, and the answer to its caller.

use super::access::Denial;
use super::attempt::{Attempt, BROKEN, CUT};
use super::body::Body;
use super::buffer::Lease;
use super::channel::Channel;
use super::detour::{NO_PATH, UNREACHABLE_BEFORE_DETOUR};
use super::in_flight::Guard;
use super::origins::Binding;
use super::quota::Hold;
use super::relay::Relay;
use super::reply;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::attempts::Attempts;
use crate::decide::balance::{Choice, Need};
use crate::decide::origin::Origin;
use crate::decide::{progress, quarantine, shed};
use crate::platform::request;
use crate::wire::hop::Hop;
use crate::world::id;
use crate::world::message::{Generation, PartId, Request, TakeUp};
use crate::world::site::{Repeat, Route, Site};
use crate::world::time;
use crate::world::workspace::Workspace;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::{request::Parts, response};
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Longest wait for an adapter, as a fraction of the time left.
const MAX_ADAPTER_WAIT_FRACTION: f64 = 0.3;
/// Longest wait for a model that is being loaded, as a fraction of the time left.
const MAX_MODEL_WAIT_FRACTION: f64 = 0.5;
/// Longest wait for a model that is not being loaded; the placer decides within this time whether
/// to load it.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_millis(400);
/// Interval between checks while no server is available.
const RECHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Minimum Retry-After of a refusal; up to as much again is added, depending on the request's
/// id.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After for a caller whose model is missing or being loaded.
const RETRY_AFTER_LOADING: Duration = Duration::from_millis(1_200);
/// Cause of a refusal because the request, or a part of its prompt, crashes servers.
const CRASHES_SERVERS: &str = "crashes servers";
/// Retry-After for a caller whose request crashes servers: the shortest quarantine.
const RETRY_AFTER_CRASHES: Duration = quarantine::BASE_PERIOD;
/// Cause of a refusal because no server has the software version of a stream.
const VERSION_GONE: &str = "software version gone";
/// Limit on rejections of one request by servers that did not run it.
const MAX_REJECTIONS: usize = 4;
/// Number of unreachable servers that a request may try at no cost: no server gets the request, so
/// nothing is taken from the retry budget. Each further one counts as a rejection.
const MAX_UNREACHABLE: usize = 12;
/// A request that is still running this long before its deadline is abandoned.
pub(super) const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// A request that was read completely, and what is needed to answer it.
pub struct Exchange {
    pub traffic: Rc<Traffic>,
    pub head: Parts,
    pub request: Request,
    pub body: Bytes,
    /// Memory that is given back when the request has ended.
    pub _lease: Lease,
    pub site: Arc<Site>,
    pub route: Route,
    pub need: Need,
    /// Workspace of the caller; `None` on public routes and if every caller is served.
    pub workspace: Option<Arc<Workspace>>,
    /// SHA-256 of the caller's key in hex; a secret like the key.
    pub key: Option<String>,
    /// Units of the workspace's quota that the request has taken.
    pub units: RefCell<Option<Hold>>,
    pub attempts: RefCell<Attempts>,
    /// Software version at which the stream may go on.
    pub binding: RefCell<Binding>,
    /// Set if another instance passed the request on.
    pub hop: Option<Hop>,
    pub arrived: Duration,
    /// When the caller's deadline or the route's time-out expires.
    pub deadline: Duration,
}

/// A streamed response that has begun.
pub struct Stream {
    pub head: response::Parts,
    pub incoming: Incoming,
    pub channel: Channel,
    /// The server that sends it; none if it comes from another instance.
    pub server: Option<Server>,
}

/// A server that sends a stream to this instance.
pub struct Server {
    pub guard: Guard,
    pub is_reusable: bool,
    pub keep_alive: Option<Duration>,
}

/// How dispatching ended, before any of the response was passed on.
pub enum Outcome {
    Stream(Box<Stream>),
    Complete(Response<Body>),
    /// The request did not run and will not run.
    Refused {
        cause: &'static str,
        retry_after: Duration,
    },
    /// The request did not run: its caller's key does not allow it now.
    Denied(Denial),
    /// The request did not run, since the quota of its workspace is used up.
    OverQuota {
        cause: &'static str,
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        cause: &'static str,
    },
    /// The deadline expired, and the request may have run.
    TimedOut,
}

impl Exchange {
    pub(super) fn now(&self) -> Duration {
        self.traffic.clock.now()
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.now())
    }

    /// Returns a hash of the path and body, which recognises the request when it is sent again
    /// with another id.
    fn fingerprint(&self) -> PartId {
        let path = self.head.uri.path_and_query();
        let path = path.map_or("", |path| path.as_str());
        PartId(xxh3_64_with_seed(&self.body, xxh3_64(path.as_bytes())))
    }

    /// Writes a log line about this request.
    pub(super) fn note(&self, event: &str, mut values: Value) {
        values["request"] = json!(self.request.id);
        values["age_ms"] = json!(self.now().saturating_sub(self.arrived).as_millis());
        self.traffic.journal.note(event, &values);
    }

    /// Returns what the request may have in common with others: the prompt's shared parts, and the
    /// hash of the request itself.
    fn parts(&self) -> Vec<PartId> {
        let generation = self.need.generation.as_ref();
        let mut parts = generation.map_or_else(Vec::new, Generation::shared_parts);
        parts.push(self.fingerprint());
        parts
    }

    /// Whether the request, or a part of its prompt, is known to crash servers.
    pub(super) fn crashes_servers(&self) -> bool {
        self.traffic.is_quarantined(|| self.parts())
    }

    /// Records that the connection to a server broke while the request ran there; `first_event` is
    /// when the first event of its answer arrived.
    pub(super) fn on_broken(&self, worker: &id::Worker, first_event: Option<Duration>) {
        let parts = self.parts();
        let answered_for = first_event.map(|at| self.now().saturating_sub(at).as_millis());
        let values = json!({"server": worker, "route": self.route.name, "parts": parts,
            "answered_for_ms": answered_for});
        self.note("suspect", values);
        self.traffic.on_broken(&parts, worker, first_event);
        self.traffic.check_server(&self.need.service, worker);
    }

    /// Records that a server answered the request, which clears it of having crashed servers.
    pub(super) fn on_success(&self) {
        self.traffic.on_answered(|| self.parts());
    }

    /// Sends the request to servers until one answers or no further attempt is allowed.
    pub async fn dispatch(self: &Rc<Self>, last_event: Option<&str>) -> Outcome {
        let mut failed: Option<Response<Body>> = None;
        let mut rejections = 0;
        let mut unreachable = 0;
        let mut may_detour = self.may_detour();
        loop {
            let has_run = self.attempts.borrow().has_run();
            if self.time_left() <= DEADLINE_MARGIN {
                return if has_run {
                    Outcome::TimedOut
                } else {
                    refused("late")
                };
            }
            let is_lost = self.has_no_path() || unreachable >= UNREACHABLE_BEFORE_DETOUR;
            if is_lost && std::mem::take(&mut may_detour) {
                if let Err(refused) = self.take_units().await {
                    return self.end(refused, failed);
                }
                if let Some(outcome) = self.detour(last_event).await {
                    return self.end(outcome, failed);
                }
            }
            let (worker, expected) = match self.wait_for_worker(may_detour).await {
                Ok(chosen) => chosen,
                Err(denied @ Outcome::Denied(_)) => return self.end(denied, failed),
                Err(_) if may_detour && (self.has_no_path() || unreachable > 0) => {
                    unreachable = UNREACHABLE_BEFORE_DETOUR;
                    continue;
                }
                Err(end) if !has_run => return end,
                Err(_) => {
                    let cause = if self.crashes_servers() {
                        CRASHES_SERVERS
                    } else if !self.has_fitting_server() {
                        VERSION_GONE
                    } else {
                        "no other server"
                    };
                    return failed.map_or(Outcome::Unknown { cause }, Outcome::Complete);
                }
            };
            if let Err(refused) = self.admit(expected).await {
                return refused;
            }
            let may_try_another =
                self.route.repeat.is_allowed() && self.attempts.borrow().may_move_from(&worker);
            self.attempts.borrow_mut().on_sent(&worker);
            self.traffic.on_sent(|| self.parts());
            self.set_may_have_run(true);
            let attempt = self
                .attempt(&worker, expected, last_event, may_try_another)
                .await;
            self.log_attempt(&worker, expected, &attempt);
            if attempt.may_have_run() {
                self.attempts.borrow_mut().on_possible_run(&worker);
            }
            self.set_may_have_run(self.attempts.borrow().has_run());
            if matches!(attempt, Attempt::Unknown(BROKEN | CUT)) {
                self.on_broken(&worker, None);
            }
            match attempt {
                Attempt::Stream(stream) => return Outcome::Stream(stream),
                Attempt::Complete(response) => return Outcome::Complete(response),
                Attempt::TimedOut => return Outcome::TimedOut,
                Attempt::Denied(denial) => return self.end(Outcome::Denied(denial), failed),
                Attempt::Unreachable if unreachable < MAX_UNREACHABLE => unreachable += 1,
                Attempt::NotRun | Attempt::Unreachable => {
                    rejections += 1;
                    if rejections >= MAX_REJECTIONS || !self.try_take_retry("turned away") {
                        let cause = "turned away";
                        return if has_run {
                            Outcome::Unknown { cause }
                        } else {
                            refused(cause)
                        };
                    }
                }
                Attempt::Failed(response) => {
                    if !may_try_another || !self.try_take_retry("failed") {
                        return Outcome::Complete(response);
                    }
                    failed = Some(response);
                }
                Attempt::Unknown(cause) => {
                    if !may_try_another || !self.try_take_retry(cause) {
                        return Outcome::Unknown { cause };
                    }
                }
            }
        }
    }

    /// Checks before a send whether the request may run, and takes the units of its quota.
    async fn admit(&self, expected: f64) -> Result<(), Outcome> {
        let is_unsent = self.attempts.borrow().is_unsent();
        if is_unsent {
            if !self.route.repeat.is_stream() && !self.traffic.memory.borrow().admits() {
                return Err(refused("answers fill memory"));
            }
            if let Some(retry_after) = self.overload_retry_after(expected) {
                return Err(Outcome::Refused {
                    cause: "busy",
                    retry_after,
                });
            }
        }
        self.take_units().await?;
        if is_unsent {
            self.traffic.on_first_send(&self.need.service);
        }
        Ok(())
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub(super) fn try_take_retry(&self, cause: &str) -> bool {
        let service = &self.need.service;
        self.traffic
            .try_take_retry(&self.request.id, service, cause)
    }

    /// Chooses a server; waits for a limited time until one holds what the request needs.
    async fn wait_for_worker(&self, may_detour: bool) -> Result<(id::Worker, f64), Outcome> {
        let started_at = self.now();
        let time_left = self.time_left_to_start(started_at);
        self.traffic
            .balance
            .borrow_mut()
            .on_request(started_at, &self.need);
        loop {
            let now = self.now();
            self.clearance().map_err(Outcome::Denied)?;
            if self.crashes_servers() {
                return Err(Outcome::Refused {
                    cause: CRASHES_SERVERS,
                    retry_after: RETRY_AFTER_CRASHES,
                });
            }
            if may_detour && self.has_no_path() {
                return Err(refused(NO_PATH));
            }
            if !self.has_fitting_server() {
                return Err(refused(VERSION_GONE));
            }
            let (max_wait, cause, retry_after) = match self.choose(now) {
                Choice::Send(worker, expected) => return Ok((worker, expected)),
                Choice::Throttled(until) => {
                    let retry_after = until.saturating_sub(now);
                    let cause = "servers rest";
                    return Err(Outcome::Refused { cause, retry_after });
                }
                Choice::NoServer => (MAX_PLACEMENT_WAIT, "no server", RETRY_AFTER),
                Choice::NoAdapter => {
                    if let Some(generation) = &self.need.generation {
                        let binding = self.binding.borrow();
                        let target = &generation.target;
                        self.traffic.request_adapter(&self.need, target, &binding);
                    }
                    (
                        time_left.mul_f64(MAX_ADAPTER_WAIT_FRACTION),
                        "no adapter",
                        RETRY_AFTER,
                    )
                }
                Choice::NoModel if self.is_loading() => (
                    time_left.mul_f64(MAX_MODEL_WAIT_FRACTION),
                    "model loads",
                    RETRY_AFTER_LOADING,
                ),
                Choice::NoModel => (MAX_PLACEMENT_WAIT, "no model", RETRY_AFTER_LOADING),
            };
            let shutdown = self.traffic.shutdown.get();
            let is_ending = shutdown.is_some_and(|shutdown| shutdown.refuses_pending(now));
            if now >= started_at + max_wait || is_ending {
                return Err(Outcome::Refused { cause, retry_after });
            }
            let _ = timeout(RECHECK_INTERVAL, self.traffic.capacity_changed.notified()).await;
        }
    }

    /// Whether a server has the software version at which the stream may go on.
    pub(super) fn has_fitting_server(&self) -> bool {
        match &*self.binding.borrow() {
            Binding::Free => true,
            Binding::Unknown => false,
            Binding::To(software) => self.traffic.serves_version(&self.need.service, software),
        }
    }

    /// Binds a request that takes a stream up to the software version that began it; returns a refusal
    /// if that version is unknown.
    async fn bind(&self, taken_up: &TakeUp) -> Result<(), Outcome> {
        let origin = self.traffic.find_origin(&self.need.service, taken_up).await;
        let (outcome, software) = match origin {
            Origin::Recorded(software) => ("recorded", Some(software)),
            Origin::Only(software) => ("only version", Some(software)),
            Origin::Unknown => ("unknown", None),
        };
        self.traffic.metrics.on_take_up(outcome);
        let values = json!({"taken_up": taken_up, "route": self.route.name, "outcome": outcome,
            "software": software});
        self.note("take_up", values);
        let Some(software) = software else {
            return Err(Outcome::Refused {
                cause: "origin of the stream unknown",
                retry_after: RETRY_AFTER,
            });
        };
        *self.binding.borrow_mut() = Binding::To(software);
        Ok(())
    }

    /// Serves a stream from its beginning, or from where its caller takes it up.
    async fn begin(self: &Rc<Self>) -> Outcome {
        if self.route.repeat == Repeat::Resume
            && let Some(taken_up) = &self.request.taken_up
            && let Err(refused) = self.bind(taken_up).await
        {
            return refused;
        }
        self.dispatch(None).await
    }

    fn choose(&self, now: Duration) -> Choice {
        let attempts = self.attempts.borrow();
        let binding = self.binding.borrow();
        let balance = self.traffic.balance.borrow();
        balance.choose(now, &self.need, |worker| {
            attempts.allows(worker) && self.traffic.fits(&binding, worker)
        })
    }

    /// Returns a Retry-After if even the best server would keep a new request waiting too long.
    fn overload_retry_after(&self, expected: f64) -> Option<Duration> {
        self.need.generation.as_ref()?;
        shed::retry_after(&self.site, &self.route, time::from_secs_f64(expected))
    }

    /// Returns the time within which the response must begin before the caller gives up.
    fn time_left_to_start(&self, now: Duration) -> Duration {
        if self.route.repeat.is_stream() {
            let time_left = (self.arrived + self.max_pause()).saturating_sub(now);
            time_left.min(self.time_left())
        } else {
            self.time_left()
        }
    }

    /// Longest pause, including the one before the first event, that the caller tolerates.
    pub(super) fn max_pause(&self) -> Duration {
        progress::caller_timeout(self.route.target, self.route.longest_pause)
    }

    fn is_loading(&self) -> bool {
        let generation = self.need.generation.as_ref();
        generation.is_some_and(|generation| self.traffic.is_loading(&generation.target.model))
    }

    /// Serves the request and returns the response for its caller.
    pub async fn serve(self: Rc<Self>) -> Response<Body> {
        let mut departure = Departure {
            exchange: &self,
            is_answered: false,
        };
        let (response, cause) = match self.begin().await {
            Outcome::Stream(stream) => self.relay_stream(*stream).await,
            Outcome::Complete(response) => (response, "passed on"),
            Outcome::Refused { cause, retry_after } if self.hop.is_some() => {
                (reply::refusal(&self.request.id, cause, retry_after), cause)
            }
            Outcome::Refused { cause, retry_after } => {
                let retry_after = self.spread_out(retry_after);
                (reply::refusal(&self.request.id, cause, retry_after), cause)
            }
            Outcome::Denied(denial) => (denial.response(&self.request.id), denial.cause()),
            Outcome::OverQuota { cause, retry_after } => {
                let retry_after = self.spread_out(retry_after);
                let response = reply::over_quota(&self.request.id, cause, retry_after);
                (response, cause)
            }
            Outcome::Unknown { cause } => (self.problem(StatusCode::BAD_GATEWAY, cause), cause),
            Outcome::TimedOut => (self.problem(StatusCode::GATEWAY_TIMEOUT, "late"), "late"),
        };
        departure.is_answered = true;
        let status = response.status().as_u16();
        self.traffic.metrics.on_answer(status, cause);
        let target = self
            .need
            .generation
            .as_ref()
            .map(|it| it.target.to_string());
        self.note(
            "answered",
            json!({"status": status, "cause": cause, "route": self.route.name, "target": target,
                "workspace": self.workspace.as_ref().map(|workspace| &workspace.name)}),
        );
        response
    }

    /// Returns a Retry-After that is longer by up to as much again, depending on the request's id.
    fn spread_out(&self, retry_after: Duration) -> Duration {
        let spread = xxh3_64(self.request.id.as_bytes()) % 1_000;
        retry_after.mul_f64(1.0 + f64::from(u32::try_from(spread).unwrap_or(0)) / 1e3)
    }

    /// Relays a stream; returns an error response if the stream breaks off before its first
    /// bytes.
    async fn relay_stream(self: &Rc<Self>, stream: Stream) -> (Response<Body>, &'static str) {
        let mut head = Response::from_parts(stream.head.clone(), ());
        *head.headers_mut() = request::end_to_end(&stream.head.headers);
        let mut relay = Relay::new(Rc::clone(self), stream);
        match relay.read_first_bytes().await {
            Ok(()) => (head.map(|()| Body::Relay(Box::new(relay))), "passed on"),
            Err(_) if self.time_left().is_zero() => {
                (self.problem(StatusCode::GATEWAY_TIMEOUT, "late"), "late")
            }
            Err(_) => {
                let cause = "stream broke off";
                (self.problem(StatusCode::BAD_GATEWAY, cause), cause)
            }
        }
    }

    fn problem(&self, status: StatusCode, cause: &'static str) -> Response<Body> {
        reply::problem(&self.request.id, status, cause)
    }
}

/// Refuses a request that did not run, with the usual Retry-After.
fn refused(cause: &'static str) -> Outcome {
    Outcome::Refused {
        cause,
        retry_after: RETRY_AFTER,
    }
}

/// Logs that a caller left before its answer began: its connection then drops this guard together
/// with the request.
struct Departure<'a> {
    exchange: &'a Exchange,
    is_answered: bool,
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let exchange = self.exchange;
        exchange.traffic.metrics.callers_left.inc();
        let sent_to = exchange.attempts.borrow().last().cloned();
        let silence = sent_to
            .as_ref()
            .and_then(|worker| exchange.traffic.silence_ms(worker));
        let values = json!({"server": sent_to, "server_silent_ms": silence,
            "route": exchange.route.name, "time_left_ms": exchange.time_left().as_millis()});
        exchange.note("caller_left", values);
    }
}

/// Waits for `RECHECK_INTERVAL`.
pub(crate) async fn wait_before_retry() {
    sleep(RECHECK_INTERVAL).await;
}
