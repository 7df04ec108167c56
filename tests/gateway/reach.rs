//! Checks when an instance believes that it has no path to the servers of a service.

use super::build::{SERVICE, ms, worker};
use poplarseam::decide::reach::{Change, Reach};
use poplarseam::world::id;
use rstest::rstest;
use std::time::Duration;

const SERVERS: usize = 4;

fn service() -> id::Service {
    SERVICE.parse().unwrap()
}

fn servers(count: usize) -> Vec<id::Worker> {
    (0..count).map(|it| worker(&format!("s{it}"))).collect()
}

/// Reports that these servers accept no connection, one after the other.
fn fail(reach: &mut Reach, now: Duration, failed: usize, servers: usize) -> Option<Change> {
    let failed = (0..failed).map(|it| worker(&format!("s{it}")));
    let changes = failed.map(|it| reach.on_unreached(now, &service(), &it, servers));
    changes.last().flatten()
}

/// Guards against a single server that is down being taken for a cut of this instance.
#[test]
fn one_server_that_fails_again_and_again_is_no_lost_path() {
    let mut reach = Reach::default();
    for at in 0..20 {
        let change = reach.on_unreached(ms(at * 100), &service(), &worker("s0"), SERVERS);
        assert_eq!(change, None);
    }
    assert!(!reach.is_lost(&service()));
}

#[rstest]
#[case::the_only_server(1, 1)]
#[case::both_servers(2, 2)]
#[case::two_of_three(3, 2)]
#[case::half_of_twelve(12, 6)]
#[case::a_few_of_many(268, 6)]
fn a_path_is_lost_after_failures_of_several_servers(#[case] servers: usize, #[case] failed: usize) {
    let mut reach = Reach::default();
    if failed > 1 {
        assert_eq!(fail(&mut reach, ms(0), failed - 1, servers), None);
    }
    assert_eq!(
        fail(&mut reach, ms(10), failed, servers),
        Some(Change::Lost)
    );
    assert!(reach.is_lost(&service()));
    assert!(!reach.is_lost(&"other".parse().unwrap()));
}

#[test]
fn a_connection_in_between_clears_the_evidence() {
    let mut reach = Reach::default();
    for round in 0..20 {
        assert_eq!(fail(&mut reach, ms(round * 10), 1, SERVERS), None);
        reach.on_connected(&service(), &worker("s3"), SERVERS);
    }
    assert!(!reach.is_lost(&service()));
}

/// Guards against servers that crashed at different times adding up to a cut.
#[test]
fn old_failures_are_no_evidence() {
    let mut reach = Reach::default();
    for (at, name) in [(0, "s0"), (6_000, "s1"), (12_000, "s2"), (18_000, "s3")] {
        let change = reach.on_unreached(ms(at), &service(), &worker(name), SERVERS);
        assert_eq!(change, None);
    }
}

/// Guards against a belief that never ends, or that a single server in reach ends and the next failures
/// begin again.
#[test]
fn a_path_is_restored_once_two_servers_are_reached() {
    let mut reach = Reach::default();
    fail(&mut reach, ms(0), 2, SERVERS);
    assert_eq!(reach.on_connected(&service(), &worker("s0"), SERVERS), None);
    assert_eq!(reach.on_connected(&service(), &worker("s0"), SERVERS), None);
    assert!(reach.is_lost(&service()));
    let change = reach.on_connected(&service(), &worker("s1"), SERVERS);
    assert_eq!(change, Some(Change::Restored));
    assert!(!reach.is_lost(&service()));
}

#[test]
fn a_server_that_fails_again_does_not_count_as_reached() {
    let mut reach = Reach::default();
    fail(&mut reach, ms(0), 2, SERVERS);
    reach.on_connected(&service(), &worker("s0"), SERVERS);
    reach.on_unreached(ms(100), &service(), &worker("s0"), SERVERS);
    let change = reach.on_connected(&service(), &worker("s1"), SERVERS);
    assert_eq!(change, None);
}

/// Guards against checks that open a connection for each request, and against a server that is never
/// checked.
#[test]
fn a_lost_path_is_checked_at_two_servers_each_half_second_in_rotation() {
    let (mut reach, servers) = (Reach::default(), servers(SERVERS));
    assert_eq!(reach.checks(ms(0), &service(), &servers), []);
    fail(&mut reach, ms(0), 2, SERVERS);
    let checked: Vec<_> = (0..=2_000)
        .step_by(50)
        .flat_map(|at| reach.checks(ms(at), &service(), &servers))
        .collect();
    let expected = ["s0", "s1", "s2", "s3", "s0", "s1", "s2", "s3"].map(worker);
    assert_eq!(checked, expected);
}

/// Guards against connections that hang being noticed only when they time out.
#[test]
fn a_service_that_falls_silent_is_checked_at_as_many_servers_as_it_takes() {
    let (mut reach, servers) = (Reach::default(), servers(12));
    reach.on_heard(ms(1_000), &service());
    let checks = reach.checks_after_silence(ms(1_200), &service(), &servers);
    assert_eq!(checks, [], "another server sent something just before");
    let checks = reach.checks_after_silence(ms(1_300), &service(), &servers);
    assert_eq!(checks.len(), 6);
    let checks = reach.checks_after_silence(ms(1_400), &service(), &servers);
    assert_eq!(checks, [], "checks are spaced");
}

/// Guards against servers that look as if they had crashed, and their requests as if they crashed servers, because
/// the path to all of them was reset.
#[test]
fn refused_connections_are_no_ends_of_servers_when_the_path_is_lost() {
    let mut reach = Reach::default();
    let mut ended = Vec::new();
    for (at, server) in servers(12).iter().enumerate() {
        let now = ms(at as u64);
        reach.on_unreached(now, &service(), server, 12);
        if reach.on_refused(now, &service(), server) {
            ended.push(server.clone());
        }
    }
    assert!(reach.is_lost(&service()));
    reach.on_connected(&service(), &worker("s0"), 12);
    ended.extend(reach.take_ended(ms(500), &service(), &worker("s0")));
    assert_eq!(ended, [worker("s0")], "the first one only");
}

#[test]
fn refused_connections_are_ends_of_servers_when_others_are_heard() {
    let mut reach = Reach::default();
    for name in ["s0", "s1", "s2"] {
        reach.on_unreached(ms(0), &service(), &worker(name), 12);
    }
    assert!(!reach.on_refused(ms(0), &service(), &worker("s1")));
    assert!(!reach.on_refused(ms(0), &service(), &worker("s2")));
    let ended = reach.take_ended(ms(10), &service(), &worker("s2"));
    assert_eq!(ended, [worker("s1")], "what is heard from has not ended");
    let ended = reach.take_ended(ms(5_000), &service(), &worker("s3"));
    assert_eq!(ended, [], "too long ago");
}
