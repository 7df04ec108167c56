//! Checks what callers, servers and the operator saw against the rules on configurations, leaving
//! servers and lost requests.

use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of the site: the span without disturbance after which an instance or the store counts as
/// stable, and the times within which changes take effect.
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);
pub const DRAIN_TIME: Duration = Duration::from_millis(2_500);
const APPLY_TIME: Duration = Duration::from_millis(2_500);
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// A caller may use a connection that the instance closes at the same moment.
const CLOSE_SLACK: Duration = Duration::from_millis(200);

/// Which rules are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rules {
    /// Those without a bound on time, on machines that may be busy.
    Untimed,
    All,
}

/// What a request shows of the configuration in force.
#[derive(Debug, PartialEq, Eq)]
enum Handling<'a> {
    RanBy(&'a str),
    NoRoute,
}

/// A configuration: the service of each route by its path, and when its write was acknowledged.
#[derive(Debug, Clone)]
pub struct Version {
    pub acked: Duration,
    pub routes: BTreeMap<String, String>,
}

/// How a request ended at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended before the answer was complete.
    Closed,
    /// Nothing arrived within the caller's time-out.
    Silent,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub instance: usize,
    /// Start of the instance that took it.
    pub start: u32,
    pub path: String,
    pub sent: Duration,
    pub ended: Duration,
    pub end: End,
}

/// A request as a server saw it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub server: String,
    pub service: String,
}

/// A server whose leaving was acknowledged, until it is back as a new start.
#[derive(Debug, Clone)]
pub struct Departure {
    pub server: String,
    pub acked: Duration,
    /// When it ended; requests may break off from then on.
    pub ended: Duration,
    pub back: Duration,
}

/// What was disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Instance(usize),
    /// The store, for all.
    Store,
    /// The store, for one instance.
    StoreOf(usize),
}

#[derive(Debug, Clone)]
pub struct Disturbance {
    pub place: Place,
    pub from: Duration,
    pub until: Duration,
    /// Whether it was a stop by signal, after which nothing may be lost.
    pub is_planned: bool,
}

/// Everything that was seen in a run, with times since its start.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// In the order of their acknowledgements.
    pub versions: Vec<Version>,
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub departures: Vec<Departure>,
    pub disturbances: Vec<Disturbance>,
}

impl History {
    /// Returns a line for each breach.
    pub fn breaches(&self, rules: Rules) -> Vec<String> {
        let mut breaches = self.lost_requests();
        if rules == Rules::All {
            breaches.extend(self.late_configurations());
            breaches.extend(self.reversions());
            breaches.extend(self.arrivals_after_leaving());
        }
        breaches
    }

    /// Whether an instance was in touch from a stable window before `from` until `until`: neither it
    /// nor its access to the store was disturbed.
    fn is_in_touch(&self, instance: usize, from: Duration, until: Duration) -> bool {
        let places = [
            Place::Instance(instance),
            Place::Store,
            Place::StoreOf(instance),
        ];
        !self.is_disturbed(&places, from.saturating_sub(STABLE_WINDOW), until)
    }

    fn is_disturbed(&self, places: &[Place], from: Duration, until: Duration) -> bool {
        self.disturbances.iter().any(|disturbance| {
            places.contains(&disturbance.place)
                && disturbance.from <= until
                && from <= disturbance.until
        })
    }

