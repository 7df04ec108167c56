//! Age of the proof that the configuration is current, in `/state`.

use super::site::{Site, config, wait_for};
use poplarseam::decide::freshness::hash_name;
use poplarseam::wire::generated_gossip::Gossip;
use prost::Message;
use serde_json::json;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const BOUND_MS: u64 = 5_000;
/// Age above which requests with keys are refused.
const LIMIT_MS: u64 = 4_500;
/// Largest age in calm: two polls of 1.2 s, 0.2 s to the next datagram, and room for the machine.
const CALM_MS: u64 = 3_400;
/// Age that proofs in a data centre with hubs reach before each new one: with the polls of the two readers
/// in turn, 1.2 and 0.6 s.
const OLD_MS: u64 = 1_700;
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);
/// Instances of a data centre with hubs.
const MANY: u8 = 10;
/// Table of the configuration.
const TABLE: &str = "op";

fn age_ms(site: &Site, instance: usize) -> Option<u64> {
    site.state(instance)["configuration_age_ms"].as_u64()
}

/// Returns the largest age of some instances within a time.
fn max_age_ms(site: &Site, instances: &[usize], time: Duration) -> u64 {
    let until = Instant::now() + time;
    let mut max = 0;
    while Instant::now() < until {
        let ages = instances.iter().map(|instance| age_ms(site, *instance));
        max = max.max(ages.map(|age| age.expect("a proof")).max().unwrap());
        std::thread::sleep(SAMPLING_INTERVAL);
    }
    println!("largest age of {instances:?}: {max} ms");
    max
}

fn start(instances: u8) -> Site {
    let site = Site::start_with_revocation(instances, BOUND_MS);
    site.wait_until_ready();
    wait_for("proofs", || {
        (0..site.instances.len())
            .all(|instance| age_ms(&site, instance).is_some_and(|age| age < CALM_MS))
    });
    site
}

/// Starts a data centre with hubs, and waits until proofs are as old as they get in calm, so that a
/// fault meets them then.
fn start_with_old_proofs() -> Site {
    let site = start(MANY);
    // The proofs by each instance's own read at its start.
    std::thread::sleep(Duration::from_secs(4));
    wait_for("old proofs", || {
        age_ms(&site, 4).is_some_and(|age| age > OLD_MS)
    });
    site
}

/// Guards against keys that are refused in calm.
#[test]
fn ages_stay_small_in_a_small_data_centre() {
    let site = start(3);
    let max = max_age_ms(&site, &[0, 1, 2], Duration::from_secs(8));
    assert!(max < CALM_MS, "{max} ms");
    let line = "poplarseam_configuration_age_ms ";
    assert!(site.counter(0, line) < CALM_MS);
}

/// The same where two hubs pass loads on. The polls must be those of the two readers only.
#[test]
fn ages_stay_small_in_a_data_centre_with_hubs_with_calls_by_its_readers_only() {
    let site = start(MANY);
    std::thread::sleep(Duration::from_secs(4));
    let before = site.platform.polls(TABLE);
    let all: Vec<usize> = (0..usize::from(MANY)).collect();
    let began_at = Instant::now();
    let max = max_age_ms(&site, &all, Duration::from_secs(8));
    let seconds = began_at.elapsed().as_secs_f64();
    assert!(max < CALM_MS, "{max} ms");
    let polls = u32::try_from(site.platform.polls(TABLE) - before).unwrap();
    let expected = 2.0 * (seconds / 1.2 + 1.0);
    assert!(f64::from(polls) <= expected, "{polls} polls");
}

/// Guards against keys that are refused while the store answers most instances: the hubs, which read
/// the configuration, get no answer, and the readers that replace them are not hubs.
#[test]
fn ages_stay_below_the_limit_while_the_store_does_not_answer_the_hubs() {
    let site = start_with_old_proofs();
    let hubs = [9, 0].map(|index: usize| site.instances[index].0);
    for hub in hubs {
        site.platform.set_silent_to(hub, true);
    }
    let others: Vec<usize> = (1..usize::from(MANY) - 1).collect();
    let max = max_age_ms(&site, &others, Duration::from_secs(12));
    assert!(max < LIMIT_MS, "{max} ms");
}

/// Guards against keys that are refused until dead readers are replaced.
#[test]
fn ages_stay_below_the_limit_when_both_readers_are_killed() {
    let mut site = start_with_old_proofs();
    for hub in [9, 0] {
        site.instances[hub].1.kill();
    }
    let others: Vec<usize> = (1..usize::from(MANY) - 1).collect();
    let max = max_age_ms(&site, &others, Duration::from_secs(8));
    assert!(max < LIMIT_MS, "{max} ms");
}

