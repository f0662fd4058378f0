//! The target's work and speed, as the agent counts them from what it has accepted.
//!
//! The platform's load reports lag; this count is exact and rides on every reply.

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

/// The work of one request while it is counted; it shrinks as the answer comes.
pub(crate) struct Share<'a> {
    meter: &'a Meter,
    prompt_tokens: u64,
    output_tokens: u64,
    began: Instant,
    last_token: Option<Instant>,
}

/// Speeds as measured of late.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Rates {
    /// Prompt tokens a second, 0 if unknown.
    pub(crate) prefill: u64,
    /// The median time between two tokens of one stream; zero if unknown.
    pub(crate) token_time: Duration,
    /// The mean time that a call of a service takes; zero if unknown.
    pub(crate) call_time: Duration,
}

#[derive(Default)]
struct Speed {
    prefill: Mean,
    call: Mean,
    /// The latest times between two tokens, in microseconds.
    token_times: VecDeque<u64>,
}

/// A running mean that forgets.
#[derive(Default)]
struct Mean(Option<f64>);

/// Share of a new value in a running mean: about the last ten values count.
const MEAN_SHARE: f64 = 0.2;

/// How many times between tokens the median is taken of: a second or two of one busy engine.
const TOKEN_TIMES: usize = 64;

impl Meter {
    /// Counts a request until the share is dropped.
    pub(crate) fn add(&self, prompt_tokens: u64, output_tokens: u64) -> Share<'_> {
        self.prompt_tokens.fetch_add(prompt_tokens, Ordering::Relaxed);
        self.output_tokens.fetch_add(output_tokens, Ordering::Relaxed);
        let began = Instant::now();
        Share { meter: self, prompt_tokens, output_tokens, began, last_token: None }
    }

    /// Prompt tokens not yet read, and output tokens still expected.
    pub(crate) fn tokens(&self) -> (u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.prompt_tokens), load(&self.output_tokens))
    }

    /// The speeds of late.
    pub(crate) fn rates(&self) -> Rates {
        let speed = self.speed();
        let mut times: Vec<u64> = speed.token_times.iter().copied().collect();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        Rates {
            prefill: speed.prefill.rounded(),
            token_time: Duration::from_micros(median),
            call_time: Duration::from_micros(speed.call.rounded()),
        }
    }

    fn speed(&self) -> MutexGuard<'_, Speed> {
        self.speed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Share<'_> {
    /// The request got its slot now.
    pub(crate) fn start(&mut self) {
        self.began = Instant::now();
    }

    /// The engine sent `tokens` more tokens.
    pub(crate) fn advance(&mut self, tokens: u32) {
        let now = Instant::now();
        let mut speed = self.meter.speed();
        match self.last_token.replace(now) {
            Some(last) => speed.token_time(now - last, tokens),
            None => speed.first_token(now - self.began, self.prompt_tokens),
        }
        drop(speed);
        let read = std::mem::take(&mut self.prompt_tokens);
        self.meter.prompt_tokens.fetch_sub(read, Ordering::Relaxed);
        let made = self.output_tokens.min(u64::from(tokens));
        self.output_tokens -= made;
        self.meter.output_tokens.fetch_sub(made, Ordering::Relaxed);
    }

    /// The service has answered the call.
    pub(crate) fn answered(&self) {
        let micros = u32::try_from(self.began.elapsed().as_micros()).unwrap_or(u32::MAX);
        self.meter.speed().call.add(f64::from(micros));
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.meter.prompt_tokens.fetch_sub(self.prompt_tokens, Ordering::Relaxed);
        self.meter.output_tokens.fetch_sub(self.output_tokens, Ordering::Relaxed);
    }
}

impl Speed {
    fn first_token(&mut self, took: Duration, prompt_tokens: u64) {
        /// Shorter prompts measure the way to the engine rather than its speed.
        const MIN_TOKENS: u32 = 64;
        let tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        if tokens >= MIN_TOKENS && !took.is_zero() {
            self.prefill.add(f64::from(tokens) / took.as_secs_f64());
        }
    }

    fn token_time(&mut self, took: Duration, tokens: u32) {
        let each = took / tokens.max(1);
        self.token_times.push_back(u64::try_from(each.as_micros()).unwrap_or(u64::MAX));
        if self.token_times.len() > TOKEN_TIMES {
            self.token_times.pop_front();
        }
    }
}

impl Mean {
    fn add(&mut self, value: f64) {
        let mean = self.0.map_or(value, |mean| mean + MEAN_SHARE * (value - mean));
        self.0 = Some(mean);
    }

    fn rounded(&self) -> u64 {
        Duration::try_from_secs_f64(self.0.unwrap_or_default()).map_or(0, |whole| whole.as_secs())
    }
}
