//! The messages that travel between an entry and an agent.

use crate::{AttemptId, Hello, Load, Proof, Request};
use bytes::Bytes;

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The message itself; absent only in a frame of a newer version.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

impl Frame {
    /// Wraps a message.
    pub fn new(body: Body) -> Self {
        Self { body: Some(body) }
    }
}

/// All kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of either side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Second frame of either side.
    #[prost(message, tag = "2")]
    Proof(Proof),
    /// Entry to agent: run or hold a request.
    #[prost(message, tag = "3")]
    Submit(Submit),
    /// Entry to agent: start the held request that was offered.
    #[prost(message, tag = "4")]
    Begin(Begin),
    /// Entry to agent: forget the attempt and stop its work.
    #[prost(message, tag = "5")]
    Cancel(Cancel),
    /// Entry to agent: more events of an attempt may be sent.
    #[prost(message, tag = "6")]
    Credit(Credit),
    /// Agent to entry: something happened to an attempt.
    #[prost(message, tag = "7")]
    Event(Event),
    /// Either side: are you there?
    #[prost(message, tag = "8")]
    Ping(Ping),
    /// Either side: answer to a ping.
    #[prost(message, tag = "9")]
    Pong(Pong),
    /// Either side: a question outside any attempt.
    #[prost(message, tag = "10")]
    Query(Query),
    /// Either side: answer to a question.
    #[prost(message, tag = "11")]
    Reply(Reply),
    /// Entry to agent: go on with an answer that another entry began to deliver.
    #[prost(message, tag = "12")]
    Attach(Attach),
}

/// Hands a request to an agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// The attempt that this submission is.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The request.
    #[prost(message, optional, tag = "2")]
    pub request: Option<Request>,
    /// Whether the agent must offer the request and wait for [`Begin`] before it starts it,
    /// because it waits at another agent too.
    #[prost(bool, tag = "3")]
    pub hold: bool,
    /// How many events the agent may send before it needs more [`Credit`].
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

/// Ends an attempt from the entry's side.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cancel {
    /// The attempt to end.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
}

/// Allows more events of one attempt, so that a slow stream does not stop the others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Credit {
    /// The attempt whose events are meant.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// How many more events may be sent.
    #[prost(uint32, tag = "2")]
    pub events: u32,
}

/// Goes on with the answer of a request that runs, or has run, at this agent's target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attach {
    /// The new attempt under which the events are sent.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The request's id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The caller; must be the one whose request it is.
    #[prost(string, tag = "3")]
    pub caller: String,
    /// Tokens that the caller already has.
    #[prost(uint32, tag = "4")]
    pub from_token: u32,
    /// How many events the agent may send before it needs more [`Credit`].
    #[prost(uint32, tag = "5")]
    pub credit: u32,
}

/// Something that happened to an attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: AttemptId,
    /// The target's load when the event was sent.
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
    /// What happened.
    #[prost(oneof = "EventKind", tags = "3, 4, 5, 6, 7, 8")]
    pub kind: Option<EventKind>,
}

/// All kinds of events.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EventKind {
    /// The held request could start now.
    #[prost(message, tag = "3")]
    Offer(Offer),
    /// Generated text.
    #[prost(message, tag = "4")]
    Delta(Delta),
    /// Status and headers of a service's response.
    #[prost(message, tag = "5")]
    Head(Head),
    /// A piece of a service's response body.
    #[prost(message, tag = "6")]
    Part(Part),
    /// The answer is complete.
    #[prost(message, tag = "7")]
    End(End),
    /// The answer will not be completed by this attempt.
    #[prost(message, tag = "8")]
    Refusal(Refusal),
}

/// Says that a held request has reached the head of the queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Offer {}

/// Generated text.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Tokens generated before this piece, counted from the request's beginning.
    #[prost(uint32, tag = "1")]
    pub from_token: u32,
    /// Tokens in this piece.
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
    /// The headers that are passed on.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Whether this is the recorded answer of an earlier call with the same key.
    #[prost(bool, tag = "3")]
    pub replayed: bool,
}

/// A piece of a service's response body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
}

/// The end of a complete answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Why generation ended.
    #[prost(enumeration = "Finish", tag = "1")]
    pub finish: i32,
    /// Length of the prompt, in tokens, as the engine counted it.
    #[prost(uint32, tag = "2")]
    pub prompt_tokens: u32,
    /// Tokens generated, counted from the request's beginning.
    #[prost(uint32, tag = "3")]
    pub output_tokens: u32,
    /// Prompt tokens found in the engine's prefix cache.
    #[prost(uint32, tag = "4")]
    pub cached_tokens: u32,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Finish {
    /// The model ended its answer, or the service its response.
    Stop = 0,
    /// The most tokens allowed were generated.
    Length = 1,
}

/// How far an attempt had come when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Progress {
    /// Nothing reached the target, and nothing of this attempt will.
    NotRun = 0,
    /// It may have reached the target.
    Unknown = 1,
    /// It ran at the target, which gave no complete answer.
    Started = 2,
}

/// Says that an attempt is given up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    /// A stable reason in kebab case; `docs/CALLERS.md` lists them all.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// How far the attempt had come.
    #[prost(enumeration = "Progress", tag = "2")]
    pub progress: i32,
    /// After how many milliseconds another try is worth it; 0 if unknown.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// More for a person to read.
    #[prost(string, tag = "4")]
    pub detail: String,
}

/// Asks whether the peer is there, and tells it about the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    /// Sent back in the [`Pong`].
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// What the sender says of itself; absent if it takes no requests from callers.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<EntryStatus>,
    /// Whether the answer should tell which entries the agent has heard from.
    #[prost(bool, tag = "3")]
    pub include_entries: bool,
}

/// Answers a ping.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {
    /// The ping's nonce.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The agent's load.
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
    /// The entries that the agent has heard from, if they were asked for.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryStatus>,
}

/// An entry as an agent last heard from it; carries membership and offered demand to the planner
/// and to whoever asks whether a configuration is in force everywhere.
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
    /// Prompt tokens a second that callers offer it, refused ones among them.
    #[prost(uint64, tag = "4")]
    pub prompt_rate: u64,
    /// Output tokens a second that callers offer it, refused ones among them.
    #[prost(uint64, tag = "5")]
    pub output_rate: u64,
    /// Milliseconds since the agent heard this.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// The callers that use it most, so that limits hold over all entries.
    #[prost(message, repeated, tag = "7")]
    pub usages: Vec<Usage>,
}

/// One caller's traffic at one entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Usage {
    /// Hash of the caller's name.
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// Tokens a second that it asks for there.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
    /// Its open requests there.
    #[prost(uint32, tag = "3")]
    pub open: u32,
}

/// A question outside any attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Query {
    /// Sent back in the [`Reply`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked.
    #[prost(enumeration = "QueryKind", tag = "2")]
    pub kind: i32,
    /// The question's parameter, if the kind has one.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// All kinds of questions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum QueryKind {
    /// The folded state of the log, as an encoded checkpoint.
    Snapshot = 0,
    /// What the peer knows of the request whose id is the body, as lines of text.
    Explain = 1,
    /// The KV cache of the request whose id is the body.
    KvCache = 2,
}

/// The answer to a question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// The question's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The answer; empty if there is none.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}
