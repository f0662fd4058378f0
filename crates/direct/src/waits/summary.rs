//! Sums up the ends of requests by the second of their arrival, route, outcome and target.
//!
//! Lines are taken one at a time. Of a request, only its waiting times are kept, for the
//! percentiles.

use super::{EndedRequest, Line, Pause, Second, Verdict};
use crate::plot::Series;
use compact_str::{CompactString, ToCompactString};
use std::collections::BTreeMap;

/// The sums over all lines so far.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// By the second of arrival and the route.
    pub seconds: BTreeMap<(Second, CompactString), Tally>,
    /// Requests that were not served, by verdict and outcome.
    pub outcomes: BTreeMap<(&'static str, CompactString), u64>,
    /// Longest pauses of streams, by the target that they came from.
    pub targets: BTreeMap<CompactString, TargetTally>,
    /// Lines on the end of a request that are cut off or lack fields.
    pub unreadable: u64,
    /// Lines of any event that processes dropped.
    pub dropped: u64,
}

/// Requests by how they ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests.
    pub arrivals: u64,
    /// Served in time.
    pub in_time: u64,
    /// Late by their first piece.
    pub late_first: u64,
    /// Late by a pause.
    pub late_pause: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Promised in time when an engine was reserved.
    pub promised: u64,
    /// Those of them whose first piece was in time.
    pub kept: u64,
}

/// Requests by how they ended, with their waiting times.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// How they ended.
    pub counts: Counts,
    /// Waiting times for prefill engines.
    pub prefill: Samples,
    /// Waiting times for a decode slot.
    pub slot: Samples,
    /// Times to the first piece at neither engine.
    pub network: Samples,
    /// Expected times of transfers, which are part of those for a slot.
    pub transfer: Samples,
    /// Times for queue and prefill, as promised.
    pub promise: Samples,
}

/// Longest pauses that came from one target.
#[derive(Debug, Clone, Default)]
pub struct TargetTally {
    /// Streams whose longest pause came from it.
    pub streams: u64,
    /// Those of them with a pause over their limit, also if they failed or were late before.
    pub late_pause: u64,
    /// The lengths of the pauses in milliseconds.
    pub pauses: Samples,
    /// Streams at the target at the end of the pauses.
    pub running: Samples,
    /// Prompts that the entry had in prefill there during the pauses.
    pub prompts: Samples,
}

/// Values of which the mean and a percentile are wanted.
#[derive(Debug, Clone, Default)]
pub struct Samples(Vec<f32>);

impl Summary {
    /// Adds one line of a process's log.
    pub fn add_line(&mut self, line: &str) {
        match Line::parse(line) {
            Line::Ended(request) => self.add(&request),
            Line::Unreadable => self.unreadable += 1,
            Line::Dropped(count) => self.dropped += count,
            Line::Other => {}
        }
    }

    /// The sums by route.
    pub fn routes(&self) -> BTreeMap<&str, Tally> {
        let mut routes: BTreeMap<&str, Tally> = BTreeMap::new();
        for ((_, route), tally) in &self.seconds {
            routes.entry(route).or_default().merge(tally);
        }
        routes
    }

    /// The counts over time of all routes together, for drawing. Seconds count from the first.
    pub fn series(&self) -> Vec<Series> {
        let mut seconds: BTreeMap<u32, Counts> = BTreeMap::new();
        let first = self.seconds.keys().next().map_or(0, |(second, _)| *second);
        for ((second, _), tally) in &self.seconds {
            let index = u32::try_from(second - first).unwrap_or(u32::MAX);
            seconds.entry(index).or_default().merge(&tally.counts);
        }
        let columns = Counts::default().columns().into_iter().enumerate();
        let series = columns.map(|(column, (label, _))| {
            let points =
                seconds.iter().map(|(second, counts)| (*second, counts.columns()[column].1));
            Series { label: label.into(), points: points.collect() }
        });
        series.collect()
    }

    fn add(&mut self, request: &EndedRequest<'_>) {
        let key = (request.arrived, request.route.to_compact_string());
        self.seconds.entry(key).or_default().add(request);
        let kind = match request.verdict {
            Verdict::Refused => Some("refused"),
            Verdict::Failed => Some("failed"),
            Verdict::InTime | Verdict::LateFirst | Verdict::LatePause => None,
        };
        if let Some(kind) = kind {
            *self.outcomes.entry((kind, request.outcome.into())).or_default() += 1;
        }
        if let Some(pause) = &request.pause {
            self.targets.entry(pause.target.into()).or_default().add(pause);
        }
    }
}

impl Counts {
    /// The counts with their names, in the order in which they are shown.
    pub fn columns(&self) -> [(&'static str, u64); 8] {
        let Self { arrivals, in_time, late_first, late_pause, refused, failed, promised, kept } =
            *self;
        [
            ("arrivals", arrivals),
            ("in_time", in_time),
            ("late_first", late_first),
            ("late_pause", late_pause),
            ("refused", refused),
            ("failed", failed),
            ("promised", promised),
            ("kept", kept),
        ]
    }

    fn add(&mut self, verdict: Verdict, promised: bool) {
        let in_time = matches!(verdict, Verdict::InTime | Verdict::LatePause);
        self.promised += u64::from(promised);
        self.kept += u64::from(promised && in_time);
        self.arrivals += 1;
        let count = match verdict {
            Verdict::InTime => &mut self.in_time,
            Verdict::LateFirst => &mut self.late_first,
            Verdict::LatePause => &mut self.late_pause,
            Verdict::Refused => &mut self.refused,
            Verdict::Failed => &mut self.failed,
        };
        *count += 1;
    }

    fn merge(&mut self, other: &Self) {
        self.arrivals += other.arrivals;
        self.in_time += other.in_time;
        self.late_first += other.late_first;
        self.late_pause += other.late_pause;
        self.refused += other.refused;
        self.failed += other.failed;
        self.promised += other.promised;
        self.kept += other.kept;
    }
}

impl Tally {
    fn add(&mut self, request: &EndedRequest<'_>) {
        self.counts.add(request.verdict, request.promised_ms.is_some());
        self.prefill.0.extend(request.prefill_ms);
        self.slot.0.extend(request.slot_ms);
        self.network.0.extend(request.network_ms);
        self.transfer.0.extend(request.transfer_ms);
        self.promise.0.extend(request.promised_ms);
    }

    fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts);
        self.prefill.0.extend(&other.prefill.0);
        self.slot.0.extend(&other.slot.0);
        self.network.0.extend(&other.network.0);
        self.transfer.0.extend(&other.transfer.0);
        self.promise.0.extend(&other.promise.0);
    }
}

impl TargetTally {
    fn add(&mut self, pause: &Pause<'_>) {
        self.streams += 1;
        self.late_pause += u64::from(pause.is_late);
        self.pauses.0.push(pause.ms);
        self.running.0.push(pause.streams);
        self.prompts.0.push(pause.prompts);
    }
}

impl Samples {
    /// The mean, if there are any.
    pub fn mean(&self) -> Option<f64> {
        let count = u32::try_from(self.0.len()).ok().filter(|count| *count > 0)?;
        Some(self.0.iter().map(|sample| f64::from(*sample)).sum::<f64>() / f64::from(count))
    }

    /// The smallest sample that nine of ten don't exceed, if there are any.
    pub fn p90(&self) -> Option<f64> {
        let rank = (self.0.len() * 9).div_ceil(10).checked_sub(1)?;
        let mut samples = self.0.clone();
        let (_, sample, _) = samples.select_nth_unstable_by(rank, f32::total_cmp);
        Some(f64::from(*sample))
    }
}
