//! An accepted change of settings is in force on all processes within seconds and is never
//! reverted.

use serde_json::{Value, json};
use standins::client;
use standins::fault::Fault;
use standins::site::{OPERATOR_KEY, Role, Shape, Site, operator_key};
use std::process::Command;
use std::time::{Duration, Instant};

fn site() -> Site {
    let site = Site::start(Shape {
        entries: 3,
        settings: 2,
        ..Shape::default()
    });
    site.set_up(&[("red", 1000.0)], &[]);
    site
}

fn model(version: &str) -> Value {
    json!({"models/notes": {"version": version, "size": 1}})
}

fn patch(site: &Site, at: usize, headers: &[(&str, &str)], change: &Value) -> client::Answer {
    let bearer = format!("Bearer {}", operator_key("red"));
    let mut all_headers = vec![("Authorization", bearer.as_str())];
    all_headers.extend_from_slice(headers);
    let address = site.operators(Role::Settings, at);
    client::call(
        "PATCH",
        address,
        "/settings/red",
        &all_headers,
        &change.to_string(),
    )
    .unwrap()
}

fn revision(site: &Site, at: usize) -> u64 {
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("Authorization", bearer.as_str())];
    let address = site.operators(Role::Settings, at);
    let answer = client::call("GET", address, "/settings/red", &headers, "").unwrap();
    answer.json()["revision"].as_u64().unwrap()
}

#[test]
fn of_concurrent_changes_one_succeeds_and_the_others_get_412() {
    let site = site();
    let current = revision(&site, 0).to_string();
    let change = |at: usize| {
        let headers = [("If-Match", current.as_str())];
        patch(&site, at % 2, &headers, &model(&format!("v{at}"))).status
    };
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let change = &change;
        let operators: Vec<_> = (0..6).map(|at| scope.spawn(move || change(at))).collect();
        operators
            .into_iter()
            .map(|operator| operator.join().unwrap())
            .collect()
    });
    let count = |status| statuses.iter().filter(|other| **other == status).count();
    assert_eq!((count(200), count(412)), (1, 5), "{statuses:?}");
}

#[test]
fn a_repeated_change_id_returns_the_first_result() {
    let site = site();
    site.table.switch.set(Fault {
        drop_after: 1,
        only: Some("\"log-head\",\"version\"".into()),
        ..Fault::default()
    });
    let headers = [("Change-Id", "change-1")];
    let first = patch(&site, 0, &headers, &model("v1"));
    let again = patch(&site, 1, &headers, &model("v1"));
    assert_eq!(
        (first.status, again.status),
        (200, 200),
        "{} {}",
        first.body,
        again.body
    );
    assert_eq!(first.body, again.body);
    let other = patch(&site, 1, &headers, &model("v2"));
    assert_eq!(other.status, 422);
}

#[test]
fn a_change_during_an_outage_is_refused_and_nothing_is_changed() {
    let site = site();
    let before = revision(&site, 0);
    site.table.switch.set(Fault {
        outage: true,
        ..Fault::default()
    });
    let answer = patch(&site, 0, &[], &model("v1"));
    assert_eq!(answer.status, 503);
    site.table.switch.set(Fault::default());
    assert_eq!(revision(&site, 0), before);
}

#[test]
fn a_change_is_in_force_everywhere_within_ten_seconds() {
    const MAX_ROLLOUT: Duration = Duration::from_secs(10);
    let site = site();
    for version in ["v1", "v2", "v3"] {
        let answer = patch(&site, 1, &[], &model(version));
        let position = answer.json()["position"].as_u64().unwrap();
        let accepted = Instant::now();
        site.wait_until("in force", || site.is_in_force(position));
        assert!(accepted.elapsed() < MAX_ROLLOUT);
    }
}

/// A process that starts while the table service is down gets the settings from its peers and
/// serves.
#[test]
fn a_process_started_during_an_outage_has_the_newest_settings() {
    let mut site = site();
    let answer = patch(&site, 0, &[], &model("v7"));
    let position = answer.json()["position"].as_u64().unwrap();
    site.wait_until("in force", || site.is_in_force(position));
    site.table.switch.set(Fault {
        outage: true,
        ..Fault::default()
    });
    site.entries[1].kill();
    site.entries[1] = site.launch(Role::Entry, 1);
    site.wait_until("ready again", || site.is_ready(Role::Entry, 1));
    assert_eq!(site.dump(Role::Entry, 1)["position"], position);
}

/// Guards against a process that returns to older settings after a restart.
#[test]
fn positions_never_decrease_across_restarts() {
    let mut site = site();
    let mut highest = 0;
    for round in 0..6 {
        let answer = patch(&site, round % 2, &[], &model(&format!("v{round}")));
        let position = answer.json()["position"].as_u64().unwrap();
        site.wait_until("in force", || site.is_in_force(position));
        site.entries[0].kill();
        site.entries[0] = site.launch(Role::Entry, 0);
        site.wait_until("ready again", || site.is_ready(Role::Entry, 0));
        let seen = site.dump(Role::Entry, 0)["position"].as_u64().unwrap();
        assert!(
            seen >= position && seen >= highest,
            "{seen} after {position}"
        );
        highest = seen;
    }
}

#[test]
fn the_command_line_reads_changes_and_waits_for_settings() {
    let site = site();
    let address = site.operators(Role::Settings, 0).to_string();
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_poplarseam"))
            .args(["--address", &address, "--key", OPERATOR_KEY])
            .args(arguments)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8([output.stdout, output.stderr].concat()).unwrap(),
        )
    };
    let model = r#"{"version":"v1","size":7}"#;
    let (done, text) = run(&["settings", "set", "red", "models/a", model, "--wait"]);
    assert!(done && text.contains("in force on 6 processes"), "{text}");
    let (done, text) = run(&["settings", "get", "red", "models/a"]);
    assert!(done && text.contains("\"size\": 7"), "{text}");
    let file = std::env::temp_dir().join(format!("poplarseam-apply-{}", std::process::id()));
    std::fs::write(&file, format!("{{\"models/b\":{model}}}")).unwrap();
    let path = file.to_str().unwrap();
    let (done, text) = run(&["settings", "diff", "red", path]);
    assert!(done && text.contains("\"models/a\": null"), "{text}");
    let (done, text) = run(&["settings", "apply", "red", path, "--wait"]);
    assert!(done && text.contains("in force"), "{text}");
    let (done, text) = run(&["settings", "history", "red"]);
    assert!(done && text.contains("models/b"), "{text}");
    let (done, text) = run(&["status"]);
    assert!(done && text.contains("\"health\": \"live\""), "{text}");
    let entry = site.operators(Role::Entry, 0).to_string();
    let (done, text) = run(&["dump", &entry]);
    assert!(done && text.contains("\"dispatcher\""), "{text}");
    let (done, text) = run(&["settings", "set", "red", "cats/a", "1"]);
    assert!(!done && text.contains("unknown kind"), "{text}");
    std::fs::remove_file(&file).unwrap();
}
