//! Orders entries for a task that one or a few of them perform for all.
//!
//! **Load pattern.** A task such as reading the log is done by the first of an order that all
//! entries compute alike. When those fail together, hundreds of others are next. **Without this**,
//! all of them act at once and overload what they call, or wait for a time that grows with their
//! number. **Approach.** The order is a weighted rendezvous hash, so a large VM is more often among
//! the first. A successor waits in proportion to the logarithm of its rank: each wave is twice as
//! large as the one before it, and the last one acts within a time that hardly depends on the
//! number of entries. Once one has acted and said so, the others don't.
//!
//! An entry that starts knows a part of the others, so that many take themselves for the first of
//! the order. It therefore decides by its rank at that moment, see [`Lack`], and not before its view
//! of the others has settled. Reading a long list takes seconds; meanwhile the reader announces it,
//! and the others wait.

use crate::groups::{Entry, score};
use crate::{Hash, Time};
use std::time::Duration;

/// How long one wave has to act and to tell the others, before the next one acts too.
const WAVE: Duration = Duration::from_millis(40);

/// Returns how many of `others` precede `own` in the order for a task.
pub fn rank(task: Hash, own: &Entry, others: impl IntoIterator<Item = Entry>) -> u32 {
    let own_score = score(task, own);
    let before = others.into_iter().filter(|other| score(task, other) > own_score).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Returns how long the entry with this rank waits for the first `acting` entries, which act
/// without waiting.
pub fn delay(rank: u32, acting: u32) -> Duration {
    delay_of(WAVE, rank, acting)
}

fn delay_of(wave: Duration, rank: u32, acting: u32) -> Duration {
    if rank < acting {
        return Duration::ZERO;
    }
    let waves = 1.0 + f64::from(rank + 1) / f64::from(acting.max(1));
    wave.mul_f64(waves.log2())
}

/// The time after a failed call until the entry retries, where `entries` entries call the same
/// service and tell each other when it responds again.
///
/// They call it as often together as eight would with the shortest interval, but each at least once
/// per `longest`, in case that what the others tell doesn't arrive.
pub fn retry_delay(entries: u32, longest: Duration) -> Time {
    const PER_ENTRY: Duration = Duration::from_millis(60);
    (PER_ENTRY * entries).min(longest)
}

/// How much later the last of each group of entries, twice as large as the one before it, reads a
/// list: the first of a group has announced by then that it reads.
const LIST_WAVE: Duration = Duration::from_millis(250);

/// How long the view of the others has to be unchanged before this entry acts as one of the first of
/// the order. It is renewed each 100 ms.
const SETTLED: Duration = Duration::from_millis(200);

/// How long one of the first waits for its view of the others to settle.
const MAX_SETTLING: Duration = Duration::from_secs(1);

/// How much later each of the first begins than the one before it: long enough to hear that it reads.
const STAGGER: Duration = Duration::from_millis(150);

/// The interval at which an entry that reads a list announces it.
pub const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(200);

/// How long an announcement holds: two of its successors may be lost.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(700);

/// How long after the last part of a list more is expected: two rounds of requests.
const ARRIVAL_TTL: Duration = Duration::from_millis(250);

/// The longest wait for a list that others announce or send: long enough to read thousands of targets
/// in small pages.
const MAX_LIST_WAIT: Duration = Duration::from_secs(10);

/// For how long entries ask the others for a list before they read it in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// The first of the order, who read for all.
    pub first: Duration,
    /// All others, besides a delay by their rank.
    pub others: Duration,
}

/// What an entry that lacks a list, and asks the others for it, knows at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lack {
    /// Its rank in the order, among the entries that it knows.
    pub rank: u32,
    /// For how long it has asked.
    pub asked: Duration,
    /// For how long its view of the live entries has not changed.
    pub unchanged: Duration,
    /// The time since another entry announced that it reads the list.
    pub announced: Option<Duration>,
    /// The time since a part of the list arrived.
    pub received: Option<Duration>,
}

impl Lack {
    /// Returns whether the entry reads the list in the log, which the first `acting` do for all.
    pub fn reads_list(&self, acting: u32, patience: Patience) -> bool {
        if self.is_arriving() {
            return false;
        }
        if self.rank < acting {
            let stagger = STAGGER * self.rank;
            let is_settled = self.unchanged >= SETTLED + stagger || self.asked >= MAX_SETTLING;
            return self.asked >= patience.first + stagger && is_settled && !self.defers(patience);
        }
        let is_due = self.asked >= patience.others + delay_of(LIST_WAVE, self.rank, acting);
        is_due && !is_list_read(self.announced, self.asked)
    }

    /// Returns whether this entry, one of the first but not the very first, leaves the list to another
    /// one: it may not know all that precede it. It reads as well if that takes long.
    fn defers(&self, patience: Patience) -> bool {
        self.rank > 0 && self.asked < patience.others && is_list_read(self.announced, self.asked)
    }

    fn is_arriving(&self) -> bool {
        self.received.is_some_and(|since| since < ARRIVAL_TTL) && self.asked < MAX_LIST_WAIT
    }
}

/// Returns whether an entry that has waited for `waited` leaves a list to the one that announced
/// `announced` ago that it reads it.
pub fn is_list_read(announced: Option<Duration>, waited: Duration) -> bool {
    announced.is_some_and(|since| since < ANNOUNCEMENT_TTL) && waited < MAX_LIST_WAIT
}
