//! Decoding and encoding of the platform's formats.

use super::build::{holdings, model, ms, target, worker};
use hyper::{HeaderMap, Request, Response, StatusCode};
use poplarseam::platform::{config, request, rows, settings, worker as worker_format};
use poplarseam::world::deployment::Machine;
use poplarseam::world::message::{Notice, Outcome, PartId};
use poplarseam::world::order::{Action, Order};
use poplarseam::world::site::Repeat;
use poplarseam::world::table::Txn;
use poplarseam::world::unit::{Bytes, Era, Fence, Incarnation, Rate};
use rstest::rstest;
use serde_json::{Value, json};

pub fn settings_file() -> Value {
    json!({
        "NodeName": "edge-1", "Zone": "north-1", "Zones": {"north-1": "north"}, "Ip": "127.0.0.1",
        "Listen": {"Frontend": "127.0.0.1:1", "Ready": "127.0.0.1:2"}, "InternalPorts": [10, 20],
        "Bounds": {"GraceS": 8, "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "BudgetExtra": 56,
            "BudgetWindowS": 10, "CeilingWindowS": 5},
        "Platform": {"Address": "127.0.0.1:3"}, "SomethingNew": 1,
    })
}

#[test]
fn settings_are_read_and_new_fields_are_ignored() {
    let read = settings::decode(&settings_file().to_string()).unwrap();
    assert_eq!(read.instance.as_str(), "edge-1");
    assert_eq!(read.peers.port(), 10);
    assert_eq!(read.bounds.lease, ms(3_000));
}

/// Guards against settings of a platform that states only one of the limits, or none.
#[rstest]
#[case::both(json!({"MemoryMb": 160, "MaxFds": 4100, "New": 1}), Some(160_000_000), Some(4_100))]
#[case::one(json!({"MaxFds": 4100}), None, Some(4_100))]
#[case::zero_is_unknown(json!({"MemoryMb": 0}), None, None)]
fn limits_of_the_machine_are_read(
    #[case] limits: Value,
    #[case] memory: Option<u64>,
    #[case] descriptors: Option<u64>,
) {
    let mut file = settings_file();
    assert_eq!(
        settings::decode(&file.to_string()).unwrap().machine,
        Machine::default()
    );
    file["Limits"] = limits;
    let machine = settings::decode(&file.to_string()).unwrap().machine;
    let memory = memory.map(Bytes);
    assert_eq!(
        machine,
        Machine {
            memory,
            descriptors
        }
    );
}

#[rstest]
#[case::missing("Listen", Value::Null)]
#[case::invalid_field_type("Bounds", json!({"GraceS": "eight"}))]
#[case::one_port("InternalPorts", json!([10, 10]))]
fn wrong_settings_name_the_file_and_the_remedy(#[case] field: &str, #[case] value: Value) {
    let mut file = settings_file();
    file[field] = value;
    let error = settings::decode(&file.to_string()).unwrap_err().to_string();
    assert!(error.contains("POPLARSEAM_SETTINGS"), "{error}");
    assert!(error.contains("let the platform write it anew"), "{error}");
}

pub fn configuration() -> Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({"Name": name, "Hostname": "h", "PathPrefix": format!("/{name}/"), "Type": kind,
            "TimeoutMs": 5000, "TargetLatencyMs": 800, "Priority": 1, "Service": "s",
            "MaxAttempts": 2, "Resumable": resumable})
    };
    let mut split = route("split", "safe", false);
    split["Service"] = Value::Null;
    split["TrafficSplit"] = json!([{"Service": "s", "Weight": 90}, {"Service": "t", "Weight": 10}]);
    json!({
        "Version": 7,
        "Routes": [route("a", "streaming", true), route("b", "streaming", false),
            route("c", "unsafe", false), route("a/deep", "safe", false), split],
        "Services": [{"Name": "s", "MaxConnections": 370, "Engine": {"Slots": 64,
            "KvCapacity": 1000, "WeightsMb": 200.5, "AdapterCapacity": 8, "LoadsPerS": 1.6,
            "Models": [{"Name": "m1", "WeightsMb": 65.1, "LoadTimeS": 1.2, "Adapters": 3,
                "AdapterSizeMb": 0.5}]}}],
        "Limits": {"MaxHeaderBytes": 100, "MaxBodyBytes": 200, "IdleTimeoutMs": 15000},
    })
}

