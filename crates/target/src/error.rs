//! Errors of calls to a target.

use compact_str::CompactString;

/// The result of a call to a target.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a call to a target, with the step and the target's address.
///
/// The variants differ in whether the call may have been executed, which decides what may be
/// reported to the caller.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The call never reached the target.
    #[error("{step} at {peer}: not reached: {detail}")]
    NotReached {
        /// The operation that failed.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// The underlying error.
        detail: CompactString,
    },
    /// The call was sent and the exchange failed; it may have been executed.
    #[error("{step} at {peer}: broken off: {detail}")]
    Broken {
        /// The operation that failed.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// The underlying error.
        detail: CompactString,
    },
    /// The target refused the call without executing it.
    #[error("{step} at {peer}: refused with {status}: {detail}")]
    Refused {
        /// The operation that failed.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// The HTTP status.
        status: u16,
        /// The target's reason.
        detail: CompactString,
    },
    /// The order carried an older fencing token than one the target has seen.
    #[error("{step} at {peer}: the fencing number is older than {newest}")]
    Fenced {
        /// The operation that failed.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// The newest fencing token that the target has seen.
        newest: u64,
    },
}
