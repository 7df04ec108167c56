//! Checks how the pauses of streams bound the unread prompts at a server, and in which order and
//! for how long requests wait while every server is above that bound.

use super::build::{SERVICE, backend, deployment, generation, ms, site, worker};
use poplarseam::decide::balance::{Balancer, Choice, Need, Workload};
use poplarseam::decide::pause::Reading;
use poplarseam::decide::waiting::{Line, Queue, wait_until};
use poplarseam::world::id;
use poplarseam::world::message::Load;
use poplarseam::world::site::{Repeat, Route, Site};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause and first-byte targets of the route, from the platform's configuration.
const PAUSE_TARGET_MS: u64 = 400;
const TARGET_MS: u64 = 1_000;
/// Prompt that takes 100 ms to read at the usual pace.
const PROMPT: u64 = 2_000;

pub fn route(name: &str, pause_target_ms: u64) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: "/".into(),
        repeat: Repeat::Resume,
        timeout: ms(30_000),
        target: ms(TARGET_MS),
        longest_pause: ms(pause_target_ms),
        priority: 0,
        is_public: false,
        split: vec![(SERVICE.parse().unwrap(), 1)],
        most_workers: 3,
    }
}

pub fn site_with_pause_target() -> Site {
    let mut site = site();
    site.routes.push(route("chat", PAUSE_TARGET_MS));
    site.routes.push(route("batch", 4 * PAUSE_TARGET_MS));
    site.routes.push(route("untargeted", 0));
    site
}

fn need(prompt: u64, draw: u64) -> Need {
    Need {
        service: SERVICE.parse().unwrap(),
        generation: Some(generation("m1", prompt)),
        draw,
    }
}

fn balancer(servers: usize) -> Balancer {
    let mut balance = Balancer::new(&deployment("north-1"));
    balance.on_site(&site_with_pause_target());
    for number in 0..servers {
        balance.on_listed(backend(&format!("w{number}"), "north-1", "m1"));
    }
    balance
}

fn state_pace(balance: &mut Balancer, at: u64, server: &str, pace: f64) {
    let load = Load {
        running: 1,
        waiting: 0,
        pace: Some(pace),
    };
    balance.on_load(ms(at), &worker(server), load);
}

/// Reports the requests and unread prompts of other instances, `(server, requests, unread ms)`.
fn report(balance: &mut Balancer, at: u64, loads: &[(&str, u32, u64)]) {
    let loads = loads.iter().map(|(server, requests, unread_ms)| {
        let running = Workload {
            requests: *requests,
            reading_us: unread_ms * 1_000,
            kept: 0,
            recent: 0,
        };
        (worker(server), running)
    });
    let loads: BTreeMap<id::Worker, Workload> = loads.collect();
    balance.on_peer(ms(at), &"two".parse().unwrap(), &loads);
}

fn reading(unread_ms: u64, pace: f64, requests: u32) -> Reading {
    Reading {
        unread: ms(unread_ms),
        step: ms(20),
        pace,
        requests,
    }
}

fn near(actual: Duration, wanted: Duration) -> bool {
    actual.abs_diff(wanted) < Duration::from_micros(10)
}

/// Load pattern: two pieces of 4,096 tokens at 19.2 tokens/ms with a step of about 20 ms stop a
/// stream for 446 ms, with a target of 400 ms.
#[test]
fn the_bound_is_the_target_less_a_step() {
    let target = ms(PAUSE_TARGET_MS);
    let piece = Duration::from_secs_f64(4_096.0 / 19_200.0);
    let excess = reading(0, 1.0, 3).excess(target, piece * 2);
    assert!(near(excess, Duration::from_micros(46_667)), "{excess:?}");
    assert!(near(reading(0, 1.0, 3).bound(target), ms(380)));
    assert_eq!(reading(280, 1.0, 3).excess(target, ms(100)), Duration::ZERO);
    assert!(near(reading(281, 1.0, 3).excess(target, ms(100)), ms(1)));
}

/// Load pattern: a prompt that is harmless at the usual pace arrives while work takes 2.5 times as
/// long.
#[test]
fn a_slow_pace_lowers_the_bound() {
    let target = ms(PAUSE_TARGET_MS);
    assert!(near(reading(0, 2.5, 3).bound(target), ms(140)));
    let excess = reading(100, 2.5, 3).excess(target, ms(100));
    assert!(near(excess, ms(150)), "{excess:?}");
    assert_eq!(reading(100, 1.0, 3).excess(target, ms(100)), Duration::ZERO);
}

