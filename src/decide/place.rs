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
const LEAST_ROOM: f64 = 0.1;
/// Demand below this many requests per second isn't worth another copy.
const LITTLE: f64 = 0.2;

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
pub struct Wanted {
    pub artifact: Artifact,
    pub size: Bytes,
}

/// A worker with its ledger.
#[derive(Debug)]
pub struct Site<'a> {
    pub worker: id::Worker,
    pub ledger: &'a Ledger,
    /// Requests that it answers each second when it is full.
    pub throughput: Rate,
    /// Whether it may get new artifacts.
    pub open: bool,
}

/// Decides moves; it keeps nothing between calls.
#[derive(Debug)]
pub struct Planner<'a> {
    policy: &'a Placement,
    wanted: &'a [Wanted],
    demand: &'a Demand,
    sites: &'a [Site<'a>],
    now: Duration,
    /// Sites that hold each artifact, or load it.
    holders: BTreeMap<&'a Artifact, Vec<usize>>,
    /// Open sites that serve each artifact.
    served: BTreeMap<&'a Artifact, usize>,
    /// Demand on each site, in requests per second.
    loads: Vec<f64>,
}

impl<'a> Planner<'a> {
    /// Looks at workers, what settings ask for and what callers ask for.
    #[must_use]
    pub fn new(
        now: Duration,
        policy: &'a Placement,
        wanted: &'a [Wanted],
        demand: &'a Demand,
        sites: &'a [Site<'a>],
    ) -> Self {
        let mut holders: BTreeMap<&Artifact, Vec<usize>> = BTreeMap::new();
        let mut served: BTreeMap<&Artifact, usize> = BTreeMap::new();
        for (at, site) in sites.iter().enumerate() {
            for (artifact, reservation) in &site.ledger.book().reservations {
                if matches!(reservation.state, State::Loading | State::Resident) {
                    holders.entry(artifact).or_default().push(at);
                }
                let ready = site.open && reservation.state == State::Resident;
                *served.entry(artifact).or_default() += usize::from(ready);
            }
        }
        let mut planner = Self {
            policy,
            wanted,
            demand,
            sites,
            now,
            holders,
            served,
            loads: Vec::new(),
        };
        planner.loads = sites.iter().map(|site| planner.load_of(site)).collect();
        planner
    }

    /// Moves that should start now, the most urgent first; at most one for each worker, and no
    /// more loads than `loads_allowed`.
    #[must_use]
    pub fn plan(&self, loads_allowed: usize) -> Vec<Move> {
        let mut plan = Plan::new(loads_allowed);
        self.restore_missing(&mut plan);
        self.unload_unwanted(&mut plan);
        self.add_copies(&mut plan);
        plan.moves
    }

    fn holders(&self, artifact: &Artifact) -> &[usize] {
        self.holders.get(artifact).map_or(&[], Vec::as_slice)
    }

    fn copies(&self, artifact: &Artifact) -> usize {
        self.holders(artifact).len()
    }

    fn served(&self, artifact: &Artifact) -> usize {
        self.served.get(artifact).copied().unwrap_or(0)
    }

    /// Requests per second for each copy of an artifact.
    fn per_copy(&self, artifact: &Artifact) -> f64 {
        self.demand.rate(artifact) / float(self.copies(artifact).max(1) as u64)
    }

    fn load_of(&self, site: &Site<'_>) -> f64 {
        let held = site.ledger.book().reservations.keys();
        held.map(|artifact| self.per_copy(artifact)).sum()
    }

    /// Models that no open worker holds, base models before adapters, by demand.
    fn restore_missing(&self, plan: &mut Plan) {
        let missing = |wanted: &&Wanted| {
            let holders = self.holders(&wanted.artifact).iter();
            holders.filter(|at| self.sites[**at].open).count() == 0
        };
        let mut missing: Vec<&Wanted> = self.wanted.iter().filter(missing).collect();
        let rank = |wanted: &Wanted| self.demand.rate(&wanted.artifact);
        missing.sort_by(|a, b| {
            let by_base = a.artifact.is_adapter().cmp(&b.artifact.is_adapter());
            by_base.then_with(|| rank(b).total_cmp(&rank(a)))
        });
        for wanted in missing {
            if !self.load_somewhere(plan, wanted) {
                self.make_room(plan, wanted);
            }
        }
    }

    fn load_somewhere(&self, plan: &mut Plan, wanted: &Wanted) -> bool {
        let site = self.best_site(plan, wanted);
        let Some(site) = site else { return false };
        plan.load(&site.worker, wanted);
        true
    }

    /// The worker with most throughput to spare that can take an artifact now.
    fn best_site(&self, plan: &Plan, wanted: &Wanted) -> Option<&Site<'_>> {
        let base = wanted.artifact.base();
        let able = self.sites.iter().zip(&self.loads).filter(|(site, _)| {
            let rooted = !wanted.artifact.is_adapter()
                || state_of(site.ledger, &base) == Some(State::Resident);
            let free = site.open && !plan.touched(&site.worker);
            free && rooted && site.ledger.can_load(&wanted.artifact, wanted.size)
        });
        let spare = |(site, load): &(&Site<'_>, &f64)| site.throughput.0 - **load;
        able.max_by(|a, b| spare(a).total_cmp(&spare(b)))
            .map(|(site, _)| site)
    }

    /// Unloads the least useful spare copy where that makes room for a missing artifact.
    fn make_room(&self, plan: &mut Plan, wanted: &Wanted) {
        let base = wanted.artifact.base();
        let fits = |site: &&Site<'_>| {
            let right = !wanted.artifact.is_adapter() || holds(site.ledger, &base);
            site.open && right && !plan.touched(&site.worker)
        };
        let spare = |site: &Site<'_>| {
            let spares = self
                .spares(site)
                .into_iter()
                .filter(|artifact| *artifact != base);
            let worst = spares.min_by(|a, b| self.value(a).total_cmp(&self.value(b)))?;
            Some((self.value(&worst), site.worker.clone(), worst))
        };
        let candidates = self.sites.iter().filter(fits).filter_map(spare);
        let best = candidates.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        if let Some((_, worker, artifact)) = best {
            plan.unload(&worker, &artifact);
        }
    }

    /// Resident artifacts of which another open worker has a copy.
    fn spares(&self, site: &Site<'_>) -> Vec<Artifact> {
        if site.ledger.book().outstanding.is_some() {
            return Vec::new();
        }
        let reservations = site.ledger.book().reservations.iter();
        let resident = reservations.filter(|(_, reservation)| reservation.state == State::Resident);
        let spare = resident.filter(|(artifact, _)| self.served(artifact) > 1);
        let free = spare.filter(|(artifact, _)| site.ledger.can_unload(self.now, artifact));
        let unused = free.filter(|(artifact, _)| !has_adapters(site.ledger, artifact));
        unused.map(|(artifact, _)| artifact.clone()).collect()
    }

    /// Requests per second for each copy, were one taken away.
    fn value(&self, artifact: &Artifact) -> f64 {
        let copies = self.copies(artifact);
        self.demand.rate(artifact) / float(copies.saturating_sub(1).max(1) as u64)
    }

    /// Versions that settings no longer ask for, once their successor serves.
    fn unload_unwanted(&self, plan: &mut Plan) {
        let wanted: BTreeSet<&Artifact> =
            self.wanted.iter().map(|wanted| &wanted.artifact).collect();
        for site in self.sites {
            if plan.touched(&site.worker) || site.ledger.book().outstanding.is_some() {
                continue;
            }
            let reservations = site.ledger.book().reservations.iter();
            let resident =
                reservations.filter(|(_, reservation)| reservation.state == State::Resident);
            let mut unwanted = resident.map(|(artifact, _)| artifact).filter(|artifact| {
                !wanted.contains(artifact) && !has_adapters(site.ledger, artifact)
            });
            let replaced = unwanted.find(|artifact| {
                let may = site.ledger.can_unload(self.now, artifact);
                may && self.is_replaced(artifact)
            });
            if let Some(artifact) = replaced {
                plan.unload(&site.worker, artifact);
            }
        }
    }

    fn is_replaced(&self, artifact: &Artifact) -> bool {
        let successor = self
            .wanted
            .iter()
            .find(|wanted| wanted.artifact.without_version() == artifact.without_version());
        successor.is_none_or(|successor| self.served(&successor.artifact) > 0)
    }

    /// Further copies where demand is higher than the copies can answer.
    fn add_copies(&self, plan: &mut Plan) {
        let mut pressed: Vec<(f64, &Wanted)> = self
            .wanted
            .iter()
            .filter(|wanted| self.copies(&wanted.artifact) > 0)
            .map(|wanted| (self.pressure(wanted), wanted))
            .filter(|(pressure, _)| *pressure > self.threshold())
            .collect();
        pressed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (pressure, wanted) in pressed {
            if !self.load_somewhere(plan, wanted) {
                self.displace(plan, wanted, pressure);
            }
        }
    }

    /// Demand against what the copies can answer: 1 is full.
    fn pressure(&self, wanted: &Wanted) -> f64 {
        let rate = self.demand.rate(&wanted.artifact);
        if rate < LITTLE {
            return 0.0;
        }
        let base = wanted.artifact.base();
        let room: f64 = self
            .holders(&wanted.artifact)
            .iter()
            .map(|at| {
                let throughput = self.sites[*at].throughput.0;
                (throughput - self.load_without(*at, &base)).max(throughput * LEAST_ROOM)
            })
            .sum();
        rate / room.max(1e-9)
    }

    /// Demand on a worker for everything but one model and its adapters.
    fn load_without(&self, at: usize, base: &Artifact) -> f64 {
        let held = self.sites[at].ledger.book().reservations.keys();
        let own = held.filter(|artifact| artifact.base() == *base);
        self.loads[at] - own.map(|artifact| self.per_copy(artifact)).sum::<f64>()
    }

    fn threshold(&self) -> f64 {
        match self.policy.weighing {
            Weighing::Attainment => 0.6,
            Weighing::Moves => 0.8,
        }
    }

    /// How many times as useful a new copy must be as the one that it displaces.
    fn hysteresis(&self) -> f64 {
        match self.policy.weighing {
            Weighing::Attainment => 3.0,
            Weighing::Moves => 4.0,
        }
    }

    fn displace(&self, plan: &mut Plan, wanted: &Wanted, pressure: f64) {
        if plan.loads_left == 0 {
            return;
        }
        let gain =
            self.demand.rate(&wanted.artifact) / float(self.copies(&wanted.artifact) as u64 + 1);
        let candidates = self.sites.iter().filter(|site| {
            site.open && !plan.touched(&site.worker) && !holds(site.ledger, &wanted.artifact)
        });
        let victims = candidates.flat_map(|site| {
            let spares = self.spares(site).into_iter();
            spares.map(|artifact| (self.value(&artifact), site.worker.clone(), artifact))
        });
        let least = victims.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        let Some((value, worker, artifact)) = least else {
            return;
        };
        if pressure > 1.0 && gain > value * self.hysteresis() {
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

    fn touched(&self, worker: &id::Worker) -> bool {
        self.moves.iter().any(|planned| planned.worker == *worker)
    }

    fn load(&mut self, worker: &id::Worker, wanted: &Wanted) {
        if self.loads_left == 0 {
            return;
        }
        self.loads_left -= 1;
        let Wanted { artifact, size } = wanted.clone();
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

fn state_of(ledger: &Ledger, artifact: &Artifact) -> Option<State> {
    ledger
        .book()
        .reservations
        .get(artifact)
        .map(|reservation| reservation.state)
}

fn holds(ledger: &Ledger, artifact: &Artifact) -> bool {
    matches!(
        state_of(ledger, artifact),
        Some(State::Loading | State::Resident)
    )
}

fn has_adapters(ledger: &Ledger, artifact: &Artifact) -> bool {
    let held = ledger.book().reservations.keys();
    !artifact.is_adapter()
        && held
            .into_iter()
            .any(|other| other != artifact && other.base() == *artifact)
}
