//! The one place that decides what a caller is told of a request that gets no complete answer.
//!
//! What could go wrong: a caller is told "not run" of a call that ran or may yet run, sends it
//! again, and funds move twice. All attempts of a request are therefore noted in one [`Trail`],
//! and only a trail without a single attempt that may have reached its target says `not-run`.

use crate::Reason;
use std::time::Duration;
use wire::{Progress, Refusal};

/// Whether a request was run, as callers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// Nothing of it reached a target, and nothing will.
    NotRun,
    /// It may not be repeated, and nobody can say whether it took effect.
    Unknown,
    /// It may be repeated; some of it ran, or may have run, without a complete answer.
    Run,
}

impl Execution {
    /// The stable name that callers read.
    pub fn name(self) -> &'static str {
        match self {
            Execution::NotRun => "not-run",
            Execution::Unknown => "unknown",
            Execution::Run => "run",
        }
    }
}

/// Why and how far an attempt or a whole request failed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Failure {
    /// Why.
    pub(crate) reason: Reason,
    /// How far the attempt had come.
    pub(crate) progress: Progress,
    /// After what time another try is worth it, if that is known.
    pub(crate) retry_after: Option<Duration>,
    /// More for a person to read.
    pub(crate) detail: String,
}

impl Failure {
    /// A failure before anything was sent to a target.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, progress: Progress::NotRun, retry_after: None, detail: detail.into() }
    }

    /// The loss of the connection to an agent that may have begun the attempt.
    pub(crate) fn connection_lost(progress: Progress) -> Self {
        let detail = "the connection to the target's agent was lost".to_owned();
        Self { reason: Reason::AgentLost, progress, retry_after: None, detail }
    }

    /// What an agent said when it gave an attempt up.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        let progress = refusal.progress();
        let retry_after = Duration::from_millis(refusal.retry_after_ms);
        Self {
            reason: Reason::from_name(&refusal.reason),
            progress,
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
            detail: refusal.detail,
        }
    }

    /// The same failure with a time after which to come again.
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// How far all attempts of one request have come together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptHistory {
    repeatable: bool,
    reached: bool,
}

impl AttemptHistory {
    /// Begins the trail of a request that may or may not be repeated.
    pub(crate) fn new(repeatable: bool) -> Self {
        Self { repeatable, reached: false }
    }

    /// Notes that an attempt is over and how far it came.
    pub(crate) fn record(&mut self, progress: Progress) {
        self.reached |= match progress {
            Progress::NotRun => false,
            Progress::Unknown | Progress::Started => true,
        };
    }

    /// Whether another attempt can do no harm.
    pub(crate) fn may_retry(&self) -> bool {
        self.repeatable || !self.reached
    }

    /// What the caller is told if no further attempt is made.
    pub(crate) fn execution(&self) -> Execution {
        match (self.reached, self.repeatable) {
            (false, _) => Execution::NotRun,
            (true, true) => Execution::Run,
            (true, false) => Execution::Unknown,
        }
    }
}
