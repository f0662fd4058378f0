//! Errors of commands and of decoding records.

use compact_str::CompactString;
use plat::Offset;

/// The result of a command or of decoding a record.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a command, or of a record or snapshot that cannot be decoded.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The log failed; in case of an append, the record was not appended and never will be.
    #[error(transparent)]
    Log(#[from] plat::Error),
    /// The reply to an append was lost and the record was not found in time: it may still appear.
    #[error("append to {stream}: record {id:016x} may still appear: {detail}")]
    Unsettled {
        /// The stream.
        stream: CompactString,
        /// The record's id.
        id: u64,
        /// The last error.
        detail: CompactString,
    },
    /// The record is corrupt, of another program, or of a version that is not supported.
    #[error("record {offset} of {stream}: {detail}")]
    Unreadable {
        /// The stream.
        stream: CompactString,
        /// The record's offset.
        offset: Offset,
        /// The cause.
        detail: CompactString,
    },
    /// A checkpoint or a peer's snapshot is corrupt, or of a version that is not supported.
    #[error("state of {stream} up to {end}: {detail}")]
    Snapshot {
        /// The stream.
        stream: CompactString,
        /// The end offset of the state.
        end: Offset,
        /// The cause.
        detail: CompactString,
    },
    /// A peer sent an invalid state.
    #[error("state from {peer}: {detail}")]
    Peer {
        /// The peer.
        peer: CompactString,
        /// The cause.
        detail: CompactString,
    },
    /// The resource is invalid; no record was appended.
    #[error(transparent)]
    Invalid(#[from] conf::Error),
    /// Another change came first.
    #[error("conflict: {detail}")]
    Conflict {
        /// The current generation of the resource and its author.
        detail: String,
    },
    /// The change is in the log and violates the rules, so all readers refuse it.
    #[error("refused: {detail}")]
    Refused {
        /// The reason.
        detail: String,
    },
}
