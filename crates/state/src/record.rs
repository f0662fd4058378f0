//! The records in the log, as `prost` messages.
//!
//! A field is never reused with another meaning. A reader that finds a newer [`RECORD_VERSION`]
//! reports it and stops there instead of skipping the record.

use crate::{Error, Result};
use bytes::Bytes;
use compact_str::format_compact;
use plat::Offset;
use prost::Message;

/// The version of the records that this code writes, and the newest that it reads.
pub const RECORD_VERSION: u32 = 1;

/// One record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// The version of the record's layout.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// A random id, by which the writer finds its record after a lost reply.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// The process or operator that wrote it.
    #[prost(string, tag = "3")]
    pub author: String,
    /// When it was written, by the author's clock, in Unix milliseconds; only for display.
    #[prost(uint64, tag = "4")]
    pub written_ms: u64,
    /// The content.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub body: Option<Body>,
}

/// The kinds of records.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A change of a resource.
    #[prost(message, tag = "10")]
    Change(Change),
    /// A claim of a scope.
    #[prost(message, tag = "11")]
    Claim(Claim),
    /// A renewal or release of a claim.
    #[prost(message, tag = "12")]
    Renewal(Renewal),
    /// An order for an engine.
    #[prost(message, tag = "13")]
    Order(Order),
    /// The outcome of an order.
    #[prost(message, tag = "14")]
    OrderOutcome(OrderOutcome),
    /// The intent to dispatch a call that may not be repeated.
    #[prost(message, tag = "15")]
    Intent(Intent),
    /// The outcome of such a call.
    #[prost(message, tag = "16")]
    Answer(Answer),
    /// A crash of a target while a request was running.
    #[prost(message, tag = "17")]
    Suspicion(Suspicion),
    /// A checkpoint of the stream.
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
    /// The new spec as JSON; `None` deletes the resource.
    #[prost(string, optional, tag = "3")]
    pub spec: Option<String>,
    /// The generation that the operator has read, 0 for a new resource; `None` for any.
    #[prost(uint64, optional, tag = "4")]
    pub expects: Option<u64>,
}

/// A claim of a scope, such as `planner/sofia` or `target/engine-1`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// The scope.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Offset of the holder's last record in this scope that the claimant has read; `None` if the
    /// scope was free. The claim is valid only if that is still the holder's last record.
    #[prost(uint64, optional, tag = "2")]
    pub supersedes: Option<Offset>,
    /// The claimant process's incarnation, so that a restarted process is another holder.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The lease in milliseconds: how long after its last record the holder may act under the
    /// claim. It determines only when others try to claim the scope.
    #[prost(uint64, tag = "4")]
    pub lease_ms: u64,
}

/// A renewal or release of a claim.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Renewal {
    /// The scope.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Offset of the holder's claim.
    #[prost(uint64, tag = "2")]
    pub claim: Offset,
    /// Whether the holder releases the scope.
    #[prost(bool, tag = "3")]
    pub release: bool,
}

/// An order for an engine; its own offset is its fencing token.
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
    /// The action.
    #[prost(oneof = "OrderKind", tags = "10, 11, 12")]
    pub kind: Option<OrderKind>,
}

/// The kinds of orders.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum OrderKind {
    /// Change to the given role.
    #[prost(string, tag = "10")]
    SetRole(String),
    /// Load weights and serve them.
    #[prost(message, tag = "11")]
    Load(Load),
    /// Stop serving the given name.
    #[prost(string, tag = "12")]
    Unload(String),
}

/// The weights to load.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The name under which they are served.
    #[prost(string, tag = "1")]
    pub serve: String,
    /// Their name in the weight store.
    #[prost(string, tag = "2")]
    pub artifact: String,
}

/// The outcome of an order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderOutcome {
    /// The order's offset.
    #[prost(uint64, tag = "1")]
    pub order: Offset,
    /// The target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Why the order is not in effect; empty if it is.
    #[prost(string, tag = "3")]
    pub failure: String,
}

/// The intent to dispatch a call that may not be repeated.
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

/// The outcome of a call that may not be repeated, with the answer if there is one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The intent's offset.
    #[prost(uint64, tag = "1")]
    pub intent: Offset,
    /// The HTTP status; 0 if the outcome is unknown and will remain so.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The response's headers, as `name: value` lines.
    #[prost(string, repeated, tag = "3")]
    pub headers: Vec<String>,
    /// The response's body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Whether the body was omitted because it was too long.
    #[prost(bool, tag = "5")]
    pub body_left_out: bool,
    /// Whether the call has not reached the target, so that the key may be used again.
    #[prost(bool, tag = "6")]
    pub not_run: bool,
    /// Offset of the author's claim. Only under the claim of the intent can a call be recorded as
    /// answered or not run; a later holder can only record the outcome as unknown.
    #[prost(uint64, tag = "7")]
    pub claim: Offset,
}

/// A crash of a target while a request was running, or the clearing of that request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspicion {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The target that crashed.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The incarnation of the target that crashed, so that a crash is counted once.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Whether the request ran alone on the target.
    #[prost(bool, tag = "4")]
    pub alone: bool,
    /// Whether the request has since run to completion, which clears it.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

/// A checkpoint, or one part of it: the state of a stream up to an offset.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Checkpoint {
    /// The offset of the first record that is not in the state.
    #[prost(uint64, tag = "1")]
    pub end: Offset,
    /// The encoded state, or this part of it.
    #[prost(bytes = "bytes", tag = "2")]
    pub state: Bytes,
    /// SHA-256 of the whole encoded state, to detect a corrupt one.
    #[prost(bytes = "bytes", tag = "3")]
    pub sha256: Bytes,
    /// The index of this part, from 0.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// The number of parts; 0 and 1 both mean that this is the only one.
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

    /// Decodes the record at `offset` of `stream`.
    pub fn read(stream: &str, offset: Offset, bytes: &[u8]) -> Result<Self> {
        let unreadable = |detail| Error::Unreadable { stream: stream.into(), offset, detail };
        let record = Self::decode(bytes).map_err(|error| unreadable(format_compact!("{error}")))?;
        if record.version > RECORD_VERSION {
            let version = record.version;
            return Err(unreadable(format_compact!("written by a newer version, {version}")));
        }
        Ok(record)
    }

    /// Encodes the record.
    pub fn bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }
}
