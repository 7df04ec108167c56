//! The threads that write claims: many at a time in one transaction.
//!
//! What arrives within a few milliseconds is committed together. Where one row is at another
//! version, only that write fails and the others are sent again. Outcomes that could not be
//! written at once are written here until they hold.

use crate::common::*;
use crate::decide::claim::Claim;
use crate::node::duty;
use crate::node::node::Node;
use crate::world::table::{Commit, Failure, Txn};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Writes that wait.
const RING: usize = 4096;
/// Writes in one transaction.
const BATCH: usize = 64;
/// Time in which writes are gathered.
const GATHER: Duration = Duration::from_millis(2);
/// Transactions under way at one time.
const WRITERS: usize = 4;
const RETRY: Duration = Duration::from_millis(200);

type Answer = Result<Commit, Failure>;

#[derive(Debug)]
struct Pending {
    txn: Txn,
    reply: flume::Sender<Answer>,
}

/// Writes claims in groups.
#[derive(Debug)]
pub struct Claims {
    node: Arc<Node>,
    ring: flume::Sender<Pending>,
    settling: flume::Sender<Claim>,
    unsettled: Arc<AtomicUsize>,
}

impl Claims {
    /// Starts the threads.
    #[must_use]
    pub fn start(node: &Arc<Node>) -> Arc<Self> {
        let (ring, waiting) = flume::bounded(RING);
        for _ in 0..WRITERS {
            let (node, waiting) = (Arc::clone(node), waiting.clone());
            duty::start("claims", move || write(&node, &waiting));
        }
        let (settling, unsettled_claims) = flume::bounded(RING);
        let claims = Self {
            node: Arc::clone(node),
            ring,
            settling,
            unsettled: Arc::default(),
        };
        let claims = Arc::new(claims);
        let settler = Arc::clone(&claims);
        duty::start("claims", move || {
            unsettled_claims
                .iter()
                .for_each(|claim| settler.settle_late(claim));
        });
        claims
    }

    /// Commits a transaction together with others.
    ///
    /// # Errors
    /// As the table service's commit.
    pub fn commit(&self, txn: Txn) -> Answer {
        let (reply, answer) = flume::bounded(1);
        self.ring
            .try_send(Pending { txn, reply })
            .map_err(|_| Failure::Refused)?;
        answer.recv().unwrap_or(Err(Failure::Lost))
    }

    /// Writes an outcome, now if it can be done in one go, else in the background.
    pub fn settle(&self, mut claim: Claim) {
        match self.commit(claim.outcome_txn()) {
            Ok(Commit::Done(_)) => {}
            Ok(Commit::Conflict(_)) | Err(_) if self.read_settled(&mut claim) => {}
            Ok(Commit::Conflict(_)) | Err(_) => self.settle_in_background(claim),
        }
    }

    fn settle_in_background(&self, claim: Claim) {
        self.unsettled.fetch_add(1, Ordering::SeqCst);
        if self.settling.try_send(claim).is_err() {
            self.unsettled.fetch_sub(1, Ordering::SeqCst);
            log::error!("too many outcomes wait to be written; one is lost and stays unknown");
        }
    }

    fn settle_late(&self, mut claim: Claim) {
        while !self.read_settled(&mut claim) {
            let settled = self.commit(claim.outcome_txn());
            if matches!(settled, Ok(Commit::Done(_))) {
                break;
            }
            std::thread::sleep(RETRY);
        }
        self.unsettled.fetch_sub(1, Ordering::SeqCst);
    }

    /// Learns the row's version; true when there is nothing left to write.
    fn read_settled(&self, claim: &mut Claim) -> bool {
        let row = self.node.store.read_one(claim.key());
        self.node.note_store("claim_read", &row);
        row.is_ok_and(|row| claim.on_outcome_read(row.as_ref()))
    }

    /// Outcomes that are not written yet.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::SeqCst)
    }
}

fn write(node: &Node, waiting: &flume::Receiver<Pending>) {
    while let Ok(first) = waiting.recv() {
        let mut group = vec![first];
        let until = std::time::Instant::now() + GATHER;
        while group.len() < BATCH {
            match waiting.recv_deadline(until) {
                Ok(next) => group.push(next),
                Err(_) => break,
            }
        }
        while !group.is_empty() {
            group = commit_group(node, group);
        }
    }
}

/// Commits a group; returns those that have to be sent again.
fn commit_group(node: &Node, group: Vec<Pending>) -> Vec<Pending> {
    let (now, later) = split(group);
    let mut merged = Txn::default();
    for pending in &now {
        merged.checks.extend(pending.txn.checks.iter().cloned());
        merged.puts.extend(pending.txn.puts.iter().cloned());
    }
    let answer = node.store.commit(&merged);
    node.note_store("claims", &answer);
    let mut again = match answer {
        Ok(Commit::Done(versions)) => {
            distribute(&now, versions);
            Vec::new()
        }
        Ok(Commit::Conflict(keys)) => refuse_conflicts(now, &keys),
        Err(failure) => {
            for pending in &now {
                let _ = pending.reply.send(Err(failure));
            }
            Vec::new()
        }
    };
    again.extend(later);
    again
}

/// Those whose rows are not written by an earlier one of the group, and the rest.
fn split(group: Vec<Pending>) -> (Vec<Pending>, Vec<Pending>) {
    let mut taken = BTreeSet::new();
    group.into_iter().partition(|pending| {
        let keys: Vec<&String> = pending.txn.checks.iter().map(|check| &check.key).collect();
        let free = !keys.iter().any(|key| taken.contains(*key));
        if free {
            taken.extend(keys.into_iter().cloned());
        }
        free
    })
}

fn distribute(group: &[Pending], versions: Vec<u64>) {
    let mut versions = versions.into_iter();
    for pending in group {
        let own = versions.by_ref().take(pending.txn.puts.len()).collect();
        let _ = pending.reply.send(Ok(Commit::Done(own)));
    }
}

fn refuse_conflicts(group: Vec<Pending>, keys: &[String]) -> Vec<Pending> {
    let hit = |pending: &Pending| {
        pending
            .txn
            .checks
            .iter()
            .any(|check| keys.contains(&check.key))
    };
    let (refused, again): (Vec<Pending>, Vec<Pending>) = group.into_iter().partition(hit);
    for pending in &refused {
        let _ = pending.reply.send(Ok(Commit::Conflict(keys.to_vec())));
    }
    if refused.is_empty() {
        // A conflict about rows that nobody asked for is no answer.
        for pending in &again {
            let _ = pending.reply.send(Err(Failure::Lost));
        }
        return Vec::new();
    }
    again
}
