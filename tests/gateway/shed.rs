//! Checks which requests are shed while servers are too busy, and the retry delay of their callers.

use super::build::{SERVICE, ms, site};
use poplarseam::decide::shed::retry_after;
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
        is_public: false,
        split: vec![(SERVICE.parse().unwrap(), 1)],
        most_workers: 1,
    }
}

fn site_with_routes() -> Site {
    Site {
        routes: vec![
            route("draft", 800, 0),
            route("lookup", 1_000, 1),
            route("background", 4_000, 2),
        ],
        ..site()
    }
}

fn is_shed(site: &Site, name: &str, expected: Duration) -> bool {
    let route = site.routes.iter().find(|route| route.name == name).unwrap();
    retry_after(site, route, expected).is_some()
}

/// Demand shifts to a model with too few copies, and a queue of several seconds builds up.
#[rstest]
#[case(900, &[])]
#[case(3_900, &[])]
#[case(4_100, &["background"])]
fn urgent_routes_are_not_shed_before_the_background_route(
    #[case] expected_ms: u64,
    #[case] shed_routes: &[&str],
) {
    let site = site_with_routes();
    let all = ["draft", "lookup", "background"];
    let is_shed = all.map(|name| is_shed(&site, name, ms(expected_ms)));
    assert_eq!(is_shed, all.map(|name| shed_routes.contains(&name)));
}

/// A tenfold burst of the least urgent requests arrives.
#[test]
fn the_least_urgent_route_is_shed_by_its_own_target() {
    let mut site = site_with_routes();
    site.routes[2].target = ms(500);
    assert!(is_shed(&site, "background", ms(700)));
    assert!(!is_shed(&site, "draft", ms(700)));
    assert!(!is_shed(&site, "lookup", ms(700)));
    assert!(is_shed(&site, "lookup", ms(1_100)));
}

#[test]
fn the_retry_delay_is_the_bounded_excess_wait() {
    let site = site_with_routes();
    let delay = |ms: u64| retry_after(&site, &site.routes[2], Duration::from_millis(ms));
    assert_eq!(delay(5_000), Some(ms(1_000)));
    assert_eq!(delay(4_001), Some(ms(300)));
    assert_eq!(delay(60_000), Some(ms(2_000)));
}
