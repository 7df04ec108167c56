//! Recent decisions about requests, for those who ask why.

use crate::common::*;
use crate::decide::dispatch::{End, Reason};
use crate::world::artifact::Artifact;
use crate::world::id;

/// Requests that are remembered.
const MOST: usize = 4096;
/// Notes that are remembered of one request.
const MOST_NOTES: usize = 32;

/// One thing that was decided or seen.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    Arrived {
        artifact: Artifact,
    },
    Started {
        worker: id::Worker,
        attempt: u32,
        in_flight: u32,
        isolated: bool,
    },
    Ended {
        end: End,
    },
    Refused {
        reason: Reason,
    },
}

/// The last requests with their notes.
#[derive(Debug, Default)]
pub struct Journal {
    notes: Map<id::Request, Vec<(Duration, Note)>>,
    order: VecDeque<id::Request>,
}

impl Journal {
    /// Adds a note.
    pub fn note(&mut self, now: Duration, request: &id::Request, note: Note) {
        if !self.notes.contains_key(request) {
            self.order.push_back(request.clone());
        }
        let notes = self.notes.entry(request.clone()).or_default();
        if notes.len() < MOST_NOTES {
            notes.push((now, note));
        }
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.notes.remove(&oldest);
        }
    }

    /// Everything noted of a request.
    #[must_use]
    pub fn explain(&self, request: &id::Request) -> Option<Value> {
        let notes = self.notes.get(request)?;
        let lines = notes
            .iter()
            .map(|(at, note)| json!({"at_ms": at.as_millis(), "note": note}));
        Some(lines.collect())
    }
}
