//! What an entry decides in an experiment: as this system does, or as a naive one would.

use super::arrivals::Request;
use super::shape::Shape;
use poplarseam::decide::dispatch::{Action, Arrival, Dispatcher, End};
use poplarseam::decide::ledger::Report;
use poplarseam::decide::route::{Candidate, Cost, Fleet, Location, Requirement, expected_cost};
use poplarseam::decide::suspect::Fingerprint;
use poplarseam::world::artifact::Artifact;
use poplarseam::world::contract;
use poplarseam::world::id;
use poplarseam::world::table::Txn;
use poplarseam::world::unit::Tokens;
use serde_json::json;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// A request that may wait this long for its start.
const PATIENCE: Duration = Duration::from_millis(800);
/// Limit of each team, far above any demand.
const NO_LIMIT: f64 = 1e9;

/// How entries decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// This system.
    Ours,
    /// Ours, but the worker with the least reported load.
    LeastReported,
    /// Ours, but the least reported load with own sends since then added.
    LeastUsed,
    /// Round robin, no queue, no deadline, retries always.
    Naive,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "ours" => Ok(Self::Ours),
            "least-reported" => Ok(Self::LeastReported),
            "least-used" => Ok(Self::LeastUsed),
            "naive" => Ok(Self::Naive),
            _ => Err("use ours, least-reported, least-used or naive".into()),
        }
    }
}

/// Leave to send a request, or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    Send { request: usize, worker: usize },
    Refuse { request: usize },
}

/// One entry.
pub enum Front {
    Ours(Box<Dispatcher>),
    Naive(Naive),
}

/// Sends to workers in turn, by what they last reported to hold.
#[derive(Debug, Default)]
pub struct Naive {
    holders: BTreeMap<usize, Vec<String>>,
    turn: usize,
    waiting: Vec<(usize, usize)>,
}

/// Name of a model's artifact.
#[must_use]
pub fn artifact(model: usize) -> Artifact {
    format!("site/m{model}@v1").parse().expect("an artifact")
}

/// Name of a worker.
#[must_use]
pub fn worker_name(at: usize) -> id::Worker {
    format!("w{at}").parse().expect("a name")
}

/// Number out of a name such as `w7` or `r7`.
#[must_use]
pub fn number(name: &str) -> usize {
    name[1..].parse().expect("a number")
}

fn place(data_centre: usize) -> Location {
    let region = if data_centre == 2 { "south" } else { "north" };
    Location {
        data_centre: format!("dc{data_centre}").parse().expect("a name"),
        region: region.parse().expect("a name"),
    }
}

/// Contracts of all workers.
#[must_use]
pub fn contracts(shape: &Shape) -> BTreeMap<id::Worker, contract::Worker> {
    let contract = |at: usize| {
        let place = place(Shape::data_centre(at));
        let value = json!({
            "address": "127.0.0.1:1",
            "data_centre": place.data_centre,
            "region": place.region,
            "memory": shape.copies_per_worker,
            "batch": shape.batch,
        });
        (
            worker_name(at),
            serde_json::from_value(value).expect("a contract"),
        )
    };
    (0..shape.workers).map(contract).collect()
}

fn least_reported(candidate: &Candidate<'_>, _: &Requirement, _: Duration) -> f64 {
    f64::from(candidate.view.reported_in_flight())
}

fn least_used(candidate: &Candidate<'_>, _: &Requirement, _: Duration) -> f64 {
    f64::from(candidate.view.reported_in_flight() + candidate.view.sent_since_report())
}

impl Front {
    /// The entry with a number.
    #[must_use]
    pub fn new(shape: &Shape, policy: Policy, at: usize) -> Self {
        let cost: Cost = match policy {
            Policy::Naive => return Self::Naive(Naive::default()),
            Policy::Ours => expected_cost,
            Policy::LeastReported => least_reported,
            Policy::LeastUsed => least_used,
        };
        let fleet = Fleet::with_cost(place(Shape::data_centre(at)), cost);
        let name: id::Instance = format!("i{at}").parse().expect("a name");
        let mut dispatcher = Dispatcher::with_fleet(name.clone(), fleet);
        dispatcher.on_contracts(Duration::ZERO, &contracts(shape));
        dispatcher.on_instance_count(shape.entries);
        for team in 0..4 {
            let parts = BTreeMap::from([(name.to_string(), NO_LIMIT)]);
            let txn = Txn::default().put("share", 0, json!({ "parts": parts }));
            dispatcher
                .share(Duration::ZERO, &team_name(team))
                .on_committed(Duration::ZERO, &txn);
        }
        Self::Ours(Box::new(dispatcher))
    }

