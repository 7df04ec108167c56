//! Overlapping faults of processes, servers, links and the store, drawn from a seed; the promises are
//! checked from what callers and back ends saw.
//!
//! By hand: `SOAK_SEEDS=1-50 cargo test --test gateway_processes soak_by_hand -- --nocapture`.

use super::caller::{Caller, Kind, Outcome, Record};
use super::site::{EXTRA, GRACE_S, PAUSE, RATIO, Site, WINDOW, status, wait_for};
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
const CALLERS: usize = 10;
const TROUBLES: usize = 12;
/// Troubles begin within this time, and callers go on for as long after the last one has ended.
const SPAN_MS: u64 = 6_000;
const AFTER: Duration = Duration::from_secs(1);
/// Workers that a route allows, by the site's configuration.
const MOST_WORKERS: usize = 2;

#[derive(Debug, Clone)]
enum Trouble {
    Kill(usize),
    KillAll,
    Freeze(usize, Duration),
    /// A stop signal, and a new start once it has ended.
    Stop(usize),
    Workers(Vec<&'static str>, Fault, Duration),
    /// Links to workers or to the store.
    Links(Vec<&'static str>, Mode, Duration),
    StoreDown(Duration),
    StoreSilent(Duration),
}

fn draw(rng: &mut SmallRng) -> Trouble {
    let who = rng.random_range(0..usize::from(INSTANCES));
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
        0 | 1 => Trouble::Kill(who),
        2 => Trouble::KillAll,
        3 => Trouble::Freeze(who, length),
        4 | 5 => Trouble::Stop(who),
        6 => Trouble::StoreDown(length),
        7 => Trouble::StoreSilent(length),
        8..=11 => {
            let all = ["a", "b", "c", "p", "q", "r", STORE_LINK];
            let count = rng.random_range(1..=all.len());
            let links = all.choose_multiple(rng, count).copied().collect();
            Trouble::Links(links, *modes.choose(rng).unwrap(), length)
        }
        _ => {
            let all = ["a", "b", "c", "p", "q", "r"];
            let count = rng.random_range(1..=all.len());
            let workers = all.choose_multiple(rng, count).copied().collect();
            Trouble::Workers(workers, *kinds.choose(rng).unwrap(), length)
        }
    }
}

/// When an instance was killed or frozen, or, where none is named, workers or their links were at
/// fault.
struct Harm {
    instance: Option<usize>,
    from: Instant,
    until: Instant,
}

/// One play of a seed.
struct Play {
    site: RefCell<Site>,
    harms: RefCell<Vec<Harm>>,
    breaches: RefCell<Vec<String>>,
}

impl Play {
    async fn inflict(&self, trouble: Trouble) {
        match trouble {
            Trouble::Kill(who) => self.kill(who),
            Trouble::KillAll => (0..usize::from(INSTANCES)).for_each(|who| self.kill(who)),
            Trouble::Freeze(who, length) => {
                self.note(Some(who), length);
                self.site.borrow().instances[who].1.signal("STOP");
                sleep(length).await;
                self.site.borrow().instances[who].1.signal("CONT");
            }
            Trouble::Stop(who) => self.stop(who).await,
            Trouble::Workers(workers, fault, length) => {
                self.note(None, length);
                self.site.borrow().set(&workers, fault);
                sleep(length).await;
                self.site.borrow().set(&workers, Fault::None);
            }
            Trouble::Links(names, mode, length) => {
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
            Trouble::StoreDown(length) => {
                self.site.borrow().platform.set_down(true);
                sleep(length).await;
                self.site.borrow().platform.set_down(false);
            }
            Trouble::StoreSilent(length) => {
                self.site.borrow().platform.set_silent(true);
                sleep(length).await;
                self.site.borrow().platform.set_silent(false);
            }
        }
    }

    fn kill(&self, who: usize) {
        self.note(Some(who), Duration::ZERO);
        self.site.borrow_mut().restart(who);
    }

    /// Has an instance stop and start anew; one that is killed meanwhile has started already.
    async fn stop(&self, who: usize) {
        let process = self.site.borrow().instances[who].1.id();
        self.site.borrow().instances[who].1.signal("TERM");
        let until = Instant::now() + Duration::from_secs(GRACE_S);
        loop {
            sleep(PAUSE).await;
            let mut site = self.site.borrow_mut();
            if site.instances[who].1.id() != process {
                return;
            }
            if let Some(ended) = site.instances[who].1.ended() {
                if !ended.success() {
                    self.breach(format!("instance {who} ended a stop with {ended}"));
                }
                site.relaunch(who);
                return;
            }
            if Instant::now() >= until {
                drop(site);
                self.kill(who);
                return;
            }
        }
    }

    fn note(&self, instance: Option<usize>, length: Duration) {
        let from = Instant::now();
        let until = from + length;
        self.harms.borrow_mut().push(Harm {
            instance,
            from,
            until,
        });
    }

    fn breach(&self, what: String) {
        self.breaches.borrow_mut().push(what);
    }

    /// Instances that ended by themselves.
    fn check_processes(&self) {
        let mut site = self.site.borrow_mut();
        for (who, (_, process)) in site.instances.iter_mut().enumerate() {
            if let Some(ended) = process.ended() {
                self.breach(format!("instance {who} ended by itself: {ended}"));
            }
        }
    }

    fn check(&self, record: &Record) {
        let site = self.site.borrow();
        let (runs, runners) = (site.ran(&record.id), site.runners(&record.id));
        let mut wrong = Vec::new();
        if runs > 1 && !record.kind.may_run_again() {
            wrong.push("ran more than once");
        }
        if runners > MOST_WORKERS {
            wrong.push("ran on more workers than its route allows");
        }
        let is_cut = matches!(record.outcome, Outcome::Answered { body: None, .. });
        if is_cut && !self.is_excused(record, true) {
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
                    .is_some_and(|body| !is_whole(record.kind, body))
                {
                    wrong.push("got a broken answer that looks whole");
                }
            }
            Outcome::Closed if runs > 0 && !self.is_excused(record, false) => {
                wrong.push("was passed on and got no answer");
            }
            _ => {}
        }
        for what in wrong {
            self.breach(format!("{what}: {record:?}, {runs} runs"));
        }
    }

