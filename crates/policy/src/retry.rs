//! Whether a failed attempt may be tried again, and when.
//!
//! **Load pattern.** A failure domain blinks, thousands of attempts fail in the same second, and
//! all are tried again. **Without it** the retries are a second crowd on top of the first, and
//! their failures a third. **How.** Retries are paid from budgets that requests fill: a tenth of a
//! retry for each request, for the caller and for the target that failed. Both must afford it.
//! Whether a call may be repeated at all is decided before, by its progress.

use crate::number::{float, span, unit};
use crate::{CallerId, TargetId, Time};
use rand::Rng;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Retries earned by each request: a retry storm adds at most this share of the load.
    pub ratio: f64,
    /// Retries saved up at most, and held at the start: what runs in the 16 slots of one target,
    /// so that its crash costs nobody an answer.
    pub burst: f64,
    /// Attempts of one request at most, the first included.
    pub attempts: u32,
    /// The wait before the first retry at most; it doubles with each.
    pub backoff: Duration,
    /// The longest wait.
    pub most_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 16.0,
            attempts: 3,
            backoff: Duration::from_millis(50),
            most_backoff: Duration::from_secs(1),
        }
    }
}

/// The budgets of all callers and targets at one entry.
#[derive(Debug, Default)]
pub struct Budget {
    settings: Settings,
    callers: HashMap<CallerId, Purse>,
    targets: HashMap<TargetId, Purse>,
}

#[derive(Debug, Clone, Copy)]
struct Purse {
    retries: f64,
    used: Time,
}

/// Purses kept for callers, and for targets, before those not used for an hour are forgotten.
const MAX_PURSES: usize = 8_192;

/// After this time without use a purse may be forgotten.
const IDLE: Duration = Duration::from_secs(3_600);

impl Budget {
    /// Makes full budgets.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Books a first attempt of `caller` at `target`, which earns a part of a retry.
    pub fn earn(&mut self, caller: &CallerId, target: &TargetId, now: Time) {
        let Settings { ratio, burst, .. } = self.settings;
        for purse in [
            purse(&mut self.callers, caller, burst, now),
            purse(&mut self.targets, target, burst, now),
        ] {
            purse.retries = (purse.retries + ratio).min(burst);
        }
    }

    /// Pays for a retry after `attempts` attempts, the last of which failed at `target`, and tells
    /// how long to wait before it; `None` if there is to be no retry.
    pub fn spend(
        &mut self,
        caller: &CallerId,
        target: &TargetId,
        attempts: u32,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Duration> {
        if attempts >= self.settings.attempts {
            return None;
        }
        let burst = self.settings.burst;
        let by_caller = purse(&mut self.callers, caller, burst, now);
        let by_target = purse(&mut self.targets, target, burst, now);
        if by_caller.retries < 1.0 || by_target.retries < 1.0 {
            return None;
        }
        by_caller.retries -= 1.0;
        by_target.retries -= 1.0;
        Some(self.backoff(attempts, rng))
    }

    /// A wait between 0 and a bound that doubles: full jitter spreads a storm best.
    fn backoff(&self, attempts: u32, rng: &mut dyn Rng) -> Duration {
        let doubled = float(1 << attempts.saturating_sub(1).min(20));
        let bound = self.settings.backoff.as_secs_f64() * doubled;
        span(bound.min(self.settings.most_backoff.as_secs_f64()) * unit(rng))
    }
}

fn purse<'a, K: Hash + Eq + Clone>(
    purses: &'a mut HashMap<K, Purse>,
    key: &K,
    burst: f64,
    now: Time,
) -> &'a mut Purse {
    if purses.len() >= MAX_PURSES {
        purses.retain(|_, purse| now.saturating_sub(purse.used) < IDLE);
    }
    let purse = purses.entry(key.clone()).or_insert(Purse { retries: burst, used: now });
    purse.used = now;
    purse
}
