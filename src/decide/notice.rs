//! Notices that servers give in their answers: that they are leaving, and that they want a rest (a
//! time without new requests).
//!
//! Both apply to one incarnation of a server and outlive its entry in the platform's list, which
//! may lapse and come back while the store is disturbed.

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

/// Notices of one incarnation of a server.
#[derive(Debug, Clone, Copy)]
struct Notice {
    boot: Incarnation,
    leaving_since: Option<Duration>,
    /// Whether the platform's list shows the server as leaving.
    is_listed: bool,
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
            now < notice.rests_until || announced_at.is_some_and(|since| now < since + LEAVING_TTL)
        });
        let new = Notice {
            boot,
            leaving_since: None,
            is_listed: false,
            rests_until: Duration::ZERO,
        };
        let notice = self.notices.entry(worker.clone()).or_insert(new);
        if notice.boot < boot {
            *notice = new;
        }
        (notice.boot == boot).then_some(notice)
    }
}
