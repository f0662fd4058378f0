//! The load of a target as reported by its agent with every event and pong.

/// The load of a target at the time its agent sent it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The target's name.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Prompt tokens that are queued or being prefilled.
    #[prost(uint64, tag = "2")]
    pub prompt_tokens: u64,
    /// Output tokens still expected from queued and running requests.
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
    /// Requests running at the target.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests queued at the agent.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// The number of requests that the target runs concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Measured prefill rate, in tokens per second.
    #[prost(uint32, tag = "7")]
    pub prefill_rate: u32,
    /// Measured decode rate of the whole batch, in tokens per second.
    #[prost(uint32, tag = "8")]
    pub decode_rate: u32,
    /// Whether the target accepts new requests: it is up, has joined, and is neither leaving nor
    /// changing its role.
    #[prost(bool, tag = "9")]
    pub accepting: bool,
    /// Names of the models, adapters and versions in service, as `model`, `model+adapter`,
    /// `model@version` or `model@version+adapter`.
    #[prost(string, repeated, tag = "10")]
    pub serves: Vec<String>,
    /// The engine's actual role: `prefill`, `decode` or `mixed`.
    #[prost(string, tag = "11")]
    pub role: String,
    /// Incremented with each load that the agent sends, so that a late one does not replace a newer
    /// one.
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
    /// The offset up to which the agent has applied the config stream.
    #[prost(uint64, tag = "13")]
    pub config_offset: u64,
    /// The agent's estimate of how long a new request of normal priority waits for a slot, in
    /// milliseconds.
    #[prost(uint64, tag = "14")]
    pub wait_ms: u64,
    /// The recent median time between two tokens, in microseconds; 0 if unknown.
    #[prost(uint64, tag = "15")]
    pub token_time_us: u64,
}
