//! Counts of outcomes and histograms of times.

use crate::outcome::{Outcome, Sample};
use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts by reason.
pub(crate) type Reasons = BTreeMap<CompactString, u64>;

/// Counts and times of the requests of one class.
pub(crate) struct Tally {
    pub(crate) sent: u64,
    pub(crate) complete: u64,
    pub(crate) in_deadline: u64,
    pub(crate) tokens: u64,
    pub(crate) refused: Reasons,
    pub(crate) unknown: Reasons,
    pub(crate) cut: Reasons,
    pub(crate) corrupt: u64,
    pub(crate) unreachable: u64,
    pub(crate) unanswered: u64,
    pub(crate) retries: u64,
    pub(crate) resumes: u64,
    pub(crate) first: Times,
    pub(crate) gaps: Times,
    pub(crate) duration: Times,
}

/// Histogram of times.
pub(crate) struct Times(Histogram<u64>);

/// Quantiles of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of measurements.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Times {
    pub(crate) fn new() -> Self {
        /// The histogram covers 1 µs to 1 h with three significant digits.
        const LONGEST_US: u64 = 3_600_000_000;
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self(histogram.expect("the bounds are valid"))
    }

    pub(crate) fn add(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    pub(crate) fn merge(&mut self, other: &Times) {
        // Adding fails only if the bounds differ, and all histograms have the same.
        self.0.add(&other.0).expect("the bounds are the same");
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1_000.0;
        let at = |quantile| ms(self.0.value_at_quantile(quantile));
        Quantiles {
            count: self.0.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: ms(self.0.max()),
        }
    }
}

impl Tally {
    pub(crate) fn new() -> Self {
        Self {
            sent: 0,
            complete: 0,
            in_deadline: 0,
            tokens: 0,
            refused: Reasons::new(),
            unknown: Reasons::new(),
            cut: Reasons::new(),
            corrupt: 0,
            unreachable: 0,
            unanswered: 0,
            retries: 0,
            resumes: 0,
            first: Times::new(),
            gaps: Times::new(),
            duration: Times::new(),
        }
    }

    /// Adds a request whose first token is due within `deadline`.
    pub(crate) fn add(&mut self, sample: &Sample, deadline: Duration) {
        self.sent += 1;
        self.retries += u64::from(sample.retries);
        self.resumes += u64::from(sample.resumes);
        let count = |reasons: &mut Reasons, reason: &CompactString| {
            *reasons.entry(reason.clone()).or_default() += 1;
        };
        match &sample.outcome {
            Outcome::Complete => self.add_complete(sample, deadline),
            Outcome::Refused(reason) => count(&mut self.refused, reason),
            Outcome::Unknown(reason) => count(&mut self.unknown, reason),
            Outcome::Cut(reason) => count(&mut self.cut, reason),
            Outcome::Corrupt => self.corrupt += 1,
            Outcome::Unreachable => self.unreachable += 1,
            Outcome::Unanswered => self.unanswered += 1,
        }
    }

    fn add_complete(&mut self, sample: &Sample, deadline: Duration) {
        self.complete += 1;
        self.duration.add(sample.duration);
        sample.gaps.iter().for_each(|gap| self.gaps.add(*gap));
        let Some(first) = sample.first else { return };
        self.first.add(first);
        if first <= deadline {
            self.in_deadline += 1;
            self.tokens += u64::from(sample.tokens);
        }
    }

    /// Adds the counts and times of another class.
    pub(crate) fn merge(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.in_deadline += other.in_deadline;
        self.tokens += other.tokens;
        for (own, others) in [
            (&mut self.refused, &other.refused),
            (&mut self.unknown, &other.unknown),
            (&mut self.cut, &other.cut),
        ] {
            for (reason, count) in others {
                *own.entry(reason.clone()).or_default() += count;
            }
        }
        self.corrupt += other.corrupt;
        self.unreachable += other.unreachable;
        self.unanswered += other.unanswered;
        self.retries += other.retries;
        self.resumes += other.resumes;
        self.first.merge(&other.first);
        self.gaps.merge(&other.gaps);
        self.duration.merge(&other.duration);
    }
}
