//! Memory reservations of one worker.
//!
//! The ledger's row in the store lists all memory that the worker uses or may come to use. Each
//! change is committed before the order is sent, on condition of the versions of this row and of
//! the lease's row, so that two processes that both believe they hold the lease, as after a pause
//! of one of them, can't both reserve memory. At most one order is outstanding per worker.
//! Memory counts as free only once the engine's report shows it free and no copy of an earlier
//! order can still arrive.

use crate::common::*;
use crate::world::artifact::Artifact;
use crate::world::unit::{Bytes, Fence, Incarnation};

/// Operation that an order asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Load,
    Unload,
}

/// An order that may have been sent to the engine and may arrive late or more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub fence: Fence,
    pub kind: Kind,
    pub artifact: Artifact,
    pub size: Bytes,
}

impl Order {
    /// Returns the id of the order, which all its copies share.
    #[must_use]
    pub fn id(&self, worker: &str) -> String {
        format!("{worker}-{}", self.fence)
    }
}

/// State of an artifact on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The load was ordered; the engine has not confirmed it.
    Loading,
    /// The engine reported the artifact as resident.
    Resident,
    /// The unload was ordered; the engine has not confirmed it.
    Unloading,
    /// Unloaded, but a copy of an order for it may still arrive.
    Cooling,
    /// No longer reported though no unload was ordered, as after a crash; a copy of an order for it
    /// may still arrive.
    Lost,
}

/// Memory reserved for an artifact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    pub size: Bytes,
    pub state: State,
}

/// Value of the ledger's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Record {
    pub reservations: BTreeMap<Artifact, Reservation>,
    pub outstanding: Option<Order>,
    /// Fencing number of the last order.
    pub fence: Fence,
    /// Incarnation of the engine that sent the last report applied.
    pub incarnation: Incarnation,
}

/// Report of an engine on its memory, its orders and its requests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize, Serialize)]
pub struct Report {
    pub incarnation: Incarnation,
    #[serde(default)]
    pub resident: BTreeMap<Artifact, Bytes>,
    #[serde(default)]
    pub loading: BTreeMap<Artifact, Bytes>,
    #[serde(default)]
    pub unloading: BTreeMap<Artifact, Bytes>,
    #[serde(default)]
    /// Ids of the orders that the engine has carried out.
    pub done: Vec<String>,
    #[serde(default)]
    /// Number of requests that the engine runs.
    pub active: u32,
    #[serde(default)]
    /// Number of requests that wait at the engine.
    pub queued: u32,
    #[serde(default)]
    pub leaving: bool,
    /// Version of the engine's software. Engines that state none have the empty one in common.
    #[serde(default)]
    pub software: CompactString,
}

impl Report {
    /// Returns whether an artifact is resident, loading or unloading.
    #[must_use]
    pub fn holds(&self, artifact: &Artifact) -> bool {
        let groups = [&self.resident, &self.loading, &self.unloading];
        groups.iter().any(|group| group.contains_key(artifact))
    }
}

/// Properties of the worker's engine.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    pub memory: Bytes,
    pub checks_fences: bool,
    /// Upper bound on the time from sending an order until it shows in a report.
    pub order_delay: Duration,
}

/// One worker's ledger, as held by the process that orders its loads and unloads.
#[derive(Debug, Clone)]
pub struct Ledger {
    worker: String,
    engine: Engine,
    record: Record,
    /// Last time at which a copy of an order for each artifact may have been sent, as far as this
    /// process knows.
    last_sent_at: BTreeMap<Artifact, Duration>,
}

impl Ledger {
    /// Takes over a stored record; orders for every artifact in it may still be in transit.
    #[must_use]
    pub fn new(worker: &str, engine: Engine, record: Record, now: Duration) -> Self {
        let last_sent_at = record
            .reservations
            .keys()
            .map(|artifact| (artifact.clone(), now))
            .collect();
        Self {
            worker: worker.into(),
            engine,
            record,
            last_sent_at,
        }
    }

    /// Returns the record last committed or read.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the memory that artifacts use or may come to use.
    #[must_use]
    pub fn reserved_memory(&self) -> Bytes {
        let sizes = self
            .record
            .reservations
            .values()
            .map(|reservation| reservation.size);
        sizes.fold(Bytes(0), Bytes::plus)
    }

    /// Returns the memory that is not reserved.
    #[must_use]
    pub fn free_memory(&self) -> Bytes {
        self.engine.memory.minus(self.reserved_memory())
    }

    /// Returns whether a load may be ordered now.
    #[must_use]
    pub fn can_load(&self, artifact: &Artifact, size: Bytes) -> bool {
        let known = self.record.reservations.contains_key(artifact);
        self.record.outstanding.is_none() && !known && size <= self.free_memory()
    }

    /// Returns whether an unload may be ordered now.
    ///
    /// An engine that does not check fences would accept a late copy of the load order while it
    /// unloads, and hold the artifact twice. For these engines the unload waits until no copy can
    /// arrive any more.
    #[must_use]
    pub fn can_unload(&self, now: Duration, artifact: &Artifact) -> bool {
        let reservation = self.record.reservations.get(artifact);
        let resident = reservation.is_some_and(|found| found.state == State::Resident);
        let is_safe = self.engine.checks_fences || self.have_copies_arrived(now, artifact);
        self.record.outstanding.is_none() && resident && is_safe
    }

