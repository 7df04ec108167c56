//! The server list assembled from batches in any order.

use super::build::{backend, ms, worker};
use poplarseam::decide::roster::{Batch, Change, Entry, Roster};
use poplarseam::world::backend::Backend;

/// Creates a batch from names, versions and whether the server is listed.
fn batch(from: u64, to: u64, entries: &[(&str, u64, bool)]) -> Batch {
    let entries = entries.iter().map(|(name, version, is_listed)| Entry {
        worker: worker(name),
        version: *version,
        backend: is_listed.then(|| backend(name, "north-1", "")),
    });
    Batch {
        from,
        to,
        entries: entries.collect(),
        trusted: true,
    }
}

fn known_roster() -> Roster {
    let mut roster = Roster::default();
    let changes = roster.on_batch(ms(0), batch(0, 10, &[("a", 3, true), ("b", 5, true)]));
    assert_eq!(changes.len(), 2);
    roster
}

#[test]
fn older_row_never_replaces_a_newer_one() {
    let mut roster = known_roster();
    assert_eq!(
        roster
            .on_batch(ms(1), batch(10, 12, &[("a", 12, false)]))
            .len(),
        1
    );
    assert_eq!(
        roster.on_batch(ms(2), batch(2, 11, &[("a", 11, true)])),
        vec![]
    );
    assert_eq!(roster.version(), 12);
}

#[test]
fn batch_after_a_gap_is_applied_without_advancing_the_version() {
    let mut roster = known_roster();
    let changes = roster.on_batch(ms(1), batch(14, 16, &[("c", 16, true)]));
    assert_eq!(changes.len(), 1);
    assert_eq!(roster.version(), 10);
    roster.on_batch(ms(2), batch(10, 16, &[]));
    assert_eq!(roster.version(), 16);
}

#[test]
fn server_missing_from_a_whole_list_is_removed() {
    let mut roster = known_roster();
    let changes = roster.on_batch(ms(1), batch(0, 20, &[("a", 3, true)]));
    assert_eq!(changes, vec![Change::Unlisted(worker("b"))]);
}

#[test]
fn outdated_whole_list_removes_no_server() {
    let mut roster = known_roster();
    roster.on_batch(ms(1), batch(10, 12, &[("c", 12, true)]));
    assert_eq!(
        roster.on_batch(ms(2), batch(0, 11, &[("a", 3, true), ("b", 5, true)])),
        vec![]
    );
}

#[test]
fn entry_that_vanished_during_an_outage_has_time_to_return() {
    let mut roster = known_roster();
    let mut vanished = batch(10, 12, &[("a", 11, false), ("b", 12, false)]);
    vanished.trusted = false;
    assert_eq!(roster.on_batch(ms(0), vanished), vec![]);
    let returned = roster.on_batch(ms(1_000), batch(12, 13, &[("a", 13, true)]));
    assert_eq!(returned.len(), 1);
    assert_eq!(roster.tick(ms(1_700)), vec![]);
    assert_eq!(roster.tick(ms(1_900)), vec![Change::Unlisted(worker("b"))]);
}

#[test]
fn server_that_ends_while_the_store_is_reachable_is_removed_at_once() {
    let mut roster = known_roster();
    let changes = roster.on_batch(ms(1), batch(10, 12, &[("a", 12, false)]));
    assert_eq!(changes, vec![Change::Unlisted(worker("a"))]);
}

/// Guards against sending every load to all peers: hundreds of workers load models and adapters all
/// day, and each change of their memory contents changes the list.
#[test]
fn change_of_memory_contents_alone_is_not_sent_to_peers() {
    let mut roster = Roster::default();
    let entry = |version, held: &str, leaving| Entry {
        worker: worker("a"),
        version,
        backend: Some(Backend {
            software: "v1".parse().ok(),
            leaving,
            ..backend("a", "north-1", held)
        }),
    };
    assert!(roster.is_changed(&entry(1, "m1", false)));
    roster.on_batch(
        ms(0),
        Batch {
            from: 0,
            to: 1,
            entries: vec![entry(1, "m1", false)],
            trusted: true,
        },
    );
    assert!(!roster.is_changed(&entry(2, "m1 m2/a1", false)));
    assert!(roster.is_changed(&entry(2, "m1", true)));
    let gone = Entry {
        backend: None,
        ..entry(2, "m1", false)
    };
    assert!(roster.is_changed(&gone));
    let unknown = Entry {
        worker: worker("b"),
        ..gone
    };
    assert!(!roster.is_changed(&unknown));
}

/// Guards against a surge of store calls: one instance read the list at a later version of the
/// whole store, without changes to the list, and made all others read it too.
#[test]
fn later_store_version_without_changes_leaves_no_instance_behind() {
    let mut roster = known_roster();
    assert_eq!(roster.version(), 10);
    assert_eq!(roster.newest_change(), 5);
    roster.on_batch(ms(0), batch(10, 40, &[]));
    assert_eq!(roster.version(), 40);
    assert_eq!(roster.newest_change(), 5);
    roster.on_batch(ms(0), batch(0, 50, &[("a", 3, true)]));
    assert_eq!(
        roster.newest_change(),
        5,
        "a missing entry does not advance the newest change"
    );
    roster.on_batch(ms(0), batch(50, 60, &[("c", 55, true)]));
    assert_eq!(roster.newest_change(), 55);
}

/// Guards against hundreds of instances that read the whole list when another instance starts to
/// follow the store's feed.
#[test]
fn new_follower_sends_only_the_changes_since_its_version() {
    let mut roster = known_roster();
    let list = batch(0, 90, &[("a", 3, true), ("c", 80, true)]);
    let delta = roster.delta(&list);
    assert_eq!(delta, batch(10, 90, &[("c", 80, true), ("b", 90, false)]));
    let mut peer = known_roster();
    assert_eq!(
        peer.on_batch(ms(0), delta),
        roster
            .on_batch(ms(0), list)
            .into_iter()
            .rev()
            .collect::<Vec<_>>()
    );
    assert_eq!(peer.version(), 90);
}
