//! Rate limits that servers name: how long they hold, and how instances keep to them together.

use super::build::{SERVICE, backend, deployment, generation, ms, site, worker};
use poplarseam::decide::balance::{Balance, Choice, Need, Running};
use poplarseam::decide::limit::{Change, Crowd, Limits, Usage};
use poplarseam::world::id;
use poplarseam::world::unit::{Incarnation, Rate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const BOOT: Incarnation = Incarnation(1);
const LATER_BOOT: Incarnation = Incarnation(2);
/// Servers count requests over this span.
const SPAN: u64 = 4_000;
/// What may come in a span, as a multiple of the limit and on top.
const TOLERANCE: f64 = 1.5;
const EXTRA: f64 = 5.0;
const NO_NEWS: Change = Change {
    is_news: false,
    is_due: false,
};

fn on_said(limits: &mut Limits, at: u64, boot: Incarnation, rate: Option<f64>) -> Change {
    limits.on_said(ms(at), &worker("a"), boot, rate.map(Rate))
}

#[test]
fn a_limit_holds_until_an_answer_names_none() {
    let mut limits = Limits::default();
    assert!(on_said(&mut limits, 0, BOOT, Some(2.0)).is_news);
    assert_eq!(on_said(&mut limits, 800, BOOT, Some(2.0)), NO_NEWS);
    assert!(on_said(&mut limits, 900, BOOT, Some(1.5)).is_news);
    assert_eq!(limits.of(&worker("a"), BOOT), Some(Rate(1.5)));
    assert!(on_said(&mut limits, 1_400, BOOT, None).is_news);
    assert_eq!(limits.of(&worker("a"), BOOT), None);
    assert_eq!(on_said(&mut limits, 9_000, BOOT, None), NO_NEWS);
}

/// Load: answers on several connections overtake each other.
#[test]
fn an_answer_from_before_the_limit_does_not_lift_it() {
    let mut limits = Limits::default();
    on_said(&mut limits, 1_000, BOOT, Some(2.0));
    assert_eq!(on_said(&mut limits, 1_499, BOOT, None), NO_NEWS);
    assert_eq!(limits.of(&worker("a"), BOOT), Some(Rate(2.0)));
}

#[test]
fn a_limit_ends_with_the_start_that_named_it() {
    let mut limits = Limits::default();
    on_said(&mut limits, 0, BOOT, Some(2.0));
    assert_eq!(limits.of(&worker("a"), LATER_BOOT), None);
    on_said(&mut limits, 10, LATER_BOOT, Some(3.0));
    assert_eq!(on_said(&mut limits, 20, BOOT, Some(1.0)), NO_NEWS);
    assert_eq!(limits.of(&worker("a"), LATER_BOOT), Some(Rate(3.0)));
}

/// Load: a server names a limit that follows its load, a little other in each answer.
#[test]
fn peers_are_told_of_a_limit_when_it_changes_and_now_and_then() {
    let mut limits = Limits::default();
    assert!(on_said(&mut limits, 0, BOOT, Some(2.0)).is_due);
    assert_eq!(on_said(&mut limits, 100, BOOT, Some(1.9)), NO_NEWS);
    assert!(on_said(&mut limits, 200, BOOT, Some(1.7)).is_due);
    let again = on_said(&mut limits, 2_200, BOOT, Some(1.7));
    assert!(again.is_due && !again.is_news);
    assert!(limits.on_told(ms(4_000), &worker("a"), BOOT, Some(Rate(1.0))));
    assert_eq!(limits.of(&worker("a"), BOOT), Some(Rate(1.0)));
    assert_eq!(on_said(&mut limits, 5_900, BOOT, Some(1.0)), NO_NEWS);
    assert!(limits.on_told(ms(6_500), &worker("a"), BOOT, None));
    assert_eq!(limits.of(&worker("a"), BOOT), None);
}

fn usage(limit: f64, own: u32, others: u32) -> Usage {
    let crowd = Crowd {
        heard: 8,
        all: Some(8),
    };
    Usage {
        limit: Rate(limit),
        own,
        others,
        asked: own,
        unheard: 0,
        crowd,
        news_age: Duration::ZERO,
    }
}

#[rstest]
#[case::nothing_yet(usage(1.5, 0, 0), None)]
#[case::room_for_one(usage(1.5, 2, 3), None)]
#[case::full(usage(1.5, 2, 4), Some(667))]
#[case::others_sent_too_much(usage(1.5, 0, 8), Some(2_000))]
#[case::a_long_wait_ends_with_the_span(usage(1.5, 0, 90), Some(4_000))]
#[case::one_in_ten_seconds(usage(0.1, 1, 0), Some(10_000))]
#[case::a_limit_of_none_is_asked_about(usage(0.0, 0, 0), None)]
#[case::but_seldom(usage(0.0, 1, 0), Some(20_000))]
fn a_server_gets_no_more_than_its_limit_over_the_span(
    #[case] usage: Usage,
    #[case] wait: Option<u64>,
) {
    let told = usage
        .wait(0.5)
        .map(|wait| wait.as_secs_f64().mul_add(1e3, 0.0).round());
    assert_eq!(told, wait.map(|wait| ms(wait).as_secs_f64() * 1e3));
}

/// Load: instances are cut off from each other and reach the server.
#[test]
fn instances_that_are_not_heard_keep_their_part_of_a_limit() {
    let crowd = |heard, all| Usage {
        crowd: Crowd { heard, all },
        ..usage(2.0, 0, 0)
    };
    let near = |allowed: f64, expected: f64| (allowed - expected).abs() < 1e-6;
    assert!(near(crowd(8, Some(8)).allowed(), 8.0));
    assert!(near(crowd(2, Some(8)).allowed(), 2.0));
    assert!(near(crowd(8, Some(4)).allowed(), 8.0));
    assert!(near(crowd(1, None).allowed(), 0.0));
    assert!(crowd(1, Some(16)).wait(0.4).is_none());
    assert!(crowd(1, Some(16)).wait(0.6).is_some());
}

fn need(draw: u64) -> Need {
    Need {
        service: SERVICE.parse().unwrap(),
        generation: Some(generation("m1", 200)),
        draw,
    }
}

fn balance(servers: &[&str]) -> Balance {
    let mut balance = Balance::new(&deployment("north-1"));
    balance.on_site(&site());
    for server in servers {
        balance.on_listed(backend(server, "north-1", "m1"));
    }
    balance
}

fn name_limit(balance: &mut Balance, at: u64, rate: f64) {
    let limits = balance.limits_mut();
    limits.on_said(ms(at), &worker("a"), BOOT, Some(Rate(rate)));
}

/// Requests that each of two servers gets, the first with a limit of one a second, if ten a second come
/// for four seconds and stay that long.
fn sent_to_both(stays: bool) -> BTreeMap<id::Worker, u32> {
    let mut balance = balance(&["a", "b"]);
    name_limit(&mut balance, 0, 1.0);
    let mut sent: BTreeMap<id::Worker, u32> = BTreeMap::new();
    for number in 0..40 {
        let need = need(number << 50);
        let Choice::Send(server, _) = balance.choose(ms(number * 100), &need, |_| true) else {
            panic!("nobody for request {number}");
        };
        let added = balance.on_sent(ms(number * 100), &server, &need);
        if !stays {
            balance.on_ended(&server, added);
        }
        *sent.entry(server).or_default() += 1;
    }
    sent
}

/// Load: one of two servers names a limit below what it gets, and the other one is soon full.
#[test]
fn a_server_with_a_limit_gets_what_it_takes_where_others_are_busy() {
    let sent = sent_to_both(true);
    assert_eq!(sent[&worker("a")], 4);
    assert_eq!(sent[&worker("b")], 36);
}

/// Load: one of two servers names a limit, and the other one has room. What the first one takes is
/// left to requests that only it can serve.
#[test]
fn a_server_with_a_limit_gets_nothing_where_others_have_room() {
    assert_eq!(sent_to_both(false).get(&worker("a")), None);
}

#[test]
fn where_nobody_else_serves_the_caller_hears_when_the_server_does() {
    let mut balance = balance(&["a"]);
    name_limit(&mut balance, 0, 0.5);
    for _ in 0..2 {
        balance.on_sent(ms(1_000), &worker("a"), &need(7));
    }
    let choice = balance.choose(ms(2_000), &need(7), |_| true);
    assert_eq!(choice, Choice::Resting(ms(4_000)));
    let again = balance.choose(ms(5_000), &need(7), |_| true);
    assert!(matches!(again, Choice::Send(..)), "{again:?}");
}

/// Instances that all have requests for the only server of a model, which names a limit. Each hears
/// from the others what they sent, some time later.
struct Crowded {
    views: Vec<Balance>,
    news_ms: u64,
    draw: SmallRng,
    arrivals: Vec<u64>,
}

impl Crowded {
    fn new(instances: u32, news_ms: u64, limit: f64) -> Self {
        let view = |_| {
            let mut balance = balance(&["a"]);
            name_limit(&mut balance, 0, limit);
            balance.on_crowd(Crowd {
                heard: instances,
                all: Some(instances),
            });
            balance
        };
        Self {
            views: (0..instances).map(view).collect(),
            news_ms,
            draw: SmallRng::seed_from_u64(23),
            arrivals: Vec::new(),
        }
    }

    /// Has requests come at this rate over all instances, for so long.
    fn play(&mut self, rate: f64, lasts_ms: u64) {
        for at in 0..lasts_ms {
            if at % self.news_ms == 0 {
                self.tell(at);
            }
            if self.draw.random_bool(rate / 1e3) {
                let instance = self.draw.random_range(0..self.views.len());
                let need = need(self.draw.random());
                let view = &mut self.views[instance];
                view.on_asked(ms(at), &need);
                if matches!(view.choose(ms(at), &need, |_| true), Choice::Send(..)) {
                    let added = view.on_sent(ms(at), &worker("a"), &need);
                    view.on_ended(&worker("a"), added);
                    self.arrivals.push(at);
                }
            }
        }
    }

    /// All instances hear the sum of the others.
    fn tell(&mut self, at: u64) {
        let recent = |view: &Balance| view.own(ms(at)).get(&worker("a")).map_or(0, |it| it.recent);
        let all: Vec<u32> = self.views.iter().map(recent).collect();
        let sum: u32 = all.iter().sum();
        for (view, own) in self.views.iter_mut().zip(all) {
            let others = Running {
                recent: sum - own,
                ..Running::default()
            };
            let told = [(worker("a"), others)].into();
            view.on_peer(ms(at), &"others".parse().unwrap(), &told);
        }
    }

    /// Most arrivals in any span.
    fn most(&self) -> usize {
        let starts = self.arrivals.iter().enumerate();
        let counts = starts.map(|(index, start)| {
            let after = &self.arrivals[index..];
            after.iter().take_while(|at| **at < start + SPAN).count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Load: many instances have requests for a model that only one server holds, and it names a limit
/// below what they bring.
#[rstest]
#[case::small(8, 300, 1.4, 4.0)]
#[case::small_and_popular(8, 300, 1.4, 20.0)]
#[case::grown(85, 400, 2.0, 8.0)]
#[case::large(295, 500, 1.5, 8.0)]
#[case::large_and_popular(295, 500, 2.0, 40.0)]
#[case::large_plain(295, 500, 30.0, 120.0)]
fn instances_that_hear_late_of_each_other_keep_to_a_limit(
    #[case] instances: u32,
    #[case] news_ms: u64,
    #[case] limit: f64,
    #[case] rate: f64,
) {
    let mut crowded = Crowded::new(instances, news_ms, limit);
    crowded.play(rate, 40_000);
    let most = f64::from(u32::try_from(crowded.most()).unwrap());
    let all = f64::from(u32::try_from(crowded.arrivals.len()).unwrap()) / 40.0;
    assert!(most <= TOLERANCE * limit * 4.0 + EXTRA, "{most} in a span");
    assert!(all >= limit / 2.0, "{all} a second of {limit}");
}
