//! Change feed of one table of the platform's store, read by long polling.
//!
//! When the store has dropped the history or has come back from an old copy, the table is read in
//! full. A response older than the last version seen is discarded, because the store may return
//! stale data.
//!
//! Of a table of which only the newest row counts, changes are read only while each answer holds one of
//! them. Otherwise the table is read, which costs one row however many changes were missed.
//!
//! A response that is not older shows what the table held when the call began.

use super::channel::{self, Channel};
use super::event::{FailedFetch, Fetch, Poll, StoreUpdate, Subscription, milliseconds};
use super::store::{CALL_TIMEOUT, MAX_RETRY_DELAY, RETRY_DELAY, SUSPICION_TIME, Store};
use crate::common::*;
use crate::decide::retry::backoff;
use crate::platform::rows::{self, Page};
use crate::world::table::Version;
use hyper::StatusCode;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time that the store may hold a long poll open, and the same for a brief one: an instance
/// whose only call is a long poll learns no sooner that it gets no answer.
const MAX_POLL_TIME: Duration = Duration::from_secs(28);
const MAX_BRIEF_POLL_TIME: Duration = Duration::from_millis(1_200);
/// Wait of a poll that the store is to answer at once: not 0, which might mean an unlimited one.
const IMMEDIATE_POLL_TIME: Duration = Duration::from_millis(1);
/// Time after that within which the answer must begin.
const POLL_MARGIN: Duration = Duration::from_millis(600);

/// Time without a reading after which many changes may have been missed.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Change feed of one table.
pub struct Feed {
    store: Rc<Store>,
    table: &'static str,
    /// Newest version seen; none before the first read.
    pub last_version: Option<Version>,
    pub channel: Option<Channel>,
    /// When the call began to which the last change is the answer; `None` if the answer doesn't show
    /// that the table held nothing newer then.
    pub confirmed_at: Option<Duration>,
    /// Whether [`Self::next`] returns when there was no change.
    pub returns_unchanged: bool,
    /// Newest version of the store in any response.
    newest_response: Option<Version>,
    subscription: watch::Receiver<Subscription>,
    stall_count_of: fn(&Subscription) -> u64,
    is_wanted: fn(&Subscription) -> bool,
    poll_of: fn(&Subscription) -> Poll,
    /// Whether earlier changes of a row are of no use once there are later ones.
    pub reads_newest_only: bool,
    /// Whether few changes can have been missed, as peers have shown.
    pub is_recent: fn(&Subscription) -> bool,
    /// Whether an answer may hold several changes, since the table changes faster than it is read.
    is_outrun: bool,
    /// When it was learnt that the table held nothing after `last_version`.
    positioned_at: Duration,
    /// When a call was last dropped.
    dropped_at: Duration,
    /// Consecutive failed calls, and when the next call may be made.
    failures: u32,
    retry_at: Duration,
}

/// Result of reading the feed.
pub enum Change {
    /// No change: the call failed, was dropped or is no longer wanted.
    Empty,
    /// The store answered that there is no change.
    Unchanged,
    /// The complete table.
    Snapshot(Vec<rows::Row>),
    Some(Vec<rows::Row>),
}

