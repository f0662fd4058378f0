//! Which targets are slow or failing against their peers.
//!
//! **Load pattern.** One engine of many runs ten times slower than its peers, or refuses all work
//! within a millisecond. **Without it** the slow one keeps its share of the requests and they miss
//! their deadlines; the failing one always looks idle, so least-load routing makes it the favourite
//! and it swallows the traffic. **How.** For each target an average of its time per unit of work
//! and of its failures is kept. A target whose time is a multiple of the peers' median, or that
//! fails most attempts, is relieved: it gets no work but a probe now and then, at growing
//! intervals. A probe that does well brings it back. At most a part of the fleet is relieved: if
//! most are slow, none is an outlier.

use crate::number::float;
use crate::{TargetId, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Settings of the comparison.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// A target slower than its peers' median by this factor is relieved. Batching alone makes
    /// peers differ by a factor of 2.
    pub slow_factor: f64,
    /// A target that fails this share of its attempts is relieved.
    pub failure_share: f64,
    /// Samples before a target is judged.
    pub least_samples: u32,
    /// The weight of a new sample in the averages: they forget within some ten samples.
    pub smoothing: f64,
    /// The wait before the first probe; it doubles with each probe that does badly.
    pub probe: Duration,
    /// The longest wait between probes.
    pub most_probe: Duration,
    /// The largest share of all targets that is relieved at a time.
    pub relieved_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slow_factor: 3.0,
            failure_share: 0.5,
            least_samples: 5,
            smoothing: 0.2,
            probe: Duration::from_secs(5),
            most_probe: Duration::from_secs(60),
            relieved_share: 0.34,
        }
    }
}

/// How an attempt at a target went.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// It ended, at this many seconds per unit of work; or for its part so far.
    Completed {
        /// Seconds for each unit, such as the time between tokens.
        seconds_per_unit: f64,
    },
    /// The target failed. Refusals for want of room are no failures.
    Failed,
}

/// What a target may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Work like its peers.
    Normal,
    /// One request, to see whether it has recovered; [`OutlierDetector::probe_sent`] books it.
    Probe,
    /// No work.
    Ejected,
}

#[derive(Debug, Default)]
struct Record {
    pace: f64,
    paced: u32,
    failures: f64,
    samples: u32,
    relief: Option<Relief>,
}

#[derive(Debug, Clone, Copy)]
struct Relief {
    next_probe: Time,
    interval: Duration,
    probing: bool,
}

/// Compares targets with their peers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    settings: Settings,
    records: HashMap<TargetId, Record>,
}

impl OutlierDetector {
    /// Makes a comparison without samples.
    pub fn new(settings: Settings) -> Self {
        Self { settings, records: HashMap::new() }
    }

    /// Takes in how an attempt went.
    pub fn sample(&mut self, target: &TargetId, sample: Sample, now: Time) {
        let smoothing = self.settings.smoothing;
        let record = self.records.entry(target.clone()).or_default();
        record.add(sample, smoothing);
        let median = self.median_except(target);
        let crowded = self.is_crowded();
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(target) else { return };
        match record.relief {
            Some(relief) if relief.probing => {
                record.judge_probe(relief, sample, median, settings, now);
            }
            Some(_) => {}
            None if !crowded && record.is_outlier(median, settings) => {
                let interval = settings.probe;
                let next_probe = now + interval;
                record.relief = Some(Relief { next_probe, interval, probing: false });
            }
            None => {}
        }
    }

    /// What the target may get now.
    pub fn status(&self, target: &str, now: Time) -> Status {
        match self.records.get(target).and_then(|record| record.relief) {
            None => Status::Normal,
            Some(relief) if now >= relief.next_probe => Status::Probe,
            Some(_) => Status::Ejected,
        }
    }

    /// Books that a probe is sent: no other goes out before the next interval.
    pub fn probe_sent(&mut self, target: &str, now: Time) {
        let most = self.settings.most_probe;
        let record = self.records.get_mut(target);
        if let Some(relief) = record.and_then(|record| record.relief.as_mut()) {
            relief.probing = true;
            relief.interval = (relief.interval * 2).min(most);
            relief.next_probe = now + relief.interval;
        }
    }

    /// Forgets a target that has left or was replaced.
    pub fn forget(&mut self, target: &str) {
        self.records.remove(target);
    }

    /// How many targets are relieved.
    pub fn ejected(&self) -> usize {
        self.records.values().filter(|record| record.relief.is_some()).count()
    }

    fn is_crowded(&self) -> bool {
        let count = |n: usize| float(u64::try_from(n).unwrap_or(u64::MAX));
        count(self.ejected() + 1) > count(self.records.len()) * self.settings.relieved_share
    }

    /// The median pace of the other targets that work, if there are any.
    fn median_except(&self, target: &str) -> Option<f64> {
        let least = self.settings.least_samples;
        let peers = self.records.iter().filter(|(name, record)| {
            name.as_str() != target && record.relief.is_none() && record.paced >= least
        });
        let mut paces: Vec<f64> = peers.map(|(_, record)| record.pace).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }
}

impl Record {
    fn add(&mut self, sample: Sample, smoothing: f64) {
        let failed = match sample {
            Sample::Completed { seconds_per_unit: pace } => {
                self.paced = self.paced.saturating_add(1);
                let weight = smoothing.max(1.0 / f64::from(self.paced));
                self.pace += (pace - self.pace) * weight;
                0.0
            }
            Sample::Failed => 1.0,
        };
        self.samples = self.samples.saturating_add(1);
        let weight = smoothing.max(1.0 / f64::from(self.samples));
        self.failures += (failed - self.failures) * weight;
    }

    fn is_outlier(&self, median: Option<f64>, settings: &Settings) -> bool {
        let failing =
            self.samples >= settings.least_samples && self.failures > settings.failure_share;
        let slow = self.paced >= settings.least_samples
            && median.is_some_and(|median| self.pace > median * settings.slow_factor);
        failing || slow
    }

    /// Takes the target back after a good probe, with its averages begun anew.
    fn judge_probe(
        &mut self,
        relief: Relief,
        sample: Sample,
        median: Option<f64>,
        settings: &Settings,
        now: Time,
    ) {
        let good = match sample {
            Sample::Completed { seconds_per_unit: pace } => {
                median.is_none_or(|median| pace <= median * settings.slow_factor)
            }
            Sample::Failed => false,
        };
        if good {
            *self = Record::default();
            return;
        }
        let next_probe = now + relief.interval;
        self.relief = Some(Relief { next_probe, probing: false, ..relief });
    }
}
