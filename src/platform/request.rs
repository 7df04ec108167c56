//! Header names and codecs for requests of callers and answers of backend servers.

use crate::common::*;
use crate::wire::key::digest;
use crate::world::id;
use crate::world::message::{
    Answer, Generation, Load, MAX_PACE, MIN_PACE, MaxRejections, Notice, Outcome, Part, Request,
    TakeUp,
};
use crate::world::time;
use crate::world::unit::{Rate, Tokens};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::{StatusCode, request, response};
use std::num::IntErrorKind;

const REQUEST_ID: &str = "x-request-id";
const DEADLINE: &str = "x-deadline-ms";
const MODEL: &str = "x-model-name";
/// Prompt tokens and the maximum of output tokens, as `PROMPT,OUTPUT`; despite its name not actual
/// usage.
const TOKENS: &str = "x-token-usage";
const PARTS: &str = "x-prompt-prefix";
const EXPECTED_INSTANCE: &str = "x-expected-instance";
const PRIORITY: &str = "x-request-priority";
const SIGNATURE: &str = "x-response-signature";
const NOT_EXECUTED: &str = "x-not-executed";
const LOAD: &str = "x-instance-load";
const LAST_EVENT: &str = "last-event-id";
/// In a request that takes a stream up: id of the caller's request that brought its first event.
const RESUMES: &str = "resumes";
const LEAVING: &str = "server-leaving";
const RETRY_AFTER: &str = "retry-after";
const AUTHORIZATION: &str = "authorization";
/// In an answer with 401: how callers prove who they are.
const CHALLENGE: &str = "www-authenticate";
/// Scheme of the keys of workspaces; its case does not matter.
const KEY_SCHEME: &str = "Token";
/// Name of the caller's workspace, for servers.
const WORKSPACE: &str = "x-tenant-name";
/// Requests per second that a server accepts from all instances together.
const LIMIT: &str = "server-limit";
/// Rejections in a second beyond which a server falls over.
const MAX_REJECTIONS: &str = "server-brittle";

/// Most tokens that a request or a part is taken to have. It is beyond the memory of any server, and sums of
/// many such numbers can't overflow.
const MAX_TOKENS: u64 = 1 << 36;
/// The same for numbers of requests at a server.
const MAX_REQUESTS: u32 = 1 << 16;

/// Headers that only this system may set; they are removed from callers' requests.
const RESERVED: [&str; 9] = [
    EXPECTED_INSTANCE,
    PRIORITY,
    "x-expected-version",
    "x-hold-request",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "wait-ms",
];

/// Hop-by-hop headers, which apply to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Decodes the head of a caller's request; returns `None` if it has no readable request id or no
/// host.
#[must_use]
pub fn decode(head: &request::Parts) -> Option<Request> {
    let headers = &head.headers;
    let id = header_text(headers, REQUEST_ID)?;
    let host = header_text(headers, "host").or_else(|| head.uri.host())?;
    let host = host.split(':').next().unwrap_or(host);
    let patience = header_text(headers, DEADLINE).and_then(|text| text.trim().parse().ok());
    Some(Request {
        id: id.into(),
        host: host.into(),
        patience: patience.map(time::from_millis),
        generation: decode_generation(headers),
        taken_up: decode_take_up(headers),
    })
}

/// Returns the id of a request, if it is readable.
#[must_use]
pub fn id(headers: &HeaderMap) -> Option<CompactString> {
    header_text(headers, REQUEST_ID).map(Into::into)
}

/// Decodes which stream a request takes up.
fn decode_take_up(headers: &HeaderMap) -> Option<TakeUp> {
    let last_event = header_text(headers, LAST_EVENT).map(str::trim);
    let first_request = header_text(headers, RESUMES).map(str::trim);
    if last_event.is_none() && first_request.is_none() {
        return None;
    }
    Some(TakeUp {
        last_event: last_event.unwrap_or_default().into(),
        first_request: first_request.filter(|id| !id.is_empty()).map(Into::into),
    })
}

fn decode_generation(headers: &HeaderMap) -> Option<Generation> {
    let target = header_text(headers, MODEL)?.parse().ok()?;
    let (prompt, output) = token_counts(headers).unwrap_or_default();
    let parts = header_text(headers, PARTS).unwrap_or_default();
    Some(Generation {
        target,
        prompt: parse_tokens(prompt),
        output: parse_tokens(output),
        parts: parts.split(',').filter_map(parse_part).collect(),
    })
}

/// Returns the prompt and output tokens that a caller's request states, if it states them.
#[must_use]
pub fn decode_usage(headers: &HeaderMap) -> Option<Tokens> {
    let (prompt, output) = token_counts(headers)?;
    Some(parse_tokens(prompt).plus(parse_tokens(output)))
}

fn token_counts(headers: &HeaderMap) -> Option<(&str, &str)> {
    header_text(headers, TOKENS)?.split_once(',')
}

fn parse_part(text: &str) -> Option<Part> {
    let (id, count) = text.trim().split_once(':')?;
    let id = id.parse().ok()?;
    Some(Part {
        id,
        tokens: parse_tokens(count),
    })
}

