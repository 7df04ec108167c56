//! Prompts: the parts expected in a server's cache, and the time to read the rest.

use super::View;
use crate::common::*;
use crate::decide::speed::Speeds;
use crate::world::message::Generation;
use crate::world::unit::Tokens;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of prompt parts recorded for each server as expected in its cache.
const MAX_CACHED_PARTS: usize = 512;

/// Returns the prompt tokens that a server must read: those after the parts expected in its cache.
fn uncached_tokens(view: &View, generation: &Generation) -> u64 {
    let keys = part_keys(generation);
    let kept = keys.take_while(|(key, _)| view.cached_parts.contains_key(key));
    let kept: u64 = kept.map(|(_, tokens)| tokens).sum();
    generation.prompt.0.saturating_sub(kept)
}

pub(super) fn prefill_time(speeds: &Speeds, view: &View, generation: &Generation) -> Duration {
    speeds.prefill_time(
        &generation.target.model,
        Tokens(uncached_tokens(view, generation)),
    )
}

/// Returns the tokens that a request may occupy in the engine's cache.
pub(super) fn kept(generation: &Generation) -> u64 {
    generation.prompt.0 + generation.output.0
}

/// Returns the keys and tokens of a prompt's parts. A part is cached for one target and only
/// together with all parts before it, so each key covers the target and the preceding parts.
fn part_keys(generation: &Generation) -> impl Iterator<Item = (u64, u64)> {
    let target = generation.target.to_string();
    let mut key = xxh3_64_with_seed(target.as_bytes(), 0);
    generation.parts.iter().map(move |part| {
        key = xxh3_64_with_seed(&part.id.0.to_le_bytes(), key);
        (key, part.tokens.0)
    })
}

/// Records the parts of a prompt as cached. Beyond the maximum number of parts, the less recently
/// used half is dropped.
pub(super) fn record_cached_parts(view: &mut View, generation: &Generation) {
    view.uses += 1;
    for (key, _) in part_keys(generation) {
        view.cached_parts.insert(key, view.uses);
    }
    if view.cached_parts.len() > MAX_CACHED_PARTS {
        let mut ages: Vec<u64> = view.cached_parts.values().copied().collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        view.cached_parts
            .retain(|_, use_number| *use_number > middle);
    }
}
