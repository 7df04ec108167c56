//! Requests that wait while every server has as much unread prompt as its streams can bear.

use super::raw_server::{RawServer, chunk, stream_head};
use super::site::{Site, config, exchange, request, status, wait_for};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Version of the configuration, which is also the time-out of its routes.
const TIMEOUT_MS: u64 = 20_000;
/// Half of it, less the expected time, is far longer than the tests take.
const TARGET_MS: u64 = 8_000;

/// A site with one server that states its pace, and does not answer the request `long` before it is
/// released. Its prompt is being read when the function returns.
fn site_with_unread_prompt() -> (Site, RawServer, Arc<AtomicBool>) {
    let is_released = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&is_released);
    let server = RawServer::start(move |asked| {
        while asked.id == "long" && !released.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let head = stream_head(&asked.id.clone());
        let head = head.replacen("\r\n\r\n", "\r\nX-Instance-Load: 1,0,8,100\r\n\r\n", 1);
        asked.write(&head) && asked.write(&chunk("data: x\n\n")) && asked.write("0\r\n\r\n")
    });
    let site = Site::ready();
    let mut configuration = config(TIMEOUT_MS);
    for route in [0, 1] {
        configuration["Routes"][route]["TargetLatencyMs"] = json!(TARGET_MS);
        configuration["Routes"][route]["GapTargetMs"] = json!(400);
    }
    site.platform.configure(&configuration);
    wait_for("the pause target", || {
        site.state(0)["version"] == json!(TIMEOUT_MS)
    });
    server.replace(&site, "llm", &["m1"]);
    assert_eq!(status(&site.ask("/draft/x", "first", "m1")), 200);
    let callers = site.callers(0);
    std::thread::spawn(move || exchange(callers, &prompt("long", 6_000)));
    wait_for("the long prompt", || {
        server.ids().contains(&"long".to_owned())
    });
    (site, server, is_released)
}

fn prompt(id: &str, tokens: u32) -> String {
    let usage = format!("X-Token-Usage: {tokens},20");
    request("/draft/x", id, "m1").replace("X-Token-Usage: 100,20", &usage)
}

/// Guards against a prompt that is sent behind another one although both together stop the streams
/// of the server for longer than the target, and against one that waits on after that was read.
#[test]
fn a_prompt_waits_until_the_server_has_read_the_one_before_it() {
    let (site, server, is_released) = site_with_unread_prompt();
    let callers = site.callers(0);
    let answer = std::thread::spawn(move || exchange(callers, &prompt("second", 4_000)));
    wait_for("a waiting request", || {
        site.state(0)["waiting"] == json!({"llm": 1})
    });
    assert_eq!(server.ids(), ["first", "long"]);
    is_released.store(true, Ordering::Relaxed);
    let answer = answer.join().unwrap().unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(server.ids(), ["first", "long", "second"]);
    assert_eq!(site.state(0)["waiting"], json!({}));
    let state = site.state(0);
    assert_eq!(state["paces"]["lookalike"]["pace"], json!(1.0), "{state}");
}

/// Guards against waiting requests that keep their place, or are sent, after their caller left.
#[test]
fn a_waiting_request_whose_caller_leaves_is_not_sent() {
    let (site, server, is_released) = site_with_unread_prompt();
    let mut caller = TcpStream::connect(site.callers(0)).unwrap();
    caller
        .write_all(prompt("second", 4_000).as_bytes())
        .unwrap();
    wait_for("a waiting request", || {
        site.state(0)["waiting"] == json!({"llm": 1})
    });
    drop(caller);
    wait_for("its place is free", || {
        site.state(0)["waiting"] == json!({})
    });
    is_released.store(true, Ordering::Relaxed);
    assert_eq!(status(&site.ask("/draft/x", "third", "m1")), 200);
    assert_eq!(server.ids(), ["first", "long", "third"]);
}

/// Guards against requests that wait on at an instance that is about to end.
#[test]
fn a_waiting_request_is_sent_when_its_instance_is_stopped() {
    let (site, server, _is_released) = site_with_unread_prompt();
    let callers = site.callers(0);
    let answer = std::thread::spawn(move || exchange(callers, &prompt("second", 4_000)));
    wait_for("a waiting request", || {
        site.state(0)["waiting"] == json!({"llm": 1})
    });
    let began = Instant::now();
    site.instances[0].1.signal("TERM");
    wait_for("the second request", || {
        server.ids().contains(&"second".to_owned())
    });
    assert!(began.elapsed() < Duration::from_secs(1));
    let answer = answer.join().unwrap().unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
}
