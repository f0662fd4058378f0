//! Determines what is reported to a caller about a request without a complete response.
//!
//! If a call that ran, or may yet run, were reported as `not-run`, its caller would repeat it and
//! it could take effect twice, for example transfer funds twice. All attempts of a request are
//! therefore recorded in one [`AttemptHistory`], and only a history without any attempt that may
//! have reached its target results in `not-run`.

use crate::Reason;
use std::time::Duration;
use wire::{Progress, Refusal};

/// Whether a request was executed, as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No part of the request has reached a target, and none will.
    NotRun,
    /// The request may not be repeated, and whether it took effect is unknown.
    Unknown,
    /// The request may be repeated; a part of it ran, or may have run, without a complete response.
    Run,
}

impl Execution {
    /// Returns the stable name that callers receive.
    pub fn name(self) -> &'static str {
        match self {
            Execution::NotRun => "not-run",
            Execution::Unknown => "unknown",
            Execution::Run => "run",
        }
    }
}

/// Why and after what progress an attempt or a whole request failed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Failure {
    /// The reason.
    pub(crate) reason: Reason,
    /// Progress of the attempt before it failed.
    pub(crate) progress: Progress,
    /// Time after which a retry may succeed, if known.
    pub(crate) retry_after: Option<Duration>,
    /// Human-readable detail.
    pub(crate) detail: String,
}

impl Failure {
    /// Creates a failure of a request that was not sent to any target.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, progress: Progress::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates the failure for a lost connection to an agent that may have begun the attempt.
    pub(crate) fn connection_lost(progress: Progress) -> Self {
        let detail = "the connection to the target's agent was lost".to_owned();
        Self { reason: Reason::AgentLost, progress, retry_after: None, detail }
    }

    /// Converts an agent's refusal.
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

    /// Sets the time after which a retry may succeed.
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// Combined progress of all attempts of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptHistory {
    repeatable: bool,
    reached: bool,
}

impl AttemptHistory {
    /// Creates an empty history of a request that may, or may not, be repeated.
    pub(crate) fn new(repeatable: bool) -> Self {
        Self { repeatable, reached: false }
    }

    /// Records the progress of an attempt that has ended.
    pub(crate) fn record(&mut self, progress: Progress) {
        self.reached |= match progress {
            Progress::NotRun => false,
            Progress::Unknown | Progress::Started => true,
        };
    }

    /// Returns whether another attempt is safe.
    pub(crate) fn may_retry(&self) -> bool {
        self.repeatable || !self.reached
    }

    /// Returns what is reported to the caller if there is no further attempt.
    pub(crate) fn execution(&self) -> Execution {
        match (self.reached, self.repeatable) {
            (false, _) => Execution::NotRun,
            (true, true) => Execution::Run,
            (true, false) => Execution::Unknown,
        }
    }
}
