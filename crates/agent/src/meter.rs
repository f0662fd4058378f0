//! Counts the target's work and measures its speed, from the requests that the agent has accepted.
//!
//! The platform's load reports lag behind. These counts are exact and are sent along with events.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Counts the work at one target and measures its speed.
#[derive(Default)]
pub(crate) struct Meter {
    prompt_tokens: AtomicU64,
    output_tokens: AtomicU64,
    speed: Mutex<Speed>,
}

/// The remaining work of one request, which decreases as the answer is generated. Counted until
/// dropped.
pub(crate) struct TrackedWork<'a> {
    meter: &'a Meter,
    prompt_tokens: u64,
    output_tokens: u64,
    started_at: Instant,
    last_token: Option<Instant>,
}

/// Recently measured speeds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Rates {
    /// Prompt tokens per second; 0 if unknown.
    pub(crate) prefill: u64,
    /// The median time between two tokens of one stream; zero if unknown.
    pub(crate) token_time: Duration,
    /// The mean duration of a call to a service; zero if unknown.
    pub(crate) call_time: Duration,
}

#[derive(Default)]
struct Speed {
    prefill: MovingAverage,
    call: MovingAverage,
    /// The latest intervals between two tokens, in microseconds.
    token_times: VecDeque<u64>,
}

/// An exponential moving average.
#[derive(Default)]
struct MovingAverage(Option<f64>);

/// Weight of a new value in a moving average: about the last ten values count.
const SMOOTHING: f64 = 0.2;

/// Number of intervals between tokens that the median is taken of: a second or two of a busy
/// engine.
const TOKEN_TIME_SAMPLES: usize = 64;

impl Meter {
    /// Counts the work of a request until the returned value is dropped.
    pub(crate) fn add(&self, prompt_tokens: u64, output_tokens: u64) -> TrackedWork<'_> {
        self.prompt_tokens.fetch_add(prompt_tokens, Ordering::Relaxed);
        self.output_tokens.fetch_add(output_tokens, Ordering::Relaxed);
        let started_at = Instant::now();
        TrackedWork { meter: self, prompt_tokens, output_tokens, started_at, last_token: None }
    }

    /// Returns the prompt tokens that are not prefilled yet and the output tokens still expected.
    pub(crate) fn tokens(&self) -> (u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.prompt_tokens), load(&self.output_tokens))
    }

    /// Returns the recently measured speeds.
    pub(crate) fn rates(&self) -> Rates {
        let speed = self.speed();
        let mut times: Vec<u64> = speed.token_times.iter().copied().collect();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        Rates {
            prefill: speed.prefill.truncated(),
            token_time: Duration::from_micros(median),
            call_time: Duration::from_micros(speed.call.truncated()),
        }
    }

    fn speed(&self) -> MutexGuard<'_, Speed> {
        self.speed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TrackedWork<'_> {
    /// Starts the time measurement, when the request got its slot.
    pub(crate) fn start(&mut self) {
        self.started_at = Instant::now();
    }

    /// Records that the engine sent `tokens` more tokens.
    pub(crate) fn advance(&mut self, tokens: u32) {
        let now = Instant::now();
        let mut speed = self.meter.speed();
        match self.last_token.replace(now) {
            Some(last) => speed.token_time(now - last, tokens),
            None => speed.first_token(now - self.started_at, self.prompt_tokens),
        }
        drop(speed);
        let prefilled = std::mem::take(&mut self.prompt_tokens);
        self.meter.prompt_tokens.fetch_sub(prefilled, Ordering::Relaxed);
        let generated = self.output_tokens.min(u64::from(tokens));
        self.output_tokens -= generated;
        self.meter.output_tokens.fetch_sub(generated, Ordering::Relaxed);
    }

    /// Records that the service has answered the call.
    pub(crate) fn answered(&self) {
        let micros = u32::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u32::MAX);
        self.meter.speed().call.add(f64::from(micros));
    }
}

impl Drop for TrackedWork<'_> {
    fn drop(&mut self) {
        self.meter.prompt_tokens.fetch_sub(self.prompt_tokens, Ordering::Relaxed);
        self.meter.output_tokens.fetch_sub(self.output_tokens, Ordering::Relaxed);
    }
}

impl Speed {
    fn first_token(&mut self, elapsed: Duration, prompt_tokens: u64) {
        /// Shorter prompts measure the latency to the engine rather than its speed.
        const MIN_TOKENS: u32 = 64;
        let tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        if tokens >= MIN_TOKENS && !elapsed.is_zero() {
            self.prefill.add(f64::from(tokens) / elapsed.as_secs_f64());
        }
    }

    fn token_time(&mut self, elapsed: Duration, tokens: u32) {
        let per_token = elapsed / tokens.max(1);
        self.token_times.push_back(u64::try_from(per_token.as_micros()).unwrap_or(u64::MAX));
        if self.token_times.len() > TOKEN_TIME_SAMPLES {
            self.token_times.pop_front();
        }
    }
}

impl MovingAverage {
    fn add(&mut self, value: f64) {
        let average = self.0.map_or(value, |average| average + SMOOTHING * (value - average));
        self.0 = Some(average);
    }

    fn truncated(&self) -> u64 {
        Duration::try_from_secs_f64(self.0.unwrap_or_default()).map_or(0, |whole| whole.as_secs())
    }
}
