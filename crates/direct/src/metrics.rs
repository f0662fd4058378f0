//! Counters and histograms, served as text.

use crate::costs;
use compact_str::CompactString;
use policy::distance::Distance;
use policy::promise::{Parts, Promise};
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

/// The possible outcomes of an attempt.
pub const OUTCOMES: [&str; 9] =
    ["ok", "failed", "refused", "not-sent", "unknown", "late", "limited", "leaving", "paused"];

/// The kinds of times per piece.
const PIECE_TIMES: [&str; 2] = ["usual", "bad"];

/// How a request ended, or why it was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Outcome(pub &'static str);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: Text,
    outcome: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: Text,
    kind: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabels {
    target: Text,
    kind: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabel {
    target: Text,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartitionLabel {
    partition: u32,
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

/// A step of a generation that is counted by distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacedStep {
    /// The prefill of its prompt.
    Prefill,
    /// The decoding of its output.
    Decode,
}

impl PlacedStep {
    /// All steps.
    pub const ALL: [Self; 2] = [Self::Prefill, Self::Decode];

    /// Returns its name in log lines and metrics, as that of the attempts of this step.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefill => "read",
            Self::Decode => "write",
        }
    }

    fn labels(self, distance: Distance) -> CallLabels {
        CallLabels { call: self.name().into(), kind: distance.name().into() }
    }
}

/// All metrics of an entry.
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<RequestLabels, Counter>,
    bodies: Family<CallLabels, Counter>,
    first_piece: Family<RouteLabel, Histogram>,
    request_seconds: Family<RouteLabel, Histogram>,
    gaps: Family<RouteLabel, Histogram>,
    attempts: Family<KindLabel, Counter>,
    attempt_seconds: Family<KindLabel, Histogram>,
    target_attempts: Family<TargetLabels, Counter>,
    /// Targets that have counters.
    known_targets: Mutex<HashSet<CompactString>>,
    log_calls: Family<CallLabels, Counter>,
    stream_reads: Family<CallLabels, Counter>,
    log_call_seconds: Family<KindLabel, Histogram>,
    extra_attempts: Family<KindLabel, Counter>,
    promises: Family<KindLabel, Counter>,
    promise_seconds: Family<KindLabel, Histogram>,
    prompt_tokens: Family<KindLabel, Counter>,
    orders: Family<KindLabel, Counter>,
    permits: Family<KindLabel, Counter>,
    suspects: Family<KindLabel, Counter>,
    closed_unread: Family<KindLabel, Counter>,
    bodies_refused: Family<KindLabel, Counter>,
    fullness: Family<KindLabel, Gauge<f64, AtomicU64>>,
    limits: Family<TargetLabel, Gauge<f64, AtomicU64>>,
    piece_times: Family<TargetLabels, Gauge<f64, AtomicU64>>,
    ages: Family<KindLabel, Gauge<f64, AtomicU64>>,
    round_trips: Family<KindLabel, Gauge<f64, AtomicU64>>,
    placements: Family<CallLabels, Counter>,
    quota_tokens: Family<KindLabel, Counter<f64, AtomicU64>>,
    quota_leases: Family<KindLabel, Counter>,
    quota_refusals: Family<KindLabel, Counter>,
    quota_fractions: Family<PartitionLabel, Gauge<f64, AtomicU64>>,
    /// The version of the configuration in force.
    pub version: Gauge,
    /// The epoch of the log, see [`plat::epoch`].
    pub epoch: Gauge,
    /// Targets that are listed.
    pub targets: Gauge,
    /// Targets that recently announced that they are leaving.
    pub leaving: Gauge,
    /// Targets that accept no requests from this entry now.
    pub paused: Gauge,
    /// Entries that share the work, this one included.
    pub entries: Gauge,
    /// Memory that callers make this entry hold, in bytes.
    pub held_bytes: Gauge,
    /// Log lines that were dropped.
    pub dropped_lines: Gauge,
    /// Names that no decoder knows.
    pub unknown_names: Gauge,
}

