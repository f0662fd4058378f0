//! What customers have used: counted here, and told to the entries that may have to bill it.
//!
//! A request counts in the window in which it began to run, by the true time of day. A few entries, the
//! same for all by the hashes of their names, hear of every count within a fraction of a second, so that
//! entries that are killed take little with them. See [`policy::usage`].

use crate::cluster::clock::Clock;
use crate::cluster::groups::Member;
use crate::cluster::messages::{BillingProgress, Payload, UsageCounts};
use crate::config::customers::CustomerName;
use policy::usage::{Counts, Incarnation, Ledger, OwnCounts, Row, WindowIndex};
use policy::{Hash, Time};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Entries that hear of all counts, and of which one bills them.
const BILLERS: usize = 4;

/// Mixed into the hashes of names, so that billers are not those that come first elsewhere.
const SALT: Hash = 0x6269_6C6C_6572_7321;

/// For each entry that there is, one waits so long between tellings: what billers hear then doesn't
/// grow with their number.
const EACH: Duration = Duration::from_millis(10);

/// Between two tellings at least.
const LEAST_PAUSE: Duration = Duration::from_millis(250);

/// Between two tellings at most.
const MOST_PAUSE: Duration = Duration::from_secs(4);

/// After the end of a window, all that is left of it is told within so long.
const TOLD: Duration = Duration::from_millis(250);

/// Customers in one datagram: one of this size crosses networks in one piece.
const MAX_ROWS: usize = 60;

/// What this entry has counted, and what it was told.
#[derive(Debug, Default)]
pub struct Usage {
    /// The length of a window; none if nothing is billed.
    window: OnceLock<Duration>,
    /// The true time of day.
    pub clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    life: Incarnation,
    own: OwnCounts,
    ledger: Ledger,
    /// The last bill of another's that was heard of, and when, by the time since the VM started.
    billed: Option<(BillingProgress, Time)>,
}

impl Usage {
    /// Counts from now on, in windows of this length; `life` tells this run of the process from others.
    pub fn start(&self, window: Duration, life: Incarnation) {
        if self.window.set(window).is_err() {
            log::warn!(target: "usage", "a second length of windows is left alone");
        }
        self.lock().life = life;
    }

    /// The window that holds a moment, by the true time of day.
    pub fn window_at(&self, moment: Duration) -> Option<WindowIndex> {
        let window = self.window.get()?;
        u64::try_from(moment.as_micros() / window.as_micros().max(1)).ok()
    }

    /// When a window ends, by the true time of day.
    pub fn window_end(&self, window: WindowIndex) -> Duration {
        let length = self.window.get().copied().unwrap_or_default();
        let micros = length.as_micros().saturating_mul(u128::from(window) + 1);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Counts a request of a customer that began to run so long ago.
    pub fn count(&self, customer: &CustomerName, ago: Duration) {
        let Some(window) = self.window_at(self.clock.now().saturating_sub(ago)) else { return };
        let mut inner = self.lock();
        let count = inner.own.count(window, customer);
        let (life, row) = (inner.life, Row { customer: customer.clone(), count });
        inner.ledger.merge(life, window, [row]);
    }

    /// Takes in how far another entry has counted.
    pub fn observe(&self, used: UsageCounts) {
        let UsageCounts { incarnation: life, window, customers, counts } = used;
        let rows = customers.into_iter().zip(counts);
        let rows = rows.map(|(customer, count)| Row { customer: customer.into(), count });
        self.lock().ledger.merge(life, window, rows);
    }

    /// Takes in that another entry has written a bill.
    pub fn billed(&self, billed: BillingProgress, now: Time) {
        let mut inner = self.lock();
        if inner.billed.is_none_or(|(known, _)| known.stream_end < billed.stream_end) {
            inner.billed = Some((billed, now));
        }
    }

    /// The last bill of another's that was heard of, and when.
    pub fn billing_progress(&self) -> Option<(BillingProgress, Time)> {
        self.lock().billed
    }

    /// What all customers used in a window, as far as it was told.
    pub fn totals(&self, window: WindowIndex) -> Counts {
        self.lock().ledger.totals(window)
    }

    /// The first window that may still be billed, of which anything is known.
    pub fn first_billable(&self, present: WindowIndex) -> Option<WindowIndex> {
        self.lock().ledger.oldest_recent(present)
    }

    /// Forgets windows far from the present one: each would take memory for as long as the process lives.
    pub fn prune(&self, present: WindowIndex) {
        self.lock().ledger.prune(present);
    }

    /// How long until this entry tells the billers what is due.
    pub fn report_interval(&self, entries: u32) -> Duration {
        let pause = (EACH * entries).clamp(LEAST_PAUSE, MOST_PAUSE);
        let now = self.clock.now();
        let left = self.window_at(now).map(|window| self.window_end(window).saturating_sub(now));
        left.map_or(pause, |left| pause.min(left + TOLD / 2))
    }

    /// What the billers are to be told now: all that was counted, or what they have not heard of.
    pub fn pending_updates(&self, all: bool) -> Vec<Payload> {
        let mut inner = self.lock();
        if all {
            inner.own.mark_all_due();
        }
        let life = inner.life;
        let mut words = Vec::new();
        for (window, rows) in inner.own.take_due() {
            for rows in rows.chunks(MAX_ROWS) {
                let customers = rows.iter().map(|row| row.customer.to_string()).collect();
                let counts = rows.iter().map(|row| row.count).collect();
                words.push(Payload::UsageCounts(UsageCounts {
                    incarnation: life,
                    window,
                    customers,
                    counts,
                }));
            }
        }
        words
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The entries that may bill, first the one whose turn it is.
pub fn billers(members: &[Member]) -> Vec<Member> {
    let mut members = members.to_vec();
    members.sort_by_key(|member| policy::mix(member.key, SALT));
    members.truncate(BILLERS);
    members
}
