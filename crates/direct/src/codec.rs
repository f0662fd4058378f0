//! The border towards callers and targets: what their headers say, in the product's own types.
//!
//! A deployment's adapter implements [`Codec`]. Everything behind it speaks of attempts, deadlines
//! and prompts and never sees a header's name.

use crate::config::customers::{Caller, Credential};
use crate::config::route::Stage;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use policy::signals::Signals;
use std::net::SocketAddr;
use std::time::Duration;

/// The id that a caller gave one sending of a request. Targets echo it.
pub type AttemptId = CompactString;

/// The id of a target. One that starts again has another, or the same and is another life, see
/// [`Incarnation`].
pub type TargetId = CompactString;

/// When a life of a target began, in milliseconds since 1970 by its own clock. It tells its lives
/// apart; it is never compared with another target's, or with the time here.
pub type Incarnation = u64;

/// The id of one part of a prompt.
pub type PartId = u64;

/// A part of a prompt, in the order in which the prompt holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id: equal parts of different prompts have the same.
    pub id: PartId,
    /// Its size in tokens.
    pub tokens: u32,
}

/// What a caller says of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// The model's name.
    pub model: CompactString,
    /// Tokens in the prompt.
    pub input_tokens: u32,
    /// Tokens of output at most.
    pub max_output_tokens: u32,
    /// The prompt's parts; the last is the request's own.
    pub parts: Vec<Part>,
}

/// What a caller says in the head of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// The id of this sending, if the caller gave one.
    pub attempt_id: Option<AttemptId>,
    /// How long the caller waits from now on.
    pub deadline: Option<Duration>,
    /// The prompt, if this is a generation.
    pub prompt: Option<Prompt>,
    /// What shows whose request it is.
    pub credential: Credential,
}

/// KV cache that a target holds for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvHandle {
    /// The target that holds it.
    pub holder: SocketAddr,
    /// Its id there.
    pub id: CompactString,
}

/// What a target is asked to do with a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Step {
    /// All of it.
    #[default]
    Whole,
    /// Read the prompt and keep its KV cache under a handle.
    Prefill,
    /// Go on from KV cache that was read elsewhere.
    Decode(KvHandle),
}

/// One sending to one target, as far as headers tell of it.
#[derive(Debug, Clone, Default)]
pub struct AttemptHead {
    /// The caller's id of the sending: an answer that names another belongs elsewhere.
    pub attempt_id: Option<AttemptId>,
    /// What is to be done.
    pub step: Step,
    /// The target meant; another one at its address has to refuse.
    pub target: TargetId,
    /// How long the target may work.
    pub deadline: Duration,
    /// A target from which this one first copies what it keeps of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The last event delivered, when a broken stream goes on at this target.
    pub last_event_id: Option<u64>,
    /// How urgent this is among the target's requests: 0 goes first, 9 last.
    pub priority: Option<u8>,
    /// Whose request it is: the target is told the customer, and never the key.
    pub caller: Caller,
}

/// How busy a target says it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What a target says in the head of an answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseHead {
    /// The sending that this answers.
    pub attempt_id: Option<AttemptId>,
    /// Whether the target says that it did not and will not run the request.
    pub not_run: bool,
    /// How busy it is.
    pub load: Option<ReportedLoad>,
    /// For how long it keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// What it says of itself.
    pub signals: Signals,
}

/// The result of reading a target's answer to an internal call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An answer to an internal call that makes no sense.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{step}: {detail}")]
pub struct Error {
    /// What was being read.
    pub step: &'static str,
    /// What was wrong.
    pub detail: CompactString,
}

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The stage it is to have.
    pub stage: Stage,
    /// The process that orders.
    pub holder: CompactString,
    /// The place of its lease in the log: engines refuse lower ones than they have seen.
    pub fencing_token: u64,
    /// Orders that the engine has to have accepted so far, for this one to count.
    pub expected: u64,
}

/// An engine's own account of its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: Option<Stage>,
    /// Whether it carries out an order.
    pub order_in_progress: bool,
    /// Orders that it has accepted in this life.
    pub accepted_orders: u64,
    /// When this life of it began, if it says so.
    pub incarnation: Option<Incarnation>,
}

/// Translates between headers or small bodies and the product's types.
pub trait Codec: Send + Sync {
    /// Reads the head of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Makes the headers of a sending from the caller's.
    fn attempt_headers(&self, headers: &HeaderMap, sending: &AttemptHead) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Removes from a target's answer what concerns only its connection.
    fn strip_connection_headers(&self, headers: &mut HeaderMap);

    /// Reads the answer to [`Step::Prefill`]: the id of the KV cache.
    fn decode_handle(&self, body: &[u8]) -> Result<CompactString>;

    /// The path that frees a handle, for a `DELETE`.
    fn free_path(&self, handle: &str) -> String;

    /// The path of the list of what an engine keeps of prompts, for a `GET`.
    fn prefix_cache_path(&self) -> &'static str;

    /// Reads that list.
    fn decode_prefix_cache(&self, body: &[u8]) -> Result<Vec<Part>>;

    /// The path of an engine's report, for a `GET`.
    fn report_path(&self) -> &'static str;

    /// Reads an engine's report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport>;

    /// The path and body of an order, for a `POST`.
    fn encode_order(&self, order: &StageOrder) -> (&'static str, Vec<u8>);
}
