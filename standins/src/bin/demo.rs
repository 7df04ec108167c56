//! Shows the whole path: a site on loopback addresses, from the first setting to a stop.
//!
//! `demo stay SECONDS` starts the same site, loads a model and leaves it there to be tried.

use poplarseam::wire::key::digest;
use serde_json::{Value, json};
use standins::engine::Config;
use standins::site::{OPERATOR_KEY, Role, Shape, Site, caller_key, expected, operator_key};
use std::time::{Duration, Instant};

const TOKENS: u64 = 40;

fn main() {
    let engines = vec![
        Config {
            token: Duration::from_millis(20),
            ..Config::default()
        };
        4
    ];
    let shape = Shape {
        entries: 3,
        placers: 2,
        engines,
        ..Shape::default()
    };
    let started = Instant::now();
    let mut site = Site::start(shape);
    let step = |text: &str| println!("{:6.2} s  {text}", started.elapsed().as_secs_f64());
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [stay, seconds] = arguments.as_slice()
        && stay == "stay"
    {
        return leave_up(&site, seconds.parse().expect("a number of seconds"));
    }
    step("3 entries, 2 placers, 1 settings process, 4 engines, 1 plain service");
    create(&site);
    step("team, model, adapter and version created through settings");
    load(&site);
    step("the placer loaded the model and its adapter");
    stream(&site);
    step("a chat answer was streamed token by token, whole");
    hold(&site);
    step("a hold sent twice to two entries ran once, both got the same answer");
    read(&site);
    step("an idempotent read was answered");
    let wait = limit(&site);
    step(&format!(
        "past the limit: refused at once, not_run, Retry-After {wait} s"
    ));
    change(&site);
    step("a changed setting is in force on every process");
    kill(&mut site);
    step("an entry was killed with a stream open; another went on with it, whole");
    stop(&mut site);
    step("an entry stopped gracefully while a stream ran, uncut");
    println!("demo: all steps seen");
}

fn leave_up(site: &Site, seconds: u64) {
    create(site);
    load(site);
    println!("export ENTRY={}", site.callers(0));
    println!("export OTHER_ENTRY={}", site.callers(1));
    println!("export ENTRY_OPERATORS={}", site.operators(Role::Entry, 0));
    println!(
        "export POPLARSEAM_ADDRESS={}",
        site.operators(Role::Settings, 0)
    );
    println!("export POPLARSEAM_OPERATOR_KEY={OPERATOR_KEY}");
    println!("export KEY={}", caller_key("assembly"));
    std::thread::sleep(Duration::from_secs(seconds));
}

fn create(site: &Site) {
    site.set(
        "site",
        &site.contracts(&[("assembly", 200.0), ("waterworks", 3.0)]),
    );
    let model = json!({"version": "v1", "size": 200_000_000});
    site.set("site", &json!({ "models/notes": model }));
    let adapter = json!({"model": "notes", "version": "v1", "size": 5_000_000});
    let key = format!("keys/{}", digest(caller_key("assembly").as_bytes()));
    site.set(
        "assembly",
        &json!({ "adapters/feeder": adapter, key: {"class": "premium"} }),
    );
    let key = format!("keys/{}", digest(caller_key("waterworks").as_bytes()));
    site.set("waterworks", &json!({ key: {} }));
}

fn load(site: &Site) {
    site.wait_until("model and adapter loaded", || {
        let reports = site
            .engines
            .iter()
            .map(|(_, engine)| engine.memory().lock().unwrap().report());
        let resident: Vec<Value> = reports.map(|report| report["resident"].clone()).collect();
        let holds = |artifact: &str| resident.iter().any(|held| held.get(artifact).is_some());
        holds("site/notes@v1") && holds("site/notes@v1+assembly/feeder@v1")
    });
    site.wait_for_model("assembly", "notes:feeder");
}

fn stream(site: &Site) {
    let begun = Instant::now();
    let events = site
        .stream(0, "assembly", "notes:feeder", "reel 7", TOKENS, None)
        .unwrap();
    let mut text = String::new();
    let mut first = None;
    for event in events.filter(|event| event.data != "[DONE]") {
        first.get_or_insert(begun.elapsed());
        text.push_str(&event.text());
    }
    assert_eq!(text, expected("reel 7", TOKENS));
    let whole = begun.elapsed();
    assert!(
        first.is_some_and(|first| first * 2 < whole),
        "tokens came one by one"
    );
}

fn hold(site: &Site) {
    let send = |entry| site.call_service(entry, "assembly", "hold", "reel-7", "{\"reel\":7}");
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| send(0));
        let second = scope.spawn(|| send(1));
        (
            first.join().unwrap().unwrap(),
            second.join().unwrap().unwrap(),
        )
    });
    assert_eq!((first.status, &first.body), (200, &second.body));
    assert_eq!(site.runs.lock().unwrap()["reel-7"], 1);
}

fn read(site: &Site) {
    let answer = site.call_service(1, "assembly", "read", "", "{}").unwrap();
    assert_eq!(answer.status, 200);
}

fn limit(site: &Site) -> String {
    for _ in 0..20 {
        let begun = Instant::now();
        let answer = site.ask(0, "waterworks", "notes", "hello", 1).unwrap();
        if answer.status == 429 {
            assert_eq!(answer.json()["run"], "not_run");
            assert!(begun.elapsed() < Duration::from_millis(500));
            return answer.headers["retry-after"].clone();
        }
    }
    panic!("nothing was refused");
}

fn change(site: &Site) {
    let contract =
        json!({"operator_key": digest(operator_key("waterworks").as_bytes()), "limit": 50.0});
    site.set("site", &json!({ "teams/waterworks": contract }));
}

fn kill(site: &mut Site) {
    let mut events = site
        .stream(1, "assembly", "notes", "lot 9", TOKENS, None)
        .unwrap();
    let seen: Vec<_> = events.by_ref().take(10).collect();
    site.entries[1].kill();
    let last = seen.last().unwrap().id.clone();
    let rest = site
        .stream(2, "assembly", "notes", "lot 9", TOKENS, Some(&last))
        .unwrap();
    let events = seen.into_iter().chain(rest);
    let text: String = events.map(|event| event.text()).collect();
    assert_eq!(text, expected("lot 9", TOKENS));
}

fn stop(site: &mut Site) {
    let mut events = site
        .stream(2, "assembly", "notes", "lot 10", TOKENS, None)
        .unwrap();
    let first = events.next().unwrap();
    site.entries[2].signal("TERM");
    let text: String = std::iter::once(first)
        .chain(events)
        .map(|event| event.text())
        .collect();
    assert_eq!(text, expected("lot 10", TOKENS));
    let status = site.entries[2].wait(Duration::from_secs(10));
    assert!(status.is_some_and(|status| status.success()));
    assert!(!site.is_ready(Role::Entry, 2));
}
