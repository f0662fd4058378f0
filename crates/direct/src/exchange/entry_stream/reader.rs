//! Reads the entries' stream and folds its records into a [`StreamView`].

use super::{
    HEARTBEAT_TIMEOUT, MAX_RECORDS, PLAN_RETENTION, READ_INTERVAL, READ_WAIT, STREAM, StreamView,
    expect_changes,
};
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

/// The task that follows the stream.
pub(super) struct Reader {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    view: watch::Sender<StreamView>,
    /// The offset of the next record to read.
    next: Offset,
    /// The offset after the last record that changed something.
    change_end: Offset,
    entries: HashMap<CompactString, LiveEntry>,
    reread: Reread,
    /// After a failed call, when to retry although no peer has read the stream.
    retry_at: Option<Instant>,
}

/// An entry whose heartbeats arrive.
#[derive(Debug, Clone, Copy)]
struct LiveEntry {
    heartbeat_at: Instant,
    address: SocketAddr,
    /// The rate of its VM's link in bytes per second.
    link_rate: f64,
}

/// The records that may have been read before, after the log was restored from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reread {
    /// None.
    Nothing,
    /// All that the stream holds at the next read.
    UpToEnd,
    /// All before this offset.
    Before(Offset),
}

impl Reread {
    /// Returns the offset before which records may have been read, in a stream that ends at `end`.
    fn before(self, end: Offset) -> Offset {
        match self {
            Self::Nothing => 0,
            Self::UpToEnd => end,
            Self::Before(offset) => offset,
        }
    }
}

impl Reader {
    pub(super) fn new(
        shared: Arc<Shared>,
        log: Arc<dyn KeyedLog>,
        view: watch::Sender<StreamView>,
    ) -> Self {
        let (entries, reread) = (HashMap::new(), Reread::Nothing);
        Self { shared, log, view, next: 0, change_end: 0, entries, reread, retry_at: None }
    }

    pub(super) async fn run(mut self) {
        loop {
            if let Some(span) = self.forwarded_span().await {
                self.apply_span(span);
                continue;
            }
            match self.log.read(STREAM, self.next, MAX_RECORDS, READ_WAIT).await {
                Ok(batch) => self.apply_batch(batch),
                Err(plat::Error::Gone { oldest, .. }) => self.restart(oldest),
                Err(error) => {
                    // Entries stay live: while the log is unavailable no heartbeat can arrive.
                    self.retry_at = Some(Instant::now() + self.shared.log_retry_delay());
                    log::debug!(target: "bulletin", error:% = error; "entry stream not read");
                }
            }
            // Ends early when a plan was refused because the stream had grown.
            let _ = timeout(READ_INTERVAL, self.shared.entry_stream_changed.notified()).await;
        }
    }

    /// Waits until this entry should read the stream, or a peer forwards its next records.
    async fn forwarded_span(&self) -> Option<tail::RecordSpan> {
        // Peers can't forward the records before the first read.
        self.view.borrow().end?;
        tokio::select! {
            step = self.shared.tail.next_step(Topic::Notices, self.next, self.retry_at) =>
                match step {
                    FollowStep::Read(reason) => {
                        self.shared.metrics.stream_read(Topic::Notices.name(), reason.name());
                        None
                    }
                    FollowStep::Apply(span) => Some(span),
                },
            () = self.shared.entry_stream_changed.notified() => None,
        }
    }

    /// Applies records that a peer forwarded.
    fn apply_span(&mut self, span: tail::RecordSpan) {
        (self.next, self.change_end) = (self.next.max(span.end()), self.change_end.max(span.end()));
        self.shared.tail.record_forwarded(Topic::Notices, self.change_end);
        let (mut view, now) = (self.view.borrow().clone(), Instant::now());
        for record in span.records {
            let effect = self.apply_record(&record.value.unwrap_or_default(), now, Age::New);
            if let Effect::Plan(plan) = effect {
                view.record_plan(&plan, now);
            }
        }
        self.publish(view);
    }

