//! Checks how the pace that servers state changes the choice of a server.

use super::build::{SERVICE, backend, deployment, generation, model, ms, site, worker};
use poplarseam::decide::balance::{Balancer, Choice, Need, Workload};
use poplarseam::decide::pace::Pace;
use poplarseam::platform::request;
use poplarseam::world::id;
use poplarseam::world::message::Load;
use poplarseam::world::site::Service;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pace of a server whose machine is busy with other work.
const SLOW: f64 = 2.5;

fn stated(pace: f64) -> Load {
    Load {
        running: 1,
        waiting: 0,
        pace: Some(pace),
    }
}

fn need(draw: u64) -> Need {
    Need {
        service: SERVICE.parse().unwrap(),
        generation: Some(generation("m1", 2_000)),
        draw,
    }
}

fn balancer(servers: usize) -> Balancer {
    let mut balance = Balancer::new(&deployment("north-1"));
    balance.on_site(&site());
    for number in 0..servers {
        balance.on_listed(backend(&format!("w{number}"), "north-1", "m1"));
    }
    balance
}

fn expected(balance: &Balancer, at: u64, need: &Need, server: &str) -> f64 {
    let only = worker(server);
    match balance.choose(ms(at), need, |id| *id == only) {
        Choice::Send(_, expected) => expected,
        other => panic!("{other:?}"),
    }
}

/// The pace in the `Load` that an answer with this load header brings.
fn parsed(load: &str) -> Option<Load> {
    let response = hyper::Response::builder()
        .header("X-Instance-Load", load)
        .body(())
        .unwrap();
    let (head, ()) = response.into_parts();
    request::decode_answer("r", &head, false).load
}

/// Guards against a load header without a readable pace being ignored as a whole, and against
/// figures by which one server would look infinitely fast or slow.
#[test]
fn the_fourth_figure_is_the_pace() {
    let pace = |text| parsed(text).unwrap().pace;
    assert_eq!(pace("3,0,8,100"), Some(1.0));
    assert_eq!(pace("3, 0, 8, 250"), Some(2.5));
    for text in [
        "3,0",
        "3,0,8",
        "3,0,8,",
        "3,0,8,x",
        "3,0,8,-4",
        "3,0,8,0",
        "3,0,8,NaN",
        "3,0,8,inf",
    ] {
        assert_eq!(pace(text), None, "{text}");
        assert_eq!(parsed(text).unwrap().running, 3);
    }
    assert_eq!(pace("3,0,8,1e300"), Some(10.0));
    assert_eq!(pace("3,0,8,0.001"), Some(0.2));
}

/// Guards against a server that states no pace being treated differently than before.
#[test]
fn a_server_that_states_no_pace_is_unaffected() {
    let mut without = balancer(2);
    let mut with_loads = balancer(2);
    let before = expected(&without, 0, &need(7), "w0");
    for at in 0..50 {
        let load = Load {
            pace: None,
            ..stated(1.0)
        };
        with_loads.on_load(ms(at * 20), &worker("w0"), load);
        with_loads.on_event_interval(ms(at * 20), &worker("w0"), ms(20 + at));
        for balance in [&mut without, &mut with_loads] {
            balance.on_served(&worker("w0"), Some(&model("m1")), 0.1, ms(130));
        }
        let known = expected(&without, at * 20, &need(7), "w0");
        assert!((expected(&with_loads, at * 20, &need(7), "w0") - known).abs() < 1e-15);
    }
    assert!(expected(&without, 1_000, &need(7), "w0") > before);
}

/// Load pattern: a pace that alternates between usual and 2.5 times usual within a second. Guards
/// against trusting a value after the pace has changed.
#[test]
fn a_stated_pace_counts_while_fresh_and_then_the_average_counts() {
    let mut pace = Pace::default();
    for period in 0..40 {
        pace.on_stated(ms(period * 500), 1.0);
        pace.on_stated(ms(period * 500 + 250), SLOW);
    }
    let last = 39 * 500 + 250;
    assert!((pace.effective(ms(last + 20)) - SLOW).abs() < 1e-9);
    let average = pace.effective(ms(last + 250));
    assert!((1.6..1.9).contains(&average), "{average}");
    let between = pace.effective(ms(last + 150));
    assert!(average < between && between < SLOW, "{between}");
    assert!((pace.effective(ms(last + 9_000)) - average).abs() < 1e-9);
}

