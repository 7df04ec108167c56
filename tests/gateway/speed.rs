//! Speeds of reading prompts, as assumed initially and learned from answers.

use super::build::{engine, model};
use poplarseam::decide::speed::Speeds;
use poplarseam::world::unit::{Bytes, Tokens};

fn speeds() -> Speeds {
    let mut engine = engine();
    let small = engine.models.get_mut(&model("m2")).unwrap();
    small.size = Bytes(20);
    let mut speeds = Speeds::default();
    speeds.on_engine(&engine);
    speeds
}

#[test]
fn a_smaller_model_is_initially_assumed_faster() {
    let speeds = speeds();
    let large = speeds.prefill_time(&model("m1"), Tokens(2_000));
    let small = speeds.prefill_time(&model("m2"), Tokens(2_000));
    assert_eq!(small * 2, large);
}

/// Two popular models have the same size, but engines read one of them three times as fast.
#[test]
fn speeds_of_equally_large_models_are_learned_separately() {
    let mut speeds = speeds();
    let first = speeds.engines_needed(&model("m1"), 20_000.0);
    for _ in 0..60 {
        speeds.on_answer(&model("m1"), 0.6);
    }
    assert!(speeds.engines_needed(&model("m1"), 20_000.0) < first * 0.4);
    assert!((speeds.engines_needed(&model("m3"), 20_000.0) - first).abs() < 1e-9);
}

#[test]
fn an_outlier_changes_the_speed_little() {
    let mut speeds = speeds();
    let first = speeds.engines_needed(&model("m1"), 20_000.0);
    speeds.on_answer(&model("m1"), 1_000.0);
    assert!(speeds.engines_needed(&model("m1"), 20_000.0) < first * 1.1);
}

#[test]
fn new_settings_keep_learned_speeds() {
    let mut speeds = speeds();
    speeds.on_answer(&model("m1"), 0.5);
    let learned = speeds.prefill_time(&model("m1"), Tokens(2_000));
    speeds.on_engine(&engine());
    assert_eq!(speeds.prefill_time(&model("m1"), Tokens(2_000)), learned);
}
