//! How configurations reach instances.

use super::site::{GRACE_S, Site, config, wait_for};
use poplarseam::wire::generated_gossip::Gossip;
use prost::Message;
use rstest::rstest;
use serde_json::json;
use standins::link::Mode;
use standins::platform::{Platform, STORE_LINK};
use std::net::UdpSocket;
use std::time::Duration;

const INSTANCES: u8 = 5;
const NEW_VERSION: u64 = 30_000;
/// Delay of the link to the store; peers are heard within milliseconds.
const STORE_DELAY: Duration = Duration::from_millis(150);

/// Tells all instances that an instance of another data centre has a configuration.
pub fn announce_from_afar(site: &Site, version: u64) {
    let gossip = Gossip {
        instance: "far-1".into(),
        incarnation: 1,
        sequence: 1,
        data_centre: "north-2".into(),
        address: "127.0.0.1:9".into(),
        configuration: version,
        reaches_store: true,
        ..Gossip::default()
    };
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for (ip, _) in &site.instances {
        socket
            .send_to(&gossip.encode_to_vec(), (*ip, 7000))
            .unwrap();
    }
}

/// Guards against a herd at the store: all instances of a data centre heard of a configuration from
/// another one before their own readers had it, each read it from the store, and the link between
/// the regions had no room left for anything else.
#[test]
fn instances_that_hear_of_a_configuration_from_afar_get_it_from_their_own_data_centre() {
    let site = Site::start_all(Vec::new(), INSTANCES, GRACE_S, Platform::start_linked);
    site.wait_until_ready();
    std::thread::sleep(Duration::from_secs(2));
    site.platform
        .disturb(STORE_LINK, Mode::Delayed(STORE_DELAY));
    let before = site.platform.reads("op");
    site.platform.configure(&config(NEW_VERSION));
    announce_from_afar(&site, NEW_VERSION);
    wait_for("the configuration at all instances", || {
        (0..usize::from(INSTANCES))
            .all(|instance| site.state(instance)["version"] == json!(NEW_VERSION))
    });
    assert_eq!(site.platform.reads("op"), before);
}

/// Instances of which the first two by name read the configuration.
const MANY_INSTANCES: u8 = 8;
const READERS: [usize; 2] = [0, 1];
const LEASE_COUNT: usize = 4;

fn wait_for_version(site: &Site, version: u64) {
    wait_for("the configuration at all instances", || {
        (0..usize::from(MANY_INSTANCES))
            .all(|instance| site.state(instance)["version"] == json!(version))
    });
}

/// Whether all leases are held by other instances than this one.
fn leases_are_elsewhere(site: &Site, instance: usize) -> bool {
    let name = format!("edge-{}", instance + 1);
    let keys = site.platform.keys("poplarseam", "lease.shard.");
    let rows = keys
        .iter()
        .map(|key| site.platform.value("poplarseam", key));
    keys.len() == LEASE_COUNT && rows.flatten().all(|row| row["instance"] != json!(name))
}

/// Guards against instances that keep an old configuration for as long as a long poll lasts, because
/// the store leaves the only two that read it without an answer, and these make no other call; and
/// against readers that ask the store again and again while a peer has the configuration.
#[rstest]
#[case::written_at_once(Duration::ZERO)]
#[case::written_later(Duration::from_secs(3))]
fn configuration_is_put_in_force_while_the_store_does_not_answer_its_readers(
    #[case] silence: Duration,
) {
    let mut site = Site::start(MANY_INSTANCES);
    site.wait_until_ready();
    for reader in READERS {
        site.instances[reader].1.kill();
        wait_for("leases of other instances", || {
            leases_are_elsewhere(&site, reader)
        });
        site.relaunch(reader);
        site.wait_until_ready();
    }
    std::thread::sleep(Duration::from_secs(2));
    site.platform.configure(&config(NEW_VERSION));
    wait_for_version(&site, NEW_VERSION);
    for reader in READERS {
        let address = site.instances[reader].0;
        site.platform.set_silent_to(address, true);
    }
    std::thread::sleep(silence);
    site.platform.configure(&config(NEW_VERSION + 1));
    wait_for_version(&site, NEW_VERSION + 1);
}

/// Guards against the same in a data centre whose polls are long, since another one's show whether the
/// store answers: its two readers get no answer, and a third instance hears of the configuration.
#[test]
fn configuration_reaches_a_data_centre_whose_readers_get_no_answer() {
    let mut site = Site::start(INSTANCES);
    site.wait_until_ready();
    wait_for("leases", || {
        site.platform.keys("poplarseam", "lease.shard.").len() == LEASE_COUNT
    });
    for _ in 0..3 {
        site.add_instance_in("north-2", GRACE_S);
    }
    site.wait_until_ready();
    std::thread::sleep(Duration::from_secs(2));
    site.platform.configure(&config(NEW_VERSION));
    wait_for_version(&site, NEW_VERSION);
    for reader in [5, 6] {
        let address = site.instances[reader].0;
        site.platform.set_silent_to(address, true);
    }
    site.platform.configure(&config(NEW_VERSION + 1));
    wait_for_version(&site, NEW_VERSION + 1);
}
