//! The interface of a language-model engine.

use crate::{FencingToken, Order, Result};
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use conf::resource::Role;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

/// One generation request for an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The job's id at the engine, unique for each attempt.
    pub id: CompactString,
    /// The served name to use, such as `model` or `model+adapter`.
    pub serve: CompactString,
    /// The prompt.
    pub prompt: String,
    /// Text that was generated before, when a stream is resumed.
    pub resume_text: String,
    /// Length of `resume_text` in tokens.
    pub resume_tokens: u32,
    /// The maximum number of tokens to generate, including `resume_tokens`.
    pub max_tokens: u32,
    /// Whether the job is scheduled before ordinary ones.
    pub urgent: bool,
    /// Sampling parameters as a JSON object; empty for the engine's defaults.
    pub sampling: Bytes,
    /// The caller's W3C `traceparent`, forwarded as a header; empty if there is none.
    pub traceparent: CompactString,
}

/// Why generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The model ended its output.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Token usage of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated, including those before a resume.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One item of a generation's output stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// More text.
    Text {
        /// The text.
        text: String,
        /// Its length in tokens.
        tokens: u32,
    },
    /// The generation is complete.
    End {
        /// Why it ended.
        finish: Finish,
        /// Its token usage.
        usage: Usage,
    },
}

/// The output stream of a generation; if it ends without an [`Output::End`], it was truncated.
pub type Outputs = BoxStream<'static, Result<Output>>;

/// The actual state of an engine, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// The current role.
    pub role: Role,
    /// Whether it is changing its role or loading weights and therefore accepts no work.
    pub busy: bool,
    /// The names it serves, such as `model` or `model+adapter`.
    pub serves: Vec<CompactString>,
    /// Jobs running.
    pub running: u32,
    /// Jobs in the engine's own queue.
    pub waiting: u32,
    /// The newest fencing token it has seen, 0 if it ignores them.
    pub fence: FencingToken,
    /// Changes each time the engine starts.
    pub incarnation: u64,
}

/// A language-model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation.
    async fn generate(&self, job: Job) -> Result<Outputs>;

    /// Stops a generation and frees its resources; an unknown id is not an error.
    async fn cancel(&self, id: &str) -> Result<()>;

    /// Executes an order and returns once it is in effect.
    async fn order(&self, fence: FencingToken, order: &Order) -> Result<()>;

    /// Reads the engine's actual state.
    async fn status(&self) -> Result<Status>;

    /// Reads the KV cache of a job that is running or has just been stopped.
    async fn export_kv(&self, id: &str) -> Result<Bytes>;

    /// Gives the engine the KV cache from which the job `id` will start.
    async fn import_kv(&self, id: &str, cache: Bytes) -> Result<()>;
}
