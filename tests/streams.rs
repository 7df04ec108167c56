//! A caller gets the whole answer to its own request, whatever happens on the way.

use rstest::rstest;
use standins::client::Event;
use standins::engine::Config;
use standins::fault::Fault;
use standins::site::{Shape, Site, expected};
use std::time::Duration;

const TOKENS: u64 = 30;
const TEAMS: [(&str, f64); 2] = [("red", 1000.0), ("blue", 1000.0)];

fn site(engines: usize) -> Site {
    site_of(&vec![""; engines])
}

/// A site whose engines have these software versions.
fn site_of(versions: &[&'static str]) -> Site {
    let engines = versions.iter().map(|software| Config {
        token: Duration::from_millis(10),
        software,
        ..Config::default()
    });
    let site = Site::start(Shape {
        engines: engines.collect(),
        ..Shape::default()
    });
    site.set_up(&TEAMS, &[("notes", 1000)]);
    site.wait_for_model("red", "notes");
    site
}

fn text(events: impl IntoIterator<Item = Event>) -> String {
    events.into_iter().map(|event| event.text()).collect()
}

#[rstest]
#[case::cut(Fault { cut_stream_after: Some(3), ..Fault::default() })]
#[case::doubled(Fault { double_tokens: true, ..Fault::default() })]
#[case::crossed(Fault { cross_answers: true, ..Fault::default() })]
#[case::all(Fault {
    cut_stream_after: Some(5), double_tokens: true, cross_answers: true, ..Fault::default()
})]
fn an_answer_is_whole_though_the_engine_errs(#[case] fault: Fault) {
    let site = site(2);
    for (host, _) in &site.engines {
        host.switch.set(fault.clone());
    }
    let events = site
        .stream(0, "red", "notes", "reel 1", TOKENS, None)
        .unwrap();
    assert_eq!(text(events), expected("reel 1", TOKENS));
    let whole = site.ask(1, "red", "notes", "reel 2", TOKENS).unwrap();
    assert_eq!(
        whole.json()["choices"][0]["text"],
        expected("reel 2", TOKENS)
    );
}

#[test]
fn an_engine_that_answers_nonsense_hurts_nobody_else() {
    let site = site(1);
    site.engines[0].0.switch.set(Fault {
        nonsense: true,
        ..Fault::default()
    });
    let answer = site.ask(0, "red", "notes", "reel 1", TOKENS).unwrap();
    assert_eq!(
        (answer.status, answer.json()["run"].as_str()),
        (503, Some("ran"))
    );
    site.engines[0].0.switch.set(Fault::default());
    site.wait_until("answers again", || {
        site.ask(0, "red", "notes", "reel 2", 1)
            .is_ok_and(|answer| answer.status == 200)
    });
}

#[test]
fn a_stream_goes_on_at_another_worker_when_its_engine_crashes() {
    let site = site(2);
    site.wait_until("two copies", || holders(&site).len() == 2 || load(&site));
    let mut events = site
        .stream(0, "red", "notes", "reel 3", TOKENS, None)
        .unwrap();
    let seen: Vec<Event> = events.by_ref().take(5).collect();
    let busy = site
        .engines
        .iter()
        .find(|(_, engine)| engine.memory().lock().unwrap().used() > 0);
    let runs = |at: usize| site.engines[at].1.runs().len();
    let at = usize::from(runs(1) > runs(0));
    assert!(busy.is_some());
    site.engines[at].1.crash();
    assert_eq!(
        text(seen.into_iter().chain(events)),
        expected("reel 3", TOKENS)
    );
}

/// Guards against a stream with text of two software versions: whichever engine begins it, the one of
/// the other version must not go on.
#[test]
fn a_stream_does_not_go_on_at_another_software_version() {
    let site = site_of(&["v1", "v2"]);
    site.wait_until("two copies", || holders(&site).len() == 2 || load(&site));
    let runs = || [0, 1].map(|at: usize| site.engines[at].1.runs().len());
    let before = runs();
    let mut events = site
        .stream(0, "red", "notes", "reel 9", TOKENS, None)
        .unwrap();
    let seen: Vec<Event> = events.by_ref().take(5).collect();
    let after = runs();
    let at = usize::from(after[1] > before[1]);
    site.engines[at].1.crash();
    let rest: Vec<Event> = events.collect();
    assert_eq!(
        runs()[1 - at],
        before[1 - at],
        "the other engine ran it too"
    );
    let received = text(seen.into_iter().chain(rest));
    assert!(
        expected("reel 9", TOKENS).starts_with(&received),
        "{received}"
    );
}

fn holders(site: &Site) -> Vec<usize> {
    let engines = site.engines.iter().enumerate();
    let holding = engines
        .filter(|(_, (_, engine))| engine.memory().lock().unwrap().is_resident("site/notes@v1"));
    holding.map(|(at, _)| at).collect()
}

/// Asks so much that the placer adds a copy.
fn load(site: &Site) -> bool {
    std::thread::scope(|scope| {
        for _ in 0..64 {
            scope.spawn(|| site.ask(0, "red", "notes", "load", TOKENS));
        }
    });
    false
}

#[test]
fn a_stream_goes_on_at_another_entry() {
    let mut site = site(1);
    let mut events = site
        .stream(0, "red", "notes", "reel 4", TOKENS, None)
        .unwrap();
    let seen: Vec<Event> = events.by_ref().take(5).collect();
    site.entries[0].kill();
    let last = &seen[4].id;
    let rest = site
        .stream(1, "red", "notes", "reel 4", TOKENS, Some(last))
        .unwrap();
    assert_eq!(
        text(seen.iter().cloned().chain(rest)),
        expected("reel 4", TOKENS)
    );
}

#[rstest]
#[case::team("blue", "reel 5")]
#[case::body("red", "reel 6")]
fn an_event_id_opens_nobody_elses_stream(#[case] team: &str, #[case] prompt: &str) {
    let site = site(1);
    let events = site
        .stream(0, "red", "notes", "reel 5", TOKENS, None)
        .unwrap();
    let id = events
        .map(|event| event.id)
        .find(|id| !id.is_empty())
        .unwrap();
    let other = site
        .stream(1, team, "notes", prompt, TOKENS, Some(&id))
        .unwrap();
    assert_eq!(other.status, 400);
}

#[test]
fn an_engine_is_told_when_the_caller_is_gone() {
    let site = site(1);
    let mut events = site
        .stream(0, "red", "notes", "reel 7", 10_000, None)
        .unwrap();
    events.next();
    drop(events);
    site.wait_until("cancelled", || {
        let address = site.engines[0].0.address;
        let report = standins::client::call("GET", address, "/report", &[], "").unwrap();
        report.json()["active"] == 0
    });
}

/// An engine that closes connections before it answers may have run the request, or not.
#[test]
fn a_request_that_may_have_run_is_not_called_not_run() {
    let site = site(1);
    let fault = Fault {
        drop_before: 1000,
        only: Some("reel 8".into()),
        ..Fault::default()
    };
    site.engines[0].0.switch.set(fault);
    let answer = site.ask(0, "red", "notes", "reel 8", 1).unwrap();
    assert_eq!(
        (answer.status, answer.json()["run"].as_str()),
        (503, Some("unknown"))
    );
}
