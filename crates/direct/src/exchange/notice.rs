//! The records of the entries' stream, see [`crate::exchange::entry_stream`].

use crate::codec::TargetId;
use crate::config::route::Stage;
use bytes::Bytes;
use prost::Message;
use std::time::Duration;

/// A record of the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    /// What it tells.
    #[prost(oneof = "Kind", tags = "1, 2, 3")]
    pub kind: Option<Kind>,
}

/// What a notice tells.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// An entry lives, or stops.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// An entry is about to order changes; the record's offset is the fence of its orders.
    #[prost(message, tag = "2")]
    Plan(Plan),
    /// Requests were running when a target crashed.
    #[prost(message, tag = "3")]
    SuspectedRequests(SuspectedRequests),
}

/// An entry tells that it lives.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it stops.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Where it hears the other entries: address and port.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The rate of its VM's link in bytes a second, which tells how large the VM is; 0 from one that
    /// does not say.
    #[prost(double, tag = "4")]
    pub link_rate: f64,
}

/// An entry announces changes of stage.
#[derive(Clone, PartialEq, Message)]
pub struct Plan {
    /// Its name.
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Engines that are to read prompts.
    #[prost(string, repeated, tag = "2")]
    pub to_prefill: Vec<String>,
    /// Engines that are to write output.
    #[prost(string, repeated, tag = "3")]
    pub to_decode: Vec<String>,
    /// When it was made, by the true time of day in microseconds since the start of 1970; 0 if it does
    /// not say.
    #[prost(fixed64, tag = "4")]
    pub created_us: u64,
}

/// Requests that were running when a target crashed.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectedRequests {
    /// The entry that saw it.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Their fingerprints.
    #[prost(fixed64, repeated, tag = "2")]
    pub requests: Vec<u64>,
}

impl Plan {
    /// How old it is at this true time of day, if it says when it was made.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        (self.created_us != 0).then(|| now.saturating_sub(Duration::from_micros(self.created_us)))
    }

    /// The engines that are to change, with their new stages.
    pub fn changes(&self) -> impl Iterator<Item = (TargetId, Stage)> + '_ {
        let readers = self.to_prefill.iter().map(|id| (TargetId::from(id), Stage::Prefill));
        let writers = self.to_decode.iter().map(|id| (TargetId::from(id), Stage::Decode));
        readers.chain(writers)
    }
}

/// A notice as a record.
pub fn encode(kind: Kind) -> Bytes {
    Notice { kind: Some(kind) }.encode_to_vec().into()
}
