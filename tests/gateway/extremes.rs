//! Numbers from outside over their whole range: times that follow from them can be added up.

use super::build::{backend, deployment, generation, ms, worker};
use super::platform::{configuration, settings_file};
use hyper::{HeaderMap, Request, Response};
use poplarseam::decide::balance::{Balancer, Need};
use poplarseam::decide::fleet::Fleet;
use poplarseam::platform::{config, request, settings};
use poplarseam::world::time::LONGEST;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;

/// Numbers at the ends of the ranges that a field may have.
const EXTREMES: [&str; 12] = [
    "0",
    "-1",
    "1e-300",
    "1e19",
    "1e300",
    "-1e300",
    "4294967295",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999",
    "0.5",
];

/// The clock of a process that has run for long.
const LATE: Duration = LONGEST;

/// Any number in the notation of a header or of JSON.
fn number() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::sample::select(EXTREMES.to_vec()).prop_map(str::to_owned),
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        proptest::num::f64::NORMAL.prop_map(|number| number.to_string()),
    ]
}

fn answer(headers: &[(&str, String)]) -> hyper::http::response::Parts {
    let mut answer = Response::builder().status(503).header("x-request-id", "r");
    for (name, value) in headers {
        answer = answer.header(*name, value);
    }
    answer.body(()).unwrap().into_parts().0
}

proptest! {
    /// Guards against a server's answer that is lost because a time in its head is out of range.
    #[test]
    fn times_in_answers_can_be_added_to_any_moment(number in number(), other in number()) {
        let head = answer(&[
            ("keep-alive", format!("timeout={number}, max=7")),
            ("retry-after", number.clone()),
            ("x-instance-load", format!("{number},{other},8,{number}")),
        ]);
        let decoded = request::decode_answer("r", &head, false);
        let times = [decoded.keeps, decoded.notice.rest];
        for time in times.into_iter().flatten() {
            prop_assert!(time <= LONGEST, "{time:?}");
            prop_assert!(LATE.checked_add(time * 1_000).is_some());
        }
        if let Some(load) = decoded.load {
            prop_assert!(load.running.checked_add(load.waiting).is_some());
        }
    }

    /// Guards against a caller's request that is dropped because it states too many tokens.
    #[test]
    fn numbers_in_requests_can_be_added_up(number in number(), other in number()) {
        let head = Request::builder()
            .header("host", "h")
            .header("x-request-id", "r")
            .header("x-model-name", "m1")
            .header("x-deadline-ms", &number)
            .header("x-token-usage", format!("{number},{other}"))
            .header("x-prompt-prefix", format!("1:{number},2:{other},3:{number}"));
        let (head, ()) = head.body(()).unwrap().into_parts();
        let decoded = request::decode(&head).unwrap();
        prop_assert!(decoded.patience.is_none_or(|patience| patience <= LONGEST));
        let need = Need {
            service: super::build::SERVICE.parse().unwrap(),
            generation: decoded.generation,
            draw: 7,
        };
        let mut balance = Balancer::new(&deployment("north-1"));
        balance.on_site(&super::build::site());
        balance.on_listed(backend("a", "north-1", "m1"));
        for _ in 0..3 {
            let _chosen = balance.choose(LATE, &need, |_| true);
            balance.on_sent(LATE, &worker("a"), &need);
        }
    }
}

/// Guards against a number of tokens that is too large to be read and counts as none.
#[test]
fn a_number_of_tokens_beyond_the_range_counts_as_many() {
    let mut headers = HeaderMap::new();
    let usage = format!("{},1", EXTREMES[10]);
    headers.insert("x-token-usage", usage.parse().unwrap());
    assert!(request::decode_usage(&headers).unwrap().0 > 1 << 30);
}

