//! The list of servers from batches in any order.

use super::build::{backend, ms, worker};
use poplarseam::decide::roster::{Batch, Change, Entry, Roster};
use poplarseam::world::backend::Backend;

/// A batch of entries, written with the version and whether the server is there.
fn batch(from: u64, to: u64, entries: &[(&str, u64, bool)]) -> Batch {
    let entries = entries.iter().map(|(name, version, is_there)| Entry {
        worker: worker(name),
        version: *version,
        backend: is_there.then(|| backend(name, "north-1", "")),
    });
    Batch {
        from,
        to,
        entries: entries.collect(),
        trusted: true,
    }
}

fn known() -> Roster {
    let mut roster = Roster::default();
    let changes = roster.on_batch(ms(0), batch(0, 10, &[("a", 3, true), ("b", 5, true)]));
    assert_eq!(changes.len(), 2);
    roster
}

#[test]
fn an_older_row_never_replaces_a_newer_one() {
    let mut roster = known();
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
fn a_gap_is_noticed_and_its_rows_still_count() {
    let mut roster = known();
    let changes = roster.on_batch(ms(1), batch(14, 16, &[("c", 16, true)]));
    assert_eq!(changes.len(), 1);
    assert_eq!(roster.version(), 10);
    roster.on_batch(ms(2), batch(10, 16, &[]));
    assert_eq!(roster.version(), 16);
}

#[test]
fn a_server_that_a_whole_list_misses_is_gone() {
    let mut roster = known();
    let changes = roster.on_batch(ms(1), batch(0, 20, &[("a", 3, true)]));
    assert_eq!(changes, vec![Change::Unlisted(worker("b"))]);
}

#[test]
fn an_answer_from_the_past_takes_nobody_away() {
    let mut roster = known();
    roster.on_batch(ms(1), batch(10, 12, &[("c", 12, true)]));
    assert_eq!(
        roster.on_batch(ms(2), batch(0, 11, &[("a", 3, true), ("b", 5, true)])),
        vec![]
    );
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_time_to_come_back() {
    let mut roster = known();
    let mut lapsed = batch(10, 12, &[("a", 11, false), ("b", 12, false)]);
    lapsed.trusted = false;
    assert_eq!(roster.on_batch(ms(0), lapsed), vec![]);
    let back = roster.on_batch(ms(1_000), batch(12, 13, &[("a", 13, true)]));
    assert_eq!(back.len(), 1);
    assert_eq!(roster.tick(ms(1_700)), vec![]);
    assert_eq!(roster.tick(ms(1_900)), vec![Change::Unlisted(worker("b"))]);
}

#[test]
fn a_server_that_leaves_in_a_calm_time_is_gone_at_once() {
    let mut roster = known();
    let changes = roster.on_batch(ms(1), batch(10, 12, &[("a", 12, false)]));
    assert_eq!(changes, vec![Change::Unlisted(worker("a"))]);
}

/// Load: hundreds of workers load models and adapters all day, and each change of their memory is a
/// change of the list.
#[test]
fn a_change_of_memory_alone_is_no_news_to_peers() {
    let mut roster = Roster::default();
    let entry = |version, held: &str, leaving| Entry {
        worker: worker("a"),
        version,
        backend: Some(Backend {
            leaving,
            ..backend("a", "north-1", held)
        }),
    };
    assert!(roster.is_news(&entry(1, "m1", false)));
    roster.on_batch(
        ms(0),
        Batch {
            from: 0,
            to: 1,
            entries: vec![entry(1, "m1", false)],
            trusted: true,
        },
    );
    assert!(!roster.is_news(&entry(2, "m1 m2/a1", false)));
    assert!(roster.is_news(&entry(2, "m1", true)));
    let gone = Entry {
        backend: None,
        ..entry(2, "m1", false)
    };
    assert!(roster.is_news(&gone));
    let unknown = Entry {
        worker: worker("b"),
        ..gone
    };
    assert!(!roster.is_news(&unknown));
}

/// Guards against a storm of calls to the store: an instance that read the list at a later version of
/// the whole store, with no change of the list since, made all others read it too.
#[test]
fn a_later_version_of_the_store_alone_leaves_nobody_behind() {
    let mut roster = known();
    assert_eq!(roster.version(), 10);
    assert_eq!(roster.changed(), 5);
    roster.on_batch(ms(0), batch(10, 40, &[]));
    assert_eq!(roster.version(), 40);
    assert_eq!(roster.changed(), 5);
    roster.on_batch(ms(0), batch(0, 50, &[("a", 3, true)]));
    assert_eq!(
        roster.changed(),
        5,
        "an entry that is missing tells no version"
    );
    roster.on_batch(ms(0), batch(50, 60, &[("c", 55, true)]));
    assert_eq!(roster.changed(), 55);
}

/// Load: hundreds of instances, each of which would read the list when another one begins to follow it.
#[test]
fn whoever_begins_to_follow_tells_what_changed_since() {
    let mut roster = known();
    let list = batch(0, 90, &[("a", 3, true), ("c", 80, true)]);
    let news = roster.news(&list);
    assert_eq!(news, batch(10, 90, &[("c", 80, true), ("b", 90, false)]));
    let mut peer = known();
    assert_eq!(
        peer.on_batch(ms(0), news),
        roster
            .on_batch(ms(0), list)
            .into_iter()
            .rev()
            .collect::<Vec<_>>()
    );
    assert_eq!(peer.version(), 90);
}
