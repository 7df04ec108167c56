//! Takeover of a lease: how long a new holder waits, and until when the previous one
//! may have acted.

use super::build::ms;
use poplarseam::decide::lease::{Action, Lease, Timing};
use poplarseam::world::table::{Commit, Row, Txn};
use poplarseam::world::unit::{Era, Incarnation};
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
        two.on_advertised(ms(advertised_at), None, row.version);
    }
    assert_eq!(two.tick(ms(1_000)), Action::Read);
    two.on_read(ms(1_000), Some(&row));
    assert_eq!(two.tick(ms(unchanged_since + 1_999)), Action::Read);
    commit(&mut two, unchanged_since + 2_000, 2);
    let (previous, until) = two.previous_holder().unwrap();
    assert_eq!(previous.unwrap().as_str(), "one");
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

/// Guards against an order of the earlier start that arrives, held up by its link, after orders with a
/// higher fencing token. Where workers refuse such an order, the token rises.
#[rstest]
#[case::unchecked(false, true)]
#[case::checked(true, false)]
fn reclaimed_lease_keeps_its_fencing_token_unless_workers_check_it(
    #[case] is_enforced: bool,
    #[case] is_kept: bool,
) {
    let (one, row) = held_by_one();
    let mut restarted = incarnation_of("one", 2).with_fencing(is_enforced);
    assert!(restarted.reclaim(ms(100), &row));
    commit(&mut restarted, 110, 2);
    let tokens = [one.fence(ms(110)), restarted.fence(ms(110))];
    assert_eq!(tokens[0] == tokens[1], is_kept, "{tokens:?}");
}

/// Guards against two holders with one token: another instance that takes the lease over after a
/// reclaim, or this one after another, has a higher one.
#[test]
fn lease_that_is_taken_over_after_a_reclaim_has_a_higher_token() {
    let (_, row) = held_by_one();
    let mut restarted = incarnation_of("one", 2);
    assert!(restarted.reclaim(ms(100), &row));
    let row = commit(&mut restarted, 110, 2);
    let mut two = lease("two");
    two.on_read(ms(200), Some(&row));
    let row = commit(&mut two, 2_200, 3);
    assert!(two.fence(ms(2_200)) > restarted.fence(ms(200)));
    let mut again = incarnation_of("one", 3);
    assert!(!again.reclaim(ms(2_300), &row));
    again.on_read(ms(2_300), Some(&row));
    commit(&mut again, 4_300, 4);
    assert!(again.fence(ms(4_300)) > two.fence(ms(2_200)));
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

/// Lets a lease know the era, and reads a row in it.
fn read_in(lease: &mut Lease, era: u64, at: u64, row: &Row) {
    assert!(lease.on_era(Some(Era(era))));
    lease.on_read(ms(at), Some(row));
}

/// Lets one contender take the lease over from another, and returns the new holder and the rows of both.
fn taken_over() -> (Lease, Row, Row) {
    let (mut one, mut two) = (lease("one"), lease("two"));
    one.on_era(Some(Era(0)));
    one.on_read(ms(0), None);
    let first = commit(&mut one, 0, 1);
    read_in(&mut two, 0, 100, &first);
    let second = commit(&mut two, 2_100, 2);
    (two, first, second)
}

/// Guards against two holders with one fencing token: the store came back from a copy in which the
/// former holder's row stood, and the next holder counted on from its token.
#[test]
fn token_of_a_holder_that_the_store_has_forgotten_is_not_used_again() {
    let (two, first, _) = taken_over();
    let mut three = lease("three");
    read_in(&mut three, 1, 3_000, &first);
    assert_eq!(three.tick(ms(4_900)), Action::Read);
    commit(&mut three, 5_000, 2);
    assert!(three.fence(ms(5_000)) > two.fence(ms(2_200)));
    let (previous, acted_until) = three.previous_holder().unwrap();
    assert_eq!((previous, acted_until), (None, ms(4_500)));
}

/// Guards against a holder that the store has remembered from the copy and that acts beside the one
/// that it has forgotten, or with a lower token.
#[test]
fn former_holder_that_the_store_remembers_waits_and_gets_a_higher_token() {
    let (two, first, _) = taken_over();
    let mut one = lease("one");
    one.on_era(Some(Era(0)));
    one.on_read(ms(0), None);
    commit(&mut one, 0, 1);
    read_in(&mut one, 1, 2_500, &first);
    assert!(one.fence(ms(2_500)).is_none());
    assert_eq!(one.tick(ms(4_400)), Action::Read);
    commit(&mut one, 4_500, 2);
    assert!(one.fence(ms(4_500)) > two.fence(ms(2_200)));
    assert_eq!(one.previous_holder().unwrap().1, ms(4_000));
}

/// Guards against a holder that goes on after the store has forgotten its lease.
#[test]
fn holder_in_its_term_proves_the_lease_before_it_acts_again() {
    let (mut two, first, second) = taken_over();
    assert!(two.fence(ms(2_200)).is_some());
    two.on_era(Some(Era(1)));
    assert!(two.fence(ms(2_200)).is_none());
    assert!(two.may_prove(ms(2_200)));
    two.on_read(ms(2_300), Some(&first));
    let proven = commit(&mut two, 2_310, 2);
    assert!(two.fence(ms(2_310)).unwrap().0 > second.value["fence"].as_u64().unwrap());
    assert_eq!(two.previous_holder(), None);
    assert_eq!(proven.version, second.version);
}

/// Guards against a holder that comes back late and proves a lease that others have had since.
#[test]
fn holder_beyond_its_term_does_not_prove_the_lease() {
    let (mut two, first, _) = taken_over();
    read_in(&mut two, 1, 3_700, &first);
    assert!(!two.may_prove(ms(3_700)));
    assert_eq!(two.tick(ms(3_710)), Action::Read);
}

/// Guards against a row that has no holder only because the store has forgotten the first one.
#[test]
fn vacant_row_after_a_return_is_claimed_after_a_whole_term() {
    let mut three = lease("three");
    three.on_era(Some(Era(0)));
    three.on_era(Some(Era(1)));
    three.on_read(ms(100), None);
    assert!(!three.is_vacant());
    assert_eq!(three.tick(ms(2_000)), Action::Read);
    commit(&mut three, 2_100, 1);
    assert_eq!(three.previous_holder(), Some((None, ms(1_600))));
}

/// Guards against a renewal of an earlier era that the store carried out in the new one, where its
/// condition held by chance.
#[test]
fn late_renewal_does_not_prove_the_lease() {
    let (mut two, _, _) = taken_over();
    let Action::Commit(Txn { puts, .. }) = two.tick(ms(2_900)) else {
        panic!("no renewal");
    };
    assert!(two.on_era(Some(Era(1))));
    two.on_commit(ms(2_910), Ok(Commit::Done(vec![2])));
    assert!(two.fence(ms(2_910)).is_none());
    let renewed = Row {
        key: "lease".into(),
        version: 2,
        value: puts[0].value.clone(),
    };
    two.on_read(ms(2_920), Some(&renewed));
    assert!(two.fence(ms(2_920)).is_none());
    commit(&mut two, 2_930, 3);
    assert!(two.fence(ms(2_930)).is_some());
}

/// Guards against an answer of an earlier era that is taken for the state of the row.
#[test]
fn answer_of_an_earlier_era_is_not_current() {
    let mut three = lease("three");
    assert!(three.on_era(Some(Era(1))));
    assert!(!three.on_era(Some(Era(0))));
    assert!(three.on_era(None));
}