    /// Takes a request.
    pub fn arrive(&mut self, now: Duration, number: usize, request: &Request) -> Vec<Order> {
        match self {
            Self::Ours(dispatcher) => {
                let actions = dispatcher.on_arrival(now, arrival(now, number, request));
                orders(actions)
            }
            Self::Naive(naive) => naive.send(number, request.model),
        }
    }

    /// Takes how an attempt ended.
    pub fn end(&mut self, now: Duration, number: usize, request: &Request, end: End) -> Vec<Order> {
        match self {
            Self::Ours(dispatcher) => orders(dispatcher.on_end(now, &request_name(number), end)),
            Self::Naive(_) if end == End::Done => Vec::new(),
            Self::Naive(naive) => naive.send(number, request.model),
        }
    }

    /// Takes a worker's report.
    pub fn report(&mut self, now: Duration, worker: usize, report: &Report) -> Vec<Order> {
        match self {
            Self::Ours(dispatcher) => {
                orders(dispatcher.on_report(now, &worker_name(worker), report.clone()))
            }
            Self::Naive(naive) => {
                let resident = report.resident.keys().map(ToString::to_string).collect();
                naive.holders.insert(worker, resident);
                naive.send_waiting()
            }
        }
    }

    /// Takes what another entry runs on each worker.
    pub fn peer(
        &mut self,
        now: Duration,
        peer: usize,
        counts: &BTreeMap<id::Worker, u32>,
    ) -> Vec<Order> {
        match self {
            Self::Ours(dispatcher) => {
                let peer = format!("i{peer}").parse().expect("a name");
                orders(dispatcher.on_peer_in_flight(now, &peer, counts))
            }
            Self::Naive(_) => Vec::new(),
        }
    }

    /// What this entry runs on each worker.
    #[must_use]
    pub fn own(&self) -> BTreeMap<id::Worker, u32> {
        match self {
            Self::Ours(dispatcher) => dispatcher.own_in_flight(),
            Self::Naive(_) => BTreeMap::new(),
        }
    }

    /// Adds the requests for each model since the last call, as this system counts them.
    pub fn add_demand(&mut self, rates: &mut [f64]) {
        let Self::Ours(dispatcher) = self else {
            return;
        };
        for (artifact, count) in dispatcher.take_demand() {
            let model = artifact
                .as_str()
                .trim_start_matches("site/")
                .split('@')
                .next();
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            rates[number(model.unwrap_or("m0"))] += f64::from(count);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Order> {
        match self {
            Self::Ours(dispatcher) => orders(dispatcher.on_tick(now)),
            Self::Naive(naive) => naive.send_waiting(),
        }
    }
}

impl Naive {
    fn send(&mut self, request: usize, model: usize) -> Vec<Order> {
        let wanted = artifact(model).to_string();
        let holders = self
            .holders
            .iter()
            .filter(|(_, resident)| resident.contains(&wanted));
        let holders: Vec<usize> = holders.map(|(worker, _)| *worker).collect();
        if holders.is_empty() {
            self.waiting.push((request, model));
            return Vec::new();
        }
        self.turn += 1;
        let worker = holders[self.turn % holders.len()];
        vec![Order::Send { request, worker }]
    }

    fn send_waiting(&mut self) -> Vec<Order> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .flat_map(|(request, model)| self.send(request, model))
            .collect()
    }
}

fn team_name(team: usize) -> id::Team {
    format!("t{team}").parse().expect("a name")
}

fn request_name(number: usize) -> id::Request {
    format!("r{number}").parse().expect("a name")
}

fn arrival(now: Duration, number: usize, request: &Request) -> Arrival {
    Arrival {
        request: request_name(number),
        team: team_name(request.team),
        weight: 1,
        class: request.class,
        artifact: artifact(request.model),
        fingerprint: Fingerprint(number as u64),
        parts: Vec::new(),
        prefix: request.prefix,
        prompt: Tokens(request.prompt),
        output: Tokens(request.output),
        deadline: now + PATIENCE,
        resume_worker: None,
    }
}

fn orders(actions: Vec<Action>) -> Vec<Order> {
    let order = |action| match action {
        Action::Start {
            request, worker, ..
        } => Some(Order::Send {
            request: number(request.as_str()),
            worker: number(worker.as_str()),
        }),
        Action::Refuse { request, .. } => Some(Order::Refuse {
            request: number(request.as_str()),
        }),
        Action::Struck(_) | Action::Convicted(_) | Action::Cleared(_) => None,
    };
    actions.into_iter().filter_map(order).collect()
}
