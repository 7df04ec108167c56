//! Which instances follow the server list.

use poplarseam::decide::follower::{Holder, is_first, should_follow};

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
    assert!(should_follow(&[own(true), other(1, true)]));
    assert!(should_follow(&[other(1, true), other(1, true), own(true)]));
    assert!(!should_follow(&[other(1, true), other(2, true), own(true)]));
    assert!(is_first(&[own(true), other(1, true)]));
    assert!(!is_first(&[other(1, true), own(true)]));
}

/// Guards against requests to servers that have left: the store did not answer the followers, and
/// everybody relied on them until their leases had ended.
#[test]
fn holder_that_the_store_does_not_answer_is_replaced_as_follower() {
    let holders = [other(1, false), other(2, false), other(3, true), own(true)];
    assert!(should_follow(&holders));
    let next = [other(1, false), own(true), other(2, true)];
    assert!(is_first(&next));
}

/// Guards against the same where one instance holds all leases.
#[test]
fn every_instance_follows_the_list_if_the_store_answers_no_holder() {
    assert!(should_follow(&[other(1, false), other(1, false)]));
    assert!(should_follow(&[own(false)]));
    assert!(!should_follow(&[other(1, true)]));
}

#[test]
fn instance_that_hears_no_holder_does_not_follow_at_once() {
    assert!(!should_follow(&[]));
}
