//! Servers of several software versions in one service: their streams must not be joined.

use super::site::{GRACE_S, POLL_INTERVAL, Site, exchange, request, status, wait_for};
use standins::platform::Platform;
use standins::worker::{Fault, Worker};
use std::time::Duration;

/// Events of a whole stream, and those of one that breaks off.
const EVENTS: u32 = 10;
const FIRST_EVENTS: u32 = 3;
/// Time in which instances tell each other, and the store, which streams they have begun.
const SHARING_TIME: Duration = Duration::from_secs(3);

/// Starts instances with model workers of two software versions: `a` and `b` of one, `c` and `d` of the
/// other.
fn site(instances: u8) -> Site {
    let more = ["c", "d"]
        .map(|name| Worker::new(name, "llm", &["m1"], EVENTS, POLL_INTERVAL).running("v2"));
    let site = Site::start_all(more.into(), instances, GRACE_S, Platform::start);
    site.wait_until_ready();
    std::thread::sleep(SHARING_TIME);
    site
}

const OLD: [&str; 2] = ["a", "b"];
const NEW: [&str; 2] = ["c", "d"];

/// A request that takes up the stream which `first` began, after an event.
fn take_up(id: &str, first: Option<&str>, last_event: u32) -> String {
    let resumes = first.map_or_else(String::new, |first| format!("Resumes: {first}\r\n"));
    let headers = format!("Host: h\r\nLast-Event-Id: {last_event}\r\n{resumes}");
    request("/long/x", id, "m1").replacen("Host: h\r\n", &headers, 1)
}

fn ask(site: &Site, instance: usize, text: &str) -> String {
    exchange(site.callers(instance), text).unwrap_or_default()
}

fn ran_on(site: &Site, workers: [&str; 2], id: &str) -> bool {
    let mut ran = workers
        .map(|name| site.platform.worker(name).ran())
        .into_iter();
    ran.any(|ran| ran.iter().any(|it| it == id))
}

/// Begins a stream at the workers of the old version, where it breaks off.
fn begin_at_old(site: &Site, instance: usize, id: &str) {
    site.set_fault(&NEW, Fault::TurnAway);
    site.set_fault(&OLD, Fault::CutAfter(FIRST_EVENTS));
    let mut number = 0;
    wait_for("a stream of the old version", || {
        number += 1;
        let attempt = if number == 1 {
            id.to_owned()
        } else {
            format!("{id}-{number}")
        };
        let answer = ask(site, instance, &request("/long/x", &attempt, "m1"));
        answer.contains("piece 1\n") || answer.is_empty()
    });
    assert!(ran_on(site, OLD, id));
}

/// Lets the workers of the old version serve whole streams and those of the new one too.
fn heal(site: &Site) {
    site.set_fault(&OLD, Fault::None);
    site.set_fault(&NEW, Fault::None);
}

/// Guards against an answer with events of two software versions: a stream that broke off went on at
/// any worker with the model.
#[test]
fn a_stream_that_breaks_off_does_not_continue_at_another_software_version() {
    let site = site(1);
    site.set_fault(&["a", "b", "c", "d"], Fault::CutAfter(FIRST_EVENTS));
    for number in 0..10 {
        let id = format!("r{number}");
        ask(&site, 0, &request("/long/x", &id, "m1"));
        let versions = [OLD, NEW].map(|workers| ran_on(&site, workers, &id));
        assert_ne!(versions, [true, true], "{id} ran at both versions");
    }
}

/// Guards against take-ups at an instance that does not know where the stream began.
#[test]
fn a_stream_is_taken_up_at_its_software_version_at_any_instance() {
    let site = site(2);
    begin_at_old(&site, 0, "first");
    heal(&site);
    for number in 0..6 {
        let id = format!("again-{number}");
        let answer = ask(&site, 1, &take_up(&id, Some("first"), FIRST_EVENTS));
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.contains(&format!("piece {EVENTS}")), "{answer}");
        assert!(!ran_on(&site, NEW, &id), "{id} ran at the other version");
    }
}

/// Guards against knowledge of streams that ends with the processes: after a restart of all instances,
/// callers got text of two versions.
#[test]
fn a_stream_is_taken_up_at_its_software_version_after_the_restart_of_all_instances() {
    let mut site = site(2);
    begin_at_old(&site, 0, "first");
    std::thread::sleep(SHARING_TIME);
    heal(&site);
    for instance in 0..2 {
        site.instances[instance].1.kill();
    }
    for instance in 0..2 {
        site.relaunch(instance);
    }
    site.wait_until_ready();
    for number in 0..20 {
        let id = format!("anew-{number}");
        let text = take_up(&id, Some("first"), FIRST_EVENTS);
        let answer = ask(&site, number % 2, &text);
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(!ran_on(&site, NEW, &id), "{id} ran at the other version");
    }
}

/// The same, where the servers of the old version have left: their streams can't go on.
#[test]
fn a_stream_whose_software_version_is_gone_is_refused_after_the_restart_of_all_instances() {
    let mut site = site(2);
    begin_at_old(&site, 0, "first");
    std::thread::sleep(SHARING_TIME);
    heal(&site);
    for worker in OLD {
        site.platform.unlist(site.platform.worker(worker));
    }
    for instance in 0..2 {
        site.restart(instance);
    }
    wait_for("ready", || {
        (0..2).all(|instance| site.status(instance, 8001, "/v1/readyz") == 200)
    });
    for (number, first) in [Some("first"), Some("unheard-of"), None]
        .into_iter()
        .enumerate()
    {
        let id = format!("again-{number}");
        let answer = ask(&site, number % 2, &take_up(&id, first, FIRST_EVENTS));
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert_eq!(site.run_count(&id), 0);
    }
    let answer = ask(&site, 0, &request("/long/x", "new", "m1"));
    assert_eq!(status(&answer), 200, "{answer}");
}

/// A service has had one software version only, so it does not matter which request began a stream.
#[test]
fn streams_are_taken_up_without_a_record_while_there_is_one_software_version() {
    let mut site = Site::ready();
    let answer = ask(&site, 0, &take_up("r1", Some("unheard-of"), FIRST_EVENTS));
    assert_eq!(status(&answer), 200, "{answer}");
    std::thread::sleep(SHARING_TIME);
    site.restart(0);
    site.wait_until_ready();
    let answer = ask(&site, 0, &take_up("r2", Some("unheard-of"), FIRST_EVENTS));
    assert_eq!(status(&answer), 200, "{answer}");
}

/// Entries of servers name no software version: nothing shows that two of them fit together.
#[test]
fn streams_of_servers_without_a_software_version_are_not_continued_elsewhere() {
    let more =
        ["c", "d"].map(|name| Worker::new(name, "llm", &["m1"], EVENTS, POLL_INTERVAL).running(""));
    let site = Site::start_all(more.into(), 1, GRACE_S, Platform::start);
    site.wait_until_ready();
    site.set_fault(&["a", "b", "c", "d"], Fault::CutAfter(FIRST_EVENTS));
    for number in 0..10 {
        let id = format!("r{number}");
        ask(&site, 0, &request("/long/x", &id, "m1"));
        let at_unnamed = NEW.iter().filter(|name| {
            let ran = site.platform.worker(name).ran();
            ran.contains(&id)
        });
        assert!(at_unnamed.count() <= 1);
        let versions = [OLD, NEW].map(|workers| ran_on(&site, workers, &id));
        assert_ne!(versions, [true, true], "{id} ran at both");
    }
}
