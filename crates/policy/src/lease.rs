//! Lease on a duty that one entry carries out at a time, held through an append-only stream of
//! records.
//!
//! **Load pattern.** Holders are killed, frozen and partitioned, and resume, while the duty is due
//! every few seconds. **Without this**, two entries act at once or in turn, or none does.
//! **Approach.** Each time the duty is due, its holder appends a record on condition that the
//! stream ends where the holder has read it to. The holder may then act for [`Settings::duration`],
//! counted from before the append. Another entry takes over only when the duty is overdue and it
//! has known the last record for longer than that duration and a grace period. Its own record, on
//! the same condition, then shuts out the previous holder. Time only decides when to try; the order
//! of the stream decides who holds the lease.

use crate::Time;
use std::time::Duration;

/// Settings of a lease.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How long a holder may act after a record.
    pub duration: Duration,
    /// How long after that no entry may act, before another takes over.
    pub grace: Duration,
    /// How long the duty has to be due before the first candidate takes over.
    pub overdue: Duration,
    /// How much longer each further candidate waits, so that they rarely race.
    pub stagger: Duration,
}

/// What an entry knows about the holder of the lease.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    held: Option<Held>,
    last_record: Option<LastRecord>,
}

/// The last known record of another entry, and since when it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastRecord {
    end: u64,
    known_since: Time,
}

/// The lease as held by this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    fencing_token: u64,
    expires_at: Time,
}

impl Lease {
    /// Records that the stream contains a record of another entry that ends at `end`.
    pub fn observe_record(&mut self, end: u64, now: Time) {
        if self.last_record.is_none_or(|last| last.end < end) {
            self.last_record = Some(LastRecord { end, known_since: now });
            self.held = None;
        }
    }

    /// Records that another entry may hold the lease although the stream has no record of it.
    pub fn await_holder(&mut self, now: Time) {
        if self.held.is_none() {
            let end = self.last_record.map_or(0, |last| last.end);
            self.last_record = Some(LastRecord { end, known_since: now });
        }
    }

    /// Acquires or renews the lease by this entry's own record at `offset`, whose append started at
    /// `started_at`.
    pub fn renew(&mut self, settings: &Settings, offset: u64, started_at: Time) {
        // Engines and platforms interpret 0 as no fencing token.
        let fencing_token = self.held.map_or(offset + 1, |held| held.fencing_token);
        self.held = Some(Held { fencing_token, expires_at: started_at + settings.duration });
    }

    /// Gives up the lease because another entry has acted with a higher fencing token.
    pub fn relinquish(&mut self, end: u64, now: Time) {
        self.held = None;
        self.last_record = Some(LastRecord { end, known_since: now });
    }

    /// Returns whether this entry is the last known holder, also if the lease has expired.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the fencing token with which this entry may act now.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        self.held.filter(|held| now < held.expires_at).map(|held| held.fencing_token)
    }

    /// Returns whether this entry may append a record, if the duty has been due for `due`. `rank`
    /// is its position among the candidates for the lease, counted from 0.
    pub fn may_claim(&self, settings: &Settings, rank: u32, due: Duration, now: Time) -> bool {
        if self.is_held() {
            return true;
        }
        let quiet_time = settings.duration + settings.grace;
        let quiet =
            self.last_record.is_none_or(|last| now.saturating_sub(last.known_since) >= quiet_time);
        quiet && due >= settings.overdue + settings.stagger * rank
    }
}
