//! Reads what the entries tell, and folds it into a [`StreamView`].

use super::{MAX_READ, PACE, REMEMBERED, SILENCE, STREAM, StreamView, WAIT, expect_changes};
use crate::cluster::groups::Member;
use crate::cluster::tail::{self, FollowStep, Topic};
use crate::exchange::broadcast;
use crate::exchange::notice::{Heartbeat, Kind, Notice, Plan, SuspectedRequests};
use crate::shared::Shared;
use crate::targets::target::STAGE_CHANGE_TIMEOUT;
use compact_str::CompactString;
use plat::{Batch, Entry, KeyedLog, Offset, Record, epoch};
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// Follows the stream.
pub(super) struct Reader {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    bulletin: watch::Sender<StreamView>,
    /// Where it goes on.
    next: Offset,
    /// The offset after the last record that changed something.
    news: Offset,
    heard: HashMap<CompactString, Heard>,
    reread: Reread,
    /// When it is tried again, unless others have read the stream: the last call failed.
    again: Option<Instant>,
}

/// An entry that lives.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Instant,
    address: SocketAddr,
    /// The rate of its VM's link in bytes a second.
    link: f64,
}

/// What of the stream may have been read before, since the log has come back older.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reread {
    /// Nothing.
    Nothing,
    /// All that it holds when it is next read.
    WhatItHolds,
    /// All before this offset.
    Before(Offset),
}

impl Reread {
    /// The offset before which all may have been read, if the stream now ends at `end`.
    fn before(self, end: Offset) -> Offset {
        match self {
            Self::Nothing => 0,
            Self::WhatItHolds => end,
            Self::Before(offset) => offset,
        }
    }
}

impl Reader {
    pub(super) fn new(
        shared: Arc<Shared>,
        log: Arc<dyn KeyedLog>,
        bulletin: watch::Sender<StreamView>,
    ) -> Self {
        let (heard, reread) = (HashMap::new(), Reread::Nothing);
        Self { shared, log, bulletin, next: 0, news: 0, heard, reread, again: None }
    }

    pub(super) async fn run(mut self) {
        loop {
            if let Some(span) = self.turn().await {
                self.take_span(span);
                continue;
            }
            match self.log.read(STREAM, self.next, MAX_READ, WAIT).await {
                Ok(batch) => self.take_batch(batch),
                Err(plat::Error::Gone { oldest, .. }) => self.restart(oldest),
                Err(error) => {
                    // What was heard stays: while the log is away nobody can be heard.
                    self.again = Some(Instant::now() + self.shared.log_retry_delay());
                    log::debug!(target: "bulletin", error:% = error; "notices not read");
                }
            }
            // Ends early when a plan was refused because the stream went on.
            let _ = timeout(PACE, self.shared.notices.notified()).await;
        }
    }

    /// Waits until the stream is to be read, or another entry passes on what it has read.
    async fn turn(&self) -> Option<tail::RecordSpan> {
        // Nobody can pass on what stands before.
        self.bulletin.borrow().end?;
        tokio::select! {
            turn = self.shared.tail.next_step(Topic::Notices, self.next, self.again) => match turn {
                FollowStep::Read(reason) => {
                    self.shared.metrics.stream_read(Topic::Notices.name(), reason.name());
                    None
                }
                FollowStep::Apply(span) => Some(span),
            },
            () = self.shared.notices.notified() => None,
        }
    }

    /// Takes in records that another entry passed on.
    fn take_span(&mut self, span: tail::RecordSpan) {
        (self.next, self.news) = (self.next.max(span.end()), self.news.max(span.end()));
        self.shared.tail.record_forwarded(Topic::Notices, self.news);
        let (mut read, now) = (self.bulletin.borrow().clone(), Instant::now());
        for record in span.records {
            let told = self.take(&record.value.unwrap_or_default(), now, Age::New);
            if let Told::Plan(plan) = told {
                read.note(&plan, now);
            }
        }
        self.publish(read);
    }

    /// Takes in records that were read.
    fn take_batch(&mut self, batch: Batch) {
        self.again = None;
        self.shared.observe_epoch(epoch::epoch(batch.end), "log");
        let (now, before) = (Instant::now(), self.news);
        let mut read = self.bulletin.borrow().clone();
        let is_first = read.end.is_none();
        read.last_plan_at.get_or_insert(now);
        read.complete_since.get_or_insert(now);
        read.planned_engines.retain(|named| now.duration_since(named.read_at) < REMEMBERED);
        let known = self.reread.before(batch.end);
        self.next = self.next.max(batch.oldest);
        let (again, new): (Vec<_>, Vec<_>) =
            batch.entries.into_iter().partition(|entry| entry.offset < known);
        for entry in again {
            self.next = entry.offset + 1;
            note_again(&entry, &mut read, now);
        }
        let mut changed = Vec::new();
        for entry in new {
            self.next = entry.offset + 1;
            // What a process reads first may be minutes old.
            let age = if is_first { Age::AsTold } else { Age::New };
            let told = self.take(&entry.bytes, now, age);
            if told != Told::Nothing {
                self.news = self.next;
                changed.push(record(entry));
            }
            if let Told::Plan(plan) = told {
                read.note(&plan, now);
            }
        }
        self.end_reread(known);
        if !is_first {
            let (topic, troubled) = (Topic::Notices, false);
            let span =
                tail::RecordSpan { topic, start: before, log_degraded: troubled, records: changed };
            broadcast::forward(&self.shared, &span);
        }
        self.shared.note_read(Topic::Notices, self.news);
        self.heard.retain(|_, heard| now.duration_since(heard.at) < SILENCE);
        self.publish(read);
    }

