//! Decides which entries read the log, so that not every entry has to poll it.
//!
//! **Load pattern.** Each entry follows three streams that rarely change, and every call to the log
//! is paid for. **Without this**, the number of calls grows with the number of entries. **Approach.**
//! The first entries of a common order, see [`policy::succession`], read as often as changes have to
//! be observed, and send what they read to the others, see [`crate::exchange::dissemination`].
//! Every entry also passes on by which read its view was confirmed. The age of that read bounds the
//! age of the view: an entry whose view grows too old reads the log itself, whatever the reason,
//! and one that lacks records which another entry has gets them from there.

mod confirmation;
mod followed;
mod parts;
mod span;
mod step;
mod timing;

pub use confirmation::{Read, ReadId};
pub use parts::{Block, Part};
pub use span::RecordSpan;
pub use step::{FollowStep, ReadReason, ReadStatus, Retry, TOPICS, Topic};
pub use timing::Timing;

use confirmation::Confirmation;
use followed::Followed;
use plat::epoch::{self, Epoch};
use plat::{Offset, Record};
use policy::{Hash, succession};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

/// How many entries read the log for the others.
pub const READERS: u32 = 2;

/// Identifies the task of reading the log among those that few entries perform for all.
pub const READING: Hash = 0x7761_7463_6865_7273;

/// How often an entry that doesn't read checks whether its view is still recent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same while it lacks records.
const PULL_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// What this entry knows of the log.
#[derive(Debug)]
pub struct Tail {
    timing: Timing,
    inner: Mutex<Inner>,
    /// Notified when a peer reports or sends something new.
    updated: Notify,
    /// The newest observed epoch of the log; none before the first.
    epoch: watch::Sender<Option<Epoch>>,
}

impl Default for Tail {
    fn default() -> Self {
        Self::new(0, Timing::default())
    }
}

#[derive(Debug)]
struct Inner {
    /// This entry's rank in the order in which the entries read the log.
    rank: u32,
    streams: [Followed; TOPICS.len()],
    /// The newest epoch of the log, if the log was restored from an older copy since this entry
    /// first read it.
    restored: Option<Restored>,
    /// When this entry last reached the log.
    reached_at: Option<Instant>,
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

impl Inner {
    fn stream(&mut self, topic: Topic) -> &mut Followed {
        &mut self.streams[topic as usize]
    }

    /// Returns the delay before this entry reads in place of those before it in the order.
    fn succession_delay(&self) -> Duration {
        succession::delay(self.rank, READERS)
    }

    /// Returns whether the log was restored since this entry read up to `next`.
    fn is_restored_since(&self, next: Offset) -> bool {
        self.restored.is_some_and(|restored| epoch::epoch(next) < restored.epoch)
    }

    /// Returns whether this entry still has to leave a restored log to entries of lower rank.
    fn defers_restored_read(&self, now: Instant) -> bool {
        let delay = self.succession_delay();
        self.restored.is_some_and(|restored| now < restored.observed_at + delay)
    }

    fn read_reason(
        &mut self,
        topic: Topic,
        next: Offset,
        max_age: Duration,
        now: Instant,
    ) -> Option<ReadReason> {
        if self.rank < READERS {
            return Some(ReadReason::DesignatedReader);
        }
        let max_age = max_age + self.succession_delay();
        self.stream(topic).read_reason(next, max_age, now)
    }
}

impl Tail {
    /// Creates the state of an entry; `reader` identifies the process in the reads that it makes.
    pub fn new(reader: u64, timing: Timing) -> Self {
        let mut streams: [Followed; TOPICS.len()] = Default::default();
        for stream in &mut streams {
            stream.confirmation = Confirmation::new(reader);
        }
        let inner = Inner { rank: 0, streams, restored: None, reached_at: None };
        let (updated, epoch) = (Notify::new(), watch::Sender::default());
        Self { timing, inner: Mutex::new(inner), updated, epoch }
    }

