//! A lease on a row of the table service, without synchronised clocks.
//!
//! The holder counts the term from the time at which it sent its last successful renewal, and stops
//! acting a safety margin before the term ends. Other processes wait until they have observed the
//! row unchanged for a whole term on their own clocks. A paused holder may still believe that it
//! holds the lease, so safety must not depend on the lease alone: the ledger's row versions decide.

use crate::common::*;
use crate::world::id;
use crate::world::table::{Check, Commit, Failure, Row, Txn};
use crate::world::unit::{Fence, Incarnation};

/// Lease term, and the safety margin by which the holder stops acting before its end.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub term: Duration,
    pub margin: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
            margin: Duration::from_millis(500),
        }
    }
}

const RENEWALS_PER_TERM: u32 = 3;

/// Value stored in a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    pub instance: id::Instance,
    pub incarnation: Incarnation,
    /// Increases with every change of holder.
    pub fence: Fence,
    /// Increases with every renewal.
    pub renewals: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// Next step for the lease.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the row, then call [`Lease::on_read`].
    Read,
    /// Commit this, then call [`Lease::on_commit`].
    Commit(Txn),
    /// Nothing to do until the next tick.
    Wait,
}

/// State of the row, as last observed.
#[derive(Debug, Clone, PartialEq)]
struct Observation {
    version: u64,
    /// Time from which the row counts as unchanged.
    since: Duration,
    holder: Option<Holder>,
}

/// One process's view of a lease that it competes for.
#[derive(Debug, Clone)]
pub struct Lease {
    key: String,
    own_entry: Holder,
    timing: Timing,
    observed: Option<Observation>,
    /// Value of the commit whose result is unknown, and when that commit was sent.
    proposed: Option<(Holder, Duration)>,
    /// Time at which the last successful renewal was sent; `None` if the lease is not held.
    held_since: Option<Duration>,
    /// Previous holder and the latest time at which it may have acted, recorded at the last
    /// takeover.
    last_takeover: Option<(id::Instance, Duration)>,
    /// Row version that the holder advertised, and when the advertisement arrived.
    advertised: Option<(u64, Duration)>,
    /// Whether a row of an earlier incarnation of this instance may be taken over without waiting.
    may_reclaim: bool,
    resigned: bool,
}

impl Lease {
    /// Creates a candidate for the lease in row `key`.
    #[must_use]
    pub fn new(
        key: String,
        instance: id::Instance,
        incarnation: Incarnation,
        timing: Timing,
    ) -> Self {
        let own_entry = Holder {
            instance,
            incarnation,
            fence: Fence(0),
            renewals: 0,
            released: false,
        };
        Self {
            key,
            own_entry,
            timing,
            observed: None,
            proposed: None,
            held_since: None,
            last_takeover: None,
            advertised: None,
            may_reclaim: false,
            resigned: false,
        }
    }

    /// Handles a row that an earlier incarnation of this instance may hold. That incarnation has
    /// ended, and the orders of both come from the same instance, so the row can be taken over at
    /// once. Returns whether it can.
    pub fn reclaim(&mut self, now: Duration, row: &Row) -> bool {
        self.on_read(now, Some(row));
        let observed = self.observed.as_ref();
        let holder = observed.and_then(|observed| observed.holder.as_ref());
        self.may_reclaim = holder.is_some_and(|holder| self.is_earlier_incarnation(holder));
        self.may_reclaim
    }

