//! Bound on the memory that answers take while they are read from servers and sent to callers.

/// Bytes of answers that an instance may hold.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Bytes above which no further requests are sent whose answers are held in full.
const ADMISSION_LIMIT: usize = MAX_ANSWER_BYTES / 4 * 3;

/// Bytes of the answers that are held.
#[derive(Debug, Default)]
pub struct Memory {
    used: usize,
}

impl Memory {
    /// Returns whether another request may be sent.
    #[must_use]
    pub const fn admits(&self) -> bool {
        self.used < ADMISSION_LIMIT
    }

    /// Takes memory; returns whether there was enough.
    pub const fn take(&mut self, bytes: usize) -> bool {
        let is_free = bytes <= MAX_ANSWER_BYTES - self.used;
        if is_free {
            self.used += bytes;
        }
        is_free
    }

    /// Gives memory back.
    pub const fn give_back(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }
}
