//! Generated answers: the batch that runs them and the buffer that they are read from.

use crate::fault::Fault;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{Error, ErrorKind, Result, Write};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// The word at a position of the answer to a prompt.
#[must_use]
pub fn word(prompt: &str, position: u64) -> String {
    let seed = prompt
        .bytes()
        .fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    let mixed = (seed ^ position).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    format!(" w{position}-{mixed:x}")
}

/// Requests that run at the same time, and those that wait for a place.
#[derive(Debug)]
pub struct Batch {
    size: u32,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    active: u32,
    next: u64,
    waiting: BTreeSet<(u64, u64)>,
}

impl Batch {
    pub const fn new(size: u32) -> Self {
        let state = State {
            active: 0,
            next: 0,
            waiting: BTreeSet::new(),
        };
        Self {
            size,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Waits for a place; a lower priority number goes first.
    pub fn enter(&self, priority: u64) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.next += 1;
        let ticket = (priority, state.next);
        state.waiting.insert(ticket);
        while state.active >= self.size || state.waiting.first() != Some(&ticket) {
            state = self.changed.wait(state).unwrap();
        }
        state.waiting.remove(&ticket);
        state.active += 1;
        self.changed.notify_all();
        ticket.1
    }

    pub fn leave(&self, _place: u64) {
        self.state.lock().unwrap().active -= 1;
        self.changed.notify_all();
    }

    /// Requests active and queued.
    pub fn load(&self) -> (u32, usize) {
        let state = self.state.lock().unwrap();
        (state.active, state.waiting.len())
    }
}

#[derive(Debug, Default)]
struct Progress {
    written: u64,
    killed: bool,
}

/// One answer in the making.
#[derive(Debug)]
pub struct Generation {
    request: String,
    prompt: String,
    /// Position of its first token.
    pub first: u64,
    tokens: u64,
    progress: Mutex<Progress>,
    changed: Condvar,
}

impl Generation {
    /// An answer of `tokens` words of which the first `offset` are known.
    #[must_use]
    pub fn new(request: String, prompt: String, offset: u64, tokens: u64) -> Self {
        let progress = Mutex::new(Progress {
            written: offset,
            killed: false,
        });
        Self {
            request,
            prompt,
            first: offset,
            tokens,
            progress,
            changed: Condvar::new(),
        }
    }

    /// Generates until the end, or until it is cancelled.
    pub fn run(&self, prefill: Duration, token: Duration) {
        let words = u32::try_from(self.prompt.split(' ').count()).unwrap_or(u32::MAX);
        std::thread::sleep(prefill * words);
        for _ in self.first..self.tokens {
            std::thread::sleep(token);
            let mut progress = self.progress.lock().unwrap();
            if progress.killed {
                return;
            }
            progress.written += 1;
            self.changed.notify_all();
        }
    }

    /// Ends the answer where it is.
    pub fn kill(&self) {
        self.progress.lock().unwrap().killed = true;
        self.changed.notify_all();
    }

    /// Writes the answer from a position on, as it comes.
    ///
    /// # Errors
    /// When the reader is gone, or the answer was cut.
    pub fn write(&self, out: &mut dyn Write, offset: u64, fault: &Fault) -> Result<()> {
        let cut = || Error::from(ErrorKind::ConnectionReset);
        let last = fault
            .cut_stream_after
            .map_or(u64::MAX, |tokens| offset + tokens);
        for position in offset..self.tokens {
            self.wait_for(position).ok_or_else(cut)?;
            if position >= last {
                return Err(cut());
            }
            self.write_token(out, position, fault)?;
        }
        let end = json!({"request": self.request, "offset": self.tokens, "done": true});
        writeln_once(out, &end.to_string())
    }

    fn wait_for(&self, position: u64) -> Option<()> {
        let mut progress = self.progress.lock().unwrap();
        while progress.written <= position {
            if progress.killed {
                return None;
            }
            progress = self.changed.wait(progress).unwrap();
        }
        Some(())
    }

    fn write_token(&self, out: &mut dyn Write, position: u64, fault: &Fault) -> Result<()> {
        if fault.nonsense {
            return writeln_once(out, "<html>");
        }
        let text = word(&self.prompt, position);
        if fault.cross_answers {
            let other = json!({"request": "other", "offset": position, "text": " alien"});
            writeln_once(out, &other.to_string())?;
        }
        let line = json!({"request": self.request, "offset": position, "text": text});
        writeln_once(out, &line.to_string())?;
        if fault.double_tokens {
            writeln_once(out, &line.to_string())?;
        }
        Ok(())
    }
}

fn writeln_once(out: &mut dyn Write, line: &str) -> Result<()> {
    out.write_all(format!("{line}\n").as_bytes())
}
