//! A log whose calls are counted and timed, whoever makes them.

use crate::metrics::Metrics;
use async_trait::async_trait;
use bytes::Bytes;
use plat::{Batch, Error, KeyedLog, Log, Newest, Offset, Record, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A log and the metrics of its calls.
pub struct Measured {
    log: Arc<dyn KeyedLog>,
    metrics: Arc<Metrics>,
}

impl Measured {
    /// Measures the calls to `log`.
    pub fn new(log: Arc<dyn KeyedLog>, metrics: Arc<Metrics>) -> Self {
        Self { log, metrics }
    }

    fn note<T>(&self, call: &'static str, began: Instant, answer: Result<T>) -> Result<T> {
        let went = match &answer {
            Ok(_) => "ok",
            Err(Error::Gone { .. }) => "gone",
            Err(Error::Moved { .. }) => "moved",
            Err(_) => "failed",
        };
        self.metrics.store(call, went, began.elapsed());
        answer
    }
}

#[async_trait]
impl Log for Measured {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<Offset> {
        let began = Instant::now();
        self.note("append", began, self.log.append(stream, records).await)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch> {
        let began = Instant::now();
        self.note("read", began, self.log.read(stream, from, limit, wait).await)
    }
}

#[async_trait]
impl KeyedLog for Measured {
    async fn newest(&self, stream: &str) -> Result<Newest> {
        let began = Instant::now();
        self.note("newest", began, self.log.newest(stream).await)
    }

    async fn changes(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<(Vec<Record>, Offset)> {
        let began = Instant::now();
        self.note("changes", began, self.log.changes(stream, from, wait).await)
    }

    async fn append_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset> {
        let began = Instant::now();
        self.note("append-at", began, self.log.append_at(stream, at, record).await)
    }
}
