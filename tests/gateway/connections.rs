//! Limits on the connections that others open.

use super::build::ms;
use poplarseam::decide::connections::{Connections, Limits};
use poplarseam::world::unit::Bytes;
use rstest::rstest;

/// Guards against connections of others that leave too few descriptors for files and for connections to
/// servers, of which each request needs one at most.
#[rstest]
fn half_of_the_descriptors_is_left_for_connections_to_servers(
    #[values(280, 4_100, 8_192)] descriptors: u64,
) {
    let limits = Limits::new(Some(descriptors), None);
    let of_others = limits.callers + limits.peers + limits.operators;
    assert!(of_others as u64 * 2 + 200 <= descriptors + 2, "{limits:?}");
}

/// Guards against buffers of connections that alone fill the memory of a small machine.
#[test]
fn the_buffers_of_all_connections_fit_into_half_of_the_memory() {
    let limits = Limits::new(Some(8_192), Some(Bytes(160_000_000)));
    let bytes = (limits.callers + limits.peers) * (96 << 10);
    assert!(bytes <= 80_000_000, "{bytes}");
    assert!(limits.callers >= 500, "{limits:?}");
}

#[test]
fn the_connection_that_has_waited_longest_is_closed_first() {
    let mut connections = Connections::new(3);
    let first = connections.open(ms(1));
    let second = connections.open(ms(2));
    assert!(connections.has_room());
    let third = connections.open(ms(3));
    assert!(!connections.has_room());
    connections.on_waiting(ms(4), first);
    assert_eq!(connections.take_longest_waiting(), Some(second));
    assert!(!connections.has_room(), "it is open until it is closed");
    connections.on_closed(second);
    assert!(connections.has_room());
    assert_eq!(connections.take_longest_waiting(), Some(third));
}

/// Guards against a request that was passed on and whose connection is closed to make room: its caller could
/// not tell whether it ran.
#[test]
fn a_connection_whose_request_runs_is_never_chosen() {
    let mut connections = Connections::new(1);
    let only = connections.open(ms(1));
    connections.on_running(only);
    assert_eq!(connections.take_longest_waiting(), None);
    connections.on_waiting(ms(5), only);
    assert_eq!(connections.take_longest_waiting(), Some(only));
}
