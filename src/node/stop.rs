//! Stopping: SIGTERM and SIGINT begin a graceful shutdown.

use crate::common::*;
use crate::error::SignalSnafu;
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::ResultExt;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether this process was told to stop.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

/// How often waits look whether they should end.
pub const POLL: Duration = Duration::from_millis(20);

impl Stop {
    /// Listens for the signals that stop a process.
    ///
    /// # Errors
    /// [`Error::Signal`] where signals can't be caught.
    pub fn on_signals(&self) -> Result<()> {
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&self.0)).context(SignalSnafu)?;
        }
        Ok(())
    }

    /// Whether to stop.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Waits until told to stop.
    pub fn wait(&self) {
        while !self.is_set() {
            std::thread::sleep(POLL);
        }
    }
}
