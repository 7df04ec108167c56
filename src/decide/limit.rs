//! Rate limits that servers name in their answers.
//!
//! A server in need names the requests a second that it takes from all instances together, in each
//! answer for as long as that holds. A limit belongs to one start of a server and outlives its entry
//! in the platform's list, which may lapse and come back.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Incarnation, Rate};

/// Answers of one server may overtake each other by this much: an answer without a limit lifts it
/// only this long after the last one that named it.
const SETTLE: Duration = Duration::from_millis(500);
/// A limit that no answer confirmed for this long is forgotten.
const MEMORY: Duration = Duration::from_mins(10);

/// What one start of a server said last.
#[derive(Debug, Clone, Copy)]
struct Word {
    boot: Incarnation,
    /// None once it was lifted.
    rate: Option<Rate>,
    at: Duration,
}

/// Limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    words: Map<id::Worker, Word>,
}

impl Limits {
    /// Takes what an answer of a server said, or that it named no limit. Whether that changes what is
    /// known.
    pub fn on_said(
        &mut self,
        now: Duration,
        worker: &id::Worker,
        boot: Incarnation,
        rate: Option<Rate>,
    ) -> bool {
        self.words.retain(|_, word| now < word.at + MEMORY);
        let known = self.words.get(worker).copied();
        let later_start = known.is_some_and(|known| known.boot > boot);
        let known = known.filter(|known| known.boot == boot);
        let named = known.and_then(|known| known.rate);
        let lifts_too_soon = rate.is_none() && known.is_some_and(|known| now < known.at + SETTLE);
        if later_start || lifts_too_soon || (rate.is_none() && named.is_none()) {
            return false;
        }
        let word = Word {
            boot,
            rate,
            at: now,
        };
        self.words.insert(worker.clone(), word);
        rate != named
    }

    /// Limits that are in force.
    pub fn named(&self) -> impl Iterator<Item = (&id::Worker, Rate)> {
        let words = self.words.iter();
        words.filter_map(|(worker, word)| Some((worker, word.rate?)))
    }

    /// The limit of this start of a server, where it named one.
    #[must_use]
    pub fn of(&self, worker: &id::Worker, boot: Incarnation) -> Option<Rate> {
        let word = self.words.get(worker);
        word.filter(|word| word.boot == boot)?.rate
    }
}
