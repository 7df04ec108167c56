//! Quarantine of requests that crash servers: what the traffic thread reports to it, its exchange
//! between instances and its rows in the store.

use super::channel::{self, Channel};
use super::event::QUARANTINE_KEY_PREFIX;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::quarantine::{Entry, Parts, Quarantine, Report, Row, Write, hash};
use crate::platform::rows;
use crate::wire::generated_gossip::{self as wire, Gossip};
use crate::wire::quarantine;
use crate::world::id;
use crate::world::message::PartId;
use crate::world::table::Txn;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Limit on crashes in one datagram.
const MAX_CRASHES_PER_DATAGRAM: usize = 4;
/// Shortest interval at which an instance sends its whole quarantine to peers that have another
/// one.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// A server that is ending may accept a connection before it closes its port; it closes the
/// connection within this time.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// Interval between checks for rows to write.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a connection, and waits for as long as a server that is ending may keep it.
async fn open_lasting(traffic: &Traffic, address: SocketAddr) -> std::io::Result<Channel> {
    let opened = channel::connect_from(traffic.deployment.peers.ip(), address).await?;
    sleep(CLOSE_GRACE).await;
    Ok(opened)
}

impl Traffic {
    /// Records that a connection broke while a server worked on a request; `first_event` is when its
    /// answer began, if it did.
    pub fn on_broken(&self, parts: &[PartId], worker: &id::Worker, first_event: Option<Duration>) {
        let boot = {
            let balance = self.balance.borrow();
            balance.view(worker).map(|view| view.backend.boot)
        };
        let Some(boot) = boot else {
            self.metrics.on_crash_evidence("unknown server", 1);
            return;
        };
        self.metrics.on_crash_evidence("suspected", 1);
        let (now, process) = (self.clock.now(), (worker.clone(), boot));
        self.update_quarantine(|quarantine| {
            quarantine.on_connection_broken(now, parts, &process, first_event);
        });
    }

    /// Finds out whether a server to which a connection broke has ended, by opening another one. It is
    /// kept for later requests if the server accepts it.
    pub fn check_server(self: &Rc<Self>, service: &id::Service, worker: &id::Worker) {
        let Some(address) = self.address(worker) else {
            return;
        };
        if !self.checked_servers.borrow_mut().insert(worker.clone()) {
            return;
        }
        let (traffic, service, worker) = (Rc::clone(self), service.clone(), worker.clone());
        spawn_local(async move {
            let mut opened = open_lasting(&traffic, address).await;
            if opened.as_ref().is_ok_and(Channel::is_closed) {
                opened = open_lasting(&traffic, address).await;
            }
            traffic.checked_servers.borrow_mut().remove(&worker);
            traffic.metrics.connections.inc();
            match opened {
                Ok(channel) if !channel.is_closed() => {
                    traffic.on_connected(&service, &worker);
                    traffic.pool_connection(&service, &worker, channel, None);
                }
                Ok(_closed) => {
                    traffic.on_unreached(&service, &worker);
                    log::info!("server {worker} closes new connections at once");
                }
                Err(error) => {
                    traffic.on_unreached(&service, &worker);
                    log::info!("server {worker} could not be checked: {error}");
                    if error.kind() == ErrorKind::ConnectionRefused {
                        traffic.on_refused(&service, &worker);
                    }
                }
            }
        });
    }

    /// Records that a server ended; the requests that it was running may be the cause.
    pub fn on_ended(&self, worker: &id::Worker) {
        let now = self.clock.now();
        let confirmed = self.quarantine.borrow().suspicion_count(now, worker);
        if confirmed == 0 {
            return;
        }
        self.metrics.on_crash_evidence("confirmed", confirmed);
        let values = json!({"server": worker, "suspects": confirmed});
        self.journal.note("crash", &values);
        self.update_quarantine(|quarantine| quarantine.on_server_ended(now, worker));
    }

    /// Whether a prompt with these parts is refused.
    pub fn is_quarantined(&self, parts: impl FnOnce() -> Vec<PartId>) -> bool {
        let quarantine = self.quarantine.borrow();
        !quarantine.is_empty() && quarantine.is_refused(self.clock.now(), &parts())
    }

    /// Records that a prompt is sent to a server.
    pub fn on_sent(&self, parts: impl FnOnce() -> Vec<PartId>) {
        let mut quarantine = self.quarantine.borrow_mut();
        if !quarantine.is_empty() {
            quarantine.on_sent(self.clock.now(), &parts());
        }
    }

    /// Records that a server answered a prompt.
    pub fn on_answered(&self, parts: impl FnOnce() -> Vec<PartId>) {
        if self.quarantine.borrow().accuses_none() {
            return;
        }
        let now = self.clock.now();
        self.update_quarantine(|quarantine| quarantine.on_answered(now, &parts()));
    }

    /// Applies the rows that were read from the store.
    pub(super) fn on_quarantine_rows(&self, rows: &BTreeMap<Parts, u32>) {
        let now = self.clock.now();
        self.update_quarantine(|quarantine| quarantine.on_rows(now, rows));
    }

