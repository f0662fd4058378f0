//! The record of one request: when it ends, one line in the log and its metrics.

use crate::config::route::{Route, ServiceName};
use crate::metrics::Outcome;
use crate::shared::{ServedRequest, Shared};
use crate::targets::target::Target;
use body::{Framing, Outcome as BodyOutcome, Position};
use compact_str::{CompactString, ToCompactString};
use policy::promise::{Parts, Promise};
use prometheus_client::metrics::histogram::Histogram;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Outcome of a request whose response was forwarded whole.
pub const COMPLETE: &str = "complete";

/// Outcome of a request whose caller left before its end.
const CALLER_LEFT: &str = "caller-left";

/// The step of an attempt in which an engine prefills the prompt for another one.
const PREFILL_STEP: &str = "read";

/// The step of an attempt in which an engine decodes the output.
const DECODE_STEP: &str = "write";

/// What a duration is logged as if there was none.
const NO_DURATION: f64 = -1.0;

/// The record of one request so far. If it is dropped before [`Trace::end`], the caller has left.
pub struct Trace {
    /// The caller's id of the attempt.
    pub attempt_id: CompactString,
    /// The route.
    pub route: Arc<Route>,
    /// Its priority: that of the route, until the caller's own is known.
    pub priority: u8,
    /// The version of the configuration that the request was served by.
    pub config_version: u64,
    /// When its head was read.
    pub arrived: Instant,
    /// How long before that the caller sent its first attempt, as far as known.
    pub since_first: Duration,
    /// Attempts at targets so far.
    pub attempts: u32,
    /// The targets tried, in order, each with its outcome.
    pub targets: CompactString,
    /// The service of a generation, and how many tokens of output a piece holds.
    pub generation: Option<(ServiceName, u32)>,
    first_piece_at: Option<Instant>,
    /// How long the last prefill attempt took.
    prefill: Option<Duration>,
    /// When the last decode attempt was dispatched.
    dispatched_at: Option<Instant>,
    /// How long the transfer of its KV cache was expected to take.
    transfer: Option<Duration>,
    /// What was promised for the first piece.
    promise: Option<Promise>,
    /// From when on the excess over the promise is learned; `None` if the first engine chosen did
    /// not prefill the prompt, whose failure says nothing about the next.
    learned_from: Option<Instant>,
    /// The pieces forwarded so far; none before the first one.
    pieces: Option<Pieces>,
    /// The attempt that brought the first event of the stream that this request takes up.
    pub takes_up: Option<CompactString>,
    /// How the body of the last response ended.
    body_end: Option<BodyEnd>,
    ended: bool,
    /// Counts the request as served here, once its service is known.
    pub served: Option<ServedRequest>,
    shared: Arc<Shared>,
}

/// How the body of a target's response ended.
#[derive(Debug, Clone, Copy)]
pub struct BodyEnd {
    /// What marks its end.
    pub framing: Framing,
    /// How reading it ended.
    pub outcome: BodyOutcome,
    /// Where it ended, if it is a stream of events.
    pub position: Option<Position>,
    /// Bytes of an event that were received and not forwarded.
    pub held_bytes: usize,
}

impl BodyEnd {
    /// Returns how it ended, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match (self.outcome, self.position) {
            (BodyOutcome::Failed, _) => "error",
            (BodyOutcome::Ended, Some(Position::WithinEvent)) => "within-event",
            (BodyOutcome::Ended, Some(Position::Boundary)) => "event-boundary",
            (BodyOutcome::Ended, None) => "regular",
        }
    }
}

/// The pieces of one response that were forwarded so far.
struct Pieces {
    count: u64,
    gaps: Histogram,
    last: Piece,
    longest_gap: Option<Gap>,
}

/// A piece that was forwarded.
struct Piece {
    at: Instant,
    target: Arc<Target>,
    /// Prompts of this entry whose prefill at the target had ended by then.
    prompts_ended: u64,
}

/// A pause between two pieces of a response.
#[derive(Debug, Clone)]
pub struct Gap {
    /// How long it was. It includes the time in which this entry did not forward a piece that had
    /// arrived, for instance because the caller did not take it.
    pub duration: Duration,
    /// The target that sent the piece before it. If the stream was resumed elsewhere during the
    /// pause, this is the target that broke off.
    pub target: Arc<Target>,
    /// Streams there at the end of the pause, of this entry and as reported by the others.
    pub streams: u32,
    /// Prompts that this entry had in prefill there at any time during the pause. The others report
    /// tokens rather than prompts, so theirs are not included.
    pub prompts: u64,
}

