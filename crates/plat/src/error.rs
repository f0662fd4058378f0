//! Errors of calls to the platform.

use crate::Offset;
use compact_str::CompactString;

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a call to the platform, with the step and the service.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The service did not accept the call, which had no effect.
    #[error("{step} at {peer}: unavailable: {detail}")]
    Unavailable {
        /// The operation that failed.
        step: &'static str,
        /// The service's address.
        peer: CompactString,
        /// The cause.
        detail: CompactString,
    },
    /// The reply was lost: the call may or may not have taken effect.
    #[error("{step} at {peer}: no reply: {detail}")]
    Unsettled {
        /// The operation that failed.
        step: &'static str,
        /// The service's address.
        peer: CompactString,
        /// The cause.
        detail: CompactString,
    },
    /// The requested records have expired.
    #[error("read of {stream}: records before {oldest} are no longer kept")]
    Gone {
        /// The stream.
        stream: CompactString,
        /// The oldest offset that is retained.
        oldest: Offset,
    },
    /// A conditional append found a different end of the stream: nothing was appended.
    #[error("append to {stream}: it ends at {end}")]
    Conflict {
        /// The stream.
        stream: CompactString,
        /// The end offset of the stream.
        end: Offset,
    },
    /// The service refused the call; a retry would be refused as well.
    #[error("{step} at {peer}: refused: {detail}")]
    Refused {
        /// The operation that failed.
        step: &'static str,
        /// The service's address.
        peer: CompactString,
        /// The service's reason.
        detail: CompactString,
    },
}
