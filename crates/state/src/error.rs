//! What can go wrong with commands and with reading records.

use compact_str::CompactString;
use plat::Offset;

/// The result of a command or of reading records.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a command, or of a record or snapshot that cannot be read.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The log failed; after an append it took nothing and never will.
    #[error(transparent)]
    Log(#[from] plat::Error),
    /// The reply to an append was lost, and reading did not show the record in time: it may
    /// still appear.
    #[error("append to {stream}: record {id:016x} may still appear: {detail}")]
    Unsettled {
        /// The stream.
        stream: CompactString,
        /// The record's id.
        id: u64,
        /// What was seen last.
        detail: CompactString,
    },
    /// The record is no record of ours, torn, or of a version that we don't know.
    #[error("record {offset} of {stream}: {detail}")]
    Unreadable {
        /// The stream.
        stream: CompactString,
        /// The record's offset.
        offset: Offset,
        /// What is wrong with it.
        detail: CompactString,
    },
    /// A checkpoint or a peer's snapshot is torn, or of a version that we don't know.
    #[error("state of {stream} up to {end}: {detail}")]
    Snapshot {
        /// The stream.
        stream: CompactString,
        /// The offset up to which it holds the stream.
        end: Offset,
        /// What is wrong with it.
        detail: CompactString,
    },
    /// A peer sent what is no state.
    #[error("state from {peer}: {detail}")]
    Peer {
        /// The peer.
        peer: CompactString,
        /// What is wrong with it.
        detail: CompactString,
    },
    /// The resource is invalid; nothing was appended.
    #[error(transparent)]
    Invalid(#[from] conf::Error),
    /// Another change got in first.
    #[error("conflict: {detail}")]
    Conflict {
        /// Who changed what meanwhile.
        detail: String,
    },
    /// The change stands in the log and was refused there by the rules.
    #[error("refused: {detail}")]
    Refused {
        /// Why.
        detail: String,
    },
}
