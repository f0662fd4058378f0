//! Detects targets that are slow or failing compared to their peers.
//!
//! **Load pattern.** One engine of many runs ten times slower than its peers, or refuses all work
//! within a millisecond. **Without this**, the slow one keeps its share of the requests and they
//! miss their deadlines. The failing one always looks idle, so least-load routing prefers it and it
//! absorbs the traffic. **Approach.** For each target, an average of its time per unit of work and
//! of its failures is kept. A target whose time is a multiple of its peers' median, or that fails
//! most attempts, is ejected: it gets no work but a probe now and then, at growing intervals. A
//! good probe readmits it. At most a share of the fleet is ejected: if most targets are slow, none
//! is an outlier.

use crate::number::float;
use crate::{TargetId, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Settings of outlier detection.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Factor by which a target is ejected that is slower than its peers' median. Batching alone
    /// makes peers differ by a factor of 2.
    pub slow_factor: f64,
    /// Share of failed attempts above which a target is ejected.
    pub failure_share: f64,
    /// Samples needed before a target can be ejected.
    pub min_samples: u32,
    /// Weight of a new sample in the averages, which span about ten samples.
    pub smoothing: f64,
    /// Time before the first probe; it doubles with each failed probe.
    pub probe_interval: Duration,
    /// Longest time between probes.
    pub max_probe_interval: Duration,
    /// Largest share of all targets that is ejected at a time.
    pub max_ejected_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slow_factor: 3.0,
            failure_share: 0.5,
            min_samples: 5,
            smoothing: 0.2,
            probe_interval: Duration::from_secs(5),
            max_probe_interval: Duration::from_secs(60),
            max_ejected_share: 0.34,
        }
    }
}

/// The outcome of an attempt at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// The attempt, or its part so far, completed at this speed.
    Completed {
        /// Seconds per unit of work, such as the time between tokens.
        seconds_per_unit: f64,
    },
    /// The target failed. Refusals for lack of capacity are not failures.
    Failed,
}

/// What work a target may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The same as its peers.
    Normal,
    /// One request, to check whether it has recovered. [`OutlierDetector::probe_sent`] records it.
    Probe,
    /// None.
    Ejected,
}

#[derive(Debug, Default)]
struct Record {
    seconds_per_unit: f64,
    completed: u32,
    failure_rate: f64,
    samples: u32,
    ejection: Option<Ejection>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    next_probe: Time,
    interval: Duration,
    probing: bool,
}

/// Compares targets with their peers and ejects outliers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    settings: Settings,
    records: HashMap<TargetId, Record>,
}

impl OutlierDetector {
    /// Creates a detector without samples.
    pub fn new(settings: Settings) -> Self {
        Self { settings, records: HashMap::new() }
    }

    /// Records the outcome of an attempt.
    pub fn sample(&mut self, target: &TargetId, sample: Sample, now: Time) {
        let smoothing = self.settings.smoothing;
        let record = self.records.entry(target.clone()).or_default();
        record.add(sample, smoothing);
        let median = self.median_except(target);
        let limit_reached = self.is_limit_reached();
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(target) else { return };
        match record.ejection {
            Some(ejection) if ejection.probing => {
                record.finish_probe(ejection, sample, median, settings, now);
            }
            Some(_) => {}
            None if !limit_reached && record.is_outlier(median, settings) => {
                let interval = settings.probe_interval;
                let next_probe = now + interval;
                record.ejection = Some(Ejection { next_probe, interval, probing: false });
            }
            None => {}
        }
    }

    /// Returns what work the target may get now.
    pub fn status(&self, target: &str, now: Time) -> Status {
        match self.records.get(target).and_then(|record| record.ejection) {
            None => Status::Normal,
            Some(ejection) if now >= ejection.next_probe => Status::Probe,
            Some(_) => Status::Ejected,
        }
    }

    /// Records that a probe is sent. No other is due before the next interval.
    pub fn probe_sent(&mut self, target: &str, now: Time) {
        let max = self.settings.max_probe_interval;
        let record = self.records.get_mut(target);
        if let Some(ejection) = record.and_then(|record| record.ejection.as_mut()) {
            ejection.probing = true;
            ejection.interval = (ejection.interval * 2).min(max);
            ejection.next_probe = now + ejection.interval;
        }
    }

    /// Drops the state of a target that has left or was replaced.
    pub fn forget(&mut self, target: &str) {
        self.records.remove(target);
    }

    /// Returns the number of ejected targets.
    pub fn ejected(&self) -> usize {
        self.records.values().filter(|record| record.ejection.is_some()).count()
    }

    fn is_limit_reached(&self) -> bool {
        let count = |n: usize| float(u64::try_from(n).unwrap_or(u64::MAX));
        count(self.ejected() + 1) > count(self.records.len()) * self.settings.max_ejected_share
    }

    /// Returns the median seconds per unit of the other targets that are not ejected, if any.
    fn median_except(&self, target: &str) -> Option<f64> {
        let min = self.settings.min_samples;
        let peers = self.records.iter().filter(|(name, record)| {
            name.as_str() != target && record.ejection.is_none() && record.completed >= min
        });
        let mut times: Vec<f64> = peers.map(|(_, record)| record.seconds_per_unit).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}

impl Record {
    fn add(&mut self, sample: Sample, smoothing: f64) {
        let failed = match sample {
            Sample::Completed { seconds_per_unit } => {
                self.completed = self.completed.saturating_add(1);
                let weight = smoothing.max(1.0 / f64::from(self.completed));
                self.seconds_per_unit += (seconds_per_unit - self.seconds_per_unit) * weight;
                0.0
            }
            Sample::Failed => 1.0,
        };
        self.samples = self.samples.saturating_add(1);
        let weight = smoothing.max(1.0 / f64::from(self.samples));
        self.failure_rate += (failed - self.failure_rate) * weight;
    }

    fn is_outlier(&self, median: Option<f64>, settings: &Settings) -> bool {
        let failing =
            self.samples >= settings.min_samples && self.failure_rate > settings.failure_share;
        let slow = self.completed >= settings.min_samples
            && median.is_some_and(|median| self.seconds_per_unit > median * settings.slow_factor);
        failing || slow
    }

    /// Readmits the target after a good probe and resets its averages.
    fn finish_probe(
        &mut self,
        ejection: Ejection,
        sample: Sample,
        median: Option<f64>,
        settings: &Settings,
        now: Time,
    ) {
        let good = match sample {
            Sample::Completed { seconds_per_unit } => {
                median.is_none_or(|median| seconds_per_unit <= median * settings.slow_factor)
            }
            Sample::Failed => false,
        };
        if good {
            *self = Record::default();
            return;
        }
        let next_probe = now + ejection.interval;
        self.ejection = Some(Ejection { next_probe, probing: false, ..ejection });
    }
}
