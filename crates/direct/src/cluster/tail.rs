//! Who reads the log, so that not every entry has to ask all the time.
//!
//! **Load pattern.** Each entry follows three streams that rarely hold news, and every call to the
//! log is paid for. **Without it** the entries of a small system make 100 calls a second to learn of a
//! change every few seconds. **How.** A few entries, the same for all by
//! the hashes of their names, read as often as changes have to be seen. With their datagrams they
//! tell how far the news goes and how old their last read is. The others read when there is news;
//! also when nobody's last read is fresh, so that losing the readers costs a second and not the
//! news; and now and then in any case.

use compact_str::CompactString;
use plat::epoch::{self, Epoch};
use plat::{Offset, Record};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

/// A stream that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The list of targets.
    Targets,
    /// What entries tell each other.
    Notices,
}

impl Topic {
    /// The age at which a read of it is no longer fresh.
    fn fresh(self) -> Duration {
        match self {
            Self::Config | Self::Targets => FRESH,
            Self::Notices => FRESH_NOTICES,
        }
    }

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Notices => "notices",
        }
    }
}

/// All topics.
pub const TOPICS: [Topic; 3] = [Topic::Config, Topic::Targets, Topic::Notices];

/// Why an entry reads a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It reads for all.
    ForAll,
    /// It has not read for long.
    Own,
    /// No entry that it hears has read lately.
    NoFreshPeer,
    /// Another has read news.
    NewRecords,
}

impl ReadReason {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ForAll => "for-all",
            Self::Own => "own",
            Self::NoFreshPeer => "none-fresh",
            Self::NewRecords => "news",
        }
    }
}

/// What an entry knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStatus {
    /// The stream.
    pub topic: Topic,
    /// The offset after the last record that changed something.
    pub change_end: Offset,
    /// How long ago it was last read.
    pub age: Duration,
}

/// Records of a stream that another entry passes on: all that changed something from `before` on to the
/// last of them.
#[derive(Debug, Clone)]
pub struct RecordSpan {
    /// The stream.
    pub topic: Topic,
    /// The start of the span.
    pub start: Offset,
    /// Whether calls to the log have lately failed for the entry that read it.
    pub log_degraded: bool,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl RecordSpan {
    /// The end of the span.
    pub fn after(&self) -> Offset {
        self.records.last().map_or(self.start, |last| last.offset + 1)
    }
}

/// What an entry that follows a stream does next.
#[derive(Debug, Clone)]
pub enum FollowStep {
    /// It reads.
    Read(ReadReason),
    /// It takes what it was told.
    Apply(RecordSpan),
}

/// Spans that wait for what lies before them; more are left to be read.
const MAX_TOLD: usize = 64;

/// Entries that read for all, in a small system.
const FEW_READERS: usize = 2;

/// Entries that read for all, in one of more than [`SMALL`] entries.
const READERS: usize = 3;

/// Up to so many entries a system is small.
const SMALL: usize = 8;

/// A last read older than this is not fresh. A reader waits up to a second for news; and once
/// nobody's read is fresh, an own one has to come within the two seconds that a change may take.
const FRESH: Duration = Duration::from_millis(1_300);

/// The same of what entries tell each other: changes of stage are announced 2.2 seconds ahead.
const FRESH_NOTICES: Duration = Duration::from_millis(1_700);

/// Each entry reads at least this often, so that it relies on nobody for long.
const SELF: Duration = Duration::from_secs(10);

/// How often an entry that does not read looks whether the others' reads are still fresh.
const LOOK: Duration = Duration::from_millis(100);

/// Mixed into the hashes of names, so that the readers are not those that come first elsewhere.
const SALT: policy::Hash = 0x7761_7463_6865_7273;

/// What is known of who has read what.
#[derive(Debug, Default)]
pub struct Tail {
    inner: Mutex<Inner>,
    news: Notify,
    /// The newest epoch of the log that is known; none before the first.
    epoch: watch::Sender<Option<Epoch>>,
}

#[derive(Debug, Default)]
struct Inner {
    reads_for_all: bool,
    own: HashMap<Topic, (Offset, Instant)>,
    others: HashMap<(u64, Topic), (Offset, Instant)>,
    told: Vec<RecordSpan>,
    /// The configuration in force, as it was written.
    config: Option<Record>,
    /// The newest epoch of the log, if it has come back from an older copy since this entry first read it.
    restored: Option<Restored>,
    /// This entry's place among all in the order in which they read a log that came back older.
    place: u32,
}

/// An epoch of the log that began while this entry lived.
#[derive(Debug, Clone, Copy)]
struct Restored {
    epoch: Epoch,
    /// Since when it is known.
    since: Instant,
}

/// An epoch that was not known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewEpoch {
    /// The one that was known; none at first.
    pub before: Option<Epoch>,
}

