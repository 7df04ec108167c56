//! Measures what each duty costs as the site grows: processor time, bytes and memory, at three
//! sizes each. `docs/CAPACITY.md` is worked out from what this prints.

use poplarseam::decide::demand::Demand;
use poplarseam::decide::dispatch::{Arrival, Dispatcher, End};
use poplarseam::decide::ledger::{Engine, Ledger, Record, Report};
use poplarseam::decide::member::{Member, Name, Role, Roster, Timeouts};
use poplarseam::decide::place::{Candidate, Planner, Requirement};
use poplarseam::decide::rollout::{Entry, Rollout, Snapshot};
use poplarseam::decide::route::Location;
use poplarseam::decide::share::{Allocation, Share};
use poplarseam::decide::suspect::{Fingerprint, Registry};
use poplarseam::wire::generated::message::Body;
use poplarseam::wire::generated::{Count, Heartbeat, Message};
use poplarseam::wire::key::Key;
use poplarseam::world::artifact::Artifact;
use poplarseam::world::catalog::{Catalog, Subtree};
use poplarseam::world::contract::{Class, Placement, Weighing, Worker};
use poplarseam::world::id;
use poplarseam::world::table::{Row, Txn};
use poplarseam::world::unit::{Bytes, Incarnation, Position, Rate, Revision, Tokens};
use prost::Message as _;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time spent on each figure.
const TIME: Duration = Duration::from_millis(300);

fn main() {
    println!(
        "{:44} {:>10} {:>14} {:>12}",
        "duty", "size", "time each", "bytes"
    );
    for peers in [30, 300, 3000] {
        heartbeat(peers);
    }
    for workers in [100, 1000, 10_000] {
        route(workers);
    }
    for workers in [100, 300, 1000] {
        plan(workers);
    }
    for models in [130, 400, 1300] {
        settings(models);
    }
    for instances in [10, 100, 1000] {
        share(instances);
    }
    for records in [100, 1000, 10_000] {
        verdicts(records);
    }
    claim();
}

/// Time of one call, over as many as fit.
fn time(mut call: impl FnMut()) -> Duration {
    call();
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < TIME {
        call();
        count += 1;
    }
    begun.elapsed() / count
}

fn show(duty: &str, size: usize, each: Duration, bytes: usize) {
    let micros = each.as_secs_f64() * 1e6;
    println!("{duty:44} {size:>10} {micros:>11.2} us {bytes:>12}");
}

fn name<T: std::str::FromStr<Err = poplarseam::Error>>(letter: &str, number: usize) -> T {
    format!("{letter}{number}").parse().expect("a name")
}

fn member(number: usize) -> Member {
    Member {
        name: Name {
            instance: name("instance-", number),
            role: Role::Entry,
        },
        incarnation: Incarnation(1),
        address: "127.0.0.1:7000".parse().expect("an address"),
        data_centre: name("dc", number % 9),
        position: Position(1),
        leaving: false,
    }
}

/// One heartbeat that counts requests at ten workers: opened, checked and taken in.
fn heartbeat(peers: usize) {
    let own = (0..10)
        .map(|at| Count {
            name: format!("worker-{at}"),
            count: 3,
        })
        .collect();
    let heartbeat = Heartbeat {
        instance: "instance-123".into(),
        role: "entry".into(),
        address: "127.0.0.1:7000".into(),
        data_centre: "ishikari-a".into(),
        own,
        ..Heartbeat::default()
    };
    let message = Message {
        body: Some(Body::Heartbeat(heartbeat)),
    };
    let bytes = message.encode_to_vec();
    let key: Key = "0123456789abcdef".parse().expect("a key");
    let tag = key.sign(&[&[0; 8], &bytes]);
    let mut roster = Roster::new(Timeouts::default());
    for number in 0..peers {
        roster.on_heartbeat(Duration::ZERO, member(number));
    }
    let mut number = 0;
    let each = time(|| {
        number = (number + 1) % peers;
        assert!(key.verify(&[&[0; 8], &bytes], &tag));
        let _ = Message::decode(bytes.as_slice());
        roster.on_heartbeat(Duration::ZERO, member(number));
    });
    show(
        "membership: take a heartbeat",
        peers,
        each,
        bytes.len() + tag.len() + 16,
    );
    let each = time(|| assert_eq!(roster.recent_members(Duration::ZERO).count(), peers));
    show(
        "membership: look at all members",
        peers,
        each,
        peers * size_of::<Member>(),
    );
}

