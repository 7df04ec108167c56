//! How long a new holder waits before its first order.

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
    started(name, 1)
}

/// The contest of one start of an instance.
fn started(name: &str, incarnation: u64) -> Lease {
    Lease::new(
        "lease".into(),
        name.parse().unwrap(),
        Incarnation(incarnation),
        TIMING,
    )
}

/// Commits what a contender wants to write, as the row's next version.
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
fn the_first_holder_waits_for_nobody() {
    let (one, _) = held_by_one();
    assert!(one.fence(ms(100)).is_some());
    assert_eq!(one.taken_from(), None);
}

#[rstest]
#[case::read_only(None, 1_000)]
#[case::heard_before(Some(200), 200)]
fn the_holder_before_may_act_until_its_term_ends(#[case] heard: Option<u64>, #[case] seen: u64) {
    let (_, row) = held_by_one();
    let mut two = lease("two");
    if let Some(heard) = heard {
        two.on_heard(ms(heard), row.version);
    }
    assert_eq!(two.tick(ms(1_000)), Action::Read);
    two.on_read(ms(1_000), Some(&row));
    assert_eq!(two.tick(ms(seen + 1_999)), Action::Read);
    commit(&mut two, seen + 2_000, 2);
    let (before, until) = two.taken_from().unwrap();
    assert_eq!(before.as_str(), "one");
    assert_eq!(until, ms(seen + 1_500));
}

#[test]
fn a_lease_given_up_is_taken_at_once() {
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
    assert_eq!(two.taken_from().unwrap().1, ms(300));
}

#[test]
fn a_restarted_instance_need_not_wait_for_itself() {
    let (_, row) = held_by_one();
    let mut again = started("one", 2);
    again.tick(ms(100));
    again.on_read(ms(100), Some(&row));
    commit(&mut again, 2_100, 2);
    assert_eq!(again.taken_from(), None);
}

/// Load: all instances are killed at once, and requests wait for models and adapters meanwhile.
#[test]
fn a_restarted_instance_takes_its_own_lease_back_at_once() {
    let (_, row) = held_by_one();
    let mut again = started("one", 2);
    assert!(again.reclaim(ms(100), &row));
    commit(&mut again, 110, 2);
    assert!(again.fence(ms(110)).is_some());
    assert_eq!(again.taken_from(), None);
}

#[test]
fn the_lease_of_another_instance_is_not_taken_back() {
    let (_, row) = held_by_one();
    let mut two = lease("two");
    assert!(!two.reclaim(ms(100), &row));
    assert_eq!(two.tick(ms(110)), Action::Read);
}

#[test]
fn a_row_that_changed_since_is_not_taken_back() {
    let (_, row) = held_by_one();
    let mut again = started("one", 2);
    assert!(again.reclaim(ms(100), &row));
    assert!(matches!(again.tick(ms(110)), Action::Commit(_)));
    again.on_commit(ms(115), Ok(Commit::Conflict(Vec::new())));
    assert!(again.fence(ms(120)).is_none());
    assert_eq!(again.tick(ms(120)), Action::Read);
}
