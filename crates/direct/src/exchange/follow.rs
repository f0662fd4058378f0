//! Follows the configuration and the list of targets in the log.
//!
//! Each of them is one stream. The newest record of each key is obtained once, from another entry
//! or from the log, then the changes. When the changes have expired, the newest records are
//! obtained again. What was read stays in force while the log is unavailable.

use crate::cluster::tail::{FollowStep, ReadReason, RecordSpan, Retry, Topic};
use crate::codec::TargetId;
use crate::config::route::Table;
use crate::exchange::{catch_up, dissemination, origins};
use crate::shared::Shared;
use crate::targets::fleet::{FleetUpdate, LogState, TargetRecord};
use compact_str::CompactString;
use plat::{KeyedLog, Newest, Offset, Record, StreamName, epoch};
use policy::succession::ANNOUNCEMENT_INTERVAL;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The result of decoding a record.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A record that can't be decoded.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{stream}, key {key}: {detail}")]
pub struct Error {
    /// The stream.
    pub stream: StreamName,
    /// The record's key.
    pub key: CompactString,
    /// The cause, with the path of the field.
    pub detail: CompactString,
}

/// Decodes the records that operators and targets write.
pub trait Decode: Send + Sync {
    /// Returns the stream of the configuration, and the key of the configuration in it.
    fn config_stream(&self) -> (&'static str, &'static str);

    /// Returns the stream in which targets register, each under its id.
    fn target_stream(&self) -> &'static str;

    /// Decodes a configuration.
    fn table(&self, value: &[u8]) -> Result<Table, CompactString>;

    /// Decodes the record of a target.
    fn target_record(&self, value: &[u8]) -> Result<TargetRecord, CompactString>;
}

/// The backoff after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff: shorter than the time in which a change has to take effect.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// For how long after a failed call the log counts as degraded.
const DEGRADED_SPAN: Duration = Duration::from_secs(3);

/// How long a read of a list takes at least before it is announced: short ones are not worth it.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(40);

/// The result of reading a stream.
enum Update {
    /// The newest records of all keys, and the end of the stream.
    All(Vec<Record>, Offset),
    /// The same, received from another entry.
    AllReceived(Vec<Record>, Offset),
    /// New records, read from the log.
    Changes(Vec<Record>),
    /// New records, forwarded by a peer.
    Forwarded(RecordSpan),
}

impl Update {
    /// Whether this entry read the log itself.
    fn is_own_read(&self) -> bool {
        match self {
            Self::All(..) | Self::Changes(_) => true,
            Self::AllReceived(..) | Self::Forwarded(_) => false,
        }
    }

    /// Whether it holds the newest records alone, not all changes.
    fn is_whole(&self) -> bool {
        match self {
            Self::All(..) | Self::AllReceived(..) => true,
            Self::Changes(_) | Self::Forwarded(_) => false,
        }
    }
}

/// The newest records of some keys: the read of the list failed after these.
struct PartialList(Vec<Record>);

/// A stream that this entry follows.
struct Stream {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    topic: Topic,
    name: &'static str,
    read_wait: Duration,
    /// The offset of the next record to read; none if the newest records have to be read.
    next: Option<Offset>,
    backoff: Duration,
    /// No call is made before this.
    backoff_until: Option<Instant>,
    /// When a call last failed.
    failed_at: Option<Instant>,
    /// Since when the log has been unavailable.
    lost_at: Option<Instant>,
    /// After a failed call, when to call again although no peer has read the stream.
    retry: Option<Retry>,
    /// When the last call to the log was started.
    began: Instant,
    /// Before this, only what peers send is applied.
    pause_until: Option<Instant>,
    /// Whether the log was restored from an older copy since the stream was last read.
    restored: bool,
    /// What the last read of the list returned before it failed.
    part: Option<PartialList>,
    /// The offset after the records of all lists that were read in part. The lists that others have
    /// may be older.
    part_end: Offset,
    /// Whether the changes since the last read have expired in the log. Another entry can't tell
    /// from where to read on.
    expired: bool,
}

