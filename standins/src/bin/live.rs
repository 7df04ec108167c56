//! Measures processes as they run: added latency, requests and streams that one entry carries,
//! memory of a stream, and what a process spends when nothing is asked.

use standins::client;
use standins::engine::{Config, word};
use standins::site::{Role, Shape, Site};
use std::time::{Duration, Instant};

const TICKS_PER_SECOND: f64 = 100.0;
const PAIRS: usize = 400;
const IDLE: Duration = Duration::from_secs(10);

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    latency();
    throughput();
    streams();
    for size in if sizes.is_empty() {
        vec![2, 4, 8]
    } else {
        sizes
    } {
        idle(size);
    }
}

fn site(entries: usize, config: Config) -> Site {
    let environment = vec![("POPLARSEAM_MAX_REQUESTS".into(), "4096".into())];
    let site = Site::start(Shape {
        entries,
        engines: vec![config],
        environment,
        ..Shape::default()
    });
    site.set_up(&[("red", 1e6)], &[("notes", 1000)]);
    site.wait_for_model("red", "notes");
    site
}

fn fast() -> Config {
    let token = Duration::from_micros(500);
    Config {
        batch: 4000,
        token,
        prefill: Duration::ZERO,
        ..Config::default()
    }
}

/// Asks the engine directly and through the entry in turn.
fn latency() {
    let site = site(1, fast());
    let engine = site.engines[0].0.address;
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for at in 0..PAIRS {
        let prompt = format!("pair {at}");
        let body = serde_json::json!({
            "request": prompt, "artifact": "site/notes@v1", "prompt": prompt, "max_tokens": 1,
        });
        let begun = Instant::now();
        let answer = client::call("POST", engine, "/generate", &[], &body.to_string()).unwrap();
        assert!(answer.body.contains(word(&prompt, 0).trim()));
        direct.push(begun.elapsed());
        let begun = Instant::now();
        let answer = site.ask(0, "red", "notes", &prompt, 1).unwrap();
        assert_eq!(answer.status, 200);
        through.push(begun.elapsed());
    }
    let mut added: Vec<f64> = direct
        .iter()
        .zip(&through)
        .map(|(direct, through)| through.as_secs_f64() * 1e3 - direct.as_secs_f64() * 1e3)
        .collect();
    added.sort_by(f64::total_cmp);
    direct.sort();
    through.sort();
    println!(
        "latency, {PAIRS} pairs, ms: direct {:.2}, through {:.2}; added {:.2} median, {:.2} at 99 in 100",
        direct[PAIRS / 2].as_secs_f64() * 1e3,
        through[PAIRS / 2].as_secs_f64() * 1e3,
        added[PAIRS / 2],
        added[PAIRS * 99 / 100],
    );
}

/// Asks from many threads for a while.
fn throughput() {
    const TIME: Duration = Duration::from_secs(5);
    let site = site(1, fast());
    let process = site.entries[0].id();
    let (cpu, begun) = (cpu_seconds(process), Instant::now());
    let count: usize = std::thread::scope(|scope| {
        let ask = || {
            let mut count = 0;
            while begun.elapsed() < TIME {
                count += usize::from(
                    site.ask(0, "red", "notes", "x", 1)
                        .is_ok_and(|a| a.status == 200),
                );
            }
            count
        };
        let callers: Vec<_> = (0..16).map(|_| scope.spawn(ask)).collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum()
    });
    let (spent, time) = (cpu_seconds(process) - cpu, begun.elapsed().as_secs_f64());
    #[allow(clippy::cast_precision_loss)]
    let requests = count as f64;
    println!(
        "requests: {:.0}/s with {:.2} cores; {:.0} a second for each core, {:.2} ms of a core each",
        requests / time,
        spent / time,
        requests / spent,
        spent / requests * 1e3,
    );
}

/// Opens streams of a token each 25 ms and watches memory and processor time.
fn streams() {
    let config = Config {
        batch: 4000,
        token: Duration::from_millis(25),
        ..Config::default()
    };
    let site = site(1, config);
    let process = site.entries[0].id();
    let empty = memory_kb(process);
    println!("streams: {empty} KB with none");
    for count in [100_u32, 200, 400] {
        std::thread::scope(|scope| {
            let events = |at: u32| {
                let prompt = format!("stream {at}");
                site.stream(0, "red", "notes", &prompt, 200, None)
                    .unwrap()
                    .count()
            };
            let open: Vec<_> = (0..count)
                .map(|at| scope.spawn(move || events(at)))
                .collect();
            std::thread::sleep(Duration::from_secs(2));
            let (cpu, begun) = (cpu_seconds(process), Instant::now());
            std::thread::sleep(Duration::from_secs(2));
            let spent = (cpu_seconds(process) - cpu) / begun.elapsed().as_secs_f64();
            let used = memory_kb(process);
            let whole = open
                .into_iter()
                .filter(|_| true)
                .map(|one| one.join().unwrap());
            let whole = whole.filter(|events| *events == 201).count();
            let more = u32::try_from(used.saturating_sub(empty)).unwrap_or(u32::MAX);
            let each = f64::from(more) / f64::from(count);
            println!(
                "streams: {count} open, {whole} whole, {used} KB, {each:.1} KB each, {spent:.2} cores, {:.0} a core",
                f64::from(count) / spent
            );
        });
    }
}

/// What each process spends when nothing is asked, before twelve engines.
fn idle(entries: usize) {
    let shape = Shape {
        entries,
        placers: entries,
        settings: entries.min(4),
        engines: vec![Config::default(); 12],
        ..Shape::default()
    };
    let site = Site::start(shape);
    site.set_up(&[("red", 1e6)], &[("notes", 1000)]);
    std::thread::sleep(Duration::from_secs(3));
    let table = |site: &Site| {
        let table = site.rows.lock().unwrap();
        (table.reads, table.writes)
    };
    let processes = [
        (
            "entry",
            site.entries[0].id(),
            site.operators(Role::Entry, 0),
        ),
        (
            "placer",
            site.placers[0].id(),
            site.operators(Role::Placer, 0),
        ),
        (
            "settings",
            site.settings[0].id(),
            site.operators(Role::Settings, 0),
        ),
    ];
    let before: Vec<_> = processes
        .iter()
        .map(|(_, id, address)| (cpu_seconds(*id), mesh_bytes(*address)))
        .collect();
    let rows = table(&site);
    std::thread::sleep(IDLE);
    let seconds = IDLE.as_secs_f64();
    let peers = entries * 2 + entries.min(4) - 1;
    for ((name, id, address), (cpu, bytes)) in processes.iter().zip(before) {
        println!(
            "idle, {peers:2} peers, {name:8}: {:.2}% of a core, {:.1} KB/s sent, {} KB",
            (cpu_seconds(*id) - cpu) / seconds * 100.0,
            (mesh_bytes(*address) - bytes) / seconds / 1e3,
            memory_kb(*id),
        );
    }
    let after = table(&site);
    #[allow(clippy::cast_precision_loss)]
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    println!(
        "idle, {peers:2} peers, table   : {:.1} reads/s, {:.1} writes/s",
        rate(rows.0, after.0),
        rate(rows.1, after.1)
    );
}

fn cpu_seconds(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

fn memory_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

fn mesh_bytes(address: std::net::SocketAddr) -> f64 {
    let text = client::call("GET", address, "/metrics", &[], "")
        .map_or_else(|_| String::new(), |a| a.body);
    let line = text
        .lines()
        .find(|line| line.starts_with("poplarseam_mesh_bytes_total"));
    line.and_then(|line| line.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0.0)
}