/// Load pattern: many answers during the fast half of each second and few during the slow half.
/// Guards against an average that follows the number of answers instead of the time.
#[test]
fn the_average_weights_values_by_time() {
    let mut pace = Pace::default();
    for second in 0..30 {
        for step in 0..50 {
            pace.on_stated(ms(second * 1_000 + step * 10), 1.0);
        }
        for step in 0..5 {
            pace.on_stated(ms(second * 1_000 + 500 + step * 100), SLOW);
        }
    }
    let average = pace.effective(ms(31_000));
    assert!((1.5..2.0).contains(&average), "{average}");
}

#[test]
fn the_faster_of_two_servers_is_chosen_while_its_pace_is_fresh() {
    let mut balance = balancer(2);
    balance.on_load(ms(0), &worker("w0"), stated(SLOW));
    balance.on_load(ms(0), &worker("w1"), stated(1.0));
    for draw in 0..20 {
        let choice = balance.choose(ms(20), &need(draw), |_| true);
        assert!(matches!(choice, Choice::Send(id, _) if id == worker("w1")));
    }
}

/// Guards against counting a slow pace twice, in the pace and in the learned slowness.
#[test]
fn answers_as_slow_as_the_pace_leave_the_slowness_unchanged() {
    let mut balance = balancer(1);
    for at in 0..100 {
        let now = at * 20;
        balance.on_load(ms(now), &worker("w0"), stated(SLOW));
        let expected = expected(&balance, now, &need(at), "w0");
        let measured = Duration::from_secs_f64(expected);
        balance.on_served(&worker("w0"), Some(&model("m1")), expected, measured);
    }
    let slowness = balance.view(&worker("w0")).unwrap().slowness;
    assert!((slowness - 1.0).abs() < 0.01, "{slowness}");
}

/// Guards against learning the service time of a plain service at a slow pace and then multiplying
/// it by the pace again.
#[test]
fn the_service_time_of_a_plain_service_is_learned_at_the_usual_pace() {
    let mut site = site();
    let plain: id::Service = "plain".parse().unwrap();
    let service = Service {
        most_connections: 100,
        engine: None,
    };
    site.services.insert(plain.clone(), service);
    let mut balance = balancer(0);
    balance.on_site(&site);
    let mut listed = backend("p", "north-1", "");
    listed.service = plain.clone();
    balance.on_listed(listed);
    let need = Need {
        service: plain,
        generation: None,
        draw: 7,
    };
    for at in 0..100 {
        balance.on_load(ms(at), &worker("p"), stated(SLOW));
        balance.on_served(&worker("p"), None, 0.1, ms(100));
    }
    let slow = expected(&balance, 100, &need, "p");
    balance.on_load(ms(101), &worker("p"), stated(1.0));
    let usual = expected(&balance, 101, &need, "p");
    assert!((slow - 0.1).abs() < 0.01, "{slow}");
    assert!((usual - 0.04).abs() < 0.004, "{usual}");
}

/// Returns the estimate for a server with an event every 20 ms at the usual pace, and the time of
/// the last event.
fn with_usual_interval() -> (Pace, u64) {
    let mut pace = Pace::default();
    for step in 0..40 {
        pace.on_stated(ms(step * 20), 1.0);
        pace.on_interval(ms(step * 20), ms(20));
    }
    (pace, 39 * 20)
}

/// Load pattern: a server that serves long streams and few new requests, so that it rarely states
/// its pace, which changes meanwhile.
#[test]
fn the_events_of_a_stream_show_the_pace_between_answers() {
    let (mut pace, mut now) = with_usual_interval();
    for _ in 0..10 {
        now += 50;
        pace.on_interval(ms(now), ms(50));
    }
    assert!((pace.effective(ms(now)) - SLOW).abs() < 0.1);
    for _ in 0..15 {
        now += 20;
        pace.on_interval(ms(now), ms(20));
    }
    assert!((pace.effective(ms(now)) - 1.0).abs() < 0.1);
}

/// Guards against taking the pause in which a server reads a prompt, or events that were held up on
/// the way and arrive together, for its pace.
#[test]
fn odd_intervals_do_not_change_the_pace() {
    let (mut pace, last) = with_usual_interval();
    let later = ms(last + 300);
    let before = pace.effective(later);
    pace.on_interval(later, ms(400));
    pace.on_interval(later, Duration::from_micros(50));
    pace.on_interval(later, Duration::ZERO);
    assert!((pace.effective(later) - before).abs() < 1e-9);
    assert_eq!(pace.event_interval(), Some(ms(20)));
}

