//! Backend servers that leave, crash or are crashed; memory that is never overcommitted.

use serde_json::json;
use standins::engine::Config;
use standins::fault::Fault;
use standins::site::{Role, Shape, Site, expected};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const TEAMS: [(&str, f64); 1] = [("red", 5000.0)];

fn small(memory: u64, checks_fences: bool) -> Config {
    Config {
        memory,
        checks_fences,
        token: Duration::from_millis(5),
        ..Config::default()
    }
}

/// A site where every engine holds every model.
fn full_site(engines: usize, entries: usize) -> Site {
    let config = Config {
        batch: 2,
        token: Duration::from_millis(20),
        ..Config::default()
    };
    let shape = Shape {
        engines: vec![config; engines],
        entries,
        ..Shape::default()
    };
    let site = Site::start(shape);
    site.set_up(&TEAMS, &[("notes", 1000)]);
    site.wait_for_model("red", "notes");
    let until = Instant::now() + Duration::from_secs(20);
    while holders(&site, "site/notes@v1") < engines && Instant::now() < until {
        load(&site, 30 * engines, 10);
    }
    assert_eq!(holders(&site, "site/notes@v1"), engines);
    site
}

fn holders(site: &Site, artifact: &str) -> usize {
    let engines = site.engines.iter();
    engines
        .filter(|(_, engine)| engine.memory().lock().unwrap().is_resident(artifact))
        .count()
}

/// Asks many times at once; returns the statuses.
fn load(site: &Site, count: usize, tokens: u64) -> Vec<u16> {
    std::thread::scope(|scope| {
        let ask = move |at: usize| {
            let prompt = format!("load {at}");
            let answer = site.ask(at % site.entries.len(), "red", "notes", &prompt, tokens);
            answer.map_or(0, |answer| answer.status)
        };
        let asking: Vec<_> = (0..count).map(|at| scope.spawn(move || ask(at))).collect();
        asking
            .into_iter()
            .map(|asking| asking.join().unwrap())
            .collect()
    })
}

#[test]
fn a_leaving_worker_gets_nothing_after_three_seconds() {
    let site = full_site(3, 8);
    site.engines[0].0.switch.set(Fault {
        leaving: true,
        ..Fault::default()
    });
    std::thread::sleep(Duration::from_secs(3));
    let before = site.engines[0].1.runs().len();
    let statuses = load(&site, 40, 5);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(site.engines[0].1.runs().len(), before);
}

#[test]
fn a_worker_that_the_platform_lists_as_leaving_gets_nothing() {
    let site = full_site(2, 2);
    let mut list: Vec<_> = (0..2)
        .map(|at| json!({"instance": format!("i{at}"), "leaving": false}))
        .collect();
    list.push(json!({"instance": "w0", "leaving": true}));
    let list = json!(list).to_string();
    standins::client::call("PUT", site.instances.address, "/instances", &[], &list).unwrap();
    std::thread::sleep(Duration::from_secs(4));
    let before = site.engines[0].1.runs().len();
    let statuses = load(&site, 20, 5);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(site.engines[0].1.runs().len(), before);
}

#[test]
fn a_request_that_crashes_workers_takes_two_and_no_innocent_is_hurt() {
    let site = full_site(4, 3);
    for (host, _) in &site.engines {
        host.switch.set(Fault {
            crash_on: Some("poison".into()),
            ..Fault::default()
        });
    }
    let innocents = std::thread::scope(|scope| {
        let innocents = scope.spawn(|| load(&site, 30, 30));
        std::thread::sleep(Duration::from_millis(150));
        let poison = site.ask(0, "red", "notes", "poison", 5).unwrap();
        assert_eq!(poison.status, 422, "{}", poison.body);
        innocents.join().unwrap()
    });
    assert!(
        innocents.iter().all(|status| *status == 200),
        "{innocents:?}"
    );
    assert_eq!(crashes(&site), 2);
    for entry in 0..3 {
        let again = site.ask(entry, "red", "notes", "poison", 5).unwrap();
        assert_eq!(
            (again.status, again.json()["run"].as_str()),
            (422, Some("not_run"))
        );
        assert!(!again.headers.contains_key("retry-after"));
    }
    assert_eq!(crashes(&site), 2);
}

/// Crashes of a message after which requests with it must not reach an engine.
const MAX_MESSAGE_CRASHES: u64 = 5;

