//! What waits: requests for their answers, tokens held for use, refunds to be sent, and callers for
//! the time at which to retry.

use super::{Demand, Taken, Verdict};
use crate::cluster::messages::{QuotaRequest, ShareLease};
use crate::cluster::suspects::Fingerprint;
use policy::Time;
use policy::quota::{CustomerKey, EntryKey, Limit};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;

/// A request for tokens whose answer has not arrived.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) demand: Demand,
    pub(super) holder: EntryKey,
    pub(super) sent_at: Time,
    pub(super) sender: Option<oneshot::Sender<Verdict>>,
    /// The message, which is repeated if it isn't answered; none if this entry itself decides.
    pub(super) message: Option<QuotaRequest>,
}

impl Asked {
    /// Creates a request that is sent now, and the receiver of its verdict.
    pub(super) fn new(
        demand: &Demand,
        holder: EntryKey,
        sent_at: Time,
    ) -> (Self, oneshot::Receiver<Verdict>) {
        let (sender, verdict) = oneshot::channel();
        let (sender, message) = (Some(sender), None);
        (Self { demand: *demand, holder, sent_at, sender, message }, verdict)
    }

    /// Returns the message again, with the present lease, and a new receiver of the verdict. The time
    /// at which it was first sent stays: the tokens may have been granted then.
    pub(super) fn repeat(
        &mut self,
        lease: ShareLease,
    ) -> Option<(QuotaRequest, oneshot::Receiver<Verdict>)> {
        let message = QuotaRequest { lease: Some(lease), ..self.message.clone()? };
        let (sender, verdict) = oneshot::channel();
        self.sender = Some(sender);
        Some((message, verdict))
    }
}

/// Tokens of a customer that are held for use.
#[derive(Debug, Clone, Copy)]
pub(super) struct Advance {
    /// The entry that granted them.
    pub(super) holder: EntryKey,
    /// When the last of them become void.
    pub(super) until: Time,
    /// The limit under which they were granted.
    pub(super) limit: Limit,
}

/// Tokens to be refunded.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unsent {
    pub(super) taken: Taken,
    /// When they were given back.
    pub(super) since: Time,
}

/// How much earlier than told a caller may return: it counts from when the refusal arrived, by its
/// own clock.
const EARLY: Duration = Duration::from_millis(5);

/// How long after the time that it was told a caller counts as gone, so that another request of the
/// same customer and amount can use what is reserved.
const GONE: Duration = Duration::from_millis(250);

/// For how long after that time tokens stay reserved.
const LATE: Duration = Duration::from_secs(1);

/// For how long it is remembered whether the callers of a customer come back.
const RETENTION: Duration = Duration::from_secs(10);

/// Callers that did not come from which on it counts how many did.
const MIN_MISSED: u32 = 4;

/// Callers after which those before count half.
const MAX_COUNT: u32 = 64;

/// If callers of a customer don't come back, tokens are reserved for one in this many.
const PROBE_INTERVAL: u32 = 16;

/// A caller that was told to retry.
#[derive(Debug, Clone, Copy)]
struct Promise {
    fingerprint: Fingerprint,
    amount: f64,
    due: Time,
}

/// Callers of one customer that were told to retry.
#[derive(Debug, Default)]
struct Promises {
    /// In the order in which they are due.
    waiting: VecDeque<Promise>,
    /// How many came and how many did not, with half the weight for what is longer ago.
    came: u32,
    missed: u32,
    refused: u32,
    /// When the last of them was due.
    last_due: Time,
}

impl Promises {
    /// Forgets callers that did not come.
    fn expire(&mut self, now: Time) {
        while self.waiting.front().is_some_and(|promise| promise.due + LATE <= now) {
            self.waiting.pop_front();
            self.missed += 1;
        }
        if self.came + self.missed > MAX_COUNT {
            (self.came, self.missed) = (self.came / 2, self.missed / 2);
        }
    }
}

/// Callers that were told to retry, by customer.
///
/// Callers may ignore `Retry-After`. If tokens were reserved for them all the same, none would be
/// left for the requests that they send instead.
#[derive(Debug, Default)]
pub(super) struct Promised {
    customers: HashMap<CustomerKey, Promises>,
    swept_at: Time,
}

impl Promised {
    /// Returns whether tokens may be reserved for another caller of a customer: enough of them come
    /// back, or this one is to show whether they do again.
    pub(super) fn may_reserve(&mut self, customer: CustomerKey) -> bool {
        let Some(promises) = self.customers.get_mut(&customer) else { return true };
        promises.refused = promises.refused.wrapping_add(1);
        let come_back = promises.missed < MIN_MISSED || promises.came >= promises.missed;
        come_back || promises.refused.is_multiple_of(PROBE_INTERVAL)
    }

    /// Records that a caller was told to retry at a time.
    pub(super) fn insert(
        &mut self,
        customer: CustomerKey,
        fingerprint: Fingerprint,
        amount: f64,
        due: Time,
    ) {
        let promises = self.customers.entry(customer).or_default();
        promises.last_due = promises.last_due.max(due);
        let waiting = &mut promises.waiting;
        let at = waiting.partition_point(|other| other.due <= due);
        waiting.insert(at, Promise { fingerprint, amount, due });
    }

    /// Returns whether a request may use what is reserved for a caller: because it is the one that
    /// was told to retry by now, or because that one has not come. Forgets that caller. `returning`
    /// tells whether the request is known to be a retry.
    pub(super) fn take_due(
        &mut self,
        customer: CustomerKey,
        fingerprint: Fingerprint,
        amount: f64,
        returning: bool,
        now: Time,
    ) -> bool {
        let Some(promises) = self.customers.get_mut(&customer) else { return false };
        promises.expire(now);
        let due = promises.waiting.iter().take_while(|promise| promise.due <= now + EARLY);
        let (mut own, mut free) = (None, None);
        for (at, promise) in due.enumerate() {
            if promise.fingerprint == fingerprint {
                own = Some(at);
                break;
            }
            let is_free = returning || promise.due + GONE <= now;
            if free.is_none() && promise.amount == amount && is_free {
                free = Some(at);
            }
        }
        if own.is_some() || free.is_some() && returning {
            promises.came += 1;
        }
        own.or(free).and_then(|at| promises.waiting.remove(at)).is_some()
    }

    /// Forgets customers none of whose callers was told to retry lately.
    pub(super) fn sweep(&mut self, now: Time) {
        if now.saturating_sub(self.swept_at) >= RETENTION {
            self.swept_at = now;
            self.customers.retain(|_, promises| now < promises.last_due + RETENTION);
        }
    }
}