    /// Returns how a request was handled, unless that says nothing about the configuration.
    fn handling(&self, request: &Request) -> Option<Handling<'_>> {
        let arrival = self.arrivals.iter().find(|it| it.id == request.id);
        match arrival {
            Some(arrival) => Some(Handling::RanBy(&arrival.service)),
            None if request.end == End::Answered(404) => Some(Handling::NoRoute),
            None => None,
        }
    }

    /// Versions that allow what became of a request on a route that they change.
    fn allowing(&self, request: &Request) -> Option<Vec<usize>> {
        let mut versions = self.versions.iter();
        if !versions.any(|version| version.routes.contains_key(&request.path)) {
            return None;
        }
        let handling = self.handling(request)?;
        let versions = self.versions.iter().enumerate();
        let allowing = versions.filter(|(_, version)| {
            let service = version.routes.get(&request.path);
            handling == service.map_or(Handling::NoRoute, |service| Handling::RanBy(service))
        });
        Some(allowing.map(|(index, _)| index).collect())
    }

    /// Requests that were handled as only a version allows that should have been replaced.
    fn late_configurations(&self) -> Vec<String> {
        let breaches = self.requests.iter().filter_map(|request| {
            let allowing = self.allowing(request)?;
            let mut versions = self.versions.iter();
            let oldest = versions
                .rposition(|version| version.acked + APPLY_TIME <= request.sent)
                .unwrap_or(0);
            let acked = self.versions[oldest].acked;
            let is_late = allowing.iter().all(|version| *version < oldest)
                && self.is_in_touch(request.instance, acked, request.ended);
            is_late.then(|| {
                format!(
                    "CONFIG: version {oldest} was acknowledged {:?} before this request, which only \
                     {allowing:?} allow: {request:?}, {:?}",
                    request.sent.checked_sub(acked),
                    self.handling(request),
                )
            })
        });
        breaches.collect()
    }

    /// Requests that were handled as only an older version allows than one whose effect was seen.
    fn reversions(&self) -> Vec<String> {
        let mut seen: BTreeMap<(usize, u32), Vec<(&Request, usize)>> = BTreeMap::new();
        for request in &self.requests {
            if let Some(oldest) = self.allowing(request).and_then(|it| it.first().copied()) {
                let starts = seen.entry((request.instance, request.start)).or_default();
                starts.push((request, oldest));
            }
        }
        let breaches = self.requests.iter().filter_map(|request| {
            let newest = *self.allowing(request)?.last()?;
            let seen = seen.get(&(request.instance, request.start))?;
            let (before, later) = seen.iter().find(|(before, version)| {
                *version > newest && before.ended + ROLLBACK_SLACK < request.sent
            })?;
            let is_clear = !self.is_disturbed(
                &[Place::Instance(request.instance)],
                before.ended.saturating_sub(STABLE_WINDOW),
                request.ended,
            );
            is_clear.then(|| {
                format!(
                    "CONFIG: version {later} was in force for {before:?}, {:?}, and then {newest}: \
                     {request:?}, {:?}",
                    self.handling(before),
                    self.handling(request),
                )
            })
        });
        breaches.collect()
    }

    /// Requests that reached a server later than the drain time after its leaving was acknowledged.
    fn arrivals_after_leaving(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        for departure in &self.departures {
            let arrivals = self.arrivals.iter().filter(|arrival| {
                arrival.server == departure.server
                    && arrival.at > departure.acked + DRAIN_TIME
                    && arrival.at < departure.back
            });
            for arrival in arrivals {
                let request = self.requests.iter().find(|it| it.id == arrival.id);
                let Some(request) = request else { continue };
                if self.is_in_touch(request.instance, departure.acked, arrival.at) {
                    breaches.push(format!(
                        "DRAIN: {} was reached {:?} after its leaving was acknowledged: {request:?}",
                        arrival.server,
                        arrival.at.checked_sub(departure.acked),
                    ));
                }
            }
        }
        breaches
    }

    /// Requests that reached a server and got no complete answer though neither their instance nor a
    /// server of theirs ended.
    fn lost_requests(&self) -> Vec<String> {
        let lost = self.requests.iter().filter(|request| {
            let arrivals: Vec<&Arrival> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.id == request.id)
                .collect();
            let has_server_ended = self.departures.iter().any(|departure| {
                arrivals
                    .iter()
                    .any(|arrival| arrival.server == departure.server)
                    && (request.sent..=request.ended + CLOSE_SLACK).contains(&departure.ended)
            });
            let unplanned = self.disturbances.iter().any(|disturbance| {
                !disturbance.is_planned
                    && disturbance.place == Place::Instance(request.instance)
                    && disturbance.from <= request.ended
                    && request.sent <= disturbance.until
            });
            !arrivals.is_empty()
                && matches!(request.end, End::Closed | End::Silent)
                && !has_server_ended
                && !unplanned
        });
        lost.map(|request| format!("LOST: passed on and not answered: {request:?}"))
            .collect()
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A request to instance 0 on route "r", answered with this status.
fn request(id: &str, sent: u64, status: u16) -> Request {
    Request {
        id: id.into(),
        instance: 0,
        start: 0,
        path: "r".into(),
        sent: ms(sent),
        ended: ms(sent + 10),
        end: End::Answered(status),
    }
}

