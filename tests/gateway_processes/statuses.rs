//! Servers that answer with a status that is none.

use super::raw_server::{RawServer, Request, chunk, signed_answer, stream_head};
use super::site::{POLL_INTERVAL, Site, exchange, request, status, wait_for};
use rstest::rstest;

/// A complete answer with this status line.
fn answer_with(status: &str, id: &str) -> String {
    signed_answer(id, "text").replacen("200 OK", status, 1)
}

/// A whole answer to a request on a route.
fn sound_answer(path: &str, id: &str) -> String {
    if path.starts_with("/draft") {
        stream_head(id) + &chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n"
    } else {
        signed_answer(id, "text")
    }
}

fn service(path: &str) -> (&'static str, &'static [&'static str]) {
    if path.starts_with("/draft") {
        ("llm", &["m1", "m2"])
    } else {
        ("app", &[])
    }
}

/// Guards against an answer of a server in trouble that callers get although its status says nothing, or
/// that is taken for a promise that the request has not run.
#[rstest]
fn an_answer_without_a_valid_status_is_no_answer(
    #[values(
        "000 Odd", "099 Odd", "1000 Odd", "0 Odd", "600 Odd", "700 Odd", "999 Odd"
    )]
    line: &'static str,
    #[values("/issue/x", "/check/x", "/draft/x")] path: &'static str,
    #[values(0, 1)] earlier_answers: usize,
) {
    let site = Site::ready();
    let server = RawServer::start(move |incoming: &mut Request<'_>| {
        let is_sound = incoming.previous_requests < earlier_answers;
        let text = if is_sound {
            sound_answer(path, &incoming.id)
        } else {
            answer_with(line, &incoming.id)
        };
        incoming.write(&text)
    });
    let (service, models) = service(path);
    server.replace(&site, service, models);
    for number in 0..earlier_answers {
        let answer = exchange(site.callers(0), &request(path, &format!("e{number}"), "m1"));
        assert_eq!(status(&answer.unwrap()), 200);
        std::thread::sleep(POLL_INTERVAL);
    }
    let answer = exchange(site.callers(0), &request(path, "odd", "m1")).unwrap();
    assert_eq!(status(&answer), 502, "{answer}");
    let ids = server.ids();
    assert_eq!(ids.iter().filter(|id| *id == "odd").count(), 1, "{ids:?}");
}

/// Guards against such an answer to a request that may be repeated, although another server is sound.
#[rstest]
fn a_request_that_may_be_repeated_is_sent_to_another_server(
    #[values("000 Odd", "700 Odd")] line: &'static str,
) {
    let site = Site::ready();
    let (listed, is_listed) = std::sync::mpsc::channel();
    let is_listed = std::sync::Mutex::new(is_listed);
    let server = RawServer::start(move |incoming: &mut Request<'_>| {
        is_listed.lock().unwrap().recv().unwrap();
        incoming.write(&answer_with(line, &incoming.id))
    });
    server.replace(&site, "app", &[]);
    let callers = site.callers(0);
    let asked = std::thread::spawn(move || exchange(callers, &request("/check/x", "odd", "")));
    wait_for("the request", || !server.ids().is_empty());
    site.platform.list(site.platform.worker("p"), "ready");
    wait_for("the sound server", || {
        let servers = site.state(0)["servers"].clone();
        servers.as_array().is_some_and(|servers| servers.len() == 4)
    });
    listed.send(()).unwrap();
    let answer = asked.join().unwrap().unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(site.platform.worker("p").ran().contains(&"odd".into()));
}
