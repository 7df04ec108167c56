//! Origins of streams: what the traffic thread records of them, their exchange between instances and
//! their rows in the store.

use super::event::{STREAMS_KEY_PREFIX, VERSION_KEY_PREFIX};
use super::forward::Exchange;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::origin::{Origin, Release, StreamId, Streams, Write};
use crate::platform::rows;
use crate::wire::generated_gossip as wire;
use crate::wire::origin;
use crate::world::backend::Software;
use crate::world::id;
use crate::world::message::TakeUp;
use crate::world::table::Txn;
use std::rc::Rc;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Interval at which peers are told of new streams, and at which this instance's row is written, in a
/// site with few instances. Both grow with the number of instances, since each sends to all.
const TELL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_TELL_INTERVAL: Duration = Duration::from_millis(500);
const ROW_INTERVAL: Duration = Duration::from_millis(400);
const MAX_ROW_INTERVAL: Duration = Duration::from_secs(4);
/// Number of instances above which the intervals grow.
const FEW_INSTANCES: u32 = 16;
/// Longest wait for news of a stream's origin: a peer tells of a stream as it breaks off, but its caller
/// may be faster.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(250);
/// Time after which peers and the store must have been heard for the server list to be current.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Versions and streams in the rows that all instances wrote.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    pub versions: BTreeSet<Release>,
    pub streams: Streams,
}

/// A version of a service as it is kept in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VersionRow {
    service: id::Service,
    software: Software,
}

/// Unfinished streams of one version as they are kept in the store.
#[derive(Debug, Serialize, Deserialize)]
struct StreamsRow {
    service: id::Service,
    software: Software,
    streams: BTreeSet<StreamId>,
}

/// The software version to which a request is bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Binding {
    /// Any: no event has reached the caller.
    Free,
    To(Software),
    /// The version that sent the events is unknown, so no other server fits.
    Unknown,
}

impl Traffic {
    /// Records that a stream brought its first event.
    pub(super) fn on_stream_begun(&self, exchange: &Exchange, software: &Software) {
        let now = self.clock.now();
        let release = (exchange.need.service.clone(), software.clone());
        let stream = StreamId::of_request(&exchange.request.id);
        self.origins.borrow_mut().on_begun(now, stream, release);
    }

    /// Records that a stream ended; one that broke off may be taken up at once, at any instance.
    pub(super) fn on_stream_ended(&self, request: &str, is_whole: bool) {
        let stream = StreamId::of_request(request);
        let mut origins = self.origins.borrow_mut();
        if is_whole {
            origins.on_finished(stream);
        } else {
            drop(origins);
            self.announce_streams();
        }
    }

    /// Has peers told now of the streams that they don't know of.
    fn announce_streams(&self) {
        if self.origins.borrow().has_news(self.clock.now()) {
            self.has_new_streams.set(true);
            self.gossip_pending.notify_one();
        }
    }

    /// Records the versions of the listed servers.
    pub(super) fn update_versions(&self, now: Duration) {
        let balance = self.balance.borrow();
        let mut origins = self.origins.borrow_mut();
        for view in balance.views() {
            let backend = &view.backend;
            if balance.has_engine(&backend.service) {
                origins.on_version(now, &backend.service, backend.software.as_ref());
            }
        }
        origins.tick(now);
    }

    /// Applies the rows that were read from the store.
    pub(super) fn on_origin_rows(&self, rows: &Rows) {
        let now = self.clock.now();
        self.origins
            .borrow_mut()
            .on_rows(now, &rows.versions, &rows.streams);
        self.origins_changed.notify_waiters();
    }

    /// Applies the streams that a peer tells of.
    pub(super) fn on_peer_streams(&self, messages: &[wire::Streams]) {
        if messages.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.origins
            .borrow_mut()
            .merge(now, &origin::decode(messages));
        self.origins_changed.notify_waiters();
    }

    /// Takes the streams that all peers must be told of.
    pub(super) fn take_stream_news(&self) -> Vec<wire::Streams> {
        let now = self.clock.now();
        origin::encode(&self.origins.borrow_mut().take_news(now))
    }

    /// Whether this instance hears of new servers: from a holder that follows the list, or from the
    /// store.
    fn is_informed(&self, now: Duration) -> bool {
        let (_, holder_heard_at) = self.peer_servers_version.get();
        let hears_holder = holder_heard_at > Duration::ZERO && now < holder_heard_at + MAX_SILENCE;
        hears_holder || self.reaches_store.get()
    }

    fn origin(&self, service: &id::Service, taken_up: &TakeUp) -> Origin {
        let now = self.clock.now();
        let first_request = taken_up.first_request.as_deref();
        let is_informed = self.is_informed(now);
        let origins = self.origins.borrow();
        origins.origin(now, service, first_request, is_informed)
    }

