//! Planned work, generated from a seed: the operator changes routes and servers leave, while instances
//! fail and stop and the store leaves some or all of them without an answer. [`super::rules`] checks
//! what was seen.
//!
//! Manual run: `OPERATION_SEEDS=1-50 cargo test --test gateway_processes operations_by_hand --
//! --nocapture`. With `OTHER_BUILD=PATH` every second start of an instance, restarts included, is of the
//! gateway at that absolute path, and only processes fail: an earlier build has faults of its own while the
//! store does not answer.

use super::caller::{self, Outcome};
use super::rules::{
    Arrival, DRAIN_TIME, Departure, Disturbance, End, History, Place, Request, Rules, Version,
};
use super::site::{GRACE_S, POLL_INTERVAL, Site, config, has_other_build};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::json;
use standins::platform::Platform;
use standins::worker::Worker;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;

const DATA_CENTRES: [&str; 3] = ["north-1", "north-2", "south-1"];
const CALLERS_PER_INSTANCE: usize = 3;
/// Instances start this long before the operations begin.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Groups of servers of the two services between which routes move. One of each group leaves at a time.
const GROUPS: [(&str, [&str; 2]); 6] = [
    ("app", ["p", "q"]),
    ("app", ["app-1", "app-2"]),
    ("app", ["app-3", "app-4"]),
    ("alt", ["alt-1", "alt-2"]),
    ("alt", ["alt-3", "alt-4"]),
    ("alt", ["alt-5", "alt-6"]),
];
/// Routes that no version changes: a call that may run once, and a stream that can't be resumed; and
/// how often callers use them.
const STREAM_PATH: &str = "draft";
const FIXED_PATHS: [&str; 2] = ["issue", STREAM_PATH];
const FIXED_PROBABILITY: f64 = 0.15;
/// Largest percentage of the instances that the store leaves without an answer at a time.
const MAX_PERCENT: usize = 35;

/// What a seed draws.
#[derive(Debug, Clone, Copy)]
struct Scale {
    data_centres: usize,
    instances: u8,
    length: Duration,
    faults: usize,
}

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Stop(usize),
    /// A signal that says that the settings file has changed.
    Reload(usize),
    Freeze(usize, Duration),
    StoreSilentTo(Vec<usize>, Duration),
    /// Silence to as many instances, first those that hold leases.
    StoreSilentToHolders(usize, Duration),
    /// Silence to the first instances by name, which read the configuration.
    StoreSilentToReaders(usize, Duration),
    StoreSilent(Duration),
    StoreDown(Duration),
}

fn random_fault(rng: &mut SmallRng, instances: usize) -> Fault {
    let target = rng.random_range(0..instances);
    let length = Duration::from_millis(rng.random_range(300..6_000));
    let kinds = if has_other_build() { 6 } else { 12 };
    match rng.random_range(0..kinds) {
        0 | 1 => Fault::Kill(target),
        2 | 3 => Fault::Stop(target),
        4 => Fault::Reload(target),
        5 => Fault::Freeze(target, length),
        6 => Fault::StoreDown(length),
        7 => Fault::StoreSilent(length),
        kind => {
            let all: Vec<usize> = (0..instances).collect();
            let most = (instances * MAX_PERCENT / 100).max(1);
            let count = rng.random_range(1..=most);
            match kind {
                8 | 9 => return Fault::StoreSilentToHolders(most, length),
                10 => return Fault::StoreSilentToReaders(most, length),
                _ => {}
            }
            let some = all.choose_multiple(rng, count).copied().collect();
            Fault::StoreSilentTo(some, length)
        }
    }
}

/// A run with one seed.
struct Run {
    site: RefCell<Site>,
    history: RefCell<History>,
    /// Starts of each instance.
    starts: RefCell<Vec<u32>>,
    began_at: Instant,
    is_over: Cell<bool>,
    request_count: Cell<u32>,
    /// Wakes the operator and servers that would leave later, so that planned work often begins just
    /// after a fault did.
    fault_began: Notify,
}