/// Parses a number of tokens, cut to [`MAX_TOKENS`]; 0 if it is none.
fn parse_tokens(text: &str) -> Tokens {
    let count = text.trim().parse::<u64>();
    let count = count.or_else(|error| match error.kind() {
        IntErrorKind::PosOverflow => Ok(MAX_TOKENS),
        _ => Err(error),
    });
    Tokens(count.unwrap_or(0).min(MAX_TOKENS))
}

/// Returns the SHA-256 of a caller's key in hex; `None` if there is no key, or more than one value
/// that might be one.
#[must_use]
pub fn key_digest(headers: &HeaderMap) -> Option<String> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (value, other) = (values.next()?, values.next());
    let (scheme, key) = value.as_bytes().split_at_checked(KEY_SCHEME.len())?;
    let is_separated = key.first().is_some_and(u8::is_ascii_whitespace);
    let key = key.trim_ascii();
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes())
        && is_separated
        && !key.is_empty()
        && other.is_none();
    is_key.then(|| digest(key))
}

/// Whether the name of a workspace can be told to servers.
#[must_use]
pub fn is_workspace_name(name: &str) -> bool {
    !name.is_empty() && HeaderValue::from_bytes(name.as_bytes()).is_ok()
}

/// Adds the header that tells a caller which kind of key it must send.
pub fn set_challenge(headers: &mut HeaderMap) {
    set(headers, CHALLENGE, KEY_SCHEME);
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Every caller is served; what the caller says of itself is passed on.
    Unchecked,
    /// A workspace, or none if the request came on a public route.
    Checked(Option<&'a str>),
}

impl Identity<'_> {
    /// Replaces what the caller says of its workspace.
    fn write(self, headers: &mut HeaderMap) {
        let Self::Checked(workspace) = self else {
            return;
        };
        headers.remove(WORKSPACE);
        let name = workspace.map(|name| HeaderValue::from_bytes(name.as_bytes()));
        if let Some(Ok(name)) = name {
            headers.insert(HeaderName::from_static(WORKSPACE), name);
        }
    }
}

/// Values for the headers that the system sets on a request to a backend server.
#[derive(Debug, Clone)]
pub struct Stamp<'a> {
    pub worker: &'a id::Worker,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    pub priority: Option<u8>,
    pub identity: Identity<'a>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Builds the headers of a request to a backend server from those of the caller.
#[must_use]
pub fn encode(caller: &HeaderMap, stamp: &Stamp<'_>) -> HeaderMap {
    let mut headers = end_to_end(caller);
    for name in RESERVED {
        headers.remove(name);
    }
    headers.remove("content-length");
    headers.remove("expect");
    if stamp.identity != Identity::Unchecked {
        headers.remove(AUTHORIZATION);
    }
    stamp.identity.write(&mut headers);
    set(&mut headers, EXPECTED_INSTANCE, stamp.worker.as_str());
    let remaining = stamp.remaining.as_millis().max(1).to_string();
    set(&mut headers, DEADLINE, &remaining);
    if let Some(priority) = stamp.priority {
        set(&mut headers, PRIORITY, &priority.min(9).to_string());
    }
    if let Some(event) = stamp.last_event {
        set(&mut headers, LAST_EVENT, event);
    }
    headers
}

/// Builds the headers of a request that another instance sends to a server; `last_event` is set if it
/// continues the stream that began under the request's own id. The caller's key is kept, since the
/// other instance checks it itself.
#[must_use]
pub fn encode_passed_on(
    caller: &HeaderMap,
    remaining: Duration,
    id: &str,
    last_event: Option<&str>,
    identity: Identity<'_>,
) -> HeaderMap {
    let mut headers = end_to_end(caller);
    headers.remove("content-length");
    headers.remove("expect");
    identity.write(&mut headers);
    set(
        &mut headers,
        DEADLINE,
        &remaining.as_millis().max(1).to_string(),
    );
    if let Some(event) = last_event {
        set(&mut headers, LAST_EVENT, event);
        if !headers.contains_key(RESUMES) {
            set(&mut headers, RESUMES, id);
        }
    }
    headers
}

