//! How the list of servers reaches instances.

use super::site::{GRACE_S, Site, status, wait_for};
use poplarseam::wire::generated_gossip::Gossip;
use prost::Message;
use serde_json::json;
use standins::link::Mode;
use standins::platform::{Platform, STORE_LINK};
use std::net::UdpSocket;
use std::time::Duration;

/// Guards against an instance that takes itself for a peer, and another one for the holder of its
/// leases, because its own datagram is forwarded back to it.
#[test]
fn datagram_that_comes_back_to_its_sender_is_ignored() {
    let site = Site::ready();
    let (ip, _) = site.instances[0];
    let gossip = Gossip {
        instance: "edge-1".into(),
        incarnation: 1,
        sequence: 1,
        data_centre: "north-1".into(),
        address: format!("{ip}:7000"),
        ..Gossip::default()
    };
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..3 {
        socket.send_to(&gossip.encode_to_vec(), (ip, 7000)).unwrap();
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(site.state(0)["instances"], json!(1));
}

/// Servers of other services, whose entries together are some 400 kB.
const OTHER_SERVERS: usize = 100;
const PADDING: usize = 3_000;
/// Time that each 16 kB of an answer of the store take.
const CHUNK_DELAY: Duration = Duration::from_millis(60);

/// Guards against requests to servers that have left, and against servers that are never found: a list
/// that took longer to arrive than a fixed time was given up, and read anew over the same link.
#[test]
fn list_that_arrives_slowly_is_read() {
    let start = |workers| {
        let platform = Platform::start_linked(workers);
        for number in 0..OTHER_SERVERS {
            let entry = json!({"Service": "other", "Address": "127.0.0.1:9", "Zone": "north-1",
                "Slots": 1, "State": "ready", "born": 1, "Padding": "x".repeat(PADDING)});
            platform.put("servers", &format!("other-{number}"), &entry);
        }
        platform.disturb(STORE_LINK, Mode::Delayed(CHUNK_DELAY));
        platform
    };
    let site = Site::start_all(Vec::new(), 1, GRACE_S, start);
    let mut attempts = 0;
    wait_for("an answer of a server", || {
        attempts += 1;
        status(&site.ask("/check/x", &format!("r{attempts}"), "")) == 200
    });
}
