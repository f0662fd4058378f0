//! What waits: requests for their answers, tokens held for use, refunds to be sent, and callers for
//! the time at which to retry.

use super::{Demand, Taken, Verdict};
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
}

impl Asked {
    /// Creates a request that is sent now, and the receiver of its verdict.
    pub(super) fn new(
        demand: &Demand,
        holder: EntryKey,
        sent_at: Time,
    ) -> (Self, oneshot::Receiver<Verdict>) {
        let (sender, verdict) = oneshot::channel();
        (Self { demand: *demand, holder, sent_at, sender: Some(sender) }, verdict)
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

/// A caller that was told to retry.
#[derive(Debug, Clone, Copy)]
struct Promise {
    fingerprint: Fingerprint,
    amount: f64,
    due: Time,
}

/// Callers that were told to retry, by customer.
#[derive(Debug, Default)]
pub(super) struct Promised(HashMap<CustomerKey, VecDeque<Promise>>);

impl Promised {
    /// Records that a caller was told to retry at a time.
    pub(super) fn insert(
        &mut self,
        customer: CustomerKey,
        fingerprint: Fingerprint,
        amount: f64,
        due: Time,
    ) {
        let promises = self.0.entry(customer).or_default();
        let at = promises.partition_point(|other| other.due <= due);
        promises.insert(at, Promise { fingerprint, amount, due });
    }

    /// Returns whether a request may use what is reserved for a caller: because it is the one that
    /// was told to retry by now, or because that one has not come. Forgets that caller.
    pub(super) fn take_due(
        &mut self,
        customer: CustomerKey,
        fingerprint: Fingerprint,
        amount: f64,
        now: Time,
    ) -> bool {
        let Some(promises) = self.0.get_mut(&customer) else { return false };
        while promises.front().is_some_and(|promise| promise.due + LATE <= now) {
            promises.pop_front();
        }
        let due = promises.iter().take_while(|promise| promise.due <= now + EARLY);
        let mut gone = None;
        let mut own = None;
        for (at, promise) in due.enumerate() {
            if promise.fingerprint == fingerprint {
                own = Some(at);
                break;
            }
            if gone.is_none() && promise.amount == amount && promise.due + GONE <= now {
                gone = Some(at);
            }
        }
        let taken = own.or(gone).and_then(|at| promises.remove(at)).is_some();
        if promises.is_empty() {
            self.0.remove(&customer);
        }
        taken
    }
}
