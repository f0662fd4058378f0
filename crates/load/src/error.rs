//! What can keep a mix from being sent.

use compact_str::CompactString;

/// The result of preparing or sending a mix.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a mix or of reading the stand-ins' reports.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The mix is wrong.
    #[error(transparent)]
    Mix(#[from] conf::Error),
    /// An address is none.
    #[error("`{address}` is no address of the form host:port")]
    Address {
        /// The address as given.
        address: CompactString,
    },
    /// An exchange failed.
    #[error("{step} at {peer}: {detail}")]
    Exchange {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: CompactString,
        /// What was seen.
        detail: String,
    },
}