/// Guards against an instance that goes on serving keys although it can't know that they are valid.
#[test]
fn age_grows_at_an_instance_that_gets_no_answer_and_recovers_after_it() {
    let mut site = start(2);
    site.add_instance_in("north-2", super::site::GRACE_S);
    site.wait_until_ready();
    wait_for("a proof", || age_ms(&site, 2).is_some());
    let cut_off = site.instances[2].0;
    site.platform.set_silent_to(cut_off, true);
    wait_for("an old proof", || {
        age_ms(&site, 2).is_some_and(|age| age > 2 * BOUND_MS)
    });
    assert!(max_age_ms(&site, &[0, 1], Duration::from_secs(1)) < CALM_MS);
    site.platform.set_silent_to(cut_off, false);
    wait_for("a new proof", || {
        age_ms(&site, 2).is_some_and(|age| age < CALM_MS)
    });
}

/// Guards against a frozen instance that takes the datagrams and answers which it finds when it goes on
/// for new ones.
#[test]
fn proof_of_an_instance_that_was_frozen_is_old() {
    let site = start(3);
    let began_at = Instant::now();
    site.platform.set_silent(true);
    site.instances[2].1.signal("STOP");
    std::thread::sleep(Duration::from_millis(BOUND_MS));
    site.instances[2].1.signal("CONT");
    let age = age_ms(&site, 2).expect("a proof");
    assert!(age >= BOUND_MS, "{age} ms");
    site.platform.set_silent(false);
    wait_for("a new proof", || {
        let since = u64::try_from(began_at.elapsed().as_millis()).unwrap();
        age_ms(&site, 2).is_some_and(|age| age < CALM_MS.min(since))
    });
}

/// Guards against polls that show no change counted as proof although the newest row can't be read: it
/// may revoke a key.
#[test]
fn unreadable_configuration_proves_nothing() {
    let site = start(3);
    site.platform.put_bytes(TABLE, "config", b"{");
    wait_for("old proofs", || {
        (0..3).all(|instance| age_ms(&site, instance).is_some_and(|age| age > BOUND_MS))
    });
    site.platform.configure(&config(5_100));
    wait_for("new proofs", || {
        (0..3).all(|instance| {
            site.state(instance)["version"] == json!(5_100)
                && age_ms(&site, instance).is_some_and(|age| age < CALM_MS)
        })
    });
}

/// Guards against more calls to the store, which cost money, where no bound asks for them: the only
/// instance holds the leases, and its poll for the configuration is a long one.
#[test]
fn without_a_bound_the_store_gets_no_more_calls() {
    let site = Site::ready();
    wait_for("the leases", || site.state(0)["plans"] == json!(true));
    std::thread::sleep(Duration::from_secs(3));
    let calls = || (site.platform.polls(TABLE), site.platform.reads(TABLE));
    let before = calls();
    std::thread::sleep(Duration::from_secs(5));
    assert_eq!(calls(), before);
    assert_eq!(site.state(0)["configuration_age_ms"], json!(null));
}

/// A peer of instance 0 that is played by the test.
struct Peer(UdpSocket);

impl Peer {
    const NAME: &str = "peer";

    /// Sends a datagram, after which the instance sends its own as well.
    fn hello(site: &Site, sent_at_ms: u64, asks_proof: bool) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let hello = Gossip {
            instance: Self::NAME.into(),
            incarnation: 7,
            sequence: 1,
            data_centre: "north-1".into(),
            address: socket.local_addr().unwrap().to_string(),
            reaches_store: true,
            sent_at_ms,
            asks_proof,
            ..Gossip::default()
        };
        let instance = (site.instances[0].0, 7000);
        socket.send_to(&hello.encode_to_vec(), instance).unwrap();
        Self(socket)
    }

    fn receive(&self) -> Gossip {
        let mut buffer = vec![0; 60_000];
        let length = self.0.recv(&mut buffer).unwrap();
        Gossip::decode(&buffer[..length]).unwrap()
    }
}

/// Guards against datagrams that grow where no bound asks for proofs.
#[test]
fn without_a_bound_datagrams_carry_no_times_and_proofs() {
    let site = Site::ready();
    let peer = Peer::hello(&site, 10_000, true);
    for _ in 0..3 {
        let gossip = peer.receive();
        assert_eq!((gossip.sent_at_ms, gossip.asks_proof), (0, false));
        assert!(gossip.proofs.is_empty());
    }
}

/// Guards against an instance that waits for its next load to answer a peer whose proof is old.
#[test]
fn peer_that_asks_gets_a_proof_for_its_own_time_at_once() {
    let site = start(1);
    let asked_at = Instant::now();
    let peer = Peer::hello(&site, 10_000, true);
    let proof = loop {
        let gossip = peer.receive();
        assert_ne!(gossip.sent_at_ms, 0);
        if let Some(proof) = gossip.proofs.first() {
            break *proof;
        }
    };
    let waited = asked_at.elapsed();
    assert!(waited < Duration::from_millis(500), "{waited:?}");
    assert_eq!(proof.instance, hash_name(Peer::NAME));
    assert_eq!((proof.incarnation, proof.echoed_ms), (7, 10_000));
    assert_eq!(proof.version, 5_000);
    assert!(proof.age_ms < CALM_MS, "{proof:?}");
}
