//! Checks which software version is taken for the one that began a stream.

use super::build::ms;
use poplarseam::decide::origin::{Origin, Origins, RETENTION, StreamId, Streams, Write};
use poplarseam::world::backend::Software;
use poplarseam::world::id;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MAX_STREAMS: usize = 50_000;

fn service() -> id::Service {
    "llm".parse().unwrap()
}

fn software(name: &str) -> Software {
    name.parse().unwrap()
}

/// Origins of an instance that has read the rows of the store and sees servers of these versions.
fn origins(versions: &[&str]) -> Origins {
    let mut origins = Origins::new(1);
    origins.on_rows(ms(0), &BTreeSet::new(), &Streams::new());
    for version in versions {
        origins.on_version(ms(0), &service(), Some(&software(version)));
    }
    origins
}

fn origin(origins: &Origins, now: Duration, first_request: &str) -> Origin {
    origins.origin(now, &service(), Some(first_request), true)
}

fn begin(origins: &mut Origins, now: Duration, request: &str, version: &str) {
    let release = (service(), software(version));
    origins.on_begun(now, StreamId::of_request(request), release);
}

#[test]
fn recorded_stream_goes_on_at_its_version() {
    let mut origins = origins(&["v1", "v2"]);
    begin(&mut origins, ms(1), "r1", "v2");
    let recorded = Origin::Recorded(software("v2"));
    assert_eq!(origin(&origins, ms(2), "r1"), recorded);
    assert_eq!(origin(&origins, ms(2), "r2"), Origin::Unknown);
}

#[test]
fn unrecorded_stream_goes_on_while_its_service_has_had_one_version_only() {
    let mut origins = origins(&["v1"]);
    let only = Origin::Only(software("v1"));
    assert_eq!(origin(&origins, ms(1), "r1"), only);
    origins.on_version(ms(2), &service(), Some(&software("v2")));
    assert_eq!(origin(&origins, ms(3), "r1"), Origin::Unknown);
    let later = ms(2) + RETENTION;
    origins.on_version(later, &service(), Some(&software("v2")));
    assert_eq!(origin(&origins, later, "r1"), Origin::Only(software("v2")));
}

/// Guards against an instance that is cut off and has not heard of a new version.
#[test]
fn unrecorded_stream_is_unknown_to_an_instance_without_news() {
    let origins = origins(&["v1"]);
    let unheard = origins.origin(ms(1), &service(), Some("r1"), false);
    assert_eq!(unheard, Origin::Unknown);
}

/// Guards against an instance that has just started and sees servers of the new version only.
#[test]
fn unrecorded_stream_is_unknown_until_the_versions_before_the_start_are_known() {
    let mut origins = Origins::new(1);
    origins.on_version(ms(0), &service(), Some(&software("v2")));
    assert_eq!(origin(&origins, ms(1), "r1"), Origin::Unknown);
    let rows = BTreeSet::from([(service(), software("v1"))]);
    origins.on_rows(ms(2), &rows, &Streams::new());
    assert_eq!(origin(&origins, ms(3), "r1"), Origin::Unknown);
}

#[test]
fn servers_without_a_version_make_other_streams_unknown() {
    let mut origins = origins(&["v1"]);
    origins.on_version(ms(0), &service(), None);
    assert_eq!(origin(&origins, ms(1), "r1"), Origin::Unknown);
}

#[test]
fn peers_are_told_of_unfinished_streams_once_a_service_has_several_versions() {
    let mut origins = origins(&["v1"]);
    begin(&mut origins, ms(1), "r1", "v1");
    begin(&mut origins, ms(1), "r2", "v1");
    origins.on_finished(StreamId::of_request("r2"));
    assert!(origins.take_news(ms(2)).is_empty());
    origins.on_version(ms(3), &service(), Some(&software("v2")));
    let news = origins.take_news(ms(4));
    let streams = BTreeSet::from([StreamId::of_request("r1")]);
    assert_eq!(
        news,
        BTreeMap::from([((service(), software("v1")), streams)])
    );
    assert!(origins.take_news(ms(5)).is_empty());
    let mut peer = self::origins(&["v1"]);
    peer.merge(ms(5), &news);
    assert_eq!(origin(&peer, ms(6), "r1"), Origin::Recorded(software("v1")));
}

/// Guards against writes to the store while a service has one version, which is nearly always.
#[test]
fn streams_are_stored_only_while_a_service_has_several_versions() {
    let mut origins = origins(&["v1"]);
    begin(&mut origins, ms(1), "r1", "v1");
    assert_eq!(origins.take_row(ms(2)), None);
    origins.on_version(ms(3), &service(), Some(&software("v2")));
    assert_eq!(origins.take_row(ms(4)).map(|row| row.len()), Some(1));
    assert_eq!(origins.take_row(ms(5)), None);
    origins.on_finished(StreamId::of_request("r1"));
    begin(&mut origins, ms(6), "r2", "v2");
    origins.on_finished(StreamId::of_request("r2"));
    assert_eq!(origins.take_row(ms(7)), Some(Streams::new()));
    assert_eq!(origins.take_row(ms(8)), None);
}

#[test]
fn versions_are_stored_once_and_removed_when_they_are_forgotten() {
    let mut origins = origins(&["v1"]);
    let release = (service(), software("v1"));
    let writes = origins.take_writes(ms(2_000));
    assert_eq!(writes, [Write::Insert(release.clone())]);
    origins.on_written(&writes[0]);
    assert!(origins.take_writes(ms(10_000)).is_empty());
    let gone = RETENTION + ms(2_100);
    origins.tick(gone);
    let writes = origins.take_writes(gone);
    assert_eq!(writes, [Write::Remove(release)]);
    origins.on_written(&writes[0]);
    origins.tick(gone);
    assert_eq!(origins.versions(gone).count(), 0);
}

#[test]
fn state_is_bounded() {
    let mut origins = origins(&["v1", "v2"]);
    for number in 0..MAX_STREAMS + 1_000 {
        begin(&mut origins, ms(1), &format!("r{number}"), "v1");
    }
    assert_eq!(origins.stream_count(), MAX_STREAMS);
    origins.tick(ms(2) + RETENTION);
    assert_eq!(origins.stream_count(), 0);
}

/// A restart of all instances: what one of them stored is what the others know.
#[test]
fn stored_streams_are_known_after_a_restart() {
    let mut before = origins(&["v1", "v2"]);
    begin(&mut before, ms(1), "r1", "v1");
    let row = before.take_row(ms(2)).unwrap();
    let mut after = Origins::new(2);
    after.on_version(ms(0), &service(), Some(&software("v2")));
    let versions = BTreeSet::from([(service(), software("v1"))]);
    after.on_rows(ms(1), &versions, &row);
    assert_eq!(
        origin(&after, ms(2), "r1"),
        Origin::Recorded(software("v1"))
    );
}
