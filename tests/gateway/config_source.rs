//! Checks where instances get configurations from, also many at once.

use super::build::ms;
use poplarseam::decide::config_source::{Progress, Situation, Source};
use poplarseam::decide::lag::Lag;
use std::net::SocketAddr;
use std::time::Duration;

const TICK_MS: usize = 50;
/// Instances of a data centre, of which the first two follow the store.
const INSTANCES: usize = 49;
const READERS: usize = 2;
/// Time of one read of the store over the link between regions.
const READ_MS: usize = 250;
/// Interval between the versions of a storm, and how many there are.
const VERSION_INTERVAL_MS: usize = 300;
const VERSIONS: usize = 10;
/// How long after a version is written the last instance may apply it.
const MAX_DELAY_MS: usize = 2_500;

fn peer() -> SocketAddr {
    "127.0.0.1:7000".parse().unwrap()
}

#[derive(Clone, Default)]
struct Instance {
    version: usize,
    lag: Lag<u64>,
    is_late: bool,
    /// Version that is being read from the store, and when the read ends.
    reading: Option<(usize, usize)>,
}

/// Result of a simulated storm of configurations.
struct Outcome {
    /// Reads of the store by instances that do not follow it.
    extra_reads: usize,
    /// Longest time from writing the last version until an instance has it.
    delay_ms: usize,
}

/// Simulates a data centre that hears of each version at once, from another data centre, and reads
/// the store slowly. Without readers, all of them have failed.
fn simulate(readers: usize) -> Outcome {
    let mut instances = vec![Instance::default(); INSTANCES];
    let mut extra_reads = 0;
    let last_written = VERSION_INTERVAL_MS * (VERSIONS - 1);
    for now in (0..20_000).step_by(TICK_MS) {
        let written = (now / VERSION_INTERVAL_MS + 1).min(VERSIONS);
        let versions = instances.iter().map(|instance| instance.version);
        let newest_held = versions.max().unwrap();
        for (index, instance) in instances.iter_mut().enumerate() {
            if let Some((version, _)) = instance.reading.take_if(|(_, end)| now >= *end) {
                instance.version = version;
            }
            let max_lag = ms(500 + 500 * index as u64 / INSTANCES as u64);
            let (known, heard) = (instance.version as u64, written as u64);
            let at = Duration::from_millis(now as u64);
            instance.is_late |= instance.lag.is_late(at, known, heard, max_lag);
            instance.is_late &= instance.version < written;
            if instance.reading.is_some() {
                continue;
            }
            let situation = Situation {
                follows_store: index < readers,
                reaches_store: true,
                progress: match instance.version < written {
                    true if instance.is_late => Progress::Late,
                    true => Progress::Behind,
                    false => Progress::Current,
                },
                peer: (newest_held > instance.version).then(peer),
            };
            match situation.source() {
                Source::Store if instance.version < written => {
                    instance.reading = Some((written, now + READ_MS));
                    instance.is_late = false;
                    extra_reads += usize::from(index >= readers);
                }
                Source::Peer(_) => instance.version = newest_held,
                Source::Store | Source::Await => {}
            }
        }
        if instances
            .iter()
            .all(|instance| instance.version == VERSIONS)
        {
            return Outcome {
                extra_reads,
                delay_ms: now.saturating_sub(last_written),
            };
        }
    }
    panic!("some instances never had the last version");
}

/// Guards against a herd at the store when versions follow each other closely.
#[test]
fn a_storm_of_configurations_is_read_from_the_store_by_readers_only() {
    let outcome = simulate(READERS);
    assert_eq!(outcome.extra_reads, 0);
    assert!(outcome.delay_ms <= MAX_DELAY_MS, "{}", outcome.delay_ms);
}

#[test]
fn instances_without_readers_get_the_configuration_in_time() {
    let outcome = simulate(0);
    assert!(outcome.delay_ms <= MAX_DELAY_MS, "{}", outcome.delay_ms);
}

fn situation(progress: Progress) -> Situation {
    Situation {
        follows_store: false,
        reaches_store: true,
        progress,
        peer: None,
    }
}

#[test]
fn an_instance_that_hears_of_a_version_waits_for_a_peer_until_it_is_late() {
    assert_eq!(situation(Progress::Behind).source(), Source::Await);
    assert_eq!(situation(Progress::Late).source(), Source::Store);
    let with_peer = Situation {
        peer: Some(peer()),
        ..situation(Progress::Behind)
    };
    assert_eq!(with_peer.source(), Source::Peer(peer()));
}

#[test]
fn a_reader_that_cannot_reach_the_store_asks_a_peer_that_has_the_version() {
    let reader = Situation {
        follows_store: true,
        reaches_store: false,
        ..situation(Progress::Behind)
    };
    assert_eq!(reader.source(), Source::Store);
    let with_peer = Situation {
        peer: Some(peer()),
        ..reader
    };
    assert_eq!(with_peer.source(), Source::Peer(peer()));
}

/// Guards against readers that the store leaves without an answer and that ask it again and again,
/// although a peer has the version that they miss.
#[test]
fn a_late_reader_that_cannot_reach_the_store_asks_a_peer() {
    let reader = Situation {
        follows_store: true,
        reaches_store: false,
        peer: Some(peer()),
        ..situation(Progress::Late)
    };
    assert_eq!(reader.source(), Source::Peer(peer()));
    let without_peer = Situation {
        peer: None,
        ..reader
    };
    assert_eq!(without_peer.source(), Source::Store);
}

/// Guards against instances that read a configuration from the store because it is late, over a link
/// that is full, although a peer of their data centre has it; and against one that waits for a peer from
/// which fetching it failed.
#[test]
fn a_late_instance_asks_a_peer_before_the_store() {
    let late = Situation {
        peer: Some(peer()),
        ..situation(Progress::Late)
    };
    assert_eq!(late.source(), Source::Peer(peer()));
    let after_a_failure = Situation { peer: None, ..late };
    assert_eq!(after_a_failure.source(), Source::Store);
}