impl Run {
    fn now(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Records a disturbance until `length` from now; returns its index.
    fn disturb(&self, place: Place, length: Duration, is_planned: bool) -> usize {
        let from = self.now();
        let mut history = self.history.borrow_mut();
        history.disturbances.push(Disturbance {
            place,
            from,
            until: from + length,
            is_planned,
        });
        self.fault_began.notify_waiters();
        history.disturbances.len() - 1
    }

    /// Waits until the time is over or a fault has begun.
    async fn pause(&self, time: Duration) {
        tokio::select! {
            () = sleep(time) => {}
            () = self.fault_began.notified() => {}
        }
    }

    /// Extends a disturbance until now.
    fn extend(&self, index: usize) {
        let now = self.now();
        self.history.borrow_mut().disturbances[index].until = now;
    }

    async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Kill(target) => {
                let disturbance = self.disturb(Place::Instance(target), Duration::ZERO, false);
                self.site.borrow_mut().restart(target);
                self.starts.borrow_mut()[target] += 1;
                self.extend(disturbance);
            }
            Fault::Stop(target) => self.stop(target).await,
            Fault::Reload(target) => self.site.borrow().instances[target].1.signal("HUP"),
            Fault::Freeze(target, length) => {
                let set = |site: &Site, is_frozen: bool| {
                    let signal = if is_frozen { "STOP" } else { "CONT" };
                    site.instances[target].1.signal(signal);
                };
                self.disturb_for(length, &[Place::Instance(target)], set)
                    .await;
            }
            Fault::StoreSilentToHolders(count, length) => {
                let targets = self.holders().into_iter().take(count).collect();
                Box::pin(self.inject(Fault::StoreSilentTo(targets, length))).await;
            }
            Fault::StoreSilentToReaders(count, length) => {
                let targets = (0..count).collect();
                Box::pin(self.inject(Fault::StoreSilentTo(targets, length))).await;
            }
            Fault::StoreSilentTo(targets, length) => {
                let places: Vec<Place> = targets.iter().map(|it| Place::StoreOf(*it)).collect();
                let set = |site: &Site, is_silent| {
                    for target in &targets {
                        let instance = site.instances[*target].0;
                        site.platform.set_silent_to(instance, is_silent);
                    }
                };
                self.disturb_for(length, &places, set).await;
            }
            Fault::StoreSilent(length) => {
                let set = |site: &Site, is_silent| site.platform.set_silent(is_silent);
                self.disturb_for(length, &[Place::Store], set).await;
            }
            Fault::StoreDown(length) => {
                let set = |site: &Site, is_down| site.platform.set_down(is_down);
                self.disturb_for(length, &[Place::Store], set).await;
            }
        }
    }

    /// Disturbs these places for a time, by a switch that is set and released.
    async fn disturb_for(&self, length: Duration, places: &[Place], set: impl Fn(&Site, bool)) {
        let disturbances = places.iter().map(|it| self.disturb(*it, length, false));
        let disturbances: Vec<usize> = disturbances.collect();
        set(&self.site.borrow(), true);
        sleep(length).await;
        set(&self.site.borrow(), false);
        for disturbance in disturbances {
            self.extend(disturbance);
        }
    }

    /// Instances that hold leases, in the order of the leases.
    fn holders(&self) -> Vec<usize> {
        let site = self.site.borrow();
        let keys = site.platform.keys("poplarseam", "lease.shard.");
        let rows = keys
            .iter()
            .map(|key| site.platform.value("poplarseam", key));
        let names = rows.filter_map(|row| Some(row?["instance"].as_str()?.to_owned()));
        let mut holders = Vec::new();
        for name in names {
            let number: usize = name.trim_start_matches("edge-").parse().unwrap();
            if !holders.contains(&(number - 1)) {
                holders.push(number - 1);
            }
        }
        holders
    }

    /// Stops and restarts an instance; one that is killed meanwhile has already restarted.
    async fn stop(&self, target: usize) {
        let process = self.site.borrow().instances[target].1.id();
        let grace = Duration::from_secs(GRACE_S);
        let disturbance = self.disturb(Place::Instance(target), grace, true);
        self.site.borrow().instances[target].1.signal("TERM");
        let until = Instant::now() + grace;
        loop {
            sleep(POLL_INTERVAL).await;
            let mut site = self.site.borrow_mut();
            let instance = &mut site.instances[target].1;
            if instance.id() != process {
                return;
            }
            if instance.ended().is_some() || Instant::now() >= until {
                site.restart(target);
                drop(site);
                self.starts.borrow_mut()[target] += 1;
                self.extend(disturbance);
                return;
            }
        }
    }

    /// Changes routes until the run is over: each version moves, drops or adds some.
    async fn operate(self: Rc<Self>, mut rng: SmallRng) {
        let mut number = 5_000;
        let mut routes = BTreeMap::from([("kept".to_owned(), "app".to_owned())]);
        let mut added = 0;
        while !self.is_over.get() {
            for _ in 0..rng.random_range(1..4) {
                let names: Vec<String> = routes.keys().cloned().collect();
                let name = names.choose(&mut rng).unwrap().clone();
                match rng.random_range(0..4) {
                    0 => {
                        added += 1;
                        let service = ["app", "alt"].choose(&mut rng).unwrap();
                        routes.insert(format!("added-{added}"), (*service).into());
                    }
                    1 if routes.len() > 2 => {
                        routes.remove(&name);
                    }
                    _ => {
                        let moved = if routes[&name] == "app" { "alt" } else { "app" };
                        routes.insert(name, moved.into());
                    }
                }
            }
            number += rng.random_range(1..5);
            self.write(number, &routes);
            let pause = if rng.random_bool(0.2) {
                rng.random_range(20..200)
            } else {
                rng.random_range(200..4_000)
            };
            self.pause(Duration::from_millis(pause)).await;
        }
    }

    fn write(&self, number: u64, routes: &BTreeMap<String, String>) {
        let mut written = config(5_000);
        written["Version"] = json!(number);
        let services = written["Services"].as_array_mut().unwrap();
        services.push(json!({"Name": "alt", "MaxConnections": 50}));
        let all = written["Routes"].as_array_mut().unwrap();
        all.extend(routes.iter().map(|(name, service)| {
            json!({"Name": name, "Hostname": "h", "PathPrefix": format!("/{name}/"), "Type": "safe",
                "TimeoutMs": 5_000, "TargetLatencyMs": 200, "Priority": 1, "Service": service,
                "MaxAttempts": 2})
        }));
        self.site.borrow().platform.configure(&written);
        let acked = self.now();
        self.history.borrow_mut().versions.push(Version {
            acked,
            routes: routes.clone(),
        });
    }

    /// Has servers leave one after the other and come back as new starts.
    async fn drain(self: Rc<Self>, servers: [&'static str; 2], mut rng: SmallRng) {
        while !self.is_over.get() {
            self.pause(Duration::from_millis(rng.random_range(100..3_000)))
                .await;
            let server = *servers.choose(&mut rng).unwrap();
            let announces = rng.random_bool(0.7);
            let list = |state: Option<&str>| {
                let site = self.site.borrow();
                let worker = site.platform.worker(server);
                match state {
                    Some(state) => site.platform.list(worker, state),
                    None => site.platform.unlist(worker),
                }
            };
            list(announces.then_some("draining"));
            let acked = self.now();
            let serving = DRAIN_TIME + Duration::from_millis(rng.random_range(100..3_000));
            sleep(serving).await;
            list(None);
            sleep(Duration::from_millis(rng.random_range(0..1_000))).await;
            self.site.borrow().platform.worker(server).restart();
            let back = self.now();
            list(Some("ready"));
            self.history.borrow_mut().departures.push(Departure {
                server: server.into(),
                acked,
                ended: back,
                back,
            });
        }
    }

    /// Sends requests to one instance on any route that was ever written, until the run is over.
    async fn call(self: Rc<Self>, instance: usize, mut rng: SmallRng) {
        let mut kept = None;
        while !self.is_over.get() {
            caller::pause(&mut rng).await;
            let address = self.site.borrow().callers(instance);
            let start = self.starts.borrow()[instance];
            let reused = kept
                .take()
                .filter(|_| rng.random_bool(caller::REUSE_PROBABILITY));
            let sender = match reused {
                Some(sender) => Some(sender),
                None => caller::connect(address).await,
            };
            let (Some(mut sender), Some(path)) = (sender, self.random_path(&mut rng)) else {
                continue;
            };
            self.request_count.set(self.request_count.get() + 1);
            let id = format!("{:016x}", self.request_count.get());
            let request = caller::build_request(&format!("/{path}/x"), path == STREAM_PATH, &id);
            let sent = self.now();
            let outcome = caller::exchange(&mut sender, request, &id).await;
            kept = outcome.is_whole().then_some(sender);
            let end = match outcome {
                Outcome::Answered {
                    status,
                    body: Some(_),
                    ..
                } => End::Answered(status),
                Outcome::Silent => End::Silent,
                Outcome::Answered { .. } | Outcome::Closed => End::Closed,
            };
            self.history.borrow_mut().requests.push(Request {
                id,
                instance,
                start,
                path,
                sent,
                ended: self.now(),
                end,
            });
        }
    }

    /// Picks a route: one that never changes, or one of the latest versions or that they have dropped.
    fn random_path(&self, rng: &mut SmallRng) -> Option<String> {
        if rng.random_bool(FIXED_PROBABILITY) {
            return Some((*FIXED_PATHS.choose(rng)?).into());
        }
        let history = self.history.borrow();
        let recent = history.versions.len().saturating_sub(3);
        let versions = &history.versions[recent..];
        let version = versions.choose(rng)?;
        let paths: Vec<&String> = version.routes.keys().collect();
        Some((*paths.choose(rng)?).clone())
    }

    /// Adds what the servers saw.
    fn collect_arrivals(&self) {
        let site = self.site.borrow();
        let mut history = self.history.borrow_mut();
        for (name, service) in servers().chain([("a", "llm"), ("b", "llm")]) {
            let arrivals = site.platform.worker(name).arrivals().into_iter();
            history.arrivals.extend(arrivals.map(|(at, id)| Arrival {
                at: at.saturating_duration_since(self.began_at),
                id,
                server: name.into(),
                service: service.into(),
            }));
        }
    }
}

