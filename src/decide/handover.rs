//! Orders that may still be carried out although the ledger of their worker doesn't know them: those of earlier
//! holders of its shard, and those of ledgers that have ended.
//!
//! While a worker runs, the number of orders that each order expects keeps late ones out. So it matters only
//! whether the worker has restarted meanwhile.

use super::lease::Ordered;
use super::orders::{Ledger, MAX_ORDER_DELAY, Remains};
use crate::common::*;
use crate::world::backend::Backend;
use crate::world::id;
use crate::world::shard::Shard;
use crate::world::unit::Incarnation;

/// Newest start of a worker that this instance has seen.
#[derive(Debug, Clone, Copy)]
struct Start {
    boot: Incarnation,
    /// When it was first seen, if another incarnation of the worker was known before.
    restarted_at: Option<Duration>,
    /// When the worker was last listed or unlisted.
    seen_at: Duration,
}

/// What an instance knows of late orders, for all workers.
#[derive(Debug, Default)]
pub struct Handover {
    /// What remains of the ledgers that ended.
    ended: BTreeMap<id::Worker, Remains>,
    /// Starts of all workers, also of those that were listed until recently.
    starts: BTreeMap<id::Worker, Start>,
    /// Orders that may still be on their way: the incarnations for which they were meant, and until when
    /// they may arrive.
    ordered: BTreeMap<id::Worker, Vec<(Incarnation, Duration)>>,
    /// Time until which orders of earlier holders may arrive, for each shard that this instance holds.
    foreign_until: BTreeMap<Shard, Duration>,
}

impl Handover {
    /// Records a worker's entry in the platform's list.
    pub fn on_listed(&mut self, now: Duration, backend: &Backend) {
        self.record_start(now, &backend.id, backend.boot);
    }

    fn record_start(&mut self, now: Duration, worker: &id::Worker, boot: Incarnation) {
        let start = self.starts.entry(worker.clone()).or_insert(Start {
            boot,
            restarted_at: None,
            seen_at: now,
        });
        if start.boot != boot {
            start.restarted_at = Some(now);
        }
        start.boot = boot;
        start.seen_at = now;
    }

    /// Records that a worker is not listed any more. It may come back under its id.
    pub fn on_unlisted(&mut self, now: Duration, worker: &id::Worker) {
        if let Some(start) = self.starts.get_mut(worker) {
            start.seen_at = now;
        }
    }

    /// Starts holding a shard, for which no other holder acts from `acts_from` on. The holder before stated
    /// which workers it had `ordered`.
    pub fn on_shard_gained(
        &mut self,
        now: Duration,
        acts_from: Duration,
        shard: Shard,
        ordered: &Ordered,
    ) {
        let foreign_until = acts_from + MAX_ORDER_DELAY;
        self.foreign_until.insert(shard, foreign_until);
        for (worker, boot) in ordered {
            self.on_ordered(worker, *boot, foreign_until);
            // The stated incarnation comes before the listed one.
            let listed = self.starts.get(worker).map(|start| start.boot);
            self.record_start(now, worker, *boot);
            if let Some(listed) = listed {
                self.record_start(now, worker, listed);
            }
        }
    }

    /// Stops holding a shard.
    pub fn on_shard_lost(&mut self, shard: Shard) {
        self.foreign_until.remove(&shard);
    }

    /// Records that an order was sent to an incarnation of a worker, which may arrive until `until`.
    pub fn on_ordered(&mut self, worker: &id::Worker, boot: Incarnation, until: Duration) {
        let ordered = self.ordered.entry(worker.clone()).or_default();
        ordered.retain(|(known, _)| *known != boot);
        ordered.push((boot, until));
    }

    /// Returns the workers of a shard to which orders may still be on their way.
    pub fn ordered(&mut self, now: Duration, shard: Shard) -> Ordered {
        self.ordered.retain(|_, orders| {
            orders.retain(|(_, until)| now < *until);
            !orders.is_empty()
        });
        let ordered = self.ordered.iter();
        let ordered = ordered.filter(|(worker, _)| Shard::for_worker(worker) == shard);
        let oldest = ordered.filter_map(|(worker, orders)| {
            let (boot, _) = orders.first()?;
            Some((worker.clone(), *boot))
        });
        oldest.collect()
    }

    /// Keeps what a ledger knew for a later one of its worker.
    pub fn on_ledger_ended(&mut self, now: Duration, ledger: Ledger) {
        let worker = ledger.backend.id.clone();
        self.ended.insert(worker, ledger.end(now));
    }

    /// Creates a worker's ledger, which requests a report from `may_order_from` on.
    pub fn start_ledger(
        &mut self,
        now: Duration,
        may_order_from: Duration,
        backend: &Backend,
    ) -> Ledger {
        let shard = Shard::for_worker(&backend.id);
        let foreign_until = self.foreign_until.get(&shard).copied().unwrap_or_default();
        let start = self.starts.get(&backend.id);
        let restarted_at = start.and_then(|start| start.restarted_at);
        let has_restarted = restarted_at.is_some_and(|at| now < at + MAX_ORDER_DELAY);
        let ledger =
            Ledger::new(may_order_from, backend.clone()).after_others(foreign_until, has_restarted);
        match self.ended.remove(&backend.id) {
            Some(remains) => ledger.resume(remains),
            None => ledger,
        }
    }

    /// Forgets workers that were unlisted so long ago that no order to them can arrive any more.
    pub fn forget_unlisted(&mut self, now: Duration, is_listed: impl Fn(&id::Worker) -> bool) {
        let is_known =
            |worker: &id::Worker, at: Duration| is_listed(worker) || now < at + MAX_ORDER_DELAY;
        self.ended
            .retain(|worker, remains| is_known(worker, remains.ended_at));
        self.starts
            .retain(|worker, start| is_known(worker, start.seen_at));
    }
}
