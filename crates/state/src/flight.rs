//! One append at a time for each stream, with all records that wait by then.

use crate::appender::{Appended, Pending, Shared, not_taken};
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
const FLIGHT_RECORDS: usize = 512;

/// The most bytes in one append, so that it fits a log that limits a call to 1 MiB in base64.
/// A single record may be larger.
const FLIGHT_BYTES: usize = 512 * 1024;

/// How many records one read takes while a lost reply is settled.
const SETTLE_READ: usize = 1_000;

/// How long one read waits for the record to appear.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

/// How long to wait after a failed read.
const SETTLE_RETRY: Duration = Duration::from_millis(200);

/// Makes the appends of one stream until the appender is dropped.
pub(crate) async fn run(
    shared: Weak<Shared>,
    stream: StreamName,
    mut queue: mpsc::Receiver<Pending>,
) {
    let mut known = None;
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
        shared.budget.acquire().await;
        let flight;
        (flight, next) = gather(&shared, first, &mut queue);
        if !flight.is_empty() {
            fly(shared, &stream, &mut known, flight).await;
        }
    }
}

/// Collects the records that wait by now, and the first one that does not fit.
///
/// Whoever has gone, or waited too long, is left out: nothing of theirs was sent.
fn gather(
    shared: &Shared,
    first: Pending,
    queue: &mut mpsc::Receiver<Pending>,
) -> (Vec<(Pending, Bytes)>, Option<Pending>) {
    let mut flight = Vec::new();
    let mut size = 0;
    let mut next = Some(first);
    while let Some(pending) = next.take().or_else(|| queue.try_recv().ok()) {
        if pending.reply.is_closed() {
            continue;
        }
        if pending.since.elapsed() > shared.settings.patience {
            pending.answer(Err(not_taken("the append budget is used up")));
            continue;
        }
        let bytes = pending.record.bytes();
        let full = flight.len() == FLIGHT_RECORDS || size + bytes.len() > FLIGHT_BYTES;
        if full && !flight.is_empty() {
            return (flight, Some(pending));
        }
        size += bytes.len();
        flight.push((pending, bytes));
    }
    (flight, None)
}

/// Appends a flight; `known` is an offset before which none of its records can stand.
async fn fly(
    shared: Arc<Shared>,
    stream: &str,
    known: &mut Option<Offset>,
    flight: Vec<(Pending, Bytes)>,
) {
    let from = match known {
        Some(from) => *from,
        None => match end_of(&*shared.log, stream).await {
            Ok(end) => *known.insert(end),
            Err(error) => return refuse(flight, &unavailable(error)),
        },
    };
    let records = flight.iter().map(|(_, bytes)| bytes.clone()).collect();
    match shared.log.append(stream, records).await {
        Ok(offset) => {
            *known = Some(count(&shared, &flight, offset));
            for (at, (pending, _)) in (offset..).zip(flight) {
                let id = pending.record.id;
                pending.answer(Ok(Appended { offset: at, id }));
            }
        }
        Err(error @ plat::Error::Unsettled { .. }) => {
            shared.counts.lost_replies.fetch_add(1, Ordering::Relaxed);
            // Settled beside the next flight, which must not wait for a reply that is lost.
            let missing = flight.into_iter().map(|(pending, _)| (pending.record.id, pending));
            let missing = missing.collect();
            tokio::spawn(settle(shared, stream.to_compact_string(), from, missing, error));
        }
        Err(error) => refuse(flight, &error),
    }
}

fn refuse(flight: Vec<(Pending, Bytes)>, error: &plat::Error) {
    for (pending, _) in flight {
        pending.answer(Err(Error::Log(error.clone())));
    }
}

/// Counts an append and returns the offset after its last record.
fn count(shared: &Shared, flight: &[(Pending, Bytes)], offset: Offset) -> Offset {
    let records = flight.len() as u64;
    let bytes = flight.iter().map(|(_, bytes)| bytes.len() as u64).sum();
    shared.counts.appends.fetch_add(1, Ordering::Relaxed);
    shared.counts.records.fetch_add(records, Ordering::Relaxed);
    shared.counts.bytes.fetch_add(bytes, Ordering::Relaxed);
    offset + records
}

/// The offset of the next record.
async fn end_of(log: &dyn Log, stream: &str) -> plat::Result<Offset> {
    match log.read(stream, 0, 1, Duration::ZERO).await {
        Ok(batch) => Ok(batch.end),
        Err(plat::Error::Gone { oldest, .. }) => {
            Ok(log.read(stream, oldest, 1, Duration::ZERO).await?.end)
        }
        Err(error) => Err(error),
    }
}

/// A read that failed before an append: nothing was appended, whatever became of the read.
fn unavailable(error: plat::Error) -> plat::Error {
    let peer = CompactString::const_new("log");
    let detail = error.to_compact_string();
    plat::Error::Unavailable { step: "read before append", peer, detail }
}

/// Looks for records whose reply was lost.
///
/// The write may have taken effect or not, and a caller told the wrong one would run a call
/// twice or believe a change lost. Only finding the id proves anything; not finding it proves
/// nothing, since the write can still be on its way. So the others end unsettled.
async fn settle(
    shared: Arc<Shared>,
    stream: StreamName,
    mut from: Offset,
    mut missing: HashMap<u64, Pending>,
    mut last: plat::Error,
) {
    let until = Instant::now() + shared.settings.settle;
    while !missing.is_empty() && Instant::now() < until {
        missing.retain(|_, pending| !pending.reply.is_closed());
        let reading = shared.log.read(&stream, from, SETTLE_READ, SETTLE_WAIT);
        match tokio::time::timeout_at(until, reading).await {
            Ok(Ok(batch)) => from = find(&stream, &batch, &mut missing).unwrap_or(from),
            Ok(Err(plat::Error::Gone { oldest, .. })) => from = oldest,
            Ok(Err(error)) => {
                last = error;
                tokio::time::sleep(SETTLE_RETRY).await;
            }
            Err(_) => break,
        }
    }
    let detail = last.to_compact_string();
    for (id, pending) in missing {
        shared.counts.unsettled.fetch_add(1, Ordering::Relaxed);
        let (stream, detail) = (stream.clone(), detail.clone());
        pending.answer(Err(Error::Unsettled { stream, id, detail }));
    }
}

/// Answers those whose record stands in a batch, and returns where to read on.
fn find(stream: &str, batch: &Batch, missing: &mut HashMap<u64, Pending>) -> Option<Offset> {
    for entry in &batch.entries {
        // A record that cannot be read is not one that this process has just written.
        let Ok(record) = Record::read(stream, entry.offset, &entry.bytes) else { continue };
        if let Some(pending) = missing.remove(&record.id) {
            pending.answer(Ok(Appended { offset: entry.offset, id: record.id }));
        }
    }
    batch.entries.last().map(|entry| entry.offset + 1)
}