/// Between two entries that read a log that came back older: all of them have to, and together they would
/// ask for more than it answers in a second.
const RESTORED_EACH: Duration = Duration::from_millis(5);

impl Inner {
    /// How long this entry leaves a log that came back older to the others.
    fn delay(&self) -> Duration {
        RESTORED_EACH * self.place
    }

    /// Whether it is not this entry's turn yet to read a log that came back older, up to `next` of which
    /// it had read before.
    fn waits_restored(&self, next: Offset, now: Instant) -> bool {
        let Some(Restored { epoch, since }) = self.restored else { return false };
        epoch::epoch(next) < epoch && now < since + self.delay()
    }
}

impl Tail {
    /// Takes in which entries live.
    pub fn set_entries(&self, own: &str, entries: &[CompactString]) {
        let readers = if entries.len() <= SMALL { FEW_READERS } else { READERS };
        let rank = |name: &str| policy::mix(policy::hash(name), SALT);
        let before = entries.iter().filter(|name| rank(name) < rank(own)).count();
        let mut inner = self.lock();
        inner.reads_for_all = before < readers;
        inner.place = u32::try_from(before).unwrap_or(u32::MAX);
    }

    /// Takes in an epoch of the log that this entry has read, or that another knows, if it is a new one.
    pub fn observe_epoch(&self, epoch: Epoch, now: Instant) -> Option<NewEpoch> {
        // Peers tell of it with each datagram.
        if self.epoch.borrow().is_some_and(|known| known >= epoch) {
            return None;
        }
        let mut inner = self.lock();
        let before = *self.epoch.borrow();
        if before.is_some_and(|known| known >= epoch) {
            return None;
        }
        inner.restored = before.map(|_| Restored { epoch, since: now });
        self.epoch.send_replace(Some(epoch));
        Some(NewEpoch { before })
    }

    /// Waits until the log has come back from an older copy since the epoch `seen`, and then for this entry's
    /// turn.
    pub async fn wait_for_restore(&self, seen: &mut Option<Epoch>) {
        let mut epochs = self.epoch.subscribe();
        loop {
            let Ok(known) = epochs.wait_for(|known| known != seen).await.map(|known| *known) else {
                // The sender lives as long as this.
                return std::future::pending().await;
            };
            // The first that is known says nothing of one before.
            if std::mem::replace(seen, known).is_some() {
                break;
            }
        }
        let delay = self.lock().delay();
        tokio::time::sleep(delay).await;
    }

    /// Whether this entry reads for the others.
    pub fn reads_for_all(&self) -> bool {
        self.lock().reads_for_all
    }

    /// Takes in records that another entry passes on.
    pub fn offer(&self, told: RecordSpan) {
        let mut inner = self.lock();
        if inner.told.len() < MAX_TOLD {
            inner.told.push(told);
        }
        drop(inner);
        self.news.notify_waiters();
    }

    /// Records that follow on what was read up to `next`, with what is known already left out.
    fn take(&self, topic: Topic, next: Offset) -> Option<RecordSpan> {
        let mut inner = self.lock();
        inner.told.retain(|told| told.topic != topic || told.after() > next);
        let at = inner.told.iter().position(|t| t.topic == topic && t.start <= next)?;
        let mut told = inner.told.swap_remove(at);
        // What follows on it is taken at once: each time costs as much as the list of targets is long.
        while let Some(at) =
            inner.told.iter().position(|t| t.topic == topic && t.start <= told.after())
        {
            let more = inner.told.swap_remove(at);
            let after = told.after();
            told.log_degraded |= more.log_degraded;
            told.records.extend(more.records.into_iter().filter(|record| record.offset >= after));
        }
        told.records.retain(|record| record.offset >= next);
        Some(told)
    }

    /// Remembers the configuration in force, for those that can't read it.
    pub fn keep_config(&self, record: Record) {
        let mut inner = self.lock();
        if inner.config.as_ref().is_none_or(|known| known.offset < record.offset) {
            inner.config = Some(record);
        }
    }

    /// The configuration in force, if it was written at `from` or later.
    pub fn config(&self, from: Offset) -> Option<Record> {
        self.lock().config.clone().filter(|record| record.offset >= from)
    }

    /// The offset after the last record that changed something, as far as this entry knows.
    pub fn change_end(&self, topic: Topic) -> Offset {
        self.lock().own.get(&topic).map_or(0, |(news, _)| *news)
    }

