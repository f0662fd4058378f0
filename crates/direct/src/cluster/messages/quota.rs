//! The datagrams in which entries exchange leases and tokens of customers' limits, see
//! [`crate::exchange::quota`].

use policy::quota::{self, Answer};
use policy::reservations::ReservationId;
use prost::Message;
use std::time::Duration;

/// A reading of the clock of one process, see [`quota::Stamp`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stamp {
    /// The process.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// Microseconds of its clock.
    #[prost(uint64, tag = "2")]
    pub at_us: u64,
}

impl Stamp {
    /// Encodes a stamp. It is rounded down, so that a lease ends too early rather than too late.
    pub fn new(stamp: quota::Stamp) -> Self {
        Self { life: stamp.life, at_us: micros(stamp.at) }
    }

    /// Decodes the stamp.
    pub fn decode(&self) -> quota::Stamp {
        quota::Stamp { life: self.life, at: Duration::from_micros(self.at_us) }
    }
}

/// Returns a span in microseconds.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The lease of one entry's share of some partitions to the recipient.
#[derive(Clone, PartialEq, Message)]
pub struct ShareLease {
    /// The entry that lends its share.
    #[prost(fixed64, tag = "1")]
    pub lender: u64,
    /// The entry that it is lent to; any other one ignores the message.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The partitions.
    #[prost(uint32, repeated, tag = "3")]
    pub partitions: Vec<u32>,
    /// The share of each of them.
    #[prost(double, tag = "4")]
    pub share: f64,
    /// The term in microseconds.
    #[prost(uint64, tag = "5")]
    pub term_us: u64,
    /// The newest stamp that the lender has of the holder, from which the term counts.
    #[prost(message, optional, tag = "6")]
    pub echoed: Option<Stamp>,
}

/// The limit of a customer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CustomerLimit {
    /// The hash of the customer's name.
    #[prost(fixed64, tag = "1")]
    pub customer: u64,
    /// Tokens or requests per second.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// Tokens or requests at once.
    #[prost(double, tag = "3")]
    pub burst: f64,
    /// The version of the configuration that holds the limit.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// A request for tokens of a customer.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaRequest {
    /// The id by which the response is matched and duplicates are recognized.
    #[prost(fixed64, tag = "1")]
    pub id: ReservationId,
    /// The lease of the customer's partition.
    #[prost(message, optional, tag = "2")]
    pub lease: Option<ShareLease>,
    /// The customer's limit, as the requester knows it.
    #[prost(message, optional, tag = "3")]
    pub limit: Option<CustomerLimit>,
    /// The tokens that the caller's request costs.
    #[prost(double, tag = "4")]
    pub amount: f64,
    /// Tokens requested ahead of use.
    #[prost(double, tag = "5")]
    pub ahead: f64,
    /// Tokens granted ahead of use that are given back.
    #[prost(double, tag = "6")]
    pub returned: f64,
    /// How long the caller would wait before it retries, in microseconds.
    #[prost(uint64, tag = "7")]
    pub max_wait_us: u64,
    /// Whether the caller retries after a refusal.
    #[prost(bool, tag = "8")]
    pub returning: bool,
    /// Identifies the caller's request over all its attempts.
    #[prost(fixed64, tag = "9")]
    pub fingerprint: u64,
}

/// The response to a [`QuotaRequest`] or a [`QuotaRenewal`].
#[derive(Clone, PartialEq, Message)]
pub struct QuotaResponse {
    /// The id that the message carried.
    #[prost(fixed64, tag = "1")]
    pub id: ReservationId,
    /// The entry that responds.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Its clock.
    #[prost(message, optional, tag = "3")]
    pub stamp: Option<Stamp>,
    /// Whether the message lacked a stamp from which the term could count, so that nothing was lent:
    /// the renewal is to be repeated with this one.
    #[prost(bool, tag = "4")]
    pub not_lent: bool,
    /// The number of entries that the sender counts.
    #[prost(uint32, tag = "5")]
    pub entries: u32,
    /// The version of the limit by which the request was decided.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// The decision; none on a renewal.
    #[prost(oneof = "QuotaDecision", tags = "7, 8")]
    pub decision: Option<QuotaDecision>,
    /// Whether the sender stops, so that its leases are to be taken back.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Whether the sender has a share of the limits to lend.
    #[prost(bool, tag = "10")]
    pub ready: bool,
}

