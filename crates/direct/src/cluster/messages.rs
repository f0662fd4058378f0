//! The datagrams in which entries request engines and permits from coordinators, see
//! [`crate::request::prefill_placement`] and [`crate::cluster::coordinator`], forward what they
//! have read in the log, and exchange usage counts.
//!
//! They share a socket with [`crate::cluster::entry_state::EntryState`], whose fields have lower
//! tags: each decoder ignores the fields of the other type. Engines, targets and services are
//! identified by the lower half of their hashes; 0 identifies none.

mod crashes;
mod origins;
mod quota;
mod versions;

pub use crashes::{CompletionRow, CrashEvidence, RunRow, VerdictRow, Verdicts};
pub use origins::{OriginAnswer, OriginRequest, StreamOrigins};
pub use quota::{
    CustomerLimit, QuotaDecision, QuotaGranted, QuotaRefused, QuotaRenewal, QuotaRequest,
    QuotaResponse, QuotaReturn, RefundedTokens, ShareLease, Stamp, UnspentTokens, micros,
};
pub use versions::{Versions, VersionsHandover, VersionsRequest};

use crate::cluster::entry_state::StreamRead;
use crate::cluster::member_updates::MembershipMessage;
use crate::codec::Part;
use bytes::Bytes;
use policy::pacing;
use policy::promise::Promise;
use policy::reservations::ReservationId;
use prost::Message;
use std::time::Duration;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The message; none if the datagram is of another type or from a newer version.
    #[prost(
        oneof = "Payload",
        tags = "16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, \
                36, 37"
    )]
    pub payload: Option<Payload>,
}

/// The messages between entries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// Requests an engine that prefills a prompt.
    #[prost(message, tag = "16")]
    PrefillRequest(PrefillRequest),
    /// Responds to a request for an engine or a permit.
    #[prost(message, tag = "17")]
    Response(Response),
    /// Reports the outcome of a prompt.
    #[prost(message, tag = "18")]
    Report(Report),
    /// Sends records that were read in the log, see [`crate::exchange::dissemination`].
    #[prost(message, tag = "19")]
    LogRecords(LogRecords),
    /// Requests an engine that decodes a stream.
    #[prost(message, tag = "20")]
    DecodeRequest(DecodeRequest),
    /// Requests the configuration; earlier builds send it.
    #[prost(message, tag = "21")]
    ConfigRequest(ConfigRequest),
    /// Publishes usage counts of customers, see [`crate::cluster::usage`].
    #[prost(message, tag = "22")]
    UsageCounts(UsageCounts),
    /// Announces that a bill was written to the log, see [`crate::duty::billing`].
    #[prost(message, tag = "23")]
    BillingProgress(BillingProgress),
    /// Requests a permit to send to a target that named a limit, see [`crate::request::permits`].
    #[prost(message, tag = "24")]
    PermitRequest(PermitRequest),
    /// Publishes the limit that a target named.
    #[prost(message, tag = "25")]
    TargetLimit(TargetLimit),
    /// Exchanges which entries are alive, see [`crate::exchange::membership`].
    #[prost(message, tag = "26")]
    Membership(MembershipMessage),
    /// Requests records that the sender lacks, see [`crate::exchange::catch_up`].
    #[prost(message, tag = "27")]
    RecordsRequest(RecordsRequest),
    /// Requests tokens of a customer, and renews the lease of its partition, see
    /// [`crate::exchange::quota`].
    #[prost(message, tag = "28")]
    QuotaRequest(QuotaRequest),
    /// Responds to a request for tokens or to a renewal.
    #[prost(message, tag = "29")]
    QuotaResponse(QuotaResponse),
    /// Renews leases, and gives tokens back.
    #[prost(message, tag = "30")]
    QuotaRenewal(QuotaRenewal),
    /// Requests or confirms the return of leases.
    #[prost(message, tag = "31")]
    QuotaReturn(QuotaReturn),
    /// Tells at which versions streams began, see [`crate::exchange::origins`].
    #[prost(message, tag = "32")]
    StreamOrigins(StreamOrigins),
    /// Requests the version at which a stream began.
    #[prost(message, tag = "33")]
    OriginRequest(OriginRequest),
    /// Tells what was running when a target crashed, see [`crate::exchange::crashes`].
    #[prost(message, tag = "34")]
    CrashEvidence(CrashEvidence),
    /// Tells which requests are refused because they crash targets.
    #[prost(message, tag = "35")]
    Verdicts(Verdicts),
    /// Requests what is known of software versions, see [`crate::exchange::version_history`].
    #[prost(message, tag = "36")]
    VersionsRequest(VersionsRequest),
    /// Hands over what is known of software versions.
    #[prost(message, tag = "37")]
    VersionsHandover(VersionsHandover),
}

