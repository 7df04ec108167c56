//! Software versions of the servers that began streams, for callers that take a stream up.
//!
//! What servers of two software versions write does not fit together, so a stream may only go on at
//! the version that began it. Each instance knows the streams that it began itself. While a service
//! has several versions, instances tell each other of unfinished streams and keep them in the store,
//! where they outlive a restart of all instances. Of a stream that nobody has told of, the version is
//! known only if the service has had a single one for as long as callers take streams up.

use crate::common::*;
use crate::world::backend::Software;
use crate::world::id;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a stream may be taken up, and after which a version that no server has any more is
/// forgotten.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Instances that know of the same change to the store each wait for a different part of this time,
/// so that usually one of them makes it.
const WRITE_SPREAD: Duration = Duration::from_secs(2);
/// Limit on the recorded streams, and on the unfinished ones.
const MAX_STREAMS: usize = 50_000;
/// Streams that one row of the store holds.
pub const MAX_STORED_STREAMS: usize = 2_000;

/// Hash of the id of the request that brought a stream's first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(pub u64);

impl StreamId {
    #[must_use]
    pub fn of_request(request: &str) -> Self {
        Self(xxh3_64(request.as_bytes()))
    }
}

/// A software version in a service.
pub type Release = (id::Service, Software);

/// Streams by the software version that began them.
pub type Streams = BTreeMap<Release, BTreeSet<StreamId>>;

/// What is known of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The stream was recorded.
    Recorded(Software),
    /// The service has had no other version.
    Only(Software),
    Unknown,
}

/// A version's servers, as they were last seen. Servers without a version have one of their own.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    seen_at: Duration,
    is_stored: bool,
    /// Since when the store should be changed.
    due_since: Duration,
}

/// A stream that this instance began and that has not ended as a whole.
#[derive(Debug, Clone)]
struct Unfinished {
    release: Release,
    begun_at: Duration,
    is_told: bool,
}

/// A change to the rows of versions in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    Insert(Release),
    Remove(Release),
}

/// Origins of streams as one instance knows them.
#[derive(Debug, Default)]
pub struct Origins {
    /// Distinguishes this instance from others.
    seed: u64,
    versions: BTreeMap<(id::Service, Option<Software>), Sighting>,
    streams: Map<StreamId, Software>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<(Duration, StreamId)>,
    unfinished: BTreeMap<StreamId, Unfinished>,
    /// Whether the versions before this instance's start were read from the store.
    has_read_rows: bool,
    /// Whether the row of this instance's streams in the store is out of date, and whether it has any.
    is_row_stale: bool,
    has_row: bool,
}

impl Origins {
    /// Creates an empty record; `seed` must differ between instances.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Records that a service has servers of a version.
    pub fn on_version(
        &mut self,
        now: Duration,
        service: &id::Service,
        software: Option<&Software>,
    ) {
        let key = (service.clone(), software.cloned());
        let sighting = self.versions.entry(key).or_insert_with(|| {
            self.is_row_stale = true;
            Sighting {
                seen_at: now,
                is_stored: false,
                due_since: now,
            }
        });
        sighting.seen_at = sighting.seen_at.max(now);
    }

    /// Whether a service has had several versions within [`RETENTION`].
    #[must_use]
    pub fn is_mixed(&self, now: Duration, service: &id::Service) -> bool {
        self.recent_versions(now, service).nth(1).is_some()
    }

