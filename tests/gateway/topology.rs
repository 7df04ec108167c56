//! Who reads the configuration from the store, and whom the others ask for it.

use super::build::{deployment, ms};
use poplarseam::decide::topology::{Sender, Standing, Topology, part};
use rstest::rstest;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn sender(name: &str, number: u16) -> Sender {
    Sender {
        instance: name.parse().unwrap(),
        address: address(number),
        data_centre: "north-1".parse().unwrap(),
        incarnation: 1,
        sequence: 1,
        reaches_store: true,
        configuration: 5,
    }
}

/// A view of instance "one" that heard these at time 0.
fn hearing(senders: &[Sender]) -> Topology {
    let mut topology = Topology::new(&deployment("north-1"));
    for sender in senders {
        topology.on_heard(ms(0), sender);
    }
    topology
}

#[test]
fn an_instance_that_hears_nobody_reads_for_itself() {
    assert!(hearing(&[]).is_reader(ms(0)));
}

/// Load: a storm of configurations, of which 80 instances need not each read every one.
#[test]
fn two_instances_of_a_data_centre_read_for_all() {
    let one_before = hearing(&[sender("a", 1)]);
    let two_before = hearing(&[sender("a", 1), sender("b", 2)]);
    assert!(one_before.is_reader(ms(0)));
    assert!(!two_before.is_reader(ms(0)));
}

#[test]
fn a_silent_reader_is_replaced() {
    let topology = hearing(&[sender("a", 1), sender("b", 2)]);
    assert!(!topology.is_reader(ms(1_400)));
    assert!(topology.is_reader(ms(1_600)));
}

#[test]
fn a_reader_that_the_store_turns_away_is_replaced() {
    let refused = Sender {
        reaches_store: false,
        ..sender("b", 2)
    };
    assert!(hearing(&[sender("a", 1), refused]).is_reader(ms(0)));
}

#[test]
fn instances_of_other_data_centres_read_for_their_own() {
    let far = |name| Sender {
        data_centre: "north-2".parse().unwrap(),
        ..sender(name, 1)
    };
    assert!(hearing(&[far("a"), far("b")]).is_reader(ms(0)));
}

#[test]
fn a_configuration_is_asked_of_a_peer_that_has_it_and_is_heard() {
    let older = Sender {
        configuration: 4,
        ..sender("a", 1)
    };
    let topology = hearing(&[older, sender("z", 2)]);
    assert_eq!(topology.has_configuration(ms(0), 5), Some(address(2)));
    assert_eq!(topology.has_configuration(ms(0), 6), None);
    assert_eq!(topology.has_configuration(ms(1_600), 5), None);
}

/// Guards against a share that grows when peers fall silent: those that are cut off from this
/// instance go on using theirs.
#[test]
fn an_instance_that_falls_silent_keeps_its_share() {
    let mut topology = hearing(&[sender("a", 1), sender("b", 2)]);
    assert_eq!(topology.sharers(ms(0)), None);
    topology.on_listed("z".parse().unwrap(), address(3), "north-2".parse().unwrap());
    topology.on_list_read();
    assert_eq!(topology.sharers(ms(0)), Some(4));
    assert_eq!(topology.count(ms(60_000)), 1);
    assert_eq!(topology.sharers(ms(60_000)), Some(4));
}

#[test]
fn instances_of_other_data_centres_that_are_only_summed_up_have_shares() {
    let mut topology = hearing(&[sender("a", 1)]);
    topology.on_list_read();
    let far = Sender {
        data_centre: "north-2".parse().unwrap(),
        ..sender("z", 2)
    };
    topology.on_summary(ms(0), &far, 5);
    assert_eq!(topology.sharers(ms(0)), Some(7));
    assert_eq!(topology.sharers(ms(60_000)), Some(7));
}

/// Guards against an instance that is cut off and takes what all others may use besides.
#[rstest]
#[case(185, Some(8), 23)]
#[case(185, Some(930), 1)]
#[case(185, None, 1)]
fn an_instance_takes_its_part_of_what_all_share(
    #[case] all: u32,
    #[case] sharers: Option<u32>,
    #[case] taken: u32,
) {
    assert_eq!(part(all, sharers), taken);
}

