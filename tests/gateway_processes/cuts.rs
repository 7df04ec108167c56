//! Instances that have no path to the servers, while callers and other instances reach them.

use super::site::{GRACE_S, POLL_INTERVAL, Site, exchange, request, status, wait_for};
use rstest::rstest;
use standins::link::Mode;
use standins::platform::Platform;
use standins::worker::Fault;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time after the beginning of a cut from which its instances must serve like the others.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// How long a sound server may be silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time within which a server must hear that a caller left.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// First tries of each kind that are counted at each instance.
const TRIES: usize = 12;
/// Routes of requests, with the model that they ask for.
pub const KINDS: [(&str, &str); 4] = [
    ("issue", ""),
    ("check", ""),
    ("draft", "m2"),
    ("long", "m1"),
];

/// Starts instances whose links to the servers can be cut, with open connections to them.
pub fn linked_site(instances: u8) -> Site {
    let site = Site::start_all(Vec::new(), instances, GRACE_S, Platform::start_linked);
    site.wait_until_ready();
    for instance in 0..usize::from(instances) {
        let warm = send_all(&site, instance, "warm", 3);
        assert!(warm.iter().all(|(_, answer)| status(answer) == 200));
    }
    site
}

/// Sends `count` requests of each kind to an instance, all kinds at once; returns ids and answers.
fn send_all(site: &Site, instance: usize, name: &str, count: usize) -> Vec<(String, String)> {
    let address = site.callers(instance);
    let callers = KINDS.map(|(route, model)| {
        let name = format!("{name}-{instance}-{route}");
        std::thread::spawn(move || {
            let sent = (0..count).map(|number| {
                let id = format!("{name}-{number}");
                let answer = exchange(address, &request(&format!("/{route}/x"), &id, model));
                (id, answer.unwrap_or_default())
            });
            sent.collect::<Vec<_>>()
        })
    });
    let answers = callers.into_iter().flat_map(|it| it.join().unwrap());
    answers.collect()
}

/// Whether the answer is one of a server, and whole.
fn is_served(id: &str, answer: &str) -> bool {
    let is_whole = if id.contains("draft") || id.contains("long") {
        answer.contains("piece 10") && answer.ends_with("0\r\n\r\n")
    } else {
        answer.ends_with("done")
    };
    status(answer) == 200 && is_whole
}

/// Checks that an instance serves all requests at the first try, and runs none twice.
fn assert_serves(site: &Site, instance: usize, name: &str) {
    for (id, answer) in send_all(site, instance, name, TRIES) {
        assert!(is_served(&id, &answer), "{id}: {answer}");
        assert_eq!(site.run_count(&id), 1, "{id}");
    }
}

/// Guards against callers of an instance without a path to the servers being refused or left to wait,
/// while other instances reach the servers.
#[rstest]
#[case::open_connections_hang(Mode::Cut)]
#[case::connections_are_reset(Mode::Reset)]
#[case::open_connections_live_on(Mode::Closed)]
fn callers_of_an_instance_without_a_path_to_the_servers_are_served(#[case] mode: Mode) {
    let site = linked_site(3);
    let cut = site.instances[0].0;
    site.platform.cut(cut, mode);
    send_all(&site, 0, "early", 2);
    std::thread::sleep(STABLE_WINDOW);
    assert_serves(&site, 0, "cut");
    assert_serves(&site, 1, "other");
    assert!(site.counter(0, "poplarseam_detours_total{outcome=\"carried\"}") > 0);
    site.platform.cut(cut, Mode::Open);
    wait_for("the path is used again", || {
        site.state(0)["paths"]["paths"]
            .as_object()
            .is_some_and(|paths| paths.values().all(|path| path["lost_at"].is_null()))
    });
    assert_serves(&site, 0, "healed");
}

/// Guards against requests of a data centre that is cut off as a whole staying within it, and against two
/// instances without a path that pass a request to and fro.
#[test]
fn callers_of_a_data_centre_without_a_path_to_the_servers_are_served_by_another_one() {
    let mut site = linked_site(2);
    site.add_instance_in("north-2", GRACE_S);
    site.wait_until_ready();
    for instance in 0..2 {
        site.platform.cut(site.instances[instance].0, Mode::Cut);
    }
    for instance in 0..2 {
        send_all(&site, instance, "early", 2);
    }
    std::thread::sleep(STABLE_WINDOW);
    for instance in 0..2 {
        assert_serves(&site, instance, "cut");
    }
}

/// Guards against requests that wait to the end, or go round, when no instance has a path.
#[test]
fn requests_are_refused_truthfully_when_no_instance_has_a_path_to_the_servers() {
    let site = linked_site(3);
    for (instance, _) in &site.instances {
        site.platform.cut(*instance, Mode::Reset);
    }
    for instance in 0..3 {
        send_all(&site, instance, "early", 2);
    }
    std::thread::sleep(STABLE_WINDOW);
    for (id, answer) in send_all(&site, 0, "cut", 3) {
        assert!(matches!(status(&answer), 502 | 503), "{id}: {answer}");
        assert_eq!(site.run_count(&id), 0, "{id}");
    }
}

