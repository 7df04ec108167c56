//! Which requests are turned away at once because servers are too busy to answer them in time.
//!
//! A queue in which everybody waits longer than the target serves nobody in time, however many it
//! serves. A request that would have to wait longer than its target is refused before it is sent;
//! then those that are let in are answered in time. Servers take the more urgent first, so a route
//! is left alone while a less urgent one to the same service is let wait longer.

use crate::common::*;
use crate::world::site::{Route, Site};

/// Bounds of the time after which a refused caller should come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// When to come back, for a request that would wait too long for the first byte of its answer.
#[must_use]
pub fn retry_after(site: &Site, route: &Route, expected: Duration) -> Option<Duration> {
    let excess = expected.checked_sub(route.target)?;
    let is_least_urgent = !site.routes.iter().any(|other| is_shed_first(other, route));
    is_least_urgent.then(|| excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Whether a less urgent route to the same service is let wait longer.
fn is_shed_first(other: &Route, route: &Route) -> bool {
    let mut services = other.split.iter().map(|(service, _)| service);
    let shares_service =
        services.any(|shared| route.split.iter().any(|(service, _)| service == shared));
    shares_service && other.priority > route.priority && other.target > route.target
}
