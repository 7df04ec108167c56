//! Random schedules of events, generated from a printed seed and so the same in every run.

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::ops::Range;

/// Generates `count` schedules of events.
pub fn draw<T: std::fmt::Debug>(
    seed: u8,
    count: usize,
    length: Range<usize>,
    event: &(impl Strategy<Value = T> + Clone),
) -> Vec<Vec<T>> {
    println!("seed {seed}, {count} schedules of {length:?} events");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let schedule = proptest::collection::vec(event.clone(), length);
    let generate = |_| {
        schedule
            .new_tree(&mut runner)
            .expect("strategy generates a schedule")
            .current()
    };
    (0..count).map(generate).collect()
}

/// Removes events as long as the schedule still violates the property.
pub fn shrink<T: Clone>(schedule: &[T], violates: impl Fn(&[T]) -> bool) -> Vec<T> {
    let mut shortest = schedule.to_vec();
    let mut index = 0;
    while index < shortest.len() {
        let mut shorter = shortest.clone();
        shorter.remove(index);
        if violates(&shorter) {
            shortest = shorter;
            index = 0;
        } else {
            index += 1;
        }
    }
    shortest
}

/// Panics with the shortest form of a schedule that violates the property.
pub fn assert_holds<T: Clone + std::fmt::Debug>(schedule: &[T], violates: impl Fn(&[T]) -> bool) {
    assert!(
        !violates(schedule),
        "violated by {:#?}",
        shrink(schedule, violates)
    );
}
