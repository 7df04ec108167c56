//! Tests of gateway processes against a stand-in of the platform.

mod budget;
mod caller;
mod configurations;
mod cuts;
mod endless;
mod extremes;
mod freshness;
mod limits;
mod lists;
mod notices;
mod odd_entries;
mod old_copy;
mod operations;
mod operators;
mod outages;
mod parts;
mod quotas;
mod raw_server;
mod reports;
mod rules;
mod site;
mod slow_callers;
mod soak;
mod statuses;
mod versions;
mod workspaces;

use raw_server::{RawServer, stream_head};
use serde_json::json;
use site::{
    GRACE_S, POLL_INTERVAL, Site, WAIT_TIMEOUT, config, exchange, request, status, wait_for,
};
use standins::platform::Platform;
use standins::worker::{Fault, Worker};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A short grace time, for tests that wait for the end of a stop.
const SHORT_GRACE_S: u64 = 4;
/// Crashes of servers closer together than this count as one.
const MIN_CRASH_GAP: Duration = Duration::from_secs(1);
/// A lease that can't be renewed has lapsed after this time.
const LEASE_LAPSE_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn requests_are_served_and_adapters_loaded_on_demand() {
    let site = Site::ready();
    let answer = site.ask("/issue/x", "r1", "");
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.contains("x-response-signature: s"), "{answer}");
    let stream = site.ask("/draft/x", "r2", "m2");
    assert!(stream.contains("piece 10"), "{stream}");
    wait_for("an adapter", || {
        status(&site.ask("/draft/x", "r3", "m1/a2")) == 200
    });
    assert_eq!(status(&site.ask("/none/x", "r4", "")), 404);
}

#[test]
fn instances_that_start_together_all_hear_each_other() {
    let site = Site::start(3);
    wait_for("three instances", || {
        (0..3).all(|instance| site.state(instance)["instances"] == json!(3))
    });
}

/// Guards against an instance that ignores registered instances from which it has received no
/// gossip, and so takes the whole of a common limit for itself.
#[test]
fn a_registered_instance_that_sends_no_gossip_has_a_share_of_common_limits() {
    let site = Site::ready();
    let row = json!({"address": "127.0.0.1:9", "data_centre": "north-2"});
    site.platform.put("poplarseam", "instance.silent", &row);
    wait_for("its share", || site.state(0)["sharers"] == 2);
}

#[test]
fn a_stopping_instance_finishes_streams_and_then_accepts_no_connections() {
    let mut site = Site::start(1);
    site.wait_until_ready();
    let callers = site.callers(0);
    let stream = std::thread::spawn(move || exchange(callers, &request("/draft/x", "r1", "m2")));
    wait_for("the stream runs", || site.run_count("r1") == 1);
    site.instances[0].1.signal("TERM");
    wait_for("unready", || site.status(0, 8001, "/v1/readyz") != 200);
    let answer = stream.join().unwrap().unwrap();
    assert!(answer.contains("piece 10"), "{answer}");
    let ended = site.instances[0].1.wait(WAIT_TIMEOUT);
    assert!(ended.is_some_and(|status| status.success()));
    assert!(TcpStream::connect(callers).is_err());
}

/// A request for an adapter that no worker holds arrives at an instance that is being stopped.
#[test]
fn a_stopping_instance_refuses_waiting_requests_before_it_exits() {
    let mut site = Site::start_with_store(1, false, SHORT_GRACE_S);
    site.wait_until_ready();
    let mut patient = config(30_000);
    patient["Routes"][0]["TargetLatencyMs"] = json!(10_000);
    site.platform.configure(&patient);
    wait_for("the new configuration", || {
        site.state(0)["version"] == 30_000
    });
    site.platform.set_down(true);
    std::thread::sleep(LEASE_LAPSE_TIME);
    let callers = site.callers(0);
    let waiting = request("/draft/x", "r1", "m1/a3").replace("-Ms: 4000", "-Ms: 30000");
    let answer = std::thread::spawn(move || exchange(callers, &waiting));
    std::thread::sleep(POLL_INTERVAL);
    site.instances[0].1.signal("TERM");
    let ended = site.instances[0].1.wait(Duration::from_secs(SHORT_GRACE_S));
    assert!(ended.is_some_and(|status| status.success()));
    let answer = answer.join().unwrap().unwrap();
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert_eq!(site.run_count("r1"), 0);
}

