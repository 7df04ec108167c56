//! The callers' port: reads requests, refuses what is wrong, hands the rest on.
//!
//! Requests are read by `http` and not by `tiny_http`, which allocates as many bytes as a refused request announces,
//! reads heads of any length, and can neither time out nor count connections.

use crate::common::*;
use crate::node::connections::{self, Connection};
use crate::node::duty;
use crate::node::entry::{Entry, Held};
use crate::node::http::{Failure, Framing, Head, Reader};
use crate::node::problem::{Problem, Run};
use crate::node::{calls, chat, dispatcher};
use crate::wire::key::digest;
use crate::world::catalog::Caller;
use crate::world::id;
use hyper::StatusCode;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

/// Longest header section, in bytes.
const MAX_HEADERS: usize = 16 << 10;
/// Longest path with its query, in bytes.
const MAX_URL: usize = 4 << 10;
/// How many copies of a body a request holds at most: as it was read, decoded, and as it is sent.
const COPIES: usize = 4;
/// Smallest room for a body whose length is not announced.
const MIN_CAPACITY: usize = 1 << 10;
/// Bodies above the first size get an allocation of the second one, which the allocator always maps by itself:
/// untouched pages take no memory, and the rest is given back at once. Smaller ones stay with the arenas of the
/// threads when they are freed: 80 bodies of 4 MiB, one or two at a time, left 180 MB there.
const MAX_HEAP_BODY: usize = 64 << 10;
const MAPPED_BODY: usize = (32 << 20) + 1;
/// Largest part of the requests in hand that one team's slow senders may hold.
const SLOW_SENDERS: usize = 4;

/// A request whose caller and body are known.
#[derive(Debug)]
pub struct Incoming {
    pub id: id::Request,
    pub caller: Caller,
    pub method: String,
    pub path: String,
    pub body: String,
    pub headers: Vec<(String, String)>,
}

impl Incoming {
    /// First value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Starts to take requests.
///
/// # Errors
/// [`Error::Listen`] where the address is taken.
pub fn start(entry: &Arc<Entry>) -> Result<()> {
    let address = entry.node.settings.callers;
    let listener = TcpListener::bind(address).map_err(|error| Error::Listen {
        address,
        source: Box::new(error),
    })?;
    let entry = Arc::clone(entry);
    duty::start("callers", move || connections::accept(&entry, &listener));
    Ok(())
}

/// Serves one request; returns whether another one may follow on its connection.
pub fn take(
    entry: &Arc<Entry>,
    connection: &Connection,
    reader: &mut Reader<'_>,
    head: Head,
) -> bool {
    let in_hand = entry.take_in_hand();
    let keeps = Arc::new(AtomicBool::new(false));
    let replier = Replier {
        stream: Arc::clone(&connection.stream),
        keeps: Arc::clone(&keeps),
        may_keep: false,
        is_head: head.method == "HEAD",
    };
    if in_hand.before >= entry.node.settings.max_requests {
        let problem = Problem::refused(dispatcher::full(), Run::NotRun);
        Exchange::new(entry, replier).fail(&problem);
    } else {
        answer(entry, connection, reader, head, replier);
    }
    keeps.load(Ordering::SeqCst)
}

/// The way to answer a request.
struct Replier {
    stream: Arc<TcpStream>,
    /// Set once the answer was written in full and another request may follow.
    keeps: Arc<AtomicBool>,
    may_keep: bool,
    is_head: bool,
}

impl Replier {
    fn connection_field(&self) -> &'static str {
        if self.may_keep {
            ""
        } else {
            "Connection: close\r\n"
        }
    }

    fn respond(self, status: u16, fields: &[(&str, String)], body: &str) {
        let reason = StatusCode::from_u16(status).ok();
        let reason = reason.and_then(|status| status.canonical_reason());
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason.unwrap_or("Unknown"));
        for (name, value) in fields {
            head.extend([*name, ": ", value.as_str(), "\r\n"]);
        }
        head.push_str(self.connection_field());
        head.extend(["Content-Length: ", &body.len().to_string(), "\r\n\r\n"]);
        let body = if self.is_head { "" } else { body };
        let written = (&*self.stream).write_all((head + body).as_bytes());
        self.finish(written.is_ok());
    }

    fn finish(&self, is_written: bool) {
        self.keeps
            .store(is_written && self.may_keep, Ordering::SeqCst);
    }
}

/// One request with the way to answer it.
pub struct Exchange<'a> {
    pub entry: &'a Entry,
    pub id: id::Request,
    /// Team of the caller, once its key was checked.
    team: Option<id::Team>,
    replier: Replier,
}

impl<'a> Exchange<'a> {
    fn new(entry: &'a Entry, replier: Replier) -> Self {
        Self {
            entry,
            id: entry.next_request(),
            team: None,
            replier,
        }
    }

