//! The datagrams by which an entry asks another to have a prompt read, see [`crate::request::prefill_placement`] and
//! [`crate::cluster::coordinator`], and by which it passes on what it has read in the log.
//!
//! They share a socket with [`crate::cluster::entry_state::EntryState`], whose fields have lower tags: each reader
//! leaves the other's fields alone. Engines and services are named by the lower half of their hashes;
//! 0 names none.

use crate::codec::Part;
use policy::pacing;
use policy::reservations::ReservationId;
use prost::Message;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// What it says.
    #[prost(oneof = "Payload", tags = "16, 17, 18, 19, 20, 21, 22, 23, 24, 25")]
    pub payload: Option<Payload>,
}

/// What an entry says about a prompt, or about the log.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// It asks for an engine that reads one.
    #[prost(message, tag = "16")]
    PrefillRequest(PrefillRequest),
    /// It answers that.
    #[prost(message, tag = "17")]
    Response(Response),
    /// It tells what became of one.
    #[prost(message, tag = "18")]
    Report(Report),
    /// It passes on what it has read in the log, see [`crate::exchange::broadcast`].
    #[prost(message, tag = "19")]
    News(News),
    /// It asks for an engine that writes an output.
    #[prost(message, tag = "20")]
    DecodeRequest(DecodeRequest),
    /// It can't read the log and asks for the configuration, see [`crate::exchange::broadcast`].
    #[prost(message, tag = "21")]
    Lack(Lack),
    /// It tells how far it has counted what customers used, see [`crate::cluster::usage`].
    #[prost(message, tag = "22")]
    UsageCounts(UsageCounts),
    /// It has written a bill to the log, see [`crate::duty::billing`].
    #[prost(message, tag = "23")]
    BillingProgress(BillingProgress),
    /// It asks for a permit to send to a target that named a limit, see [`crate::request::permits`].
    #[prost(message, tag = "24")]
    PermitRequest(PermitRequest),
    /// It tells which limit a target names.
    #[prost(message, tag = "25")]
    TargetLimit(TargetLimit),
}

/// A question for the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Lack {
    /// The offset up to which it is known.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// How far one life of an entry has counted in one window.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UsageCounts {
    /// The life.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The window.
    #[prost(uint64, tag = "2")]
    pub window: u64,
    /// Customers, and in the other column how many requests of each have begun to run.
    #[prost(string, repeated, tag = "3")]
    pub customers: Vec<String>,
    /// See `customers`.
    #[prost(uint64, repeated, tag = "4")]
    pub counts: Vec<u64>,
}

/// A record with bills that was written.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BillingProgress {
    /// The end of the stream after it.
    #[prost(uint64, tag = "1")]
    pub stream_end: u64,
    /// The window after the last of it.
    #[prost(uint64, tag = "2")]
    pub next_window: u64,
}

/// A question for an engine of one group that reads a prompt.
#[derive(Clone, PartialEq, Message)]
pub struct PrefillRequest {
    /// The name that its booking will have.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The group.
    #[prost(fixed64, tag = "2")]
    pub group: u64,
    /// The service.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// The hash of the prompt's longest shared start.
    #[prost(fixed64, tag = "4")]
    pub prefix_hash: u64,
    /// All tokens of the prompt.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// Within which time its first token is wanted, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub objective_ms: u32,
    /// Whether that time has passed already.
    #[prost(bool, tag = "7")]
    pub late: bool,
    /// Its parts.
    #[prost(message, optional, tag = "8")]
    pub parts: Option<Parts>,
    /// Engines that it must not go to: they were tried, or the entry can't reach them.
    #[prost(fixed32, repeated, tag = "9")]
    pub avoid: Vec<u32>,
    /// Whether an engine that writes will do.
    #[prost(bool, tag = "10")]
    pub decode_engines: bool,
    /// An engine of another group that keeps some of its start.
    #[prost(message, optional, tag = "11")]
    pub cached_prefix: Option<CachedPrefix>,
    /// Who asks.
    #[prost(message, optional, tag = "12")]
    pub requester: Option<Requester>,
}

/// A question for an engine of one group that writes an output.
#[derive(Clone, PartialEq, Message)]
pub struct DecodeRequest {
    /// The name that its booking will have.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The group.
    #[prost(fixed64, tag = "2")]
    pub group: u64,
    /// The service.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// Within which time the first token is wanted, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub objective_ms: u32,
    /// Engines that it must not go to.
    #[prost(fixed32, repeated, tag = "5")]
    pub avoid: Vec<u32>,
    /// After how long the stream has surely ended, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub ttl_ms: u32,
    /// The share of an engine's places up to which it may be filled, in hundredths.
    #[prost(uint32, tag = "7")]
    pub max_fill_percent: u32,
    /// Who asks.
    #[prost(message, optional, tag = "8")]
    pub requester: Option<Requester>,
}