#[test]
fn an_instance_started_without_a_store_is_not_ready_and_sends_retry_after() {
    let site = Site::start_with_store(1, true, GRACE_S);
    wait_for("an answer", || site.status(0, 8001, "/v1/readyz") == 503);
    let answer = site.ask("/issue/x", "r1", "");
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    site.platform.set_down(false);
    site.wait_until_ready();
    assert_eq!(status(&site.ask("/issue/x", "r2", "")), 200);
}

#[test]
fn an_instance_that_loses_the_store_continues_to_serve() {
    let site = Site::ready();
    site.platform.set_down(true);
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(site.status(0, 8001, "/v1/readyz"), 200);
    assert_eq!(status(&site.ask("/issue/x", "r1", "")), 200);
}

#[test]
fn a_configuration_written_during_a_silent_outage_is_applied_soon_after_it() {
    let site = Site::ready();
    site.platform.set_silent(true);
    std::thread::sleep(Duration::from_secs(3));
    site.platform.configure(&config(5_001));
    site.platform.set_silent(false);
    wait_for("the configuration", || {
        site.state(0)["version"] == json!(5_001)
    });
}

#[test]
fn only_a_retryable_request_is_retried_when_its_response_is_lost() {
    let site = Site::ready();
    site.set_fault(&["p", "q"], Fault::LoseAnswers);
    assert_eq!(status(&site.ask("/issue/x", "r1", "")), 502);
    assert_eq!(site.run_count("r1"), 1);
    assert_eq!(status(&site.ask("/check/x", "r2", "")), 502);
    assert_eq!(site.run_count("r2"), 2);
}

/// Most servers of a service have crashed, and their entries stay in the list for a while.
#[test]
fn unreachable_servers_use_up_no_retries() {
    let site = Site::ready();
    let worker = |number| Worker::new(&format!("dead-{number}"), "app", &[], 0, POLL_INTERVAL);
    let dead: Vec<_> = (0..10).map(|number| worker(number).dead()).collect();
    for worker in &dead {
        site.platform.list(worker, "ready");
    }
    wait_for("the news", || {
        let state = site.state(0);
        state["servers"].as_array().map_or(0, Vec::len) == 14
    });
    let ids = ["r1", "r2", "r3"];
    let statuses = ids.map(|id| status(&site.ask("/issue/x", id, "")));
    assert_eq!(statuses, [200; 3]);
}

#[test]
fn a_failure_response_is_passed_on_when_no_other_server_is_left() {
    let site = Site::ready();
    site.platform.list(site.platform.worker("p"), "draining");
    site.platform.worker("q").set(Fault::Fail);
    wait_for("the news", || {
        let answer = site.ask("/check/x", "r1", "");
        status(&answer) == 500 && answer.contains("the server's own failure")
    });
    let answer = site.ask("/check/x", "r2", "");
    assert_eq!(status(&answer), 500, "{answer}");
    assert!(answer.contains("the server's own failure"), "{answer}");
}

#[test]
fn a_resumable_stream_continues_at_another_worker() {
    let site = Site::with_cut_streams();
    let answer = site.ask("/long/x", "r1", "m1");
    for event in 1..=10 {
        let count = answer.matches(&format!("data: piece {event}\n")).count();
        assert_eq!(count, 1, "event {event} in {answer}");
    }
}

