//! The shares that are lent to this entry, and the buckets of customers that they fill.

use super::{Bounds, CustomerKey, EntryKey, Life, Limit, Partition, RequestId, Stamp};
use crate::Time;
use std::time::Duration;

/// A request for tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The entry that asks.
    pub entry: EntryKey,
    /// Identifies the request: a duplicate gets the same answer and costs nothing.
    pub id: RequestId,
    /// The latest stamp that the entry has from this coordinator. Without a recent one, `returned`
    /// is ignored, since a late datagram would return the tokens twice.
    pub echoed: Option<Stamp>,
    /// The customer.
    pub customer: CustomerKey,
    /// The limit as the entry knows it.
    pub limit: Limit,
    /// What the request costs; 0 to return tokens only.
    pub amount: f64,
    /// Tokens wanted ahead of use.
    pub ahead: f64,
    /// Unused tokens that were granted ahead.
    pub returned: f64,
    /// How long the caller can wait before it retries.
    pub max_wait: Duration,
    /// Whether the caller retries after a refusal, and so may use what is reserved for it.
    pub returning: bool,
}

/// What a coordinator answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// The request may run.
    Granted {
        /// Tokens granted ahead of use, valid for one term from when the request for tokens was
        /// sent, under [`Coordinator::version`].
        ahead: f64,
    },
    /// The request must not run.
    Refused {
        /// When the amount will be available, if it is reserved or nobody else requests it.
        retry_after: Duration,
        /// Whether the amount is reserved for a retry at that time.
        reserved: bool,
    },
}

/// Tokens of a request that no target ran.
#[derive(Debug, Clone, PartialEq)]
pub struct Refund {
    /// The entry that gives back.
    pub entry: EntryKey,
    /// Identifies the refund, so that a duplicate has no effect.
    pub id: RequestId,
    /// The latest stamp that the entry had from this coordinator when it took the tokens.
    pub granted: Stamp,
    /// The customer.
    pub customer: CustomerKey,
    /// The amount that was not used.
    pub amount: f64,
}

/// The shares lent to this entry, and the buckets of the customers that it coordinates.
#[derive(Debug)]
pub struct Coordinator {
    bounds: Bounds,
    life: Life,
}

impl Coordinator {
    /// Creates a coordinator without shares. `life` is random or otherwise unique per process.
    pub fn new(bounds: Bounds, life: Life) -> Self {
        Self { bounds, life }
    }

    /// Records that a lender lends its share of a partition, or renews the lease. The lease ends one
    /// term after the echoed stamp; without a stamp of this process, nothing is lent yet. Returns
    /// the stamp for the lender to echo.
    pub fn lend(
        &mut self,
        partition: Partition,
        lender: EntryKey,
        share: f64,
        term: Duration,
        echoed: Option<Stamp>,
        now: Time,
    ) -> Stamp {
        let _ = (partition, lender, share, term, echoed, self.bounds);
        Stamp { life: self.life, at: now }
    }

    /// Ends the lease of a lender. Renewals that were sent before have no effect after this.
    pub fn give_back_share(&mut self, partition: Partition, lender: EntryKey, now: Time) {
        let _ = (partition, lender, now);
    }

    /// Decides on a request for tokens. `entries` is the number of entries that this one knows.
    pub fn ask(&mut self, ask: &Ask, entries: usize, now: Time) -> Answer {
        let _ = (ask, entries, now);
        Answer::Refused { retry_after: Duration::ZERO, reserved: false }
    }

    /// Returns the version of the limit by which requests of a customer are decided.
    pub fn version(&self, customer: CustomerKey) -> Option<super::ConfigVersion> {
        let _ = customer;
        None
    }

    /// Takes back tokens that were granted and not used, unless they were granted too long ago.
    pub fn refund(&mut self, refund: &Refund, now: Time) {
        let _ = (refund, now);
    }

    /// Returns the fraction of all limits of a partition that this entry may grant, from 0 to 1.
    pub fn fraction(&self, partition: Partition, now: Time) -> f64 {
        let _ = (partition, now);
        0.0
    }

    /// Returns the number of customers that state is kept for.
    pub fn customers(&self) -> usize {
        0
    }
}
