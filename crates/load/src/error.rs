//! Errors of preparing a mix and of reading the stand-ins' reports.

use compact_str::CompactString;

/// The result of preparing or sending a mix.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a mix or of reading the stand-ins' reports.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The mix or the list of entries is invalid.
    #[error(transparent)]
    Mix(#[from] conf::Error),
    /// An address is invalid.
    #[error("`{address}` is no address of the form host:port")]
    Address {
        /// The address as given.
        address: CompactString,
    },
    /// A request to a stand-in failed.
    #[error("{step} at {peer}: {detail}")]
    Exchange {
        /// The operation that failed.
        step: &'static str,
        /// Address of the stand-in.
        peer: CompactString,
        /// Cause of the failure.
        detail: String,
    },
}
