//! The time that each engine takes per piece of output: what this entry measured, and what the
//! other entries report in the datagrams that are sent anyway.

use policy::pace::{Pace, Report, Summary};
use policy::{Hash, short_hash};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the engines in one datagram, about 14 bytes each.
const MAX_ROWS: usize = 16;

/// Engines that a datagram with few changes is filled up to in turn, so that an entry that starts
/// learns of 40 engines in five datagrams of any other.
const TURN_ROWS: usize = 8;

/// Datagrams that contain a change. Entries take turns to receive them.
const CHANGE_COPIES: u32 = 3;

/// Upper bound on the engines of which something is known. On overflow all are dropped.
const MAX_ENGINES: usize = 4_096;

/// For how long what is known of an engine outlasts its record in the log, which may return.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The time per piece of all engines, by the short hashes of their incarnations.
#[derive(Debug)]
pub struct Paces {
    inner: Mutex<Inner>,
    /// The times passed to `policy` count from then.
    started: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    engines: HashMap<u32, Engine>,
    /// Engines whose change is to be published, in turn.
    changed: VecDeque<u32>,
    /// Engines that this entry has measured, in the order in which they are published.
    turn: VecDeque<u32>,
}

#[derive(Debug, Default)]
struct Engine {
    pace: Pace,
    /// What was last published as a change.
    published: Option<Report>,
    /// Datagrams that are still to contain that change.
    copies: u32,
}

/// What an entry measured of one engine, as published to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceRow {
    /// The engine, by the short hash of its incarnation.
    pub engine: u32,
    /// What the entry measured.
    pub report: Report,
}

/// What matters of an engine's pace for the choice of an engine for decode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodePace {
    /// Whether the engine misses the pause limit, and no probe stream is due.
    pub misses_pause: bool,
    /// The expected time per piece; zero if unknown.
    pub piece_time: Duration,
}

impl Default for Paces {
    fn default() -> Self {
        Self { inner: Mutex::default(), started: Instant::now() }
    }
}

impl Paces {
    /// Records the gap between two pieces of a stream.
    pub fn record_piece(&self, engine: Hash, gap: Duration, now: Instant) {
        let time = self.time(now);
        self.lock().observe(engine, time, |pace| pace.sample(gap, time));
    }

    /// Records how long work currently takes on the engine's machine, in percent of the usual time.
    pub fn observe_machine(&self, engine: Hash, percent: u32, now: Instant) {
        let time = self.time(now);
        self.lock().observe(engine, time, |pace| pace.observe_machine(percent, time));
    }

    /// Applies what another entry measured.
    pub fn merge(&self, rows: &[PaceRow], now: Instant) {
        let (time, mut inner) = (self.time(now), self.lock());
        for row in rows {
            inner.engine(row.engine).pace.merge(&row.report, time);
        }
    }

    /// Returns what is known of an engine.
    pub fn summary(&self, engine: Hash, now: Instant) -> Summary {
        let time = self.time(now);
        let inner = self.lock();
        let engine = inner.engines.get(&short_hash(engine));
        engine.map(|engine| engine.pace.summary(time)).unwrap_or_default()
    }

    /// Returns what matters for a stream with this pause limit, zero if none, at an engine that is
    /// known to decode `streams` others.
    pub fn decode_pace(
        &self,
        engine: Hash,
        max_gap: Duration,
        streams: u32,
        now: Instant,
    ) -> DecodePace {
        let (time, inner) = (self.time(now), self.lock());
        let pace = inner.engines.get(&short_hash(engine)).map(|engine| &engine.pace);
        let summary = pace.map(|pace| pace.summary(time)).unwrap_or_default();
        let is_probe = streams == 0 && pace.is_none_or(|pace| pace.is_probe_due(time));
        let misses_pause = !summary.holds(max_gap) && !is_probe;
        DecodePace { misses_pause, piece_time: summary.expected }
    }

    /// Returns what is to be published to the other entries.
    pub fn snapshot(&self, now: Instant) -> Vec<PaceRow> {
        let time = self.time(now);
        let inner = &mut *self.lock();
        let mut rows = Vec::new();
        for _ in 0..inner.changed.len().min(MAX_ROWS) {
            let Some(key) = inner.changed.pop_front() else { break };
            let Some(engine) = inner.engines.get_mut(&key) else { continue };
            rows.extend(engine.row(key, time));
            engine.copies = engine.copies.saturating_sub(1);
            if engine.copies > 0 {
                inner.changed.push_back(key);
            }
        }
        for _ in 0..inner.turn.len().min(TURN_ROWS.saturating_sub(rows.len())) {
            let Some(key) = inner.turn.pop_front() else { break };
            let Some(engine) = inner.engines.get(&key) else { continue };
            inner.turn.push_back(key);
            if rows.iter().all(|row: &PaceRow| row.engine != key) {
                rows.extend(engine.row(key, time));
            }
        }
        rows
    }

    /// Follows whether an engine holds its service's pause limit, and returns the new state if that
    /// has changed: `Some(true)` if it misses the limit from now on.
    pub fn track_limit(&self, engine: Hash, max_gap: Duration, now: Instant) -> Option<bool> {
        let time = self.time(now);
        let mut inner = self.lock();
        inner.engines.get_mut(&short_hash(engine))?.pace.track_limit(max_gap, time)
    }

    /// Drops engines that are no longer listed and were not observed lately.
    pub fn forget(&self, listed: impl IntoIterator<Item = Hash>, now: Instant) {
        let listed: HashSet<u32> = listed.into_iter().map(short_hash).collect();
        let time = self.time(now);
        let inner = &mut *self.lock();
        inner.engines.retain(|key, engine| {
            let is_recent = || engine.pace.age(time).is_some_and(|age| age < FORGET_AFTER);
            listed.contains(key) || is_recent()
        });
        let engines = &inner.engines;
        inner.turn.retain(|key| engines.contains_key(key));
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.started)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn engine(&mut self, key: u32) -> &mut Engine {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&key) {
            *self = Self::default();
        }
        self.engines.entry(key).or_default()
    }

    /// Applies an observation of this entry's own, and lists the engine for publishing if it was
    /// not measured before or has changed.
    fn observe(
        &mut self,
        engine: Hash,
        now: policy::Time,
        observe: impl FnOnce(&mut Pace) -> bool,
    ) {
        let key = short_hash(engine);
        let engine = self.engine(key);
        if !observe(&mut engine.pace) {
            return;
        }
        let Some(report) = engine.pace.report(now) else { return };
        let is_new = engine.published.is_none();
        if engine.published.is_some_and(|published| !report.differs(&published)) {
            return;
        }
        engine.published = Some(report);
        let is_queued = std::mem::replace(&mut engine.copies, CHANGE_COPIES) > 0;
        if !is_queued {
            self.changed.push_back(key);
        }
        if is_new {
            self.turn.push_back(key);
        }
    }
}

impl Engine {
    fn row(&self, engine: u32, now: policy::Time) -> Option<PaceRow> {
        Some(PaceRow { engine, report: self.pace.report(now)? })
    }
}
