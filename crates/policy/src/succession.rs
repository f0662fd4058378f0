//! Orders entries for a task that one or a few of them perform for all.
//!
//! **Load pattern.** A task such as reading the log is done by the first of an order that all
//! entries compute alike. When those fail together, hundreds of others are next. **Without this**,
//! all of them act at once and overload what they call, or wait for a time that grows with their
//! number. **Approach.** The order is a weighted rendezvous hash, so a large VM is more often among
//! the first. A successor waits in proportion to the logarithm of its rank: each wave is twice as
//! large as the one before it, and the last one acts within a time that hardly depends on the
//! number of entries. Once one has acted and said so, the others don't.

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
    if rank < acting {
        return Duration::ZERO;
    }
    let waves = 1.0 + f64::from(rank + 1) / f64::from(acting.max(1));
    WAVE.mul_f64(waves.log2())
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
