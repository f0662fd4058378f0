//! Targets that said in an answer that they leave, or that they want no requests for a while.
//!
//! Only those are listed, so what is told of them grows with what they say, not with their number. What a
//! life of a target said outlasts its entry in the log's list, which may vanish and come back.

use policy::Hash;
use policy::signals::{Change, Standing};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// For how long a target counts as one that lately said that it leaves.
const LATELY: Duration = Duration::from_secs(60);

/// Lives that are remembered; of more, those that said last.
const MAX_REMEMBERED: usize = 4_096;

/// What targets said.
#[derive(Debug, Default)]
pub struct Standings {
    rows: Mutex<HashMap<Hash, Row>>,
    /// Targets that lately said that they leave, and when; the first first.
    leaving: Mutex<VecDeque<(Instant, Hash)>>,
    /// Targets that were not yet taken out of the list.
    departed: Mutex<Vec<Hash>>,
    has_departed: AtomicBool,
}

/// What one life of a target said.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    /// When it said that it leaves.
    leaves: Option<Instant>,
    /// Until when it wants no requests.
    pauses: Option<Instant>,
}

impl Row {
    fn is_paused(&self, now: Instant) -> bool {
        self.pauses.is_some_and(|until| now < until)
    }
}

/// How many targets are listed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that leave.
    pub leaving: i64,
    /// Those that want no requests now.
    pub paused: i64,
}

impl Standings {
    /// Takes in what changed with an answer of a target.
    pub fn note(&self, target: Hash, changes: &[Change], now: Instant) {
        for change in changes {
            match change {
                Change::Leaves => self.depart(target, now),
                Change::Pauses { span, .. } => {
                    self.lock().entry(target).or_default().pauses = Some(now + *span);
                }
                Change::Limit(_) | Change::Resumes | Change::Unreadable(_) => {}
            }
        }
    }

    fn depart(&self, target: Hash, now: Instant) {
        let mut rows = self.lock();
        if rows.len() >= MAX_REMEMBERED {
            forget(&mut rows, now);
        }
        rows.entry(target).or_default().leaves = Some(now);
        drop(rows);
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner).push_back((now, target));
        self.departed.lock().unwrap_or_else(PoisonError::into_inner).push(target);
        self.has_departed.store(true, Ordering::Release);
    }

    /// Targets that have said since this was last asked that they leave.
    pub fn take_departed(&self) -> Vec<Hash> {
        if !self.has_departed.swap(false, Ordering::Acquire) {
            return Vec::new();
        }
        std::mem::take(&mut *self.departed.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// What this life of a target said before; times count from `now`.
    pub fn known(&self, target: Hash, now: Instant) -> Standing {
        let row = self.lock().get(&target).copied().unwrap_or_default();
        let pause = row.pauses.map(|until| until.saturating_duration_since(now));
        Standing::restored(row.leaves.is_some(), pause.filter(|pause| !pause.is_zero()))
    }

    /// Targets that lately said that they leave.
    pub fn leaving(&self, now: Instant) -> Vec<Hash> {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        while leaving.front().is_some_and(|(at, _)| now.duration_since(*at) >= LATELY) {
            leaving.pop_front();
        }
        leaving.iter().map(|(_, target)| *target).collect()
    }

    /// How many targets leave or pause.
    pub fn counts(&self, now: Instant) -> Counts {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let leaving = count(self.leaving(now).len());
        let mut rows = self.lock();
        rows.retain(|_, row| row.leaves.is_some() || row.is_paused(now));
        let paused = count(rows.values().filter(|row| row.is_paused(now)).count());
        Counts { leaving, paused }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Hash, Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets the older half of the lives that left, and all pauses that are over.
fn forget(rows: &mut HashMap<Hash, Row>, now: Instant) {
    let mut times: Vec<Instant> = rows.values().filter_map(|row| row.leaves).collect();
    times.sort_unstable();
    let middle = times.get(times.len() / 2).copied().unwrap_or(now);
    rows.retain(|_, row| row.leaves.is_some_and(|at| at > middle) || row.is_paused(now));
}