/// The upper bound of the first latency bucket, in seconds. Twelve buckets reach 2 s, the shortest
/// deadline.
const MIN_LATENCY: f64 = 0.001;

fn latencies() -> Histogram {
    Histogram::new(exponential_buckets(MIN_LATENCY, 2.0, 12))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lapismast");
        let metrics = Self {
            registry: Mutex::default(),
            requests: Family::default(),
            bodies: Family::default(),
            first_piece: Family::new_with_constructor(latencies),
            request_seconds: Family::new_with_constructor(latencies),
            gaps: Family::new_with_constructor(latencies),
            attempts: Family::default(),
            attempt_seconds: Family::new_with_constructor(latencies),
            target_attempts: Family::default(),
            known_targets: Mutex::default(),
            log_calls: Family::default(),
            stream_reads: Family::default(),
            log_call_seconds: Family::new_with_constructor(latencies),
            extra_attempts: Family::default(),
            promises: Family::default(),
            promise_seconds: Family::new_with_constructor(latencies),
            prompt_tokens: Family::default(),
            orders: Family::default(),
            permits: Family::default(),
            suspects: Family::default(),
            closed_unread: Family::default(),
            bodies_refused: Family::default(),
            fullness: Family::default(),
            limits: Family::default(),
            piece_times: Family::default(),
            ages: Family::default(),
            round_trips: Family::default(),
            placements: Family::default(),
            quota_tokens: Family::default(),
            quota_leases: Family::default(),
            quota_refusals: Family::default(),
            quota_fractions: Family::default(),
            version: Gauge::default(),
            epoch: Gauge::default(),
            targets: Gauge::default(),
            leaving: Gauge::default(),
            paused: Gauge::default(),
            entries: Gauge::default(),
            held_bytes: Gauge::default(),
            dropped_lines: Gauge::default(),
            unknown_names: Gauge::default(),
        };
        metrics.register_requests(&mut registry);
        metrics.register_attempts(&mut registry);
        metrics.register_state(&mut registry);
        metrics.register_quota(&mut registry);
        Self { registry: Mutex::new(registry), ..metrics }
    }
}

impl Metrics {
    fn register_requests(&self, to: &mut Registry) {
        to.register("requests", "Requests by outcome", self.requests.clone());
        let bodies = "Bodies of targets' answers by what marks their end and how they ended";
        to.register("answer_bodies", bodies, self.bodies.clone());
        to.register("first_piece_seconds", "Time to the first piece", self.first_piece.clone());
        to.register("gap_seconds", "Time between pieces of a stream", self.gaps.clone());
        to.register("request_seconds", "Time of whole requests", self.request_seconds.clone());
        to.register("extras", "Extra sendings, allowed and denied", self.extra_attempts.clone());
        let promises = "First pieces promised in time, kept and broken";
        to.register("promises", promises, self.promises.clone());
        let parts = "Time of first pieces that were promised in time, as promised and by part";
        to.register("promise_seconds", parts, self.promise_seconds.clone());
        let held = "Memory that callers make this entry hold, in bytes";
        to.register("held_bytes", held, self.held_bytes.clone());
        to.register("log_lines_dropped", "Log lines dropped", self.dropped_lines.clone());
    }