/// Fields of a configuration that hold numbers, as JSON pointers.
const CONFIGURATION_FIELDS: [&str; 19] = [
    "/Version",
    "/Routes/0/TimeoutMs",
    "/Routes/0/TargetLatencyMs",
    "/Routes/0/GapTargetMs",
    "/Routes/0/Priority",
    "/Routes/0/MaxAttempts",
    "/Routes/4/TrafficSplit/0/Weight",
    "/Services/0/MaxConnections",
    "/Services/0/Engine/Slots",
    "/Services/0/Engine/KvCapacity",
    "/Services/0/Engine/WeightsMb",
    "/Services/0/Engine/AdapterCapacity",
    "/Services/0/Engine/LoadsPerS",
    "/Services/0/Engine/Models/0/WeightsMb",
    "/Services/0/Engine/Models/0/LoadTimeS",
    "/Services/0/Engine/Models/0/AdapterSizeMb",
    "/Limits/MaxBodyBytes",
    "/Limits/IdleTimeoutMs",
    "/Limits/HeaderTimeoutMs",
];

/// Sets a field, which is added if it is missing.
fn set(document: &mut Value, pointer: &str, number: &Value) {
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap()[field] = number.clone();
}

/// Guards against a configuration with a number out of range that ends the task that follows the
/// configurations: none was ever put in force after it.
#[test]
fn a_configuration_with_any_number_is_applied_or_passed_over() {
    for field in CONFIGURATION_FIELDS {
        for number in EXTREMES {
            let mut document = configuration();
            let Ok(number) = serde_json::from_str::<Value>(number) else {
                continue;
            };
            set(&mut document, field, &number);
            let Ok(site) = config::decode(document.to_string().as_bytes()) else {
                continue;
            };
            let times = site
                .routes
                .iter()
                .flat_map(|route| [route.timeout, route.target, route.longest_pause]);
            let times = times.chain([site.limits.idle]).chain(site.limits.head);
            assert!(
                times.max() <= Some(LONGEST),
                "{field} {number}: {:?}",
                site.routes
            );
            let service = site.services.keys().next().unwrap().clone();
            let served = |id: &str| {
                let mut served = backend(id, "north-1", "m1");
                served.service = service.clone();
                served
            };
            let mut balance = Balancer::new(&deployment("north-1"));
            balance.on_site(&site);
            balance.on_listed(served("a"));
            let need = Need {
                service: service.clone(),
                generation: Some(generation("m1/a1", 2_000)),
                draw: 7,
            };
            let _chosen = balance.choose(LATE, &need, |_| true);
            balance.on_sent(LATE, &worker("a"), &need);
            let _chosen = balance.choose(LATE, &need, |_| true);
            let mut fleet = Fleet::new(&deployment("north-1"));
            fleet.on_site(&site);
            fleet.on_listed(LATE, served("a"), true);
            fleet.plan(LATE + ms(1_000));
            fleet.due_tasks(LATE + ms(1_000), |_| true);
        }
    }
}

/// Guards against times that are out of range in the operator's configuration and refused, although they
/// mean that there is no limit.
#[rstest]
#[case::timeout("/Routes/0/TimeoutMs")]
#[case::target("/Routes/0/TargetLatencyMs")]
#[case::pause("/Routes/0/GapTargetMs")]
#[case::load("/Services/0/Engine/Models/0/LoadTimeS")]
fn a_configuration_with_an_endless_time_is_applied(#[case] field: &str) {
    let mut document = configuration();
    set(&mut document, field, &json!(1e300));
    assert!(config::decode(document.to_string().as_bytes()).is_ok());
}

/// Guards against settings out of range with which the program ended in a stack trace, or that were taken
/// as right.
#[rstest]
fn settings_out_of_range_are_refused_by_name(
    #[values(
        "GraceS",
        "LeaseMs",
        "BudgetWindowS",
        "CeilingWindowS",
        "ConfigApplyMs",
        "RevokeMs",
        "QuotaWindowS",
        "RetryBudgetRatio",
        "BudgetExtra",
        "QuotaOverage",
        "QuotaSlack"
    )]
    field: &str,
    #[values("1e300", "-5", "18446744073709551615")] number: &str,
) {
    let mut file = settings_file();
    file["Bounds"]["QuotaWindowS"] = json!(8);
    file["Bounds"][field] = serde_json::from_str(number).unwrap();
    let error = settings::decode(&file.to_string()).unwrap_err().to_string();
    assert!(error.contains(field), "{error}");
    assert!(error.contains("let the platform write it anew"), "{error}");
}
