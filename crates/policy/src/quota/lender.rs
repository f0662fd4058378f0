//! To which entry this entry has lent its share of each partition.

use super::{EntryKey, PARTITIONS, Partition, RENEWALS_PER_TERM};
use crate::Time;
use std::time::Duration;

/// A return of a share that this entry requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// The entry that holds the share.
    pub holder: EntryKey,
    /// When the last renewal was sent to it, by this entry's clock. The request and its confirmation
    /// carry it, so that a late confirmation doesn't count for a later lease.
    pub sent: Time,
}

/// The holder of this entry's share, by partition.
#[derive(Debug)]
pub struct Lender {
    own: EntryKey,
    entries: usize,
}

impl Lender {
    /// Creates a lender that has lent nothing and has no share yet. The first observation counts as
    /// the start of the process.
    pub fn new(own: EntryKey) -> Self {
        Self { own, entries: 1 }
    }

    /// Records the number of entries that this one knows, itself and dead ones included, and for how
    /// long this view has been unchanged. `count` is 0 while an entry with seeds knows no other.
    pub fn observe_entries(&mut self, count: usize, unchanged: Duration, now: Time) {
        let _ = (unchanged, now);
        self.entries = count;
    }

    /// Records the number of entries that another entry counts, from its answers. An entry that
    /// restarts within a partition learns from it of entries that it has never reached.
    pub fn observe_peer_count(&mut self, count: usize, now: Time) {
        let _ = (count, now);
    }

    /// Records that so many entries stopped as planned, after they had returned what they held.
    pub fn observe_departures(&mut self, departed: usize, now: Time) {
        let _ = (departed, now);
    }

    /// Returns the number of entries by which the limits are divided, at least 1.
    pub fn entries(&self, now: Time) -> usize {
        let _ = now;
        self.entries.max(1)
    }

    /// Returns the share of each limit that this entry may lend: 0 until its view of the entries has
    /// settled and a lease of its previous process has ended.
    pub fn share(&self, now: Time) -> f64 {
        let _ = now;
        0.0
    }

    /// Returns the term of the leases.
    pub fn term(&self, now: Time) -> Duration {
        super::term(self.entries(now))
    }

    /// Returns how often leases are renewed.
    pub fn interval(&self, now: Time) -> Duration {
        self.term(now) / RENEWALS_PER_TERM
    }

    /// Returns the entry to lend to and to ask: the first of the candidates that is not silent, once
    /// no other entry holds the share; the own key for this entry itself; none if there is no holder
    /// yet. Without candidates, this entry coordinates its own share.
    pub fn holder(
        &mut self,
        partition: Partition,
        candidates: &[EntryKey],
        now: Time,
    ) -> Option<EntryKey> {
        let _ = (partition, candidates, now, PARTITIONS);
        Some(self.own)
    }

    /// Records that a renewal, or a request for tokens that renews, is sent to a holder. Must be
    /// called before it is sent, and only with what [`Self::holder`] has just returned.
    pub fn record_sent(&mut self, partition: Partition, holder: EntryKey, now: Time) {
        let _ = (partition, holder, now);
    }

    /// Returns the return to request, once per renewal interval or earlier, while a previous holder
    /// keeps another one from being used.
    pub fn pending_return(&self, partition: Partition, now: Time) -> Option<Return> {
        let _ = (partition, now);
        None
    }

    /// Records that a holder confirmed the return of the share.
    pub fn returned(&mut self, partition: Partition, confirmed: Return) {
        let _ = (partition, confirmed);
    }

    /// Records that a holder doesn't answer. It gets no share for some time, and the next candidate
    /// gets it once the lease has ended.
    pub fn silent(&mut self, partition: Partition, holder: EntryKey, now: Time) {
        let _ = (partition, holder, now);
    }

    /// Returns when the present lease ends if it is not renewed; none if nothing is lent.
    pub fn lease_end(&self, partition: Partition) -> Option<Time> {
        let _ = partition;
        None
    }
}
