//! Decoding and encoding of callers' keys and of workspaces.

use super::build::{ms, worker};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use poplarseam::platform::config;
use poplarseam::platform::request::{self, Identity, Stamp};
use poplarseam::wire::hop::{Hop, Verdict};
use poplarseam::wire::key::digest;
use poplarseam::world::key_index::KeyIndex;
use poplarseam::world::site::Site;
use poplarseam::world::unit::{Rate, Tokens};
use poplarseam::world::workspace::{Quota, Unit};
use rstest::rstest;
use serde_json::{Value, json};

fn headers(pairs: &[(&'static str, &[u8])]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_bytes(value).unwrap())
    });
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(name, value);
    }
    headers
}

/// Guards against keys that are taken for others, or missed, because of how the header is written.
#[rstest]
#[case::usual(&["Token k1"], Some("k1"))]
#[case::lower_case(&["token k1"], Some("k1"))]
#[case::upper_case(&["TOKEN k1"], Some("k1"))]
#[case::more_space(&["Token  \t k1"], Some("k1"))]
#[case::space_within(&["Token k 1"], Some("k 1"))]
#[case::case_of_the_key(&["Token K1"], Some("K1"))]
#[case::not_ascii(&["Token k\u{e9}"], Some("k\u{e9}"))]
#[case::scheme_only(&["Token"], None)]
#[case::no_key(&["Token "], None)]
#[case::no_space(&["Tokenk1"], None)]
#[case::no_scheme(&["k1"], None)]
#[case::other_scheme(&["Bearer k1"], None)]
#[case::empty(&[""], None)]
#[case::two(&["Token k1", "Token k2"], None)]
#[case::none(&[], None)]
fn keys_are_read_from_requests(#[case] values: &[&str], #[case] key: Option<&str>) {
    let values = values
        .iter()
        .map(|value| ("authorization", value.as_bytes()));
    let read = request::key_digest(&headers(&values.collect::<Vec<_>>()));
    assert_eq!(read, key.map(|key| digest(key.as_bytes())));
}

fn sent(identity: Identity<'_>) -> HeaderMap {
    let id = worker("i-1");
    let caller = headers(&[
        ("authorization", b"Token k1"),
        ("x-tenant-name", b"forged"),
        ("x-tenant-name", b"forged again"),
    ]);
    let stamp = Stamp {
        worker: &id,
        remaining: ms(1_000),
        priority: Some(7),
        identity,
        last_event: None,
    };
    request::encode(&caller, &stamp)
}

fn values<'a>(headers: &'a HeaderMap, name: &str) -> Vec<&'a [u8]> {
    let values = headers.get_all(name).iter();
    values.map(HeaderValue::as_bytes).collect()
}

/// Guards against keys or forged names of workspaces that reach servers.
#[test]
fn servers_get_the_name_of_the_workspace_in_place_of_the_key() {
    let head = sent(Identity::Checked(Some("b\u{e9}ta")));
    assert!(values(&head, "authorization").is_empty());
    assert_eq!(values(&head, "x-tenant-name"), ["b\u{e9}ta".as_bytes()]);
    assert_eq!(values(&head, "x-request-priority"), [b"7"]);
    let head = sent(Identity::Checked(None));
    assert!(values(&head, "authorization").is_empty());
    assert!(values(&head, "x-tenant-name").is_empty());
}

/// Guards against a change for configurations without workspaces.
#[test]
fn headers_pass_unchanged_without_workspaces() {
    let head = sent(Identity::Unchecked);
    assert_eq!(values(&head, "authorization"), [b"Token k1"]);
    assert_eq!(values(&head, "x-tenant-name").len(), 2);
}

/// Guards against a carrier that gets no key to check, or a forged name that an instance of the
/// previous release would pass on.
#[test]
fn carriers_get_the_key_and_no_forged_name() {
    let caller = headers(&[("authorization", b"Token k1"), ("x-tenant-name", b"forged")]);
    let passed = |identity| request::encode_passed_on(&caller, ms(1), "r1", None, identity);
    let head = passed(Identity::Checked(Some("alpha")));
    assert_eq!(values(&head, "authorization"), [b"Token k1"]);
    assert_eq!(values(&head, "x-tenant-name"), [b"alpha"]);
    let head = passed(Identity::Checked(None));
    assert!(values(&head, "x-tenant-name").is_empty());
    let head = passed(Identity::Unchecked);
    assert_eq!(values(&head, "x-tenant-name"), [b"forged"]);
}

