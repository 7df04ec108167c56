//! An answer that is read in full before it is passed on.

use super::traffic::Traffic;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;

/// Limit on the pieces, such as chunks, of one answer: each costs about as much time as some kilobytes.
const MAX_PIECES: usize = 16_384;

/// Why an answer could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It broke off.
    Broken,
    /// It is larger than the operator allows.
    TooLarge,
    /// It comes in too many pieces.
    TooManyPieces,
    /// The answers at this instance fill the memory for them.
    NoMemory,
}

/// Memory of an answer, given back when it is dropped.
pub struct Lease {
    traffic: Rc<Traffic>,
    bytes: usize,
}

impl Lease {
    fn grow(&mut self, bytes: usize) -> bool {
        let is_taken = self.traffic.memory.borrow_mut().take(bytes);
        self.bytes += if is_taken { bytes } else { 0 };
        is_taken
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.traffic.memory.borrow_mut().give_back(self.bytes);
    }
}

/// Reads an answer of at most `limit` bytes.
///
/// # Errors
/// If it breaks off, comes in too many pieces, or is too large for the limit or the memory that is
/// left.
pub async fn read(
    traffic: &Rc<Traffic>,
    mut incoming: Incoming,
    limit: usize,
) -> Result<(Bytes, Lease), Failure> {
    let mut lease = Lease {
        traffic: Rc::clone(traffic),
        bytes: 0,
    };
    let mut body = BytesMut::new();
    let mut pieces = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| Failure::Broken)?.into_data() else {
            continue;
        };
        pieces += 1;
        if pieces > MAX_PIECES {
            return Err(Failure::TooManyPieces);
        }
        if body.len() + data.len() > limit {
            return Err(Failure::TooLarge);
        }
        if !lease.grow(data.len()) {
            return Err(Failure::NoMemory);
        }
        body.extend_from_slice(&data);
    }
    Ok((body.freeze(), lease))
}
