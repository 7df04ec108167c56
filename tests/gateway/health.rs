//! Whether the store answers an instance.

use super::build::ms;
use poplarseam::decide::health::Health;

/// Guards against instances that hold the store for lost again after its return, and so leave its
/// readers: calls made while it was silent time out for over a second after it.
#[test]
fn calls_that_began_before_an_answered_one_show_no_outage() {
    let mut health = Health::default();
    health.on_failed(ms(5_000), ms(4_300));
    assert!(!health.is_up());
    health.on_answered(ms(6_300));
    health.on_failed(ms(6_900), ms(5_700));
    assert!(health.is_up());
    assert!(!health.has_failed_since(ms(6_300)));
}

#[test]
fn calls_that_began_after_an_answered_one_show_an_outage() {
    let mut health = Health::default();
    assert!(health.is_up());
    health.on_answered(ms(6_300));
    health.on_failed(ms(7_500), ms(6_300));
    assert!(!health.is_up());
    assert!(health.has_failed_since(ms(7_500)));
    assert!(!health.has_failed_since(ms(7_501)));
}

/// A long poll may be answered after a shorter call that began later has failed.
#[test]
fn an_answer_to_an_earlier_call_shows_that_the_store_answers_again() {
    let mut health = Health::default();
    health.on_answered(ms(1_000));
    health.on_failed(ms(5_000), ms(4_000));
    health.on_answered(ms(3_000));
    assert!(health.is_up());
    health.on_failed(ms(5_500), ms(4_500));
    assert!(!health.is_up());
}
