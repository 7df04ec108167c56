//! Calls to the platform's table service.

use crate::common::*;
use crate::node::client::{self, Call};
use crate::world::table::{Commit, Failure, Row, Txn};
use attohttpc::Method;

/// Rows that one scan reads.
const PAGE: usize = 500;

/// The table service as this process reaches it.
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// The service at an address; a call takes at most `timeout`.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// [`Failure::Refused`] where it certainly took no effect.
    pub fn commit(&self, txn: &Txn) -> Result<Commit, Failure> {
        let body = json!(txn).to_string();
        let answer = self.call("/txn", &body)?;
        serde_json::from_str(&answer).map_err(|_| Failure::Lost)
    }

    /// Reads rows, in the order of their keys.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Failure> {
        let body = json!({ "keys": keys }).to_string();
        let rows: Vec<Option<Row>> = rows(&self.call("/read", &body)?)?;
        if rows.len() == keys.len() {
            Ok(rows)
        } else {
            Err(Failure::Lost)
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn read_one(&self, key: &str) -> Result<Option<Row>, Failure> {
        let rows = self.read(&[key.to_owned()])?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Reads all rows whose keys start with `prefix` and stand after `after`.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn scan(&self, prefix: &str, after: &str) -> Result<Vec<Row>, Failure> {
        let mut all: Vec<Row> = Vec::new();
        loop {
            let after = all.last().map_or(after, |row| row.key.as_str());
            let body = json!({"prefix": prefix, "after": after, "limit": PAGE}).to_string();
            let page: Vec<Row> = rows(&self.call("/scan", &body)?)?;
            let last = page.len() < PAGE;
            all.extend(page);
            if last {
                return Ok(all);
            }
        }
    }

    fn call(&self, path: &str, body: &str) -> Result<String, Failure> {
        let call = Call::new(Method::POST, self.address, path, body, self.timeout);
        match call.send() {
            Ok(answer) if answer.status == 200 => Ok(answer.body),
            Ok(answer) if answer.status == 503 => Err(Failure::Refused),
            Err(client::Failure::Refused) => Err(Failure::Refused),
            Ok(_) | Err(client::Failure::Lost(_)) => Err(Failure::Lost),
        }
    }
}

#[derive(Deserialize)]
struct Page<T> {
    rows: Vec<T>,
}

fn rows<T: for<'de> Deserialize<'de>>(text: &str) -> Result<Vec<T>, Failure> {
    let page: Page<T> = serde_json::from_str(text).map_err(|_| Failure::Lost)?;
    Ok(page.rows)
}