impl Stream {
    fn new(
        shared: Arc<Shared>,
        log: Arc<dyn KeyedLog>,
        topic: Topic,
        name: &'static str,
        read_wait: Duration,
    ) -> Self {
        let (next, backoff, failed_at, lost_at, retry) = (None, MIN_BACKOFF, None, None, None);
        let (restored, expired) = (false, false);
        Self {
            shared,
            log,
            topic,
            name,
            read_wait,
            next,
            backoff,
            backoff_until: None,
            failed_at,
            lost_at,
            retry,
            began: Instant::now(),
            pause_until: None,
            restored,
            part: None,
            part_end: 0,
            expired,
        }
    }

    /// Returns the next update, retrying until a call succeeds or a list was read in part.
    async fn read(&mut self) -> Result<Update, PartialList> {
        loop {
            if let Some(until) = self.backoff_until.take() {
                tokio::time::sleep_until(until).await;
            }
            match self.try_read().await {
                // What a peer sends doesn't show whether this entry reaches the log.
                Ok(update) if !update.is_own_read() => return Ok(update),
                Ok(update) => {
                    (self.backoff, self.retry) = (MIN_BACKOFF, None);
                    if let Some(lost_at) = self.lost_at.take() {
                        let lost_ms = lost_at.elapsed().as_millis();
                        log::info!(target: "store", stream = self.name, lost_ms; "log regained");
                    }
                    return Ok(update);
                }
                Err(error) => {
                    self.handle_failure(error);
                    if let Some(part) = self.part.take() {
                        return Err(part);
                    }
                }
            }
        }
    }

    async fn try_read(&mut self) -> plat::Result<Update> {
        let Some(next) = self.next else { return self.try_read_all().await };
        if let Some(span) = self.next_forwarded(next).await {
            self.next = Some(span.end.max(next));
            return Ok(Update::Forwarded(span));
        }
        let from = loop {
            match self.shared.tail.next_step(self.topic, next, self.retry).await {
                FollowStep::Read(reason) => {
                    if reason == ReadReason::NewRecords
                        && let Some(newest) = catch_up::fetch_again(&self.shared, self.topic).await
                    {
                        self.next = Some(newest.end.max(next));
                        return Ok(Update::AllReceived(newest.records, newest.end));
                    }
                    self.shared.metrics.stream_read(self.topic.name(), reason.name());
                    break self.shared.tail.read_position(self.topic, next);
                }
                FollowStep::Apply(span) => {
                    self.next = Some(span.end.max(next));
                    return Ok(Update::Forwarded(span));
                }
                FollowStep::Pull(peer) => {
                    catch_up::request_from(&self.shared, self.topic, next, peer);
                }
                FollowStep::Restart => {
                    (self.next, self.restored) = (None, true);
                    return self.try_read_all().await;
                }
            }
        };
        self.began = Instant::now();
        let (records, end) = self.log.changes(self.name, from, self.read_wait).await?;
        self.advance(end.max(from));
        Ok(Update::Changes(records))
    }

    /// Returns what peers send while this entry pauses between its own reads.
    async fn next_forwarded(&mut self, next: Offset) -> Option<RecordSpan> {
        let until = self.pause_until?;
        loop {
            if let Some(span) = self.shared.tail.take_offered(self.topic, next) {
                return Some(span);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                self.pause_until = None;
                return None;
            }
            self.shared.tail.wait_for_update(left).await;
        }
    }

    async fn try_read_all(&mut self) -> plat::Result<Update> {
        if !self.expired
            && let Some(newest) = catch_up::fetch_first(&self.shared, self.topic).await
            && newest.end >= self.part_end
        {
            self.next = Some(newest.end);
            return Ok(Update::AllReceived(newest.records, newest.end));
        }
        self.shared.metrics.stream_read(self.topic.name(), "all");
        self.began = Instant::now();
        let newest = self.read_list().await?;
        if let Some(error) = newest.cut_short {
            let ends = newest.records.iter().map(|record| record.offset + 1);
            self.part_end = ends.max().unwrap_or_default().max(self.part_end);
            self.part = Some(PartialList(newest.records));
            return Err(error);
        }
        (self.expired, self.part_end) = (false, 0);
        self.advance(newest.end);
        Ok(Update::All(newest.records, newest.end))
    }

