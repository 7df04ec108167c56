//! Checks on drawn schedules that no instance takes its configuration for newer than it is.

use super::build::ms;
use poplarseam::decide::freshness::{Echo, Freshness, Peer};
use poplarseam::world::unit::Incarnation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: u64 = 2_000;
const STEPS: u64 = 1_000;
const STEP_MS: u64 = 20;
const BOUND: Duration = Duration::from_secs(5);

/// How ages are told: by echo, or one way, with the age at the time of sending.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Echo,
    OneWay,
}

struct Instance {
    freshness: Freshness,
    peer: Peer,
    /// True time at which its clock was 0.
    started_at: Duration,
    in_force: u64,
    frozen_until: u64,
    is_cut_off: bool,
    /// Own proofs and those received one way.
    own: Option<(u64, Duration)>,
    one_way: Vec<(u64, Duration)>,
}

impl Instance {
    fn start(name: u64, now: Duration, random: &mut SmallRng) -> Self {
        let peer = Peer {
            instance: name,
            // The system's clock may have been set back, so a later one may be smaller.
            incarnation: Incarnation(random.random()),
        };
        let spread = random.random();
        // A clock starts before the process takes part.
        let started_at = now.saturating_sub(Duration::from_micros(random.random_range(0..900_000)));
        Self {
            freshness: Freshness::new(peer, BOUND, spread),
            peer,
            started_at,
            in_force: 0,
            frozen_until: 0,
            is_cut_off: false,
            own: None,
            one_way: Vec::new(),
        }
    }

    fn clock(&self, now: Duration) -> Duration {
        now.checked_sub(self.started_at).unwrap()
    }

    fn age(&self, now: Duration, rule: Rule) -> Option<Duration> {
        let now = self.clock(now);
        if rule == Rule::Echo {
            return self.freshness.age(now, self.in_force);
        }
        let proofs = self.one_way.iter().chain(&self.own);
        let proofs = proofs.filter(|(version, _)| *version <= self.in_force);
        proofs.map(|(_, moment)| now.saturating_sub(*moment)).min()
    }
}

enum Arrival {
    /// Answer of the store to a call by this incarnation.
    Answer {
        incarnation: Incarnation,
        began_at: Duration,
        version: u64,
    },
    Datagram {
        from: Peer,
        sent_at_ms: u64,
        echo: Option<Echo>,
        /// Version and age that the sender states for all.
        one_way: Option<(u64, Duration)>,
        in_force: u64,
    },
}

struct World {
    random: SmallRng,
    rule: Rule,
    now_ms: u64,
    instances: Vec<Instance>,
    /// When each version was acknowledged; the first is version 1.
    acknowledged: Vec<Duration>,
    /// Calls of instances that will reach the store, and how long their answers take after that.
    calls: BTreeMap<u64, Vec<(usize, Call)>>,
    arrivals: BTreeMap<u64, Vec<(usize, Arrival)>>,
}

struct Call {
    incarnation: Incarnation,
    began_at: Duration,
    return_ms: u64,
}

impl World {
    fn new(seed: u64, rule: Rule) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = random.random_range(2..6);
        let at = ms(1_000);
        let instances = (0..count).map(|name| Instance::start(name, at, &mut random));
        let instances = instances.collect();
        Self {
            random,
            rule,
            now_ms: 1_000,
            instances,
            acknowledged: vec![Duration::ZERO],
            calls: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    fn now(&self) -> Duration {
        ms(self.now_ms)
    }

    /// Draws a delay: mostly short, sometimes of seconds.
    fn delay_ms(&mut self) -> u64 {
        if self.random.random_bool(0.15) {
            self.random.random_range(0..12_000)
        } else {
            self.random.random_range(0..60)
        }
    }

    fn deliver(&mut self, delay_ms: u64, to: usize, arrival: Arrival) {
        let at = self.now_ms + delay_ms;
        self.arrivals.entry(at).or_default().push((to, arrival));
    }

    /// Makes one step. Returns an instance whose age is smaller than the true one, if there is one.
    fn step(&mut self) -> Option<String> {
        self.now_ms += STEP_MS;
        let now = self.now();
        if self.random.random_bool(0.005) {
            self.acknowledged.push(now);
        }
        for index in 0..self.instances.len() {
            self.disturb(index);
        }
        self.answer_calls();
        self.apply_arrivals();
        for index in 0..self.instances.len() {
            if self.instances[index].frozen_until <= self.now_ms {
                self.act(index);
            }
        }
        self.instances.iter().find_map(|instance| {
            let age = instance.age(now, self.rule)?;
            let next = usize::try_from(instance.in_force).unwrap();
            let missed = *self.acknowledged.get(next)?;
            let true_age = now.checked_sub(missed).unwrap();
            let (name, in_force) = (instance.peer.instance, instance.in_force);
            (age < true_age)
                .then(|| format!("{name} with {in_force} at {now:?}: {age:?} < {true_age:?}"))
        })
    }

    fn disturb(&mut self, index: usize) {
        let now = self.now();
        let draw: f64 = self.random.random();
        if draw < 0.002 {
            self.instances[index].frozen_until = self.now_ms + self.random.random_range(100..9_000);
        } else if draw < 0.004 {
            let is_cut_off = self.random.random_bool(0.5);
            self.instances[index].is_cut_off = is_cut_off;
        } else if draw < 0.005 {
            let name = self.instances[index].peer.instance;
            self.instances[index] = Instance::start(name, now, &mut self.random);
        }
    }

    /// Answers calls that have reached the store, with the newest version at that time.
    fn answer_calls(&mut self) {
        let later = self.calls.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.calls, later);
        for (index, call) in due.into_values().flatten() {
            let answer = Arrival::Answer {
                incarnation: call.incarnation,
                began_at: call.began_at,
                version: u64::try_from(self.acknowledged.len()).unwrap(),
            };
            self.deliver(call.return_ms, index, answer);
        }
    }

