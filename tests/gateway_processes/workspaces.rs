//! Callers' keys: who is served, and what servers, logs and dumps see of the keys.

use super::configurations::announce_from_afar;
use super::cuts::{self, KINDS};
use super::site::{POLL_INTERVAL, Site, config, exchange, request, status, wait_for};
use hyper::HeaderMap;
use poplarseam::wire::key::digest;
use rstest::rstest;
use serde_json::{Value, json};
use standins::link::Mode;
use standins::worker::{Fault, Worker};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const ALPHA: &str = "alpha-key-0001";
const BETA: &str = "beta-key-0002";
const LATER: &str = "alpha-key-added-later";
const ALL_KEYS: [&str; 3] = [ALPHA, BETA, LATER];
/// Priority of workspace alpha; that of the routes is 1.
const PRIORITY: u8 = 7;
/// Size of a body that does not fit into the buffers of a connection.
const LARGE_BODY: usize = 3 << 20;

/// A configuration with two workspaces, of which alpha has these keys, and a public route.
fn keyed(version: u64, alpha: &[&str]) -> Value {
    let mut config = config(5_000);
    config["Version"] = json!(version);
    config["Tenants"] = json!([
        {"Name": "alpha", "ApiKeys": alpha, "Priority": PRIORITY},
        {"Name": "beta", "ApiKeys": [BETA]},
    ]);
    let mut open = config["Routes"][3].clone();
    open["Name"] = json!("open");
    open["PathPrefix"] = json!("/open/");
    open["Public"] = json!(true);
    config["Routes"].as_array_mut().unwrap().push(open);
    config
}

fn apply(site: &Site, config: &Value) {
    site.platform.configure(config);
    wait_for("the configuration", || {
        (0..site.instances.len()).all(|at| site.state(at)["version"] == config["Version"])
    });
}

fn keyed_site() -> Site {
    let site = Site::ready();
    apply(&site, &keyed(6_000, &[ALPHA]));
    site
}

/// Adds a key to a request, and a name that its caller may not set.
fn with_key(request: &str, key: &str) -> String {
    let headers = format!("Authorization: Token {key}\r\nX-Tenant-Name: forged\r\nContent-Length");
    request.replacen("Content-Length", &headers, 1)
}

fn ask(site: &Site, path: &str, id: &str, model: &str, key: &str) -> String {
    let text = with_key(&request(path, id, model), key);
    exchange(site.callers(0), &text).unwrap_or_default()
}

/// Headers with which a request came to servers.
fn heads(site: &Site, id: &str) -> Vec<HeaderMap> {
    let heads = site.platform.workers().flat_map(Worker::heads);
    heads.filter(|head| head["x-request-id"] == id).collect()
}

/// Checks that a request came to servers `count` times, each time without its key and with this name.
fn assert_heads(site: &Site, id: &str, count: usize, name: Option<&str>) {
    let heads = heads(site, id);
    assert_eq!(heads.len(), count, "{id}");
    for head in heads {
        assert!(!head.contains_key("authorization"), "{id}: {head:?}");
        let text = format!("{head:?}");
        assert!(!ALL_KEYS.iter().any(|key| text.contains(key)), "{text}");
        let names: Vec<&str> = head
            .get_all("x-tenant-name")
            .iter()
            .map(|value| value.to_str().unwrap())
            .collect();
        assert_eq!(names, Vec::from_iter(name), "{id}");
        if name == Some("alpha") && head.contains_key("x-model-name") {
            assert_eq!(head["x-request-priority"], PRIORITY.to_string());
        }
    }
}

/// Guards against keys at servers, forged names of workspaces, and priorities of routes in place of
/// those of workspaces, on the first send.
#[test]
fn servers_get_names_and_priorities_of_workspaces_but_no_keys() {
    let site = keyed_site();
    for (route, model) in KINDS {
        let id = format!("alpha-{route}");
        let answer = ask(&site, &format!("/{route}/x"), &id, model, ALPHA);
        assert_eq!(status(&answer), 200, "{answer}");
        assert_heads(&site, &id, 1, Some("alpha"));
    }
    let answer = ask(&site, "/draft/x", "beta", "m1", BETA);
    assert_eq!(status(&answer), 200, "{answer}");
    assert_heads(&site, "beta", 1, Some("beta"));
    assert_eq!(heads(&site, "beta")[0]["x-request-priority"], "1");
}

