//! A model of engines that read prompts for others that write, for [`crate::prefill`],
//! [`crate::decode`], [`crate::retry_detection`] and [`crate::split`].
//!
//! Engines are modelled step by step: an engine that reads takes prompts one after another, by
//! urgency, and reads what it does not keep; KV cache goes through both ends' links, on which
//! transfers run one after another; an engine that writes makes one token of every stream a step, in
//! a bounded number of slots, and more urgent streams put back the newest of the least urgent.
//! Memory keeps parts of prompts until others, used later, need the room. Entries know their own
//! work at once and the others' when they last heard of it.
//!
//! Left out: engines that write and read, pauses of streams while an engine reads, orders,
//! failures, the entries' own time, and wrong beliefs about what engines keep.

mod compare;
mod engine;
mod fleet;
mod traffic;

pub use compare::{compare, compare_coordination};
pub use engine::Figures;
pub use fleet::{Options, run};
pub use traffic::{Class, Traffic, swinging};

use crate::number::float;

/// How the requests of one class ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Ended {
    /// All of them.
    pub asked: u64,
    /// Answered within their objective, and for streams without a pause that is too long.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused for good.
    pub refused: u64,
}

/// What a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// Long prompts with little output.
    pub long: Ended,
    /// Short prompts with long output.
    pub short: Ended,
    /// Tokens of shared parts that were read although some engine kept them or had kept them.
    pub read_again: u64,
    /// Streams that were put back.
    pub put_back: u64,
    /// Long prompts in time if no shared part were read twice and engines never waited for news.
    pub bound: u64,
}

/// What a late answer is worth, against one in time.
const LATE: f64 = 0.3;

impl Ended {
    /// What was earned, of 1.
    pub fn worth(&self) -> f64 {
        (float(self.in_time) + LATE * float(self.late)) / float(self.asked.max(1))
    }
}

impl Outcome {
    /// The share of the bound that was reached.
    pub fn of_bound(&self) -> f64 {
        float(self.long.in_time) / float(self.bound.max(1))
    }
}
