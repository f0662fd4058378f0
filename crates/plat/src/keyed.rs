//! Compacted streams of the log, which retain the newest record of each key.

use crate::{Entry, Error, Log, Offset, Result};
use async_trait::async_trait;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::CompactString;
use std::time::Duration;

/// A record of a keyed stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The offset.
    pub offset: Offset,
    /// The key.
    pub key: CompactString,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

impl Record {
    /// Encodes a record: one byte with the length of the key, the key, the value. `None` for a key
    /// of more than 255 bytes.
    pub fn encode(key: &str, value: &[u8]) -> Option<Bytes> {
        let length = u8::try_from(key.len()).ok()?;
        let mut bytes = BytesMut::with_capacity(1 + key.len() + value.len());
        bytes.put_u8(length);
        bytes.put_slice(key.as_bytes());
        bytes.put_slice(value);
        Some(bytes.freeze())
    }

    /// Decodes a record; `None` if it has no key. A record without a value removes its key.
    pub fn decode(entry: Entry) -> Option<Self> {
        let Entry { offset, mut bytes } = entry;
        let length = usize::from(bytes.try_get_u8().ok()?);
        if bytes.len() < length {
            return None;
        }
        let key = CompactString::from_utf8(bytes.split_to(length)).ok()?;
        Some(Self { offset, key, value: (!bytes.is_empty()).then_some(bytes) })
    }
}

/// The newest record of each key.
#[derive(Debug, Clone, Default)]
pub struct Newest {
    /// The records, by key.
    pub records: Vec<Record>,
    /// The offset from which to read changes: all newer records are at or above it.
    pub end: Offset,
    /// The error that ended the read early; other keys may have records then.
    pub cut_short: Option<Error>,
}

/// A log with keyed streams and conditional appends.
#[async_trait]
pub trait KeyedLog: Log {
    /// Reads the newest record of each key. A read that fails after some records returns these, with
    /// the error in [`Newest::cut_short`].
    async fn newest(&self, stream: &str) -> Result<Newest>;

    /// Reads records from offset `from`, as [`Log::read`] does; returns them and the next offset.
    async fn changes(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<(Vec<Record>, Offset)>;

    /// Appends `record` if the stream ends at `at`, and returns its offset.
    ///
    /// Fails with [`crate::Error::Conflict`] if it ends at another offset.
    async fn append_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset>;
}
