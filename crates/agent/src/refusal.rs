//! Refusals: why an attempt has failed, and how far it can have progressed.

use std::time::Duration;
use target::Error;
use wire::{Progress, Refusal};

/// Returns the refusal of an attempt that has not reached the target and never will.
pub(crate) fn not_run(reason: &str, detail: impl Into<String>) -> Refusal {
    refusal(reason, Progress::NotRun, detail.into())
}

/// Returns the refusal of an attempt that was executed without a complete answer.
pub(crate) fn started(reason: &str, detail: impl Into<String>) -> Refusal {
    refusal(reason, Progress::Started, detail.into())
}

/// Returns the refusal of an attempt that may have been executed.
pub(crate) fn unknown(reason: &str, detail: impl Into<String>) -> Refusal {
    refusal(reason, Progress::Unknown, detail.into())
}

/// Sets when a retry is worthwhile.
pub(crate) fn retry_after(refusal: Refusal, wait: Duration) -> Refusal {
    let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Refusal { retry_after_ms, ..refusal }
}

/// Returns the refusal for an attempt that failed with an error of the target.
pub(crate) fn from_target(error: &Error) -> Refusal {
    match error {
        Error::NotReached { .. } => not_run("target-down", error.to_string()),
        Error::Refused { .. } | Error::Fenced { .. } => {
            not_run("target-refused", error.to_string())
        }
        Error::Broken { .. } => started("target-broken", error.to_string()),
    }
}

fn refusal(reason: &str, progress: Progress, detail: String) -> Refusal {
    Refusal { reason: reason.to_owned(), progress: progress.into(), retry_after_ms: 0, detail }
}
