//! Identifiers of instances, teams, backend servers and models.
//!
//! Every identifier is a short string that is safe in paths and log lines: 1 to 64 characters out
//! of `a-z A-Z 0-9 . _ -`.

use crate::common::*;

/// Maximum length of an identifier.
pub const MAX_BYTES: usize = 64;

fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-'))
}

macro_rules! id {
  ($($(#[$doc:meta])* $name:ident,)*) => {$(
    $(#[$doc])*
    #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct $name(CompactString);

    impl $name {
      #[must_use]
      pub fn as_str(&self) -> &str {
        &self.0
      }
    }

    impl Display for $name {
      fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
      }
    }

    impl FromStr for $name {
      type Err = Error;

      fn from_str(text: &str) -> Result<Self> {
        if is_valid(text) {
          Ok(Self(text.into()))
        } else {
          Err(Error::Identifier { text: text.into() })
        }
      }
    }
  )*};
}

id! {
  /// An instance that runs this system's processes.
  Instance,
  /// A region: a group of data centres with fast links between them.
  Region,
  /// A data centre within a region.
  DataCentre,
  /// A backend server that runs a model engine.
  Worker,
  /// A plain service behind the system.
  Service,
  /// A backend server of a plain service.
  Server,
  /// A model, by the name that its owner chose.
  Model,
  /// An adapter on top of a model.
  Adapter,
  /// A version of a model or an adapter.
  Version,
  /// A team (workspace), which owns one subtree of settings.
  Team,
  /// A request; unique over all instances.
  Request,
}
