//! Counts what customers use, for the entries that may have to bill it.
//!
//! A request counts in the window in which it began to run, by the cluster's time of day. A few
//! entries, which all entries derive from the hashes of their names, receive every count within a
//! fraction of a second, so that little is lost with an entry that is killed. See
//! [`policy::usage`].

use crate::cluster::clock::ClusterClock;
use crate::cluster::groups::Member;
use crate::cluster::messages::{BillingProgress, Payload, UsageCounts};
use crate::config::customers::CustomerName;
use policy::usage::{Counts, Incarnation, Ledger, OwnCounts, Row, WindowIndex};
use policy::{Hash, Time};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// The number of entries that receive all counts, and of which one bills them.
const BILLERS: usize = 4;

/// Mixed into the hashes of names, so that the billers are not the entries that other rankings put
/// first.
const SALT: Hash = 0x6269_6C6C_6572_7321;

/// The interval between updates grows by this much for each entry, so that the rate of datagrams at
/// the billers doesn't grow with the number of entries.
const INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// The shortest interval between updates.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// The longest interval between updates.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// The time after the end of a window within which its last counts are sent.
const FINAL_UPDATE_DELAY: Duration = Duration::from_millis(250);

/// Customers in one datagram, which then crosses networks without fragmentation.
const MAX_ROWS: usize = 60;

/// The counts of this entry, and those that it has received.
#[derive(Debug, Default)]
pub struct Usage {
    /// The length of a window; unset if nothing is billed.
    window: OnceLock<Duration>,
    /// The cluster's time of day.
    pub clock: ClusterClock,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    incarnation: Incarnation,
    own: OwnCounts,
    ledger: Ledger,
    /// The newest billing progress of another entry, and when it was received, in time since boot.
    billing_progress: Option<(BillingProgress, Time)>,
}

impl Usage {
    /// Starts counting, in windows of this length.
    pub fn start(&self, window: Duration, incarnation: Incarnation) {
        if self.window.set(window).is_err() {
            log::warn!(target: "usage", "a second length of windows is left alone");
        }
        self.lock().incarnation = incarnation;
    }

    /// Returns the window that contains a time of day.
    pub fn window_at(&self, time: Duration) -> Option<WindowIndex> {
        let window = self.window.get()?;
        u64::try_from(time.as_micros() / window.as_micros().max(1)).ok()
    }

    /// Returns the time of day at which a window ends.
    pub fn window_end(&self, window: WindowIndex) -> Duration {
        let length = self.window.get().copied().unwrap_or_default();
        let micros = length.as_micros().saturating_mul(u128::from(window) + 1);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Counts a request of a customer, which began to run `age` ago.
    pub fn count(&self, customer: &CustomerName, age: Duration) {
        let Some(window) = self.window_at(self.clock.now().saturating_sub(age)) else { return };
        let mut inner = self.lock();
        let count = inner.own.count(window, customer);
        let (incarnation, row) = (inner.incarnation, Row { customer: customer.clone(), count });
        inner.ledger.merge(incarnation, window, [row]);
    }

    /// Merges the counts of another entry.
    pub fn observe(&self, usage: UsageCounts) {
        let UsageCounts { incarnation, window, customers, counts } = usage;
        let rows = customers.into_iter().zip(counts);
        let rows = rows.map(|(customer, count)| Row { customer: customer.into(), count });
        self.lock().ledger.merge(incarnation, window, rows);
    }

    /// Records that another entry has written a bill.
    pub fn observe_billing(&self, progress: BillingProgress, now: Time) {
        let mut inner = self.lock();
        if inner.billing_progress.is_none_or(|(known, _)| known.stream_end < progress.stream_end) {
            inner.billing_progress = Some((progress, now));
        }
    }

    /// Returns the newest billing progress of another entry, and when it was received.
    pub fn billing_progress(&self) -> Option<(BillingProgress, Time)> {
        self.lock().billing_progress
    }

    /// Returns what all customers used in a window, as far as this entry has received it.
    pub fn totals(&self, window: WindowIndex) -> Counts {
        self.lock().ledger.totals(window)
    }

    /// Returns the oldest window with known counts that may still be billed.
    pub fn first_billable(&self, present: WindowIndex) -> Option<WindowIndex> {
        self.lock().ledger.oldest_recent(present)
    }

    /// Drops windows far from the present one, which would otherwise take memory for the lifetime
    /// of the process.
    pub fn prune(&self, present: WindowIndex) {
        self.lock().ledger.prune(present);
    }

    /// Returns the interval until this entry sends its next update to the billers.
    pub fn report_interval(&self, entries: u32) -> Duration {
        let interval = (INTERVAL_PER_ENTRY * entries).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let now = self.clock.now();
        let left = self.window_at(now).map(|window| self.window_end(window).saturating_sub(now));
        left.map_or(interval, |left| interval.min(left + FINAL_UPDATE_DELAY / 2))
    }

    /// Takes the updates for the billers: all counts, or only those that they have not received.
    pub fn pending_updates(&self, all: bool) -> Vec<Payload> {
        let mut inner = self.lock();
        if all {
            inner.own.mark_all_due();
        }
        let incarnation = inner.incarnation;
        let mut updates = Vec::new();
        for (window, rows) in inner.own.take_due() {
            for rows in rows.chunks(MAX_ROWS) {
                let customers = rows.iter().map(|row| row.customer.to_string()).collect();
                let counts = rows.iter().map(|row| row.count).collect();
                updates.push(Payload::UsageCounts(UsageCounts {
                    incarnation,
                    window,
                    customers,
                    counts,
                }));
            }
        }
        updates
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the entries that may bill, in the order of precedence.
pub fn billers(members: &[Member]) -> Vec<Member> {
    let mut members = members.to_vec();
    members.sort_by_key(|member| policy::mix(member.key, SALT));
    members.truncate(BILLERS);
    members
}
