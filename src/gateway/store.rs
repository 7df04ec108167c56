//! The store thread: follows the operator's configuration and the server list, and makes calls
//! to the store for other threads.

use super::channel::{self, BegunReply, Channel, Reply};
use super::event::{Answer, Call, Fetch, StoreUpdate, Subscription};
use super::{follower, registration, tasks};
use crate::common::*;
use crate::decide::era::Eras;
use crate::decide::health::Health;
use crate::platform::rows;
use crate::world::deployment::Deployment;
use crate::world::table::{Commit, Failure, Row, Txn, Version};
use crate::world::unit::Era;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rows::Page;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// Time-out for calls other than long polls; the store may be slow.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without an answer after which others no longer rely on this instance to read the store.
pub(super) const SUSPICION_TIME: Duration = Duration::from_millis(700);
/// Shortest interval at which the traffic thread is told that calls are answered.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call; it doubles with each further failure, up to the maximum.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(300);
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Entries that disappear within this time after a failed call may have lapsed only because of the
/// outage, so their removal is not trusted.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// State shared by this thread's tasks.
pub(super) struct Store {
    pub address: SocketAddr,
    clock: crate::node::clock::Clock,
    updates: flume::Sender<StoreUpdate>,
    failed_at: Cell<Option<Duration>>,
    /// When the traffic thread was last told that a call was answered.
    confirmed_at: Cell<Option<Duration>>,
    health: RefCell<Health>,
    /// Eras in which the store answered.
    eras: RefCell<Eras>,
    /// Wakes feeds after an outage, since their long polls may hang.
    pub recovered: Notify,
    /// Tells that the store came back from an old copy, which may lack rows of this instance.
    pub returned: Notify,
}

/// Runs the store thread until the channel of calls closes.
pub async fn run(
    deployment: Arc<Deployment>,
    clock: crate::node::clock::Clock,
    calls: flume::Receiver<Call>,
    updates: flume::Sender<StoreUpdate>,
    subscription: watch::Receiver<Subscription>,
) {
    let store = Rc::new(Store {
        address: deployment.store,
        clock,
        updates,
        failed_at: Cell::new(None),
        confirmed_at: Cell::new(None),
        health: RefCell::default(),
        eras: RefCell::default(),
        recovered: Notify::new(),
        returned: Notify::new(),
    });
    keep_followers(&store, &subscription, &deployment);
    while let Ok(call) = calls.recv_async().await {
        tokio::task::spawn_local(handle_call(Rc::clone(&store), call));
    }
}

/// Starts the tasks that read the store.
fn keep_followers(
    store: &Rc<Store>,
    subscription: &watch::Receiver<Subscription>,
    deployment: &Arc<Deployment>,
) {
    let (this, settings) = (Rc::clone(store), Arc::clone(deployment));
    let wanted = subscription.clone();
    tasks::keep("configuration", move || {
        follower::follow_site(Rc::clone(&this), wanted.clone(), Arc::clone(&settings))
    });
    let (this, wanted) = (Rc::clone(store), subscription.clone());
    tasks::keep("servers", move || {
        follower::follow_servers(Rc::clone(&this), wanted.clone())
    });
    let (this, settings) = (Rc::clone(store), Arc::clone(deployment));
    tasks::keep("registration", move || {
        registration::run(Rc::clone(&this), Arc::clone(&settings))
    });
}

impl Store {
    pub async fn send_update(&self, update: StoreUpdate) {
        if self.updates.send_async(update).await.is_err() {
            log::debug!("update dropped: the traffic thread has ended");
        }
    }

    /// Whether the store answers this instance.
    pub fn is_up(&self) -> bool {
        self.health.borrow().is_up()
    }

    /// Records the answer to a call that began at this time.
    pub async fn record_answer(&self, began_at: Duration) {
        let was_up = self.is_up();
        self.health.borrow_mut().on_answered(began_at);
        if !was_up {
            self.recovered.notify_waiters();
            self.send_update(StoreUpdate::Store { up: true }).await;
            self.confirmed_at.set(None);
        }
        let now = self.clock.now();
        let is_due = |at| now >= at + CONFIRMATION_INTERVAL;
        if self.confirmed_at.get().is_none_or(is_due) {
            self.confirmed_at.set(Some(now));
            self.send_update(StoreUpdate::StoreAnswered).await;
        }
    }

