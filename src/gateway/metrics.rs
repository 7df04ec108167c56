//! Counters and histograms of a gateway.

use super::freshness::NO_AGE;
use crate::decide::quota::requester::Totals;
use crate::decide::reach::Change;
use crate::world::id;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

type Labels = Vec<(&'static str, String)>;

/// All metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: Family<Labels, Counter>,
    sends: Family<Labels, Counter>,
    first_sends: Family<Labels, Counter>,
    repeats: Family<Labels, Counter>,
    rests: Family<Labels, Counter>,
    limits: Family<Labels, Counter>,
    crashes: Family<Labels, Counter>,
    stream_breaks: Family<Labels, Counter>,
    quarantine_changes: Family<Labels, Counter>,
    gossip_bytes: Family<Labels, Counter>,
    denials: Family<Labels, Counter>,
    take_ups: Family<Labels, Counter>,
    paths: Family<Labels, Counter>,
    detours: Family<Labels, Counter>,
    connection_limits: Family<Labels, Counter>,
    quotas: QuotaMetrics,
    /// Requests whose callers left before their answers began.
    pub callers_left: Counter,
    /// How late the timer of the traffic thread fires.
    pub timer_delay: Histogram,
    /// Entries of the quarantine.
    pub quarantined: Gauge,
    pub first_byte: Histogram,
    pub connections: Counter,
    /// Times that the store came back from an old copy.
    pub era_changes: Counter,
    /// Panics, in all threads.
    pub panics: Counter,
    /// Age of the proof that the configuration is current; `NO_AGE` if there is none.
    pub configuration_age_ms: Gauge,
    /// Instances of this data centre that read the configuration from the store, as this one counts
    /// them.
    pub readers: Gauge,
    /// Time from hearing of a configuration until it is in force.
    pub configuration_delay: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("poplarseam");
        Self {
            answers: family(
                &mut registry,
                "answers",
                "Answers to callers, by status and cause",
            ),
            sends: family(
                &mut registry,
                "sends",
                "Requests sent to servers, by outcome",
            ),
            first_sends: family(
                &mut registry,
                "first_sends",
                "Requests sent for the first time, by service",
            ),
            repeats: family(
                &mut registry,
                "repeats",
                "Decisions to send a request again, by service",
            ),
            rests: family(
                &mut registry,
                "rests",
                "Rests that servers asked for, by whether they were taken",
            ),
            limits: family(
                &mut registry,
                "limits",
                "Changes of the rate limits that servers name, by kind",
            ),
            crashes: family(
                &mut registry,
                "crashes",
                "Requests that ran on a server when the connection broke, by what became of the suspicion",
            ),
            stream_breaks: family(
                &mut registry,
                "stream_breaks",
                "Streams that ended before their end, by cause; they may have been resumed",
            ),
            quarantine_changes: family(
                &mut registry,
                "quarantine_changes",
                "Changes of the quarantine of prompt parts, by kind",
            ),
            gossip_bytes: family(
                &mut registry,
                "gossip_bytes",
                "Bytes of datagrams sent to other instances, by kind",
            ),
            denials: denials(&mut registry),
            take_ups: family(
                &mut registry,
                "take_ups",
                "Streams that callers take up, by what is known of their software version",
            ),
            paths: family(
                &mut registry,
                "paths",
                "Changes of the path to all servers of a service, by kind",
            ),
            detours: detours(&mut registry),
            connection_limits: connection_limits(&mut registry),
            quotas: QuotaMetrics::new(&mut registry),
            callers_left: counter(
                &mut registry,
                "callers_left",
                "Requests whose callers left before their answers began",
            ),
            timer_delay: histogram(
                &mut registry,
                "timer_delay_seconds",
                "Delay with which the periodic timer of the traffic thread fires",
            ),
            quarantined: quarantined(&mut registry),
            first_byte: histogram(
                &mut registry,
                "first_byte_seconds",
                "Time to the first byte",
            ),
            connections: counter(
                &mut registry,
                "connections",
                "Connections opened to servers",
            ),
            era_changes: era_changes(&mut registry),
            panics: counter(
                &mut registry,
                "panics",
                "Panics; each is logged with its place",
            ),
            configuration_age_ms: age_gauge(&mut registry),
            readers: readers(&mut registry),
            configuration_delay: configuration_delay(&mut registry),
            registry,
        }
    }
}

