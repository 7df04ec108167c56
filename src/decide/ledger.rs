//! Memory of one worker, reserved before it is used.
//!
//! The ledger's row lists every byte that the worker holds or may come to hold. Each change is
//! committed on condition of the row's version, and of the lease's row, before an order leaves:
//! two processes that believe in the lease, one of them paused, can't both reserve memory. At most one order is
//! outstanding for each worker. Memory counts as free only when the engine's report shows it
//! free and no copy of an earlier order can still arrive.

use crate::common::*;
use crate::world::artifact::Artifact;
use crate::world::unit::{Bytes, Fence, Incarnation};

/// What an order asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Load,
    Unload,
}

/// An order that may be on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub fence: Fence,
    pub kind: Kind,
    pub artifact: Artifact,
    pub size: Bytes,
}

impl Order {
    /// Name of the order, equal for all its copies.
    #[must_use]
    pub fn id(&self, worker: &str) -> String {
        format!("{worker}-{}", self.fence)
    }
}

/// How far an artifact has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Ordered; the engine has not confirmed it.
    Loading,
    /// Confirmed by the engine.
    Resident,
    /// Its unloading was ordered.
    Unloading,
    /// Unloaded, but a copy of its order may still arrive.
    Cooling,
    /// Gone without an order, as after a crash; a copy of its order may still arrive.
    Lost,
}

/// Memory reserved for an artifact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    pub size: Bytes,
    pub state: State,
}

/// Value of a ledger's row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Record {
    pub reservations: BTreeMap<Artifact, Reservation>,
    pub outstanding: Option<Order>,
    /// Number of the last order.
    pub fence: Fence,
    /// Engine start that the resident entries were seen in.
    pub incarnation: Incarnation,
}

/// What an engine reports about its memory.
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
    pub done: Vec<String>,
    #[serde(default)]
    pub active: u32,
    #[serde(default)]
    pub queued: u32,
    #[serde(default)]
    pub leaving: bool,
}

impl Report {
    /// Whether any memory is taken by an artifact.
    #[must_use]
    pub fn holds(&self, artifact: &Artifact) -> bool {
        let groups = [&self.resident, &self.loading, &self.unloading];
        groups.iter().any(|group| group.contains_key(artifact))
    }
}

/// What the engine is like.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    pub memory: Bytes,
    pub checks_fences: bool,
    /// Longest time that a sent order may take to arrive and to show in a report.
    pub order_delay: Duration,
}

/// One worker's ledger as its keeper sees it.
#[derive(Debug, Clone)]
pub struct Ledger {
    worker: String,
    engine: Engine,
    record: Record,
    /// Last time at which this keeper knows that a copy of an order may have been sent.
    last_sent_at: BTreeMap<Artifact, Duration>,
}

impl Ledger {
    /// Takes over a book: every order in it may still be on its way.
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

    /// The book as it stands.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.record
    }

    /// Bytes that are held or may come to be held.
    #[must_use]
    pub fn reserved_memory(&self) -> Bytes {
        let sizes = self
            .record
            .reservations
            .values()
            .map(|reservation| reservation.size);
        sizes.fold(Bytes(0), Bytes::plus)
    }

    /// Bytes that nobody has reserved.
    #[must_use]
    pub fn free_memory(&self) -> Bytes {
        self.engine.memory.minus(self.reserved_memory())
    }

    /// Whether a load may be ordered now.
    #[must_use]
    pub fn can_load(&self, artifact: &Artifact, size: Bytes) -> bool {
        let known = self.record.reservations.contains_key(artifact);
        self.record.outstanding.is_none() && !known && size <= self.free_memory()
    }

    /// Whether an unload may be ordered now.
    ///
    /// An engine that ignores fences would take a late copy of the load while it unloads, and
    /// hold the artifact twice: there the unload waits until no copy can arrive.
    #[must_use]
    pub fn can_unload(&self, now: Duration, artifact: &Artifact) -> bool {
        let reservation = self.record.reservations.get(artifact);
        let resident = reservation.is_some_and(|found| found.state == State::Resident);
        let is_safe = self.engine.checks_fences || self.have_copies_arrived(now, artifact);
        self.record.outstanding.is_none() && resident && is_safe
    }

    /// Book with a load reserved, or none where it may not be ordered now.
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

    /// Book with an unload begun, or none where it may not be ordered now.
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

    /// Replaces the book after its commit.
    pub fn on_committed(&mut self, now: Duration, record: Record) {
        self.last_sent_at
            .retain(|artifact, _| record.reservations.contains_key(artifact));
        for artifact in record.reservations.keys() {
            self.last_sent_at.entry(artifact.clone()).or_insert(now);
        }
        self.record = record;
    }

    /// Notes that a copy of the outstanding order is about to leave.
    pub fn on_send(&mut self, now: Duration) -> Option<Order> {
        let order = self.record.outstanding.clone()?;
        self.last_sent_at.insert(order.artifact.clone(), now);
        Some(order)
    }

    /// Book after an engine's report, or none where nothing changed.
    ///
    /// The report must have been asked for after the last copy was sent.
    #[must_use]
    pub fn on_report(&self, now: Duration, report: &Report) -> Option<Record> {
        let mut record = self.record.clone();
        self.confirm_order(&mut record, report);
        record.incarnation = report.incarnation;
        self.reconcile(&mut record, now, report);
        adopt_unordered(&mut record, report);
        (record != self.record).then_some(record)
    }

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

    /// Whether every copy of an artifact's orders has arrived. A fence is no proof of it: an
    /// engine that restarts forgets the highest one that it saw.
    fn have_copies_arrived(&self, now: Duration, artifact: &Artifact) -> bool {
        let last_sent_at = self.last_sent_at.get(artifact).copied().unwrap_or(now);
        now > last_sent_at + self.engine.order_delay
    }

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

/// Enters what the engine holds without an order of this book.
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