    /// Returns the fencing number if the lease may be acted on now.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        let usable_term = self.timing.term.saturating_sub(self.timing.margin);
        let since = self.held_since?;
        (now < since + usable_term).then_some(self.own_entry.fence)
    }

    /// Returns the previous holder, if it was another instance, and the latest time at which it may
    /// have acted.
    #[must_use]
    pub fn previous_holder(&self) -> Option<(&id::Instance, Duration)> {
        let (before, until) = self.last_takeover.as_ref()?;
        (*before != self.own_entry.instance).then_some((before, *until))
    }

    /// Returns the version of the row after this holder's last renewal.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.check().map(|check| check.version)
    }

    /// Records a row version that the holder advertised outside the table service.
    ///
    /// The row is still read before a takeover, but the time for which it was unchanged counts from
    /// the arrival of the advertisement.
    pub fn on_advertised(&mut self, now: Duration, version: u64) {
        let is_newer = self
            .observed
            .as_ref()
            .is_none_or(|observed| observed.version < version);
        if is_newer && self.held_since.is_none() {
            self.advertised = Some((version, now));
        }
    }

    /// Returns the condition under which the holder's writes take effect: the row is unchanged
    /// since this holder's last renewal. `None` if this process does not hold the lease.
    #[must_use]
    pub fn check(&self) -> Option<Check> {
        self.held_since?;
        let observed = self.observed.as_ref()?;
        Some(Check {
            key: self.key.clone(),
            version: observed.version,
        })
    }

    /// Returns the next step. It must be called regularly.
    pub fn tick(&mut self, now: Duration) -> Action {
        if self.resigned {
            return Action::Wait;
        }
        let Some(observed) = self.observed.clone() else {
            return Action::Read;
        };
        let is_mine = observed
            .holder
            .as_ref()
            .is_some_and(|holder| self.is_self(holder) && !holder.released);
        let is_free = observed.holder.as_ref().is_none_or(|holder| {
            holder.released || (self.may_reclaim && self.is_earlier_incarnation(holder))
        });
        let is_expired = now >= observed.since + self.timing.term;
        if !(is_mine || is_free || is_expired) {
            return Action::Read;
        }
        let renewal_interval = self.timing.term / RENEWALS_PER_TERM;
        if is_mine
            && self
                .held_since
                .is_some_and(|since| now < since + renewal_interval)
        {
            return Action::Wait;
        }
        let fence = observed
            .holder
            .as_ref()
            .map_or(Fence(0), |holder| holder.fence);
        let proposed_entry = Holder {
            fence: if is_mine { fence } else { Fence(fence.0 + 1) },
            renewals: observed.holder.as_ref().map_or(0, |holder| holder.renewals) + 1,
            ..self.own_entry.clone()
        };
        if !is_mine {
            let usable_term = self.timing.term.saturating_sub(self.timing.margin);
            self.last_takeover = observed.holder.map(|holder| {
                let acted_until = if holder.released {
                    observed.since
                } else {
                    observed.since + usable_term
                };
                (holder.instance, acted_until)
            });
        }
        self.proposed = Some((proposed_entry.clone(), now));
        Action::Commit(Txn::default().put(
            self.key.clone(),
            observed.version,
            json!(proposed_entry),
        ))
    }

    /// Handles the row that was read; `None` if it does not exist.
    pub fn on_read(&mut self, now: Duration, row: Option<&Row>) {
        let version = row.map_or(0, |row| row.version);
        let holder = row.and_then(|row| Holder::deserialize(&row.value).ok());
        let confirmed = self
            .proposed
            .take()
            .filter(|(proposed_entry, _)| Some(proposed_entry) == holder.as_ref());
        if let Some((proposed_entry, sent_at)) = confirmed {
            self.on_acquired(proposed_entry, sent_at);
        } else if !holder.as_ref().is_some_and(|holder| self.is_self(holder)) {
            self.held_since = None;
        }
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version);
        if !is_unchanged {
            let advertised = self
                .advertised
                .filter(|(advertised, _)| *advertised == version);
            self.observed = Some(Observation {
                version,
                since: advertised.map_or(now, |(_, at)| at),
                holder,
            });
        }
    }

    /// Handles the result of a commit.
    pub fn on_commit(&mut self, now: Duration, result: Result<Commit, Failure>) {
        match result {
            Ok(Commit::Done(versions)) => {
                let Some((proposed_entry, sent_at)) = self.proposed.take() else {
                    return;
                };
                let version = versions.first().copied().unwrap_or(0);
                self.observed = Some(Observation {
                    version,
                    since: now,
                    holder: Some(proposed_entry.clone()),
                });
                self.on_acquired(proposed_entry, sent_at);
            }
            Ok(Commit::Conflict(_)) => {
                self.proposed = None;
                self.observed = None;
            }
            Err(Failure::Refused) => self.proposed = None,
            Err(Failure::Lost) => self.observed = None,
        }
    }

    /// Gives up the lease permanently. Returns the transaction that releases the row, if this
    /// process holds it.
    pub fn resign(&mut self) -> Option<Txn> {
        self.resigned = true;
        self.held_since.take()?;
        let observed = self.observed.as_ref()?;
        let released_entry = Holder {
            released: true,
            ..self.own_entry.clone()
        };
        Some(Txn::default().put(self.key.clone(), observed.version, json!(released_entry)))
    }

    fn on_acquired(&mut self, proposed_entry: Holder, sent_at: Duration) {
        self.own_entry = proposed_entry;
        self.held_since = Some(sent_at);
    }

    fn is_earlier_incarnation(&self, holder: &Holder) -> bool {
        holder.instance == self.own_entry.instance
            && holder.incarnation != self.own_entry.incarnation
    }

    fn is_self(&self, holder: &Holder) -> bool {
        holder.instance == self.own_entry.instance
            && holder.incarnation == self.own_entry.incarnation
    }
}
