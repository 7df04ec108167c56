//! Budgets for retries, and pauses between tries.

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
fn a_pause_doubles_up_to_the_longest(#[case] tries: u32, #[case] pause: u64) {
    assert_eq!(backoff(ms(400), tries, ms(4_000), 1.0), ms(pause));
}

#[test]
fn without_jitter_half_of_the_pause_is_left() {
    assert_eq!(backoff(ms(400), 1, ms(4_000), 0.0), ms(400));
}

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

/// Guards against a share that is kept from the time when few instances were heard.
#[test]
fn a_budget_shrinks_as_soon_as_more_instances_are_known() {
    let mut budget = Budget::new(ALLOWANCE, Some(1));
    for _ in 0..1_000 {
        budget.on_first(Some(1));
    }
    let granted = (0..100).filter(|_| budget.take(Some(8)));
    assert_eq!(granted.count(), 3);
}
