//! Rate limits that servers name in their answers.
//!
//! As long as a limit holds, an overloaded server names in each answer the requests per second that
//! it accepts from all instances together. A limit belongs to one incarnation of a server and
//! outlives its entry in the platform's list, which may lapse and come back.
//!
//! Instances count the requests of all instances over the same window as the servers: each knows
//! its own requests exactly, and those of the others as of their last gossip. Requests that others
//! send before their next gossip are unknown. Therefore the probability of sending falls as usage
//! nears the limit and as the number of instances grows, and one instance takes no more than its
//! share of the room left at the last gossip.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Incarnation, Rate, float};
use std::collections::VecDeque;

/// Time by which answers of one server may arrive out of order: an answer without a limit lifts the
/// limit only if at least this time has passed since the last answer that named one.
const REORDER_MARGIN: Duration = Duration::from_millis(500);
/// Time after which a limit expires unless an answer confirms it.
const LIMIT_TTL: Duration = Duration::from_mins(10);
/// Interval of repeated announcements to peers, for instances that have just started.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Relative change of a limit up to which it is not announced at once, since servers may name a new
/// limit in each answer.
const MIN_CHANGE_SHARE: f64 = 0.1;

/// Window over which servers count requests, as the platform specifies.
const WINDOW: Duration = Duration::from_secs(4);
/// Bound of the window for low limits. Even the lowest limit permits one request in this time, since
/// only an answer of the server can lift the limit.
const MAX_WINDOW: Duration = Duration::from_secs(20);

/// Last limit that one incarnation of a server named.
#[derive(Debug, Clone, Copy)]
struct Observation {
    boot: Incarnation,
    /// `None` once the limit was lifted.
    rate: Option<Rate>,
    at: Duration,
    /// Limit that was last announced to all instances, and when.
    announced: Option<Rate>,
    announced_at: Duration,
}

/// Effect of an answer on the known limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Change {
    /// Whether the limit differs significantly from the one last announced.
    pub is_significant: bool,
    /// Whether the limit is to be announced to peers.
    pub needs_announcement: bool,
}

/// Rate limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    observations: Map<id::Worker, Observation>,
}

impl Limits {
    /// Applies an answer of a server; `rate` is the limit that it named, if any.
    pub fn on_answer(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) -> Change {
        self.observations
            .retain(|_, observation| now < observation.at + LIMIT_TTL);
        let known = self.observations.get(worker).copied();
        let is_superseded = known.is_some_and(|known| known.boot > boot);
        let known = known.filter(|known| known.boot == boot);
        let active = known.and_then(|known| known.rate);
        let may_be_reordered =
            rate.is_none() && known.is_some_and(|known| now < known.at + REORDER_MARGIN);
        if is_superseded || may_be_reordered || (rate.is_none() && active.is_none()) {
            return Change::default();
        }
        let (announced, announced_at) =
            known.map_or((None, now), |known| (known.announced, known.announced_at));
        let is_significant = is_significant(announced, rate);
        let needs_announcement = is_significant || now >= announced_at + ANNOUNCE_INTERVAL;
        let observation = Observation {
            boot,
            rate,
            at: now,
            announced: if needs_announcement { rate } else { announced },
            announced_at: if needs_announcement {
                now
            } else {
                announced_at
            },
        };
        self.observations.insert(worker.clone(), observation);
        Change {
            is_significant,
            needs_announcement,
        }
    }

    /// Applies a limit that a peer announced; returns whether it differs significantly from the one
    /// last announced.
    pub fn on_gossip(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) -> bool {
        let change = self.on_answer(now, worker, boot, rate);
        let observation = self.observations.get_mut(worker);
        if let Some(observation) = observation.filter(|observation| observation.boot == boot) {
            (observation.announced, observation.announced_at) = (observation.rate, now);
        }
        change.is_significant
    }

    /// Returns the limits in force.
    pub fn active(&self) -> impl Iterator<Item = (&id::Worker, Rate)> {
        let observations = self.observations.iter();
        observations.filter_map(|(worker, observation)| Some((worker, observation.rate?)))
    }

    /// Returns the limit that this incarnation of a server named, if any.
    #[must_use]
    pub fn limit_for(&self, worker: &id::Worker, boot: Incarnation) -> Option<Rate> {
        let observation = self.observations.get(worker);
        observation
            .filter(|observation| observation.boot == boot)?
            .rate
    }
}

