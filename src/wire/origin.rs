//! Codec of streams and the software versions that began them.

use super::generated_gossip as wire;
use crate::decide::origin::{StreamId, Streams};

/// Limit on the streams in one message.
const MAX_STREAMS: usize = 4_000;

/// Encodes streams in messages of a bounded size.
#[must_use]
pub fn encode(streams: &Streams) -> Vec<wire::Streams> {
    let messages = streams.iter().flat_map(|((service, software), ids)| {
        let ids: Vec<u64> = ids.iter().map(|stream| stream.0).collect();
        let chunks: Vec<Vec<u64>> = ids.chunks(MAX_STREAMS).map(<[u64]>::to_vec).collect();
        chunks.into_iter().map(move |ids| wire::Streams {
            service: service.to_string(),
            software: software.to_string(),
            ids,
        })
    });
    messages.collect()
}

/// Decodes streams; those of invalid services or versions are left out.
#[must_use]
pub fn decode(messages: &[wire::Streams]) -> Streams {
    let mut streams = Streams::new();
    for message in messages {
        if let (Ok(service), Ok(software)) = (message.service.parse(), message.software.parse()) {
            let ids = streams.entry((service, software)).or_default();
            ids.extend(message.ids.iter().copied().map(StreamId));
        }
    }
    streams
}
