//! Requests that wait at their instance because every server has as much unread prompt as its
//! streams can bear: in which order they are sent, and how long they wait at most.

use crate::common::*;
use crate::world::id;
use crate::world::message::Target;

/// Part of its route's target that a request may spend on waiting here and for its first byte. The
/// rest covers errors of the expected time.
const TARGET_FRACTION: f64 = 0.5;

/// Returns until when a request may wait: at its end, half of the target is left to the first byte
/// after the expected time. A request whose expected time uses up that half does not wait.
#[must_use]
pub fn wait_until(arrived: Duration, target: Duration, expected: Duration) -> Duration {
    arrived + target.mul_f64(TARGET_FRACTION).saturating_sub(expected)
}

/// Requests that compete for the same servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    pub service: id::Service,
    pub target: Target,
}

/// Place of a request in its line: the most urgent one first, then the oldest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u8,
    arrived: Duration,
    /// Distinguishes requests that arrived at the same time.
    number: u64,
}

/// All waiting requests of an instance.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<Line, BTreeSet<Place>>,
    last_number: u64,
}

impl Queue {
    /// Adds a request that arrived at some time; returns its place.
    pub fn join(&mut self, line: &Line, priority: u8, arrived: Duration) -> Place {
        self.last_number += 1;
        let place = Place {
            priority,
            arrived,
            number: self.last_number,
        };
        self.lines.entry(line.clone()).or_default().insert(place);
        place
    }

    /// Removes a request; returns whether it was the first of its line and others wait there.
    pub fn leave(&mut self, line: &Line, place: Place) -> bool {
        let Some(places) = self.lines.get_mut(line) else {
            return false;
        };
        let was_first = places.first() == Some(&place);
        places.remove(&place);
        let is_empty = places.is_empty();
        if is_empty {
            self.lines.remove(line);
        }
        was_first && !is_empty
    }

    /// Whether a waiting request is the first of its line.
    #[must_use]
    pub fn is_first(&self, line: &Line, place: Place) -> bool {
        let places = self.lines.get(line);
        places.is_none_or(|places| places.first().is_none_or(|first| *first >= place))
    }

    /// Whether a request that does not wait yet must let a waiting one go first.
    #[must_use]
    pub fn has_before(&self, line: &Line, priority: u8, arrived: Duration) -> bool {
        let first = self.lines.get(line).and_then(BTreeSet::first);
        first.is_some_and(|first| (first.priority, first.arrived) <= (priority, arrived))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.values().map(BTreeSet::len).sum()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the number of waiting requests by service.
    #[must_use]
    pub fn by_service(&self) -> BTreeMap<&id::Service, usize> {
        let mut counts = BTreeMap::new();
        for (line, places) in &self.lines {
            *counts.entry(&line.service).or_default() += places.len();
        }
        counts
    }
}
