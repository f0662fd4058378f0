//! Follows the configuration and the list of targets in the log.
//!
//! Each is one stream: its newest records are read once, then its changes. When the history is
//! gone, the newest records are read again. What is known stays in force while the log is away.

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

/// A record that can't be read.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{stream}, key {key}: {detail}")]
pub struct Error {
    /// The stream.
    pub stream: StreamName,
    /// The record's key.
    pub key: CompactString,
    /// What is wrong, with the path of the field.
    pub detail: CompactString,
}

/// Reads the records that operators and targets write.
pub trait Decode: Send + Sync {
    /// The stream with the configuration, and its key there.
    fn config_stream(&self) -> (&'static str, &'static str);

    /// The stream in which targets tell of themselves, each under its id.
    fn target_stream(&self) -> &'static str;

    /// Reads a configuration.
    fn table(&self, value: &[u8]) -> Result<Table, CompactString>;

    /// Reads what a target tells.
    fn target_record(&self, value: &[u8]) -> Result<TargetRecord, CompactString>;
}

/// How long a read of the configuration waits for news. A silent connection shows after this time
/// and [`PATIENCE`], which together are under the two seconds that a change may take.
const CONFIG_WAIT: Duration = Duration::from_millis(800);

/// How long a read of the list of targets waits for news. With [`TARGET_PACE`] and the time until
/// others hear of it this stays under the age at which they no longer rely on it: with a second, all
/// entries read for themselves whenever no target wrote for that long, a third of all calls.
const TARGET_WAIT: Duration = Duration::from_millis(500);

/// Reads of the list of targets are this far apart: each target renews its record every second or
/// so, and each read is paid for. It is a quarter of the time in which a target that leaves has to
/// be left alone.
const TARGET_PACE: Duration = Duration::from_millis(450);

/// The pause after a call that failed; it doubles up to [`MOST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause: shorter than the time in which a change has to be in force.
const MOST_PAUSE: Duration = Duration::from_millis(500);

/// For how long after a failed call the log counts as troubled.
const TROUBLE: Duration = Duration::from_secs(3);

/// One reading of a stream.
enum Reading {
    /// All keys.
    All(Vec<Record>, Offset),
    /// What changed.
    Changes(Vec<Record>),
    /// What changed something, passed on by another entry.
    Told(RecordSpan),
}

/// A stream that is followed.
struct Stream {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    topic: Topic,
    name: &'static str,
    wait: Duration,
    next: Option<Offset>,
    pause: Duration,
    trouble: Option<Instant>,
    lost: Option<Instant>,
    /// When it is tried again, unless others have read it: the last call failed.
    again: Option<Instant>,
    /// Whether the log has come back older since the stream was last read.
    restored: bool,
}

impl Stream {
    fn new(
        shared: Arc<Shared>,
        log: Arc<dyn KeyedLog>,
        topic: Topic,
        name: &'static str,
        wait: Duration,
    ) -> Self {
        let (next, pause, trouble, lost, again) = (None, PAUSE, None, None, None);
        let restored = false;
        Self { shared, log, topic, name, wait, next, pause, trouble, lost, again, restored }
    }

    /// The next reading, however long it takes.
    async fn read(&mut self) -> Reading {
        loop {
            match self.try_read().await {
                // What another entry passes on says nothing of whether this one reaches the log.
                Ok(reading @ Reading::Told(_)) => return reading,
                Ok(reading) => {
                    (self.pause, self.again) = (PAUSE, None);
                    if let Some(lost) = self.lost.take() {
                        let lost_ms = lost.elapsed().as_millis();
                        log::info!(target: "store", stream = self.name, lost_ms; "log regained");
                    }
                    return reading;
                }
                Err(error) => self.fail(error).await,
            }
        }
    }

    async fn try_read(&mut self) -> plat::Result<Reading> {
        let Some(next) = self.next else {
            let newest = self.log.newest(self.name).await?;
            self.read_up_to(newest.end);
            return Ok(Reading::All(newest.records, newest.end));
        };
        match self.shared.tail.next_step(self.topic, next, self.again).await {
            FollowStep::Read(reason) => {
                self.shared.metrics.stream_read(self.topic.name(), reason.name())
            }
            FollowStep::Apply(told) => {
                self.next = Some(told.end().max(next));
                return Ok(Reading::Told(told));
            }
        }
        let (records, end) = self.log.changes(self.name, next, self.wait).await?;
        self.read_up_to(end.max(next));
        Ok(Reading::Changes(records))
    }

    fn read_up_to(&mut self, end: Offset) {
        self.shared.observe_epoch(epoch::epoch(end), "log");
        self.next = Some(end);
    }

    async fn fail(&mut self, error: plat::Error) {
        if let plat::Error::Gone { oldest, .. } = error {
            let next = self.next.take().unwrap_or_default();
            if epoch::epoch(oldest) == epoch::epoch(next) {
                log::info!(target: "store", stream = self.name, oldest; "history gone");
                return;
            }
            let (epoch, read) = (epoch::epoch(oldest), epoch::place(next));
            log::warn!(target: "store", stream = self.name, epoch, read; "stream is read anew");
            self.restored = true;
            return;
        }
        let now = Instant::now();
        if let (Topic::Config, Some(next)) = (self.topic, self.next) {
            broadcast::request_config(&self.shared, next);
        }
        self.trouble = Some(now);
        if self.lost.is_none() {
            self.lost = Some(now);
            log::warn!(target: "store", stream = self.name, error:% = error; "log lost");
        }
        tokio::time::sleep(self.pause).await;
        self.again = Some(now + self.shared.log_retry_delay());
        self.pause = (self.pause * 2).min(MOST_PAUSE);
    }

