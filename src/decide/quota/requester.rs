//! The side of an instance that uses units of quotas: what it holds, and what it asks for.

use super::account::{Account, Lot, Settled, Waiter};
use super::{Answer, Ask, Return};
use crate::common::*;

/// A caller's request that waits for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Units that one caller's request has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken {
    pub workspace: CompactString,
    /// End of the time in which a server may get the request.
    pub expires_at: Duration,
    /// Units by the number of the grant that they are from.
    pub(super) pieces: Vec<(u64, u64)>,
}

/// Why a request gets no units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The quota is used up; the grantor states when there may be enough.
    OverQuota(Duration),
    /// No grantor has answered.
    NoGrantor,
}

/// Result of a claim to units.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    Taken(Taken),
    /// [`Requester::settle`] tells the result.
    Wait(Ticket),
    Refused(Refusal),
}

/// Units since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    pub granted: u64,
    pub used: u64,
    pub put_back: u64,
    pub returned: u64,
    pub expired: u64,
}

/// What an instance holds and asks for, by workspace.
#[derive(Debug, Clone)]
pub struct Requester {
    expiry: Duration,
    accounts: BTreeMap<CompactString, Account>,
    last_number: u64,
    last_ticket: u64,
    totals: Totals,
}

impl Requester {
    /// Creates an empty one; grants are used for `expiry` after they were asked for.
    #[must_use]
    pub fn new(expiry: Duration) -> Self {
        Self {
            expiry,
            accounts: BTreeMap::new(),
            last_number: 0,
            last_ticket: 0,
            totals: Totals::default(),
        }
    }

    /// Claims units for a caller's request, which may wait for `max_wait`.
    pub fn claim(
        &mut self,
        now: Duration,
        workspace: &CompactString,
        units: u64,
        max_wait: Duration,
    ) -> Claim {
        let account = self.accounts.entry(workspace.clone()).or_default();
        account.claimed_at = now;
        account.usage.add(now, units);
        let usable = account.usable(now, self.expiry);
        if account.waiting.is_empty() && units <= usable {
            self.totals.used += units;
            return Claim::Taken(account.take(now, self.expiry, workspace, units));
        }
        let shortfall = units.saturating_sub(usable);
        if let Some((unmet, until)) = account.unmet
            && now < until
            && shortfall >= unmet
        {
            return Claim::Refused(Refusal::OverQuota(until.saturating_sub(now)));
        }
        let pending = account.pending.as_ref();
        if pending.is_some_and(|pending| now >= pending.sent_at + max_wait) {
            return Claim::Refused(Refusal::NoGrantor);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let until = now + max_wait;
        account.waiting.push_back(Waiter {
            ticket,
            units,
            until,
        });
        Claim::Wait(ticket)
    }

    /// Puts units back that a request took and that no server has used. Returns whether they are still
    /// valid.
    pub fn put_back(&mut self, now: Duration, taken: Taken) -> bool {
        if now >= taken.expires_at {
            return false;
        }
        let Some(account) = self.accounts.get_mut(&taken.workspace) else {
            return false;
        };
        for (number, units) in taken.pieces {
            if let Some(lot) = account.lots.iter_mut().find(|it| it.number == number) {
                lot.left += units;
                self.totals.put_back += units;
            }
        }
        true
    }

    /// Applies a grantor's answer.
    pub fn on_answer(&mut self, now: Duration, answer: &Answer) {
        let Some(account) = self.accounts.get_mut(&answer.workspace) else {
            return;
        };
        let Some(sent_at) = account.take_sent_at(now, answer) else {
            return;
        };
        self.totals.granted += answer.units;
        account.unmet = answer.unmet.map(|(units, wait)| (units, now + wait));
        let expires_at = sent_at + self.expiry;
        if answer.units > 0 && now < expires_at {
            account.lots.push(Lot {
                number: answer.number,
                expires_at,
                left: answer.units,
                returned: 0,
            });
        } else {
            self.totals.expired += answer.units;
        }
    }

    /// Returns the results of claims that need not wait any longer.
    pub fn settle(&mut self, now: Duration) -> Vec<(Ticket, Result<Taken, Refusal>)> {
        let mut settled = Settled::new();
        for (workspace, account) in &mut self.accounts {
            loop {
                self.totals.used += account.serve(now, self.expiry, workspace, &mut settled);
                if !account.refuse_unmet(now, &mut settled) {
                    break;
                }
            }
            account.waiting.retain(|waiter| {
                let is_waiting = now < waiter.until;
                if !is_waiting {
                    settled.push((waiter.ticket, Err(Refusal::NoGrantor)));
                }
                is_waiting
            });
        }
        settled
    }

    /// Returns the requests for units and the returns that are due.
    pub fn outgoing(&mut self, now: Duration) -> (Vec<Ask>, Vec<Return>) {
        let (mut asks, mut returns) = (Vec::new(), Vec::new());
        for (workspace, account) in &mut self.accounts {
            let is_expired = |lot: &Lot| now >= lot.expires_at;
            let expired = account.lots.iter().filter(|lot| is_expired(lot));
            self.totals.expired += expired.map(|lot| lot.left).sum::<u64>();
            account.lots.retain(|lot| !is_expired(lot));
            for lot in &mut account.lots {
                if lot.left > 0 && !lot.is_usable(now, self.expiry) {
                    lot.returned += lot.left;
                    self.totals.returned += std::mem::take(&mut lot.left);
                    returns.push(Return {
                        workspace: workspace.clone(),
                        number: lot.number,
                        total: lot.returned,
                    });
                }
            }
            asks.extend(account.due_ask(now, self.expiry, workspace, &mut self.last_number));
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
        (asks, returns)
    }

    /// Whether nothing is held, asked for or waited for.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the units since the last call.
    pub fn take_totals(&mut self) -> Totals {
        std::mem::take(&mut self.totals)
    }

    /// Returns the units that are held, by workspace.
    pub fn held(&self, now: Duration) -> impl Iterator<Item = (&CompactString, u64)> {
        let accounts = self.accounts.iter();
        accounts.map(move |(name, account)| (name, account.usable(now, self.expiry)))
    }
}
