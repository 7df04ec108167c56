//! Notices that servers give in responses (departure, Retry-After, rate limit), their exchange
//! between instances, and departures in the store.

use super::event::{LEAVING_KEY_PREFIX, PlacerEvent};
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::notice::{Process, Write};
use crate::decide::roster::Change;
use crate::platform::rows;
use crate::wire::generated_gossip::{Limit, Start};
use crate::world::id;
use crate::world::message::{MaxRejections, Notice};
use crate::world::table::Txn;
use crate::world::unit::{Incarnation, Rate};
use std::rc::Rc;
use tokio::time::sleep;

/// Interval between checks for rows to write.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Traffic {
    /// Applies the notice in a server's response.
    pub fn on_notice(&self, worker: &id::Worker, boot: Incarnation, notice: Notice) {
        if notice.leaves {
            self.on_leaving(worker, boot, "answer");
        }
        if let Some(requested) = notice.rest {
            let now = self.clock.now();
            let until = self
                .balance
                .borrow_mut()
                .on_rest(now, worker, boot, requested);
            self.metrics.on_rest("taken");
            let rest_ms = until.saturating_sub(now).as_millis();
            let values =
                json!({"server": worker, "asked_ms": requested.as_millis(), "rest_ms": rest_ms});
            self.journal.note("rest", &values);
            self.notify_placer(PlacerEvent::Throttled(worker.clone(), boot, until));
        }
        if notice.is_rest_unclear {
            self.metrics.on_rest("unclear");
            let values = json!({"server": worker, "error": "its Retry-After is no time"});
            self.journal.note("bad_rest", &values);
        }
        if notice.limit.is_some() {
            self.on_limit(worker, boot, notice.limit);
        }
        if notice.is_limit_unclear {
            self.metrics.on_limit("unclear");
            let values = json!({"server": worker, "error": "its limit is no rate"});
            self.journal.note("bad_limit", &values);
        }
    }

    /// Applies the rate limit that a response stated, or its absence.
    pub(super) fn on_limit(&self, worker: &id::Worker, boot: Incarnation, rate: Option<Rate>) {
        let now = self.clock.now();
        let mut balance = self.balance.borrow_mut();
        let change = balance.limits_mut().on_answer(now, worker, boot, rate);
        drop(balance);
        if change.is_significant {
            self.log_limit(worker, boot, rate, "answer");
        }
        if change.needs_announcement {
            self.notify_placer(PlacerEvent::Limit(now, worker.clone(), boot, rate));
            let limit = Limit {
                worker: worker.to_string(),
                boot: boot.0,
                rate: rate.map(|rate| rate.0),
            };
            self.new_limits.borrow_mut().push(limit);
            self.gossip_pending.notify_one();
        }
    }

    /// Applies the number of rejections that a server said it bears, or its absence.
    pub(super) fn on_max_rejections(
        &self,
        service: &id::Service,
        worker: &id::Worker,
        notice: Notice,
    ) {
        let now = self.clock.now();
        let bound = match notice.max_rejections {
            MaxRejections::Unstated => None,
            MaxRejections::Stated(bound) => Some(bound),
            MaxRejections::Unclear => {
                self.metrics.on_limit("unclear");
                let error = "its bound on rejections is no number";
                let values = json!({"server": worker, "error": error});
                self.journal.note("bad_limit", &values);
                return;
            }
        };
        let mut balance = self.balance.borrow_mut();
        let has_changed = balance.on_max_rejections(now, service, bound);
        drop(balance);
        if has_changed {
            self.metrics.on_limit("rejections");
            let values = json!({"service": service, "server": worker, "bound": bound});
            self.journal.note("brittle", &values);
        }
    }

    /// Applies rate limits reported by a peer.
    pub(super) fn on_peer_limits(&self, reports: &[Limit]) {
        let now = self.clock.now();
        for limit in reports {
            let Ok(worker) = limit.worker.parse() else {
                continue;
            };
            let (boot, rate) = (Incarnation(limit.boot), limit.rate.map(Rate));
            let mut balance = self.balance.borrow_mut();
            let is_change = balance.limits_mut().on_gossip(now, &worker, boot, rate);
            drop(balance);
            self.notify_placer(PlacerEvent::Limit(now, worker.clone(), boot, rate));
            if is_change {
                self.log_limit(&worker, boot, rate, "peer");
            }
        }
    }

    fn log_limit(&self, worker: &id::Worker, boot: Incarnation, rate: Option<Rate>, source: &str) {
        let outcome = if rate.is_some() { "named" } else { "lifted" };
        self.metrics.on_limit(outcome);
        let values = json!({"server": worker, "boot": boot, "rate": rate, "source": source});
        self.journal.note("limit", &values);
    }

    /// Takes the rate limits to send to peers.
    pub(super) fn take_new_limits(&self) -> Vec<Limit> {
        std::mem::take(&mut *self.new_limits.borrow_mut())
    }

    /// Applies departures of servers reported by a peer.
    pub(super) fn on_peer_leaving(&self, reports: &[Start]) {
        for start in reports {
            if let Ok(worker) = start.worker.parse() {
                self.on_leaving(&worker, Incarnation(start.boot), "peer");
            }
        }
    }

    fn on_leaving(&self, worker: &id::Worker, boot: Incarnation, source: &str) {
        let now = self.clock.now();
        if !self.balance.borrow_mut().on_leaving(now, worker, boot) {
            return;
        }
        let values = json!({"server": worker, "boot": boot, "source": source});
        self.journal.note("leaving", &values);
        self.pool.close(worker);
        let balance = self.balance.borrow();
        if let Some(backend) = balance.view(worker).map(|view| &view.backend)
            && backend.boot == boot
        {
            self.notify_placer(PlacerEvent::Server(Change::Listed(backend.clone())));
        }
        self.has_newly_leaving.set(true);
        self.gossip_pending.notify_one();
    }

    /// Returns the servers whose departure must be announced to peers.
    pub(super) fn leaving(&self) -> Vec<Start> {
        let balance = self.balance.borrow();
        let leaving = balance.notices().to_announce(self.clock.now());
        let starts = leaving.map(|(worker, boot)| Start {
            worker: worker.to_string(),
            boot: boot.0,
        });
        starts.collect()
    }

    /// Applies the rows of leaving servers that were read from the store.
    pub(super) fn on_leaving_rows(&self, rows: &BTreeSet<Process>) {
        for (worker, boot) in rows {
            self.on_leaving(worker, *boot, "store");
        }
        let now = self.clock.now();
        let mut balance = self.balance.borrow_mut();
        balance.notices_mut().on_rows(now, rows);
    }

    async fn write_leaving(&self, write: &Write) -> bool {
        let (Write::Insert((worker, boot)) | Write::Remove((worker, boot))) = write;
        let key = format!("{LEAVING_KEY_PREFIX}{worker}");
        self.commit(match write {
            Write::Insert(_) => {
                let row = json!(Row {
                    worker: worker.clone(),
                    boot: *boot,
                });
                Txn::write(key, row)
            }
            Write::Remove(_) => Txn::default().remove(key),
        })
        .await
    }
}

