//! Servers, callers and operators that state numbers beyond any use.

use super::raw_server::{RawServer, Request, signed_answer};
use super::site::{Site, config, exchange, request, request_with_parts, status, wait_for};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const REQUESTS: usize = 3;
/// Time after its start from which the moment of an instance and the longest idle time-out overflow when
/// they are added: the instance closes idle connections 1.5 s early.
const OVERFLOW_UPTIME: Duration = Duration::from_secs(2);

/// Sends a request on a kept connection and returns the status of the answer; 0 if there is none.
fn ask_on(stream: &TcpStream, text: &str) -> u16 {
    let mut reader = BufReader::new(stream);
    (&*stream).write_all(text.as_bytes()).unwrap();
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return 0;
        }
    }
    let mut lengths = head
        .lines()
        .filter_map(|line| line.strip_prefix("content-length: "));
    let length = lengths.next().map_or(0, |length| length.parse().unwrap());
    reader.read_exact(&mut vec![0; length]).unwrap();
    status(&head)
}

/// Guards against answers that are lost because the server states an idle time-out without end.
#[rstest]
fn answers_of_a_server_with_an_endless_idle_timeout_are_passed_on(
    #[values("18446744073709551615", "9223372036854775807", "99999999999999999999")]
    timeout: &'static str,
    #[values("/issue/x", "/check/x")] path: &str,
) {
    let site = Site::ready();
    let server = RawServer::start(move |incoming: &mut Request<'_>| {
        let stated = format!("\r\nKeep-Alive: timeout={timeout}\r\n\r\n");
        incoming.write(&signed_answer(&incoming.id, "text").replacen("\r\n\r\n", &stated, 1))
    });
    server.replace(&site, "app", &[]);
    std::thread::sleep(OVERFLOW_UPTIME);
    let stream = TcpStream::connect(site.callers(0)).unwrap();
    let texts = (0..REQUESTS).map(|number| request(path, &format!("r{number}"), ""));
    let statuses: Vec<u16> = texts.map(|text| ask_on(&stream, &text)).collect();
    assert_eq!(statuses, [200; REQUESTS]);
    assert_eq!(server.ids().len(), REQUESTS);
}

/// Guards against instances that take no configuration any more after one with a time that is out of
/// range.
#[rstest]
#[case::load("/Services/0/Engine/Models/0/LoadTimeS")]
#[case::timeout("/Routes/2/TimeoutMs")]
#[case::target("/Routes/2/TargetLatencyMs")]
#[case::pause("/Routes/0/GapTargetMs")]
fn configurations_are_applied_after_one_with_an_endless_time(#[case] field: &str) {
    let site = Site::start(2);
    site.wait_until_ready();
    for (version, time) in [(6_000, json!(1e300)), (7_000, json!(5_000))] {
        let mut written: Value = config(version);
        let (parent, name) = field.rsplit_once('/').unwrap();
        written.pointer_mut(parent).unwrap()[name] = time;
        site.platform.configure(&written);
        wait_for("the configuration at all instances", || {
            (0..2).all(|instance| site.state(instance)["version"] == json!(version))
        });
        let id = format!("r{version}");
        assert_eq!(status(&site.ask("/issue/x", &id, "")), 200);
    }
}

/// Guards against callers that get no answer because they state too many tokens.
#[rstest]
#[case::prompt("18446744073709551615,1", "1:100")]
#[case::output("100,18446744073709551615", "1:100")]
#[case::both("18446744073709551615,18446744073709551615", "1:100")]
#[case::part("100,20", "1:18446744073709551615,2:18446744073709551615")]
fn requests_with_too_many_tokens_are_answered(#[case] usage: &str, #[case] parts: &str) {
    let site = Site::ready();
    let text = request_with_parts("/draft/x", "large", "m1", parts).replacen("100,20", usage, 1);
    let answer = exchange(site.callers(0), &text).unwrap_or_default();
    assert_ne!(status(&answer), 0, "{answer}");
    assert_eq!(status(&site.ask("/draft/x", "next", "m1")), 200);
}
