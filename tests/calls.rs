//! A call that may not be repeated runs at most once, and `not_run` means not run.

use attohttpc::Method;
use poplarseam::node::client::{Call, Failure};
use rstest::rstest;
use standins::fault::Fault;
use standins::site::{Shape, Site};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

const TEAMS: [(&str, f64); 2] = [("red", 1000.0), ("blue", 1000.0)];

fn site(shape: Shape) -> Site {
    let site = Site::start(shape);
    site.set_up(&TEAMS, &[]);
    site.wait_until("shares given", || {
        (0..site.entries.len()).all(|entry| {
            site.call_service(entry, "red", "read", "", "{}")
                .is_ok_and(|answer| answer.status == 200)
        })
    });
    site.runs.lock().unwrap().clear();
    site
}

fn runs(site: &Site, key: &str) -> u64 {
    site.runs.lock().unwrap().get(key).copied().unwrap_or(0)
}

#[test]
fn the_same_call_at_all_entries_runs_once() {
    let shape = Shape {
        entries: 3,
        work: Duration::from_millis(100),
        ..Shape::default()
    };
    let site = site(shape);
    let answers: Vec<_> = std::thread::scope(|scope| {
        let site = &site;
        let calls = (0..9)
            .map(|at| scope.spawn(move || site.call_service(at % 3, "red", "issue", "k", "{}")));
        let calls: Vec<_> = calls.collect();
        calls
            .into_iter()
            .map(|call| call.join().unwrap().unwrap())
            .collect()
    });
    assert!(
        answers.iter().all(|answer| answer.status == 200),
        "{answers:?}"
    );
    assert!(answers.iter().all(|answer| answer.body == answers[0].body));
    assert_eq!(runs(&site, "k"), 1);
}

#[test]
fn a_key_belongs_to_one_call_of_one_team() {
    let site = site(Shape::default());
    let first = site
        .call_service(0, "red", "issue", "k", "{\"reel\":1}")
        .unwrap();
    let other = site
        .call_service(1, "red", "issue", "k", "{\"reel\":2}")
        .unwrap();
    assert_eq!((first.status, other.status), (200, 422));
    assert_eq!(other.json()["run"], "not_run");
    let blue = site
        .call_service(1, "blue", "issue", "k", "{\"reel\":2}")
        .unwrap();
    assert_eq!(blue.status, 200);
    assert!(
        !blue.body.contains("\"run\":1"),
        "another team's outcome: {}",
        blue.body
    );
}

#[rstest]
#[case::insert_answer_lost(Fault { drop_after: 1, ..Fault::default() })]
#[case::insert_lost(Fault { drop_before: 1, ..Fault::default() })]
#[case::three_answers_lost(Fault { drop_after: 3, ..Fault::default() })]
#[case::slow(Fault { delay_ms: 300, ..Fault::default() })]
fn a_call_runs_once_though_the_store_errs(#[case] fault: Fault) {
    let site = site(Shape::default());
    site.table.switch.set(Fault {
        only: Some("claim/".into()),
        ..fault
    });
    let first = site.call_service(0, "red", "issue", "k", "{}").unwrap();
    let again = site.call_service(1, "red", "issue", "k", "{}").unwrap();
    assert_eq!(
        (first.status, again.status),
        (200, 200),
        "{} {}",
        first.body,
        again.body
    );
    assert_eq!(runs(&site, "k"), 1);
}

#[test]
fn a_call_during_an_outage_is_not_run_and_runs_later() {
    let site = site(Shape::default());
    site.table.switch.set(Fault {
        outage: true,
        ..Fault::default()
    });
    let answer = site.call_service(0, "red", "issue", "k", "{}").unwrap();
    assert_eq!(
        (answer.status, answer.json()["run"].as_str()),
        (503, Some("not_run"))
    );
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(runs(&site, "k"), 0);
    site.table.switch.set(Fault::default());
    let answer = site.call_service(1, "red", "issue", "k", "{}").unwrap();
    assert_eq!((answer.status, runs(&site, "k")), (200, 1));
}

