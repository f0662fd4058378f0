//! JSON bodies of the engine protocol, shared with the stand-in engine.

use crate::{FencingToken, Order, Usage};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionBody {
    /// The served name to use, such as `model` or `model+adapter`.
    pub model: CompactString,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens to generate, including those before a resume.
    pub max_tokens: u32,
    /// Always true: the client reads only streams.
    pub stream: bool,
    /// The job's id.
    pub request_id: CompactString,
    /// The job's priority; a higher one is scheduled first.
    pub priority: u32,
    /// Text that was generated before, when a stream is resumed.
    #[serde(default)]
    pub resume_text: String,
    /// Length of `resume_text` in tokens.
    #[serde(default)]
    pub resume_tokens: u32,
    /// Sampling parameters as the caller sent them.
    #[serde(flatten)]
    pub sampling: serde_json::Map<String, serde_json::Value>,
}

/// One event of a streamed completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// One choice, or none in the event that carries the usage.
    pub choices: Vec<Choice>,
    /// Token usage; only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Choice {
    /// More text.
    #[serde(default)]
    pub text: String,
    /// Its length in tokens.
    #[serde(default = "one")]
    pub tokens: u32,
    /// `stop` or `length` when generation has ended.
    #[serde(default)]
    pub finish_reason: Option<CompactString>,
}

fn one() -> u32 {
    1
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderBody {
    /// The fencing token.
    pub fence: FencingToken,
    /// The order.
    pub order: Order,
}

/// Body of the response with status 409 to an order with an old fencing token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedBody {
    /// The newest fencing token that the engine has seen.
    pub newest: FencingToken,
}
