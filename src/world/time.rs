//! Durations from outside: in the notation of settings (`250ms`, `10s`), or as numbers of other
//! processes.
//!
//! Arithmetic on [`Duration`] panics when it overflows. None that comes from outside is longer than
//! [`LONGEST`], so that sums of them and of moments of this process can't.

use crate::common::*;

/// Longest duration that is taken from outside, 100 years; longer ones are cut to it.
pub const LONGEST: Duration = Duration::from_hours(100 * 365 * 24);

/// Converts milliseconds from outside.
#[must_use]
pub fn from_millis(millis: u64) -> Duration {
    Duration::from_millis(millis).min(LONGEST)
}

/// Converts whole seconds from outside.
#[must_use]
pub fn from_secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds).min(LONGEST)
}

/// Converts seconds from outside; a negative number, or none, is no time.
#[must_use]
pub fn from_secs_f64(seconds: f64) -> Duration {
    // `max` and `min` return the other operand if one is not a number.
    Duration::from_secs_f64(seconds.max(0.0).min(LONGEST.as_secs_f64()))
}

/// Parses a duration with the unit `ms` or `s`.
///
/// # Errors
/// [`Error::Duration`] if the text is not a whole number followed by `ms` or `s`, or longer than
/// [`LONGEST`].
pub fn parse(text: &str) -> Result<Duration> {
    let parsed = match text.strip_suffix("ms") {
        Some(digits) => digits.parse().map(Duration::from_millis).ok(),
        None => text
            .strip_suffix('s')
            .and_then(|digits| digits.parse().map(Duration::from_secs).ok()),
    };
    parsed
        .filter(|duration| *duration <= LONGEST)
        .ok_or_else(|| Error::Duration { text: text.into() })
}

/// Returns the value of `Retry-After` for a wait: whole seconds, rounded up, at least one.
#[must_use]
pub fn retry_after_secs(wait: Duration) -> u64 {
    let rounded_up = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    rounded_up.max(1)
}
