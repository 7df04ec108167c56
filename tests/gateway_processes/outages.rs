//! What instances read from the store when it returns after an outage.

use super::site::{GRACE_S, Site, config, wait_for};
use rstest::rstest;
use serde_json::{Value, json};
use standins::platform::Platform;
use std::time::Duration;

/// More than report to each other directly, so that the data centre has hubs.
const INSTANCES: u8 = 16;
/// Instances of a data centre that may read a configuration while it is not known whom the store
/// answers.
const MAX_READERS: usize = 6;
/// Instances that follow it otherwise.
const READERS: usize = 2;
const ROUTES: usize = 200;
/// Time in which every instance has found the store down.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time in which instances that the store answers have read what it holds, and after its return the others
/// have found that it answers them again.
const SETTLING_TIME: Duration = Duration::from_secs(2);
const REVOCATION_MS: u64 = 4_000;
const FIRST_VERSION: u64 = 30_000;
const VERSIONS: u64 = 12;

/// A configuration with many routes.
fn large_config(version: u64) -> Value {
    let mut config = config(version);
    let routes = config["Routes"].as_array_mut().unwrap();
    let first = routes[0].clone();
    routes.extend((0..ROUTES).map(|number| {
        let mut route = first.clone();
        route["Name"] = json!(format!("route-{number}"));
        route["PathPrefix"] = json!(format!("/route-{number}/"));
        route
    }));
    config
}

fn wait_for_version(site: &Site, version: u64) {
    wait_for("the configuration at all instances", || {
        (0..site.instances.len()).all(|instance| site.state(instance)["version"] == json!(version))
    });
}

/// Writes `versions` configurations during an outage of the store that begins and ends by `set_outage`, and
/// returns how many copies of one are read at its return.
fn copies_read_at_return(site: &Site, versions: u64, set_outage: impl Fn(bool)) -> usize {
    site.wait_until_ready();
    site.platform.configure(&large_config(FIRST_VERSION));
    wait_for_version(site, FIRST_VERSION);
    let row_bytes = large_config(FIRST_VERSION).to_string().len() * 4 / 3;
    set_outage(true);
    std::thread::sleep(OUTAGE);
    for version in 1..=versions {
        site.platform
            .configure(&large_config(FIRST_VERSION + version));
    }
    // Instances that are not cut off read the versions meanwhile.
    std::thread::sleep(SETTLING_TIME);
    let before = site.platform.bytes("op");
    set_outage(false);
    wait_for_version(site, FIRST_VERSION + versions);
    std::thread::sleep(SETTLING_TIME);
    (site.platform.bytes("op") - before) / row_bytes
}

/// Guards against a herd at the store's return: every instance of a data centre read all versions of a
/// large configuration at once, the link between the regions was full for seconds, and an old
/// configuration stayed in force.
#[test]
fn few_instances_read_one_version_each_when_the_store_returns() {
    let site = Site::start(INSTANCES);
    let read = copies_read_at_return(&site, VERSIONS, |is_down| site.platform.set_down(is_down));
    assert!(read <= MAX_READERS, "{read} copies were read");
}

/// Guards against the same herd where a bound on revocation has every instance call the store: each of
/// them read the configuration to see whether the store answers it again.
#[rstest]
#[case::refusing(Platform::set_down, VERSIONS)]
#[case::silent(Platform::set_silent, VERSIONS)]
#[case::silent_without_changes(Platform::set_silent, 0)]
fn few_instances_that_prove_their_configuration_read_it_when_the_store_returns(
    #[case] set_outage: fn(&Platform, bool),
    #[case] versions: u64,
) {
    let site = Site::start_with_revocation(INSTANCES, REVOCATION_MS);
    let read = copies_read_at_return(&site, versions, |is_down| {
        set_outage(&site.platform, is_down);
    });
    assert!(read <= MAX_READERS, "{read} copies were read");
}

/// Guards against the same herd in a data centre that was cut off from the store while another one was not:
/// all its instances hear of the versions that they lack.
#[rstest]
#[case::unbounded(None)]
#[case::revocation(Some(REVOCATION_MS))]
fn few_instances_of_a_data_centre_read_when_it_is_no_longer_cut_off(
    #[case] revocation_ms: Option<u64>,
) {
    let mut site = match revocation_ms {
        Some(bound) => Site::start_with_revocation(1, bound),
        None => Site::start(1),
    };
    for _ in 0..INSTANCES {
        site.add_instance_in("south-1", GRACE_S);
    }
    let read = copies_read_at_return(&site, VERSIONS, |is_cut| {
        for (address, _) in &site.instances[1..] {
            site.platform.set_silent_to(*address, is_cut);
        }
    });
    assert!(read <= MAX_READERS, "{read} copies were read");
}

/// Guards against a herd at the store by instances that start together, although their peers have the
/// configuration.
#[test]
fn instances_that_restart_get_the_configuration_from_their_peers() {
    let mut site = Site::start(INSTANCES);
    site.wait_until_ready();
    site.platform.configure(&large_config(FIRST_VERSION));
    wait_for_version(&site, FIRST_VERSION);
    let row_bytes = large_config(FIRST_VERSION).to_string().len() * 4 / 3;
    let before = site.platform.bytes("op");
    let restarted = usize::from(INSTANCES) / 2..usize::from(INSTANCES);
    for instance in restarted.clone() {
        site.instances[instance].1.kill();
    }
    for instance in restarted {
        site.relaunch(instance);
    }
    wait_for_version(&site, FIRST_VERSION);
    let read = (site.platform.bytes("op") - before) / row_bytes;
    assert!(read <= READERS, "{read} copies were read");
}
