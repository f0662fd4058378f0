//! Decides which entries read the log, so that not every entry has to poll it.
//!
//! **Load pattern.** Each entry follows three streams that rarely change, and every call to the log
//! is paid for. **Without this**, the entries of a small system make 100 calls per second to
//! observe one change every few seconds. **Approach.** A few designated readers, which all entries
//! derive from the hashes of their names, read as often as changes have to be observed. Their
//! datagrams carry the offset after the newest change and the age of their last read. The other
//! entries read when there are new records; when no peer's last read is recent, so that the loss of
//! all readers delays changes by a second instead of hiding them; and at a long interval in any
//! case.

use compact_str::CompactString;
use plat::epoch::{self, Epoch};
use plat::{Offset, Record};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

/// A stream that entries follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The list of targets.
    Targets,
    /// The entries' own stream, see [`crate::exchange::entry_stream`].
    Notices,
}

impl Topic {
    /// Returns the age from which on a read of the stream is no longer recent.
    fn max_read_age(self) -> Duration {
        match self {
            Self::Config | Self::Targets => MAX_READ_AGE,
            Self::Notices => MAX_NOTICES_READ_AGE,
        }
    }

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Notices => "notices",
        }
    }
}

/// All topics. Datagrams carry a topic as its index in this list.
pub const TOPICS: [Topic; 3] = [Topic::Config, Topic::Targets, Topic::Notices];

/// Why an entry reads a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It is a designated reader.
    DesignatedReader,
    /// Its own last read is too old.
    OwnReadDue,
    /// No reachable peer has read the stream recently.
    NoFreshPeer,
    /// A peer has read new records.
    NewRecords,
}

impl ReadReason {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::DesignatedReader => "for-all",
            Self::OwnReadDue => "own",
            Self::NoFreshPeer => "none-fresh",
            Self::NewRecords => "news",
        }
    }
}

/// How far an entry has read a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStatus {
    /// The stream.
    pub topic: Topic,
    /// The offset after the last record that changed something.
    pub change_end: Offset,
    /// How long ago the stream was last read.
    pub age: Duration,
}

/// Records of a stream that another entry forwards: all that changed something, from `start` to the
/// last of them.
#[derive(Debug, Clone)]
pub struct RecordSpan {
    /// The stream.
    pub topic: Topic,
    /// The start of the span.
    pub start: Offset,
    /// Whether calls to the log have recently failed for the entry that read the records.
    pub log_degraded: bool,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl RecordSpan {
    /// Returns the end of the span.
    pub fn end(&self) -> Offset {
        self.records.last().map_or(self.start, |last| last.offset + 1)
    }
}

/// The next step of an entry that follows a stream.
#[derive(Debug, Clone)]
pub enum FollowStep {
    /// Read the stream.
    Read(ReadReason),
    /// Apply records that a peer forwarded.
    Apply(RecordSpan),
}

/// The maximum number of spans that wait for the records before them. Further ones are dropped, and
/// their records read from the log.
const MAX_OFFERED: usize = 64;

/// Designated readers of a small system.
const SMALL_SYSTEM_READERS: usize = 2;

/// Designated readers of a system of more than [`SMALL_SYSTEM`] entries.
const READERS: usize = 3;

/// The largest number of entries of a small system.
const SMALL_SYSTEM: usize = 8;

/// A read older than this is not recent. A reader waits up to a second for new records; and when no
/// peer's read is recent, this entry's own read has to follow within the two seconds in which a
/// change has to take effect.
const MAX_READ_AGE: Duration = Duration::from_millis(1_300);

/// The same for the entries' own stream: stage changes are announced 2.2 seconds ahead.
const MAX_NOTICES_READ_AGE: Duration = Duration::from_millis(1_700);

/// Each entry reads at least this often, so that it doesn't rely on others for long.
const OWN_READ_INTERVAL: Duration = Duration::from_secs(10);

/// How often an entry that doesn't read checks whether its peers' reads are still recent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Mixed into the hashes of names, so that the readers are not the entries that other rankings put
/// first.
const SALT: policy::Hash = 0x7761_7463_6865_7273;

/// How far each entry has read the log.
#[derive(Debug, Default)]
pub struct Tail {
    inner: Mutex<Inner>,
    /// Notified when a peer reports or forwards something new.
    updated: Notify,
    /// The newest observed epoch of the log; none before the first.
    epoch: watch::Sender<Option<Epoch>>,
}

#[derive(Debug, Default)]
struct Inner {
    is_designated_reader: bool,
    /// The change end of each stream and the time of the last read, for this entry.
    own: HashMap<Topic, (Offset, Instant)>,
    /// The same for other entries, by the hash of the name.
    peers: HashMap<(u64, Topic), (Offset, Instant)>,
    /// Spans that were forwarded and not yet applied.
    offered: Vec<RecordSpan>,
    /// The configuration in force, as it was written.
    config: Option<Record>,
    /// The newest epoch of the log, if the log was restored from an older copy since this entry
    /// first read it.
    restored: Option<Restored>,
    /// This entry's rank in the order in which the entries read a restored log.
    rank: u32,
}

/// An epoch of the log that began during the lifetime of this process.
#[derive(Debug, Clone, Copy)]
struct Restored {
    epoch: Epoch,
    /// When it was first observed.
    observed_at: Instant,
}

/// An epoch that was observed for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewEpoch {
    /// The newest epoch until then; none at first.
    pub before: Option<Epoch>,
}