#[test]
fn a_configuration_is_decoded() {
    let site = config::decode(configuration().to_string().as_bytes()).unwrap();
    assert_eq!(site.version.0, 7);
    let repeat = |path: &str| site.route("h", path).unwrap().repeat;
    assert_eq!(repeat("/a/x"), Repeat::Resume);
    assert_eq!(repeat("/b/x"), Repeat::Stream);
    assert_eq!(repeat("/c/x"), Repeat::Never);
    assert_eq!(repeat("/a/deep/x"), Repeat::Safe);
    assert!(site.route("h", "/none/").is_none());
    assert!(site.route("other", "/a/").is_none());
    let engine = site
        .services
        .values()
        .next()
        .unwrap()
        .engine
        .as_ref()
        .unwrap();
    assert_eq!(engine.memory, Bytes(200_500_000));
    assert_eq!(engine.models[&model("m1")].adapter_size, Bytes(500_000));
}

#[test]
fn traffic_is_split_by_weight() {
    let site = config::decode(configuration().to_string().as_bytes()).unwrap();
    let route = site.route("h", "/split/").unwrap();
    assert_eq!(route.pick_service(0.5).unwrap().as_str(), "s");
    assert_eq!(route.pick_service(0.95).unwrap().as_str(), "t");
    assert_eq!(route.pick_service(1.0).unwrap().as_str(), "t");
}

fn entry() -> Value {
    json!({"Service": "s", "Address": "127.0.0.1:1", "Zone": "north-1", "Slots": 64,
        "State": "ready", "Sequence": 412, "born": 1_785_548_337_053_u64,
        "Models": [{"Name": "m1", "Version": 1, "Adapters": ["a1"]}],
        "Available": {"InMemory": ["m1"], "OnDisk": ["m1", "m2"]}})
}

#[test]
fn a_server_entry_is_decoded() {
    let read = worker_format::decode("i-1", entry().to_string().as_bytes()).unwrap();
    assert_eq!(read.holdings, holdings("m1/a1"));
    assert_eq!(read.copies, [model("m1"), model("m2")].into());
    assert!(!read.leaving);
}

#[rstest]
#[case::missing("Address", Value::Null)]
#[case::wrong_type("Slots", json!("many"))]
#[case::unknown_state("State", json!("dreaming"))]
#[case::fractional_milliseconds("born", json!(1.5))]
fn a_malformed_server_entry_is_rejected(#[case] field: &str, #[case] value: Value) {
    let mut entry = entry();
    entry[field] = value;
    let error = worker_format::decode("i-1", entry.to_string().as_bytes()).unwrap_err();
    assert!(error.to_string().contains("servers/i-1"), "{error}");
}

#[test]
fn an_order_encodes_its_expected_count_and_fencing_token() {
    let order = Order {
        worker: worker("i-1"),
        boot: Incarnation(1),
        action: Action::Load(target("m1/a3")),
        expected: 2,
        holder: "edge-1".parse().unwrap(),
        fence: Fence(41),
    };
    let body: Value = serde_json::from_slice(&worker_format::encode_order(&order)).unwrap();
    let wanted = json!({"Operation": "load", "Model": "m1", "Adapter": "a3", "Expected": 2,
        "Holder": "edge-1", "FencingToken": 41});
    assert_eq!(body, wanted);
}

#[test]
fn reserved_and_hop_by_hop_headers_are_replaced() {
    let head = Request::builder()
        .header("host", "h")
        .header("x-request-id", "r1")
        .header("x-pin-ms", "4000")
        .header("x-hold-request", "1")
        .header("kv-from", "127.0.0.1:1/x")
        .header("connection", "close, x-odd")
        .header("x-odd", "1")
        .header("x-model-name", "m1/a1")
        .header("x-deadline-ms", "5000");
    let (head, ()) = head.body(()).unwrap().into_parts();
    let id = worker("i-1");
    let stamp = request::Stamp {
        worker: &id,
        remaining: ms(4_321),
        priority: Some(1),
        identity: request::Identity::Unchecked,
        last_event: None,
    };
    let sent = request::encode(&head.headers, &stamp);
    for dropped in [
        "x-pin-ms",
        "x-hold-request",
        "kv-from",
        "connection",
        "x-odd",
    ] {
        assert!(!sent.contains_key(dropped), "{dropped}");
    }
    let value = |name: &str| sent[name].to_str().unwrap().to_owned();
    assert_eq!(value("x-expected-instance"), "i-1");
    assert_eq!(value("x-deadline-ms"), "4321");
    assert_eq!(value("x-request-priority"), "1");
    assert_eq!(value("x-model-name"), "m1/a1");
}

#[test]
fn a_request_is_decoded() {
    let head = Request::builder()
        .header("host", "h:80")
        .header("x-request-id", "r1")
        .header("x-model-name", "m1/a1")
        .header("x-token-usage", "1460,80")
        .header("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410");
    let (head, ()) = head.body(()).unwrap().into_parts();
    let read = request::decode(&head).unwrap();
    let generation = read.generation.unwrap();
    assert_eq!(read.host, "h");
    assert_eq!((generation.prompt.0, generation.output.0), (1_460, 80));
    assert_eq!(generation.parts.len(), 2);
    assert_eq!(generation.parts[0].id, PartId(0x5c1e_07a2));
}

