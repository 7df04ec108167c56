//! Which worker should hold which model: few moves that even out the work.
//!
//! The work on a worker is the sum of its models' shares, each model's demand divided by its
//! copies. The sum of squares of all workers' work stands for the time that requests wait. A
//! move is worth its place when that sum falls by more than the move costs.

use crate::common::*;
use crate::world::id;
use crate::world::unit::Bytes;

/// Part of its gain that a load from a worker's own copies has over one from the weight store,
/// which takes several times as long.
const NEAR: f64 = 0.1;

/// A worker that may hold models.
#[derive(Debug, Clone)]
pub struct Worker {
    pub id: id::Worker,
    pub memory: Bytes,
    /// Memory that adapters and unaccounted orders may take.
    pub reserved: Bytes,
    /// Models that it holds or will hold.
    pub models: BTreeSet<id::Model>,
    /// Those of them that it does not serve yet.
    pub coming: BTreeSet<id::Model>,
    /// Models that it loads from its own copies.
    pub copies: BTreeSet<id::Model>,
    /// Whether it may get a job now.
    pub open: bool,
}

/// A model with its demand.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    pub size: Bytes,
    /// Work asked for, in workers that would be busy all the time.
    pub work: f64,
    /// Whether anybody asked for it lately.
    pub asked: bool,
}

/// One change: unload some models, then load one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Job {
    pub worker: id::Worker,
    pub load: id::Model,
    pub evict: Vec<id::Model>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

/// What changes are worth.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Fall of the sum of squares that is worth a load.
    pub least_gain: f64,
    /// Worth of a copy of a model that somebody asks for and nobody holds.
    pub missing: f64,
    /// Worth of keeping the last copy of a model that nobody asked for lately.
    pub last_copy: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            least_gain: 0.1,
            missing: 10.0,
            last_copy: 1.0,
        }
    }
}

/// Decides one job at a time; it keeps nothing between calls.
#[derive(Debug)]
pub struct Planner<'a> {
    policy: Policy,
    wanted: &'a BTreeMap<id::Model, Wanted>,
    workers: &'a [Worker],
    copies: BTreeMap<&'a id::Model, f64>,
    /// Copies that serve now.
    serving: BTreeMap<&'a id::Model, f64>,
    work: Vec<f64>,
}

impl<'a> Planner<'a> {
    /// Looks at all workers and at what is wanted.
    #[must_use]
    pub fn new(
        policy: Policy,
        wanted: &'a BTreeMap<id::Model, Wanted>,
        workers: &'a [Worker],
    ) -> Self {
        let mut copies: BTreeMap<&id::Model, f64> = BTreeMap::new();
        let mut serving: BTreeMap<&id::Model, f64> = BTreeMap::new();
        for worker in workers {
            for model in &worker.models {
                *copies.entry(model).or_default() += 1.0;
                let serves = !worker.coming.contains(model);
                *serving.entry(model).or_default() += f64::from(u8::from(serves));
            }
        }
        let work = workers.iter().map(|worker| {
            let models = worker.models.iter();
            let shares = models.filter_map(|model| Some(wanted.get(model)?.work / copies[model]));
            shares.sum()
        });
        let work = work.collect();
        Self {
            policy,
            wanted,
            workers,
            copies,
            serving,
            work,
        }
    }

    /// The best job, if one is worth it; `store_open` says whether the weight store has room.
    #[must_use]
    pub fn next(&self, store_open: bool) -> Option<Job> {
        let jobs = self.wanted.iter().flat_map(|(model, wanted)| {
            let workers = self.workers.iter().enumerate();
            workers.filter_map(move |(index, _)| self.job(index, model, wanted, store_open))
        });
        let best = jobs.max_by(|(a, _), (b, _)| a.total_cmp(b));
        best.filter(|(gain, _)| *gain > self.policy.least_gain)
            .map(|(_, job)| job)
    }

    fn job(
        &self,
        index: usize,
        model: &id::Model,
        wanted: &Wanted,
        store_open: bool,
    ) -> Option<(f64, Job)> {
        let worker = &self.workers[index];
        let has_copy = worker.copies.contains(model);
        if !worker.open || worker.models.contains(model) || !(has_copy || store_open) {
            return None;
        }
        let copies = self.copies.get(model).copied().unwrap_or(0.0);
        if copies == 0.0 && !wanted.asked && wanted.work == 0.0 {
            return None;
        }
        let (evict, loss, freed) = self.room(index, wanted.size)?;
        let gain = if copies == 0.0 {
            self.policy.missing + wanted.work - self.work[index]
        } else {
            self.relief(index, model, wanted.work, copies, freed)
        };
        let near = if has_copy { gain.max(0.0) * NEAR } else { 0.0 };
        let job = Job {
            worker: worker.id.clone(),
            load: model.clone(),
            evict,
            from_store: !has_copy,
        };
        Some((gain - loss + near, job))
    }

    /// Fall of the sum of squares when a worker takes a share of a model.
    fn relief(&self, index: usize, model: &id::Model, work: f64, copies: f64, freed: f64) -> f64 {
        let (before, after) = (work / copies, work / (copies + 1.0));
        let holders = self.workers.iter().zip(&self.work);
        let holders = holders.filter(|(worker, _)| worker.models.contains(model));
        let relieved: f64 = holders
            .map(|(_, load)| load * load - (load - before + after).powi(2))
            .sum();
        let own = self.work[index] - freed;
        relieved + self.work[index].powi(2) - (own + after).powi(2)
    }

    /// Models to unload so that `size` fits, what that costs, and the work it takes away.
    fn room(&self, index: usize, size: Bytes) -> Option<(Vec<id::Model>, f64, f64)> {
        let worker = &self.workers[index];
        let sizes = worker.models.iter();
        let used: u64 = sizes
            .filter_map(|model| Some(self.wanted.get(model)?.size.0))
            .sum();
        let used = used + worker.reserved.0 + size.0;
        let mut over = used.saturating_sub(worker.memory.0);
        let mut victims: Vec<(f64, &id::Model)> = worker
            .models
            .iter()
            .map(|model| (self.loss(model), model))
            .collect();
        victims.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let (mut evict, mut loss, mut freed) = (Vec::new(), 0.0, 0.0);
        for (cost, model) in victims {
            if over == 0 {
                break;
            }
            let wanted = self.wanted.get(model);
            over = over.saturating_sub(wanted.map_or(0, |it| it.size.0));
            freed += wanted.map_or(0.0, |it| it.work) / self.copies[model];
            loss += cost;
            evict.push(model.clone());
        }
        (over == 0 && loss.is_finite()).then_some((evict, loss, freed))
    }

    /// What it costs when one copy of a model goes. Copies that are still on their way don't
    /// serve in its place, so a model in use gives up one copy at a time.
    fn loss(&self, model: &id::Model) -> f64 {
        let Some(wanted) = self.wanted.get(model) else {
            return 0.0;
        };
        let copies = self.serving[model];
        if copies > 1.0 {
            let (before, after) = (wanted.work / copies, wanted.work / (copies - 1.0));
            let serves =
                |worker: &Worker| worker.models.contains(model) && !worker.coming.contains(model);
            let holders = self.workers.iter().zip(&self.work);
            let others = holders.filter(|(worker, _)| serves(worker));
            let rise: f64 = others
                .map(|(_, load)| {
                    let load = load.max(before);
                    (load - before + after).powi(2) - load * load
                })
                .sum();
            return rise * (copies - 1.0) / copies;
        }
        if wanted.asked {
            return f64::INFINITY;
        }
        self.policy.last_copy
    }
}