/// The delay between the reads of two entries after the log was restored: all of them have to read
/// it, and if they did so at once they would make more calls than it can serve in a second.
const RESTORE_STAGGER: Duration = Duration::from_millis(5);

impl Inner {
    /// Returns the delay before this entry reads a restored log.
    fn restore_delay(&self) -> Duration {
        RESTORE_STAGGER * self.rank
    }

    /// Returns whether this entry, which has read up to `next`, still has to leave a restored log
    /// to entries of lower rank.
    fn defers_restored_read(&self, next: Offset, now: Instant) -> bool {
        let Some(Restored { epoch, observed_at }) = self.restored else { return false };
        epoch::epoch(next) < epoch && now < observed_at + self.restore_delay()
    }
}

impl Tail {
    /// Sets the live entries.
    pub fn set_entries(&self, own: &str, entries: &[CompactString]) {
        let readers = if entries.len() <= SMALL_SYSTEM { SMALL_SYSTEM_READERS } else { READERS };
        let order = |name: &str| policy::mix(policy::hash(name), SALT);
        let rank = entries.iter().filter(|name| order(name) < order(own)).count();
        let mut inner = self.lock();
        inner.is_designated_reader = rank < readers;
        inner.rank = u32::try_from(rank).unwrap_or(u32::MAX);
    }

    /// Records an epoch of the log that this entry has read or that a peer reports. Returns it if
    /// it is new.
    pub fn observe_epoch(&self, epoch: Epoch, now: Instant) -> Option<NewEpoch> {
        // Peers report it with each datagram, so the common case takes no lock of the state.
        if self.epoch.borrow().is_some_and(|known| known >= epoch) {
            return None;
        }
        let mut inner = self.lock();
        let before = *self.epoch.borrow();
        if before.is_some_and(|known| known >= epoch) {
            return None;
        }
        inner.restored = before.map(|_| Restored { epoch, observed_at: now });
        self.epoch.send_replace(Some(epoch));
        Some(NewEpoch { before })
    }

    /// Waits until the log has been restored from an older copy since the epoch `seen`, and then
    /// for this entry's turn to read it.
    pub async fn wait_for_restore(&self, seen: &mut Option<Epoch>) {
        let mut epochs = self.epoch.subscribe();
        loop {
            let Ok(known) = epochs.wait_for(|known| known != seen).await.map(|known| *known) else {
                // Never happens: `self` holds the sender.
                return std::future::pending().await;
            };
            // The first observed epoch is no restore.
            if std::mem::replace(seen, known).is_some() {
                break;
            }
        }
        let delay = self.lock().restore_delay();
        tokio::time::sleep(delay).await;
    }

    /// Returns whether this entry reads the log for the others.
    pub fn is_designated_reader(&self) -> bool {
        self.lock().is_designated_reader
    }

    /// Queues records that another entry forwards.
    pub fn offer(&self, span: RecordSpan) {
        let mut inner = self.lock();
        if inner.offered.len() < MAX_OFFERED {
            inner.offered.push(span);
        }
        drop(inner);
        self.updated.notify_waiters();
    }

    /// Takes the queued records that continue at `next`, without those before it.
    fn take_offered(&self, topic: Topic, next: Offset) -> Option<RecordSpan> {
        let mut inner = self.lock();
        inner.offered.retain(|span| span.topic != topic || span.end() > next);
        let at = inner.offered.iter().position(|s| s.topic == topic && s.start <= next)?;
        let mut span = inner.offered.swap_remove(at);
        // Spans that continue it are merged: applying a span costs time in proportion to the number
        // of targets, however few records it has.
        while let Some(at) =
            inner.offered.iter().position(|s| s.topic == topic && s.start <= span.end())
        {
            let more = inner.offered.swap_remove(at);
            let end = span.end();
            span.log_degraded |= more.log_degraded;
            span.records.extend(more.records.into_iter().filter(|record| record.offset >= end));
        }
        span.records.retain(|record| record.offset >= next);
        Some(span)
    }

    /// Stores the configuration in force, for entries that can't read the log.
    pub fn store_config(&self, record: Record) {
        let mut inner = self.lock();
        if inner.config.as_ref().is_none_or(|known| known.offset < record.offset) {
            inner.config = Some(record);
        }
    }

    /// Returns the configuration in force, if it was written at `from` or later.
    pub fn config(&self, from: Offset) -> Option<Record> {
        self.lock().config.clone().filter(|record| record.offset >= from)
    }

    /// Returns the offset after the last known record that changed something.
    pub fn change_end(&self, topic: Topic) -> Offset {
        self.lock().own.get(&topic).map_or(0, |(change_end, _)| *change_end)
    }