    fn register_attempts(&self, to: &mut Registry) {
        to.register("sendings", "Sendings to targets by how they went", self.attempts.clone());
        let sent = "Time until a target's head by step: it waits there and is worked on";
        to.register("sending_seconds", sent, self.attempt_seconds.clone());
        to.register(
            "target_answers",
            "Sendings by target and how they went",
            self.target_attempts.clone(),
        );
        let tokens = "Prompt tokens: read, believed to be kept by an engine, read in vain";
        to.register("prompt_tokens", tokens, self.prompt_tokens.clone());
        let permits = "Questions for permits to send to targets that named a limit";
        to.register("permits", permits, self.permits.clone());
        let suspects =
            "Crashes of targets under requests, and verdicts on requests that crash them";
        to.register("suspects", suspects, self.suspects.clone());
        let closed_unread = "Connections of callers that were closed unread, by what was short";
        to.register("connections_unread", closed_unread, self.closed_unread.clone());
        let refused = "Requests that were refused before their body was read, by reason";
        to.register("bodies_refused", refused, self.bodies_refused.clone());
        let fullness = "How full this entry is, and the others on average; full from 1 on";
        to.register("fullness", fullness, self.fullness.clone());
        let limits = "Requests a second that targets said to take in";
        to.register("target_limit", limits, self.limits.clone());
        let piece_times = "Time per piece that engines take, usually and in bad moments";
        to.register("target_piece_seconds", piece_times, self.piece_times.clone());
        to.register("orders", "Orders to engines by how they went", self.orders.clone());
    }

    fn register_state(&self, to: &mut Registry) {
        to.register("store_calls", "Calls to the log by how they went", self.log_calls.clone());
        to.register(
            "store_reads",
            "Reads of streams by why they were made",
            self.stream_reads.clone(),
        );
        let log_call_seconds = "Time of calls to the log; reads wait for news";
        to.register("store_call_seconds", log_call_seconds, self.log_call_seconds.clone());
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
        let placements = "Prompts prefilled, and outputs decoded, by distance";
        to.register("placements", placements, self.placements.clone());
        let round_trips = "Mean round trip to other entries by distance";
        to.register("round_trip_seconds", round_trips, self.round_trips.clone());
        to.register("entries", "Entries that share the work", self.entries.clone());
    }

    fn register_quota(&self, to: &mut Registry) {
        let tokens = "Tokens of customers' limits: granted as coordinator, used here, refunded \
                      since no target ran the request, returned unspent";
        to.register("quota_tokens", tokens, self.quota_tokens.clone());
        let leases = "Leases of other entries' shares to this one: gained, lost, expired";
        to.register("quota_leases", leases, self.quota_leases.clone());
        let refusals = "Requests refused for their customers' limits by reason";
        to.register("quota_refusals", refusals, self.quota_refusals.clone());
        let fractions = "Fraction of the limits of a partition that this entry grants";
        to.register("quota_fraction", fractions, self.quota_fractions.clone());
    }

    /// Adds tokens of customers' limits by what happened to them; the amount must not be negative.
    pub fn quota_tokens(&self, kind: &'static str, amount: f64) {
        self.quota_tokens.get_or_create(&KindLabel { kind: kind.into() }).inc_by(amount);
    }

    /// Counts changes of the leases of other entries' shares.
    pub fn quota_leases(&self, kind: &'static str, count: u64) {
        self.quota_leases.get_or_create(&KindLabel { kind: kind.into() }).inc_by(count);
    }

    /// Counts a request that was refused for its customer's limit.
    pub fn quota_refused(&self, reason: &'static str) {
        self.quota_refusals.get_or_create(&KindLabel { kind: reason.into() }).inc();
    }

    /// Sets the fraction of the limits of a partition that this entry grants.
    pub fn quota_fraction(&self, partition: u16, fraction: f64) {
        let label = PartitionLabel { partition: partition.into() };
        self.quota_fractions.get_or_create(&label).set(fraction);
    }

    /// Counts a request that ended.
    pub fn request_ended(&self, route: &str, outcome: Outcome, duration: Duration) {
        let (route, outcome) = (Text::from(route), Text::from(outcome.0));
        self.request_seconds
            .get_or_create(&RouteLabel { route: route.clone() })
            .observe(duration.as_secs_f64());
        self.requests.get_or_create(&RequestLabels { route, outcome }).inc();
    }

