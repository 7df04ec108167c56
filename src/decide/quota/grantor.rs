//! The grantor's side of a quota: a token bucket in memory for each workspace.
//!
//! Nothing is stored. A new grantor begins at the lowest level that a bucket may have, so whatever the
//! earlier one granted was covered by the refill until then.

use super::{Answer, Ask, Return, Tenure, Terms};
use crate::common::*;
use crate::world::deployment::QuotaSlack;
use crate::world::id;
use crate::world::shard::Shard;
use crate::world::time;
use crate::world::unit::{Fence, Incarnation, float};
use crate::world::workspace::Quota;

/// Shortest time until more units are available that an answer states. With a shorter one, hundreds of
/// instances would ask for a hot workspace's units hundreds of times a second.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Part of a bucket's capacity that is not granted ahead of requests.
const RESERVED_SHARE: f64 = 0.5;
/// Answers are kept for repeated requests for this long.
const ANSWER_RETENTION: Duration = Duration::from_secs(5);

/// A process that asks for units.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    pub instance: id::Instance,
    pub incarnation: Incarnation,
}

/// Buckets of the quotas in the shards that this process holds.
#[derive(Debug, Clone, Default)]
pub struct Grantor {
    slack: Option<QuotaSlack>,
    tenures: Vec<Tenure>,
    quotas: BTreeMap<CompactString, Quota>,
    buckets: BTreeMap<CompactString, Bucket>,
    /// Workspaces whose buckets were opened and that the caller has not asked for.
    opened: Vec<CompactString>,
}

#[derive(Debug, Clone)]
struct Bucket {
    terms: Terms,
    fence: Fence,
    level: f64,
    updated_at: Duration,
    /// Grants of which units may be returned, oldest first.
    grants: VecDeque<Grant>,
    /// Sum of [`Grant::returnable`].
    returnable: f64,
    /// Last answer to each instance.
    answers: BTreeMap<id::Instance, Answered>,
}

#[derive(Debug, Clone)]
struct Grant {
    sender: Sender,
    number: u64,
    granted_at: Duration,
    /// Units that raise the level again if they are returned.
    returnable: f64,
    returned: u64,
}

#[derive(Debug, Clone)]
struct Answered {
    incarnation: Incarnation,
    at: Duration,
    answer: Answer,
}

/// Level of a bucket, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Level {
    pub workspace: CompactString,
    pub level: f64,
    pub terms: Terms,
}

impl Grantor {
    /// Creates a grantor that holds no shard.
    #[must_use]
    pub fn new(slack: Option<QuotaSlack>) -> Self {
        Self {
            slack,
            ..Self::default()
        }
    }

    /// Replaces the quotas by those of a new configuration. Levels above a lower quota are cut.
    pub fn on_quotas(&mut self, now: Duration, quotas: BTreeMap<CompactString, Quota>) {
        self.quotas = quotas;
        for (name, bucket) in &mut self.buckets {
            bucket.refill(now);
            // A bucket without a quota stays, so that the quota does not begin anew if it comes back.
            if let Some(quota) = self.quotas.get(name) {
                bucket.set_terms(Terms::new(quota, self.slack.as_ref()));
            }
        }
        self.open_buckets(now);
    }

    /// Replaces the shards that this process holds.
    pub fn on_tenures(&mut self, now: Duration, tenures: Vec<Tenure>) {
        self.tenures = tenures;
        let tenures = &self.tenures;
        // A bucket stays while nobody else can have granted in the meantime.
        self.buckets.retain(|name, bucket| {
            let tenure = tenures.iter().find(|it| it.shard == Shard::of_name(name));
            tenure.is_none_or(|tenure| tenure.fence == bucket.fence)
        });
        self.open_buckets(now);
    }

    /// Opens the missing buckets of the shards in which this process acts. Nobody has granted from them
    /// since the tenure began, so they have been filling since then.
    fn open_buckets(&mut self, now: Duration) {
        for (name, quota) in &self.quotas {
            let tenure = acting(&self.tenures, now, name);
            if let Some(tenure) = tenure.filter(|_| !self.buckets.contains_key(name)) {
                let terms = Terms::new(quota, self.slack.as_ref());
                let bucket = Bucket::new(tenure.from, terms, tenure.fence);
                self.buckets.insert(name.clone(), bucket);
                self.opened.push(name.clone());
            }
        }
    }

    /// Answers a request for units; `None` if this process may not grant them now.
    pub fn on_ask(&mut self, now: Duration, sender: &Sender, ask: &Ask) -> Option<Answer> {
        acting(&self.tenures, now, &ask.workspace)?;
        self.quotas.get(&ask.workspace)?;
        if !self.buckets.contains_key(&ask.workspace) {
            self.open_buckets(now);
        }
        let bucket = self.buckets.get_mut(&ask.workspace)?;
        bucket.refill(now);
        if let Some(known) = bucket.answers.get(&sender.instance) {
            let known_to = (known.incarnation, known.answer.number);
            let asked = (sender.incarnation, ask.number);
            if asked == known_to {
                return Some(known.answer.clone());
            }
            if asked < known_to {
                return None;
            }
        }
        let answer = bucket.grant(now, sender, ask);
        let answered = Answered {
            incarnation: sender.incarnation,
            at: now,
            answer: answer.clone(),
        };
        bucket.answers.insert(sender.instance.clone(), answered);
        Some(answer)
    }