/// A leaving server as it is kept in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    worker: id::Worker,
    boot: Incarnation,
}

/// Keeps departures that the platform's list does not show in the store, if this instance follows the
/// list.
pub async fn keep_in_store(traffic: Rc<Traffic>) {
    loop {
        sleep(WRITE_CHECK_INTERVAL).await;
        let now = traffic.clock.now();
        if !traffic.should_follow_servers(now) {
            continue;
        }
        let writes = {
            let mut balance = traffic.balance.borrow_mut();
            balance.notices_mut().take_writes(now, traffic.spread)
        };
        for write in writes {
            let is_written = traffic.write_leaving(&write).await;
            let values = json!({"write": format!("{write:?}"), "done": is_written});
            traffic.journal.note("leaving_row", &values);
            if is_written {
                let mut balance = traffic.balance.borrow_mut();
                balance.notices_mut().on_written(&write);
            }
        }
    }
}

/// Decodes the rows of leaving servers among others; those that can't be decoded are logged and
/// skipped.
pub(super) fn decode_rows(rows: &[rows::Row]) -> BTreeSet<Process> {
    let rows = rows
        .iter()
        .filter(|row| row.key.starts_with(LEAVING_KEY_PREFIX));
    let stored = rows.filter_map(|row| {
        let stored: Result<Row, _> = serde_json::from_slice(row.value.as_deref()?);
        let stored = stored
            .inspect_err(|error| log::error!("row {} is invalid: {error}; remove it", row.key));
        stored.ok().map(|stored| (stored.worker, stored.boot))
    });
    stored.collect()
}