/// Counters of workspaces' quotas.
#[derive(Debug)]
struct QuotaMetrics {
    units: Family<Labels, Counter>,
    refusals: Family<Labels, Counter>,
}

impl QuotaMetrics {
    fn new(registry: &mut Registry) -> Self {
        Self {
            units: family(
                registry,
                "quota_units",
                "Units granted here, and units received, used, put back, returned or expired here",
            ),
            refusals: family(
                registry,
                "quota_refusals",
                "Requests refused for lack of units, by workspace and cause",
            ),
        }
    }
}

/// Registers a set of counters and returns it.
fn family(registry: &mut Registry, name: &str, help: &str) -> Family<Labels, Counter> {
    register(registry, name, help, Family::default())
}

/// Registers the counters of denied requests and returns them.
fn denials(registry: &mut Registry) -> Family<Labels, Counter> {
    let help = "Requests that were not served for their key, by cause and workspace; the workspace \
                is empty if the key belongs to none";
    family(registry, "denials", help)
}

/// Registers a gauge and returns it.
fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    register(registry, name, help, Gauge::default())
}

fn detours(registry: &mut Registry) -> Family<Labels, Counter> {
    let help = "Requests that were passed to another instance, by outcome";
    family(registry, "detours", help)
}

fn connection_limits(registry: &mut Registry) -> Family<Labels, Counter> {
    let help = "Connections of others that were closed or refused at the limit on them";
    family(registry, "connection_limits", help)
}

/// Registers a histogram of times from 1 ms to 8 s and returns it.
fn histogram(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let buckets = exponential_buckets(0.001, 2.0, 14);
    register(registry, name, help, Histogram::new(buckets))
}

/// Registers a counter and returns it.
fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    register(registry, name, help, Counter::default())
}

fn era_changes(registry: &mut Registry) -> Counter {
    let help = "Times that the store came back from an old copy";
    counter(registry, "era_changes", help)
}

/// Registers the gauge of the quarantine and returns it.
fn quarantined(registry: &mut Registry) -> Gauge {
    let help = "Sets of prompt parts in quarantine";
    gauge(registry, "quarantined", help)
}

/// Registers the gauge of the configuration's age and returns it.
fn age_gauge(registry: &mut Registry) -> Gauge {
    let age = gauge(
        registry,
        "configuration_age_ms",
        "Time since the configuration in force was certainly the newest, -1 if unknown",
    );
    age.set(NO_AGE);
    age
}

/// Registers the gauge of the readers and returns it.
fn readers(registry: &mut Registry) -> Gauge {
    gauge(
        registry,
        "configuration_readers",
        "Instances of this data centre that read the configuration from the store",
    )
}

/// Registers the histogram of the times that configurations take and returns it.
fn configuration_delay(registry: &mut Registry) -> Histogram {
    histogram(
        registry,
        "configuration_delay_seconds",
        "Time from hearing of a configuration until it or a newer one is in force",
    )
}

/// Registers a metric and returns it.
fn register<M: Metric + Clone>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

impl Metrics {
    /// Counts an answer to a caller.
    pub fn on_answer(&self, status: u16, cause: &'static str) {
        let labels = vec![("status", status.to_string()), ("cause", cause.into())];
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a request that was sent to a server.
    pub fn on_send(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.into())];
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts the first attempt of a request.
    pub fn on_first_send(&self, service: &id::Service) {
        let labels = vec![("service", service.to_string())];
        self.first_sends.get_or_create(&labels).inc();
    }

