//! Simulates servers whose pace changes several times a second and that read prompts in pieces, one
//! in each step between the tokens of their streams, with instances that know each other's workloads only 100 to 400 ms late. Compares
//! servers that state their pace with servers that don't.

use super::build::{SERVICE, backend, deployment, generation, ms, worker};
use super::pauses::site_with_pause_target;
use poplarseam::decide::balance::{Balancer, Choice, Need, Workload};
use poplarseam::decide::waiting::{Line, Place, Queue, wait_until};
use poplarseam::world::id;
use poplarseam::world::message::Load;
use poplarseam::world::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const SERVERS: usize = 12;
const INSTANCES: usize = 6;
const DURATION_MS: u64 = 20_000;
/// Servers read for about 60% of the time: 12 servers, prompts of 120 ms at the usual pace, and a
/// mean pace of 1.45.
const REQUESTS_PER_MS: f64 = 0.6 * 12.0 / (120.0 * 1.45);
const SLOW: f64 = 2.5;
const SLOW_SHARE: f64 = 0.3;
const STREAM_MS: u64 = 1_500;
/// Prompt that a server reads in a step (4,096 tokens), and the rest of a step, at the usual pace.
const PIECE_MS: f64 = 204.8;
const STEP_MS: f64 = 10.0;
/// Steps, and so tokens, between two events of a stream.
const STEPS_PER_EVENT: u32 = 2;
/// Targets of the route.
const PAUSE_TARGET_MS: u64 = 400;
const TARGET: Duration = Duration::from_secs(1);

struct Sent {
    instance: usize,
    added: Workload,
    arrived: u64,
    unread_ms: f64,
    /// State of its stream after the prompt was read.
    ends_at: u64,
    steps: u32,
    last_event_at: u64,
    is_late: bool,
}

#[derive(Default)]
struct Server {
    unread: VecDeque<Sent>,
    streams: Vec<Sent>,
    pace: f64,
    pace_until: u64,
    /// Rest of the step, at the usual pace; `None` while nothing runs.
    step_ms: Option<f64>,
}

struct Instance {
    balance: Balancer,
    queue: Queue,
    pending: Vec<(Place, u64, Need)>,
    reports: VecDeque<(u64, usize, BTreeMap<id::Worker, Workload>)>,
}

#[derive(Debug, Default)]
struct Outcome {
    streams: u32,
    late_streams: u32,
    first_bytes: u32,
    late_first_bytes: u32,
    waited: u32,
}

impl Outcome {
    fn add(&mut self, other: &Self) {
        self.streams += other.streams;
        self.late_streams += other.late_streams;
        self.first_bytes += other.first_bytes;
        self.late_first_bytes += other.late_first_bytes;
        self.waited += other.waited;
    }
}

struct Simulation {
    rng: SmallRng,
    states_pace: bool,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    outcome: Outcome,
}

fn name(server: usize) -> id::Worker {
    worker(&format!("w{server:02}"))
}

fn line() -> Line {
    Line {
        service: SERVICE.parse().unwrap(),
        target: "m1".parse().unwrap(),
    }
}

