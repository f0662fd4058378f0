//! Decides whether a request may wait for a target or is refused at once.
//!
//! **Load pattern.** Within a minute, callers send three times as many requests as the fleet can
//! serve. **Without this**, every queue grows until all work is late: engines stay busy with
//! responses that nobody waits for, and goodput collapses while throughput looks fine.
//! **Approach.** A request is refused when the work ahead of it, at the target's rates, takes
//! longer than the time left until its deadline. The refusal states when that work will be done.

use crate::Time;
use crate::estimate::{Cost, Rates};
use crate::number::span;
use std::time::Duration;

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Fraction of the time left until the deadline that the predicted wait may fill. Predicted
    /// output lengths are off by some tens of per cent. Requests that would start too late are
    /// dropped from the queue anyway, so the margin only decides whether they are refused earlier.
    pub margin: f64,
    /// Upper bound, in time, on the output whose prompt was computed by a prefill engine and that
    /// waits for a decode slot elsewhere. A lower bound starves the decode engines between two
    /// transfers. A higher one makes callers see a first token and then a gap, and that output is
    /// served in order of arrival.
    pub max_decode_wait: Duration,
    /// Shortest Retry-After, so that refused callers do not retry within the same burst.
    pub min_retry_after: Duration,
    /// Longest Retry-After. The backlog is a different one by then.
    pub max_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            margin: 1.0,
            max_decode_wait: Duration::from_millis(600),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(60),
        }
    }
}

/// A request that is to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its predicted work.
    pub cost: Cost,
    /// When its first token is due, if it has a deadline.
    pub deadline: Option<Time>,
}

/// The target, or the candidates, that the request would wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetState {
    /// Work that would be served before the request. At an agent this is
    /// [`crate::queue::Queue::ahead`] and the running work; at an entry it is the smallest backlog
    /// among the candidates.
    pub ahead: Cost,
    /// Rates of the target, or of all candidates together.
    pub rates: Rates,
    /// Whether any target that could serve the request accepts new work.
    pub accepting: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline would pass before it could start.
    DeadlineUnreachable,
    /// No target that could serve it accepts new work.
    NoTarget,
    /// The queue is full of work that goes before it.
    QueueFull,
    /// The caller has used up its token rate.
    RateLimit,
    /// The caller has as many open requests as it may have.
    ConcurrencyLimit,
    /// The request crashed the targets that ran it.
    Quarantined,
}

impl Reason {
    /// Returns the name of the reason in responses and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::DeadlineUnreachable => "deadline-unreachable",
            Reason::NoTarget => "no-target",
            Reason::QueueFull => "queue-full",
            Reason::RateLimit => "rate-limit",
            Reason::ConcurrencyLimit => "concurrency-limit",
            Reason::Quarantined => "quarantined",
        }
    }
}

/// A refusal. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// The outcome of an admission decision.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Admits or refuses requests as they arrive.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    settings: Settings,
}

impl Admission {
    /// Creates an admission control with these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Admits a request and returns its predicted wait, or refuses it.
    pub fn decide(&self, request: &Request, target: &TargetState, now: Time) -> Result<Duration> {
        let wait = target.ahead.time(&target.rates);
        if !target.accepting {
            return Err(self.refuse(Reason::NoTarget, wait));
        }
        let prefill = Cost::new(request.cost.prefill, 0).seconds(&target.rates);
        let first_token = wait + span(prefill);
        let Some(deadline) = request.deadline else { return Ok(wait) };
        let left = deadline.saturating_sub(now);
        if first_token > left.mul_f64(self.settings.margin) {
            // The work ahead has to shrink by this much before the same request would fit.
            return Err(self.refuse(Reason::DeadlineUnreachable, first_token.saturating_sub(left)));
        }
        Ok(wait)
    }

    /// Returns whether a prefill engine may start a prompt. `begun` is the output that waits for a
    /// slot at decode engines, whose combined rates are `rates`.
    ///
    /// If every prompt were computed as soon as it arrives, the fair queues in front of the prefill
    /// engines would be empty, and a flood would wait where no queue is fair.
    pub fn may_start_prefill(&self, begun: Cost, rates: &Rates) -> bool {
        Cost::new(0, begun.decode).time(rates) < self.settings.max_decode_wait
    }

    /// Returns a refusal whose Retry-After is the time in which `excess` work drains, within the
    /// bounds of the settings.
    pub fn refuse(&self, reason: Reason, excess: Duration) -> Refusal {
        let retry_after =
            excess.clamp(self.settings.min_retry_after, self.settings.max_retry_after);
        Refusal { reason, retry_after }
    }
}
