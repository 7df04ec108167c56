//! The parts of requests and answers on which decisions depend.

use super::id;
use super::unit::{Rate, Tokens};
use crate::common::*;
use serde::{Deserializer, Serializer};

/// A model, or an adapter on top of it, written `MODEL` or `MODEL/ADAPTER`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Target {
    pub model: id::Model,
    pub adapter: Option<id::Adapter>,
}

impl Display for Target {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

impl FromStr for Target {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (model, adapter) = match text.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter.parse()?)),
            None => (text, None),
        };
        let model = model.parse()?;
        Ok(Self { model, adapter })
    }
}

/// Identifier of a prompt part, written in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl Display for PartId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let id = u64::from_str_radix(text, 16);
        id.map(Self)
            .map_err(|_| Error::Number { text: text.into() })
    }
}

impl Serialize for PartId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PartId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A part of a prompt; requests with a common prefix share its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Part {
    pub id: PartId,
    pub tokens: Tokens,
}

/// The work that a generation request asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Generation {
    pub target: Target,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the output.
    pub output: Tokens,
    pub parts: Vec<Part>,
}

/// Limit on the parts of one prompt that are examined.
pub const MAX_SHARED_PARTS: usize = 16;

impl Generation {
    /// Returns the parts that other prompts may share; the last part is the request's own.
    #[must_use]
    pub fn shared_parts(&self) -> Vec<PartId> {
        let count = self.parts.len().saturating_sub(1);
        let shared = self.parts.iter().take(count.min(MAX_SHARED_PARTS));
        shared.map(|part| part.id).collect()
    }
}

/// Head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Request {
    pub id: CompactString,
    pub host: CompactString,
    /// Time that the caller is willing to wait for the answer.
    pub patience: Option<Duration>,
    /// `None` if the request names no valid model.
    pub generation: Option<Generation>,
    /// The stream that the caller takes up, if it does.
    pub taken_up: Option<TakeUp>,
}

/// A stream that broke off and that its caller wants continued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TakeUp {
    /// Id of the last event that the caller received.
    pub last_event: CompactString,
    /// Id of the caller's request that brought the first event, if stated.
    pub first_request: Option<CompactString>,
}

/// Bounds of the pace of a server; values beyond them are clamped.
pub const MIN_PACE: f64 = 0.2;
pub const MAX_PACE: f64 = 10.0;

/// Numbers of requests at a backend server, and its pace, as reported in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    /// Factor by which work takes longer there at the moment than usual; `None` if not stated.
    pub pace: Option<f64>,
}

/// Head of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Answer {
    pub outcome: Outcome,
    pub load: Option<Load>,
    /// Whether the head declares how the body ends, by a length or a transfer encoding.
    pub framed: bool,
    /// Whether the server closes the connection after the answer.
    pub closes: bool,
    /// Idle time after which the server closes the connection, if it says so.
    pub keeps: Option<Duration>,
    pub notice: Notice,
}

/// What the head of an answer says about the server itself.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Notice {
    /// Whether the server is about to shut down.
    pub leaves: bool,
    /// Time for which the server asks to receive no requests (`retry-after` of a 503 answer).
    pub rest: Option<Duration>,
    /// Whether a `retry-after` header could not be parsed.
    pub is_rest_unclear: bool,
    /// Requests per second that the server accepts from all instances together.
    pub limit: Option<Rate>,
    /// Whether a rate limit header could not be parsed.
    pub is_limit_unclear: bool,
    /// Rejections in a second beyond which each server of the service falls over.
    pub max_rejections: MaxRejections,
}

/// What an answer says of the rejections that a server bears in a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub enum MaxRejections {
    #[default]
    Unstated,
    Stated(u32),
    /// The header could not be parsed.
    Unclear,
}

/// Outcome of an attempt, from the head of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A signed success.
    Success,
    /// The request is at fault; another server would reject it too.
    Rejected,
    /// The server failed; the request may have run.
    Failed,
    /// The server declared that it did not run the request, for lack of capacity.
    Full,
    /// The request did not run: another server answered, or the server does not hold the model.
    Misdirected,
    /// The answer belongs to another request or does not come from the server's engine.
    Foreign,
}
