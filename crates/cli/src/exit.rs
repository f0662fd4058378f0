//! The exit codes of all commands; scripts rely on them, so their meaning must never change.

use std::process::ExitCode;

/// The command line is invalid; the same code as `clap` uses.
pub(crate) const USAGE: u8 = 2;

/// A daemon was stopped before all requests in flight had been answered.
pub(crate) const FORCED: i32 = 3;

/// A run of `load` found a violation of the serving guarantees.
pub(crate) const BROKEN: i32 = 4;

/// The resource is at another generation than expected.
const CONFLICT: u8 = 5;

/// The resource or request was not found.
const NOT_FOUND: u8 = 6;

/// The awaited condition was not met in time.
const NOT_REACHED: u8 = 7;

/// The error of a condition that was not met in time.
#[derive(Debug, thiserror::Error)]
#[error("{detail}")]
pub(crate) struct NotReached {
    pub(crate) detail: String,
}

/// The exit code for an error.
pub(crate) fn code(error: &eyre::Report) -> ExitCode {
    if error.downcast_ref::<NotReached>().is_some() {
        return ExitCode::from(NOT_REACHED);
    }
    match error.downcast_ref::<admin::Error>() {
        Some(admin::Error::Refused { details, .. }) => match details.title.as_str() {
            "conflict" => ExitCode::from(CONFLICT),
            "not-found" => ExitCode::from(NOT_FOUND),
            _ => ExitCode::FAILURE,
        },
        Some(admin::Error::Exchange { .. }) | None => ExitCode::FAILURE,
    }
}
