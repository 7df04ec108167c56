//! Which requests a stopping process still passes on.

use super::build::ms;
use poplarseam::decide::shutdown::Shutdown;
use rstest::rstest;
use std::time::Duration;

const SHUTDOWN: Shutdown = Shutdown {
    began_at: Duration::ZERO,
    ends_at: Duration::from_millis(7_600),
};

/// Guards against requests that come late in the grace time, are passed on, and are cut when the
/// process exits.
#[rstest]
#[case::while_connections_still_come(2_900, 30_000, true)]
#[case::late_but_short(5_000, 7_600, true)]
#[case::late_and_long(5_000, 7_601, false)]
#[case::at_the_end(7_500, 8_700, false)]
fn late_requests_are_accepted_if_they_end_before_the_exit(
    #[case] now: u64,
    #[case] deadline: u64,
    #[case] is_accepted: bool,
) {
    assert_eq!(SHUTDOWN.accepts(ms(now), ms(deadline)), is_accepted);
}

#[test]
fn requests_that_wait_are_refused_before_the_exit() {
    assert!(!SHUTDOWN.refuses_pending(ms(7_099)));
    assert!(SHUTDOWN.refuses_pending(ms(7_100)));
}
