//! A worker of the users' platform: runs requests, streams events, takes orders.

use crate::platform;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::Sleep;

/// What a worker does and holds.
#[derive(Debug, Default)]
struct State {
    models: BTreeMap<String, BTreeSet<String>>,
    orders: u64,
    /// When requests came, by id, whether they ran or not.
    arrivals: Vec<(Instant, String)>,
    /// Headers of the requests that came, in the same order.
    heads: Vec<HeaderMap>,
    /// Ids of the requests that ran, in order.
    ran: Vec<String>,
    /// Ids of the requests whose connection closed before their end.
    dropped: Vec<String>,
    fault: Fault,
    /// Id of a part of prompts that crashes the worker as it begins an answer on it.
    deadly_part: Option<String>,
    /// Number of crashes; each ends all runs.
    crashes: u64,
    /// Headers of all answers, and of those that turn a request away.
    says: Vec<(String, String)>,
    says_full: Vec<(String, String)>,
    /// When orders and questions came, and from whom orders did.
    calls: Vec<Instant>,
    holders: Vec<(Instant, String)>,
    /// Fencing tokens of orders, with their holders, in order.
    fences: Vec<(u64, String)>,
}

/// What a worker does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Requests run, and their connection closes without an answer.
    LoseAnswers,
    /// Streams break off after this many events.
    CutAfter(u32),
    /// Requests run without end.
    Hang,
    /// Requests run and fail.
    Fail,
    /// Requests are turned away and don't run.
    TurnAway,
}

/// A worker; it is hosted by [`platform::Platform`].
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub(crate) address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    /// Socket of a dead worker; it is never listened on.
    _bound: Option<Socket>,
    state: Mutex<State>,
    /// Version of its software; the entry has none where this is empty.
    software: String,
    /// Events of each stream, and the pause before each.
    events: u32,
    pause: Duration,
}

