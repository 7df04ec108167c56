//! Event log of a gateway: JSON lines on standard output, written by a separate thread.
//!
//! When the channel is full, lines are dropped and counted, so that a slow reader of the logs
//! does not delay the other threads.

use super::event::CHANNEL_CAPACITY;
use crate::common::*;
use crate::node::clock::Clock;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Sender of log lines.
#[derive(Debug, Clone)]
pub struct Journal {
    lines: flume::Sender<String>,
    dropped: Arc<AtomicU64>,
    clock: Clock,
    instance: CompactString,
}

impl Journal {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// [`Error::Thread`] if it can't be started.
    pub fn start(clock: Clock, instance: &str) -> Result<Self> {
        let (lines, lines_rx) = flume::bounded(CHANNEL_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write(&lines_rx, &dropped_count))
            .map_err(|source| Error::Thread { source })?;
        Ok(Self {
            lines,
            dropped,
            clock,
            instance: instance.into(),
        })
    }

    /// Writes one line: the event and the values that led to it.
    pub fn note(&self, event: &str, values: &Value) {
        let line = json!({
            "at_ms": self.clock.now().as_millis(),
            "instance": self.instance,
            "event": event,
            "with": values,
        });
        if self.lines.try_send(line.to_string()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write(lines_rx: &flume::Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    for line in lines_rx {
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        let warned = if dropped_count > 0 {
            writeln!(
                out,
                "{}",
                json!({"event": "log_lines_dropped", "count": dropped_count})
            )
        } else {
            Ok(())
        };
        if warned.and_then(|()| writeln!(out, "{line}")).is_err() {
            return;
        }
    }
}
