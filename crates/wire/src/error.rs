//! What can go wrong between two of our processes.

use compact_str::CompactString;

/// The result of an operation on a link or connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error on the way to or from a peer, with the step and the peer at which it arose.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The transport failed.
    #[error("{step} with {peer}: {source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: CompactString,
        /// The transport's own error.
        #[source]
        source: std::io::Error,
    },
    /// The peer sent something that is no frame, or not the frame that was due.
    #[error("{step} with {peer}: {detail}")]
    Protocol {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: CompactString,
        /// What was wrong with it.
        detail: CompactString,
    },
    /// The peer speaks another version of the protocol.
    #[error("handshake with {peer}: it speaks version {theirs}, we speak {ours}")]
    Version {
        /// The other side's address.
        peer: CompactString,
        /// The peer's protocol version.
        theirs: u32,
        /// Our protocol version.
        ours: u32,
    },
    /// The peer does not know the shared key.
    #[error("handshake with {peer}: its proof of the shared key is wrong")]
    Untrusted {
        /// The other side's address.
        peer: CompactString,
    },
    /// The connection was closed by the peer.
    #[error("{step} with {peer}: the connection is closed")]
    Closed {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: CompactString,
    },
}
