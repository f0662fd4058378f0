//! The entry's metrics, with units in their names.

use crate::Reason;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::time::Duration;

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    reason: &'static str,
    run: &'static str,
}

/// All metrics of one entry.
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    /// Attempts submitted to agents.
    pub(crate) attempts: Counter,
    /// Responses resumed at another target after some tokens.
    pub(crate) resumes: Counter,
    /// Output tokens of completed responses.
    pub(crate) goodput_tokens: Counter,
    /// Prompt tokens of completed responses.
    pub(crate) prompt_tokens: Counter,
    /// Open requests.
    pub(crate) open: Gauge,
    /// Streams abandoned because the caller disconnected or read too slowly.
    pub(crate) vanished_callers: Counter,
    /// Offset up to which the config stream is applied.
    pub(crate) config_offset: Gauge,
    /// Records of the config stream that are not applied yet, as of the last read.
    pub(crate) log_lag: Gauge,
    /// Seconds since the log last showed the configuration to be complete; -1 if it never did.
    pub(crate) log_age: Gauge,
    duration: Histogram,
    first_token: Histogram,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("lapismast_entry"),
            refusals: Family::default(),
            attempts: Counter::default(),
            resumes: Counter::default(),
            goodput_tokens: Counter::default(),
            prompt_tokens: Counter::default(),
            open: Gauge::default(),
            vanished_callers: Counter::default(),
            config_offset: Gauge::default(),
            log_lag: Gauge::default(),
            log_age: Gauge::default(),
            // From half a millisecond to about half an hour.
            duration: Histogram::new(exponential_buckets(0.000_5, 2.0, 22)),
            first_token: Histogram::new(exponential_buckets(0.000_5, 2.0, 18)),
        };
        metrics.register()
    }

    fn register(mut self) -> Self {
        let registry = &mut self.registry;
        let refusals = "Requests that got no complete answer, by reason";
        registry.register("refusals", refusals, self.refusals.clone());
        registry.register("attempts", "Attempts submitted to agents", self.attempts.clone());
        registry.register("resumes", "Answers resumed on another target", self.resumes.clone());
        let goodput = "Output tokens of completed answers";
        registry.register("goodput_tokens", goodput, self.goodput_tokens.clone());
        let prompt = "Prompt tokens of completed answers";
        registry.register("prompt_tokens", prompt, self.prompt_tokens.clone());
        registry.register("open_requests", "Requests open now", self.open.clone());
        let vanished_callers = "Answers given up because the caller vanished or read too slowly";
        registry.register("vanished_callers", vanished_callers, self.vanished_callers.clone());
        let offset = "End of the applied part of the config stream";
        registry.register("config_offset_records", offset, self.config_offset.clone());
        let lag = "Records of the config stream that are not applied yet, as of the last read";
        registry.register("log_lag_records", lag, self.log_lag.clone());
        let age = "Time since the log last showed the configuration to be complete; -1 if never";
        registry.register("log_age_seconds", age, self.log_age.clone());
        let duration = "Time from a request to the end of its answer";
        registry.register("request_duration_seconds", duration, self.duration.clone());
        let first = "Time from a request to its first token";
        registry.register("time_to_first_token_seconds", first, self.first_token.clone());
        self
    }

    /// Counts a request without a complete response.
    pub(crate) fn request_refused(&self, reason: Reason, execution: crate::Execution) {
        let label = ReasonLabel { reason: reason.name(), run: execution.name() };
        self.refusals.get_or_create(&label).inc();
    }

    /// Records the duration of a complete response.
    pub(crate) fn record_duration(&self, duration: Duration) {
        self.duration.observe(duration.as_secs_f64());
    }

    /// Records the time to the first token.
    pub(crate) fn record_first_token(&self, duration: Duration) {
        self.first_token.observe(duration.as_secs_f64());
    }

    /// Returns the metrics in Prometheus' text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
