//! The records as they stand in the log, in `prost` messages.
//!
//! A field is never reused for another meaning. A reader that meets a newer [`RECORD_VERSION`]
//! says so and stops there rather than skip what it does not understand.

use crate::{Error, Result};
use bytes::Bytes;
use compact_str::format_compact;
use plat::Offset;
use prost::Message;

/// The newest version of records that this code reads and the one that it writes.
pub const RECORD_VERSION: u32 = 1;

/// One record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// The version of the record's layout.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// A random id, with which a writer finds its record after a lost reply.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// The process or operator that wrote it.
    #[prost(string, tag = "3")]
    pub author: String,
    /// When it was written by the author's clock, in Unix milliseconds; for people only.
    #[prost(uint64, tag = "4")]
    pub written_ms: u64,
    /// What it says.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub body: Option<Body>,
}

/// All kinds of records.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A change of a resource.
    #[prost(message, tag = "10")]
    Change(Change),
    /// A claim of authority.
    #[prost(message, tag = "11")]
    Claim(Claim),
    /// A holder's sign of life.
    #[prost(message, tag = "12")]
    Renewal(Renewal),
    /// An order to an engine.
    #[prost(message, tag = "13")]
    Order(Order),
    /// What became of an order.
    #[prost(message, tag = "14")]
    OrderOutcome(OrderOutcome),
    /// A call that may not be repeated is about to be dispatched.
    #[prost(message, tag = "15")]
    Intent(Intent),
    /// The recorded answer to such a call.
    #[prost(message, tag = "16")]
    Answer(Answer),
    /// A request was running when its target crashed.
    #[prost(message, tag = "17")]
    Suspicion(Suspicion),
    /// The state of the stream up to an offset.
    #[prost(message, tag = "18")]
    Checkpoint(Checkpoint),
}

/// A change of a resource.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    /// The resource's kind, by name.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// The resource's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The new spec as JSON, or none to delete the resource.
    #[prost(string, optional, tag = "3")]
    pub spec: Option<String>,
    /// The generation that the operator saw, 0 for a new resource; none takes any.
    #[prost(uint64, optional, tag = "4")]
    pub expects: Option<u64>,
}

/// A claim of authority over a scope, such as `planner/sofia` or `target/engine-1`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// The scope.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Offset of the holder's last record in this scope that the claimant saw; none if the
    /// scope was free. The claim is valid only if it still is the holder's last record.
    #[prost(uint64, optional, tag = "2")]
    pub supersedes: Option<Offset>,
    /// The claimant process's incarnation, so that a restarted process is another holder.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// How long after its last record the holder promises to act on it no more, in
    /// milliseconds. Decides only when others try to claim.
    #[prost(uint64, tag = "4")]
    pub lease_ms: u64,
}

/// A holder's sign of life.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Renewal {
    /// The scope.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Offset of the holder's claim.
    #[prost(uint64, tag = "2")]
    pub claim: Offset,
    /// Whether the holder gives the scope up.
    #[prost(bool, tag = "3")]
    pub release: bool,
}

/// An order to an engine; its own offset is its fencing number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Order {
    /// The author's scope, `planner/POOL`.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Offset of the author's claim.
    #[prost(uint64, tag = "2")]
    pub claim: Offset,
    /// The target.
    #[prost(string, tag = "3")]
    pub target: String,
    /// What to do.
    #[prost(oneof = "OrderKind", tags = "10, 11, 12")]
    pub kind: Option<OrderKind>,
}

/// All kinds of orders.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum OrderKind {
    /// Change the role to the one named.
    #[prost(string, tag = "10")]
    SetRole(String),
    /// Load weights.
    #[prost(message, tag = "11")]
    Load(Load),
    /// Stop serving the name.
    #[prost(string, tag = "12")]
    Unload(String),
}

/// Loads weights and serves them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The name under which they are served.
    #[prost(string, tag = "1")]
    pub serve: String,
    /// Their name in the weight store.
    #[prost(string, tag = "2")]
    pub artifact: String,
}

/// What became of an order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderOutcome {
    /// The order's offset.
    #[prost(uint64, tag = "1")]
    pub order: Offset,
    /// The target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Empty if it is in force, or why it isn't.
    #[prost(string, tag = "3")]
    pub failure: String,
}

/// A call that may not be repeated is about to be dispatched.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Intent {
    /// Hash of service, caller and idempotency key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Hash of the call's method, path and body, to refuse the key's reuse for another call.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// The author's scope, `target/NAME`.
    #[prost(string, tag = "3")]
    pub scope: String,
    /// Offset of the author's claim.
    #[prost(uint64, tag = "4")]
    pub claim: Offset,
}

/// The recorded answer to a call that may not be repeated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The intent's offset.
    #[prost(uint64, tag = "1")]
    pub intent: Offset,
    /// The HTTP status, or 0 if the outcome is and stays unknown.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The response's headers, as `name: value` lines.
    #[prost(string, repeated, tag = "3")]
    pub headers: Vec<String>,
    /// The response's body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Whether the body was too long to be recorded.
    #[prost(bool, tag = "5")]
    pub body_left_out: bool,
    /// Whether the target was never reached, so that the key is free again.
    #[prost(bool, tag = "6")]
    pub not_run: bool,
    /// Offset of the author's claim. Only under the intent's own claim may an answer say that
    /// the call was answered or never run; a later holder may only say that nobody knows.
    #[prost(uint64, tag = "7")]
    pub claim: Offset,
}

/// A request was running when its target crashed, or is cleared of that.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspicion {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The target that crashed.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The target's incarnation that crashed, so that one crash counts once.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Whether it ran alone there.
    #[prost(bool, tag = "4")]
    pub alone: bool,
    /// Whether it has since run to its end, which clears it.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

/// The state of a stream up to an offset, or one part of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Checkpoint {
    /// The offset of the first record that is not in the state.
    #[prost(uint64, tag = "1")]
    pub end: Offset,
    /// The encoded state, or this part of it.
    #[prost(bytes = "bytes", tag = "2")]
    pub state: Bytes,
    /// SHA-256 of the whole encoded state, to meet a torn one.
    #[prost(bytes = "bytes", tag = "3")]
    pub sha256: Bytes,
    /// Which part this is, from 0.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// How many parts there are; 0 and 1 both mean that this is the whole.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// The version of the state's layout.
    #[prost(uint32, tag = "6")]
    pub state_version: u32,
}

impl Record {
    /// Makes a record of the current version.
    pub fn new(id: u64, author: &str, written_ms: u64, body: Body) -> Self {
        let author = author.to_owned();
        Self { version: RECORD_VERSION, id, author, written_ms, body: Some(body) }
    }

    /// Reads the record that stands at `offset` of `stream`.
    pub fn read(stream: &str, offset: Offset, bytes: &[u8]) -> Result<Self> {
        let unreadable = |detail| Error::Unreadable { stream: stream.into(), offset, detail };
        let record = Self::decode(bytes).map_err(|error| unreadable(format_compact!("{error}")))?;
        if record.version > RECORD_VERSION {
            let version = record.version;
            return Err(unreadable(format_compact!("written by a newer version, {version}")));
        }
        Ok(record)
    }

    /// The record as it is appended.
    pub fn bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }
}
