//! The body of a request, read in full before the request is passed on.

use super::buffer::{Collected, Failure, Lease, Purpose};
use super::traffic::Traffic;
use crate::common::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;
use tokio::time::timeout;

/// Longest time without any byte of a body. Five losses of the same segment in a row, at time-outs from 0.2 s
/// to 3.2 s, cause a pause of 6.2 s.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    TooLarge,
    Cut,
    TooSlow,
    Stalled,
    NoMemory,
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// If it is too large, breaks off, does not arrive in time, or if there is no memory for it. A body that is
/// announced is refused before any of it is read.
pub async fn read(
    traffic: &Rc<Traffic>,
    incoming: Incoming,
    limit: usize,
    time_allowed: Duration,
) -> Result<(Bytes, Lease), Refusal> {
    let announced = incoming.size_hint().lower();
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Refusal::TooLarge);
    }
    let body = Collected::new(traffic, Purpose::Request, announced, limit);
    let body = body.ok_or(Refusal::NoMemory)?;
    let read = timeout(time_allowed, collect(incoming, body));
    read.await.unwrap_or(Err(Refusal::TooSlow))
}

async fn collect(mut incoming: Incoming, mut body: Collected) -> Result<(Bytes, Lease), Refusal> {
    loop {
        let frame = timeout(MAX_PAUSE, incoming.frame()).await;
        let Some(frame) = frame.map_err(|_| Refusal::Stalled)? else {
            return Ok(body.finish());
        };
        let Ok(data) = frame.map_err(|_| Refusal::Cut)?.into_data() else {
            continue;
        };
        body.push(&data).map_err(|failure| match failure {
            Failure::NoMemory => Refusal::NoMemory,
            _ => Refusal::TooLarge,
        })?;
    }
}
