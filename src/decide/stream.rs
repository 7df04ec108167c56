//! The answer to one request, put together from what engines send.
//!
//! A line counts only with the request's own id and the next offset. A repeated token is
//! dropped; a gap, a line of another request or nonsense is as good as a cut, since what follows
//! can't be trusted to be whole.

use crate::common::*;

/// A line of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Line {
    pub request: CompactString,
    pub offset: u64,
    #[serde(default)]
    pub text: String,
    #[serde(default)]
    pub done: bool,
}

/// What a line means for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The next token.
    Token { offset: u64, text: String },
    /// Already delivered, or another request's.
    Skip,
    /// The answer is whole.
    Done,
    /// Tokens are missing: read on from [`Assembly::next`].
    Broken,
}

/// How far an answer has come.
#[derive(Debug, Clone)]
pub struct Assembly {
    request: CompactString,
    next_offset: u64,
}

impl Assembly {
    /// An answer of which the first `next` tokens were delivered.
    #[must_use]
    pub const fn new(request: CompactString, next_offset: u64) -> Self {
        Self {
            request,
            next_offset,
        }
    }

    /// Offset of the next token.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Takes one line as the engine sent it.
    pub fn on_line(&mut self, line: &str) -> Step {
        let Ok(line) = serde_json::from_str::<Line>(line) else {
            return Step::Broken;
        };
        if line.request != self.request {
            return Step::Skip;
        }
        match (line.offset.cmp(&self.next_offset), line.done) {
            (std::cmp::Ordering::Less, false) => Step::Skip,
            (std::cmp::Ordering::Equal, true) => Step::Done,
            (std::cmp::Ordering::Equal, false) => {
                self.next_offset += 1;
                Step::Token {
                    offset: line.offset,
                    text: line.text,
                }
            }
            _ => Step::Broken,
        }
    }
}
