//! One engine: its cache, its prefill queue and its streams.

use super::traffic::{PartId, Request};
use crate::number::float;
use std::collections::HashMap;

/// The performance parameters of an engine; the defaults are those of today's users.
#[derive(Debug, Clone, Copy)]
pub struct EngineParameters {
    /// Streams that are decoded at once.
    pub slots: usize,
    /// Tokens whose KV cache fits in its memory.
    pub memory: u64,
    /// Seconds of a decode step, without the time per stream and per context token.
    pub step: f64,
    /// Seconds that each stream adds to a step.
    pub step_per_stream: f64,
    /// Seconds that each 1,000 tokens of context add to a step.
    pub step_per_kilotoken: f64,
    /// Tokens prefilled per second, without the time per pair of tokens.
    pub prefill_rate: f64,
    /// Seconds that each million pairs of tokens adds to a prefill, for attention.
    pub pair_time: f64,
    /// Tokens whose KV cache its link transfers per second within a failure domain.
    pub link: f64,
    /// Seconds that a transfer takes besides.
    pub transfer_setup: f64,
    /// Tokens per event of a stream.
    pub stride: u64,
    /// The longest gap between two events that still meets the objective, in seconds.
    pub max_gap: f64,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            slots: 32,
            memory: 232_000,
            step: 0.000_683,
            step_per_stream: 0.000_001_51,
            step_per_kilotoken: 0.000_002_87,
            prefill_rate: 310_000.0,
            pair_time: 0.000_092_1,
            link: 3_242_000.0,
            transfer_setup: 0.000_33,
            stride: 51,
            max_gap: 0.15,
        }
    }
}

/// A stream that is being decoded, or waits for a slot.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    pub request: Request,
    pub priority: u8,
    /// When the prefill was promised to end, if the objective had not passed.
    pub promised_at: Option<f64>,
    pub generated: u64,
    /// The time of the first token.
    pub first_token: Option<f64>,
    pub last_event: f64,
    /// Whether a gap between two events was too long.
    pub gap_exceeded: bool,
    pub entry: usize,
}

/// A prompt that waits for prefill.
#[derive(Debug, Clone)]
pub(super) struct QueuedPrompt {
    pub request: Request,
    pub entry: usize,
    /// Tokens that the entry has reserved for it.
    pub tokens: u64,
    /// When its prefill was promised to end, if the objective had not passed.
    pub promised_at: Option<f64>,
    /// Tokens of its prefix that were copied from another engine.
    pub copied: u64,
    pub priority: u8,
    /// Decides between prompts of equal priority.
    pub sequence: u64,
}

/// An engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    pub is_prefill: bool,
    pub domain: u64,
    pub queue: Vec<QueuedPrompt>,
    /// The prompt that it is processing.
    pub current: Option<QueuedPrompt>,
    pub running: Vec<Stream>,
    /// Streams that wait for a slot.
    pub waiting: Vec<Stream>,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// The time at which its link is free.
    pub link_free_at: f64,
    /// Cached parts that prompts share: their tokens, and when they were last used.
    shared: HashMap<PartId, (u64, u64)>,
    /// Cached parts of one prompt only, the oldest first: their tokens, and when they were used.
    own: Vec<(u64, u64)>,
    /// Counts uses of the cache, as the time of a use.
    clock: u64,
    /// Tokens of all cached parts.
    used: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(is_prefill: bool, domain: u64) -> Self {
        Self { is_prefill, domain, ..Self::default() }
    }

    /// Returns the number of tokens of the longest cached prefix of a prompt.
    pub fn cached_tokens(&self, request: &Request) -> u64 {
        let parts = request.shared.iter().take_while(|(id, _)| self.shared.contains_key(id));
        parts.map(|(_, tokens)| tokens).sum()
    }

    /// Caches the parts of a prompt and evicts the least recently used ones if memory is short.
    pub fn cache(&mut self, request: &Request, memory: u64) {
        self.clock += 1;
        for (id, tokens) in &request.shared {
            if self.shared.insert(*id, (*tokens, self.clock)).is_none() {
                self.used += tokens;
            }
        }
        self.own.push((request.own, self.clock));
        self.used += request.own;
        let busy: u64 = self.running.iter().map(|s| s.request.tokens() + s.generated).sum();
        while self.used + busy > memory && !(self.own.is_empty() && self.shared.is_empty()) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        // Parts of one prompt have equal times of use. The id breaks the tie, since the order of
        // the map differs between runs.
        let oldest = self.shared.iter().min_by_key(|(id, (_, used))| (*used, **id));
        let oldest = oldest.map(|(id, (tokens, used))| (*id, *tokens, *used));
        match (self.own.first().copied(), oldest) {
            (Some((tokens, used)), shared) if shared.is_none_or(|(_, _, at)| used <= at) => {
                self.own.remove(0);
                self.used -= tokens;
            }
            (_, Some((id, tokens, _))) => {
                self.shared.remove(&id);
                self.used -= tokens;
            }
            (_, None) => {}
        }
    }

    /// Returns the duration of the next step, in seconds.
    pub fn step_time(&self, parameters: &EngineParameters) -> f64 {
        let context: u64 = self.running.iter().map(|s| s.request.tokens() + s.generated).sum();
        let streams = float(u64::try_from(self.running.len()).unwrap_or(u64::MAX));
        parameters.step
            + parameters.step_per_stream * streams
            + parameters.step_per_kilotoken * float(context) / 1e3
    }

    /// Fills the slots, with the most urgent streams first. A waiting stream that is more urgent
    /// than a running one preempts the newest of the least urgent. Returns the number of
    /// preemptions.
    pub fn fill_slots(&mut self, slots: usize) -> u64 {
        let mut preempted = 0;
        self.waiting.sort_by_key(|stream| stream.priority);
        while !self.waiting.is_empty() {
            if self.running.len() < slots {
                let next = self.waiting.remove(0);
                self.running.push(next);
                continue;
            }
            let least = (0..self.running.len()).max_by_key(|&at| (self.running[at].priority, at));
            let Some(least) =
                least.filter(|&at| self.running[at].priority > self.waiting[0].priority)
            else {
                break;
            };
            let next = self.waiting.remove(0);
            let displaced = std::mem::replace(&mut self.running[least], next);
            self.waiting.push(displaced);
            preempted += 1;
        }
        preempted
    }
}
