//! Whether a request may wait, or is refused at once.
//!
//! **Load pattern.** A crowd arrives within a minute and asks for three times what the fleet can
//! do. **Without it** every queue grows until all work is late: engines stay busy with answers
//! that nobody waits for, and goodput collapses while throughput looks fine. **How.** A request is
//! refused when the work ahead of it, at the target's rates, takes longer than its deadline
//! leaves; the refusal says when that work will be done.

use crate::Time;
use crate::estimate::{Cost, Rates};
use crate::number::span;
use std::time::Duration;

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Fraction of the time left that the predicted wait may fill. Predictions of output lengths
    /// are off by some tens of per cent; what starts late is dropped from the queue anyway, so
    /// the margin only decides whether that is said at once.
    pub margin: f64,
    /// Output whose prompt was read by an engine that only reads, and that waits for a slot
    /// elsewhere, at most, in time. Less starves the engines that write between two hand-overs;
    /// more makes callers see a first token and then a gap, and is served in order of arrival.
    pub gap: Duration,
    /// The shortest Retry-After, so that refused callers don't come back within the same burst.
    pub least_retry: Duration,
    /// The longest Retry-After: after this the backlog is another one.
    pub most_retry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            margin: 1.0,
            gap: Duration::from_millis(600),
            least_retry: Duration::from_secs(1),
            most_retry: Duration::from_secs(60),
        }
    }
}

/// What asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its predicted work.
    pub cost: Cost,
    /// When its first token is due, if there is a deadline.
    pub deadline: Option<Time>,
}

/// What it would wait behind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetState {
    /// The work that would be served before it. At an agent this is [`crate::queue::Queue::ahead`]
    /// and what runs; at an entry the least backlog among the candidates.
    pub ahead: Cost,
    /// The rates of the target, or of all candidates together.
    pub rates: Rates,
    /// Whether any target that could serve it takes new work.
    pub accepting: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline would pass before it could start.
    DeadlineUnreachable,
    /// Nothing that could serve it takes new work.
    NoTarget,
    /// The queue is full of work that goes before it.
    QueueFull,
    /// The caller has used up its rate.
    RateLimit,
    /// The caller has as many requests open as it may.
    ConcurrencyLimit,
    /// The request crashed the targets that ran it.
    Quarantined,
}

impl Reason {
    /// The reason as callers and metrics see it.
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

/// A refusal: nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// After which time another try has a chance.
    pub retry_after: Duration,
}

/// What was decided.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Decides on requests as they come.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    settings: Settings,
}

impl Admission {
    /// Makes the decision with these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Admits a request and tells its predicted wait, or refuses it.
    pub fn decide(&self, ask: &Request, view: &TargetState, now: Time) -> Result<Duration> {
        let wait = view.ahead.time(&view.rates);
        if !view.accepting {
            return Err(self.refuse(Reason::NoTarget, wait));
        }
        let prefill = Cost::new(ask.cost.prefill, 0).seconds(&view.rates);
        let first_token = wait + span(prefill);
        let Some(deadline) = ask.deadline else { return Ok(wait) };
        let left = deadline.saturating_sub(now);
        if first_token > left.mul_f64(self.settings.margin) {
            // The work ahead has to shrink by this much before the same request would fit.
            return Err(self.refuse(Reason::DeadlineUnreachable, first_token.saturating_sub(left)));
        }
        Ok(wait)
    }

    /// Whether an engine that only reads may start a prompt: `begun` is the output that waits for
    /// slots elsewhere, at engines that write at these `rates` together.
    ///
    /// If all that comes were read at once, the queues in front of the reading engines, which are
    /// fair, would be empty, and a flood would wait where nothing is fair.
    pub fn may_start_prefill(&self, begun: Cost, rates: &Rates) -> bool {
        Cost::new(0, begun.decode).time(rates) < self.settings.gap
    }

    /// A refusal whose Retry-After is the time in which `excess` work drains, within bounds.
    pub fn refuse(&self, reason: Reason, excess: Duration) -> Refusal {
        let retry_after = excess.clamp(self.settings.least_retry, self.settings.most_retry);
        Refusal { reason, retry_after }
    }
}