impl Worker {
    /// A worker with models, which streams `events` with a pause before each.
    #[must_use]
    pub fn new(id: &str, service: &str, models: &[&str], events: u32, pause: Duration) -> Self {
        let listener = platform::listen();
        let models = models
            .iter()
            .map(|model| ((*model).into(), BTreeSet::new()));
        let state = State {
            models: models.collect(),
            ..State::default()
        };
        Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            listener: Mutex::new(Some(listener)),
            _bound: None,
            state: Mutex::new(state),
            software: "v1".into(),
            events,
            pause,
        }
    }

    /// Has this version of its software.
    #[must_use]
    pub fn running(mut self, software: &str) -> Self {
        self.software = software.into();
        self
    }

    /// Refuses connections. Its port stays bound, so that no server of another test gets it.
    #[must_use]
    pub fn dead(self) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let address = SocketAddr::new(self.address.ip(), 0);
        socket.bind(&address.into()).expect("a free port");
        let address = socket.local_addr().ok().and_then(|it| it.as_socket());
        Self {
            address: address.expect("an address"),
            listener: Mutex::new(None),
            _bound: Some(socket),
            ..self
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When requests came, by id, whether they ran or not.
    #[must_use]
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.state().arrivals.clone()
    }

    /// Headers of the requests that came, whether they ran or not.
    #[must_use]
    pub fn heads(&self) -> Vec<HeaderMap> {
        self.state().heads.clone()
    }

    /// Ids of the requests that ran here.
    #[must_use]
    pub fn ran(&self) -> Vec<String> {
        self.state().ran.clone()
    }

    /// Ids of the requests that were broken off by the other side.
    #[must_use]
    pub fn dropped(&self) -> Vec<String> {
        self.state().dropped.clone()
    }

    /// When orders and questions came.
    #[must_use]
    pub fn calls(&self) -> Vec<Instant> {
        self.state().calls.clone()
    }

    /// When orders came, whether they were carried out or not, and from which holders.
    #[must_use]
    pub fn holders(&self) -> Vec<(Instant, String)> {
        self.state().holders.clone()
    }

    /// Fencing tokens of the orders that came, with their holders, in order.
    #[must_use]
    pub fn fences(&self) -> Vec<(u64, String)> {
        self.state().fences.clone()
    }

    /// Says in all answers from now on that it leaves.
    pub fn leave(&self) {
        self.state().says = vec![("server-leaving".into(), "1".into())];
    }

    /// Names this limit in all answers from now on, or none.
    pub fn limit(&self, rate: Option<&str>) {
        let says = rate.map(|rate| ("server-limit".into(), rate.into()));
        self.state().says = says.into_iter().collect();
    }

    /// Names in all answers from now on how many rejections in a second it bears.
    pub fn bear_rejections(&self, most: u32) {
        let says = ("server-brittle".into(), most.to_string());
        self.state().says = vec![says];
    }

    /// Turns requests away from now on, with these values of `Retry-After`.
    pub fn turn_away(&self, rests: &[&str]) {
        let mut state = self.state();
        state.fault = Fault::TurnAway;
        let rests = rests
            .iter()
            .map(|rest| ("retry-after".into(), (*rest).into()));
        state.says_full = rests.collect();
    }

    /// Crashes from now on when it begins an answer on this part of a prompt, in hexadecimal.
    pub fn crash_on(&self, part: Option<&str>) {
        self.state().deadly_part = part.map(str::to_owned);
    }

    /// Starts anew: its runs end, and it is another incarnation.
    pub fn restart(&self) {
        self.state().crashes += 1;
    }

    /// Number of crashes.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state().crashes
    }

    /// Replaces the fault in force.
    pub fn set(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// The worker's entry in the platform's list.
    #[must_use]
    pub fn entry(&self, state: &str) -> Value {
        json!({"Service": self.service, "Address": self.address, "Zone": "north-1",
            "Version": self.software, "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 5,
            "Models": self.models(), "born": 1_000 + self.crashes()})
    }

    fn models(&self) -> Vec<Value> {
        let state = self.state();
        let models = state.models.iter();
        let models = models
            .map(|(name, adapters)| json!({"Name": name, "Version": 1, "Adapters": adapters}));
        models.collect()
    }

    fn order(&self, order: &Value) -> u16 {
        let mut state = self.state();
        let holder = order["Holder"].as_str().unwrap_or_default().to_owned();
        let fence = order["FencingToken"].as_u64().unwrap_or_default();
        state.fences.push((fence, holder.clone()));
        state.holders.push((Instant::now(), holder));
        if order["Expected"].as_u64() != Some(state.orders) {
            return 409;
        }
        state.orders += 1;
        let model = order["Model"].as_str().unwrap_or_default().to_owned();
        let adapter = order["Adapter"].as_str().map(str::to_owned);
        match (order["Operation"].as_str(), adapter) {
            (Some("load"), Some(adapter)) => {
                state.models.entry(model).or_default().insert(adapter);
            }
            (Some("load"), None) => {
                state.models.entry(model).or_default();
            }
            (_, Some(adapter)) => {
                state.models.entry(model).or_default().remove(&adapter);
            }
            (_, None) => {
                state.models.remove(&model);
            }
        }
        202
    }

    /// Whether a prompt has the part that crashes this worker.
    fn is_deadly(&self, parts: &str) -> bool {
        let state = self.state();
        let mut parts = parts.split(',').filter_map(|part| part.split(':').next());
        let deadly = state.deadly_part.as_deref();
        deadly.is_some_and(|deadly| parts.any(|part| part == deadly))
    }

    fn holds(&self, target: &str) -> bool {
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let state = self.state();
        let adapters = state.models.get(model);
        adapters.is_some_and(|held| adapter.is_empty() || held.contains(adapter))
    }
}

/// Answers on the worker's address.
pub(crate) async fn host(worker: Arc<Worker>) {
    let listener = {
        let mut listener = worker.listener.lock();
        listener.as_mut().ok().and_then(|listener| listener.take())
    };
    let Some(listener) = listener else {
        return;
    };
    platform::host(listener, move |request| {
        answer(Arc::clone(&worker), request)
    })
    .await;
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

async fn answer(worker: Arc<Worker>, request: Request<Incoming>) -> Option<Response<Body>> {
    let mut response = respond_to(&worker, request).await?;
    let says = worker.state().says.clone();
    add(response.headers_mut(), &says);
    Some(response)
}

fn add(headers: &mut HeaderMap, says: &[(String, String)]) {
    for (name, value) in says {
        let name = HeaderName::try_from(name).expect("a name");
        headers.append(name, value.parse().expect("a value"));
    }
}

async fn respond_to(worker: &Arc<Worker>, request: Request<Incoming>) -> Option<Response<Body>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let headers = &head.headers;
    let expected = text(headers, "x-expected-instance");
    if !expected.is_empty() && expected != worker.id {
        return plain(421, &[], "");
    }
    if matches!(head.uri.path(), "/v1/report" | "/v1/order") {
        worker.state().calls.push(Instant::now());
    }
    match head.uri.path() {
        "/v1/report" => {
            let orders = worker.state().orders;
            let report = json!({"Phase": "unified", "Models": worker.models(), "Busy": false,
                "Sequence": orders, "Queued": 0, "Active": 0, "KvInUse": 0, "KvSize": 1000});
            plain(200, &[], &report.to_string())
        }
        "/v1/order" => {
            let order = serde_json::from_slice(&body).unwrap_or_default();
            plain(worker.order(&order), &[], "")
        }
        _ => run(worker, headers).await,
    }
}

