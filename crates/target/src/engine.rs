//! A language-model engine.

use crate::{FencingToken, Order, Result};
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use conf::resource::Role;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

/// One generation as the engine runs it.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The job's id at the engine, unique for each attempt.
    pub id: CompactString,
    /// What is served, such as `model` or `model+adapter`.
    pub serve: CompactString,
    /// The prompt.
    pub prompt: String,
    /// Text that was generated before, when a stream is resumed.
    pub resume_text: String,
    /// Tokens of that text.
    pub resume_tokens: u32,
    /// The most tokens to generate, `resume_tokens` among them.
    pub max_tokens: u32,
    /// Whether the job goes before ordinary ones.
    pub urgent: bool,
    /// Sampling parameters as a JSON object, or empty.
    pub sampling: Bytes,
    /// The caller's W3C `traceparent`, passed on as a header, or empty.
    pub traceparent: CompactString,
}

/// Why generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The most tokens allowed were generated.
    Length,
}

/// What a generation used, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated, those before a resume among them.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One step of a generation.
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
        /// What it used.
        usage: Usage,
    },
}

/// The steps of a generation; without an [`Output::End`] it was cut short.
pub type Outputs = BoxStream<'static, Result<Output>>;

/// An engine's real state, read back from it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// The role it has.
    pub role: Role,
    /// Whether it is changing its role or loading weights and takes no work.
    pub busy: bool,
    /// The names it serves, such as `model` or `model+adapter`.
    pub serves: Vec<CompactString>,
    /// Jobs running.
    pub running: u32,
    /// Jobs waiting inside the engine.
    pub waiting: u32,
    /// The newest fencing number it has seen, 0 if it ignores them.
    pub fence: FencingToken,
    /// Changes each time the engine starts.
    pub incarnation: u64,
}

/// A language-model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation.
    async fn generate(&self, job: Job) -> Result<Outputs>;

    /// Stops a generation and frees what it held; unknown ids are no error.
    async fn cancel(&self, id: &str) -> Result<()>;

    /// Carries out an order and returns when it is in force.
    async fn order(&self, fence: FencingToken, order: &Order) -> Result<()>;

    /// Reads the engine's real state.
    async fn status(&self) -> Result<Status>;

    /// Reads the KV cache of a running or just stopped job.
    async fn export_kv(&self, id: &str) -> Result<Bytes>;

    /// Hands the engine the KV cache with which the job `id` will begin.
    async fn import_kv(&self, id: &str, cache: Bytes) -> Result<()>;
}
