//! Durations as settings write them: `250ms`, `10s`.

use crate::common::*;

/// Reads a duration with its unit, `ms` or `s`.
///
/// # Errors
/// [`Error::Duration`] when the text is no whole number followed by `ms` or `s`.
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

/// Whole seconds to wait, rounded up, at least one: the value of `Retry-After`.
#[must_use]
pub fn retry_after_secs(wait: Duration) -> u64 {
    let rounded_up = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    rounded_up.max(1)
}
