//! Learns how long each engine takes per piece of output, usually and in bad moments.
//!
//! **Load pattern.** Engines of one service differ by a factor of two in speed, and some machines
//! are shared: work there takes 2.5 times longer for 15% of the time, in bursts of 600 ms. Routes
//! limit the pause between pieces of a stream. **Without this**, every engine gets the same number
//! of streams: a slow one exceeds the limit in each burst, and a stream of seconds meets a burst
//! almost certainly. **Approach.** The gaps between pieces are averaged over short intervals and
//! all streams of an engine. Averages keep pieces that arrive bunched from looking slow: the long
//! gap before a bunch and the short ones within it add up to the right time. The usual time follows
//! the median of the averages, which bursts hardly move. The bad time is the 90th percentile of the
//! slowest averages in each of the last seconds in which the engine was observed; an average of
//! just now counts as well. Seconds without pieces neither age nor improve the record: an engine
//! that gets no streams because it is slow looks no better for that, and single probe streams
//! show when it has recovered. What other entries measured is merged by its age.

use crate::Time;
use crate::number::span;
use std::collections::VecDeque;
use std::time::Duration;

/// The shortest interval over which gaps are averaged: the pieces that were held up while an entry
/// did not run arrive within it.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The fewest gaps in an average.
const MIN_GAPS: u32 = 3;

/// An average is at most this multiple of the second-longest gap in it and of the usual time. A
/// single longer gap is that of a stream that was put back or of a caller that did not read.
const MAX_OUTLIER: f64 = 1.5;

/// How fast the usual time follows the averages, as the change of its logarithm per second. A burst
/// of 600 ms moves it by 9%; an engine that stays 2.5 times slower is followed in 6 s.
const USUAL_RATE: f64 = 0.15;

/// The change of the usual time's logarithm with the first average. It is divided by the number of
/// averages so far, so that a first average from within a burst is soon corrected.
const FIRST_STEP: f64 = 1.0;

/// The number of averages that are corrected in this way.
const SETTLED: u32 = 16;

/// The longest interval that one average stands for, in seconds.
const MAX_STEP_TIME: f64 = 0.3;

/// Observed seconds of which the slowest averages are kept. With bursts 15% of the time, 13% of such
/// records have fewer than the two seconds with a burst that the percentile needs. With 20 seconds
/// these are 3%, but an engine that has recovered is avoided that much longer.
const KEPT_SECONDS: usize = 12;

/// For how long the latest average counts as the current one.
const LEVEL_TTL: Duration = Duration::from_secs(1);

/// Observations whose times differ by less describe the same state of an engine. Entries report to
/// each other several times within it.
const AGREEMENT: Duration = Duration::from_secs(2);

/// The share of a reported usual time by which the known one is corrected: entries with few pieces
/// report different ones.
const REPORT_WEIGHT: f64 = 0.25;

/// The share of the pause limit that a piece may take in bad moments. The rest is for the way to
/// the caller.
const PAUSE_SHARE: f64 = 0.9;

/// How long a machine reports to need for its work if it needs as long as usual.
const USUAL_PERCENT: u32 = 100;

/// The largest such report that is believed.
const MAX_PERCENT: u32 = 1_000;

/// The shortest time without pieces after which an engine that misses the limit gets a probe
/// stream.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// The longest such time. A probe stream of some seconds at an engine that is always slow is late,
/// so it has one for a sixth of the time.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// The share of the time for which an engine has missed the limit after which it is probed.
const PROBE_DIVISOR: u32 = 4;

/// An engine that missed the limit has to hold it for this long to count as recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Shortest time per piece, in seconds, so that logarithms are finite.
const MIN_SECONDS: f64 = 1e-4;

/// What is known of the time that an engine takes per piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Summary {
    /// The usual time; zero if unknown.
    pub usual: Duration,
    /// The time in bad moments, the 90th percentile; zero if unknown.
    pub bad: Duration,
    /// The time now, halfway to the usual one, since a stream outlasts a burst; zero if unknown.
    pub expected: Duration,
    /// Gaps between pieces that this entry measured.
    pub samples: u64,
}

impl Summary {
    /// Returns whether pieces arrive within `max_gap` even in bad moments. An engine that is not
    /// known does, and so does any engine if the limit is zero, which stands for none.
    pub fn holds(&self, max_gap: Duration) -> bool {
        max_gap.is_zero() || self.bad <= max_gap.mul_f64(PAUSE_SHARE)
    }
}