    /// Counts a decision about a retry.
    pub fn on_repeat(&self, service: &id::Service, granted: bool) {
        let granted = granted.to_string();
        let labels = vec![("service", service.to_string()), ("granted", granted)];
        self.repeats.get_or_create(&labels).inc();
    }

    /// Counts a server's Retry-After, by whether it was valid.
    pub fn on_rest(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.into())];
        self.rests.get_or_create(&labels).inc();
    }

    /// Counts a change of a server's rate limit.
    pub fn on_limit(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.into())];
        self.limits.get_or_create(&labels).inc();
    }

    /// Counts requests that became suspects, or whose suspicion the end of their server confirmed.
    pub fn on_crash_evidence(&self, outcome: &'static str, requests: u64) {
        let labels = vec![("outcome", outcome.into())];
        self.crashes.get_or_create(&labels).inc_by(requests);
    }

    /// Counts a stream that broke off.
    pub fn on_stream_break(&self, cause: &'static str) {
        let labels = vec![("cause", cause.into())];
        self.stream_breaks.get_or_create(&labels).inc();
    }

    /// Counts a change of the quarantine of prompt parts.
    pub fn on_quarantine_change(&self, change: &'static str) {
        let labels = vec![("change", change.into())];
        self.quarantine_changes.get_or_create(&labels).inc();
    }

    /// Counts a request that was not served for its key, of this workspace if it is known.
    pub fn on_denial(&self, cause: &'static str, workspace: &str) {
        let labels = vec![("cause", cause.into()), ("workspace", workspace.into())];
        self.denials.get_or_create(&labels).inc();
    }

    /// Counts a stream that a caller takes up.
    pub fn on_take_up(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.into())];
        self.take_ups.get_or_create(&labels).inc();
    }

    /// Counts a path to the servers of a service that was lost or restored.
    pub fn on_path(&self, service: &id::Service, change: Change) {
        let change = match change {
            Change::Lost => "lost",
            Change::Restored => "restored",
        };
        let labels = vec![("service", service.to_string()), ("change", change.into())];
        self.paths.get_or_create(&labels).inc();
    }

    /// Counts a request that was passed to another instance.
    pub fn on_detour(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.into())];
        self.detours.get_or_create(&labels).inc();
    }

    /// Counts a connection that was closed or refused to stay within the limit on connections.
    pub fn on_connection_limit(&self, door: &'static str, outcome: &'static str) {
        let labels = vec![("from", door.into()), ("outcome", outcome.into())];
        self.connection_limits.get_or_create(&labels).inc();
    }

    /// Counts units of quotas.
    pub fn on_quota_units(&self, kind: &'static str, units: u64) {
        let labels = vec![("kind", kind.into())];
        self.quotas.units.get_or_create(&labels).inc_by(units);
    }

    /// Counts what became of units that this instance asked for.
    pub fn on_quota_totals(&self, totals: Totals) {
        let kinds = [
            ("received", totals.granted),
            ("used", totals.used),
            ("put_back", totals.put_back),
            ("returned", totals.returned),
            ("expired", totals.expired),
        ];
        for (kind, units) in kinds.into_iter().filter(|(_, units)| *units > 0) {
            self.on_quota_units(kind, units);
        }
    }

    /// Counts a request that was refused for lack of units.
    pub fn on_quota_refusal(&self, workspace: &str, cause: &'static str) {
        let labels = vec![("workspace", workspace.into()), ("cause", cause.into())];
        self.quotas.refusals.get_or_create(&labels).inc();
    }

    /// Counts the bytes of datagrams to other instances.
    pub fn on_gossip(&self, kind: &'static str, bytes: u64) {
        let labels = vec![("kind", kind.into())];
        self.gossip_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Encodes all metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::error!("metrics could not be encoded");
        }
        text
    }
}
