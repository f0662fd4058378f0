//! What can go wrong at a target.

use compact_str::CompactString;

/// The result of a call to a target.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error at a target, with the step and the target at which it arose.
///
/// The variants differ in what is known of the call's effect, which decides what a caller may be
/// told.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The call never reached the target.
    #[error("{step} at {peer}: not reached: {detail}")]
    NotReached {
        /// What was being done.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// What was seen.
        detail: CompactString,
    },
    /// The call may have had its effect.
    #[error("{step} at {peer}: broken off: {detail}")]
    Broken {
        /// What was being done.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// What was seen.
        detail: CompactString,
    },
    /// The target refused the call without running it.
    #[error("{step} at {peer}: refused with {status}: {detail}")]
    Refused {
        /// What was being done.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// The HTTP status.
        status: u16,
        /// The target's reason.
        detail: CompactString,
    },
    /// The order carried an older fencing number than one the target has seen.
    #[error("{step} at {peer}: the fencing number is older than {newest}")]
    Fenced {
        /// What was being done.
        step: &'static str,
        /// The target's address.
        peer: CompactString,
        /// The newest fencing number that the target has seen.
        newest: u64,
    },
}
