//! The records of the entries' stream, see [`crate::exchange::entry_stream`].

use crate::cluster::messages::{VerdictRow, Versions};
use crate::cluster::splits::SplitRow;
use crate::codec::TargetId;
use crate::config::route::Stage;
use bytes::Bytes;
use prost::Message;
use std::time::Duration;

/// A record of the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    /// The content; none if it is of a newer version.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<Kind>,
}

/// The content of a notice.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// An entry is alive or leaving.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// An entry is about to order stage changes; the record's offset is the fencing token of its
    /// orders.
    #[prost(message, tag = "2")]
    Plan(Plan),
    /// Requests were running when a target crashed; earlier builds write it.
    #[prost(message, tag = "3")]
    SuspectedRequests(SuspectedRequests),
    /// Requests are refused because they crash targets.
    #[prost(message, tag = "4")]
    Verdicts(WrittenVerdicts),
}

/// The heartbeat of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The name of the entry.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether the entry is leaving because its process stops.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Where it receives datagrams of other entries: address and port.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The rate of its VM's link in bytes per second, as a measure of the VM's size; 0 if unknown.
    #[prost(double, tag = "4")]
    pub link_rate: f64,
    /// Whether the entry takes part in the membership, see [`crate::exchange::membership`]. One
    /// that doesn't is live for as long as its heartbeats arrive.
    #[prost(bool, tag = "5")]
    pub takes_part: bool,
    /// How the engines of services are divided, as far as the entry knows.
    #[prost(message, repeated, tag = "6")]
    pub splits: Vec<SplitRow>,
    /// The software versions that targets had lately, if the entry's list is up to date.
    #[prost(message, optional, tag = "7")]
    pub versions: Option<Versions>,
}

/// The announcement of stage changes by an entry.
#[derive(Clone, PartialEq, Message)]
pub struct Plan {
    /// The name of the entry.
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Engines that are to prefill.
    #[prost(string, repeated, tag = "2")]
    pub to_prefill: Vec<String>,
    /// Engines that are to decode.
    #[prost(string, repeated, tag = "3")]
    pub to_decode: Vec<String>,
    /// When the plan was made, by the cluster's time of day in microseconds since the start of
    /// 1970; 0 if unknown.
    #[prost(fixed64, tag = "4")]
    pub created_us: u64,
    /// The split that the plan decides, if it does so.
    #[prost(message, optional, tag = "5")]
    pub split: Option<SplitRow>,
}

/// Requests that were running when a target crashed.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectedRequests {
    /// The entry that saw the crash.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The fingerprints of the requests.
    #[prost(fixed64, repeated, tag = "2")]
    pub requests: Vec<u64>,
}

/// Verdicts on requests that crash targets.
#[derive(Clone, PartialEq, Message)]
pub struct WrittenVerdicts {
    /// The verdicts, as of the time of the record.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<VerdictRow>,
}

impl Plan {
    /// Returns the age of the plan at this time of day of the cluster, if known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        (self.created_us != 0).then(|| now.saturating_sub(Duration::from_micros(self.created_us)))
    }

    /// Returns the engines that are to change, with their new stages.
    pub fn changes(&self) -> impl Iterator<Item = (TargetId, Stage)> + '_ {
        let prefill = self.to_prefill.iter().map(|id| (TargetId::from(id), Stage::Prefill));
        let decode = self.to_decode.iter().map(|id| (TargetId::from(id), Stage::Decode));
        prefill.chain(decode)
    }
}

/// Encodes a notice as a record.
pub fn encode(kind: Kind) -> Bytes {
    Notice { kind: Some(kind) }.encode_to_vec().into()
}

/// Whether a record is a plan, or can't be decoded and might be one of a newer build.
pub fn is_plan(record: &Bytes) -> bool {
    match Notice::decode(record.clone()) {
        Ok(notice) => matches!(notice.kind, None | Some(Kind::Plan(_))),
        Err(_) => true,
    }
}
