//! Pauses between tries.

use super::build::ms;
use poplarseam::decide::retry::backoff;
use rstest::rstest;

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
