//! Leaving notices and rests of servers, and how long they apply.

use super::build::{SERVICE, backend, deployment, generation, ms, site, worker};
use poplarseam::decide::balance::{Balancer, Choice, Need};
use poplarseam::decide::notice::{Notices, Write};
use poplarseam::world::backend::Backend;
use poplarseam::world::id;
use poplarseam::world::unit::Incarnation;
use std::collections::BTreeSet;
use std::time::Duration;

const BOOT: Incarnation = Incarnation(1);
const LATER_BOOT: Incarnation = Incarnation(2);
/// Longest rest that is granted, whatever a server asks for.
const MAX_REST: Duration = Duration::from_mins(2);

fn balance(backends: Vec<Backend>) -> Balancer {
    let mut balance = Balancer::new(&deployment("north-1"));
    balance.on_site(&site());
    for backend in backends {
        balance.on_listed(backend);
    }
    balance
}

fn choose(balance: &Balancer, at: u64, text: &str) -> Choice {
    let need = Need {
        service: SERVICE.parse().unwrap(),
        generation: Some(generation(text, 2_000)),
        draw: 7,
    };
    balance.choose(ms(at), &need, |_| true)
}

fn chosen(balance: &Balancer, at: u64) -> Option<id::Worker> {
    match choose(balance, at, "m1") {
        Choice::Send(worker, _) => Some(worker),
        _ => None,
    }
}

/// While the store is disturbed, the entries of leaving workers may lapse and come back.
#[test]
fn a_leaving_server_gets_no_requests_after_its_entry_reappears() {
    let entry = || backend("a", "north-1", "m1");
    let mut balance = balance(vec![entry()]);
    assert!(balance.on_leaving(ms(10), &worker("a"), BOOT));
    assert!(
        !balance.on_leaving(ms(20), &worker("a"), BOOT),
        "the repeated notice counted as new"
    );
    assert_eq!(choose(&balance, 20, "m1"), Choice::NoServer);
    balance.on_unlisted(&worker("a"));
    balance.on_listed(entry());
    assert_eq!(choose(&balance, 30, "m1"), Choice::NoServer);
}

#[test]
fn a_restarted_server_is_used_again() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    balance.on_leaving(ms(10), &worker("a"), BOOT);
    let mut again = backend("a", "north-1", "m1");
    again.boot = LATER_BOOT;
    balance.on_listed(again);
    assert_eq!(chosen(&balance, 20), Some(worker("a")));
    assert!(
        !balance.on_leaving(ms(30), &worker("a"), BOOT),
        "a notice of the earlier incarnation counted as new"
    );
    assert_eq!(chosen(&balance, 40), Some(worker("a")));
}

#[test]
fn a_leaving_server_is_announced_until_the_list_shows_it() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    balance.on_leaving(ms(10), &worker("a"), BOOT);
    assert_eq!(balance.notices().to_announce(ms(20)).count(), 1);
    let mut leaving = backend("a", "north-1", "m1");
    leaving.leaving = true;
    balance.on_listed(leaving);
    assert_eq!(balance.notices().to_announce(ms(30)).count(), 0);
}

/// A full worker rejects requests while another one still has room.
#[test]
fn a_server_rests_as_long_as_it_asked() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1"),
        backend("b", "south-1", "m1"),
    ]);
    balance.on_rest(ms(100), &worker("a"), BOOT, ms(3_000));
    for at in [100, 600, 3_099] {
        assert_eq!(chosen(&balance, at), Some(worker("b")), "at {at} ms");
    }
    assert_eq!(chosen(&balance, 3_100), Some(worker("a")));
}

/// All workers of a service are full at once.
#[test]
fn when_all_servers_rest_the_earliest_end_of_a_rest_is_returned() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1"),
        backend("b", "north-2", "m1"),
        backend("c", "north-2", "m2"),
    ]);
    balance.on_rest(ms(100), &worker("a"), BOOT, ms(3_000));
    balance.on_rest(ms(100), &worker("b"), BOOT, ms(2_000));
    balance.on_rest(ms(100), &worker("c"), BOOT, ms(1_000));
    assert_eq!(choose(&balance, 200, "m1"), Choice::Throttled(ms(2_100)));
    assert_eq!(choose(&balance, 200, "m9"), Choice::NoModel);
}

#[test]
fn a_missing_adapter_is_reported_only_if_a_holder_of_the_model_accepts_requests() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1/a1"),
        backend("b", "north-1", "m1"),
    ]);
    balance.on_rest(ms(100), &worker("a"), BOOT, ms(3_000));
    assert_eq!(choose(&balance, 200, "m1/a1"), Choice::NoAdapter);
    balance.on_rest(ms(100), &worker("b"), BOOT, ms(3_000));
    assert_eq!(choose(&balance, 200, "m1/a1"), Choice::Throttled(ms(3_100)));
}

#[test]
fn a_rest_survives_a_lapsed_entry_but_not_a_restart() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    balance.on_rest(ms(100), &worker("a"), BOOT, ms(3_000));
    balance.on_unlisted(&worker("a"));
    balance.on_listed(backend("a", "north-1", "m1"));
    assert_eq!(chosen(&balance, 200), None);
    let mut again = backend("a", "north-1", "m1");
    again.boot = LATER_BOOT;
    balance.on_listed(again);
    assert_eq!(chosen(&balance, 200), Some(worker("a")));
}

#[test]
fn a_rest_lasts_at_most_two_minutes() {
    let mut notices = Notices::default();
    let until = notices.on_rest(ms(100), &worker("a"), BOOT, Duration::MAX);
    assert_eq!(until, ms(100) + MAX_REST);
    let shorter = notices.on_rest(ms(200), &worker("a"), BOOT, ms(0));
    assert_eq!(shorter, until, "a shorter rest does not end a longer one");
}

/// The list shows most departures within a second, so that the store need not be written.
#[test]
fn a_departure_is_stored_until_the_list_shows_it() {
    let mut notices = Notices::default();
    let process = (worker("a"), BOOT);
    notices.on_leaving(ms(0), &process.0, BOOT);
    assert!(notices.take_writes(ms(900), 0.0).is_empty());
    let insert = Write::Insert(process.clone());
    assert_eq!(
        notices.take_writes(ms(1_000), 0.0),
        std::slice::from_ref(&insert)
    );
    assert!(notices.take_writes(ms(1_500), 0.0).is_empty());
    notices.on_written(&insert);
    assert!(notices.take_writes(ms(9_000), 0.0).is_empty());
    notices.on_listed_leaving(&process.0, BOOT);
    assert_eq!(
        notices.take_writes(ms(9_500), 0.0),
        [Write::Remove(process)]
    );
}

#[test]
fn a_stored_departure_is_known_after_a_restart() {
    let mut notices = Notices::default();
    let process = (worker("a"), BOOT);
    notices.on_rows(ms(0), &BTreeSet::from([process.clone()]));
    assert!(notices.is_leaving(&process.0, BOOT));
    assert!(!notices.is_leaving(&process.0, LATER_BOOT));
    assert!(notices.take_writes(ms(5_000), 1.0).is_empty());
}
