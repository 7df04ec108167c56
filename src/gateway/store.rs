//! The duty "store": follows the operator's configuration and the list of backend servers, and
//! makes calls for the other duties.
//!
//! Feeds are followed, not polled. Where the store lost its history, the table is read anew; an
//! answer older than what was seen already is not taken, for the store may answer from the past.

use super::admin::CONFIGURATION_PATH;
use super::channel::{self, Channel, Reply};
use super::event::{Call, Interest, LEASE, Member, News};
use crate::common::*;
use crate::decide::retry::backoff;
use crate::platform::{config, rows, worker};
use crate::wire::generated_gossip::{Batch, Entry};
use crate::world::deployment::Deployment;
use crate::world::site::Version;
use crate::world::table::{Commit, Failure, Row, Txn};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rows::Page;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// Longest time that the store keeps a call for changes waiting.
const WAIT: Duration = Duration::from_secs(28);
/// Longest time for any other answer of the store; it may be slow.
const ANSWER: Duration = Duration::from_millis(1_200);
/// Changes that come close together are fetched together.
const GATHER: Duration = Duration::from_millis(300);
/// Pause after a failed call; twice as long after each further one, up to the longest.
const AGAIN: Duration = Duration::from_millis(300);
const LONGEST_AGAIN: Duration = Duration::from_millis(1_200);
/// Longest time for a peer's answer that has the configuration.
const PEER_ANSWER: Duration = Duration::from_millis(400);
/// Entries that vanish this soon after a failed call may be those that lapsed meanwhile.
const DISTURBED: Duration = Duration::from_millis(2_500);
/// Prefix of the rows in which instances register.
const MEMBERS: &str = "instance.";
/// Pause between reads of the list of instances; later ones announce themselves to all they read.
const MEMBERS_AGAIN: Duration = Duration::from_mins(2);

/// What the tasks of this duty share.
struct Store {
    address: SocketAddr,
    clock: crate::node::clock::Clock,
    news: flume::Sender<News>,
    failed_at: Cell<Option<Duration>>,
    is_up: Cell<bool>,
    /// Wakes feeds that wait: their calls may hang since an outage.
    regained: Notify,
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
    let site = follow_site(
        Rc::clone(&store),
        interest.clone(),
        deployment.metrics.port(),
    );
    tokio::task::spawn_local(site);
    tokio::task::spawn_local(follow_servers(Rc::clone(&store), interest));
    tokio::task::spawn_local(register(Rc::clone(&store), deployment));
    while let Ok(call) = calls.recv_async().await {
        tokio::task::spawn_local(answer(Rc::clone(&store), call));
    }
}

impl Store {
    async fn tell(&self, news: News) {
        if self.news.send_async(news).await.is_err() {
            log::debug!("the duty of traffic has ended: its news is dropped");
        }
    }

