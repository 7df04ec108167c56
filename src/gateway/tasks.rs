//! Tasks of the gateway's threads, and what follows when one panics.
//!
//! A task that runs as long as the process is started again: the process would otherwise go on without it,
//! ready and wrong. One whose outcome others wait for ends the process, which the platform starts again.

use crate::common::*;
use crate::decide::retry::backoff;
use prometheus_client::metrics::counter::Counter;
use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::pin::pin;
use std::task::Poll;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Exit code of a process one of whose threads or required tasks ended unexpectedly.
const EXIT_CODE: i32 = 70;
/// Delay before a task that panicked is started again; it doubles with each further panic, up to the
/// maximum.
const RESTART_DELAY: Duration = Duration::from_millis(50);
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// A task that ran for this long starts with the shortest delay again.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// Has panics logged as diagnostic messages and counted, in all threads.
pub fn watch_panics(panics: Counter) {
    std::panic::set_hook(Box::new(move |panic| {
        panics.inc();
        log_panic(panic);
    }));
}

fn log_panic(panic: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let thread = thread.name().unwrap_or("unnamed");
    let text = panic.payload_as_str().unwrap_or("no message");
    let place = panic.location().map(ToString::to_string);
    let place = place.as_deref().unwrap_or("unknown");
    log::error!(thread, place; "a panic: {text}");
}

/// Completes a future; returns `None` if it panics.
pub async fn catch<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|context| {
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context)));
        polled.map_or(Poll::Ready(None), |polled| polled.map(Some))
    })
    .await
}

/// Runs a task until it ends, and starts it again when it panics.
pub fn keep<F: Future<Output = ()> + 'static>(
    name: &'static str,
    task: impl Fn() -> F + 'static,
) -> JoinHandle<()> {
    spawn_local(async move {
        let mut panics = 0;
        loop {
            let started_at = Instant::now();
            if catch(task()).await.is_some() {
                return;
            }
            if started_at.elapsed() >= STABLE_TIME {
                panics = 0;
            }
            let delay = backoff(RESTART_DELAY, panics, MAX_RESTART_DELAY, 1.0);
            panics += 1;
            let delay_ms = delay.as_millis();
            log::error!(task = name, delay_ms; "a task panicked; it starts again");
            sleep(delay).await;
        }
    })
}

/// Runs a task to its end; if it panics, the process exits for a restart.
pub fn require(name: &'static str, task: impl Future<Output = ()> + 'static) {
    spawn_local(async move {
        if catch(task).await.is_none() {
            exit(name);
        }
    });
}

/// Ends the process after one of its parts has ended unexpectedly.
pub fn exit(part: &str) -> ! {
    log::error!(part; "a part of the process ended unexpectedly; exiting for a restart");
    std::process::exit(EXIT_CODE);
}
