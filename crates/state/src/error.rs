//! What can go wrong with commands and with reading records.

use compact_str::CompactString;
use plat::Offset;

/// The result of a command or of reading records.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a command, or of a record that cannot be read.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The log failed.
    #[error(transparent)]
    Log(#[from] plat::Error),
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
    /// The resource is invalid.
    #[error(transparent)]
    Invalid(#[from] conf::Error),
    /// Another change got in first.
    #[error("conflict: {detail}")]
    Conflict {
        /// Who changed what meanwhile.
        detail: String,
    },
}
