//! A request on its way through the decisions: as it arrives, how attempts end, why it is refused.

use crate::common::*;
use crate::decide::suspect::Fingerprint;
use crate::world::artifact::Artifact;
use crate::world::contract::Class;
use crate::world::id;
use crate::world::unit::Tokens;

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub request: id::Request,
    pub team: id::Team,
    pub weight: u32,
    pub class: Class,
    pub artifact: Artifact,
    pub fingerprint: Fingerprint,
    pub prefix: u64,
    pub prompt: Tokens,
    pub output: Tokens,
    /// Time by which it must have started.
    pub deadline: Duration,
    /// Worker that already holds a part of its answer.
    pub resume_worker: Option<id::Worker>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer was delivered.
    Done,
    /// The worker certainly did not run it.
    NotRun,
    /// The worker could not be reached; nothing ran.
    Unreachable,
    /// The worker died while it ran.
    Crashed,
    /// It was cut off, and nothing shows that the worker died.
    Lost,
    /// Another instance runs a struck request on that worker.
    Occupied,
    /// The caller went away.
    Abandoned,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The team's limit is used up.
    Limit,
    /// It could not start before its deadline.
    Deadline,
    /// Too many requests wait.
    Full,
    /// It crashes the workers that run it.
    Convicted,
    /// A copy of it is being run apart from others after a crash.
    Isolated,
    /// Attempts or the retry budget are used up.
    Retries,
    /// The instance is stopping.
    Stopping,
}

/// Final refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub reason: Reason,
    /// When to come back; none where coming back is useless.
    pub retry_after: Option<Duration>,
}

/// What instances tell each other about fingerprints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdicts {
    pub struck: Vec<Fingerprint>,
    pub convicted: Vec<Fingerprint>,
    pub cleared: Vec<Fingerprint>,
}

/// What to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Start {
        request: id::Request,
        worker: id::Worker,
        attempt: u32,
        /// Whether no other struck request may run on the worker, from any instance.
        isolated: bool,
    },
    Refuse {
        request: id::Request,
        refusal: Refusal,
    },
    /// Tell peers and the table.
    Struck(Vec<Fingerprint>),
    /// Tell peers and the table.
    Convicted(Fingerprint),
    /// Tell peers and the table that a strike is lifted.
    Cleared(Fingerprint),
}
