//! Appends the queued records of one stream in batches, one append at a time.

use crate::appender::{Appended, Pending, Shared, rejected};
use crate::{Error, Record};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use plat::{Batch, Log, Offset, StreamName};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The most records in one append.
const BATCH_RECORDS: usize = 512;

/// The most bytes in one append, so that it fits a log that limits a call to 1 MiB in base64. A
/// single record may be larger.
const BATCH_BYTES: usize = 512 * 1024;

/// The most records in one read while searching for records whose reply was lost.
const SETTLE_READ: usize = 1_000;

/// The longest wait of one such read for new records.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

/// The wait after a failed read.
const SETTLE_RETRY_WAIT: Duration = Duration::from_millis(200);

/// Appends the records of one stream until the appender is dropped.
pub(crate) async fn run(
    shared: Weak<Shared>,
    stream: StreamName,
    mut queue: mpsc::Receiver<Pending>,
) {
    let mut lower_bound = None;
    let mut next = None;
    loop {
        let first = match next.take() {
            Some(first) => first,
            None => match queue.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        let Some(shared) = shared.upgrade() else { return };
        shared.rate_limit.acquire().await;
        let batch;
        (batch, next) = collect(&shared, first, &mut queue);
        if !batch.is_empty() {
            append_batch(shared, &stream, &mut lower_bound, batch).await;
        }
    }
}

/// Collects the queued records that fit one append; returns them and the first that does not fit.
///
/// Skips records whose writer has gone or that have waited too long: they were not sent.
fn collect(
    shared: &Shared,
    first: Pending,
    queue: &mut mpsc::Receiver<Pending>,
) -> (Vec<(Pending, Bytes)>, Option<Pending>) {
    let mut batch = Vec::new();
    let mut size = 0;
    let mut next = Some(first);
    while let Some(pending) = next.take().or_else(|| queue.try_recv().ok()) {
        if pending.reply.is_closed() {
            continue;
        }
        if pending.queued_at.elapsed() > shared.settings.max_wait {
            pending.resolve(Err(rejected("the append budget is used up")));
            continue;
        }
        let bytes = pending.record.bytes();
        let full = batch.len() == BATCH_RECORDS || size + bytes.len() > BATCH_BYTES;
        if full && !batch.is_empty() {
            return (batch, Some(pending));
        }
        size += bytes.len();
        batch.push((pending, bytes));
    }
    (batch, None)
}

/// Appends a batch; `lower_bound` is an offset below which no record of it can be.
async fn append_batch(
    shared: Arc<Shared>,
    stream: &str,
    lower_bound: &mut Option<Offset>,
    batch: Vec<(Pending, Bytes)>,
) {
    let from = match lower_bound {
        Some(from) => *from,
        None => match read_end(&*shared.log, stream).await {
            Ok(end) => *lower_bound.insert(end),
            Err(error) => return fail_all(batch, &read_failed(error)),
        },
    };
    let records = batch.iter().map(|(_, bytes)| bytes.clone()).collect();
    match shared.log.append(stream, records).await {
        Ok(offset) => {
            *lower_bound = Some(count_append(&shared, &batch, offset));
            for (at, (pending, _)) in (offset..).zip(batch) {
                let id = pending.record.id;
                pending.resolve(Ok(Appended { offset: at, id }));
            }
        }
        Err(error @ plat::Error::Unsettled { .. }) => {
            shared.counts.lost_replies.fetch_add(1, Ordering::Relaxed);
            // Runs concurrently, since the next batch must not wait for a lost reply.
            let unresolved = batch.into_iter().map(|(pending, _)| (pending.record.id, pending));
            let unresolved = unresolved.collect();
            tokio::spawn(settle(shared, stream.to_compact_string(), from, unresolved, error));
        }
        Err(error) => fail_all(batch, &error),
    }
}

fn fail_all(batch: Vec<(Pending, Bytes)>, error: &plat::Error) {
    for (pending, _) in batch {
        pending.resolve(Err(Error::Log(error.clone())));
    }
}

/// Updates the counters for an append and returns the offset after its last record.
fn count_append(shared: &Shared, batch: &[(Pending, Bytes)], offset: Offset) -> Offset {
    let records = batch.len() as u64;
    let bytes = batch.iter().map(|(_, bytes)| bytes.len() as u64).sum();
    shared.counts.appends.fetch_add(1, Ordering::Relaxed);
    shared.counts.records.fetch_add(records, Ordering::Relaxed);
    shared.counts.bytes.fetch_add(bytes, Ordering::Relaxed);
    offset + records
}

/// Reads the end offset of a stream.
async fn read_end(log: &dyn Log, stream: &str) -> plat::Result<Offset> {
    match log.read(stream, 0, 1, Duration::ZERO).await {
        Ok(batch) => Ok(batch.end),
        Err(plat::Error::Gone { oldest, .. }) => {
            Ok(log.read(stream, oldest, 1, Duration::ZERO).await?.end)
        }
        Err(error) => Err(error),
    }
}

/// The error of a read that failed before an append: in any case nothing was appended.
fn read_failed(error: plat::Error) -> plat::Error {
    let peer = CompactString::const_new("log");
    let detail = error.to_compact_string();
    plat::Error::Unavailable { step: "read before append", peer, detail }
}

/// Searches the stream for records whose reply was lost.
///
/// The append may or may not have taken effect. With a wrong answer the writer would run a call
/// twice or treat a change as lost. A record with the same id proves that it was appended, but a
/// missing one proves nothing, since the append can still arrive. So records that are not found
/// end as [`Error::Unsettled`].
async fn settle(
    shared: Arc<Shared>,
    stream: StreamName,
    mut from: Offset,
    mut unresolved: HashMap<u64, Pending>,
    mut last_error: plat::Error,
) {
    let deadline = Instant::now() + shared.settings.settle;
    while !unresolved.is_empty() && Instant::now() < deadline {
        unresolved.retain(|_, pending| !pending.reply.is_closed());
        let reading = shared.log.read(&stream, from, SETTLE_READ, SETTLE_WAIT);
        match tokio::time::timeout_at(deadline, reading).await {
            Ok(Ok(batch)) => from = resolve_found(&stream, &batch, &mut unresolved).unwrap_or(from),
            Ok(Err(plat::Error::Gone { oldest, .. })) => from = oldest,
            Ok(Err(error)) => {
                last_error = error;
                tokio::time::sleep(SETTLE_RETRY_WAIT).await;
            }
            Err(_) => break,
        }
    }
    let detail = last_error.to_compact_string();
    for (id, pending) in unresolved {
        shared.counts.unsettled.fetch_add(1, Ordering::Relaxed);
        let (stream, detail) = (stream.clone(), detail.clone());
        pending.resolve(Err(Error::Unsettled { stream, id, detail }));
    }
}

/// Resolves the records found in a batch and returns the offset to continue from.
fn resolve_found(
    stream: &str,
    batch: &Batch,
    unresolved: &mut HashMap<u64, Pending>,
) -> Option<Offset> {
    for entry in &batch.entries {
        // A record that cannot be decoded was not written by this process.
        let Ok(record) = Record::read(stream, entry.offset, &entry.bytes) else { continue };
        if let Some(pending) = unresolved.remove(&record.id) {
            pending.resolve(Ok(Appended { offset: entry.offset, id: record.id }));
        }
    }
    batch.entries.last().map(|entry| entry.offset + 1)
}
