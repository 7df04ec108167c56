//! What servers say of themselves in their answers: that they leave, and that they want a rest.
//!
//! Both hold for one start of a server and outlive its entry in the platform's list, which may lapse
//! and come back while the store is disturbed.

use crate::common::*;
use crate::world::id;
use crate::world::unit::Incarnation;

/// Longest rest that a server is given, however long it asks for: a wrong value must not take a sound
/// server out for good.
const MAX_REST: Duration = Duration::from_mins(2);
/// A server that leaves has ended long before this time; then it is forgotten.
const LEAVING_TTL: Duration = Duration::from_mins(10);

/// Peers are told of a server that leaves for this long; the platform's list says so by then.
const ANNOUNCE_PERIOD: Duration = Duration::from_mins(1);

/// What one start of a server said.
#[derive(Debug, Clone, Copy)]
struct Notice {
    boot: Incarnation,
    leaving_since: Option<Duration>,
    /// Whether the platform's list says that it leaves.
    is_listed: bool,
    rests_until: Duration,
}

/// What all servers said.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    notices: Map<id::Worker, Notice>,
}

impl Notices {
    /// Notes that a server leaves; whether that is news.
    pub fn on_leaving(&mut self, now: Duration, worker: &id::Worker, boot: Incarnation) -> bool {
        let Some(notice) = self.current_notice(now, worker, boot) else {
            return false;
        };
        let is_new = notice.leaving_since.is_none();
        notice.leaving_since.get_or_insert(now);
        is_new
    }

    /// Notes that a server wants no requests for some time; returns when its rest ends.
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

    /// Whether this start of a server said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, worker: &id::Worker, boot: Incarnation) -> bool {
        let notice = self.notices.get(worker);
        notice.is_some_and(|notice| notice.boot == boot && notice.leaving_since.is_some())
    }

    /// When the rest of this start of a server ends; zero where it wants none.
    #[must_use]
    pub fn rests_until(&self, worker: &id::Worker, boot: Incarnation) -> Duration {
        let notice = self.notices.get(worker);
        let notice = notice.filter(|notice| notice.boot == boot);
        notice.map_or(Duration::ZERO, |notice| notice.rests_until)
    }

    /// Notes that the platform's list says that a server leaves, so that peers need not be told.
    pub fn on_listed_leaving(&mut self, worker: &id::Worker, boot: Incarnation) {
        let notice = self.notices.get_mut(worker);
        if let Some(notice) = notice.filter(|notice| notice.boot == boot) {
            notice.is_listed = true;
        }
    }

    /// Servers of which peers are to be told that they leave, with the start that said so.
    pub fn to_announce(&self, now: Duration) -> impl Iterator<Item = (&id::Worker, Incarnation)> {
        let notices = self.notices.iter();
        let leaving = notices.filter(move |(_, notice)| {
            let since = notice.leaving_since.filter(|_| !notice.is_listed);
            since.is_some_and(|since| now < since + ANNOUNCE_PERIOD)
        });
        leaving.map(|(worker, notice)| (worker, notice.boot))
    }

    /// What this start of a server said; none where a later start is known.
    fn current_notice(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
    ) -> Option<&mut Notice> {
        self.notices.retain(|_, notice| {
            let left_at = notice.leaving_since;
            now < notice.rests_until || left_at.is_some_and(|since| now < since + LEAVING_TTL)
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
