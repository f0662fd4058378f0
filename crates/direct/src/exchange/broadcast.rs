//! Passes on what was read in the log, so that not each entry has to read it for itself.
//!
//! **Load pattern.** A change of one target, of the configuration or of the entries concerns all
//! entries, and each call to the log is paid for. **Without it** each of them makes a call to learn of one
//! record. **How.** An entry that reads for all sends the records themselves to
//! the others. Whoever has read up to where they begin takes them as if it had read them; whoever lacks
//! something before them, or does not get the datagram, reads the log as soon as it hears that there is
//! news, see [`crate::cluster::tail`]. Nothing is taken twice or out of order.

use crate::cluster::messages::{Lack, News, Payload, Row};
use crate::cluster::tail::{RecordSpan, TOPICS, Topic};
use crate::shared::Shared;
use bytes::Bytes;
use plat::{Offset, Record, epoch};
use std::net::SocketAddr;

/// Bytes of records in one datagram: one of this size crosses networks in one piece.
const MAX_BYTES: usize = 1_200;

/// A single record that is larger than this is left to be read: a configuration of hundreds of routes
/// or customers. It has to go in one datagram.
const MAX_RECORD: usize = 32_000;

/// More records than this are left to be read: when thousands of targets start, one call gets them all,
/// and passed on to hundreds of entries they would fill the link of whoever passes them on.
const MAX_RECORDS: usize = 16;

/// Passes on what was read, if this entry reads for all.
pub fn pass_on(shared: &Shared, span: &RecordSpan) {
    let too_large = |record: &Record| size(record) > MAX_RECORD;
    let many = span.records.len() > MAX_RECORDS || span.records.iter().any(too_large);
    // Between two epochs lies what nobody has read, unless one record is all there is.
    let is_whole =
        span.topic == Topic::Config || epoch::epoch(span.start) == epoch::epoch(span.after());
    if many || !is_whole || !shared.tail.reads_for_all() {
        return;
    }
    send(shared, span);
}

/// Sends records to all other entries.
pub fn send(shared: &Shared, span: &RecordSpan) {
    let members = shared.peers.members();
    for news in divide(span) {
        for address in members.iter().filter_map(|member| member.address) {
            shared.post.send(Payload::News(news.clone()), address);
        }
    }
}

/// Puts records into datagrams, each of which begins where the one before it ends.
fn divide(span: &RecordSpan) -> Vec<News> {
    let mut all: Vec<News> = Vec::new();
    let (mut before, mut left) = (span.start, 0);
    for record in &span.records {
        match all.last_mut().filter(|_| size(record) <= left) {
            Some(news) => news.records.push(row(record)),
            None => {
                let (topic, troubled) = (number(span.topic), span.log_degraded);
                all.push(News { topic, before, records: vec![row(record)], troubled });
                left = MAX_BYTES;
            }
        }
        left = left.saturating_sub(size(record));
        before = record.offset + 1;
    }
    all
}

fn size(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

fn row(record: &Record) -> Row {
    let value = record.value.as_ref().map(|value| value.to_vec());
    Row { offset: record.offset, key: record.key.to_string(), value }
}

fn number(topic: Topic) -> u32 {
    let topics = (0..).zip(TOPICS);
    topics.into_iter().find(|(_, other)| *other == topic).map_or(u32::MAX, |(number, _)| number)
}

/// Asks an entry that has read more of the configuration for it.
///
/// The log may turn away some entries while it answers others, and a datagram with the record may be
/// lost: such an entry would go on with the old configuration, and serve who has lost the right to it.
pub fn ask(shared: &Shared, next: Offset) {
    let Some(ahead) = shared.tail.ahead(Topic::Config, next) else { return };
    let members = shared.peers.members();
    let member = members.iter().find(|member| member.key == ahead);
    if let Some(address) = member.and_then(|member| member.address) {
        shared.post.send(Payload::Lack(Lack { next }), address);
    }
}

/// Answers an entry that can't read the configuration.
pub fn answer(shared: &Shared, lack: Lack, from: SocketAddr) {
    let record = shared.tail.config(lack.next).filter(|record| size(record) <= MAX_RECORD);
    let Some(record) = record else { return };
    let (topic, before) = (number(Topic::Config), lack.next);
    let news = News { topic, before, troubled: true, records: vec![row(&record)] };
    shared.post.send(Payload::News(news), from);
}

/// Takes in what another entry has read.
pub fn take(shared: &Shared, news: News) {
    let topic = usize::try_from(news.topic).ok().and_then(|at| TOPICS.get(at));
    // A stream that a newer version follows.
    let Some(topic) = topic.copied() else { return };
    let records = news.records.into_iter().map(|row| Record {
        offset: row.offset,
        key: row.key.into(),
        value: row.value.map(Bytes::from),
    });
    let (before, troubled) = (news.before, news.troubled);
    shared.tail.offer(RecordSpan {
        topic,
        start: before,
        log_degraded: troubled,
        records: records.collect(),
    });
}
