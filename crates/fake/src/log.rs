//! An append-only log in memory, with injectable faults.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use plat::{Batch, Entry, Error, KeyedLog, Log, Newest, Offset, Record, Result};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A log in memory; clones share it.
#[derive(Clone, Default)]
pub struct MemoryLog {
    inner: Arc<Mutex<Inner>>,
    grown: Arc<Notify>,
}

#[derive(Default)]
struct Inner {
    streams: HashMap<CompactString, Stream>,
    unavailable: bool,
    delay: Duration,
    lost_replies: u32,
    delayed_writes: (u32, Duration),
    retention: Option<Duration>,
    appends: u64,
    bytes: u64,
}

#[derive(Default)]
struct Stream {
    first: Offset,
    /// The newest record of each key, for streams whose records have keys.
    newest: BTreeMap<CompactString, Record>,
    records: VecDeque<(Instant, Bytes)>,
}

impl MemoryLog {
    /// Makes an empty log without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.lock().unavailable = unavailable;
        self.grown.notify_waiters();
    }

    /// Delays each call by this time.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Drops the replies of the next `count` appends, whose records are written.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Drops the replies of the next `count` appends and writes their records only after `delay`.
    pub fn delay_writes(&self, count: u32, delay: Duration) {
        self.lock().delayed_writes = (count, delay);
    }

    /// Expires records after this time.
    pub fn set_retention(&self, retention: Duration) {
        self.lock().retention = Some(retention);
    }

    /// Drops the records before `offset`, as a log does when records expire.
    pub fn truncate_before(&self, stream: &str, offset: Offset) {
        let mut inner = self.lock();
        let Some(state) = inner.streams.get_mut(stream) else { return };
        while state.first < offset && state.records.pop_front().is_some() {
            state.first += 1;
        }
    }

    /// Restores a copy of this age: records appended since are lost, and their offsets are assigned
    /// again.
    pub fn rewind(&self, age: Duration) {
        let mut inner = self.lock();
        for state in inner.streams.values_mut() {
            state.rewind(age);
        }
    }

    /// Number of bytes of records appended.
    pub fn bytes(&self) -> u64 {
        self.lock().bytes
    }

    /// The end offset of each stream: that of its next record.
    pub fn streams(&self) -> BTreeMap<CompactString, Offset> {
        let inner = self.lock();
        let ends = inner.streams.iter();
        ends.map(|(name, state)| (name.clone(), state.first + state.records.len() as u64)).collect()
    }

    /// Number of append calls whose records were written.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn check_available(&self, step: &'static str) -> Result<()> {
        let (fails, delay) = {
            let inner = self.lock();
            (inner.unavailable, inner.delay)
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if fails { Err(unavailable(step)) } else { Ok(()) }
    }

    fn next_write_delay(&self) -> Option<Duration> {
        let mut inner = self.lock();
        let (count, delay) = inner.delayed_writes;
        inner.delayed_writes.0 = count.saturating_sub(1);
        (count > 0).then_some(delay)
    }

    fn write(&self, stream: &str, records: Vec<Bytes>) -> Offset {
        let mut inner = self.lock();
        inner.appends += 1;
        inner.bytes += records.iter().map(|record| record.len() as u64).sum::<u64>();
        let state = inner.streams.entry(stream.to_compact_string()).or_default();
        let offset = state.first + state.records.len() as u64;
        let now = Instant::now();
        for (offset, bytes) in (offset..).zip(records.iter().cloned()) {
            state.update_newest(Entry { offset, bytes });
        }
        state.records.extend(records.into_iter().map(|bytes| (now, bytes)));
        drop(inner);
        self.grown.notify_waiters();
        offset
    }

    /// Writes `record` if the stream ends at `at`.
    fn write_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset> {
        let end = self.streams().get(stream).copied().unwrap_or_default();
        if end != at {
            return Err(Error::Conflict { stream: stream.to_compact_string(), end });
        }
        Ok(self.write(stream, vec![record]))
    }

    fn read_now(&self, stream: &str, from: Offset, limit: usize) -> Result<Batch> {
        let mut inner = self.lock();
        if inner.unavailable {
            return Err(unavailable("read"));
        }
        let retention = inner.retention;
        let Some(state) = inner.streams.get_mut(stream) else { return Ok(Batch::default()) };
        state.expire(retention);
        if from < state.first {
            return Err(Error::Gone { stream: stream.to_compact_string(), oldest: state.first });
        }
        let end = state.first + state.records.len() as u64;
        let skipped = usize::try_from(from - state.first).unwrap_or(usize::MAX);
        let records = state.records.iter().skip(skipped).take(limit);
        let entries = (from..)
            .zip(records)
            .map(|(offset, (_, bytes))| Entry { offset, bytes: bytes.clone() });
        Ok(Batch { entries: entries.collect(), oldest: state.first, end })
    }
}

