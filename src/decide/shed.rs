//! Load shedding: rejects requests immediately if servers are too busy to answer them in time.
//!
//! A queue in which every request waits longer than its target answers none in time. A request that
//! would wait longer than its target is therefore rejected before it is sent, so that admitted
//! requests are answered in time. Servers process more urgent requests first, so a route is never
//! shed while a less urgent route to the same service has a longer target.

use crate::common::*;
use crate::world::site::{Route, Site};

/// Bounds of the retry delay of a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the retry delay for a request that is shed because it would wait too long for its first
/// byte, or `None` if it is admitted.
#[must_use]
pub fn retry_after(site: &Site, route: &Route, expected: Duration) -> Option<Duration> {
    let excess = expected.checked_sub(route.target)?;
    let is_least_urgent = !site.routes.iter().any(|other| is_shed_first(other, route));
    is_least_urgent.then(|| excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Returns whether `other` is a less urgent route to the same service with a longer target.
fn is_shed_first(other: &Route, route: &Route) -> bool {
    let mut services = other.split.iter().map(|(service, _)| service);
    let shares_service =
        services.any(|shared| route.split.iter().any(|(service, _)| service == shared));
    shares_service && other.priority > route.priority && other.target > route.target
}
