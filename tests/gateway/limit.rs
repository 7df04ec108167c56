//! Rate limits that servers name, and how long they hold.

use super::build::{ms, worker};
use poplarseam::decide::limit::Limits;
use poplarseam::world::unit::{Incarnation, Rate};

const BOOT: Incarnation = Incarnation(1);
const LATER_BOOT: Incarnation = Incarnation(2);

#[test]
fn a_limit_holds_until_an_answer_names_none() {
    let mut limits = Limits::default();
    let a = worker("a");
    assert!(limits.on_said(ms(0), &a, BOOT, Some(Rate(2.0))));
    assert!(
        !limits.on_said(ms(800), &a, BOOT, Some(Rate(2.0))),
        "no news"
    );
    assert!(limits.on_said(ms(900), &a, BOOT, Some(Rate(1.5))));
    assert_eq!(limits.of(&a, BOOT), Some(Rate(1.5)));
    assert!(limits.on_said(ms(1_400), &a, BOOT, None));
    assert_eq!(limits.of(&a, BOOT), None);
    assert!(!limits.on_said(ms(9_000), &a, BOOT, None), "no news");
}

/// Load: answers on several connections overtake each other.
#[test]
fn an_answer_from_before_the_limit_does_not_lift_it() {
    let mut limits = Limits::default();
    limits.on_said(ms(1_000), &worker("a"), BOOT, Some(Rate(2.0)));
    assert!(!limits.on_said(ms(1_499), &worker("a"), BOOT, None));
    assert_eq!(limits.of(&worker("a"), BOOT), Some(Rate(2.0)));
}

#[test]
fn a_limit_ends_with_the_start_that_named_it() {
    let mut limits = Limits::default();
    let a = worker("a");
    limits.on_said(ms(0), &a, BOOT, Some(Rate(2.0)));
    assert_eq!(limits.of(&a, LATER_BOOT), None);
    limits.on_said(ms(10), &a, LATER_BOOT, Some(Rate(3.0)));
    assert!(
        !limits.on_said(ms(20), &a, BOOT, Some(Rate(1.0))),
        "old word"
    );
    assert_eq!(limits.of(&a, LATER_BOOT), Some(Rate(3.0)));
}
