//! How the list of servers reaches instances.

use super::site::{GRACE_S, Site, status, wait_for};
use serde_json::json;
use standins::link::Mode;
use standins::platform::{Platform, STORE_LINK};
use std::time::Duration;

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
