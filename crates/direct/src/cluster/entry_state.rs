//! The state that each entry sends to the others by datagram, see [`crate::cluster::peers`].

use crate::cluster::member_updates::MemberUpdate;
use crate::cluster::messages::VerdictRow;
use crate::cluster::tail::{ReadId, ReadStatus, TOPICS};
use crate::targets::pace::PaceRow;
use policy::pace::Report;
use prost::Message;
use std::time::Duration;

pub use policy::short_hash;

/// Tokens are counted in units of this many: an engine prefills a unit in less than a third of a
/// millisecond.
pub const TOKENS_PER_UNIT: u64 = 64;

/// The state of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct EntryState {
    /// The hash of the entry's name.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Distinguishes the incarnations of the entry's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The sequence number of the datagram within the incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The entry's work, by engine.
    #[prost(message, optional, tag = "4")]
    pub work: Option<Work>,
    /// How far the entry has read the log.
    #[prost(message, repeated, tag = "6")]
    pub reads: Vec<StreamRead>,
    /// The load of each service, see [`crate::cluster::loads`].
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<ServiceLoad>,
    /// The clock of the entry's VM, in microseconds since the start of 1970.
    #[prost(fixed64, tag = "8")]
    pub clock: u64,
    /// Targets that are leaving or paused, by their own responses.
    #[prost(message, repeated, tag = "9")]
    pub unavailable: Vec<UnavailableTarget>,
    /// What the entry knows of others, itself first.
    #[prost(message, repeated, tag = "10")]
    pub members: Vec<MemberUpdate>,
    /// The time that engines take per piece, as the entry measured it.
    #[prost(message, optional, tag = "11")]
    pub paces: Option<Paces>,
    /// Some of the verdicts on requests that crash targets.
    #[prost(message, repeated, tag = "12")]
    pub verdicts: Vec<VerdictRow>,
    /// How full the entry is, in hundredths, see [`policy::overload::Fullness`].
    #[prost(uint32, tag = "13")]
    pub fullness: u32,
}

/// The unit of how full an entry is in datagrams.
const FULLNESS_UNIT: f64 = 0.01;

/// Encodes how full an entry is.
pub fn encode_fullness(share: f64) -> u32 {
    units(share, FULLNESS_UNIT)
}

/// Decodes a sum of what entries told of how full they are.
pub fn decode_fullness(sum: u64) -> f64 {
    f64::from(u32::try_from(sum).unwrap_or(u32::MAX)) * FULLNESS_UNIT
}

/// Rounds a positive value to a number of units.
fn units(value: f64, unit: f64) -> u32 {
    // Casting a positive float to an integer saturates.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
    let units = (value / unit).round() as u32;
    units
}

/// The time that engines take per piece, as columns of equal length: about 14 bytes per engine.
#[derive(Clone, PartialEq, Message)]
pub struct Paces {
    /// The engines, each by the lower half of the hash of its incarnation.
    #[prost(fixed32, repeated, tag = "1")]
    pub engines: Vec<u32>,
    /// The usual times, in tenths of a millisecond.
    #[prost(uint32, repeated, tag = "2")]
    pub usual: Vec<u32>,
    /// The times in bad moments, in tenths of a millisecond.
    #[prost(uint32, repeated, tag = "3")]
    pub bad: Vec<u32>,
    /// The times as of the last pieces, in tenths of a millisecond.
    #[prost(uint32, repeated, tag = "6")]
    pub latest: Vec<u32>,
    /// In how many more observed seconds the bad time is forgotten.
    #[prost(uint32, repeated, tag = "4")]
    pub bad_seconds: Vec<u32>,
    /// How long ago the last piece arrived, in tenths of a second.
    #[prost(uint32, repeated, tag = "5")]
    pub ages: Vec<u32>,
}

/// The unit of times per piece in datagrams.
const PIECE_TIME_UNIT: Duration = Duration::from_micros(100);

/// The unit of the ages of times per piece in datagrams.
const PACE_AGE_UNIT: Duration = Duration::from_millis(100);

impl Paces {
    /// Encodes the rows.
    pub fn new(rows: &[PaceRow]) -> Self {
        let units = |span: Duration, unit: Duration| {
            u32::try_from(span.as_micros() / unit.as_micros()).unwrap_or(u32::MAX)
        };
        let mut paces = Self::default();
        for PaceRow { engine, report } in rows {
            paces.engines.push(*engine);
            paces.usual.push(units(report.usual, PIECE_TIME_UNIT));
            paces.bad.push(units(report.bad, PIECE_TIME_UNIT));
            paces.latest.push(units(report.latest, PIECE_TIME_UNIT));
            paces.bad_seconds.push(report.bad_seconds);
            paces.ages.push(units(report.age, PACE_AGE_UNIT));
        }
        paces
    }