#[test]
fn a_lost_answer_is_unknown_and_never_sent_again() {
    let site = site(Shape {
        services: 2,
        ..Shape::default()
    });
    for service in &site.services {
        service.switch.set(Fault {
            drop_after: 1,
            ..Fault::default()
        });
    }
    for entry in [0, 1] {
        let answer = site.call_service(entry, "red", "issue", "k", "{}").unwrap();
        assert_eq!(
            (answer.status, answer.json()["run"].as_str()),
            (502, Some("unknown"))
        );
    }
    assert_eq!(runs(&site, "k"), 1);
}

#[test]
fn an_idempotent_call_is_tried_elsewhere() {
    let site = site(Shape {
        services: 2,
        ..Shape::default()
    });
    site.services[0].switch.set(Fault {
        drop_before: 100,
        ..Fault::default()
    });
    for entry in [0, 1] {
        let answer = site.call_service(entry, "red", "read", "", "{}").unwrap();
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn a_call_is_never_doubled_when_its_entry_dies() {
    let mut site = site(Shape {
        work: Duration::from_millis(500),
        ..Shape::default()
    });
    let address = site.callers(0);
    let caller = std::thread::spawn(move || {
        let headers = [
            ("Authorization", "Bearer red-key"),
            ("Idempotency-Key", "k"),
        ];
        standins::client::call("POST", address, "/services/stores/issue", &headers, "{}").is_ok()
    });
    site.wait_until("runs", || runs(&site, "k") == 1);
    site.entries[0].kill();
    assert!(!caller.join().unwrap());
    site.entries[0] = site.launch(standins::site::Role::Entry, 0);
    let answer = site.call_service(1, "red", "issue", "k", "{}").unwrap();
    assert_eq!(answer.json()["run"], "unknown", "{}", answer.body);
    assert_eq!(runs(&site, "k"), 1);
}

/// The entry that runs the call is frozen meanwhile; a repeat elsewhere waits and runs nothing.
#[test]
fn a_call_is_never_doubled_when_its_entry_is_frozen() {
    let site = site(Shape {
        work: Duration::from_millis(500),
        ..Shape::default()
    });
    std::thread::scope(|scope| {
        let first = scope.spawn(|| site.call_service(0, "red", "issue", "k", "{}").unwrap());
        site.wait_until("runs", || runs(&site, "k") == 1);
        site.entries[0].signal("STOP");
        let address = site.callers(1);
        let headers = [
            ("Authorization", "Bearer red-key"),
            ("Idempotency-Key", "k"),
            ("X-Deadline-Ms", "1000"),
        ];
        let path = "/services/stores/issue";
        let repeat = standins::client::call("POST", address, path, &headers, "{}").unwrap();
        assert_eq!(
            (repeat.status, repeat.json()["run"].as_str()),
            (409, Some("unknown"))
        );
        site.entries[0].signal("CONT");
        let first = first.join().unwrap();
        let again = site.call_service(1, "red", "issue", "k", "{}").unwrap();
        assert_eq!((first.status, &first.body), (200, &again.body));
    });
    assert_eq!(runs(&site, "k"), 1);
}

#[test]
fn a_call_without_a_key_is_refused() {
    let site = site(Shape::default());
    let answer = site.call_service(0, "red", "issue", "", "{}").unwrap();
    assert_eq!(
        (answer.status, answer.json()["run"].as_str()),
        (400, Some("not_run"))
    );
}

#[test]
fn a_large_outcome_is_kept_whole() {
    let site = site(Shape::default());
    let body = "{\"pad\":200000}";
    let first = site.call_service(0, "red", "issue", "k", body).unwrap();
    let again = site.call_service(1, "red", "issue", "k", body).unwrap();
    assert_eq!((first.status, &first.body), (200, &again.body));
    assert!(first.body.len() > 200_000);
}

/// Guards against an answer of a server in trouble that callers get although its status says nothing.
#[rstest]
fn an_answer_without_a_valid_status_is_lost(
    #[values("000 Odd", "099 Odd", "1000 Odd", "600 Odd", "700 Odd", "999 Odd")] line: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4_096];
        assert!(stream.read(&mut head).unwrap() > 0);
        let answer = format!("HTTP/1.1 {line}\r\nContent-Length: 4\r\n\r\ntext");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let time_limit = Duration::from_secs(5);
    let answer = Call::new(Method::POST, address, "/issue", "{}", time_limit).send();
    assert!(matches!(answer, Err(Failure::Lost(_))), "{answer:?}");
    server.join().unwrap();
}
