//! Checks when a follower counts as lagging behind its peers, upon which it reads the missing
//! version itself.

use super::build::ms;
use poplarseam::decide::lag::Lag;

const MAX_DELAY_MS: u64 = 500;

#[test]
fn versions_that_arrive_a_little_late_are_not_reported() {
    let mut lag = Lag::default();
    for step in 0..100_u64 {
        assert!(!lag.is_late(ms(100 * step), step, step + 3, ms(MAX_DELAY_MS)));
    }
}

#[test]
fn a_missing_version_is_reported_once_per_maximum_delay() {
    let mut lag = Lag::default();
    let late = (0..20_u64).filter(|step| lag.is_late(ms(100 * step), 1, 2, ms(MAX_DELAY_MS)));
    assert_eq!(late.collect::<Vec<_>>(), vec![5, 10, 15]);
}

#[test]
fn an_up_to_date_follower_is_never_late() {
    let mut lag = Lag::default();
    assert!(!lag.is_late(ms(0), 5, 5, ms(MAX_DELAY_MS)));
    assert!(!lag.is_late(ms(9_000), 5, 4, ms(MAX_DELAY_MS)));
}
