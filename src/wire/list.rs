//! Division of changes of the server list into datagrams.

use super::generated_gossip::{Batch, Entry};
use prost::Message;

/// Divides changes into batches of at most `max_bytes`, or of one entry each if that is larger. Each
/// batch is complete up to its own version, so that a lost one does not make the ones before it
/// useless. A whole list is not divided: entries that are missing from it have ended.
#[must_use]
pub fn divide(batch: Batch, max_bytes: usize) -> Vec<Batch> {
    if batch.from == 0 {
        return vec![batch];
    }
    let mut entries = batch.entries;
    entries.sort_by_key(|entry| entry.version);
    let groups = group(entries, max_bytes);
    let starts = groups.iter().skip(1).map(|group| group[0].version);
    let ends: Vec<u64> = starts.map(|version| version - 1).collect();
    let mut from = batch.from;
    let mut batches = Vec::new();
    for (index, entries) in groups.into_iter().enumerate() {
        let end = ends.get(index).copied().unwrap_or(batch.to);
        // A span that ends where it starts makes no list complete.
        let to = if batch.from >= batch.to {
            batch.to
        } else {
            end.max(from)
        };
        batches.push(Batch {
            from,
            to,
            entries,
            ..batch
        });
        from = to;
    }
    batches
}

/// Groups entries so that those of a group take at most `max_bytes`; at least one group.
fn group(entries: Vec<Entry>, max_bytes: usize) -> Vec<Vec<Entry>> {
    let mut groups = vec![Vec::new()];
    let mut size = 0;
    for entry in entries {
        let entry_size = entry.encoded_len();
        let last = groups.len() - 1;
        if size + entry_size > max_bytes && !groups[last].is_empty() {
            groups.push(vec![entry]);
            size = entry_size;
        } else {
            groups[last].push(entry);
            size += entry_size;
        }
    }
    groups
}