impl Payload {
    /// Returns whether the message tells what the sender has seen, and neither requests anything nor
    /// grants it. It holds even if the sender has left the membership.
    pub fn is_observation(&self) -> bool {
        match self {
            Self::Report(_)
            | Self::UsageCounts(_)
            | Self::BillingProgress(_)
            | Self::TargetLimit(_)
            | Self::StreamOrigins(_)
            | Self::CrashEvidence(_)
            | Self::VersionsHandover(_) => true,
            Self::PrefillRequest(_)
            | Self::Response(_)
            | Self::LogRecords(_)
            | Self::DecodeRequest(_)
            | Self::ConfigRequest(_)
            | Self::PermitRequest(_)
            | Self::Membership(_)
            | Self::RecordsRequest(_)
            | Self::QuotaRequest(_)
            | Self::QuotaResponse(_)
            | Self::QuotaRenewal(_)
            | Self::QuotaReturn(_)
            | Self::OriginRequest(_)
            | Self::Verdicts(_)
            | Self::VersionsRequest(_) => false,
        }
    }

    /// Returns the name of the message in metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::PrefillRequest(_) => "prefill-request",
            Self::Response(_) => "response",
            Self::Report(_) => "report",
            Self::LogRecords(_) => "records",
            Self::DecodeRequest(_) => "decode-request",
            Self::ConfigRequest(_) => "config-request",
            Self::UsageCounts(_) => "usage",
            Self::BillingProgress(_) => "billing",
            Self::PermitRequest(_) => "permit-request",
            Self::TargetLimit(_) => "limit",
            Self::Membership(_) => "membership",
            Self::RecordsRequest(_) => "records-request",
            Self::QuotaRequest(_) => "quota-request",
            Self::QuotaResponse(_) => "quota-response",
            Self::QuotaRenewal(_) => "quota-renewal",
            Self::QuotaReturn(_) => "quota-return",
            Self::StreamOrigins(_) => "origins",
            Self::OriginRequest(_) => "origin-request",
            Self::CrashEvidence(_) => "crash-evidence",
            Self::Verdicts(_) => "verdicts",
            Self::VersionsRequest(_) => "versions-request",
            Self::VersionsHandover(_) => "versions-handover",
        }
    }
}

/// A request for the records of a stream that changed something.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RecordsRequest {
    /// The stream, as its index in [`crate::cluster::tail::TOPICS`].
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The offset up to which the sender has the stream.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The block of which the sender has the first parts, and their number.
    #[prost(message, optional, tag = "3")]
    pub received: Option<ReceivedParts>,
    /// Whether the sender gets the whole list, instead of the changes.
    #[prost(bool, tag = "4")]
    pub whole: bool,
}

/// The first parts of a block that were received.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ReceivedParts {
    /// The hash of the block.
    #[prost(fixed64, tag = "1")]
    pub block: u64,
    /// The number of parts.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A request for the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// The offset up to which the sender has read the stream of the configuration.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// What one incarnation of an entry has counted in one window.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UsageCounts {
    /// The incarnation.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The window.
    #[prost(uint64, tag = "2")]
    pub window: u64,
    /// Customers, a column of the same length as `counts`.
    #[prost(string, repeated, tag = "3")]
    pub customers: Vec<String>,
    /// How many requests of each customer have begun to run.
    #[prost(uint64, repeated, tag = "4")]
    pub counts: Vec<u64>,
}

