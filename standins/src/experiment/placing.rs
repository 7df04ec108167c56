//! Which worker holds which model in an experiment.

use super::front::{artifact, worker_name};
use super::shape::Shape;
use poplarseam::decide::demand::Demand;
use poplarseam::decide::ledger::{Engine, Kind, Ledger, Record, Report};
use poplarseam::decide::place::{Candidate, Move, Planner, Requirement};
use poplarseam::decide::throttle::Throttle;
use poplarseam::world::artifact::Artifact;
use poplarseam::world::contract::{Placement, Weighing};
use poplarseam::world::unit::{Bytes, Rate};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// Longest time of an order on its way.
const ORDER_DELAY: Duration = Duration::from_secs(10);

/// How placement is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placing {
    /// Copies spread evenly at the start, and left there.
    Static,
    /// Another copy wherever it is asked for more than what it displaces.
    Greedy,
    /// This system.
    Ours,
    /// Every worker holds every model: what no placement can beat.
    Bound,
}

impl FromStr for Placing {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "static" => Ok(Self::Static),
            "greedy" => Ok(Self::Greedy),
            "ours" => Ok(Self::Ours),
            "bound" => Ok(Self::Bound),
            _ => Err("use static, greedy, ours or bound".into()),
        }
    }
}

/// Ledgers and decisions of a placement.
pub struct Placer {
    pub placing: Placing,
    shape: Shape,
    policy: Placement,
    ledgers: Vec<Ledger>,
    demand: Demand,
    pace: Throttle,
    throughput: Rate,
}

/// An order that leaves for a worker.
#[derive(Debug, Clone)]
pub struct Sent {
    pub worker: usize,
    pub order: crate::engine::Order,
}

impl Placer {
    /// Empty ledgers.
    #[must_use]
    pub fn new(shape: &Shape, placing: Placing, service: Duration) -> Self {
        let engine = Engine {
            memory: Bytes(shape.copies_per_worker),
            checks_fences: false,
            order_delay: ORDER_DELAY,
        };
        let ledger = |at: usize| {
            Ledger::new(
                worker_name(at).as_str(),
                engine,
                Record::default(),
                Duration::ZERO,
            )
        };
        let weighing = if shape.weighs_moves {
            Weighing::Moves
        } else {
            Weighing::Attainment
        };
        Self {
            placing,
            policy: Placement {
                weighing,
                loads_per_second: Rate(shape.loads_per_second),
                load_slots: shape.load_slots,
            },
            ledgers: (0..shape.workers).map(ledger).collect(),
            demand: Demand::default(),
            pace: Throttle::default(),
            throughput: Rate(f64::from(shape.batch) / service.as_secs_f64()),
            shape: shape.clone(),
        }
    }

    /// Copies that are there at the start: each model in turn, until workers are full.
    #[must_use]
    pub fn initial(&self) -> Vec<(usize, usize)> {
        if self.placing == Placing::Bound {
            let all = (0..self.shape.workers)
                .flat_map(|worker| (0..self.shape.models).map(move |model| (worker, model)));
            return all.collect();
        }
        let per_worker = usize::try_from(self.shape.copies_per_worker).unwrap_or(usize::MAX);
        let slots = self.shape.workers * per_worker;
        (0..slots)
            .map(|slot| (slot % self.shape.workers, slot % self.shape.models))
            .collect()
    }

    /// Takes requests per second by model.
    pub fn measure(&mut self, now: Duration, rates: &[f64]) {
        let rates = rates.iter().enumerate().filter(|(_, rate)| **rate > 0.0);
        let rates = rates
            .map(|(model, rate)| (artifact(model), *rate))
            .collect();
        self.demand.on_rates(now, self.policy.weighing, &rates);
    }

    /// Takes reports and decides; returns the orders that leave.
    pub fn round(&mut self, now: Duration, reports: &[Option<Report>]) -> Vec<Sent> {
        if matches!(self.placing, Placing::Static | Placing::Bound) {
            return Vec::new();
        }
        for (ledger, report) in self.ledgers.iter_mut().zip(reports) {
            let book = report
                .as_ref()
                .and_then(|report| ledger.on_report(now, report));
            if let Some(book) = book {
                ledger.on_committed(now, book);
            }
        }
        let moves = self.plan(now, reports);
        moves
            .iter()
            .filter_map(|planned| self.carry_out(now, planned))
            .collect()
    }

