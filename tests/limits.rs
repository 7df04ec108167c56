//! A team's limit is one number for the whole site.

use standins::fault::Fault;
use standins::site::{Role, Shape, Site};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time between the calls of a quiet team, that which shows its part to be in place included.
const QUIET_PACE: Duration = Duration::from_millis(100);

fn site() -> Site {
    let site = Site::start(Shape {
        entries: 3,
        ..Shape::default()
    });
    site.set_up(&[("red", 60.0), ("blue", 60.0)], &[]);
    site
}

fn parts(site: &Site) -> Vec<f64> {
    parts_of(site, "red")
}

fn parts_of(site: &Site, team: &str) -> Vec<f64> {
    let entries = (0..site.entries.len()).filter(|at| site.is_ready(Role::Entry, *at));
    let shares = entries.map(|at| {
        let dump = site.dump(Role::Entry, at);
        dump["state"]["dispatcher"]["shares"][team]
            .as_f64()
            .unwrap_or(0.0)
    });
    shares.collect()
}

/// Calls answered in a time by callers at these entries that ask without pause.
fn admitted(site: &Site, entries: &[usize], time: Duration) -> u64 {
    let count = AtomicU64::new(0);
    let until = Instant::now() + time;
    std::thread::scope(|scope| {
        for entry in entries {
            scope.spawn(|| {
                while Instant::now() < until {
                    let answer = site.call_service(*entry, "red", "read", "", "{}");
                    let ran = answer.is_ok_and(|answer| answer.status == 200);
                    count.fetch_add(u64::from(ran), Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
    });
    count.load(Ordering::Relaxed)
}

#[test]
fn parts_follow_demand_and_never_exceed_the_limit() {
    let site = site();
    site.wait_until("even parts", || {
        parts(&site).iter().all(|part| *part > 15.0)
    });
    let stop = Instant::now() + Duration::from_secs(8);
    std::thread::scope(|scope| {
        scope.spawn(|| admitted(&site, &[0], Duration::from_secs(8)));
        scope.spawn(|| {
            while Instant::now() < stop {
                let sum: f64 = parts(&site).iter().sum();
                assert!(sum <= 60.01, "{sum}");
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    });
    assert!(parts(&site)[0] > 60.0 * 0.85, "{:?}", parts(&site));
}

#[test]
fn the_limit_holds_while_the_store_is_out_and_an_entry_is_replaced() {
    let mut site = site();
    site.wait_until("even parts", || {
        parts(&site).iter().all(|part| *part > 15.0)
    });
    site.table.switch.set(Fault {
        outage: true,
        ..Fault::default()
    });
    let before = parts(&site);
    site.entries[2].kill();
    site.entries[2] = site.launch(Role::Entry, 2);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(parts(&site)[..2], before[..2]);
    let count = admitted(&site, &[0, 1, 2], Duration::from_secs(2));
    assert!(
        count <= 60 * 3,
        "60 a second and the burst of one second: {count}"
    );
    site.table.switch.set(Fault::default());
    site.wait_until("part back", || {
        parts(&site).len() == 3 && parts(&site)[2] > 15.0
    });
}

#[test]
fn a_flooding_team_hurts_only_itself() {
    let site = site();
    site.wait_until("even parts", || {
        parts(&site).iter().all(|part| *part > 15.0)
    });
    site.wait_until("blue is served", || {
        let answer = site.call_service(0, "blue", "read", "", "{}");
        answer.is_ok_and(|answer| answer.status == 200)
    });
    std::thread::scope(|scope| {
        scope.spawn(|| admitted(&site, &[0, 0, 0, 0, 1, 1, 2, 2], Duration::from_secs(3)));
        for call in 0..20 {
            std::thread::sleep(QUIET_PACE);
            let answer = site.call_service(0, "blue", "read", "", "{}").unwrap();
            let part = parts_of(&site, "blue")[0];
            let text = answer.body;
            assert_eq!(
                answer.status, 200,
                "call {call}: {text} with a part of {part}"
            );
        }
    });
}
