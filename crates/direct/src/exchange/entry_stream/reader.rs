//! Reads the entries' stream and folds its records into a [`StreamView`].

use super::{
    MAX_RECORDS, PLAN_RETENTION, READ_INTERVAL, READ_WAIT, STREAM, StreamView, expect_changes,
};
use crate::cluster::messages::Versions;
use crate::cluster::tail::{self, FollowStep, Retry, Topic};
use crate::exchange::notice::{Heartbeat, Kind, Notice, Plan, SuspectedRequests, WrittenVerdicts};
use crate::exchange::{catch_up, crashes, dissemination, membership};
use crate::shared::Shared;
use crate::targets::target::STAGE_CHANGE_TIMEOUT;
use compact_str::CompactString;
use plat::{Batch, Entry, KeyedLog, Newest, Offset, Record, epoch};
use policy::membership::Node;
use prost::Message;
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
    /// When the last read of the log was started.
    read_began: Instant,
    reread: Reread,
    /// After a failed call, when to call again although no peer has read the stream.
    retry: Option<Retry>,
    /// Whether it was tried to read the stream from its first record.
    has_read_start: bool,
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
        let reread = Reread::Nothing;
        let read_began = Instant::now();
        let (next, change_end, retry, has_read_start) = (0, 0, None, false);
        Self { shared, log, view, next, change_end, read_began, reread, retry, has_read_start }
    }

    pub(super) async fn run(mut self) {
        if let Some(newest) = catch_up::fetch_first(&self.shared, Topic::Notices).await {
            self.apply_received(newest);
        }
        loop {
            self.read_start().await;
            if let Some(span) = self.forwarded_span().await {
                self.apply_span(span);
                continue;
            }
            self.read_began = Instant::now();
            match self.log.read(STREAM, self.next, MAX_RECORDS, READ_WAIT).await {
                Ok(batch) => self.apply_batch(batch),
                Err(plat::Error::Gone { oldest, .. }) => self.restart(oldest),
                Err(error) => {
                    let now = Instant::now();
                    let at = now + self.shared.log_retry_delay(Topic::Notices);
                    self.retry = Some(Retry { failed_at: now, at });
                    log::debug!(target: "bulletin", error:% = error; "entry stream not read");
                }
            }
            // Ends early when a plan was refused because the stream had grown.
            let _ = timeout(READ_INTERVAL, self.shared.entry_stream_changed.notified()).await;
        }
    }

    /// Reads what precedes the records that others sent, once, if this entry may plan stage changes: a
    /// plan may be among them.
    async fn read_start(&mut self) {
        let is_received = self.view.borrow().end.is_some() && !self.view.borrow().is_whole;
        if self.has_read_start || !is_received || !self.shared.peers.directory.may_plan() {
            return;
        }
        self.has_read_start = true;
        let (mut from, mut view) = (0, self.view.borrow().clone());
        while from < self.next {
            let read = self.log.read(STREAM, from, MAX_RECORDS, Duration::ZERO).await;
            let batch = match read {
                Ok(batch) if batch.oldest == 0 && !batch.entries.is_empty() => batch,
                Ok(_) => return,
                Err(error) => {
                    log::debug!(target: "bulletin", error:% = error; "start of the stream not read");
                    return;
                }
            };
            let now = Instant::now();
            for entry in batch.entries {
                from = entry.offset + 1;
                apply_reread(&entry, &mut view, now);
            }
        }
        view.is_whole = true;
        self.publish(view);
    }

    /// Waits until this entry should read the stream, or a peer forwards its next records.
    async fn forwarded_span(&mut self) -> Option<tail::RecordSpan> {
        // Peers can't forward the records before the first read.
        self.view.borrow().end?;
        let shared = self.shared.clone();
        tokio::select! {
            span = self.next_span() => span,
            () = shared.entry_stream_changed.notified() => None,
        }
    }

    async fn next_span(&mut self) -> Option<tail::RecordSpan> {
        let topic = Topic::Notices;
        loop {
            match self.shared.tail.next_step(topic, self.next, self.retry).await {
                FollowStep::Read(reason) => {
                    self.next = self.shared.tail.read_position(topic, self.next);
                    self.shared.metrics.stream_read(topic.name(), reason.name());
                    return None;
                }
                FollowStep::Apply(span) => return Some(span),
                FollowStep::Restart => {
                    self.shared.metrics.stream_read(topic.name(), "restored");
                    return None;
                }
                FollowStep::Pull(peer) => {
                    catch_up::request_from(&self.shared, topic, self.next, peer);
                }
            }
        }
    }

    /// Applies the records that another entry has kept of the stream, in place of a first read.
    fn apply_received(&mut self, newest: Newest) {
        let now = Instant::now();
        let mut view = self.view.borrow().clone();
        (view.last_plan_at, view.complete_since) = (Some(now), Some(now));
        (self.next, self.change_end) = (newest.end, newest.end);
        self.apply_records(newest.records, &mut view, now, Age::FromRecord);
        self.shared.tail.record_forwarded(Topic::Notices, self.change_end);
        self.publish(view);
    }

    /// Applies records that a peer forwarded.
    fn apply_span(&mut self, span: tail::RecordSpan) {
        (self.next, self.change_end) = (self.next.max(span.end), self.change_end.max(span.end));
        self.shared.tail.record_forwarded(Topic::Notices, self.change_end);
        let (mut view, now) = (self.view.borrow().clone(), Instant::now());
        self.apply_records(span.records, &mut view, now, Age::New);
        self.publish(view);
    }

    fn apply_records(
        &mut self,
        records: Vec<Record>,
        view: &mut StreamView,
        now: Instant,
        age: Age,
    ) {
        for record in records {
            let value = record.value.clone().unwrap_or_default();
            if let Effect::Plan(plan) = apply_record(&self.shared, &value, record.offset, age) {
                view.record_plan(&plan, now);
            }
            self.shared.tail.keep(Topic::Notices, [record]);
        }
    }

    /// Applies records that were read from the log.
    fn apply_batch(&mut self, batch: Batch) {
        self.retry = None;
        self.shared.observe_epoch(epoch::epoch(batch.end), "log");
        let (now, start) = (Instant::now(), self.change_end);
        let mut view = self.view.borrow().clone();
        let is_first = view.end.is_none();
        view.last_plan_at.get_or_insert(now);
        view.complete_since.get_or_insert(now);
        // A log that was restored from an older copy may have lost plans.
        view.is_whole |= is_first && batch.oldest == 0 && epoch::epoch(batch.end) == 0;
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
            let effect = apply_record(&self.shared, &entry.bytes, entry.offset, age);
            if effect != Effect::Nothing {
                self.change_end = self.next;
                changed.push(record(entry));
            }
            if let Effect::Plan(plan) = effect {
                view.record_plan(&plan, now);
            }
        }
        self.update_reread(reread_end);
        self.shared.tail.keep(Topic::Notices, changed.iter().cloned());
        self.shared.record_read(Topic::Notices, self.change_end, self.next, self.read_began);
        // Others may not know that records before the first read have expired.
        let (start, records) =
            if is_first { (self.change_end, Vec::new()) } else { (start, changed) };
        let (topic, end, log_degraded) = (Topic::Notices, self.change_end, false);
        let span = tail::RecordSpan { topic, start, end, log_degraded, whole: false, records };
        dissemination::publish(&self.shared, span);
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

