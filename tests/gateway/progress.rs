//! Progress of event streams: when they stall and where they may end.

use super::build::ms;
use poplarseam::decide::progress::{MAX_EVENT_BYTES, Progress, caller_timeout};
use rstest::rstest;

/// Time-out of callers in these tests, and the time after which a stream without events counts as
/// stalled.
const CALLER_TIMEOUT_MS: u64 = 2_000;
const STALL_MS: u64 = 2_500;

fn progress() -> Progress {
    Progress::new(ms(0), ms(CALLER_TIMEOUT_MS), false)
}

#[rstest]
#[case::minimum(100, 100, 2_000)]
#[case::targets(800, 100, 3_200)]
#[case::pauses(100, 400, 3_200)]
fn the_caller_timeout_is_the_longest_of_three_bounds(
    #[case] target: u64,
    #[case] pause: u64,
    #[case] longest: u64,
) {
    assert_eq!(caller_timeout(ms(target), ms(pause)), ms(longest));
}

/// A worker's batch is so full that each event takes nearly as long as the caller's time-out.
#[test]
fn a_slow_stream_has_not_stalled() {
    let mut progress = progress();
    for event in 1..20 {
        let at = event * (CALLER_TIMEOUT_MS - 1);
        assert!(ms(at) < progress.stalls_at(), "at {at} ms");
        progress.on_bytes(ms(at), b"id: 1\ndata: x\n\n");
    }
}

/// Guards against a hanging worker that still sends bytes now and then.
#[rstest]
#[case::bytes(b"x")]
#[case::comments(b":\n\n")]
#[case::lines(b"data: x\n")]
#[case::blank_lines(b"\n")]
fn a_stream_without_complete_events_stalls(#[case] bytes: &[u8]) {
    let mut progress = progress();
    for at in (0..STALL_MS).step_by(100) {
        progress.on_bytes(ms(at), bytes);
    }
    assert_eq!(progress.stalls_at(), ms(STALL_MS));
}

/// Guards against bytes that never form an event and are read, and passed on, as fast as they come.
#[rstest]
#[case::bytes(b"no event at all ")]
#[case::comments(b": still here\n\n")]
#[case::lines(b"data: more\n")]
#[case::blank_lines(b"\n\n\n\n\n\n\n\n")]
fn too_many_bytes_without_an_event_are_a_fault(#[case] bytes: &[u8]) {
    let mut progress = progress();
    progress.on_bytes(ms(1), b"data: x\n\n");
    let mut count = 0;
    while !progress.exceeds_event_limit() {
        progress.on_bytes(ms(1), bytes);
        count += bytes.len();
        assert!(count <= MAX_EVENT_BYTES + bytes.len());
    }
    assert!(count > MAX_EVENT_BYTES);
}

#[test]
fn a_long_stream_of_events_is_no_fault() {
    let mut progress = progress();
    let event = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES - 10));
    for _ in 0..10 {
        progress.on_bytes(ms(1), event.as_bytes());
        assert!(!progress.exceeds_event_limit());
    }
}

#[test]
fn a_resumable_stream_stalls_before_its_caller_times_out() {
    let progress = Progress::new(ms(0), ms(CALLER_TIMEOUT_MS), true);
    assert_eq!(progress.stalls_at(), ms(CALLER_TIMEOUT_MS / 2));
}

#[rstest]
#[case::nothing(&[""], true)]
#[case::one(&["data: x\n\n"], true)]
#[case::carriage_returns(&["data: x\r\n\r\n"], true)]
#[case::pieces(&["data: x\n", "\nid: 2\ndata: y", "\n\n"], true)]
#[case::within_a_line(&["data: x\n\ndata"], false)]
#[case::after_a_line(&["data: x\n"], false)]
fn a_stream_is_complete_only_between_events(#[case] pieces: &[&str], #[case] is_complete: bool) {
    let mut progress = progress();
    for piece in pieces {
        progress.on_bytes(ms(1), piece.as_bytes());
    }
    assert_eq!(progress.is_complete(), is_complete);
}

/// Guards against intervals that count a pause before the first event, or that count several events
/// that arrived together as one.
#[test]
fn bytes_that_complete_events_give_the_mean_interval() {
    let mut progress = Progress::new(ms(0), ms(2_000), false);
    assert_eq!(progress.on_bytes(ms(300), b"data: 1\n\n"), None);
    assert_eq!(progress.on_bytes(ms(310), b"data: 2\n"), None);
    assert_eq!(progress.on_bytes(ms(320), b"\n"), Some(ms(20)));
    let three = b"data: 3\n\ndata: 4\n\ndata: 5\n\n";
    assert_eq!(progress.on_bytes(ms(380), three), Some(ms(20)));
    assert_eq!(progress.on_bytes(ms(400), b": comment\n\n"), None);
}