    /// Applies records that were read from the log.
    fn apply_batch(&mut self, batch: Batch) {
        self.retry_at = None;
        self.shared.observe_epoch(epoch::epoch(batch.end), "log");
        let (now, start) = (Instant::now(), self.change_end);
        let mut view = self.view.borrow().clone();
        let is_first = view.end.is_none();
        view.last_plan_at.get_or_insert(now);
        view.complete_since.get_or_insert(now);
        view.planned_engines.retain(|planned| now.duration_since(planned.read_at) < PLAN_RETENTION);
        let reread_end = self.reread.before(batch.end);
        self.next = self.next.max(batch.oldest);
        let (reread, new): (Vec<_>, Vec<_>) =
            batch.entries.into_iter().partition(|entry| entry.offset < reread_end);
        for entry in reread {
            self.next = entry.offset + 1;
            apply_reread(&entry, &mut view, now);
        }
        let mut changed = Vec::new();
        for entry in new {
            self.next = entry.offset + 1;
            // The records of a process's first read may be minutes old.
            let age = if is_first { Age::FromRecord } else { Age::New };
            let effect = self.apply_record(&entry.bytes, now, age);
            if effect != Effect::Nothing {
                self.change_end = self.next;
                changed.push(record(entry));
            }
            if let Effect::Plan(plan) = effect {
                view.record_plan(&plan, now);
            }
        }
        self.update_reread(reread_end);
        if !is_first {
            let (topic, log_degraded) = (Topic::Notices, false);
            let span = tail::RecordSpan { topic, start, log_degraded, records: changed };
            broadcast::forward(&self.shared, &span);
        }
        self.shared.record_read(Topic::Notices, self.change_end);
        self.entries.retain(|_, entry| now.duration_since(entry.heartbeat_at) < HEARTBEAT_TIMEOUT);
        self.publish(view);
    }

    /// Ends the reread once all records before `end` have been read again.
    fn update_reread(&mut self, end: Offset) {
        if self.reread == Reread::Nothing {
            return;
        }
        if self.next < end {
            self.reread = Reread::Before(end);
            return;
        }
        self.reread = Reread::Nothing;
        // Peers have to read the restored stream as well, even if no record changed anything.
        self.change_end = self.change_end.max(self.next);
    }

    /// Continues at the oldest record: those before have expired, or the log was restored from an
    /// older copy.
    fn restart(&mut self, oldest: Offset) {
        if epoch::epoch(oldest) > epoch::epoch(self.next) {
            log::warn!(target: "store", stream = STREAM, epoch = epoch::epoch(oldest),
                read = epoch::index(self.next); "stream is read anew");
            self.reread = Reread::UpToEnd;
        }
        self.next = oldest;
        // The lost records may have held a plan. As after a start, this entry orders no engine that
        // another one may have planned for until the lease of such a plan would have expired.
        self.view.send_modify(|view| view.mark_incomplete());
    }

    fn publish(&self, mut view: StreamView) {
        view.entries = set_entries(&self.shared, &self.entries);
        view.end = Some(self.next);
        self.view.send_replace(view);
    }
}

/// Applies a record that may have been read before. Only the existence of plans is recorded:
/// heartbeats, stage changes and suspected requests were applied then, and must not be applied
/// twice.
fn apply_reread(entry: &Entry, view: &mut StreamView, now: Instant) {
    if let Ok(Notice { kind: Some(Kind::Plan(plan)) }) = Notice::decode(entry.bytes.clone()) {
        view.record_plan(&plan, now);
    }
}

/// Converts an entry of this stream, which has no keys.
fn record(entry: Entry) -> Record {
    Record { offset: entry.offset, key: CompactString::default(), value: Some(entry.bytes) }
}

/// The effect of a record.
#[derive(Debug, Clone, PartialEq)]
enum Effect {
    /// It changed nothing.
    Nothing,
    /// It changed something, so that peers should read it.
    Change,
    /// It holds a plan.
    Plan(Plan),
}

