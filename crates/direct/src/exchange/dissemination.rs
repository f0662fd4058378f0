//! Sends what was read in the log to all entries, so that few have to read it.
//!
//! **Load pattern.** A change of one target, of the configuration or of the entries concerns all
//! entries, and each call to the log is paid for. **Without this**, every entry makes a call for
//! each record. **Approach.** Whoever reads the log sends the records that changed something along
//! a tree of entries, see [`policy::dissemination`], together with the read itself, even if it
//! brought nothing: it confirms the views of all others. An entry that has read up to the start of
//! such a span applies it like a read of its own; one that lacks earlier records requests them, see
//! [`crate::exchange::catch_up`]. No record is applied twice or out of order.

use crate::cluster::entry_state::StreamRead;
use crate::cluster::messages::{BlockPart, KeyRange, LogRecord, LogRecords, Payload, RecordBlock};
use crate::cluster::tail::{Block, Part, RecordSpan, TOPICS, Topic};
use crate::exchange::compression;
use crate::shared::Shared;
use bytes::Bytes;
use compact_str::ToCompactString;
use plat::Record;
use policy::Hash;
use policy::dissemination::{FAN_OUT, Position, Range, delegates, fan_out, position};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of records in one datagram, which then crosses networks without fragmentation.
const MAX_BYTES: usize = 1_200;

/// Bytes of records that are compressed together: enough that their common text takes no space, and
/// little enough that a lost datagram holds up few of them.
const MAX_BLOCK: usize = 64 * 1_024;

/// The number of datagrams up to which an entry sends news with the largest fan-out.
const MAX_DATAGRAMS: usize = 64;

/// How long a reader waits before it sends records that the first reader probably sends as well.
const STANDBY_DELAY: Duration = Duration::from_millis(80);

/// Sends what this entry has read to all others. Where several entries read, only the first one
/// sends the records, and the others if it hasn't in time.
pub fn publish(shared: &Arc<Shared>, span: RecordSpan) {
    if span.records.is_empty() || shared.tail.is_first_reader() {
        send(shared, &span);
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(STANDBY_DELAY).await;
        if shared.tail.was_sent_by_others(&span) {
            let (start, records) = (span.end, Vec::new());
            send(&shared, &RecordSpan { start, records, whole: false, ..span });
        } else {
            send(&shared, &span);
        }
    });
}

/// Sends records along the tree at once.
pub fn send(shared: &Shared, span: &RecordSpan) {
    let messages = split(shared, span);
    let fan_out = fan_out(messages.len(), MAX_DATAGRAMS);
    for message in messages {
        let message = LogRecords { fan_out: u32::try_from(fan_out).unwrap_or(u32::MAX), ..message };
        relay(shared, &message, Range::all_but(own_position(shared)));
    }
}

/// Announces to all entries that this one reads a whole list, which may take seconds.
pub fn announce_read(shared: &Shared, topic: Topic) {
    let end = shared.tail.change_end(topic);
    let message = LogRecords {
        topic: topic_index(topic),
        start: end,
        end,
        sender: shared.key(),
        fan_out: u32::try_from(FAN_OUT).unwrap_or(u32::MAX),
        reads_list: true,
        ..LogRecords::default()
    };
    relay(shared, &message, Range::all_but(own_position(shared)));
}

fn own_position(shared: &Shared) -> Position {
    position(policy::hash(&shared.settings.domain), shared.key())
}

/// Passes records on to the entries in a range.
fn relay(shared: &Shared, message: &LogRecords, range: Range) {
    let fan_out = usize::try_from(message.fan_out).unwrap_or(usize::MAX);
    pass_on(shared, range, fan_out, |range| {
        Payload::LogRecords(LogRecords { range, ..message.clone() })
    });
}

/// Sends a message to all other entries along a tree.
pub fn broadcast(shared: &Shared, message: impl Fn(Option<KeyRange>) -> Payload) {
    pass_on(shared, Range::all_but(own_position(shared)), FAN_OUT, message);
}

/// Passes a message on to the entries in a range. Each recipient is told in which part of the range
/// it passes the message on itself, if any.
pub fn pass_on(
    shared: &Shared,
    range: Range,
    fan_out: usize,
    message: impl Fn(Option<KeyRange>) -> Payload,
) {
    let (ring, fan_out) = (shared.peers.directory.ring(), fan_out.clamp(2, FAN_OUT));
    for delegate in delegates(&ring.recipients, own_position(shared), range, fan_out) {
        let Some(address) = ring.addresses[delegate.index] else { continue };
        let range = delegate.range.map(|Range { first, last }| KeyRange { first, last });
        shared.peer_socket.send(message(range), address);
    }
}

