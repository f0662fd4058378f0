//! Decides whether a failed attempt may be retried, and when.
//!
//! **Load pattern.** A failure domain fails for a moment, thousands of attempts fail in the same
//! second, and all are retried. **Without this**, the retries are a second burst on top of the
//! first, and their failures a third. **Approach.** Retries are paid from budgets that requests
//! fill: each request earns a tenth of a retry, for the caller and for the target. Both budgets
//! must cover a retry. Whether a call may be repeated at all is decided before, by its progress.

use crate::number::{float, span, unit};
use crate::{CallerId, TargetId, Time};
use rand::Rng;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Retries earned per request. A retry storm adds at most this share of the load.
    pub ratio: f64,
    /// Maximum and initial balance of a budget, in retries. It covers the requests in the 16 slots
    /// of one target, so that its crash costs no caller its response.
    pub burst: f64,
    /// Maximum attempts per request, including the first.
    pub max_attempts: u32,
    /// Upper bound of the wait before the first retry. It doubles with each retry.
    pub backoff: Duration,
    /// Upper bound of all waits.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 16.0,
            max_attempts: 3,
            backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// The retry budgets of all callers and targets at one entry.
#[derive(Debug, Default)]
pub struct Budget {
    settings: Settings,
    callers: HashMap<CallerId, TokenBucket>,
    targets: HashMap<TargetId, TokenBucket>,
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    retries: f64,
    used_at: Time,
}

/// Number of buckets of callers, and of targets, from which idle ones are dropped.
const MAX_BUCKETS: usize = 8_192;

/// Time without use from which a bucket is idle and may be dropped.
const IDLE: Duration = Duration::from_secs(3_600);

impl Budget {
    /// Creates full budgets.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a first attempt of `caller` at `target`, which earns a fraction of a retry.
    pub fn earn(&mut self, caller: &CallerId, target: &TargetId, now: Time) {
        let Settings { ratio, burst, .. } = self.settings;
        for bucket in [
            bucket(&mut self.callers, caller, burst, now),
            bucket(&mut self.targets, target, burst, now),
        ] {
            bucket.retries = (bucket.retries + ratio).min(burst);
        }
    }

    /// Pays for a retry after `attempts` attempts, the last of which failed at `target`, and
    /// returns how long to wait before it; `None` if the request must not be retried.
    pub fn spend(
        &mut self,
        caller: &CallerId,
        target: &TargetId,
        attempts: u32,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Duration> {
        if attempts >= self.settings.max_attempts {
            return None;
        }
        let burst = self.settings.burst;
        let by_caller = bucket(&mut self.callers, caller, burst, now);
        let by_target = bucket(&mut self.targets, target, burst, now);
        if by_caller.retries < 1.0 || by_target.retries < 1.0 {
            return None;
        }
        by_caller.retries -= 1.0;
        by_target.retries -= 1.0;
        Some(self.backoff(attempts, rng))
    }

    /// Returns a random wait between 0 and a bound that doubles. Full jitter spreads a storm best.
    fn backoff(&self, attempts: u32, rng: &mut dyn Rng) -> Duration {
        let doubled = float(1 << attempts.saturating_sub(1).min(20));
        let bound = self.settings.backoff.as_secs_f64() * doubled;
        span(bound.min(self.settings.max_backoff.as_secs_f64()) * unit(rng))
    }
}

fn bucket<'a, K: Hash + Eq + Clone>(
    buckets: &'a mut HashMap<K, TokenBucket>,
    key: &K,
    burst: f64,
    now: Time,
) -> &'a mut TokenBucket {
    if buckets.len() >= MAX_BUCKETS {
        buckets.retain(|_, bucket| now.saturating_sub(bucket.used_at) < IDLE);
    }
    let bucket = buckets.entry(key.clone()).or_insert(TokenBucket { retries: burst, used_at: now });
    bucket.used_at = now;
    bucket
}