fn is_significant(announced: Option<Rate>, rate: Option<Rate>) -> bool {
    match (announced, rate) {
        (Some(announced), Some(rate)) => {
            (rate.0 - announced.0).abs() > announced.0 * MIN_CHANGE_SHARE
        }
        (announced, rate) => announced.is_some() != rate.is_some(),
    }
}

/// Times of the requests within the longest window.
#[derive(Debug, Clone, Default)]
pub struct Timestamps(VecDeque<Duration>);

impl Timestamps {
    /// Records a request.
    pub fn add(&mut self, now: Duration) {
        while self.0.front().is_some_and(|at| *at + MAX_WINDOW <= now) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns the number of requests within the window of a limit.
    #[must_use]
    pub fn recent(&self, now: Duration, limit: Rate) -> u32 {
        self.within(now, window(limit))
    }

    /// Returns the number of requests that are younger than `age`.
    #[must_use]
    pub fn within(&self, now: Duration, age: Duration) -> u32 {
        let recent = self.0.iter().rev();
        let recent = recent.take_while(|at| now < **at + age);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}

/// Returns the window over which requests are counted against a limit: that of the servers, or a
/// longer one if the limit allows less than one request in it.
fn window(limit: Rate) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / limit.0).unwrap_or(MAX_WINDOW);
    interval.clamp(WINDOW, MAX_WINDOW)
}

/// Number of instances that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sharers {
    /// Instances whose gossip arrives, including this one.
    #[serde(rename = "heard")]
    pub reachable: u32,
    /// All instances that may send; `None` before their list was read.
    #[serde(rename = "all")]
    pub total: Option<u32>,
}

impl Default for Sharers {
    fn default() -> Self {
        Self {
            reachable: 1,
            total: Some(1),
        }
    }
}

impl Sharers {
    /// Returns the share of a limit that the reachable instances may use together.
    fn share(self) -> f64 {
        let total = self.total.unwrap_or(u32::MAX).max(self.reachable);
        f64::from(self.reachable) / f64::from(total)
    }
}

/// Usage of a server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Usage {
    pub limit: Rate,
    /// Requests of this instance within the window of the limit.
    pub own: u32,
    /// Requests of all other instances within the window, as of their last gossip.
    pub others: u32,
    /// Requests of this instance since the last gossip, which others may not know yet.
    #[serde(rename = "unheard")]
    pub unreported: u32,
    /// Requests of this instance within the window that the server could have served.
    #[serde(rename = "asked")]
    pub requested: u32,
    #[serde(rename = "crowd")]
    pub sharers: Sharers,
    /// Mean age of the workloads of other instances.
    #[serde(rename = "news_age")]
    pub gossip_age: Duration,
}

impl Usage {
    /// Returns the number of requests that the reachable instances may send within the window.
    #[must_use]
    pub fn allowed(&self) -> f64 {
        let rate = self.limit.0.max(1.0 / MAX_WINDOW.as_secs_f64());
        rate * window(self.limit).as_secs_f64() * self.sharers.share()
    }

    /// Returns how long a request must wait, or `None` if it may be sent now; `draw` lies in
    /// `0..1`.
    #[must_use]
    pub fn wait(&self, draw: f64) -> Option<Duration> {
        let sent = float(u64::from(self.own) + u64::from(self.others));
        let room = self.allowed() - sent;
        if draw * self.expected_peer_requests().max(1.0) < room && self.has_share_left(room) {
            return None;
        }
        let window = window(self.limit);
        let deficit = (1.0 - room).max(1.0);
        let interval = window.as_secs_f64() / self.allowed();
        Some(
            Duration::try_from_secs_f64(deficit * interval).map_or(window, |wait| wait.min(window)),
        )
    }

    /// Returns whether this instance has not used up its share of the room that was left at the last
    /// gossip. One request since then is always within the share.
    fn has_share_left(&self, room: f64) -> bool {
        let unreported = f64::from(self.unreported);
        let share = (room + unreported) / f64::from(self.sharers.reachable.max(1));
        self.unreported == 0 || unreported + 1.0 <= share
    }

    /// Returns the number of requests expected from other instances that their gossip has not
    /// reported yet, assuming that each of them has as many as this instance.
    fn expected_peer_requests(&self) -> f64 {
        let each = f64::from(self.requested.max(1));
        let others = f64::from(self.sharers.reachable.saturating_sub(1));
        each * others * self.gossip_age.div_duration_f64(window(self.limit))
    }
}