    /// Whether the instance was harmed while it had the request, or, where that excuses it, workers
    /// were at fault.
    fn is_excused(&self, record: &Record, by_workers: bool) -> bool {
        self.harms.borrow().iter().any(|harm| {
            let concerns = harm
                .instance
                .map_or(by_workers, |who| who == record.instance);
            concerns && harm.from <= record.ended && record.began <= harm.until
        })
    }

    /// The budget of retries, for the servers of a service.
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
        let requests: Vec<Instant> = requests.map(|record| record.began).collect();
        for begin in &repeats {
            let windows = [Duration::ZERO, WINDOW / 2, WINDOW];
            let begins = windows
                .iter()
                .filter_map(|earlier| begin.checked_sub(*earlier));
            let asked = begins.map(|begin| count(&requests, begin));
            let asked = asked.max().unwrap_or(0);
            let repeated = count(&repeats, *begin);
            if f64::from(repeated) > RATIO * f64::from(asked) + EXTRA {
                self.breach(format!(
                    "{servers:?}: {repeated} repeats for {asked} requests"
                ));
            }
        }
    }
}

fn count(times: &[Instant], begin: Instant) -> u32 {
    let within = times
        .iter()
        .filter(|at| (begin..begin + WINDOW).contains(*at));
    u32::try_from(within.count()).unwrap()
}

fn is_whole(kind: Kind, body: &str) -> bool {
    if !kind.is_stream() {
        return body == "done";
    }
    let events = (1..=10).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    body == events.collect::<String>()
}

