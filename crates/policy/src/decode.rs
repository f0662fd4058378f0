//! Which engine writes the output of a prompt that another has read.
//!
//! **Load pattern.** Hundreds of KV caches a second go from engines that read to engines that write,
//! over links on which transfers run one after another; streams of seconds fill the writers' slots.
//! **Without it** (the fewest streams) two of three caches go to another failure domain, where they
//! take twice as long, and an engine whose link is slow gets its share until transfers to it wait
//! for seconds. **How.** Engines that can't be reached or are about to change come last; then slow
//! links count, then how many parts of the slots are filled, then the distance, then the number of
//! streams.

use std::time::Duration;

/// Engines are told apart by how many of these parts of their slots streams fill. Within one such
/// part the nearer engine is taken: with fewer streams an output is hardly faster.
const FILL_PARTS: u32 = 4;

/// Engines whose KV cache is on its way for this share of the objective longer than usual are taken
/// after others: that is as much as reading a prompt may wait for a queue of two others.
const SLOW_STEP: f64 = 0.17;

/// An engine that could write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DecodeCandidate {
    /// Whether it can't be reached or says nothing.
    pub unavailable: bool,
    /// Whether it is about to read instead.
    pub changing: bool,
    /// How much longer than usual KV cache takes to get there.
    pub transfer_excess: Duration,
    /// Streams that it writes, as far as is known.
    pub streams: u32,
    /// Streams that it can write at once.
    pub slots: u32,
    /// Whether the KV cache comes from its own failure domain.
    pub same_domain: bool,
}

impl DecodeCandidate {
    /// Whether it can be counted on and streams fill less than this share of its slots, in hundredths.
    pub fn has_room(&self, filled: u32) -> bool {
        !self.unavailable
            && u64::from(self.streams) * 100 < u64::from(self.slots) * u64::from(filled)
    }
}

/// The place of a writer in the order of choice; the lowest is taken, and of equals any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    away: bool,
    changing: bool,
    slow: u128,
    filled: u32,
    far: bool,
    streams: u32,
}

/// The rank of a writer for an output whose first token is wanted within `objective`.
pub fn rank(writer: &DecodeCandidate, objective: Duration) -> Rank {
    let step = objective.mul_f64(SLOW_STEP).max(Duration::from_millis(1));
    Rank {
        away: writer.unavailable,
        changing: writer.changing,
        slow: writer.transfer_excess.as_micros() / step.as_micros(),
        filled: writer.streams / (writer.slots / FILL_PARTS).max(1),
        far: !writer.same_domain,
        streams: writer.streams,
    }
}
