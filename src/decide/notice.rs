//! Notices that servers give in their answers: that they are leaving, and that they want a rest (a
//! time without new requests).
//!
//! Both apply to one incarnation of a server and outlive its entry in the platform's list, which
//! may lapse and come back while the store is disturbed. A departure that the list does not show is
//! kept in the store, where it outlives a restart of all instances.

use crate::common::*;
use crate::world::id;
use crate::world::unit::Incarnation;

/// Longest rest that is granted, so that a wrong value does not take a healthy server out of use
/// for good.
const MAX_REST: Duration = Duration::from_mins(2);
/// Time after which a leaving notice expires; the server has ended long before.
const LEAVING_TTL: Duration = Duration::from_mins(10);

/// Time for which a leaving server is announced to peers; by then the platform's list shows it as
/// leaving.
const ANNOUNCE_PERIOD: Duration = Duration::from_mins(1);

/// A departure that the list does not show is stored after this time and up to as much again; instances
/// differ, so that usually one of them does it.
const STORE_DELAY: Duration = Duration::from_secs(1);

/// An incarnation of a server.
pub type Process = (id::Worker, Incarnation);

/// A change to the rows of leaving servers in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    Insert(Process),
    Remove(Process),
}

/// Notices of one incarnation of a server.
#[derive(Debug, Clone, Copy)]
struct Notice {
    boot: Incarnation,
    leaving_since: Option<Duration>,
    /// Whether the platform's list shows the server as leaving.
    is_listed: bool,
    /// Whether the store has a row that the server is leaving.
    is_stored: bool,
    /// Earliest time of the next attempt to change that row.
    next_write: Duration,
    rests_until: Duration,
}

/// Notices of all servers.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    notices: Map<id::Worker, Notice>,
}

impl Notices {
    /// Records that a server announced that it is leaving; returns whether this was unknown.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker, boot: Incarnation) -> bool {
        let Some(notice) = self.current_notice(now, worker, boot) else {
            return false;
        };
        let is_new = notice.leaving_since.is_none();
        notice.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records the rows of leaving servers that were read from the store.
    pub fn on_rows(&mut self, now: Duration, rows: &BTreeSet<Process>) {
        for (worker, boot) in rows {
            self.on_leaving(now, worker, *boot);
        }
        for (worker, notice) in &mut self.notices {
            notice.is_stored = rows.contains(&(worker.clone(), notice.boot));
        }
    }

    /// Returns the changes to the store that are due; each is returned again later unless
    /// [`Self::on_written`] confirms it. `spread`, from 0 to 1, differs between instances.
    pub fn take_writes(&mut self, now: Duration, spread: f64) -> Vec<Write> {
        let delay = STORE_DELAY.mul_f64(1.0 + spread);
        let mut writes = Vec::new();
        for (worker, notice) in &mut self.notices {
            let Some(since) = notice.leaving_since else {
                continue;
            };
            let is_wanted = !notice.is_listed && now < since + LEAVING_TTL;
            if is_wanted == notice.is_stored || now < (since + delay).max(notice.next_write) {
                continue;
            }
            notice.next_write = now + delay;
            let process = (worker.clone(), notice.boot);
            writes.push(if is_wanted {
                Write::Insert(process)
            } else {
                Write::Remove(process)
            });
        }
        writes
    }

    /// Records that the store has taken a change.
    pub fn on_written(&mut self, write: &Write) {
        let (Write::Insert((worker, boot)) | Write::Remove((worker, boot))) = write;
        let notice = self.notices.get_mut(worker);
        if let Some(notice) = notice.filter(|notice| notice.boot == *boot) {
            notice.is_stored = matches!(write, Write::Insert(_));
        }
    }

    /// Records that a server asked for a rest; returns when the rest ends.
    pub fn on_rest(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        requested: Duration,
    ) -> Duration {
        let until = now + requested.min(MAX_REST);
        let Some(notice) = self.current_notice(now, worker, boot) else {
            return now;
        };
        notice.rests_until = notice.rests_until.max(until);
        notice.rests_until
    }

    /// Returns whether this incarnation of a server announced that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, worker: &id::Worker, boot: Incarnation) -> bool {
        let notice = self.notices.get(worker);
        notice.is_some_and(|notice| notice.boot == boot && notice.leaving_since.is_some())
    }

    /// Returns when the rest of this incarnation of a server ends; zero if it has none.
    #[must_use]
    pub fn rests_until(&self, worker: &id::Worker, boot: Incarnation) -> Duration {
        let notice = self.notices.get(worker);
        let notice = notice.filter(|notice| notice.boot == boot);
        notice.map_or(Duration::ZERO, |notice| notice.rests_until)
    }

    /// Records that the platform's list shows a server as leaving, so that it need not be announced
    /// to peers.
    pub fn on_listed_leaving(&mut self, worker: &id::Worker, boot: Incarnation) {
        let notice = self.notices.get_mut(worker);
        if let Some(notice) = notice.filter(|notice| notice.boot == boot) {
            notice.is_listed = true;
        }
    }

    /// Returns the leaving servers to announce to peers, with the incarnation that is leaving.
    pub fn to_announce(&self, now: Duration) -> impl Iterator<Item = (&id::Worker, Incarnation)> {
        let notices = self.notices.iter();
        let leaving = notices.filter(move |(_, notice)| {
            let since = notice.leaving_since.filter(|_| !notice.is_listed);
            since.is_some_and(|since| now < since + ANNOUNCE_PERIOD)
        });
        leaving.map(|(worker, notice)| (worker, notice.boot))
    }

    /// Returns the notice of this incarnation of a server, which is created if necessary, or `None`
    /// if a later incarnation is known. Drops expired notices.
    fn current_notice(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
    ) -> Option<&mut Notice> {
        self.notices.retain(|_, notice| {
            let announced_at = notice.leaving_since;
            now < notice.rests_until
                || notice.is_stored
                || announced_at.is_some_and(|since| now < since + LEAVING_TTL)
        });
        let new = Notice {
            boot,
            leaving_since: None,
            is_listed: false,
            is_stored: false,
            next_write: Duration::ZERO,
            rests_until: Duration::ZERO,
        };
        let notice = self.notices.entry(worker.clone()).or_insert(new);
        if notice.boot < boot {
            *notice = new;
        }
        (notice.boot == boot).then_some(notice)
    }
}