/// Splits records into messages, each of which starts where the previous one ends or holds another
/// part of the same block. The last one ends with the span; a span without records is one message.
pub fn split(shared: &Shared, span: &RecordSpan) -> Vec<LogRecords> {
    let status = shared.tail.read_status(span.topic, Instant::now());
    let message = LogRecords {
        topic: topic_index(span.topic),
        start: span.start,
        end: span.end,
        log_degraded: span.log_degraded,
        whole: span.whole,
        status: status.as_ref().map(StreamRead::new),
        sender: shared.key(),
        ..LogRecords::default()
    };
    let records: Vec<LogRecord> = span.records.iter().map(encode).collect();
    if records.iter().map(size).sum::<usize>() <= MAX_BYTES {
        return vec![LogRecords { records, ..message }];
    }
    let mut messages = Vec::new();
    let mut start = span.start;
    let blocks = blocks(records);
    let count = blocks.len();
    for (index, records) in blocks.into_iter().enumerate() {
        let last = records.last().map_or(start, |record| record.offset + 1);
        let end = if index + 1 == count { span.end } else { last };
        messages.extend(parts(&LogRecords { start, end, ..message.clone() }, records));
        start = end;
    }
    messages
}

/// Divides records into blocks of about [`MAX_BLOCK`] bytes.
fn blocks(records: Vec<LogRecord>) -> Vec<Vec<LogRecord>> {
    let mut blocks: Vec<Vec<LogRecord>> = Vec::new();
    let mut room = 0;
    for record in records {
        let bytes = size(&record);
        match blocks.last_mut().filter(|_| bytes <= room) {
            Some(block) => {
                block.push(record);
                room -= bytes;
            }
            None => {
                blocks.push(vec![record]);
                room = MAX_BLOCK.saturating_sub(bytes);
            }
        }
    }
    blocks
}

/// Compresses records and cuts them into messages.
fn parts(message: &LogRecords, records: Vec<LogRecord>) -> Vec<LogRecords> {
    let data = compression::compress(&RecordBlock { records }.encode_to_vec());
    let block = xxhash_rust::xxh3::xxh3_64(&data);
    let count = u32::try_from(data.len().div_ceil(MAX_BYTES)).unwrap_or(u32::MAX);
    let parts = (0..).zip(data.chunks(MAX_BYTES)).map(|(index, part)| {
        let part = BlockPart { block, index, count, data: data.slice_ref(part) };
        LogRecords { part: Some(part), ..message.clone() }
    });
    parts.collect()
}

fn size(record: &LogRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}

fn encode(record: &Record) -> LogRecord {
    let value = record.value.as_ref().map(|value| value.to_vec());
    LogRecord { offset: record.offset, key: record.key.to_string(), value }
}

/// Encodes a stream.
pub fn topic_index(topic: Topic) -> u32 {
    let topics = (0..).zip(TOPICS);
    topics.into_iter().find(|(_, other)| *other == topic).map_or(u32::MAX, |(index, _)| index)
}

/// Decodes a stream; `None` for one that only a newer build follows.
pub fn topic_at(index: u32) -> Option<Topic> {
    usize::try_from(index).ok().and_then(|index| TOPICS.get(index)).copied()
}

/// Queues records that another entry has sent, after passing them on.
pub fn receive(shared: &Shared, message: LogRecords) {
    if let Some(KeyRange { first, last }) = message.range {
        relay(shared, &message, Range { first, last });
    }
    let Some(topic) = topic_at(message.topic) else { return };
    if message.reads_list {
        shared.tail.record_announcement(topic, Instant::now());
        return;
    }
    let LogRecords { start, records, log_degraded, end, sender, part, whole, .. } = message;
    let status = message.status.and_then(|status| status.status());
    if let Some(status) = &status {
        shared.observe_epoch(plat::epoch::epoch(status.change_end), "peer");
    }
    let records: Vec<Record> = records.into_iter().map(decode).collect();
    // Earlier builds leave the end out.
    let end = end.max(records.last().map_or(start, |record: &Record| record.offset + 1));
    let (span, now) =
        (RecordSpan { topic, start, end, log_degraded, whole, records }, Instant::now());
    match part {
        None => shared.tail.offer(sender, span, status, now),
        Some(BlockPart { block, index, count, data }) => {
            let number = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
            let part = Part { span, block, index: number(index), count: number(count), data };
            if let Some(block) = shared.tail.add_part(sender, part, status, now) {
                receive_block(shared, sender, block);
            }
        }
    }
}

fn receive_block(shared: &Shared, sender: Hash, block: Block) {
    let Block { span, data } = block;
    let decoded = compression::decompress(&data)
        .map_err(|error| error.to_compact_string())
        .and_then(|data| RecordBlock::decode(data).map_err(|error| error.to_compact_string()));
    match decoded {
        Ok(RecordBlock { records }) => {
            let records = records.into_iter().map(decode).collect();
            shared.tail.offer(sender, RecordSpan { records, ..span }, None, Instant::now());
        }
        Err(error) => {
            log::warn!(target: "peers", sender, error:% = error; "records not readable");
        }
    }
}

fn decode(record: LogRecord) -> Record {
    let LogRecord { offset, key, value } = record;
    Record { offset, key: key.into(), value: value.map(Bytes::from) }
}
