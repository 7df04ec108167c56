//! Takeover of a lease: how long a new holder waits, and until when the previous one
//! may have acted.

use super::build::ms;
use poplarseam::decide::lease::{Action, Lease, Timing};
use poplarseam::world::table::{Commit, Row, Txn};
use poplarseam::world::unit::Incarnation;
use rstest::rstest;
use std::time::Duration;

const TIMING: Timing = Timing {
    term: Duration::from_secs(2),
    margin: Duration::from_millis(500),
};

fn lease(name: &str) -> Lease {
    incarnation_of(name, 1)
}

/// Creates one incarnation of an instance that competes for the lease.
fn incarnation_of(name: &str, incarnation: u64) -> Lease {
    Lease::new(
        "lease".into(),
        name.parse().unwrap(),
        Incarnation(incarnation),
        TIMING,
    )
}

/// Performs the commit that a candidate requests, and returns the row at its next version.
fn commit(lease: &mut Lease, at: u64, version: u64) -> Row {
    let Action::Commit(Txn { puts, .. }) = lease.tick(ms(at)) else {
        panic!("no commit at {at}");
    };
    lease.on_commit(ms(at), Ok(Commit::Done(vec![version])));
    Row {
        key: "lease".into(),
        version,
        value: puts[0].value.clone(),
    }
}

fn held_by_one() -> (Lease, Row) {
    let mut one = lease("one");
    assert_eq!(one.tick(ms(0)), Action::Read);
    one.on_read(ms(0), None);
    let row = commit(&mut one, 0, 1);
    (one, row)
}

#[test]
fn first_holder_has_no_previous_holder() {
    let (one, _) = held_by_one();
    assert!(one.fence(ms(100)).is_some());
    assert_eq!(one.previous_holder(), None);
}

#[rstest]
#[case::read_only(None, 1_000)]
#[case::advertised_before(Some(200), 200)]
fn previous_holder_may_act_until_its_usable_term_ends(
    #[case] advertised_at: Option<u64>,
    #[case] unchanged_since: u64,
) {
    let (_, row) = held_by_one();
    let mut two = lease("two");
    if let Some(advertised_at) = advertised_at {
        two.on_advertised(ms(advertised_at), row.version);
    }
    assert_eq!(two.tick(ms(1_000)), Action::Read);
    two.on_read(ms(1_000), Some(&row));
    assert_eq!(two.tick(ms(unchanged_since + 1_999)), Action::Read);
    commit(&mut two, unchanged_since + 2_000, 2);
    let (previous, until) = two.previous_holder().unwrap();
    assert_eq!(previous.as_str(), "one");
    assert_eq!(until, ms(unchanged_since + 1_500));
}

#[test]
fn released_lease_is_taken_over_at_once() {
    let (mut one, row) = held_by_one();
    let txn = one.resign().unwrap();
    let released = Row {
        version: 2,
        value: txn.puts[0].value.clone(),
        ..row
    };
    let mut two = lease("two");
    two.tick(ms(300));
    two.on_read(ms(300), Some(&released));
    commit(&mut two, 310, 3);
    assert_eq!(two.previous_holder().unwrap().1, ms(300));
}

#[test]
fn restarted_instance_is_not_its_own_previous_holder() {
    let (_, row) = held_by_one();
    let mut restarted = incarnation_of("one", 2);
    restarted.tick(ms(100));
    restarted.on_read(ms(100), Some(&row));
    commit(&mut restarted, 2_100, 2);
    assert_eq!(restarted.previous_holder(), None);
}

/// Guards against requests that wait a whole lease term for models and adapters after all instances
/// were killed at once.
#[test]
fn restarted_instance_reclaims_its_own_lease_at_once() {
    let (_, row) = held_by_one();
    let mut restarted = incarnation_of("one", 2);
    assert!(restarted.reclaim(ms(100), &row));
    commit(&mut restarted, 110, 2);
    assert!(restarted.fence(ms(110)).is_some());
    assert_eq!(restarted.previous_holder(), None);
}

#[test]
fn lease_of_another_instance_is_not_reclaimed() {
    let (_, row) = held_by_one();
    let mut two = lease("two");
    assert!(!two.reclaim(ms(100), &row));
    assert_eq!(two.tick(ms(110)), Action::Read);
}

#[test]
fn row_that_changed_meanwhile_is_not_reclaimed() {
    let (_, row) = held_by_one();
    let mut restarted = incarnation_of("one", 2);
    assert!(restarted.reclaim(ms(100), &row));
    assert!(matches!(restarted.tick(ms(110)), Action::Commit(_)));
    restarted.on_commit(ms(115), Ok(Commit::Conflict(Vec::new())));
    assert!(restarted.fence(ms(120)).is_none());
    assert_eq!(restarted.tick(ms(120)), Action::Read);
}
