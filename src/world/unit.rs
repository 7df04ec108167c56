//! Newtypes for sizes, rates and counters.

use crate::common::*;

macro_rules! count {
  ($($(#[$doc:meta])* $name:ident, $unit:literal;)*) => {$(
    $(#[$doc])*
    #[derive(
      Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
    )]
    #[serde(transparent)]
    pub struct $name(pub u64);

    impl Display for $name {
      fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, concat!("{}", $unit), self.0)
      }
    }

    impl FromStr for $name {
      type Err = Error;

      fn from_str(text: &str) -> Result<Self> {
        let digits = text.strip_suffix($unit).unwrap_or(text);
        digits.parse().map(Self).map_err(|_| Error::Number { text: text.into() })
      }
    }

    impl $name {
      /// Returns the saturating sum.
      #[must_use]
      pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
      }

      /// Returns the difference, or zero if it would be negative.
      #[must_use]
      pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
      }
    }
  )*};
}

count! {
  /// A size in bytes.
  Bytes, "B";
  /// A number of tokens.
  Tokens, "tok";
  /// Position in the log of settings changes; increases monotonically.
  Position, "";
  /// Revision of a subtree of settings; increases monotonically.
  Revision, "";
  /// Fencing token of an order; increases monotonically for each worker.
  Fence, "";
  /// Number of times that the platform's store has come back from an old copy of its data.
  Era, "";
  /// Incarnation of a process: its start time in milliseconds since the Unix epoch, so that a
  /// restart has a larger one.
  Incarnation, "";
}

/// Bits of a fencing token that count the holders within one era; the bits above hold the era.
const FENCE_COUNT_BITS: u32 = 32;

impl Fence {
    /// Returns the era in which the token was first used.
    #[must_use]
    pub fn era(self) -> Era {
        Era(self.0 >> FENCE_COUNT_BITS)
    }

    /// Returns the token of the next holder. The first one of an era is greater than all tokens of
    /// earlier eras, which the store may have forgotten.
    #[must_use]
    pub fn next(self, era: Option<Era>) -> Self {
        let first = era.map_or(0, |era| era.0 << FENCE_COUNT_BITS);
        Self(self.0.max(first) + 1)
    }
}

/// Converts a count to `f64`; exact up to 2^53.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub const fn float(count: u64) -> f64 {
    count as f64
}

/// A rate in events per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl Display for Rate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        match digits.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Self(value)),
            _ => Err(Error::Number { text: text.into() }),
        }
    }
}
