//! How many extra sendings a service may get, over all entries.
//!
//! **Load pattern.** Targets refuse or fail in a burst, at all entries in the same second, and
//! each failed sending could be repeated. **Without it** the repeats add up over the entries and
//! keep the targets at their limit. **How.** Over a sliding window an entry sends no more extras
//! to a service than a share of the requests that it got for it, and its part of a small fixed
//! allowance. Requests add up over entries, so the shares do, without a message; the allowance is
//! divided by the entries that may exist. **Figures.** The operators' bounds, see [`Settings`].

use crate::Time;
use crate::number::float;
use std::collections::VecDeque;
use std::time::Duration;

/// Settings of the window.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Extras for each request.
    pub ratio: f64,
    /// Extras allowed besides, over all entries.
    pub allowance: f64,
    /// The length of the window.
    pub window: Duration,
    /// The part of the bound that is used. Clocks of entries differ and an extra is counted where
    /// it arrives, a little later, so the window's edges blur by less than a tenth of it.
    pub margin: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 16.0, window: Duration::from_secs(10), margin: 0.8 }
    }
}

/// Steps that the window slides in.
const STEPS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Step {
    number: u128,
    requests: u64,
    extras: u64,
}

/// The extras of one service at one entry.
#[derive(Debug)]
pub struct ExtraBudget {
    settings: Settings,
    steps: VecDeque<Step>,
}

impl ExtraBudget {
    /// An empty window.
    pub fn new(settings: Settings) -> Self {
        Self { settings, steps: VecDeque::new() }
    }

    /// Books a request.
    pub fn record_request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Books an extra that happened already, such as a sending that the target refused.
    pub fn record_extra(&mut self, now: Time) {
        self.step(now).extras += 1;
    }

    /// Books an extra if there may be another at one of `entries` entries.
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

    /// The step that `now` lies in; those that left the window are dropped.
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