    /// Reads the whole list, and announces it to the others meanwhile, unless calls have failed
    /// recently: others may reach the log then.
    async fn read_list(&self) -> plat::Result<Newest> {
        let announces = !self.is_degraded(Instant::now());
        let first = Instant::now() + ANNOUNCEMENT_DELAY;
        let mut announcements = tokio::time::interval_at(first, ANNOUNCEMENT_INTERVAL);
        let mut list = std::pin::pin!(self.log.newest(self.name));
        loop {
            tokio::select! {
                newest = &mut list => return newest,
                _ = announcements.tick(), if announces => {
                    dissemination::announce_read(&self.shared, self.topic);
                }
            }
        }
    }

    fn advance(&mut self, end: Offset) {
        self.shared.observe_epoch(epoch::epoch(end), "log");
        self.next = Some(end);
    }

    fn handle_failure(&mut self, error: plat::Error) {
        if let plat::Error::Gone { oldest, .. } = error {
            let next = self.next.take().unwrap_or_default();
            if epoch::epoch(oldest) == epoch::epoch(next) {
                log::info!(target: "store", stream = self.name, oldest; "history gone");
                self.expired = true;
                return;
            }
            let (epoch, read) = (epoch::epoch(oldest), epoch::index(next));
            log::warn!(target: "store", stream = self.name, epoch, read; "stream is read anew");
            self.restored = true;
            return;
        }
        let now = Instant::now();
        self.failed_at = Some(now);
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(target: "store", stream = self.name, error:% = error; "log lost");
        }
        let retry_delay = self.shared.log_retry_delay(self.topic);
        let backoff = match error {
            // The same call is likely to be refused again, at all entries that make it.
            plat::Error::Refused { .. } if self.next.is_none() => self.backoff.max(retry_delay),
            _ => self.backoff,
        };
        self.backoff_until = Some(now + backoff);
        self.retry = Some(Retry { failed_at: now, at: now + backoff + retry_delay });
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn is_degraded(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now.duration_since(at) < DEGRADED_SPAN)
    }
}

/// Keeps the configuration up to date for the lifetime of the process.
pub async fn config(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let (name, key) = decode.config_stream();
    let read_wait = shared.tail.timing().config_read_wait();
    let mut stream = Stream::new(shared.clone(), log, Topic::Config, name, read_wait);
    let mut change_end = 0;
    loop {
        let update = match stream.read().await {
            Ok(update) => update,
            Err(PartialList(records)) => {
                // Versions never decrease, whatever the order in which they are read.
                let versions = records.iter().filter(|record| record.key == key);
                versions.for_each(|record| apply_version(&shared, &*decode, record));
                continue;
            }
        };
        let (own, start) = (update.is_own_read(), change_end);
        let (records, end) = match update {
            Update::All(records, end) | Update::AllReceived(records, end) => (records, end),
            Update::Changes(records) => (records, 0),
            Update::Forwarded(span) => (span.records, span.end),
        };
        let versions: Vec<_> = records.into_iter().filter(|record| record.key == key).collect();
        for record in versions.iter().rev() {
            change_end = change_end.max(record.offset + 1);
            apply_version(&shared, &*decode, record);
        }
        if std::mem::take(&mut stream.restored) || !own {
            // Peers have to read the restored stream as well, even if no record changed anything.
            change_end = change_end.max(end);
        }
        let log_degraded = stream.is_degraded(Instant::now());
        let topic = Topic::Config;
        let span = RecordSpan {
            topic,
            start,
            end: change_end,
            log_degraded,
            whole: false,
            records: versions,
        };
        record_span(&shared, span, own_read(&stream, own));
    }
}

/// Puts a version of the configuration in force, unless it can't be decoded or is outdated.
fn apply_version(shared: &Shared, decode: &dyn Decode, record: &Record) {
    let Some(value) = &record.value else { return };
    match decode.table(value) {
        Ok(table) => {
            if apply(shared, table, record.offset) {
                shared.tail.keep(Topic::Config, [record.clone()]);
            }
        }
        Err(detail) => {
            let stream = decode.config_stream().0.into();
            let error = Error { stream, key: record.key.clone(), detail };
            log::warn!(target: "config", offset = record.offset, error:% = error;
                "configuration not readable, the last one stays in force");
        }
    }
}

/// A read of the log by this entry.
struct OwnRead {
    /// How far it went.
    end: Offset,
    /// When it was started.
    began: Instant,
}

