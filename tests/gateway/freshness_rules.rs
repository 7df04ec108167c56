//! Which proofs count, which are sent, and when peers and the store are asked for one.

use super::build::ms;
use poplarseam::decide::freshness::{Echo, Freshness, Peer, Reach};
use poplarseam::world::unit::Incarnation;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);

fn peer(instance: u64, incarnation: u64) -> Peer {
    Peer {
        instance,
        incarnation: Incarnation(incarnation),
    }
}

fn freshness() -> Freshness {
    Freshness::new(peer(1, 1), BOUND, 0.0)
}

/// Proof of version 5 that instance 2 sends to instance 1 for its time of 10 s.
fn echo() -> Echo {
    Echo {
        receiver: peer(1, 1),
        echoed_ms: 10_000,
        version: 5,
        age_ms: 400,
    }
}

#[test]
fn own_proof_counts_from_the_beginning_of_the_call() {
    let mut freshness = freshness();
    assert_eq!(freshness.age(ms(900), 5), None);
    freshness.on_store_answer(ms(1_000), 5);
    assert_eq!(freshness.age(ms(9_000), 5), Some(ms(8_000)));
}

/// Guards against an answer to an earlier call that arrives after that of a later one.
#[test]
fn late_answer_does_not_replace_a_newer_proof() {
    let mut freshness = freshness();
    freshness.on_store_answer(ms(3_000), 5);
    freshness.on_store_answer(ms(1_000), 5);
    assert_eq!(freshness.age(ms(4_000), 5), Some(ms(1_000)));
    freshness.on_stamp(ms(3_500), peer(2, 1), 70);
    assert_eq!(freshness.echo(ms(4_000), 2).unwrap().age_ms, 500);
}

#[test]
fn proof_of_a_newer_version_counts_once_that_is_in_force() {
    let mut freshness = freshness();
    freshness.on_echo(ms(11_000), echo(), 4);
    assert_eq!(freshness.age(ms(11_000), 4), None);
    assert_eq!(freshness.age(ms(11_000), 5), Some(ms(1_400)));
    assert_eq!(freshness.age(ms(11_000), 6), Some(ms(1_400)));
}

/// Guards against a proof for an earlier process of the same name, whose clock was another one.
#[test]
fn proof_for_another_incarnation_or_instance_does_not_count() {
    let mut freshness = freshness();
    for receiver in [peer(1, 2), peer(1, 0), peer(2, 1)] {
        let other = Echo { receiver, ..echo() };
        freshness.on_echo(ms(11_000), other, 5);
    }
    assert_eq!(freshness.age(ms(11_000), 5), None);
}

#[test]
fn proof_for_a_time_that_has_not_come_yet_does_not_count() {
    let mut freshness = freshness();
    freshness.on_echo(ms(9_999), echo(), 5);
    assert_eq!(freshness.age(ms(10_000), 5), None);
}

/// Guards against fractions of a millisecond that make a proof look newer than it is.
#[test]
fn ages_are_rounded_up() {
    let mut freshness = freshness();
    freshness.on_store_answer(Duration::from_micros(1_000_500), 5);
    freshness.on_stamp(ms(1_100), peer(2, 7), 70);
    let echo = freshness.echo(ms(1_200), 2).unwrap();
    assert_eq!((echo.receiver, echo.echoed_ms), (peer(2, 7), 70));
    assert_eq!((echo.version, echo.age_ms), (5, 100));
}

/// Guards against a proof that is worth less than it seems: received ones are not sent on, nor are
/// those older than the bound.
#[test]
fn only_own_proofs_within_the_bound_are_sent() {
    let mut freshness = freshness();
    freshness.on_echo(ms(11_000), echo(), 5);
    freshness.on_stamp(ms(11_000), peer(2, 1), 70);
    assert_eq!(freshness.echo(ms(11_000), 2), None);
    freshness.on_store_answer(ms(11_000), 5);
    assert!(freshness.echo(ms(15_999), 2).is_some());
    assert_eq!(freshness.echo(ms(16_000), 2), None);
    assert_eq!(freshness.echo(ms(12_000), 3), None);
}

