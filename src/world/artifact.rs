//! What a worker holds in memory: a model's version, or an adapter's.

use super::id;
use crate::common::*;

/// A loadable thing, written `OWNER/MODEL@VERSION` or `OWNER/MODEL@VERSION+ADAPTER@VERSION`.
///
/// The owner is a team, or `site` for models that serve every team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Artifact(CompactString);

impl Artifact {
    /// A version of a model.
    #[must_use]
    pub fn model(owner: &str, model: &id::Model, version: &id::Version) -> Self {
        Self(CompactString::from(format!("{owner}/{model}@{version}")))
    }

    /// A version of an adapter on top of a model.
    #[must_use]
    pub fn adapter(base: &Self, owner: &str, adapter: &id::Adapter, version: &id::Version) -> Self {
        Self(CompactString::from(format!(
            "{base}+{owner}/{adapter}@{version}"
        )))
    }

    /// The model that this adapter stands on, or itself.
    #[must_use]
    pub fn base(&self) -> Self {
        let base = self.0.split('+').next().unwrap_or_default();
        Self(base.into())
    }

    /// Whether it is an adapter.
    #[must_use]
    pub fn is_adapter(&self) -> bool {
        self.0.contains('+')
    }

    /// The artifact without its version: equal for all versions of one model or adapter.
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

    /// Text of the artifact.
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