    /// Notes whether all before `known` was read again.
    fn end_reread(&mut self, known: Offset) {
        if self.reread == Reread::Nothing {
            return;
        }
        if self.next < known {
            self.reread = Reread::Before(known);
            return;
        }
        self.reread = Reread::Nothing;
        // The others have to read it as well, though nothing may have changed.
        self.news = self.news.max(self.next);
    }

    /// Goes on with the oldest record: those before have expired, or the log has come back older.
    fn restart(&mut self, oldest: Offset) {
        if epoch::epoch(oldest) > epoch::epoch(self.next) {
            log::warn!(target: "store", stream = STREAM, epoch = epoch::epoch(oldest),
                read = epoch::place(self.next); "stream is read anew");
            self.reread = Reread::WhatItHolds;
        }
        self.next = oldest;
        // A plan may have stood in what is gone: as after a start, nobody else's engines are ordered
        // until its lease would have run out.
        self.bulletin.send_modify(|read| read.forget());
    }

    fn publish(&self, mut read: StreamView) {
        read.entries = publish(&self.shared, &self.heard);
        read.end = Some(self.next);
        self.bulletin.send_replace(read);
    }
}

/// Takes in a record that may have been read before. Of these only plans matter, and only that they were
/// made: entries were heard, engines changed and suspicions counted then, and are not once more.
fn note_again(entry: &Entry, read: &mut StreamView, now: Instant) {
    if let Ok(Notice { kind: Some(Kind::Plan(plan)) }) = Notice::decode(entry.bytes.clone()) {
        read.note(&plan, now);
    }
}

/// A record of this stream, which has no keys.
fn record(entry: Entry) -> Record {
    Record { offset: entry.offset, key: CompactString::default(), value: Some(entry.bytes) }
}

/// What a record told.
#[derive(Debug, Clone, PartialEq)]
enum Told {
    /// Nothing that was not known.
    Nothing,
    /// Something that others should read.
    News,
    /// A plan.
    Plan(Plan),
}

impl Reader {
    /// Takes in one record.
    fn take(&mut self, record: &[u8], now: Instant, age: Age) -> Told {
        let (shared, heard) = (&*self.shared, &mut self.heard);
        let notice = match Notice::decode(record) {
            Ok(notice) => notice,
            Err(error) => {
                log::warn!(target: "bulletin", error:% = error; "notice not readable, left out");
                return Told::Nothing;
            }
        };
        match notice.kind {
            Some(Kind::Heartbeat(Heartbeat { name, leaving: true, .. })) => {
                if heard.remove(name.as_str()).is_some() { Told::News } else { Told::Nothing }
            }
            Some(Kind::Heartbeat(heartbeat)) => hear(heard, heartbeat, now),
            Some(Kind::Plan(plan)) => {
                if plan.planner != shared.settings.name {
                    expect_changes(shared, &plan, left(shared, &plan, age));
                }
                Told::Plan(plan)
            }
            Some(Kind::SuspectedRequests(SuspectedRequests { entry, requests })) => {
                if entry != shared.settings.name {
                    shared.suspects.observe_crashes(&requests);
                }
                Told::News
            }
            // A kind that a newer version writes.
            None => Told::Nothing,
        }
    }
}

fn hear(heard: &mut HashMap<CompactString, Heard>, heartbeat: Heartbeat, now: Instant) -> Told {
    let Heartbeat { name, address, link_rate: link, .. } = heartbeat;
    let name = CompactString::from(name);
    match address.parse() {
        Ok(address) => {
            let before = heard.insert(name, Heard { at: now, address, link });
            let known = before.is_some_and(|before| before.address == address);
            if known { Told::Nothing } else { Told::News }
        }
        Err(error) => {
            log::warn!(target: "bulletin", name = name.as_str(), error:% = error;
                "heartbeat without an address, left out");
            Told::Nothing
        }
    }
}

/// How old a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Age {
    /// It was just written.
    New,
    /// As it tells itself.
    AsTold,
}

/// For how long changes that were planned are still waited for.
fn left(shared: &Shared, plan: &Plan, age: Age) -> Duration {
    let age = match age {
        Age::New => Some(Duration::ZERO),
        Age::AsTold => plan.age(shared.usage.clock.now()),
    };
    age.map_or(Duration::ZERO, |age| STAGE_CHANGE_TIMEOUT.saturating_sub(age))
}

fn publish(shared: &Shared, heard: &HashMap<CompactString, Heard>) -> Vec<CompactString> {
    let mut entries: Vec<_> = heard.keys().cloned().collect();
    if !heard.contains_key(&shared.settings.name) {
        entries.push(shared.settings.name.clone());
    }
    entries.sort();
    shared.peers.set_members(members(shared, heard));
    let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    if count != shared.entries() {
        log::info!(target: "bulletin", entries = count, before = shared.entries();
            "entries changed");
    }
    shared.set_entries(count);
    shared.tail.set_entries(&shared.settings.name, &entries);
    entries
}

/// The entries that live, with this one as it knows itself.
fn members(shared: &Shared, heard: &HashMap<CompactString, Heard>) -> Vec<Member> {
    let others = heard.iter().filter(|(name, _)| **name != shared.settings.name);
    let others = others.map(|(name, heard)| Member {
        key: policy::hash(name),
        address: Some(heard.address),
        link_rate: heard.link,
    });
    let (key, link) = (shared.key(), shared.settings.link.bytes_per_second);
    others.chain([Member { key, address: None, link_rate: link }]).collect()
}
