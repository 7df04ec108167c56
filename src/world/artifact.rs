//! Artifacts: versions of models and adapters that a worker can hold in memory.

use super::id;
use crate::common::*;

/// A version of a model or an adapter, written `OWNER/MODEL@VERSION` or
/// `OWNER/MODEL@VERSION+ADAPTER@VERSION`.
///
/// The owner is a team, or `site` for models that serve every team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Artifact(CompactString);

impl Artifact {
    /// Returns the artifact of a model's version.
    #[must_use]
    pub fn model(owner: &str, model: &id::Model, version: &id::Version) -> Self {
        Self(CompactString::from(format!("{owner}/{model}@{version}")))
    }

    /// Returns the artifact of an adapter's version on top of the model `base`.
    #[must_use]
    pub fn adapter(base: &Self, owner: &str, adapter: &id::Adapter, version: &id::Version) -> Self {
        Self(CompactString::from(format!(
            "{base}+{owner}/{adapter}@{version}"
        )))
    }

    /// Returns the base model of an adapter, or a copy of the artifact if it is a model.
    #[must_use]
    pub fn base(&self) -> Self {
        let base = self.0.split('+').next().unwrap_or_default();
        Self(base.into())
    }

    #[must_use]
    pub fn is_adapter(&self) -> bool {
        self.0.contains('+')
    }

    /// Returns the artifact without versions: equal for all versions of one model or adapter.
    #[must_use]
    pub fn without_version(&self) -> CompactString {
        let last = self.0.rfind('@').unwrap_or(self.0.len());
        let stem = &self.0[..last];
        match stem.split_once('+') {
            None => stem.into(),
            Some((base, adapter)) => {
                let base = base.split('@').next().unwrap_or_default();
                CompactString::from(format!("{base}+{adapter}"))
            }
        }
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for Artifact {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Artifact {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.contains('/') && text.contains('@') {
            Ok(Self(text.into()))
        } else {
            Err(Error::Identifier { text: text.into() })
        }
    }
}