/// Applies one record.
fn apply_record(shared: &Shared, record: &[u8], offset: Offset, age: Age) -> Effect {
    let notice = match Notice::decode(record) {
        Ok(notice) => notice,
        Err(error) => {
            log::warn!(target: "bulletin", error:% = error; "notice not readable, left out");
            return Effect::Nothing;
        }
    };
    match notice.kind {
        Some(Kind::Heartbeat(heartbeat)) => apply_heartbeat(shared, &heartbeat),
        Some(Kind::Plan(plan)) => {
            if let Some(split) = &plan.split {
                shared.splits.merge(split, offset);
            }
            if plan.planner != shared.settings.name {
                expect_changes(shared, &plan, remaining(shared, &plan, age));
            }
            Effect::Plan(plan)
        }
        Some(Kind::SuspectedRequests(SuspectedRequests { entry, requests })) => {
            if entry != shared.settings.name {
                let now = shared.crash_time();
                crashes::publish(shared, &shared.suspects.observe_anonymous_crash(&requests, now));
            }
            Effect::Change
        }
        // Entries tell each other verdicts by datagram; those that start read them here.
        Some(Kind::Verdicts(WrittenVerdicts { rows })) => {
            crashes::merge(shared, &rows);
            Effect::Nothing
        }
        // A kind of a newer version.
        None => Effect::Nothing,
    }
}

/// Applies a heartbeat: joins an entry that takes part in the membership and isn't known yet, and
/// counts any other as live.
fn apply_heartbeat(shared: &Shared, heartbeat: &Heartbeat) -> Effect {
    let Heartbeat { name, leaving, address, link_rate, takes_part, splits, versions } = heartbeat;
    let (key, directory) = (policy::hash(name), &shared.peers.directory);
    // What an earlier process of this entry wrote counts as well.
    if let Some(history) = versions.as_ref().and_then(Versions::history) {
        shared.fleet().offer_logged_history(history);
    }
    if *name == shared.settings.name {
        return Effect::Nothing;
    }
    let new_splits = splits.iter().filter(|split| shared.splits.merge(split, split.decided_at));
    let has_new_split = new_splits.count() > 0;
    let address = match address.parse() {
        Ok(address) => address,
        Err(error) => {
            log::warn!(target: "bulletin", name = name.as_str(), error:% = error;
                "heartbeat without an address, left out");
            return Effect::Nothing;
        }
    };
    let is_known = directory.address(key) == Some(address);
    match (takes_part, leaving) {
        (true, false) if !is_known => membership::join(shared, address),
        (true, _) => {}
        (false, true) => directory.remove_heartbeat(key),
        (false, false) => {
            // Heartbeats of earlier builds don't tell the failure domain.
            let node = Node { key, domain: 0, address, link_rate: *link_rate };
            directory.record_heartbeat(node, shared.time());
        }
    }
    let is_unchanged = *takes_part || (is_known && !leaving);
    // Entries that start are told by others, who have to keep it.
    if is_unchanged && !has_new_split { Effect::Nothing } else { Effect::Change }
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
