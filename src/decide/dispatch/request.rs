//! Inputs and outputs of the dispatcher: arriving requests, ends of attempts, refusals and actions.

use crate::common::*;
use crate::decide::suspect::Fingerprint;
use crate::world::artifact::Artifact;
use crate::world::contract::Class;
use crate::world::id;
use crate::world::message::PartId;
use crate::world::unit::Tokens;

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub request: id::Request,
    pub team: id::Team,
    /// Weight of the team in fair queueing between teams.
    pub weight: u32,
    pub class: Class,
    pub artifact: Artifact,
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other prompts of the team may share.
    pub parts: Vec<PartId>,
    /// Hash of team, model, adapter and the prompt's first block.
    pub prefix: u64,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Expected length of the answer.
    pub output: Tokens,
    /// Latest time at which the first attempt may start.
    pub deadline: Duration,
    /// Worker that already generated a part of the answer, if the caller resumes a stream.
    pub resume_worker: Option<id::Worker>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer was delivered.
    Done,
    /// The worker is known not to have run the request.
    NotRun,
    /// The worker could not be reached, so it did not run the request.
    Unreachable,
    /// The worker crashed during the attempt.
    Crashed,
    /// The connection was lost, without evidence that the worker crashed.
    Lost,
    /// The attempt was not started because isolation was not granted, as when another struck request
    /// runs on the worker.
    Occupied,
    /// The caller disconnected.
    Abandoned,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The team's limit is used up.
    Limit,
    /// The request cannot start before its deadline.
    Deadline,
    /// The queue is full.
    Full,
    /// The request, or a part of its prompt, crashes workers.
    Convicted,
    /// The request is struck, and a copy of it is already queued or running here.
    Isolated,
    /// The request's attempts or the instance's retry budget are used up.
    Retries,
    /// No worker has the software version that began the answer.
    Version,
    /// The instance is stopping.
    Stopping,
}

/// Final refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub reason: Reason,
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// Changes to the status of fingerprints, as instances exchange them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdicts {
    pub struck: Vec<Fingerprint>,
    pub convicted: Vec<Fingerprint>,
    pub cleared: Vec<Fingerprint>,
}

/// An action that the dispatcher asks its owner to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Start {
        request: id::Request,
        worker: id::Worker,
        attempt: u32,
        /// Whether the request is struck, so that no other struck request of any instance may run
        /// on the worker meanwhile.
        isolated: bool,
    },
    Refuse {
        request: id::Request,
        refusal: Refusal,
    },
    /// Publish new strikes to peers and the table service.
    Struck(Vec<Fingerprint>),
    /// Publish a conviction to peers and the table service.
    Convicted(Fingerprint),
    /// Publish to peers and the table service that a strike was lifted.
    Cleared(Fingerprint),
}
