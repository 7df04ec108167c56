//! The same arrivals sent to processes: entries, placers and a settings process before engines
//! that work in real time.

use super::arrivals::{PREFILL, Request, Scenario, TOKEN, draw};
use super::shape::Shape;
use super::summary::TARGET;
use crate::client;
use crate::engine::Config;
use crate::site::{self, Site, expected};
use crate::weights::Limits;
use hdrhistogram::Histogram;
use poplarseam::wire::key::digest;
use poplarseam::world::contract::Class;
use serde::Serialize;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Arrivals before this don't count.
const WARM_UP: Duration = Duration::from_secs(10);

/// Figures of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    pub requests: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Cut, wrong or without an answer.
    pub lost: u64,
    pub moves: u64,
    /// Times that an engine held more than it has.
    pub breaches: u64,
    pub first_token_ms: [u64; 3],
    pub store_reads_per_s: u64,
    pub store_writes_per_s: u64,
}

enum Seen {
    Whole(Duration),
    Refused,
    Lost,
}

/// Sends the first `length` of an experiment's arrivals to a site of processes.
#[must_use]
pub fn run(shape: &Shape, scenario: Scenario, load: f64, seed: u64, length: Duration) -> Figures {
    let site = start(shape);
    let requests = draw(shape, scenario, load, seed);
    let requests: Vec<&Request> = requests
        .iter()
        .filter(|request| request.at < length)
        .collect();
    let (moves, rows, begun) = (moves(&site), counts(&site), Instant::now());
    let outcomes: Mutex<Vec<(Duration, Seen)>> = Mutex::default();
    std::thread::scope(|scope| {
        for (number, request) in requests.iter().enumerate() {
            std::thread::sleep(request.at.saturating_sub(begun.elapsed()));
            let (site, outcomes) = (&site, &outcomes);
            scope.spawn(move || {
                let outcome = send(site, request, number);
                outcomes.lock().unwrap().push((request.at, outcome));
            });
        }
    });
    let after = counts(&site);
    let seconds = begun.elapsed().as_secs().max(1);
    let mut figures = sum_up(&outcomes.into_inner().unwrap());
    figures.moves = self::moves(&site) - moves;
    figures.breaches = site.breaches();
    figures.store_reads_per_s = (after.0 - rows.0) / seconds;
    figures.store_writes_per_s = (after.1 - rows.1) / seconds;
    figures
}

fn start(shape: &Shape) -> Site {
    let engine = Config {
        memory: shape.copies_per_worker,
        batch: shape.batch,
        token: TOKEN,
        prefill: PREFILL,
        ..Config::default()
    };
    let site = Site::start(site::Shape {
        entries: shape.entries,
        placers: 2,
        engines: vec![engine; shape.workers],
        weights: Limits {
            loads_per_second: shape.loads_per_second,
            slots: u32::try_from(shape.load_slots).unwrap_or(1),
            load: shape.load,
        },
        environment: Vec::new(),
        ..site::Shape::default()
    });
    let teams = ["t0", "t1", "t2", "t3"].map(|team| (team, 1e6));
    let models: Vec<String> = (0..shape.models).map(|model| format!("m{model}")).collect();
    let models: Vec<(&str, u64)> = models.iter().map(|name| (name.as_str(), 1)).collect();
    let weighing = if shape.weighs_moves {
        "moves"
    } else {
        "attainment"
    };
    site.set_up(&teams, &models);
    for (team, _) in teams {
        let key = format!("keys/{}", digest(premium_key(team).as_bytes()));
        site.set(team, &json!({ key: {"class": "premium"} }));
    }
    let placement = json!({
        "weighing": weighing,
        "loads_per_second": shape.loads_per_second,
        "load_slots": shape.load_slots,
    });
    site.set("site", &json!({ "placement": placement }));
    for (name, _) in &models {
        site.wait_for_model("t0", name);
    }
    site
}

fn premium_key(team: &str) -> String {
    format!("{team}-premium-key")
}

fn moves(site: &Site) -> u64 {
    let engines = site.engines.iter();
    engines
        .map(|(_, engine)| {
            let memory = engine.memory().lock().unwrap();
            memory.loads + memory.unloads
        })
        .sum()
}

fn counts(site: &Site) -> (u64, u64) {
    let table = site.rows.lock().unwrap();
    (table.reads, table.writes)
}

fn send(site: &Site, request: &Request, number: usize) -> Seen {
    let begun = Instant::now();
    let words = usize::try_from(request.prompt).unwrap_or(1);
    let prompt = format!(
        "{} {number}{}",
        request.prefix,
        " x".repeat(words.saturating_sub(2))
    );
    let model = format!("m{}", request.model);
    let team = format!("t{}", request.team);
    let key = match request.class {
        Class::Premium => premium_key(&team),
        Class::Routine => site::caller_key(&team),
    };
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str()), ("X-Deadline-Ms", "800")];
    let body = site::completion(&model, &prompt, request.output, true);
    let events = client::stream(
        site.callers(request.entry),
        "/v1/completions",
        &headers,
        &body,
    );
    let Ok(events) = events else {
        return Seen::Lost;
    };
    if events.status != 200 {
        return Seen::Refused;
    }
    let mut first = None;
    let mut text = String::new();
    for event in events {
        first.get_or_insert_with(|| begun.elapsed());
        text.push_str(&event.text());
    }
    match first {
        Some(first) if text == expected(&prompt, request.output) => Seen::Whole(first),
        _ => Seen::Lost,
    }
}

fn sum_up(seen: &[(Duration, Seen)]) -> Figures {
    let mut figures = Figures::default();
    let mut histogram = Histogram::<u64>::new_with_max(600_000, 3).expect("right bounds");
    for (_, outcome) in seen.iter().filter(|(at, _)| *at >= WARM_UP) {
        figures.requests += 1;
        match outcome {
            Seen::Whole(first) => {
                let took = u64::try_from(first.as_millis()).unwrap_or(u64::MAX);
                histogram.saturating_record(took);
                if *first <= TARGET {
                    figures.in_time += 1;
                } else {
                    figures.late += 1;
                }
            }
            Seen::Refused => figures.refused += 1,
            Seen::Lost => figures.lost += 1,
        }
    }
    figures.first_token_ms = [0.5, 0.95, 0.99].map(|at| histogram.value_at_quantile(at));
    figures
}

/// One line about a run.
#[must_use]
pub fn line(shape: &Shape, seed: u64, figures: &Figures) -> Value {
    json!({"site": shape.name, "seed": seed, "figures": figures})
}