    /// Counts a body of a target's response by its framing and how it ended.
    pub fn body_ended(&self, framing: &'static str, end: &'static str) {
        self.bodies.get_or_create(&CallLabels { call: framing.into(), kind: end.into() }).inc();
    }

    /// Records the time to the first piece of a stream.
    pub fn first_piece(&self, route: &str, duration: Duration) {
        self.first_piece
            .get_or_create(&RouteLabel { route: route.into() })
            .observe(duration.as_secs_f64());
    }

    /// Counts a first piece that was promised in time, and records its time as promised and, if it
    /// came, by part.
    pub fn promise(&self, promise: &Promise, parts: Option<&Parts>, kept: bool) {
        let outcome = if kept { "kept" } else { "broken" };
        self.promises.get_or_create(&KindLabel { kind: outcome.into() }).inc();
        let promised = [("promised", promise.prefill), ("reserve", promise.reserve)];
        let actual = parts.map(|parts| {
            let Parts { prefill, network, transfer, slot } = *parts;
            [("prefill", prefill), ("network", network), ("transfer", transfer), ("slot", slot)]
        });
        for (kind, time) in promised.into_iter().chain(actual.into_iter().flatten()) {
            let histogram = self.promise_seconds.get_or_create(&KindLabel { kind: kind.into() });
            histogram.observe(time.as_secs_f64());
        }
    }

    /// The histogram of times between pieces of a route's streams.
    pub fn gaps(&self, route: &str) -> Histogram {
        self.gaps.get_or_create(&RouteLabel { route: route.into() }).clone()
    }

    /// Counts an attempt, and records the time until the head of the response.
    pub fn attempt(&self, step: &str, target: &str, outcome: &'static str, duration: Duration) {
        self.attempts.get_or_create(&KindLabel { kind: outcome.into() }).inc();
        self.attempt_seconds
            .get_or_create(&KindLabel { kind: step.into() })
            .observe(duration.as_secs_f64());
        self.target_attempts
            .get_or_create(&TargetLabels { target: target.into(), kind: outcome.into() })
            .inc();
        self.remember_target(target);
    }

    fn remember_target(&self, target: &str) {
        let mut known = self.known_targets.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(target) {
            known.insert(target.into());
        }
    }