async fn run(worker: &Arc<Worker>, headers: &HeaderMap) -> Option<Response<Body>> {
    let id = text(headers, "x-request-id").to_owned();
    let target = text(headers, "x-model-name");
    worker.state().arrivals.push((Instant::now(), id.clone()));
    worker.state().heads.push(headers.clone());
    let fault = worker.state().fault;
    if fault == Fault::TurnAway {
        let headers = [("x-request-id", id.as_str()), ("x-not-executed", "1")];
        let mut refusal = plain(503, &headers, "")?;
        add(refusal.headers_mut(), &worker.state().says_full.clone());
        return Some(refusal);
    }
    if !target.is_empty() && !worker.holds(target) {
        return plain(421, &[], "");
    }
    worker.state().ran.push(id.clone());
    if fault == Fault::LoseAnswers {
        return None;
    }
    if fault == Fault::Fail {
        let headers = [("x-request-id", id.as_str())];
        return plain(500, &headers, "the server's own failure");
    }
    let signed = [("x-request-id", id.as_str()), ("x-response-signature", "s")];
    if target.is_empty() {
        let _gone = Watch(Arc::clone(worker), id.clone(), fault != Fault::Hang);
        if fault == Fault::Hang {
            std::future::pending::<()>().await;
        }
        return plain(200, &signed, "done");
    }
    let after = text(headers, "last-event-id").parse().unwrap_or(0);
    let start = worker.crashes();
    if worker.is_deadly(text(headers, "x-prompt-prefix")) {
        worker.state().crashes += 1;
    }
    let stream = Stream {
        start,
        watch: Watch(Arc::clone(worker), id.clone(), false),
        next: after + 1,
        last: worker.events,
        cut_after: match fault {
            Fault::CutAfter(events) => Some(after + events),
            _ => None,
        },
        pause: worker.pause,
        sleep: Box::pin(tokio::time::sleep(worker.pause)),
    };
    respond(200, &signed, Body::Stream(Box::new(stream)))
}

fn plain(status: u16, headers: &[(&str, &str)], body: &str) -> Option<Response<Body>> {
    let body = Full::new(Bytes::from(body.to_owned()));
    respond(status, headers, Body::Whole(body))
}

fn respond(status: u16, headers: &[(&str, &str)], body: Body) -> Option<Response<Body>> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(body).ok()
}

/// Notes a run that is dropped before its end.
#[derive(Debug)]
struct Watch(Arc<Worker>, String, bool);

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.2 {
            self.0.state().dropped.push(self.1.clone());
        }
    }
}

/// Events of one run.
#[derive(Debug)]
pub struct Stream {
    watch: Watch,
    /// Number of the worker's crashes when the run began.
    start: u64,
    next: u32,
    last: u32,
    cut_after: Option<u32>,
    pause: Duration,
    sleep: Pin<Box<Sleep>>,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    Whole(Full<Bytes>),
    Stream(Box<Stream>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Whole(whole) => Pin::new(whole)
                .poll_frame(context)
                .map_err(std::io::Error::other),
            Self::Stream(stream) => stream.poll(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Stream(_) => SizeHint::new(),
        }
    }
}

impl Stream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        if self.next > self.last {
            self.watch.2 = true;
            return Poll::Ready(None);
        }
        std::task::ready!(self.sleep.as_mut().poll(context));
        let has_crashed = self.watch.0.crashes() != self.start;
        if has_crashed || self.cut_after.is_some_and(|cut| self.next > cut) {
            self.watch.2 = true;
            return Poll::Ready(Some(Err(std::io::Error::other("cut"))));
        }
        self.sleep = Box::pin(tokio::time::sleep(self.pause));
        let event = format!("id: {}\ndata: piece {}\n\n", self.next, self.next);
        self.next += 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
    }
}
