//! Tasks that panic.

use poplarseam::gateway::tasks;
use prometheus_client::metrics::counter::Counter;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a process that goes on without one of its loops: an update that made it panic ended the
/// loop that applied updates, and no later one was ever applied.
#[test]
fn a_loop_goes_on_after_an_update_that_makes_it_panic() {
    run(async {
        let (updates, updates_rx) = flume::bounded::<u32>(8);
        let sum = Rc::new(Cell::new(0));
        let applied = Rc::clone(&sum);
        let applying = tasks::keep("updates", move || {
            let (updates, sum) = (updates_rx.clone(), Rc::clone(&sum));
            async move {
                while let Ok(update) = updates.recv_async().await {
                    assert_ne!(update, 13, "an update that can't be applied");
                    sum.set(sum.get() + update);
                }
            }
        });
        for update in [1, 13, 13, 2] {
            updates.send(update).unwrap();
        }
        drop(updates);
        timeout(TIMEOUT, applying).await.unwrap().unwrap();
        assert_eq!(applied.get(), 3);
    });
}

/// Guards against a caller without an answer because the task of its request panicked, also after a wait.
#[test]
fn a_panic_is_caught_at_any_step() {
    run(async {
        assert_eq!(tasks::catch(async { 7 }).await, Some(7));
        let after_a_wait = async {
            sleep(Duration::from_millis(1)).await;
            panic!("after a wait");
        };
        assert!(tasks::catch(after_a_wait).await.is_none());
        assert!(tasks::catch(async { panic!("at once") }).await.is_none());
    });
}

/// Guards against panics that no counter shows.
#[test]
fn panics_are_counted() {
    let panics = Counter::default();
    let usual = std::panic::take_hook();
    tasks::watch_panics(panics.clone());
    run(async {
        let _none = tasks::catch(async { panic!("counted") }).await;
    });
    std::panic::set_hook(usual);
    assert!(panics.get() > 0);
}
