//! The server list assembled from batches in any order.

use super::build::{backend, ms, worker};
use poplarseam::decide::roster::{Batch, Change, Entry, Roster};
use poplarseam::world::backend::Backend;
use poplarseam::world::table::Version;
use poplarseam::world::unit::Era;

/// Creates a batch from names, versions and whether the server is listed.
fn batch(from: u64, to: u64, entries: &[(&str, u64, bool)]) -> Batch {
    batch_in(None, from, to, entries)
}

/// Creates a batch with versions of an era.
fn batch_in(era: Option<u64>, from: u64, to: u64, entries: &[(&str, u64, bool)]) -> Batch {
    let era = era.map(Era);
    let version = |number| Version { era, number };
    let entries = entries.iter().map(|(name, number, is_listed)| Entry {
        worker: worker(name),
        version: version(*number),
        backend: is_listed.then(|| backend(name, "north-1", "")),
    });
    Batch {
        from: version(from),
        to: version(to),
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
    assert_eq!(roster.version().number, 12);
}

#[test]
fn batch_after_a_gap_is_applied_without_advancing_the_version() {
    let mut roster = known_roster();
    let changes = roster.on_batch(ms(1), batch(14, 16, &[("c", 16, true)]));
    assert_eq!(changes.len(), 1);
    assert_eq!(roster.version().number, 10);
    roster.on_batch(ms(2), batch(10, 16, &[]));
    assert_eq!(roster.version().number, 16);
}

/// Guards against an instance that reads the store because of the order in which datagrams arrive.
#[test]
fn batches_in_another_order_complete_the_list() {
    let mut roster = known_roster();
    roster.on_batch(ms(1), batch(14, 16, &[("c", 16, true)]));
    roster.on_batch(ms(2), batch(12, 14, &[("d", 13, true)]));
    assert_eq!(roster.version().number, 10);
    roster.on_batch(ms(3), batch(9, 12, &[("e", 12, true)]));
    assert_eq!(roster.version().number, 16);
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
    let version = |number| Version { era: None, number };
    let entry = |number, held: &str, leaving| Entry {
        worker: worker("a"),
        version: version(number),
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
            from: version(0),
            to: version(1),
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
    assert_eq!(roster.version().number, 10);
    assert_eq!(roster.newest_change().number, 5);
    roster.on_batch(ms(0), batch(10, 40, &[]));
    assert_eq!(roster.version().number, 40);
    assert_eq!(roster.newest_change().number, 5);
    roster.on_batch(ms(0), batch(0, 50, &[("a", 3, true)]));
    assert_eq!(
        roster.newest_change().number,
        5,
        "a missing entry does not advance the newest change"
    );
    roster.on_batch(ms(0), batch(50, 60, &[("c", 55, true)]));
    assert_eq!(roster.newest_change().number, 55);
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
    assert_eq!(peer.version().number, 90);
}

/// A list of era 0 with three servers.
fn roster_before_return() -> Roster {
    let mut roster = Roster::default();
    let servers = [("a", 30, true), ("b", 50, true), ("c", 90, true)];
    roster.on_batch(ms(0), batch_in(Some(0), 0, 90, &servers));
    roster
}

/// Guards against a list that stands still after the store came back from an old copy, until its
/// versions have caught up.
#[test]
fn entries_of_a_later_era_are_newer_whatever_their_versions() {
    let mut roster = roster_before_return();
    let mut list = batch_in(Some(1), 0, 40, &[("a", 30, true), ("d", 35, true)]);
    list.trusted = false;
    assert_eq!(roster.on_batch(ms(0), list).len(), 2);
    assert_eq!(
        roster.version(),
        Version {
            era: Some(Era(1)),
            number: 40
        }
    );
    let gone = roster.on_batch(ms(1), batch_in(Some(1), 40, 42, &[("a", 42, false)]));
    assert_eq!(gone, vec![Change::Unlisted(worker("a"))]);
    assert_eq!(roster.tick(ms(1_900)).len(), 2, "b and c did not return");
}

/// Guards against news of an earlier era, whose versions are greater, from an instance that does not
/// know yet that the store came back from an old copy.
#[test]
fn news_of_an_earlier_era_are_ignored() {
    let mut roster = roster_before_return();
    let list = [("a", 30, true), ("b", 32, true), ("c", 35, true)];
    roster.on_batch(ms(0), batch_in(Some(1), 0, 40, &list));
    let news = batch_in(Some(0), 90, 95, &[("a", 95, false)]);
    assert_eq!(roster.on_batch(ms(1), news), vec![]);
    assert_eq!(
        roster.version(),
        Version {
            era: Some(Era(1)),
            number: 40
        }
    );
}

/// Guards against peers that take the changes in one instance's view for all changes since the
/// earlier era, although they may know of others.
#[test]
fn changes_across_eras_leave_a_peer_behind() {
    let list = batch_in(Some(1), 0, 40, &[("a", 30, true), ("b", 32, true)]);
    let delta = roster_before_return().delta(&list);
    let mut peer = roster_before_return();
    assert_eq!(
        peer.on_batch(ms(0), delta),
        vec![Change::Unlisted(worker("c"))]
    );
    assert_eq!(peer.version().era, Some(Era(0)));
    assert_eq!(peer.on_batch(ms(1), list).len(), 2);
    assert_eq!(peer.version().era, Some(Era(1)));
}

/// Guards against requests to a server that has left: its removal was forgotten, and its entry in
/// the old copy says that it is ready.
#[test]
fn removed_server_returns_only_if_it_writes_its_entry_again() {
    let mut roster = roster_before_return();
    roster.on_batch(ms(0), batch_in(Some(0), 90, 95, &[("a", 95, false)]));
    let copy = batch_in(
        Some(1),
        0,
        40,
        &[("a", 30, true), ("b", 32, true), ("c", 35, true)],
    );
    let changes = roster.on_batch(ms(1), copy);
    assert!(!changes.contains(&Change::Listed(backend("a", "north-1", ""))));
    assert_eq!(roster.tick(ms(4_000)), vec![]);
    let again = roster.on_batch(ms(4_500), batch_in(Some(1), 40, 41, &[("a", 41, true)]));
    assert_eq!(again, vec![Change::Listed(backend("a", "north-1", ""))]);
    assert_eq!(roster.tick(ms(9_000)), vec![]);
}

/// Guards against a server that lives and stays out of use because its entry did not change after
/// the return.
#[test]
fn entry_that_the_store_keeps_after_the_return_counts_again() {
    let mut roster = roster_before_return();
    roster.on_batch(ms(0), batch_in(Some(0), 90, 95, &[("a", 95, false)]));
    let copy = [("a", 30, true), ("b", 32, true), ("c", 35, true)];
    roster.on_batch(ms(1), batch_in(Some(1), 0, 40, &copy));
    assert_eq!(
        roster.tick(ms(5_001)),
        vec![Change::Listed(backend("a", "north-1", ""))]
    );
}
