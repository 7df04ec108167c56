//! Forecast of demand from the reported totals of requested tokens.

use super::build::{model, ms, target};
use poplarseam::decide::forecast::Forecast;
use poplarseam::decide::tally::Source;
use poplarseam::world::unit::Incarnation;

fn model_demand(totals: &[(u64, u64)]) -> f64 {
    let mut forecast = Forecast::default();
    forecast.tick(ms(0));
    for (incarnation, total) in totals {
        let source = Source {
            instance: "one".parse().unwrap(),
            is_sum: false,
        };
        forecast.on_total(
            ms(100),
            &source,
            Incarnation(*incarnation),
            target("m1"),
            *total,
        );
    }
    forecast.tick(ms(1_000));
    forecast.model_rate(&model("m1"), ms(0))
}

#[test]
fn repeated_and_reordered_totals_are_counted_once() {
    assert!(
        (model_demand(&[(1, 100), (1, 300), (1, 200), (1, 300)]) - model_demand(&[(1, 300)])).abs()
            < 1e-9
    );
}

#[test]
fn a_restarted_instance_counts_from_zero() {
    assert!((model_demand(&[(1, 300), (2, 100)]) - model_demand(&[(1, 400)])).abs() < 1e-9);
}

#[test]
fn a_total_from_an_earlier_incarnation_is_ignored() {
    assert!((model_demand(&[(2, 100), (1, 300)]) - model_demand(&[(2, 100)])).abs() < 1e-9);
}

#[test]
fn the_forecast_decays_slowly_after_demand_ends() {
    let mut forecast = Forecast::default();
    forecast.on_request(ms(0), target("m1/a1"), 1_000);
    forecast.tick(ms(1_000));
    let busy = forecast.model_rate(&model("m1"), ms(0));
    forecast.tick(ms(2_000));
    let later = forecast.model_rate(&model("m1"), ms(0));
    assert!(busy > 0.0 && later > busy / 2.0 && later < busy);
    assert!(forecast.has_recent_demand(ms(9_000), &model("m1")));
    assert!(!forecast.has_recent_demand(ms(11_000), &model("m1")));
}

/// Demand shifts to another model within five seconds, which is also the time that its load takes.
#[test]
fn a_rise_is_extrapolated_over_the_load_time() {
    let mut forecast = Forecast::default();
    forecast.tick(ms(0));
    for step in 1..=8 {
        forecast.on_request(ms(step * 500), target("m1"), step * 1_000);
        forecast.tick(ms(step * 500));
    }
    let now = forecast.model_rate(&model("m1"), ms(0));
    let soon = forecast.model_rate(&model("m1"), ms(1_000));
    let later = forecast.model_rate(&model("m1"), ms(5_000));
    assert!(now < soon && soon < later, "{now} {soon} {later}");
    assert!(
        later > 20_000.0,
        "forecast {later} tokens per second; demand by then is 26,000"
    );
    assert!(
        later < 40_000.0,
        "forecast {later} tokens per second; demand by then is 26,000"
    );
}

#[test]
fn steady_demand_is_not_extrapolated() {
    let mut forecast = Forecast::default();
    forecast.tick(ms(0));
    for step in 1..=80 {
        forecast.on_request(ms(step * 500), target("m1"), 1_000);
        forecast.tick(ms(step * 500));
    }
    let later = forecast.model_rate(&model("m1"), ms(5_000));
    assert!((later - 2_000.0).abs() < 50.0, "{later}");
}
