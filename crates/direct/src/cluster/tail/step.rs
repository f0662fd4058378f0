//! The streams, and what an entry that follows one of them does next.

use super::{ReadId, RecordSpan};
use plat::Offset;
use policy::Hash;
use std::time::Duration;
use tokio::time::Instant;

/// A stream that entries follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The list of targets.
    Targets,
    /// The entries' own stream, see [`crate::exchange::entry_stream`].
    Notices,
}

impl Topic {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Notices => "notices",
        }
    }
}

/// All topics. Datagrams carry a topic as its index in this list.
pub const TOPICS: [Topic; 3] = [Topic::Config, Topic::Targets, Topic::Notices];

/// Why an entry reads a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It is a designated reader.
    DesignatedReader,
    /// No entry has confirmed its view recently.
    ViewTooOld,
    /// It lacks records that no other entry sent in time.
    NewRecords,
}

impl ReadReason {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::DesignatedReader => "for-all",
            Self::ViewTooOld => "none-fresh",
            Self::NewRecords => "news",
        }
    }
}

/// What an entry tells about one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStatus {
    /// The stream.
    pub topic: Topic,
    /// The offset after the last record that changed something and that the entry has applied.
    pub change_end: Offset,
    /// The newest read that found no change beyond that offset.
    pub read: ReadId,
    /// How long ago that read was made.
    pub age: Duration,
    /// How long that read took.
    pub duration: Duration,
    /// How far it went.
    pub position: Offset,
}

/// The next step of an entry that follows a stream.
#[derive(Debug, Clone)]
pub enum FollowStep {
    /// Read the stream.
    Read(ReadReason),
    /// Apply records that another entry sent.
    Apply(RecordSpan),
    /// Request the missing records from another entry, named by the hash of its name.
    Pull(Hash),
    /// Obtain the whole stream again, since the log was restored from an older copy.
    Restart,
}

/// When to call the log again after a failed call.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// When the call failed.
    pub failed_at: Instant,
    /// When to call again, unless another call has succeeded in the meantime.
    pub at: Instant,
}
