//! Rate limits that servers report, checked against the requests that the servers count.

use super::site::{Site, exchange, request, status, wait_for};
use standins::worker::Fault;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Span over which a server's requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// A limit must be kept from this long after a server first reported it.
const SETTLE: Duration = Duration::from_secs(4);
/// Requests allowed in a span: a multiple of the limit, plus a constant.
const TOLERANCE: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// Interval between requests to each instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const LIMIT_PER_SECOND: f64 = 2.0;
const INSTANCES: u8 = 4;

/// Sends a steady load to each instance while `meanwhile` runs; returns the responses and their
/// latencies.
fn load(site: &Site, path: &'static str, meanwhile: impl FnOnce()) -> Vec<(Duration, String)> {
    let is_loading = Arc::new(AtomicBool::new(true));
    let callers = (0..site.instances.len()).map(|instance| {
        let (address, is_loading) = (site.callers(instance), Arc::clone(&is_loading));
        std::thread::spawn(move || {
            let mut answers = Vec::new();
            while is_loading.load(Ordering::SeqCst) {
                let id = format!("c{instance}-{}", answers.len());
                let asked = Instant::now();
                let answer = exchange(address, &request(path, &id, ""));
                answers.push((asked.elapsed(), answer.unwrap_or_default()));
                std::thread::sleep(REQUEST_INTERVAL);
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

/// Returns the largest number of requests to a server in any span that began after some time.
fn max_requests_in_span(site: &Site, worker: &str, after: Instant) -> usize {
    let arrivals = site.platform.worker(worker).arrivals();
    let times: Vec<Instant> = arrivals.iter().map(|(at, _)| *at).collect();
    let starts = times.iter().filter(|at| **at >= after);
    let counts = starts.map(|start| {
        let within = times
            .iter()
            .filter(|at| *at >= start && **at < *start + SPAN);
        within.count()
    });
    counts.max().unwrap_or(0)
}

fn assert_limit_kept(site: &Site, worker: &str, named: Instant) {
    let most = max_requests_in_span(site, worker, named + SETTLE);
    let allowed = TOLERANCE * LIMIT_PER_SECOND * SPAN.as_secs_f64() + EXTRA_REQUESTS;
    let came = f64::from(u32::try_from(most).unwrap());
    assert!(
        came <= allowed,
        "{worker}: {most} in {SPAN:?}, {allowed} allowed"
    );
}

fn start_ready_site() -> Site {
    let site = Site::start(INSTANCES);
    site.wait_until_ready();
    wait_for("all instances hear each other", || {
        (0..site.instances.len()).all(|instance| site.state(instance)["instances"] == INSTANCES)
    });
    site
}

/// Guards against an overloaded server that still gets its full load from all instances
/// together.
#[test]
fn all_instances_together_keep_to_the_limit_that_a_server_reports() {
    let site = start_ready_site();
    site.platform.worker("p").limit(Some("2.0"));
    let named = Instant::now();
    let answers = load(&site, "/issue/x", || std::thread::sleep(SETTLE + 2 * SPAN));
    assert_limit_kept(&site, "p", named);
    for (_, answer) in answers {
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

/// Guards against a limit that is ignored when no other server is left. Callers must be refused
/// at once with a Retry-After, and refused requests must not run.
#[test]
fn callers_are_refused_at_once_when_all_servers_report_a_limit() {
    let site = start_ready_site();
    for worker in ["p", "q"] {
        site.platform.worker(worker).limit(Some("2.0"));
    }
    let named = Instant::now();
    let answers = load(&site, "/issue/x", || std::thread::sleep(SETTLE + 2 * SPAN));
    for worker in ["p", "q"] {
        assert_limit_kept(&site, worker, named);
        let used = max_requests_in_span(&site, worker, named + SETTLE);
        assert!(used > 0, "{worker} takes requests and gets none");
    }
    let refused = answers.iter().filter(|(_, answer)| status(answer) == 503);
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty());
    for (took, answer) in refused {
        assert!(*took < Duration::from_secs(1), "{took:?}");
        assert!(answer.contains("retry-after: "), "{answer}");
    }
}

/// Guards against callers who are refused for as long as a limit lasts because it applies to the
/// only server of their model: the model must be loaded elsewhere.
#[test]
fn a_model_whose_only_server_reports_a_limit_is_loaded_elsewhere() {
    let site = start_ready_site();
    let ask = |number: u32| site.ask("/draft/x", &format!("r{number}"), "m2");
    assert_eq!(status(&ask(0)), 200);
    site.platform.worker("b").limit(Some("0.5"));
    let mut number = 0;
    wait_for("the other worker serves", || {
        number += 1;
        ask(number);
        let ran = site.platform.worker("a").ran();
        ran.iter().any(|id| id.starts_with('r'))
    });
    let answers: Vec<String> = (number + 1..number + 10).map(ask).collect();
    for answer in answers {
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

/// Rejections in a second that a server bears.
const MAX_REJECTIONS: u32 = 4;

/// Guards against servers that fall over because all instances together have them reject more than they said
/// they bear; what is refused instead must not have run.
#[test]
fn servers_without_room_reject_no_more_than_they_bear() {
    let site = start_ready_site();
    for worker in ["p", "q"] {
        site.platform.worker(worker).bear_rejections(MAX_REJECTIONS);
    }
    let warm = load(&site, "/check/x", || std::thread::sleep(SETTLE));
    assert!(warm.iter().all(|(_, answer)| status(answer) == 200));
    site.set_fault(&["p", "q"], Fault::TurnAway);
    let full = Instant::now();
    let answers = load(&site, "/issue/x", || std::thread::sleep(SETTLE + 2 * SPAN));
    for worker in ["p", "q"] {
        let arrivals = site.platform.worker(worker).arrivals();
        let times = arrivals.iter().map(|(at, _)| *at).filter(|at| *at >= full);
        let times: Vec<Instant> = times.collect();
        for (index, start) in times.iter().enumerate() {
            let within = times[index..].iter();
            let within = within.take_while(|at| **at < *start + Duration::from_secs(1));
            assert!(within.count() <= MAX_REJECTIONS as usize, "{worker}");
        }
    }
    assert!(answers.iter().all(|(_, answer)| status(answer) == 503));
    site.set_fault(&["p", "q"], Fault::None);
    wait_for("the servers are used again", || {
        status(&site.ask("/issue/x", "again", "")) == 200
    });
}
