//! How long configurations take until they are in force.

use super::build::ms;
use poplarseam::decide::arrival::{Arrival, Overdue};

#[test]
fn a_version_counts_from_the_first_time_it_was_heard() {
    let mut arrival = Arrival::default();
    arrival.on_heard(ms(100), 5, 4);
    arrival.on_heard(ms(200), 5, 4);
    arrival.on_heard(ms(300), 7, 4);
    assert_eq!(arrival.on_in_force(ms(400), 6), [ms(300)]);
    assert_eq!(arrival.on_in_force(ms(500), 7), [ms(200)]);
    assert!(arrival.on_in_force(ms(600), 8).is_empty());
}

#[test]
fn a_version_that_is_in_force_is_not_awaited() {
    let mut arrival = Arrival::default();
    arrival.on_heard(ms(0), 5, 5);
    assert_eq!(arrival.take_overdue(ms(9_000), ms(1_000)), None);
}

#[test]
fn each_overdue_version_is_reported_once() {
    let mut arrival = Arrival::default();
    arrival.on_heard(ms(0), 5, 4);
    assert_eq!(arrival.take_overdue(ms(999), ms(1_000)), None);
    let overdue = Overdue {
        version: 5,
        waited: ms(1_000),
    };
    assert_eq!(arrival.take_overdue(ms(1_000), ms(1_000)), Some(overdue));
    assert_eq!(arrival.take_overdue(ms(2_000), ms(1_000)), None);
}

#[test]
fn versions_without_end_keep_a_bounded_number() {
    let mut arrival = Arrival::default();
    (1..1_000).for_each(|version| arrival.on_heard(ms(version), version, 0));
    assert_eq!(arrival.on_in_force(ms(1_000), 1_000).len(), 64);
}