/// Guards against keys at servers to which a request is sent again.
#[test]
fn retries_carry_no_keys() {
    let site = keyed_site();
    site.set_fault(&["p", "q"], Fault::LoseAnswers);
    assert_eq!(status(&ask(&site, "/check/x", "r1", "", ALPHA)), 502);
    assert_heads(&site, "r1", 2, Some("alpha"));
}

/// Guards against keys at servers at which a stream is resumed.
#[test]
fn resumptions_carry_no_keys() {
    let site = keyed_site();
    site.set_fault(&["a", "b"], Fault::CutAfter(6));
    let answer = ask(&site, "/long/x", "r1", "m1", ALPHA);
    assert!(answer.contains("piece 10"), "{answer}");
    assert_heads(&site, "r1", 2, Some("alpha"));
}

/// Guards against a stream that is resumed, which is a new send, after its key was taken away.
#[test]
fn streams_of_revoked_keys_are_not_resumed() {
    let site = keyed_site();
    site.set_fault(&["a", "b"], Fault::CutAfter(9));
    let mut pause = keyed(6_001, &[]);
    pause["Routes"][1]["GapTargetMs"] = json!(5_000);
    let address = site.callers(0);
    let text = with_key(&request("/long/x", "r1", "m1"), ALPHA);
    let caller = std::thread::spawn(move || exchange(address, &text).unwrap_or_default());
    wait_for("the stream runs", || site.run_count("r1") == 1);
    site.platform.configure(&pause);
    let answer = caller.join().unwrap();
    let was_in_time = site.state(0)["version"] == json!(6_001);
    assert!(was_in_time, "the configuration came after the stream");
    assert!(!answer.contains("piece 10"), "{answer}");
    assert_heads(&site, "r1", 1, Some("alpha"));
}

/// Sends requests to the first instance, which is cut off, until it knows that it has no path to the
/// servers of either service.
fn wait_for_lost_paths(site: &Site) {
    wait_for("the loss of the paths", || {
        let address = site.callers(0);
        let early = KINDS.map(|(route, model)| {
            let text = with_key(&request(&format!("/{route}/x"), "early", model), ALPHA);
            std::thread::spawn(move || exchange(address, &text))
        });
        for caller in early {
            // What becomes of requests before the loss is known is checked elsewhere.
            let _ = caller.join().unwrap();
        }
        let paths = site.state(0)["paths"]["paths"].clone();
        ["app", "llm"]
            .iter()
            .all(|service| paths[service]["lost_at"].is_object())
    });
}

/// Guards against keys at servers, or callers that are refused, when another instance carries their
/// requests; and against a carrier that serves a request without checking its key.
#[test]
fn carriers_check_keys_and_keep_them_from_servers() {
    let site = cuts::linked_site(2);
    apply(&site, &keyed(6_000, &[ALPHA]));
    site.platform.cut(site.instances[0].0, Mode::Cut);
    wait_for_lost_paths(&site);
    for (route, model) in KINDS {
        let id = format!("carried-{route}");
        let answer = ask(&site, &format!("/{route}/x"), &id, model, ALPHA);
        assert_eq!(status(&answer), 200, "{answer}");
        assert_heads(&site, &id, 1, Some("alpha"));
    }
    let answer = ask(&site, "/open/x", "carried-open", "", ALPHA);
    assert_eq!(status(&answer), 200, "{answer}");
    assert_heads(&site, "carried-open", 1, None);
    assert!(site.counter(0, "poplarseam_detours_total{outcome=\"carried\"}") >= 5);
    let passed_on = with_key(&request("/issue/x", "direct", ""), "wrong");
    let hop = "X-Poplarseam-Max-Servers: 1\r\nX-Poplarseam-Repeat: 0\r\nContent-Length";
    let passed_on = passed_on.replacen("Content-Length", hop, 1);
    let answer = exchange((site.instances[1].0, 7000).into(), &passed_on).unwrap();
    assert_eq!(status(&answer), 401, "{answer}");
    assert!(
        answer.contains("x-poplarseam-verdict: declined"),
        "{answer}"
    );
    assert!(answer.contains("x-poplarseam-for-key"), "{answer}");
    assert_heads(&site, "direct", 0, None);
}