/// All servers, with their services.
fn servers() -> impl Iterator<Item = (&'static str, &'static str)> {
    let groups = GROUPS.into_iter();
    groups.flat_map(|(service, servers)| servers.map(|server| (server, service)))
}

/// Starts instances in all data centres, with the servers of both plain services.
fn start_site(scale: Scale) -> Site {
    let more = servers().filter(|(name, _)| !matches!(*name, "p" | "q"));
    let more = more.map(|(name, service)| Worker::new(name, service, &[], 0, POLL_INTERVAL));
    let mut site = Site::start_all(more.collect(), 0, GRACE_S, Platform::start);
    for number in 0..usize::from(scale.instances) {
        site.add_instance_in(DATA_CENTRES[number % scale.data_centres], GRACE_S);
    }
    site.wait_until_ready();
    site
}

/// Runs a seed; returns the breaches of these rules.
fn run_seed(seed: u64, scale: Scale, rules: Rules) -> Vec<String> {
    let site = start_site(scale);
    let instances = usize::from(scale.instances);
    // The configuration with which the site started has none of the routes that are checked.
    let first = Version {
        acked: Duration::ZERO,
        routes: BTreeMap::new(),
    };
    let run = Rc::new(Run {
        site: RefCell::new(site),
        history: RefCell::new(History {
            versions: vec![first],
            ..History::default()
        }),
        starts: RefCell::new(vec![0; instances]),
        began_at: Instant::now(),
        is_over: Cell::new(false),
        request_count: Cell::new(0),
        fault_began: Notify::new(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, play(seed, scale, Rc::clone(&run)));
    run.collect_arrivals();
    let history = run.history.borrow();
    let breaches = history.breaches(rules);
    println!(
        "seed {seed}: {} requests, {} versions, {} departures, {} breaches",
        history.requests.len(),
        history.versions.len(),
        history.departures.len(),
        breaches.len()
    );
    if breaches.is_empty() {
        return breaches;
    }
    for disturbance in &history.disturbances {
        println!("seed {seed}: {disturbance:?}");
    }
    run.site.borrow_mut().keep_logs();
    breaches
}

async fn play(seed: u64, scale: Scale, run: Rc<Run>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut next = || SmallRng::seed_from_u64(rng.random());
    let mut tasks = vec![tokio::task::spawn_local(Rc::clone(&run).operate(next()))];
    for (_, servers) in GROUPS {
        tasks.push(tokio::task::spawn_local(
            Rc::clone(&run).drain(servers, next()),
        ));
    }
    for caller in 0..usize::from(scale.instances) * CALLERS_PER_INSTANCE {
        let instance = caller % usize::from(scale.instances);
        tasks.push(tokio::task::spawn_local(
            Rc::clone(&run).call(instance, next()),
        ));
    }
    let mut rng = next();
    let span = scale.length.saturating_sub(STARTUP_TIME);
    let mut faults = Vec::new();
    for _ in 0..scale.faults {
        let at = STARTUP_TIME + span.mul_f64(rng.random());
        let fault = random_fault(&mut rng, scale.instances.into());
        println!("seed {seed}: after {at:?} {fault:?}");
        let run = Rc::clone(&run);
        faults.push(tokio::task::spawn_local(async move {
            sleep(at).await;
            run.inject(fault).await;
        }));
    }
    sleep(scale.length).await;
    for fault in faults {
        fault.await.unwrap();
    }
    run.is_over.set(true);
    for task in tasks {
        task.await.unwrap();
    }
}

const SHORT: Scale = Scale {
    data_centres: 2,
    instances: 6,
    length: Duration::from_secs(14),
    faults: 3,
};

#[rstest]
#[case(1)]
#[case(2)]
fn operations_break_no_rule(#[case] seed: u64) {
    let breaches = run_seed(seed, SHORT, Rules::Untimed);
    assert_eq!(breaches, Vec::<String>::new());
}

/// Runs the seeds in `OPERATION_SEEDS`, such as `1-50`; does nothing if it is unset.
#[test]
fn operations_by_hand() {
    let Ok(seeds) = std::env::var("OPERATION_SEEDS") else {
        return;
    };
    let (first, last) = seeds
        .split_once('-')
        .expect("OPERATION_SEEDS is FIRST-LAST");
    let scale = |seed: u64| Scale {
        data_centres: [1, 3][usize::try_from(seed / 4 % 2).unwrap()],
        instances: [4, 8, 14, 42][usize::try_from(seed % 4).unwrap()],
        length: Duration::from_secs(30),
        faults: usize::try_from(seed % 7).unwrap(),
    };
    let seeds = first.parse::<u64>().unwrap()..=last.parse().unwrap();
    let broken = seeds.flat_map(|seed| {
        let breaches = run_seed(seed, scale(seed), Rules::All);
        breaches
            .into_iter()
            .map(move |breach| format!("seed {seed}: {breach}"))
    });
    let broken: Vec<String> = broken.collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
