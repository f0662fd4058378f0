//! Errors of links and connections between processes.

use compact_str::CompactString;

/// The result of an operation on a link or connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of a link or connection, with the step and the peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The transport failed.
    #[error("{step} with {peer}: {source}")]
    Io {
        /// The operation that failed.
        step: &'static str,
        /// The peer's address.
        peer: CompactString,
        /// The error of the transport.
        #[source]
        source: std::io::Error,
    },
    /// The peer sent an invalid or unexpected frame.
    #[error("{step} with {peer}: {detail}")]
    Protocol {
        /// The operation that failed.
        step: &'static str,
        /// The peer's address.
        peer: CompactString,
        /// The cause.
        detail: CompactString,
    },
    /// The peer uses another version of the protocol.
    #[error("handshake with {peer}: its protocol version is {theirs}, ours is {ours}")]
    Version {
        /// The peer's address.
        peer: CompactString,
        /// The peer's protocol version.
        theirs: u32,
        /// This process's protocol version.
        ours: u32,
    },
    /// The peer does not have the shared key.
    #[error("handshake with {peer}: its proof of the shared key is invalid")]
    Untrusted {
        /// The peer's address.
        peer: CompactString,
    },
    /// The peer closed the connection.
    #[error("{step} with {peer}: the connection is closed")]
    Closed {
        /// The operation that failed.
        step: &'static str,
        /// The peer's address.
        peer: CompactString,
    },
}
