//! Checks that servers which fall over when they reject too much are not sent more than that.

use super::build::{SERVICE, ms};
use poplarseam::decide::brittle::{Bounds, Exposure};
use poplarseam::decide::limit::Sharers;
use poplarseam::world::id;
use rstest::rstest;

/// Time that is simulated, and how often each instance has a request.
const SPAN_MS: u64 = 30_000;
const REQUEST_INTERVAL_MS: u64 = 20;
/// Its multiples, modulo 1, are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_034;

fn service() -> id::Service {
    SERVICE.parse().unwrap()
}

fn sharers(total: u32) -> Sharers {
    Sharers {
        reachable: total,
        total: Some(total),
    }
}

/// Has instances send to a server that rejects everything, whenever they may; returns when it rejected.
fn flood(instances: u32, bound: u32) -> Vec<u64> {
    let mut exposures = vec![Exposure::default(); instances as usize];
    let mut rejected = Vec::new();
    for now in 0..SPAN_MS {
        for (index, exposure) in (0_u32..).zip(&mut exposures) {
            let is_due = (now + u64::from(index)).is_multiple_of(REQUEST_INTERVAL_MS);
            let stagger = (f64::from(index) * GOLDEN_RATIO).fract();
            let wait = exposure.wait(ms(now), bound, sharers(instances), stagger);
            let may_send = wait.is_none();
            if is_due && may_send {
                exposure.on_sent_at_risk(ms(now));
                exposure.on_rejected(ms(now));
                rejected.push(now);
            }
        }
    }
    rejected
}

/// Guards against a flood of requests at all instances together, at servers without room, each of which
/// falls over when it rejects more than it bears.
#[rstest]
#[case::one_instance(1, 4)]
#[case::as_many_as_it_bears(8, 8)]
#[case::more_than_it_bears(8, 3)]
#[case::not_a_multiple(8, 21)]
#[case::many(85, 10)]
fn rejections_at_all_instances_stay_within_the_bound_in_each_second(
    #[case] instances: u32,
    #[case] bound: u32,
) {
    let rejected = flood(instances, bound);
    for (index, start) in rejected.iter().enumerate() {
        let within = rejected[index..]
            .iter()
            .take_while(|at| **at < start + 1_000);
        assert!(within.count() <= bound as usize, "from {start} ms");
    }
    assert!(!rejected.is_empty());
}

/// Guards against an instance that has just started using the whole bound, since it doesn't know the others.
#[test]
fn an_instance_that_does_not_know_the_others_risks_one_rejection() {
    let mut exposure = Exposure::default();
    let unknown = Sharers {
        reachable: 1,
        total: None,
    };
    assert_eq!(exposure.wait(ms(0), 10, unknown, 0.0), None);
    exposure.on_sent_at_risk(ms(0));
    assert!(exposure.wait(ms(5_000), 10, unknown, 0.0).is_some());
}

#[test]
fn a_bound_holds_until_an_answer_lacks_it_or_it_expires() {
    let mut bounds = Bounds::default();
    assert!(!bounds.on_answer(ms(0), &service(), None));
    assert!(bounds.on_answer(ms(0), &service(), Some(4)));
    assert!(!bounds.on_answer(ms(10), &service(), Some(4)));
    let is_lifted = bounds.on_answer(ms(20), &service(), None);
    assert!(!is_lifted, "an answer may overtake another");
    assert_eq!(bounds.bound(ms(20), &service()), Some(4));
    assert_eq!(bounds.bound(ms(40_000), &service()), None);
    assert!(bounds.on_answer(ms(1_000), &service(), None));
    assert_eq!(bounds.bound(ms(1_000), &service()), None);
}
