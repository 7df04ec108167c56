//! Which requests are turned away at once because servers are too busy to answer them in time.
//!
//! A queue in which everybody waits longer than the target serves nobody in time, however many it
//! serves. A request that would have to wait longer than its limit is refused before it is sent;
//! then those that are let in are answered in time. More urgent requests have no lower limit than
//! less urgent ones of the same service, so that these are refused first.

use crate::common::*;
use crate::world::site::{Route, Site};

/// Bounds of the time after which a refused caller should come back.
const SOONEST: Duration = Duration::from_millis(300);
const LATEST: Duration = Duration::from_secs(2);

/// When to come back, for a request that would wait too long for the first byte of its answer.
#[must_use]
pub fn refuses(site: &Site, route: &Route, expected: Duration) -> Option<Duration> {
    if expected <= route.target {
        return None;
    }
    let limit = limit(site, route);
    let over = expected.checked_sub(limit)?;
    Some(over.clamp(SOONEST, LATEST))
}

/// The target of a route, or the longest one of less urgent routes to the same service.
fn limit(site: &Site, route: &Route) -> Duration {
    let less_urgent = site.routes.iter().filter(|other| {
        let mut services = other.split.iter().map(|(service, _)| service);
        let is_same = services.any(|it| route.split.iter().any(|(service, _)| service == it));
        is_same && other.priority > route.priority
    });
    let targets = less_urgent.map(|other| other.target);
    targets.fold(route.target, Duration::max)
}
