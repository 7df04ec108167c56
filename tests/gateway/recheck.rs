//! When instances that the store did not answer call it again.

use super::build::ms;
use poplarseam::decide::recheck::Recheck;

/// Guards against instances that go on telling that the store does not answer them.
#[test]
fn an_instance_that_is_refused_calls_after_one_two_four_and_eight_seconds() {
    let mut recheck = Recheck::default();
    let times = (0..40_000).step_by(250);
    let calls = times.filter(|now| recheck.is_due(ms(*now), true, 0.0));
    assert_eq!(
        calls.collect::<Vec<_>>(),
        [1_000, 3_000, 7_000, 15_000, 23_000, 31_000, 39_000]
    );
}

#[test]
fn an_instance_that_is_answered_or_reads_does_not_call() {
    let mut recheck = Recheck::default();
    assert!(!recheck.is_due(ms(0), true, 0.0));
    assert!(!recheck.is_due(ms(1_000), false, 0.0));
    assert!(!recheck.is_due(ms(1_500), true, 0.0));
    assert!(!recheck.is_due(ms(2_000), true, 0.0));
    assert!(recheck.is_due(ms(2_500), true, 0.0));
}

/// Guards against a herd at the store by instances that were refused at the same moment.
#[test]
fn instances_call_at_different_moments() {
    let mut recheck = Recheck::default();
    assert!(!recheck.is_due(ms(0), true, 0.5));
    assert!(!recheck.is_due(ms(1_499), true, 0.5));
    assert!(recheck.is_due(ms(1_500), true, 0.5));
}
