//! Follows the operator's configuration and the list of backend servers, at the store or, for the
//! configuration, from a peer that has it.

use super::admin::CONFIGURATION_PATH;
use super::channel;
use super::event::{Interest, News};
use super::feed::{Change, Feed};
use super::store::Store;
use crate::common::*;
use crate::platform::{config, worker};
use crate::wire::generated_gossip::{Batch, Entry};
use crate::world::site::Version;
use bytes::Bytes;
use hyper::Method;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::sleep;

/// Changes that come close together are fetched together.
const GATHER: Duration = Duration::from_millis(300);
/// Longest time for a peer's answer that has the configuration.
const PEER_ANSWER: Duration = Duration::from_millis(400);

/// Follows the configuration at the store, or asks a peer that has a newer one.
pub async fn site(store: Rc<Store>, mut interest: watch::Receiver<Interest>, metrics_port: u16) {
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
            let written = from_peer(now.site_peer, metrics_port).await;
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
    let body = reply.and_then(|reply| reply.sound("a peer's configuration"));
    body.inspect_err(|error| log::info!("no configuration from a peer: {error}"))
        .ok()
}

/// Follows the list of servers while that is of interest; else only catches up where peers know
/// more. Peers leave out what servers hold, so whoever begins to follow reads the whole list.
pub async fn servers(store: Rc<Store>, mut interest: watch::Receiver<Interest>) {
    let mut feed = Feed::new(
        Rc::clone(&store),
        worker::TABLE,
        interest.clone(),
        |interest| interest.server_doubts,
        |_| true,
    );
    let mut followed = false;
    // Version of the newest change: from there on nothing but the next batch changed.
    let mut newest = 0;
    loop {
        let now = *interest.borrow_and_update();
        let begins = now.follow && !followed;
        followed = now.follow;
        if begins {
            feed.after = 0;
        } else if now.known > feed.after {
            feed.after = now.known;
            newest = now.known;
        }
        let is_behind = feed.after == 0 || now.heard > feed.after;
        if !now.follow && !is_behind {
            feed.channel = None;
            if interest.changed().await.is_err() {
                return;
            }
            continue;
        }
        let (from, rows) = match feed.next().await {
            Change::All(rows) => {
                newest = feed.after;
                (0, rows)
            }
            Change::Some(rows) => {
                let from = newest;
                let versions = rows.iter().map(|row| row.version);
                newest = versions.max().unwrap_or(newest);
                (from, rows)
            }
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
            partial: false,
        };
        store.tell(News::Servers(batch)).await;
        sleep(GATHER).await;
    }
}
