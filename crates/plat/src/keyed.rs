//! Streams of the log that keep the newest record of each key for good.

use crate::{Entry, Log, Offset, Result};
use async_trait::async_trait;
use bytes::{Buf, BufMut, Bytes, BytesMut};
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

impl Record {
    /// The plain form of a keyed record: one byte with the length of the key, the key, the value.
    /// `None` for a key of more than 255 bytes.
    pub fn encode(key: &str, value: &[u8]) -> Option<Bytes> {
        let length = u8::try_from(key.len()).ok()?;
        let mut plain = BytesMut::with_capacity(1 + key.len() + value.len());
        plain.put_u8(length);
        plain.put_slice(key.as_bytes());
        plain.put_slice(value);
        Some(plain.freeze())
    }

    /// Reads the plain form; `None` if it holds no key. Without a value the key was removed.
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
    /// Fails with [`crate::Error::Conflict`] if it ends elsewhere.
    async fn append_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset>;
}
