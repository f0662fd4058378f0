//! Follows the configuration and the list of targets in the log.
//!
//! Each of them is one stream. The newest record of each key is read once, then the changes. When
//! the changes have expired, the newest records are read again. What was read stays in force while
//! the log is unavailable.

use crate::cluster::tail::{FollowStep, RecordSpan, Topic};
use crate::codec::TargetId;
use crate::config::route::Table;
use crate::exchange::broadcast;
use crate::shared::Shared;
use crate::targets::fleet::{FleetUpdate, LogState, TargetRecord};
use compact_str::CompactString;
use plat::{KeyedLog, Offset, Record, StreamName, epoch};
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

/// How long a read of the configuration waits for new records. A connection without a response is
/// detected after this time plus the timeout of a call, which together are below the two seconds in
/// which a change has to take effect.
const CONFIG_READ_WAIT: Duration = Duration::from_millis(800);

/// How long a read of the list of targets waits for new records. The sum of this,
/// [`TARGETS_READ_INTERVAL`] and the time until peers are informed stays below the age at which
/// they no longer rely on a read. With a wait of one second, all entries read for themselves
/// whenever no target wrote for that long, which made a third of all calls.
const TARGETS_READ_WAIT: Duration = Duration::from_millis(500);

/// The interval between reads of the list of targets: each target renews its record about every
/// second, and each read is paid for. It is a quarter of the time within which a leaving target
/// must get no more requests.
const TARGETS_READ_INTERVAL: Duration = Duration::from_millis(450);

/// The backoff after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff: shorter than the time in which a change has to take effect.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// For how long after a failed call the log counts as degraded.
const DEGRADED_SPAN: Duration = Duration::from_secs(3);

/// The result of reading a stream.
enum Update {
    /// The newest records of all keys, and the end of the stream.
    All(Vec<Record>, Offset),
    /// New records, read from the log.
    Changes(Vec<Record>),
    /// New records, forwarded by a peer.
    Forwarded(RecordSpan),
}

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
    /// When a call last failed.
    failed_at: Option<Instant>,
    /// Since when the log has been unavailable.
    lost_at: Option<Instant>,
    /// After a failed call, when to retry although no peer has read the stream.
    retry_at: Option<Instant>,
    /// Whether the log was restored from an older copy since the stream was last read.
    restored: bool,
}

impl Stream {
    fn new(
        shared: Arc<Shared>,
        log: Arc<dyn KeyedLog>,
        topic: Topic,
        name: &'static str,
        read_wait: Duration,
    ) -> Self {
        let (next, backoff, failed_at, lost_at, retry_at) = (None, MIN_BACKOFF, None, None, None);
        let restored = false;
        Self {
            shared,
            log,
            topic,
            name,
            read_wait,
            next,
            backoff,
            failed_at,
            lost_at,
            retry_at,
            restored,
        }
    }

    /// Returns the next update, retrying until a call succeeds.
    async fn read(&mut self) -> Update {
        loop {
            match self.try_read().await {
                // A forwarded update doesn't show whether this entry reaches the log.
                Ok(update @ Update::Forwarded(_)) => return update,
                Ok(update) => {
                    (self.backoff, self.retry_at) = (MIN_BACKOFF, None);
                    if let Some(lost_at) = self.lost_at.take() {
                        let lost_ms = lost_at.elapsed().as_millis();
                        log::info!(target: "store", stream = self.name, lost_ms; "log regained");
                    }
                    return update;
                }
                Err(error) => self.handle_failure(error).await,
            }
        }
    }

    async fn try_read(&mut self) -> plat::Result<Update> {
        let Some(next) = self.next else {
            let newest = self.log.newest(self.name).await?;
            self.advance(newest.end);
            return Ok(Update::All(newest.records, newest.end));
        };
        match self.shared.tail.next_step(self.topic, next, self.retry_at).await {
            FollowStep::Read(reason) => {
                self.shared.metrics.stream_read(self.topic.name(), reason.name())
            }
            FollowStep::Apply(span) => {
                self.next = Some(span.end().max(next));
                return Ok(Update::Forwarded(span));
            }
        }
        let (records, end) = self.log.changes(self.name, next, self.read_wait).await?;
        self.advance(end.max(next));
        Ok(Update::Changes(records))
    }

    fn advance(&mut self, end: Offset) {
        self.shared.observe_epoch(epoch::epoch(end), "log");
        self.next = Some(end);
    }

    async fn handle_failure(&mut self, error: plat::Error) {
        if let plat::Error::Gone { oldest, .. } = error {
            let next = self.next.take().unwrap_or_default();
            if epoch::epoch(oldest) == epoch::epoch(next) {
                log::info!(target: "store", stream = self.name, oldest; "history gone");
                return;
            }
            let (epoch, read) = (epoch::epoch(oldest), epoch::index(next));
            log::warn!(target: "store", stream = self.name, epoch, read; "stream is read anew");
            self.restored = true;
            return;
        }
        let now = Instant::now();
        if let (Topic::Config, Some(next)) = (self.topic, self.next) {
            broadcast::request_config(&self.shared, next);
        }
        self.failed_at = Some(now);
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(target: "store", stream = self.name, error:% = error; "log lost");
        }
        tokio::time::sleep(self.backoff).await;
        self.retry_at = Some(now + self.shared.log_retry_delay());
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn is_degraded(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now.duration_since(at) < DEGRADED_SPAN)
    }
}