    /// Records that a call that began at this time has failed, or waits for long.
    pub async fn record_failure(&self, began_at: Duration) {
        let now = self.clock.now();
        self.failed_at.set(Some(now));
        let was_up = self.is_up();
        self.health.borrow_mut().on_failed(now, began_at);
        if was_up && !self.is_up() {
            self.send_update(StoreUpdate::Store { up: false }).await;
            self.confirmed_at.set(None);
        }
    }

    /// Records the era of an answer. A change has feeds call again, since the versions after which
    /// they wait are of the earlier era, and entries that are missing may be written again.
    pub async fn record_era(&self, era: Option<Era>) {
        let before = self.newest_era();
        let Some(newer) = era.filter(|_| era > before) else {
            return;
        };
        if self.eras.borrow_mut().on_seen(era) {
            self.failed_at.set(Some(self.clock.now()));
            self.recovered.notify_waiters();
            self.returned.notify_one();
        }
        self.send_update(StoreUpdate::Era(newer)).await;
    }

    fn newest_era(&self) -> Option<Era> {
        self.eras.borrow().newest()
    }

    /// Reports what was fetched, for the logs.
    pub async fn log_fetch(&self, fetch: Fetch) {
        self.send_update(StoreUpdate::Fetched(fetch)).await;
    }

    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    pub fn has_failed_since(&self, time: Duration) -> bool {
        self.health.borrow().has_failed_since(time)
    }

    pub fn has_failed_recently(&self) -> bool {
        let failed = self.failed_at.get();
        failed.is_some_and(|at| self.clock.now() < at + OUTAGE_GRACE_PERIOD)
    }

    pub fn get(&self, path: &str) -> Request<Full<Bytes>> {
        channel::build_request(Method::GET, self.address, path, Vec::new())
    }

    /// Decodes the rows in a response. One that names no era is of the newest one known.
    pub fn decode(&self, reply: Reply) -> Result<Page> {
        let headers = reply.headers.clone();
        let mut page = rows::decode_page(&headers, &reply.require_ok("the platform's store")?)?;
        page.version.era = page.version.era.or(self.newest_era());
        Ok(page)
    }

    /// Makes a call. The time-outs are for the answer to begin, and then for pauses in it.
    async fn call_once(&self, request: Request<Full<Bytes>>) -> Result<Reply> {
        let began_at = self.now();
        let opened = self.open(request).await;
        self.finish(began_at, opened).await
    }

    /// Makes a call that reads, again if the store begins to answer other calls while it waits: it may
    /// hang since before then.
    async fn read_once(&self, path: &str) -> Result<Reply> {
        loop {
            let recovered = self.recovered.notified();
            let began_at = self.now();
            let opened = tokio::select! {
                biased;
                opened = self.open(self.get(path)) => opened,
                () = recovered => continue,
            };
            return self.finish(began_at, opened).await;
        }
    }

    /// Sends a request, and waits for an answer to begin.
    async fn open(&self, request: Request<Full<Bytes>>) -> Result<(Channel, BegunReply)> {
        let began_at = self.now();
        let url = request.uri().to_string();
        let mut opening = pin!(timeout(CALL_TIMEOUT, channel::open(self.address, request)));
        let opened = if let Ok(opened) = timeout(SUSPICION_TIME, &mut opening).await {
            opened
        } else {
            self.record_failure(began_at).await;
            opening.await
        };
        opened.unwrap_or_else(|_| {
            Err(Error::Call {
                url,
                reason: format!("no response within {CALL_TIMEOUT:?}"),
            })
        })
    }

