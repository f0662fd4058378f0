//! Estimates the work of a request: the length of its prompt is known, that of its output
//! predicted.
//!
//! **Load pattern.** Some callers ask for verdicts of 3 tokens, others for letters of 2,000, and
//! all set a high `max_tokens`. **Without this**, a backlog counted in requests, or in
//! `max_tokens`, is wrong by two orders of magnitude: admission refuses requests that would have
//! fitted, and routing sends short requests behind long ones. **Approach.** For each (caller,
//! model) pair, a quantile of the output length is followed by stochastic approximation on a
//! logarithmic scale, with one number and one counter each, whatever the distribution. A pair not
//! seen yet starts with the quantile of its model.

use crate::number::{count, float, span};
use crate::{Hash, hash, mix};
use std::collections::HashMap;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

/// The work of one or more requests in tokens, separately for prefill and decode.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to prefill.
    pub prefill: u64,
    /// Output tokens to decode.
    pub decode: u64,
}

/// Tokens per second of a target in each stage, if it serves only that stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Output tokens per second, over all slots together.
    pub decode: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { prefill: 8_000.0, decode: 1_000.0 }
    }
}

impl Cost {
    /// Prompt tokens that an engine prefills in the time of one output token, for comparing targets
    /// whose rates are unknown. Current batched engines prefill 5 to 15 times as fast as they
    /// decode.
    pub const PREFILL_PER_DECODE: u64 = 8;

    /// Creates a cost of prompt and output tokens.
    pub fn new(prefill: u64, decode: u64) -> Self {
        Self { prefill, decode }
    }

    /// Returns the cost in units of one output token, at least 1.
    pub fn work(&self) -> u64 {
        (self.prefill / Self::PREFILL_PER_DECODE + self.decode).max(1)
    }

    /// Returns the seconds that a target with these `rates` needs for the work.
    pub fn seconds(&self, rates: &Rates) -> f64 {
        float(self.prefill) / rates.prefill.max(1.0) + float(self.decode) / rates.decode.max(1.0)
    }

    /// Returns the time that a target with these `rates` needs for the work.
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
    /// The quantile that is predicted. For log-normal lengths with a sigma of 0.9, which chats
    /// resemble, the mean is the 0.67 quantile, so that the predictions of a backlog add up to its
    /// actual work.
    pub quantile: f64,
    /// The prediction before anything is learned, in tokens.
    pub initial: u32,
    /// The smallest step, as a fraction. An estimate moves by half within about 20 requests.
    pub step: f64,
    /// Number of (caller, model) pairs kept in each of two generations: 4,500 callers with 4 models
    /// are 18,000. Two generations of 32 bytes per pair stay under 4 MB.
    pub pairs: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { quantile: 0.67, initial: 256, step: 0.05, pairs: 20_000 }
    }
}

/// The tracked quantile, and the average share of prompts that engines had cached.
#[derive(Debug, Clone, Copy)]
struct Track {
    quantile: f64,
    cached_share: f64,
    samples: u32,
}

impl Track {
    /// Size of the first step. The first steps are large, so that a new pair converges within a few
    /// requests.
    const FIRST_STEP: f64 = 0.8;

    fn learn(&mut self, output: f64, settings: &Settings) {
        self.samples = self.samples.saturating_add(1);
        let step = (Self::FIRST_STEP / f64::from(self.samples).sqrt()).max(settings.step);
        let direction =
            if output > self.quantile { settings.quantile } else { settings.quantile - 1.0 };
        self.quantile = (self.quantile * (step * direction * 2.0).exp()).max(1.0);
    }
}

/// Predicts output lengths, and learns from the outputs that were generated.
#[derive(Debug, Default)]
pub struct Estimator {
    settings: Settings,
    current: HashMap<Hash, Track>,
    previous: HashMap<Hash, Track>,
    models: HashMap<Hash, Track>,
}

/// Weight of one response in the average cached share, which converges within about 20 responses.
const CACHED_WEIGHT: f64 = 0.1;

/// Number of models tracked for pairs not seen yet. Further models start from the initial
/// prediction.
const MAX_MODELS: usize = 1_024;

impl Estimator {
    /// Creates an estimator that has learned nothing.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Predicts the work of a request. A `max_tokens` of 0 means that it sets no limit.
    ///
    /// Of the prompt, only the share counts that engines usually do not have cached.
    pub fn cost(&self, caller: &str, model: &str, prompt: u32, max_tokens: u32) -> Cost {
        let track = self.track(pair(caller, model), hash(model));
        let predicted = count(track.quantile).max(1);
        let output = if max_tokens == 0 { predicted } else { predicted.min(u64::from(max_tokens)) };
        let prefill = count(f64::from(prompt) * (1.0 - track.cached_share));
        Cost::new(prefill, output)
    }

    /// Records that `cached` of a prompt's tokens came from the engine's cache.
    pub fn learn_cached(&mut self, caller: &str, model: &str, prompt: u32, cached: u32) {
        let pair = pair(caller, model);
        let mut track = self.track(pair, hash(model));
        let share = f64::from(cached.min(prompt)) / f64::from(prompt.max(1));
        track.cached_share += (share - track.cached_share) * CACHED_WEIGHT;
        self.store(pair, track);
    }

    /// Records that a response had `output` tokens.
    pub fn learn(&mut self, caller: &str, model: &str, output: u32) {
        let output = f64::from(output.max(1));
        let pair = pair(caller, model);
        let mut track = self.track(pair, hash(model));
        track.learn(output, &self.settings);
        self.store(pair, track);
        if self.models.len() < MAX_MODELS || self.models.contains_key(&hash(model)) {
            let initial = f64::from(self.settings.initial);
            let model = self.models.entry(hash(model));
            model
                .or_insert(Track { quantile: initial, cached_share: 0.0, samples: 0 })
                .learn(output, &self.settings);
        }
    }

    /// Returns the number of pairs kept, which is bounded.
    pub fn pairs(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    fn track(&self, pair: Hash, model: Hash) -> Track {
        let known = self.current.get(&pair).or_else(|| self.previous.get(&pair)).copied();
        known.unwrap_or_else(|| {
            let initial = f64::from(self.settings.initial);
            let quantile = self.models.get(&model).map_or(initial, |track| track.quantile);
            Track { quantile, cached_share: 0.0, samples: 0 }
        })
    }

    /// Stores a pair. When a generation is full, the pairs not used during it are dropped.
    fn store(&mut self, pair: Hash, track: Track) {
        if self.current.len() >= self.settings.pairs && !self.current.contains_key(&pair) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(pair, track);
    }
}

fn pair(caller: &str, model: &str) -> Hash {
    mix(hash(caller), hash(model))
}
