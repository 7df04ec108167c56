//! Callers that read slowly.

use super::raw_server::{RawServer, chunk, stream_head};
use super::site::{Site, config, request, wait_for};
use rstest::rstest;
use serde_json::json;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Events of a stream, and the bytes of each: together more than all buffers on the way hold.
const EVENTS: usize = 6_000;
const EVENT_BYTES: usize = 2_000;
/// Deadline of the caller and time-out of the route, far beyond the time that the test takes.
const DEADLINE_MS: u64 = 30_000;
/// Receive buffer of a caller that reads slowly.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Guards against a sound stream that is cut, and its server accused, since its caller reads nothing for some
/// seconds: neither the server nor the connection to the caller is silent.
#[rstest]
#[case::longer_than_a_server_may_pause(Duration::from_millis(2_300))]
#[case::longer_than_sent_data_may_stay_unacknowledged(Duration::from_millis(3_500))]
fn a_stream_whose_caller_reads_nothing_for_some_seconds_is_relayed_to_its_end(
    #[case] pause: Duration,
    #[values("/draft/x", "/long/x")] path: &str,
) {
    let server = RawServer::start(|asked| {
        let mut is_open = asked.write(&stream_head(&asked.id.clone()));
        let filler = "x".repeat(EVENT_BYTES);
        for event in 1..=EVENTS {
            let text = format!("id: {event}\ndata: {filler}\n\n");
            is_open = is_open && asked.write(&chunk(&text));
        }
        is_open && asked.write("0\r\n\r\n")
    });
    let site = Site::ready();
    site.platform.configure(&config(DEADLINE_MS));
    wait_for("the long time-out", || {
        site.state(0)["version"] == json!(DEADLINE_MS)
    });
    server.replace(&site, "llm", &["m1"]);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&site.callers(0).into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let text = request(path, "slow", "m1")
        .replacen("Host", "Connection: close\r\nHost", 1)
        .replace("-Ms: 4000", &format!("-Ms: {DEADLINE_MS}"));
    stream.write_all(text.as_bytes()).unwrap();
    std::thread::sleep(pause);
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    let end = &answer[answer.len().saturating_sub(100)..];
    assert!(answer.ends_with("0\r\n\r\n"), "{read:?}: {end}");
    assert_eq!(answer.matches("\nid: ").count(), EVENTS);
    assert_eq!(server.ids(), ["slow"]);
}
