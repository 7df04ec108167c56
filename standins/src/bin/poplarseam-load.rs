//! The load and experiment tool.

use gumdrop::Options;
use standins::experiment::arrivals::Scenario;
use standins::experiment::bench::{Fault, Trial, run};
use standins::experiment::front::Policy;
use standins::experiment::live;
use standins::experiment::placing::Placing;
use standins::experiment::plot::{self, Line};
use standins::experiment::shape::Shape;
use standins::experiment::summary::Summary;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Options)]
struct Flags {
    #[options(no_short, help = "print this text")]
    help: bool,
    #[options(no_short, default = "both", help = "ishikari, tuulelend or both")]
    site: String,
    #[options(
        no_short,
        default = "shift",
        help = "steady, burst, shift, flood, prefixes"
    )]
    scenario: Scenario,
    #[options(
        no_short,
        default = "0.6",
        help = "work against what all workers can do"
    )]
    load: f64,
    #[options(no_short, default = "250", help = "age of engines' reports, in ms")]
    report_lag: u64,
    #[options(
        no_short,
        default = "none",
        help = "none, deaths, data-centre, parted, store-out, storm"
    )]
    fault: Fault,
    #[options(no_short, default = "20", help = "seeds")]
    seeds: u64,
    #[options(no_short, help = "print a JSON line for each run")]
    json: bool,
    #[options(
        no_short,
        meta = "FILE.svg",
        help = "draw attainment over time, for each policy"
    )]
    plot: Option<String>,
    #[options(
        no_short,
        meta = "SECONDS",
        help = "send arrivals to processes for this long"
    )]
    live: Option<u64>,
    #[options(
        free,
        help = "ROUTING/PLACEMENT …: ours, least-reported, least-used, naive / static, greedy, ours, bound"
    )]
    policies: Vec<String>,
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match compare(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplarseam-load: {error}");
            ExitCode::from(2)
        }
    }
}

fn compare(flags: &Flags) -> Result<(), String> {
    let shapes = match flags.site.as_str() {
        "ishikari" => vec![Shape::ishikari()],
        "tuulelend" => vec![Shape::tuulelend()],
        "both" => vec![Shape::ishikari(), Shape::tuulelend()],
        _ => return Err("--site is ishikari, tuulelend or both".into()),
    };
    if let Some(seconds) = flags.live {
        for (shape, seed) in shapes
            .iter()
            .flat_map(|shape| (0..flags.seeds).map(move |seed| (shape, seed)))
        {
            let length = Duration::from_secs(seconds);
            let figures = live::run(shape, flags.scenario, flags.load, seed, length);
            println!("{}", live::line(shape, seed, &figures));
        }
        return Ok(());
    }
    let policies: Vec<String> = if flags.policies.is_empty() {
        [
            "naive/static",
            "ours/static",
            "ours/greedy",
            "ours/ours",
            "ours/bound",
        ]
        .map(str::to_owned)
        .to_vec()
    } else {
        flags.policies.clone()
    };
    for shape in shapes {
        println!(
            "{} {:?} load {} lag {} ms fault {:?}, {} seeds",
            shape.name, flags.scenario, flags.load, flags.report_lag, flags.fault, flags.seeds
        );
        println!(
            "{:24} {:>8} {:>15} {:>8} {:>7} {:>7} {:>6} {:>6} {:>18} {:>13} {:>7}",
            "routing/placement",
            "attained",
            "± over seeds",
            "per acc.",
            "late",
            "refused",
            "lost",
            "moves",
            "ms 50/95/99",
            "prem./routine",
            "normal"
        );
        let mut lines = Vec::new();
        let mut first: Option<Vec<Summary>> = None;
        for policy in &policies {
            let summaries = runs(flags, &shape, policy)?;
            print_row(policy, &summaries, first.as_deref());
            lines.push(Line::new(policy, &summaries));
            first.get_or_insert(summaries);
        }
        if let Some(file) = &flags.plot {
            plot::draw(file, shape.name, &lines)?;
        }
    }
    Ok(())
}

fn runs(flags: &Flags, shape: &Shape, policy: &str) -> Result<Vec<Summary>, String> {
    let (routing, placing) = policy.split_once('/').ok_or("write ROUTING/PLACEMENT")?;
    let (routing, placing): (Policy, Placing) = (routing.parse()?, placing.parse()?);
    let trial = |seed| Trial {
        shape: shape.clone(),
        scenario: flags.scenario,
        policy: routing,
        placing,
        load: flags.load,
        report_lag: Duration::from_millis(flags.report_lag),
        fault: flags.fault,
        seed,
    };
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get().div_ceil(2));
    let next = std::sync::atomic::AtomicU64::new(0);
    let mut summaries: Vec<(u64, Summary)> = std::thread::scope(|scope| {
        let work = || {
            let mut done = Vec::new();
            loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= flags.seeds {
                    return done;
                }
                done.push((seed, run(&trial(seed))));
            }
        };
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a run"))
            .collect()
    });
    summaries.sort_by_key(|(seed, _)| *seed);
    if flags.json {
        for (seed, summary) in &summaries {
            let line = serde_json::json!({"site": shape.name, "policy": policy, "seed": seed, "summary": summary});
            println!("{line}");
        }
    }
    Ok(summaries.into_iter().map(|(_, summary)| summary).collect())
}

#[allow(clippy::cast_precision_loss)]
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

#[allow(clippy::cast_precision_loss)]
fn spread(values: &[f64]) -> f64 {
    let middle = mean(values.iter().copied());
    mean(values.iter().map(|value| (value - middle).powi(2))).sqrt()
}

/// Prints means over seeds, and against the first policy the paired difference with its spread.
#[allow(clippy::cast_precision_loss)]
fn print_row(policy: &str, summaries: &[Summary], first: Option<&[Summary]>) {
    let of = |value: fn(&Summary) -> f64| mean(summaries.iter().map(value));
    let attained: Vec<f64> = summaries.iter().map(|summary| summary.attainment).collect();
    let against = first.map_or_else(
        || format!("±{:.3}", spread(&attained)),
        |first| {
            let pairs = attained.iter().zip(first);
            let differences: Vec<f64> = pairs.map(|(own, other)| own - other.attainment).collect();
            format!(
                "{:+.3} ±{:.3}",
                mean(differences.iter().copied()),
                spread(&differences)
            )
        },
    );
    println!(
        "{policy:24} {:8.3} {against:>15} {:8.2} {:7.0} {:7.0} {:6.0} {:6.1} {:5.0}/{:5.0}/{:6.0} {:6.3}/{:.3} {:7.1}",
        of(|summary| summary.attainment),
        of(|summary| summary.attainment_per_accelerator),
        of(|summary| summary.late as f64),
        of(|summary| summary.refused as f64),
        of(|summary| summary.lost as f64),
        of(|summary| summary.moves as f64),
        of(|summary| summary.first_token_ms[0]),
        of(|summary| summary.first_token_ms[1]),
        of(|summary| summary.first_token_ms[2]),
        of(|summary| summary.by_class[0]),
        of(|summary| summary.by_class[1]),
        of(|summary| summary.normal_after_s as f64),
    );
}