    fn is_troubled(&self, now: Instant) -> bool {
        self.trouble.is_some_and(|at| now.duration_since(at) < TROUBLE)
    }
}

/// Keeps the configuration up to date.
pub async fn config(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let (name, key) = decode.config_stream();
    let mut stream = Stream::new(shared.clone(), log, Topic::Config, name, CONFIG_WAIT);
    let mut news = 0;
    loop {
        let (own, records, end) = match stream.read().await {
            Reading::All(records, end) => (true, records, end),
            Reading::Changes(records) => (true, records, 0),
            Reading::Told(told) => (false, told.records, 0),
        };
        let ours: Vec<_> = records.into_iter().filter(|record| record.key == key).collect();
        if own {
            let troubled = stream.is_troubled(Instant::now());
            let span = RecordSpan {
                topic: Topic::Config,
                start: news,
                log_degraded: troubled,
                records: ours.clone(),
            };
            broadcast::forward(&shared, &span);
        }
        let ours = ours.into_iter().rev();
        for record in ours {
            news = news.max(record.offset + 1);
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
            // The others have to read it as well, though nothing may have changed.
            news = news.max(end);
        }
        note(&shared, Topic::Config, news, own);
    }
}

/// Notes the offset after the last news: of a read of this entry's own, or as it was told.
fn note(shared: &Shared, topic: Topic, news: Offset, own: bool) {
    if own {
        shared.note_read(topic, news);
    } else {
        shared.tail.record_forwarded(topic, news);
    }
}

/// Puts a configuration in force unless a newer one is: versions never go back, whichever read
/// ends last, or though the log has lost the newer. Returns whether it is in force.
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

/// Keeps the list of targets up to date.
pub async fn targets(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let name = decode.target_stream();
    let mut stream = Stream::new(shared.clone(), log, Topic::Targets, name, TARGET_WAIT);
    let mut unreadable = Unreadable::default();
    loop {
        let reading = stream.read().await;
        let now = Instant::now();
        let told = match &reading {
            Reading::Told(told) => Some(told.log_degraded),
            Reading::All(..) | Reading::Changes(_) => None,
        };
        let disturbed = stream.is_troubled(now) || told == Some(true);
        let condition = match (std::mem::take(&mut stream.restored), disturbed) {
            (true, _) => LogState::Restored,
            (false, true) => LogState::Degraded,
            (false, false) => LogState::Healthy,
        };
        let before = shared.fleet().change_end();
        let own = told.is_none();
        let changed = match reading {
            Reading::All(records, end) => {
                let news = news(&*decode, records, &mut unreadable);
                let mut fleet = shared.fleet();
                fleet.replace(news, end, now, condition);
                // A complete list has no changes that could be passed on.
                drop(fleet.take_changed());
                Vec::new()
            }
            Reading::Changes(records) | Reading::Told(RecordSpan { records, .. }) => {
                let news = news(&*decode, records.clone(), &mut unreadable);
                let mut fleet = shared.fleet();
                fleet.apply(news, now, condition);
                let changed = fleet.take_changed();
                records.into_iter().filter(|record| changed.contains(&record.offset)).collect()
            }
        };
        let (known, newest) = {
            let fleet = shared.fleet();
            shared.metrics.forget_targets(|id| fleet.get(id).is_some());
            (fleet.len(), fleet.change_end())
        };
        if own {
            let (topic, troubled) = (Topic::Targets, disturbed);
            broadcast::forward(
                &shared,
                &RecordSpan { topic, start: before, log_degraded: troubled, records: changed },
            );
        }
        note(&shared, Topic::Targets, newest, own);
        shared.metrics.targets.set(i64::try_from(known).unwrap_or(i64::MAX));
        if own {
            tokio::time::sleep(TARGET_PACE).await;
        }
    }
}

/// Records that could not be read, by key, with what was wrong: the same is told once, or a writer
/// that repeats itself each second would fill the log.
#[derive(Default)]
struct Unreadable(HashMap<CompactString, CompactString>);

/// Keys that are remembered; after that all are told again.
const MAX_UNREADABLE: usize = 1_024;

impl Unreadable {
    fn tell(&mut self, error: Error, offset: Offset) {
        if self.0.len() >= MAX_UNREADABLE {
            self.0.clear();
        }
        let before = self.0.insert(error.key.clone(), error.detail.clone());
        if before.as_ref() != Some(&error.detail) {
            log::warn!(target: "fleet", offset, error:% = error; "record not readable, left out");
        }
    }
}

fn news(
    decode: &dyn Decode,
    records: Vec<Record>,
    unreadable: &mut Unreadable,
) -> Vec<(Offset, FleetUpdate)> {
    let decoded = records.into_iter().map(|record| {
        let id: TargetId = record.key;
        let Some(value) = record.value else { return (record.offset, FleetUpdate::Removed(id)) };
        let news = match decode.target_record(&value) {
            Ok(sighting) => FleetUpdate::Registered(id, sighting),
            Err(detail) => {
                let stream = decode.target_stream().into();
                unreadable.tell(Error { stream, key: id.clone(), detail }, record.offset);
                FleetUpdate::Unreadable(id)
            }
        };
        (record.offset, news)
    });
    decoded.collect()
}
