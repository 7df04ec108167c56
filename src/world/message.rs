//! Requests and answers, as much of them as decisions need.

use super::id;
use super::unit::{Rate, Tokens};
use crate::common::*;

/// A model, or an adapter on top of it.
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

/// One part of a prompt, which requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Part {
    pub id: u64,
    pub tokens: Tokens,
}

/// What a generation asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Generation {
    pub target: Target,
    pub prompt: Tokens,
    pub output: Tokens,
    pub parts: Vec<Part>,
}

/// What a caller's request says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Request {
    pub id: CompactString,
    pub host: CompactString,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    pub generation: Option<Generation>,
}

/// Requests at a backend server, as its answer told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
}

/// What the head of a backend server's answer says about the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Answer {
    pub outcome: Outcome,
    pub load: Option<Load>,
    /// Whether its body has a stated end.
    pub framed: bool,
    /// Whether the server closes the connection after it.
    pub closes: bool,
    /// How long the server keeps the connection open while it is idle, where it says so.
    pub keeps: Option<Duration>,
    pub notice: Notice,
}

/// What an answer's head says about the server itself.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Notice {
    /// Whether the server is about to end.
    pub leaves: bool,
    /// How long it wants no requests.
    pub rest: Option<Duration>,
    /// Whether it says something about a rest that can't be read.
    pub is_rest_unclear: bool,
    /// Requests that it takes from all instances together.
    pub limit: Option<Rate>,
    /// Whether it says something about a limit that can't be read.
    pub is_limit_unclear: bool,
}

/// Kind of an answer's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A success that the server signed.
    Success,
    /// A failure of the request itself, which another server would give too.
    Rejected,
    /// The server failed while it ran the request.
    Failed,
    /// The server has no room and did not run it.
    Full,
    /// Another server, or one that does not hold the model: it did not run.
    Misdirected,
    /// Belongs to another request, or is not an answer of the server.
    Foreign,
}