    /// Applies a change, logs the entries that it added or dropped, and tells peers.
    pub(super) fn update_quarantine(&self, change: impl FnOnce(&mut Quarantine)) {
        let mut quarantine = self.quarantine.borrow_mut();
        let before: BTreeMap<Parts, Entry> = quarantine.entries().collect();
        change(&mut quarantine);
        let after: BTreeMap<Parts, Entry> = quarantine.entries().collect();
        for (parts, entry) in &after {
            let is_new = !before.contains_key(parts);
            let is_renewed = before
                .get(parts)
                .is_some_and(|known| known.crashes < entry.crashes);
            if is_new || is_renewed {
                let change = if is_new { "added" } else { "renewed" };
                self.log_quarantine_change(change, parts, entry);
            }
        }
        for (parts, entry) in before
            .iter()
            .filter(|(parts, _)| !after.contains_key(*parts))
        {
            self.log_quarantine_change("dropped", parts, entry);
        }
        let entries = i64::try_from(after.len()).unwrap_or(i64::MAX);
        self.metrics.quarantined.set(entries);
        if quarantine.has_news() {
            self.gossip_pending.notify_one();
        }
    }

    fn log_quarantine_change(&self, change: &'static str, parts: &Parts, entry: &Entry) {
        self.metrics.on_quarantine_change(change);
        let age = self.clock.now().saturating_sub(entry.last_crash);
        let values = json!({"change": change, "parts": parts, "crashes": entry.crashes,
            "last_crash_age_ms": age.as_millis(), "stored": entry.is_stored});
        self.journal.note("quarantine", &values);
    }

    /// Applies a peer's report. A peer with other entries is sent those of this instance.
    pub(super) fn on_peer_quarantine(&self, now: Duration, gossip: &Gossip) {
        if let Some(report) = &gossip.quarantine {
            let report = quarantine::decode(now, report);
            self.update_quarantine(|quarantine| quarantine.merge(now, &report));
        }
        let is_same = gossip.quarantine_digest == self.quarantine.borrow().digest();
        if is_same || now < self.quarantine_sent_at.get() + SUMMARY_INTERVAL {
            return;
        }
        if let Ok(peer) = gossip.address.parse() {
            self.quarantine_sent_at.set(now);
            self.peers_with_other_quarantine.borrow_mut().insert(peer);
            self.gossip_pending.notify_one();
        }
    }

    /// Takes the evidence and entries that all peers must receive without delay.
    pub fn take_quarantine_news(&self) -> Vec<wire::Quarantine> {
        let now = self.clock.now();
        let mut news = self.quarantine.borrow_mut().take_news();
        let crashes: Vec<_> = std::mem::take(&mut news.crashes).into_iter().collect();
        let mut datagrams: Vec<wire::Quarantine> = crashes
            .chunks(MAX_CRASHES_PER_DATAGRAM)
            .map(|crashes| {
                let crashes = crashes.iter().cloned().collect();
                let report = Report {
                    crashes,
                    ..Report::default()
                };
                quarantine::encode(now, &report)
            })
            .collect();
        if !news.is_empty() {
            datagrams.push(quarantine::encode(now, &news));
        }
        datagrams
    }

    /// Takes the peers that have other entries, and what to send to them.
    pub fn take_quarantine_summaries(&self) -> Vec<(SocketAddr, wire::Quarantine)> {
        let peers = std::mem::take(&mut *self.peers_with_other_quarantine.borrow_mut());
        if peers.is_empty() {
            return Vec::new();
        }
        let summary = quarantine::encode(self.clock.now(), &self.quarantine.borrow().summary());
        let peers = peers.into_iter();
        peers.map(|peer| (peer, summary.clone())).collect()
    }

    /// Writes a change of the quarantine to the store; returns whether the row is now as it should
    /// be.
    async fn write_quarantine(&self, write: &Write) -> bool {
        let (Write::Insert(parts, _) | Write::Remove(parts)) = write;
        let key = format!("{QUARANTINE_KEY_PREFIX}{:016x}", hash(0, parts));
        let txn = match write {
            Write::Insert(parts, crashes) => {
                let row = json!(Row {
                    parts: parts.clone(),
                    crashes: *crashes,
                });
                Txn::default().put(key, 0, row)
            }
            Write::Remove(_) => Txn::default().remove(key),
        };
        self.commit(txn).await
    }
}

/// Keeps the rows in the store in line with the quarantine.
pub async fn keep_in_store(traffic: Rc<Traffic>) {
    loop {
        sleep(WRITE_CHECK_INTERVAL).await;
        let now = traffic.clock.now();
        let writes = traffic.quarantine.borrow_mut().take_writes(now);
        for write in writes {
            let is_written = traffic.write_quarantine(&write).await;
            let values = json!({"write": format!("{write:?}"), "done": is_written});
            traffic.journal.note("quarantine_row", &values);
            if is_written {
                traffic.update_quarantine(|quarantine| quarantine.on_written(&write));
            }
        }
    }
}

/// Decodes the rows of the quarantine among others; those that can't be decoded are logged and
/// skipped.
pub(super) fn decode_rows(rows: &[rows::Row]) -> BTreeMap<Parts, u32> {
    let rows = rows
        .iter()
        .filter(|row| row.key.starts_with(QUARANTINE_KEY_PREFIX));
    let stored = rows.filter_map(|row| {
        let value = row.value.as_deref()?;
        let stored: Result<Row, _> = serde_json::from_slice(value);
        stored
            .inspect_err(|error| log::error!("row {} is invalid: {error}; remove it", row.key))
            .ok()
    });
    stored
        .map(|stored| (stored.parts, stored.crashes))
        .collect()
}
