//! The health of a follower.

use crate::Error;
use plat::Offset;
use std::time::Duration;
use tokio::time::Instant;

/// How far a follower has read its stream, and what prevents it from reading on.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// The offset of the first record that is not applied.
    pub end: Offset,
    /// The end offset of the stream as of the last read.
    pub log_end: Offset,
    /// When the last read began that showed the state to be complete; `None` if none has.
    pub complete_at: Option<Instant>,
    /// The error that prevents it from following the stream, if any.
    pub error: Option<FollowError>,
    /// The offset of the last checkpoint record that was applied, and when.
    pub checkpoint: Option<(Offset, Instant)>,
}

/// An error that prevents a follower from following its stream.
#[derive(Debug, Clone, thiserror::Error)]
pub enum FollowError {
    /// The log cannot be read; the follower retries.
    #[error("{0}")]
    Unavailable(plat::Error),
    /// Records that were not applied have expired, and no checkpoint or peer's state covers them.
    #[error("records {end} to {oldest} are gone and no checkpoint covers them")]
    Gap {
        /// The offset of the first record that is not applied.
        end: Offset,
        /// The oldest offset that is retained.
        oldest: Offset,
    },
    /// A record cannot be decoded; a newer release may be able to.
    #[error("{0}")]
    Unreadable(Error),
    /// The log ends before the state: it lost records or is a different log.
    #[error("the log ends at {end}, before the state does")]
    LogBehind {
        /// The end offset of the log.
        end: Offset,
    },
}

impl Health {
    /// The number of records that are not applied yet, as of the last read.
    pub fn lag(&self) -> u64 {
        self.log_end.saturating_sub(self.end)
    }

    /// Whether the state was complete at some time within the last `age`.
    pub fn is_fresh(&self, age: Duration) -> bool {
        self.complete_at.is_some_and(|complete_at| complete_at.elapsed() <= age)
    }
}