/// The last read of a stream, if it was this entry that made it.
fn own_read(stream: &Stream, own: bool) -> Option<OwnRead> {
    let end = stream.next.filter(|_| own)?;
    Some(OwnRead { end, began: stream.began })
}

/// Records how far a stream was applied, and sends what this entry read itself to the others.
fn record_span(shared: &Arc<Shared>, span: RecordSpan, read: Option<OwnRead>) {
    if let Some(read) = read {
        shared.record_read(span.topic, span.end, read.end, read.began);
        dissemination::publish(shared, span);
    } else {
        shared.tail.record_forwarded(span.topic, span.end);
    }
}

/// Puts a configuration in force unless a newer one is. Versions never decrease, whatever the order
/// in which reads complete, and even if the log has lost the newer version. Returns whether the
/// configuration is in force.
fn apply(shared: &Shared, table: Table, offset: Offset) -> bool {
    let old = shared.table.borrow().as_ref().map(|table| table.version);
    if let Some(old) = old.filter(|old| *old >= table.version) {
        return old == table.version;
    }
    log::info!(target: "config", version = table.version, offset, routes = table.route_count(),
        before:? = old; "configuration in force");
    if let Some(customer) = table.without_burst().first() {
        let customers = table.without_burst().len();
        log::warn!(target: "config", version = table.version, customer = customer.as_str(), customers;
            "rate without a burst, one second of the rate is used");
    }
    shared.metrics.version.set(i64::try_from(table.version).unwrap_or(i64::MAX));
    shared.table.send_replace(Some(Arc::new(table)));
    true
}

/// Keeps the list of targets up to date for the lifetime of the process.
pub async fn targets(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let (name, timing) = (decode.target_stream(), shared.tail.timing());
    let read_wait = timing.targets_read_wait();
    let mut stream = Stream::new(shared.clone(), log, Topic::Targets, name, read_wait);
    let mut invalid = InvalidRecords::default();
    let mut has_list = false;
    loop {
        let update = match stream.read().await {
            Ok(update) => update,
            Err(list) => {
                apply_part(&shared, &*decode, list, &mut invalid);
                continue;
            }
        };
        let own = update.is_own_read();
        // Targets may have come and gone unseen. After a restore nothing was missed but what the log
        // itself has lost.
        if update.is_whole() && std::mem::replace(&mut has_list, true) && !stream.restored {
            log::info!(target: "fleet", "history of software versions restarted");
            shared.fleet().restart_history(Instant::now());
        }
        let span = apply_targets(&shared, &*decode, update, &mut stream, &mut invalid);
        let count = {
            let fleet = shared.fleet();
            shared.metrics.forget_targets(|id| fleet.get(id).is_some());
            fleet.len()
        };
        record_span(&shared, span, own_read(&stream, own));
        origins::publish_mixed(&shared);
        shared.metrics.targets.set(i64::try_from(count).unwrap_or(i64::MAX));
        if own {
            stream.pause_until = Some(Instant::now() + timing.targets_read_interval());
        }
    }
}

/// Applies the records of a list that was read in part: its targets serve meanwhile, and none is
/// removed. Nothing is passed on, and no stage is changed, before the whole list is known.
fn apply_part(
    shared: &Shared,
    decode: &dyn Decode,
    PartialList(records): PartialList,
    invalid: &mut InvalidRecords,
) {
    let updates = fleet_updates(decode, records, invalid);
    let (mut fleet, now) = (shared.fleet(), Instant::now());
    fleet.apply(updates, now, LogState::Degraded);
    // Targets that are not known may run other software.
    fleet.restart_history(now);
    drop(fleet.take_changed());
}

