//! Quotas of workspaces over several instances: the bound of all instances together under faults, and
//! the loss of a workspace below its quota without them.

use super::build::ms;
use super::quota_world::{Faults, SLACK, STEP, World, most_used};
use poplarseam::world::unit::{Rate, Tokens, float};
use poplarseam::world::workspace::{Quota, Unit};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::time::Duration;

/// Length of a drawn schedule.
const LENGTH: Duration = Duration::from_secs(14);
/// Seeds of each case.
const SEEDS: u64 = 500;
/// Longest time until an instance has a new configuration.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(600);
const MAX_TOKENS: f64 = 8_000.0;

fn quota(rate: f64) -> Quota {
    Quota {
        rate: Rate(rate),
        burst: rate,
        unit: Unit::Tokens { plain: Tokens(500) },
    }
}

/// The most units that may be used within a window, as requirement 7 states it.
fn bound(quota: &Quota) -> f64 {
    let window = SLACK.window.as_secs_f64();
    (quota.rate.0 * window + quota.burst) * (1.0 + SLACK.overage) + SLACK.extra
}

/// Draws the tokens of a request: about 2,600 on average, somewhat more than the 2,400 from which
/// loads are computed, and 8,000 at most.
fn tokens(rng: &mut SmallRng) -> u64 {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    let drawn = 400.0 - 2_300.0 * draw.ln();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let drawn = drawn.min(MAX_TOKENS) as u64;
    drawn
}

fn drawn_faults(rng: &mut SmallRng) -> Faults {
    let mut share = |most: f64| {
        if rng.random_bool(0.7) {
            rng.random_range(0.0..most)
        } else {
            0.0
        }
    };
    Faults {
        loss: share(0.3),
        repeats: share(0.3),
        late: share(0.2),
        freezes: share(0.004),
        cuts: share(0.004),
        store_cuts: share(0.004),
        kills: share(0.003),
        releases: share(0.005),
    }
}

/// One instance of the twin: it knows its own use, and that of others as their datagrams told it.
#[derive(Default, Clone)]
struct Teller {
    known: Vec<(Duration, u64)>,
    untold: Vec<(Duration, u64)>,
}

/// Instances that count their use against the quota and tell it to each other, in a drawn schedule.
struct Tellers {
    instances: Vec<Teller>,
    uses: Vec<(Duration, u64)>,
}

impl Tellers {
    fn claim(&mut self, world: &World, index: usize, units: u64, quota: &Quota) {
        let teller = &mut self.instances[index];
        let recent = teller.known.iter();
        let recent = recent.filter(|(at, _)| *at + SLACK.window > world.now);
        let used: u64 = recent.map(|(_, units)| units).sum();
        let allowed = quota.rate.0 * SLACK.window.as_secs_f64() + quota.burst;
        if world.is_up(index) && float(used + units) <= allowed {
            teller.known.push((world.now, units));
            teller.untold.push((world.now, units));
            self.uses.push((world.now, units));
        }
    }

    fn tell(&mut self, world: &World) {
        for from in 0..self.instances.len() {
            let told = std::mem::take(&mut self.instances[from].untold);
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                if !world.is_cut(from) && !world.is_cut(to) && world.is_up(to) {
                    self.instances[to].known.extend(&told);
                }
            }
        }
    }
}

/// Runs a drawn schedule; returns the largest ratio of used to allowed units, and that of the twin.
fn run_schedule(seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let count = rng.random_range(2..6);
    let old = quota([4_200.0, 20_000.0, 100_000.0][rng.random_range(0..3)]);
    let faults = drawn_faults(&mut rng);
    let mut world = World::new(seed, count, old, faults);
    let mut tellers = Tellers {
        instances: vec![Teller::default(); count],
        uses: Vec::new(),
    };
    let is_lowered = rng.random_bool(0.3);
    let lowered = quota(old.rate.0 / 3.0);
    let lowered_at = ms(2_000);
    let overload = rng.random_range(0.5..4.0);
    let per_step = overload * old.rate.0 / 2_400.0 * STEP.as_secs_f64();
    let mut lowers_at: Vec<_> = (0..count)
        .map(|_| lowered_at + CONFIGURATION_DELAY.mul_f64(rng.random()))
        .collect();
    let mut due = 0.0;
    while world.now < LENGTH {
        world.step();
        for (index, at) in lowers_at.iter_mut().enumerate() {
            if is_lowered && world.now >= *at {
                world.configure(index, lowered);
                *at = Duration::MAX;
            }
        }
        // Demand comes in bursts, and mostly at one instance.
        let hot = !world.now.as_secs().is_multiple_of(3);
        due += if hot { per_step * 1.4 } else { per_step * 0.2 };
        while due >= 1.0 {
            due -= 1.0;
            let draw = rng.random_range(0..count + 3);
            let index = if draw < count { draw } else { 0 };
            let units = tokens(&mut rng);
            world.claim(index, units);
            tellers.claim(&world, index, units, &old);
        }
        if world.now.as_millis().is_multiple_of(100) {
            tellers.tell(&world);
        }
    }
    let mut ratio = float(world.most_used(Duration::ZERO)) / bound(&old);
    if is_lowered {
        let from = lowered_at + CONFIGURATION_DELAY + SLACK.window.mul_f64(SLACK.overage);
        ratio = ratio.max(float(world.most_used(from)) / bound(&lowered));
    }
    let twin = float(most_used(&tellers.uses, Duration::ZERO)) / bound(&old);
    (ratio, twin)
}