    /// Takes back units of a grant; returns by how much the level rises.
    pub fn on_return(&mut self, now: Duration, sender: &Sender, returned: &Return) -> f64 {
        let Some(bucket) = self.buckets.get_mut(&returned.workspace) else {
            return 0.0;
        };
        bucket.refill(now);
        bucket.take_back(sender, returned)
    }

    /// Returns the workspaces whose buckets were opened since the last call.
    pub fn take_opened(&mut self) -> Vec<CompactString> {
        std::mem::take(&mut self.opened)
    }

    /// Whether this process may grant units of a workspace now.
    #[must_use]
    pub fn is_acting(&self, now: Duration, workspace: &str) -> bool {
        acting(&self.tenures, now, workspace).is_some()
    }

    /// Returns the levels of the buckets from which this process grants now.
    #[must_use]
    pub fn levels(&self, now: Duration) -> Vec<Level> {
        let buckets = self.buckets.iter();
        let held = buckets
            .filter(|(name, _)| self.quotas.contains_key(*name) && self.is_acting(now, name));
        let levels = held.map(|(name, bucket)| Level {
            workspace: name.clone(),
            level: bucket.level_at(now),
            terms: bucket.terms,
        });
        levels.collect()
    }
}

/// Returns the tenure in which a workspace's units may be granted now.
fn acting<'a>(tenures: &'a [Tenure], now: Duration, workspace: &str) -> Option<&'a Tenure> {
    let shard = Shard::of_name(workspace);
    let mut held = tenures.iter().filter(|tenure| tenure.shard == shard);
    held.find(|tenure| (tenure.from..tenure.until).contains(&now))
}

impl Bucket {
    fn new(from: Duration, terms: Terms, fence: Fence) -> Self {
        Self {
            level: -terms.debt,
            terms,
            fence,
            updated_at: from,
            grants: VecDeque::new(),
            returnable: 0.0,
            answers: BTreeMap::new(),
        }
    }

    fn level_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.level + elapsed * self.terms.rate).min(self.terms.capacity)
    }

    fn refill(&mut self, now: Duration) {
        self.level = self.level_at(now);
        self.updated_at = self.updated_at.max(now);
        let expiry = self.terms.expiry;
        while let Some(grant) = self.grants.front()
            && now >= grant.granted_at + expiry
        {
            self.drop_oldest_grant();
        }
        self.limit_returns();
        self.answers
            .retain(|_, answered| now < answered.at + ANSWER_RETENTION);
    }

    fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
        self.level = self.level.min(terms.capacity);
        self.limit_returns();
    }

    /// Keeps the level and all units that may be returned within the capacity. Without this limit a
    /// workspace could have its whole burst granted, wait for the refill, return the grant and so have
    /// twice its burst.
    fn limit_returns(&mut self) {
        let mut excess = self.level + self.returnable - self.terms.capacity;
        for grant in &mut self.grants {
            if excess <= 0.0 {
                break;
            }
            let cut = grant.returnable.min(excess);
            grant.returnable -= cut;
            self.returnable -= cut;
            excess -= cut;
        }
    }

    fn drop_oldest_grant(&mut self) {
        if let Some(grant) = self.grants.pop_front() {
            self.returnable -= grant.returnable;
        }
        if self.grants.is_empty() {
            // Rounding errors of the sum must not accumulate.
            self.returnable = 0.0;
        }
    }

    fn grant(&mut self, now: Duration, sender: &Sender, ask: &Ask) -> Answer {
        let mut units = 0;
        let mut unmet = None;
        for need in &ask.needs {
            if !self.covers(float(*need)) {
                unmet = Some((*need, self.time_until_covered(float(*need))));
                break;
            }
            self.level -= float(*need);
            units += need;
        }
        if unmet.is_none() {
            let reserved = self.terms.capacity * RESERVED_SHARE;
            let ahead = whole(self.level - reserved).min(ask.ahead);
            self.level -= float(ahead);
            units += ahead;
        }
        if units > 0 {
            self.returnable += float(units);
            self.grants.push_back(Grant {
                sender: sender.clone(),
                number: ask.number,
                granted_at: now,
                returnable: float(units),
                returned: 0,
            });
        }
        Answer {
            workspace: ask.workspace.clone(),
            number: ask.number,
            units,
            unmet,
        }
    }

    fn covers(&self, units: f64) -> bool {
        let is_within_debt = self.level - units >= -self.terms.debt;
        is_within_debt || (self.terms.covers_any && self.level > 0.0)
    }

    /// Returns the time until a request may be covered; until the bucket is full if it is larger than
    /// that.
    fn time_until_covered(&self, units: f64) -> Duration {
        let needed = if self.terms.covers_any {
            0.0
        } else {
            (units - self.terms.debt).min(self.terms.capacity)
        };
        let wait = (needed - self.level) / self.terms.rate;
        time::from_secs_f64(wait).max(MIN_WAIT)
    }

    fn take_back(&mut self, sender: &Sender, returned: &Return) -> f64 {
        let mut grants = self.grants.iter_mut();
        let grant = grants.find(|it| it.number == returned.number && it.sender == *sender);
        let Some(grant) = grant else {
            return 0.0;
        };
        let more = returned.total.saturating_sub(grant.returned);
        grant.returned += more;
        let credit = float(more).min(grant.returnable);
        grant.returnable -= credit;
        self.returnable -= credit;
        self.level += credit;
        credit
    }
}

/// Returns the whole units in an amount; none if it is negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(amount: f64) -> u64 {
    amount.max(0.0).floor() as u64
}
