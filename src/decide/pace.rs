//! Pace of a server: the factor by which work takes longer there at the moment than usual.
//!
//! Servers share their machines, so the pace changes many times a second. A server states it in the
//! heads of its answers; between answers, the intervals between the events of its streams show it.
//! A value says little about the moment after the next change, so it counts in full only while it is
//! fresh, and the estimate then returns to a learned average.

use crate::common::*;
use crate::world::message::{MAX_PACE, MIN_PACE};
use crate::world::time;

/// Age up to which the newest value counts in full.
const FRESH: Duration = Duration::from_millis(50);
/// Age from which only the average counts.
const STALE: Duration = Duration::from_millis(250);
/// Time constant of the average. A request rate that follows the pace does not bias the average,
/// since each value is weighted by the time since the last one.
const AVERAGE_SECONDS: f64 = 2.0;
/// Largest weight of one value in an average.
const MAX_WEIGHT: f64 = 0.1;
/// Weight of one interval between events in the newest value while that is fresh; a single interval
/// also contains delays of the network and of this process.
const EVENT_WEIGHT: f64 = 0.3;
/// Intervals beyond this multiple of the usual one contain the reading of a prompt, or the server
/// had no event to send; those below its inverse were held up on the way and arrived together. They
/// say nothing about the pace.
const MAX_INTERVAL_RATIO: f64 = 4.0;

/// Relative step by which the usual interval follows a new one. Fixed steps up or down find the
/// median, which single intervals that contain the reading of a prompt don't move.
const USUAL_STEP: f64 = 0.05;
/// Intervals after which the usual one is known: enough steps to come from four times its value.
const MIN_INTERVALS: u32 = 30;

/// Estimate of one server's pace.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// The last value that the server stated, with its time; `None` if it never stated one.
    stated: Option<(Duration, f64)>,
    /// The newest value, stated or derived from a stream, with its time.
    newest: Option<(Duration, f64)>,
    /// Difference of the learned average from the usual pace of 1.
    average_excess: f64,
    /// Median of the seconds between two events of a stream at the usual pace; `None` before the
    /// first interval.
    event_seconds: Option<f64>,
    /// Intervals from which it was learned.
    intervals: u32,
}

impl Pace {
    /// Whether the server ever stated a pace.
    #[must_use]
    pub const fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// Records the pace that the server stated in an answer.
    pub fn on_stated(&mut self, now: Duration, pace: f64) {
        let pace = pace.clamp(MIN_PACE, MAX_PACE);
        self.add_to_average(now, pace);
        self.stated = Some((now, pace));
        self.newest = self.stated;
    }

    /// Records the interval between two events of a stream. It is ignored until the server has
    /// stated a pace.
    pub fn on_interval(&mut self, now: Duration, interval: Duration) {
        let Some((stated_at, stated)) = self.stated else {
            return;
        };
        let seconds = interval.as_secs_f64();
        // Only a pace that the server stated itself relates an interval to the usual one. A derived
        // value would confirm itself.
        if now < stated_at + FRESH {
            let usual = seconds / stated;
            let known = self.event_seconds.get_or_insert(usual);
            if usual > *known {
                *known *= 1.0 + USUAL_STEP;
            } else if usual < *known {
                *known /= 1.0 + USUAL_STEP;
            }
            self.intervals = self.intervals.saturating_add(1);
            return;
        }
        let Some(usual) = self.event_interval() else {
            return;
        };
        let ratio = seconds / usual.as_secs_f64();
        if !(1.0 / MAX_INTERVAL_RATIO..=MAX_INTERVAL_RATIO).contains(&ratio) {
            return;
        }
        let derived = match self.newest {
            Some((at, pace)) if now < at + FRESH => pace + EVENT_WEIGHT * (ratio - pace),
            _ => ratio,
        };
        let derived = derived.clamp(MIN_PACE, MAX_PACE);
        self.add_to_average(now, derived);
        self.newest = Some((now, derived));
    }

    /// Returns the expected pace now; 1 for a server that never stated one.
    #[must_use]
    pub fn effective(&self, now: Duration) -> f64 {
        let average = 1.0 + self.average_excess;
        let Some((at, pace)) = self.newest else {
            return average;
        };
        let age = now.saturating_sub(at);
        let fading = STALE.saturating_sub(FRESH);
        let weight = STALE.saturating_sub(age).div_duration_f64(fading);
        average + weight.min(1.0) * (pace - average)
    }

    /// Returns the expected mean pace of work that starts now and takes `usual` at the usual pace.
    /// The longer the work, the less the newest value says about it.
    #[must_use]
    pub fn during(&self, now: Duration, usual: Duration) -> f64 {
        let average = 1.0 + self.average_excess;
        let Some((at, pace)) = self.newest else {
            return average;
        };
        let work = usual.mul_f64(average).as_secs_f64();
        if work <= 0.0 {
            return self.effective(now);
        }
        let age = now.saturating_sub(at).as_secs_f64();
        let weight = (remaining_weight(age) - remaining_weight(age + work)) / work;
        average + weight * (pace - average)
    }

    /// Returns the newest value; 1 for a server that never stated one.
    #[must_use]
    pub fn newest(&self) -> f64 {
        self.newest.map_or(1.0, |(_, pace)| pace)
    }

    /// Returns the learned time between two events of a stream at the usual pace; `None` while it
    /// is unknown.
    #[must_use]
    pub fn event_interval(&self) -> Option<Duration> {
        let learned = self
            .event_seconds
            .filter(|_| self.intervals >= MIN_INTERVALS);
        learned.map(time::from_secs_f64)
    }

    fn add_to_average(&mut self, now: Duration, pace: f64) {
        let weight = self.newest.map_or(MAX_WEIGHT, |(at, _)| {
            let elapsed = now.saturating_sub(at).as_secs_f64();
            (elapsed / AVERAGE_SECONDS).min(MAX_WEIGHT)
        });
        self.average_excess += weight * (pace - 1.0 - self.average_excess);
    }
}

/// Returns the integral of the newest value's weight from an age on, in seconds.
fn remaining_weight(age: f64) -> f64 {
    let (fresh, stale) = (FRESH.as_secs_f64(), STALE.as_secs_f64());
    let fading = (stale - age.max(fresh)).max(0.0);
    (fresh - age).max(0.0) + fading * fading / (2.0 * (stale - fresh))
}