/// A record with bills that was written to the log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BillingProgress {
    /// The end of the stream after the record.
    #[prost(uint64, tag = "1")]
    pub stream_end: u64,
    /// The window after the last one in the record.
    #[prost(uint64, tag = "2")]
    pub next_window: u64,
}

/// A request for an engine of one group that prefills a prompt.
#[derive(Clone, PartialEq, Message)]
pub struct PrefillRequest {
    /// The id that the reservation will have.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The group.
    #[prost(fixed64, tag = "2")]
    pub group: u64,
    /// The service.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// The hash of the prompt's longest shared prefix.
    #[prost(fixed64, tag = "4")]
    pub prefix_hash: u64,
    /// The length of the whole prompt in tokens.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// What is left of the objective for the time to the first token, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub objective_ms: u32,
    /// Whether the objective has been missed already.
    #[prost(bool, tag = "7")]
    pub late: bool,
    /// The parts of the prompt.
    #[prost(message, optional, tag = "8")]
    pub parts: Option<Parts>,
    /// Engines that must not be chosen: they were tried, or the requester can't reach them.
    #[prost(fixed32, repeated, tag = "9")]
    pub avoid: Vec<u32>,
    /// Whether to choose among the engines that decode, instead of those that only prefill.
    #[prost(bool, tag = "10")]
    pub decode_engines: bool,
    /// An engine of another group that has a part of the prefix cached.
    #[prost(message, optional, tag = "11")]
    pub cached_prefix: Option<CachedPrefix>,
    /// The entry that sends the request.
    #[prost(message, optional, tag = "12")]
    pub requester: Option<Requester>,
    /// The maximum number of output tokens; 0 if unknown.
    #[prost(uint32, tag = "13")]
    pub output_tokens: u32,
    /// What the requester has learned that first pieces take beyond queue and prefill, in
    /// microseconds; none if it has learned nothing.
    #[prost(uint64, optional, tag = "20")]
    pub excess_us: Option<u64>,
    /// The objective before earlier requests and the network delay were deducted, in milliseconds; 0
    /// if nothing was.
    #[prost(uint32, tag = "14")]
    pub full_objective_ms: u32,
}

/// A request for an engine of one group that decodes a stream.
#[derive(Clone, PartialEq, Message)]
pub struct DecodeRequest {
    /// The id that the reservation will have.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The group.
    #[prost(fixed64, tag = "2")]
    pub group: u64,
    /// The service.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// The objective for the time to the first token, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub objective_ms: u32,
    /// Engines that must not be chosen.
    #[prost(fixed32, repeated, tag = "5")]
    pub avoid: Vec<u32>,
    /// The time after which the stream has certainly ended, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub ttl_ms: u32,
    /// The percentage of its slots up to which an engine may be filled.
    #[prost(uint32, tag = "7")]
    pub max_fill_percent: u32,
    /// The entry that sends the request.
    #[prost(message, optional, tag = "8")]
    pub requester: Option<Requester>,
    /// The longest gap between pieces that the route allows, in milliseconds; 0 if any.
    #[prost(uint32, tag = "9")]
    pub max_gap_ms: u32,
    /// The only software version that the engine may have; none if any.
    #[prost(fixed64, optional, tag = "10")]
    pub software: Option<u64>,
}

/// A request for a permit to send one request to a target.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitRequest {
    /// The id by which the response is matched.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The service.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// The target.
    #[prost(fixed32, tag = "3")]
    pub target: u32,
    /// The entry that sends the request.
    #[prost(message, optional, tag = "4")]
    pub requester: Option<Requester>,
    /// The limit that the requester last observed, if any.
    #[prost(message, optional, tag = "5")]
    pub limit: Option<TargetLimit>,
}