fn artifact(number: usize) -> Artifact {
    format!("site/model-{number}@v1")
        .parse()
        .expect("an artifact")
}

fn contract() -> Worker {
    let value = json!({
        "address": "127.0.0.1:1", "data_centre": "dc", "region": "r",
        "memory": 80_000_000_000_u64, "batch": 64,
    });
    serde_json::from_value(value).expect("a contract")
}

/// A request that some thirty workers could take, as at the size designed for, and a report.
fn route(workers: usize) {
    let place = Location {
        data_centre: name("dc", 0),
        region: name("r", 0),
    };
    let mut dispatcher = Dispatcher::new(name("i", 0), place);
    let contracts: BTreeMap<id::Worker, Worker> =
        (0..workers).map(|at| (name("w", at), contract())).collect();
    dispatcher.on_contracts(Duration::ZERO, &contracts);
    let txn = Txn::default().put("share", 0, json!({"parts": {"i0": 1e9}}));
    dispatcher
        .share(Duration::ZERO, &name("t", 0))
        .on_committed(Duration::ZERO, &txn);
    let models = workers / 8;
    let report = |at: usize| {
        let held = (0..4).map(|slot| (artifact((at + slot * 3) % models), Bytes(1)));
        Report {
            incarnation: Incarnation(1),
            resident: held.collect(),
            ..Report::default()
        }
    };
    for at in 0..workers {
        dispatcher.on_report(Duration::ZERO, &name("w", at), report(at));
    }
    let text = json!(report(0)).to_string();
    let mut at = 0;
    let each = time(|| {
        at = (at + 1) % workers;
        let report = serde_json::from_str(&text).expect("a report");
        dispatcher.on_report(Duration::ZERO, &name("w", at), report);
    });
    show(
        "load spread: take an engine's report",
        workers,
        each,
        text.len(),
    );
    let mut number = 0;
    let each = time(|| {
        number += 1;
        let arrival = arrival(number, models);
        let request = arrival.request.clone();
        dispatcher.on_arrival(Duration::ZERO, arrival);
        dispatcher.on_end(Duration::ZERO, &request, End::Done);
    });
    show("routing: decide one request", workers, each, 0);
}

fn arrival(number: usize, models: usize) -> Arrival {
    Arrival {
        request: name("r", number),
        team: name("t", 0),
        weight: 1,
        class: Class::Routine,
        artifact: artifact(number % models),
        fingerprint: Fingerprint(number as u64),
        parts: Vec::new(),
        prefix: number as u64 % 100,
        prompt: Tokens(100),
        output: Tokens(100),
        deadline: Duration::from_secs(10),
        resume_worker: None,
    }
}