/// Keeps the configuration up to date for the lifetime of the process.
pub async fn config(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let (name, key) = decode.config_stream();
    let mut stream = Stream::new(shared.clone(), log, Topic::Config, name, CONFIG_READ_WAIT);
    let mut change_end = 0;
    loop {
        let (own, records, end) = match stream.read().await {
            Update::All(records, end) => (true, records, end),
            Update::Changes(records) => (true, records, 0),
            Update::Forwarded(span) => (false, span.records, 0),
        };
        let versions: Vec<_> = records.into_iter().filter(|record| record.key == key).collect();
        if own {
            let log_degraded = stream.is_degraded(Instant::now());
            let span = RecordSpan {
                topic: Topic::Config,
                start: change_end,
                log_degraded,
                records: versions.clone(),
            };
            broadcast::forward(&shared, &span);
        }
        let versions = versions.into_iter().rev();
        for record in versions {
            change_end = change_end.max(record.offset + 1);
            let Some(value) = record.value.clone() else { continue };
            match decode.table(&value) {
                Ok(table) => {
                    if apply(&shared, table, record.offset) {
                        shared.tail.store_config(record);
                    }
                }
                Err(detail) => {
                    let error = Error { stream: name.into(), key: key.into(), detail };
                    log::warn!(target: "config", offset = record.offset, error:% = error;
                        "configuration not readable, the last one stays in force");
                }
            }
        }
        if std::mem::take(&mut stream.restored) {
            // Peers have to read the restored stream as well, even if no record changed anything.
            change_end = change_end.max(end);
        }
        record_change(&shared, Topic::Config, change_end, own);
    }
}

/// Records the offset after the last change, found by a read of this entry's own or forwarded by a
/// peer.
fn record_change(shared: &Shared, topic: Topic, change_end: Offset, own: bool) {
    if own {
        shared.record_read(topic, change_end);
    } else {
        shared.tail.record_forwarded(topic, change_end);
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
    shared.metrics.version.set(i64::try_from(table.version).unwrap_or(i64::MAX));
    shared.table.send_replace(Some(Arc::new(table)));
    true
}

/// Keeps the list of targets up to date for the lifetime of the process.
pub async fn targets(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let name = decode.target_stream();
    let mut stream = Stream::new(shared.clone(), log, Topic::Targets, name, TARGETS_READ_WAIT);
    let mut invalid = InvalidRecords::default();
    loop {
        let update = stream.read().await;
        let now = Instant::now();
        let forwarded = match &update {
            Update::Forwarded(span) => Some(span.log_degraded),
            Update::All(..) | Update::Changes(_) => None,
        };
        let degraded = stream.is_degraded(now) || forwarded == Some(true);
        let log_state = match (std::mem::take(&mut stream.restored), degraded) {
            (true, _) => LogState::Restored,
            (false, true) => LogState::Degraded,
            (false, false) => LogState::Healthy,
        };
        let start = shared.fleet().change_end();
        let own = forwarded.is_none();
        let changed = match update {
            Update::All(records, end) => {
                let updates = fleet_updates(&*decode, records, &mut invalid);
                let mut fleet = shared.fleet();
                fleet.replace(updates, end, now, log_state);
                // A complete list has no changes to forward.
                drop(fleet.take_changed());
                Vec::new()
            }
            Update::Changes(records) | Update::Forwarded(RecordSpan { records, .. }) => {
                let updates = fleet_updates(&*decode, records.clone(), &mut invalid);
                let mut fleet = shared.fleet();
                fleet.apply(updates, now, log_state);
                let changed = fleet.take_changed();
                records.into_iter().filter(|record| changed.contains(&record.offset)).collect()
            }
        };
        let (count, change_end) = {
            let fleet = shared.fleet();
            shared.metrics.forget_targets(|id| fleet.get(id).is_some());
            (fleet.len(), fleet.change_end())
        };
        if own {
            let (topic, log_degraded) = (Topic::Targets, degraded);
            broadcast::forward(
                &shared,
                &RecordSpan { topic, start, log_degraded, records: changed },
            );
        }
        record_change(&shared, Topic::Targets, change_end, own);
        shared.metrics.targets.set(i64::try_from(count).unwrap_or(i64::MAX));
        if own {
            tokio::time::sleep(TARGETS_READ_INTERVAL).await;
        }
    }
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

fn fleet_updates(
    decode: &dyn Decode,
    records: Vec<Record>,
    invalid: &mut InvalidRecords,
) -> Vec<(Offset, FleetUpdate)> {
    let decoded = records.into_iter().map(|record| {
        let id: TargetId = record.key;
        let Some(value) = record.value else { return (record.offset, FleetUpdate::Removed(id)) };
        let update = match decode.target_record(&value) {
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
