//! A request as an entry submits it to an agent.

use bytes::Bytes;

/// A caller's request, complete and validated by the entry that accepted it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// The request's id, unique in the fleet and returned to the caller.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The name of the Caller resource, to which idempotency keys and event ids are scoped.
    #[prost(string, tag = "2")]
    pub caller: String,
    /// The remaining time until the deadline, in milliseconds from the arrival of the frame.
    #[prost(uint64, tag = "3")]
    pub deadline_ms: u64,
    /// Whether the request has priority over others.
    #[prost(bool, tag = "4")]
    pub urgent: bool,
    /// A hash of caller and content, the same for each request with the same content.
    #[prost(uint64, tag = "5")]
    pub fingerprint: u64,
    /// The caller's W3C `traceparent`, or empty.
    #[prost(string, tag = "6")]
    pub traceparent: String,
    /// The work to do.
    #[prost(oneof = "Work", tags = "10, 11")]
    pub work: Option<Work>,
}

/// The work that a request asks of its target.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Work {
    /// Generation by a language-model engine.
    #[prost(message, tag = "10")]
    Prompt(Prompt),
    /// A call of a plain service.
    #[prost(message, tag = "11")]
    Call(Call),
}

/// A generation, which can always be repeated, since the engine keeps no state of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prompt {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version's name, or empty for the one in service.
    #[prost(string, tag = "2")]
    pub version: String,
    /// The adapter's name, or empty.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// The prompt; a chat is already rendered to text.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Length of the prompt, in tokens, as estimated by the entry.
    #[prost(uint32, tag = "5")]
    pub prompt_tokens: u32,
    /// The most tokens to generate, counted from the start of the request, also when resumed.
    #[prost(uint32, tag = "6")]
    pub max_tokens: u32,
    /// Output tokens that the entry expects, for the estimate of the work.
    #[prost(uint32, tag = "7")]
    pub expected_tokens: u32,
    /// The number of tokens that the caller already has, if a stream is resumed.
    #[prost(uint32, tag = "8")]
    pub resume_tokens: u32,
    /// The text of these tokens.
    #[prost(string, tag = "9")]
    pub resume_text: String,
    /// A hash of the start of the prompt, for prefix caches.
    #[prost(uint64, tag = "10")]
    pub prefix: u64,
    /// Sampling parameters as a JSON object, forwarded to the engine unchanged.
    #[prost(bytes = "bytes", tag = "11")]
    pub sampling: Bytes,
    /// Name of a target from which the KV cache can be imported, or empty.
    #[prost(string, tag = "12")]
    pub kv_source: String,
    /// Whether only the prefill is to run: the attempt ends after the first token, and the KV cache
    /// is kept for the target that continues.
    #[prost(bool, tag = "13")]
    pub prefill_only: bool,
}

/// A call of a plain service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query below the service's root, beginning with `/`.
    #[prost(string, tag = "3")]
    pub path: String,
    /// The forwarded headers.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<crate::Header>,
    /// The body.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Whether the call is idempotent, so that it may run twice.
    #[prost(bool, tag = "6")]
    pub repeatable: bool,
    /// The caller's idempotency key, or empty.
    #[prost(string, tag = "7")]
    pub key: String,
}
