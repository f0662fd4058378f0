//! What requests need of a customer's limit, what is decided on it, and what is due then.

use crate::cluster::messages::{QuotaRenewal, QuotaRequest, QuotaReturn};
use crate::cluster::suspects::Fingerprint;
use policy::quota::{CustomerKey, EntryKey, Limit, Stamp};
use std::time::Duration;
use tokio::sync::oneshot;

/// What a caller's request needs.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerKey,
    /// Its limit.
    pub limit: Limit,
    /// What the request costs.
    pub amount: f64,
    /// How long the caller would wait before it retries.
    pub max_wait: Duration,
    /// Whether the caller retries after a refusal.
    pub returning: bool,
    /// Identifies the request over all attempts of its caller.
    pub fingerprint: Fingerprint,
}

/// Tokens that were taken for a request.
#[derive(Debug, Clone, Copy)]
pub struct Taken {
    /// The customer.
    pub customer: CustomerKey,
    /// The tokens.
    pub amount: f64,
    /// The entry that granted them.
    pub holder: EntryKey,
    /// The newest stamp of that entry by then.
    pub granted: Stamp,
    /// Whether they were granted ahead of use.
    pub ahead: bool,
}

/// The decision of a holder.
#[derive(Debug, Clone, Copy)]
pub enum Verdict {
    /// The request may run.
    Taken(Taken),
    /// The customer is beyond its limit.
    Refused {
        /// When the tokens will be available.
        retry_after: Duration,
        /// Whether they are reserved for the caller then.
        reserved: bool,
    },
    /// The holder has no shares yet.
    NotReady,
}

/// The next step towards the tokens of a request.
#[derive(Debug)]
pub enum Step {
    /// This entry coordinates the customer and has decided.
    Decided(Verdict),
    /// A holder has to be asked.
    Ask {
        /// The holder.
        holder: EntryKey,
        /// The message.
        message: QuotaRequest,
        /// Resolves to the decision.
        verdict: oneshot::Receiver<Verdict>,
    },
    /// There is no holder yet; with the time after which to try again.
    NoHolder(Duration),
}

/// What follows from a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Followup {
    /// Nothing.
    Nothing,
    /// The renewal is to be repeated, now that there is a stamp to echo.
    Repeat,
    /// The holder stops, or no longer does: leases are to be moved.
    NewHolder,
}

/// Messages that are due, by recipient.
#[derive(Debug, Default)]
pub struct Due {
    /// Renewals of leases.
    pub renewals: Vec<(EntryKey, QuotaRenewal)>,
    /// Requests to return leases.
    pub returns: Vec<(EntryKey, QuotaReturn)>,
}

/// Counts of changes since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Leases to this entry that began.
    pub gained: u64,
    /// Leases that were returned at the lender's request.
    pub lost: u64,
    /// Leases that ended without a renewal.
    pub expired: u64,
    /// Tokens that this entry granted as a coordinator, those ahead of use included.
    pub granted: f64,
    /// Tokens that were taken for requests at this entry.
    pub used: f64,
    /// Tokens of requests that no target ran.
    pub refunded: f64,
    /// Tokens granted ahead of use that were given back.
    pub unspent: f64,
}
