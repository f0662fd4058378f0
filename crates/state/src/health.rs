//! How well a follower follows its stream.

use crate::Error;
use plat::Offset;
use std::time::Duration;
use tokio::time::Instant;

/// How well a follower follows its stream.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// The offset of the first record that is not applied.
    pub end: Offset,
    /// The offset of the log's next record when it was last read.
    pub log_end: Offset,
    /// When the last read began that showed the state to be complete; none if none has.
    pub fresh: Option<Instant>,
    /// What keeps it from following; none if nothing does.
    pub trouble: Option<Trouble>,
    /// The last record of a checkpoint that it passed, and when.
    pub checkpoint: Option<(Offset, Instant)>,
}

/// What keeps a follower from following.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Trouble {
    /// The log cannot be read; the follower tries again.
    #[error("{0}")]
    Unavailable(plat::Error),
    /// Records that were not applied are gone, and no checkpoint or peer has made up for them.
    #[error("records {end} to {oldest} are gone and no checkpoint covers them")]
    Gap {
        /// The offset of the first record that is not applied.
        end: Offset,
        /// The oldest offset that is kept.
        oldest: Offset,
    },
    /// A record cannot be read; a newer release may be able to.
    #[error("{0}")]
    Unreadable(Error),
    /// The log ends before the state does: it lost records or is another log.
    #[error("the log ends at {end}, before the state does")]
    Behind {
        /// The offset of the log's next record.
        end: Offset,
    },
}

impl Health {
    /// How many records of the log are not applied yet, as of the last read.
    pub fn lag(&self) -> u64 {
        self.log_end.saturating_sub(self.end)
    }

    /// Whether the state was complete at some moment within the last `age`.
    pub fn is_fresh(&self, age: Duration) -> bool {
        self.fresh.is_some_and(|fresh| fresh.elapsed() <= age)
    }
}
