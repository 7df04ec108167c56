//! Demand as instances tell it.

use super::build::{model, ms, target};
use poplarseam::decide::appetite::Appetite;
use poplarseam::decide::tally::Source;
use poplarseam::world::unit::Incarnation;

fn asked(told: &[(u64, u64)]) -> f64 {
    let mut appetite = Appetite::default();
    appetite.tick(ms(0));
    for (incarnation, total) in told {
        let source = Source {
            instance: "one".parse().unwrap(),
            is_sum: false,
        };
        appetite.on_told(
            ms(100),
            &source,
            Incarnation(*incarnation),
            target("m1"),
            *total,
        );
    }
    appetite.tick(ms(1_000));
    appetite.of_model(&model("m1"), ms(0))
}

#[test]
fn totals_out_of_order_count_once() {
    assert!((asked(&[(1, 100), (1, 300), (1, 200), (1, 300)]) - asked(&[(1, 300)])).abs() < 1e-9);
}

#[test]
fn a_restarted_instance_counts_from_nothing() {
    assert!((asked(&[(1, 300), (2, 100)]) - asked(&[(1, 400)])).abs() < 1e-9);
}

#[test]
fn a_total_from_before_a_restart_is_not_taken() {
    assert!((asked(&[(2, 100), (1, 300)]) - asked(&[(2, 100)])).abs() < 1e-9);
}

#[test]
fn demand_that_ends_is_forgotten_slowly() {
    let mut appetite = Appetite::default();
    appetite.on_asked(ms(0), target("m1/a1"), 1_000);
    appetite.tick(ms(1_000));
    let busy = appetite.of_model(&model("m1"), ms(0));
    appetite.tick(ms(2_000));
    let later = appetite.of_model(&model("m1"), ms(0));
    assert!(busy > 0.0 && later > busy / 2.0 && later < busy);
    assert!(appetite.is_asked(ms(9_000), &model("m1")));
    assert!(!appetite.is_asked(ms(11_000), &model("m1")));
}

/// Load: demand moves to another model over five seconds, whose loads take as long.
#[test]
fn a_rise_is_expected_to_go_on_while_a_load_takes() {
    let mut appetite = Appetite::default();
    appetite.tick(ms(0));
    for step in 1..=8 {
        appetite.on_asked(ms(step * 500), target("m1"), step * 1_000);
        appetite.tick(ms(step * 500));
    }
    let now = appetite.of_model(&model("m1"), ms(0));
    let soon = appetite.of_model(&model("m1"), ms(1_000));
    let later = appetite.of_model(&model("m1"), ms(5_000));
    assert!(now < soon && soon < later, "{now} {soon} {later}");
    assert!(
        later > 20_000.0,
        "{later} of 26,000 that are asked for by then"
    );
    assert!(
        later < 40_000.0,
        "{later} of 26,000 that are asked for by then"
    );
}

#[test]
fn a_steady_demand_is_not_expected_to_rise() {
    let mut appetite = Appetite::default();
    appetite.tick(ms(0));
    for step in 1..=80 {
        appetite.on_asked(ms(step * 500), target("m1"), 1_000);
        appetite.tick(ms(step * 500));
    }
    let later = appetite.of_model(&model("m1"), ms(5_000));
    assert!((later - 2_000.0).abs() < 50.0, "{later}");
}