    fn plan(&mut self, now: Duration, reports: &[Option<Report>]) -> Vec<Move> {
        let loading = self.ledgers.iter().filter(|ledger| {
            let order = ledger.record().outstanding.as_ref();
            order.is_some_and(|order| order.kind == Kind::Load)
        });
        let loads_allowed = self.pace.available(now, &self.policy, loading.count());
        let wanted: Vec<Requirement> = (0..self.shape.models)
            .map(|model| Requirement {
                artifact: artifact(model),
                size: Bytes(1),
            })
            .collect();
        let sites: Vec<Candidate<'_>> = self
            .ledgers
            .iter()
            .enumerate()
            .map(|(at, ledger)| Candidate {
                worker: worker_name(at),
                ledger,
                throughput: self.throughput,
                accepts_loads: reports[at].is_some(),
            })
            .collect();
        if self.placing == Placing::Greedy {
            return greedy(now, &wanted, &self.demand, &sites, loads_allowed);
        }
        let planner = Planner::new(now, &self.policy, &wanted, &self.demand, &sites);
        planner.plan(loads_allowed)
    }

    fn carry_out(&mut self, now: Duration, planned: &Move) -> Option<Sent> {
        let worker = super::front::number(planned.worker.as_str());
        let ledger = &mut self.ledgers[worker];
        let book = match planned.kind {
            Kind::Load => ledger.record_with_load(&planned.artifact, planned.size)?,
            Kind::Unload => ledger.record_with_unload(now, &planned.artifact)?,
        };
        ledger.on_committed(now, book);
        if planned.kind == Kind::Load {
            self.pace.on_load();
        }
        let order = ledger.on_send(now)?;
        let order = crate::engine::Order {
            order: order.id(planned.worker.as_str()),
            fence: order.fence.0,
            load: order.kind == Kind::Load,
            artifact: order.artifact.to_string(),
            size: order.size.0,
        };
        Some(Sent { worker, order })
    }
}

/// Moves wherever a move gains at all: no hysteresis, no threshold.
fn greedy(
    now: Duration,
    wanted: &[Requirement],
    demand: &Demand,
    sites: &[Candidate<'_>],
    mut loads: usize,
) -> Vec<Move> {
    let mut copies: BTreeMap<&Artifact, f64> = BTreeMap::new();
    for site in sites.iter().filter(|site| site.accepts_loads) {
        for artifact in site.ledger.record().reservations.keys() {
            *copies.entry(artifact).or_default() += 1.0;
        }
    }
    let of = |artifact: &Artifact| copies.get(artifact).copied().unwrap_or(0.0);
    let need = |wanted: &&Requirement| {
        let copies = of(&wanted.artifact);
        if copies == 0.0 {
            f64::INFINITY
        } else {
            demand.rate(&wanted.artifact) / (copies + 1.0)
        }
    };
    let mut by_need: Vec<&Requirement> = wanted.iter().collect();
    by_need.sort_by(|a, b| need(b).total_cmp(&need(a)));
    let mut moves: Vec<Move> = Vec::new();
    for wanted in by_need.into_iter().take(4) {
        let touched =
            |site: &&Candidate<'_>| !moves.iter().any(|other| other.worker == site.worker);
        let open = || {
            sites
                .iter()
                .filter(|site| site.accepts_loads)
                .filter(touched)
        };
        let free = open().find(|site| {
            site.ledger
                .record_with_load(&wanted.artifact, wanted.size)
                .is_some()
        });
        if let Some(site) = free.filter(|_| loads > 0) {
            loads -= 1;
            moves.push(planned(
                Kind::Load,
                site,
                wanted.artifact.clone(),
                wanted.size,
            ));
            continue;
        }
        let victims = open()
            .filter(|site| {
                !site
                    .ledger
                    .record()
                    .reservations
                    .contains_key(&wanted.artifact)
            })
            .flat_map(|site| {
                let held = site.ledger.record().reservations.keys();
                held.map(move |artifact| (site, artifact.clone()))
            })
            .filter(|(site, artifact)| {
                of(artifact) > 1.0 && site.ledger.record_with_unload(now, artifact).is_some()
            });
        let value = |artifact: &Artifact| demand.rate(artifact) / of(artifact);
        let least = victims.min_by(|(_, a), (_, b)| value(a).total_cmp(&value(b)));
        if let Some((site, artifact)) = least
            && value(&artifact) < need(&wanted)
        {
            moves.push(planned(Kind::Unload, site, artifact, Bytes(0)));
        }
    }
    moves
}

fn planned(kind: Kind, at: &Candidate<'_>, artifact: Artifact, size: Bytes) -> Move {
    Move {
        kind,
        worker: at.worker.clone(),
        artifact,
        size,
    }
}