impl Stream {
    /// Records an entry as the newest of its key, if it has one.
    fn update_newest(&mut self, entry: Entry) {
        let Some(record) = Record::decode(entry) else { return };
        match &record.value {
            Some(_) => self.newest.insert(record.key.clone(), record),
            None => self.newest.remove(&record.key),
        };
    }

    fn rewind(&mut self, age: Duration) {
        while self.records.back().is_some_and(|(at, _)| at.elapsed() < age) {
            self.records.pop_back();
        }
        let end = self.first + self.records.len() as u64;
        self.newest.retain(|_, record| record.offset < end);
        let records: Vec<_> = (self.first..).zip(self.records.iter().cloned()).collect();
        for (offset, (_, bytes)) in records {
            self.update_newest(Entry { offset, bytes });
        }
    }

    fn expire(&mut self, retention: Option<Duration>) {
        let Some(retention) = retention else { return };
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > retention) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[async_trait]
impl Log for MemoryLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<Offset> {
        self.check_available("append").await?;
        if let Some(delay) = self.next_write_delay() {
            let (log, stream) = (self.clone(), stream.to_compact_string());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                log.write(&stream, records);
            });
            return Err(unsettled("append"));
        }
        let offset = self.write(stream, records);
        let mut inner = self.lock();
        let lost = inner.lost_replies > 0;
        inner.lost_replies = inner.lost_replies.saturating_sub(1);
        if lost { Err(unsettled("append")) } else { Ok(offset) }
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch> {
        self.check_available("read").await?;
        let until = Instant::now() + wait;
        loop {
            let mut grown = std::pin::pin!(self.grown.notified());
            grown.as_mut().enable();
            let batch = self.read_now(stream, from, limit)?;
            if !batch.entries.is_empty() || tokio::time::timeout_at(until, grown).await.is_err() {
                return Ok(batch);
            }
        }
    }
}

#[async_trait]
impl KeyedLog for MemoryLog {
    async fn newest(&self, stream: &str) -> Result<Newest> {
        self.check_available("read newest").await?;
        let inner = self.lock();
        let Some(state) = inner.streams.get(stream) else { return Ok(Newest::default()) };
        let end = state.first + state.records.len() as u64;
        let records = state.newest.values().cloned().collect();
        Ok(Newest { records, end, cut_short: None })
    }

    async fn changes(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<(Vec<Record>, Offset)> {
        let batch = self.read(stream, from, usize::MAX, wait).await?;
        let next = batch.entries.last().map_or(from, |entry| entry.offset + 1);
        Ok((batch.entries.into_iter().filter_map(Record::decode).collect(), next))
    }

    async fn append_at(&self, stream: &str, at: Offset, record: Bytes) -> Result<Offset> {
        self.check_available("append").await?;
        self.write_at(stream, at, record)
    }
}

const PEER: CompactString = CompactString::const_new("memory-log");

fn unavailable(step: &'static str) -> Error {
    Error::Unavailable { step, peer: PEER, detail: CompactString::const_new("set out of service") }
}

fn unsettled(step: &'static str) -> Error {
    Error::Unsettled { step, peer: PEER, detail: CompactString::const_new("reply lost on purpose") }
}