impl Simulation {
    fn new(seed: u64, states_pace: bool) -> Self {
        let mut site = site_with_pause_target();
        for service in site.services.values_mut() {
            let engine = service.engine.as_mut().unwrap();
            (engine.batch, engine.cache) = (64, Tokens(1_000_000));
        }
        let instance = |_| {
            let mut balance = Balancer::new(&deployment("north-1"));
            balance.on_site(&site);
            for server in 0..SERVERS {
                balance.on_listed(backend(name(server).as_str(), "north-1", "m1"));
            }
            Instance {
                balance,
                queue: Queue::default(),
                pending: Vec::new(),
                reports: VecDeque::new(),
            }
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            states_pace,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for at in 0..DURATION_MS {
            for server in 0..SERVERS {
                self.advance(at, server);
            }
            for instance in 0..INSTANCES {
                self.exchange_reports(at, instance);
                self.send_pending(at, instance);
            }
            if self.rng.random_bool(REQUESTS_PER_MS) {
                self.arrive(at);
            }
        }
        self.outcome
    }

    /// Simulates one millisecond of a server.
    fn advance(&mut self, at: u64, number: usize) {
        let server = &mut self.servers[number];
        if at >= server.pace_until {
            let is_slow = self.rng.random_bool(SLOW_SHARE);
            server.pace = if is_slow { SLOW } else { 1.0 };
            server.pace_until = at + self.rng.random_range(100..300);
        }
        let step = server.step_ms.get_or_insert(0.0);
        *step -= 1.0 / server.pace;
        if *step > 0.0 {
            return;
        }
        self.end_step(at, number);
        let server = &mut self.servers[number];
        let mut piece = PIECE_MS;
        for sent in &mut server.unread {
            let part = piece.min(sent.unread_ms);
            sent.unread_ms -= part;
            piece -= part;
        }
        let is_idle = server.streams.is_empty() && server.unread.is_empty();
        server.step_ms = (!is_idle).then_some(PIECE_MS - piece + STEP_MS);
    }

    fn end_step(&mut self, at: u64, number: usize) {
        let server = &mut self.servers[number];
        for sent in &mut server.streams {
            sent.steps += 1;
            if sent.steps.is_multiple_of(STEPS_PER_EVENT) {
                sent.is_late |= at - sent.last_event_at > PAUSE_TARGET_MS;
                sent.last_event_at = at;
            }
        }
        for sent in server.streams.extract_if(.., |sent| sent.ends_at <= at) {
            let balance = &mut self.instances[sent.instance].balance;
            balance.on_ended(&name(number), sent.added);
            self.outcome.streams += 1;
            self.outcome.late_streams += u32::from(sent.is_late);
        }
        while let Some(mut sent) = server.unread.pop_front_if(|sent| sent.unread_ms <= 0.0) {
            let balance = &mut self.instances[sent.instance].balance;
            let load = Load {
                running: 1,
                waiting: 0,
                pace: self.states_pace.then_some(server.pace),
            };
            balance.on_load(ms(at), &name(number), load);
            balance.on_first_byte(&name(number), &mut sent.added);
            self.outcome.first_bytes += 1;
            let is_late = ms(at - sent.arrived) > TARGET;
            self.outcome.late_first_bytes += u32::from(is_late);
            (sent.ends_at, sent.last_event_at) = (at + STREAM_MS, at);
            server.streams.push(sent);
        }
    }

    /// Sends a report every 200 ms, and applies the reports of others that have arrived.
    fn exchange_reports(&mut self, at: u64, here: usize) {
        if (at + 30 * here as u64).is_multiple_of(200) {
            let loads = self.instances[here].balance.own_workload(ms(at));
            for there in (0..INSTANCES).filter(|there| *there != here) {
                let arrives = at + self.rng.random_range(1..200);
                let report = (arrives, here, loads.clone());
                self.instances[there].reports.push_back(report);
            }
        }
        let Instance {
            balance, reports, ..
        } = &mut self.instances[here];
        reports.retain(|(arrives, from, loads)| {
            if *arrives == at {
                balance.on_peer(ms(at), &format!("i{from}").parse().unwrap(), loads);
            }
            *arrives > at
        });
    }

    fn arrive(&mut self, at: u64) {
        let here = self.rng.random_range(0..INSTANCES);
        let need = Need {
            service: SERVICE.parse().unwrap(),
            generation: Some(generation("m1", self.rng.random_range(600..4_200))),
            draw: self.rng.random(),
        };
        let must_wait = self.instances[here].queue.has_before(&line(), 0, ms(at));
        if must_wait || !self.try_send(at, at, here, &need) {
            let Instance { queue, pending, .. } = &mut self.instances[here];
            pending.push((queue.join(&line(), 0, ms(at)), at, need));
            self.outcome.waited += 1;
        }
    }

    fn send_pending(&mut self, at: u64, here: usize) {
        let pending = std::mem::take(&mut self.instances[here].pending);
        let (waiting, _): (Vec<_>, Vec<_>) = pending.into_iter().partition(|waiting| {
            let (place, arrived, need) = waiting;
            let is_over = ms(at) >= wait_until(ms(*arrived), TARGET, Duration::ZERO);
            let is_first = self.instances[here].queue.is_first(&line(), *place);
            let is_sent = (is_first || is_over) && self.try_send(at, *arrived, here, need);
            if is_sent {
                self.instances[here].queue.leave(&line(), *place);
            }
            !is_sent
        });
        self.instances[here].pending = waiting;
    }

    /// Sends a request unless it must wait; returns whether it was sent.
    fn try_send(&mut self, at: u64, arrived: u64, here: usize, need: &Need) -> bool {
        let balance = &mut self.instances[here].balance;
        let chosen = match balance.choose(ms(at), need, |_| true) {
            Choice::Send(chosen, _) => chosen,
            Choice::AboveBound(chosen, expected) => {
                let expected = Duration::from_secs_f64(expected);
                if ms(at) < wait_until(ms(arrived), TARGET, expected) {
                    return false;
                }
                chosen
            }
            other => panic!("{other:?}"),
        };
        let added = balance.on_sent(ms(at), &chosen, need);
        let number: usize = chosen.as_str()[1..].parse().unwrap();
        self.servers[number].unread.push_back(Sent {
            instance: here,
            unread_ms: Duration::from_micros(added.reading_us).as_secs_f64() * 1e3,
            added,
            arrived,
            ends_at: 0,
            steps: 0,
            last_event_at: 0,
            is_late: false,
        });
        true
    }
}

/// Load pattern: a pace that alternates between usual and 2.5 times usual within a second, and
/// instances with old reports, at servers that read for 60% of the time. Guards against a bound that
/// lets more streams pause for too long, for instance because all instances send to the same free
/// servers, or that makes new requests miss their target instead.
#[test]
fn the_bound_spares_streams_and_keeps_first_bytes_in_time() {
    let (mut without, mut with) = (Outcome::default(), Outcome::default());
    for seed in 0..4 {
        without.add(&Simulation::new(seed, false).run());
        with.add(&Simulation::new(seed, true).run());
    }
    println!("without {without:?}\nwith {with:?}");
    let share = |late: u32, all: u32| f64::from(late) / f64::from(all);
    let late_streams = |it: &Outcome| share(it.late_streams, it.streams);
    let late_first_bytes = |it: &Outcome| share(it.late_first_bytes, it.first_bytes);
    assert!(late_streams(&with) < late_streams(&without));
    assert!(late_first_bytes(&with) < late_first_bytes(&without) + 0.01);
}
