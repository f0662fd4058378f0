//! What is told of one request when it ends: one line in the log and the metrics.

use crate::config::route::{RouteName, ServiceName};
use crate::metrics::Outcome;
use crate::shared::Shared;
use compact_str::{CompactString, ToCompactString};
use prometheus_client::metrics::histogram::Histogram;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The outcome of a request whose answer was passed on whole.
pub const COMPLETE: &str = "complete";

/// The story of one request so far. Dropped before its end, it tells that the caller left.
pub struct Trace {
    /// The caller's id of the sending.
    pub attempt: CompactString,
    /// The route's name.
    pub route: RouteName,
    /// The configuration that decided.
    pub version: u64,
    /// When the head had been read.
    pub arrived: Instant,
    /// Sendings to targets so far.
    pub sendings: u32,
    /// The targets tried, in order, with how each went.
    pub targets: CompactString,
    /// The service of a generation, and the tokens of output in a piece.
    pub output: Option<(ServiceName, u32)>,
    first: Option<Instant>,
    /// When the last piece went, once one has.
    gaps: Option<(Histogram, Instant)>,
    ended: bool,
    shared: Arc<Shared>,
}

impl Trace {
    /// Begins the story.
    pub fn new(
        attempt: CompactString,
        route: RouteName,
        version: u64,
        arrived: Instant,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            attempt,
            route,
            version,
            arrived,
            sendings: 0,
            targets: CompactString::default(),
            output: None,
            first: None,
            gaps: None,
            ended: false,
            shared,
        }
    }

    /// Notes a sending, how it went and how many milliseconds it took, such as `read:i-1:ok:12`.
    pub fn tried(&mut self, step: &str, target: &str, went: &'static str, took: Duration) {
        self.shared.metrics.attempt(step, target, went, took);
        if !self.targets.is_empty() {
            self.targets.push(',');
        }
        let took = took.as_millis().to_compact_string();
        for (index, text) in [step, target, went, took.as_str()].into_iter().enumerate() {
            if index > 0 {
                self.targets.push(':');
            }
            self.targets.push_str(text);
        }
    }

    /// Notes that a piece is on its way to the caller.
    pub fn piece(&mut self) {
        let now = Instant::now();
        match &mut self.gaps {
            Some((gaps, last)) => {
                let gap = now - std::mem::replace(last, now);
                gaps.observe(gap.as_secs_f64());
                if let Some((service, tokens)) = &self.output {
                    self.shared.loads.record_decode(service, *tokens, gap);
                }
            }
            None => {
                self.first = Some(now);
                self.shared.metrics.first_piece(&self.route, now - self.arrived);
                self.gaps = Some((self.shared.metrics.gaps(&self.route), now));
            }
        }
    }

    /// Notes that a target broke off in the middle of its answer.
    pub fn broke_off(&mut self, target: &str, detail: &str) {
        log::warn!(target: "request", id = self.attempt.as_str(), target_id = target, detail;
            "target broke off");
    }

    /// Tells how the request ended.
    pub fn end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took = self.arrived.elapsed();
        self.shared.metrics.request_ended(&self.route, Outcome(outcome), took);
        if outcome == COMPLETE {
            self.shared.durations.record(&self.route, took);
        }
        let first = self.first.map_or(-1.0, |first| (first - self.arrived).as_secs_f64() * 1e3);
        let ms = took.as_secs_f64() * 1e3;
        // Two events, so that in a burst the lines of requests that were not served are not dropped
        // for want of room among those that were.
        if outcome == COMPLETE {
            log::info!(target: "request", id = self.attempt.as_str(), route = self.route.as_str(),
                version = self.version, outcome, sendings = self.sendings,
                targets = self.targets.as_str(), first_ms:? = round(first), ms:? = round(ms);
                "request served");
        } else {
            log::warn!(target: "request", id = self.attempt.as_str(), route = self.route.as_str(),
                version = self.version, outcome, sendings = self.sendings,
                targets = self.targets.as_str(), first_ms:? = round(first), ms:? = round(ms);
                "request not served");
        }
    }
}

/// Milliseconds with one decimal: finer differences say nothing.
fn round(ms: f64) -> f64 {
    (ms * 10.0).round() / 10.0
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.end("caller-left");
    }
}