    /// Returns the version that began a stream, after a short wait for news if it is unknown.
    pub(super) async fn find_origin(&self, service: &id::Service, taken_up: &TakeUp) -> Origin {
        let until = self.clock.now() + MAX_ORIGIN_WAIT;
        loop {
            let changed = self.origins_changed.notified();
            let origin = self.origin(service, taken_up);
            let time_left = until.saturating_sub(self.clock.now());
            if origin != Origin::Unknown || time_left.is_zero() {
                return origin;
            }
            let _ = timeout(time_left, changed).await;
        }
    }

    /// Whether a server of this version may get requests.
    pub(super) fn serves_version(&self, service: &id::Service, software: &Software) -> bool {
        let balance = self.balance.borrow();
        let mut backends = balance.views().map(|view| &view.backend);
        backends.any(|backend| {
            backend.service == *service
                && !backend.leaving
                && backend.software.as_ref() == Some(software)
        })
    }

    /// Whether a server fits what a request is bound to.
    pub(super) fn fits(&self, binding: &Binding, worker: &id::Worker) -> bool {
        match binding {
            Binding::Free => true,
            Binding::Unknown => false,
            Binding::To(software) => {
                let balance = self.balance.borrow();
                let view = balance.view(worker);
                view.is_some_and(|view| view.backend.software.as_ref() == Some(software))
            }
        }
    }

    /// Returns an interval that grows with the number of instances.
    fn scaled(&self, interval: Duration, longest: Duration) -> Duration {
        let instances = self.instances().max(FEW_INSTANCES);
        (interval * instances / FEW_INSTANCES).min(longest)
    }

    async fn write_version(&self, write: &Write) -> bool {
        let (Write::Insert((service, software)) | Write::Remove((service, software))) = write;
        let hash = xxh3_64(format!("{service} {software}").as_bytes());
        let key = format!("{VERSION_KEY_PREFIX}{hash:016x}");
        let row = VersionRow {
            service: service.clone(),
            software: software.clone(),
        };
        self.commit(match write {
            Write::Insert(_) => Txn::default().put(key, 0, json!(row)),
            Write::Remove(_) => Txn::default().remove(key),
        })
        .await
    }

    /// Writes the unfinished streams of this start of the instance; an empty row is removed.
    async fn write_streams(&self, streams: &Streams) -> bool {
        let key = format!(
            "{STREAMS_KEY_PREFIX}{}.{}",
            self.deployment.instance, self.incarnation.0
        );
        let rows = streams
            .iter()
            .map(|((service, software), streams)| StreamsRow {
                service: service.clone(),
                software: software.clone(),
                streams: streams.clone(),
            });
        let rows: Vec<StreamsRow> = rows.collect();
        let value = if rows.is_empty() {
            Value::Null
        } else {
            json!(rows)
        };
        self.commit(Txn::write(key, value)).await
    }
}

/// Tells peers of new streams while a service has several versions.
pub async fn tell_peers(traffic: Rc<Traffic>) {
    loop {
        sleep(traffic.scaled(TELL_INTERVAL, MAX_TELL_INTERVAL)).await;
        traffic.announce_streams();
    }
}

/// Keeps the rows in the store in line with this instance's streams and, if it follows the server list,
/// with the known versions.
pub async fn keep_in_store(traffic: Rc<Traffic>) {
    loop {
        sleep(traffic.scaled(ROW_INTERVAL, MAX_ROW_INTERVAL)).await;
        let now = traffic.clock.now();
        let row = traffic.origins.borrow_mut().take_row(now);
        if let Some(streams) = row
            && !traffic.write_streams(&streams).await
        {
            traffic.origins.borrow_mut().on_row_failed();
        }
        let mut writes = Vec::new();
        if traffic.should_follow_servers(now) {
            writes = traffic.origins.borrow_mut().take_writes(now);
        }
        for write in writes {
            let is_written = traffic.write_version(&write).await;
            let values = json!({"write": format!("{write:?}"), "done": is_written});
            traffic.journal.note("version_row", &values);
            if is_written {
                traffic.origins.borrow_mut().on_written(&write);
            }
        }
    }
}

/// Decodes the rows of versions and streams among others; those that can't be decoded are logged and
/// skipped.
pub(super) fn decode_rows(rows: &[rows::Row]) -> Rows {
    let mut decoded = Rows::default();
    for row in rows {
        let Some(value) = row.value.as_deref() else {
            continue;
        };
        let result = if row.key.starts_with(VERSION_KEY_PREFIX) {
            serde_json::from_slice(value).map(|row: VersionRow| {
                decoded.versions.insert((row.service, row.software));
            })
        } else if row.key.starts_with(STREAMS_KEY_PREFIX) {
            serde_json::from_slice(value).map(|rows: Vec<StreamsRow>| {
                for row in rows {
                    let streams = decoded.streams.entry((row.service, row.software));
                    streams.or_default().extend(row.streams);
                }
            })
        } else {
            Ok(())
        };
        if let Err(error) = result {
            log::error!("row {} is invalid: {error}; remove it", row.key);
        }
    }
    decoded
}