/// Returns which engines of a pool miss the limit although most of the pool would hold it.
///
/// Load also makes pieces late, but at all engines alike: it is no reason to keep streams from
/// some of them.
pub fn slow_engines(engines: &[Summary], max_gap: Duration) -> Vec<bool> {
    let mut known: Vec<Duration> =
        engines.iter().map(|engine| engine.bad).filter(|bad| !bad.is_zero()).collect();
    known.sort_unstable();
    let typical = known.get(known.len() / 2).copied().unwrap_or_default();
    let is_slow =
        |engine: &Summary| !engine.holds(max_gap) && engine.bad > typical.mul_f64(SLOW_FACTOR);
    engines.iter().map(is_slow).collect()
}

/// How much longer than at a typical engine of its pool a piece takes at a slow one, in bad
/// moments.
const SLOW_FACTOR: f64 = 1.4;

/// What one entry has measured of an engine, as told to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The usual time per piece.
    pub usual: Duration,
    /// The time in bad moments.
    pub bad: Duration,
    /// The time as of the last pieces.
    pub latest: Duration,
    /// In how many more observed seconds the bad time is forgotten, if they show none.
    pub bad_seconds: u32,
    /// How long ago the last piece arrived.
    pub age: Duration,
}

impl Report {
    /// Returns whether one of the times differs by more than a tenth, or the latest one, which is
    /// an average of few gaps, by more than a third.
    pub fn differs(&self, other: &Self) -> bool {
        let differs = |a: Duration, b: Duration, part: u32| a.abs_diff(b) > a.max(b) / part;
        differs(self.usual, other.usual, 10)
            || differs(self.bad, other.bad, 10)
            || differs(self.latest, other.latest, 3)
    }
}

/// The time that one incarnation of an engine takes per piece, as known to one entry.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    gaps: Gaps,
    own: Option<Estimate>,
    reported: Option<Reported>,
    missing: Option<Missing>,
}

/// What this entry measured.
#[derive(Debug, Clone)]
struct Estimate {
    usual: f64,
    /// The latest average, and when it was made.
    level: (f64, Time),
    averages: u32,
    seconds: Seconds,
    samples: u64,
    sampled_at: Time,
}

/// Gaps that are not averaged yet.
#[derive(Debug, Clone, Copy, Default)]
struct Gaps {
    since: Time,
    sum: Duration,
    count: u32,
    longest: Duration,
    second_longest: Duration,
}

/// The slowest averages of the latest seconds with any, newest last.
#[derive(Debug, Clone, Default)]
struct Seconds {
    slowest: VecDeque<f64>,
    newest: u64,
}

/// What other entries measured.
#[derive(Debug, Clone, Copy)]
struct Reported {
    usual: f64,
    bad: f64,
    bad_seconds: usize,
    latest: f64,
    at: Time,
    /// When the bad time was observed.
    bad_at: Time,
}

/// For how long an engine has missed the pause limit of its service.
#[derive(Debug, Clone, Copy)]
struct Missing {
    since: Time,
    /// Since when it holds the limit again.
    held_since: Option<Time>,
}

impl Pace {
    /// Records the gap between two pieces of a stream, and returns whether that completed an
    /// average.
    pub fn sample(&mut self, gap: Duration, now: Time) -> bool {
        self.gaps.add(gap, now);
        if self.gaps.count < MIN_GAPS || now.saturating_sub(self.gaps.since) < MIN_INTERVAL {
            return false;
        }
        let gaps = std::mem::take(&mut self.gaps);
        let usual = self.own.as_ref().map(|own| own.usual).or(self.reported.map(|r| r.usual));
        let average = gaps.average(usual);
        let own_at = self.own.as_ref().map(|own| own.sampled_at + AGREEMENT);
        let samples = self.own.as_ref().map_or(0, |own| own.samples);
        let newer = self.reported.filter(|reported| own_at.is_none_or(|at| at < reported.at));
        // The record of the others is continued, so that it does not begin again with each entry
        // that has a stream there.
        let own = match (newer, &mut self.own) {
            (Some(reported), own) => own.insert(Estimate::continued(&reported)),
            (None, own) => own.get_or_insert_with(|| Estimate::new(average, now)),
        };
        own.record_average(average, now);
        own.samples = samples + u64::from(gaps.count);
        true
    }

    /// Records how long work currently takes on the machine, in percent of the usual time. Returns
    /// whether that makes the current time longer.
    ///
    /// A usual figure is not evidence of a usual pace: prompts that are prefilled between pieces
    /// are not part of it.
    pub fn observe_machine(&mut self, percent: u32, now: Time) -> bool {
        let Some(own) = self.own.as_mut().filter(|_| percent > USUAL_PERCENT) else { return false };
        let factor = f64::from(percent.min(MAX_PERCENT)) / f64::from(USUAL_PERCENT);
        own.record_slower(own.usual * factor, now)
    }

