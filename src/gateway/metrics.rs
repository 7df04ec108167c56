//! Counters and histograms of a gateway.

use crate::world::id;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

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
    /// Entries of the quarantine.
    pub quarantined: Gauge,
    pub first_byte: Histogram,
    pub connections: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("poplarseam");
        let answers = Family::<Labels, Counter>::default();
        let sends = Family::<Labels, Counter>::default();
        let first_sends = Family::<Labels, Counter>::default();
        let repeats = Family::<Labels, Counter>::default();
        let rests = Family::<Labels, Counter>::default();
        let limits = Family::<Labels, Counter>::default();
        let crashes = Family::<Labels, Counter>::default();
        let stream_breaks = Family::<Labels, Counter>::default();
        let quarantine_changes = Family::<Labels, Counter>::default();
        let quarantined = Gauge::default();
        let first_byte = Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let connections = Counter::default();
        registry.register(
            "answers",
            "Answers to callers, by status and cause",
            answers.clone(),
        );
        registry.register(
            "sends",
            "Requests sent to servers, by outcome",
            sends.clone(),
        );
        registry.register(
            "first_sends",
            "Requests sent for the first time, by service",
            first_sends.clone(),
        );
        registry.register(
            "repeats",
            "Decisions to send a request again, by service",
            repeats.clone(),
        );
        registry.register(
            "rests",
            "Rests that servers asked for, by whether they were taken",
            rests.clone(),
        );
        registry.register(
            "limits",
            "Changes of the rate limits that servers name, by kind",
            limits.clone(),
        );
        registry.register(
            "crashes",
            "Requests that ran on a server when the connection broke, by what became of the suspicion",
            crashes.clone(),
        );
        registry.register(
            "stream_breaks",
            "Streams that ended before their end, by cause; they may have been resumed",
            stream_breaks.clone(),
        );
        registry.register(
            "quarantine_changes",
            "Changes of the quarantine of prompt parts, by kind",
            quarantine_changes.clone(),
        );
        registry.register(
            "quarantined",
            "Sets of prompt parts in quarantine",
            quarantined.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time to the first byte",
            first_byte.clone(),
        );
        registry.register(
            "connections",
            "Connections opened to servers",
            connections.clone(),
        );
        Self {
            registry,
            answers,
            sends,
            first_sends,
            repeats,
            rests,
            limits,
            crashes,
            stream_breaks,
            quarantine_changes,
            quarantined,
            first_byte,
            connections,
        }
    }
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