    /// Answers with an error.
    pub fn fail(self, problem: &Problem) {
        let kind = if problem.retry_after.is_some() {
            "refused"
        } else {
            "wrong"
        };
        self.entry.node.metrics.decided(kind, problem.title);
        let settings = &self.entry.node.settings;
        log::info!(
            instance:% = settings.instance,
            data_centre:% = settings.data_centre,
            request:% = self.id,
            team = self.team.as_ref().map_or("unknown", id::Team::as_str),
            status = problem.status,
            title = problem.title;
            "refused"
        );
        let body = problem.body(&self.id);
        self.respond(problem.status, problem.headers(), body);
    }

    /// Answers with a whole body.
    #[allow(clippy::needless_pass_by_value)]
    pub fn respond(self, status: u16, mut headers: Vec<(&'static str, String)>, body: String) {
        headers.push(("X-Request-Id", self.id.to_string()));
        self.replier.respond(status, &headers, &body);
    }

    /// Begins an answer that is written as it comes.
    ///
    /// # Errors
    /// When the caller is gone.
    pub fn stream(self) -> std::io::Result<Events> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
       X-Request-Id: {}\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.replier.connection_field()
        );
        (&*self.replier.stream).write_all(head.as_bytes())?;
        Ok(Events {
            replier: self.replier,
        })
    }
}

/// A streamed answer.
pub struct Events {
    replier: Replier,
}

impl Events {
    /// Writes one event and sends it at once.
    ///
    /// # Errors
    /// When the caller is gone.
    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        (&*self.replier.stream).write_all(chunk.as_bytes())
    }

    /// Ends the answer.
    pub fn finish(self) {
        let written = (&*self.replier.stream).write_all(b"0\r\n\r\n");
        self.replier.finish(written.is_ok());
    }
}

fn answer(
    entry: &Entry,
    connection: &Connection,
    reader: &mut Reader<'_>,
    head: Head,
    mut replier: Replier,
) {
    let may_keep = !head.closes();
    if head.target == "/ready" {
        replier.may_keep = may_keep && framing(&head).is_ok_and(|framing| framing.is_none());
        let status = if entry.node.is_ready() { 200 } else { 503 };
        let body = json!({"ready": status == 200}).to_string();
        replier.respond(
            status,
            &[("Content-Type", "application/json".into())],
            &body,
        );
        return;
    }
    let read = read(entry, reader, head);
    // A connection that is being closed to make room gets no answer, and its request must not run.
    if read.is_ok() && !connection.run() {
        return;
    }
    replier.may_keep = may_keep && read.is_ok();
    let mut exchange = Exchange::new(entry, replier);
    match read {
        Ok((incoming, _held)) => {
            exchange.id = incoming.id.clone();
            exchange.team = Some(incoming.caller.team.clone());
            dispatch(exchange, &incoming);
        }
        Err(problem) => exchange.fail(&problem),
    }
}

fn dispatch(exchange: Exchange<'_>, incoming: &Incoming) {
    match (incoming.method.as_str(), incoming.path.as_str()) {
        ("GET", "/v1/models") => models(exchange, incoming),
        ("POST", "/v1/chat/completions") => chat::answer(exchange, incoming, chat::Form::Chat),
        ("POST", "/v1/completions") => chat::answer(exchange, incoming, chat::Form::Text),
        (_, path) if path.starts_with("/services/") => calls::answer(exchange, incoming),
        _ => {
            let known = "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/…";
            exchange.fail(&Problem::wrong(404, "no such path", known));
        }
    }
}

fn models(exchange: Exchange<'_>, incoming: &Incoming) {
    let catalog = exchange.entry.node.catalog.load();
    let names = catalog.names(incoming.caller.team.as_str());
    let data: Vec<Value> = names
        .iter()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    let body = json!({"object": "list", "data": data}).to_string();
    exchange.respond(200, vec![("Content-Type", "application/json".into())], body);
}

fn read<'a>(
    entry: &'a Entry,
    reader: &mut Reader<'_>,
    head: Head,
) -> Result<(Incoming, Held<'a>), Problem> {
    check_head(&head)?;
    let caller = caller(entry, &head)?;
    let framing = framing(&head)?;
    let limit = entry.node.settings.max_body;
    if matches!(framing, Some(Framing::Length(length)) if length > limit) {
        return Err(too_large(limit));
    }
    let (body, memory) = read_body(entry, reader, &head, framing, &caller)?;
    let (path, _) = head.target.split_once('?').unwrap_or((&head.target, ""));
    let incoming = Incoming {
        id: entry.next_request(),
        caller,
        path: path.to_owned(),
        method: head.method,
        body,
        headers: head.fields,
    };
    Ok((incoming, memory))
}

fn check_head(head: &Head) -> Result<(), Problem> {
    if !head.is_http_1_1 {
        return Err(Problem::wrong(505, "old HTTP version", "use HTTP/1.1"));
    }
    if head.target.len() > MAX_URL {
        return Err(Problem::wrong(
            414,
            "path too long",
            format!("at most {MAX_URL} bytes"),
        ));
    }
    let lengths = head
        .fields
        .iter()
        .map(|(name, value)| name.len() + value.len() + 4);
    if lengths.sum::<usize>() > MAX_HEADERS {
        return Err(Problem::wrong(
            431,
            "headers too large",
            format!("at most {MAX_HEADERS} bytes"),
        ));
    }
    for name in [
        "Authorization",
        "Idempotency-Key",
        "X-Deadline-Ms",
        "Last-Event-ID",
        "Host",
    ] {
        if head.values(name).count() > 1 {
            let detail = format!("send {name} once");
            return Err(Problem::wrong(400, "repeated header", detail));
        }
    }
    Ok(())
}

