//! Whether all of a body has arrived.

use crate::{Framing, Position};

/// How reading a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The length was reached, or the last chunk or the regular end of the connection arrived.
    Ended,
    /// The connection failed or was reset, or ended before the length or the last chunk.
    Failed,
}

/// Whether all of a body has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// All of it has arrived.
    Complete,
    /// It was broken off.
    BrokenOff,
    /// It ended with its connection, and nothing in it marks its end: whoever decodes it has to
    /// check that it is whole.
    Unmarked,
}

impl End {
    /// Judges a body by its framing, how reading it ended and, for a stream of events, where.
    ///
    /// A length and a last chunk tell that all was sent, also if the last event lacks its empty line.
    pub fn judge(framing: Framing, outcome: Outcome, position: Option<Position>) -> Self {
        match (outcome, framing, position) {
            (Outcome::Failed, _, _) => Self::BrokenOff,
            (Outcome::Ended, Framing::Length | Framing::Chunks, _) => Self::Complete,
            (Outcome::Ended, Framing::Connection, Some(Position::Boundary)) => Self::Complete,
            (Outcome::Ended, Framing::Connection, Some(Position::WithinEvent)) => Self::BrokenOff,
            (Outcome::Ended, Framing::Connection, None) => Self::Unmarked,
        }
    }

    /// Returns whether it was broken off.
    pub fn is_broken_off(self) -> bool {
        match self {
            Self::BrokenOff => true,
            Self::Complete | Self::Unmarked => false,
        }
    }
}
