//! Changes of the server list in several datagrams.

use poplarseam::wire::generated_gossip::{Batch, Entry};
use poplarseam::wire::list::divide;
use prost::Message;

/// Creates the changes of servers at these versions, of some 500 bytes each.
fn changes(from: u64, to: u64, versions: &[u64]) -> Batch {
    let entries = versions.iter().enumerate().map(|(index, version)| Entry {
        worker: format!("i-{index:08x}"),
        version: *version,
        value: vec![b' '; 500],
    });
    Batch {
        from,
        to,
        entries: entries.collect(),
        trusted: true,
        partial: true,
        era: Some(7),
    }
}

/// Guards against requests to servers that have left: the changes of a moment in which many servers
/// left were larger than a datagram may be, and were sent to nobody.
#[test]
fn changes_of_many_servers_fit_into_datagrams() {
    let versions: Vec<u64> = (101..=300).collect();
    let batches = divide(changes(100, 310, &versions), 8_000);
    assert!(batches.iter().all(|batch| batch.encoded_len() < 9_000));
    let entries: usize = batches.iter().map(|batch| batch.entries.len()).sum();
    assert_eq!(entries, 200);
    assert!(
        batches
            .iter()
            .all(|batch| batch.partial && batch.era == Some(7))
    );
}

#[test]
fn each_batch_goes_on_where_the_one_before_it_ends() {
    let versions: Vec<u64> = (0..60).map(|index| 300 - 3 * index).collect();
    let batches = divide(changes(100, 310, &versions), 8_000);
    assert_eq!((batches[0].from, batches.last().unwrap().to), (100, 310));
    for pair in batches.windows(2) {
        assert_eq!(pair[0].to, pair[1].from);
        assert!(
            pair[0]
                .entries
                .iter()
                .all(|entry| entry.version <= pair[0].to)
        );
        assert!(
            pair[1]
                .entries
                .iter()
                .all(|entry| entry.version > pair[0].to)
        );
    }
}

/// Rows that one transaction wrote have one version. A batch with some of them is not complete up to it.
#[test]
fn batch_is_not_complete_up_to_a_version_of_which_rows_are_missing() {
    let batches = divide(changes(100, 310, &[200; 40]), 8_000);
    assert!(batches.len() > 1);
    let last = batches.len() - 1;
    assert!(batches[..last].iter().all(|batch| batch.to < 200));
    assert_eq!(batches[last].to, 310);
}

#[test]
fn changes_across_eras_stay_without_a_span() {
    let versions: Vec<u64> = (11..=70).collect();
    let batches = divide(changes(80, 80, &versions), 8_000);
    assert!(
        batches
            .iter()
            .all(|batch| (batch.from, batch.to) == (80, 80))
    );
}

#[test]
fn whole_list_is_not_divided() {
    let versions: Vec<u64> = (1..=60).collect();
    assert_eq!(divide(changes(0, 80, &versions), 8_000).len(), 1);
}

#[test]
fn batch_without_changes_still_tells_its_version() {
    let batches = divide(changes(70, 80, &[]), 8_000);
    assert_eq!((batches.len(), batches[0].to), (1, 80));
}
