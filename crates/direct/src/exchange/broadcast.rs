//! Forwards what was read in the log, so that not every entry has to read it.
//!
//! **Load pattern.** A change of one target, of the configuration or of the entries concerns all
//! entries, and each call to the log is paid for. **Without this**, every entry makes a call for
//! each record. **Approach.** Designated readers send the records themselves to the other entries.
//! An entry that has read up to the start of such a span applies it like a read of its own. An
//! entry that lacks earlier records, or misses the datagram, reads the log as soon as it observes
//! that there are new records, see [`crate::cluster::tail`]. No record is applied twice or out of
//! order.

use crate::cluster::messages::{ConfigRequest, LogRecord, LogRecords, Payload};
use crate::cluster::tail::{RecordSpan, TOPICS, Topic};
use crate::shared::Shared;
use bytes::Bytes;
use plat::{Offset, Record, epoch};
use std::net::SocketAddr;

/// Bytes of records in one datagram, which then crosses networks without fragmentation.
const MAX_BYTES: usize = 1_200;

/// A larger record is not forwarded, for it would have to fit into one datagram: peers read a
/// configuration of hundreds of routes or customers from the log.
const MAX_RECORD: usize = 32_000;

/// More records than this are not forwarded. When thousands of targets start, one call reads all
/// their records, while forwarding them to hundreds of entries would saturate the sender's link.
const MAX_RECORDS: usize = 16;

/// Forwards what was read, if this entry is a designated reader.
pub fn forward(shared: &Shared, span: &RecordSpan) {
    let too_large = |record: &Record| size(record) > MAX_RECORD;
    let exceeds_limits = span.records.len() > MAX_RECORDS || span.records.iter().any(too_large);
    // Records that no entry has read may lie between two epochs, except in the configuration, of
    // which only the newest record counts.
    let is_complete =
        span.topic == Topic::Config || epoch::epoch(span.start) == epoch::epoch(span.end());
    if exceeds_limits || !is_complete || !shared.tail.is_designated_reader() {
        return;
    }
    send(shared, span);
}

/// Sends records to all other entries.
pub fn send(shared: &Shared, span: &RecordSpan) {
    let members = shared.peers.members();
    for message in split(span) {
        for address in members.iter().filter_map(|member| member.address) {
            shared.peer_socket.send(Payload::LogRecords(message.clone()), address);
        }
    }
}

/// Splits records into messages, each of which starts at the end of the previous one.
fn split(span: &RecordSpan) -> Vec<LogRecords> {
    let mut messages: Vec<LogRecords> = Vec::new();
    let (mut start, mut remaining) = (span.start, 0);
    for record in &span.records {
        match messages.last_mut().filter(|_| size(record) <= remaining) {
            Some(message) => message.records.push(encode(record)),
            None => {
                let (topic, log_degraded) = (topic_index(span.topic), span.log_degraded);
                messages.push(LogRecords {
                    topic,
                    start,
                    records: vec![encode(record)],
                    log_degraded,
                });
                remaining = MAX_BYTES;
            }
        }
        remaining = remaining.saturating_sub(size(record));
        start = record.offset + 1;
    }
    messages
}

fn size(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

fn encode(record: &Record) -> LogRecord {
    let value = record.value.as_ref().map(|value| value.to_vec());
    LogRecord { offset: record.offset, key: record.key.to_string(), value }
}

fn topic_index(topic: Topic) -> u32 {
    let topics = (0..).zip(TOPICS);
    topics.into_iter().find(|(_, other)| *other == topic).map_or(u32::MAX, |(index, _)| index)
}

/// Requests the configuration from a peer that has read it further.
///
/// The log may refuse calls of some entries while it serves others, and the datagram with the
/// record may be lost. Such an entry would keep the old configuration and serve customers whose
/// access was revoked.
pub fn request_config(shared: &Shared, next: Offset) {
    let Some(ahead) = shared.tail.peer_ahead(Topic::Config, next) else { return };
    let members = shared.peers.members();
    let member = members.iter().find(|member| member.key == ahead);
    if let Some(address) = member.and_then(|member| member.address) {
        shared.peer_socket.send(Payload::ConfigRequest(ConfigRequest { next }), address);
    }
}

/// Sends the configuration to an entry that can't read the log.
pub fn send_config(shared: &Shared, request: ConfigRequest, to: SocketAddr) {
    let record = shared.tail.config(request.next).filter(|record| size(record) <= MAX_RECORD);
    let Some(record) = record else { return };
    let (topic, start) = (topic_index(Topic::Config), request.next);
    let message = LogRecords { topic, start, log_degraded: true, records: vec![encode(&record)] };
    shared.peer_socket.send(Payload::LogRecords(message), to);
}

/// Queues records that another entry has forwarded.
pub fn receive(shared: &Shared, message: LogRecords) {
    let topic = usize::try_from(message.topic).ok().and_then(|index| TOPICS.get(index));
    // A stream that only a newer version follows.
    let Some(topic) = topic.copied() else { return };
    let records = message.records.into_iter().map(|record| Record {
        offset: record.offset,
        key: record.key.into(),
        value: record.value.map(Bytes::from),
    });
    let (start, log_degraded) = (message.start, message.log_degraded);
    shared.tail.offer(RecordSpan { topic, start, log_degraded, records: records.collect() });
}
