//! Counters and histograms, served as text.

use compact_str::CompactString;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::collections::HashSet;
use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How a sending can have gone.
pub const OUTCOMES: [&str; 9] =
    ["ok", "failed", "refused", "not-sent", "unknown", "late", "limited", "leaving", "paused"];

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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCall {
    call: Text,
    kind: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByTarget {
    target: Text,
    kind: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfTarget {
    target: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Text(CompactString);

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

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
    gaps: Family<ByRoute, Histogram>,
    sendings: Family<ByKind, Counter>,
    sent: Family<ByKind, Histogram>,
    answers: Family<ByTarget, Counter>,
    /// Targets that have counters.
    targets_told: Mutex<HashSet<CompactString>>,
    store: Family<ByCall, Counter>,
    reads: Family<ByCall, Counter>,
    store_took: Family<ByKind, Histogram>,
    extras: Family<ByKind, Counter>,
    tokens: Family<ByKind, Counter>,
    orders: Family<ByKind, Counter>,
    permits: Family<ByKind, Counter>,
    limits: Family<OfTarget, Gauge<f64, AtomicU64>>,
    ages: Family<ByKind, Gauge<f64, AtomicU64>>,
    /// The version of the configuration in force.
    pub version: Gauge,
    /// The epoch of the log, see [`plat::epoch`].
    pub epoch: Gauge,
    /// Targets known.
    pub targets: Gauge,
    /// Targets that lately said that they leave.
    pub leaving: Gauge,
    /// Targets that want no requests from this entry now.
    pub paused: Gauge,
    /// Entries that share the work, this one included.
    pub entries: Gauge,
    /// Lines of the log that were dropped.
    pub dropped_lines: Gauge,
    /// Names that no decoder knows.
    pub unknown_names: Gauge,
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
            gaps: Family::new_with_constructor(latencies),
            sendings: Family::default(),
            sent: Family::new_with_constructor(latencies),
            answers: Family::default(),
            targets_told: Mutex::default(),
            store: Family::default(),
            reads: Family::default(),
            store_took: Family::new_with_constructor(latencies),
            extras: Family::default(),
            tokens: Family::default(),
            orders: Family::default(),
            permits: Family::default(),
            limits: Family::default(),
            ages: Family::default(),
            version: Gauge::default(),
            epoch: Gauge::default(),
            targets: Gauge::default(),
            leaving: Gauge::default(),
            paused: Gauge::default(),
            entries: Gauge::default(),
            dropped_lines: Gauge::default(),
            unknown_names: Gauge::default(),
        };
        metrics.register_requests(&mut registry);
        metrics.register_sendings(&mut registry);
        metrics.register_beliefs(&mut registry);
        Self { registry: Mutex::new(registry), ..metrics }
    }
}

impl Metrics {
    fn register_requests(&self, to: &mut Registry) {
        to.register("requests", "Requests by outcome", self.ended.clone());
        to.register("first_piece_seconds", "Time to the first piece", self.first.clone());
        to.register("gap_seconds", "Time between pieces of a stream", self.gaps.clone());
        to.register("request_seconds", "Time of whole requests", self.took.clone());
        to.register("extras", "Extra sendings, allowed and denied", self.extras.clone());
        to.register("log_lines_dropped", "Log lines dropped", self.dropped_lines.clone());
    }

    fn register_sendings(&self, to: &mut Registry) {
        to.register("sendings", "Sendings to targets by how they went", self.sendings.clone());
        let sent = "Time until a target's head by step: it waits there and is worked on";
        to.register("sending_seconds", sent, self.sent.clone());
        to.register("target_answers", "Sendings by target and how they went", self.answers.clone());
        let tokens = "Prompt tokens: read, believed to be kept by an engine, read in vain";
        to.register("prompt_tokens", tokens, self.tokens.clone());
        let permits = "Questions for permits to send to targets that named a limit";
        to.register("permits", permits, self.permits.clone());
        let limits = "Requests a second that targets said to take in";
        to.register("target_limit", limits, self.limits.clone());
        to.register("orders", "Orders to engines by how they went", self.orders.clone());
    }

    fn register_beliefs(&self, to: &mut Registry) {
        to.register("store_calls", "Calls to the log by how they went", self.store.clone());
        to.register("store_reads", "Reads of streams by why they were made", self.reads.clone());
        let took = "Time of calls to the log; reads wait for news";
        to.register("store_call_seconds", took, self.store_took.clone());
        to.register("config_version", "Configuration in force", self.version.clone());
        to.register("read_age_seconds", "Time since streams were last read", self.ages.clone());
        to.register("log_epoch", "Times that the log came back older", self.epoch.clone());
        to.register("targets", "Targets known", self.targets.clone());
        let leaving = "Targets that lately said that they leave";
        to.register("targets_leaving", leaving, self.leaving.clone());
        let paused = "Targets that want no requests from this entry now";
        to.register("targets_paused", paused, self.paused.clone());
        let unknown = "Names that no decoder knows, sent by targets or the log";
        to.register("unknown_names", unknown, self.unknown_names.clone());
        to.register("entries", "Entries that share the work", self.entries.clone());
    }