/// The entry that sends a request, and the priority of the caller's request behind it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Requester {
    /// The hash of the entry's name.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// The priority; 0 is the most urgent.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
}

impl Requester {
    /// Returns the requester of a permit; a priority out of range becomes the least urgent.
    pub fn to_pacing(&self) -> pacing::Requester {
        let priority = pacing::Priority::try_from(self.priority).unwrap_or(pacing::Priority::MAX);
        pacing::Requester { entry: self.entry, priority }
    }
}

/// The limit that a target named, or that it no longer names one.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TargetLimit {
    /// The service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The target.
    #[prost(fixed32, tag = "2")]
    pub target: u32,
    /// Requests per second; none if the target names no limit.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// How long ago the request was sent whose response named the limit, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub request_age_ms: u32,
    /// How long ago that response arrived, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub response_age_ms: u32,
}

/// The parts of a prompt in order, as columns of equal length.
#[derive(Clone, PartialEq, Message)]
pub struct Parts {
    /// Their ids.
    #[prost(fixed64, repeated, tag = "1")]
    pub ids: Vec<u64>,
    /// Their sizes in tokens.
    #[prost(uint32, repeated, tag = "2")]
    pub tokens: Vec<u32>,
}

/// An engine that has a part of a prompt's prefix cached.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CachedPrefix {
    /// The engine.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// The number of cached tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// The response to a request for an engine or a permit.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// The id that the request carried.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The coordinator's decision.
    #[prost(oneof = "Decision", tags = "2, 3, 4, 5, 6")]
    pub decision: Option<Decision>,
}

/// The decision on a request.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Decision {
    /// An engine was reserved.
    #[prost(message, tag = "2")]
    Granted(Granted),
    /// No engine of the group is free in time, or there is no permit.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// A permit was given.
    #[prost(message, tag = "4")]
    Permitted(Permitted),
    /// What is known of the origin of a stream.
    #[prost(message, tag = "5")]
    Origin(OriginAnswer),
    /// What is known of software versions.
    #[prost(message, tag = "6")]
    Versions(Versions),
}

/// A permit for one request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Permitted {}

/// A reservation at an engine.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Granted {
    /// The engine that prefills the prompt or decodes the stream.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// The engine from which it first copies the prompt's prefix.
    #[prost(fixed32, tag = "2")]
    pub copy_from: u32,
    /// Tokens to prefill.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Tokens that were queued there before the prompt.
    #[prost(uint64, tag = "4")]
    pub queued_tokens: u64,
    /// Whether the grant includes a permit, see [`crate::request::permits`].
    #[prost(bool, tag = "5")]
    pub permit: bool,
    /// What is promised to the caller, if its objective has not passed.
    #[prost(message, optional, tag = "10")]
    pub promise: Option<Promised>,
}

/// What is promised for a first piece, see [`policy::promise::Promise`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Promised {
    /// The queue and the prefill, in microseconds.
    #[prost(uint64, tag = "1")]
    pub prefill_us: u64,
    /// What was left for everything else, in microseconds.
    #[prost(uint64, tag = "2")]
    pub reserve_us: u64,
}

impl Promised {
    /// Encodes a promise.
    pub fn new(promise: Promise) -> Self {
        let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self { prefill_us: micros(promise.prefill), reserve_us: micros(promise.reserve) }
    }

    /// Decodes it.
    pub fn to_policy(self) -> Promise {
        let [prefill, reserve] = [self.prefill_us, self.reserve_us].map(Duration::from_micros);
        Promise { prefill, reserve }
    }
}

/// A refusal by a group without a free engine or permit.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// The time after which a request can succeed, in microseconds.
    #[prost(uint64, tag = "1")]
    pub retry_after_us: u64,
    /// The engine of the group that has most of the prompt's prefix cached.
    #[prost(message, optional, tag = "2")]
    pub cached_prefix: Option<CachedPrefix>,
    /// Whether one of the group's decode engines could prefill the prompt in time.
    #[prost(bool, tag = "3")]
    pub decode_engine: bool,
}

