//! Placement planner: decides which worker loads or unloads which model or adapter.
//!
//! Every artifact in the settings keeps at least one copy. Spare memory goes to the artifacts
//! that gain most from an additional copy, with hysteresis so that fluctuating demand does not cause
//! repeated loads and unloads. A new version serves before the old one is unloaded, and the last
//! copy of an artifact that the settings still require is never unloaded.

use crate::common::*;
use crate::decide::demand::Demand;
use crate::decide::ledger::{Kind, Ledger, State};
use crate::world::artifact::Artifact;
use crate::world::contract::{Placement, Weighing};
use crate::world::id;
use crate::world::unit::{Bytes, Rate, float};

/// Fraction of a worker's throughput that counts as capacity for a model even if the demand for
/// other models uses all of it.
const MIN_CAPACITY_FRACTION: f64 = 0.1;
/// Demand, in requests per second, below which no additional copy of an artifact is loaded.
const MIN_DEMAND_PER_SECOND: f64 = 0.2;

/// A load or an unload to be ordered from a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    pub kind: Kind,
    pub worker: id::Worker,
    pub artifact: Artifact,
    pub size: Bytes,
}

/// An artifact that the settings require.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    pub artifact: Artifact,
    pub size: Bytes,
}

/// A worker considered for placement, with its ledger.
#[derive(Debug)]
pub struct Candidate<'a> {
    pub worker: id::Worker,
    pub ledger: &'a Ledger,
    /// Requests per second that it answers at full utilization.
    pub throughput: Rate,
    /// Whether new artifacts may be loaded on it.
    pub accepts_loads: bool,
}

/// Plans moves from a view of the workers at one point in time; keeps no state between plans.
#[derive(Debug)]
pub struct Planner<'a> {
    policy: &'a Placement,
    required: &'a [Requirement],
    demand: &'a Demand,
    candidates: &'a [Candidate<'a>],
    now: Duration,
    /// Indices of the candidates that hold or load each artifact.
    holders: BTreeMap<&'a Artifact, Vec<usize>>,
    /// Number of candidates that accept loads and have each artifact resident.
    serving_copies: BTreeMap<&'a Artifact, usize>,
    /// Demand on each candidate, in requests per second.
    offered_rates: Vec<f64>,
}

impl<'a> Planner<'a> {
    /// Creates a planner for the given workers, required artifacts and callers' demand.
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

    /// Returns the moves to start now, the most urgent first: at most one per worker, and at most
    /// `loads_allowed` loads.
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

    /// Returns the requests per second that each copy of an artifact receives.
    fn rate_per_copy(&self, artifact: &Artifact) -> f64 {
        self.demand.rate(artifact) / float(self.copy_count(artifact).max(1) as u64)
    }

    fn offered_rate(&self, candidate: &Candidate<'_>) -> f64 {
        let reserved = candidate.ledger.record().reservations.keys();
        reserved.map(|artifact| self.rate_per_copy(artifact)).sum()
    }

    /// Plans loads of required artifacts that are neither resident nor loading on any worker that
    /// accepts loads: base models before adapters, then by descending demand.
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

    /// Plans a load on the best candidate; returns false if no worker can load the artifact now.
    fn load_on_best_candidate(&self, plan: &mut Plan, required: &Requirement) -> bool {
        let candidate = self.best_candidate(plan, required);
        let Some(candidate) = candidate else {
            return false;
        };
        plan.load(&candidate.worker, required);
        true
    }

