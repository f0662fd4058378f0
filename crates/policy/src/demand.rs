//! Tracks what callers ask of a pool of engines: tokens to prefill, and streams to decode.
//!
//! **Load pattern.** Prompt tokens and streams rise and fall independently, in waves of seconds,
//! and the throughput of either differs by a factor of ten between kinds of engines. **Without
//! this**, engines are split by a figure that suits one kind of engine and one mix of work.
//! **Approach.** Prompt tokens are counted when a caller first sends them, whether they are
//! computed or not, and streams for as long as they last. The speed of engines is learned from what
//! they do. The recent peak of demand counts, because it decides which requests are refused.

use crate::balance::ProjectedLoad;
use crate::number::float;
use std::time::Duration;

/// Time constant of the current level, in seconds. Prompts have to be computed within a fraction of
/// a second, so waves of this length count.
const LEVEL_TIME_CONSTANT: f64 = 1.0;

/// Half-life of a peak, in seconds. The mix of work swings within minutes.
const PEAK_HALF_LIFE: f64 = 60.0;

/// Half-life, in seconds, of the peak from which the near future is projected: longer than a wave,
/// shorter than a phase.
const RECENT_PEAK_HALF_LIFE: f64 = 3.0;

/// Time constant of the slower average that the rise of streams is measured against, in seconds.
const RISE_TIME_CONSTANT: f64 = 3.0;

/// Largest projected rise of streams, as a share of the current number. When callers first arrive,
/// streams rise from zero and stop rising soon after.
const MAX_RISE: f64 = 0.5;

/// Speed and capacity of one engine of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Seconds per output token of a stream.
    pub token_time: f64,
    /// Streams that it decodes concurrently.
    pub max_streams: u32,
}

/// Tracks the demand on a pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandTracker {
    prefill: Level,
    streams: Level,
    /// Peak of the prefill demand within the last seconds.
    recent_prefill_peak: f64,
    /// Average number of streams with the larger time constant.
    slow_streams: f64,
    observed: f64,
}

/// An exponential average of samples and its decaying peak.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    current: f64,
    peak: f64,
}

impl Level {
    fn sample(&mut self, value: f64, elapsed: f64) {
        self.current += (value - self.current) * (1.0 - (-elapsed / LEVEL_TIME_CONSTANT).exp());
        self.peak = (self.peak * (-elapsed / PEAK_HALF_LIFE).exp2()).max(self.current);
    }
}

/// Number of engines that the recent peak of demand would keep busy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeakLoad {
    /// Busy prefill engines.
    pub prefill: f64,
    /// Busy decode engines.
    pub decode: f64,
    /// For how long demand has been observed.
    pub observed: Duration,
}

impl DemandTracker {
    /// Records the prompt tokens requested within the last `elapsed` and the current number of
    /// streams. Observation starts with the first load.
    pub fn observe(&mut self, prompt: u64, streams: u32, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let started = self.observed > 0.0 || prompt > 0 || streams > 0;
        if elapsed <= 0.0 || !started {
            return;
        }
        self.observed += elapsed;
        self.prefill.sample(float(prompt) / elapsed, elapsed);
        self.streams.sample(f64::from(streams), elapsed);
        self.recent_prefill_peak = (self.recent_prefill_peak
            * (-elapsed / RECENT_PEAK_HALF_LIFE).exp2())
        .max(self.prefill.current);
        self.slow_streams += (f64::from(streams) - self.slow_streams)
            * (1.0 - (-elapsed / RISE_TIME_CONSTANT).exp());
    }

    /// Projects the load until `ahead` from now: prefill demand as in the last seconds, and as many
    /// streams as there will be if they keep rising.
    pub fn projected_load(&self, profile: &EngineProfile, ahead: Duration) -> ProjectedLoad {
        let rise = (self.streams.current - self.slow_streams).max(0.0)
            / (RISE_TIME_CONSTANT - LEVEL_TIME_CONSTANT)
            * ahead.as_secs_f64();
        let streams = self.streams.current + rise.min(self.streams.current * MAX_RISE);
        ProjectedLoad {
            prefill: self.recent_prefill_peak / profile.prefill_rate,
            decode: streams / f64::from(profile.max_streams.max(1)),
        }
    }

    /// Returns whether no demand has been observed yet.
    pub fn is_idle(&self) -> bool {
        self.observed <= 0.0
    }

    /// Returns how many engines the recent peak of demand would keep busy.
    pub fn peak_load(&self, profile: &EngineProfile) -> PeakLoad {
        PeakLoad {
            prefill: self.prefill.peak / profile.prefill_rate,
            decode: self.streams.peak / f64::from(profile.max_streams.max(1)),
            observed: Duration::from_secs_f64(self.observed),
        }
    }
}

/// Time per output token of a stream, learned from the time between pieces of output.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTime {
    tokens: f64,
    seconds: f64,
}

/// Weight that earlier pieces keep when another one is recorded; about 500 pieces count.
const DECAY: f64 = 0.998;

/// Output tokens after which the average is used.
const MIN_TOKENS: f64 = 500.0;

impl TokenTime {
    /// Records that `tokens` tokens of a stream took this long.
    pub fn sample(&mut self, tokens: u32, duration: Duration) {
        self.tokens = self.tokens * DECAY + f64::from(tokens);
        self.seconds = self.seconds * DECAY + duration.as_secs_f64();
    }

    /// Returns the seconds per token; `None` until enough tokens were recorded.
    pub fn get(&self) -> Option<f64> {
        (self.tokens >= MIN_TOKENS && self.seconds > 0.0).then(|| self.seconds / self.tokens)
    }
}