    /// Decodes the rows. Columns of different lengths are cut to the shortest.
    pub fn rows(&self) -> Vec<PaceRow> {
        let times = self.usual.iter().zip(&self.bad).zip(&self.latest);
        let times = times.zip(&self.bad_seconds).zip(&self.ages);
        let rows = self.engines.iter().zip(times);
        let rows = rows.map(|(engine, ((((usual, bad), latest), bad_seconds), age))| PaceRow {
            engine: *engine,
            report: Report {
                usual: PIECE_TIME_UNIT * *usual,
                bad: PIECE_TIME_UNIT * *bad,
                latest: PIECE_TIME_UNIT * *latest,
                bad_seconds: *bad_seconds,
                age: PACE_AGE_UNIT * *age,
            },
        });
        rows.collect()
    }
}

/// A target that is leaving or paused, by its own response.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct UnavailableTarget {
    /// The key of the target's incarnation. It is the whole hash, because a target that is mistaken
    /// for a leaving one gets no more work.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Whether the target is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// For how long the target accepts no requests from the sending entry, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub pause_ms: u32,
}

/// The demand for one service at an entry, and what the entry has measured.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ServiceLoad {
    /// The service, by the lower half of the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Tokens to prefill: those tokens of prompts that no engine had cached.
    #[prost(uint64, tag = "2")]
    pub requested_tokens: u64,
    /// Tokens that an engine prefills per second; 0 if unknown.
    #[prost(double, tag = "3")]
    pub prefill_rate: f64,
    /// Seconds per token of a stream; 0 if unknown.
    #[prost(double, tag = "4")]
    pub token_time: f64,
    /// How many requests the entry serves at a time, in tenths.
    #[prost(uint32, tag = "5")]
    pub demand: u32,
}

/// The unit of the demand in datagrams, in requests.
const DEMAND_UNIT: f64 = 0.1;

/// Encodes how many requests an entry serves at a time.
pub fn encode_demand(demand: f64) -> u32 {
    units(demand, DEMAND_UNIT)
}

impl ServiceLoad {
    /// Decodes how many requests the entry serves at a time.
    pub fn demand(&self) -> f64 {
        f64::from(self.demand) * DEMAND_UNIT
    }
}

/// How far an entry has read one stream of the log, see [`crate::cluster::tail::ReadStatus`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StreamRead {
    /// The stream, as its index in [`crate::cluster::tail::TOPICS`].
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The offset after the last record that changed something.
    #[prost(uint64, tag = "2")]
    pub change_end: u64,
    /// How long ago the newest read was made that found nothing more, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// The process that made that read.
    #[prost(fixed64, tag = "4")]
    pub reader: u64,
    /// Counts the reads of that process; 0 from a build that doesn't count them.
    #[prost(uint64, tag = "5")]
    pub number: u64,
    /// How far that read went.
    #[prost(uint64, tag = "6")]
    pub position: u64,
    /// How long that read took, in milliseconds; 0 from a build that doesn't tell.
    #[prost(uint32, tag = "7")]
    pub duration_ms: u32,
}

impl StreamRead {
    /// Encodes what an entry tells about a stream.
    pub fn new(status: &ReadStatus) -> Self {
        let topic = (0..).zip(TOPICS).find(|(_, topic)| *topic == status.topic);
        Self {
            topic: topic.map_or(u32::MAX, |(index, _)| index),
            change_end: status.change_end,
            age_ms: u32::try_from(status.age.as_millis()).unwrap_or(u32::MAX),
            duration_ms: u32::try_from(status.duration.as_millis()).unwrap_or(u32::MAX),
            reader: status.read.reader,
            number: status.read.number,
            position: status.position,
        }
    }

    /// Decodes it; `None` for a stream that only a newer build follows.
    pub fn status(&self) -> Option<ReadStatus> {
        let topic = TOPICS.get(usize::try_from(self.topic).ok()?)?;
        Some(ReadStatus {
            topic: *topic,
            change_end: self.change_end,
            read: ReadId { reader: self.reader, number: self.number },
            age: Duration::from_millis(self.age_ms.into()),
            duration: Duration::from_millis(self.duration_ms.into()),
            position: self.position,
        })
    }
}

/// The work of an entry at engines, as columns of equal length: seven bytes per engine.
#[derive(Clone, PartialEq, Message)]
pub struct Work {
    /// The engines, each by the lower half of the hash of its id.
    #[prost(fixed32, repeated, tag = "1")]
    pub engines: Vec<u32>,
    /// Tokens to prefill there, in units of [`TOKENS_PER_UNIT`].
    #[prost(uint32, repeated, tag = "2")]
    pub prefill_units: Vec<u32>,
    /// Streams there.
    #[prost(uint32, repeated, tag = "3")]
    pub streams: Vec<u32>,
}

/// The work of other entries at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Tokens to prefill.
    pub prefill_tokens: u64,
    /// Streams.
    pub streams: u32,
}

impl Work {
    /// Decodes the load of each engine. Columns of different lengths are cut to the shortest.
    pub fn rows(self) -> Vec<(u32, PeerLoad)> {
        let columns = self.engines.into_iter().zip(self.prefill_units).zip(self.streams);
        let rows = columns.map(|((engine, units), streams)| {
            (engine, PeerLoad { prefill_tokens: u64::from(units) * TOKENS_PER_UNIT, streams })
        });
        rows.collect()
    }
}
