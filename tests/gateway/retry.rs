//! Retry budgets and back-off.

use super::build::ms;
use poplarseam::decide::retry::{Budget, backoff};
use poplarseam::world::deployment::Allowance;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(0, 400)]
#[case(1, 800)]
#[case(3, 3_200)]
#[case(4, 4_000)]
#[case(u32::MAX, 4_000)]
fn backoff_doubles_up_to_its_maximum(#[case] tries: u32, #[case] pause: u64) {
    assert_eq!(backoff(ms(400), tries, ms(4_000), 1.0), ms(pause));
}

#[test]
fn zero_jitter_halves_the_backoff() {
    assert_eq!(backoff(ms(400), 1, ms(4_000), 0.0), ms(400));
}

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

/// Returns the budget of one of `sharers` instances, filled to its bound.
fn full_budget(sharers: u32) -> Budget {
    let mut budget = Budget::new(ALLOWANCE, ms(0));
    budget.on_first_attempt(ms(60_000), Some(sharers));
    budget
}

fn granted_retries(budget: &mut Budget, sharers: Option<u32>) -> usize {
    let taken = (0..100).filter(|_| budget.take(ms(60_000), sharers));
    taken.count()
}

/// Guards against an instance that keeps a large share from the time when it knew few others.
#[test]
fn a_full_budget_shrinks_when_more_instances_share_it() {
    assert_eq!(granted_retries(&mut full_budget(1), Some(1)), 14);
    assert_eq!(granted_retries(&mut full_budget(1), Some(7)), 2);
}

/// Guards against a restarted instance that spends retries again that it spent before.
#[test]
fn a_restarted_instance_starts_with_an_empty_budget() {
    let mut budget = Budget::new(ALLOWANCE, ms(60_000));
    assert_eq!(granted_retries(&mut budget, Some(1)), 0);
}

#[test]
fn the_first_start_of_an_instance_grants_two_retries() {
    let mut budget = Budget::new(ALLOWANCE, ms(60_000));
    budget.on_first_start();
    assert_eq!(granted_retries(&mut budget, Some(1)), 2);
}

#[test]
fn first_attempts_earn_retries_without_a_known_number_of_sharers() {
    let mut budget = Budget::new(ALLOWANCE, ms(60_000));
    for _ in 0..100 {
        budget.on_first_attempt(ms(60_000), None);
    }
    assert_eq!(granted_retries(&mut budget, None), 1);
}