    /// Drops the counters of targets that were removed, since each restart of a target brings a new
    /// id.
    pub fn forget_targets(&self, is_known: impl Fn(&str) -> bool) {
        let mut known = self.known_targets.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|target| {
            let known = is_known(target);
            if !known {
                self.limits.remove(&TargetLabel { target: Text(target.clone()) });
                for kind in PIECE_TIMES {
                    let (target, kind) = (Text(target.clone()), kind.into());
                    self.piece_times.remove(&TargetLabels { target, kind });
                }
                for kind in OUTCOMES {
                    let (target, kind) = (Text(target.clone()), kind.into());
                    self.target_attempts.remove(&TargetLabels { target, kind });
                }
            }
            known
        });
    }

    /// Counts a read of a log stream by its reason.
    pub fn stream_read(&self, stream: &'static str, reason: &'static str) {
        self.stream_reads
            .get_or_create(&CallLabels { call: stream.into(), kind: reason.into() })
            .inc();
        costs::read_reason(stream, reason);
    }

    /// Counts a call to the log, and records its duration.
    pub fn log_call(&self, call: &'static str, outcome: &'static str, duration: Duration) {
        self.log_calls.get_or_create(&CallLabels { call: call.into(), kind: outcome.into() }).inc();
        self.log_call_seconds
            .get_or_create(&KindLabel { kind: call.into() })
            .observe(duration.as_secs_f64());
    }

    /// Counts the tokens of a prompt: those that an engine has to prefill, and those that it has
    /// cached.
    pub fn prompt_tokens(&self, uncached: u64, cached: u64) {
        self.prompt_tokens.get_or_create(&KindLabel { kind: "read".into() }).inc_by(uncached);
        self.prompt_tokens.get_or_create(&KindLabel { kind: "kept".into() }).inc_by(cached);
    }

    /// Counts the tokens of a prompt that was prefilled, but whose output no engine decoded.
    pub fn wasted_prefill(&self, tokens: u64) {
        self.prompt_tokens.get_or_create(&KindLabel { kind: "vain".into() }).inc_by(tokens);
    }

    /// Counts an order to an engine by its outcome.
    pub fn order(&self, outcome: &'static str) {
        self.orders.get_or_create(&KindLabel { kind: outcome.into() }).inc();
    }

    /// Counts a permit request by its outcome.
    pub fn permit(&self, kind: &'static str) {
        self.permits.get_or_create(&KindLabel { kind: kind.into() }).inc();
    }

    /// Counts crashes under requests and what follows from them, by event.
    pub fn suspects(&self, event: &'static str) {
        self.suspects.get_or_create(&KindLabel { kind: event.into() }).inc();
    }

    /// Counts a connection of a caller that was closed unread, by what was short.
    pub fn closed_unread(&self, resource: &'static str) {
        self.closed_unread.get_or_create(&KindLabel { kind: resource.into() }).inc();
    }

    /// Counts a request that was refused before its body was read, by reason.
    pub fn body_refused(&self, reason: &'static str) {
        self.bodies_refused.get_or_create(&KindLabel { kind: reason.into() }).inc();
    }

    /// Sets how full this entry is, and the others on average if that is known.
    pub fn fullness(&self, own: f64, others: Option<f64>) {
        let gauge = |kind: &'static str| {
            self.fullness.get_or_create_owned(&KindLabel { kind: kind.into() })
        };
        gauge("own").set(own);
        if let Some(others) = others {
            gauge("others").set(others);
        }
    }

    /// Sets the rate limit that a target reports, or removes it.
    pub fn limit(&self, target: &str, rate: Option<f64>) {
        let target = TargetLabel { target: target.into() };
        match rate {
            Some(rate) => {
                self.limits.get_or_create(&target).set(rate);
            }
            None => {
                self.limits.remove(&target);
            }
        }
    }

    /// Sets the time that an engine takes per piece, if it is known.
    pub fn piece_time(&self, target: &str, usual: Duration, bad: Duration) {
        if usual.is_zero() {
            return;
        }
        for (kind, time) in PIECE_TIMES.into_iter().zip([usual, bad]) {
            let labels = TargetLabels { target: target.into(), kind: kind.into() };
            self.piece_times.get_or_create(&labels).set(time.as_secs_f64());
        }
        self.remember_target(target);
    }

    /// Sets the age of the last read of a log stream.
    pub fn age(&self, stream: &'static str, age: Duration) {
        self.ages.get_or_create(&KindLabel { kind: stream.into() }).set(age.as_secs_f64());
    }

    /// Sets the mean round trip to the entries at a distance.
    pub fn round_trip(&self, distance: Distance, mean: Duration) {
        let distance = KindLabel { kind: distance.name().into() };
        self.round_trips.get_or_create(&distance).set(mean.as_secs_f64());
    }

    /// Counts a prompt that was prefilled at a distance from this entry, or an output that is decoded
    /// at a distance from the engine that prefilled its prompt.
    pub fn placement(&self, step: PlacedStep, distance: Distance) {
        self.placements.get_or_create(&step.labels(distance)).inc();
    }

    /// Returns how many prompts or outputs were placed at a distance.
    pub fn placements(&self, step: PlacedStep, distance: Distance) -> u64 {
        self.placements.get_or_create(&step.labels(distance)).get()
    }

    /// Counts an extra attempt as allowed or denied.
    pub fn extra(&self, allowed: bool) {
        let kind = if allowed { "allowed" } else { "denied" }.into();
        self.extra_attempts.get_or_create(&KindLabel { kind }).inc();
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string can't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Metrics")
    }
}
