//! Overlapping faults of processes, servers, connections and the store, generated from a seed.
//! The guarantees are checked from what callers and backend servers saw.
//!
//! Manual run: `SOAK_SEEDS=1-50 cargo test --test gateway_processes soak_by_hand --
//! --nocapture`.

use super::caller::{Caller, Kind, Outcome, Record};
use super::site::{
    EXTRA_RETRIES, GRACE_S, POLL_INTERVAL, RETRY_RATIO, RETRY_WINDOW, Site, status, wait_for,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standins::link::Mode;
use standins::platform::{Platform, STORE_LINK};
use standins::worker::{Fault, Worker};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const INSTANCES: u8 = 4;
const CALLER_COUNT: usize = 10;
const FAULT_COUNT: usize = 12;
/// Cuts of instances from all workers, in addition to these faults.
const CUT_COUNT: usize = 2;
/// Time after a cut in which its instances may still have others send their requests.
const HEALING_TIME: Duration = Duration::from_millis(1_500);
/// Faults begin within the first span; callers continue for the second one after the last fault
/// has ended.
const FAULT_SPAN_MS: u64 = 6_000;
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Limit on workers for one request, as in the site's configuration.
const MAX_WORKERS: usize = 2;

#[derive(Debug, Clone)]
enum FaultEvent {
    Kill(usize),
    KillAll,
    Freeze(usize, Duration),
    /// A stop signal, and a restart once the instance has ended.
    Stop(usize),
    Workers(Vec<&'static str>, Fault, Duration),
    /// Faulty connections to workers or to the store.
    Links(Vec<&'static str>, Mode, Duration),
    /// Instances without a path to any worker.
    Cut(Vec<usize>, Mode, Duration),
    StoreDown(Duration),
    StoreSilent(Duration),
}

fn random_cut(rng: &mut SmallRng) -> FaultEvent {
    let all: Vec<usize> = (0..usize::from(INSTANCES)).collect();
    let count = rng.random_range(1..=all.len());
    let instances = all.choose_multiple(rng, count).copied().collect();
    let modes = [Mode::Cut, Mode::Reset, Mode::Closed];
    let length = Duration::from_millis(rng.random_range(500..5_000));
    FaultEvent::Cut(instances, *modes.choose(rng).unwrap(), length)
}

fn random_fault(rng: &mut SmallRng) -> FaultEvent {
    let target = rng.random_range(0..usize::from(INSTANCES));
    let length = Duration::from_millis(rng.random_range(100..3_000));
    let kinds = [
        Fault::Fail,
        Fault::TurnAway,
        Fault::LoseAnswers,
        Fault::Hang,
        Fault::CutAfter(3),
    ];
    let modes = [
        Mode::Delayed(Duration::from_millis(rng.random_range(1..400))),
        Mode::Reset,
        Mode::Silent,
        Mode::Mute,
    ];
    match rng.random_range(0..16) {
        0 | 1 => FaultEvent::Kill(target),
        2 => FaultEvent::KillAll,
        3 => FaultEvent::Freeze(target, length),
        4 | 5 => FaultEvent::Stop(target),
        6 => FaultEvent::StoreDown(length),
        7 => FaultEvent::StoreSilent(length),
        8..=11 => {
            let all = ["a", "b", "c", "p", "q", "r", STORE_LINK];
            let count = rng.random_range(1..=all.len());
            let links = all.choose_multiple(rng, count).copied().collect();
            FaultEvent::Links(links, *modes.choose(rng).unwrap(), length)
        }
        _ => {
            let all = ["a", "b", "c", "p", "q", "r"];
            let count = rng.random_range(1..=all.len());
            let workers = all.choose_multiple(rng, count).copied().collect();
            FaultEvent::Workers(workers, *kinds.choose(rng).unwrap(), length)
        }
    }
}

/// When an instance was killed or frozen or, if none is named, when workers or their connections
/// were faulty.
struct Disturbance {
    instance: Option<usize>,
    from: Instant,
    until: Instant,
}

/// A run with one seed.
struct Run {
    site: RefCell<Site>,
    disturbances: RefCell<Vec<Disturbance>>,
    breaches: RefCell<Vec<String>>,
}

impl Run {
    async fn inject(&self, fault_event: FaultEvent) {
        match fault_event {
            FaultEvent::Kill(target) => self.kill(target),
            FaultEvent::KillAll => (0..usize::from(INSTANCES)).for_each(|target| self.kill(target)),
            FaultEvent::Freeze(target, length) => {
                self.note(Some(target), length);
                self.site.borrow().instances[target].1.signal("STOP");
                sleep(length).await;
                self.site.borrow().instances[target].1.signal("CONT");
            }
            FaultEvent::Stop(target) => self.stop(target).await,
            FaultEvent::Workers(workers, fault, length) => {
                self.note(None, length);
                self.site.borrow().set_fault(&workers, fault);
                sleep(length).await;
                self.site.borrow().set_fault(&workers, Fault::None);
            }
            FaultEvent::Links(names, mode, length) => {
                self.note(None, length);
                let set = |mode| {
                    let site = self.site.borrow();
                    for name in &names {
                        site.platform.disturb(name, mode);
                    }
                };
                set(mode);
                sleep(length).await;
                set(Mode::Open);
            }
            FaultEvent::Cut(instances, mode, length) => {
                self.note(None, length + HEALING_TIME);
                let set = |mode| {
                    let site = self.site.borrow();
                    for instance in &instances {
                        site.platform.cut(site.instances[*instance].0, mode);
                    }
                };
                set(mode);
                sleep(length).await;
                set(Mode::Open);
            }
            FaultEvent::StoreDown(length) => {
                self.site.borrow().platform.set_down(true);
                sleep(length).await;
                self.site.borrow().platform.set_down(false);
            }
            FaultEvent::StoreSilent(length) => {
                self.site.borrow().platform.set_silent(true);
                sleep(length).await;
                self.site.borrow().platform.set_silent(false);
            }
        }
    }

    fn kill(&self, target: usize) {
        self.note(Some(target), Duration::ZERO);
        self.site.borrow_mut().restart(target);
    }

    /// Stops and restarts an instance; one that is killed meanwhile has already restarted.
    async fn stop(&self, target: usize) {
        let process = self.site.borrow().instances[target].1.id();
        self.site.borrow().instances[target].1.signal("TERM");
        let until = Instant::now() + Duration::from_secs(GRACE_S);
        loop {
            sleep(POLL_INTERVAL).await;
            let mut site = self.site.borrow_mut();
            if site.instances[target].1.id() != process {
                return;
            }
            if let Some(ended) = site.instances[target].1.ended() {
                if !ended.success() {
                    self.report_violation(format!("instance {target} ended a stop with {ended}"));
                }
                site.relaunch(target);
                return;
            }
            if Instant::now() >= until {
                drop(site);
                self.kill(target);
                return;
            }
        }
    }

    fn note(&self, instance: Option<usize>, length: Duration) {
        let from = Instant::now();
        let until = from + length;
        self.disturbances.borrow_mut().push(Disturbance {
            instance,
            from,
            until,
        });
    }

    fn report_violation(&self, what: String) {
        self.breaches.borrow_mut().push(what);
    }

    /// Checks that no instance ended by itself.
    fn check_processes(&self) {
        let mut site = self.site.borrow_mut();
        for (target, (_, process)) in site.instances.iter_mut().enumerate() {
            if let Some(ended) = process.ended() {
                self.report_violation(format!("instance {target} ended by itself: {ended}"));
            }
        }
    }

    fn check(&self, record: &Record) {
        let site = self.site.borrow();
        let (runs, runners) = (site.run_count(&record.id), site.worker_count(&record.id));
        let mut wrong = Vec::new();
        if runs > 1 && !record.kind.may_run_again() {
            wrong.push("ran more than once");
        }
        if runners > MAX_WORKERS {
            wrong.push("ran on more workers than its route allows");
        }
        let is_cut = matches!(record.outcome, Outcome::Answered { body: None, .. });
        if is_cut && !self.is_explained(record, true) {
            wrong.push("was cut though nothing was wrong");
        }
        match &record.outcome {
            Outcome::Answered {
                status: 408 | 421 | 429 | 503,
                ..
            } if runs > 0 => {
                wrong.push("was refused though it had run");
            }
            Outcome::Answered {
                status: 200,
                signed,
                echoes,
                body,
            } => {
                if !signed || !echoes {
                    wrong.push("got a success that is not its server's answer");
                }
                if body
                    .as_ref()
                    .is_some_and(|body| !is_complete(record.kind, body))
                {
                    wrong.push("got a broken answer that looks whole");
                }
            }
            Outcome::Closed if runs > 0 && !self.is_explained(record, false) => {
                wrong.push("was passed on and got no answer");
            }
            _ => {}
        }
        for what in wrong {
            self.report_violation(format!("{what}: {record:?}, {runs} runs"));
        }
    }

    /// Whether a fault of the instance overlapped the request or, if `by_workers`, a fault of
    /// workers did.
    fn is_explained(&self, record: &Record, by_workers: bool) -> bool {
        self.disturbances.borrow().iter().any(|disturbance| {
            let concerns = disturbance
                .instance
                .map_or(by_workers, |target| target == record.instance);
            concerns
                && disturbance.from <= record.ended_at
                && record.started_at <= disturbance.until
        })
    }

    /// Checks the retry budget at the servers of a service.
    fn check_budget(&self, servers: &[&str], records: &[Record], is_stream: bool) {
        let site = self.site.borrow();
        let mut arrivals: Vec<(Instant, String)> = servers
            .iter()
            .flat_map(|server| site.platform.worker(server).arrivals())
            .collect();
        arrivals.sort();
        let mut seen = BTreeSet::new();
        let repeats = arrivals.iter().filter(|(_, id)| !seen.insert(id));
        let repeats: Vec<Instant> = repeats.map(|(at, _)| *at).collect();
        let requests = records
            .iter()
            .filter(|record| record.kind.is_stream() == is_stream);
        let requests: Vec<Instant> = requests.map(|record| record.started_at).collect();
        for begin in &repeats {
            let windows = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
            let begins = windows
                .iter()
                .filter_map(|earlier| begin.checked_sub(*earlier));
            let asked = begins.map(|begin| count(&requests, begin));
            let asked = asked.max().unwrap_or(0);
            let repeated = count(&repeats, *begin);
            if f64::from(repeated) > RETRY_RATIO * f64::from(asked) + EXTRA_RETRIES {
                self.report_violation(format!(
                    "{servers:?}: {repeated} repeats for {asked} requests"
                ));
            }
        }
    }
}

fn count(times: &[Instant], begin: Instant) -> u32 {
    let within = times
        .iter()
        .filter(|at| (begin..begin + RETRY_WINDOW).contains(*at));
    u32::try_from(within.count()).unwrap()
}

fn is_complete(kind: Kind, body: &str) -> bool {
    if !kind.is_stream() {
        return body == "done";
    }
    let events = (1..=10).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    body == events.collect::<String>()
}

/// Runs a seed; returns the broken guarantees.
fn run_seed(seed: u64) -> Vec<String> {
    let more = [("c", "llm", &["m1"][..], 10), ("r", "app", &[], 0)];
    let more = more.map(|(name, service, models, events)| {
        Worker::new(name, service, models, events, POLL_INTERVAL)
    });
    let site = Site::start_all(more.into(), INSTANCES, GRACE_S, Platform::start_linked);
    site.wait_until_ready();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (soak, records) =
        tokio::task::LocalSet::new().block_on(&runtime, run_with_faults(seed, site));
    soak.site.borrow().wait_until_ready();
    for instance in 0..usize::from(INSTANCES) {
        for (index, path) in ["/issue/x", "/draft/x"].iter().enumerate() {
            let model = if index == 0 { "" } else { "m1" };
            let mut tries = 0..;
            wait_for("every instance serves again", || {
                let id = format!("again-{instance}-{index}-{:?}", tries.next());
                let answer = soak.site.borrow().ask_at(instance, path, &id, model);
                println!(
                    "seed {seed}: instance {instance} {path} {}",
                    status(&answer)
                );
                status(&answer) == 200
            });
        }
    }
    soak.check_processes();
    for record in &records {
        soak.check(record);
    }
    soak.check_budget(&["p", "q", "r"], &records, false);
    soak.check_budget(&["a", "b", "c"], &records, true);
    println!(
        "seed {seed}: {} requests, {}",
        records.len(),
        summary(&records)
    );
    soak.breaches.take()
}

fn summary(records: &[Record]) -> String {
    let mut counts = BTreeMap::<String, usize>::new();
    for record in records {
        let label = match &record.outcome {
            Outcome::Answered { status, body, .. } if body.is_some() => status.to_string(),
            Outcome::Answered { .. } => "cut".into(),
            Outcome::Closed => "closed".into(),
            Outcome::Silent => "silent".into(),
        };
        *counts.entry(label).or_default() += 1;
    }
    format!("{counts:?}")
}

/// Runs callers while faults come and go.
async fn run_with_faults(seed: u64, site: Site) -> (Rc<Run>, Vec<Record>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let instances: Vec<_> = (0..usize::from(INSTANCES))
        .map(|target| site.callers(target))
        .collect();
    let soak = Rc::new(Run {
        site: RefCell::new(site),
        disturbances: RefCell::default(),
        breaches: RefCell::default(),
    });
    let (records, is_over) = (Rc::new(RefCell::default()), Rc::new(Cell::new(false)));
    let callers = (0..CALLER_COUNT).map(|number| Caller {
        name: format!("s{seed}-{number}"),
        instances: instances.clone(),
        rng: SmallRng::seed_from_u64(rng.random()),
        records: Rc::clone(&records),
        is_over: Rc::clone(&is_over),
    });
    let callers: Vec<_> = callers
        .map(|caller| tokio::task::spawn_local(caller.run()))
        .collect();
    let mut fault_events = Vec::new();
    for number in 0..FAULT_COUNT + CUT_COUNT {
        let at = Duration::from_millis(rng.random_range(0..FAULT_SPAN_MS));
        let fault_event = if number < FAULT_COUNT {
            random_fault(&mut rng)
        } else {
            random_cut(&mut rng)
        };
        println!("seed {seed}: after {at:?} {fault_event:?}");
        let soak = Rc::clone(&soak);
        fault_events.push(tokio::task::spawn_local(async move {
            sleep(at).await;
            soak.inject(fault_event).await;
        }));
    }
    for fault_event in fault_events {
        fault_event.await.unwrap();
    }
    sleep(RECOVERY_TIME).await;
    is_over.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    (soak, records.take())
}

/// Seed 8 exceeds the retry budget if each start grants a full one. With seeds 5 and 14, all
/// requests end up refused if connection resets count as crashes of servers.
#[rstest]
#[case(1)]
#[case(2)]
#[case(5)]
#[case(8)]
#[case(14)]
fn overlapping_faults_break_no_guarantee(#[case] seed: u64) {
    assert_eq!(run_seed(seed), Vec::<String>::new());
}

/// Runs the seeds in `SOAK_SEEDS`, such as `1-50`; does nothing if it is unset.
#[test]
fn soak_by_hand() {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS is FIRST-LAST");
    let seeds = first.parse::<u64>().unwrap()..=last.parse().unwrap();
    let broken = seeds.flat_map(|seed| {
        let breaches = run_seed(seed);
        breaches
            .into_iter()
            .map(move |breach| format!("seed {seed}: {breach}"))
    });
    assert_eq!(broken.collect::<Vec<String>>(), Vec::<String>::new());
}
