//! Which entry carries out a duty that one has at a time, by an append-only stream of records.
//!
//! **Load pattern.** Holders are killed, frozen and cut off, and wake up again, while the duty falls due
//! every few seconds. **Without it** two act at once or by turns, or none does. **How.** Each time the
//! duty is due its holder appends a record on condition that the stream ends where it read it to, and may
//! act for [`Settings::duration`] from before it began to append. Another entry takes over only when the duty
//! is overdue and it has known the last record for longer than that and a lease: its own record, on the
//! same condition, then shuts the holder before it out. Time only decides when to try; the stream's
//! order decides who holds.

use crate::Time;
use std::time::Duration;

/// Settings of a tenure.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// For how long a holder acts on a record.
    pub duration: Duration,
    /// How long nobody may act before another does.
    pub grace: Duration,
    /// How late the duty has to be for an entry to take over that comes next after the holder.
    pub overdue: Duration,
    /// How much longer each one after it waits, so that they rarely race.
    pub stagger: Duration,
}

/// What an entry knows of who holds the duty.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    holding: Option<Holding>,
    last: Option<Last>,
}

/// The last record of another's that is known, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Last {
    end: u64,
    known: Time,
}

/// What this entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holding {
    fence: u64,
    until: Time,
}

impl Lease {
    /// Takes in that a record of another's stands before `end`.
    pub fn observe_record(&mut self, end: u64, now: Time) {
        if self.last.is_none_or(|last| last.end < end) {
            self.last = Some(Last { end, known: now });
            self.holding = None;
        }
    }

    /// Takes in that this entry's own record stands at `offset`; `began` is when it began to append.
    pub fn renew(&mut self, settings: &Settings, offset: u64, began: Time) {
        // Engines and platforms take 0 for no fence.
        let fence = self.holding.map_or(offset + 1, |holding| holding.fence);
        self.holding = Some(Holding { fence, until: began + settings.duration });
    }

    /// Gives the duty up: somebody with a higher fence has acted.
    pub fn relinquish(&mut self, end: u64, now: Time) {
        self.holding = None;
        self.last = Some(Last { end, known: now });
    }

    /// Whether this entry held the duty last, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.holding.is_some()
    }

    /// The fence under which this entry may act now.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        self.holding.filter(|holding| now < holding.until).map(|holding| holding.fence)
    }

    /// Whether the entry that is number `rank` among those that may hold the duty, counted from 0,
    /// may append a record, if the duty has been due for `due`.
    pub fn may_claim(&self, settings: &Settings, rank: u32, due: Duration, now: Time) -> bool {
        if self.is_held() {
            return true;
        }
        let quiet = settings.duration + settings.grace;
        let quiet = self.last.is_none_or(|last| now.saturating_sub(last.known) >= quiet);
        quiet && due >= settings.overdue + settings.stagger * rank
    }
}
