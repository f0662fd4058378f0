//! A fluid model of an engine: it prefills one prompt after the other and decodes all outputs in
//! parallel.

use crate::estimate::{Cost, Rates};
use crate::number::float;
use crate::queue::Discipline;
use conf::resource::Role;
use std::collections::VecDeque;

/// The index of a call in the simulation.
pub(super) type CallIndex = usize;

/// The properties of an engine in a scenario.
#[derive(Debug, Clone, Copy)]
pub struct EngineSetup {
    /// The index of its failure domain.
    pub domain: usize,
    /// Its role at the start.
    pub role: Role,
    /// How many times slower than its peers it is.
    pub slowdown: f64,
    /// Whether it fails every call immediately, and so looks idle.
    pub failing: bool,
    /// The fraction of its rates that it keeps while it prefills and decodes at the same time: a
    /// chunk of a prompt in the batch delays every output in it.
    pub mixed_efficiency: f64,
}

/// Calls that one engine runs at once.
pub(super) const SLOTS: u32 = 16;

/// The default of [`EngineSetup::mixed_efficiency`]. Chunked prefill costs some tenths; no engine
/// was measured for this.
pub(super) const MIXED_EFFICIENCY: f64 = 0.85;

/// The share of an engine's time that prefill takes while outputs need all of the rest.
pub(super) const PREFILL_SHARE: f64 = 0.6;

/// Returns the time that prefill takes from outputs decoded beside it, relative to its own time, as
/// in [`crate::roles::Settings::mixing`].
pub(super) fn mixing(efficiency: f64) -> f64 {
    let prefill = PREFILL_SHARE * efficiency;
    let decode = (1.0 - PREFILL_SHARE) * efficiency;
    (1.0 - decode) / prefill - 1.0
}

/// The number of shared prefixes that an engine's cache holds.
const CACHED_PREFIXES: usize = 32;

/// A call that an engine is running.
#[derive(Debug, Clone, Copy)]
struct Running {
    call: CallIndex,
    /// Tokens still to be processed, of the prompt or the output.
    remaining: f64,
    prioritized: bool,
}

/// A stage of a call that an engine has finished.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Completion {
    Prefill(CallIndex),
    Decode(CallIndex),
}

/// An engine and the queue of its agent.
pub(super) struct Engine {
    pub(super) setup: EngineSetup,
    pub(super) role: Role,
    pub(super) queue: Box<dyn Discipline<CallIndex>>,
    pub(super) up: bool,
    pub(super) changing: bool,
    /// When it took its role, in seconds.
    pub(super) role_since: f64,
    /// Counts changes: a scheduled event of an earlier revision is stale.
    pub(super) revision: u64,
    /// The call for which the engine is reserved, or that runs alone; no other call may start.
    pub(super) exclusive: Option<CallIndex>,
    prefill: VecDeque<Running>,
    decode: Vec<Running>,
    cache: VecDeque<u64>,
    /// The time up to which the work has been advanced, in seconds.
    advanced_to: f64,
}

impl Engine {
    pub(super) fn new(setup: EngineSetup, queue: Box<dyn Discipline<CallIndex>>) -> Self {
        Self {
            setup,
            role: setup.role,
            queue,
            up: true,
            changing: false,
            role_since: -1e6,
            revision: 0,
            exclusive: None,
            prefill: VecDeque::new(),
            decode: Vec::new(),
            cache: VecDeque::new(),
            advanced_to: 0.0,
        }
    }

    /// Returns the engine's rates while it only prefills or only decodes.
    pub(super) fn rates(&self) -> Rates {
        let Rates { prefill, decode } = Rates::default();
        Rates { prefill: prefill / self.setup.slowdown, decode: decode / self.setup.slowdown }
    }

    pub(super) fn is_available(&self) -> bool {
        self.up && !self.changing
    }

