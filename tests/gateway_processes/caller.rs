//! Simulated callers that reuse open connections until the process behind them ends.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long callers wait for a response, and the deadline that they send.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
const DEADLINE_MS: u64 = 3_000;
/// Longest pause of a caller between two requests.
const MAX_PAUSE_MS: u64 = 120;
/// Probability that a caller reuses its connection.
pub const REUSE_PROBABILITY: f64 = 0.8;

/// A route of the site, and whether its requests may be retried or resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A plain call that must run at most once.
    Issue,
    /// A plain call that may be retried.
    Check,
    /// A stream that may not be resumed.
    Draft,
    /// A stream that may be resumed.
    Long,
}

impl Kind {
    pub const ALL: [Self; 4] = [Self::Issue, Self::Check, Self::Draft, Self::Long];

    pub fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Long)
    }

    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Check | Self::Long)
    }

    fn request(self, id: &str) -> Request<Full<Bytes>> {
        let path = match self {
            Self::Issue => "/issue/x",
            Self::Check => "/check/x",
            Self::Draft => "/draft/x",
            Self::Long => "/long/x",
        };
        build_request(path, self.is_stream(), id)
    }
}

/// Builds a request on a route, to a model if the answer is a stream.
pub fn build_request(path: &str, is_stream: bool, id: &str) -> Request<Full<Bytes>> {
    let request = Request::post(path)
        .header("host", "h")
        .header("x-request-id", id)
        .header("x-deadline-ms", DEADLINE_MS);
    let request = if is_stream {
        request
            .header("x-model-name", "m1")
            .header("x-token-usage", "100,20")
            .header("x-prompt-prefix", "1:100")
    } else {
        request
    };
    request.body(Full::new(Bytes::from("hi"))).unwrap()
}

/// Waits for a moment, as callers do between two requests.
pub async fn pause(rng: &mut SmallRng) {
    sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
}

/// How a request ended, as its caller saw it.
#[derive(Debug)]
pub enum Outcome {
    /// A response; the body is none if it broke off.
    Answered {
        status: u16,
        signed: bool,
        echoes: bool,
        body: Option<String>,
    },
    /// The connection ended without a response.
    Closed,
    /// No response arrived in time.
    Silent,
}

impl Outcome {
    /// Whether a complete answer arrived, so that the connection can be used again.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Answered { body: Some(_), .. })
    }
}

#[derive(Debug)]
pub struct Record {
    pub id: String,
    pub kind: Kind,
    pub instance: usize,
    pub started_at: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// One caller, which sends to any of the instances.
pub struct Caller {
    pub name: String,
    pub instances: Vec<SocketAddr>,
    pub rng: SmallRng,
    pub records: Rc<RefCell<Vec<Record>>>,
    pub is_over: Rc<Cell<bool>>,
}

type Connection = (usize, SendRequest<Full<Bytes>>);

impl Caller {
    /// Sends requests until the run is over.
    pub async fn run(mut self) {
        let mut kept: Option<Connection> = None;
        let mut number = 0;
        while !self.is_over.get() {
            pause(&mut self.rng).await;
            let reusable = kept
                .take()
                .filter(|_| self.rng.random_bool(REUSE_PROBABILITY));
            let Some((instance, mut sender)) = self.connection(reusable).await else {
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            let kind = *Kind::ALL.choose(&mut self.rng).unwrap();
            let started_at = Instant::now();
            let outcome = exchange(&mut sender, kind.request(&id), &id).await;
            kept = outcome.is_whole().then_some((instance, sender));
            self.records.borrow_mut().push(Record {
                outcome,
                id,
                kind,
                instance,
                started_at,
                ended_at: Instant::now(),
            });
        }
    }

    async fn connection(&mut self, kept: Option<Connection>) -> Option<Connection> {
        if let Some((instance, mut sender)) = kept
            && sender.ready().await.is_ok()
        {
            return Some((instance, sender));
        }
        let instance = self.rng.random_range(0..self.instances.len());
        Some((instance, connect(self.instances[instance]).await?))
    }
}

/// Opens a connection to an instance.
pub async fn connect(instance: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let opening = TcpStream::connect(instance);
    let stream = timeout(ANSWER_TIMEOUT, opening).await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}

/// Sends a request and reads its answer.
pub async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
) -> Outcome {
    let answer = async {
        match sender.send_request(request).await {
            Ok(response) => read(response, id).await,
            Err(_) => Outcome::Closed,
        }
    };
    let answer = timeout(ANSWER_TIMEOUT, answer).await;
    answer.unwrap_or(Outcome::Silent)
}

async fn read(response: Response<Incoming>, id: &str) -> Outcome {
    let headers = response.headers();
    let signed = headers.contains_key("x-response-signature");
    let echoes = headers.get("x-request-id").is_some_and(|echo| echo == id);
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok();
    let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
    Outcome::Answered {
        status,
        signed,
        echoes,
        body,
    }
}