/// The outcome of a prompt, for the coordinators of the engine's group.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// The reservation that ends; 0 if there was none.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The engine.
    #[prost(fixed32, tag = "2")]
    pub engine: u32,
    /// Parts that the engine now has cached.
    #[prost(message, optional, tag = "3")]
    pub cached: Option<Parts>,
    /// Whether the engine was unreachable or its connection broke.
    #[prost(bool, tag = "4")]
    pub failed: bool,
    /// The transfer of KV cache to the engine from another one.
    #[prost(message, optional, tag = "5")]
    pub transfer: Option<Transfer>,
}

/// A transfer of KV cache.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Transfer {
    /// The engine that sent the KV cache.
    #[prost(fixed32, tag = "1")]
    pub source: u32,
    /// The time that the transfer took, including the first decode step, in microseconds.
    #[prost(uint64, tag = "2")]
    pub duration_us: u64,
}

/// All records within a span of a stream of the log that changed something.
#[derive(Clone, PartialEq, Message)]
pub struct LogRecords {
    /// The stream, as its index in [`crate::cluster::tail::TOPICS`].
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The start of the span: an entry that has read up to here misses only these records.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// The records, in order.
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<LogRecord>,
    /// Whether calls to the log have recently failed for the entry that read the records.
    #[prost(bool, tag = "4")]
    pub log_degraded: bool,
    /// The end of the span; 0 if it is the end of the last record.
    #[prost(uint64, tag = "5")]
    pub end: u64,
    /// What the sender tells about the stream.
    #[prost(message, optional, tag = "6")]
    pub status: Option<StreamRead>,
    /// The hash of the sender's name; 0 if unknown.
    #[prost(fixed64, tag = "7")]
    pub sender: u64,
    /// The range of entries to which the recipient passes the records on.
    #[prost(message, optional, tag = "8")]
    pub range: Option<KeyRange>,
    /// To how many entries each recipient passes the records on.
    #[prost(uint32, tag = "9")]
    pub fan_out: u32,
    /// A part of a block that holds the records, if they don't fit into one datagram.
    #[prost(message, optional, tag = "10")]
    pub part: Option<BlockPart>,
    /// Whether the records belong to a whole list, which doesn't tell what was removed.
    #[prost(bool, tag = "11")]
    pub whole: bool,
    /// Whether this only announces that the sender reads the whole list. Earlier builds see a span
    /// without records.
    #[prost(bool, tag = "12")]
    pub reads_list: bool,
}

/// A part of a compressed [`RecordBlock`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BlockPart {
    /// The hash of the block.
    #[prost(fixed64, tag = "1")]
    pub block: u64,
    /// The index of the part.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// The number of parts.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// The bytes of the part.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Records that are compressed together.
#[derive(Clone, PartialEq, Message)]
pub struct RecordBlock {
    /// The records, in order.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<LogRecord>,
}

/// A range of positions, see [`policy::dissemination`], both ends included.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct KeyRange {
    /// Where the range begins.
    #[prost(fixed64, tag = "1")]
    pub first: u64,
    /// Where it ends; below the first if the range wraps around.
    #[prost(fixed64, tag = "2")]
    pub last: u64,
}

/// One record of the log.
#[derive(Clone, PartialEq, Message)]
pub struct LogRecord {
    /// Its offset in the stream.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Its key; empty in a stream without keys.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Its value; none if the key was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

impl Parts {
    /// Encodes the parts of a prompt.
    pub fn new(parts: &[Part]) -> Self {
        let (ids, tokens) = parts.iter().map(|part| (part.id, part.tokens)).unzip();
        Self { ids, tokens }
    }

    /// Decodes the parts. Columns of different lengths are cut to the shortest.
    pub fn rows(&self) -> Vec<Part> {
        let rows = self.ids.iter().zip(&self.tokens);
        rows.map(|(&id, &tokens)| Part { id, tokens }).collect()
    }
}
