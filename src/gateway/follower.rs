//! Follows the operator's configuration and the server list at the store; the configuration may
//! also be fetched from a peer that has it.

use super::admin::{CONFIGURATION_PATH, POSITION_HEADER};
use super::channel;
use super::event::{Fetch, StoreUpdate, Subscription, milliseconds};
use super::feed::{Change, Feed};
use super::store::{RETRY_DELAY, Store};
use crate::common::*;
use crate::decide::config_source::{Progress, Situation, Source};
use crate::platform::{config, worker};
use crate::wire::generated_gossip::{Batch, Entry};
use crate::world::deployment::Deployment;
use crate::world::site::Version;
use crate::world::table;
use bytes::Bytes;
use hyper::Method;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Changes within this time are fetched together.
const BATCHING_DELAY: Duration = Duration::from_millis(300);
/// Time-out for a peer's answer to begin, and for pauses in it; and for all of it, since several
/// instances may fetch a large configuration over the peer's link at once.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_PEER_READ_TIME: Duration = Duration::from_millis(1_500);
/// After its start, an instance waits this long until it knows of peers that may have the configuration
/// before it reads the store: the list of instances is two calls away.
const START_LISTEN_TIME: Duration = Duration::from_millis(200);

/// Follows the configuration at the store, or fetches a newer one from a peer.
pub async fn follow_site(
    store: Rc<Store>,
    mut subscription: watch::Receiver<Subscription>,
    deployment: Arc<Deployment>,
) {
    let mut feed = Feed::new(
        Rc::clone(&store),
        config::TABLE,
        subscription.clone(),
        |subscription| subscription.site_stalls,
        |subscription| subscription.is_following_site,
        |subscription| subscription.site_poll,
    );
    feed.returns_unchanged = deployment.bounds.revocation.is_some();
    feed.reads_newest_only = true;
    feed.is_recent = |subscription| subscription.is_site_recent;
    let mut known = Known::default();
    let mut seen_stalls = 0;
    let (mut seen_checks, mut seen_probes) = (0, 0);
    let mut has_peer_failed = false;
    let metrics_port = deployment.metrics.port();
    start_from_peer(
        &store,
        &mut subscription,
        metrics_port,
        &mut known,
        &mut feed,
    )
    .await;
    loop {
        let now = *subscription.borrow_and_update();
        let newest = known.newest;
        if now.newest_site_version <= newest.0 {
            seen_stalls = now.site_stalls;
        }
        let progress = progress(&now, newest, seen_stalls);
        let situation = Situation {
            follows_store: now.is_following_site || newest == Version::default(),
            reaches_store: store.is_up(),
            progress,
            peer: now
                .site_source
                .filter(|(_, version)| *version > newest.0 && !has_peer_failed)
                .map(|(peer, _)| peer),
        };
        has_peer_failed = false;
        match situation.source() {
            _ if now.probes > seen_probes => {
                seen_probes = now.probes;
                let store = Rc::clone(&store);
                tokio::task::spawn_local(async move { store.probe(config::TABLE).await });
            }
            Source::Peer(peer) => {
                let fetched = fetch_from_peer(&store, peer, metrics_port).await;
                let is_newer = match &fetched {
                    Some(copy) => {
                        known
                            .apply_copy(&store, copy, peer, feed.last_version)
                            .await
                            == Applied::Newer
                    }
                    None => false,
                };
                if let Some(copy) = fetched.filter(|_| is_newer) {
                    feed.resume_at(copy.position);
                } else {
                    has_peer_failed = progress == Progress::Late || !store.is_up();
                    let _changed = timeout(RETRY_DELAY, subscription.changed()).await;
                }
            }
            Source::Store if progress == Progress::Late => {
                seen_stalls = now.site_stalls;
                seen_checks = now.site_checks;
                let change = feed.reread().await;
                known.apply_change(&store, change, &feed).await;
            }
            Source::Store | Source::Await if now.site_checks > seen_checks => {
                seen_checks = now.site_checks;
                let change = feed.check().await;
                known.apply_change(&store, change, &feed).await;
            }
            Source::Store if !feed.rest().is_zero() => {
                let _changed = timeout(feed.rest(), subscription.changed()).await;
            }
            Source::Store => {
                let change = feed.next().await;
                let has_rows = matches!(change, Change::Snapshot(_) | Change::Some(_));
                known.apply_change(&store, change, &feed).await;
                if has_rows {
                    sleep(BATCHING_DELAY).await;
                }
            }
            Source::Await => {
                if subscription.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

fn progress(now: &Subscription, newest: Version, seen_stalls: u64) -> Progress {
    if now.site_stalls > seen_stalls {
        Progress::Late
    } else if now.newest_site_version > newest.0 {
        Progress::Behind
    } else {
        Progress::Current
    }
}

/// Gets the configuration from a peer after a start, so that many instances that start together do not
/// all read it from the store.
async fn start_from_peer(
    store: &Rc<Store>,
    subscription: &mut watch::Receiver<Subscription>,
    metrics_port: u16,
    known: &mut Known,
    feed: &mut Feed,
) {
    let sources = subscription.wait_for(|subscription| subscription.start_sources.is_some());
    let Ok(Ok(sources)) = timeout(START_LISTEN_TIME, sources)
        .await
        .map(|known| known.map(|subscription| subscription.start_sources))
    else {
        return;
    };
    for peer in sources.iter().flatten().flatten() {
        let Some(copy) = fetch_from_peer(store, *peer, metrics_port).await else {
            continue;
        };
        if known
            .apply_copy(store, &copy, *peer, feed.last_version)
            .await
            == Applied::Newer
        {
            feed.resume_at(copy.position);
            return;
        }
    }
}

/// What became of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// It was put in force.
    Newer,
    NotNewer,
    Unreadable,
}

/// What this thread knows of the configuration.
#[derive(Debug, Default)]
struct Known {
    /// Version in force.
    newest: Version,
    /// Whether the newest row of the store that was seen could be read. An unreadable one may be a
    /// newer configuration, so that the store's answers prove nothing.
    is_row_readable: bool,
}

impl Known {
    /// Applies an answer of the store. If it shows what the store held when the call began, passes this
    /// on after the configuration itself.
    async fn apply_change(&mut self, store: &Store, change: Change, feed: &Feed) {
        let (confirmed_at, at) = (feed.confirmed_at, feed.last_version);
        match change {
            Change::Empty => return,
            Change::Unchanged => {}
            Change::Snapshot(rows) | Change::Some(rows) => {
                let rows = rows.into_iter().filter(|row| row.key == config::KEY);
                let newest = rows.max_by_key(|row| row.version);
                if let Some((value, position)) =
                    newest.and_then(|row| row.value.zip(Some(row.version)))
                {
                    let position = at.map(|version| version.at(position));
                    let applied = self.apply(store, &Bytes::from(value), None, position).await;
                    self.is_row_readable = applied != Applied::Unreadable;
                }
            }
        }
        if let Some(began_at) = confirmed_at.filter(|_| self.is_row_readable) {
            let version = self.newest.0;
            let proof = StoreUpdate::Proof { began_at, version };
            store.send_update(proof).await;
        }
    }

    /// Applies what a peer has; `read_up_to` is the version up to which this instance has read the table.
    async fn apply_copy(
        &mut self,
        store: &Store,
        copy: &Copy,
        peer: SocketAddr,
        read_up_to: Option<table::Version>,
    ) -> Applied {
        let applied = self
            .apply(store, &copy.raw, Some(peer), copy.position)
            .await;
        // A later row may have been seen that could not be read.
        let is_newest_row = copy.position.is_some() && copy.position >= read_up_to;
        self.is_row_readable |= applied == Applied::Newer && is_newest_row;
        applied
    }

    /// Puts a configuration in force if it is newer than the current one; `peer` names its source
    /// unless that is the store, and `position` is the version of its row.
    async fn apply(
        &mut self,
        store: &Store,
        raw: &Bytes,
        peer: Option<SocketAddr>,
        position: Option<table::Version>,
    ) -> Applied {
        match config::decode(raw) {
            Ok(site) if site.version > self.newest => {
                self.newest = site.version;
                store
                    .send_update(StoreUpdate::Site {
                        site: Arc::new(site),
                        written: raw.clone(),
                        peer,
                        position,
                    })
                    .await;
                Applied::Newer
            }
            Ok(site) => {
                log::info!(
                    "configuration {} ignored: not newer than the current one",
                    site.version
                );
                Applied::NotNewer
            }
            Err(error) => {
                log::error!("{error}");
                Applied::Unreadable
            }
        }
    }
}

/// A peer's configuration, and the version of its row if the peer states it.
#[derive(Debug)]
struct Copy {
    raw: Bytes,
    position: Option<table::Version>,
}

/// Fetches the configuration from a peer.
async fn fetch_from_peer(store: &Store, peer: SocketAddr, port: u16) -> Option<Copy> {
    let address = SocketAddr::new(peer.ip(), port);
    let call = channel::build_request(Method::GET, address, CONFIGURATION_PATH, Vec::new());
    let began_at = store.now();
    let reply = channel::fetch_once(address, call, PEER_TIMEOUT, MAX_PEER_READ_TIME).await;
    let position = reply.as_ref().ok().and_then(|reply| {
        reply
            .headers
            .get(POSITION_HEADER)?
            .to_str()
            .ok()?
            .parse()
            .ok()
    });
    let body = reply.and_then(|reply| reply.require_ok("a peer's configuration"));
    let body = body
        .inspect_err(|error| log::info!("fetching the configuration from a peer failed: {error}"));
    let fetch = Fetch {
        table: config::TABLE,
        peer: Some(peer),
        whole: true,
        rows: usize::from(body.is_ok()),
        bytes: body.as_ref().map_or(0, Bytes::len),
        took_ms: milliseconds(store.now().saturating_sub(began_at)),
    };
    store.log_fetch(fetch).await;
    body.ok().map(|raw| Copy { raw, position })
}

/// Follows the server list while subscribed; otherwise only catches up when peers have a newer
/// version. Gossip between peers omits what servers hold, so an instance that starts to
/// follow reads the complete list.
pub async fn follow_servers(store: Rc<Store>, mut subscription: watch::Receiver<Subscription>) {
    let mut feed = Feed::new(
        Rc::clone(&store),
        worker::TABLE,
        subscription.clone(),
        |subscription| subscription.server_stalls,
        |_| true,
        |subscription| subscription.server_poll,
    );
    let mut was_following = false;
    // Version of the newest change; only the next batch has changes after it.
    let mut newest = table::Version::default();
    loop {
        let now = *subscription.borrow_and_update();
        let starts_following = now.is_following_servers && !was_following;
        was_following = now.is_following_servers;
        if starts_following {
            feed.last_version = None;
        } else if now.known_version.number > 0 && Some(now.known_version) > feed.last_version {
            feed.last_version = Some(now.known_version);
            newest = now.known_version;
        }
        let is_behind = feed
            .last_version
            .is_none_or(|last_version| now.newest_version > last_version);
        if !now.is_following_servers && !is_behind {
            feed.channel = None;
            if subscription.changed().await.is_err() {
                return;
            }
            continue;
        }
        let (from, rows) = match feed.next().await {
            Change::Snapshot(rows) => {
                newest = feed.last_version.unwrap_or_default();
                (0, rows)
            }
            Change::Some(rows) => {
                let from = newest.number;
                let versions = rows.iter().map(|row| row.version);
                newest.number = versions.max().unwrap_or(newest.number);
                (from, rows)
            }
            Change::Empty | Change::Unchanged => {
                sleep(feed.rest()).await;
                continue;
            }
        };
        let to = feed.last_version.unwrap_or_default();
        let entries = rows.into_iter().map(|row| Entry {
            worker: row.key,
            version: row.version,
            value: row.value.unwrap_or_default(),
        });
        let batch = Batch {
            from,
            to: to.number,
            era: to.era.map(|era| era.0),
            entries: entries.collect(),
            trusted: !store.has_failed_recently(),
            partial: false,
        };
        store.send_update(StoreUpdate::Servers(batch)).await;
        sleep(BATCHING_DELAY).await;
    }
}