    /// How often changes have to be observed.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Sets this entry's rank in the order in which the entries read the log.
    pub fn set_rank(&self, rank: u32) {
        self.lock().rank = rank;
    }

    /// Returns the delay before this entry reads in place of those before it in the order.
    pub fn succession_delay(&self) -> Duration {
        self.lock().succession_delay()
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

    /// Returns the newest observed epoch of the log.
    pub fn known_epoch(&self) -> Epoch {
        self.epoch.borrow().unwrap_or_default()
    }

    /// Returns whether the log was restored from an older copy during the lifetime of this process.
    pub fn was_restored(&self) -> bool {
        self.lock().restored.is_some()
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
        tokio::time::sleep(self.succession_delay()).await;
    }

    /// Returns this entry's rank in the order in which the entries read the log.
    pub fn rank(&self) -> u32 {
        self.lock().rank
    }

    /// Records that another entry announces that it reads the whole list.
    pub fn record_announcement(&self, topic: Topic, now: Instant) {
        self.lock().stream(topic).announced_at = Some(now);
    }

    /// Returns the time since another entry announced that it reads the whole list.
    pub fn announced(&self, topic: Topic, now: Instant) -> Option<Duration> {
        self.lock().stream(topic).announced(now)
    }

    /// Returns whether this entry is the first to send what the designated readers have read.
    pub fn is_first_reader(&self) -> bool {
        self.lock().rank == 0
    }

    /// Returns whether other entries have sent the records of a span.
    pub fn was_sent_by_others(&self, span: &RecordSpan) -> bool {
        let mut inner = self.lock();
        let seen = inner.stream(span.topic).seen;
        // Of a whole list, the parts are sent one after the other.
        if span.whole { seen.whole } else { seen.end >= span.end }
    }

    /// Queues records that another entry has sent, and applies what it tells about its view.
    pub fn offer(&self, peer: Hash, span: RecordSpan, status: Option<ReadStatus>, now: Instant) {
        let queued = {
            let mut inner = self.lock();
            let stream = inner.stream(span.topic);
            stream.seen.record(&span);
            stream.offered.push(span)
        };
        if let Some(status) = status {
            self.observe(peer, status, now);
        }
        if queued {
            self.updated.notify_waiters();
        }
    }

    /// Adds a part of a block that another entry has sent; returns the block once it is complete.
    /// Its records are to be offered then.
    #[must_use]
    pub fn add_part(
        &self,
        peer: Hash,
        part: Part,
        status: Option<ReadStatus>,
        now: Instant,
    ) -> Option<Block> {
        let topic = part.span.topic;
        let block = {
            let mut inner = self.lock();
            let stream = inner.stream(topic);
            stream.seen.record(&part.span);
            stream.parts.push(part)
        };
        if let Some(status) = status {
            self.observe(peer, status, now);
        }
        // Who waits for the rest learns that it is arriving.
        self.updated.notify_waiters();
        block
    }

    /// Returns the first block that has arrived in part, by its hash, and how many of its first
    /// parts have.
    pub fn received_parts(&self, topic: Topic) -> Option<(u64, usize)> {
        self.lock().stream(topic).parts.received()
    }

    /// Takes the queued changes that continue at `next`, without those before it.
    pub fn take_offered(&self, topic: Topic, next: Offset) -> Option<RecordSpan> {
        self.lock().stream(topic).take_offered(next, false)
    }

    /// The same for an entry that receives a whole list, in which `next` is the end so far.
    pub fn take_offered_list(&self, topic: Topic, next: Offset) -> Option<RecordSpan> {
        self.lock().stream(topic).take_offered(next, true)
    }

    /// Waits until another entry sends or reports something new, `limit` at the longest.
    pub async fn wait_for_update(&self, limit: Duration) {
        // Only the time that passed matters to the callers.
        let _ = timeout(limit, self.updated.notified()).await;
    }

    /// Keeps records that changed something, for other entries.
    pub fn keep(&self, topic: Topic, records: impl IntoIterator<Item = Record>) {
        let mut inner = self.lock();
        let replica = &mut inner.stream(topic).replica;
        records.into_iter().for_each(|record| replica.insert(record));
    }

    /// Replaces the kept records by a whole list, which was read at `end`.
    pub fn keep_all(&self, topic: Topic, records: impl IntoIterator<Item = Record>, end: Offset) {
        let mut inner = self.lock();
        let stream = inner.stream(topic);
        stream.replica.replace(records, end);
        stream.seen.whole = false;
    }

    /// Returns the kept changes from an offset on; `None` if this entry lacks some of them.
    pub fn kept_changes(&self, topic: Topic, from: Offset) -> Option<Vec<Record>> {
        let mut inner = self.lock();
        Some(inner.stream(topic).replica.changes(from)?.cloned().collect())
    }

    /// Returns all kept records.
    pub fn kept_all(&self, topic: Topic) -> Vec<Record> {
        self.lock().stream(topic).replica.newest(0).cloned().collect()
    }

    /// Returns the kept records of the whole list from an offset on; `None` if this entry has no
    /// list yet.
    pub fn kept_list(&self, topic: Topic, from: Offset) -> Option<Vec<Record>> {
        let mut inner = self.lock();
        let stream = inner.stream(topic);
        stream.confirmation.at()?;
        Some(stream.replica.newest(from).cloned().collect())
    }

    /// Returns the offset after the last known record that changed something.
    pub fn change_end(&self, topic: Topic) -> Offset {
        self.lock().stream(topic).confirmation.change_end()
    }

    /// Records changes that another entry sent. This doesn't count as a read of the log.
    pub fn record_forwarded(&self, topic: Topic, change_end: Offset) {
        self.lock().stream(topic).confirmation.advance(change_end);
    }

    /// Records a read by this entry that went up to `position`, with the offset after the last
    /// record that changed something. Returns whether to publish it at once.
    pub fn record_read(
        &self,
        topic: Topic,
        change_end: Offset,
        position: Offset,
        began: Instant,
        now: Instant,
    ) -> bool {
        let mut inner = self.lock();
        inner.reached_at = Some(now);
        inner.stream(topic).confirmation.record_read(change_end, position, began, now)
    }

    /// Returns from where this entry, which has applied the stream up to `next`, has to read it in
    /// the log: older records may have expired, though none of them changed anything.
    pub fn read_position(&self, topic: Topic, next: Offset) -> Offset {
        let read = self.lock().stream(topic).confirmation.read();
        let position = read.map_or(next, |read| read.position);
        if epoch::epoch(position) == epoch::epoch(next) { position.max(next) } else { next }
    }

    /// Returns the offset up to which this entry knows all of a stream; `None` if no read of the log is
    /// known that confirms what it has.
    pub fn known_position(&self, topic: Topic) -> Option<Offset> {
        let mut inner = self.lock();
        let confirmation = &inner.stream(topic).confirmation;
        Some(confirmation.read()?.position.max(confirmation.change_end()))
    }

    /// Returns what this entry tells the others about each stream.
    pub fn read_statuses(&self, now: Instant) -> Vec<ReadStatus> {
        TOPICS.into_iter().filter_map(|topic| self.read_status(topic, now)).collect()
    }

    /// Returns what this entry tells the others about a stream, once it knows it.
    pub fn read_status(&self, topic: Topic, now: Instant) -> Option<ReadStatus> {
        let mut inner = self.lock();
        let confirmation = &inner.stream(topic).confirmation;
        let Read { id, at, began, position } = confirmation.read()?;
        let (change_end, age) = (confirmation.change_end(), now.saturating_duration_since(at));
        let duration = at.saturating_duration_since(began);
        Some(ReadStatus { topic, change_end, read: id, age, duration, position })
    }

    /// Records what another entry tells about a stream.
    pub fn observe(&self, peer: Hash, status: ReadStatus, now: Instant) {
        let Some(at) = now.checked_sub(status.age) else { return };
        let mut inner = self.lock();
        if !inner.stream(status.topic).observe(peer, &status, at, now) {
            return;
        }
        drop(inner);
        // Hundreds of datagrams per second report nothing new; each would wake all waiting tasks.
        self.updated.notify_waiters();
    }

    /// Returns the age of this entry's view of a stream: the time since the newest read by any
    /// entry that found no more records than this entry has applied.
    pub fn age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        let at = self.lock().stream(topic).confirmation.at()?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns when that read was started.
    pub fn began(&self, topic: Topic) -> Option<Instant> {
        self.lock().stream(topic).confirmation.began()
    }

    /// Returns whether an entry that has the records before `next` has all that any entry is known
    /// to have.
    pub fn is_complete(&self, topic: Topic, next: Offset) -> bool {
        self.lock().stream(topic).confirmation.is_complete(next)
    }

    /// Returns the offset up to which any entry is known to have a stream.
    pub fn known_end(&self, topic: Topic) -> Offset {
        self.lock().stream(topic).confirmation.known_end()
    }

    /// Returns the configuration in force, if it was written at `from` or later.
    pub fn config(&self, from: Offset) -> Option<Record> {
        self.kept_list(Topic::Config, from)?.pop()
    }

    /// Returns an entry that has read a stream beyond `next`.
    pub fn peer_ahead(&self, topic: Topic, next: Offset) -> Option<Hash> {
        let ahead = self.lock().stream(topic).ahead;
        ahead.filter(|ahead| ahead.change_end > next).map(|ahead| ahead.peer)
    }

    /// Returns whether this entry should read the stream, which it has read up to `next`.
    pub fn should_read(&self, topic: Topic, next: Offset, now: Instant) -> bool {
        self.read_reason(topic, next, now).is_some()
    }

    /// Returns the reason for which this entry should read the stream, if it should.
    pub fn read_reason(&self, topic: Topic, next: Offset, now: Instant) -> Option<ReadReason> {
        let max_age = self.timing.max_age(topic);
        self.lock().read_reason(topic, next, max_age, now)
    }

    /// Waits until this entry should read the stream, or request or apply its next records. After a
    /// failed call, the age of the view is no reason to call again before the retry is due.
    pub async fn next_step(&self, topic: Topic, next: Offset, retry: Option<Retry>) -> FollowStep {
        loop {
            if let Some(span) = self.take_offered(topic, next) {
                return FollowStep::Apply(span);
            }
            if let Some(step) = self.due_step(topic, next, retry, Instant::now()) {
                return step;
            }
            let lacks_records = self.peer_ahead(topic, next).is_some();
            let interval = if lacks_records { PULL_CHECK_INTERVAL } else { CHECK_INTERVAL };
            self.wait_for_update(interval).await;
        }
    }

    fn due_step(
        &self,
        topic: Topic,
        next: Offset,
        retry: Option<Retry>,
        now: Instant,
    ) -> Option<FollowStep> {
        let max_age = self.timing.max_age(topic);
        let mut inner = self.lock();
        let reached_at = inner.reached_at;
        let backs_off = retry.is_some_and(|retry| {
            now < retry.at && reached_at.is_none_or(|at| at <= retry.failed_at)
        });
        let reason = inner.read_reason(topic, next, max_age, now);
        if inner.is_restored_since(next) && reason != Some(ReadReason::DesignatedReader) {
            return (!inner.defers_restored_read(now)).then_some(FollowStep::Restart);
        }
        match reason {
            Some(ReadReason::ViewTooOld) if backs_off => {}
            Some(reason) => return Some(FollowStep::Read(reason)),
            None => {}
        }
        inner.stream(topic).pull_source(next, now).map(FollowStep::Pull)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