    /// Reads an answer that has begun, and records the outcome of the call.
    async fn finish(
        &self,
        began_at: Duration,
        opened: Result<(Channel, BegunReply)>,
    ) -> Result<Reply> {
        let reply = match opened {
            Ok((_channel, begun)) => begun.read(CALL_TIMEOUT).await,
            Err(error) => Err(error),
        };
        let up = reply
            .as_ref()
            .is_ok_and(|reply| reply.status.as_u16() < 429);
        if up {
            self.record_answer(began_at).await;
        } else {
            self.record_failure(began_at).await;
        }
        if let Ok(reply) = &reply {
            self.record_era(rows::decode_era(&reply.headers)).await;
        }
        reply
    }

    /// Makes a call that reads nothing, to see whether the store answers.
    pub async fn probe(&self, table: &str) {
        let path = rows::read_path(table, rows::LAST_KEY);
        if let Err(error) = self.call_once(self.get(&path)).await {
            log::info!("the store does not answer: {error}");
        }
    }

    /// Reads all rows of a table from a key on, page by page.
    pub async fn read(&self, table: &str, from: &str) -> Result<Page> {
        let mut complete = Page {
            rows: Vec::new(),
            more: true,
            version: Version {
                era: self.newest_era(),
                number: u64::MAX,
            },
            size: 0,
        };
        let mut from = from.to_owned();
        while complete.more {
            let reply = self.read_once(&rows::read_path(table, &from)).await?;
            let page = self.decode(reply)?;
            if !complete.rows.is_empty() && page.version.era != complete.version.era {
                return Err(Error::Call {
                    url: "the platform's store".into(),
                    reason: "it came back from an old copy while a table was read".into(),
                });
            }
            let oldest = complete.version.number.min(page.version.number);
            complete.version = page.version.at(oldest);
            complete.size += page.size;
            complete.more = page.more && !page.rows.is_empty();
            if let Some(last) = page.rows.last() {
                from = format!("{}~", last.key);
            }
            complete.rows.extend(page.rows);
        }
        Ok(complete)
    }
}

pub(super) fn decode_row(row: &rows::Row) -> Option<Row> {
    Some(Row {
        key: row.key.clone(),
        version: row.version,
        value: serde_json::from_slice(row.value.as_ref()?).ok()?,
    })
}

async fn handle_call(store: Rc<Store>, call: Call) {
    let sent = match call {
        Call::Read(key, reply) => reply.send(fetch_row(&store, &key).await).is_ok(),
        Call::Commit(txn, reply) => reply.send(commit(&store, &txn).await).is_ok(),
    };
    if !sent {
        log::debug!("result of a store call dropped: the caller no longer waits");
    }
}

async fn fetch_row(store: &Store, key: &str) -> Answer<Option<Row>> {
    let path = format!("{}&Limit=1", rows::read_path(rows::SYSTEM_TABLE, key));
    let reply = store.call_once(store.get(&path)).await;
    let page = reply.and_then(|reply| store.decode(reply));
    match page {
        Ok(page) => {
            let row = page.rows.iter().find(|row| row.key == key);
            Answer {
                era: page.version.era,
                result: Ok(row.and_then(decode_row)),
            }
        }
        Err(error) => {
            log::info!("reading row {key} failed: {error}");
            Answer::failed(Failure::Refused)
        }
    }
}

pub(super) async fn commit(store: &Store, txn: &Txn) -> Answer<Commit> {
    let body = rows::encode_commit(txn);
    let request = channel::build_request(Method::POST, store.address, rows::COMMIT_PATH, body);
    let reply = match store.call_once(request).await {
        Ok(reply) => reply,
        Err(error) => {
            log::info!("a commit got no response: {error}");
            return Answer::failed(Failure::Lost);
        }
    };
    let result = match reply.status.as_u16() {
        200 => rows::decode_commit(&reply.headers, &reply.body)
            .map(|version| Commit::Done(vec![version.number; txn.puts.len()]))
            .map_err(|_| Failure::Lost),
        412 => Ok(Commit::Conflict(Vec::new())),
        429 | 503 => Err(Failure::Refused),
        _ => Err(Failure::Lost),
    };
    Answer {
        era: rows::decode_era(&reply.headers),
        result,
    }
}
