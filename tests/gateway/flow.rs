//! Streams: which go on, which have stalled, which are whole.

use super::build::ms;
use poplarseam::decide::flow::{Flow, patience};
use rstest::rstest;

/// Callers' patience in these tests, and when a stream without an event is ended.
const PATIENCE: u64 = 2_000;
const STALLS: u64 = 2_500;

fn flow() -> Flow {
    Flow::new(ms(0), ms(PATIENCE), false)
}

#[rstest]
#[case::least(100, 100, 2_000)]
#[case::targets(800, 100, 3_200)]
#[case::pauses(100, 400, 3_200)]
fn callers_bear_the_longest_of_three_pauses(
    #[case] target: u64,
    #[case] pause: u64,
    #[case] longest: u64,
) {
    assert_eq!(patience(ms(target), ms(pause)), ms(longest));
}

/// Load: a worker whose batch is so full that each event takes nearly as long as a caller bears.
#[test]
fn a_slow_stream_goes_on() {
    let mut flow = flow();
    for event in 1..20 {
        let at = event * (PATIENCE - 1);
        assert!(ms(at) < flow.stalls_at(), "at {at} ms");
        flow.on_bytes(ms(at), b"id: 1\ndata: x\n\n");
    }
}

/// Load: a worker that hangs and sends a byte now and then.
#[rstest]
#[case::bytes(b"x")]
#[case::comments(b":\n\n")]
#[case::lines(b"data: x\n")]
#[case::blank_lines(b"\n")]
fn a_stream_that_only_trickles_has_stalled(#[case] bytes: &[u8]) {
    let mut flow = flow();
    for at in (0..STALLS).step_by(100) {
        flow.on_bytes(ms(at), bytes);
    }
    assert_eq!(flow.stalls_at(), ms(STALLS));
}

#[test]
fn a_stream_that_may_go_on_elsewhere_does_so_while_its_caller_waits() {
    let flow = Flow::new(ms(0), ms(PATIENCE), true);
    assert_eq!(flow.stalls_at(), ms(PATIENCE / 2));
}

#[rstest]
#[case::nothing(&[""], true)]
#[case::one(&["data: x\n\n"], true)]
#[case::carriage_returns(&["data: x\r\n\r\n"], true)]
#[case::pieces(&["data: x\n", "\nid: 2\ndata: y", "\n\n"], true)]
#[case::within_a_line(&["data: x\n\ndata"], false)]
#[case::after_a_line(&["data: x\n"], false)]
fn a_stream_is_whole_after_a_whole_event(#[case] pieces: &[&str], #[case] is_whole: bool) {
    let mut flow = flow();
    for piece in pieces {
        flow.on_bytes(ms(1), piece.as_bytes());
    }
    assert_eq!(flow.is_whole(), is_whole);
}
