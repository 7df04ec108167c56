//! When an instance reads for itself what peers know already.

use super::build::ms;
use poplarseam::decide::lag::Lag;

const LONGEST: u64 = 500;

#[test]
fn a_stream_of_changes_that_arrives_a_little_late_is_no_lag() {
    let mut lag = Lag::default();
    for step in 0..100_u64 {
        assert!(!lag.is_late(ms(100 * step), step, step + 3, ms(LONGEST)));
    }
}

#[test]
fn a_version_that_does_not_come_is_late_once_in_a_while() {
    let mut lag = Lag::default();
    let late = (0..20_u64).filter(|step| lag.is_late(ms(100 * step), 1, 2, ms(LONGEST)));
    assert_eq!(late.collect::<Vec<_>>(), vec![5, 10, 15]);
}

#[test]
fn who_knows_as_much_as_peers_is_never_late() {
    let mut lag = Lag::default();
    assert!(!lag.is_late(ms(0), 5, 5, ms(LONGEST)));
    assert!(!lag.is_late(ms(9_000), 5, 4, ms(LONGEST)));
}
