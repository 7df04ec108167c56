//! Units of one workspace that an instance holds, and the claims to them that wait.

use super::requester::{Refusal, Taken, Ticket};
use super::{Answer, Ask};
use crate::common::*;
use crate::world::unit::float;

/// A request for units is repeated after this time without an answer, and then after twice the time
/// each. A round trip between regions takes 25 ms.
const RESEND_AFTER: Duration = Duration::from_millis(32);
/// Units are no longer used, but returned, in this last part of their time, so that requests that
/// take them still reach a server in time and returned units can be granted again.
const RETURN_SHARE: u32 = 4;
/// Time over which recent use is averaged.
const USAGE_PERIOD: Duration = Duration::from_secs(1);
/// Busy workspaces hold units for this long; others ask for each request.
const AHEAD: Duration = Duration::from_millis(500);
/// Requests per second from which a workspace counts as busy.
const BUSY_RATE: f64 = 3.0;
/// Interval between requests for units ahead, and the interval after the grantor had too few: then the
/// workspace is near its quota, and most such requests would be in vain.
const AHEAD_INTERVAL: Duration = Duration::from_millis(200);
const SCARCE_AHEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on callers' requests in one request for units.
const MAX_NEEDS: usize = 64;
/// An account without units or use is dropped after this time.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(5);

/// Results of claims.
pub(super) type Settled = Vec<(Ticket, Result<Taken, Refusal>)>;

#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    pub(super) lots: Vec<Lot>,
    pub(super) waiting: VecDeque<Waiter>,
    pub(super) pending: Option<Pending>,
    /// Requests without an answer, and when they were sent.
    pub(super) given_up: VecDeque<(u64, Duration)>,
    /// Units that the grantor did not have, and until when it has none.
    pub(super) unmet: Option<(u64, Duration)>,
    pub(super) usage: Usage,
    /// When units may be asked for again that no caller waits for.
    pub(super) ahead_from: Duration,
    pub(super) claimed_at: Duration,
}

/// Units of one grant.
#[derive(Debug, Clone)]
pub(super) struct Lot {
    pub(super) number: u64,
    pub(super) expires_at: Duration,
    pub(super) left: u64,
    pub(super) returned: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) units: u64,
    pub(super) until: Duration,
}

/// A request for units that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) ask: Ask,
    pub(super) sent_at: Duration,
    pub(super) resend_at: Duration,
    pub(super) resend_interval: Duration,
}

/// Recent use, averaged with weights that fall exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    pub(super) at: Duration,
    pub(super) units_per_s: f64,
    pub(super) requests_per_s: f64,
}

impl Account {
    pub(super) fn usable(&self, now: Duration, expiry: Duration) -> u64 {
        let usable = self.lots.iter().filter(|lot| lot.is_usable(now, expiry));
        usable.map(|lot| lot.left).sum()
    }

    /// Takes units that are there, first from the grants that expire first.
    pub(super) fn take(
        &mut self,
        now: Duration,
        expiry: Duration,
        workspace: &CompactString,
        units: u64,
    ) -> Taken {
        self.lots.sort_by_key(|lot| lot.expires_at);
        let mut missing = units;
        let mut taken = Taken {
            workspace: workspace.clone(),
            expires_at: now + expiry,
            pieces: Vec::new(),
        };
        let lots = self.lots.iter_mut();
        for lot in lots.filter(|lot| lot.left > 0 && lot.is_usable(now, expiry)) {
            let piece = lot.left.min(missing);
            if piece == 0 {
                break;
            }
            lot.left -= piece;
            missing -= piece;
            taken.expires_at = taken.expires_at.min(lot.expires_at);
            taken.pieces.push((lot.number, piece));
        }
        taken
    }

    /// Gives units to those that wait, in order; returns how many.
    pub(super) fn serve(
        &mut self,
        now: Duration,
        expiry: Duration,
        workspace: &CompactString,
        settled: &mut Settled,
    ) -> u64 {
        let mut used = 0;
        while let Some(waiter) = self.waiting.front()
            && waiter.units <= self.usable(now, expiry)
        {
            let (ticket, units) = (waiter.ticket, waiter.units);
            self.waiting.pop_front();
            used += units;
            settled.push((ticket, Ok(self.take(now, expiry, workspace, units))));
        }
        used
    }

    /// Refuses those that wait for at least as many units as the grantor lacks; returns whether there
    /// were any.
    pub(super) fn refuse_unmet(&mut self, now: Duration, settled: &mut Settled) -> bool {
        let Some((unmet, until)) = self.unmet.filter(|(_, until)| now < *until) else {
            return false;
        };
        let before = self.waiting.len();
        self.waiting.retain(|waiter| {
            let is_covered = waiter.units < unmet;
            if !is_covered {
                settled.push((
                    waiter.ticket,
                    Err(Refusal::OverQuota(until.saturating_sub(now))),
                ));
            }
            is_covered
        });
        self.waiting.len() < before
    }

