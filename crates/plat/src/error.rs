//! What can go wrong with the platform.

use crate::Offset;
use compact_str::CompactString;

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error from the platform, with the step and the service at which it arose.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The service took nothing: the call had no effect.
    #[error("{step} at {peer}: unavailable: {detail}")]
    Unavailable {
        /// What was being done.
        step: &'static str,
        /// The service's address.
        peer: CompactString,
        /// What was seen.
        detail: CompactString,
    },
    /// The reply was lost: the call may or may not have taken effect.
    #[error("{step} at {peer}: no reply: {detail}")]
    Unsettled {
        /// What was being done.
        step: &'static str,
        /// The service's address.
        peer: CompactString,
        /// What was seen.
        detail: CompactString,
    },
    /// The records asked for are gone; the oldest that is kept has this offset.
    #[error("read of {stream}: records before {oldest} are no longer kept")]
    Gone {
        /// The stream read.
        stream: CompactString,
        /// The oldest offset that is still kept.
        oldest: Offset,
    },
    /// A conditional append found another end of the stream: nothing was appended.
    #[error("append to {stream}: it ends at {end}")]
    Conflict {
        /// The stream.
        stream: CompactString,
        /// Where it ends.
        end: Offset,
    },
    /// The service refused the call for good.
    #[error("{step} at {peer}: refused: {detail}")]
    Refused {
        /// What was being done.
        step: &'static str,
        /// The service's address.
        peer: CompactString,
        /// The service's reason.
        detail: CompactString,
    },
}
