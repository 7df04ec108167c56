//! Conversion between the announcements of lease holders and the planner and gossip messages.

use crate::common::*;
use crate::decide::orders::Ledger;
use crate::decide::planner;
use crate::decide::snapshot::Snapshot;
use crate::wire::generated_gossip::{Held, Holding, Job};
use crate::world::id;
use crate::world::unit::{Fence, Incarnation};

pub(crate) fn encode_holding(worker: &id::Worker, ledger: &Ledger, fence: Fence) -> Holding {
    let held = ledger.holdings().iter().map(|(model, adapters)| Held {
        model: model.to_string(),
        adapters: adapters.iter().map(ToString::to_string).collect(),
    });
    let closing = ledger.closing();
    let coming = ledger.models();
    let coming = coming
        .iter()
        .filter(|model| !ledger.holdings().contains_key(*model));
    Holding {
        worker: worker.to_string(),
        boot: ledger.backend.boot.0,
        fence: fence.0,
        revision: ledger.revision,
        held: held.collect(),
        closing: closing.iter().map(ToString::to_string).collect(),
        coming: coming.map(ToString::to_string).collect(),
        open: ledger.accepts_job(),
        from_store: ledger.loads_from_store(),
    }
}

/// Decodes what a holder announced about a worker; `start` is the number of starts of its process that this
/// instance has seen.
pub(crate) fn decode_holding(holding: &Holding, start: u64) -> Option<(id::Worker, Snapshot)> {
    let held = holding.held.iter().filter_map(|held| {
        Some((
            held.model.parse().ok()?,
            parse_all(&held.adapters).collect(),
        ))
    });
    let reported = Snapshot {
        boot: Incarnation(holding.boot),
        fence: Fence(holding.fence),
        start,
        revision: holding.revision,
        holdings: held.collect(),
        closing: parse_all(&holding.closing).collect(),
        coming: parse_all(&holding.coming).collect(),
        assignable: holding.open,
        from_store: holding.from_store,
    };
    Some((holding.worker.parse().ok()?, reported))
}

fn parse_all<T: FromStr>(texts: &[String]) -> impl Iterator<Item = T> {
    texts.iter().filter_map(|text| text.parse().ok())
}

pub(crate) fn encode_job(job: &planner::Job) -> Job {
    Job {
        worker: job.worker.to_string(),
        load: job.load.to_string(),
        evict: job.evict.iter().map(ToString::to_string).collect(),
        from_store: job.from_store,
    }
}

pub(crate) fn decode_job(job: &Job) -> Option<planner::Job> {
    Some(planner::Job {
        worker: job.worker.parse().ok()?,
        load: job.load.parse().ok()?,
        evict: parse_all(&job.evict).collect(),
        from_store: job.from_store,
    })
}
