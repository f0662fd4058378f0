//! The exit codes of all commands; scripts rely on them, so none ever changes its meaning.

use std::process::ExitCode;

/// A command line that makes no sense, as `clap` has it.
pub(crate) const USAGE: u8 = 2;

/// A daemon's stop that cut requests in flight.
pub(crate) const FORCED: i32 = 3;

/// A run of `load` in which something happened that must never happen.
pub(crate) const BROKEN: i32 = 4;

/// Another change got in first.
const CONFLICT: u8 = 5;

/// There is no such thing.
const NOT_FOUND: u8 = 6;

/// What was waited for did not come in time.
const NOT_REACHED: u8 = 7;

/// What was waited for did not come in time.
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