/// Guards against requests of the previous release, whose instances don't state workspaces, being
/// taken for unreadable.
#[test]
fn hops_say_whether_the_sender_has_workspaces() {
    let hop = Hop {
        max_servers: 2,
        is_repeat: false,
        has_workspaces: true,
    };
    let mut headers = HeaderMap::new();
    hop.write(&mut headers);
    assert_eq!(Hop::take(&mut headers.clone()), Some(hop));
    headers.remove("x-poplarseam-workspaces");
    let taken = Hop::take(&mut headers).unwrap();
    assert!(!taken.has_workspaces);
    assert!(headers.is_empty(), "{headers:?}");
}

/// Guards against instances of the previous release, which know only `declined`, that take a denial
/// for a request that may have run; and against a carrier left out because of one key.
#[test]
fn denials_for_keys_are_a_kind_of_declining() {
    let mut headers = HeaderMap::new();
    Verdict::KeyDeclined.write(&mut headers);
    assert_eq!(values(&headers, "x-poplarseam-verdict"), [b"declined"]);
    let mut of_a_server = headers.clone();
    Verdict::Answer.write(&mut of_a_server);
    assert_eq!(Verdict::take(&mut of_a_server), Some(Verdict::Answer));
    assert_eq!(Verdict::take(&mut headers), Some(Verdict::KeyDeclined));
    assert!(headers.is_empty(), "{headers:?}");
    Verdict::Declined.write(&mut headers);
    assert_eq!(Verdict::take(&mut headers), Some(Verdict::Declined));
}

fn decode(tenants: &Value) -> poplarseam::Result<Site> {
    let configuration = json!({"Version": 1, "Routes": [], "Services": [], "Tenants": tenants,
        "Limits": {"MaxHeaderBytes": 100, "MaxBodyBytes": 200, "IdleTimeoutMs": 15000}});
    config::decode(configuration.to_string().as_bytes())
}

#[test]
fn tenants_are_decoded() {
    let site = decode(&json!([
        {"Name": "alpha", "ApiKeys": ["k1", "k2"], "Priority": 3, "Unit": "token_metering",
            "PlainTokens": 50, "RatePerS": 4200.5, "Burst": 8400},
        {"Name": "beta", "ApiKeys": null, "RatePerS": 0}]));
    let workspaces = site.unwrap().workspaces.unwrap();
    let alpha = workspaces.of_key(&digest(b"k2")).unwrap();
    assert_eq!((alpha.name.as_str(), alpha.priority), ("alpha", Some(3)));
    let quota = Quota {
        rate: Rate(4_200.5),
        burst: 8_400.0,
        unit: Unit::Tokens { plain: Tokens(50) },
    };
    assert_eq!(alpha.quota, Some(quota));
    let beta = workspaces.named("beta").unwrap();
    assert_eq!((beta.priority, beta.quota), (None, None));
    assert!(workspaces.of_key(&digest(b"k3")).is_none());
}

/// Guards against a missing list of tenants being taken for an empty one, which refuses every caller.
#[test]
fn configurations_without_tenants_have_no_workspaces() {
    assert!(decode(&Value::Null).unwrap().workspaces.is_none());
    assert!(decode(&json!([])).unwrap().workspaces.is_some());
}

/// Guards against keys in the error about an unreadable tenant, which is logged.
#[rstest]
#[case::not_a_list(json!({"Name": "alpha", "ApiKeys": "secret"}))]
#[case::not_strings(json!({"Name": "alpha", "ApiKeys": [["secret"]]}))]
#[case::an_object(json!({"Name": "alpha", "ApiKeys": {"secret": "secret"}}))]
#[case::bad_name(json!({"Name": "a\nb", "ApiKeys": ["secret"]}))]
#[case::no_name(json!({"Name": "", "ApiKeys": ["secret"]}))]
fn unreadable_tenants_are_reported_without_their_keys(#[case] tenant: Value) {
    let error = decode(&json!([tenant])).unwrap_err().to_string();
    assert!(!error.contains("secret"), "{error}");
    assert!(error.contains("write it anew"), "{error}");
}

/// Guards against digests in debug output and dumps.
#[test]
fn digests_are_hidden() {
    let digest = digest(b"k1");
    let mut index = KeyIndex::default();
    assert_eq!(index.insert(&digest.to_uppercase(), 1), None);
    assert_eq!(index.insert(&digest, 2), Some(1));
    assert_eq!(index.owner(&digest), Some(&2));
    assert!(!format!("{index:?}").contains(&digest));
    let site = decode(&json!([{"Name": "alpha", "ApiKeys": ["k1"]}])).unwrap();
    assert!(!format!("{site:?}").contains(&digest), "{site:?}");
    let dump = serde_json::to_string(&site).unwrap();
    assert!(dump.contains("alpha") && !dump.contains(&digest), "{dump}");
}
