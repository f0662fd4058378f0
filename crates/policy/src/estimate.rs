//! How much work a request is: its prompt is known, its output is predicted.
//!
//! **Load pattern.** Some callers ask for verdicts of 3 tokens, others for letters of 2,000, and
//! all leave `max_tokens` high. **Without it** a backlog counted in requests, or in `max_tokens`,
//! is wrong by two orders of magnitude: admission refuses what would have fitted and routing
//! sends short requests behind long ones. **How.** A quantile of the output length is followed
//! for each (caller, model) by stochastic approximation on a logarithmic scale: one number and
//! one counter each, whatever the distribution. A pair not seen yet takes the model's quantile.
//!

use crate::number::{count, float, span};
use crate::{Hash, hash, mix};
use std::collections::HashMap;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

/// The work of a request, or of many, in tokens; prefill and decode apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to read.
    pub prefill: u64,
    /// Output tokens to generate.
    pub decode: u64,
}

/// How many tokens a second a target does of each kind, if it does only that.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Output tokens a second, over all slots together.
    pub decode: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { prefill: 8_000.0, decode: 1_000.0 }
    }
}

impl Cost {
    /// Prompt tokens that an engine reads in the time of one output token, for comparing targets
    /// whose rates are unknown. Batched engines of today read 5 to 15 times as fast as they write.
    pub const PREFILL_PER_DECODE: u64 = 8;

    /// Makes a cost of prompt and output tokens.
    pub fn new(prefill: u64, decode: u64) -> Self {
        Self { prefill, decode }
    }

    /// The cost in units of one output token, at least 1.
    pub fn work(&self) -> u64 {
        (self.prefill / Self::PREFILL_PER_DECODE + self.decode).max(1)
    }

    /// The seconds that a target of these `rates` needs for it.
    pub fn seconds(&self, rates: &Rates) -> f64 {
        float(self.prefill) / rates.prefill.max(1.0) + float(self.decode) / rates.decode.max(1.0)
    }

    /// The time that a target of these `rates` needs for it.
    pub fn time(&self, rates: &Rates) -> Duration {
        span(self.seconds(rates))
    }
}

impl Add for Cost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::new(self.prefill + other.prefill, self.decode + other.decode)
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Cost {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        let prefill = self.prefill.saturating_sub(other.prefill);
        Self::new(prefill, self.decode.saturating_sub(other.decode))
    }
}

impl SubAssign for Cost {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

/// Settings of the prediction.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Which quantile is predicted. For log-normal lengths of sigma 0.9, which chats resemble,
    /// the mean lies at the quantile 0.67, so that backlogs add up to what they are.
    pub quantile: f64,
    /// The prediction before anything is learnt, in tokens.
    pub initial: u32,
    /// The smallest step, as a fraction: an estimate moves by half within some 20 requests.
    pub step: f64,
    /// Pairs of (caller, model) kept in each of two generations: 4,500 callers by 4 models are
    /// 18,000. Two generations of 32 bytes a pair stay under 4 MB.
    pub pairs: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { quantile: 0.67, initial: 256, step: 0.05, pairs: 20_000 }
    }
}

/// One quantile that is followed, and the part of prompts that engines had cached.
#[derive(Debug, Clone, Copy)]
struct Track {
    value: f64,
    cached: f64,
    seen: u32,
}

impl Track {
    /// The first steps are large, so that a new pair settles within a few requests.
    const FIRST_STEP: f64 = 0.8;

    fn learn(&mut self, output: f64, settings: &Settings) {
        self.seen = self.seen.saturating_add(1);
        let step = (Self::FIRST_STEP / f64::from(self.seen).sqrt()).max(settings.step);
        let direction =
            if output > self.value { settings.quantile } else { settings.quantile - 1.0 };
        self.value = (self.value * (step * direction * 2.0).exp()).max(1.0);
    }
}

/// Predicts output lengths, learning from what was generated.
#[derive(Debug, Default)]
pub struct Estimator {
    settings: Settings,
    young: HashMap<Hash, Track>,
    old: HashMap<Hash, Track>,
    models: HashMap<Hash, Track>,
}

/// The weight of one answer in the average of the cached part: it settles within some 20 answers.
const CACHED_WEIGHT: f64 = 0.1;

/// Models followed for pairs not seen yet; further ones start from the initial prediction.
const MAX_MODELS: usize = 1_024;

impl Estimator {
    /// Makes an estimator that has learnt nothing.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Predicts the work of a request; `max_tokens` of 0 means that it sets no limit.
    ///
    /// Of the prompt only the part counts that engines usually lack in their caches.
    pub fn cost(&self, caller: &str, model: &str, prompt: u32, max_tokens: u32) -> Cost {
        let track = self.track(pair(caller, model), hash(model));
        let predicted = count(track.value).max(1);
        let output = if max_tokens == 0 { predicted } else { predicted.min(u64::from(max_tokens)) };
        let prefill = count(f64::from(prompt) * (1.0 - track.cached));
        Cost::new(prefill, output)
    }

    /// Learns that `cached` of a prompt's tokens came from the engine's cache.
    pub fn learn_cached(&mut self, caller: &str, model: &str, prompt: u32, cached: u32) {
        let pair = pair(caller, model);
        let mut track = self.track(pair, hash(model));
        let share = f64::from(cached.min(prompt)) / f64::from(prompt.max(1));
        track.cached += (share - track.cached) * CACHED_WEIGHT;
        self.keep(pair, track);
    }

    /// Learns that an answer had `output` tokens.
    pub fn learn(&mut self, caller: &str, model: &str, output: u32) {
        let output = f64::from(output.max(1));
        let pair = pair(caller, model);
        let mut track = self.track(pair, hash(model));
        track.learn(output, &self.settings);
        self.keep(pair, track);
        if self.models.len() < MAX_MODELS || self.models.contains_key(&hash(model)) {
            let initial = f64::from(self.settings.initial);
            let model = self.models.entry(hash(model));
            model
                .or_insert(Track { value: initial, cached: 0.0, seen: 0 })
                .learn(output, &self.settings);
        }
    }

    /// How many pairs are kept, which is bounded.
    pub fn pairs(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn track(&self, pair: Hash, model: Hash) -> Track {
        let known = self.young.get(&pair).or_else(|| self.old.get(&pair)).copied();
        known.unwrap_or_else(|| {
            let initial = f64::from(self.settings.initial);
            let value = self.models.get(&model).map_or(initial, |track| track.value);
            Track { value, cached: 0.0, seen: 0 }
        })
    }

    /// Keeps a pair; when a generation is full, the pairs not seen during it are forgotten.
    fn keep(&mut self, pair: Hash, track: Track) {
        if self.young.len() >= self.settings.pairs && !self.young.contains_key(&pair) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(pair, track);
    }
}

fn pair(caller: &str, model: &str) -> Hash {
    mix(hash(caller), hash(model))
}
