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
const SETTLE: Duration = Duration::from_millis(500);
/// A limit that no answer confirmed for this long is forgotten.
const MEMORY: Duration = Duration::from_mins(10);
/// Peers are told of a limit again after this time, for those that have just begun.
const TELL_AGAIN: Duration = Duration::from_secs(2);
/// A change of a limit below this part of it is no news: servers may name a new one in each answer.
const NEWS_PART: f64 = 0.1;

/// Span over which servers count requests; the platform's rule.
const SPAN: Duration = Duration::from_secs(4);
/// Longest time between requests to a server, however low its limit: only an answer can lift it.
const LONGEST_SPAN: Duration = Duration::from_secs(20);

/// What one start of a server said last.
#[derive(Debug, Clone, Copy)]
struct Word {
    boot: Incarnation,
    /// None once it was lifted.
    rate: Option<Rate>,
    at: Duration,
    /// What all instances were told last, and when.
    told: Option<Rate>,
    told_at: Duration,
}

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Change {
    pub is_news: bool,
    /// Whether peers are to be told.
    pub is_due: bool,
}

/// Limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    words: Map<id::Worker, Word>,
}

impl Limits {
    /// Takes what an answer of a server said, or that it named no limit.
    pub fn on_said(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) -> Change {
        self.words.retain(|_, word| now < word.at + MEMORY);
        let known = self.words.get(worker).copied();
        let later_start = known.is_some_and(|known| known.boot > boot);
        let known = known.filter(|known| known.boot == boot);
        let named = known.and_then(|known| known.rate);
        let lifts_too_soon = rate.is_none() && known.is_some_and(|known| now < known.at + SETTLE);
        if later_start || lifts_too_soon || (rate.is_none() && named.is_none()) {
            return Change::default();
        }
        let (told, told_at) = known.map_or((None, now), |known| (known.told, known.told_at));
        let is_news = is_news(told, rate);
        let is_due = is_news || now >= told_at + TELL_AGAIN;
        let word = Word {
            boot,
            rate,
            at: now,
            told: if is_due { rate } else { told },
            told_at: if is_due { now } else { told_at },
        };
        self.words.insert(worker.clone(), word);
        Change { is_news, is_due }
    }

    /// Takes what a peer heard from a server; whether that is news.
    pub fn on_told(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) -> bool {
        let change = self.on_said(now, worker, boot, rate);
        let word = self.words.get_mut(worker);
        if let Some(word) = word.filter(|word| word.boot == boot) {
            (word.told, word.told_at) = (word.rate, now);
        }
        change.is_news
    }

    /// Limits that are in force.
    pub fn named(&self) -> impl Iterator<Item = (&id::Worker, Rate)> {
        let words = self.words.iter();
        words.filter_map(|(worker, word)| Some((worker, word.rate?)))
    }

    /// The limit of this start of a server, where it named one.
    #[must_use]
    pub fn of(&self, worker: &id::Worker, boot: Incarnation) -> Option<Rate> {
        let word = self.words.get(worker);
        word.filter(|word| word.boot == boot)?.rate
    }
}

fn is_news(told: Option<Rate>, rate: Option<Rate>) -> bool {
    match (told, rate) {
        (Some(told), Some(rate)) => (rate.0 - told.0).abs() > told.0 * NEWS_PART,
        (told, rate) => told.is_some() != rate.is_some(),
    }
}

/// When requests were sent, as far back as any limit looks.
#[derive(Debug, Clone, Default)]
pub struct Sent(VecDeque<Duration>);

impl Sent {
    /// Notes a request.
    pub fn add(&mut self, now: Duration) {
        while self.0.front().is_some_and(|at| *at + LONGEST_SPAN <= now) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Requests over the span of a limit.
    #[must_use]
    pub fn recent(&self, now: Duration, limit: Rate) -> u32 {
        self.within(now, span(limit))
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
fn span(limit: Rate) -> Duration {
    let apart = Duration::try_from_secs_f64(1.0 / limit.0).unwrap_or(LONGEST_SPAN);
    apart.clamp(SPAN, LONGEST_SPAN)
}

/// The instances that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Crowd {
    /// Those whose news is heard, this one included.
    pub heard: u32,
    /// All that may send; none before the list of them was read.
    pub all: Option<u32>,
}

impl Default for Crowd {
    fn default() -> Self {
        Self {
            heard: 1,
            all: Some(1),
        }
    }
}

impl Crowd {
    /// Part of a limit that those may use together whose news is heard.
    fn part(self) -> f64 {
        let all = self.all.unwrap_or(u32::MAX).max(self.heard);
        f64::from(self.heard) / f64::from(all)
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
    pub unheard: u32,
    /// Requests of this instance that could have gone there.
    pub asked: u32,
    pub crowd: Crowd,
    /// How old the news of others is.
    pub news_age: Duration,
}

impl Usage {
    /// Requests that may be sent over the span.
    #[must_use]
    pub fn allowed(&self) -> f64 {
        let rate = self.limit.0.max(1.0 / LONGEST_SPAN.as_secs_f64());
        rate * span(self.limit).as_secs_f64() * self.crowd.part()
    }

    /// How long a request must wait, if it can't be sent now; `draw` lies in `0..1`.
    #[must_use]
    pub fn wait(&self, draw: f64) -> Option<Duration> {
        let sent = float(u64::from(self.own) + u64::from(self.others));
        let room = self.allowed() - sent;
        if draw * self.rivals().max(1.0) < room && self.has_part(room) {
            return None;
        }
        let span = span(self.limit);
        let behind = (1.0 - room).max(1.0);
        let apart = span.as_secs_f64() / self.allowed();
        Some(Duration::try_from_secs_f64(behind * apart).map_or(span, |wait| wait.min(span)))
    }

    /// Whether this instance has left some of its part of the room at the last news; one request it may
    /// always send.
    fn has_part(&self, room: f64) -> bool {
        let unheard = f64::from(self.unheard);
        let part = (room + unheard) / f64::from(self.crowd.heard.max(1));
        self.unheard == 0 || unheard + 1.0 <= part
    }

    /// Requests of others that are likely to come before their next news, if each has as many as this
    /// instance.
    fn rivals(&self) -> f64 {
        let each = f64::from(self.asked.max(1));
        let others = f64::from(self.crowd.heard.saturating_sub(1));
        each * others * self.news_age.div_duration_f64(span(self.limit))
    }
}
