//! One experiment: arrivals, entries, workers and placement in virtual time.
//!
//! Links are delays, and there is no fleet, no membership and no store: the decisions get the
//! same events that the threads of the processes would hand them.

use super::arrivals::{LENGTH, MEAN_OUTPUT, PREFILL, Request, Scenario, TOKEN, WARM_UP, draw};
use super::front::{Front, Order, Policy, artifact};
use super::placing::{Placer, Placing, Sent};
use super::shape::Shape;
use super::summary::{Life, Summary};
use super::worker::{Begun, Worker};
use poplarseam::decide::dispatch::End;
use poplarseam::decide::ledger::Report;
use poplarseam::world::id;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const GOSSIP: Duration = Duration::from_millis(250);
const REPORT: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_millis(20);
const PLACE: Duration = Duration::from_millis(200);
const MEASURE: Duration = Duration::from_secs(1);
/// Time that a worker which died takes to come back, empty.
const RESTART: Duration = Duration::from_secs(10);
/// The naive entry retries after this long.
const NAIVE_RETRY: Duration = Duration::from_millis(50);
/// A refused caller that does not wait asks again after this long.
const IMPATIENT: Duration = Duration::from_millis(100);

/// What is tried.
#[derive(Debug, Clone)]
pub struct Trial {
    pub shape: Shape,
    pub scenario: Scenario,
    pub policy: Policy,
    pub placing: Placing,
    /// Work against what all workers can do.
    pub load: f64,
    pub report_lag: Duration,
    pub fault: Fault,
    pub seed: u64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// A worker dies every 20 s.
    Deaths,
    /// The workers of one data centre are gone for a minute.
    DataCentre,
    /// The other region's entries and workers reach only each other for a minute.
    Parted,
    /// Nothing is placed for a minute: a store outage of an hour, scaled down.
    StoreOut,
    /// Every worker refuses for 30 s while callers ask again at once and for ever.
    Storm,
}

impl std::str::FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "deaths" => Ok(Self::Deaths),
            "data-centre" => Ok(Self::DataCentre),
            "parted" => Ok(Self::Parted),
            "store-out" => Ok(Self::StoreOut),
            "storm" => Ok(Self::Storm),
            _ => Err("use none, deaths, data-centre, parted, store-out or storm".into()),
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    Reach {
        request: usize,
        worker: usize,
    },
    Finish {
        request: usize,
        worker: usize,
        attempt: u32,
    },
    Ended {
        request: usize,
        end: End,
    },
    Report {
        worker: usize,
    },
    ReportSeen {
        entry: usize,
        worker: usize,
        report: Report,
    },
    Gossip {
        entry: usize,
    },
    GossipSeen {
        entry: usize,
        peer: usize,
        counts: BTreeMap<id::Worker, u32>,
    },
    Tick,
    Place,
    Measure,
    Loaded(Sent),
    Die(usize),
    Revive(usize),
}