/// Guards against use beyond the quota by datagrams that are lost, late, repeated or reordered, frozen,
/// cut off, killed and restarted instances, changes of the grantor, and a lowered quota. Instances that
/// tell each other their use break the bound in the same schedules.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
fn the_bound_holds_in_drawn_schedules(#[case] part: u64) {
    let (mut most, mut broken) = (0.0_f64, 0);
    for seed in part * SEEDS..(part + 1) * SEEDS {
        let (ratio, twin) = run_schedule(seed);
        assert!(ratio <= 1.0, "seed {seed}: {ratio} of the bound");
        most = most.max(ratio);
        broken += u32::from(twin > 1.0);
    }
    println!("most {most:.3} of the bound; the twin broke it in {broken} of {SEEDS}");
    assert!(most > 0.75, "the schedules do not come near the bound");
    assert!(broken > 0, "the twin does not break the bound");
}

struct Calm {
    lost: f64,
    used: f64,
    datagrams_per_s: f64,
}

/// Runs random arrivals at `load` times the quota, of which each instance gets a share by its weight.
fn run_calm(seed: u64, quota: Quota, weights: &[u32], load: f64, seconds: u32) -> Calm {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(seed, weights.len(), quota, Faults::default());
    // Buckets fill before callers come.
    while world.now < Duration::from_secs(6) {
        world.step();
    }
    let start = world.now;
    let until = start + Duration::from_secs(1) * seconds;
    let rate = load * quota.rate.0 / 2_400.0;
    let total: u32 = weights.iter().sum();
    let mut next = world.now.as_secs_f64();
    while world.now < until {
        world.step();
        while next <= world.now.as_secs_f64() {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            next -= draw.ln() / rate;
            let mut point = rng.random_range(0..total);
            let index = weights.iter().position(|weight| {
                let is_here = point < *weight;
                point = point.saturating_sub(*weight);
                is_here
            });
            let units = tokens(&mut rng);
            world.claim(index.unwrap(), units);
        }
    }
    let count = |number: usize| float(u64::try_from(number).unwrap());
    let used: u64 = world.uses.iter().map(|(_, units)| units).sum();
    let used = float(used) / f64::from(seconds) / quota.rate.0;
    Calm {
        lost: count(world.refused) / count(world.claims),
        used,
        datagrams_per_s: count(world.datagrams) / f64::from(seconds),
    }
}

fn skewed(count: usize) -> Vec<u32> {
    (0..count)
        .map(|index| if index % 2 == 0 { 6 } else { 1 })
        .collect()
}

/// Guards against refusals of a workspace at somewhat more than half of its quota, which is its usual
/// load where a sixfold load is over three times its quota.
#[rstest]
#[case::smallest_at_one(4_200.0, vec![0, 1], 0.55)]
#[case::smallest_at_grantor(4_200.0, vec![1, 0], 0.55)]
#[case::smallest_at_two(4_200.0, vec![0, 6, 1], 0.55)]
#[case::smallest_everywhere(4_200.0, skewed(30), 0.55)]
#[case::middle(40_000.0, skewed(30), 0.8)]
#[case::large(500_000.0, skewed(30), 0.9)]
fn a_workspace_below_its_quota_loses_few_requests(
    #[case] rate: f64,
    #[case] weights: Vec<u32>,
    #[case] load: f64,
) {
    let lost_at = |load: f64| {
        let runs = (0..10).map(|seed| run_calm(seed, quota(rate), &weights, load, 60));
        runs.map(|run| run.lost).sum::<f64>() / 10.0
    };
    let lost = lost_at(load);
    println!("lost {lost:.4} of {rate} at {load}");
    assert!(lost < 0.01, "{lost}");
}
/// Guards against a workspace over its quota that gets far less than its quota, or more.
#[rstest]
#[case::smallest(4_200.0, skewed(10))]
#[case::middle(40_000.0, skewed(30))]
#[case::large(500_000.0, skewed(30))]
fn a_workspace_over_its_quota_gets_its_quota(#[case] rate: f64, #[case] weights: Vec<u32>) {
    let run = run_calm(1, quota(rate), &weights, 3.0, 60);
    println!(
        "used {:.3}, {:.0} datagrams/s",
        run.used, run.datagrams_per_s
    );
    let initial = (rate + SLACK.extra) / 60.0 / rate;
    assert!(run.used > 0.9, "{}", run.used);
    assert!(run.used < 1.02 + initial, "{}", run.used);
}

/// Counts the datagrams of one workspace; the figures are in the design note.
#[rstest]
#[case(90, 0.55)]
#[case(90, 3.0)]
#[case(300, 0.55)]
#[case(300, 3.0)]
fn datagrams_stay_few(#[case] count: usize, #[case] load: f64) {
    for rate in [4_200.0, 40_000.0, 500_000.0] {
        let run = run_calm(1, quota(rate), &skewed(count), load, 10);
        let requests = load * rate / 2_400.0;
        println!(
            "{count} instances, {rate}/s at {load}: {requests:.0} requests/s, {:.0} datagrams/s",
            run.datagrams_per_s
        );
        let most = (4.5 * requests).min(16.0 * float(u64::try_from(count).unwrap()));
        assert!(
            run.datagrams_per_s < most.max(20.0),
            "{}",
            run.datagrams_per_s
        );
    }
}