/// One round of the planner over workers with eight places each.
fn plan(workers: usize) {
    let models = workers / 8;
    let engine = Engine {
        memory: Bytes(8),
        checks_fences: true,
        order_delay: Duration::from_secs(10),
    };
    let ledgers: Vec<Ledger> = (0..workers)
        .map(|at| {
            let mut ledger = Ledger::new("w", engine, Record::default(), Duration::ZERO);
            let held = (0..8).map(|slot| (artifact((at * 7 + slot) % models), Bytes(1)));
            let report = Report {
                resident: held.collect(),
                ..Report::default()
            };
            if let Some(book) = ledger.on_report(Duration::ZERO, &report) {
                ledger.on_committed(Duration::ZERO, book);
            }
            ledger
        })
        .collect();
    let wanted: Vec<Requirement> = (0..models)
        .map(|at| Requirement {
            artifact: artifact(at),
            size: Bytes(1),
        })
        .collect();
    let mut demand = Demand::default();
    let rates = (0..models).map(|at| (artifact(at), if at < 3 { 5000.0 } else { 10.0 }));
    demand.on_rates(Duration::ZERO, Weighing::Attainment, &rates.collect());
    let sites: Vec<Candidate<'_>> = ledgers
        .iter()
        .enumerate()
        .map(|(at, ledger)| Candidate {
            worker: name("w", at),
            ledger,
            throughput: Rate(100.0),
            accepts_loads: true,
        })
        .collect();
    let policy = Placement::default();
    let now = Duration::from_mins(1);
    let begun = Instant::now();
    let moves = Planner::new(now, &policy, &wanted, &demand, &sites)
        .plan(2)
        .len();
    show(
        &format!("placement: one round ({moves} moves)"),
        workers,
        begun.elapsed(),
        0,
    );
    let book = json!(ledgers[0].record()).to_string().len();
    show(
        "placement: one worker's ledger row",
        workers,
        Duration::ZERO,
        book,
    );
}

fn subtree(models: usize) -> Subtree {
    let model = json!({"version": "v1", "size": 80_000_000_000_u64});
    let entries = (0..models).map(|at| (format!("models/model-{at}"), model.clone()));
    Subtree {
        revision: Revision(1),
        entries: entries.collect(),
    }
}

/// A change that comes into force in a process.
fn settings(models: usize) {
    let subtrees = BTreeMap::from([("site".to_owned(), subtree(models))]);
    let snapshot = Snapshot {
        position: Position(1),
        subtrees,
    };
    let whole = json!(snapshot).to_string().len();
    let mut rollout = Rollout::default();
    rollout.on_snapshot(snapshot.clone());
    let mut position = 1;
    let entry = |position: u64| Entry {
        position: Position(position),
        owner: "site".into(),
        revision: Revision(position),
        change: "0123456789abcdef".into(),
        set: BTreeMap::from([("models/model-1".into(), json!({"version": "v2", "size": 1}))]),
    };
    let each = time(|| {
        position += 1;
        rollout.on_entries([entry(position)]);
        let _ = rollout.catalog();
    });
    show(
        "settings: bring one change into force",
        models,
        each,
        json!(entry(1)).to_string().len(),
    );
    let each = time(|| {
        let _ = Catalog::build(Position(1), snapshot.subtrees.clone());
    });
    show("settings: build the catalog anew", models, each, whole);
}

/// One adjustment of a part, and its row.
fn share(instances: usize) {
    let parts = (0..instances)
        .map(|at| (name("instance-", at), 1.0))
        .collect();
    let division = Allocation { parts };
    let value = json!(division);
    let bytes = value.to_string().len();
    let row = Row {
        key: "share/t".into(),
        version: 1,
        value,
    };
    let demand = (0..instances)
        .map(|at| (name("instance-", at), 1.0))
        .collect();
    let limit = Rate(1e6);
    let each = time(|| {
        let mut share = Share::new(name("instance-", 0), Duration::ZERO);
        let _ = share.adjust(
            Duration::ZERO,
            "share/t",
            Some(&row),
            limit,
            &demand,
            |_| true,
        );
    });
    show("limits: adjust one team's part", instances, each, bytes);
}

fn verdicts(records: usize) {
    let mut registry = Registry::default();
    for number in 0..records {
        registry.strike(Duration::ZERO, Fingerprint(number as u64));
    }
    let mut number = 0;
    let each = time(|| {
        number = (number + 1) % records as u64;
        let _ = registry.status(Fingerprint(number));
    });
    show("crash records: look one up", records, each, records * 48);
}

fn claim() {
    let record = json!({
        "attempt": {"request": "instance-1.0123456789a.1f", "instance": "instance-1", "incarnation": 1_u64},
        "digest": "0".repeat(64), "outcome": Value::Null,
    });
    let key = format!("claim/team/{}", "0".repeat(64));
    let bytes = json!(Txn::default().put(key, 0, record)).to_string().len();
    show("claims: one insert", 1, Duration::ZERO, bytes);
}
