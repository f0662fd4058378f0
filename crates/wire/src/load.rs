//! The load of a target as its agent sees it, carried by every reply.

/// A target's load at the moment its agent sent it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The target's name.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Prompt tokens that wait or are being prefilled.
    #[prost(uint64, tag = "2")]
    pub prompt_tokens: u64,
    /// Output tokens still expected of waiting and running requests.
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
    /// Requests running at the target.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests that wait at the agent.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// How many requests the target runs side by side.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Measured prefill speed, in tokens a second.
    #[prost(uint32, tag = "7")]
    pub prefill_rate: u32,
    /// Measured decode speed over the whole batch, in tokens a second.
    #[prost(uint32, tag = "8")]
    pub decode_rate: u32,
    /// Whether the target takes new work: it is up, joined, not leaving and not changing role.
    #[prost(bool, tag = "9")]
    pub accepting: bool,
    /// Names of the models, adapters and versions in service, as `model`, `model+adapter`,
    /// `model@version` or `model@version+adapter`.
    #[prost(string, repeated, tag = "10")]
    pub serves: Vec<String>,
    /// The role the engine really has: `prefill`, `decode` or `mixed`.
    #[prost(string, tag = "11")]
    pub role: String,
    /// Counts up with each load the agent sends, so that a late one is not taken for the newest.
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
    /// The offset up to which the agent has applied the config stream.
    #[prost(uint64, tag = "13")]
    pub config_offset: u64,
    /// Milliseconds that a new ordinary request would wait for a slot, as the agent estimates it.
    #[prost(uint64, tag = "14")]
    pub wait_ms: u64,
    /// The median time between two tokens of late, in microseconds; 0 if unknown.
    #[prost(uint64, tag = "15")]
    pub token_time_us: u64,
}
