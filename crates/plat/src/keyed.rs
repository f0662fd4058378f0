//! Streams of the log that keep the newest record of each key for good.

use crate::{Log, Offset, Result};
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use std::time::Duration;

/// A record of a keyed stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its place.
    pub offset: Offset,
    /// Its key.
    pub key: CompactString,
    /// Its value; none if the key was removed.
    pub value: Option<Bytes>,
}

/// The newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Newest {
    /// The records, by key.
    pub records: Vec<Record>,
    /// Where to go on reading: all that is newer than the records stands from here on.
    pub end: Offset,
}

/// A log with keyed streams and conditional appends.
#[async_trait]
pub trait KeyedLog: Log {
    /// Reads the newest record of each key.
    async fn newest(&self, stream: &str) -> Result<Newest>;

    /// Reads records from offset `from`, as [`Log::read`] does, and returns where to go on.
    async fn changes(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<(Vec<Record>, Offset)>;

    /// Appends `record` if the stream ends at `at`, and returns its offset.
    ///
    /// Fails with [`crate::Error::Moved`] if it ends elsewhere.
    async fn append_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset>;
}
