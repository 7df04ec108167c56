//! One table of the platform's store, followed and not polled.
//!
//! Where the store lost its history, the table is read anew; an answer older than what was seen
//! already is not taken, for the store may answer from the past.

use super::channel::{self, Channel};
use super::event::Interest;
use super::store::{AGAIN, ANSWER, LONGEST_AGAIN, Store, decode};
use crate::common::*;
use crate::decide::retry::backoff;
use crate::platform::rows;
use hyper::StatusCode;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time that the store keeps a call for changes waiting.
const WAIT: Duration = Duration::from_secs(28);

/// One table that is followed.
pub struct Feed {
    store: Rc<Store>,
    table: &'static str,
    /// Newest version seen; 0 before the first read.
    pub after: u64,
    pub channel: Option<Channel>,
    interest: watch::Receiver<Interest>,
    doubts_of: fn(&Interest) -> u64,
    is_wanted: fn(&Interest) -> bool,
    /// Calls that failed one after the other.
    failures: u32,
}

/// What a feed brought.
pub enum Change {
    /// Nothing: the call failed, or is not wanted any more.
    Nothing,
    /// The whole table.
    All(Vec<rows::Row>),
    Some(Vec<rows::Row>),
}

impl Feed {
    /// A table of which nothing was read yet.
    pub fn new(
        store: Rc<Store>,
        table: &'static str,
        interest: watch::Receiver<Interest>,
        doubts_of: fn(&Interest) -> u64,
        is_wanted: fn(&Interest) -> bool,
    ) -> Self {
        Self {
            store,
            table,
            after: 0,
            channel: None,
            interest,
            doubts_of,
            is_wanted,
            failures: 0,
        }
    }

    /// Waits for the next change or failure.
    pub async fn next(&mut self) -> Change {
        loop {
            let change = if self.after == 0 {
                self.read_all().await
            } else {
                self.wait().await
            };
            match change {
                Ok(Some(change)) => {
                    self.failures = 0;
                    return change;
                }
                Ok(None) if !(self.is_wanted)(&self.interest.borrow()) => return Change::Nothing,
                Ok(None) => {}
                Err(error) => {
                    log::info!("feed of {} failed: {error}", self.table);
                    self.channel = None;
                    self.store.note(false).await;
                    sleep(backoff(AGAIN, self.failures, LONGEST_AGAIN, 1.0)).await;
                    self.failures += 1;
                    return Change::Nothing;
                }
            }
        }
    }

    /// Reads the whole table now, or waits a while where that fails.
    pub async fn read_change(&mut self) -> Change {
        self.after = 0;
        self.next().await
    }

    async fn read_all(&mut self) -> Result<Option<Change>> {
        let page = self.store.read(self.table, "").await?;
        self.after = page.version;
        Ok(Some(Change::All(page.rows)))
    }

    async fn wait(&mut self) -> Result<Option<Change>> {
        let path = rows::feed_path(self.table, self.after, WAIT);
        let request = self.store.get(&path);
        let lost = |reason: &dyn Display| Error::Call {
            url: path.clone(),
            reason: reason.to_string(),
        };
        if self.channel.is_none() {
            let opened = channel::connect(self.store.address).await;
            self.channel = Some(opened.map_err(|error| lost(&error))?);
        }
        let Some(channel) = &mut self.channel else {
            return Ok(None);
        };
        let (doubts_of, is_wanted) = (self.doubts_of, self.is_wanted);
        let doubts = doubts_of(&self.interest.borrow());
        let call = tokio::select! {
            call = timeout(WAIT + ANSWER, channel.call(request)) => Some(call),
            () = self.store.regained.notified() => None,
            _ = self.interest.wait_for(|interest| {
                doubts_of(interest) != doubts || !is_wanted(interest)
            }) => None,
        };
        let Some(call) = call else {
            log::info!(
                "the call for changes of {} is given up: it may hang, or is not wanted",
                self.table
            );
            self.channel = None;
            return Ok(None);
        };
        let reply = call.map_err(|error| lost(&error))??;
        if reply.status == StatusCode::GONE {
            log::info!(
                "the store dropped its history of {}: reading anew",
                self.table
            );
            return self.read_anew().await;
        }
        let page = decode(reply)?;
        self.store.note(true).await;
        self.after = self.after.max(page.version);
        if page.rows.is_empty() {
            return Ok(None);
        }
        Ok(Some(Change::Some(page.rows)))
    }

    /// Reads the whole table, and takes no answer from before what was seen.
    async fn read_anew(&mut self) -> Result<Option<Change>> {
        let page = self.store.read(self.table, "").await?;
        if page.version < self.after {
            sleep(AGAIN).await;
            return Ok(None);
        }
        self.after = page.version;
        Ok(Some(Change::All(page.rows)))
    }
}
