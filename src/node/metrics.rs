//! Counters and histograms that every process publishes.

use crate::common::*;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

/// All that a process counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Decisions, by kind and detail.
    decisions: Family<Labels, Counter>,
    /// Calls to the table service, by kind and result.
    store: Family<Labels, Counter>,
    /// Bytes and messages sent to peers.
    pub mesh_bytes: Counter,
    pub mesh_messages: Counter,
    pub mesh_dropped: Counter,
    /// Requests in hand.
    pub requests: Gauge,
    pub first_token: Histogram,
    pub between_tokens: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let metrics = Self {
            registry: Registry::with_prefix("poplarseam"),
            decisions: Family::default(),
            store: Family::default(),
            mesh_bytes: Counter::default(),
            mesh_messages: Counter::default(),
            mesh_dropped: Counter::default(),
            requests: Gauge::default(),
            first_token: histogram(),
            between_tokens: histogram(),
        };
        metrics.registered()
    }
}

impl Metrics {
    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register(
            "decisions",
            "Decisions by kind and detail",
            self.decisions.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the table service",
            self.store.clone(),
        );
        registry.register("mesh_bytes", "Bytes sent to peers", self.mesh_bytes.clone());
        registry.register(
            "mesh_messages",
            "Messages sent to peers",
            self.mesh_messages.clone(),
        );
        registry.register(
            "mesh_dropped",
            "Messages that found a full ring",
            self.mesh_dropped.clone(),
        );
        registry.register("requests", "Requests in hand", self.requests.clone());
        registry.register(
            "first_token_seconds",
            "Time to first token",
            self.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between tokens",
            self.between_tokens.clone(),
        );
        self
    }

    /// Counts a decision.
    pub fn decided(&self, kind: &'static str, detail: impl Display) {
        let labels = vec![("kind", kind.to_owned()), ("detail", detail.to_string())];
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts a call to the table service.
    pub fn stored<T, E>(&self, kind: &'static str, result: &Result<T, E>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let labels = vec![("kind", kind.to_owned()), ("result", outcome.to_owned())];
        self.store.get_or_create(&labels).inc();
    }

    /// Text for a scrape.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