    /// Returns what this entry has measured, if anything.
    pub fn report(&self, now: Time) -> Option<Report> {
        let own = self.own.as_ref()?;
        let age = now.saturating_sub(own.sampled_at);
        let bad = own.bad(now);
        let bad_seconds = own.seconds.remaining(bad);
        let bad_seconds = u32::try_from(bad_seconds).unwrap_or(u32::MAX);
        let (usual, latest) = (span(own.usual), span(own.level.0));
        Some(Report { usual, bad: span(bad), latest, bad_seconds, age })
    }

    /// Applies what another entry has measured.
    pub fn merge(&mut self, report: &Report, now: Time) {
        let at = now.saturating_sub(report.age);
        let (usual, bad) = (report.usual.as_secs_f64(), report.bad.as_secs_f64());
        let bad_seconds = usize::try_from(report.bad_seconds).unwrap_or(usize::MAX);
        let latest = report.latest.as_secs_f64();
        let new = Reported { usual, bad: bad.max(usual), bad_seconds, latest, at, bad_at: at };
        self.reported = match self.reported {
            _ if report.usual.is_zero() => self.reported,
            Some(known) => known.merge(new),
            None => Some(new),
        };
    }

    /// Returns how long ago the engine was last observed.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let own_at = self.own.as_ref().map(|own| own.sampled_at);
        let at = own_at.max(self.reported.map(|reported| reported.at));
        at.map(|at| now.saturating_sub(at))
    }

    /// Returns what is known of the engine. Figures that are older than others are left out.
    pub fn summary(&self, now: Time) -> Summary {
        let own_at = self.own.as_ref().map(|own| own.sampled_at);
        let reported_at = self.reported.map(|reported| reported.at);
        let is_current = |at: &Time| *at + AGREEMENT >= own_at.max(reported_at).unwrap_or_default();
        let own = self.own.as_ref().filter(|own| is_current(&own.sampled_at));
        let reported = self.reported.filter(|reported| is_current(&reported.at));
        let usual = match (own, reported) {
            (Some(own), Some(reported)) => f64::midpoint(own.usual, reported.usual),
            (own, reported) => {
                own.map(|own| own.usual).or(reported.map(|r| r.usual)).unwrap_or_default()
            }
        };
        let own_bad = own.map_or(0.0, |own| own.bad(now));
        let bad = own_bad.max(reported.map_or(0.0, |reported| reported.bad)).max(usual);
        let reported_level = reported.and_then(|reported| reported.level(now));
        let level = match (own.and_then(|own| own.level(now)), reported_level) {
            (Some(own), Some(reported)) => f64::midpoint(own, reported),
            (own, reported) => own.or(reported).unwrap_or(usual),
        };
        Summary {
            usual: span(usual),
            bad: span(bad),
            expected: span(f64::midpoint(usual, level)),
            samples: self.own.as_ref().map_or(0, |own| own.samples),
        }
    }

    /// Follows whether the engine holds the pause limit of its service, and returns the new state
    /// if that has changed: `Some(true)` if it misses the limit from now on. To be called several
    /// times a second.
    pub fn track_limit(&mut self, max_gap: Duration, now: Time) -> Option<bool> {
        let holds = self.summary(now).holds(max_gap);
        match (&mut self.missing, holds) {
            (None, true) => None,
            (None, false) => {
                self.missing = Some(Missing { since: now, held_since: None });
                Some(true)
            }
            (Some(missing), false) => {
                missing.held_since = None;
                None
            }
            (Some(missing), true) => {
                let held_since = *missing.held_since.get_or_insert(now);
                let recovered = now.saturating_sub(held_since) >= RECOVERY_TIME;
                recovered.then(|| self.missing = None).map(|()| false)
            }
        }
    }

    /// Returns whether an engine that misses the pause limit should get one stream to find out
    /// whether it has recovered: it has sent no piece for a while, which is longer the longer it
    /// has missed the limit.
    pub fn is_probe_due(&self, now: Time) -> bool {
        let missing = self.missing.map_or(Duration::ZERO, |m| now.saturating_sub(m.since));
        let interval = (missing / PROBE_DIVISOR).clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        self.age(now).is_none_or(|age| age >= interval)
    }
}

impl Gaps {
    fn add(&mut self, gap: Duration, now: Time) {
        if self.count == 0 {
            self.since = now;
        }
        self.sum += gap;
        self.count += 1;
        self.second_longest = self.second_longest.max(gap.min(self.longest));
        self.longest = self.longest.max(gap);
    }

