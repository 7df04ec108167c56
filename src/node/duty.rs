//! Threads, one for each duty.
//!
//! A process without one of its threads would look well and do nothing, so it ends when a
//! thread panics; the platform starts it anew.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Exit code after a thread panicked.
const PANICKED: i32 = 101;

/// Starts a thread for a duty.
pub fn start(name: &'static str, duty: impl FnOnce() + Send + 'static) {
    let watched = move || {
        if catch_unwind(AssertUnwindSafe(duty)).is_err() {
            log::error!(duty = name; "a thread panicked: the process ends");
            std::process::exit(PANICKED);
        }
    };
    let spawned = std::thread::Builder::new().name(name.into()).spawn(watched);
    if let Err(error) = spawned {
        log::error!(duty = name, error:% = error; "no thread: the process ends");
        std::process::exit(PANICKED);
    }
}

/// Locks a value; one that a caller's thread panicked over stays usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