/// Returns how the end of the body is told; `None` if there is no body.
fn framing(head: &Head) -> Result<Option<Framing>, Problem> {
    let wrong = |detail: &str| Problem::wrong(400, "ambiguous body length", detail);
    let lengths: Vec<&str> = head.values("Content-Length").collect();
    let encodings: Vec<&str> = head.values("Transfer-Encoding").collect();
    match (lengths.as_slice(), encodings.as_slice()) {
        ([], []) => Ok(None),
        ([], [encoding]) if encoding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunks)),
        ([], _) => Err(wrong("send `Transfer-Encoding: chunked` or Content-Length")),
        ([_, _, ..], _) => Err(wrong("send Content-Length once")),
        (_, [_, ..]) => Err(wrong("send Content-Length or Transfer-Encoding, not both")),
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => length
            .parse()
            .map(|length| Some(Framing::Length(length)))
            .map_err(|_| wrong("send Content-Length as a number")),
        ([_], []) => Err(wrong("send Content-Length as a number")),
    }
}

fn caller(entry: &Entry, head: &Head) -> Result<Caller, Problem> {
    let value = head.values("Authorization").next();
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let catalog = entry.node.catalog.load();
    let caller = key.and_then(|key| catalog.caller(&digest(key.as_bytes())));
    caller.cloned().ok_or_else(|| {
        Problem::wrong(
            401,
            "no or wrong key",
            "send `Authorization: Bearer KEY` with a key of your team",
        )
    })
}

fn too_large(limit: usize) -> Problem {
    Problem::wrong(413, "body too large", format!("at most {limit} bytes"))
}

/// A body as it is read, with the memory that it and its copies take.
struct Body<'a> {
    entry: &'a Entry,
    bytes: Vec<u8>,
    /// Number of bytes for which memory is held.
    room: usize,
    held: Held<'a>,
}

impl<'a> Body<'a> {
    fn new(entry: &'a Entry, room: usize) -> Option<Self> {
        Some(Self {
            entry,
            held: entry.hold(room * COPIES)?,
            room,
            bytes: allocate(room),
        })
    }

    fn push(&mut self, piece: &[u8]) -> Result<(), Failure> {
        let limit = self.entry.node.settings.max_body;
        let needed = self.bytes.len() + piece.len();
        if needed > limit {
            return Err(Failure::TooLarge);
        }
        if needed > self.room {
            let room = (self.room * 2).max(MIN_CAPACITY).min(limit).max(needed);
            let held = self.entry.hold(room * COPIES);
            self.held = held.ok_or(Failure::NoMemory)?;
            self.room = room;
        }
        if needed > self.bytes.capacity() {
            let mut larger = allocate(self.room);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }
}

fn allocate(bytes: usize) -> Vec<u8> {
    let is_mapped = bytes > MAX_HEAP_BODY;
    Vec::with_capacity(if is_mapped {
        bytes.max(MAPPED_BODY)
    } else {
        bytes
    })
}

/// Reads the body. A slow sender holds a thread until it ends, so one team's senders may hold
/// only a part of them.
fn read_body<'a>(
    entry: &'a Entry,
    reader: &mut Reader<'_>,
    head: &Head,
    framing: Option<Framing>,
    caller: &Caller,
) -> Result<(String, Held<'a>), Problem> {
    let most = (entry.node.settings.max_requests / SLOW_SENDERS).max(1);
    let full = || Problem::refused(dispatcher::full(), Run::NotRun);
    let _sending = entry.begin_reading(&caller.team, most).ok_or_else(full)?;
    let announced = match framing {
        Some(Framing::Length(length)) => length,
        Some(Framing::Chunks) | None => 0,
    };
    let mut body = Body::new(entry, announced).ok_or_else(full)?;
    if let Some(framing) = framing {
        let mut expected = head.values("Expect");
        if expected.any(|value| value.eq_ignore_ascii_case("100-continue")) {
            reader.invite();
        }
        let read = reader.read_body(framing, |piece| body.push(piece));
        read.map_err(|failure| match failure {
            Failure::Gone | Failure::Malformed => Problem::wrong(
                400,
                "body cut short",
                "send as many bytes as Content-Length says",
            ),
            Failure::TimedOut => Problem::wrong(408, "body too slow", "send it without pauses"),
            Failure::TooLarge => too_large(entry.node.settings.max_body),
            Failure::NoMemory => full(),
        })?;
    }
    let text = String::from_utf8(body.bytes)
        .map_err(|_| Problem::wrong(400, "body is no UTF-8", "send JSON in UTF-8"))?;
    Ok((text, body.held))
}