fn arrival(id: &str, at: u64, service: &str) -> Arrival {
    Arrival {
        at: ms(at),
        id: id.into(),
        server: "s".into(),
        service: service.into(),
    }
}

fn disturbance(place: Place, from: u64, until: u64) -> Disturbance {
    Disturbance {
        place,
        from: ms(from),
        until: ms(until),
        is_planned: false,
    }
}

/// A route that moves from one service to another at 10 s.
fn moved_route() -> History {
    let version = |acked, service: &str| Version {
        acked: ms(acked),
        routes: BTreeMap::from([("r".to_owned(), service.to_owned())]),
    };
    History {
        versions: vec![version(0, "old"), version(10_000, "new")],
        ..History::default()
    }
}

fn breach_count(history: &History) -> usize {
    history.breaches(Rules::All).len()
}

#[test]
fn request_by_the_old_service_is_a_breach_once_the_version_must_apply() {
    let mut history = moved_route();
    history.requests = vec![request("1", 12_499, 200)];
    history.arrivals = vec![arrival("1", 12_500, "old")];
    assert_eq!(breach_count(&history), 0);
    history.requests[0].sent = ms(12_500);
    assert_eq!(breach_count(&history), 1);
    history.disturbances = vec![disturbance(Place::StoreOf(0), 5_000, 6_001)];
    assert_eq!(breach_count(&history), 0, "the instance is not in touch");
}

#[test]
fn version_that_comes_back_older_is_a_breach() {
    let mut history = moved_route();
    history.requests = vec![request("1", 10_100, 200), request("2", 10_360, 200)];
    history.arrivals = vec![arrival("1", 10_101, "new"), arrival("2", 10_361, "old")];
    assert_eq!(breach_count(&history), 0, "within the slack");
    history.requests[1].sent = ms(10_361);
    assert_eq!(breach_count(&history), 1);
    history.requests[1].start = 1;
    assert_eq!(breach_count(&history), 0, "another start");
}

#[test]
fn arrival_at_a_server_that_left_is_a_breach_after_the_drain_time() {
    let mut history = moved_route();
    history.departures = vec![Departure {
        server: "s".into(),
        acked: ms(20_000),
        ended: ms(24_000),
        back: ms(25_000),
    }];
    history.requests = vec![request("1", 22_000, 200)];
    history.arrivals = vec![arrival("1", 22_500, "new")];
    assert_eq!(breach_count(&history), 0);
    history.arrivals[0].at = ms(22_501);
    assert_eq!(breach_count(&history), 1);
    history.arrivals[0].at = ms(25_000);
    assert_eq!(breach_count(&history), 0, "it is back");
}

#[test]
fn request_that_reached_a_server_and_got_no_answer_is_lost() {
    let mut history = moved_route();
    history.requests = vec![request("1", 1_000, 200)];
    history.requests[0].end = End::Closed;
    assert_eq!(breach_count(&history), 0, "it was not passed on");
    history.arrivals = vec![arrival("1", 1_001, "old")];
    assert_eq!(history.breaches(Rules::Untimed).len(), 1);
    history.disturbances = vec![disturbance(Place::Instance(0), 1_005, 1_005)];
    history.disturbances[0].is_planned = true;
    assert_eq!(breach_count(&history), 1, "a planned stop excuses nothing");
    history.disturbances[0].is_planned = false;
    assert_eq!(breach_count(&history), 0);
}
