//! Pauses of streams while their server reads prompts.
//!
//! A server reads prompts in pieces between the tokens of its running requests, so each of its
//! streams stops while prompts are read. The bound here keeps that pause below the target: all
//! unread prompts at a server together must be readable within it.
//!
//! Every request at a server counts as a stream that can be stopped, also one whose prompt is
//! unread: its stream begins before the prompts behind it are read.

use crate::common::*;

/// Assumed time of a step between two events at the usual pace until streams show it: a pause of
/// 446 ms was measured for prompts that take 427 ms to read.
pub const INITIAL_STEP: Duration = Duration::from_millis(20);
/// Cost of a second by which one stream is stopped for too long, in seconds of waiting for a first
/// byte: a caller that waits for an event bears as much as one that waits for the first.
const COST_PER_STREAM_SECOND: f64 = 1.0;

/// The work at a server that stops its streams. All times are those of the usual pace.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// Time to read all unread prompts at the server, those of other instances included.
    pub unread: Duration,
    /// Time of a step, between two events of a stream.
    pub step: Duration,
    /// Factor by which work takes longer at the server now.
    pub pace: f64,
    /// Requests at the server.
    pub requests: u32,
}

impl Reading {
    /// Returns the longest total reading time of unread prompts, at the usual pace, with which no
    /// stream pauses for longer than `target`.
    #[must_use]
    pub fn bound(&self, target: Duration) -> Duration {
        // A pace close to zero must not overflow the duration.
        let target = target.div_f64(self.pace.max(f64::from(f32::EPSILON)));
        target.saturating_sub(self.step)
    }

    /// Returns by how much a request whose prompt takes `own` to read would make the pause of the
    /// server's streams exceed the target, at the current pace. It is zero for a server without
    /// requests.
    #[must_use]
    pub fn excess(&self, target: Duration, own: Duration) -> Duration {
        if self.requests == 0 {
            return Duration::ZERO;
        }
        let excess = (self.unread + own).saturating_sub(self.bound(target));
        excess.mul_f64(self.pace)
    }

    /// Whether the excess can become smaller while a request waits. It can't if the request's own
    /// prompt is the only unread one.
    #[must_use]
    pub const fn can_improve(&self) -> bool {
        !self.unread.is_zero()
    }

    /// Returns the cost, in seconds, of the excess for the streams of the server.
    #[must_use]
    pub fn cost(&self, excess: Duration) -> f64 {
        excess.as_secs_f64() * f64::from(self.requests) * COST_PER_STREAM_SECOND
    }
}
