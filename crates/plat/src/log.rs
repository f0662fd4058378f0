//! The platform's append-only log.

use crate::Result;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use std::time::Duration;

/// A record's place in its stream, counted from 0, with the epoch of the log, see [`crate::epoch`].
pub type Offset = u64;

/// Name of a stream of the log.
pub type StreamName = CompactString;

/// The stream on which operators publish resources.
pub const CONFIG_STREAM: &str = "config";

/// The stream of claims, orders, outcomes and statuses.
pub const SYSTEM_STREAM: &str = "system";

/// The stream of the claim on one target and of the calls that may not be repeated there.
///
/// One stream a target keeps each reader's share small: only the target's agent follows it.
pub fn calls_stream(target: &str) -> StreamName {
    format_compact!("calls.{target}")
}

/// One record as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its place.
    pub offset: Offset,
    /// Its content.
    pub bytes: Bytes,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// The records, in order and without gaps.
    pub entries: Vec<Entry>,
    /// The oldest offset that is still kept.
    pub oldest: Offset,
    /// The offset that the next appended record will have at the earliest.
    pub end: Offset,
}

/// The log service.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends `records` side by side and returns the first one's offset.
    ///
    /// After [`crate::Error::Unsettled`] they may stand in the log or not: read to find out.
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<Offset>;

    /// Reads at most `limit` records from offset `from`; waits up to `wait` for the first.
    ///
    /// Fails with [`crate::Error::Gone`] if `from` is older than the oldest kept record.
    async fn read(&self, stream: &str, from: Offset, limit: usize, wait: Duration)
    -> Result<Batch>;
}
