//! The choice of a server for a request.

use super::cost;
use super::{Balancer, Choice, Need, View, to_unit_interval};
use crate::common::*;
use crate::decide::water_filling;
use crate::world::backend::Backend;
use crate::world::id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cost added for a worker that must evict another adapter to load the requested one.
const ADAPTER_SWAP_COST_SECONDS: f64 = 0.1;

impl Balancer {
    /// Chooses a server for a request among those that `is_allowed` accepts.
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        need: &Need,
        is_allowed: impl Fn(&id::Worker) -> bool,
    ) -> Choice {
        let usable = self.usable(need);
        let (mut throttled, mut accepting) = (Vec::new(), Vec::new());
        for view in usable.filter(|view| is_allowed(&view.backend.id)) {
            match self.throttled_until(now, need, view) {
                Some(at) => throttled.push((at, view)),
                None => accepting.push(view),
            }
        }
        let choice = self.choose_among(now, need, accepting);
        let is_missing = matches!(choice, Choice::NoModel | Choice::NoServer);
        if throttled.is_empty() || !is_missing {
            return choice;
        }
        let would_serve =
            |view| matches!(self.choose_among(now, need, vec![view]), Choice::Send(..));
        let resume_times = throttled.iter().filter(|(_, view)| would_serve(*view));
        match resume_times.map(|(at, _)| *at).min() {
            Some(first) => Choice::Throttled(first),
            None if choice == Choice::NoServer => {
                let throttled = throttled.into_iter().map(|(_, view)| view);
                self.choose_among(now, need, throttled.collect())
            }
            None => choice,
        }
    }

    fn choose_among(&self, now: Duration, need: &Need, usable: Vec<&View>) -> Choice {
        if usable.is_empty() {
            return Choice::NoServer;
        }
        let Some(generation) = &need.generation else {
            return self.choose_best(now, need, &usable);
        };
        let target = &generation.target;
        let with_model: Vec<&View> = usable
            .into_iter()
            .filter(|view| view.has_model(&target.model))
            .collect();
        if with_model.is_empty() {
            return Choice::NoModel;
        }
        let holders: Vec<&View> = with_model
            .into_iter()
            .filter(|view| view.holds(target))
            .collect();
        if holders.is_empty() {
            return Choice::NoAdapter;
        }
        self.choose_best(now, need, &holders)
    }

    /// Chooses the worker that is to load a missing adapter: the one with the least cost among those
    /// that hold the model and that `has_holder` accepts, so that a lease holder can order the load.
    /// A worker without a free adapter place costs more.
    #[must_use]
    pub fn choose_adapter_worker(
        &self,
        now: Duration,
        need: &Need,
        has_holder: impl Fn(&id::Worker) -> bool,
    ) -> Option<id::Worker> {
        let target = &need.generation.as_ref()?.target;
        let service = self.services.get(&need.service)?;
        let places = service.engine.as_ref()?.adapter_places;
        let views = self.usable(need);
        let views = views.filter(|view| self.throttled_until(now, need, view).is_none());
        let views = views.filter(|view| view.has_model(&target.model));
        let views = views.filter(|view| has_holder(&view.backend.id));
        let costs = views.map(|view| {
            let adapters: usize = view.backend.holdings.values().map(BTreeSet::len).sum();
            let full = if adapters < places {
                0.0
            } else {
                ADAPTER_SWAP_COST_SECONDS
            };
            let cost = self.expected_seconds(now, need, view) + self.surcharge(need, view);
            (cost + full, &view.backend.id)
        });
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, worker)| worker.clone())
    }

    fn usable(&self, need: &Need) -> impl Iterator<Item = &View> {
        let views = self.views.values();
        views.filter(|view| view.backend.service == need.service && !view.backend.leaving)
    }

    /// Returns when a server that asked for a rest or has reached its rate limit accepts the
    /// request; `None` if it accepts it now.
    fn throttled_until(&self, now: Duration, need: &Need, view: &View) -> Option<Duration> {
        let Backend { id, boot, .. } = &view.backend;
        let rest = Some(self.notices.rests_until(id, *boot)).filter(|until| now < *until);
        let wait = self.usage_of(now, view).and_then(|usage| {
            let draw = xxh3_64_with_seed(id.as_str().as_bytes(), need.draw);
            usage.wait(to_unit_interval(draw))
        });
        let rejection_wait = self
            .bounds
            .bound(now, &view.backend.service)
            .filter(|_| view.may_be_full(now))
            .and_then(|bound| {
                let key = xxh3_64_with_seed(id.as_str().as_bytes(), self.stagger_seed);
                let stagger = to_unit_interval(key);
                view.exposure.wait(now, bound, self.sharers, stagger)
            });
        let waits = [wait, rejection_wait].into_iter().flatten();
        rest.max(waits.max().map(|wait| now + wait))
    }

    fn choose_best(&self, now: Duration, need: &Need, views: &[&View]) -> Choice {
        let reachable = views.iter().filter(|view| view.backoff_until <= now);
        let reachable: Vec<&&View> = reachable.collect();
        let candidates = if reachable.is_empty() {
            views.iter().collect()
        } else {
            reachable
        };
        let costs = candidates.into_iter().map(|view| {
            let expected_seconds = self.expected_seconds(now, need, view);
            (
                expected_seconds + self.surcharge(need, view),
                expected_seconds,
                *view,
            )
        });
        let costs: Vec<(f64, f64, &View)> = costs.collect();
        let totals: Vec<f64> = costs.iter().map(|(cost, ..)| *cost).collect();
        let utilization = costs
            .iter()
            .map(|(.., view)| cost::utilization(now, need, view));
        let arriving = utilization.sum::<f64>() * self.gossip_age(now).as_secs_f64();
        let arriving = (arriving - self.request_work(need, &costs)).max(0.0);
        let drawn = water_filling::draw(&totals, arriving, to_unit_interval(need.draw));
        drawn.map_or(Choice::NoServer, |index| {
            let (_, expected_seconds, view) = costs[index];
            Choice::Send(view.backend.id.clone(), expected_seconds)
        })
    }
}
