//! Who is turned away while servers are too busy.

use super::build::{SERVICE, ms, site};
use poplarseam::decide::shed::refuses;
use poplarseam::world::site::{Repeat, Route, Site};
use rstest::rstest;
use std::time::Duration;

fn route(name: &str, target_ms: u64, priority: u8) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: "/".into(),
        repeat: Repeat::Stream,
        timeout: ms(15_000),
        target: ms(target_ms),
        longest_pause: ms(0),
        priority,
        split: vec![(SERVICE.parse().unwrap(), 1)],
        most_workers: 1,
    }
}

fn routes() -> Site {
    Site {
        routes: vec![
            route("draft", 800, 0),
            route("lookup", 1_000, 1),
            route("background", 4_000, 2),
        ],
        ..site()
    }
}

fn refused(site: &Site, name: &str, expected: Duration) -> bool {
    let route = site.routes.iter().find(|route| route.name == name).unwrap();
    refuses(site, route, expected).is_some()
}

/// Load: demand moves to a model with too few copies, and a queue of seconds builds up there.
#[rstest]
#[case(900, &[])]
#[case(3_900, &[])]
#[case(4_100, &["background"])]
fn nobody_urgent_is_refused_before_the_background(
    #[case] expected_ms: u64,
    #[case] names: &[&str],
) {
    let site = routes();
    let all = ["draft", "lookup", "background"];
    let refused = all.map(|name| refused(&site, name, ms(expected_ms)));
    assert_eq!(refused, all.map(|name| names.contains(&name)));
}

/// Load: a burst of the least urgent kind, tenfold.
#[test]
fn a_burst_of_the_least_urgent_kind_is_held_to_its_own_target() {
    let mut site = routes();
    site.routes[2].target = ms(500);
    assert!(refused(&site, "background", ms(700)));
    assert!(!refused(&site, "draft", ms(700)));
    assert!(!refused(&site, "lookup", ms(700)));
    assert!(refused(&site, "lookup", ms(1_100)));
}

#[test]
fn a_refused_caller_is_told_when_the_queue_will_be_short_enough() {
    let site = routes();
    let back = |ms: u64| refuses(&site, &site.routes[2], Duration::from_millis(ms));
    assert_eq!(back(5_000), Some(ms(1_000)));
    assert_eq!(back(4_001), Some(ms(300)));
    assert_eq!(back(60_000), Some(ms(2_000)));
}