    /// Returns when the request for units was sent that an answer is for, if it has no answer yet.
    pub(super) fn take_sent_at(&mut self, now: Duration, answer: &Answer) -> Option<Duration> {
        let number = answer.number;
        let pending = self.pending.take_if(|pending| pending.ask.number == number);
        if let Some(Pending { ask, sent_at, .. }) = pending {
            let wanted = ask.needs.iter().sum::<u64>() + ask.ahead;
            if answer.units < wanted {
                self.ahead_from = now + SCARCE_AHEAD_INTERVAL;
            }
            return Some(sent_at);
        }
        let index = self.given_up.iter().position(|(given, _)| *given == number);
        self.given_up.remove(index?).map(|(_, sent_at)| sent_at)
    }

    pub(super) fn due_ask(
        &mut self,
        now: Duration,
        expiry: Duration,
        workspace: &CompactString,
        last_number: &mut u64,
    ) -> Option<Ask> {
        let is_over = |sent_at: Duration| now >= sent_at + expiry;
        self.given_up.retain(|(_, sent_at)| !is_over(*sent_at));
        // Units of an older request would hardly be usable when they arrive.
        let given_up = self
            .pending
            .take_if(|pending| now >= pending.sent_at + expiry / 2);
        if let Some(given_up) = given_up {
            let given_up = (given_up.ask.number, given_up.sent_at);
            self.given_up.push_back(given_up);
        }
        if let Some(pending) = &mut self.pending {
            let is_due = now >= pending.resend_at;
            if is_due {
                pending.resend_interval *= 2;
                pending.resend_at = now + pending.resend_interval;
            }
            return is_due.then(|| pending.ask.clone());
        }
        let needs = self.needs(now, expiry);
        let ahead = self.ahead(now, expiry);
        if needs.is_empty() && ahead == 0 {
            return None;
        }
        if ahead > 0 {
            self.ahead_from = now + AHEAD_INTERVAL;
        }
        *last_number += 1;
        let ask = Ask {
            workspace: workspace.clone(),
            number: *last_number,
            needs,
            ahead,
        };
        self.pending = Some(Pending {
            ask: ask.clone(),
            sent_at: now,
            resend_at: now + RESEND_AFTER,
            resend_interval: RESEND_AFTER,
        });
        Some(ask)
    }

    /// Returns what those that wait lack.
    fn needs(&self, now: Duration, expiry: Duration) -> Vec<u64> {
        let mut usable = self.usable(now, expiry);
        let lacks = self.waiting.iter().map(|waiter| {
            let covered = usable.min(waiter.units);
            usable -= covered;
            waiter.units - covered
        });
        lacks.filter(|lack| *lack > 0).take(MAX_NEEDS).collect()
    }

    /// Returns the units to ask for ahead of callers' requests.
    fn ahead(&self, now: Duration, expiry: Duration) -> u64 {
        let is_empty = self.unmet.is_some_and(|(_, until)| now < until);
        let usage = self.usage.at(now);
        if is_empty || now < self.ahead_from || usage.requests_per_s < BUSY_RATE {
            return 0;
        }
        let wanted = usage.units_per_s * AHEAD.as_secs_f64();
        let usable = self.usable(now, expiry);
        if float(usable) >= wanted / 2.0 {
            return 0;
        }
        whole(wanted) - usable.min(whole(wanted))
    }

    pub(super) fn is_idle(&self, now: Duration) -> bool {
        let is_empty = self.lots.is_empty() && self.waiting.is_empty() && self.pending.is_none();
        is_empty && self.given_up.is_empty() && now >= self.claimed_at + ACCOUNT_RETENTION
    }
}

impl Lot {
    pub(super) fn is_usable(&self, now: Duration, expiry: Duration) -> bool {
        now + expiry / RETURN_SHARE < self.expires_at
    }
}

impl Usage {
    fn at(self, now: Duration) -> Self {
        let elapsed = now.saturating_sub(self.at);
        let kept = (-elapsed.div_duration_f64(USAGE_PERIOD)).exp();
        Self {
            at: now,
            units_per_s: self.units_per_s * kept,
            requests_per_s: self.requests_per_s * kept,
        }
    }

    pub(super) fn add(&mut self, now: Duration, units: u64) {
        *self = self.at(now);
        let period = USAGE_PERIOD.as_secs_f64();
        self.units_per_s += float(units) / period;
        self.requests_per_s += 1.0 / period;
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(amount: f64) -> u64 {
    amount.max(0.0) as u64
}