/// Guards against a resumption that ignores where the stream ran before: it went back to the
/// worker that had broken it off, three times.
#[test]
fn a_resumed_stream_continues_at_another_worker_within_the_limit_of_its_route() {
    let more = ["c", "d"].map(|name| Worker::new(name, "llm", &["m1"], 10, POLL_INTERVAL));
    let site = Site::ready_with(more.into());
    site.set_fault(&["a", "b", "c", "d"], Fault::CutAfter(1));
    site.ask("/long/x", "r1", "m1");
    assert_eq!(site.worker_count("r1"), 2);
}

/// Guards against a resumption that counts as a new request, which earns retries.
#[test]
fn a_resumed_stream_counts_as_one_request() {
    let site = Site::with_cut_streams();
    let answer = site.ask("/long/x", "r1", "m1");
    assert!(answer.contains("piece 10"), "{answer}");
    let first_sends = "poplarseam_first_sends_total{service=\"llm\"}";
    assert_eq!(site.counter(0, first_sends), 1);
}

#[test]
fn a_stream_that_breaks_off_does_not_look_complete() {
    let site = Site::with_cut_streams();
    let answer = site.ask("/draft/x", "r1", "m1");
    assert!(answer.contains("piece 4"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn a_caller_that_disconnects_cancels_its_request_at_the_worker() {
    let site = Site::ready();
    site.set_fault(&["p", "q"], Fault::Hang);
    let mut caller = TcpStream::connect(site.callers(0)).unwrap();
    caller
        .write_all(request("/issue/x", "r1", "").as_bytes())
        .unwrap();
    wait_for("the run", || site.run_count("r1") == 1);
    caller.shutdown(Shutdown::Both).unwrap();
    drop(caller);
    wait_for("the end of the run", || {
        let dropped = ["p", "q"].map(|server| site.platform.worker(server).dropped());
        dropped.concat().contains(&"r1".to_owned())
    });
}

#[test]
fn a_request_is_answered_when_the_time_out_of_its_route_expires() {
    let site = Site::ready();
    site.platform.configure(&config(5_001));
    site.set_fault(&["p", "q"], Fault::Hang);
    assert_eq!(status(&site.ask("/issue/x", "r1", "")), 504);
}

#[test]
fn a_leaving_server_gets_no_more_requests() {
    let site = Site::ready();
    site.platform.list(site.platform.worker("p"), "draining");
    wait_for("the news", || {
        let state = site.state(0);
        let servers = state["servers"].as_array().cloned().unwrap_or_default();
        servers
            .iter()
            .any(|server| server["backend"]["leaving"] == json!(true))
    });
    for number in 0..10 {
        assert_eq!(
            status(&site.ask("/issue/x", &format!("r{number}"), "")),
            200
        );
    }
    assert!(site.platform.worker("p").ran().is_empty());
}

#[test]
fn a_hangup_signal_does_not_end_the_process() {
    let site = Site::ready();
    site.instances[0].1.signal("HUP");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&site.ask("/issue/x", "r1", "")), 200);
}

#[test]
fn settings_are_checked_before_anything_starts() {
    let program = standins::process::programs().join("poplarseam-gateway");
    let run = |argument: &str, settings: Option<&str>| {
        let mut command = std::process::Command::new(&program);
        command.arg(argument).env_remove("POPLARSEAM_SETTINGS");
        if let Some(path) = settings {
            command.env("POPLARSEAM_SETTINGS", path);
        }
        let output = command.output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        (output.status.code(), error)
    };
    let (code, error) = run("--check", None);
    assert_eq!(code, Some(2));
    assert!(error.contains("POPLARSEAM_SETTINGS is not set"), "{error}");
    let (code, error) = run("--check", Some("/nowhere"));
    assert_eq!(code, Some(2));
    assert!(error.contains("/nowhere"), "{error}");
    let (code, error) = run("--frobnicate", None);
    assert_eq!(code, Some(2));
    assert!(error.contains("--help"), "{error}");
    assert_eq!(run("--version", None).0, Some(0));
    assert_eq!(run("--help", None).0, Some(0));
}

#[test]
fn bad_requests_get_one_clear_response() {
    let site = Site::ready();
    let callers = site.callers(0);
    let without_id = exchange(callers, "POST /issue/x HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    assert_eq!(status(&without_id), 400, "{without_id}");
    let large = format!(
        "POST /issue/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 2000\r\n\r\n{}",
        "x".repeat(2_000)
    );
    assert_eq!(status(&exchange(callers, &large).unwrap()), 413);
}

const PLAIN_SERVERS: [&str; 4] = ["p", "q", "r", "s"];

/// Has one request crash three servers of a site with two instances.
fn after_three_crashes_of_one_request() -> Site {
    let more = ["r", "s"].map(|name| Worker::new(name, "app", &[], 0, POLL_INTERVAL));
    let site = Site::start_all(more.into(), 2, GRACE_S, Platform::start);
    site.wait_until_ready();
    site.set_fault(&PLAIN_SERVERS, Fault::LoseAnswers);
    for number in 0..3 {
        let id = format!("crash-{number}");
        let answer = site.ask_at(number % 2, "/issue/x", &id, "");
        assert_eq!(status(&answer), 502, "{answer}");
        let servers = PLAIN_SERVERS.map(|server| site.platform.worker(server));
        let ended = servers.iter().find(|server| server.ran().contains(&id));
        site.platform.unlist(ended.unwrap());
        std::thread::sleep(MIN_CRASH_GAP);
        wait_for("the news", || {
            (0..2).all(|instance| {
                let servers = site.state(instance)["servers"].clone();
                servers.as_array().map_or(0, Vec::len) == 5 - number
            })
        });
    }
    wait_for_quarantine(&site);
    site.set_fault(&PLAIN_SERVERS, Fault::None);
    site
}

fn wait_for_quarantine(site: &Site) {
    wait_for("the quarantine", || {
        let entries = (0..2).map(|instance| site.state(instance)["quarantine"].clone());
        let mut counts = entries.map(|entries| entries.as_array().map_or(0, Vec::len));
        counts.all(|count| count == 1)
    });
}

fn assert_only_the_crashing_request_is_refused(site: &Site) {
    for instance in 0..2 {
        let id = format!("again-{instance}");
        let answer = site.ask_at(instance, "/issue/x", &id, "");
        assert_eq!(status(&answer), 503, "{answer}");
        assert_eq!(site.run_count(&id), 0);
        let other = site.ask_at(instance, "/issue/y", "other", "");
        assert_eq!(status(&other), 200, "{other}");
    }
}

/// Guards against a request that crashes one server after the other because its caller sends it
/// again, at any instance.
#[test]
fn a_request_that_crashed_three_servers_is_refused_at_every_instance() {
    let site = after_three_crashes_of_one_request();
    assert_only_the_crashing_request_is_refused(&site);
}

/// Guards against crash records that end with the processes that have them: each restart of all
/// instances would cost three more servers.
#[test]
fn a_request_that_crashed_three_servers_is_refused_after_the_restart_of_all_instances() {
    let mut site = after_three_crashes_of_one_request();
    wait_for("the row", || {
        site.platform.keys("poplarseam", "quarantine.").len() == 1
    });
    for instance in 0..2 {
        site.instances[instance].1.kill();
    }
    for instance in 0..2 {
        site.relaunch(instance);
    }
    wait_for("ready", || {
        (0..2).all(|instance| site.status(instance, 8001, "/v1/readyz") == 200)
    });
    wait_for_quarantine(&site);
    assert_only_the_crashing_request_is_refused(&site);
}

/// Guards against a caller's connection that closes without a response: the head of the stream
/// had arrived, and the connection broke before the first event.
#[test]
fn a_stream_that_breaks_off_before_its_first_event_gets_an_error_response() {
    let raw_server = RawServer::start(|asked| {
        let head = stream_head(&asked.id);
        asked.write(&head);
        false
    });
    let site = Site::ready();
    raw_server.replace(&site, "llm", &["m1"]);
    let answer = site.ask("/draft/x", "r1", "m1");
    assert_eq!(status(&answer), 502, "{answer}");
    assert_eq!(raw_server.ids(), ["r1"]);
}
