//! The catalog: all settings of operators, validated and indexed for lookups.
//!
//! A catalog is immutable. When settings change, a new one is built from all subtrees and replaces
//! it.

use super::artifact::Artifact;
use super::contract::{self, SITE};
use super::id;
use super::key_index::KeyIndex;
use super::time;
use super::unit::{Bytes, Position, Revision};
use crate::common::*;

/// A subtree of settings: values by their path below the subtree.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Subtree {
    pub revision: Revision,
    pub entries: BTreeMap<String, Value>,
}

/// A model or an adapter that requests may name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Artifact that a worker must have in memory to serve the target.
    pub artifact: Artifact,
    pub size: Bytes,
    /// Maximum time to the first token that meets the target latency.
    pub first_token: Duration,
}

/// Caller to whom an API key belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    pub team: id::Team,
    pub class: contract::Class,
}

/// All settings at one position of the settings log.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    pub position: Position,
    pub subtrees: BTreeMap<String, Subtree>,
    pub workers: BTreeMap<id::Worker, contract::Worker>,
    pub services: BTreeMap<id::Service, contract::Service>,
    pub teams: BTreeMap<id::Team, contract::Team>,
    pub placement: contract::Placement,
    keys: KeyIndex<Caller>,
    targets: BTreeMap<(String, CompactString), Target>,
}

impl Catalog {
    /// Builds a catalog from subtrees, or reports every invalid entry.
    ///
    /// # Errors
    /// [`Error::Settings`] with one line for each invalid entry.
    pub fn build(position: Position, subtrees: BTreeMap<String, Subtree>) -> Result<Self> {
        let mut catalog = Self {
            position,
            ..Self::default()
        };
        let mut problems = Vec::new();
        for (owner, subtree) in &subtrees {
            for (path, value) in &subtree.entries {
                if let Err(error) = catalog.read_entry(owner, path, value) {
                    problems.push(error.to_string());
                }
            }
        }
        for (owner, subtree) in &subtrees {
            if let Err(error) = catalog.read_adapters(owner, subtree) {
                problems.push(error.to_string());
            }
        }
        if !problems.is_empty() {
            return Err(Error::Settings { problems });
        }
        catalog.subtrees = subtrees;
        Ok(catalog)
    }

    fn read_entry(&mut self, owner: &str, path: &str, value: &Value) -> Result<()> {
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (owner == SITE, kind) {
            (true, "workers") => {
                let worker: contract::Worker = parse(owner, path, value)?;
                if worker.batch == 0 {
                    return Err(entry_error(owner, path, "batch must be at least 1"));
                }
                self.workers.insert(name.parse()?, worker);
            }
            (true, "services") => {
                self.services
                    .insert(name.parse()?, parse(owner, path, value)?);
            }
            (true, "teams") => {
                if name == SITE {
                    return Err(entry_error(
                        owner,
                        path,
                        "`site` is reserved: choose another name",
                    ));
                }
                self.teams.insert(name.parse()?, parse(owner, path, value)?);
            }
            (true, "placement") => self.placement = parse(owner, path, value)?,
            (_, "models") => {
                let model: contract::Model = parse(owner, path, value)?;
                let artifact = Artifact::model(owner, &name.parse()?, &model.version);
                let first_token = time::from_millis(model.first_token_ms);
                let target = Target {
                    artifact,
                    size: model.size,
                    first_token,
                };
                self.targets.insert((owner.into(), name.into()), target);
            }
            (_, "adapters") => {
                let _: id::Adapter = name.parse()?;
            }
            (false, "keys") => {
                let key: contract::Key = parse(owner, path, value)?;
                if name.len() != 64 || !name.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(entry_error(
                        owner,
                        path,
                        "the name of a key is its SHA-256 in 64 hex digits",
                    ));
                }
                let caller = Caller {
                    team: owner.parse()?,
                    class: key.class,
                };
                self.keys.insert(name, caller);
            }
            (true, _) => {
                let known_kinds = "workers, services, teams, placement, models, adapters";
                return Err(entry_error(
                    owner,
                    path,
                    &format!("unknown kind: use one of {known_kinds}"),
                ));
            }
            (false, _) => {
                let known_kinds = "models, adapters, keys";
                return Err(entry_error(
                    owner,
                    path,
                    &format!("unknown kind: use one of {known_kinds}"),
                ));
            }
        }
        Ok(())
    }

    fn read_adapters(&mut self, owner: &str, subtree: &Subtree) -> Result<()> {
        for (path, value) in &subtree.entries {
            let Some(name) = path.strip_prefix("adapters/") else {
                continue;
            };
            let adapter: contract::Adapter = parse(owner, path, value)?;
            let base = self.target(owner, adapter.model.as_str()).cloned();
            let Some(base) = base else {
                let reason = format!("model `{}` is not set: create it first", adapter.model);
                return Err(entry_error(owner, path, &reason));
            };
            let artifact =
                Artifact::adapter(&base.artifact, owner, &name.parse()?, &adapter.version);
            let target = Target {
                artifact,
                size: adapter.size,
                first_token: base.first_token,
            };
            self.targets.insert(
                (owner.into(), format!("{}:{name}", adapter.model).into()),
                target,
            );
        }
        Ok(())
    }

    /// Returns the target that a team means by `name`, which is `MODEL` or `MODEL:ADAPTER`; the
    /// team's own targets take precedence over the site's.
    #[must_use]
    pub fn target(&self, team: &str, name: &str) -> Option<&Target> {
        let team_target = self.targets.get(&(team.to_owned(), name.into()));
        team_target.or_else(|| self.targets.get(&(SITE.to_owned(), name.into())))
    }

    /// Returns the names of all targets that a team may request.
    #[must_use]
    pub fn names(&self, team: &str) -> BTreeSet<CompactString> {
        let visible = self
            .targets
            .keys()
            .filter(|(owner, _)| owner == team || owner == SITE);
        visible.map(|(_, name)| name.clone()).collect()
    }

    /// Returns all targets, adapters included.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the caller to whom the key with this SHA-256 in hex belongs, if the team exists.
    #[must_use]
    pub fn caller(&self, digest: &str) -> Option<&Caller> {
        let caller = self.keys.owner(digest)?;
        self.teams.contains_key(&caller.team).then_some(caller)
    }

    /// Returns the team whose operators' key has this SHA-256 in hex.
    #[must_use]
    pub fn operator(&self, digest: &str) -> Option<&id::Team> {
        let mut teams = self.teams.iter();
        teams
            .find(|(_, team)| team.operator_key.eq_ignore_ascii_case(digest))
            .map(|(id, _)| id)
    }
}

fn parse<T: for<'de> Deserialize<'de>>(owner: &str, path: &str, value: &Value) -> Result<T> {
    T::deserialize(value).map_err(|error| entry_error(owner, path, &error.to_string()))
}

fn entry_error(owner: &str, path: &str, reason: &str) -> Error {
    Error::Entry {
        path: format!("{owner}/{path}"),
        reason: reason.into(),
    }
}