#[rstest]
#[case::signed(200, &[("x-request-id", "r1"), ("x-response-signature", "s")], Outcome::Success)]
#[case::unsigned(200, &[("x-request-id", "r1")], Outcome::Foreign)]
#[case::of_another_request(200, &[("x-request-id", "r2"), ("x-response-signature", "s")], Outcome::Foreign)]
#[case::without_id(200, &[("x-response-signature", "s")], Outcome::Foreign)]
#[case::encoded(200, &[("x-request-id", "r1"), ("x-response-signature", "s"), ("content-encoding", "gzip")], Outcome::Foreign)]
#[case::full(503, &[("x-not-executed", "1")], Outcome::Full)]
#[case::another_worker(421, &[("x-instance-id", "i-2")], Outcome::Misdirected)]
#[case::failed(500, &[("x-request-id", "r1")], Outcome::Failed)]
#[case::unavailable_but_may_have_run(503, &[("x-request-id", "r1")], Outcome::Failed)]
#[case::rejected(400, &[("x-request-id", "r1")], Outcome::Rejected)]
#[case::of_no_class(700, &[("x-request-id", "r1"), ("x-response-signature", "s")], Outcome::Foreign)]
#[case::of_no_class_not_run(999, &[("x-request-id", "r1"), ("x-not-executed", "1")], Outcome::Foreign)]
#[case::informational(199, &[("x-request-id", "r1"), ("x-not-executed", "1")], Outcome::Foreign)]
fn answers_are_classified_by_outcome(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[case] outcome: Outcome,
) {
    let mut head = Response::builder().status(status);
    for (name, value) in headers {
        head = head.header(*name, *value);
    }
    let (head, ()) = head.body(()).unwrap().into_parts();
    assert_eq!(request::decode_answer("r1", &head, false).outcome, outcome);
}

/// Guards against rate limits and departures that a server in trouble names in an answer that is none.
#[test]
fn an_answer_with_an_invalid_status_says_nothing_about_its_server() {
    let mut headers = HeaderMap::new();
    headers.insert("server-leaving", "1".parse().unwrap());
    headers.insert("server-limit", "0".parse().unwrap());
    let notice = |status| request::decode_notice(StatusCode::from_u16(status).unwrap(), &headers);
    assert_eq!(notice(700), Notice::default());
    assert!(notice(200).leaves);
}

/// Guards against taking a refusal of an earlier request, written once more, for one of this request.
/// Only on a new connection can there be no earlier request.
#[test]
fn an_answer_without_an_id_is_foreign_on_a_reused_connection() {
    for status in [200, 400, 408, 421, 429, 503] {
        let head = Response::builder().status(status);
        let (head, ()) = head
            .header("x-not-executed", "1")
            .body(())
            .unwrap()
            .into_parts();
        let outcome = request::decode_answer("r1", &head, true).outcome;
        assert_eq!(outcome, Outcome::Foreign, "{status}");
    }
}

/// Guards against taking a late answer to an earlier request for the answer to this one. Such an
/// answer may say `x-not-executed`, but that concerns the other request.
#[test]
fn an_answer_with_the_id_of_another_request_is_foreign_at_any_status() {
    for status in [200, 400, 421, 429, 500, 503] {
        let head = Response::builder().status(status);
        let head = head.header("x-request-id", "r0");
        let head = head.header("x-not-executed", "1");
        let (head, ()) = head.body(()).unwrap().into_parts();
        let outcome = request::decode_answer("r1", &head, false).outcome;
        assert_eq!(outcome, Outcome::Foreign, "{status}");
    }
}

#[rstest]
#[case::whole_seconds(503, &["3"], Some(3_000), false)]
#[case::fractional_seconds(503, &["0.25"], Some(250), false)]
#[case::longest(503, &["1", "2.5"], Some(2_500), false)]
#[case::negative(503, &["-1"], None, true)]
#[case::text(503, &["soon"], None, true)]
#[case::not_a_number(503, &["NaN"], None, true)]
#[case::one_of_two_is_malformed(503, &["x", "2"], Some(2_000), true)]
#[case::not_full(500, &["3"], None, false)]
#[case::none(503, &[], None, false)]
fn retry_after_is_read_from_503_answers(
    #[case] status: u16,
    #[case] values: &[&str],
    #[case] rest: Option<u64>,
    #[case] is_unclear: bool,
) {
    let mut head = Response::builder().status(status);
    for value in values {
        head = head.header("retry-after", *value);
    }
    let (head, ()) = head.body(()).unwrap().into_parts();
    let notice = request::decode_notice(head.status, &head.headers);
    assert_eq!(notice.rest, rest.map(ms));
    assert_eq!(notice.is_rest_unclear, is_unclear);
}

