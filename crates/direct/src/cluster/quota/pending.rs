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

/// For how long after the time that it was told a caller is expected.
const LATE: Duration = Duration::from_secs(1);

/// Callers that were told to retry, by customer and request, with the time.
#[derive(Debug, Default)]
pub(super) struct Promised {
    due: HashMap<(CustomerKey, Fingerprint), Time>,
    /// In the order in which they were refused.
    order: VecDeque<(Time, (CustomerKey, Fingerprint))>,
}

impl Promised {
    /// Records that a caller was told to retry at a time.
    pub(super) fn insert(&mut self, caller: (CustomerKey, Fingerprint), due: Time, now: Time) {
        while let Some((at, key)) = self.order.front().filter(|(at, _)| *at + LATE < now) {
            if self.due.get(key) == Some(at) {
                self.due.remove(key);
            }
            self.order.pop_front();
        }
        self.due.insert(caller, due);
        self.order.push_back((due, caller));
    }

    /// Forgets a caller whose time has come; returns whether it was told to retry.
    pub(super) fn remove_due(&mut self, caller: (CustomerKey, Fingerprint), now: Time) -> bool {
        let is_due = self.due.get(&caller).is_some_and(|due| *due <= now + EARLY);
        if is_due {
            self.due.remove(&caller);
        }
        is_due
    }
}
