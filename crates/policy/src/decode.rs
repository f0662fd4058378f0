//! Decides which engine decodes the output of a prompt that another engine has prefilled.
//!
//! **Load pattern.** Hundreds of KV caches per second are transferred from prefill to decode
//! engines, over links on which transfers run one after another, and streams of seconds fill the
//! slots of the decode engines. **Without this** (fewest streams), two of three caches go to
//! another failure domain, where they take twice as long, and an engine with a slow link gets its
//! share until transfers to it wait for seconds. **Approach.** Engines that are unavailable or
//! about to change their role come last. Then slow links count, then how many quarters of the slots
//! are in use, then the distance, then the number of streams.

use std::time::Duration;

/// Number of levels by which slot usage is compared. Within one level the engine in the same
/// failure domain is preferred: with fewer streams, decode is hardly faster.
const USAGE_LEVELS: u32 = 4;

/// Step by which slow transfers are compared, as a share of the objective: about as long as a
/// prompt may wait for the prefill of two others.
const TRANSFER_STEP: f64 = 0.17;

/// An engine that could decode a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DecodeCandidate {
    /// Whether it can't be reached, does not respond or accepts no requests.
    pub unavailable: bool,
    /// Whether it is about to become a prefill engine.
    pub changing: bool,
    /// How much longer than usual KV cache transfers to it take.
    pub transfer_excess: Duration,
    /// Streams that it is known to decode.
    pub streams: u32,
    /// Streams that it can decode concurrently.
    pub slots: u32,
    /// Whether the KV cache is in the same failure domain.
    pub same_domain: bool,
}

impl DecodeCandidate {
    /// Returns whether the engine is available and streams use less than `max_percent` of its
    /// slots.
    pub fn has_room(&self, max_percent: u32) -> bool {
        !self.unavailable
            && u64::from(self.streams) * 100 < u64::from(self.slots) * u64::from(max_percent)
    }
}

/// The rank of a candidate. The lowest is chosen; equal ones are equivalent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    unavailable: bool,
    changing: bool,
    transfer_level: u128,
    usage_level: u32,
    other_domain: bool,
    streams: u32,
}

/// Returns the rank of a candidate for a stream whose first token is due within `objective`.
pub fn rank(candidate: &DecodeCandidate, objective: Duration) -> Rank {
    let step = objective.mul_f64(TRANSFER_STEP).max(Duration::from_millis(1));
    Rank {
        unavailable: candidate.unavailable,
        changing: candidate.changing,
        transfer_level: candidate.transfer_excess.as_micros() / step.as_micros(),
        usage_level: candidate.streams / (candidate.slots / USAGE_LEVELS).max(1),
        other_domain: !candidate.same_domain,
        streams: candidate.streams,
    }
}