    /// Returns the remaining work of the running calls.
    pub(super) fn running(&self) -> Cost {
        let tokens = |sum: f64| crate::number::count(sum);
        let prefill = self.prefill.iter().map(|running| running.remaining).sum();
        let decode = self.decode.iter().map(|running| running.remaining).sum();
        Cost::new(tokens(prefill), tokens(decode))
    }

    pub(super) fn is_idle(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }

    /// Adds a prompt to prefill. Engines honour priorities between chunks of a prompt, so
    /// prioritized calls are prefilled before the others.
    pub(super) fn add_prefill(&mut self, call: CallIndex, tokens: f64, prioritized: bool) {
        let before = self.prefill.iter().position(|other| prioritized && !other.prioritized);
        let at = before.unwrap_or(self.prefill.len());
        self.prefill.insert(at, Running { call, remaining: tokens, prioritized });
    }

    pub(super) fn add_decode(&mut self, call: CallIndex, tokens: f64) {
        self.decode.push(Running { call, remaining: tokens, prioritized: false });
    }

    /// Removes all running calls; returns each with its remaining output if it was decoding.
    pub(super) fn drain_running(&mut self) -> Vec<(CallIndex, Option<f64>)> {
        self.cache.clear();
        let prefill = self.prefill.drain(..).map(|running| (running.call, None));
        let decode = self.decode.drain(..).map(|running| (running.call, Some(running.remaining)));
        prefill.chain(decode).collect()
    }

    /// Puts a prefix into the cache as the most recently used; returns whether it was there.
    pub(super) fn touch_prefix(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        found.is_some()
    }

    /// Returns the tokens per second of the current prefill, and of each output.
    fn token_rates(&self) -> (f64, f64) {
        let Rates { prefill, decode } = self.rates();
        let outputs = float(u64::try_from(self.decode.len()).unwrap_or(0));
        let slot_usage = outputs / f64::from(SLOTS);
        if self.prefill.is_empty() {
            return (0.0, decode / f64::from(SLOTS));
        }
        if self.decode.is_empty() {
            return (prefill, 0.0);
        }
        let prefill_share = (1.0 - slot_usage).clamp(PREFILL_SHARE, 1.0);
        let decode_share = slot_usage.min(1.0 - prefill_share);
        let efficiency = self.setup.mixed_efficiency;
        (prefill * prefill_share * efficiency, decode * decode_share * efficiency / outputs)
    }

    /// Advances the work to the time `now` and returns what has finished.
    pub(super) fn advance(&mut self, now: f64) -> Vec<Completion> {
        let (prefill_rate, decode_rate) = self.token_rates();
        let elapsed = (now - self.advanced_to).max(0.0);
        self.advanced_to = now;
        let mut done = Vec::new();
        if let Some(first) = self.prefill.front_mut() {
            first.remaining -= prefill_rate * elapsed;
            if first.remaining <= EPSILON {
                done.extend(
                    self.prefill.pop_front().map(|running| Completion::Prefill(running.call)),
                );
            }
        }
        for running in &mut self.decode {
            running.remaining -= decode_rate * elapsed;
        }
        let ended = self.decode.iter().filter(|running| running.remaining <= EPSILON);
        done.extend(ended.map(|running| Completion::Decode(running.call)));
        self.decode.retain(|running| running.remaining > EPSILON);
        done
    }

    /// Returns the time at which a stage finishes next, if nothing changes before.
    pub(super) fn next_completion(&self) -> Option<f64> {
        let (prefill_rate, decode_rate) = self.token_rates();
        let prefill = self.prefill.front().map(|running| running.remaining.max(0.0) / prefill_rate);
        let least = self.decode.iter().map(|running| running.remaining).min_by(f64::total_cmp);
        let decode = least.map(|tokens| tokens.max(0.0) / decode_rate);
        let wait = [prefill, decode].into_iter().flatten().min_by(f64::total_cmp)?;
        Some(self.advanced_to + wait)
    }
}

/// The fraction of a token that counts as finished, for rounding errors.
const EPSILON: f64 = 1e-3;