#[derive(Debug)]
struct Timed(Duration, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Bench {
    trial: Trial,
    requests: Vec<Request>,
    lives: Vec<Life>,
    fronts: Vec<Front>,
    workers: Vec<Worker>,
    placer: Placer,
    events: BinaryHeap<Reverse<Timed>>,
    count: u64,
    now: Duration,
    asked: Vec<f64>,
    loading: u32,
    moves: u64,
}

/// Runs one experiment.
#[must_use]
pub fn run(trial: &Trial) -> Summary {
    let mut bench = Bench::new(trial.clone());
    bench.begin();
    while let Some(Reverse(Timed(at, _, event))) = bench.events.pop() {
        if at > LENGTH + Duration::from_secs(20) {
            break;
        }
        bench.now = at;
        bench.take(event);
    }
    let hits = bench.workers.iter().map(|worker| worker.hits).sum();
    Summary::new(
        &bench.requests,
        &bench.lives,
        trial.shape.workers,
        bench.moves,
        hits,
    )
}

impl Bench {
    fn new(trial: Trial) -> Self {
        let shape = &trial.shape;
        let requests = draw(shape, trial.scenario, trial.load, trial.seed);
        let service = TOKEN.mul_f64(MEAN_OUTPUT) + PREFILL * 200;
        let placer = Placer::new(shape, trial.placing, service);
        let memory = match trial.placing {
            Placing::Bound => shape.models as u64,
            _ => shape.copies_per_worker,
        };
        let mut workers: Vec<Worker> = (0..shape.workers)
            .map(|_| Worker::new(shape.batch, memory))
            .collect();
        for (worker, model) in placer.initial() {
            let order = crate::engine::Order {
                order: "initial".into(),
                fence: 0,
                load: true,
                artifact: artifact(model).to_string(),
                size: 1,
            };
            workers[worker].memory.begin(&order);
            workers[worker].memory.finish(&order);
        }
        Self {
            lives: vec![Life::default(); requests.len()],
            fronts: (0..shape.entries)
                .map(|at| Front::new(shape, trial.policy, at))
                .collect(),
            asked: vec![0.0; shape.models],
            requests,
            workers,
            placer,
            events: BinaryHeap::new(),
            count: 0,
            now: Duration::ZERO,
            loading: 0,
            moves: 0,
            trial,
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse(Timed(at, self.count, event)));
    }

    fn begin(&mut self) {
        for worker in 0..self.workers.len() {
            self.at(Duration::ZERO, Event::Report { worker });
        }
        for entry in 0..self.fronts.len() {
            self.at(
                GOSSIP / 8 * u32::try_from(entry).unwrap_or(0),
                Event::Gossip { entry },
            );
        }
        self.at(TICK, Event::Tick);
        self.at(PLACE, Event::Place);
        self.at(MEASURE, Event::Measure);
        for request in 0..self.requests.len() {
            let at = self.requests[request].at + Duration::from_secs(1);
            self.requests[request].at = at;
            self.at(at, Event::Arrive(request));
        }
        self.plan_faults();
    }

    fn plan_faults(&mut self) {
        match self.trial.fault {
            Fault::Deaths => {
                for (turn, at) in (40..160).step_by(20).enumerate() {
                    let worker = (turn * 5) % self.workers.len();
                    self.at(Duration::from_secs(at), Event::Die(worker));
                }
            }
            Fault::DataCentre => {
                let lost = (0..self.workers.len()).filter(|at| Shape::data_centre(*at) == 1);
                let lost: Vec<usize> = lost.collect();
                for worker in lost {
                    self.at(Duration::from_mins(1), Event::Die(worker));
                }
            }
            Fault::None | Fault::Parted | Fault::StoreOut | Fault::Storm => {}
        }
    }

    fn within(&self, from: u64, to: u64) -> bool {
        (Duration::from_secs(from)..Duration::from_secs(to)).contains(&self.now)
    }

    /// Whether two places can't reach each other now.
    fn parted(&self, a: usize, b: usize) -> bool {
        let apart = (Shape::data_centre(a) == 2) != (Shape::data_centre(b) == 2);
        self.trial.fault == Fault::Parted && apart && self.within(60, 120)
    }

    fn delay(&self, entry: usize, worker: usize) -> Duration {
        self.trial
            .shape
            .delay(Shape::data_centre(entry), Shape::data_centre(worker))
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Reach { request, worker } => self.reach(request, worker),
            Event::Finish {
                request,
                worker,
                attempt,
            } => self.finish(request, worker, attempt),
            Event::Ended { request, end } => self.ended(request, end),
            Event::Report { worker } => self.report(worker),
            Event::ReportSeen {
                entry,
                worker,
                report,
            } => {
                let orders = self.fronts[entry].report(self.now, worker, &report);
                self.carry_out(entry, orders);
            }
            Event::Gossip { entry } => self.gossip(entry),
            Event::GossipSeen {
                entry,
                peer,
                counts,
            } => {
                let orders = self.fronts[entry].peer(self.now, peer, &counts);
                self.carry_out(entry, orders);
            }
            Event::Tick => {
                for entry in 0..self.fronts.len() {
                    let orders = self.fronts[entry].tick(self.now);
                    self.carry_out(entry, orders);
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Place => self.place(),
            Event::Measure => {
                let mut rates =
                    std::mem::replace(&mut self.asked, vec![0.0; self.trial.shape.models]);
                for front in &mut self.fronts {
                    front.add_demand(&mut rates);
                }
                self.placer.measure(self.now, &rates);
                self.at(self.now + MEASURE, Event::Measure);
            }
            Event::Loaded(sent) => {
                self.loading -= u32::from(sent.order.load);
                if self.workers[sent.worker].alive {
                    self.workers[sent.worker].memory.finish(&sent.order);
                }
            }
            Event::Die(worker) => self.die(worker),
            Event::Revive(worker) => self.workers[worker].alive = true,
        }
    }

    fn arrive(&mut self, request: usize) {
        let wanted = &self.requests[request];
        if self.trial.policy == Policy::Naive {
            self.asked[wanted.model] += 1.0;
        }
        let entry = wanted.entry;
        let orders = self.fronts[entry].arrive(self.now, request, wanted);
        self.carry_out(entry, orders);
    }

    fn carry_out(&mut self, entry: usize, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Send { request, worker } => {
                    self.lives[request].attempts += 1;
                    let at = self.now + self.delay(entry, worker);
                    self.at(at, Event::Reach { request, worker });
                }
                Order::Refuse { request } => self.refuse(request),
            }
        }
    }

    fn refuse(&mut self, request: usize) {
        if self.trial.fault == Fault::Storm && self.now < LENGTH {
            self.at(self.now + IMPATIENT, Event::Arrive(request));
        } else {
            self.lives[request].refused = true;
        }
    }

    fn reach(&mut self, request: usize, worker: usize) {
        let entry = self.requests[request].entry;
        let back = self.now + self.delay(entry, worker);
        let storm = self.trial.fault == Fault::Storm && self.within(60, 90);
        let model = artifact(self.requests[request].model).to_string();
        let cut = self.parted(entry, worker);
        let there = &mut self.workers[worker];
        if storm || !there.alive {
            self.at(
                back,
                Event::Ended {
                    request,
                    end: End::Unreachable,
                },
            );
        } else if cut {
            let noticed = self.now + Duration::from_secs(1);
            self.at(
                noticed,
                Event::Ended {
                    request,
                    end: End::Unreachable,
                },
            );
        } else if there.memory.is_resident(&model) {
            there.push(request, self.requests[request].class);
            self.begin_waiting(worker);
        } else {
            self.at(
                back,
                Event::Ended {
                    request,
                    end: End::NotRun,
                },
            );
        }
    }

    fn begin_waiting(&mut self, worker: usize) {
        while let Some(begun) = self.workers[worker].begin(self.now, &self.requests) {
            let Begun {
                request,
                first_token,
                end,
            } = begun;
            let attempt = self.lives[request].attempts;
            let delay = self.delay(self.requests[request].entry, worker);
            let life = &mut self.lives[request];
            life.first_token.get_or_insert(first_token + delay);
            self.at(
                end,
                Event::Finish {
                    request,
                    worker,
                    attempt,
                },
            );
        }
    }

    fn finish(&mut self, request: usize, worker: usize, attempt: u32) {
        if self.lives[request].attempts != attempt || !self.workers[worker].end(request) {
            return;
        }
        let entry = self.requests[request].entry;
        let at = self.now + self.delay(entry, worker);
        self.at(
            at,
            Event::Ended {
                request,
                end: End::Done,
            },
        );
        self.begin_waiting(worker);
    }

    fn ended(&mut self, request: usize, end: End) {
        if end == End::Done {
            self.lives[request].done = Some(self.now);
        }
        if end != End::Done && self.trial.policy == Policy::Naive {
            return self.at(self.now + NAIVE_RETRY, Event::Arrive(request));
        }
        let wanted = &self.requests[request];
        let entry = wanted.entry;
        let orders = self.fronts[entry].end(self.now, request, wanted, end);
        self.carry_out(entry, orders);
    }

    fn worker_report(&self, worker: usize) -> Option<Report> {
        let there = &self.workers[worker];
        if !there.alive {
            return None;
        }
        let mut report: Report = serde_json::from_value(there.memory.report()).expect("a report");
        (report.active, report.queued) = there.load();
        Some(report)
    }

    fn report(&mut self, worker: usize) {
        if let Some(report) = self.worker_report(worker) {
            for entry in 0..self.fronts.len() {
                if self.parted(entry, worker) {
                    continue;
                }
                let at = self.now + self.trial.report_lag + self.delay(entry, worker);
                self.at(
                    at,
                    Event::ReportSeen {
                        entry,
                        worker,
                        report: report.clone(),
                    },
                );
            }
        }
        self.at(self.now + REPORT, Event::Report { worker });
    }

    fn gossip(&mut self, entry: usize) {
        let counts = self.fronts[entry].own();
        for peer in (0..self.fronts.len()).filter(|peer| *peer != entry) {
            if self.parted(entry, peer) {
                continue;
            }
            let at = self.now + self.delay(entry, peer);
            let counts = counts.clone();
            self.at(
                at,
                Event::GossipSeen {
                    entry: peer,
                    peer: entry,
                    counts,
                },
            );
        }
        self.at(self.now + GOSSIP, Event::Gossip { entry });
    }

    fn place(&mut self) {
        let out = self.trial.fault == Fault::StoreOut && self.within(60, 120);
        if !out {
            let reports: Vec<Option<Report>> = (0..self.workers.len())
                .map(|worker| {
                    self.worker_report(worker)
                        .filter(|_| !self.parted(0, worker))
                })
                .collect();
            for sent in self.placer.round(self.now, &reports) {
                self.order(sent);
            }
        }
        self.at(self.now + PLACE, Event::Place);
    }

    fn order(&mut self, sent: Sent) {
        if self.workers[sent.worker].memory.begin(&sent.order) != Some(true) {
            return;
        }
        self.moves += u64::from(self.now >= WARM_UP);
        let shape = &self.trial.shape;
        let mut time = shape.load / 10;
        if sent.order.load {
            self.loading += 1;
            let slots = u32::try_from(shape.load_slots).unwrap_or(1);
            time = shape.load * self.loading.div_ceil(slots);
        }
        self.at(self.now + time, Event::Loaded(sent));
    }

    fn die(&mut self, worker: usize) {
        let lost = self.workers[worker].die();
        for request in lost {
            let life = &mut self.lives[request];
            life.first_token = life.first_token.filter(|first| *first <= self.now);
            let entry = self.requests[request].entry;
            let at = self.now + self.delay(entry, worker);
            self.at(
                at,
                Event::Ended {
                    request,
                    end: End::Lost,
                },
            );
        }
        let back = if self.trial.fault == Fault::DataCentre {
            RESTART * 6
        } else {
            RESTART
        };
        self.at(self.now + back, Event::Revive(worker));
    }
}
