//! Quotas of workspaces, checked against the requests that servers run for several instances.

use super::site::{Site, config, exchange, status, wait_for};
use serde_json::{Value, json};
use standins::worker::Worker;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const INSTANCES: usize = 3;
/// Quota of both workspaces, and the units of each request.
const RATE: f64 = 4_200.0;
const UNITS: f64 = 2_400.0;
/// The most units that may run in a window, by the stand-in's settings.
const WINDOW: Duration = Duration::from_secs(8);
const BOUND: f64 = (RATE * 8.0 + RATE) * 1.1 + 17_000.0;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Time in which another instance takes over the lease of a grantor that was killed.
const TAKEOVER_TIME: Duration = Duration::from_secs(8);

fn quota_config() -> Value {
    let mut config = config(5_001);
    let workspace = |name: &str| {
        json!({"Name": name, "ApiKeys": [format!("k-{name}")], "Unit": "token_metering",
            "PlainTokens": 500, "RatePerS": RATE, "Burst": RATE})
    };
    config["Tenants"] = json!([workspace("hot"), workspace("calm")]);
    config
}

fn request(workspace: &str, id: &str) -> String {
    format!(
        "POST /issue/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         Authorization: Token k-{workspace}\r\nX-Token-Usage: 2000,400\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// Returns the instances that grant units of a workspace.
fn grantors(site: &Site, workspace: &str) -> Vec<usize> {
    let grants = |instance: &usize| {
        let grants = site.state(*instance)["quotas"]["grants"].clone();
        let grants = grants.as_array().cloned().unwrap_or_default();
        grants.iter().any(|it| it["workspace"] == workspace)
    };
    (0..INSTANCES).filter(grants).collect()
}

/// Whether one instance grants units of a workspace, and its bucket holds a burst.
fn is_filled(site: &Site, workspace: &str) -> bool {
    let states = (0..INSTANCES).map(|instance| site.state(instance));
    let grants = states.flat_map(|state| {
        let grants = state["quotas"]["grants"].as_array().cloned();
        grants.unwrap_or_default()
    });
    let levels: Vec<Value> = grants.filter(|it| it["workspace"] == workspace).collect();
    levels.len() == 1 && levels[0]["level"].as_f64() >= Some(RATE)
}

fn start_site() -> Site {
    let site = Site::start(u8::try_from(INSTANCES).unwrap());
    site.wait_until_ready();
    site.platform.configure(&quota_config());
    wait_for("filled buckets", || {
        is_filled(&site, "hot") && is_filled(&site, "calm")
    });
    site
}

/// Sends a workspace's requests to each instance while `meanwhile` runs; returns the responses.
fn load(
    site: &Site,
    workspace: &'static str,
    interval: Duration,
    meanwhile: impl FnOnce(),
) -> Vec<String> {
    let is_loading = Arc::new(AtomicBool::new(true));
    let callers = (0..INSTANCES).map(|instance| {
        let (address, is_loading) = (site.callers(instance), Arc::clone(&is_loading));
        std::thread::spawn(move || {
            let mut answers = Vec::new();
            while is_loading.load(Ordering::SeqCst) {
                let id = format!("{workspace}-{instance}-{}", answers.len());
                let answer = exchange(address, &request(workspace, &id));
                answers.push(answer.unwrap_or_default());
                std::thread::sleep(interval);
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    meanwhile();
    is_loading.store(false, Ordering::SeqCst);
    let answers = callers.into_iter().map(|caller| caller.join().unwrap());
    answers.flatten().collect()
}

/// Returns when requests of a workspace ran at servers, in order.
fn runs(site: &Site, workspace: &str) -> Vec<Instant> {
    let arrivals = site.platform.workers().flat_map(Worker::arrivals);
    let of_workspace = arrivals.filter(|(_, id)| id.starts_with(workspace));
    let mut times: Vec<Instant> = of_workspace.map(|(at, _)| at).collect();
    times.sort();
    times
}

fn assert_bound_kept(site: &Site, workspace: &str) {
    let times = runs(site, workspace);
    for (index, first) in times.iter().enumerate() {
        let within = times[index..].iter().filter(|at| **at < *first + WINDOW);
        let units = f64::from(u32::try_from(within.count()).unwrap()) * UNITS;
        assert!(
            units <= BOUND,
            "{workspace}: {units} units, {BOUND} allowed"
        );
    }
}

fn count(answers: &[String], expected: u16) -> usize {
    let counted = answers.iter().filter(|answer| status(answer) == expected);
    counted.count()
}

/// Loads a site with a workspace at several times its quota and one below it; returns the responses to
/// each.
fn load_both(site: &Site) -> (Vec<String>, Vec<String>) {
    let mut calm = Vec::new();
    let hot = load(site, "hot", REQUEST_INTERVAL, || {
        let slowly = Duration::from_secs(3);
        calm = load(site, "calm", slowly, || std::thread::sleep(WINDOW * 2));
    });
    (hot, calm)
}

/// Guards against a workspace that gets its quota at each instance, and one below its quota that is
/// refused.
#[test]
fn all_instances_together_keep_to_a_quota() {
    let site = start_site();
    let (hot, calm) = load_both(&site);
    assert_bound_kept(&site, "hot");
    let used = f64::from(u32::try_from(runs(&site, "hot").len()).unwrap()) * UNITS;
    let least = 0.8 * RATE * 2.0 * WINDOW.as_secs_f64();
    assert!(used >= least, "{used} units of at least {least}");
    let refused = hot.iter().filter(|answer| status(answer) == 429);
    let refused: Vec<_> = refused.collect();
    assert!(refused.len() > hot.len() / 2);
    for answer in refused {
        assert!(answer.contains("retry-after: "), "{answer}");
    }
    assert_eq!(count(&calm, 429), 0);
    // The strict check is `no_request_lacks_the_answer_of_a_running_grantor`.
    for (answers, most) in [(&hot, hot.len() / 50), (&calm, 1)] {
        let unheard = count(answers, 503);
        assert!(unheard <= most, "{unheard} of {}", answers.len());
        let expected = count(answers, 200) + count(answers, 429) + unheard;
        assert_eq!(expected, answers.len());
    }
}

/// Guards against requests that are refused for want of a grantor's answer although the grantor runs and
/// is connected.
#[test]
fn no_request_lacks_the_answer_of_a_running_grantor() {
    let site = start_site();
    let (hot, calm) = load_both(&site);
    assert_eq!(count(&hot, 200) + count(&hot, 429), hot.len());
    assert_eq!(count(&calm, 200), calm.len());
}

/// Guards against use beyond the quota, and against a lasting refusal, when the grantor is killed.
#[test]
fn another_instance_grants_after_the_grantor_was_killed() {
    let mut site = start_site();
    let grantor = grantors(&site, "hot")[0];
    site.instances[grantor].1.kill();
    let killed = Instant::now();
    load(&site, "hot", REQUEST_INTERVAL, || {
        std::thread::sleep(TAKEOVER_TIME + WINDOW);
    });
    assert_bound_kept(&site, "hot");
    let times = runs(&site, "hot");
    let later = times.iter().filter(|at| **at > killed + TAKEOVER_TIME);
    assert!(later.count() > 4, "no units after the takeover");
    let new = grantors(&site, "hot");
    assert!(new.len() == 1 && new[0] != grantor, "{new:?}");
}

/// Guards against messages about quotas in deployments without them.
#[test]
fn nothing_is_sent_without_quotas() {
    let site = Site::start(2);
    site.wait_until_ready();
    for number in 0..10 {
        let answer = exchange(
            site.callers(number % 2),
            &request("hot", &format!("r{number}")),
        );
        assert_eq!(status(&answer.unwrap()), 200);
    }
    let sent = |instance, kind| {
        let name = format!("poplarseam_gossip_bytes_total{{kind=\"{kind}\"}}");
        site.counter(instance, &name)
    };
    for instance in 0..2 {
        wait_for("other datagrams", || sent(instance, "load") > 0);
        assert_eq!(sent(instance, "quota"), 0);
    }
}