    /// The average, without the effect of a single outlier if the usual time is known.
    fn average(&self, usual: Option<f64>) -> f64 {
        let average = self.sum.as_secs_f64() / f64::from(self.count.max(1));
        let max = |usual: f64| MAX_OUTLIER * usual.max(self.second_longest.as_secs_f64());
        average.min(usual.map_or(f64::INFINITY, max)).max(MIN_SECONDS)
    }
}

impl Estimate {
    fn new(average: f64, now: Time) -> Self {
        Self {
            usual: average,
            level: (average, now),
            averages: 0,
            seconds: Seconds::default(),
            samples: 0,
            sampled_at: now,
        }
    }

    fn continued(reported: &Reported) -> Self {
        let seconds = Seconds::restored(reported.usual, reported.bad, reported.bad_seconds);
        let level = (reported.usual, Time::ZERO);
        Self { level, seconds, averages: SETTLED, ..Self::new(reported.usual, reported.at) }
    }

    fn record_average(&mut self, average: f64, now: Time) {
        self.averages = self.averages.saturating_add(1);
        let time = now.saturating_sub(self.sampled_at).as_secs_f64().min(MAX_STEP_TIME);
        let first = if self.averages <= SETTLED { FIRST_STEP } else { 0.0 };
        let step = (USUAL_RATE * time).max(first / f64::from(self.averages));
        self.usual *= (average / self.usual).ln().clamp(-step, step).exp();
        self.level = (average, now);
        self.sampled_at = now;
        self.seconds.record(average, now);
    }

    /// Records a time that is only known to be a lower bound.
    fn record_slower(&mut self, level: f64, now: Time) -> bool {
        let is_slower = self.level(now).is_none_or(|known| level > known);
        if is_slower {
            self.level = (level, now);
            self.seconds.record(level, now);
        }
        is_slower
    }

    fn level(&self, now: Time) -> Option<f64> {
        let (level, at) = self.level;
        (now.saturating_sub(at) < LEVEL_TTL).then_some(level)
    }

    fn bad(&self, now: Time) -> f64 {
        self.usual.max(self.seconds.percentile()).max(self.level(now).unwrap_or_default())
    }
}

impl Seconds {
    /// The record of an engine whose bad time is forgotten after `bad_seconds` more seconds.
    fn restored(usual: f64, bad: f64, bad_seconds: usize) -> Self {
        let older = bad_seconds.clamp(1, KEPT_SECONDS - 1) - 1;
        let value = |at: usize| if at == older || at == older + 1 { bad } else { usual };
        Self { slowest: (0..KEPT_SECONDS).map(value).collect(), newest: 0 }
    }

    /// In how many more seconds that are faster than `bad` the percentile falls below it.
    fn remaining(&self, bad: f64) -> usize {
        let oldest = self.slowest.iter().position(|value| *value >= bad).unwrap_or_default();
        oldest + 1 + KEPT_SECONDS - self.slowest.len()
    }

    fn record(&mut self, average: f64, now: Time) {
        if self.slowest.is_empty() || now.as_secs() > self.newest {
            if self.slowest.len() >= KEPT_SECONDS {
                self.slowest.pop_front();
            }
            self.slowest.push_back(average);
            self.newest = now.as_secs();
        } else if let Some(slowest) = self.slowest.back_mut() {
            *slowest = slowest.max(average);
        }
    }

    /// The second-slowest of the seconds, or the only one.
    fn percentile(&self) -> f64 {
        let both = self.slowest.iter().fold((0.0_f64, 0.0_f64), |(first, second), value| {
            (first.max(*value), second.max(first.min(*value)))
        });
        if self.slowest.len() > 1 { both.1 } else { both.0 }
    }
}

impl Reported {
    /// Merges a newer or about equally old report into this one. Of several bad times the longest
    /// counts, since the other entries may not have observed the bad moment.
    fn merge(self, new: Self) -> Option<Self> {
        if new.at + AGREEMENT < self.at {
            return Some(self);
        }
        if self.at + AGREEMENT < new.at {
            return Some(new);
        }
        let usual = self.usual + (new.usual - self.usual) * REPORT_WEIGHT;
        let is_outdated = self.bad_at + AGREEMENT < new.at;
        let worse = if new.bad >= self.bad || is_outdated { new } else { self };
        let latest = f64::midpoint(self.latest, new.latest);
        Some(Self { usual, latest, at: self.at.max(new.at), ..worse })
    }

    fn level(&self, now: Time) -> Option<f64> {
        (now.saturating_sub(self.at) < LEVEL_TTL).then_some(self.latest)
    }
}