impl Trace {
    /// Starts the record of a request.
    pub fn new(
        attempt_id: CompactString,
        route: Arc<Route>,
        config_version: u64,
        arrived: Instant,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            attempt_id,
            priority: route.priority,
            route,
            config_version,
            arrived,
            since_first: Duration::ZERO,
            attempts: 0,
            targets: CompactString::default(),
            generation: None,
            first_piece_at: None,
            prefill: None,
            dispatched_at: None,
            transfer: None,
            promise: None,
            learned_from: None,
            pieces: None,
            takes_up: None,
            body_end: None,
            ended: false,
            served: None,
            shared,
        }
    }

    /// Records an attempt with its outcome and its duration in milliseconds, such as
    /// `read:i-1:ok:12`.
    pub fn record_attempt(
        &mut self,
        step: &str,
        target: &str,
        outcome: &'static str,
        duration: Duration,
    ) {
        self.shared.metrics.attempt(step, target, outcome, duration);
        match step {
            PREFILL_STEP => self.prefill = Some(duration),
            DECODE_STEP => self.dispatched_at = Instant::now().checked_sub(duration),
            _ => {}
        }
        if !self.targets.is_empty() {
            self.targets.push(',');
        }
        let millis = duration.as_millis().to_compact_string();
        for (index, text) in [step, target, outcome, millis.as_str()].into_iter().enumerate() {
            if index > 0 {
                self.targets.push(':');
            }
            self.targets.push_str(text);
        }
    }

    /// Records what was promised for the first piece, `None` if the objective has passed. The
    /// decision took `waited` off the objective. Of several promises the first one counts.
    pub fn record_promise(&mut self, promise: Option<Promise>, waited: Duration) {
        if self.promise.is_some() {
            self.learned_from = None;
            return;
        }
        self.promise = promise;
        self.learned_from = promise.map(|_| self.arrived + waited);
    }

    /// Records how long the transfer of the KV cache is expected to take; `None` if nothing is
    /// transferred.
    pub fn record_expected_transfer(&mut self, duration: Option<Duration>) {
        self.transfer = duration;
    }

    /// Records that a piece from `target` is forwarded to the caller.
    pub fn record_piece(&mut self, target: &Arc<Target>) {
        let now = Instant::now();
        let Some(pieces) = &mut self.pieces else {
            self.first_piece_at = Some(now);
            self.shared.metrics.first_piece(&self.route.name, now - self.arrived);
            self.compare_with_promise(now);
            let gaps = self.shared.metrics.gaps(&self.route.name);
            let last = Piece::new(now, target);
            self.pieces = Some(Pieces { count: 1, gaps, last, longest_gap: None });
            return;
        };
        let gap = pieces.record(now, target, &self.shared);
        if let Some((service, tokens)) = &self.generation {
            let age = self.first_piece_at.map_or(Duration::ZERO, |first| now - first);
            self.shared.loads.record_decode(service, *tokens, gap, age);
        }
    }

    /// The longest pause between pieces so far.
    pub fn longest_gap(&self) -> Option<&Gap> {
        self.pieces.as_ref()?.longest_gap.as_ref()
    }

    /// Records how the body of a target's response ended.
    pub fn record_body_end(&mut self, end: BodyEnd) {
        self.shared.metrics.body_ended(end.framing.name(), end.name());
        self.body_end = Some(end);
    }

    /// Logs that a target broke its response off.
    pub fn record_broken_response(&mut self, target: &str, detail: &str) {
        log::warn!(target: "request", id = self.attempt_id.as_str(), target_id = target, detail;
            "target broke off");
    }

    /// Counts whether the first piece was promised in time and is, by part, and learns from it.
    fn compare_with_promise(&self, now: Instant) {
        let Some(promise) = self.promise else { return };
        let in_time = self.since_first + (now - self.arrived) <= self.route.objective;
        self.shared.metrics.promise(&promise, self.parts().as_ref(), in_time);
        // Nothing is transferred where the engine that prefills also decodes. An attempt that ended
        // early without a piece says nothing about how long it would have taken.
        let is_measured = self.first_piece_at.is_some() || !in_time;
        if let Some((service, _)) = &self.generation
            && let Some(learned_from) = self.learned_from
            && self.prefill.is_some()
            && is_measured
        {
            let excess = (now - learned_from).saturating_sub(promise.prefill);
            self.shared.record_first_piece_excess(service, excess);
        }
    }

    /// How long the first piece took, by part.
    fn parts(&self) -> Option<Parts> {
        let total = self.first_piece_at? - self.arrived;
        let (prefill, transfer) = (self.prefill.unwrap_or_default(), self.transfer);
        Some(Parts::new(total, prefill, self.slot_wait()?, transfer.unwrap_or_default()))
    }

    /// Logs and counts how the request ended.
    pub fn end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let duration = self.arrived.elapsed();
        self.shared.metrics.request_ended(&self.route.name, Outcome(outcome), duration);
        if outcome != CALLER_LEFT && self.first_piece_at.is_none() {
            self.compare_with_promise(Instant::now());
        }
        if outcome == COMPLETE {
            self.shared.durations.record(&self.route.name, duration);
        }
        self.log_end(outcome, duration);
    }

    fn log_end(&self, outcome: &'static str, duration: Duration) {
        let first_ms = millis(self.first_piece_at.map(|first| first - self.arrived));
        let slot_ms = millis(self.slot_wait());
        let parts = self.parts();
        let network_ms = millis(parts.map(|parts| parts.network));
        let transfer_ms = millis(parts.and(self.transfer));
        let promise = self.promise;
        let promised_ms = millis(promise.map(|promise| promise.prefill));
        let reserve_ms = millis(promise.map(|promise| promise.reserve));
        let pieces = self.pieces.as_ref().map_or(0, |pieces| pieces.count);
        let gap = self.longest_gap();
        let gap_ms = millis(gap.map(|gap| gap.duration));
        let gap_target = gap.map_or("", |gap| gap.target.id.as_str());
        let (gap_streams, gap_prompts) = gap.map_or((0, 0), |gap| (gap.streams, gap.prompts));
        let takes_up = self.takes_up.as_deref().unwrap_or_default();
        let framing = self.body_end.map_or("", |end| end.framing.name());
        let body_end = self.body_end.as_ref().map_or("", BodyEnd::name);
        let held_bytes = self.body_end.map_or(0, |end| end.held_bytes);
        let (objective_ms, max_gap_ms) =
            (millis(Some(self.route.objective)), millis(self.route.max_gap));
        // Two different events, so that in a burst the lines of requests that were not served are
        // not dropped for lack of room among those that were.
        if outcome == COMPLETE {
            log::info!(target: "request", id = self.attempt_id.as_str(),
                route = self.route.name.as_str(), version = self.config_version, outcome,
                sendings = self.attempts, targets = self.targets.as_str(),
                first_ms:?, ms:? = millis(Some(duration)), slot_ms:?, network_ms:?,
                transfer_ms:?, promised_ms:?, reserve_ms:?, pieces, gap_ms:?, gap_target, gap_streams,
                gap_prompts, priority = self.priority, objective_ms:?, max_gap_ms:?, framing, body_end,
                held_bytes, takes_up;
                "request served");
        } else {
            log::warn!(target: "request", id = self.attempt_id.as_str(),
                route = self.route.name.as_str(), version = self.config_version, outcome,
                sendings = self.attempts, targets = self.targets.as_str(),
                first_ms:?, ms:? = millis(Some(duration)), slot_ms:?, network_ms:?,
                transfer_ms:?, promised_ms:?, reserve_ms:?, pieces, gap_ms:?, gap_target, gap_streams,
                gap_prompts, priority = self.priority, objective_ms:?, max_gap_ms:?, framing, body_end,
                held_bytes, takes_up;
                "request not served");
        }
    }

    /// The time from the dispatch of the last decode attempt to the first piece. The engine sends
    /// that piece once it has a slot and, if it prefills the prompt itself, has done so.
    fn slot_wait(&self) -> Option<Duration> {
        Some(self.first_piece_at?.saturating_duration_since(self.dispatched_at?))
    }
}