/// Guards against an instance that nobody hears any more: it started anew after the time of day was
/// set back, so its incarnation is lower than that of its earlier start.
#[test]
fn an_instance_that_starts_anew_after_its_clock_was_set_back_is_heard() {
    let earlier = Sender {
        incarnation: 9,
        ..sender("a", 1)
    };
    let mut topology = hearing(&[earlier]);
    let hearing = topology.on_heard(ms(100), &sender("a", 1));
    assert_eq!((hearing.standing, hearing.start), (Standing::Outdated, 1));
    let hearing = topology.on_heard(ms(3_100), &sender("a", 1));
    assert_eq!((hearing.standing, hearing.start), (Standing::Newest, 2));
    assert!(hearing.was_silent);
    assert_eq!(topology.count(ms(3_100)), 2);
}

/// Names of peers that come before and after this instance, "one".
fn fleet(before: u16, after: u16) -> Vec<Sender> {
    let before = (0..before).map(|number| sender(&format!("a{number:02}"), number + 1));
    let after = (0..after).map(|number| sender(&format!("z{number:02}"), number + 100));
    before.chain(after).collect()
}

/// Load: a data centre of dozens of instances, of which each would tell all others ten times a second.
#[test]
fn instances_of_a_large_data_centre_tell_two_hubs() {
    let topology = hearing(&fleet(20, 28));
    assert!(topology.has_hubs(ms(0)));
    assert!(!topology.is_hub(ms(0)));
    assert_eq!(topology.hubs(ms(0)), [address(1), address(2)]);
}

#[rstest]
#[case::first(0, &[100])]
#[case::second(1, &[1])]
fn a_hub_tells_the_other_one(#[case] before: u16, #[case] hubs: &[u16]) {
    let topology = hearing(&fleet(before, 40));
    let hubs: Vec<SocketAddr> = hubs.iter().copied().map(address).collect();
    assert!(topology.is_hub(ms(0)));
    assert_eq!(topology.hubs(ms(0)), hubs);
}

#[test]
fn a_silent_hub_is_replaced() {
    let mut topology = hearing(&fleet(20, 28));
    for peer in &fleet(20, 28)[1..] {
        let again = Sender {
            sequence: 2,
            ..peer.clone()
        };
        topology.on_heard(ms(1_000), &again);
    }
    assert_eq!(topology.hubs(ms(1_600)), [address(2), address(3)]);
}

#[test]
fn a_small_data_centre_has_no_hubs() {
    assert!(!hearing(&fleet(3, 4)).has_hubs(ms(0)));
    assert!(hearing(&fleet(4, 4)).has_hubs(ms(0)));
}

/// Names of instances that stand before "one" in the order of names.
fn before(count: u16) -> Vec<Sender> {
    let names = (0..count).map(|number| sender(&format!("a{number:02}"), number + 1));
    names.collect()
}

/// Load: 49 instances of a data centre, of which each need not hear each.
#[test]
fn the_first_instances_by_name_let_all_others_hear_them() {
    assert!(hearing(&before(5)).is_herald(ms(0)));
    assert!(!hearing(&before(6)).is_herald(ms(0)));
    assert!(hearing(&before(6)).is_herald(ms(1_600)), "they fell silent");
    let mut refused = before(6);
    refused[0].reaches_store = false;
    assert!(
        hearing(&refused).is_herald(ms(0)),
        "readers are chosen among heralds"
    );
}

#[test]
fn instances_that_only_hubs_hear_are_counted() {
    let mut topology = hearing(&before(6));
    assert_eq!(topology.near_count(ms(0)), 7);
    topology.on_near_sum(ms(0), 49);
    assert_eq!(topology.near_count(ms(0)), 49);
    assert!(topology.has_hubs(ms(0)));
    assert_eq!(
        topology.heard_count(ms(0)),
        7,
        "what a hub tells is what it hears itself"
    );
    assert_eq!(topology.near_count(ms(1_600)), 7, "the hubs fell silent");
}
