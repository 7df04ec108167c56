//! Which worker should hold which model: few moves that even out the work.
//!
//! The work on a worker is the sum of its models' shares, each model's demand divided by its
//! copies. The sum of squares of all workers' work stands for the time that requests wait. A
//! move is worth its place when that sum falls by more than the move costs.

use crate::common::*;
use crate::world::id;
use crate::world::unit::{Bytes, float};

/// Part of a load's time that one from a worker's own copies takes; the users' sheets.
const OWN_COPY: f64 = 0.2;
/// Seconds that an unload waits for requests that run, where a model is in use: as long as streams last.
const DRAIN: f64 = 3.0;
/// Work of one copy below which a model is not in use at a worker, in workers.
const IDLE: f64 = 0.01;
/// Work of a model that a worker with a rate limit serves, in workers: about a request in two seconds.
const LITTLE: f64 = 0.05;
/// Seconds over which demand lasts: a copy gains the less of them, the later it serves.
const LASTS: f64 = 20.0;

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
    /// Whether it named a rate limit: it gets no models, and serves only those that take little work.
    pub limited: bool,
}

/// A model with its demand.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    pub size: Bytes,
    /// Time that a load from the weight store takes.
    pub load: Duration,
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

/// A model in a plan.
#[derive(Debug)]
struct Model {
    id: id::Model,
    /// None where it is held, but nobody may ask for it.
    wanted: Option<Wanted>,
    /// Workers that hold it or will hold it, and of those the ones that serve it now.
    holders: Vec<usize>,
    servers: Vec<usize>,
}

impl Model {
    fn work(&self) -> f64 {
        self.wanted.as_ref().map_or(0.0, |wanted| wanted.work)
    }

    fn size(&self) -> u64 {
        self.wanted.as_ref().map_or(0, |wanted| wanted.size.0)
    }

    /// Work of one copy, where there are so many.
    fn share(&self, copies: usize) -> f64 {
        self.work() / float(copies as u64)
    }

    /// Seconds until a copy serves that is decided on now.
    fn delay(&self, has_copy: bool, drains: bool) -> f64 {
        let load = self.wanted.as_ref().map_or(0.0, |it| it.load.as_secs_f64());
        let load = if has_copy { load * OWN_COPY } else { load };
        load + if drains { DRAIN } else { 0.0 }
    }

    /// Whether anything is gained by a first copy.
    fn is_missed(&self) -> bool {
        let wanted = self.wanted.as_ref();
        wanted.is_some_and(|wanted| wanted.asked || wanted.work > 0.0)
    }
}

/// A worker in a plan; models are numbers there.
#[derive(Debug)]
struct Place {
    id: id::Worker,
    memory: u64,
    /// Memory in use, that of adapters included.
    used: u64,
    models: Vec<usize>,
    copies: Vec<usize>,
    open: bool,
    work: f64,
}

/// What a worker has once some of its models are unloaded.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    /// Models to unload, the cheapest first.
    evicted: usize,
    freed: u64,
    /// Work that goes with them, and what their loss costs.
    work: f64,
    loss: f64,
    /// Whether one of them is in use.
    drains: bool,
}

/// A worker that may get a job: its models in the order in which they would go.
#[derive(Debug)]
struct Candidate {
    place: usize,
    order: Vec<usize>,
    rooms: Vec<Room>,
}

/// Decides one job at a time, and counts those that were given.
///
/// The sums over all holders of a model are kept for each model, so that one pair of a model and a
/// worker is weighed in a few steps. Models that can't be worth a move at any worker are not weighed.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    models: Vec<Model>,
    places: Vec<Place>,
}

