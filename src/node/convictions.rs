//! The thread that keeps strikes, convictions and the quarantine in the table, and learns those of
//! before.

use crate::common::*;
use crate::decide::dispatch;
use crate::decide::quarantine::{self, Write};
use crate::decide::suspect::Fingerprint;
use crate::node::duty;
use crate::node::entry::Entry;
use crate::node::input::Input;
use crate::wire::generated::Verdicts;
use crate::world::table::{Commit, Failure, Put, Txn};

/// Prefix of the rows; the rest of a key is the fingerprint in hex.
const PREFIX: &str = "verdict/";
/// Prefix of the quarantine's rows; the rest of a key is the hash of the parts in hex.
const QUARANTINE_PREFIX: &str = "quarantine/";
const RETRY: Duration = Duration::from_millis(500);
/// Interval between reads of the quarantine, by which an entry that missed a peer's report learns of
/// it.
const REREAD_INTERVAL: Duration = Duration::from_mins(1);

/// What is kept in the table.
#[derive(Debug)]
pub enum Record {
    Verdicts(Verdicts),
    Quarantine(Write),
}

/// Starts the thread.
pub fn start(entry: &Arc<Entry>, records: flume::Receiver<Record>) {
    let entry = Arc::clone(entry);
    duty::start("convictions", move || {
        while learn(&entry).is_err() {
            std::thread::sleep(RETRY);
        }
        loop {
            match records.recv_timeout(REREAD_INTERVAL) {
                Ok(Record::Verdicts(verdicts)) => keep(&entry, &verdicts),
                Ok(Record::Quarantine(write)) => keep_quarantine(&entry, write),
                Err(flume::RecvTimeoutError::Timeout) => {
                    if let Err(failure) = learn_quarantine(&entry) {
                        log::info!("reading the quarantine failed: {failure:?}");
                    }
                }
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
        }
    });
}

fn learn(entry: &Entry) -> Result<(), Failure> {
    let rows = entry.node.store.scan(PREFIX, "")?;
    let mut verdicts = dispatch::Verdicts::default();
    for row in rows {
        let number = row
            .key
            .strip_prefix(PREFIX)
            .and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let Some(print) = number.map(Fingerprint) else {
            continue;
        };
        let is_convicted = row.value["convicted"].as_bool().unwrap_or(false);
        let list = if is_convicted {
            &mut verdicts.convicted
        } else {
            &mut verdicts.struck
        };
        list.push(print);
    }
    entry.tell(Input::Verdicts(verdicts));
    learn_quarantine(entry)
}

fn learn_quarantine(entry: &Entry) -> Result<(), Failure> {
    let rows = entry.node.store.scan(QUARANTINE_PREFIX, "")?;
    let rows = rows.into_iter().filter_map(|row| {
        let decoded = quarantine::Row::deserialize(&row.value);
        let decoded = decoded
            .inspect_err(|error| log::error!("row {} is invalid: {error}; remove it", row.key));
        decoded.ok().map(|row| (row.parts, row.crashes))
    });
    entry.tell(Input::Quarantine(rows.collect()));
    Ok(())
}

fn keep_quarantine(entry: &Entry, write: Write) {
    let (Write::Insert(parts, _) | Write::Remove(parts)) = &write;
    let key = format!("{QUARANTINE_PREFIX}{:016x}", quarantine::hash(0, parts));
    let txn = match &write {
        Write::Insert(parts, crashes) => {
            let row = quarantine::Row {
                parts: parts.clone(),
                crashes: *crashes,
            };
            Txn::default().put(key, 0, json!(row))
        }
        Write::Remove(_) => Txn::default().remove(key),
    };
    let answer = entry.node.store.commit(&txn);
    entry.node.note_store("quarantine", &answer);
    // A conflict means that another instance has written the same row. After a failure the dispatcher
    // asks for the write again.
    if matches!(answer, Ok(Commit::Done(_) | Commit::Conflict(_))) {
        entry.tell(Input::QuarantineWritten(write));
    }
}

fn keep(entry: &Entry, verdicts: &Verdicts) {
    let struck = verdicts
        .struck
        .iter()
        .map(|print| put(*print, json!({"convicted": false})));
    let convicted = verdicts
        .convicted
        .iter()
        .map(|print| put(*print, json!({"convicted": true})));
    let cleared = verdicts
        .cleared
        .iter()
        .map(|print| put(*print, Value::Null));
    let puts = struck.chain(convicted).chain(cleared);
    let txn = Txn {
        checks: Vec::new(),
        puts: puts.collect(),
    };
    let kept = || {
        let answer = entry.node.store.commit(&txn);
        entry.node.note_store("verdicts", &answer);
        matches!(answer, Ok(Commit::Done(_)))
    };
    while !kept() {
        std::thread::sleep(RETRY);
    }
}

fn put(print: u64, value: Value) -> Put {
    Put {
        key: format!("{PREFIX}{print:016x}"),
        value,
    }
}
