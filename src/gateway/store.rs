//! The duty "store": has the operator's configuration and the list of backend servers followed, and
//! makes calls for the other duties.

use super::channel::{self, Reply};
use super::event::{Call, Interest, News};
use super::{follow, register};
use crate::common::*;
use crate::platform::rows;
use crate::world::deployment::Deployment;
use crate::world::table::{Commit, Failure, Row, Txn};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rows::Page;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Longest time for an answer of the store to other calls than those for changes; it may be slow.
pub(super) const ANSWER: Duration = Duration::from_millis(1_200);
/// Pause after a failed call; twice as long after each further one, up to the longest.
pub(super) const AGAIN: Duration = Duration::from_millis(300);
pub(super) const LONGEST_AGAIN: Duration = Duration::from_millis(1_200);
/// Entries that vanish this soon after a failed call may be those that lapsed meanwhile.
const DISTURBED: Duration = Duration::from_millis(2_500);

/// What the tasks of this duty share.
pub(super) struct Store {
    pub address: SocketAddr,
    clock: crate::node::clock::Clock,
    news: flume::Sender<News>,
    failed_at: Cell<Option<Duration>>,
    pub is_up: Cell<bool>,
    /// Wakes feeds that wait: their calls may hang since an outage.
    pub regained: Notify,
}

/// Runs the duty until the ring of calls closes.
pub async fn run(
    deployment: Arc<Deployment>,
    clock: crate::node::clock::Clock,
    calls: flume::Receiver<Call>,
    news: flume::Sender<News>,
    interest: watch::Receiver<Interest>,
) {
    let store = Rc::new(Store {
        address: deployment.store,
        clock,
        news,
        failed_at: Cell::new(None),
        is_up: Cell::new(true),
        regained: Notify::new(),
    });
    let site = follow::site(
        Rc::clone(&store),
        interest.clone(),
        deployment.metrics.port(),
    );
    tokio::task::spawn_local(site);
    tokio::task::spawn_local(follow::servers(Rc::clone(&store), interest));
    tokio::task::spawn_local(register::run(Rc::clone(&store), deployment));
    while let Ok(call) = calls.recv_async().await {
        tokio::task::spawn_local(answer(Rc::clone(&store), call));
    }
}

impl Store {
    pub async fn tell(&self, news: News) {
        if self.news.send_async(news).await.is_err() {
            log::debug!("the duty of traffic has ended: its news is dropped");
        }
    }

    /// Notes whether a call was answered.
    pub async fn note(&self, up: bool) {
        if !up {
            self.failed_at.set(Some(self.clock.now()));
        }
        if self.is_up.replace(up) != up {
            if up {
                self.regained.notify_waiters();
            }
            self.tell(News::Store { up }).await;
        }
    }

    pub fn is_disturbed(&self) -> bool {
        let failed = self.failed_at.get();
        failed.is_some_and(|at| self.clock.now() < at + DISTURBED)
    }

    pub fn get(&self, path: &str) -> Request<Full<Bytes>> {
        channel::request(Method::GET, self.address, path, Vec::new())
    }

    async fn once(&self, request: Request<Full<Bytes>>) -> Result<Reply> {
        let reply = channel::once(self.address, request, ANSWER).await;
        let up = reply
            .as_ref()
            .is_ok_and(|reply| reply.status.as_u16() < 429);
        self.note(up).await;
        reply
    }

    /// Reads rows of a table from a key on, all pages.
    pub async fn read(&self, table: &str, from: &str) -> Result<Page> {
        let mut whole = Page {
            rows: Vec::new(),
            more: true,
            version: u64::MAX,
        };
        let mut from = from.to_owned();
        while whole.more {
            let reply = self.once(self.get(&rows::read_path(table, &from))).await?;
            let page = decode(reply)?;
            whole.version = whole.version.min(page.version);
            whole.more = page.more && !page.rows.is_empty();
            if let Some(last) = page.rows.last() {
                from = format!("{}~", last.key);
            }
            whole.rows.extend(page.rows);
        }
        Ok(whole)
    }
}

/// Rows out of an answer.
pub(super) fn decode(reply: Reply) -> Result<Page> {
    rows::decode_page(&reply.sound("the platform's store")?)
}

pub(super) fn decode_row(row: &rows::Row) -> Option<Row> {
    Some(Row {
        key: row.key.clone(),
        version: row.version,
        value: serde_json::from_slice(row.value.as_ref()?).ok()?,
    })
}

async fn answer(store: Rc<Store>, call: Call) {
    let sent = match call {
        Call::Read(key, reply) => reply.send(read_row(&store, &key).await).is_ok(),
        Call::Commit(txn, reply) => reply.send(commit(&store, &txn).await).is_ok(),
    };
    if !sent {
        log::debug!("nobody waits for a call to the store any more");
    }
}

async fn read_row(store: &Store, key: &str) -> Result<Option<Row>, Failure> {
    let path = format!("{}&Limit=1", rows::read_path(rows::SYSTEM_TABLE, key));
    let reply = store.once(store.get(&path)).await;
    let page = reply.and_then(decode);
    let page = page.map_err(|error| {
        log::info!("row {key} was not read: {error}");
        Failure::Refused
    })?;
    let row = page.rows.iter().find(|row| row.key == key);
    Ok(row.and_then(decode_row))
}

pub(super) async fn commit(store: &Store, txn: &Txn) -> Result<Commit, Failure> {
    let body = rows::encode_commit(txn);
    let request = channel::request(Method::POST, store.address, rows::COMMIT_PATH, body);
    let reply = store.once(request).await.map_err(|error| {
        log::info!("a commit got no answer: {error}");
        Failure::Lost
    })?;
    match reply.status.as_u16() {
        200 => {
            let version = rows::decode_commit(&reply.body).map_err(|_| Failure::Lost)?;
            Ok(Commit::Done(vec![version; txn.puts.len()]))
        }
        412 => Ok(Commit::Conflict(Vec::new())),
        429 | 503 => Err(Failure::Refused),
        _ => Err(Failure::Lost),
    }
}
