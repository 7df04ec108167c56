//! Membership: the processes of this system, known from heartbeats and the platform's list of
//! instances.
//!
//! The list lags behind; heartbeats do not. A restarted process has a new incarnation, and
//! heartbeats of older incarnations are ignored.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Incarnation, Position};

/// Role of a process.
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

/// Name of a process: its instance and its role there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    pub instance: id::Instance,
    pub role: Role,
}

/// State of a process as announced in its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Member {
    pub name: Name,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Position of the settings that the process has in force.
    pub position: Position,
    /// Whether the process is shutting down and accepts no new work.
    pub leaving: bool,
}

/// Health of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    Live,
    Leaving,
    /// No heartbeat arrived for longer than [`Timeouts::silent_after`].
    Silent,
}

/// Times since the last heartbeat after which a member counts as silent and is removed.
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

/// Entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub instance: id::Instance,
    #[serde(default)]
    pub leaving: bool,
}

/// Members known to a process.
#[derive(Debug, Clone)]
pub struct Roster {
    timeouts: Timeouts,
    observed: BTreeMap<Name, Observation>,
    /// Instances on the platform's latest list, and whether each is leaving.
    platform_list: Option<BTreeMap<id::Instance, bool>>,
    /// Time at which each instance was last on the list, or first sent a heartbeat.
    last_listed_at: BTreeMap<id::Instance, Duration>,
}

impl Roster {
    /// Creates a roster without members.
    #[must_use]
    pub const fn new(timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            observed: BTreeMap::new(),
            platform_list: None,
            last_listed_at: BTreeMap::new(),
        }
    }

    /// Records a heartbeat, unless it is of an older incarnation; returns whether the member is new
    /// or changed.
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

    /// Records the platform's latest list of instances.
    pub fn on_list(&mut self, now: Duration, list: &[Listing]) {
        for entry in list {
            self.last_listed_at.insert(entry.instance.clone(), now);
        }
        let list = list
            .iter()
            .map(|entry| (entry.instance.clone(), entry.leaving));
        self.platform_list = Some(list.collect());
    }

    /// Removes members whose last heartbeat is older than [`Timeouts::forgotten_after`]; returns
    /// their names.
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

    /// Returns the health of a member, or `None` if it is not known.
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

    /// Returns the members whose last heartbeat is recent enough not to count as silent.
    pub fn recent_members(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let silent_after = self.timeouts.silent_after;
        let recent = self
            .observed
            .values()
            .filter(move |observed| now <= observed.at + silent_after);
        recent.map(|observed| &observed.member)
    }

    /// Returns all known members with their health.
    #[must_use]
    pub fn members_with_health(&self, now: Duration) -> Vec<(Member, Health)> {
        let health = |name: &Name| self.health(now, name).unwrap_or(Health::Silent);
        self.observed
            .values()
            .map(|observed| (observed.member.clone(), health(&observed.member.name)))
            .collect()
    }

    /// Returns whether a process has certainly ended: a later incarnation replaced it, or the
    /// platform removed the instance and the list's lag has passed since.
    #[must_use]
    pub fn is_gone(&self, now: Duration, name: &Name, incarnation: Incarnation) -> bool {
        let restarted = self
            .observed
            .get(name)
            .is_some_and(|observed| observed.member.incarnation > incarnation);
        restarted || !self.is_listed(now, &name.instance)
    }

    /// Returns whether the platform may still run an instance. Returns false only if the latest
    /// list lacks the instance and the instance had time to appear on it.
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

/// Upper bound on the lag of the platform's list.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);
