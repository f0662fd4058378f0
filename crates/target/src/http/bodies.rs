//! JSON bodies of the engine protocol, shared with the stand-in engine.

use crate::{FencingToken, Order, Usage};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionBody {
    /// What is served, such as `model` or `model+adapter`.
    pub model: CompactString,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate, resumed ones among them.
    pub max_tokens: u32,
    /// Always true: we read streams.
    pub stream: bool,
    /// The job's id.
    pub request_id: CompactString,
    /// Higher goes first.
    pub priority: u32,
    /// Text generated before, when a stream is resumed.
    #[serde(default)]
    pub resume_text: String,
    /// Tokens of that text.
    #[serde(default)]
    pub resume_tokens: u32,
    /// Sampling parameters, as the caller gave them.
    #[serde(flatten)]
    pub sampling: serde_json::Map<String, serde_json::Value>,
}

/// One event of a streamed completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// Always one choice, or none in the event that carries the usage.
    pub choices: Vec<Choice>,
    /// What was used; in the last event.
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
    /// The fencing number.
    pub fence: FencingToken,
    /// The order.
    pub order: Order,
}

/// Body of the 409 answer to an order with an old fencing number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedBody {
    /// The newest fencing number seen.
    pub newest: FencingToken,
}
