//! What callers received in a run.

use super::work::Arrival;
use crate::admission::Reason;
use crate::estimate::Cost;
use crate::number::float;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole and in time.
    Useful,
    /// Whole, but the first token or the end came too late.
    Late,
    /// Refused, not run.
    Refused(Reason),
    /// Cut off by a crash and not tried again.
    Failed,
}

/// The calls of one class or one caller.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Calls that ended, or were due before the end of the run.
    pub asked: u64,
    /// Those that ended well.
    pub useful: u64,
    /// Output tokens of those.
    pub tokens: u64,
    /// Those refused.
    pub refused: u64,
    /// Those that were late.
    pub late: u64,
    /// Those that failed.
    pub failed: u64,
}

impl Tally {
    fn add(&mut self, outcome: Outcome, output: u64) {
        self.asked += 1;
        match outcome {
            Outcome::Useful => {
                self.useful += 1;
                self.tokens += output;
            }
            Outcome::Late => self.late += 1,
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// The part of the calls that ended well.
    pub fn hit_rate(&self) -> f64 {
        if self.asked == 0 { 0.0 } else { float(self.useful) / float(self.asked) }
    }
}

/// The figures of a run.
#[derive(Debug, Clone)]
pub struct Figures {
    /// By class.
    pub classes: BTreeMap<&'static str, Tally>,
    /// By caller.
    pub callers: BTreeMap<crate::CallerId, Tally>,
    /// Time to the first token of calls that had one, in milliseconds, by class.
    pub first_token: BTreeMap<&'static str, Histogram<u64>>,
    /// Output tokens of useful calls that ended within the run.
    pub tokens: u64,
    /// Work of those calls.
    pub work: Cost,
    /// Useful output tokens by second of their arrival's time.
    pub by_time: BTreeMap<u64, u64>,
    /// First attempts.
    pub attempts: u64,
    /// Retries after failures.
    pub retries: u64,
    /// Crashes.
    pub crashes: u64,
    /// Role changes ordered.
    pub role_changes: u64,
    /// Messages from entries to agents for submitting, claiming and withdrawing.
    pub messages: u64,
    /// Seconds that were measured.
    pub seconds: f64,
    /// Engines of the pool.
    pub engines: usize,
}

impl Figures {
    pub(super) fn new(seconds: f64, engines: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            callers: BTreeMap::new(),
            first_token: BTreeMap::new(),
            tokens: 0,
            work: Cost::default(),
            by_time: BTreeMap::new(),
            attempts: 0,
            retries: 0,
            crashes: 0,
            role_changes: 0,
            messages: 0,
            seconds,
            engines,
        }
    }

    /// Books how a call ended; `counts` says whether its tokens count as goodput, which they don't
    /// after the end of the run, when the load is gone.
    pub(super) fn end(
        &mut self,
        arrival: &Arrival,
        outcome: Outcome,
        first_token: Option<f64>,
        counts: bool,
    ) {
        self.classes.entry(arrival.class).or_default().add(outcome, arrival.output);
        self.callers.entry(arrival.caller.clone()).or_default().add(outcome, arrival.output);
        if outcome == Outcome::Useful && counts {
            self.tokens += arrival.output;
            self.work += Cost::new(arrival.prompt, arrival.output);
            *self.by_time.entry(crate::number::count(arrival.at.floor())).or_default() +=
                arrival.output;
        }
        let Some(first) = first_token else { return };
        let histogram = self.first_token.entry(arrival.class).or_insert_with(|| {
            Histogram::new_with_max(MOST_MILLIS, 3).expect("these bounds are allowed")
        });
        histogram.saturating_record(crate::number::count((first - arrival.at) * 1e3));
    }

    /// Useful output tokens a second.
    pub fn goodput(&self) -> f64 {
        float(self.tokens) / self.seconds
    }

    /// All calls.
    pub fn total(&self) -> Tally {
        self.classes.values().fold(Tally::default(), |sum, tally| Tally {
            asked: sum.asked + tally.asked,
            useful: sum.useful + tally.useful,
            tokens: sum.tokens + tally.tokens,
            refused: sum.refused + tally.refused,
            late: sum.late + tally.late,
            failed: sum.failed + tally.failed,
        })
    }

    /// The part of its calls that went well for the caller of `class` that fared worst.
    pub fn worst_caller(&self, class: &str) -> f64 {
        let of_class = self.callers.iter().filter(|(caller, _)| caller.starts_with(class));
        of_class.map(|(_, tally)| tally.hit_rate()).fold(1.0, f64::min)
    }

    /// The 99th of the time to the first token of a class, in seconds.
    pub fn first_token_p99(&self, class: &str) -> f64 {
        self.first_token.get(class).map_or(0.0, |h| float(h.value_at_quantile(0.99)) / 1e3)
    }
}

/// The longest time to a first token that is told apart: an hour.
const MOST_MILLIS: u64 = 3_600_000;