    /// Returns the record to commit before a load, or `None` if the load may not be ordered now.
    #[must_use]
    pub fn record_with_load(&self, artifact: &Artifact, size: Bytes) -> Option<Record> {
        if !self.can_load(artifact, size) {
            return None;
        }
        let mut record = self.record_with_order(Kind::Load, artifact, size);
        let reservation = Reservation {
            size,
            state: State::Loading,
        };
        record.reservations.insert(artifact.clone(), reservation);
        Some(record)
    }

    /// Returns the record to commit before an unload, or `None` if it may not be ordered now.
    #[must_use]
    pub fn record_with_unload(&self, now: Duration, artifact: &Artifact) -> Option<Record> {
        if !self.can_unload(now, artifact) {
            return None;
        }
        let size = self.record.reservations.get(artifact)?.size;
        let mut record = self.record_with_order(Kind::Unload, artifact, size);
        record.reservations.get_mut(artifact)?.state = State::Unloading;
        Some(record)
    }

    fn record_with_order(&self, kind: Kind, artifact: &Artifact, size: Bytes) -> Record {
        let mut record = self.record.clone();
        record.fence = Fence(record.fence.0 + 1);
        let order = Order {
            fence: record.fence,
            kind,
            artifact: artifact.clone(),
            size,
        };
        record.outstanding = Some(order);
        record
    }

    /// Replaces the record after the commit of a new one.
    pub fn on_committed(&mut self, now: Duration, record: Record) {
        self.last_sent_at
            .retain(|artifact, _| record.reservations.contains_key(artifact));
        for artifact in record.reservations.keys() {
            self.last_sent_at.entry(artifact.clone()).or_insert(now);
        }
        self.record = record;
    }

    /// Returns the outstanding order and records that a copy of it is about to be sent.
    pub fn on_send(&mut self, now: Duration) -> Option<Order> {
        let order = self.record.outstanding.clone()?;
        self.last_sent_at.insert(order.artifact.clone(), now);
        Some(order)
    }

    /// Returns the record to commit after an engine's report, or `None` if nothing changed.
    ///
    /// The report must have been requested after the last copy of an order was sent.
    #[must_use]
    pub fn on_report(&self, now: Duration, report: &Report) -> Option<Record> {
        let mut record = self.record.clone();
        self.confirm_order(&mut record, report);
        record.incarnation = report.incarnation;
        self.reconcile(&mut record, now, report);
        adopt_unordered(&mut record, report);
        (record != self.record).then_some(record)
    }

    /// Clears the outstanding order if the report shows that the engine has carried it out.
    fn confirm_order(&self, record: &mut Record, report: &Report) {
        let Some(order) = record.outstanding.clone() else {
            return;
        };
        if !report.done.contains(&order.id(&self.worker)) {
            return;
        }
        let is_done = match order.kind {
            Kind::Load => report.resident.contains_key(&order.artifact),
            Kind::Unload => !report.holds(&order.artifact),
        };
        if !is_done {
            return;
        }
        record.outstanding = None;
        if let Some(reservation) = record.reservations.get_mut(&order.artifact) {
            reservation.state = match order.kind {
                Kind::Load => State::Resident,
                Kind::Unload => State::Cooling,
            };
        }
    }

    /// Returns whether every copy of an artifact's orders has arrived. A fence does not prove it,
    /// because an engine that restarts forgets the highest fence that it has seen.
    fn have_copies_arrived(&self, now: Duration, artifact: &Artifact) -> bool {
        let last_sent_at = self.last_sent_at.get(artifact).copied().unwrap_or(now);
        now > last_sent_at + self.engine.order_delay
    }

    /// Updates the reservations that no outstanding order concerns to match a report, and releases
    /// the memory of those that are unloaded or lost once no copy of an order can arrive.
    fn reconcile(&self, record: &mut Record, now: Duration, report: &Report) {
        let outstanding = record
            .outstanding
            .as_ref()
            .map(|order| order.artifact.clone());
        record.reservations.retain(|artifact, reservation| {
            if outstanding.as_ref() == Some(artifact) {
                return true;
            }
            let is_held = report.holds(artifact);
            let has_arrived = self.have_copies_arrived(now, artifact);
            match (reservation.state, is_held) {
                (State::Resident, false) => reservation.state = State::Lost,
                (State::Cooling | State::Lost, true) if has_arrived => {
                    reservation.state = State::Resident;
                }
                (State::Cooling | State::Lost, false) => return !has_arrived,
                _ => {}
            }
            true
        });
    }
}

/// Adds reservations for resident artifacts that the record does not list.
fn adopt_unordered(record: &mut Record, report: &Report) {
    for (artifact, size) in &report.resident {
        let reservation = Reservation {
            size: *size,
            state: State::Resident,
        };
        record
            .reservations
            .entry(artifact.clone())
            .or_insert(reservation);
    }
}