    /// Notes that this entry was told of news. It has not read the log itself.
    pub fn knows(&self, topic: Topic, news: Offset) {
        if let Some((known, _)) = self.lock().own.get_mut(&topic) {
            *known = news.max(*known);
        }
    }

    /// Notes a read of this entry's, and the offset after the last record that changed something.
    /// Says whether the others should hear of it at once.
    pub fn record_read(&self, topic: Topic, news: Offset, now: Instant) -> bool {
        let before = self.lock().own.insert(topic, (news, now));
        before.is_none_or(|(before, _)| before < news)
    }

    /// What this entry can tell the others.
    pub fn read_statuses(&self, now: Instant) -> Vec<ReadStatus> {
        let inner = self.lock();
        let seen = inner.own.iter().map(|(topic, (news, at))| ReadStatus {
            topic: *topic,
            change_end: *news,
            age: now.duration_since(*at),
        });
        seen.collect()
    }

    /// Takes in what another entry tells.
    pub fn observe(&self, entry: u64, seen: ReadStatus, now: Instant) {
        let Some(at) = now.checked_sub(seen.age) else { return };
        let mut inner = self.lock();
        inner.others.insert((entry, seen.topic), (seen.change_end, at));
        let known = inner.own.get(&seen.topic).is_some_and(|(news, _)| *news >= seen.change_end);
        drop(inner);
        // Hundreds of datagrams a second tell nothing new; each would wake all that wait.
        if !known {
            self.news.notify_waiters();
        }
    }

    /// Forgets an entry that is silent.
    pub fn forget(&self, entry: u64) {
        self.lock().others.retain(|(other, _), _| *other != entry);
    }

    /// How old is what this entry knows of a stream: since when nobody has read more of it.
    pub fn age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        let inner = self.lock();
        let (known, read) = *inner.own.get(&topic)?;
        let others =
            inner.others.iter().filter(|((_, of), (news, _))| *of == topic && *news <= known);
        let newest = others.map(|(_, (_, at))| *at).chain([read]).max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// An entry that has read more of a stream than up to `next`.
    pub fn ahead(&self, topic: Topic, next: Offset) -> Option<u64> {
        let inner = self.lock();
        let mut others = inner.others.iter();
        let ahead = others.find(|((_, of), (news, _))| *of == topic && *news > next);
        ahead.map(|((entry, _), _)| *entry)
    }

    /// Whether this entry should read the stream, of which it has read all before `next`.
    pub fn should_read(&self, topic: Topic, next: Offset, now: Instant) -> bool {
        self.why_read(topic, next, now).is_some()
    }

    /// Why this entry should read the stream, if it should.
    pub fn why_read(&self, topic: Topic, next: Offset, now: Instant) -> Option<ReadReason> {
        let inner = self.lock();
        let recent = |at: Instant, span: Duration| now.duration_since(at) < span;
        let own = inner.own.get(&topic).is_some_and(|(_, at)| recent(*at, SELF));
        if inner.reads_for_all {
            return Some(ReadReason::ForAll);
        }
        if !own {
            return Some(ReadReason::Own);
        }
        let others = inner.others.iter().filter(|((_, of), _)| *of == topic);
        let mut fresh = others.filter(|(_, (_, at))| recent(*at, topic.fresh())).peekable();
        if fresh.peek().is_none() {
            return Some(ReadReason::NoFreshPeer);
        }
        fresh.any(|(_, (news, _))| *news > next).then_some(ReadReason::NewRecords)
    }

    /// Waits until this entry should read the stream, or is told of what comes next in it. If its last
    /// call failed, it does not go on before `again` for the mere reason that nobody else has read it
    /// either.
    pub async fn next_step(
        &self,
        topic: Topic,
        next: Offset,
        again: Option<Instant>,
    ) -> FollowStep {
        loop {
            if let Some(told) = self.take(topic, next) {
                return FollowStep::Apply(told);
            }
            let now = Instant::now();
            let waits = again.is_some_and(|again| now < again);
            let restored = self.lock().waits_restored(next, now);
            match self.why_read(topic, next, now) {
                Some(ReadReason::NoFreshPeer | ReadReason::Own) if waits => {}
                Some(ReadReason::NoFreshPeer | ReadReason::Own | ReadReason::NewRecords)
                    if restored => {}
                Some(reason) => return FollowStep::Read(reason),
                None => {}
            }
            // Ends early when another entry tells something.
            let _ = timeout(LOOK, self.news.notified()).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
