//! Readers of the configuration, its sources, shares of site-wide limits, hubs and broadcasters.

use super::build::{deployment, ms};
use poplarseam::decide::topology::{Access, Freshness, Sender, Topology, fair_share};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

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
        access: Access::Assumed,
        configuration: 5,
    }
}

/// Topology of instance "one" after it heard these senders at time 0.
fn topology_with(senders: &[Sender]) -> Topology {
    let mut topology = Topology::new(&deployment("north-1"));
    for sender in senders {
        topology.on_datagram(ms(0), sender);
    }
    topology
}

#[test]
fn instance_without_live_peers_is_a_reader() {
    assert!(topology_with(&[]).is_reader(ms(0)));
}

/// Guards against instances that wait for one reader after another if the store leaves several
/// without an answer.
#[test]
fn each_instance_that_the_store_does_not_answer_is_replaced_by_two_readers() {
    let refused = |name: &str, number| Sender {
        access: Access::Refused,
        ..sender(name, number)
    };
    let one = [
        refused("a", 1),
        sender("b", 2),
        sender("c", 3),
        sender("d", 4),
    ];
    assert!(topology_with(&one).is_reader(ms(0)));
    let more = [&one[..], &[sender("e", 5)]].concat();
    assert!(!topology_with(&more).is_reader(ms(0)));
    let later = [&more[..], &[refused("z", 9)]].concat();
    assert!(topology_with(&later).is_reader(ms(0)));
}

/// Instances of a data centre by name, all of which hear each other.
struct DataCentre {
    topologies: Vec<Topology>,
    access: Vec<Access>,
    now: Duration,
    sequence: u64,
}

impl DataCentre {
    fn new(instances: usize) -> Self {
        let topologies = (0..instances).map(|instance| {
            let mut deployment = deployment("north-1");
            deployment.instance = name(instance).parse().unwrap();
            Topology::new(&deployment)
        });
        let mut data_centre = Self {
            topologies: topologies.collect(),
            access: vec![Access::Assumed; instances],
            now: Duration::ZERO,
            sequence: 0,
        };
        // Long enough for instances to count themselves among the readers.
        (0..8).for_each(|_| data_centre.exchange());
        data_centre
    }

    /// Lets all instances hear each other, as often as a few times a second.
    fn exchange(&mut self) {
        self.now += ms(250);
        self.sequence += 1;
        let senders = self
            .access
            .iter()
            .enumerate()
            .map(|(instance, access)| Sender {
                access: *access,
                sequence: self.sequence,
                ..sender(&name(instance), u16::try_from(instance).unwrap())
            });
        let senders: Vec<Sender> = senders.collect();
        for (instance, topology) in self.topologies.iter_mut().enumerate() {
            topology.on_access(self.access[instance]);
            let others = senders.iter().enumerate();
            for (_, sender) in others.filter(|(other, _)| *other != instance) {
                topology.on_datagram(self.now, sender);
            }
            topology.tick(self.now);
        }
    }

    fn readers(&self) -> Vec<usize> {
        let readers = self.topologies.iter().enumerate();
        let readers = readers.filter(|(_, topology)| topology.is_reader(self.now));
        readers.map(|(instance, _)| instance).collect()
    }

    /// Has the store answer these instances and no others, until each reader has called it.
    fn call(&mut self, answers: impl Fn(usize) -> bool) {
        for reader in self.readers() {
            self.access[reader] = if answers(reader) {
                Access::Confirmed
            } else {
                Access::Refused
            };
        }
        self.exchange();
    }
}

fn name(instance: usize) -> String {
    format!("i{instance:03}")
}

/// Guards against a herd at the store's return: while it answered nobody, every instance of a data centre
/// became a reader, and all read the configuration at once.
#[rstest]
#[case::small(8)]
#[case::medium(16)]
#[case::large(49)]
fn few_instances_read_while_the_store_answers_nobody_and_at_its_return(#[case] instances: usize) {
    let mut data_centre = DataCentre::new(instances);
    for _ in 0..instances {
        assert!(
            data_centre.readers().len() <= 6,
            "{:?}",
            data_centre.readers()
        );
        data_centre.call(|_| false);
    }
    data_centre.call(|_| true);
    data_centre.call(|_| true);
    assert_eq!(data_centre.readers(), [0, 1]);
}

/// Guards against a data centre in which nobody reads, since the store answers few instances after an
/// outage, and none of those that call it.
#[test]
fn instances_that_find_the_store_again_read_it_although_others_come_before_them() {
    let mut data_centre = DataCentre::new(16);
    (0..16).for_each(|_| data_centre.call(|_| false));
    data_centre.access[11] = Access::Confirmed;
    data_centre.access[13] = Access::Confirmed;
    data_centre.exchange();
    assert_eq!(data_centre.readers(), [11, 13]);
}

