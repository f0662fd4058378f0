//! The results of a simulation, as callers see them.

use super::workload::Arrival;
use crate::admission::Reason;
use crate::estimate::Cost;
use crate::number::float;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Completed in time.
    InTime,
    /// Completed, but the first token or the end came too late.
    Late,
    /// Refused before it ran.
    Refused(Reason),
    /// Broken off by a crash and not retried.
    Failed,
}

/// Counts of the calls of one class or one caller, by outcome.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// All calls.
    pub calls: u64,
    /// Calls completed in time.
    pub in_time: u64,
    /// Output tokens of the calls completed in time.
    pub tokens: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that were late, or had not ended when the simulation stopped.
    pub late: u64,
    /// Calls that failed.
    pub failed: u64,
}

impl Tally {
    fn add(&mut self, outcome: Outcome, output: u64) {
        self.calls += 1;
        match outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.tokens += output;
            }
            Outcome::Late => self.late += 1,
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Returns the fraction of the calls that completed in time.
    pub fn in_time_rate(&self) -> f64 {
        if self.calls == 0 { 0.0 } else { float(self.in_time) / float(self.calls) }
    }
}

/// The results of a simulation.
#[derive(Debug, Clone)]
pub struct Results {
    /// Calls by class.
    pub classes: BTreeMap<&'static str, Tally>,
    /// Calls by caller.
    pub callers: BTreeMap<crate::CallerId, Tally>,
    /// Time to first token by class, in milliseconds.
    pub first_token: BTreeMap<&'static str, Histogram<u64>>,
    /// Output tokens of calls that completed in time and before the end of the scenario.
    pub tokens: u64,
    /// The work of those calls.
    pub work: Cost,
    /// Output tokens of those calls, by the second of arrival.
    pub tokens_by_arrival: BTreeMap<u64, u64>,
    /// First attempts.
    pub attempts: u64,
    /// Retries after failures.
    pub retries: u64,
    /// Crashes of engines.
    pub crashes: u64,
    /// Role changes that the planner ordered.
    pub role_changes: u64,
    /// Messages from entries to agents for submitting, claiming and withdrawing calls.
    pub messages: u64,
    /// The measured time, in seconds.
    pub seconds: f64,
    /// The number of engines in the pool.
    pub engines: usize,
}

impl Results {
    pub(super) fn new(seconds: f64, engines: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            callers: BTreeMap::new(),
            first_token: BTreeMap::new(),
            tokens: 0,
            work: Cost::default(),
            tokens_by_arrival: BTreeMap::new(),
            attempts: 0,
            retries: 0,
            crashes: 0,
            role_changes: 0,
            messages: 0,
            seconds,
            engines,
        }
    }

    /// Records the outcome of a call. Its tokens do not count as goodput if it ended after the end
    /// of the scenario, when there is no load any more.
    pub(super) fn record(
        &mut self,
        arrival: &Arrival,
        outcome: Outcome,
        first_token: Option<f64>,
        counts_as_goodput: bool,
    ) {
        self.classes.entry(arrival.class).or_default().add(outcome, arrival.output);
        self.callers.entry(arrival.caller.clone()).or_default().add(outcome, arrival.output);
        if outcome == Outcome::InTime && counts_as_goodput {
            self.tokens += arrival.output;
            self.work += Cost::new(arrival.prompt, arrival.output);
            *self.tokens_by_arrival.entry(crate::number::count(arrival.at.floor())).or_default() +=
                arrival.output;
        }
        let Some(first) = first_token else { return };
        let histogram = self.first_token.entry(arrival.class).or_insert_with(|| {
            Histogram::new_with_max(MAX_MILLIS, 3).expect("the bounds are valid constants")
        });
        histogram.saturating_record(crate::number::count((first - arrival.at) * 1e3));
    }

    /// Returns the output tokens per second of calls completed in time.
    pub fn goodput(&self) -> f64 {
        float(self.tokens) / self.seconds
    }

    /// Returns the counts over all classes.
    pub fn total(&self) -> Tally {
        self.classes.values().fold(Tally::default(), |sum, tally| Tally {
            calls: sum.calls + tally.calls,
            in_time: sum.in_time + tally.in_time,
            tokens: sum.tokens + tally.tokens,
            refused: sum.refused + tally.refused,
            late: sum.late + tally.late,
            failed: sum.failed + tally.failed,
        })
    }

    /// Returns the lowest fraction of calls completed in time of any caller of `class`.
    pub fn worst_caller(&self, class: &str) -> f64 {
        let of_class = self.callers.iter().filter(|(caller, _)| caller.starts_with(class));
        of_class.map(|(_, tally)| tally.in_time_rate()).fold(1.0, f64::min)
    }

    /// Returns the 99th percentile of the time to first token of a class, in seconds.
    pub fn first_token_p99(&self, class: &str) -> f64 {
        self.first_token.get(class).map_or(0.0, |h| float(h.value_at_quantile(0.99)) / 1e3)
    }
}

/// The longest time to first token that the histograms resolve: an hour.
const MAX_MILLIS: u64 = 3_600_000;
