//! The platform's append-only log.

use crate::Result;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use std::time::Duration;

/// The index of a record in its stream, from 0, with the epoch of the log; see [`crate::epoch`].
pub type Offset = u64;

/// Name of a stream of the log.
pub type StreamName = CompactString;

/// The stream on which operators publish resources.
pub const CONFIG_STREAM: &str = "config";

/// The stream of claims, orders, outcomes and suspects.
pub const SYSTEM_STREAM: &str = "system";

/// The stream of the claim on one target and of its calls that may not be repeated.
///
/// With one stream per target each process reads little: only the target's agent follows it.
pub fn calls_stream(target: &str) -> StreamName {
    format_compact!("calls.{target}")
}

/// A record in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The offset.
    pub offset: Offset,
    /// The content.
    pub bytes: Bytes,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// The records, in order and without gaps.
    pub entries: Vec<Entry>,
    /// The oldest offset that is retained.
    pub oldest: Offset,
    /// The lowest offset that the next appended record can have.
    pub end: Offset,
}

/// The log service.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends `records` without a gap and returns the offset of the first.
    ///
    /// After [`crate::Error::Unsettled`] they may or may not be in the log; only a read shows it.
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<Offset>;

    /// Reads at most `limit` records from offset `from`; waits up to `wait` for the first one.
    ///
    /// Fails with [`crate::Error::Gone`] if `from` is older than the oldest retained record.
    async fn read(&self, stream: &str, from: Offset, limit: usize, wait: Duration)
    -> Result<Batch>;
}
