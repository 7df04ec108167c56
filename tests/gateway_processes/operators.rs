//! Failures that operators of similar systems reported, one test for each.

use super::raw_server::{RawServer, chunk, hold_open, signed_answer, stream_head};
use super::site::{
    POLL_INTERVAL, Site, WAIT_TIMEOUT, config, exchange, exchange_on, request, status, wait_for,
};
use rstest::rstest;
use standins::worker::Worker;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Deadline of callers who wait longer than any limit under test.
const LONG_DEADLINE_MS: u64 = 30_000;
/// Concurrent callers during a stop; each sends one request after the other.
const CALLER_COUNT: usize = 8;
/// Instances that are stopped at the same time, and when the first of them stops accepting connections.
const STOPPED_INSTANCES: u8 = 12;
const ACCEPTING_TIME: Duration = Duration::from_millis(2_290);
/// Minimum gap between orders of two holders, according to the stand-in's settings.
const MIN_HOLDER_GAP: Duration = Duration::from_secs(3);
/// Number of checks of the server list after a takeover, with a pause before each.
const LIST_CHECKS: usize = 40;
/// Orders that a holder sends within this time after it was resumed are tolerated.
const THAW_TOLERANCE: Duration = Duration::from_millis(300);

fn long_deadline_request(path: &str, id: &str, model: &str) -> String {
    request(path, id, model).replace("-Ms: 4000", &format!("-Ms: {LONG_DEADLINE_MS}"))
}

/// Guards against a stop that ends while connections are still accepted: none was open for a moment,
/// and the stream of the next one was cut before its caller had a byte.
#[test]
fn a_request_on_a_connection_accepted_at_the_end_of_a_stop_is_answered() {
    let site = Site::start(STOPPED_INSTANCES);
    site.wait_until_ready();
    let callers = (0..usize::from(STOPPED_INSTANCES)).map(|instance| {
        let address = site.callers(instance);
        let step = u32::try_from(instance).unwrap();
        let delay = ACCEPTING_TIME + Duration::from_millis(3) * step;
        site.instances[instance].1.signal("TERM");
        let text = request("/draft/x", &format!("r{instance}"), "m2");
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let stream = TcpStream::connect(address).ok()?;
            exchange_on(stream, &text, WAIT_TIMEOUT).ok()
        })
    });
    let callers: Vec<_> = callers.collect();
    for (instance, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().unwrap().unwrap_or_default();
        let has_run = site.run_count(&format!("r{instance}")) > 0;
        assert!(
            !has_run || answer.contains("piece 10"),
            "{instance}: {answer}"
        );
    }
}

/// A server sends a second copy of a response late, on a connection that is in use again.
#[test]
fn a_late_duplicate_of_a_response_reaches_no_other_caller() {
    let raw_server = RawServer::start(|asked| {
        if asked.previous_requests > 0 {
            asked.write(&signed_answer("r1", "first"));
        }
        let id = asked.id.clone();
        asked.write(&signed_answer(
            &id,
            if id == "r1" { "first" } else { "second" },
        ))
    });
    let site = Site::ready();
    raw_server.replace(&site, "app", &[]);
    let first = site.ask("/issue/x", "r1", "");
    assert!(first.ends_with("first"), "{first}");
    std::thread::sleep(POLL_INTERVAL);
    let second = site.ask("/issue/x", "r2", "");
    assert!(!second.contains("first"), "{second}");
    assert!(matches!(status(&second), 200 | 502), "{second}");
    let ran = raw_server.ids();
    assert_eq!(ran.iter().filter(|id| *id == "r2").count(), 1, "{ran:?}");
}

