//! Errors that stop an agent.

/// A result with the agent's error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error that stops an agent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A connection failed.
    #[error(transparent)]
    Wire(#[from] wire::Error),
}