/// Guards against instances that wait for one reader after another if the store answers a part of them.
#[test]
fn readers_that_the_store_does_not_answer_are_replaced_within_two_seconds() {
    let mut data_centre = DataCentre::new(49);
    let begin = data_centre.now;
    while data_centre.readers() != [8, 9] {
        data_centre.call(|instance| instance >= 8);
    }
    assert!(
        data_centre.now <= begin + ms(2_000),
        "{:?}",
        data_centre.now
    );
}

/// Guards against requests for proofs to instances that have none.
#[test]
fn readers_are_the_first_live_peers_that_the_store_answers() {
    let refused = Sender {
        access: Access::Refused,
        ..sender("a", 1)
    };
    let others = ["b", "c", "d", "e", "f"];
    let others = others.iter().zip(2..).map(|(name, it)| sender(name, it));
    let senders: Vec<Sender> = std::iter::once(refused).chain(others).collect();
    let topology = topology_with(&senders);
    assert_eq!(topology.readers(ms(0)), [2, 3, 4, 5].map(address));
    assert_eq!(
        topology_with(&senders[1..]).readers(ms(0)),
        [2, 3].map(address)
    );
    assert!(topology.readers(ms(1_600)).is_empty());
}

/// Guards against brief polls by all readers, and more of them, while an instance of their data centre stops.
#[test]
fn an_instance_that_stops_does_not_read_and_is_not_refused() {
    let stopping = Sender {
        access: Access::Stopping,
        ..sender("a", 1)
    };
    let senders = [stopping, sender("b", 2), sender("c", 3), sender("d", 4)];
    let topology = topology_with(&senders);
    assert!(!topology.has_refused(ms(0)));
    assert_eq!(topology.readers(ms(0)), [2, 3].map(address));
    assert_eq!(topology.reader_count(ms(0)), 2);
    assert!(!topology.reaches_store(address(1)));
}

/// Guards against 80 instances that each read every version from the store when the configuration
/// changes many times in quick succession.
#[test]
fn data_centre_has_two_readers() {
    let one_before = topology_with(&[sender("a", 1)]);
    let two_before = topology_with(&[sender("a", 1), sender("b", 2)]);
    assert!(one_before.is_reader(ms(0)));
    assert!(!two_before.is_reader(ms(0)));
}

#[test]
fn silent_reader_is_replaced() {
    let topology = topology_with(&[sender("a", 1), sender("b", 2)]);
    assert!(!topology.is_reader(ms(1_400)));
    assert!(topology.is_reader(ms(1_600)));
}

#[test]
fn reader_that_cannot_reach_the_store_is_replaced() {
    let refused = Sender {
        access: Access::Refused,
        ..sender("b", 2)
    };
    assert!(topology_with(&[sender("a", 1), refused]).is_reader(ms(0)));
}

#[test]
fn readers_are_chosen_per_data_centre() {
    let remote = |name| Sender {
        data_centre: "north-2".parse().unwrap(),
        ..sender(name, 1)
    };
    assert!(topology_with(&[remote("a"), remote("b")]).is_reader(ms(0)));
}

#[test]
fn configuration_source_is_a_live_peer_with_a_newer_version() {
    let older = Sender {
        configuration: 4,
        ..sender("a", 1)
    };
    let topology = topology_with(&[older, sender("z", 2)]);
    let source = topology.configuration_source(ms(0), 4);
    assert_eq!(source, Some((address(2), 5)));
    assert_eq!(topology.configuration_source(ms(0), 5), None);
    assert_eq!(topology.configuration_source(ms(1_600), 4), None);
}

/// Guards against a share that grows when peers fall silent: they may only be cut off from this
/// instance and go on using theirs.
#[test]
fn silent_instance_keeps_its_share() {
    let mut topology = topology_with(&[sender("a", 1), sender("b", 2)]);
    assert_eq!(topology.sharer_count(ms(0)), None);
    topology.on_listed("z".parse().unwrap(), address(3), "north-2".parse().unwrap());
    topology.on_list_read();
    assert_eq!(topology.sharer_count(ms(0)), Some(4));
    assert_eq!(topology.count(ms(60_000)), 1);
    assert_eq!(topology.sharer_count(ms(60_000)), Some(4));
}

#[test]
fn instances_known_only_from_a_summary_count_as_sharers() {
    let mut topology = topology_with(&[sender("a", 1)]);
    topology.on_list_read();
    let remote = Sender {
        data_centre: "north-2".parse().unwrap(),
        ..sender("z", 2)
    };
    topology.on_summary(ms(0), &remote, 5);
    assert_eq!(topology.sharer_count(ms(0)), Some(7));
    assert_eq!(topology.sharer_count(ms(60_000)), Some(7));
}

/// Guards against polls in every data centre, whose price grows with their number.
#[test]
fn only_the_first_live_data_centre_checks_the_store() {
    let mut topology = Topology::new(&deployment("north-2"));
    assert!(topology.is_first_data_centre(ms(0)));
    topology.on_summary(ms(0), &sender("z", 2), 5);
    assert!(!topology.is_first_data_centre(ms(1_000)));
    assert!(topology.is_first_data_centre(ms(2_000)));
    let later = Sender {
        data_centre: "south-1".parse().unwrap(),
        ..sender("y", 3)
    };
    topology.on_summary(ms(2_000), &later, 5);
    assert!(topology.is_first_data_centre(ms(2_000)));
}

