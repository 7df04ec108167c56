//! Imports that most modules share.

pub(crate) use crate::error::{Error, Result};
pub(crate) use compact_str::CompactString;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use serde_json::{Value, json};
pub(crate) use snafu::Snafu;
pub(crate) use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub(crate) use std::fmt::{self, Display, Formatter};
pub(crate) use std::net::SocketAddr;
pub(crate) use std::str::FromStr;
pub(crate) use std::sync::Arc;
pub(crate) use std::time::Duration;

/// Hash map with a fast hasher; its order varies, so use it for lookups only.
pub(crate) type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