impl Planner {
    /// Looks at all workers and at what is wanted.
    #[must_use]
    pub fn new(policy: Policy, wanted: &BTreeMap<id::Model, Wanted>, workers: &[Worker]) -> Self {
        let held = workers.iter().flat_map(|worker| &worker.models);
        let ids: BTreeSet<&id::Model> = wanted.keys().chain(held).collect();
        let numbers: Map<&id::Model, usize> = ids.iter().copied().zip(0..).collect();
        let models = ids.iter().map(|id| Model {
            id: (*id).clone(),
            wanted: wanted.get(*id).cloned(),
            holders: Vec::new(),
            servers: Vec::new(),
        });
        let mut models: Vec<Model> = models.collect();
        let mut places = Vec::with_capacity(workers.len());
        for (index, worker) in workers.iter().enumerate() {
            let held = worker.models.iter().map(|id| numbers[id]);
            let held = held.filter(|held| !worker.limited || models[*held].work() <= LITTLE);
            let held: Vec<usize> = held.collect();
            for number in &held {
                let model = &mut models[*number];
                model.holders.push(index);
                if !worker.coming.contains(&model.id) {
                    model.servers.push(index);
                }
            }
            let copies = worker.copies.iter().filter_map(|id| numbers.get(id));
            places.push(Place {
                id: worker.id.clone(),
                memory: worker.memory.0,
                used: worker.reserved.0 + held.iter().map(|held| models[*held].size()).sum::<u64>(),
                models: held,
                copies: copies.copied().collect(),
                open: worker.open && !worker.limited,
                work: 0.0,
            });
        }
        let mut planner = Self {
            policy,
            models,
            places,
        };
        planner.sum_up();
        planner
    }

    /// The best job, if one is worth it; `store_open` says whether the weight store has room.
    #[must_use]
    pub fn next(&self, store_open: bool) -> Option<Job> {
        let candidates = self.candidates();
        let least = self.policy.least_gain;
        let relief = self.most_relief(&candidates);
        let mut bounds: Vec<(f64, usize)> = (0..self.models.len())
            .map(|model| (self.bound(model, relief), model))
            .filter(|(bound, _)| *bound > least)
            .collect();
        bounds.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let mut best: Option<(f64, usize, usize)> = None;
        for (bound, model) in bounds {
            if best.is_some_and(|(gain, ..)| gain > bound) {
                break;
            }
            let gains = candidates.iter().enumerate().filter_map(|(at, candidate)| {
                let gain = self.gain(candidate, model, store_open)?;
                (gain > least).then_some((gain, model, at))
            });
            best = best.into_iter().chain(gains).max_by(|a, b| {
                let by_gain = a.0.total_cmp(&b.0);
                by_gain.then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
            });
        }
        best.map(|(_, model, at)| self.job(&candidates[at], model))
    }

    /// Counts a job as done: the worker gets no other one.
    pub fn give(&mut self, job: &Job) {
        let place = self.places.iter().position(|place| place.id == job.worker);
        let Some(index) = place else {
            return;
        };
        self.places[index].open = false;
        for id in &job.evict {
            if let Some(model) = self.number(id) {
                self.places[index].models.retain(|held| *held != model);
                self.places[index].used -= self.models[model].size();
                self.models[model].holders.retain(|held| *held != index);
                self.models[model].servers.retain(|held| *held != index);
            }
        }
        if let Some(model) = self.number(&job.load) {
            self.places[index].models.push(model);
            self.places[index].used += self.models[model].size();
            self.models[model].holders.push(index);
        }
        self.sum_up();
    }

    fn number(&self, id: &id::Model) -> Option<usize> {
        self.models.binary_search_by(|model| model.id.cmp(id)).ok()
    }