/// Guards against a message that crashes one engine after the other: no two chats with it are alike,
/// so each of them would crash two.
#[test]
fn chats_with_a_message_that_crashes_workers_are_refused_at_every_entry() {
    let site = full_site(4, 3);
    for (host, _) in &site.engines {
        host.switch.set(Fault {
            crash_on: Some("poison".into()),
            ..Fault::default()
        });
    }
    let ask = |number: usize, briefing: &str| {
        let question = format!("question {number}");
        let messages = ["common", briefing, question.as_str()];
        site.chat(number % 3, "red", "notes", &messages).unwrap()
    };
    for number in 0..9 {
        let answer = ask(number, "poison");
        assert_eq!(answer.status, 422, "{}", answer.body);
        assert!(crashes(&site) <= MAX_MESSAGE_CRASHES, "after {number}");
    }
    let before = crashes(&site);
    site.wait_for_model("red", "notes");
    for number in 9..12 {
        let answer = ask(number, "poison");
        assert_eq!(
            (answer.status, answer.json()["run"].as_str()),
            (422, Some("not_run"))
        );
        assert_eq!(ask(number, "harmless").status, 200);
    }
    assert_eq!(crashes(&site), before);
}

fn crashes(site: &Site) -> u64 {
    let engines = site.engines.iter();
    let restarts = engines.map(|(_, engine)| {
        engine.memory().lock().unwrap().report()["incarnation"]
            .as_u64()
            .unwrap()
            - 1
    });
    restarts.sum()
}

#[test]
fn a_model_is_loaded_again_after_its_engines_crashed() {
    let site = full_site(2, 2);
    for (_, engine) in &site.engines {
        engine.crash();
    }
    site.wait_until("answers again", || {
        let answer = site.ask(0, "red", "notes", "reel", 3);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    assert_eq!(site.breaches(), 0);
}

/// Models change versions on engines that are nearly full, while orders come twice and late, the
/// placer that holds the lease is frozen and thawed, and engines crash.
#[test]
fn memory_is_never_overcommitted_and_every_model_stays_reachable() {
    let engines = vec![small(300, false), small(300, true), small(300, false)];
    let site = Site::start(Shape {
        placers: 2,
        engines,
        ..Shape::default()
    });
    for (host, _) in &site.engines {
        host.switch.set(Fault {
            repeat_orders_after_ms: Some(700),
            ..Fault::default()
        });
    }
    site.set_up(&TEAMS, &[("a", 100), ("b", 100), ("c", 100), ("d", 100)]);
    for model in ["a", "b", "c", "d"] {
        site.wait_for_model("red", model);
    }
    for round in 2..6 {
        let model = json!({"version": format!("v{round}"), "size": 100});
        site.set("site", &json!({"models/a": model, "models/b": model}));
        let holder = usize::from(site.dump(Role::Placer, 1)["state"]["holds_lease"] == true);
        site.placers[holder].signal("STOP");
        std::thread::sleep(Duration::from_secs(4));
        site.placers[holder].signal("CONT");
        if round == 4 {
            site.engines[0].1.crash();
        }
        for model in ["a", "b", "c", "d"] {
            site.wait_for_model("red", model);
        }
    }
    assert_eq!(site.breaches(), 0);
}

/// All entries are restarted one after the other under load.
#[test]
fn a_rolling_restart_cuts_no_request() {
    let mut site = full_site(2, 3);
    let addresses: Vec<_> = (0..3).map(|at| site.callers(at)).collect();
    let until = Instant::now() + Duration::from_secs(8);
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let addresses = addresses.clone();
            std::thread::spawn(move || ask_like_a_balancer(caller, &addresses, until))
        })
        .collect();
    for at in 0..3 {
        site.entries[at].signal("TERM");
        let status = site.entries[at].wait(Duration::from_secs(20));
        assert!(status.is_some_and(|status| status.success()));
        site.entries[at] = site.launch(Role::Entry, at);
        site.wait_until("ready", || site.is_ready(Role::Entry, at));
    }
    for caller in callers {
        let seen = caller.join().unwrap();
        assert!(seen.get(&200).copied().unwrap_or(0) > 10, "{seen:?}");
        assert_eq!(seen.len(), 1, "{seen:?}");
    }
}

/// Sends to entries that were ready 100 ms ago, as the platform's balancer does; counts statuses,
/// 1 for an answer that was not whole.
fn ask_like_a_balancer(
    caller: usize,
    addresses: &[std::net::SocketAddr],
    until: Instant,
) -> BTreeMap<u16, usize> {
    let mut seen = BTreeMap::new();
    let mut turn = caller;
    while Instant::now() < until {
        turn += 1;
        let address = addresses[turn % addresses.len()];
        let ready = standins::client::call("GET", address, "/ready", &[], "");
        if !ready.is_ok_and(|ready| ready.status == 200) {
            continue;
        }
        std::thread::sleep(Duration::from_millis(100));
        let prompt = format!("caller {caller} turn {turn}");
        let body = standins::site::completion("notes", &prompt, 10, false);
        let headers = [("Authorization", "Bearer red-key")];
        let answer = standins::client::call("POST", address, "/v1/completions", &headers, &body);
        let status = match answer {
            Ok(answer) if answer.status != 200 => answer.status,
            Ok(answer) if answer.json()["choices"][0]["text"] == expected(&prompt, 10) => 200,
            _ => 1,
        };
        *seen.entry(status).or_default() += 1;
    }
    seen
}
