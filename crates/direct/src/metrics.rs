//! Counters and histograms, served as text.

use compact_str::CompactString;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

/// How a request ended, or why it was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Outcome(pub &'static str);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    route: Text,
    outcome: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByRoute {
    route: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByKind {
    kind: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Text(CompactString);

impl EncodeLabelValue for Text {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> std::fmt::Result {
        encoder.write_str(&self.0)
    }
}

/// All metrics of an entry.
pub struct Metrics {
    registry: Mutex<Registry>,
    ended: Family<Ended, Counter>,
    first: Family<ByRoute, Histogram>,
    took: Family<ByRoute, Histogram>,
    sendings: Family<ByKind, Counter>,
    store: Family<ByKind, Counter>,
    extras: Family<ByKind, Counter>,
    /// The version of the configuration in force.
    pub version: Gauge,
    /// Targets known.
    pub targets: Gauge,
    /// Entries that share the work, this one included.
    pub entries: Gauge,
    /// Lines of the log that were dropped.
    pub dropped_lines: Gauge,
}

/// The least latency told apart, in seconds; twelve buckets reach 2 s, the shortest deadline.
const LEAST_LATENCY: f64 = 0.001;

fn latencies() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_LATENCY, 2.0, 12))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lapismast");
        let metrics = Self {
            registry: Mutex::default(),
            ended: Family::default(),
            first: Family::new_with_constructor(latencies),
            took: Family::new_with_constructor(latencies),
            sendings: Family::default(),
            store: Family::default(),
            extras: Family::default(),
            version: Gauge::default(),
            targets: Gauge::default(),
            entries: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        registry.register("requests", "Requests by outcome", metrics.ended.clone());
        registry.register("first_piece_seconds", "Time to the first piece", metrics.first.clone());
        registry.register("request_seconds", "Time of whole requests", metrics.took.clone());
        registry.register(
            "sendings",
            "Sendings to targets by how they went",
            metrics.sendings.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the log by how they went",
            metrics.store.clone(),
        );
        registry.register("extras", "Extra sendings, allowed and denied", metrics.extras.clone());
        registry.register("config_version", "Configuration in force", metrics.version.clone());
        registry.register("targets", "Targets known", metrics.targets.clone());
        registry.register("entries", "Entries that share the work", metrics.entries.clone());
        registry.register("log_lines_dropped", "Log lines dropped", metrics.dropped_lines.clone());
        Self { registry: Mutex::new(registry), ..metrics }
    }
}

impl Metrics {
    /// Counts a request that ended.
    pub fn ended(&self, route: &str, outcome: Outcome, took: Duration) {
        let (route, outcome) = (Text(route.into()), Text(outcome.0.into()));
        self.took.get_or_create(&ByRoute { route: route.clone() }).observe(took.as_secs_f64());
        self.ended.get_or_create(&Ended { route, outcome }).inc();
    }

    /// Takes in the time to a first piece.
    pub fn first_piece(&self, route: &str, took: Duration) {
        let by = ByRoute { route: Text(route.into()) };
        self.first.get_or_create(&by).observe(took.as_secs_f64());
    }

    /// Counts a sending.
    pub fn sending(&self, went: &'static str) {
        self.sendings.get_or_create(&ByKind { kind: Text(went.into()) }).inc();
    }

    /// Counts a call to the log.
    pub fn store(&self, went: &'static str) {
        self.store.get_or_create(&ByKind { kind: Text(went.into()) }).inc();
    }

    /// Counts an extra sending that was allowed or denied.
    pub fn extra(&self, allowed: bool) {
        let kind = Text(if allowed { "allowed" } else { "denied" }.into());
        self.extras.get_or_create(&ByKind { kind }).inc();
    }

    /// All of them as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        // Writing into a string can't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Metrics")
    }
}
