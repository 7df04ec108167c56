//! Durations in the notation of settings: `250ms`, `10s`.

use crate::common::*;

/// Parses a duration with the unit `ms` or `s`.
///
/// # Errors
/// [`Error::Duration`] if the text is not a whole number followed by `ms` or `s`.
pub fn parse(text: &str) -> Result<Duration> {
    let invalid = || Error::Duration { text: text.into() };
    if let Some(digits) = text.strip_suffix("ms") {
        return digits
            .parse()
            .map(Duration::from_millis)
            .map_err(|_| invalid());
    }
    let digits = text.strip_suffix('s').ok_or_else(invalid)?;
    digits
        .parse()
        .map(Duration::from_secs)
        .map_err(|_| invalid())
}

/// Returns the value of `Retry-After` for a wait: whole seconds, rounded up, at least one.
#[must_use]
pub fn retry_after_secs(wait: Duration) -> u64 {
    let rounded_up = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    rounded_up.max(1)
}
