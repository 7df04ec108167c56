//! What an entry's dispatcher takes, and what it answers.

use crate::common::*;
use crate::decide::dispatch::{self, Arrival, End, Refusal};
use crate::decide::ledger::Report;
use crate::decide::quarantine::{self, Parts, Write};
use crate::decide::share::Demand;
use crate::world::id;
use crate::world::table::{Row, Txn};
use crate::world::unit::{Incarnation, Rate};

/// Leave to send a request, or its final refusal.
#[derive(Debug, Clone)]
pub enum Grant {
    Start {
        worker: id::Worker,
        address: SocketAddr,
        /// Engine start that the worker last reported.
        incarnation: Incarnation,
        attempt: u32,
        isolated: bool,
    },
    Refuse(Refusal),
}

/// What the thread takes.
#[derive(Debug)]
pub enum Input {
    Arrive {
        arrival: Arrival,
        grants: flume::Sender<Grant>,
    },
    /// The first part of an answer was delivered.
    Begun(id::Request),
    End {
        request: id::Request,
        end: End,
    },
    /// Admits a call to a plain service against its team's limit.
    Admit {
        team: id::Team,
        reply: flume::Sender<Option<Refusal>>,
    },
    Report {
        worker: id::Worker,
        report: Report,
    },
    Peer {
        instance: id::Instance,
        own: BTreeMap<id::Worker, u32>,
    },
    Gone(id::Instance),
    Leaving(id::Worker),
    Verdicts(dispatch::Verdicts),
    /// A peer's report on requests that crash workers.
    Crashes(quarantine::Report),
    /// The quarantine as the table has it: parts, and number of crashes.
    Quarantine(BTreeMap<Parts, u32>),
    /// The table has taken a change of the quarantine.
    QuarantineWritten(Write),
    Catalog,
    Adjust {
        adjustment: Adjustment,
        reply: flume::Sender<Option<Txn>>,
    },
    Adjusted {
        team: id::Team,
        txn: Txn,
        committed: bool,
    },
    Stop,
    Dump(flume::Sender<Value>),
    Explain {
        request: id::Request,
        reply: flume::Sender<Option<Value>>,
    },
}

/// What a team's part of its limit is worked out from.
#[derive(Debug)]
pub struct Adjustment {
    pub team: id::Team,
    pub key: String,
    pub row: Option<Row>,
    pub limit: Rate,
    pub demand: Demand,
    pub listed: Vec<id::Instance>,
}