    /// Work on each worker.
    fn sum_up(&mut self) {
        for place in &mut self.places {
            let models = place.models.iter().map(|model| &self.models[*model]);
            let shares = models.map(|model| model.share(model.holders.len()));
            place.work = shares.sum();
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let losses: Vec<f64> = self.models.iter().map(|model| self.loss(model)).collect();
        let open = (0..self.places.len()).filter(|place| self.places[*place].open);
        open.map(|place| self.candidate(place, &losses)).collect()
    }

    fn candidate(&self, place: usize, losses: &[f64]) -> Candidate {
        let mut order = self.places[place].models.clone();
        order.sort_by(|a, b| losses[*a].total_cmp(&losses[*b]).then(a.cmp(b)));
        let rooms = order.iter().scan(Room::default(), |room, model| {
            let held = &self.models[*model];
            let share = held.share(held.holders.len());
            room.evicted += 1;
            room.freed += held.size();
            room.work += share;
            room.drains |= share > IDLE;
            room.loss += losses[*model];
            Some(*room)
        });
        let rooms = std::iter::once(Room::default()).chain(rooms).collect();
        Candidate {
            place,
            order,
            rooms,
        }
    }

    /// Most that a worker's own work can fall by, whatever it loads.
    fn most_relief(&self, candidates: &[Candidate]) -> f64 {
        let reliefs = candidates.iter().flat_map(|candidate| {
            let work = self.places[candidate.place].work;
            let rooms = candidate.rooms.iter();
            rooms.map(move |room| work.powi(2) - (work - room.work).powi(2) - room.loss)
        });
        reliefs.fold(0.0, f64::max)
    }

    /// More than a copy of a model can gain at any worker.
    fn bound(&self, model: usize, relief: f64) -> f64 {
        let model = &self.models[model];
        match model.wanted {
            Some(_) if !model.holders.is_empty() => self.relieved(model) + relief,
            Some(_) if model.is_missed() => self.policy.missing + model.work(),
            _ => f64::NEG_INFINITY,
        }
    }

    /// Fall of the sum of squares at the workers that hold a model, when one more takes a share.
    fn relieved(&self, model: &Model) -> f64 {
        let copies = model.holders.len();
        let less = model.share(copies) - model.share(copies + 1);
        let works = model.holders.iter().map(|place| self.places[*place].work);
        less * (2.0 * works.sum::<f64>() - float(copies as u64) * less)
    }

    fn gain(&self, candidate: &Candidate, model: usize, store_open: bool) -> Option<f64> {
        let place = &self.places[candidate.place];
        let has_copy = place.copies.contains(&model);
        if place.models.contains(&model) || !(has_copy || store_open) {
            return None;
        }
        let model = &self.models[model];
        let room = self.room(candidate, model.size())?;
        let gain = if model.holders.is_empty() {
            self.policy.missing + model.work() - place.work
        } else {
            let taken = model.share(model.holders.len() + 1);
            let own = place.work.powi(2) - (place.work - room.work + taken).powi(2);
            self.relieved(model) + own
        };
        let lasts = 1.0 - model.delay(has_copy, room.drains) / LASTS;
        Some(gain.max(0.0) * lasts.max(0.0) - room.loss)
    }

    /// The least to unload so that `size` fits.
    fn room<'a>(&self, candidate: &'a Candidate, size: u64) -> Option<&'a Room> {
        let place = &self.places[candidate.place];
        let over = (place.used + size).saturating_sub(place.memory);
        let fits = candidate.rooms.iter().find(|room| room.freed >= over);
        fits.filter(|room| room.loss.is_finite())
    }

    fn job(&self, candidate: &Candidate, model: usize) -> Job {
        let place = &self.places[candidate.place];
        let room = self.room(candidate, self.models[model].size());
        let evicted = room.map_or(0, |room| room.evicted);
        let evict = candidate.order[..evicted].iter();
        Job {
            worker: place.id.clone(),
            load: self.models[model].id.clone(),
            evict: evict.map(|model| self.models[*model].id.clone()).collect(),
            from_store: !place.copies.contains(&model),
        }
    }

    /// What it costs when one copy of a model goes. Copies that are still on their way don't
    /// serve in its place, so a model in use gives up one copy at a time.
    fn loss(&self, model: &Model) -> f64 {
        let Some(wanted) = &model.wanted else {
            return 0.0;
        };
        let copies = model.servers.len();
        if copies > 1 {
            let (before, after) = (model.share(copies), model.share(copies - 1));
            let works = model.servers.iter().map(|place| self.places[*place].work);
            let rises = works
                .map(|work| (work.max(before) - before + after).powi(2) - work.max(before).powi(2));
            return rises.sum::<f64>() * float(copies as u64 - 1) / float(copies as u64);
        }
        if wanted.asked {
            return f64::INFINITY;
        }
        self.policy.last_copy
    }
}
