//! The datagrams that entries send each other, see [`crate::cluster::peers`].

use policy::Hash;
use prost::Message;

/// The unit in which tokens are told: less than a third of a millisecond of reading.
pub const UNIT: u64 = 64;

/// An entry's state.
#[derive(Clone, PartialEq, Message)]
pub struct EntryState {
    /// The hash of its name.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Tells one run of its process from another.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Counts its datagrams.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Its work, by engine.
    #[prost(message, optional, tag = "4")]
    pub work: Option<Work>,
    /// How far it has read the log.
    #[prost(message, repeated, tag = "6")]
    pub reads: Vec<Read>,
    /// The load of each service, see [`crate::cluster::loads`].
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<ServiceLoad>,
    /// What its VM's clock shows, in microseconds since the start of 1970.
    #[prost(fixed64, tag = "8")]
    pub clock: u64,
    /// Targets that leave or want no requests now, by their own answers.
    #[prost(message, repeated, tag = "9")]
    pub standings: Vec<TargetStanding>,
}

/// What one life of a target said of itself.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetStanding {
    /// The key of the life, whole: whoever is taken for one that leaves gets no work any more.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Whether it leaves.
    #[prost(bool, tag = "2")]
    pub leaves: bool,
    /// For how long it wants no requests from the entry that tells, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub pause_ms: u32,
}

/// What was asked of an entry for one service since it started, and what it has learnt.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ServiceLoad {
    /// The service, by the lower half of the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Tokens to be read: of prompts, what no engine kept.
    #[prost(uint64, tag = "2")]
    pub requested_tokens: u64,
    /// Tokens that an engine reads in a second; 0 if it is not known.
    #[prost(double, tag = "3")]
    pub rate: f64,
    /// Seconds that a stream takes for a token; 0 if it is not known.
    #[prost(double, tag = "4")]
    pub step: f64,
}

/// What an entry knows of one stream of the log, see [`tail::Seen`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Read {
    /// The stream, as its place in [`tail::TOPICS`].
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The offset after the last record that changed something.
    #[prost(uint64, tag = "2")]
    pub news: u64,
    /// How long ago it was last read, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// The work of an entry at engines, in columns of equal length: seven bytes an engine.
#[derive(Clone, PartialEq, Message)]
pub struct Work {
    /// The engines, each by the lower half of the hash of its id.
    #[prost(fixed32, repeated, tag = "1")]
    pub engines: Vec<u32>,
    /// Tokens to be read there, in units of [`UNIT`].
    #[prost(uint32, repeated, tag = "2")]
    pub reading: Vec<u32>,
    /// Streams there.
    #[prost(uint32, repeated, tag = "3")]
    pub streams: Vec<u32>,
}

/// The work of the other entries at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Others {
    /// Tokens to be read.
    pub prefill_tokens: u64,
    /// Streams.
    pub streams: u32,
}

impl Work {
    /// The rows; those of a datagram with columns of different lengths end with the shortest.
    pub fn rows(self) -> Vec<(u32, Others)> {
        let columns = self.engines.into_iter().zip(self.reading).zip(self.streams);
        let rows = columns.map(|((engine, reading), streams)| {
            (engine, Others { prefill_tokens: u64::from(reading) * UNIT, streams })
        });
        rows.collect()
    }
}

/// The name of an engine in datagrams: of 700 engines two share one with a chance of 0.006%.
pub fn short_hash(engine: Hash) -> u32 {
    // Casting to a smaller integer keeps the lower half.
    #[expect(clippy::cast_possible_truncation, reason = "half of a hash is a hash")]
    let short = engine as u32;
    short
}
