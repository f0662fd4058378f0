//! Translates between the headers of callers and targets and the product's own types.
//!
//! A deployment's adapter implements [`Codec`]. Everything behind it works with attempts, deadlines
//! and prompts and never sees a header's name.

use crate::config::customers::{Caller, Credential};
use crate::config::route::Stage;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use policy::signals::Signals;
use std::net::SocketAddr;
use std::time::Duration;

/// The id that a caller gave one attempt of a request. Targets echo it.
pub type AttemptId = CompactString;

/// The id of a target. One that restarts has another id, or the same id and another
/// [`Incarnation`].
pub type TargetId = CompactString;

/// The start time of a target's process, in milliseconds since 1970 by its own clock. It
/// distinguishes the incarnations of one target; it is never compared with another target's, or
/// with the local time.
pub type Incarnation = u64;

/// The version of a target's software, as the target names it. Versions have no order.
pub type SoftwareVersion = CompactString;

/// The id of one part of a prompt.
pub type PartId = u64;

/// A part of a prompt, in the order in which the prompt holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id. Equal parts of different prompts have the same id.
    pub id: PartId,
    /// Its size in tokens.
    pub tokens: u32,
}

/// A caller's description of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// The model's name.
    pub model: CompactString,
    /// Tokens in the prompt.
    pub input_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The prompt's parts. The last one belongs to this request alone.
    pub parts: Vec<Part>,
}

/// A caller's request for the rest of a stream, after the events that it has.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TakeUp {
    /// The attempt that brought the stream's first event, if the caller names it.
    pub first_attempt: Option<AttemptId>,
}

/// The decoded head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// The id of this attempt, if the caller gave one.
    pub attempt_id: Option<AttemptId>,
    /// How long the caller waits from now on.
    pub deadline: Option<Duration>,
    /// The prompt, if this is a generation.
    pub prompt: Option<Prompt>,
    /// The stream that it takes up, if it does.
    pub take_up: Option<TakeUp>,
    /// The credential that identifies the caller.
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

/// Which part of a request a target is to perform.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Step {
    /// All of it.
    #[default]
    Whole,
    /// Prefill the prompt, and hold its KV cache under a handle.
    Prefill,
    /// Decode from KV cache that another engine prefilled.
    Decode(KvHandle),
}

impl Step {
    /// Returns the name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Prefill => "prefill",
            Self::Decode(_) => "decode",
        }
    }
}

/// What the headers of one attempt at one target carry.
#[derive(Debug, Clone, Default)]
pub struct AttemptHead {
    /// The caller's id of the attempt. A response with another id belongs to another request.
    pub attempt_id: Option<AttemptId>,
    /// Which part of the request is to be performed.
    pub step: Step,
    /// The intended target. Another one at its address has to refuse.
    pub target: TargetId,
    /// How long the target may work.
    pub deadline: Duration,
    /// A target from which this one first copies what that one has cached of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The last event delivered, if this target is to resume a broken stream.
    pub last_event_id: Option<u64>,
    /// The priority among the target's requests: 0 goes first, 9 last.
    pub priority: Option<u8>,
    /// The caller. The target receives the customer's name, and never the key.
    pub caller: Caller,
}

/// The load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// How long work currently takes on its machine, in percent of the usual time, if it reports
    /// that.
    pub work_percent: Option<u32>,
}

/// The decoded head of a target's response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseHead {
    /// The id of the attempt that this responds to.
    pub attempt_id: Option<AttemptId>,
    /// Whether the target reports that it did not and will not run the request.
    pub not_run: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// How long it keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// Signals about the target itself.
    pub signals: Signals,
}

/// The result of decoding a target's response to an internal call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A response to an internal call that can't be decoded.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{step}: {detail}")]
pub struct Error {
    /// What was being decoded.
    pub step: &'static str,
    /// The cause.
    pub detail: CompactString,
}

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The new stage.
    pub stage: Stage,
    /// The process that gives the order.
    pub holder: CompactString,
    /// The fencing token of its lease, from the lease's offset in the log. Engines refuse lower
    /// ones than they have seen.
    pub fencing_token: u64,
    /// The number of orders that the engine must have accepted before, for this one to be valid.
    pub expected: u64,
}

/// An engine's report of its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: Option<Stage>,
    /// Whether it is carrying out an order.
    pub order_in_progress: bool,
    /// The number of orders that it has accepted in this incarnation.
    pub accepted_orders: u64,
    /// The incarnation, if the engine reports it.
    pub incarnation: Option<Incarnation>,
}

/// Translates between headers or small bodies and the product's types.
pub trait Codec: Send + Sync {
    /// Decodes the head of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Makes the headers of an attempt from the caller's headers.
    fn attempt_headers(&self, headers: &HeaderMap, attempt: &AttemptHead) -> HeaderMap;

    /// Decodes the head of a target's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Removes from a target's response the headers that concern only its connection.
    fn strip_connection_headers(&self, headers: &mut HeaderMap);

    /// Decodes the response to [`Step::Prefill`]: the id of the KV cache.
    fn decode_handle(&self, body: &[u8]) -> Result<CompactString>;

    /// The path that frees a handle, for a `DELETE`.
    fn free_path(&self, handle: &str) -> String;

    /// The path of the list of prompt parts in an engine's prefix cache, for a `GET`.
    fn prefix_cache_path(&self) -> &'static str;

    /// Decodes that list.
    fn decode_prefix_cache(&self, body: &[u8]) -> Result<Vec<Part>>;

    /// The path of an engine's report, for a `GET`.
    fn report_path(&self) -> &'static str;

    /// Decodes an engine's report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport>;

    /// The path and body of an order, for a `POST`.
    fn encode_order(&self, order: &StageOrder) -> (&'static str, Vec<u8>);
}
