//! Which worker holds which model.
//!
//! Every model keeps a copy. Spare memory goes to the copies that gain most for the load that
//! they cost, with hysteresis so that demand that moves back and forth does not move models. A
//! new version serves before the old one is unloaded, and the last copy of a model that is
//! still wanted is never unloaded.

use crate::common::*;
use crate::decide::demand::Demand;
use crate::decide::ledger::{Kind, Ledger, State};
use crate::world::artifact::Artifact;
use crate::world::contract::{Placement, Weighing};
use crate::world::id;
use crate::world::unit::{Bytes, Rate, float};

/// Part of a worker that counts as room for a model though others ask for all of it.
const MIN_CAPACITY_FRACTION: f64 = 0.1;
/// Demand below this many requests per second isn't worth another copy.
const MIN_DEMAND_PER_SECOND: f64 = 0.2;

/// A load or an unload that should happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    pub kind: Kind,
    pub worker: id::Worker,
    pub artifact: Artifact,
    pub size: Bytes,
}

/// An artifact that settings ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    pub artifact: Artifact,
    pub size: Bytes,
}

/// A worker with its ledger.
#[derive(Debug)]
pub struct Candidate<'a> {
    pub worker: id::Worker,
    pub ledger: &'a Ledger,
    /// Requests that it answers each second when it is full.
    pub throughput: Rate,
    /// Whether it may get new artifacts.
    pub accepts_loads: bool,
}

/// Decides moves; it keeps nothing between calls.
#[derive(Debug)]
pub struct Planner<'a> {
    policy: &'a Placement,
    required: &'a [Requirement],
    demand: &'a Demand,
    candidates: &'a [Candidate<'a>],
    now: Duration,
    /// Sites that hold each artifact, or load it.
    holders: BTreeMap<&'a Artifact, Vec<usize>>,
    /// Open sites that serve each artifact.
    serving_copies: BTreeMap<&'a Artifact, usize>,
    /// Demand on each site, in requests per second.
    offered_rates: Vec<f64>,
}

