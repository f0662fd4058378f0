//! Limits of customers that hold over all entries, whether or not they can communicate.
//!
//! **Load pattern.** A customer sends its requests to any of tens to a thousand entries, and its
//! limit may be as small as two prompts per second over all of them, while entries are killed,
//! frozen and partitioned. **Without this**, a fixed share of the limit for each entry refuses most
//! prompts of a customer that is within its limit, and two entries that both believe that they
//! enforce the limit exceed it together. **Approach.** Each entry owns an equal share of every
//! limit ([`Lender`]) and lends the share of a partition of the customers to one entry at a time, by
//! a lease. The borrower ([`Coordinator`]) grants tokens from buckets that fill at the rate of the
//! shares lent to it, so no view of who coordinates can raise the sum. What an entry uses often is
//! granted ahead of use ([`Held`]).
//!
//! Coordinator and lender share no clock. A coordinator answers each renewal with a [`Stamp`] of its
//! clock, the next renewal echoes it, and the lease ends one term after that stamp. The lender counts
//! the term from when it sent the renewal, which is later than the stamp, so the coordinator always
//! stops first. All times are by clocks that include suspended time.
//!
//! Entries that start in separate partitions, and whose settings name fewer entries than there are,
//! exceed the limits together until they reach each other. So do the sides of a partition that lasts
//! longer than the number of the entries is kept.

mod bucket;
mod coordinator;
mod held;
mod lender;
mod partition;
mod shares;

pub use coordinator::{Answer, Ask, Coordinator, Refund};
pub use held::Held;
pub use lender::{Lender, Return};
pub use partition::{PARTITIONS, Partition, partition};

use crate::{Hash, Time};
use std::time::Duration;

/// The hash of an entry's name.
pub type EntryKey = Hash;

/// The hash of a customer's name.
pub type CustomerKey = Hash;

/// The version of the configuration that a limit comes from.
pub type ConfigVersion = u64;

/// Distinguishes the processes of a coordinator, also those of one entry.
pub type Life = u64;

/// Orders the requests of an entry. Unique per entry, also across its restarts.
pub type RequestId = u64;

/// What a customer may use beyond its limit in a span of time, for all limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The span in which use is counted.
    pub window: Duration,
    /// The tolerated excess as a fraction of what the limit allows in a window.
    pub overage: f64,
    /// The tolerated excess in the unit of the limit.
    pub allowance: f64,
}

/// The limit of a customer over all entries, in tokens or requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// What may be used per second.
    pub rate: f64,
    /// What may be used at once.
    pub burst: f64,
    /// Of two limits of a customer, the one of the higher version applies.
    pub version: ConfigVersion,
}

/// A point in time by the clock of a coordinator, valid only at the process that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// The process of the coordinator.
    pub life: Life,
    /// The time there.
    pub at: Time,
}

/// Term of a lease among few entries: a dead coordinator holds up its customers for this long.
const TERM: Duration = Duration::from_millis(750);

/// Number of renewals per term, so that two may be lost.
const RENEWALS_PER_TERM: u32 = 3;

/// Number of entries from which the term grows with them. Up to here, a coordinator receives at
/// most 1,000 renewals per second and partition.
const ENTRIES_PER_TERM: u32 = 250;

/// Returns the term of a lease among so many entries. Coordinators and lenders whose counts of the
/// entries differ may use different terms.
pub fn term(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(ENTRIES_PER_TERM);
    TERM.mul_f64(f64::from(entries) / f64::from(ENTRIES_PER_TERM))
}