/// A planned stop under load cuts requests that were just accepted, without a response.
#[test]
fn a_stop_under_load_answers_every_accepted_request() {
    let mut site = Site::start(1);
    site.wait_until_ready();
    let in_rotation = Arc::new(AtomicBool::new(true));
    let callers = (0..CALLER_COUNT).map(|caller| {
        let (address, in_rotation) = (site.callers(0), Arc::clone(&in_rotation));
        std::thread::spawn(move || {
            let mut answers = Vec::new();
            while in_rotation.load(Ordering::SeqCst) {
                let id = format!("c{caller}-{}", answers.len());
                let answer = exchange(address, &request("/draft/x", &id, "m2"));
                answers.push(answer.unwrap_or_default());
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    wait_for("load", || {
        site.platform.worker("b").ran().len() > CALLER_COUNT
    });
    site.instances[0].1.signal("TERM");
    for _ in 0..2 {
        wait_for("unready", || site.status(0, 8001, "/v1/readyz") != 200);
    }
    in_rotation.store(false, Ordering::SeqCst);
    let answers = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    for answer in answers {
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.contains("piece 10"), "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    }
    let ended = site.instances[0].1.wait(WAIT_TIMEOUT);
    assert!(ended.is_some_and(|status| status.success()));
}

/// A connection is opened just before the process ends, and its first request arrives while the
/// process shuts down.
#[test]
fn a_connection_opened_just_before_the_exit_gets_a_response_to_its_first_request() {
    let site = Site::ready();
    let callers = site.callers(0);
    site.instances[0].1.signal("TERM");
    let mut opened = Vec::new();
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until
        && let Ok(stream) = TcpStream::connect(callers)
    {
        opened.push(stream);
        std::thread::sleep(Duration::from_millis(2));
    }
    let before_the_last = opened.swap_remove(opened.len() - 10);
    let answer = exchange_on(
        before_the_last,
        &request("/issue/x", "r1", ""),
        WAIT_TIMEOUT,
    )
    .unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// A slow but healthy stream is cut.
#[test]
fn a_slow_stream_is_relayed_to_its_end() {
    let slow = Worker::new("slow", "llm", &["m2"], 8, Duration::from_millis(700));
    let site = Site::ready_with(vec![slow]);
    site.platform.configure(&config(LONG_DEADLINE_MS));
    site.platform.unlist(site.platform.worker("b"));
    wait_for("the new state", || {
        let state = site.state(0);
        state["version"] == LONG_DEADLINE_MS && state["servers"].as_array().map_or(0, Vec::len) == 4
    });
    let answer = exchange(
        site.callers(0),
        &long_deadline_request("/draft/x", "r1", "m2"),
    )
    .unwrap();
    assert!(answer.contains("piece 8"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// A stalled stream that still sends single bytes is never ended.
#[test]
fn a_stream_that_sends_bytes_but_no_complete_event_is_ended() {
    let raw_server = RawServer::start(|asked| {
        let head = stream_head(&asked.id);
        let mut is_open = asked.write(&(head + &chunk("id: 1\ndata: piece 1\n\n")));
        while is_open {
            std::thread::sleep(POLL_INTERVAL);
            is_open = asked.write(&chunk("x"));
        }
        false
    });
    let site = Site::ready();
    site.platform.configure(&config(LONG_DEADLINE_MS));
    raw_server.replace(&site, "llm", &["m1"]);
    for path in ["/draft/x", "/long/x"] {
        let began = Instant::now();
        let stream = TcpStream::connect(site.callers(0)).unwrap();
        let answer = exchange_on(
            stream,
            &long_deadline_request(path, path, "m1"),
            2 * WAIT_TIMEOUT,
        )
        .unwrap();
        let took = began.elapsed();
        assert!(took < Duration::from_secs(15), "{path} took {took:?}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    }
}

/// A response that breaks off halfway looks complete to the caller.
#[test]
fn a_response_that_breaks_off_does_not_look_complete() {
    let raw_server = RawServer::start(|asked| {
        let id = asked.id.clone();
        match id.as_str() {
            "short" => {
                let whole = signed_answer(&id, "half of it");
                asked.write(&whole[..whole.len() - 4]);
            }
            "chunked" => {
                asked.write(&(stream_head(&id) + &chunk("half")));
            }
            _ => unreachable!("{id}"),
        }
        false
    });
    let site = Site::ready();
    raw_server.replace(&site, "app", &[]);
    for id in ["short", "chunked"] {
        let answer = site.ask("/issue/x", id, "");
        assert_eq!(status(&answer), 502, "{answer}");
    }
}

/// A worker stops in the middle of an event, and its stream ends as if it were complete.
#[test]
fn a_stream_that_ends_within_an_event_does_not_look_complete() {
    let raw_server = RawServer::start(|asked| {
        let stream = stream_head(&asked.id)
            + &chunk("id: 1\ndata: piece 1\n\n")
            + &chunk("id: 2\ndata: pie")
            + "0\r\n\r\n";
        asked.write(&stream)
    });
    let site = Site::ready();
    raw_server.replace(&site, "llm", &["m1"]);
    for path in ["/draft/x", "/long/x"] {
        let answer = site.ask(path, path, "m1");
        assert!(answer.contains("piece 1"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{path}: {answer}");
    }
}

/// After a lost response, a request that ran is run again, or its caller is told that it did not
/// run.
#[test]
fn a_request_whose_response_was_lost_is_neither_rerun_nor_reported_as_not_run() {
    let raw_server = RawServer::start(|asked| {
        let id = asked.id.clone();
        match id.as_str() {
            "warm" => return asked.write(&signed_answer(&id, "warm")),
            "garbage" => {
                asked.write("no answer at all\r\n\r\n");
            }
            "half-a-head" => {
                asked.write("HTTP/1.1 503 Service Unav");
            }
            "other" => {
                asked.write(&signed_answer("somebody", "else").replace("200 OK", "503 Full"));
            }
            "silent" => hold_open(asked),
            _ => {}
        }
        false
    });
    let site = Site::ready();
    raw_server.replace(&site, "app", &[]);
    for id in ["lost", "garbage", "half-a-head", "other", "silent"] {
        assert_eq!(status(&site.ask("/issue/x", "warm", "")), 200);
        std::thread::sleep(POLL_INTERVAL);
        let answer = site.ask("/issue/x", id, "");
        assert!(matches!(status(&answer), 502 | 504), "{id}: {answer}");
        let ran = raw_server.ids();
        assert_eq!(ran.iter().filter(|ran| *ran == id).count(), 1, "{ran:?}");
    }
}

/// During a takeover both holders are active for a moment, and orders are sent twice.
#[test]
fn orders_of_two_holders_are_at_least_a_lease_term_apart() {
    let site = Site::start(2);
    site.wait_until_ready();
    let mut asked = 0;
    let mut ask = |instance: usize| {
        asked += 1;
        let target = format!("m1/a{}", asked % 3 + 1);
        site.ask_at(instance, "/draft/x", &format!("r{asked}"), &target);
    };
    wait_for("orders", || {
        ask(0);
        orders_by_holder(&site).len() >= 2
    });
    let holder = orders_by_holder(&site).last().unwrap().1.clone();
    let frozen = usize::from(holder == "edge-2");
    site.instances[frozen].1.signal("STOP");
    wait_for("orders of the other one", || {
        ask(1 - frozen);
        orders_by_holder(&site).last().unwrap().1 != holder
    });
    site.instances[frozen].1.signal("CONT");
    let thawed = Instant::now();
    while thawed.elapsed() < MIN_HOLDER_GAP {
        ask(0);
        ask(1);
    }
    for worker in ["a", "b"] {
        let orders = site.platform.worker(worker).holders();
        let orders: Vec<_> = orders
            .iter()
            .filter(|(at, by)| *by != holder || *at < thawed || *at > thawed + THAW_TOLERANCE)
            .collect();
        for pair in orders.windows(2) {
            let apart = pair[1].0 - pair[0].0;
            assert!(
                pair[0].1 == pair[1].1 || apart >= MIN_HOLDER_GAP,
                "{apart:?} apart"
            );
        }
    }
}

/// Returns the orders received by all workers, in order of time.
fn orders_by_holder(site: &Site) -> Vec<(Instant, String)> {
    let workers = site.platform.workers();
    let mut orders: Vec<_> = workers.flat_map(Worker::holders).collect();
    orders.sort();
    orders
}

/// Guards against a takeover of the server list after which peers mistake its changes for the
/// complete list.
#[test]
fn servers_stay_known_when_another_instance_follows_the_list() {
    let mut site = Site::start(3);
    site.wait_until_ready();
    let planner = || (0..3).find(|instance| site.state(*instance)["plans"] == true);
    wait_for("a planner", || planner().is_some());
    let planner = planner().unwrap();
    site.instances[planner].1.kill();
    let others: Vec<usize> = (0..3).filter(|instance| *instance != planner).collect();
    wait_for("another planner", || {
        for instance in &others {
            let servers = site.state(*instance)["servers"].clone();
            assert_eq!(servers.as_array().map_or(0, Vec::len), 4, "{servers}");
        }
        let mut states = others.iter().map(|instance| site.state(*instance));
        states.any(|state| state["plans"] == true)
    });
    for _ in 0..LIST_CHECKS {
        std::thread::sleep(POLL_INTERVAL);
        for instance in &others {
            let servers = site.state(*instance)["servers"].clone();
            assert_eq!(servers.as_array().map_or(0, Vec::len), 4, "{servers}");
        }
    }
}

fn refusal(status_line: &str, echo: Option<&str>) -> String {
    let echo = echo.map_or_else(String::new, |id| format!("X-Request-Id: {id}\r\n"));
    format!("HTTP/1.1 {status_line}\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// A server writes an earlier refusal once more on a connection that is in use again, and runs the
/// second request: its caller was told that it had not run, or it ran at a second server.
#[rstest]
fn a_repeated_refusal_is_not_taken_for_one_of_the_next_request(
    #[values("503 Busy", "429 Busy", "421 Misdirected", "408 Late", "400 Bad")] line: &'static str,
    #[values(true, false)] echoes: bool,
) {
    let ran = Arc::new(Mutex::new(Vec::new()));
    let running = Arc::clone(&ran);
    let raw_server = RawServer::start(move |asked| {
        let id = asked.id.clone();
        if asked.previous_requests == 0 {
            return asked.write(&refusal(line, echoes.then_some(id.as_str())));
        }
        running.lock().unwrap().push(id.clone());
        asked.write(&refusal(line, echoes.then_some("r1")));
        std::thread::sleep(POLL_INTERVAL);
        asked.write(&signed_answer(&id, "ran"))
    });
    let site = Site::ready();
    raw_server.replace(&site, "app", &[]);
    for number in 1..=4 {
        let id = format!("r{number}");
        let answer = site.ask("/issue/x", &id, "");
        let has_run = ran.lock().unwrap().contains(&id);
        let promises_not_run = matches!(status(&answer), 408 | 421 | 429 | 503);
        assert!(!(has_run && promises_not_run), "{id}: {answer}");
        std::thread::sleep(POLL_INTERVAL);
    }
    let mut once = ran.lock().unwrap().clone();
    once.dedup();
    assert_eq!(once, *ran.lock().unwrap());
}