    /// Records changes that a peer forwarded. This doesn't count as a read of the log.
    pub fn record_forwarded(&self, topic: Topic, change_end: Offset) {
        if let Some((known, _)) = self.lock().own.get_mut(&topic) {
            *known = change_end.max(*known);
        }
    }

    /// Records a read by this entry, with the offset after the last record that changed something.
    /// Returns whether to publish it at once.
    pub fn record_read(&self, topic: Topic, change_end: Offset, now: Instant) -> bool {
        let previous = self.lock().own.insert(topic, (change_end, now));
        previous.is_none_or(|(previous, _)| previous < change_end)
    }

    /// Returns how far this entry has read each stream, for its peers.
    pub fn read_statuses(&self, now: Instant) -> Vec<ReadStatus> {
        let inner = self.lock();
        let statuses = inner.own.iter().map(|(topic, (change_end, read_at))| ReadStatus {
            topic: *topic,
            change_end: *change_end,
            age: now.duration_since(*read_at),
        });
        statuses.collect()
    }

    /// Records how far another entry has read a stream.
    pub fn observe(&self, entry: u64, status: ReadStatus, now: Instant) {
        let Some(read_at) = now.checked_sub(status.age) else { return };
        let mut inner = self.lock();
        inner.peers.insert((entry, status.topic), (status.change_end, read_at));
        let known = inner
            .own
            .get(&status.topic)
            .is_some_and(|(change_end, _)| *change_end >= status.change_end);
        drop(inner);
        // Hundreds of datagrams per second report nothing new; each would wake all waiting tasks.
        if !known {
            self.updated.notify_waiters();
        }
    }

    /// Removes what an unreachable entry has reported.
    pub fn forget(&self, entry: u64) {
        self.lock().peers.retain(|(other, _), _| *other != entry);
    }

    /// Returns the age of this entry's view of a stream: the time since the newest read by any
    /// entry that found no more records than this entry has applied.
    pub fn age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        let inner = self.lock();
        let (known, read_at) = *inner.own.get(&topic)?;
        let peers = inner
            .peers
            .iter()
            .filter(|((_, of), (change_end, _))| *of == topic && *change_end <= known);
        let newest = peers.map(|(_, (_, read_at))| *read_at).chain([read_at]).max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// Returns an entry that has read a stream beyond `next`.
    pub fn peer_ahead(&self, topic: Topic, next: Offset) -> Option<u64> {
        let inner = self.lock();
        let mut peers = inner.peers.iter();
        let ahead = peers.find(|((_, of), (change_end, _))| *of == topic && *change_end > next);
        ahead.map(|((entry, _), _)| *entry)
    }

    /// Returns whether this entry should read the stream, which it has read up to `next`.
    pub fn should_read(&self, topic: Topic, next: Offset, now: Instant) -> bool {
        self.read_reason(topic, next, now).is_some()
    }

    /// Returns the reason for which this entry should read the stream, if it should.
    pub fn read_reason(&self, topic: Topic, next: Offset, now: Instant) -> Option<ReadReason> {
        let inner = self.lock();
        let is_recent = |at: Instant, span: Duration| now.duration_since(at) < span;
        let own = inner.own.get(&topic).is_some_and(|(_, at)| is_recent(*at, OWN_READ_INTERVAL));
        if inner.is_designated_reader {
            return Some(ReadReason::DesignatedReader);
        }
        if !own {
            return Some(ReadReason::OwnReadDue);
        }
        let peers = inner.peers.iter().filter(|((_, of), _)| *of == topic);
        let mut recent =
            peers.filter(|(_, (_, at))| is_recent(*at, topic.max_read_age())).peekable();
        if recent.peek().is_none() {
            return Some(ReadReason::NoFreshPeer);
        }
        recent.any(|(_, (change_end, _))| *change_end > next).then_some(ReadReason::NewRecords)
    }

    /// Waits until this entry should read the stream, or a peer forwards its next records. After a
    /// failed call, the lack of recent reads is no reason to read again before `retry_at`.
    pub async fn next_step(
        &self,
        topic: Topic,
        next: Offset,
        retry_at: Option<Instant>,
    ) -> FollowStep {
        loop {
            if let Some(span) = self.take_offered(topic, next) {
                return FollowStep::Apply(span);
            }
            let now = Instant::now();
            let backs_off = retry_at.is_some_and(|retry_at| now < retry_at);
            let defers = self.lock().defers_restored_read(next, now);
            match self.read_reason(topic, next, now) {
                Some(ReadReason::NoFreshPeer | ReadReason::OwnReadDue) if backs_off => {}
                Some(ReadReason::NoFreshPeer | ReadReason::OwnReadDue | ReadReason::NewRecords)
                    if defers => {}
                Some(reason) => return FollowStep::Read(reason),
                None => {}
            }
            // Ends early when a peer reports or forwards something new.
            let _ = timeout(CHECK_INTERVAL, self.updated.notified()).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
