//! Rows and transactions of the platform's table service.
//!
//! A row has a key, a version and a JSON value. A transaction commits only if every checked row has
//! the expected version; version 0 stands for an absent row.

use super::unit::Era;
use crate::common::*;
use std::num::ParseIntError;

/// Version of a row or of the whole store. The store gives numbers out again after it came back from
/// an old copy of its data, so a version of a later era is newer whatever its number. An unknown
/// era orders before every known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize)]
pub struct Version {
    pub era: Option<Era>,
    pub number: u64,
}

impl Version {
    /// Returns another version of the same era.
    #[must_use]
    pub fn at(self, number: u64) -> Self {
        Self { number, ..self }
    }
}

impl Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.era {
            Some(Era(era)) => write!(formatter, "{era}.{}", self.number),
            None => write!(formatter, "{}", self.number),
        }
    }
}

impl FromStr for Version {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseIntError> {
        let (era, number) = match text.split_once('.') {
            Some((era, number)) => (Some(Era(era.parse()?)), number),
            None => (None, text),
        };
        Ok(Self {
            era,
            number: number.parse()?,
        })
    }
}

/// A stored row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    pub version: u64,
    pub value: Value,
}

/// Condition that a row has a certain version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    pub key: String,
    pub version: u64,
}

/// A write of a row; a null value deletes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    pub key: String,
    pub value: Value,
}

/// An atomic transaction of version checks and writes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Txn {
    pub checks: Vec<Check>,
    pub puts: Vec<Put>,
}

impl Txn {
    /// Adds a condition on a row without writing it.
    #[must_use]
    pub fn check(mut self, check: Check) -> Self {
        self.checks.push(check);
        self
    }

    /// Adds a write on condition that the row is at `version`.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, version: u64, value: Value) -> Self {
        let key = key.into();
        self.checks.push(Check {
            key: key.clone(),
            version,
        });
        self.puts.push(Put { key, value });
        self
    }

    /// Returns a transaction that writes a row whatever its version.
    #[must_use]
    pub fn write(key: impl Into<String>, value: Value) -> Self {
        let key = key.into();
        Self {
            checks: Vec::new(),
            puts: vec![Put { key, value }],
        }
    }

    /// Adds the unconditional removal of a row.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        let (key, value) = (key.into(), Value::Null);
        self.puts.push(Put { key, value });
        self
    }
}

/// Result of a transaction that the table service answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// Committed, with the new version of each written row (0 if deleted).
    Done(Vec<u64>),
    /// Not committed, with the keys of the rows that had other versions.
    Conflict(Vec<String>),
}

/// A failed call to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The call had no effect.
    Refused,
    /// No answer: the call may have taken effect.
    Lost,
}