/// The decision on a request for tokens.
#[derive(Clone, Copy, PartialEq, prost::Oneof)]
pub enum QuotaDecision {
    /// The tokens are granted.
    #[prost(message, tag = "7")]
    Granted(QuotaGranted),
    /// The customer is beyond its limit.
    #[prost(message, tag = "8")]
    Refused(QuotaRefused),
}

/// A grant of tokens.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct QuotaGranted {
    /// Tokens granted ahead of use.
    #[prost(double, tag = "1")]
    pub ahead: f64,
}

/// A refusal of tokens.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct QuotaRefused {
    /// The time after which the tokens will be available, in microseconds.
    #[prost(uint64, tag = "1")]
    pub retry_after_us: u64,
    /// Whether they are reserved for the caller then.
    #[prost(bool, tag = "2")]
    pub reserved: bool,
}

impl QuotaDecision {
    /// Encodes an answer.
    pub fn new(answer: Answer) -> Self {
        match answer {
            Answer::Granted { ahead } => Self::Granted(QuotaGranted { ahead }),
            Answer::Refused { retry_after, reserved } => {
                Self::Refused(QuotaRefused { retry_after_us: micros(retry_after), reserved })
            }
        }
    }

    /// Decodes the answer.
    pub fn decode(&self) -> Answer {
        match self {
            Self::Granted(QuotaGranted { ahead }) => Answer::Granted { ahead: *ahead },
            Self::Refused(QuotaRefused { retry_after_us, reserved }) => {
                let retry_after = Duration::from_micros(*retry_after_us);
                Answer::Refused { retry_after, reserved: *reserved }
            }
        }
    }
}

/// The renewal of leases to the recipient, and tokens that are given back to it.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaRenewal {
    /// The id that the response repeats.
    #[prost(fixed64, tag = "1")]
    pub id: ReservationId,
    /// The leases.
    #[prost(message, optional, tag = "2")]
    pub lease: Option<ShareLease>,
    /// Tokens granted ahead of use that were not used.
    #[prost(message, repeated, tag = "3")]
    pub unspent: Vec<UnspentTokens>,
    /// Tokens of requests that no target ran.
    #[prost(message, repeated, tag = "4")]
    pub refunds: Vec<RefundedTokens>,
}

/// Tokens granted ahead of use that were not used.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UnspentTokens {
    /// The id by which duplicates are recognized.
    #[prost(fixed64, tag = "1")]
    pub id: ReservationId,
    /// The customer's limit.
    #[prost(message, optional, tag = "2")]
    pub limit: Option<CustomerLimit>,
    /// The tokens.
    #[prost(double, tag = "3")]
    pub amount: f64,
}

/// Tokens of a request that no target ran.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RefundedTokens {
    /// The id by which duplicates are recognized.
    #[prost(fixed64, tag = "1")]
    pub id: ReservationId,
    /// The hash of the customer's name.
    #[prost(fixed64, tag = "2")]
    pub customer: u64,
    /// The tokens.
    #[prost(double, tag = "3")]
    pub amount: f64,
    /// The stamp of the recipient that the sender had when the tokens were taken.
    #[prost(message, optional, tag = "4")]
    pub granted: Option<Stamp>,
    /// Whether they were granted ahead of use.
    #[prost(bool, tag = "5")]
    pub ahead: bool,
}

/// A request to return leases, or its confirmation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaReturn {
    /// The entry that has lent its share.
    #[prost(fixed64, tag = "1")]
    pub lender: u64,
    /// The entry that holds it.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The partitions.
    #[prost(uint32, repeated, tag = "3")]
    pub partitions: Vec<u32>,
    /// When each lease was last renewed by the lender's clock, in nanoseconds.
    #[prost(uint64, repeated, tag = "4")]
    pub sent_ns: Vec<u64>,
    /// Whether the holder confirms that it no longer counts the shares.
    #[prost(bool, tag = "5")]
    pub confirmed: bool,
}
