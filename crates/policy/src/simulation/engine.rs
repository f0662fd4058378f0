//! An engine as a fluid: it reads prompts one after the other and writes all outputs side by side.

use crate::estimate::{Cost, Rates};
use crate::number::float;
use crate::queue::Discipline;
use conf::resource::Role;
use std::collections::VecDeque;

/// The index of a call in the model.
pub(super) type CallIndex = usize;

/// What a scenario says of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSetup {
    /// Its failure domain.
    pub domain: usize,
    /// Its role at the start.
    pub role: Role,
    /// How many times slower than its peers it is.
    pub slowness: f64,
    /// Whether it fails everything at once, looking idle.
    pub failing: bool,
    /// The part of its rates that it keeps while it reads and writes at the same time: a prompt's
    /// chunk in the batch delays every output in it.
    pub mixed_efficiency: f64,
}

/// Requests that run side by side.
pub(super) const SLOTS: u32 = 16;

/// What engines keep of their rates while they mix, unless a scenario says otherwise. Chunked
/// prefill costs some tenths; no engine was measured for this.
pub(super) const MIXED_EFFICIENCY: f64 = 0.85;

/// The share of an engine that reading may take while there is output to write.
pub(super) const MOST_PREFILL: f64 = 0.6;

/// What reading beside outputs costs them, as a part of its own time: as
/// [`crate::roles::Settings::mixing`] counts it.
pub(super) fn mixing(efficiency: f64) -> f64 {
    let reading = MOST_PREFILL * efficiency;
    let writing = (1.0 - MOST_PREFILL) * efficiency;
    (1.0 - writing) / reading - 1.0
}

/// Shared prefixes that an engine's cache holds.
const CACHED_PREFIXES: usize = 32;

/// One running request.
#[derive(Debug, Clone, Copy)]
struct Running {
    call: CallIndex,
    left: f64,
    goes_first: bool,
}

/// What an engine has finished.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Done {
    Prefill(CallIndex),
    Decode(CallIndex),
}

/// One engine and its agent's queue.
pub(super) struct Engine {
    pub(super) setup: EngineSetup,
    pub(super) role: Role,
    pub(super) queue: Box<dyn Discipline<CallIndex>>,
    pub(super) up: bool,
    pub(super) changing: bool,
    pub(super) since: f64,
    /// Counts changes, so that a planned event that no longer holds is known.
    pub(super) epoch: u64,
    /// The call that runs here alone or is to, and keeps others out.
    pub(super) exclusive: Option<CallIndex>,
    prefill: VecDeque<Running>,
    decode: Vec<Running>,
    cache: VecDeque<u64>,
    last: f64,
}

impl Engine {
    pub(super) fn new(setup: EngineSetup, queue: Box<dyn Discipline<CallIndex>>) -> Self {
        Self {
            setup,
            role: setup.role,
            queue,
            up: true,
            changing: false,
            since: -1e6,
            epoch: 0,
            exclusive: None,
            prefill: VecDeque::new(),
            decode: Vec::new(),
            cache: VecDeque::new(),
            last: 0.0,
        }
    }

    /// The rates that the engine has by itself, doing one kind of work.
    pub(super) fn rates(&self) -> Rates {
        let Rates { prefill, decode } = Rates::default();
        Rates { prefill: prefill / self.setup.slowness, decode: decode / self.setup.slowness }
    }

    pub(super) fn works(&self) -> bool {
        self.up && !self.changing
    }

    /// The work that runs.
    pub(super) fn running(&self) -> Cost {
        let sum = |left: f64| crate::number::count(left);
        let prefill = self.prefill.iter().map(|running| running.left).sum();
        let decode = self.decode.iter().map(|running| running.left).sum();
        Cost::new(sum(prefill), sum(decode))
    }

    pub(super) fn is_idle(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }

    /// Adds a prompt to read. Engines honour priorities between chunks of a prompt, so a call that
    /// `goes_first` is read before those that don't.
    pub(super) fn add_prefill(&mut self, call: CallIndex, tokens: f64, goes_first: bool) {
        let before = self.prefill.iter().position(|other| goes_first && !other.goes_first);
        let at = before.unwrap_or(self.prefill.len());
        self.prefill.insert(at, Running { call, left: tokens, goes_first });
    }

    pub(super) fn add_decode(&mut self, call: CallIndex, tokens: f64) {
        self.decode.push(Running { call, left: tokens, goes_first: false });
    }

    /// Takes out all that runs: each call, with the output tokens it lacks if it was writing.
    pub(super) fn take_running(&mut self) -> Vec<(CallIndex, Option<f64>)> {
        self.cache.clear();
        let reading = self.prefill.drain(..).map(|running| (running.call, None));
        let writing = self.decode.drain(..).map(|running| (running.call, Some(running.left)));
        reading.chain(writing).collect()
    }

    /// Whether the prefix is in the cache, where it is from now on.
    pub(super) fn hits(&mut self, prefix: u64) -> bool {
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

    /// Tokens a second: of the prompt that is read, and of each output.
    fn speeds(&self) -> (f64, f64) {
        let Rates { prefill, decode } = self.rates();
        let outputs = float(u64::try_from(self.decode.len()).unwrap_or(0));
        let wanted = outputs / f64::from(SLOTS);
        if self.prefill.is_empty() {
            return (0.0, decode / f64::from(SLOTS));
        }
        if self.decode.is_empty() {
            return (prefill, 0.0);
        }
        let reading = (1.0 - wanted).clamp(MOST_PREFILL, 1.0);
        let writing = wanted.min(1.0 - reading);
        let keep = self.setup.mixed_efficiency;
        (prefill * reading * keep, decode * writing * keep / outputs)
    }

    /// Lets the time pass until `now` and tells what has finished.
    pub(super) fn advance(&mut self, now: f64) -> Vec<Done> {
        let (reading, writing) = self.speeds();
        let elapsed = (now - self.last).max(0.0);
        self.last = now;
        let mut done = Vec::new();
        if let Some(first) = self.prefill.front_mut() {
            first.left -= reading * elapsed;
            if first.left <= DUST {
                done.extend(self.prefill.pop_front().map(|running| Done::Prefill(running.call)));
            }
        }
        for running in &mut self.decode {
            running.left -= writing * elapsed;
        }
        let ended = self.decode.iter().filter(|running| running.left <= DUST);
        done.extend(ended.map(|running| Done::Decode(running.call)));
        self.decode.retain(|running| running.left > DUST);
        done
    }

    /// When something finishes next, if nothing changes before.
    pub(super) fn next(&self) -> Option<f64> {
        let (reading, writing) = self.speeds();
        let prefill = self.prefill.front().map(|running| running.left.max(0.0) / reading);
        let least = self.decode.iter().map(|running| running.left).min_by(f64::total_cmp);
        let decode = least.map(|left| left.max(0.0) / writing);
        let wait = [prefill, decode].into_iter().flatten().min_by(f64::total_cmp)?;
        Some(self.last + wait)
    }
}

/// Parts of a token that rounding may leave over.
const DUST: f64 = 1e-3;
