//! A lease on a row of the table service, without synchronised clocks.
//!
//! The holder counts the term from the time at which it sent its last successful renewal, and stops
//! acting a safety margin before the term ends. Other processes wait until they have observed the
//! row unchanged for a whole term on their own clocks. A paused holder may still believe that it
//! holds the lease, so safety must not depend on the lease alone: the ledger's row versions decide.
//!
//! The service may come back from an old copy, which starts a new era: it may then have forgotten
//! the last holders. A row counts as proven if its fencing token is of the current era. Until then
//! nobody acts on it; a holder whose term has not ended proves its lease by a commit, and others
//! claim the row only after they have observed it unchanged for a whole term.

use super::era::Eras;
use crate::common::*;
use crate::world::id;
use crate::world::table::{Check, Commit, Failure, Row, Txn, Version};
use crate::world::unit::{Era, Fence, Incarnation};

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
    /// Workers to which orders may still be on their way, as of the last renewal.
    #[serde(default, skip_serializing_if = "Ordered::is_empty")]
    pub ordered: Ordered,
}

/// Workers that were sent orders, and the incarnation for which the oldest of them was meant.
pub type Ordered = BTreeMap<id::Worker, Incarnation>;

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
    version: Version,
    /// Time from which the row counts as unchanged.
    since: Duration,
    holder: Option<Holder>,
}