/// Adds the header that names the worker for which a request is meant.
pub fn set_expected_worker(headers: &mut HeaderMap, worker: &id::Worker) {
    set(headers, EXPECTED_INSTANCE, worker.as_str());
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the headers without hop-by-hop headers, including those that `connection` lists.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let connection_values = headers.get_all("connection").iter();
    let connection_values = connection_values.filter_map(|value| value.to_str().ok());
    for name in connection_values.flat_map(|value| value.split(',')) {
        if let Ok(name) = HeaderName::from_str(name.trim()) {
            kept.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

/// Decodes the head of a backend server's answer to the request `id`; `is_reused` says whether the
/// connection was used before, so that the answer may be a late copy of one to an earlier request.
#[must_use]
pub fn decode_answer(id: &str, head: &response::Parts, is_reused: bool) -> Answer {
    let headers = &head.headers;
    let has = |name: &str| headers.contains_key(name);
    let framed = has("content-length") || has("transfer-encoding");
    let closes = header_text(headers, "connection").is_some_and(|value| value.contains("close"));
    Answer {
        outcome: decode_outcome(id, head, is_reused),
        load: header_text(headers, LOAD).and_then(parse_load),
        framed,
        closes,
        keeps: header_text(headers, "keep-alive").and_then(parse_keep_alive),
        notice: decode_notice(head.status, headers),
    }
}

/// Whether a status may end a request. Others that can be parsed, such as 700, belong to no class, so that
/// an answer with one says nothing, not even that the request has not run.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Decodes what an answer says about the backend server itself; nothing if its status is invalid.
///
/// Of several `retry-after` headers the longest counts, of several rate limits or bounds the lowest.
#[must_use]
pub fn decode_notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    if !is_final(status) {
        return Notice::default();
    }
    let is_full = status == StatusCode::SERVICE_UNAVAILABLE;
    let retry_afters = headers.get_all(RETRY_AFTER).iter().filter(|_| is_full);
    let rests: Vec<Option<Duration>> = retry_afters.map(parse_seconds).collect();
    let limits: Vec<Option<Rate>> = headers.get_all(LIMIT).iter().map(parse_rate).collect();
    let readable_limits = limits.iter().flatten().copied();
    Notice {
        leaves: header_text(headers, LEAVING).is_some_and(|value| value.trim() == "1"),
        rest: rests.iter().flatten().max().copied(),
        is_rest_unclear: rests.contains(&None),
        limit: readable_limits.reduce(|a, b| if b < a { b } else { a }),
        is_limit_unclear: limits.contains(&None),
        max_rejections: decode_max_rejections(headers),
    }
}

fn decode_max_rejections(headers: &HeaderMap) -> MaxRejections {
    let stated = headers.get_all(MAX_REJECTIONS).iter().map(parse_count);
    let stated: Option<Vec<u32>> = stated.collect();
    let lowest = stated.map(|stated| stated.into_iter().min());
    match lowest {
        Some(Some(bound)) => MaxRejections::Stated(bound),
        Some(None) => MaxRejections::Unstated,
        None => MaxRejections::Unclear,
    }
}

/// Parses a number, also one with a fraction, which is dropped; `None` if it is negative or not a number.
fn parse_count(value: &HeaderValue) -> Option<u32> {
    let text = value.to_str().ok()?.trim();
    let whole = text.parse::<f64>().ok().and(text.split('.').next())?;
    whole.parse().ok()
}

/// Parses a rate in requests per second; returns `None` if it is negative or not a finite number.
fn parse_rate(value: &HeaderValue) -> Option<Rate> {
    let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(Rate(rate))
}

/// Parses seconds, also fractional ones; returns `None` if they are negative or not a finite
/// number.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| time::from_secs_f64(seconds))
}

fn decode_outcome(id: &str, head: &response::Parts, is_reused: bool) -> Outcome {
    let headers = &head.headers;
    let not_run = headers.contains_key(NOT_EXECUTED);
    match (head.status, header_text(headers, REQUEST_ID)) {
        (status, _) if !is_final(status) => Outcome::Foreign,
        (_, Some(echoed)) if echoed != id => Outcome::Foreign,
        (_, None) if is_reused => Outcome::Foreign,
        (StatusCode::MISDIRECTED_REQUEST, _) => Outcome::Misdirected,
        (_, _) if not_run => Outcome::Full,
        (_, None) => Outcome::Foreign,
        (_, _) if headers.contains_key("content-encoding") => Outcome::Foreign,
        (status, _) if status.is_success() && headers.contains_key(SIGNATURE) => Outcome::Success,
        (status, _) if status.is_success() => Outcome::Foreign,
        (status, _) if status.is_client_error() => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}

/// Parses the time-out of a `keep-alive` header, in whole seconds, as in `timeout=10, max=100`.
fn parse_keep_alive(text: &str) -> Option<Duration> {
    let mut values = text
        .split(',')
        .filter_map(|value| value.trim().split_once('='));
    let (_, seconds) = values.find(|(name, _)| name.trim() == "timeout")?;
    seconds.trim().parse().ok().map(time::from_secs)
}

fn parse_load(text: &str) -> Option<Load> {
    let numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut numbers = numbers.map(|number: Option<u32>| Some(number?.min(MAX_REQUESTS)));
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        pace: text.split(',').nth(3).and_then(parse_pace),
    })
}

/// Parses the time that work takes at a server, in percent of the usual time.
fn parse_pace(text: &str) -> Option<f64> {
    let percent: f64 = text.trim().parse().ok()?;
    let is_valid = percent.is_finite() && percent > 0.0;
    is_valid.then(|| (percent / 100.0).clamp(MIN_PACE, MAX_PACE))
}

/// Returns the id of a server-sent event if this line of the stream holds it.
#[must_use]
pub fn event_id(line: &[u8]) -> Option<&str> {
    let line = std::str::from_utf8(line).ok()?;
    line.strip_prefix("id:").map(str::trim)
}

/// Returns the headers of an answer that this instance generates itself.
#[must_use]
pub fn local_answer_headers(id: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    set(&mut headers, REQUEST_ID, id);
    headers
}
