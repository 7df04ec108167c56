//! Follows the operator's configuration and the server list at the store; the configuration may
//! also be fetched from a peer that has it.

use super::admin::CONFIGURATION_PATH;
use super::channel;
use super::event::{Fetch, StoreUpdate, Subscription, milliseconds};
use super::feed::{Change, Feed};
use super::store::{RETRY_DELAY, Store};
use crate::common::*;
use crate::decide::config_source::{Progress, Situation, Source};
use crate::platform::{config, worker};
use crate::wire::generated_gossip::{Batch, Entry};
use crate::world::site::Version;
use crate::world::table;
use bytes::Bytes;
use hyper::Method;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Changes within this time are fetched together.
const BATCHING_DELAY: Duration = Duration::from_millis(300);
/// Time-out for fetching the configuration from a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Follows the configuration at the store, or fetches a newer one from a peer.
pub async fn follow_site(
    store: Rc<Store>,
    mut subscription: watch::Receiver<Subscription>,
    metrics_port: u16,
    wants_proofs: bool,
) {
    let mut feed = Feed::new(
        Rc::clone(&store),
        config::TABLE,
        subscription.clone(),
        |subscription| subscription.site_stalls,
        |subscription| subscription.is_following_site,
        |subscription| subscription.site_poll,
    );
    feed.returns_unchanged = wants_proofs;
    let mut known = Known::default();
    let mut seen_stalls = 0;
    let mut seen_checks = 0;
    let mut has_peer_failed = false;
    loop {
        let now = *subscription.borrow_and_update();
        let newest = known.newest;
        if now.newest_site_version <= newest.0 {
            seen_stalls = now.site_stalls;
        }
        let progress = if now.site_stalls > seen_stalls {
            Progress::Late
        } else if now.newest_site_version > newest.0 {
            Progress::Behind
        } else {
            Progress::Current
        };
        let situation = Situation {
            follows_store: now.is_following_site || feed.last_version.is_none(),
            reaches_store: store.is_up.get(),
            progress,
            peer: now
                .site_source
                .filter(|(_, version)| *version > newest.0 && !has_peer_failed)
                .map(|(peer, _)| peer),
        };
        has_peer_failed = false;
        match situation.source() {
            Source::Peer(peer) => {
                let raw = fetch_from_peer(&store, peer, metrics_port).await;
                let is_newer = match raw {
                    Some(raw) => known.apply(&store, &raw, Some(peer)).await == Applied::Newer,
                    None => false,
                };
                if !is_newer {
                    has_peer_failed = !store.is_up.get();
                    let _changed = timeout(RETRY_DELAY, subscription.changed()).await;
                }
            }
            Source::Store if progress == Progress::Late => {
                seen_stalls = now.site_stalls;
                seen_checks = now.site_checks;
                let change = feed.reread().await;
                known.apply_change(&store, change, feed.confirmed_at).await;
            }
            Source::Store | Source::Await if now.site_checks > seen_checks => {
                seen_checks = now.site_checks;
                let change = feed.check().await;
                known.apply_change(&store, change, feed.confirmed_at).await;
            }
            Source::Store => {
                let change = feed.next().await;
                let has_rows = matches!(change, Change::Snapshot(_) | Change::Some(_));
                known.apply_change(&store, change, feed.confirmed_at).await;
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
    async fn apply_change(
        &mut self,
        store: &Store,
        change: Change,
        confirmed_at: Option<Duration>,
    ) {
        match change {
            Change::Empty => return,
            Change::Unchanged => {}
            Change::Snapshot(rows) | Change::Some(rows) => {
                let rows = rows.into_iter().filter(|row| row.key == config::KEY);
                for value in rows.filter_map(|row| row.value) {
                    let applied = self.apply(store, &Bytes::from(value), None).await;
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

    /// Puts a configuration in force if it is newer than the current one; `peer` names its source
    /// unless that is the store.
    async fn apply(&mut self, store: &Store, raw: &Bytes, peer: Option<SocketAddr>) -> Applied {
        match config::decode(raw) {
            Ok(site) if site.version > self.newest => {
                self.newest = site.version;
                store
                    .send_update(StoreUpdate::Site {
                        site: Arc::new(site),
                        written: raw.clone(),
                        peer,
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

/// Fetches the configuration from a peer.
async fn fetch_from_peer(store: &Store, peer: SocketAddr, port: u16) -> Option<Bytes> {
    let address = SocketAddr::new(peer.ip(), port);
    let call = channel::build_request(Method::GET, address, CONFIGURATION_PATH, Vec::new());
    let began_at = store.now();
    let reply = channel::call_once(address, call, PEER_TIMEOUT).await;
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
    body.ok()
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
            Change::Empty | Change::Unchanged => continue,
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
