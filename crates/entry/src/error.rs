//! What can stop an entry.

use compact_str::CompactString;

/// The result of running an entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error that stops an entry.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for callers can't be used.
    #[error("listen at {address}: {source}")]
    Listen {
        /// The address.
        address: CompactString,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}
