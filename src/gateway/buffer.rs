//! Requests and answers that are read in full before they are passed on.

use super::traffic::Traffic;
use crate::decide::memory::Share;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// Limit on the pieces, such as chunks, of one answer: each costs about as much time as some kilobytes.
const MAX_PIECES: usize = 16_384;

/// Smallest allocation for bytes whose number is not announced.
const MIN_CAPACITY: usize = 1 << 10;

/// Why an answer could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It broke off.
    Broken,
    /// It is larger than the operator allows.
    TooLarge,
    /// It comes in too many pieces.
    TooManyPieces,
    /// What this instance holds fills the memory for it.
    NoMemory,
}

/// Memory of a request or an answer, given back when it is dropped.
pub struct Lease {
    traffic: Rc<Traffic>,
    share: Share,
    bytes: usize,
}

/// What the memory is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    Request,
    Answer,
}

impl Lease {
    fn take(traffic: &Rc<Traffic>, purpose: Purpose, bytes: usize) -> Option<Self> {
        let mut memory = traffic.memory.borrow_mut();
        let share = match purpose {
            Purpose::Request => memory.take_request(bytes)?,
            Purpose::Answer => memory.take(bytes).then_some(Share::Answers)?,
        };
        Some(Self {
            traffic: Rc::clone(traffic),
            share,
            bytes,
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut memory = self.traffic.memory.borrow_mut();
        memory.give_back_to(self.share, self.bytes);
    }
}

/// Bytes that are copied from the pieces in which they arrive, since a piece of one byte may keep a whole
/// read buffer alive. What is allocated for them is leased, both allocations while they are moved to a
/// larger one.
pub struct Collected {
    bytes: Vec<u8>,
    lease: Lease,
    purpose: Purpose,
    limit: usize,
}

impl Collected {
    /// Creates a buffer for `announced` bytes that accepts at most `limit`; `None` if there is no memory.
    pub fn new(
        traffic: &Rc<Traffic>,
        purpose: Purpose,
        announced: usize,
        limit: usize,
    ) -> Option<Self> {
        let capacity = announced.min(limit);
        let lease = Lease::take(traffic, purpose, capacity)?;
        Some(Self {
            bytes: Vec::with_capacity(capacity),
            lease,
            purpose,
            limit,
        })
    }

    /// Appends a piece.
    ///
    /// # Errors
    /// If it exceeds the limit, or if there is no memory.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), Failure> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.limit {
            return Err(Failure::TooLarge);
        }
        if needed > self.bytes.capacity() {
            let doubled = self.bytes.capacity() * 2;
            let capacity = doubled.max(MIN_CAPACITY).min(self.limit).max(needed);
            let lease = Lease::take(&self.lease.traffic, self.purpose, capacity);
            let lease = lease.ok_or(Failure::NoMemory)?;
            let mut larger = Vec::with_capacity(capacity);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
            self.lease = lease;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    pub fn finish(self) -> (Bytes, Lease) {
        (self.bytes.into(), self.lease)
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
    let announced = incoming.size_hint().lower();
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Failure::TooLarge);
    }
    let body = Collected::new(traffic, Purpose::Answer, announced, limit);
    let mut body = body.ok_or(Failure::NoMemory)?;
    let mut pieces = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| Failure::Broken)?.into_data() else {
            continue;
        };
        pieces += 1;
        if pieces > MAX_PIECES {
            return Err(Failure::TooManyPieces);
        }
        body.push(&data)?;
    }
    Ok(body.finish())
}