#[derive(Debug, Clone)]
struct Takeover {
    /// `None` if the service may have forgotten who it was.
    previous: Option<id::Instance>,
    acted_until: Duration,
    ordered: Ordered,
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
    /// Previous holder, and the latest time at which another one may have acted, recorded at the
    /// last takeover.
    last_takeover: Option<Takeover>,
    /// Row version that the holder advertised, and when the advertisement arrived.
    advertised: Option<(Version, Duration)>,
    /// After a change of the era the table service may have forgotten holders.
    eras: Eras,
    /// Whether a row of an earlier incarnation of this instance may be taken over without waiting.
    may_reclaim: bool,
    /// Whether workers refuse orders with a lower fencing token than one they have seen.
    is_fencing_enforced: bool,
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
            ordered: Ordered::new(),
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
            eras: Eras::default(),
            may_reclaim: false,
            is_fencing_enforced: false,
            resigned: false,
        }
    }

    /// Sets whether workers refuse orders with a lower fencing token than one they have seen.
    #[must_use]
    pub fn with_fencing(mut self, is_enforced: bool) -> Self {
        self.is_fencing_enforced = is_enforced;
        self
    }

    /// Handles a row that an earlier incarnation of this instance may hold. That incarnation has
    /// ended, and the orders of both come from the same instance, so the row can be taken over at
    /// once. Returns whether it can.
    ///
    /// Orders of the earlier incarnation may arrive later. The token stays the same, so that they do not
    /// follow orders with a higher one, unless workers refuse such orders.
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
        (self.is_in_term(now) && self.is_proven(self.own_entry.fence))
            .then_some(self.own_entry.fence)
    }

    /// Returns the time until which the lease may be acted on if it is not renewed; `None` if it may not
    /// be acted on now.
    #[must_use]
    pub fn acts_until(&self, now: Duration) -> Option<Duration> {
        self.fence(now)?;
        self.held_since.map(|since| since + self.usable_term())
    }

    /// Returns the previous holder, if it may have been another instance, and the latest time at
    /// which it may have acted. The holder is `None` if the table service may have forgotten it.
    #[must_use]
    pub fn previous_holder(&self) -> Option<(Option<&id::Instance>, Duration)> {
        let takeover = self.last_takeover.as_ref()?;
        let previous = takeover.previous.as_ref();
        let is_other = previous.is_none_or(|previous| *previous != self.own_entry.instance);
        is_other.then_some((previous, takeover.acted_until))
    }

    /// Takes the workers to which orders of the previous holder may be on their way; that may have been an
    /// earlier incarnation of this instance.
    pub fn take_previously_ordered(&mut self) -> Ordered {
        let takeover = self.last_takeover.as_mut();
        takeover.map_or_else(Ordered::new, |takeover| {
            std::mem::take(&mut takeover.ordered)
        })
    }

    /// Sets the workers to which orders may be on their way, for the next renewal or the release.
    pub fn set_ordered(&mut self, ordered: Ordered) {
        self.own_entry.ordered = ordered;
    }

    /// Returns the version of the row after this holder's last renewal.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.held_since?;
        self.observed.as_ref().map(|observed| observed.version)
    }

    /// Records the era in which the table service answered. Returns whether that is the newest era
    /// seen; an answer of an older one says nothing about the row.
    pub fn on_era(&mut self, era: Option<Era>) -> bool {
        if self.eras.on_seen(era) {
            self.observed = None;
            self.proposed = None;
            self.advertised = None;
        }
        era.is_none() || era == self.eras.newest()
    }

    /// Whether this process held the lease in an earlier era and may still prove it, since no other
    /// process can have acted in the meantime.
    #[must_use]
    pub fn may_prove(&self, now: Duration) -> bool {
        self.is_in_term(now) && !self.is_proven(self.own_entry.fence)
    }

    /// Whether the row was observed without a holder, and none can have been forgotten.
    #[must_use]
    pub fn is_vacant(&self) -> bool {
        let observed = self.observed.as_ref();
        observed.is_some_and(|observed| observed.holder.is_none()) && !self.eras.has_changed()
    }

    /// Records a row version that the holder advertised outside the table service.
    ///
    /// The row is still read before a takeover, but the time for which it was unchanged counts from
    /// the arrival of the advertisement.
    pub fn on_advertised(&mut self, now: Duration, era: Option<Era>, number: u64) {
        let Some(version) = self.eras.version(era, number) else {
            return;
        };
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
            version: observed.version.number,
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
        let is_proven = observed
            .holder
            .as_ref()
            .map_or(!self.eras.has_changed(), |holder| {
                self.is_proven(holder.fence)
            });
        let may_claim = if is_proven {
            is_mine || is_free
        } else {
            self.is_in_term(now)
        };
        if !(may_claim || is_expired) {
            return Action::Read;
        }
        let renewal_interval = self.timing.term / RENEWALS_PER_TERM;
        if is_mine
            && is_proven
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
        let is_reclaimed = self.may_reclaim
            && observed
                .holder
                .as_ref()
                .is_some_and(|holder| self.is_earlier_incarnation(holder) && !holder.released);
        let keeps_fence = is_mine || (is_reclaimed && !self.is_fencing_enforced);
        let proposed_entry = Holder {
            fence: if keeps_fence && is_proven {
                fence
            } else {
                fence.max(self.own_entry.fence).next(self.eras.newest())
            },
            renewals: observed.holder.as_ref().map_or(0, |holder| holder.renewals) + 1,
            ..self.own_entry.clone()
        };
        let term_end = observed.since + self.usable_term();
        if !is_proven {
            // A holder in its term was the last of the earlier era.
            self.last_takeover = (!self.is_in_term(now)).then_some(Takeover {
                previous: None,
                acted_until: term_end,
                ordered: Ordered::new(),
            });
        } else if !is_mine {
            self.last_takeover = observed.holder.map(|holder| Takeover {
                acted_until: if holder.released {
                    observed.since
                } else {
                    term_end
                },
                previous: Some(holder.instance),
                ordered: holder.ordered,
            });
        }
        self.proposed = Some((proposed_entry.clone(), now));
        Action::Commit(Txn::default().put(
            self.key.clone(),
            observed.version.number,
            json!(proposed_entry),
        ))
    }

    /// Handles the row that was read; `None` if it does not exist.
    pub fn on_read(&mut self, now: Duration, row: Option<&Row>) {
        let version = self.current(row.map_or(0, |row| row.version));
        let holder = row.and_then(|row| Holder::deserialize(&row.value).ok());
        let confirmed = self
            .proposed
            .take()
            .filter(|(proposed_entry, _)| Some(proposed_entry) == holder.as_ref());
        if let Some((proposed_entry, sent_at)) = confirmed {
            self.on_acquired(proposed_entry, sent_at);
        } else if self.is_lost_to(holder.as_ref()) {
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
                let version = self.current(versions.first().copied().unwrap_or(0));
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
        let version = observed.version.number;
        Some(Txn::default().put(self.key.clone(), version, json!(released_entry)))
    }

    fn usable_term(&self) -> Duration {
        self.timing.term.saturating_sub(self.timing.margin)
    }

    /// Whether this process holds the lease of some era and may still act on it.
    fn is_in_term(&self, now: Duration) -> bool {
        let usable_term = self.usable_term();
        self.held_since
            .is_some_and(|since| now < since + usable_term)
    }

    /// Whether a holder with this token took or proved the lease in the current era.
    fn is_proven(&self, fence: Fence) -> bool {
        self.eras.newest().is_none_or(|era| fence.era() >= era)
    }

    /// Whether the row shows that another process holds the lease, or none. A row of an earlier era
    /// does not: the service may have forgotten that this process took the lease after it.
    fn is_lost_to(&self, holder: Option<&Holder>) -> bool {
        match holder {
            Some(holder) => self.is_proven(holder.fence) && !self.is_self(holder),
            None => !self.eras.has_changed(),
        }
    }

    /// Returns a version in the current era.
    fn current(&self, number: u64) -> Version {
        Version {
            era: self.eras.newest(),
            number,
        }
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