impl<'a> Planner<'a> {
    /// Looks at workers, what settings ask for and what callers ask for.
    #[must_use]
    pub fn new(
        now: Duration,
        policy: &'a Placement,
        required: &'a [Requirement],
        demand: &'a Demand,
        candidates: &'a [Candidate<'a>],
    ) -> Self {
        let mut holders: BTreeMap<&Artifact, Vec<usize>> = BTreeMap::new();
        let mut serving_copies: BTreeMap<&Artifact, usize> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            for (artifact, reservation) in &candidate.ledger.record().reservations {
                if matches!(reservation.state, State::Loading | State::Resident) {
                    holders.entry(artifact).or_default().push(index);
                }
                let ready = candidate.accepts_loads && reservation.state == State::Resident;
                *serving_copies.entry(artifact).or_default() += usize::from(ready);
            }
        }
        let mut planner = Self {
            policy,
            required,
            demand,
            candidates,
            now,
            holders,
            serving_copies,
            offered_rates: Vec::new(),
        };
        planner.offered_rates = candidates
            .iter()
            .map(|candidate| planner.offered_rate(candidate))
            .collect();
        planner
    }

    /// Moves that should start now, the most urgent first; at most one for each worker, and no
    /// more loads than `loads_allowed`.
    #[must_use]
    pub fn plan(&self, loads_allowed: usize) -> Vec<Move> {
        let mut plan = Plan::new(loads_allowed);
        self.restore_missing(&mut plan);
        self.unload_obsolete(&mut plan);
        self.add_copies(&mut plan);
        plan.moves
    }

    fn holders(&self, artifact: &Artifact) -> &[usize] {
        self.holders.get(artifact).map_or(&[], Vec::as_slice)
    }

    fn copy_count(&self, artifact: &Artifact) -> usize {
        self.holders(artifact).len()
    }

    fn serving_copies(&self, artifact: &Artifact) -> usize {
        self.serving_copies.get(artifact).copied().unwrap_or(0)
    }

    /// Requests per second for each copy of an artifact.
    fn rate_per_copy(&self, artifact: &Artifact) -> f64 {
        self.demand.rate(artifact) / float(self.copy_count(artifact).max(1) as u64)
    }

    fn offered_rate(&self, candidate: &Candidate<'_>) -> f64 {
        let reserved = candidate.ledger.record().reservations.keys();
        reserved.map(|artifact| self.rate_per_copy(artifact)).sum()
    }

    /// Models that no open worker holds, base models before adapters, by demand.
    fn restore_missing(&self, plan: &mut Plan) {
        let missing = |required: &&Requirement| {
            let holders = self.holders(&required.artifact).iter();
            holders
                .filter(|index| self.candidates[**index].accepts_loads)
                .count()
                == 0
        };
        let mut missing: Vec<&Requirement> = self.required.iter().filter(missing).collect();
        let demand_rate = |required: &Requirement| self.demand.rate(&required.artifact);
        missing.sort_by(|a, b| {
            let by_base = a.artifact.is_adapter().cmp(&b.artifact.is_adapter());
            by_base.then_with(|| demand_rate(b).total_cmp(&demand_rate(a)))
        });
        for required in missing {
            if !self.load_on_best_candidate(plan, required) {
                self.make_room(plan, required);
            }
        }
    }

    fn load_on_best_candidate(&self, plan: &mut Plan, required: &Requirement) -> bool {
        let candidate = self.best_candidate(plan, required);
        let Some(candidate) = candidate else {
            return false;
        };
        plan.load(&candidate.worker, required);
        true
    }

    /// The worker with most throughput to spare that can take an artifact now.
    fn best_candidate(&self, plan: &Plan, required: &Requirement) -> Option<&Candidate<'_>> {
        let base = required.artifact.base();
        let capable = self
            .candidates
            .iter()
            .zip(&self.offered_rates)
            .filter(|(candidate, _)| {
                let base_ready = !required.artifact.is_adapter()
                    || reservation_state(candidate.ledger, &base) == Some(State::Resident);
                let allowed = candidate.accepts_loads && !plan.has_move(&candidate.worker);
                allowed
                    && base_ready
                    && candidate.ledger.can_load(&required.artifact, required.size)
            });
        let spare = |(candidate, load): &(&Candidate<'_>, &f64)| candidate.throughput.0 - **load;
        capable
            .max_by(|a, b| spare(a).total_cmp(&spare(b)))
            .map(|(candidate, _)| candidate)
    }

    /// Unloads the least useful spare copy where that makes room for a missing artifact.
    fn make_room(&self, plan: &mut Plan, required: &Requirement) {
        let base = required.artifact.base();
        let is_eligible = |candidate: &&Candidate<'_>| {
            let has_base =
                !required.artifact.is_adapter() || holds_artifact(candidate.ledger, &base);
            candidate.accepts_loads && has_base && !plan.has_move(&candidate.worker)
        };
        let spare = |candidate: &Candidate<'_>| {
            let redundant_copies = self
                .redundant_copies(candidate)
                .into_iter()
                .filter(|artifact| *artifact != base);
            let least_valuable = redundant_copies
                .min_by(|a, b| self.copy_value(a).total_cmp(&self.copy_value(b)))?;
            Some((
                self.copy_value(&least_valuable),
                candidate.worker.clone(),
                least_valuable,
            ))
        };
        let options = self.candidates.iter().filter(is_eligible).filter_map(spare);
        let best = options.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        if let Some((_, worker, artifact)) = best {
            plan.unload(&worker, &artifact);
        }
    }

    /// Resident artifacts of which another open worker has a copy.
    fn redundant_copies(&self, candidate: &Candidate<'_>) -> Vec<Artifact> {
        if candidate.ledger.record().outstanding.is_some() {
            return Vec::new();
        }
        let reservations = candidate.ledger.record().reservations.iter();
        let resident = reservations.filter(|(_, reservation)| reservation.state == State::Resident);
        let spare = resident.filter(|(artifact, _)| self.serving_copies(artifact) > 1);
        let allowed = spare.filter(|(artifact, _)| candidate.ledger.can_unload(self.now, artifact));
        let without_adapters =
            allowed.filter(|(artifact, _)| !has_adapters(candidate.ledger, artifact));
        without_adapters
            .map(|(artifact, _)| artifact.clone())
            .collect()
    }

    /// Requests per second for each copy, were one taken away.
    fn copy_value(&self, artifact: &Artifact) -> f64 {
        let copy_count = self.copy_count(artifact);
        self.demand.rate(artifact) / float(copy_count.saturating_sub(1).max(1) as u64)
    }

    /// Versions that settings no longer ask for, once their successor serves.
    fn unload_obsolete(&self, plan: &mut Plan) {
        let required: BTreeSet<&Artifact> = self
            .required
            .iter()
            .map(|required| &required.artifact)
            .collect();
        for candidate in self.candidates {
            if plan.has_move(&candidate.worker) || candidate.ledger.record().outstanding.is_some() {
                continue;
            }
            let reservations = candidate.ledger.record().reservations.iter();
            let resident =
                reservations.filter(|(_, reservation)| reservation.state == State::Resident);
            let mut obsolete = resident.map(|(artifact, _)| artifact).filter(|artifact| {
                !required.contains(artifact) && !has_adapters(candidate.ledger, artifact)
            });
            let replaced = obsolete.find(|artifact| {
                let is_unloadable = candidate.ledger.can_unload(self.now, artifact);
                is_unloadable && self.is_replaced(artifact)
            });
            if let Some(artifact) = replaced {
                plan.unload(&candidate.worker, artifact);
            }
        }
    }

    fn is_replaced(&self, artifact: &Artifact) -> bool {
        let successor = self
            .required
            .iter()
            .find(|required| required.artifact.lineage() == artifact.lineage());
        successor.is_none_or(|successor| self.serving_copies(&successor.artifact) > 0)
    }

    /// Further copies where demand is higher than the copies can answer.
    fn add_copies(&self, plan: &mut Plan) {
        let mut overloaded: Vec<(f64, &Requirement)> = self
            .required
            .iter()
            .filter(|required| self.copy_count(&required.artifact) > 0)
            .map(|required| (self.utilization(required), required))
            .filter(|(utilization, _)| *utilization > self.utilization_threshold())
            .collect();
        overloaded.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (utilization, required) in overloaded {
            if !self.load_on_best_candidate(plan, required) {
                self.displace(plan, required, utilization);
            }
        }
    }

    /// Demand against what the copies can answer: 1 is full.
    fn utilization(&self, required: &Requirement) -> f64 {
        let rate = self.demand.rate(&required.artifact);
        if rate < MIN_DEMAND_PER_SECOND {
            return 0.0;
        }
        let base = required.artifact.base();
        let capacity: f64 = self
            .holders(&required.artifact)
            .iter()
            .map(|index| {
                let throughput = self.candidates[*index].throughput.0;
                (throughput - self.offered_rate_without(*index, &base))
                    .max(throughput * MIN_CAPACITY_FRACTION)
            })
            .sum();
        rate / capacity.max(1e-9)
    }

    /// Demand on a worker for everything but one model and its adapters.
    fn offered_rate_without(&self, index: usize, base: &Artifact) -> f64 {
        let reserved = self.candidates[index].ledger.record().reservations.keys();
        let same_base = reserved.filter(|artifact| artifact.base() == *base);
        self.offered_rates[index]
            - same_base
                .map(|artifact| self.rate_per_copy(artifact))
                .sum::<f64>()
    }

    fn utilization_threshold(&self) -> f64 {
        match self.policy.weighing {
            Weighing::Attainment => 0.6,
            Weighing::Moves => 0.8,
        }
    }

    /// How many times as useful a new copy must be as the one that it displaces.
    fn displacement_factor(&self) -> f64 {
        match self.policy.weighing {
            Weighing::Attainment => 3.0,
            Weighing::Moves => 4.0,
        }
    }

    fn displace(&self, plan: &mut Plan, required: &Requirement, utilization: f64) {
        if plan.loads_left == 0 {
            return;
        }
        let gain = self.demand.rate(&required.artifact)
            / float(self.copy_count(&required.artifact) as u64 + 1);
        let options = self.candidates.iter().filter(|candidate| {
            candidate.accepts_loads
                && !plan.has_move(&candidate.worker)
                && !holds_artifact(candidate.ledger, &required.artifact)
        });
        let victims = options.flat_map(|candidate| {
            let redundant_copies = self.redundant_copies(candidate).into_iter();
            redundant_copies.map(|artifact| {
                (
                    self.copy_value(&artifact),
                    candidate.worker.clone(),
                    artifact,
                )
            })
        });
        let cheapest = victims.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        let Some((copy_value, worker, artifact)) = cheapest else {
            return;
        };
        if utilization > 1.0 && gain > copy_value * self.displacement_factor() {
            plan.unload(&worker, &artifact);
        }
    }
}

