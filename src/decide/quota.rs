//! Quotas of workspaces that all instances share.
//!
//! The holder of a shard's lease is the grantor of the quotas of the workspaces in that shard. Other
//! instances ask it for units, and use what it grants within [`Terms::expiry`] of their request, by
//! their own clocks. Units that are used within a window were therefore granted within the window or
//! at most one expiry before it, so the token bucket of the grantor bounds the use of all instances
//! whatever happens to datagrams and processes.

mod account;
pub mod grantor;
pub mod requester;

use crate::common::*;
use crate::world::deployment::QuotaSlack;
use crate::world::shard::Shard;
use crate::world::unit::Fence;
use crate::world::workspace::{Quota, Unit};

/// Shortest expiry of grants: with a shorter one they would hardly reach the instances in time.
const MIN_EXPIRY: Duration = Duration::from_millis(200);
/// Expiry of grants if the settings do not state by how much quotas may be exceeded.
const DEFAULT_EXPIRY: Duration = Duration::from_millis(500);
/// Share of the extra units by which a bucket may be in debt. The rest raises its capacity.
const DEBT_SHARE: f64 = 0.5;

/// Terms of a quota: the token bucket, and how long its units may be used.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Terms {
    /// Units per second.
    pub rate: f64,
    /// Highest level of the bucket.
    pub capacity: f64,
    /// How far the level may fall below zero.
    pub debt: f64,
    /// Whether a level above zero covers one request of any size.
    pub covers_any: bool,
    /// Time from a request for units to the end of their use.
    pub expiry: Duration,
}

impl Terms {
    /// Returns the terms of a quota.
    ///
    /// A bucket that holds the burst alone would refuse every sixth request of a workspace with random
    /// arrivals at half of its quota, since its requests are as large as half of the smallest burst.
    /// So one half of the extra units serves as debt and the other as additional capacity: within any
    /// window at most `rate * (window + expiry) + burst + extra` units are used.
    #[must_use]
    pub fn new(quota: &Quota, slack: Option<&QuotaSlack>) -> Self {
        let rate = quota.rate.0;
        let Some(slack) = slack else {
            return Self {
                rate,
                capacity: quota.burst.max(1.0),
                debt: 0.0,
                covers_any: true,
                expiry: expiry(None),
            };
        };
        // An expiry above what the settings allow for costs extra units.
        let allowed = slack.window.mul_f64(slack.overage);
        let excess = expiry(Some(slack)).saturating_sub(allowed);
        let extra = (slack.extra - rate * excess.as_secs_f64()).max(0.0);
        // The extra units are meant for tokens; they would cover hours of a small limit on requests.
        let extra = match quota.unit {
            Unit::Tokens { .. } => extra,
            Unit::Requests => {
                let useful = rate * slack.window.as_secs_f64() * DEBT_SHARE;
                extra.min(useful.max(2.0))
            }
        };
        Self {
            rate,
            capacity: quota.burst + extra * (1.0 - DEBT_SHARE),
            debt: extra * DEBT_SHARE,
            covers_any: false,
            expiry: expiry(Some(slack)),
        }
    }
}

/// Returns the time from a request for units to the end of their use.
#[must_use]
pub fn expiry(slack: Option<&QuotaSlack>) -> Duration {
    slack.map_or(DEFAULT_EXPIRY, |slack| {
        slack.window.mul_f64(slack.overage).max(MIN_EXPIRY)
    })
}

/// Time in which a process holds the lease of a shard and no other holder can act, by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    pub shard: Shard,
    pub fence: Fence,
    pub from: Duration,
    pub until: Duration,
}

/// A request for units.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    pub workspace: CompactString,
    /// Increases with each new request of one incarnation for the workspace.
    pub number: u64,
    /// Units of each request that waits for them, in order of arrival. Each is granted in full or not
    /// at all.
    pub needs: Vec<u64>,
    /// Units for requests that are expected soon.
    pub ahead: u64,
}

/// Answer to a request for units.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub workspace: CompactString,
    pub number: u64,
    pub units: u64,
    /// Size of the first request that is not covered, and the time until it may be.
    pub unmet: Option<(u64, Duration)>,
}

/// Units of a grant that are not needed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Return {
    pub workspace: CompactString,
    /// Number of the request for the grant.
    pub number: u64,
    /// All units returned of this grant so far, so that a repeated datagram does not count twice.
    pub total: u64,
}