/// Guards against a server that goes on with a request whose caller left, since the close did not reach it
/// over the other instance.
#[rstest]
#[case::before_the_answer("issue", "")]
#[case::within_a_stream("draft", "m2")]
fn a_server_hears_of_a_caller_that_left_the_instance_without_a_path(
    #[case] route: &str,
    #[case] model: &str,
) {
    let site = linked_site(2);
    site.platform.cut(site.instances[0].0, Mode::Cut);
    send_all(&site, 0, "early", 2);
    std::thread::sleep(STABLE_WINDOW);
    site.set_fault(&["p", "q"], Fault::Hang);
    let id = format!("left-{route}");
    let mut stream = TcpStream::connect(site.callers(0)).unwrap();
    let text = request(&format!("/{route}/x"), &id, model);
    stream.write_all(text.as_bytes()).unwrap();
    wait_for("the request runs", || site.run_count(&id) == 1);
    drop(stream);
    let left_at = Instant::now();
    wait_for("the server hears of it", || {
        let mut workers = site.platform.workers();
        workers.any(|worker| worker.dropped().contains(&id))
    });
    assert!(
        left_at.elapsed() < MAX_CLOSE_DELAY,
        "{:?}",
        left_at.elapsed()
    );
}

/// Guards against a call that may not be repeated running again, or being called not run, after the
/// instance that carried it was killed.
#[test]
fn a_call_whose_carrier_is_killed_is_not_run_again() {
    let mut site = linked_site(3);
    site.platform.cut(site.instances[0].0, Mode::Cut);
    send_all(&site, 0, "early", 2);
    std::thread::sleep(STABLE_WINDOW);
    site.set_fault(&["p", "q"], Fault::Hang);
    let address = site.callers(0);
    let caller = std::thread::spawn(move || exchange(address, &request("/issue/x", "carried", "")));
    wait_for("the call runs", || site.run_count("carried") == 1);
    for instance in 1..3 {
        site.instances[instance].1.kill();
    }
    let answer = caller.join().unwrap().unwrap_or_default();
    assert!(matches!(status(&answer), 502 | 504), "{answer}");
    assert_eq!(site.run_count("carried"), 1);
}

/// Guards against streams that the cut broke ending at the instance without a path, although a server
/// could go on with them.
#[test]
fn a_resumable_stream_goes_on_over_another_instance_when_the_path_is_lost() {
    let site = linked_site(2);
    let address = site.callers(0);
    let caller =
        std::thread::spawn(move || exchange(address, &request("/long/x", "resumed", "m1")));
    wait_for("the stream runs", || site.run_count("resumed") == 1);
    std::thread::sleep(POLL_INTERVAL * 3);
    site.platform.cut(site.instances[0].0, Mode::Cut);
    send_all(&site, 0, "early", 1);
    let answer = caller.join().unwrap().unwrap_or_default();
    for piece in 1..=10 {
        let text = format!("data: piece {piece}\n");
        assert_eq!(answer.matches(&text).count(), 1, "{answer}");
    }
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a caller that has the request of its own taken for one that another instance passed on.
#[test]
fn headers_for_other_instances_are_not_taken_from_callers() {
    let site = Site::ready();
    let text = request("/issue/x", "r1", "").replace(
        "Content-Length",
        "X-Poplarseam-Max-Servers: 0\r\nX-Poplarseam-Repeat: 1\r\nContent-Length",
    );
    let answer = exchange(site.callers(0), &text).unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(!answer.contains("x-poplarseam"), "{answer}");
    let answer = exchange(
        (site.instances[0].0, 7000).into(),
        &request("/issue/x", "r2", ""),
    );
    assert_eq!(status(&answer.unwrap()), 400);
    assert_eq!(site.run_count("r2"), 0);
}

/// Guards against a sound server that falls silent for a second being taken for one that has ended, and against
/// requests there that are lost, cut or run twice.
#[test]
fn a_server_that_is_silent_for_a_second_loses_nothing() {
    let site = linked_site(2);
    let (address, started_at) = (site.callers(0), Instant::now());
    let callers = KINDS.map(|(route, model)| {
        std::thread::spawn(move || {
            let mut answers = Vec::new();
            while started_at.elapsed() < 3 * SILENCE {
                let id = format!("{route}-{}", answers.len());
                let text = request(&format!("/{route}/x"), &id, model);
                answers.push((id, exchange(address, &text).unwrap_or_default()));
            }
            answers
        })
    });
    std::thread::sleep(SILENCE / 2);
    for worker in ["b", "p"] {
        site.platform.disturb(worker, Mode::Paused);
    }
    std::thread::sleep(SILENCE);
    for worker in ["b", "p"] {
        site.platform.disturb(worker, Mode::Open);
    }
    for (id, answer) in callers.into_iter().flat_map(|it| it.join().unwrap()) {
        assert!(is_served(&id, &answer), "{id}: {answer}");
        if !id.starts_with("check") && !id.starts_with("long") {
            assert_eq!(site.run_count(&id), 1, "{id}");
        }
    }
    assert_eq!(
        site.counter(0, "poplarseam_crashes_total{outcome=\"confirmed\"}"),
        0
    );
}
