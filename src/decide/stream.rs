//! Assembles the answer to one request from the lines that engines send.
//!
//! A line is accepted only with the request's own id and the next offset. Repeated tokens and lines
//! of other requests are skipped. A gap, a malformed line or an end at the wrong offset is treated
//! like a lost connection, since what follows cannot be trusted to be complete.

use crate::common::*;

/// Limit on the bytes that an engine may send without a new token.
const MAX_SKIPPED_BYTES: usize = 256 << 10;

/// One line of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Line {
    pub request: CompactString,
    pub offset: u64,
    #[serde(default)]
    pub text: String,
    #[serde(default)]
    pub done: bool,
}

/// Effect of a line on the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The next token.
    Token { offset: u64, text: String },
    /// A token that was already delivered, or a line of another request.
    Skip,
    /// The answer is complete.
    Done,
    /// Tokens are missing: resume at [`Assembly::next_offset`].
    Broken,
}

/// Progress of one answer.
#[derive(Debug, Clone)]
pub struct Assembly {
    request: CompactString,
    next_offset: u64,
    /// Bytes of the lines skipped since the last token.
    skipped_bytes: usize,
}

impl Assembly {
    /// Creates an answer of which the first `next_offset` tokens were delivered.
    #[must_use]
    pub const fn new(request: CompactString, next_offset: u64) -> Self {
        Self {
            request,
            next_offset,
            skipped_bytes: 0,
        }
    }

    /// Returns the offset of the next token.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Handles one line as the engine sent it.
    pub fn on_line(&mut self, line: &str) -> Step {
        let step = self.judge_line(line);
        self.skipped_bytes = match step {
            Step::Skip => self.skipped_bytes + line.len(),
            Step::Token { .. } | Step::Done | Step::Broken => 0,
        };
        if self.skipped_bytes > MAX_SKIPPED_BYTES {
            self.skipped_bytes = 0;
            return Step::Broken;
        }
        step
    }

    fn judge_line(&mut self, line: &str) -> Step {
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