/// Applies an update of the list of targets; returns the records that changed something.
fn apply_targets(
    shared: &Shared,
    decode: &dyn Decode,
    update: Update,
    stream: &mut Stream,
    invalid: &mut InvalidRecords,
) -> RecordSpan {
    let now = Instant::now();
    let forwarded_degraded = match &update {
        Update::Forwarded(span) => span.log_degraded,
        Update::All(..) | Update::AllReceived(..) | Update::Changes(_) => false,
    };
    let log_degraded = stream.is_degraded(now) || forwarded_degraded;
    let log_state = match (std::mem::take(&mut stream.restored), log_degraded) {
        (true, _) => LogState::Restored,
        (false, true) => LogState::Degraded,
        (false, false) => LogState::Healthy,
    };
    // Nobody can send the changes of a whole list one by one: no entry had it, or the log forgot them.
    let is_whole = matches!(update, Update::All(..));
    let start = if is_whole { 0 } else { shared.fleet().change_end() };
    let (records, forwarded_end) = match update {
        Update::All(records, end) => {
            replace_targets(shared, decode, records, end, log_state, invalid);
            (shared.tail.kept_all(Topic::Targets), 0)
        }
        Update::AllReceived(records, end) => {
            replace_targets(shared, decode, records, end, log_state, invalid);
            (Vec::new(), end)
        }
        Update::Changes(records) => {
            (change_targets(shared, decode, records, log_state, invalid), 0)
        }
        Update::Forwarded(span) => {
            (change_targets(shared, decode, span.records, log_state, invalid), span.end)
        }
    };
    let end = {
        let mut fleet = shared.fleet();
        fleet.advance(forwarded_end);
        fleet.change_end()
    };
    let topic = Topic::Targets;
    let start = if records.is_empty() { end } else { start };
    RecordSpan { topic, start, end, log_degraded, whole: is_whole, records }
}

fn replace_targets(
    shared: &Shared,
    decode: &dyn Decode,
    records: Vec<Record>,
    end: Offset,
    log_state: LogState,
    invalid: &mut InvalidRecords,
) {
    let updates = fleet_updates(decode, records.clone(), invalid);
    shared.tail.keep_all(Topic::Targets, records, end);
    let mut fleet = shared.fleet();
    fleet.replace(updates, end, Instant::now(), log_state);
    drop(fleet.take_changed());
}

/// Applies records; returns those that changed something.
fn change_targets(
    shared: &Shared,
    decode: &dyn Decode,
    records: Vec<Record>,
    log_state: LogState,
    invalid: &mut InvalidRecords,
) -> Vec<Record> {
    let updates = fleet_updates(decode, records.clone(), invalid);
    let changed = {
        let mut fleet = shared.fleet();
        fleet.apply(updates, Instant::now(), log_state);
        fleet.take_changed()
    };
    let is_changed = |record: &Record| changed.contains(&record.offset);
    let changed: Vec<Record> = records.into_iter().filter(is_changed).collect();
    shared.tail.keep(Topic::Targets, changed.iter().cloned());
    changed
}

/// The cause for which the record of each key could not be decoded. The same cause is logged only
/// once, because a writer may renew its record every second.
#[derive(Default)]
struct InvalidRecords(HashMap<CompactString, CompactString>);

/// The maximum number of tracked keys. On overflow all are dropped and logged again.
const MAX_INVALID: usize = 1_024;

impl InvalidRecords {
    fn log(&mut self, error: Error, offset: Offset) {
        if self.0.len() >= MAX_INVALID {
            self.0.clear();
        }
        let previous = self.0.insert(error.key.clone(), error.detail.clone());
        if previous.as_ref() != Some(&error.detail) {
            log::warn!(target: "fleet", offset, error:% = error; "record not readable, left out");
        }
    }
}

/// Checks that targets can be sent the id: without it, one that has replaced another at its address
/// would run the other's requests.
fn check_id(id: &TargetId) -> Result<(), CompactString> {
    let is_trimmed = id.trim_matches([' ', '\t']) == id.as_str();
    if id.is_empty() || !is_trimmed || http::HeaderValue::from_bytes(id.as_bytes()).is_err() {
        return Err("the id can't be sent to targets".into());
    }
    Ok(())
}

fn fleet_updates(
    decode: &dyn Decode,
    records: Vec<Record>,
    invalid: &mut InvalidRecords,
) -> Vec<(Offset, FleetUpdate)> {
    let decoded = records.into_iter().map(|record| {
        let id: TargetId = record.key;
        let Some(value) = record.value else { return (record.offset, FleetUpdate::Removed(id)) };
        let record_value = check_id(&id).and_then(|()| decode.target_record(&value));
        let update = match record_value {
            Ok(target) => FleetUpdate::Registered(id, target),
            Err(detail) => {
                let stream = decode.target_stream().into();
                invalid.log(Error { stream, key: id.clone(), detail }, record.offset);
                FleetUpdate::Unreadable(id)
            }
        };
        (record.offset, update)
    });
    decoded.collect()
}