/// Guards against an instance whose configuration has no workspaces yet that passes a key on for an
/// instance whose configuration has.
#[test]
fn instances_without_workspaces_carry_nothing_for_instances_with_workspaces() {
    let site = Site::ready();
    let hop = "X-Poplarseam-Max-Servers: 1\r\nX-Poplarseam-Repeat: 0\r\n";
    let ask_as_peer = |id: &str, workspaces: &str| {
        let headers = format!("{hop}{workspaces}Content-Length");
        let text = with_key(&request("/issue/x", id, ""), ALPHA);
        let text = text.replacen("Content-Length", &headers, 1);
        exchange((site.instances[0].0, 7000).into(), &text).unwrap()
    };
    let answer = ask_as_peer("r1", "X-Poplarseam-Workspaces: 1\r\n");
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("verdict: declined"), "{answer}");
    assert_heads(&site, "r1", 0, None);
    assert_eq!(status(&ask_as_peer("r2", "")), 200);
}

/// Guards against unknown, missing, revoked or added keys that are taken for others, keys in logs and
/// dumps, and refusals that an operator can't see.
#[test]
fn keys_are_served_from_their_addition_until_their_revocation() {
    let mut site = keyed_site();
    let answer = ask(&site, "/issue/x", "r1", "", LATER);
    assert_eq!(status(&answer), 401, "{answer}");
    assert!(answer.contains("www-authenticate: Token"), "{answer}");
    assert!(answer.contains("x-request-id: r1"), "{answer}");
    assert_eq!(status(&site.ask("/issue/x", "r2", "")), 401);
    apply(&site, &keyed(6_001, &[ALPHA, LATER]));
    assert_eq!(status(&ask(&site, "/issue/x", "r3", "", LATER)), 200);
    assert_eq!(status(&ask(&site, "/issue/x", "r4", "", ALPHA)), 200);
    apply(&site, &keyed(6_002, &[LATER]));
    assert_eq!(status(&ask(&site, "/issue/x", "r5", "", ALPHA)), 401);
    assert_eq!(status(&ask(&site, "/issue/x", "r6", "", LATER)), 200);
    apply(&site, &keyed(6_003, &[]));
    assert_eq!(status(&ask(&site, "/issue/x", "r7", "", LATER)), 401);
    for id in ["r1", "r2", "r5", "r7"] {
        assert_heads(&site, id, 0, None);
    }
    let unknown = "poplarseam_denials_total{cause=\"unknown key\",workspace=\"\"}";
    assert_eq!(site.counter(0, unknown), 3);
    let missing = "poplarseam_denials_total{cause=\"no key\",workspace=\"\"}";
    assert_eq!(site.counter(0, missing), 1);
    let state = site.state(0);
    assert_eq!(state["workspaces"], json!(["alpha", "beta"]));
    let metrics = exchange(
        (site.instances[0].0, 7001).into(),
        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    site.instances[0].1.kill();
    let log = site.instances[0].1.log();
    assert!(log.contains("\"event\":\"denied\""), "{log}");
    for text in [state.to_string(), metrics.unwrap(), log] {
        for key in ALL_KEYS {
            assert!(!text.contains(key), "{text}");
            assert!(!text.contains(&digest(key.as_bytes())), "{text}");
        }
    }
}

/// Guards against a request that is sent to a server although its key was taken away while it waited.
#[test]
fn requests_whose_keys_are_revoked_while_they_wait_do_not_run() {
    let site = Site::ready();
    // No adapter can be loaded, so the request waits for one.
    let patient = |version, keys: &[&str]| {
        let mut config = keyed(version, keys);
        config["Services"][0]["Engine"]["AdapterCapacity"] = json!(0);
        config["Routes"][0]["TargetLatencyMs"] = json!(20_000);
        config["Routes"][0]["TimeoutMs"] = json!(30_000);
        config
    };
    apply(&site, &patient(6_000, &[ALPHA]));
    let text = with_key(&request("/draft/x", "r1", "m1/a3"), ALPHA);
    let text = text.replace("-Ms: 4000", "-Ms: 30000");
    let address = site.callers(0);
    let caller = std::thread::spawn(move || exchange(address, &text).unwrap_or_default());
    std::thread::sleep(POLL_INTERVAL * 4);
    site.platform.configure(&patient(6_001, &[]));
    let answer = caller.join().unwrap();
    assert_eq!(status(&answer), 401, "{answer}");
    assert_heads(&site, "r1", 0, None);
    let revoked = "poplarseam_denials_total{cause=\"key revoked\",workspace=\"alpha\"}";
    assert_eq!(site.counter(0, revoked), 1);
}

/// Guards against a retry after a key was taken away, and against a 401 that says the request has not
/// run although it has.
#[test]
fn requests_whose_keys_are_revoked_while_they_run_are_not_retried() {
    let site = Site::ready();
    let slow = |version, keys: &[&str]| {
        let mut config = keyed(version, keys);
        config["Routes"][3]["TargetLatencyMs"] = json!(2_000);
        config
    };
    apply(&site, &slow(6_000, &[ALPHA]));
    site.set_fault(&["p", "q"], Fault::Hang);
    let address = site.callers(0);
    let text = with_key(&request("/check/x", "r1", ""), ALPHA);
    let caller = std::thread::spawn(move || exchange(address, &text).unwrap_or_default());
    wait_for("the request runs", || site.run_count("r1") == 1);
    apply(&site, &slow(6_001, &[]));
    let answer = caller.join().unwrap();
    assert_eq!(status(&answer), 502, "{answer}");
    assert_heads(&site, "r1", 1, Some("alpha"));
}

/// Guards against public routes that ask for keys, or pass on keys or forged names.
#[test]
fn public_routes_are_open_and_tell_servers_no_workspace() {
    let site = keyed_site();
    assert_eq!(status(&site.ask("/open/x", "r1", "")), 200);
    assert_eq!(status(&ask(&site, "/open/x", "r2", "", "wrong")), 200);
    assert_eq!(status(&ask(&site, "/open/x", "r3", "", ALPHA)), 200);
    for id in ["r1", "r2", "r3"] {
        assert_heads(&site, id, 1, None);
    }
}

/// Guards against a change for deployments that configure no workspaces.
#[test]
fn configurations_without_workspaces_pass_headers_on() {
    let site = Site::ready();
    assert_eq!(status(&site.ask("/issue/x", "r1", "")), 200);
    assert_eq!(status(&ask(&site, "/issue/x", "r2", "", ALPHA)), 200);
    let head = &heads(&site, "r2")[0];
    assert_eq!(head["authorization"], format!("Token {ALPHA}"));
    assert_eq!(head["x-tenant-name"], "forged");
    assert_eq!(site.state(0)["workspaces"], Value::Null);
}

/// Guards against a 401, which callers don't retry, for a key that a newer configuration may have.
#[test]
fn unknown_keys_are_not_denied_by_an_instance_that_is_behind() {
    let site = keyed_site();
    announce_from_afar(&site, 7_000);
    wait_for("the news", || {
        status(&ask(&site, "/issue/x", "news", "", LATER)) == 503
    });
    let answer = ask(&site, "/issue/x", "r1", "", LATER);
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert_eq!(status(&ask(&site, "/issue/x", "r2", "", ALPHA)), 200);
    assert_eq!(status(&site.ask("/open/x", "r3", "")), 200);
    assert_heads(&site, "r1", 0, None);
}

/// Guards against an answer that is lost with its connection, or taken for that of another request,
/// since the body of its request was not read before.
#[rstest]
#[case::none(0)]
#[case::small(2)]
#[case::larger_than_buffers(LARGE_BODY)]
fn connections_are_used_again_after_a_request_without_a_key(#[case] size: usize) {
    let site = Site::ready();
    let mut config = keyed(6_000, &[ALPHA]);
    config["Limits"]["MaxBodyBytes"] = json!(LARGE_BODY);
    apply(&site, &config);
    let first = format!(
        "POST /issue/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: {size}\r\n\r\n{}",
        "x".repeat(size)
    );
    let second = with_key(&request("/issue/x", "r2", ""), ALPHA);
    let answers = exchange_in_turn(&site, &first, &second);
    assert!(answers.starts_with("HTTP/1.1 401 "), "{answers}");
    assert!(answers.contains("HTTP/1.1 200 "), "{answers}");
    assert!(answers.ends_with("done"), "{answers}");
    assert_heads(&site, "r1", 0, None);
    assert_heads(&site, "r2", 1, Some("alpha"));
}

/// Sends two requests on one connection, all of the first before its answer is read.
fn exchange_in_turn(site: &Site, first: &str, second: &str) -> String {
    let stream = TcpStream::connect(site.callers(0)).unwrap();
    (&stream).write_all(first.as_bytes()).unwrap();
    super::site::exchange_on(
        stream,
        &second.replacen("\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
        Duration::from_secs(6),
    )
    .unwrap()
}

/// Guards against a caller that is told to send a body for which it has no key.
#[test]
fn callers_without_keys_get_no_go_ahead_for_their_bodies() {
    let site = keyed_site();
    let mut stream = TcpStream::connect(site.callers(0)).unwrap();
    let head = "POST /issue/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nExpect: 100-continue\r\n\
                Content-Length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(4)))
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
    assert!(!answer.contains("100 Continue"), "{answer}");
}
