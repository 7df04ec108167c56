//! Queue of one instance's requests that wait for a worker.
//!
//! Premium requests go before routine ones, except in one turn of ten, so that routine requests are
//! not starved. Within a class, teams share by weight (weighted fair queueing); within a team, the
//! earliest deadline goes first. The dispatcher refuses requests that cannot start before their
//! deadline: on arrival if the predicted wait is too long, and later when the deadline passes.

use crate::common::*;
use crate::world::artifact::Artifact;
use crate::world::contract::Class;
use crate::world::id;
use crate::world::unit::float;

/// Number of turns in which routine requests go first once.
const ROUTINE_TURN_INTERVAL: u64 = 10;

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    pub request: id::Request,
    pub team: id::Team,
    pub weight: u32,
    pub class: Class,
    pub artifact: Artifact,
    /// Expected work in tokens, charged to the team when the request starts.
    pub expected_tokens: u64,
    /// Latest time at which the request may start.
    pub deadline: Duration,
}

/// Key of a sub-queue: the requests of one class and team for one artifact.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    class: Class,
    team: id::Team,
    artifact: Artifact,
}

/// Position in a lane: the deadline, then the order of arrival.
type Position = (Duration, u64);

/// Requests that wait for a worker, in lanes.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    lanes: BTreeMap<Lane, BTreeMap<Position, Ticket>>,
    /// Tokens charged to each team, divided by its weight.
    served_work: BTreeMap<id::Team, f64>,
    /// Minimum served work of a team that queues a request. It advances as teams are served, so that
    /// a team gains no advantage from having been idle.
    virtual_time: f64,
    arrival_count: u64,
    turn_count: u64,
}

impl Queue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(BTreeMap::len).sum()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns how many queued requests for the same artifact would go before a new one.
    ///
    /// `start_by` is the deadline of the new request.
    #[must_use]
    pub fn count_ahead(
        &self,
        class: Class,
        team: &id::Team,
        artifact: &Artifact,
        start_by: Duration,
    ) -> usize {
        let same_artifact = self
            .lanes
            .iter()
            .filter(|(lane, _)| &lane.artifact == artifact);
        same_artifact
            .map(|(lane, waiting)| {
                if lane.class < class {
                    waiting.len()
                } else if lane.class == class && lane.team == *team {
                    waiting.range(..(start_by, 0)).count()
                } else if lane.class == class {
                    self.count_turns_before(lane, waiting.len(), team, artifact)
                } else {
                    0
                }
            })
            .sum()
    }

    /// Estimates how many of another team's queued requests in `lane` go before a new one of
    /// `team`, as if both teams had equal weights and took turns.
    fn count_turns_before(
        &self,
        lane: &Lane,
        waiting: usize,
        team: &id::Team,
        artifact: &Artifact,
    ) -> usize {
        let own = Lane {
            class: lane.class,
            team: team.clone(),
            artifact: artifact.clone(),
        };
        let own = self.lanes.get(&own).map_or(0, BTreeMap::len);
        waiting.min(own + 1)
    }

    /// Adds a request to its lane.
    pub fn push(&mut self, ticket: Ticket) {
        let lane = Lane {
            class: ticket.class,
            team: ticket.team.clone(),
            artifact: ticket.artifact.clone(),
        };
        let served_work = self
            .served_work
            .entry(ticket.team.clone())
            .or_insert(self.virtual_time);
        *served_work = served_work.max(self.virtual_time);
        self.arrival_count += 1;
        let position = (ticket.deadline, self.arrival_count);
        self.lanes.entry(lane).or_default().insert(position, ticket);
    }

    /// Removes and returns the next request for which `assign` finds a worker, and what `assign`
    /// returned. Only the first request of each lane is tried.
    pub fn pop<T>(&mut self, mut assign: impl FnMut(&Ticket) -> Option<T>) -> Option<(Ticket, T)> {
        let routine_first = self.turn_count % ROUTINE_TURN_INTERVAL == ROUTINE_TURN_INTERVAL - 1;
        let mut order: Vec<&Lane> = self.lanes.keys().collect();
        let served_work = |lane: &Lane| self.served_work.get(&lane.team).copied().unwrap_or(0.0);
        order.sort_by(|a, b| {
            let by_class = if routine_first {
                b.class.cmp(&a.class)
            } else {
                a.class.cmp(&b.class)
            };
            by_class.then_with(|| served_work(a).total_cmp(&served_work(b)))
        });
        let chosen = order.into_iter().find_map(|lane| {
            let ticket = self.lanes.get(lane)?.values().next()?;
            Some((lane.clone(), assign(ticket)?))
        });
        let (lane, assignment) = chosen?;
        let ticket = self.take_first(&lane)?;
        self.turn_count += 1;
        self.charge(&ticket);
        Some((ticket, assignment))
    }

    /// Charges a started request to its team. Once the queue is empty, the served work of all teams
    /// is reset.
    fn charge(&mut self, ticket: &Ticket) {
        let cost = float(ticket.expected_tokens.max(1)) / f64::from(ticket.weight.max(1));
        let served_work = self
            .served_work
            .entry(ticket.team.clone())
            .or_insert(self.virtual_time);
        self.virtual_time = self.virtual_time.max(*served_work);
        *served_work += cost;
        if self.lanes.is_empty() {
            self.served_work.clear();
            self.virtual_time = 0.0;
        }
    }

    fn take_first(&mut self, lane: &Lane) -> Option<Ticket> {
        let waiting = self.lanes.get_mut(lane)?;
        let (_, ticket) = waiting.pop_first()?;
        if waiting.is_empty() {
            self.lanes.remove(lane);
        }
        Some(ticket)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for waiting in self.lanes.values_mut() {
            let kept = waiting.split_off(&(now, u64::MAX));
            expired.extend(std::mem::replace(waiting, kept).into_values());
        }
        self.lanes.retain(|_, waiting| !waiting.is_empty());
        expired
    }

    /// Removes a request whose caller disconnected.
    pub fn remove(&mut self, request: &id::Request) -> Option<Ticket> {
        let mut found = None;
        for waiting in self.lanes.values_mut() {
            let position = waiting
                .iter()
                .find(|(_, ticket)| ticket.request == *request);
            if let Some(position) = position.map(|(position, _)| *position) {
                found = waiting.remove(&position);
            }
        }
        self.lanes.retain(|_, waiting| !waiting.is_empty());
        found
    }

    /// Removes the request with the latest deadline from the last lane of a lower class than
    /// `class`, to make room.
    pub fn evict_below(&mut self, class: Class) -> Option<Ticket> {
        let lane = self.lanes.keys().rfind(|lane| lane.class > class)?.clone();
        let waiting = self.lanes.get_mut(&lane)?;
        let (_, ticket) = waiting.pop_last()?;
        if waiting.is_empty() {
            self.lanes.remove(&lane);
        }
        Some(ticket)
    }

    /// Returns the number of queued requests for each artifact.
    #[must_use]
    pub fn waiting_by_artifact(&self) -> BTreeMap<Artifact, usize> {
        let mut counts = BTreeMap::new();
        for (lane, waiting) in &self.lanes {
            *counts.entry(lane.artifact.clone()).or_default() += waiting.len();
        }
        counts
    }
}
