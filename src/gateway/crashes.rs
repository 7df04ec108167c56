//! Records of requests that crash servers, and their exchange between instances.

use super::channel;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::crash::Record;
use crate::decide::suspect::Fingerprint;
use crate::wire::generated_gossip::{Crash, Ended};
use crate::world::id;
use crate::world::message::PartId;
use crate::world::unit::Incarnation;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Limit on records in one datagram.
pub(super) const MAX_CRASHES_PER_DATAGRAM: usize = 200;

impl Traffic {
    /// Whether a request is known to crash the servers that run it.
    pub fn is_convicted(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let crashes = self.crashes.borrow();
        !crashes.is_empty() && crashes.is_quarantined(self.clock.now(), fingerprint())
    }

    /// Records that the connection to a server broke while it ran a request.
    pub fn on_broken(
        &self,
        fingerprint: Fingerprint,
        parts: &[PartId],
        worker: &id::Worker,
        first_event: Option<Duration>,
    ) {
        let balance = self.balance.borrow();
        let Some(view) = balance.view(worker) else {
            self.metrics.on_crash_evidence("unknown server", 1);
            return;
        };
        self.metrics.on_crash_evidence("suspected", 1);
        let start = (worker.clone(), view.backend.boot);
        let now = self.clock.now();
        self.update_quarantine(|quarantine| {
            quarantine.on_connection_broken(now, parts, &start, first_event);
        });
        self.crashes
            .borrow_mut()
            .on_connection_broken(now, fingerprint, start);
    }

    /// Finds out whether a server to which a connection broke has ended, by opening another one. It is
    /// kept for later requests if the server accepts it.
    pub fn check_server(self: &Rc<Self>, service: &id::Service, worker: &id::Worker) {
        let is_first = self.checked_servers.borrow_mut().insert(worker.clone());
        let Some(address) = self.address(worker).filter(|_| is_first) else {
            return;
        };
        let (traffic, service, worker) = (Rc::clone(self), service.clone(), worker.clone());
        spawn_local(async move {
            let opened = channel::connect(address).await;
            traffic.checked_servers.borrow_mut().remove(&worker);
            traffic.metrics.connections.inc();
            match opened {
                Ok(channel) => traffic.pool_connection(&service, &worker, channel, None),
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    traffic.on_ended(&worker);
                }
                Err(error) => log::info!("server {worker} could not be checked: {error}"),
            }
        });
    }

    /// Records that a server ended; the requests that it was running may be the cause.
    pub fn on_ended(&self, worker: &id::Worker) {
        let now = self.clock.now();
        self.update_quarantine(|quarantine| quarantine.on_server_ended(now, worker));
        let suspects = self.crashes.borrow_mut().on_server_ended(now, worker);
        if suspects.is_empty() {
            return;
        }
        let count = u64::try_from(suspects.len()).unwrap_or(u64::MAX);
        self.metrics.on_crash_evidence("confirmed", count);
        let convicted = suspects
            .iter()
            .filter(|print| self.is_convicted(|| **print));
        let convicted: Vec<&Fingerprint> = convicted.collect();
        let values = json!({"server": worker, "struck": suspects.len(), "convicted": convicted});
        self.journal.note("crash", &values);
        self.queue_updates(suspects);
    }

    /// Records that a request succeeded, which clears it of suspicion.
    pub fn on_success(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if self.crashes.borrow().is_empty() {
            return;
        }
        let fingerprint = fingerprint();
        if self.crashes.borrow_mut().on_success(fingerprint) {
            self.queue_updates(vec![fingerprint]);
        }
    }

    fn queue_updates(&self, fingerprints: Vec<Fingerprint>) {
        self.new_crashes.borrow_mut().extend(fingerprints);
        self.gossip_pending.notify_one();
    }

    /// Takes the records that peers must receive without delay.
    pub fn take_crash_updates(&self) -> Vec<Crash> {
        let now = self.clock.now();
        let queued = std::mem::take(&mut *self.new_crashes.borrow_mut());
        let crashes = self.crashes.borrow();
        let reports = crashes.records();
        let reports = reports.filter(|(fingerprint, _)| queued.contains(fingerprint));
        reports
            .map(|(fingerprint, record)| encode(now, fingerprint, record))
            .collect()
    }

    /// Applies the records that a peer sent.
    pub(super) fn on_crashes(&self, now: Duration, reports: &[Crash]) {
        let mut crashes = self.crashes.borrow_mut();
        for crash in reports {
            crashes.merge(now, Fingerprint(crash.fingerprint), decode(now, crash));
        }
    }
}

fn encode(now: Duration, fingerprint: Fingerprint, record: &Record) -> Crash {
    let ended = record
        .crashed_servers
        .iter()
        .map(|((worker, boot), at)| Ended {
            worker: worker.to_string(),
            boot: boot.0,
            age_ms: u64::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u64::MAX),
        });
    Crash {
        fingerprint: fingerprint.0,
        ended: ended.collect(),
        acquitted: record.cleared,
    }
}

fn decode(now: Duration, crash: &Crash) -> Record {
    let ended = crash.ended.iter().filter_map(|ended| {
        let worker = ended.worker.parse().ok()?;
        let at = now.saturating_sub(Duration::from_millis(ended.age_ms));
        Some(((worker, Incarnation(ended.boot)), at))
    });
    Record {
        crashed_servers: ended.collect(),
        cleared: crash.acquitted,
    }
}
