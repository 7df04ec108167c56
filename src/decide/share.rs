//! One limit of a team for the whole site, divided between instances.
//!
//! The division stands in one row for each team. An instance changes only its own part, and a
//! raise is committed only while the sum stays within the limit; a part is lowered in the
//! instance before it is lowered in the row. No clock is involved: the part of an instance that
//! is cut off stays reserved for it, and is taken back only when the platform no longer lists
//! the instance. So the sum holds during outages, pauses and restarts.

use crate::common::*;
use crate::world::id;
use crate::world::table::{Row, Txn};
use crate::world::unit::{Rate, float};

/// A change smaller than this part of the limit isn't worth a write.
const MIN_CHANGE_FRACTION: f64 = 0.02;
/// Part of the limit that is divided evenly whatever the demand.
const EVEN_FRACTION: f64 = 0.03;
/// Time after its start in which an instance can't tell its demand yet: callers come as soon as it is
/// ready, and what it measured of them is averaged over seconds.
const DEMAND_WARM_UP: Duration = Duration::from_secs(3);

/// Value of a division's row: requests per second that each instance may admit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Allocation {
    pub parts: BTreeMap<id::Instance, f64>,
}

impl Allocation {
    /// What all instances together may admit, in requests per second.
    #[must_use]
    pub fn sum(&self) -> f64 {
        self.parts.values().sum()
    }
}

/// Demand for a team's limit at each instance, in requests per second.
pub type Demand = BTreeMap<id::Instance, f64>;

/// The part that an instance should have: a floor for everybody, the rest by demand.
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

/// What an instance counts as its own demand at some time after its start: at first no less than the
/// others have on average.
#[must_use]
pub fn estimate_own_demand(now: Duration, measured: f64, other_demand: &Demand) -> f64 {
    if now >= DEMAND_WARM_UP || other_demand.is_empty() {
        return measured;
    }
    let average = other_demand.values().sum::<f64>() / float(other_demand.len() as u64);
    measured.max(average)
}

/// One instance's part of one team's limit.
#[derive(Debug, Clone)]
pub struct Share {
    own_id: id::Instance,
    /// What the row certainly grants, in requests per second.
    granted: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Version that a write without an answer was conditional on; it may still take effect.
    unconfirmed_version: Option<u64>,
    /// Whether this process has written its part; a write of its predecessor may be on its way.
    has_written: bool,
}

impl Share {
    /// No part yet; a part that the row already names is taken at the first read.
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

    /// Requests per second that this instance may admit.
    #[must_use]
    pub const fn granted(&self) -> Rate {
        Rate(self.granted)
    }

    /// Admits one request, or says when to come back.
    ///
    /// # Errors
    /// The time after which a request would be admitted.
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

    /// The write that brings the part nearer to what is fair, if one is worth it.
    ///
    /// `listed` says whether the platform still lists an instance.
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

    /// Takes the part that a committed write recorded.
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

    /// Notes that a write certainly took no effect.
    pub fn on_refused(&mut self) {
        self.unconfirmed_version = None;
    }
}