impl Reader {
    /// Applies one record.
    fn apply_record(&mut self, record: &[u8], now: Instant, age: Age) -> Effect {
        let (shared, entries) = (&*self.shared, &mut self.entries);
        let notice = match Notice::decode(record) {
            Ok(notice) => notice,
            Err(error) => {
                log::warn!(target: "bulletin", error:% = error; "notice not readable, left out");
                return Effect::Nothing;
            }
        };
        match notice.kind {
            Some(Kind::Heartbeat(Heartbeat { name, leaving: true, .. })) => {
                if entries.remove(name.as_str()).is_some() {
                    Effect::Change
                } else {
                    Effect::Nothing
                }
            }
            Some(Kind::Heartbeat(heartbeat)) => apply_heartbeat(entries, heartbeat, now),
            Some(Kind::Plan(plan)) => {
                if plan.planner != shared.settings.name {
                    expect_changes(shared, &plan, remaining(shared, &plan, age));
                }
                Effect::Plan(plan)
            }
            Some(Kind::SuspectedRequests(SuspectedRequests { entry, requests })) => {
                if entry != shared.settings.name {
                    shared.suspects.observe_crashes(&requests);
                }
                Effect::Change
            }
            // A kind of a newer version.
            None => Effect::Nothing,
        }
    }
}

fn apply_heartbeat(
    entries: &mut HashMap<CompactString, LiveEntry>,
    heartbeat: Heartbeat,
    now: Instant,
) -> Effect {
    let Heartbeat { name, address, link_rate, .. } = heartbeat;
    let name = CompactString::from(name);
    match address.parse() {
        Ok(address) => {
            let previous =
                entries.insert(name, LiveEntry { heartbeat_at: now, address, link_rate });
            let known = previous.is_some_and(|previous| previous.address == address);
            if known { Effect::Nothing } else { Effect::Change }
        }
        Err(error) => {
            log::warn!(target: "bulletin", name = name.as_str(), error:% = error;
                "heartbeat without an address, left out");
            Effect::Nothing
        }
    }
}

/// How old a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Age {
    /// It was just written.
    New,
    /// By the time in the record itself.
    FromRecord,
}

/// Returns for how long the changes of a plan are still expected.
fn remaining(shared: &Shared, plan: &Plan, age: Age) -> Duration {
    let age = match age {
        Age::New => Some(Duration::ZERO),
        Age::FromRecord => plan.age(shared.usage.clock.now()),
    };
    age.map_or(Duration::ZERO, |age| STAGE_CHANGE_TIMEOUT.saturating_sub(age))
}

/// Applies the set of live entries to the shared state. Returns their names, sorted.
fn set_entries(shared: &Shared, entries: &HashMap<CompactString, LiveEntry>) -> Vec<CompactString> {
    let mut names: Vec<_> = entries.keys().cloned().collect();
    if !entries.contains_key(&shared.settings.name) {
        names.push(shared.settings.name.clone());
    }
    names.sort();
    shared.peers.set_members(members(shared, entries));
    let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
    if count != shared.entries() {
        log::info!(target: "bulletin", entries = count, before = shared.entries();
            "entries changed");
    }
    shared.set_entries(count);
    shared.tail.set_entries(&shared.settings.name, &names);
    names
}

/// Returns the live entries. This one is described by its own settings instead of its heartbeats.
fn members(shared: &Shared, entries: &HashMap<CompactString, LiveEntry>) -> Vec<Member> {
    let peers = entries.iter().filter(|(name, _)| **name != shared.settings.name);
    let peers = peers.map(|(name, entry)| Member {
        key: policy::hash(name),
        address: Some(entry.address),
        link_rate: entry.link_rate,
    });
    let (key, link_rate) = (shared.key(), shared.settings.link.bytes_per_second);
    peers.chain([Member { key, address: None, link_rate }]).collect()
}
