//! Global rate limit of a team, divided into one share per instance.
//!
//! The shares of a team are stored in one row. An instance raises or lowers only its own share. A
//! raise is committed only if the sum stays within the limit, and a share is lowered in the
//! instance before it is lowered in the row. Shares do not expire: the share of an instance that
//! is partitioned off stays reserved, and is released only when the platform no longer lists the
//! instance. So the sum stays within the limit during outages, pauses and restarts.

use crate::common::*;
use crate::world::id;
use crate::world::table::{Row, Txn};
use crate::world::unit::{Rate, float};

/// Changes of a share smaller than this fraction of the limit are not written.
const MIN_CHANGE_FRACTION: f64 = 0.02;
/// Fraction of the limit that is divided evenly, whatever the demand.
const EVEN_FRACTION: f64 = 0.03;
/// Time after the start of an instance in which its measured demand is too low: callers arrive as
/// soon as it is ready, but the measurement is an average over several seconds.
const DEMAND_WARM_UP: Duration = Duration::from_secs(3);

/// Value of a team's row in the store: requests per second that each instance may admit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Allocation {
    pub parts: BTreeMap<id::Instance, f64>,
}

impl Allocation {
    /// Returns the requests per second that all instances together may admit.
    #[must_use]
    pub fn sum(&self) -> f64 {
        self.parts.values().sum()
    }
}

/// A team's demand at each instance, in requests per second.
pub type Demand = BTreeMap<id::Instance, f64>;

/// Returns the share that an instance should have, in requests per second: a small part of the
/// limit is divided evenly, the rest in proportion to demand.
#[must_use]
pub fn fair_share(limit: Rate, own_id: &id::Instance, demand: &Demand) -> f64 {
    let count = float(demand.len().max(1) as u64);
    let total: f64 = demand.values().sum();
    let own_rate = demand.get(own_id).copied().unwrap_or(0.0);
    let even_share = limit.0 / count;
    if total <= 0.0 {
        return even_share;
    }
    even_share * EVEN_FRACTION + limit.0 * (1.0 - EVEN_FRACTION) * own_rate / total
}

/// Returns an instance's estimate of its own demand at time `now` after its start: the measured
/// rate, but during the warm-up at least the average of the other instances.
#[must_use]
pub fn estimate_own_demand(now: Duration, measured: f64, other_demand: &Demand) -> f64 {
    if now >= DEMAND_WARM_UP || other_demand.is_empty() {
        return measured;
    }
    let average = other_demand.values().sum::<f64>() / float(other_demand.len() as u64);
    measured.max(average)
}

/// One instance's share of one team's limit, as a token bucket.
#[derive(Debug, Clone)]
pub struct Share {
    own_id: id::Instance,
    /// Rate that the stored row certainly grants, in requests per second.
    granted: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Row version on which a write without an answer yet was conditional; the write may still take
    /// effect.
    unconfirmed_version: Option<u64>,
    /// Whether this process has written its share. Until then, a write of the previous process on
    /// this instance may still be in transit.
    has_written: bool,
}

impl Share {
    /// Creates a share that grants nothing until its first write is known to have taken effect.
    #[must_use]
    pub const fn new(own_id: id::Instance, now: Duration) -> Self {
        Self {
            own_id,
            granted: 0.0,
            tokens: 0.0,
            refilled_at: now,
            unconfirmed_version: None,
            has_written: false,
        }
    }

    /// Returns the requests per second that this instance may admit.
    #[must_use]
    pub const fn granted(&self) -> Rate {
        Rate(self.granted)
    }

    /// Admits one request if a token is available.
    ///
    /// # Errors
    /// The time after which to retry if no token is available.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let wait = if self.granted > 0.0 {
            missing / self.granted
        } else {
            1.0
        };
        Err(Duration::from_secs_f64(wait.clamp(0.05, 60.0)))
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let burst = self.granted.max(1.0);
        self.tokens = (self.tokens + elapsed * self.granted).min(burst);
        self.refilled_at = now;
    }

    /// Returns the write that moves the share towards the fair share, or `None` if the change is
    /// too small.
    ///
    /// `is_listed` tells whether the platform still lists an instance.
    pub fn adjust(
        &mut self,
        now: Duration,
        key: &str,
        row: Option<&Row>,
        limit: Rate,
        demand: &Demand,
        is_listed: impl Fn(&id::Instance) -> bool,
    ) -> Option<Txn> {
        self.refill(now);
        let mut allocation = row.map_or_else(Allocation::default, |row| {
            Allocation::deserialize(&row.value).unwrap_or_default()
        });
        let version = row.map_or(0, |row| row.version);
        let recorded = allocation.parts.get(&self.own_id).copied().unwrap_or(0.0);
        self.apply_recorded(version, recorded);
        let previous = allocation.clone();
        allocation
            .parts
            .retain(|instance, _| *instance == self.own_id || is_listed(instance));
        let available_rate = (limit.0 - (allocation.sum() - recorded)).max(0.0);
        let target = fair_share(limit, &self.own_id, demand).min(available_rate);
        let is_worth_writing = (target - recorded).abs() > limit.0 * MIN_CHANGE_FRACTION;
        if is_worth_writing || recorded > available_rate {
            self.granted = self.granted.min(target);
            allocation.parts.insert(self.own_id.clone(), target);
        }
        if allocation == previous && self.has_written {
            return None;
        }
        self.unconfirmed_version = Some(version);
        Some(Txn::default().put(key, version, json!(allocation)))
    }

    /// Updates the granted rate from the row as read.
    ///
    /// While a write is unconfirmed, the lower of the granted and the recorded rate holds; before the
    /// first confirmed write, nothing is granted.
    fn apply_recorded(&mut self, version: u64, recorded: f64) {
        if self
            .unconfirmed_version
            .is_some_and(|unconfirmed_version| unconfirmed_version != version)
        {
            self.unconfirmed_version = None;
            self.has_written = true;
        }
        self.granted = match self.unconfirmed_version {
            Some(_) => self.granted.min(recorded),
            None if self.has_written => recorded,
            None => 0.0,
        };
    }

    /// Applies the share that a committed write recorded.
    pub fn on_committed(&mut self, now: Duration, txn: &Txn) {
        self.refill(now);
        let value = txn.puts.first().map(|put| &put.value);
        let allocation = value.and_then(|value| Allocation::deserialize(value).ok());
        let own_part =
            allocation.and_then(|allocation| allocation.parts.get(&self.own_id).copied());
        self.granted = own_part.unwrap_or(0.0);
        self.unconfirmed_version = None;
        self.has_written = true;
        self.tokens = self.tokens.min(self.granted.max(1.0));
    }

    /// Records that a write certainly had no effect.
    pub fn on_refused(&mut self) {
        self.unconfirmed_version = None;
    }
}