    /// Returns the worker with the most spare throughput among those that can load an artifact now.
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
        let spare_throughput = |(candidate, current_rate): &(&Candidate<'_>, &f64)| {
            candidate.throughput.0 - **current_rate
        };
        capable
            .max_by(|a, b| spare_throughput(a).total_cmp(&spare_throughput(b)))
            .map(|(candidate, _)| candidate)
    }

    /// Plans the unload of the least valuable redundant copy, to free memory for a missing artifact.
    fn make_room(&self, plan: &mut Plan, required: &Requirement) {
        let base = required.artifact.base();
        let is_eligible = |candidate: &&Candidate<'_>| {
            let has_base =
                !required.artifact.is_adapter() || holds_artifact(candidate.ledger, &base);
            candidate.accepts_loads && has_base && !plan.has_move(&candidate.worker)
        };
        let cheapest_unload = |candidate: &Candidate<'_>| {
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
        let options = self
            .candidates
            .iter()
            .filter(is_eligible)
            .filter_map(cheapest_unload);
        let best = options.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        if let Some((_, worker, artifact)) = best {
            plan.unload(&worker, &artifact);
        }
    }

    /// Returns the artifacts that a worker may unload now because more than one worker that accepts
    /// loads has them resident. Base models that have adapters on the worker are left out.
    fn redundant_copies(&self, candidate: &Candidate<'_>) -> Vec<Artifact> {
        if candidate.ledger.record().outstanding.is_some() {
            return Vec::new();
        }
        let reservations = candidate.ledger.record().reservations.iter();
        let resident = reservations.filter(|(_, reservation)| reservation.state == State::Resident);
        let redundant = resident.filter(|(artifact, _)| self.serving_copies(artifact) > 1);
        let allowed =
            redundant.filter(|(artifact, _)| candidate.ledger.can_unload(self.now, artifact));
        let without_adapters =
            allowed.filter(|(artifact, _)| !has_adapters(candidate.ledger, artifact));
        without_adapters
            .map(|(artifact, _)| artifact.clone())
            .collect()
    }

    /// Returns the requests per second that each remaining copy would receive if one were unloaded.
    fn copy_value(&self, artifact: &Artifact) -> f64 {
        let copy_count = self.copy_count(artifact);
        self.demand.rate(artifact) / float(copy_count.saturating_sub(1).max(1) as u64)
    }

    /// Plans unloads of versions that the settings no longer require, once their successor, if there
    /// is one, is resident on a worker that accepts loads.
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

    /// Returns whether an artifact's successor is resident on a worker that accepts loads, or the
    /// artifact has no successor.
    fn is_replaced(&self, artifact: &Artifact) -> bool {
        let successor = self
            .required
            .iter()
            .find(|required| required.artifact.without_version() == artifact.without_version());
        successor.is_none_or(|successor| self.serving_copies(&successor.artifact) > 0)
    }

    /// Plans additional copies of artifacts whose utilization is above the threshold.
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

    /// Returns the ratio of an artifact's demand to the capacity of its copies. A ratio of 1 means
    /// that the capacity is used up; demand below [`MIN_DEMAND_PER_SECOND`] counts as 0.
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

    /// Returns the demand on a worker for all artifacts but one base model and its adapters.
    fn offered_rate_without(&self, index: usize, base: &Artifact) -> f64 {
        let reserved = self.candidates[index].ledger.record().reservations.keys();
        let same_base = reserved.filter(|artifact| artifact.base() == *base);
        self.offered_rates[index]
            - same_base
                .map(|artifact| self.rate_per_copy(artifact))
                .sum::<f64>()
    }

    /// Returns the utilization above which an artifact gets an additional copy.
    fn utilization_threshold(&self) -> f64 {
        match self.policy.weighing {
            Weighing::Attainment => 0.6,
            Weighing::Moves => 0.8,
        }
    }

    /// Returns the factor by which a new copy's gain must exceed the value of the copy that it
    /// displaces.
    fn displacement_factor(&self) -> f64 {
        match self.policy.weighing {
            Weighing::Attainment => 3.0,
            Weighing::Moves => 4.0,
        }
    }

    /// Plans the unload of the least valuable redundant copy, to make room for an additional copy of
    /// an overloaded artifact, if the gain outweighs the loss.
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

/// Moves planned so far.
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

    /// Adds a load, unless no more loads are allowed.
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
