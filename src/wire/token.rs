//! Ids of streamed events, with which a caller can resume a stream at any instance.
//!
//! An id contains the run, the worker and the offset. It is signed together with the team and the
//! digest of the request's body, so that it is valid for that stream only.

use super::key::{self, Ring};
use crate::common::*;
use crate::world::id;

/// Length to which the HMAC is truncated.
const TAG_BYTES: usize = 16;

/// Position in a streamed answer, encoded in the ids of its events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Name of the request's run at the worker.
    pub run: CompactString,
    pub worker: id::Worker,
    /// Offset of the event's token.
    pub offset: u64,
}

impl Token {
    /// Encodes and signs the id for a team and the digest of a request's body.
    #[must_use]
    pub fn seal(&self, keys: &Ring, team: &id::Team, digest: &str) -> String {
        let tag = keys
            .signing_key()
            .sign(&self.parts(team, digest, &self.offset.to_be_bytes()));
        format!(
            "{}~{}~{}~{}",
            self.run,
            self.worker,
            self.offset,
            key::hex(&tag[..TAG_BYTES])
        )
    }

    /// Decodes an id; returns `None` if it is malformed or not signed for this team and body.
    #[must_use]
    pub fn open(text: &str, keys: &Ring, team: &id::Team, digest: &str) -> Option<Self> {
        let mut parts = text.split('~');
        let run = parts.next()?.into();
        let worker = parts.next()?.parse().ok()?;
        let offset = parts.next()?.parse().ok()?;
        let tag = key::unhex(parts.next()?)?;
        let token = Self {
            run,
            worker,
            offset,
        };
        let offset = token.offset.to_be_bytes();
        let signed = token.parts(team, digest, &offset);
        let is_valid = keys.accepted_keys().iter().any(|key| {
            let expected = key.sign(&signed);
            subtle::ConstantTimeEq::ct_eq(&expected[..TAG_BYTES], tag.as_slice()).into()
        });
        is_valid.then_some(token)
    }

    fn parts<'a>(&'a self, team: &'a id::Team, digest: &'a str, offset: &'a [u8]) -> [&'a [u8]; 6] {
        [
            b"event",
            self.run.as_bytes(),
            self.worker.as_str().as_bytes(),
            team.as_str().as_bytes(),
            digest.as_bytes(),
            offset,
        ]
    }
}
