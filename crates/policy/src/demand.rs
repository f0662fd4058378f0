//! What callers ask of a pool of engines: tokens to be read, and places for streams.
//!
//! **Load pattern.** Prompts to be read and output to be written rise and fall each by itself, in
//! waves of seconds; what an engine can do of either differs by ten from one kind of engine to
//! another. **Without it** engines are split by a figure that suits one kind of engine and one mix.
//! **How.** Tokens of prompts are counted when callers first ask, whether they are read or not, and
//! streams while they last; how fast engines read and write is learnt from what they do. The
//! highest demand lately counts, since it is what decides who is refused.
//!

use crate::balance::ProjectedLoad;
use crate::number::float;
use std::time::Duration;

/// Prompts have to be read within a fraction of a second, so waves of this length count.
const SPAN: f64 = 1.0;

/// The time in which the memory of a peak halves: the mix swings within minutes.
const MEMORY: f64 = 60.0;

/// The time in which what was last asked for is forgotten by half where engines may change soon: longer
/// than a wave, shorter than a phase.
const RECENT: f64 = 3.0;

/// The time over which the rise of streams is seen.
const RISE: f64 = 3.0;

/// The most that streams are expected to rise, as a part of what they are: when callers begin to come
/// they rise from nothing, and soon no more.
const MOST_RISE: f64 = 0.5;

/// What one engine of a pool does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// Tokens that it reads in a second.
    pub prefill_rate: f64,
    /// Seconds that a stream takes for a token.
    pub token_time: f64,
    /// Streams that it writes at once.
    pub max_streams: u32,
}

/// The demand on a pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandTracker {
    reading: Level,
    streams: Level,
    /// The highest demand of the last seconds for reading.
    recent: f64,
    /// Streams, followed more slowly.
    slow: f64,
    observed: f64,
}

/// A level that follows its samples, and its highest value lately.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    now: f64,
    peak: f64,
}

impl Level {
    fn sample(&mut self, value: f64, elapsed: f64) {
        self.now += (value - self.now) * (1.0 - (-elapsed / SPAN).exp());
        self.peak = (self.peak * (-elapsed / MEMORY).exp2()).max(self.now);
    }
}

/// Engines that a demand would keep busy, of either part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeakLoad {
    /// Engines that read.
    pub prefill: f64,
    /// Engines that write.
    pub decode: f64,
    /// For how long demand was observed.
    pub observed: Duration,
}

impl DemandTracker {
    /// Takes in how many tokens to be read were asked for within the last `elapsed`, and how many
    /// streams there are.
    pub fn observe(&mut self, prompt: u64, streams: u32, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let begun = self.observed > 0.0 || prompt > 0 || streams > 0;
        if elapsed <= 0.0 || !begun {
            return;
        }
        self.observed += elapsed;
        self.reading.sample(float(prompt) / elapsed, elapsed);
        self.streams.sample(f64::from(streams), elapsed);
        self.recent = (self.recent * (-elapsed / RECENT).exp2()).max(self.reading.now);
        self.slow += (f64::from(streams) - self.slow) * (1.0 - (-elapsed / RISE).exp());
    }

    /// Engines that the load keeps busy until `ahead` from now: of reading as much as in the last
    /// seconds, of streams as many as there will be if they go on rising.
    pub fn projected_load(&self, pace: &EngineProfile, ahead: Duration) -> ProjectedLoad {
        let rise = (self.streams.now - self.slow).max(0.0) / (RISE - SPAN) * ahead.as_secs_f64();
        let streams = self.streams.now + rise.min(self.streams.now * MOST_RISE);
        ProjectedLoad {
            prefill: self.recent / pace.prefill_rate,
            decode: streams / f64::from(pace.max_streams.max(1)),
        }
    }

    /// Whether there has been none.
    pub fn is_idle(&self) -> bool {
        self.observed <= 0.0
    }

    /// The engines that the highest demand lately would keep busy.
    pub fn peak_load(&self, pace: &EngineProfile) -> PeakLoad {
        PeakLoad {
            prefill: self.reading.peak / pace.prefill_rate,
            decode: self.streams.peak / f64::from(pace.max_streams.max(1)),
            observed: Duration::from_secs_f64(self.observed),
        }
    }
}

/// How long a stream takes for a token, learnt from the time between pieces of output.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTime {
    tokens: f64,
    seconds: f64,
}

/// The part of what is remembered that stays when another piece comes: some five hundred count.
const KEPT: f64 = 0.998;

/// Tokens of output after which something is concluded.
const LEAST_TOKENS: f64 = 500.0;

impl TokenTime {
    /// Takes in that `tokens` tokens of a stream took this long.
    pub fn sample(&mut self, tokens: u32, took: Duration) {
        self.tokens = self.tokens * KEPT + f64::from(tokens);
        self.seconds = self.seconds * KEPT + took.as_secs_f64();
    }

    /// Seconds for a token; `None` until enough came.
    pub fn get(&self) -> Option<f64> {
        (self.tokens >= LEAST_TOKENS && self.seconds > 0.0).then(|| self.seconds / self.tokens)
    }
}
