//! Paths and bodies of calls to the platform's store.

use crate::common::*;
use crate::world::table::{Txn, Version};
use crate::world::unit::Era;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hyper::HeaderMap;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Table of the rows that this system writes.
pub const SYSTEM_TABLE: &str = "poplarseam";
/// Header in all answers: how often the store has come back from an old copy of its data.
const ERA: &str = "store-era";
/// Path that takes transactions.
pub const COMMIT_PATH: &str = "/v1/rows-tx";

/// A key after those of all rows.
pub const LAST_KEY: &str = "~";

/// Characters of a key that are encoded in a query.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A row, or the tombstone of a removed row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub key: String,
    /// `None` if the row was removed; empty if the value is not valid Base64.
    pub value: Option<Vec<u8>>,
    pub version: u64,
}

/// A page of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    pub rows: Vec<Row>,
    /// Whether further rows follow this page.
    pub more: bool,
    /// Newest version in the store at the time of the answer; the rows' versions are of the same
    /// era.
    pub version: Version,
    /// Bytes of the encoded page.
    pub size: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePage {
    #[serde(default)]
    rows: Vec<WireRow>,
    #[serde(default)]
    has_more: bool,
    ver: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRow {
    key: String,
    #[serde(default)]
    value: Option<String>,
    ver: u64,
    #[serde(default)]
    tombstone: bool,
}

/// Returns the path that reads rows of a table, starting at a key.
#[must_use]
pub fn read_path(table: &str, from: &str) -> String {
    let from = utf8_percent_encode(from, RESERVED);
    format!("/v1/rows-get?Table={table}&part=&From={from}")
}

/// Returns the path that waits up to `wait` for changes of a table after a version.
#[must_use]
pub fn feed_path(table: &str, after: u64, wait: Duration) -> String {
    let wait = wait.as_millis();
    format!("/v1/rows-feed?Table={table}&after={after}&WaitMs={wait}")
}

/// Decodes the era in which the store answered.
#[must_use]
pub fn decode_era(headers: &HeaderMap) -> Option<Era> {
    headers.get(ERA)?.to_str().ok()?.trim().parse().ok()
}

/// Decodes a page of rows.
///
/// # Errors
/// [`Error::Call`] if the body is not a page.
pub fn decode_page(headers: &HeaderMap, bytes: &[u8]) -> Result<Page> {
    let wire: WirePage = serde_json::from_slice(bytes).map_err(|error| Error::Call {
        url: "the platform's store".into(),
        reason: error.to_string(),
    })?;
    Ok(Page {
        rows: wire.rows.into_iter().map(WireRow::decode).collect(),
        more: wire.has_more,
        version: Version {
            era: decode_era(headers),
            number: wire.ver,
        },
        size: bytes.len(),
    })
}

impl WireRow {
    fn decode(self) -> Row {
        let value = self.value.filter(|_| !self.tombstone);
        Row {
            key: self.key,
            value: value.map(|value| BASE64.decode(value).unwrap_or_default()),
            version: self.ver,
        }
    }
}

/// Encodes the body of a transaction on the rows of this system.
#[must_use]
pub fn encode_commit(txn: &Txn) -> Vec<u8> {
    let row = |key: &str| json!({"Table": SYSTEM_TABLE, "part": "", "Key": key});
    let expected = txn.checks.iter().map(|check| {
        let mut row = row(&check.key);
        row["Ver"] = json!(check.version);
        row
    });
    let put = txn.puts.iter().filter(|put| !put.value.is_null());
    let put = put.map(|put| {
        let mut row = row(&put.key);
        row["Value"] = json!(BASE64.encode(put.value.to_string()));
        row
    });
    let removed = txn.puts.iter().filter(|put| put.value.is_null());
    let body = json!({
        "Expected": expected.collect::<Vec<_>>(),
        "Put": put.collect::<Vec<_>>(),
        "Remove": removed.map(|put| row(&put.key)).collect::<Vec<_>>(),
    });
    body.to_string().into_bytes()
}

/// Decodes the version that a transaction assigned to the rows it wrote.
///
/// # Errors
/// [`Error::Call`] if the body is not an answer to a transaction.
pub fn decode_commit(headers: &HeaderMap, bytes: &[u8]) -> Result<Version> {
    decode_page(headers, bytes).map(|page| page.version)
}
