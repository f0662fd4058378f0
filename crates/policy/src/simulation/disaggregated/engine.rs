//! One engine: what it keeps, what it reads, what it writes.

use super::traffic::{Class, PartId, Request};
use crate::number::float;
use std::collections::HashMap;

/// The figures of an engine; the defaults are those of today's users.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Streams that are written at once.
    pub slots: usize,
    /// Tokens that fit in its memory.
    pub memory: u64,
    /// Seconds of a step, for each stream in it, and for each 1,000 tokens of context in it.
    pub step: f64,
    /// Seconds that each stream adds to a step.
    pub step_stream: f64,
    /// Seconds that each 1,000 tokens of context add to a step.
    pub step_context: f64,
    /// Tokens read in a second.
    pub reading: f64,
    /// Seconds for each million pairs of tokens in a prompt.
    pub pairs: f64,
    /// Tokens whose KV cache its link carries in a second, within a failure domain.
    pub link: f64,
    /// Seconds until a transfer begins.
    pub set_up: f64,
    /// Tokens between two events of a stream.
    pub stride: u64,
    /// The longest pause between events, in seconds.
    pub pause: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            slots: 32,
            memory: 232_000,
            step: 0.000_683,
            step_stream: 0.000_001_51,
            step_context: 0.000_002_87,
            reading: 310_000.0,
            pairs: 0.000_092_1,
            link: 3_242_000.0,
            set_up: 0.000_33,
            stride: 51,
            pause: 0.15,
        }
    }
}

/// Tokens of context of a stream, in the mean.
const CONTEXT: f64 = 2_400.0;

impl Figures {
    /// Seconds of a step with half of the slots filled.
    pub(super) fn usual_step(&self) -> f64 {
        let streams = float(u64::try_from(self.slots).unwrap_or(u64::MAX)) / 2.0;
        self.step + streams * (self.step_stream + self.step_context * CONTEXT / 1e3)
    }
}

/// A stream that is written.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    pub request: Request,
    pub written: u64,
    pub first: Option<f64>,
    pub last_event: f64,
    pub paused: bool,
    pub entry: usize,
}

/// A prompt that waits to be read.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub request: Request,
    pub entry: usize,
    /// Tokens that were booked for it.
    pub tokens: u64,
    /// Tokens at its start that were copied from another engine.
    pub copied: u64,
    pub urgency: u8,
    pub order: u64,
}

/// An engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    pub reads: bool,
    pub domain: u64,
    pub queue: Vec<Waiting>,
    pub reading: Option<Waiting>,
    pub running: Vec<Stream>,
    /// Streams that wait for a slot.
    pub waiting: Vec<Stream>,
    pub stepping: bool,
    /// When its link is free.
    pub link_free: f64,
    kept: HashMap<PartId, (u64, u64)>,
    own: Vec<(u64, u64)>,
    clock: u64,
    used: u64,
}

impl Engine {
    /// An engine without work that keeps nothing.
    pub fn new(reads: bool, domain: u64) -> Self {
        Self { reads, domain, ..Self::default() }
    }

    /// Tokens at the start of a prompt that it keeps.
    pub fn kept(&self, request: &Request) -> u64 {
        let parts = request.shared.iter().take_while(|(id, _)| self.kept.contains_key(id));
        parts.map(|(_, tokens)| tokens).sum()
    }

    /// Keeps a prompt's parts; those used longest ago yield.
    pub fn keep(&mut self, request: &Request, memory: u64) {
        self.clock += 1;
        for (id, tokens) in &request.shared {
            if self.kept.insert(*id, (*tokens, self.clock)).is_none() {
                self.used += tokens;
            }
        }
        self.own.push((request.own, self.clock));
        self.used += request.own;
        let busy: u64 = self.running.iter().map(|s| s.request.tokens() + s.written).sum();
        while self.used + busy > memory && !(self.own.is_empty() && self.kept.is_empty()) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        // Parts of one prompt were used at the same time; the map's order is another in each run.
        let oldest = self.kept.iter().min_by_key(|(id, (_, used))| (*used, **id));
        let oldest = oldest.map(|(id, (tokens, used))| (*id, *tokens, *used));
        match (self.own.first().copied(), oldest) {
            (Some((tokens, used)), shared) if shared.is_none_or(|(_, _, at)| used <= at) => {
                self.own.remove(0);
                self.used -= tokens;
            }
            (_, Some((id, tokens, _))) => {
                self.kept.remove(&id);
                self.used -= tokens;
            }
            (_, None) => {}
        }
    }

    /// Seconds of the next step.
    pub fn step(&self, figures: &Figures) -> f64 {
        let context: u64 = self.running.iter().map(|s| s.request.tokens() + s.written).sum();
        let streams = float(u64::try_from(self.running.len()).unwrap_or(u64::MAX));
        figures.step + figures.step_stream * streams + figures.step_context * float(context) / 1e3
    }

    /// Fills free slots, the most urgent first; each stream that is more urgent than a running one
    /// puts back the newest of the least urgent. Returns how many were put back.
    pub fn admit(&mut self, slots: usize) -> u64 {
        let mut put_back = 0;
        self.waiting.sort_by_key(rank);
        while !self.waiting.is_empty() {
            if self.running.len() < slots {
                let next = self.waiting.remove(0);
                self.running.push(next);
                continue;
            }
            let least = (0..self.running.len()).max_by_key(|&at| (rank(&self.running[at]), at));
            let Some(least) = least.filter(|&at| rank(&self.running[at]) > rank(&self.waiting[0]))
            else {
                break;
            };
            let next = self.waiting.remove(0);
            let back = std::mem::replace(&mut self.running[least], next);
            self.waiting.push(back);
            put_back += 1;
        }
        put_back
    }
}

/// Long prompts are the more urgent ones, as today's users have it.
fn rank(stream: &Stream) -> u8 {
    match stream.request.class {
        Class::Long => 0,
        Class::Short => 1,
    }
}
