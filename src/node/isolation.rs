//! Leave to run a struck request on a worker where no other struck one runs, from any instance.
//!
//! Two rows are inserted together: one for the worker, one for the fingerprint. They are
//! deleted when the attempt ended; those of a process that is gone may be taken over.

use crate::common::*;
use crate::decide::claim::Attempt;
use crate::decide::member::{Name, Role};
use crate::decide::suspect::Fingerprint;
use crate::node::duty::lock;
use crate::node::entry::Entry;
use crate::world::id;
use crate::world::table::{Commit, Row, Txn};

/// Leave that was given.
#[derive(Debug)]
pub struct Leave {
    keys: [String; 2],
    versions: Vec<u64>,
}

/// Asks for leave; none where another struck request has it, or the store does not answer.
#[must_use]
pub fn take(
    entry: &Entry,
    request: &id::Request,
    worker: &id::Worker,
    print: Fingerprint,
) -> Option<Leave> {
    let keys = [
        format!("isolation/worker/{worker}"),
        format!("isolation/print/{:016x}", print.0),
    ];
    let rows = entry.node.store.read(&keys);
    entry.node.note_store("isolation", &rows);
    let rows = rows.ok()?;
    if rows.iter().flatten().any(|row| !is_abandoned(entry, row)) {
        return None;
    }
    let attempt = Attempt {
        request: request.clone(),
        instance: entry.node.name.instance.clone(),
        incarnation: entry.node.incarnation,
    };
    let version = |at: usize| rows[at].as_ref().map_or(0, |row| row.version);
    let txn = Txn::default()
        .put(keys[0].clone(), version(0), json!(attempt))
        .put(keys[1].clone(), version(1), json!(attempt));
    match entry.claims.commit(txn) {
        Ok(Commit::Done(versions)) => Some(Leave { keys, versions }),
        Ok(Commit::Conflict(_)) | Err(_) => None,
    }
}

fn is_abandoned(entry: &Entry, row: &Row) -> bool {
    let Ok(attempt) = Attempt::deserialize(&row.value) else {
        return true;
    };
    let now = entry.node.now();
    let name = Name {
        instance: attempt.instance,
        role: Role::Entry,
    };
    lock(&entry.node.roster).is_gone(now, &name, attempt.incarnation)
}

/// Gives leave back; tries a few times, and a row that stays is taken over later.
pub fn give_back(entry: &Entry, leave: Leave) {
    const TRIES: u32 = 5;
    let [worker, print] = leave.keys;
    let version = |at: usize| leave.versions.get(at).copied().unwrap_or(0);
    let txn =
        Txn::default()
            .put(worker, version(0), Value::Null)
            .put(print, version(1), Value::Null);
    for _ in 0..TRIES {
        if entry.claims.commit(txn.clone()).is_ok() {
            return;
        }
    }
}
