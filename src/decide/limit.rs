//! Rate limits that servers name in their answers.
//!
//! A server in need names the requests a second that it takes from all instances together, in each
//! answer for as long as that holds. A limit belongs to one start of a server and outlives its entry
//! in the platform's list, which may lapse and come back.
//!
//! Instances count what all of them sent over the span in which servers count: each knows its own
//! requests exactly, and those of others as last told. What others send before the next news is not
//! known, so the nearer the limit and the more instances there are, the smaller the chance that a
//! request goes there; and of the room that was left at the last news, one instance takes no more than
//! its part.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Incarnation, Rate, float};
use std::collections::VecDeque;

/// Answers of one server may overtake each other by this much: an answer without a limit lifts it
/// only this long after the last one that named it.
const REORDER_MARGIN: Duration = Duration::from_millis(500);
/// A limit that no answer confirmed for this long is forgotten.
const LIMIT_TTL: Duration = Duration::from_mins(10);
/// Peers are told of a limit again after this time, for those that have just begun.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// A change of a limit below this part of it is no news: servers may name a new one in each answer.
const MIN_CHANGE_SHARE: f64 = 0.1;

/// Span over which servers count requests; the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Longest time between requests to a server, however low its limit: only an answer can lift it.
const MAX_WINDOW: Duration = Duration::from_secs(20);

/// What one start of a server said last.
#[derive(Debug, Clone, Copy)]
struct Observation {
    boot: Incarnation,
    /// None once it was lifted.
    rate: Option<Rate>,
    at: Duration,
    /// What all instances were told last, and when.
    announced: Option<Rate>,
    announced_at: Duration,
}

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Change {
    pub is_significant: bool,
    /// Whether peers are to be told.
    pub needs_announcement: bool,
}

/// Limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    observations: Map<id::Worker, Observation>,
}

impl Limits {
    /// Takes what an answer of a server said, or that it named no limit.
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
        let is_lifted_too_soon =
            rate.is_none() && known.is_some_and(|known| now < known.at + REORDER_MARGIN);
        if is_superseded || is_lifted_too_soon || (rate.is_none() && active.is_none()) {
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

    /// Takes what a peer heard from a server; whether that is news.
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

    /// Limits that are in force.
    pub fn active(&self) -> impl Iterator<Item = (&id::Worker, Rate)> {
        let observations = self.observations.iter();
        observations.filter_map(|(worker, observation)| Some((worker, observation.rate?)))
    }

    /// The limit of this start of a server, where it named one.
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

/// When requests were sent, as far back as any limit looks.
#[derive(Debug, Clone, Default)]
pub struct Timestamps(VecDeque<Duration>);

impl Timestamps {
    /// Notes a request.
    pub fn add(&mut self, now: Duration) {
        while self.0.front().is_some_and(|at| *at + MAX_WINDOW <= now) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Requests over the span of a limit.
    #[must_use]
    pub fn recent(&self, now: Duration, limit: Rate) -> u32 {
        self.within(now, window(limit))
    }

    /// Requests that were sent no longer ago than `age`.
    #[must_use]
    pub fn within(&self, now: Duration, age: Duration) -> u32 {
        let recent = self.0.iter().rev();
        let recent = recent.take_while(|at| now < **at + age);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}

/// Time over which a limit is kept: that of the servers, or longer where it allows less than one in it.
fn window(limit: Rate) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / limit.0).unwrap_or(MAX_WINDOW);
    interval.clamp(WINDOW, MAX_WINDOW)
}

/// The instances that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sharers {
    /// Those whose news is heard, this one included.
    #[serde(rename = "heard")]
    pub reachable: u32,
    /// All that may send; none before the list of them was read.
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
    /// Part of a limit that those may use together whose news is heard.
    fn share(self) -> f64 {
        let total = self.total.unwrap_or(u32::MAX).max(self.reachable);
        f64::from(self.reachable) / f64::from(total)
    }
}

/// What is known of the requests to a server with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Usage {
    pub limit: Rate,
    /// Requests over the span of the limit: of this instance, and of all others as last told.
    pub own: u32,
    pub others: u32,
    /// Requests of this instance since the last news, of which others may not know.
    #[serde(rename = "unheard")]
    pub unreported: u32,
    /// Requests of this instance that could have gone there.
    #[serde(rename = "asked")]
    pub requested: u32,
    #[serde(rename = "crowd")]
    pub sharers: Sharers,
    /// How old the news of others is.
    #[serde(rename = "news_age")]
    pub gossip_age: Duration,
}

impl Usage {
    /// Requests that may be sent over the span.
    #[must_use]
    pub fn allowed(&self) -> f64 {
        let rate = self.limit.0.max(1.0 / MAX_WINDOW.as_secs_f64());
        rate * window(self.limit).as_secs_f64() * self.sharers.share()
    }

    /// How long a request must wait, if it can't be sent now; `draw` lies in `0..1`.
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

    /// Whether this instance has left some of its part of the room at the last news; one request it may
    /// always send.
    fn has_share_left(&self, room: f64) -> bool {
        let unreported = f64::from(self.unreported);
        let share = (room + unreported) / f64::from(self.sharers.reachable.max(1));
        self.unreported == 0 || unreported + 1.0 <= share
    }

    /// Requests of others that are likely to come before their next news, if each has as many as this
    /// instance.
    fn expected_peer_requests(&self) -> f64 {
        let each = f64::from(self.requested.max(1));
        let others = f64::from(self.sharers.reachable.saturating_sub(1));
        each * others * self.gossip_age.div_duration_f64(window(self.limit))
    }
}
