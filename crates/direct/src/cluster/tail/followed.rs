//! What an entry knows of one stream of the log.

use super::confirmation::{Confirmation, Read};
use super::parts::Parts;
use super::span::{Offered, RecordSpan};
use super::{ReadReason, ReadStatus};
use crate::cluster::replica::Replica;
use plat::Offset;
use policy::{Hash, succession};
use std::time::Duration;
use tokio::time::Instant;

/// For how long an entry that lacks records waits for other entries to send them.
const PULL_PATIENCE: Duration = Duration::from_millis(450);

/// How long an entry waits before it requests records: they are often on their way.
const PULL_DELAY: Duration = Duration::from_millis(60);

/// How often an entry requests the records that it lacks.
const PULL_INTERVAL: Duration = Duration::from_millis(120);

/// What this entry knows of one stream.
#[derive(Debug, Default)]
pub(super) struct Followed {
    pub(super) confirmation: Confirmation,
    pub(super) offered: Offered,
    pub(super) parts: Parts,
    pub(super) replica: Replica,
    /// An entry that has applied more than this one, how far, and since when that is known.
    pub(super) ahead: Option<Ahead>,
    pub(super) seen: Seen,
    /// When another entry last announced that it reads the whole list.
    pub(super) announced_at: Option<Instant>,
}

/// What other entries have sent of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Seen {
    /// The end of the last span.
    pub(super) end: Offset,
    /// Whether any part of a whole list arrived.
    pub(super) whole: bool,
}

impl Seen {
    pub(super) fn record(&mut self, span: &RecordSpan) {
        self.end = self.end.max(span.end);
        self.whole |= span.whole;
    }
}

impl Followed {
    /// Returns the reason for which an entry that is no designated reader should read the stream,
    /// which it has read up to `next`, if it should.
    pub(super) fn read_reason(
        &mut self,
        next: Offset,
        max_age: Duration,
        now: Instant,
    ) -> Option<ReadReason> {
        self.ahead = self.ahead.filter(|ahead| ahead.change_end > next);
        if self.ahead.is_some_and(|ahead| now >= ahead.since + PULL_PATIENCE) {
            return Some(ReadReason::NewRecords);
        }
        // A list that another entry reads arrives sooner than one whose read begins now.
        let announced = self.announced(now);
        let is_too_old = |at: Instant| {
            let age = now.duration_since(at);
            age >= max_age && !succession::is_list_read(announced, age - max_age)
        };
        self.confirmation.at().is_none_or(is_too_old).then_some(ReadReason::ViewTooOld)
    }

    /// Returns the time since another entry announced that it reads the whole list.
    pub(super) fn announced(&self, now: Instant) -> Option<Duration> {
        self.announced_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the entry from which missing records are to be requested now.
    pub(super) fn pull_source(&mut self, next: Offset, now: Instant) -> Option<Hash> {
        let ahead = self.ahead.as_mut().filter(|ahead| ahead.change_end > next)?;
        let due = ahead.pulled_at.map_or(ahead.since + PULL_DELAY, |at| at + PULL_INTERVAL);
        if now < due {
            return None;
        }
        ahead.pulled_at = Some(now);
        Some(ahead.peer)
    }

    /// Records what another entry tells, of a read that was made `at`; returns whether that entry
    /// has applied more than any known one.
    pub(super) fn observe(
        &mut self,
        peer: Hash,
        status: &ReadStatus,
        at: Instant,
        now: Instant,
    ) -> bool {
        let ReadStatus { read: id, position, change_end, duration, .. } = *status;
        let began = at.checked_sub(duration).unwrap_or(at);
        self.confirmation.observe(change_end, Read { id, at, began, position });
        let own = self.confirmation.change_end();
        let known = self.ahead.filter(|ahead| ahead.change_end > own);
        if change_end <= own || known.is_some_and(|known| known.change_end > change_end) {
            return false;
        }
        // Of several entries that are ahead alike, the last one to say so: the requests spread.
        let (since, pulled_at) = known.map_or((now, None), |ahead| (ahead.since, ahead.pulled_at));
        self.ahead = Some(Ahead { peer, change_end, since, pulled_at });
        known.is_none_or(|known| known.change_end < change_end)
    }

    pub(super) fn take_offered(&mut self, next: Offset, whole: bool) -> Option<RecordSpan> {
        self.parts.forget_before(next);
        self.offered.take(next, whole)
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Ahead {
    pub(super) peer: Hash,
    pub(super) change_end: Offset,
    since: Instant,
    pulled_at: Option<Instant>,
}
