//! The messages between an entry and an agent.

use crate::{AttemptId, Hello, Load, Proof, Request};
use bytes::Bytes;

/// A frame: one message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The message; `None` only in a frame of a newer version.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

impl Frame {
    /// Wraps a message.
    pub fn new(body: Body) -> Self {
        Self { body: Some(body) }
    }
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// The first frame of each side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The second frame of each side.
    #[prost(message, tag = "2")]
    Proof(Proof),
    /// Entry to agent: run a request, or queue it and offer it.
    #[prost(message, tag = "3")]
    Submit(Submit),
    /// Entry to agent: start a request that was offered.
    #[prost(message, tag = "4")]
    Begin(Begin),
    /// Entry to agent: cancel an attempt and stop its work.
    #[prost(message, tag = "5")]
    Cancel(Cancel),
    /// Entry to agent: more events of an attempt may be sent.
    #[prost(message, tag = "6")]
    Credit(Credit),
    /// Agent to entry: an event of an attempt.
    #[prost(message, tag = "7")]
    Event(Event),
    /// Either side: a heartbeat.
    #[prost(message, tag = "8")]
    Ping(Ping),
    /// Either side: the response to a ping.
    #[prost(message, tag = "9")]
    Pong(Pong),
    /// Either side: a query that belongs to no attempt.
    #[prost(message, tag = "10")]
    Query(Query),
    /// Either side: the reply to a query.
    #[prost(message, tag = "11")]
    Reply(Reply),
    /// Entry to agent: continue an answer that another entry began to deliver.
    #[prost(message, tag = "12")]
    Attach(Attach),
}

/// Submits a request to an agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// The attempt under which the request is submitted.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The request.
    #[prost(message, optional, tag = "2")]
    pub request: Option<Request>,
    /// Whether the agent must offer the request and wait for [`Begin`] before it starts it, because
    /// the request is queued at another agent too.
    #[prost(bool, tag = "3")]
    pub hold: bool,
    /// The number of events that the agent may send before it needs more [`Credit`].
    #[prost(uint32, tag = "4")]
    pub credit: u32,
}

/// Starts an offered attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Begin {
    /// The attempt that was offered.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
}

/// Cancels an attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cancel {
    /// The attempt to cancel.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
}

/// Allows more events of one attempt, so that a slow stream does not block the others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Credit {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The number of additional events that may be sent.
    #[prost(uint32, tag = "2")]
    pub events: u32,
}

/// Continues the answer of a request that runs, or has run, at this agent's target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attach {
    /// The new attempt under which the events are sent.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The request's id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The caller, which must be the one that sent the request.
    #[prost(string, tag = "3")]
    pub caller: String,
    /// The number of tokens that the caller already has.
    #[prost(uint32, tag = "4")]
    pub from_token: u32,
    /// The number of events that the agent may send before it needs more [`Credit`].
    #[prost(uint32, tag = "5")]
    pub credit: u32,
}

/// An event of an attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The target's load when the event was sent.
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
    /// The event.
    #[prost(oneof = "EventKind", tags = "3, 4, 5, 6, 7, 8")]
    pub kind: Option<EventKind>,
}

/// The kinds of events.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EventKind {
    /// The queued request can start now.
    #[prost(message, tag = "3")]
    Offer(Offer),
    /// Generated text.
    #[prost(message, tag = "4")]
    Delta(Delta),
    /// Status and headers of a service's response.
    #[prost(message, tag = "5")]
    Head(Head),
    /// A part of a service's response body.
    #[prost(message, tag = "6")]
    Part(Part),
    /// The answer is complete.
    #[prost(message, tag = "7")]
    End(End),
    /// This attempt will not complete the answer.
    #[prost(message, tag = "8")]
    Refusal(Refusal),
}

/// Offers a request that has reached the head of the queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Offer {}

/// Generated text.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Tokens generated before this text, counted from the start of the request.
    #[prost(uint32, tag = "1")]
    pub from_token: u32,
    /// Tokens in this text.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// The text.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// A header field.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
    /// The field's name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The field's value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Status and headers of a service's response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The forwarded headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Whether this is the recorded answer to an earlier call with the same idempotency key.
    #[prost(bool, tag = "3")]
    pub replayed: bool,
}

/// A part of a service's response body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
}

/// The end of an answer that is complete.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Why the answer ended.
    #[prost(enumeration = "Finish", tag = "1")]
    pub finish: i32,
    /// Length of the prompt, in tokens, as counted by the engine.
    #[prost(uint32, tag = "2")]
    pub prompt_tokens: u32,
    /// Tokens generated, counted from the start of the request.
    #[prost(uint32, tag = "3")]
    pub output_tokens: u32,
    /// Prompt tokens found in the engine's prefix cache.
    #[prost(uint32, tag = "4")]
    pub cached_tokens: u32,
}

/// Why the answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Finish {
    /// The model ended its output, or the service its response.
    Stop = 0,
    /// The token limit was reached.
    Length = 1,
}

/// How far an attempt had got when it was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Progress {
    /// The target has not received the request, and will not receive it by this attempt.
    NotRun = 0,
    /// The target may have received the request.
    Unknown = 1,
    /// The request ran at the target, without a complete answer.
    Started = 2,
}

/// Ends an attempt that is abandoned.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    /// A stable reason in kebab case; `docs/CALLERS.md` lists them all.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// How far the attempt had got.
    #[prost(enumeration = "Progress", tag = "2")]
    pub progress: i32,
    /// The time after which a retry may succeed, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// A text for people.
    #[prost(string, tag = "4")]
    pub detail: String,
}

/// A heartbeat, with the status of the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    /// Returned in the [`Pong`].
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The status of the sender; `None` if it accepts no requests from callers.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<EntryStatus>,
    /// Whether the response should contain the entries that the agent has received pings from.
    #[prost(bool, tag = "3")]
    pub include_entries: bool,
}

/// The response to a ping.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {
    /// The ping's nonce.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The agent's load.
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
    /// The entries that the agent has received pings from, if requested.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryStatus>,
}

/// The status that an agent last received from an entry. It carries membership and offered demand
/// to the planner, and shows whether a configuration is in effect everywhere.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryStatus {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The entry's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The offset up to which it has applied the config stream.
    #[prost(uint64, tag = "3")]
    pub config_offset: u64,
    /// Prompt tokens per second that callers offer, including refused ones.
    #[prost(uint64, tag = "4")]
    pub prompt_rate: u64,
    /// Output tokens per second that callers offer, including refused ones.
    #[prost(uint64, tag = "5")]
    pub output_rate: u64,
    /// Milliseconds since the agent received this.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// The usage of the callers with most traffic, so that limits apply across all entries.
    #[prost(message, repeated, tag = "7")]
    pub usages: Vec<Usage>,
}

/// One caller's traffic at one entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Usage {
    /// Hash of the caller's name.
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// Tokens per second that it requests.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
    /// Its open requests.
    #[prost(uint32, tag = "3")]
    pub open: u32,
}

/// A query that belongs to no attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Query {
    /// Returned in the [`Reply`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The kind of the query.
    #[prost(enumeration = "QueryKind", tag = "2")]
    pub kind: i32,
    /// The parameter, if the kind has one.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// The kinds of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum QueryKind {
    /// The folded state of the log, as encoded snapshots.
    Snapshot = 0,
    /// What the peer has recorded of the request whose id is the body, as lines of text.
    Explain = 1,
    /// The KV cache of the request whose id is the body.
    KvCache = 2,
}

/// The reply to a query.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// The query's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The content; empty if there is none.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}