#[derive(Debug)]
struct Plan {
    moves: Vec<Move>,
    loads_left: usize,
}

impl Plan {
    const fn new(loads_left: usize) -> Self {
        Self {
            moves: Vec::new(),
            loads_left,
        }
    }

    fn has_move(&self, worker: &id::Worker) -> bool {
        self.moves.iter().any(|planned| planned.worker == *worker)
    }

    fn load(&mut self, worker: &id::Worker, required: &Requirement) {
        if self.loads_left == 0 {
            return;
        }
        self.loads_left -= 1;
        let Requirement { artifact, size } = required.clone();
        self.moves.push(Move {
            kind: Kind::Load,
            worker: worker.clone(),
            artifact,
            size,
        });
    }

    fn unload(&mut self, worker: &id::Worker, artifact: &Artifact) {
        let (worker, artifact) = (worker.clone(), artifact.clone());
        self.moves.push(Move {
            kind: Kind::Unload,
            worker,
            artifact,
            size: Bytes(0),
        });
    }
}

fn reservation_state(ledger: &Ledger, artifact: &Artifact) -> Option<State> {
    ledger
        .record()
        .reservations
        .get(artifact)
        .map(|reservation| reservation.state)
}

fn holds_artifact(ledger: &Ledger, artifact: &Artifact) -> bool {
    matches!(
        reservation_state(ledger, artifact),
        Some(State::Loading | State::Resident)
    )
}

fn has_adapters(ledger: &Ledger, artifact: &Artifact) -> bool {
    let reserved = ledger.record().reservations.keys();
    !artifact.is_adapter()
        && reserved
            .into_iter()
            .any(|other| other != artifact && other.base() == *artifact)
}