/// Guards against a server that looks five times as fast as it is, or never fast again, because the
/// first interval contained the reading of a prompt or was far too short.
#[test]
fn an_odd_first_interval_does_not_spoil_the_usual_one() {
    for first in [ms(75), ms(6)] {
        let mut pace = Pace::default();
        pace.on_stated(ms(0), 1.0);
        pace.on_interval(ms(0), first);
        assert_eq!(pace.event_interval(), None);
        for step in 1..60 {
            pace.on_stated(ms(step * 20), 1.0);
            pace.on_interval(ms(step * 20), ms(20));
        }
        let usual = pace.event_interval().unwrap().as_secs_f64();
        assert!((usual - 0.02).abs() < 0.002, "{usual}");
    }
}

/// Load pattern: a herd. Many instances know that one of twelve servers was fast a moment ago, and
/// their reports of the workloads are 100 to 400 ms old, so none sees what the others just sent.
#[test]
fn instances_do_not_all_move_to_the_server_that_was_fast_a_moment_ago() {
    const SERVERS: usize = 12;
    const REQUESTS: u32 = 600;
    let mut rng = SmallRng::seed_from_u64(5);
    let mut balancers: Vec<Balancer> = (0..30).map(|_| balancer(SERVERS)).collect();
    for balance in &mut balancers {
        for server in 0..SERVERS {
            let name = worker(&format!("w{server}"));
            balance.on_load(ms(0), &name, stated(SLOW));
            balance.on_load(ms(700), &name, stated(if server == 0 { 1.0 } else { SLOW }));
        }
        for peer in 0..4 {
            let loads = (0..SERVERS).map(|server| {
                let requests = u32::from(rng.random_bool(0.6));
                let running = Workload {
                    requests,
                    reading_us: u64::from(requests) * rng.random_range(5_000..25_000),
                    kept: 0,
                    recent: 0,
                };
                (worker(&format!("w{server}")), running)
            });
            let loads: BTreeMap<id::Worker, Workload> = loads.collect();
            let at = 800 - rng.random_range(0..300);
            balance.on_peer(ms(at), &format!("sum.{peer}").parse().unwrap(), &loads);
        }
    }
    let mut to_fast = 0;
    for _ in 0..REQUESTS {
        let index = rng.random_range(0..balancers.len());
        let choice = balancers[index].choose(ms(800), &need(rng.random()), |_| true);
        let Choice::Send(chosen, _) = choice else {
            panic!("{choice:?}");
        };
        to_fast += u32::from(chosen == worker("w0"));
    }
    // An even spread sends one in twelve; a server that is 2.5 times as fast can do the work of 2.5.
    let even = f64::from(REQUESTS) / 12.0;
    let sent = f64::from(to_fast);
    assert!(
        sent > even * 0.9 && sent < even * SLOW,
        "{to_fast} of {REQUESTS}"
    );
}

/// Load pattern: long prompts at a server that was fast a moment ago. Guards against the pace of this
/// moment being expected for work that lasts longer than a pace does.
#[test]
fn the_newest_pace_counts_less_for_long_work() {
    let mut pace = Pace::default();
    for period in 0..40 {
        pace.on_stated(ms(period * 500), 1.0);
        pace.on_stated(ms(period * 500 + 250), SLOW);
    }
    let now = ms(39 * 500 + 250);
    let average = pace.effective(now + ms(1_000));
    assert!((pace.during(now, ms(10)) - SLOW).abs() < 1e-9);
    let long = pace.during(now, ms(1_000));
    assert!(average < long && long < average + 0.15, "{long}");
    // The mean over the work equals the mean of the values at each moment.
    let usual = 200.0 / average;
    let work = Duration::from_secs_f64(usual / 1e3);
    let moments = (0..2_000).map(|tenth| pace.effective(now + ms(tenth) / 10));
    let mean = moments.sum::<f64>() / 2_000.0;
    assert!((pace.during(now, work) - mean).abs() < 1e-3);
    assert!((pace.during(now + ms(300), work) - average).abs() < 1e-9);
}
