//! Entries that other writers left among those of the servers.

use super::site::{POLL_INTERVAL, Site, status, wait_for};
use serde_json::json;
use standins::worker::Worker;

/// Levels of nesting that fit into a row.
const NESTING: usize = 20_000;

/// A sound entry in which one field has another value.
fn entry_with(field: &str, value: &str) -> String {
    let sound = json!({"Service": "app", "Address": "127.0.0.1:9", "Zone": "north-1",
        "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Sequence": 5,
        "Models": [], "born": 1_000, field: "THE VALUE"});
    sound.to_string().replace("\"THE VALUE\"", value)
}

fn odd_entries() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    let object = format!("{}0{}", "{\"a\":".repeat(10_000), "}".repeat(10_000));
    let mut entries = vec![
        nested.clone(),
        object.clone(),
        "[".repeat(NESTING),
        String::new(),
    ];
    for field in ["Models", "Available", "Version", "Unknown", "Slots", "born"] {
        entries.push(entry_with(field, &nested));
        entries.push(entry_with(field, &object));
    }
    for number in [
        "1e999",
        "-1",
        "1.5",
        "99999999999999999999999999",
        "4294967296",
        "null",
    ] {
        for field in ["Slots", "born", "Sequence", "ColdRemainingMs"] {
            entries.push(entry_with(field, number));
        }
    }
    for address in [
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "[::1]:7",
        "h:80",
        "",
    ] {
        entries.push(entry_with("Address", &format!("\"{address}\"")));
    }
    entries
}

/// Guards against instances that end again and again, or no longer follow the list, because of an
/// entry that cannot be read.
#[test]
fn odd_entries_name_no_server_and_the_others_are_followed() {
    let late = Worker::new("late", "app", &[], 0, POLL_INTERVAL);
    let mut site = Site::start(2);
    site.wait_until_ready();
    for (number, entry) in odd_entries().iter().enumerate() {
        site.platform
            .put_bytes("servers", &format!("odd-{number}"), entry.as_bytes());
    }
    for key in ["a b", "a&b=c#d", "\u{e9}\u{1f600}", "~", "../x", ""] {
        site.platform
            .put_bytes("servers", key, entry_with("Slots", "8").as_bytes());
    }
    site.platform
        .put_bytes("servers", "binary", &[0xff, 0xfe, 0, 1]);
    site.platform.list(&late, "ready");
    let lists_it = |site: &Site, instance| {
        let servers = site.state(instance)["servers"].clone();
        let servers = servers.as_array().cloned().unwrap_or_default();
        servers
            .iter()
            .any(|server| server["backend"]["id"] == "late")
    };
    wait_for("the entry after them", || {
        (0..2).all(|instance| lists_it(&site, instance))
    });
    for instance in 0..2 {
        assert!(
            site.instances[instance].1.wait(POLL_INTERVAL).is_none(),
            "it ended"
        );
    }
    site.restart(0);
    wait_for("the list after a restart", || lists_it(&site, 0));
    site.platform.unlist(&late);
    wait_for("the end of the entry", || {
        (0..2).all(|instance| !lists_it(&site, instance))
    });
    for number in 0..10 {
        let answer = site.ask_at(number % 2, "/check/x", &format!("r{number}"), "");
        assert_eq!(status(&answer), 200, "{answer}");
    }
}
