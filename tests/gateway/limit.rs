//! Rate limits that servers name in their answers: how long they apply, and whether many instances
//! together keep to them.

use super::build::{SERVICE, backend, deployment, generation, ms, site, worker};
use poplarseam::decide::balance::{Balancer, Choice, Need, Workload};
use poplarseam::decide::limit::{Change, Limits, Sharers, Usage};
use poplarseam::world::id;
use poplarseam::world::unit::{Incarnation, Rate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const BOOT: Incarnation = Incarnation(1);
const LATER_BOOT: Incarnation = Incarnation(2);
/// Window over which servers count requests.
const WINDOW_MS: u64 = 4_000;
/// Requests tolerated within a window: a multiple of the limit, plus a constant.
const TOLERANCE: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
const NO_CHANGE: Change = Change {
    is_significant: false,
    needs_announcement: false,
};

fn on_answer(limits: &mut Limits, at: u64, boot: Incarnation, rate: Option<f64>) -> Change {
    limits.on_answer(ms(at), &worker("a"), boot, rate.map(Rate))
}

#[test]
fn a_limit_holds_until_an_answer_names_none() {
    let mut limits = Limits::default();
    assert!(on_answer(&mut limits, 0, BOOT, Some(2.0)).is_significant);
    assert_eq!(on_answer(&mut limits, 800, BOOT, Some(2.0)), NO_CHANGE);
    assert!(on_answer(&mut limits, 900, BOOT, Some(1.5)).is_significant);
    assert_eq!(limits.limit_for(&worker("a"), BOOT), Some(Rate(1.5)));
    assert!(on_answer(&mut limits, 1_400, BOOT, None).is_significant);
    assert_eq!(limits.limit_for(&worker("a"), BOOT), None);
    assert_eq!(on_answer(&mut limits, 9_000, BOOT, None), NO_CHANGE);
}

/// Answers on several connections may arrive out of order, so that an older answer without a limit
/// arrives after a newer one that names a limit.
#[test]
fn an_answer_that_arrives_out_of_order_does_not_lift_a_limit() {
    let mut limits = Limits::default();
    on_answer(&mut limits, 1_000, BOOT, Some(2.0));
    assert_eq!(on_answer(&mut limits, 1_499, BOOT, None), NO_CHANGE);
    assert_eq!(limits.limit_for(&worker("a"), BOOT), Some(Rate(2.0)));
}

#[test]
fn a_limit_applies_only_to_the_incarnation_that_named_it() {
    let mut limits = Limits::default();
    on_answer(&mut limits, 0, BOOT, Some(2.0));
    assert_eq!(limits.limit_for(&worker("a"), LATER_BOOT), None);
    on_answer(&mut limits, 10, LATER_BOOT, Some(3.0));
    assert_eq!(on_answer(&mut limits, 20, BOOT, Some(1.0)), NO_CHANGE);
    assert_eq!(limits.limit_for(&worker("a"), LATER_BOOT), Some(Rate(3.0)));
}

/// A server may name a limit that follows its load, slightly different in each answer. Such changes
/// must not cause a flood of announcements.
#[test]
fn a_limit_is_announced_on_significant_changes_and_periodically() {
    let mut limits = Limits::default();
    assert!(on_answer(&mut limits, 0, BOOT, Some(2.0)).needs_announcement);
    assert_eq!(on_answer(&mut limits, 100, BOOT, Some(1.9)), NO_CHANGE);
    assert!(on_answer(&mut limits, 200, BOOT, Some(1.7)).needs_announcement);
    let again = on_answer(&mut limits, 2_200, BOOT, Some(1.7));
    assert!(again.needs_announcement && !again.is_significant);
    assert!(limits.on_gossip(ms(4_000), &worker("a"), BOOT, Some(Rate(1.0))));
    assert_eq!(limits.limit_for(&worker("a"), BOOT), Some(Rate(1.0)));
    assert_eq!(on_answer(&mut limits, 5_900, BOOT, Some(1.0)), NO_CHANGE);
    assert!(limits.on_gossip(ms(6_500), &worker("a"), BOOT, None));
    assert_eq!(limits.limit_for(&worker("a"), BOOT), None);
}

fn usage(limit: f64, own: u32, others: u32) -> Usage {
    let sharers = Sharers {
        reachable: 8,
        total: Some(8),
    };
    Usage {
        limit: Rate(limit),
        own,
        others,
        requested: own,
        unreported: 0,
        sharers,
        gossip_age: Duration::ZERO,
    }
}

#[rstest]
#[case::nothing_yet(usage(1.5, 0, 0), None)]
#[case::room_for_one(usage(1.5, 2, 3), None)]
#[case::full(usage(1.5, 2, 4), Some(667))]
#[case::peers_exceeded_the_limit(usage(1.5, 0, 8), Some(2_000))]
#[case::wait_is_capped_by_the_window(usage(1.5, 0, 90), Some(4_000))]
#[case::one_in_ten_seconds(usage(0.1, 1, 0), Some(10_000))]
#[case::zero_limit_allows_one_request(usage(0.0, 0, 0), None)]
#[case::zero_limit_uses_the_longest_window(usage(0.0, 1, 0), Some(20_000))]
fn a_request_waits_while_the_limit_is_used_up(#[case] usage: Usage, #[case] wait: Option<u64>) {
    let rounded_ms = usage
        .wait(0.5)
        .map(|wait| wait.as_secs_f64().mul_add(1e3, 0.0).round());
    assert_eq!(rounded_ms, wait.map(|wait| ms(wait).as_secs_f64() * 1e3));
}

/// Guards against exceeding the limit during a partition, when instances that do not know each
/// other's requests may all reach the server.
#[test]
fn unreachable_instances_keep_their_share_of_a_limit() {
    let sharers = |reachable, total| Usage {
        sharers: Sharers { reachable, total },
        ..usage(2.0, 0, 0)
    };
    let is_close = |allowed: f64, expected: f64| (allowed - expected).abs() < 1e-6;
    assert!(is_close(sharers(8, Some(8)).allowed(), 8.0));
    assert!(is_close(sharers(2, Some(8)).allowed(), 2.0));
    assert!(is_close(sharers(8, Some(4)).allowed(), 8.0));
    assert!(is_close(sharers(1, None).allowed(), 0.0));
    assert!(sharers(1, Some(16)).wait(0.4).is_none());
    assert!(sharers(1, Some(16)).wait(0.6).is_some());
}

fn need(draw: u64) -> Need {
    Need {
        service: SERVICE.parse().unwrap(),
        generation: Some(generation("m1", 200)),
        draw,
    }
}

fn balance(servers: &[&str]) -> Balancer {
    let mut balance = Balancer::new(&deployment("north-1"));
    balance.on_site(&site());
    for server in servers {
        balance.on_listed(backend(server, "north-1", "m1"));
    }
    balance
}

fn set_limit(balance: &mut Balancer, at: u64, rate: f64) {
    let limits = balance.limits_mut();
    limits.on_answer(ms(at), &worker("a"), BOOT, Some(Rate(rate)));
}

/// Returns the number of requests that each of two servers gets if ten per second arrive for four
/// seconds. The first server has a limit of one per second. With `keeps_running`, all requests run
/// until the end.
fn requests_per_server(keeps_running: bool) -> BTreeMap<id::Worker, u32> {
    let mut balance = balance(&["a", "b"]);
    set_limit(&mut balance, 0, 1.0);
    let mut sent: BTreeMap<id::Worker, u32> = BTreeMap::new();
    for number in 0..40 {
        let need = need(number << 50);
        let Choice::Send(server, _) = balance.choose(ms(number * 100), &need, |_| true) else {
            panic!("no server was chosen for request {number}");
        };
        let added = balance.on_sent(ms(number * 100), &server, &need);
        if !keeps_running {
            balance.on_ended(&server, added);
        }
        *sent.entry(server).or_default() += 1;
    }
    sent
}

/// One of two servers names a limit below its traffic, and the other one is soon busy.
#[test]
fn a_limited_server_is_used_up_to_its_limit_when_others_are_busy() {
    let sent = requests_per_server(true);
    assert_eq!(sent[&worker("a")], 4);
    assert_eq!(sent[&worker("b")], 36);
}

/// One of two servers names a limit, and the other one has room. The capacity of the first is left
/// to requests that only it can serve.
#[test]
fn a_limited_server_gets_no_requests_while_others_have_room() {
    assert_eq!(requests_per_server(false).get(&worker("a")), None);
}

#[test]
fn a_throttled_choice_states_when_the_only_server_accepts_requests_again() {
    let mut balance = balance(&["a"]);
    set_limit(&mut balance, 0, 0.5);
    for _ in 0..2 {
        balance.on_sent(ms(1_000), &worker("a"), &need(7));
    }
    let choice = balance.choose(ms(2_000), &need(7), |_| true);
    assert_eq!(choice, Choice::Throttled(ms(4_000)));
    let again = balance.choose(ms(5_000), &need(7), |_| true);
    assert!(matches!(again, Choice::Send(..)), "{again:?}");
}

/// Instances that all send requests to the only server of a model, which names a limit. Each learns
/// the number of the others' requests with the next gossip.
struct Simulation {
    views: Vec<Balancer>,
    gossip_interval_ms: u64,
    rng: SmallRng,
    arrivals: Vec<u64>,
}

impl Simulation {
    fn new(instances: u32, gossip_interval_ms: u64, limit: f64) -> Self {
        let view = |_| {
            let mut balance = balance(&["a"]);
            set_limit(&mut balance, 0, limit);
            balance.on_sharers(Sharers {
                reachable: instances,
                total: Some(instances),
            });
            balance
        };
        Self {
            views: (0..instances).map(view).collect(),
            gossip_interval_ms,
            rng: SmallRng::seed_from_u64(23),
            arrivals: Vec::new(),
        }
    }

    /// Simulates requests that arrive at `rate` per second, spread over all instances.
    fn run(&mut self, rate: f64, duration_ms: u64) {
        for at in 0..duration_ms {
            if at % self.gossip_interval_ms == 0 {
                self.exchange_workloads(at);
            }
            if self.rng.random_bool(rate / 1e3) {
                let instance = self.rng.random_range(0..self.views.len());
                let need = need(self.rng.random());
                let view = &mut self.views[instance];
                view.on_request(ms(at), &need);
                if matches!(view.choose(ms(at), &need, |_| true), Choice::Send(..)) {
                    let added = view.on_sent(ms(at), &worker("a"), &need);
                    view.on_ended(&worker("a"), added);
                    self.arrivals.push(at);
                }
            }
        }
    }

    /// Reports the total recent requests of the other instances to each instance.
    fn exchange_workloads(&mut self, at: u64) {
        let recent = |view: &Balancer| {
            view.own_workload(ms(at))
                .get(&worker("a"))
                .map_or(0, |it| it.recent)
        };
        let each: Vec<u32> = self.views.iter().map(recent).collect();
        let sum: u32 = each.iter().sum();
        for (view, own) in self.views.iter_mut().zip(each) {
            let others = Workload {
                recent: sum - own,
                ..Workload::default()
            };
            let reported = [(worker("a"), others)].into();
            view.on_peer(ms(at), &"others".parse().unwrap(), &reported);
        }
    }

    /// Returns the highest number of arrivals within any window.
    fn max_in_window(&self) -> usize {
        let starts = self.arrivals.iter().enumerate();
        let counts = starts.map(|(index, start)| {
            let after = &self.arrivals[index..];
            after
                .iter()
                .take_while(|at| **at < start + WINDOW_MS)
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Many instances have requests for a model that only one server holds, and its limit is below the
/// demand.
#[rstest]
#[case::small(8, 300, 1.4, 4.0)]
#[case::small_and_popular(8, 300, 1.4, 20.0)]
#[case::grown(85, 400, 2.0, 8.0)]
#[case::large(295, 500, 1.5, 8.0)]
#[case::large_and_popular(295, 500, 2.0, 40.0)]
#[case::large_plain(295, 500, 30.0, 120.0)]
fn instances_with_delayed_gossip_keep_to_a_limit(
    #[case] instances: u32,
    #[case] gossip_interval_ms: u64,
    #[case] limit: f64,
    #[case] rate: f64,
) {
    let mut simulation = Simulation::new(instances, gossip_interval_ms, limit);
    simulation.run(rate, 40_000);
    let max_in_window = f64::from(u32::try_from(simulation.max_in_window()).unwrap());
    let served_rate = f64::from(u32::try_from(simulation.arrivals.len()).unwrap()) / 40.0;
    assert!(
        max_in_window <= TOLERANCE * limit * 4.0 + EXTRA_REQUESTS,
        "{max_in_window} requests in one window"
    );
    assert!(
        served_rate >= limit / 2.0,
        "{served_rate} requests per second were sent of {limit} allowed"
    );
}