/// Plays a seed; what was broken.
fn play(seed: u64) -> Vec<String> {
    let more = [("c", "llm", &["m1"][..], 10), ("r", "app", &[], 0)];
    let more = more
        .map(|(name, service, models, events)| Worker::new(name, service, models, events, PAUSE));
    let site = Site::start_all(more.into(), INSTANCES, GRACE_S, Platform::start_linked);
    site.wait_until_ready();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (play, records) = tokio::task::LocalSet::new().block_on(&runtime, disturb(seed, site));
    play.site.borrow().wait_until_ready();
    for instance in 0..usize::from(INSTANCES) {
        for (index, path) in ["/issue/x", "/draft/x"].iter().enumerate() {
            let model = if index == 0 { "" } else { "m1" };
            let mut tries = 0..;
            wait_for("every instance serves again", || {
                let id = format!("again-{instance}-{index}-{:?}", tries.next());
                let answer = play.site.borrow().ask_at(instance, path, &id, model);
                println!(
                    "seed {seed}: instance {instance} {path} {}",
                    status(&answer)
                );
                status(&answer) == 200
            });
        }
    }
    play.check_processes();
    for record in &records {
        play.check(record);
    }
    play.check_budget(&["p", "q", "r"], &records, false);
    play.check_budget(&["a", "b", "c"], &records, true);
    println!(
        "seed {seed}: {} requests, {}",
        records.len(),
        summary(&records)
    );
    play.breaches.take()
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

/// Has callers send requests while faults come and go.
async fn disturb(seed: u64, site: Site) -> (Rc<Play>, Vec<Record>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let instances: Vec<_> = (0..usize::from(INSTANCES))
        .map(|who| site.callers(who))
        .collect();
    let play = Rc::new(Play {
        site: RefCell::new(site),
        harms: RefCell::default(),
        breaches: RefCell::default(),
    });
    let (records, is_over) = (Rc::new(RefCell::default()), Rc::new(Cell::new(false)));
    let callers = (0..CALLERS).map(|number| Caller {
        name: format!("s{seed}-{number}"),
        instances: instances.clone(),
        rng: SmallRng::seed_from_u64(rng.random()),
        records: Rc::clone(&records),
        is_over: Rc::clone(&is_over),
    });
    let callers: Vec<_> = callers
        .map(|caller| tokio::task::spawn_local(caller.run()))
        .collect();
    let mut troubles = Vec::new();
    for _ in 0..TROUBLES {
        let at = Duration::from_millis(rng.random_range(0..SPAN_MS));
        let trouble = draw(&mut rng);
        println!("seed {seed}: after {at:?} {trouble:?}");
        let play = Rc::clone(&play);
        troubles.push(tokio::task::spawn_local(async move {
            sleep(at).await;
            play.inflict(trouble).await;
        }));
    }
    for trouble in troubles {
        trouble.await.unwrap();
    }
    sleep(AFTER).await;
    is_over.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    (play, records.take())
}

/// Seed 8 breaks the retry budget where each start hands out a full one. Seeds 5 and 14 end with all
/// requests refused where links that reset count as servers that crash.
#[rstest]
#[case(1)]
#[case(2)]
#[case(5)]
#[case(8)]
#[case(14)]
fn overlapping_faults_break_no_promise(#[case] seed: u64) {
    assert_eq!(play(seed), Vec::<String>::new());
}

/// Plays the seeds that `SOAK_SEEDS` names, as `1-50`; none without it.
#[test]
fn soak_by_hand() {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS is FIRST-LAST");
    let seeds = first.parse::<u64>().unwrap()..=last.parse().unwrap();
    let broken = seeds.flat_map(|seed| {
        let breaches = play(seed);
        breaches
            .into_iter()
            .map(move |breach| format!("seed {seed}: {breach}"))
    });
    assert_eq!(broken.collect::<Vec<String>>(), Vec::<String>::new());
}