/// Guards against the loss of the proof that counts while many newer versions are awaited.
#[test]
fn proof_in_use_is_kept_while_newer_versions_are_proven() {
    let mut freshness = freshness();
    for version in 5..50 {
        let echoed_ms = 10_000 + version;
        let newer = Echo {
            version,
            echoed_ms,
            ..echo()
        };
        freshness.on_echo(ms(11_000), newer, 5);
    }
    assert_eq!(freshness.age(ms(11_000), 5), Some(ms(1_395)));
    assert_eq!(freshness.age(ms(11_000), 49), Some(ms(1_351)));
}

#[test]
fn peers_are_asked_from_half_of_the_bound_on() {
    let mut freshness = freshness();
    freshness.on_store_answer(ms(1_000), 5);
    assert!(!freshness.should_ask(ms(3_400), 5));
    assert!(freshness.should_ask(ms(3_500), 5));
    assert!(!freshness.should_ask(ms(3_600), 5));
    assert!(freshness.should_ask(ms(3_700), 5));
}

/// Guards against calls of all instances, which cost money, while no instance gets an answer.
#[test]
fn store_is_called_for_an_old_proof_if_it_may_answer() {
    let mut freshness = freshness();
    freshness.on_store_answer(ms(1_000), 5);
    assert!(!freshness.should_call(ms(3_900), 5, Reach::This));
    assert!(!freshness.should_call(ms(4_000), 5, Reach::Nobody));
    assert!(freshness.should_call(ms(4_000), 5, Reach::PeersOnly));
    assert!(!freshness.should_call(ms(5_100), 5, Reach::This));
    assert!(freshness.should_call(ms(5_200), 5, Reach::This));
}

/// Guards against an instance that goes on saying that the store does not answer it, since it makes no
/// more calls once it gets proofs from peers.
#[test]
fn store_is_called_now_and_then_after_a_failure() {
    let mut freshness = freshness();
    freshness.on_store_answer(ms(1_000), 5);
    assert!(freshness.should_call(ms(1_500), 5, Reach::PeersOnly));
    freshness.on_store_answer(ms(6_000), 5);
    assert!(!freshness.should_call(ms(6_400), 5, Reach::PeersOnly));
    assert!(freshness.should_call(ms(6_500), 5, Reach::PeersOnly));
}

/// Guards against a read of the configuration by every instance that the store has not answered, at the
/// store's return: one that gets proofs from peers needs to see only whether it is answered.
#[test]
fn a_call_after_a_failure_need_not_give_a_proof() {
    let mut freshness = freshness();
    freshness.on_store_answer(ms(1_000), 5);
    assert!(freshness.should_call(ms(1_500), 5, Reach::PeersOnly));
    assert!(!freshness.needs_proof(ms(1_500), 5));
    assert!(!freshness.needs_proof(ms(3_900), 5));
    assert!(freshness.needs_proof(ms(4_000), 5));
    assert!(freshness.needs_proof(ms(1_500), 4));
}

#[test]
fn a_version_is_recent_below_half_of_the_bound() {
    let mut freshness = freshness();
    assert!(!freshness.is_recent(ms(1_000), 5));
    freshness.on_store_answer(ms(1_000), 5);
    assert!(freshness.is_recent(ms(3_499), 5));
    assert!(!freshness.is_recent(ms(3_500), 5));
    assert!(!freshness.is_recent(ms(1_000), 4));
}

#[test]
fn keys_are_allowed_below_nine_tenths_of_the_bound() {
    let mut freshness = freshness();
    assert!(!freshness.allows_keys(ms(1_000), 5));
    freshness.on_store_answer(ms(1_000), 5);
    assert!(freshness.allows_keys(ms(5_499), 5));
    assert!(!freshness.allows_keys(ms(5_500), 5));
}
