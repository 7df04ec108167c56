//! Who takes part: processes of this system, as heartbeats and the platform's list show them.
//!
//! The list lags, heartbeats don't. A restart is a new incarnation, and what an older
//! incarnation said no longer counts.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Incarnation, Position};

/// What a process does.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[default]
    Entry,
    Placer,
    Settings,
}

impl Display for Role {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Placer => "placer",
            Self::Settings => "settings",
        })
    }
}

/// One process on one instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    pub instance: id::Instance,
    pub role: Role,
}

/// What a process says of itself.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Member {
    pub name: Name,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Settings that it has in force.
    pub position: Position,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// How a member is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    Live,
    Leaving,
    /// Nothing was heard for a while.
    Silent,
}

/// Times after which a silent member counts as silent and is forgotten.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    pub silent_after: Duration,
    pub forgotten_after: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(2),
            forgotten_after: Duration::from_mins(1),
        }
    }
}

#[derive(Debug, Clone)]
struct Observation {
    member: Member,
    at: Duration,
}

/// An instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub instance: id::Instance,
    #[serde(default)]
    pub leaving: bool,
}

/// All members that a process knows.
#[derive(Debug, Clone)]
pub struct Roster {
    timeouts: Timeouts,
    observed: BTreeMap<Name, Observation>,
    platform_list: Option<BTreeMap<id::Instance, bool>>,
    /// When an instance was last on the list, or first heard of.
    last_listed_at: BTreeMap<id::Instance, Duration>,
}

impl Roster {
    /// Knows nobody yet.
    #[must_use]
    pub const fn new(timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            observed: BTreeMap::new(),
            platform_list: None,
            last_listed_at: BTreeMap::new(),
        }
    }

    /// Takes what a member said of itself; true when it is news.
    pub fn on_heartbeat(&mut self, now: Duration, member: Member) -> bool {
        let known = self.observed.get(&member.name);
        if known.is_some_and(|known| member.incarnation < known.member.incarnation) {
            return false;
        }
        let is_changed = known.is_none_or(|known| known.member != member);
        self.last_listed_at
            .entry(member.name.instance.clone())
            .or_insert(now);
        self.observed
            .insert(member.name.clone(), Observation { member, at: now });
        is_changed
    }

    /// Takes the platform's list.
    pub fn on_list(&mut self, now: Duration, list: &[Listing]) {
        for entry in list {
            self.last_listed_at.insert(entry.instance.clone(), now);
        }
        let list = list
            .iter()
            .map(|entry| (entry.instance.clone(), entry.leaving));
        self.platform_list = Some(list.collect());
    }

    /// Forgets members that were silent for long; returns them.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Name> {
        let forgotten_after = self.timeouts.forgotten_after;
        let expired = self
            .observed
            .iter()
            .filter(|(_, observed)| now > observed.at + forgotten_after);
        let expired: Vec<Name> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.observed.remove(name);
        }
        expired
    }

    /// How a member is doing; none where it isn't known.
    #[must_use]
    pub fn health(&self, now: Duration, name: &Name) -> Option<Health> {
        let observed = self.observed.get(name)?;
        let listed_leaving = self
            .platform_list
            .as_ref()
            .and_then(|list| list.get(&name.instance));
        Some(if now > observed.at + self.timeouts.silent_after {
            Health::Silent
        } else if observed.member.leaving || listed_leaving.is_some_and(|leaving| *leaving) {
            Health::Leaving
        } else {
            Health::Live
        })
    }

    /// Members that were heard of lately.
    pub fn recent_members(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let silent_after = self.timeouts.silent_after;
        let fresh = self
            .observed
            .values()
            .filter(move |observed| now <= observed.at + silent_after);
        fresh.map(|observed| &observed.member)
    }

    /// All known members with their health.
    #[must_use]
    pub fn members_with_health(&self, now: Duration) -> Vec<(Member, Health)> {
        let health = |name: &Name| self.health(now, name).unwrap_or(Health::Silent);
        self.observed
            .values()
            .map(|observed| (observed.member.clone(), health(&observed.member.name)))
            .collect()
    }

    /// Whether a process certainly ended: a later one runs in its place, or the platform took the
    /// instance away longer ago than its list lags.
    #[must_use]
    pub fn is_gone(&self, now: Duration, name: &Name, incarnation: Incarnation) -> bool {
        let restarted = self
            .observed
            .get(name)
            .is_some_and(|observed| observed.member.incarnation > incarnation);
        restarted || !self.is_listed(now, &name.instance)
    }

    /// Whether the platform may still run an instance. It may, unless a list came without it
    /// after the instance had time to appear there.
    #[must_use]
    pub fn is_listed(&self, now: Duration, instance: &id::Instance) -> bool {
        let Some(list) = &self.platform_list else {
            return true;
        };
        let was_recently_listed = self
            .last_listed_at
            .get(instance)
            .is_some_and(|at| now < *at + MAX_LIST_LAG);
        list.contains_key(instance) || was_recently_listed
    }
}

/// Longest lag of the platform's list.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);
