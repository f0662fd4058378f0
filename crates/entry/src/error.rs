//! Errors that stop an entry.

use compact_str::CompactString;

/// Result with an error that stops an entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error that stops an entry.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for callers can't be bound.
    #[error("listen at {address}: {source}")]
    Listen {
        /// The address.
        address: CompactString,
        /// The operating system's error.
        #[source]
        source: std::io::Error,
    },
}