impl Feed {
    /// Creates a feed of a table that has not been read yet.
    pub fn new(
        store: Rc<Store>,
        table: &'static str,
        subscription: watch::Receiver<Subscription>,
        stall_count_of: fn(&Subscription) -> u64,
        is_wanted: fn(&Subscription) -> bool,
        poll_of: fn(&Subscription) -> Poll,
    ) -> Self {
        Self {
            store,
            table,
            last_version: None,
            channel: None,
            confirmed_at: None,
            returns_unchanged: false,
            newest_response: None,
            subscription,
            stall_count_of,
            is_wanted,
            poll_of,
            reads_newest_only: false,
            is_recent: |_| false,
            is_outrun: false,
            positioned_at: Duration::ZERO,
            dropped_at: Duration::ZERO,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Returns how long no call may be made since the last one failed; zero if one may be made.
    pub fn rest(&self) -> Duration {
        self.retry_at.saturating_sub(self.store.now())
    }

    /// Sets the version up to which another instance has read the table; none if it is not known.
    pub fn resume_at(&mut self, version: Option<Version>) {
        self.last_version =
            version.map(|version| self.last_version.max(Some(version)).unwrap_or(version));
        self.is_outrun = false;
        self.positioned_at = self.store.now();
    }

    /// Waits for the next change or failure, or until a call is dropped, so that the follower can turn to
    /// another source.
    pub async fn next(&mut self) -> Change {
        loop {
            // A new reader soon shows its peers that the table holds nothing newer.
            let is_first = self.returns_unchanged && self.channel.is_none();
            let poll = if is_first {
                Poll::Immediate
            } else {
                (self.poll_of)(&self.subscription.borrow())
            };
            if let Some(change) = self.call(poll).await {
                return change;
            }
        }
    }

    /// Makes one call that the store answers at once, also if the feed is not followed.
    pub async fn check(&mut self) -> Change {
        let change = self.call(Poll::Immediate).await;
        if !(self.is_wanted)(&self.subscription.borrow()) {
            // The store would close it, which the next check would take for a failure.
            self.channel = None;
        }
        change.unwrap_or(Change::Empty)
    }

    /// Makes one call; returns nothing if the next one should follow at once.
    async fn call(&mut self, poll: Poll) -> Option<Change> {
        self.confirmed_at = None;
        let began_at = self.store.now();
        let change = match self.last_version {
            None => self.read_all().await,
            Some(version) if self.is_outrun || self.has_gap() => {
                self.reread_after_gap(version).await
            }
            Some(version) => self.poll_changes(version, poll).await,
        };
        match change {
            Ok(Some(change)) => {
                self.failures = 0;
                Some(change)
            }
            Ok(None) if self.returns_unchanged && self.confirmed_at.is_some() => {
                self.failures = 0;
                Some(Change::Unchanged)
            }
            Ok(None) if !(self.is_wanted)(&self.subscription.borrow()) => Some(Change::Empty),
            Ok(None) => None,
            Err(error) => {
                self.log_failure(began_at, error.to_string()).await;
                self.channel = None;
                self.store.record_failure(began_at).await;
                let delay = backoff(RETRY_DELAY, self.failures, MAX_RETRY_DELAY, 1.0);
                self.retry_at = self.store.now() + delay;
                self.failures += 1;
                Some(Change::Empty)
            }
        }
    }

    /// Whether the table may have changed any number of times since the position was learnt: the store was
    /// down, or seemed to be.
    fn has_gap(&self) -> bool {
        let is_old = self.store.now() >= self.positioned_at + MAX_GAP
            && !(self.is_recent)(&self.subscription.borrow());
        let was_down =
            self.dropped_at > self.positioned_at || self.store.has_failed_since(self.positioned_at);
        self.reads_newest_only && self.channel.is_none() && is_old && was_down
    }

    /// Records the moment for which a response shows what the table held. It shows nothing if it is older
    /// than another one, or than the version after which changes were wanted.
    fn confirm(&mut self, began_at: Duration, version: Version, is_current: bool) {
        let is_newest = self.newest_response.is_none_or(|newest| version >= newest);
        if is_newest {
            self.newest_response = Some(version);
        }
        self.confirmed_at = (is_newest && is_current).then_some(began_at);
        if self.confirmed_at.is_some() {
            self.positioned_at = self.store.now();
        }
    }

    /// Reads the complete table now.
    pub async fn reread(&mut self) -> Change {
        self.last_version = None;
        self.next().await
    }

    async fn read_all(&mut self) -> Result<Option<Change>> {
        let page = self.read_table().await?;
        self.last_version = Some(page.version);
        self.is_outrun = false;
        Ok(Some(Change::Snapshot(page.rows)))
    }

    async fn read_table(&mut self) -> Result<Page> {
        let began_at = self.store.now();
        let page = self.store.read(self.table, "").await?;
        self.confirm(began_at, page.version, true);
        self.log_fetch(&page, true, began_at).await;
        Ok(page)
    }

    async fn log_failure(&self, began_at: Duration, reason: String) {
        let failed = FailedFetch {
            table: self.table,
            after: self.last_version,
            waited_ms: milliseconds(self.store.now().saturating_sub(began_at)),
            reason,
        };
        let update = StoreUpdate::FetchFailed(failed);
        self.store.send_update(update).await;
    }

    /// Logs a page of the whole table, or of changes, that was read since `began_at`.
    async fn log_fetch(&self, page: &Page, whole: bool, began_at: Duration) {
        let fetch = Fetch {
            table: self.table,
            peer: None,
            whole,
            rows: page.rows.len(),
            bytes: page.size,
            took_ms: milliseconds(self.store.now().saturating_sub(began_at)),
        };
        self.store.log_fetch(fetch).await;
    }

    async fn poll_changes(&mut self, after: Version, poll: Poll) -> Result<Option<Change>> {
        let poll_of = self.poll_of;
        let poll_time = match poll {
            Poll::Brief => MAX_BRIEF_POLL_TIME,
            Poll::Long => MAX_POLL_TIME,
            Poll::Immediate => IMMEDIATE_POLL_TIME,
        };
        let path = rows::feed_path(self.table, after.number, poll_time);
        let request = self.store.get(&path);
        let failed = |reason: &dyn Display| Error::Call {
            url: path.clone(),
            reason: reason.to_string(),
        };
        if self.channel.is_none() {
            let opened = channel::connect(self.store.address).await;
            self.channel = Some(opened.map_err(|error| failed(&error))?);
        }
        let Some(channel) = &mut self.channel else {
            return Ok(None);
        };
        let (stall_count_of, is_wanted) = (self.stall_count_of, self.is_wanted);
        let stall_count = stall_count_of(&self.subscription.borrow());
        let began_at = self.store.now();
        let store = &self.store;
        let begun = tokio::select! {
            begun = timeout(poll_time + POLL_MARGIN, channel.begin(request)) => Some(begun),
            () = store.recovered.notified() => None,
            _ = self.subscription.wait_for(|subscription| {
                let has_stalled = stall_count_of(subscription) != stall_count;
                (has_stalled && store.now() >= began_at + SUSPICION_TIME)
                    || (poll != Poll::Immediate && !is_wanted(subscription))
                    || (poll == Poll::Long && poll_of(subscription) == Poll::Brief)
            }) => None,
        };
        let Some(begun) = begun else {
            let reason = "dropped: it may hang, or is no longer wanted";
            self.log_failure(began_at, reason.into()).await;
            self.channel = None;
            self.dropped_at = self.store.now();
            return Ok(Some(Change::Empty));
        };
        let reply = begun.map_err(|error| failed(&error))??;
        let answered_at = self.store.now();
        let reply = reply.read(CALL_TIMEOUT).await?;
        if reply.status == StatusCode::GONE {
            log::info!(
                "the store dropped its history of {}; reading the complete table",
                self.table
            );
            return self.reread_after_gap(after).await;
        }
        let page = self.store.decode(reply)?;
        self.store.record_answer(began_at).await;
        self.store.record_era(page.version.era).await;
        if after.era.is_some() && page.version.era > after.era {
            log::info!(
                "the store came back from an old copy; reading the complete table {}",
                self.table
            );
            return self.reread_after_gap(after).await;
        }
        if page.more && self.returns_unchanged {
            // Rows that are missing here would be skipped by the next poll, which would prove too much.
            return self.reread_after_gap(after).await;
        }
        self.confirm(began_at, page.version, page.version >= after);
        self.last_version = Some(after.max(page.version));
        if page.rows.is_empty() {
            return Ok(None);
        }
        self.is_outrun = self.reads_newest_only && page.rows.len() > 1;
        self.log_fetch(&page, false, answered_at).await;
        Ok(Some(Change::Some(page.rows)))
    }

    /// Whether a page holds changes after a version.
    fn has_changes(page: &Page, after: Version) -> bool {
        let mut rows = page.rows.iter();
        page.version.era > after.era || rows.any(|row| row.version > after.number)
    }

    /// Reads the complete table, and discards a response older than the last version seen.
    async fn reread_after_gap(&mut self, after: Version) -> Result<Option<Change>> {
        let page = self.read_table().await?;
        if page.version < after {
            self.confirmed_at = None;
            sleep(RETRY_DELAY).await;
            return Ok(None);
        }
        self.last_version = Some(page.version);
        self.is_outrun &= Self::has_changes(&page, after);
        Ok(Some(Change::Snapshot(page.rows)))
    }
}