/// Guards against keeping prompts from a server that has no stream to stop.
#[test]
fn a_server_without_requests_has_no_bound() {
    let excess = reading(0, 2.5, 0).excess(ms(PAUSE_TARGET_MS), ms(2_000));
    assert_eq!(excess, Duration::ZERO);
}

#[test]
fn the_cost_grows_with_the_excess_and_the_number_of_streams() {
    let cost = |requests, excess| reading(0, 1.0, requests).cost(ms(excess));
    assert!(cost(2, 50) < cost(2, 60));
    assert!(cost(2, 50) < cost(3, 50));
}

/// Load pattern: servers with running streams beside an idle one whose first byte comes later.
/// Guards against stopping streams for too long although another server is free.
#[test]
fn a_free_server_is_preferred_to_one_whose_streams_would_pause_too_long() {
    let mut balance = balancer(2);
    state_pace(&mut balance, 0, "w0", 1.0);
    state_pace(&mut balance, 0, "w1", 4.5);
    report(&mut balance, 0, &[("w0", 1, 270)]);
    for draw in 0..20 {
        let below = balance.choose(ms(10), &need(PROMPT, draw), |_| true);
        assert!(matches!(below, Choice::Send(id, _) if id == worker("w0")));
    }
    report(&mut balance, 0, &[("w0", 1, 290)]);
    for draw in 0..20 {
        let above = balance.choose(ms(10), &need(PROMPT, draw), |_| true);
        assert!(matches!(above, Choice::Send(id, _) if id == worker("w1")));
    }
}

/// Load pattern: all servers are above the bound, one with many streams and one with a single one.
#[test]
fn if_all_servers_are_above_the_bound_the_fewest_streams_are_stopped() {
    let mut balance = balancer(2);
    for server in ["w0", "w1"] {
        state_pace(&mut balance, 0, server, 1.0);
    }
    report(&mut balance, 0, &[("w0", 7, 360), ("w1", 1, 400)]);
    let choice = balance.choose(ms(10), &need(PROMPT, 7), |_| true);
    assert!(matches!(choice, Choice::AboveBound(id, _) if id == worker("w1")));
}

/// Guards against a change for deployments whose servers state no pace, and for routes without a
/// pause target.
#[test]
fn without_a_pace_or_a_pause_target_there_is_no_bound() {
    let mut without_pace = balancer(2);
    let mut without_target = balancer(2);
    without_target.on_site(&site());
    state_pace(&mut without_target, 0, "w0", 1.0);
    let mut reference = balancer(2);
    reference.on_site(&site());
    for balance in [&mut without_pace, &mut without_target, &mut reference] {
        report(balance, 0, &[("w0", 7, 900), ("w1", 1, 1_500)]);
    }
    for draw in 0..50 {
        let need = need(8_000, draw);
        let wanted = reference.choose(ms(10), &need, |_| true);
        assert!(matches!(wanted, Choice::Send(..)));
        assert_eq!(without_pace.choose(ms(10), &need, |_| true), wanted);
        assert_eq!(without_target.choose(ms(10), &need, |_| true), wanted);
    }
}

/// Load pattern: prompts whose own reading exceeds the bound. Guards against waits that can't help.
#[test]
fn a_prompt_above_the_bound_by_itself_does_not_wait_for_unread_prompts_that_do_not_exist() {
    let mut balance = balancer(2);
    for server in ["w0", "w1"] {
        state_pace(&mut balance, 0, server, 1.0);
    }
    report(&mut balance, 0, &[("w0", 4, 0), ("w1", 4, 0)]);
    let choice = balance.choose(ms(10), &need(9_000, 7), |_| true);
    assert!(matches!(choice, Choice::Send(..)), "{choice:?}");
}

/// Load pattern: a server that fails at once has few unread prompts. Guards against sending it
/// everything because it is the only one below the bound.
#[test]
fn a_failing_server_is_not_preferred_for_its_few_unread_prompts() {
    let mut balance = balancer(2);
    for server in ["w0", "w1"] {
        state_pace(&mut balance, 0, server, 1.0);
    }
    for _ in 0..40 {
        balance.on_failed(&worker("w0"));
    }
    report(&mut balance, 0, &[("w1", 1, 300)]);
    let choice = balance.choose(ms(10), &need(PROMPT, 7), |_| true);
    assert!(matches!(choice, Choice::AboveBound(id, _) if id == worker("w1")));
}

