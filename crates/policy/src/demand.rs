//! Tracks what callers ask of a pool of engines: tokens to prefill, and streams to decode.
//!
//! **Load pattern.** Prompt tokens and streams rise and fall independently, in waves of seconds,
//! and the throughput of either differs by a factor of ten between kinds of engines. **Without
//! this**, engines are split by a figure that suits one kind of engine and one mix of work.
//! **Approach.** Prompt tokens are counted when a caller first sends them, whether they are
//! computed or not, and streams for as long as they last. The speed of engines is learned from what
//! they do. Samples of the last seconds are kept, since a split has to suit all of them and not
//! their mean.

use crate::number::float;
use crate::split::{self, Demand};
use std::collections::VecDeque;
use std::time::Duration;

/// Time constant, in seconds, of the prompt tokens per second: prompts have to be computed within a
/// fraction of a second, and shorter waves are absorbed by the engines' queues.
const LEVEL_TIME_CONSTANT: f64 = 0.5;

/// Time constant of the slower average that the rise of streams is measured against, in seconds.
const RISE_TIME_CONSTANT: f64 = 1.5;

/// Largest projected rise of streams, as a share of the current number. When callers first arrive,
/// streams rise from zero and stop rising soon after.
const MAX_RISE: f64 = 0.5;

/// The maximum number of samples that are kept.
const MAX_SAMPLES: usize = 256;

/// For how long demand has to be observed before it counts. Within this time the first callers
/// arrive.
const MIN_OBSERVED: Duration = Duration::from_millis(700);

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

/// The prompts of a pool, each weighted with its tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptProfile {
    /// Mean number of tokens to prefill.
    pub tokens: f64,
    /// Mean time for which a prefill may wait and run, see [`crate::prefill::max_duration`].
    pub max_duration: Duration,
}

impl PromptProfile {
    /// Returns the time that an engine needs to prefill a prompt.
    pub fn time(&self, engine: &EngineProfile) -> Duration {
        Duration::from_secs_f64(self.tokens / engine.prefill_rate)
    }

    /// Returns the utilization up to which prefill engines meet the objectives.
    pub fn utilization(&self, engine: &EngineProfile) -> f64 {
        let time = self.time(engine);
        split::prefill_utilization(time, self.max_duration.saturating_sub(time))
    }
}

/// Tracks the demand on a pool.
#[derive(Debug, Clone, Default)]
pub struct DemandTracker {
    /// Prompt tokens per second.
    prompt_rate: f64,
    streams: f64,
    slow_streams: f64,
    samples: VecDeque<Sample>,
    observed: f64,
}

/// The demand at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Seconds since observation started.
    at: f64,
    prompt_rate: f64,
    streams: f64,
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
        let weight = |time_constant: f64| 1.0 - (-elapsed / time_constant).exp();
        let rate = float(prompt) / elapsed;
        self.prompt_rate += (rate - self.prompt_rate) * weight(LEVEL_TIME_CONSTANT);
        self.streams = f64::from(streams);
        self.slow_streams += (self.streams - self.slow_streams) * weight(RISE_TIME_CONSTANT);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        let (at, prompt_rate) = (self.observed, self.prompt_rate);
        self.samples.push_back(Sample { at, prompt_rate, streams: self.streams });
    }

    /// Returns whether no demand has been observed yet.
    pub fn is_idle(&self) -> bool {
        self.observed <= 0.0
    }

    /// Returns for how long demand has been observed.
    pub fn observed(&self) -> Duration {
        Duration::from_secs_f64(self.observed)
    }

    /// Returns the demands of the last `memory`, the one projected `ahead` last; none until demand
    /// has been observed for a moment.
    pub fn demands(
        &self,
        engine: &EngineProfile,
        prompts: &PromptProfile,
        memory: Duration,
        ahead: Duration,
    ) -> Vec<Demand> {
        if self.observed < MIN_OBSERVED.as_secs_f64() {
            return Vec::new();
        }
        let utilization = prompts.utilization(engine);
        let slots = f64::from(engine.max_streams.max(1));
        let demand = |prompt_rate: f64, streams: f64| Demand {
            prefill: prompt_rate / engine.prefill_rate / utilization,
            decode: streams / slots,
        };
        let oldest = self.observed - memory.as_secs_f64();
        let kept = self.samples.iter().filter(|sample| sample.at > oldest);
        kept.map(|sample| demand(sample.prompt_rate, sample.streams))
            .chain([demand(self.prompt_rate, self.projected_streams(ahead))])
            .collect()
    }

    /// Returns how many streams there will be if they keep rising.
    fn projected_streams(&self, ahead: Duration) -> f64 {
        let rise = (self.streams - self.slow_streams).max(0.0) / RISE_TIME_CONSTANT;
        self.streams + (rise * ahead.as_secs_f64()).min(self.streams * MAX_RISE)
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
