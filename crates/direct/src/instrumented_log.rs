//! A log that counts and times the calls to it.

use crate::costs;
use crate::metrics::Metrics;
use async_trait::async_trait;
use bytes::Bytes;
use plat::{Batch, Error, KeyedLog, Log, Newest, Offset, Record, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A log that records metrics of the calls to it.
pub struct InstrumentedLog {
    log: Arc<dyn KeyedLog>,
    metrics: Arc<Metrics>,
}

impl InstrumentedLog {
    /// Records the calls to `log` in `metrics`.
    pub fn new(log: Arc<dyn KeyedLog>, metrics: Arc<Metrics>) -> Self {
        Self { log, metrics }
    }

    fn record<T>(
        &self,
        call: &'static str,
        stream: &str,
        began: Instant,
        result: Result<T>,
    ) -> Result<T> {
        let outcome = match &result {
            Ok(_) => "ok",
            Err(Error::Gone { .. }) => "gone",
            Err(Error::Conflict { .. }) => "moved",
            Err(_) => "failed",
        };
        self.record_outcome(call, stream, began, outcome);
        result
    }

    fn record_outcome(
        &self,
        call: &'static str,
        stream: &str,
        began: Instant,
        outcome: &'static str,
    ) {
        self.metrics.log_call(call, outcome, began.elapsed());
        costs::log_call(call, stream, outcome, began.elapsed());
    }
}

#[async_trait]
impl Log for InstrumentedLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<Offset> {
        let began = Instant::now();
        self.record("append", stream, began, self.log.append(stream, records).await)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch> {
        let began = Instant::now();
        self.record("read", stream, began, self.log.read(stream, from, limit, wait).await)
    }
}

#[async_trait]
impl KeyedLog for InstrumentedLog {
    async fn newest(&self, stream: &str) -> Result<Newest> {
        let began = Instant::now();
        let result = self.log.newest(stream).await;
        if result.as_ref().is_ok_and(|newest| newest.cut_short.is_some()) {
            self.record_outcome("newest", stream, began, "part");
            return result;
        }
        self.record("newest", stream, began, result)
    }

    async fn changes(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<(Vec<Record>, Offset)> {
        let began = Instant::now();
        self.record("changes", stream, began, self.log.changes(stream, from, wait).await)
    }

    async fn append_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset> {
        let began = Instant::now();
        self.record("append-at", stream, began, self.log.append_at(stream, at, record).await)
    }
}