    /// Notes whether a call was answered.
    async fn note(&self, up: bool) {
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

    fn is_disturbed(&self) -> bool {
        let failed = self.failed_at.get();
        failed.is_some_and(|at| self.clock.now() < at + DISTURBED)
    }

    fn get(&self, path: &str) -> Request<Full<Bytes>> {
        channel::request(Method::GET, self.address, path, Vec::new())
    }

    async fn once(&self, request: Request<Full<Bytes>>) -> Result<Reply> {
        let reply = channel::once(self.address, request, ANSWER).await;
        let up = reply.as_ref().is_ok_and(|reply| reply.status < 429);
        self.note(up).await;
        reply
    }

    /// Reads rows of a table from a key on, all pages.
    async fn read(&self, table: &str, from: &str) -> Result<Page> {
        let mut whole = Page {
            rows: Vec::new(),
            more: true,
            version: u64::MAX,
        };
        let mut from = from.to_owned();
        while whole.more {
            let reply = self.once(self.get(&rows::read_path(table, &from))).await?;
            let page = decode(&reply)?;
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

fn decode(reply: &Reply) -> Result<Page> {
    if reply.status != 200 {
        return Err(Error::Answer {
            url: "the platform's store".into(),
            status: reply.status,
            text: "see the status".into(),
        });
    }
    rows::decode_page(&reply.body)
}

/// One table that is followed.
struct Feed {
    store: Rc<Store>,
    table: &'static str,
    /// Newest version seen; 0 before the first read.
    after: u64,
    channel: Option<Channel>,
    interest: watch::Receiver<Interest>,
    doubts_of: fn(&Interest) -> u64,
    is_wanted: fn(&Interest) -> bool,
    /// Calls that failed one after the other.
    failures: u32,
}

/// What a feed brought.
enum Change {
    /// Nothing: the call failed, or is not wanted any more.
    Nothing,
    /// The whole table.
    All(Vec<rows::Row>),
    Some(Vec<rows::Row>),
}

impl Feed {
    fn new(
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
    async fn next(&mut self) -> Change {
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
    async fn read_change(&mut self) -> Change {
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
        if reply.status == 410 {
            log::info!(
                "the store dropped its history of {}: reading anew",
                self.table
            );
            return self.read_anew().await;
        }
        let page = decode(&reply)?;
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

/// Follows the configuration at the store, or asks a peer that has a newer one.
async fn follow_site(store: Rc<Store>, mut interest: watch::Receiver<Interest>, peers_port: u16) {
    let mut feed = Feed::new(
        Rc::clone(&store),
        config::TABLE,
        interest.clone(),
        |interest| interest.site_doubts,
        |interest| interest.reads_site,
    );
    let mut newest = Version::default();
    loop {
        let now = *interest.borrow_and_update();
        let is_behind = now.site_heard > newest.0;
        let reads = now.reads_site || feed.after == 0;
        if is_behind && (!reads || !store.is_up.get()) {
            let written = from_peer(now.site_peer, peers_port).await;
            let fetched = match written {
                Some(written) => take_site(&store, &mut newest, &written).await,
                None => false,
            };
            if !fetched {
                take_rows(&store, &mut newest, feed.read_change().await).await;
            }
        } else if reads {
            take_rows(&store, &mut newest, feed.next().await).await;
            sleep(GATHER).await;
        } else if interest.changed().await.is_err() {
            return;
        }
    }
}

async fn take_rows(store: &Store, newest: &mut Version, change: Change) {
    let (Change::All(rows) | Change::Some(rows)) = change else {
        return;
    };
    let rows = rows.into_iter().filter(|row| row.key == config::KEY);
    for value in rows.filter_map(|row| row.value) {
        take_site(store, newest, &Bytes::from(value)).await;
    }
}

/// Puts a configuration in force if it is newer than the one before.
async fn take_site(store: &Store, newest: &mut Version, written: &Bytes) -> bool {
    match config::decode(written) {
        Ok(site) if site.version > *newest => {
            *newest = site.version;
            store
                .tell(News::Site(Arc::new(site), written.clone()))
                .await;
            true
        }
        Ok(site) => {
            log::info!("configuration {} is not newer", site.version);
            false
        }
        Err(error) => {
            log::error!("{error}");
            false
        }
    }
}

/// The configuration as a peer has it.
async fn from_peer(peer: Option<SocketAddr>, port: u16) -> Option<Bytes> {
    let address = SocketAddr::new(peer?.ip(), port);
    let call = channel::request(Method::GET, address, CONFIGURATION_PATH, Vec::new());
    let reply = channel::once(address, call, PEER_ANSWER).await;
    let reply = reply.inspect_err(|error| log::info!("no configuration from a peer: {error}"));
    Some(reply.ok().filter(|reply| reply.status == 200)?.body)
}

/// Follows the list of servers while that is of interest; else only catches up where peers know
/// more.
async fn follow_servers(store: Rc<Store>, mut interest: watch::Receiver<Interest>) {
    let mut feed = Feed::new(
        Rc::clone(&store),
        worker::TABLE,
        interest.clone(),
        |interest| interest.server_doubts,
        |_| true,
    );
    loop {
        let now = *interest.borrow_and_update();
        feed.after = feed.after.max(now.known);
        let is_behind = feed.after == 0 || now.heard > feed.after;
        if !now.follow && !is_behind {
            feed.channel = None;
            if interest.changed().await.is_err() {
                return;
            }
            continue;
        }
        let from = feed.after;
        let (from, rows) = match feed.next().await {
            Change::All(rows) => (0, rows),
            Change::Some(rows) => (from, rows),
            Change::Nothing => continue,
        };
        let entries = rows.into_iter().map(|row| Entry {
            worker: row.key,
            version: row.version,
            value: row.value.unwrap_or_default(),
        });
        let batch = Batch {
            from,
            to: feed.after,
            entries: entries.collect(),
            trusted: !store.is_disturbed(),
        };
        store.tell(News::Servers(batch)).await;
        sleep(GATHER).await;
    }
}

/// Writes this instance's row, then reads those of the others: of two that start together, one at
/// least finds the other so, and announces itself to it. The rows of the leases come along: a row
/// that stood already as this instance writes it is that of an earlier start here, whose leases
/// this one may go on with.
async fn register(store: Rc<Store>, deployment: Arc<Deployment>) {
    let key = format!("{MEMBERS}{}", deployment.instance);
    let row = json!({"address": deployment.peers, "data_centre": deployment.data_centre});
    let written = row.to_string().into_bytes();
    let (mut version, mut is_written, mut failures) = (0, false, 0);
    let mut is_first = true;
    loop {
        if !is_written {
            let txn = Txn::default().put(key.clone(), version, row.clone());
            is_written = matches!(commit(&store, &txn).await, Ok(Commit::Done(_)));
        }
        let Ok(page) = store.read(rows::OWN, MEMBERS).await else {
            failures += 1;
            sleep(backoff(AGAIN, failures, LONGEST_AGAIN, 1.0)).await;
            continue;
        };
        let mine = page.rows.iter().find(|row| row.key == key);
        version = mine.map_or(0, |row| row.version);
        let was_there = !is_written && mine.is_some_and(|mine| mine.value == Some(written.clone()));
        if is_first && was_there {
            store.tell(News::Former(leases(&page))).await;
        }
        is_first = false;
        is_written |= was_there;
        store.tell(News::Members(members(&page))).await;
        sleep(if is_written { MEMBERS_AGAIN } else { AGAIN }).await;
    }
}

fn members(page: &Page) -> Vec<Member> {
    let rows = page.rows.iter();
    let members = rows.filter_map(|row| {
        let instance = row.key.strip_prefix(MEMBERS)?.parse().ok()?;
        let value: Value = serde_json::from_slice(row.value.as_ref()?).ok()?;
        Some(Member {
            instance,
            address: value.get("address")?.as_str()?.parse().ok()?,
            data_centre: value.get("data_centre")?.as_str()?.parse().ok()?,
        })
    });
    members.collect()
}

fn leases(page: &Page) -> Vec<Row> {
    let rows = page.rows.iter();
    let rows = rows.filter(|row| row.key.starts_with(LEASE));
    rows.filter_map(decode_row).collect()
}

fn decode_row(row: &rows::Row) -> Option<Row> {
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
    let path = format!("{}&Limit=1", rows::read_path(rows::OWN, key));
    let reply = store.once(store.get(&path)).await;
    let page = reply.and_then(|reply| decode(&reply));
    let page = page.map_err(|error| {
        log::info!("row {key} was not read: {error}");
        Failure::Refused
    })?;
    let row = page.rows.iter().find(|row| row.key == key);
    Ok(row.and_then(decode_row))
}

async fn commit(store: &Store, txn: &Txn) -> Result<Commit, Failure> {
    let body = rows::encode_commit(txn);
    let request = channel::request(Method::POST, store.address, rows::COMMIT_PATH, body);
    let reply = store.once(request).await.map_err(|error| {
        log::info!("a commit got no answer: {error}");
        Failure::Lost
    })?;
    match reply.status {
        200 => {
            let version = rows::decode_commit(&reply.body).map_err(|_| Failure::Lost)?;
            Ok(Commit::Done(vec![version; txn.puts.len()]))
        }
        412 => Ok(Commit::Conflict(Vec::new())),
        429 | 503 => Err(Failure::Refused),
        _ => Err(Failure::Lost),
    }
}
