//! Ids of streamed events, by which a caller goes on at any instance.
//!
//! An id names the run at the worker, the worker and the offset. It is signed for the team and
//! the body of the request, so that it opens that stream and no other.

use super::key::{self, Ring};
use crate::common::*;
use crate::world::id;

/// Signature's length in bytes; the rest of the HMAC is cut off.
const TAG_BYTES: usize = 16;

/// Position in a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Name of the run at the worker.
    pub run: CompactString,
    pub worker: id::Worker,
    /// Offset of the event's token.
    pub offset: u64,
}

impl Token {
    /// Text of the id, signed for a team and a body's digest.
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

    /// Reads an id back; none where it is not one for this team and body.
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