/// Load pattern: a herd. Eight of twelve servers are above the bound, and instances see the four
/// others by reports 100 to 400 ms old. Guards against all of them choosing the same one.
#[test]
fn requests_are_spread_over_the_servers_below_the_bound() {
    let mut balance = balancer(12);
    let names: Vec<String> = (0..12).map(|number| format!("w{number}")).collect();
    for name in &names {
        state_pace(&mut balance, 0, name, 1.0);
    }
    let loads = names.iter().enumerate().map(|(number, name)| {
        let unread = if number < 4 {
            20 + 10 * number as u64
        } else {
            380
        };
        (name.as_str(), 3, unread)
    });
    let loads: Vec<(&str, u32, u64)> = loads.collect();
    report(&mut balance, 0, &loads);
    let mut sent: BTreeMap<id::Worker, u32> = BTreeMap::new();
    for draw in 0..400_u64 {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        match balance.choose(ms(200), &need(PROMPT, draw), |_| true) {
            Choice::Send(chosen, _) => *sent.entry(chosen).or_default() += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(sent.len(), 4, "{sent:?}");
    assert!(
        sent.values().all(|count| (50..200).contains(count)),
        "{sent:?}"
    );
}

fn line(target: &str) -> Line {
    Line {
        service: SERVICE.parse().unwrap(),
        target: target.parse().unwrap(),
    }
}

/// Guards against less urgent or younger requests taking a server's room first.
#[test]
fn the_most_urgent_and_then_the_oldest_request_is_first() {
    let mut queue = Queue::default();
    let line = line("m1");
    let young = queue.join(&line, 3, ms(50));
    let old = queue.join(&line, 3, ms(20));
    let twin = queue.join(&line, 3, ms(20));
    let urgent = queue.join(&line, 0, ms(90));
    for (index, place) in [urgent, old, twin, young].into_iter().enumerate() {
        let waiting = [urgent, old, twin, young];
        for later in &waiting[index + 1..] {
            assert!(!queue.is_first(&line, *later));
        }
        assert!(queue.is_first(&line, place));
        assert_eq!(queue.leave(&line, place), index < 3);
    }
    assert!(queue.is_empty());
}

/// Load pattern: callers that leave while they wait, in any order. Guards against places that stay
/// behind and block the line.
#[test]
fn a_request_that_leaves_blocks_no_one() {
    let mut queue = Queue::default();
    let line = line("m1");
    let first = queue.join(&line, 0, ms(0));
    let middle = queue.join(&line, 1, ms(0));
    let last = queue.join(&line, 2, ms(0));
    assert!(!queue.leave(&line, middle));
    assert!(!queue.leave(&line, middle));
    assert!(queue.leave(&line, first));
    assert!(queue.is_first(&line, last));
    assert_eq!(queue.len(), 1);
    assert!(!queue.leave(&line, last));
    assert!(queue.is_empty());
    assert!(!queue.leave(&line, last));
}

/// Guards against a new request overtaking one that has waited longer, and against it waiting for
/// less urgent ones or for those that need other servers.
#[test]
fn a_new_request_waits_only_behind_those_before_it() {
    let mut queue = Queue::default();
    queue.join(&line("m1"), 3, ms(50));
    assert!(queue.has_before(&line("m1"), 3, ms(60)));
    assert!(queue.has_before(&line("m1"), 5, ms(10)));
    assert!(!queue.has_before(&line("m1"), 3, ms(40)));
    assert!(!queue.has_before(&line("m1"), 0, ms(60)));
    assert!(!queue.has_before(&line("m1/a1"), 5, ms(60)));
    assert!(!queue.has_before(&line("m2"), 5, ms(60)));
}

/// Guards against waits that use up the target of the route.
#[test]
fn a_request_waits_at_most_half_of_its_target_less_the_expected_time() {
    let arrived = ms(7_000);
    assert_eq!(wait_until(arrived, ms(TARGET_MS), ms(100)), ms(7_400));
    assert_eq!(wait_until(arrived, ms(TARGET_MS), ms(500)), arrived);
    assert_eq!(wait_until(arrived, ms(TARGET_MS), ms(5_000)), arrived);
}
