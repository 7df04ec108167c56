//! Instances that have no path to the servers, while callers and other instances reach them.

use super::site::{GRACE_S, Site, exchange, request, status, wait_for};
use rstest::rstest;
use standins::link::Mode;
use standins::platform::Platform;
use std::time::Duration;

/// Time after the beginning of a cut from which its instances must serve like the others.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// First tries of each kind that are counted at each instance.
const TRIES: usize = 12;
/// Routes of requests, with the model that they ask for.
const KINDS: [(&str, &str); 4] = [
    ("issue", ""),
    ("check", ""),
    ("draft", "m2"),
    ("long", "m1"),
];

/// Starts instances whose links to the servers can be cut, with open connections to them.
fn linked_site(instances: u8) -> Site {
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
    site.platform.cut(cut, Mode::Open);
    wait_for("the path is used again", || {
        site.state(0)["paths"]["paths"]
            .as_object()
            .is_some_and(|paths| paths.values().all(|path| path["lost_at"].is_null()))
    });
    assert_serves(&site, 0, "healed");
}
