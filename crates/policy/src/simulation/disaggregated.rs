//! A simulation of disaggregated prefill and decode, for [`crate::prefill`], [`crate::decode`],
//! [`crate::retry_detection`] and [`crate::split`].
//!
//! Engines are modelled step by step. A prefill engine processes prompts one after another, by
//! priority, without the parts that it has cached. KV cache is transferred over the engines' links,
//! on which transfers run one after another. A decode engine generates one token of every stream in
//! each step, in a bounded number of slots, and more urgent streams preempt the newest of the least
//! urgent ones. Parts of prompts stay cached until more recently used ones need the memory. An
//! entry knows its own work immediately, and that of the others as of the last update.
//!
//! Not modelled: engines that prefill and decode, gaps in streams while an engine prefills, orders,
//! failures, processing time of the entries, and outdated knowledge of the engines' caches.

mod compare;
mod engine;
mod fleet;
mod traffic;

pub use compare::{compare, compare_coordination};
pub use engine::EngineParameters;
pub use fleet::{Options, run};
pub use traffic::{Class, Traffic, swinging};

use crate::number::float;

/// Counts of the requests of one class, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCounts {
    /// All requests.
    pub requests: u64,
    /// Requests whose first token met the objective, and whose stream had no gap that is too long.
    pub in_time: u64,
    /// Other requests whose first token met the deadline.
    pub late: u64,
    /// Requests that were refused again on their retry, or missed the deadline.
    pub refused: u64,
}

/// The results of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Results {
    /// Long prompts with little output.
    pub long: OutcomeCounts,
    /// Short prompts with long output.
    pub short: OutcomeCounts,
    /// Tokens of shared parts that were prefilled although an engine had prefilled them before.
    pub recomputed_tokens: u64,
    /// How often a stream was preempted.
    pub preempted: u64,
    /// Long prompts that were promised in time and got a first token.
    pub promised: u64,
    /// Those of them whose first token was in time.
    pub kept: u64,
    /// An upper bound for long prompts in time: no shared part is prefilled twice, and engines
    /// never idle because entries lack an update.
    pub bound: u64,
}

/// The utility of a late response, relative to one in time.
const LATE_UTILITY: f64 = 0.3;

impl OutcomeCounts {
    /// Returns the mean utility of a request, from 0 to 1.
    pub fn utility(&self) -> f64 {
        (float(self.in_time) + LATE_UTILITY * float(self.late)) / float(self.requests.max(1))
    }
}

impl Results {
    /// Returns the number of long prompts in time, as a fraction of the bound.
    pub fn share_of_bound(&self) -> f64 {
        float(self.long.in_time) / float(self.bound.max(1))
    }
}