/// Guards against an instance that is cut off and uses the shares of all others too.
#[rstest]
#[case(185, Some(8), 23)]
#[case(185, Some(930), 1)]
#[case(185, None, 1)]
fn fair_share_divides_the_total_among_all_sharers(
    #[case] total: u32,
    #[case] sharer_count: Option<u32>,
    #[case] expected: u32,
) {
    assert_eq!(fair_share(total, sharer_count), expected);
}

/// Guards against ignoring a restarted instance whose system clock was set back, so that its
/// incarnation is lower than before.
#[test]
fn restarted_instance_with_a_clock_set_back_is_heard() {
    let earlier = Sender {
        incarnation: 9,
        ..sender("a", 1)
    };
    let mut topology = topology_with(&[earlier]);
    let receipt = topology.on_datagram(ms(100), &sender("a", 1));
    assert_eq!(
        (receipt.freshness, receipt.start),
        (Freshness::OlderIncarnation, 1)
    );
    let receipt = topology.on_datagram(ms(3_100), &sender("a", 1));
    assert_eq!((receipt.freshness, receipt.start), (Freshness::Newest, 2));
    assert!(receipt.was_silent);
    assert_eq!(topology.count(ms(3_100)), 2);
}

/// Peers ordered before and after this instance, "one", by name.
fn peers_around(before: u16, after: u16) -> Vec<Sender> {
    let before = (0..before).map(|number| sender(&format!("a{number:02}"), number + 1));
    let after = (0..after).map(|number| sender(&format!("z{number:02}"), number + 100));
    before.chain(after).collect()
}

/// Guards against datagrams that grow with the square of the number of instances: in a data centre
/// of dozens of instances each would send to all others ten times a second.
#[test]
fn large_data_centre_has_two_hubs() {
    let topology = topology_with(&peers_around(20, 28));
    assert!(topology.has_hubs(ms(0)));
    assert!(!topology.is_hub(ms(0)));
    assert_eq!(topology.hubs(ms(0)), [address(1), address(2)]);
}

#[rstest]
#[case::first(0, &[100])]
#[case::second(1, &[1])]
fn hub_sends_to_the_other_hub(#[case] before: u16, #[case] hubs: &[u16]) {
    let topology = topology_with(&peers_around(before, 40));
    let hubs: Vec<SocketAddr> = hubs.iter().copied().map(address).collect();
    assert!(topology.is_hub(ms(0)));
    assert_eq!(topology.hubs(ms(0)), hubs);
}

#[test]
fn silent_hub_is_replaced() {
    let mut topology = topology_with(&peers_around(20, 28));
    for peer in &peers_around(20, 28)[1..] {
        let again = Sender {
            sequence: 2,
            ..peer.clone()
        };
        topology.on_datagram(ms(1_000), &again);
    }
    assert_eq!(topology.hubs(ms(1_600)), [address(2), address(3)]);
}

#[test]
fn small_data_centre_has_no_hubs() {
    assert!(!topology_with(&peers_around(3, 4)).has_hubs(ms(0)));
    assert!(topology_with(&peers_around(4, 4)).has_hubs(ms(0)));
}

/// Peers ordered before this instance, "one", by name.
fn peers_before(count: u16) -> Vec<Sender> {
    let names = (0..count).map(|number| sender(&format!("a{number:02}"), number + 1));
    names.collect()
}

/// Guards against heartbeats between all 49 instances of a data centre.
#[test]
fn first_instances_by_name_are_broadcasters() {
    assert!(topology_with(&peers_before(5)).is_broadcaster(ms(0)));
    assert!(!topology_with(&peers_before(6)).is_broadcaster(ms(0)));
    assert!(
        topology_with(&peers_before(6)).is_broadcaster(ms(1_600)),
        "the instances before this one fell silent"
    );
    let mut refused = peers_before(6);
    refused[0].access = Access::Refused;
    assert!(
        topology_with(&refused).is_broadcaster(ms(0)),
        "readers are chosen among broadcasters, so these must reach the store"
    );
}

#[test]
fn instances_heard_only_by_hubs_are_counted() {
    let mut topology = topology_with(&peers_before(6));
    assert_eq!(topology.local_count(ms(0)), 7);
    topology.on_hub_count(ms(0), 49);
    assert_eq!(topology.local_count(ms(0)), 49);
    assert!(topology.has_hubs(ms(0)));
    assert_eq!(
        topology.heard_local_count(ms(0)),
        7,
        "a hub reports only the instances that it hears itself"
    );
    assert_eq!(topology.local_count(ms(1_600)), 7, "the hubs fell silent");
}