impl Pieces {
    /// Records another piece and returns the pause before it.
    fn record(&mut self, now: Instant, target: &Arc<Target>, shared: &Shared) -> Duration {
        let gap = now - self.last.at;
        self.count += 1;
        self.gaps.observe(gap.as_secs_f64());
        if self.longest_gap.as_ref().is_none_or(|longest| gap > longest.duration) {
            self.longest_gap = Some(self.last.gap_until(now, shared));
        }
        self.last.replace(now, target);
        gap
    }
}

impl Piece {
    fn new(at: Instant, target: &Arc<Target>) -> Self {
        let prompts_ended = target.engine.prompt_counts().ended;
        Self { at, target: target.clone(), prompts_ended }
    }

    /// Replaces it by the piece after it, which is usually from the same target.
    fn replace(&mut self, at: Instant, target: &Arc<Target>) {
        if !Arc::ptr_eq(&self.target, target) {
            self.target = target.clone();
        }
        (self.at, self.prompts_ended) = (at, target.engine.prompt_counts().ended);
    }

    /// The pause after it, which ends now.
    fn gap_until(&self, now: Instant, shared: &Shared) -> Gap {
        let Self { at, target, prompts_ended } = self;
        let peers = shared.peers.load_at(target.key);
        Gap {
            duration: now - *at,
            target: target.clone(),
            streams: target.engine.streams() + peers.streams,
            prompts: target.engine.prompt_counts().begun.saturating_sub(*prompts_ended),
        }
    }
}

/// Milliseconds to one decimal, as finer differences carry no information; [`NO_DURATION`] for none.
fn millis(duration: Option<Duration>) -> f64 {
    duration.map_or(NO_DURATION, |duration| (duration.as_secs_f64() * 1e4).round() / 10.0)
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.end(CALLER_LEFT);
    }
}
