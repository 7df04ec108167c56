//! Random choice of a server by water-filling when workloads are stale.

use poplarseam::decide::water_filling::draw;
use rstest::rstest;

/// Returns the share of draws that each server gets.
fn shares(costs: &[f64], arriving_work: f64) -> Vec<f64> {
    const DRAWS: u32 = 10_000;
    let mut counts = vec![0.0; costs.len()];
    for number in 0..DRAWS {
        let drawn = draw(costs, arriving_work, f64::from(number) / f64::from(DRAWS));
        counts[drawn.unwrap()] += 1.0 / f64::from(DRAWS);
    }
    counts
}

#[rstest]
#[case::fresh_observations(&[0.3, 0.1, 0.2], 0.0, &[0.0, 1.0, 0.0])]
#[case::little_arriving_work(&[0.3, 0.1, 0.2], 0.1, &[0.0, 1.0, 0.0])]
#[case::two_are_filled(&[0.9, 0.1, 0.2], 0.3, &[0.0, 2.0 / 3.0, 1.0 / 3.0])]
#[case::all_alike(&[0.1, 0.1], 0.2, &[0.5, 0.5])]
#[case::much_arriving_work(&[0.2, 0.1], 99.9, &[0.4995, 0.5005])]
fn servers_are_drawn_in_proportion_to_their_room_below_the_level(
    #[case] costs: &[f64],
    #[case] arriving_work: f64,
    #[case] expected: &[f64],
) {
    for (share, expected) in shares(costs, arriving_work).iter().zip(expected) {
        assert!(
            (share - expected).abs() < 1e-3,
            "share of draws: {share}, expected {expected}"
        );
    }
}

#[test]
fn drawing_from_no_servers_returns_none() {
    assert_eq!(draw(&[], 1.0, 0.5), None);
}
