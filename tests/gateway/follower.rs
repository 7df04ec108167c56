//! Which instances follow the server list.

use poplarseam::decide::follower::{Audience, Holder, audience, is_last, should_follow};

/// Whether an instance of a small data centre tells all others of changes.
fn should_tell(holders: &[Holder]) -> bool {
    audience(holders, true, false) == Some(Audience::All)
}

fn own(reaches_store: bool) -> Holder {
    Holder {
        address: None,
        reaches_store,
    }
}

fn other(number: u16, reaches_store: bool) -> Holder {
    Holder {
        address: Some(([127, 0, 0, 1], number).into()),
        reaches_store,
    }
}

#[test]
fn first_two_holders_follow_the_list() {
    assert!(should_follow(&[own(true), other(1, true)], true));
    assert!(should_follow(
        &[other(1, true), other(1, true), own(true)],
        true
    ));
    assert!(!should_follow(
        &[other(1, true), other(2, true), own(true)],
        true
    ));
    assert!(should_tell(&[own(true), other(1, true)]));
    assert!(!should_tell(&[other(1, true), other(2, true), own(true)]));
}

/// Guards against requests to servers that have left: when the first follower was refused by the
/// store, or another holder became the first, nobody told the changes of that moment.
#[test]
fn both_followers_tell_the_others_of_changes() {
    assert!(should_tell(&[other(1, true), own(true)]));
    assert!(should_tell(&[other(2, true), own(true), other(1, true)]));
}

#[test]
fn instance_that_follows_for_want_of_holders_tells_nobody() {
    assert!(!should_tell(&[other(1, false), other(1, false)]));
    assert!(!should_tell(&[own(false)]));
}

/// Guards against requests to servers that have left: the store did not answer the followers, and
/// everybody relied on them until their leases had ended.
#[test]
fn holder_that_the_store_does_not_answer_is_replaced_as_follower() {
    let holders = [other(1, false), other(2, false), other(3, true), own(true)];
    assert!(should_follow(&holders, true));
    let next = [other(1, false), own(true), other(2, true)];
    assert!(should_tell(&next));
}

/// Guards against the same where one instance holds all leases.
#[test]
fn every_instance_follows_the_list_if_the_store_answers_no_holder() {
    assert!(should_follow(&[other(1, false), other(1, false)], true));
    assert!(should_follow(&[own(false)], true));
    assert!(!should_follow(&[other(1, true)], true));
}

#[test]
fn instance_that_hears_no_holder_does_not_follow_at_once() {
    assert!(!should_follow(&[], true));
}

/// Guards against 147 instances that each read the changes that all of them missed, over one link
/// between regions: none of them ended its read in time.
#[test]
fn readers_tell_the_others_of_a_large_data_centre() {
    let holders = [other(1, true), other(2, true)];
    let local = Some(Audience::DataCentre);
    assert_eq!(audience(&holders, true, true), local);
    assert_eq!(audience(&holders, false, true), None);
    assert_eq!(audience(&holders, true, false), None);
    assert_eq!(audience(&[own(true)], false, true), Some(Audience::All));
    let unanswered = [other(1, false)];
    assert!(should_follow(&unanswered, true));
    assert!(!should_follow(&unanswered, false));
    assert_eq!(audience(&unanswered, true, true), local);
}

/// Guards against requests to servers that have left: the polls of both followers hung, and each relied
/// on the other to be ahead.
#[test]
fn last_follower_polls_briefly() {
    assert!(is_last(&[other(1, true), own(true), other(2, true)]));
    assert!(!is_last(&[own(true), other(1, true)]));
    assert!(is_last(&[own(true), own(true)]));
    assert!(is_last(&[other(1, false), own(true)]));
    assert!(!is_last(&[other(1, true), other(2, true), own(true)]));
    assert!(!is_last(&[]));
}
