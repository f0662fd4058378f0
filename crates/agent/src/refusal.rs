//! Why an attempt is given up, and what may truthfully be said of its progress.

use std::time::Duration;
use target::Error;
use wire::{Progress, Refusal};

/// Nothing of the attempt reached the target, and nothing will.
pub(crate) fn not_run(reason: &str, detail: impl Into<String>) -> Refusal {
    refusal(reason, Progress::NotRun, detail.into())
}

/// The attempt ran, without a complete answer.
pub(crate) fn started(reason: &str, detail: impl Into<String>) -> Refusal {
    refusal(reason, Progress::Started, detail.into())
}

/// The attempt may have run.
pub(crate) fn unknown(reason: &str, detail: impl Into<String>) -> Refusal {
    refusal(reason, Progress::Unknown, detail.into())
}

/// Adds when another try is worth it.
pub(crate) fn retry_after(refusal: Refusal, wait: Duration) -> Refusal {
    let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Refusal { retry_after_ms, ..refusal }
}

/// What an error of the target means for the attempt that met it.
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