    fn recent_versions<'a>(
        &'a self,
        now: Duration,
        service: &'a id::Service,
    ) -> impl Iterator<Item = &'a Option<Software>> {
        let from = (service.clone(), None);
        let versions = self.versions.range(from..);
        let versions = versions.take_while(move |((of, _), _)| of == service);
        let recent = versions.filter(move |(_, sighting)| !sighting.is_expired(now));
        recent.map(|((_, software), _)| software)
    }

    /// Returns the versions of all services within [`RETENTION`], with the time since each was seen.
    pub fn versions(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&id::Service, Option<&Software>, Duration)> {
        let recent = self.versions.iter();
        let recent = recent.filter(move |(_, sighting)| !sighting.is_expired(now));
        recent.map(move |((service, software), sighting)| {
            (
                service,
                software.as_ref(),
                now.saturating_sub(sighting.seen_at),
            )
        })
    }

    /// Returns the number of recorded streams.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Records that a stream of this instance brought its first event.
    pub fn on_begun(&mut self, now: Duration, stream: StreamId, release: Release) {
        self.record(now, stream, release.1.clone());
        let unfinished = Unfinished {
            release,
            begun_at: now,
            is_told: false,
        };
        self.unfinished.insert(stream, unfinished);
        while self.unfinished.len() > MAX_STREAMS {
            self.unfinished.pop_first();
        }
        self.is_row_stale = true;
    }

    /// Records that a stream of this instance ended as a whole, so that nobody takes it up.
    pub fn on_finished(&mut self, stream: StreamId) {
        if self.unfinished.remove(&stream).is_some_and(|it| it.is_told) {
            self.is_row_stale = true;
        }
    }

    fn record(&mut self, now: Duration, stream: StreamId, software: Software) {
        if self.streams.insert(stream, software).is_none() {
            self.order.push_back((now, stream));
        }
        while self.order.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.streams.remove(&stream);
        }
    }

    /// Records streams that peers or the store tell of.
    pub fn merge(&mut self, now: Duration, told: &Streams) {
        for ((service, software), streams) in told {
            self.on_version(now, service, Some(software));
            for stream in streams {
                if !self.streams.contains_key(stream) {
                    self.record(now, *stream, software.clone());
                }
            }
        }
    }

    /// Applies all rows that were read from the store. How long ago the versions in them were seen is
    /// unknown, so they count as seen now.
    pub fn on_rows(&mut self, now: Duration, versions: &BTreeSet<Release>, streams: &Streams) {
        for ((service, software), sighting) in &mut self.versions {
            let stored = software
                .as_ref()
                .is_some_and(|software| versions.contains(&(service.clone(), software.clone())));
            if sighting.is_stored && !stored {
                sighting.due_since = now;
            }
            sighting.is_stored = stored;
        }
        for (service, software) in versions {
            let key = (service.clone(), Some(software.clone()));
            self.versions.entry(key).or_insert(Sighting {
                seen_at: now,
                is_stored: true,
                due_since: now,
            });
        }
        self.merge(now, streams);
        self.has_read_rows = true;
    }

    /// Returns what is known of a stream's origin; `is_informed` says whether this instance hears of
    /// changes of the server list.
    #[must_use]
    pub fn origin(
        &self,
        now: Duration,
        service: &id::Service,
        first_request: Option<&str>,
        is_informed: bool,
    ) -> Origin {
        let recorded = first_request.map(StreamId::of_request);
        if let Some(software) = recorded.and_then(|stream| self.streams.get(&stream)) {
            return Origin::Recorded(software.clone());
        }
        let knows_past = self.has_read_rows || now >= RETENTION;
        let mut versions = self.recent_versions(now, service);
        match (versions.next(), versions.next()) {
            (Some(Some(only)), None) if knows_past && is_informed => Origin::Only(only.clone()),
            _ => Origin::Unknown,
        }
    }

    /// Takes the unfinished streams of this instance that peers must be told of: those of services
    /// with several versions.
    pub fn take_news(&mut self, now: Duration) -> Streams {
        let untold = self.unfinished.iter().filter(|(_, it)| !it.is_told);
        let untold = untold.filter(|(_, it)| self.is_mixed(now, &it.release.0));
        let untold: Vec<(StreamId, Release)> = untold
            .map(|(stream, it)| (*stream, it.release.clone()))
            .collect();
        let mut news = Streams::new();
        for (stream, release) in untold {
            if let Some(unfinished) = self.unfinished.get_mut(&stream) {
                unfinished.is_told = true;
            }
            news.entry(release).or_default().insert(stream);
        }
        news
    }

    /// Whether peers must be told of a stream of this instance.
    #[must_use]
    pub fn has_news(&self, now: Duration) -> bool {
        let mut untold = self.unfinished.values().filter(|it| !it.is_told);
        untold.any(|it| self.is_mixed(now, &it.release.0))
    }

    /// Returns the unfinished streams for this instance's row in the store, the newest first if there
    /// are too many, unless the row holds them already.
    pub fn take_row(&mut self, now: Duration) -> Option<Streams> {
        if !std::mem::take(&mut self.is_row_stale) {
            return None;
        }
        let mixed = self.unfinished.iter();
        let mixed = mixed.filter(|(_, it)| self.is_mixed(now, &it.release.0));
        let mut mixed: Vec<(&StreamId, &Unfinished)> = mixed.collect();
        mixed.sort_by_key(|(_, it)| std::cmp::Reverse(it.begun_at));
        let mut row = Streams::new();
        for (stream, it) in mixed.into_iter().take(MAX_STORED_STREAMS) {
            row.entry(it.release.clone()).or_default().insert(*stream);
        }
        let had_row = std::mem::replace(&mut self.has_row, !row.is_empty());
        (had_row || self.has_row).then_some(row)
    }

    /// Records that the row of this instance could not be written.
    pub fn on_row_failed(&mut self) {
        self.is_row_stale = true;
        self.has_row = true;
    }

    /// Records that the store may have lost the row of this instance.
    pub fn on_row_lost(&mut self) {
        self.is_row_stale = true;
    }

    /// Returns the changes to the rows of versions that are due; each is returned again later unless
    /// [`Self::on_written`] confirms it.
    pub fn take_writes(&mut self, now: Duration) -> Vec<Write> {
        let seed = self.seed;
        let mut writes = Vec::new();
        for ((service, software), sighting) in &mut self.versions {
            let Some(software) = software else {
                continue;
            };
            let is_expired = sighting.is_expired(now);
            let due_since = if is_expired {
                sighting.due_since.max(sighting.seen_at + RETENTION)
            } else {
                sighting.due_since
            };
            let delay = WRITE_SPREAD.mul_f64(fraction(seed, service, software));
            if is_expired != sighting.is_stored || now < due_since + delay {
                continue;
            }
            sighting.due_since = now + WRITE_SPREAD;
            let release = (service.clone(), software.clone());
            writes.push(if is_expired {
                Write::Remove(release)
            } else {
                Write::Insert(release)
            });
        }
        writes
    }

    /// Records that the store has taken a change.
    pub fn on_written(&mut self, write: &Write) {
        let (Write::Insert((service, software)) | Write::Remove((service, software))) = write;
        let key = (service.clone(), Some(software.clone()));
        if let Some(sighting) = self.versions.get_mut(&key) {
            sighting.is_stored = matches!(write, Write::Insert(_));
        }
    }

    /// Drops what has expired.
    pub fn tick(&mut self, now: Duration) {
        self.versions
            .retain(|_, sighting| sighting.is_stored || !sighting.is_expired(now));
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now >= *at + RETENTION)
        {
            self.forget_oldest();
        }
        let count = self.unfinished.len();
        self.unfinished
            .retain(|_, unfinished| now < unfinished.begun_at + RETENTION);
        self.is_row_stale |= self.unfinished.len() < count;
    }
}

impl Sighting {
    fn is_expired(&self, now: Duration) -> bool {
        now >= self.seen_at + RETENTION
    }
}

/// Returns a number from 0 to 1 that depends on the instance and the version.
fn fraction(seed: u64, service: &id::Service, software: &Software) -> f64 {
    let hash = xxh3_64(format!("{seed} {service} {software}").as_bytes());
    f64::from(u32::try_from(hash >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}