    /// Counts a request that ended.
    pub fn request_ended(&self, route: &str, outcome: Outcome, took: Duration) {
        let (route, outcome) = (Text::from(route), Text::from(outcome.0));
        self.took.get_or_create(&ByRoute { route: route.clone() }).observe(took.as_secs_f64());
        self.ended.get_or_create(&Ended { route, outcome }).inc();
    }

    /// Takes in the time to a first piece.
    pub fn first_piece(&self, route: &str, took: Duration) {
        self.first.get_or_create(&ByRoute { route: route.into() }).observe(took.as_secs_f64());
    }

    /// The histogram of times between pieces of a route's streams.
    pub fn gaps(&self, route: &str) -> Histogram {
        self.gaps.get_or_create(&ByRoute { route: route.into() }).clone()
    }

    /// Counts a sending to a target, and how long it took until the head of the answer.
    pub fn attempt(&self, step: &str, target: &str, went: &'static str, took: Duration) {
        self.sendings.get_or_create(&ByKind { kind: went.into() }).inc();
        self.sent.get_or_create(&ByKind { kind: step.into() }).observe(took.as_secs_f64());
        self.answers.get_or_create(&ByTarget { target: target.into(), kind: went.into() }).inc();
        let mut told = self.targets_told.lock().unwrap_or_else(PoisonError::into_inner);
        if !told.contains(target) {
            told.insert(target.into());
        }
    }

    /// Drops the counters of targets that are gone: each restart of a target brings a new id.
    pub fn forget_targets(&self, is_known: impl Fn(&str) -> bool) {
        let mut told = self.targets_told.lock().unwrap_or_else(PoisonError::into_inner);
        told.retain(|target| {
            let known = is_known(target);
            if !known {
                self.limits.remove(&OfTarget { target: Text(target.clone()) });
                for kind in OUTCOMES {
                    let (target, kind) = (Text(target.clone()), kind.into());
                    self.answers.remove(&ByTarget { target, kind });
                }
            }
            known
        });
    }

    /// Counts a read of a stream by why it is made.
    pub fn stream_read(&self, stream: &'static str, reason: &'static str) {
        self.reads.get_or_create(&ByCall { call: stream.into(), kind: reason.into() }).inc();
    }

    /// Counts a call to the log and how long it took.
    pub fn store(&self, call: &'static str, went: &'static str, took: Duration) {
        self.store.get_or_create(&ByCall { call: call.into(), kind: went.into() }).inc();
        self.store_took.get_or_create(&ByKind { kind: call.into() }).observe(took.as_secs_f64());
    }

    /// Counts the tokens of a prompt: those that an engine has to read, and the rest.
    pub fn prompt_tokens(&self, read: u64, kept: u64) {
        self.tokens.get_or_create(&ByKind { kind: "read".into() }).inc_by(read);
        self.tokens.get_or_create(&ByKind { kind: "kept".into() }).inc_by(kept);
    }

    /// Counts the tokens of a prompt that was read for an output that no engine wrote.
    pub fn wasted_prefill(&self, tokens: u64) {
        self.tokens.get_or_create(&ByKind { kind: "vain".into() }).inc_by(tokens);
    }

    /// Counts an order to an engine.
    pub fn order(&self, went: &'static str) {
        self.orders.get_or_create(&ByKind { kind: went.into() }).inc();
    }

    /// Counts a question for a permit by how it was answered.
    pub fn permit(&self, kind: &'static str) {
        self.permits.get_or_create(&ByKind { kind: kind.into() }).inc();
    }

    /// Takes in which limit a target names.
    pub fn limit(&self, target: &str, rate: Option<f64>) {
        let target = OfTarget { target: target.into() };
        match rate {
            Some(rate) => {
                self.limits.get_or_create(&target).set(rate);
            }
            None => {
                self.limits.remove(&target);
            }
        }
    }

    /// Takes in how old the last read of a stream is.
    pub fn age(&self, stream: &'static str, age: Duration) {
        self.ages.get_or_create(&ByKind { kind: stream.into() }).set(age.as_secs_f64());
    }

    /// Counts an extra sending that was allowed or denied.
    pub fn extra(&self, allowed: bool) {
        let kind = if allowed { "allowed" } else { "denied" }.into();
        self.extras.get_or_create(&ByKind { kind }).inc();
    }

    /// All of them as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
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
