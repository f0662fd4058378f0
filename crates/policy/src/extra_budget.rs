//! Bounds the extra attempts that a service may get from all entries.
//!
//! **Load pattern.** Targets refuse or fail in a burst, at all entries in the same second, and each
//! failed attempt could be repeated. **Without this**, the repetitions add up over the entries and
//! keep the targets at their limit. **Approach.** Over a sliding window, an entry sends no more
//! extra attempts to a service than a share of the requests that it received for it, plus its part
//! of a small fixed allowance. Requests add up over entries, and so do the shares, without any
//! message; the allowance is divided by the number of entries that may exist. **Figures.** The
//! operators' bounds, see [`Settings`].

use crate::Time;
use crate::number::float;
use std::collections::VecDeque;
use std::time::Duration;

/// Settings of the budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Extra attempts per request.
    pub ratio: f64,
    /// Further extra attempts allowed, over all entries.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Share of the bound that is used. Clocks of entries differ, and a target counts an extra
    /// attempt when it arrives, a little later, so the edges of the window blur by less than a
    /// tenth of it.
    pub margin: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 16.0, window: Duration::from_secs(10), margin: 0.8 }
    }
}

/// Number of steps that the window is divided into.
const STEPS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Step {
    number: u128,
    requests: u64,
    extras: u64,
}

/// The budget of one service at one entry.
#[derive(Debug)]
pub struct ExtraBudget {
    settings: Settings,
    steps: VecDeque<Step>,
}

impl ExtraBudget {
    /// Creates a budget with an empty window.
    pub fn new(settings: Settings) -> Self {
        Self { settings, steps: VecDeque::new() }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Records an extra attempt that has already happened, such as one that the target refused.
    pub fn record_extra(&mut self, now: Time) {
        self.step(now).extras += 1;
    }

    /// Records an extra attempt if the budget of one of `entries` entries allows it, and returns
    /// whether it does.
    #[must_use]
    pub fn try_spend(&mut self, entries: u32, now: Time) -> bool {
        self.step(now);
        let requests: u64 = self.steps.iter().map(|step| step.requests).sum();
        let extras: u64 = self.steps.iter().map(|step| step.extras).sum();
        let Settings { ratio, allowance, margin, .. } = self.settings;
        let bound = (ratio * float(requests) + allowance / f64::from(entries.max(1))) * margin;
        let allowed = float(extras + 1) <= bound;
        if allowed {
            self.step(now).extras += 1;
        }
        allowed
    }

    /// Returns the current step and drops those that have left the window.
    fn step(&mut self, now: Time) -> &mut Step {
        let length = (self.settings.window / STEPS).max(Duration::from_millis(1));
        let number = now.as_nanos() / length.as_nanos();
        while self.steps.front().is_some_and(|step| step.number + u128::from(STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, requests: 0, extras: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