/// A question for a permit to send one request to a target.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitRequest {
    /// The name of the question.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The service.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// The target.
    #[prost(fixed32, tag = "3")]
    pub target: u32,
    /// Who asks.
    #[prost(message, optional, tag = "4")]
    pub requester: Option<Requester>,
    /// The limit as the entry knows it.
    #[prost(message, optional, tag = "5")]
    pub limit: Option<TargetLimit>,
}

/// Which entry asks, and for how urgent a request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Requester {
    /// The hash of the entry's name.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// How urgent the request is: 0 goes first.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
}

impl Requester {
    /// Who asks for a permit; ranks beyond the least urgent are that.
    pub fn ask(&self) -> pacing::Requester {
        let rank = pacing::Priority::try_from(self.priority).unwrap_or(pacing::Priority::MAX);
        pacing::Requester { entry: self.entry, priority: rank }
    }
}

/// A limit that a target named, or that it names none any more.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TargetLimit {
    /// The service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The target.
    #[prost(fixed32, tag = "2")]
    pub target: u32,
    /// Requests a second; none if it names no limit.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// How long ago the request was sent that the target answered so, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub request_age_ms: u32,
    /// How long ago its answer came, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub response_age_ms: u32,
}

/// Parts of a prompt in its order, in columns of equal length.
#[derive(Clone, PartialEq, Message)]
pub struct Parts {
    /// Their ids.
    #[prost(fixed64, repeated, tag = "1")]
    pub ids: Vec<u64>,
    /// Their sizes in tokens.
    #[prost(uint32, repeated, tag = "2")]
    pub tokens: Vec<u32>,
}

/// An engine that keeps some of a prompt's start.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CachedPrefix {
    /// The engine.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// How many tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// The answer to a question.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// The booking that the question named.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// Whether there is room.
    #[prost(oneof = "Decision", tags = "2, 3, 4")]
    pub decision: Option<Decision>,
}

/// Whether a group has room for a prompt.
#[derive(Clone, Copy, PartialEq, Eq, prost::Oneof)]
pub enum Decision {
    /// It was booked.
    #[prost(message, tag = "2")]
    Granted(Granted),
    /// It can't be read in time, or there is no permit.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// A permit was given.
    #[prost(message, tag = "4")]
    Permitted(Permitted),
}

/// A permit for one request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Permitted {}

/// Where a prompt was booked.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Granted {
    /// The engine that reads it.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// The engine from which it first copies the prompt's start.
    #[prost(fixed32, tag = "2")]
    pub copy_from: u32,
    /// Tokens that are to be read.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Tokens that waited there before it.
    #[prost(uint64, tag = "4")]
    pub waiting: u64,
    /// Whether a permit was given with it, see [`crate::request::permits`].
    #[prost(bool, tag = "5")]
    pub permit: bool,
}

/// What a group says that has no room.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// When there will be some, in microseconds.
    #[prost(uint64, tag = "1")]
    pub retry_after_us: u64,
    /// Which of its engines keeps most of the prompt's start.
    #[prost(message, optional, tag = "2")]
    pub cached_prefix: Option<CachedPrefix>,
    /// Whether one of its engines that write would read it.
    #[prost(bool, tag = "3")]
    pub decode_engine: bool,
}

/// What became of a prompt, for the coordinator of the engine's group.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// The booking that ends; 0 if there was none.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The engine.
    #[prost(fixed32, tag = "2")]
    pub engine: u32,
    /// Parts that the engine now keeps.
    #[prost(message, optional, tag = "3")]
    pub cached: Option<Parts>,
    /// Whether the engine could not be reached or broke off.
    #[prost(bool, tag = "4")]
    pub failed: bool,
    /// How KV cache came to it from another engine.
    #[prost(message, optional, tag = "5")]
    pub transfer: Option<Transfer>,
}

/// A transfer of KV cache.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Transfer {
    /// The engine that it came from.
    #[prost(fixed32, tag = "1")]
    pub source: u32,
    /// How long it was on its way, with the first step of the output, in microseconds.
    #[prost(uint64, tag = "2")]
    pub duration_us: u64,
}

/// Records of a stream of the log that changed something, all that did within a span of it.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    /// The stream, as its place in [`crate::cluster::tail::TOPICS`].
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The start of the span: whoever has read up to here lacks nothing but these records.
    #[prost(uint64, tag = "2")]
    pub before: u64,
    /// The records, in order.
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<Row>,
    /// Whether calls to the log have lately failed for the entry that read them.
    #[prost(bool, tag = "4")]
    pub troubled: bool,
}

/// One record of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Row {
    /// Its place in the stream.
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
    /// The parts of a prompt.
    pub fn new(parts: &[Part]) -> Self {
        let (ids, tokens) = parts.iter().map(|part| (part.id, part.tokens)).unzip();
        Self { ids, tokens }
    }

    /// The rows; those of a datagram with columns of different lengths end with the shortest.
    pub fn rows(&self) -> Vec<Part> {
        let rows = self.ids.iter().zip(&self.tokens);
        rows.map(|(&id, &tokens)| Part { id, tokens }).collect()
    }
}