#[rstest]
#[case::decimal(&["1.9"], Some(1.9), false)]
#[case::zero(&["0"], Some(0.0), false)]
#[case::lowest(&["3", "2.5"], Some(2.5), false)]
#[case::negative(&["-1"], None, true)]
#[case::text(&["few"], None, true)]
#[case::not_a_number(&["NaN"], None, true)]
#[case::infinite(&["inf"], None, true)]
#[case::one_of_two_is_malformed(&["x", "2"], Some(2.0), true)]
#[case::none(&[], None, false)]
fn server_limit_headers_are_read(
    #[case] values: &[&str],
    #[case] limit: Option<f64>,
    #[case] is_unclear: bool,
) {
    let mut head = Response::builder();
    for value in values {
        head = head.header("server-limit", *value);
    }
    let (head, ()) = head.body(()).unwrap().into_parts();
    let notice = request::decode_notice(head.status, &head.headers);
    assert_eq!(notice.limit, limit.map(Rate));
    assert_eq!(notice.is_limit_unclear, is_unclear);
}

#[rstest]
#[case("1", true)]
#[case("0", false)]
#[case("yes", false)]
fn server_leaving_headers_are_read(#[case] value: &str, #[case] leaves: bool) {
    let head = Response::builder().header("server-leaving", value);
    let (head, ()) = head.body(()).unwrap().into_parts();
    let notice = request::decode_notice(head.status, &head.headers);
    assert_eq!(notice.leaves, leaves);
}

#[rstest]
#[case("timeout=10", Some(10))]
#[case("timeout=7, max=100", Some(7))]
#[case("max=100", None)]
#[case("timeout=soon", None)]
fn keep_alive_timeouts_are_read(#[case] text: &str, #[case] seconds: Option<u64>) {
    let head = Response::builder().header("keep-alive", text);
    let (head, ()) = head.body(()).unwrap().into_parts();
    let keeps = request::decode_answer("r1", &head, false).keeps;
    assert_eq!(keeps, seconds.map(|seconds| ms(seconds * 1_000)));
}

#[test]
fn a_transaction_encodes_checks_puts_and_removals() {
    let txn = Txn::default()
        .put("lease", 3, json!({"a": 1}))
        .put("old", 4, Value::Null);
    let body: Value = serde_json::from_slice(&rows::encode_commit(&txn)).unwrap();
    assert_eq!(body["Expected"][0]["Ver"], 3);
    assert_eq!(body["Put"][0]["Value"], "eyJhIjoxfQ==");
    assert_eq!(body["Remove"][0]["Key"], "old");
}

#[test]
fn a_page_of_rows_is_decoded() {
    let body = json!({"Rows": [{"Key": "a", "Value": "eyJhIjoxfQ==", "Ver": 3},
        {"Key": "b", "Ver": 4, "Tombstone": true}, {"Key": "c", "Value": "?", "Ver": 5}],
        "HasMore": true, "Ver": 9, "NowMs": 1});
    let mut headers = HeaderMap::new();
    headers.insert("store-era", "2".parse().unwrap());
    let page = rows::decode_page(&headers, body.to_string().as_bytes()).unwrap();
    assert!(page.more);
    assert_eq!(page.version.number, 9);
    assert_eq!(page.version.era, Some(Era(2)));
    assert_eq!(page.rows[0].value.as_deref(), Some(&b"{\"a\":1}"[..]));
    assert_eq!(page.rows[1].value, None);
    assert_eq!(page.rows[2].value, Some(Vec::new()));
}

/// Guards against a list that can no longer be read because the last key of a page is no valid part of
/// a path.
#[rstest]
#[case("a b")]
#[case("a&b=c#d")]
#[case("\u{e9}")]
fn keys_are_encoded_in_paths(#[case] key: &str) {
    let path = rows::read_path("servers", key);
    let uri: hyper::Uri = path.parse().unwrap();
    let mut parameters = uri.query().unwrap().split('&');
    let from = parameters.find_map(|it| it.strip_prefix("From=")).unwrap();
    assert!(
        !from.contains(['#', '=', ' ']) && from.contains('%'),
        "{from}"
    );
}

#[test]
fn report_tells_adapters_on_their_way() {
    let body = json!({"Phase": "unified", "Models": [{"Name": "m1", "Adapters": ["a1"]}], "Busy": false,
        "Sequence": 2, "Incoming": ["m1/a2@1", 7]});
    let report = worker_format::decode_report(body.to_string().as_bytes()).unwrap();
    assert_eq!(report.incoming, [target("m1/a2")]);
}
