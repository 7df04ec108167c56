//! Identifiers of machines, customers and back ends.
//!
//! Every identifier is a short text that may stand in a path or a log line:
//! 1 to 64 characters out of `a-z A-Z 0-9 . _ -`.

use crate::common::*;

/// Longest identifier, in bytes.
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
      /// Text of the identifier.
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
  /// One instance that runs this system's processes.
  Instance,
  /// A region: data centres joined by fast links.
  Region,
  /// A data centre within a region.
  DataCentre,
  /// A backend server that runs a model engine.
  Worker,
  /// A plain service behind the system.
  Service,
  /// A backend server of a plain service.
  Server,
  /// A model, as its owner named it.
  Model,
  /// An adapter on top of a model.
  Adapter,
  /// A version of a model or an adapter.
  Version,
  /// A customer that owns one subtree of settings.
  Team,
  /// One request, unique over all instances.
  Request,
}
