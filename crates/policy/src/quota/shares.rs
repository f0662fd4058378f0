//! The shares of one partition that are lent to a coordinator.

use super::EntryKey;
use crate::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Fractions that differ by less are the same: sums of shares are rounded.
const ROUNDING: f64 = 1e-9;

/// Longest term of a lease, whatever its lender states.
pub(super) const LONGEST_TERM: Duration = Duration::from_secs(30);

/// Time after the end of a lease until which its lender is remembered. Renewals that were sent
/// before a return are at most one term old when they count.
const RETENTION: Duration = LONGEST_TERM.saturating_mul(2);

/// Number of remembered changes of the fraction. Beyond it, the oldest two count as one.
const MAX_CHANGES: usize = 64;

/// A share that is lent.
#[derive(Debug, Clone, Copy)]
struct Lease {
    share: f64,
    /// The stamp that the last renewal echoed, by this entry's clock, or when the share was returned.
    /// Renewals that echo an earlier one don't count.
    echoed: Time,
    ends: Time,
}

/// A change of the fraction.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// The smaller one of the fractions before and after it.
    fraction: f64,
    filled: Duration,
}

/// The shares of one partition.
#[derive(Debug)]
pub(super) struct Shares {
    leases: HashMap<EntryKey, Lease>,
    /// The sum of the shares at `at`, at most 1.
    fraction: f64,
    at: Time,
    /// The integral of the fraction over time, up to `at`.
    filled: Duration,
    /// The sum of all increases of the fraction.
    gained: f64,
    /// The integral when the fraction increased last.
    gained_at: Duration,
    /// A time before which no lease ends.
    next_end: Time,
    changes: VecDeque<Change>,
}

impl Default for Shares {
    fn default() -> Self {
        let start = Change { fraction: 0.0, filled: Duration::ZERO };
        Self {
            leases: HashMap::new(),
            fraction: 0.0,
            at: Time::ZERO,
            filled: Duration::ZERO,
            gained: 0.0,
            gained_at: Duration::ZERO,
            next_end: Time::MAX,
            changes: VecDeque::from([start]),
        }
    }
}

impl Shares {
    pub(super) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// The integral of the fraction over time. What a bucket gains is its rate times the difference.
    pub(super) fn filled(&self) -> Duration {
        self.filled
    }

    /// The time up to which the shares have been advanced.
    pub(super) fn at(&self) -> Time {
        self.at
    }

    pub(super) fn gained(&self) -> f64 {
        self.gained
    }

    pub(super) fn gained_at(&self) -> Duration {
        self.gained_at
    }

    /// The fraction at a point in time that is not before the last change.
    pub(super) fn fraction_at(&self, now: Time) -> f64 {
        if now < self.next_end { self.fraction } else { self.sum(now) }
    }

    /// Advances the time, and ends leases.
    pub(super) fn advance(&mut self, now: Time) {
        if self.next_end <= now {
            let ends =
                self.leases.values().filter(|lease| lease.ends <= now && self.at < lease.ends);
            let mut ends: Vec<Time> = ends.map(|lease| lease.ends).collect();
            ends.sort_unstable();
            ends.dedup();
            for end in ends {
                self.fill_until(end);
                self.set_fraction(end);
            }
            self.leases.retain(|_, lease| now < lease.ends + RETENTION);
            let active = self.leases.values().map(|lease| lease.ends).filter(|end| now < *end);
            self.next_end = active.min().unwrap_or(Time::MAX);
        }
        self.fill_until(now);
    }

    /// Records a renewal. The time has been advanced, and the caller brings its buckets up to date
    /// before and after, since the fraction may change.
    pub(super) fn renew(&mut self, lender: EntryKey, share: f64, echoed: Time, ends: Time) {
        if ends <= self.at || !share.is_finite() {
            return;
        }
        let share = share.clamp(0.0, 1.0);
        let known = self.leases.get(&lender).copied();
        // Late renewals must neither undo a return nor raise a share that has been reduced.
        if known.is_some_and(|known| echoed < known.echoed) {
            return;
        }
        let share = match known {
            Some(known) if known.echoed == echoed => known.share.min(share),
            _ => share,
        };
        self.leases.insert(lender, Lease { share, echoed, ends });
        self.next_end = self.next_end.min(ends);
        // Most renewals change nothing, and the sum takes longer with the number of lenders.
        if known.is_none_or(|known| known.ends <= self.at || known.share != share) {
            self.set_fraction(self.at);
        }
    }

    /// Ends a lease now, and all that its lender sent before.
    pub(super) fn give_back(&mut self, lender: EntryKey) {
        let now = self.at;
        self.leases.insert(lender, Lease { share: 0.0, echoed: now, ends: now });
        // Without this, the lender would be forgotten only with the next lease that ends.
        self.next_end = self.next_end.min(now + RETENTION);
        self.set_fraction(now);
    }

    /// Returns what the bucket of a customer without recent requests contains: as much as it would
    /// if it had been empty when this coordinator started, and cut whenever the fraction was lower.
    pub(super) fn idle_level(&self, rate: f64, burst: f64) -> f64 {
        let levels = self.changes.iter().map(|change| {
            burst * change.fraction + rate * (self.filled - change.filled).as_secs_f64()
        });
        levels.fold(burst * self.fraction, f64::min)
    }

    fn fill_until(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.at);
        self.filled += elapsed.mul_f64(self.fraction);
        self.at = self.at.max(now);
    }

    fn sum(&self, now: Time) -> f64 {
        let active = self.leases.values().filter(|lease| now < lease.ends);
        active.map(|lease| lease.share).sum::<f64>().min(1.0)
    }

    fn set_fraction(&mut self, now: Time) {
        let fraction = self.sum(now);
        if (fraction - self.fraction).abs() < ROUNDING && fraction > 0.0 {
            return;
        }
        let lower = fraction.min(self.fraction);
        if fraction > self.fraction {
            self.gained += fraction - self.fraction;
            self.gained_at = self.filled;
        }
        self.fraction = fraction;
        self.changes.push_back(Change { fraction: lower, filled: self.filled });
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
            && let Some(next) = self.changes.front_mut()
        {
            next.fraction = next.fraction.min(oldest.fraction);
        }
    }
}
