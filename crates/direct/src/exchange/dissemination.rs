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
use crate::cluster::groups::Member;
use crate::cluster::messages::{KeyRange, LogRecord, LogRecords, Payload, RecordPart};
use crate::cluster::tail::{Part, RecordSpan, TOPICS, Topic};
use crate::shared::Shared;
use bytes::Bytes;
use plat::{Offset, Record};
use policy::dissemination::{FAN_OUT, Range, Recipient, delegates, fan_out};
use tokio::time::Instant;

/// Bytes of records in one datagram, which then crosses networks without fragmentation.
const MAX_BYTES: usize = 1_200;

/// The number of datagrams up to which an entry sends news with the largest fan-out.
const MAX_DATAGRAMS: usize = 64;

/// Sends what this entry has read to all others.
pub fn publish(shared: &Shared, span: &RecordSpan) {
    let messages = split(shared, span);
    let fan_out = fan_out(messages.len(), MAX_DATAGRAMS);
    for message in messages {
        let message = LogRecords { fan_out: u32::try_from(fan_out).unwrap_or(u32::MAX), ..message };
        relay(shared, &message, Range::all_but(shared.key()));
    }
}

/// Passes a message on to the entries in a range.
fn relay(shared: &Shared, message: &LogRecords, range: Range) {
    let members = shared.peers.members();
    let recipient = |member: &Member| Recipient { key: member.key, link_rate: member.link_rate };
    let recipients: Vec<Recipient> = members.iter().map(recipient).collect();
    let fan_out = usize::try_from(message.fan_out).unwrap_or(usize::MAX);
    for delegate in delegates(&recipients, shared.key(), range, fan_out.clamp(2, FAN_OUT)) {
        let Some(address) = members[delegate.index].address else { continue };
        let range = delegate.range.map(|Range { first, last }| KeyRange { first, last });
        let message = LogRecords { range, ..message.clone() };
        shared.peer_socket.send(Payload::LogRecords(message), address);
    }
}

/// Splits records into messages, each of which starts at the end of the previous one. The last one
/// ends with the span; a span without records is one message.
pub fn split(shared: &Shared, span: &RecordSpan) -> Vec<LogRecords> {
    let status = shared.tail.read_status(span.topic, Instant::now());
    let empty = LogRecords {
        topic: topic_index(span.topic),
        log_degraded: span.log_degraded,
        whole: span.whole,
        status: status.as_ref().map(StreamRead::new),
        sender: shared.key(),
        ..LogRecords::default()
    };
    let mut messages: Vec<LogRecords> = Vec::new();
    let (mut start, mut remaining) = (span.start, 0);
    for record in &span.records {
        let end = record.offset + 1;
        if size(record) > MAX_BYTES {
            let message = LogRecords { start, end, ..empty.clone() };
            messages.extend(parts(&message, record));
            remaining = 0;
        } else if let Some(message) = messages.last_mut().filter(|_| size(record) <= remaining) {
            (message.end, remaining) = (end, remaining - size(record));
            message.records.push(encode(record));
        } else {
            let records = vec![encode(record)];
            messages.push(LogRecords { start, end, records, ..empty.clone() });
            remaining = MAX_BYTES.saturating_sub(size(record));
        }
        start = end;
    }
    if messages.is_empty() {
        messages.push(LogRecords { start, ..empty });
    }
    if let Some(last) = messages.last_mut() {
        last.end = span.end;
    }
    messages
}

/// Cuts a record into messages with a part of its value each.
fn parts(message: &LogRecords, record: &Record) -> Vec<LogRecords> {
    let value = record.value.clone().unwrap_or_default();
    let count = u32::try_from(value.len().div_ceil(MAX_BYTES)).unwrap_or(u32::MAX);
    let parts = (0..).zip(value.chunks(MAX_BYTES)).map(|(index, part)| {
        let record = Record { value: Some(value.slice_ref(part)), ..record.clone() };
        let part = Some(RecordPart { index, count });
        LogRecords { records: vec![encode(&record)], part, ..message.clone() }
    });
    parts.collect()
}

fn size(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
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
    let (start, log_degraded, whole) = (message.start, message.log_degraded, message.whole);
    let status = message.status.and_then(|status| status.status());
    let records: Vec<Record> = message.records.into_iter().map(decode).collect();
    let last_end = records.last().map_or(start, |record: &Record| record.offset + 1);
    let end: Offset = message.end.max(last_end);
    let span = RecordSpan { topic, start, end, log_degraded, whole, records };
    if let Some(status) = &status {
        shared.observe_epoch(plat::epoch::epoch(status.change_end), "peer");
    }
    let (sender, now) = (message.sender, Instant::now());
    match message.part {
        None => shared.tail.offer(sender, span, status, now),
        Some(RecordPart { index, count }) => {
            let number = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
            let part = Part { span, index: number(index), count: number(count) };
            shared.tail.offer_part(sender, part, status, now);
        }
    }
}

fn decode(record: LogRecord) -> Record {
    let LogRecord { offset, key, value } = record;
    Record { offset, key: key.into(), value: value.map(Bytes::from) }
}