    /// Applies what has arrived; what arrived at a frozen instance is read when it goes on.
    fn apply_arrivals(&mut self) {
        let later = self.arrivals.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.arrivals, later);
        for (index, arrival) in due.into_values().flatten() {
            let frozen_until = self.instances[index].frozen_until;
            if frozen_until > self.now_ms {
                let wait = self.arrivals.entry(frozen_until).or_default();
                wait.push((index, arrival));
                continue;
            }
            self.apply(index, &arrival);
        }
    }

    fn apply(&mut self, index: usize, arrival: &Arrival) {
        let now = self.now();
        let fetches = self.random.random_bool(0.5);
        let instance = &mut self.instances[index];
        let clock = instance.clock(now);
        match *arrival {
            Arrival::Answer {
                incarnation,
                began_at,
                version,
            } => {
                if incarnation != instance.peer.incarnation {
                    return;
                }
                instance.in_force = instance.in_force.max(version);
                let version = instance.in_force;
                instance.freshness.on_store_answer(began_at, version);
                instance.own = Some((version, began_at));
            }
            Arrival::Datagram {
                from,
                sent_at_ms,
                echo,
                one_way,
                in_force,
            } => {
                if fetches {
                    instance.in_force = instance.in_force.max(in_force);
                }
                let freshness = &mut instance.freshness;
                if let Some(echo) = echo {
                    freshness.on_echo(clock, echo, instance.in_force);
                }
                freshness.on_stamp(clock, from, sent_at_ms);
                let one_way =
                    one_way.and_then(|(version, age)| Some((version, clock.checked_sub(age)?)));
                instance.one_way.extend(one_way);
            }
        }
    }

    /// Has an instance call the store and send datagrams, at drawn times.
    fn act(&mut self, index: usize) {
        let now = self.now();
        if !self.instances[index].is_cut_off && self.random.random_bool(0.02) {
            let (on_way, return_ms) = (self.delay_ms(), self.delay_ms());
            let instance = &self.instances[index];
            let call = Call {
                incarnation: instance.peer.incarnation,
                began_at: instance.clock(now),
                return_ms,
            };
            let reached = self.calls.entry(self.now_ms + on_way).or_default();
            reached.push((index, call));
        }
        for to in 0..self.instances.len() {
            if to != index && self.random.random_bool(0.05) {
                let delay = self.delay_ms();
                let is_lost = self.random.random_bool(0.1);
                let receiver = self.instances[to].peer.instance;
                let instance = &self.instances[index];
                let clock = instance.clock(now);
                let datagram = Arrival::Datagram {
                    from: instance.peer,
                    sent_at_ms: u64::try_from(clock.as_millis()).unwrap(),
                    echo: instance.freshness.echo(clock, receiver),
                    one_way: instance
                        .own
                        .map(|(version, moment)| (version, clock.saturating_sub(moment))),
                    in_force: instance.in_force,
                };
                if !is_lost {
                    self.deliver(delay, to, datagram);
                }
            }
        }
    }
}

/// Returns the first breach of each schedule that has one, and how often an instance had a proof
/// within the bound.
fn play(rule: Rule, seeds: u64) -> (Vec<String>, u64) {
    let (mut breaches, mut proven) = (Vec::new(), 0);
    for seed in 0..seeds {
        let mut world = World::new(seed, rule);
        for _ in 0..STEPS {
            if let Some(breach) = world.step() {
                breaches.push(format!("seed {seed}: {breach}"));
                break;
            }
            let now = world.now();
            let ages = world.instances.iter().map(|it| it.age(now, rule));
            let fresh = ages.filter(|age| age.is_some_and(|age| age < BOUND));
            proven += u64::try_from(fresh.count()).unwrap();
        }
    }
    (breaches, proven)
}

/// Guards against a revoked key that is served because an instance takes its configuration for newer
/// than it is.
#[test]
fn no_age_is_smaller_than_the_true_one() {
    let (breaches, proven) = play(Rule::Echo, SEEDS);
    assert_eq!(breaches.first(), None);
    // Instances must have proofs at all.
    assert!(proven > SEEDS * STEPS / 2, "{proven}");
}

/// Shows that the schedules are hard enough: ages told one way are wrong under delays.
#[test]
fn ages_told_one_way_are_too_small_in_the_same_schedules() {
    let (breaches, _) = play(Rule::OneWay, SEEDS / 10);
    assert!(breaches.len() > 100, "{}", breaches.len());
}
