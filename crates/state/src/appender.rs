//! Appends records and settles lost replies by reading.

use crate::record::Body;
use crate::{Record, Result};
use compact_str::CompactString;
use plat::{Log, Offset};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Appends records in one process's name.
#[derive(Clone)]
pub struct Appender {
    log: Arc<dyn Log>,
    author: CompactString,
}

impl Appender {
    /// Makes an appender for the process or operator `author`.
    pub fn new(log: Arc<dyn Log>, author: CompactString) -> Self {
        Self { log, author }
    }

    /// Appends one record and returns its offset and id.
    pub async fn append(&self, stream: &str, body: Body) -> Result<(Offset, u64)> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let written_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let record = Record::new(rand::random(), &self.author, written_ms, body);
        let offset = self.log.append(stream, vec![record.bytes()]).await?;
        Ok((offset, record.id))
    }
}
