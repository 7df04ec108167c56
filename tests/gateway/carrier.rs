//! Checks which instance carries requests for one that has no path to the servers.

use super::build::{SERVICE, ms};
use poplarseam::decide::carrier::{Candidate, Carriers};
use poplarseam::world::id;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn service() -> id::Service {
    SERVICE.parse().unwrap()
}

fn address(number: usize) -> SocketAddr {
    format!("127.0.0.{number}:7000").parse().unwrap()
}

/// Candidates 1 and up, with the distance of each; each distance is a data centre.
fn candidates(distances: &[u8]) -> Vec<Candidate> {
    let candidates = distances.iter().enumerate();
    let candidates = candidates.map(|(index, distance)| Candidate {
        address: address(index + 1),
        data_centre: format!("dc{distance}").parse().unwrap(),
        distance: *distance,
    });
    candidates.collect()
}

/// Returns the peers that are asked for many requests.
fn chosen(carriers: &Carriers, now: Duration, among: &[Candidate]) -> BTreeSet<SocketAddr> {
    let draws = (0..100).map(|draw| carriers.choose(now, &service(), among, &[], draw));
    draws.flatten().collect()
}

#[test]
fn all_peers_of_the_own_data_centre_are_asked_before_farther_ones() {
    let (carriers, all) = (Carriers::default(), candidates(&[0, 0, 0, 1, 2]));
    let expected = [address(1), address(2), address(3)].into();
    assert_eq!(chosen(&carriers, ms(0), &all), expected);
    let tried = [address(1), address(2), address(3)];
    let next = carriers.choose(ms(0), &service(), &all, &tried, 7);
    assert_eq!(next, Some(address(4)));
    assert_eq!(carriers.choose(ms(0), &service(), &[], &[], 7), None);
}

/// Guards against each request asking all peers of a data centre that is cut off as a whole.
#[test]
fn a_data_centre_of_which_two_peers_declined_is_left_out_for_a_while() {
    let (mut carriers, all) = (Carriers::default(), candidates(&[0, 0, 0, 0, 2]));
    carriers.on_declined(ms(0), &service(), address(1));
    let expected = [address(2), address(3), address(4)].into();
    assert_eq!(chosen(&carriers, ms(1), &all), expected);
    carriers.on_declined(ms(1), &service(), address(2));
    assert_eq!(chosen(&carriers, ms(2), &all), [address(5)].into());
    assert_eq!(chosen(&carriers, ms(3_000), &all).len(), 4);
}

#[test]
fn a_peer_that_declined_for_one_service_is_asked_for_others() {
    let (mut carriers, all) = (Carriers::default(), candidates(&[0, 2]));
    carriers.on_declined(ms(0), &"other".parse().unwrap(), address(1));
    assert_eq!(chosen(&carriers, ms(1), &all), [address(1)].into());
}

#[test]
fn a_peer_that_can_not_be_connected_to_is_left_out_for_a_while() {
    let (mut carriers, all) = (Carriers::default(), candidates(&[0, 2]));
    carriers.on_unreachable(ms(0), address(1));
    assert_eq!(chosen(&carriers, ms(1), &all), [address(2)].into());
    assert_eq!(chosen(&carriers, ms(2_000), &all), [address(1)].into());
}
