//! Targets that said in an answer that they leave, or that they want no requests for a while.
//!
//! Only those are listed, so what is told of them grows with what they say, not with their number. What a
//! life of a target said outlasts its entry in the log's list, which may vanish and come back. The other
//! entries are told in the datagrams that go anyhow.

use policy::Hash;
use policy::signals::{Change, SignalState};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// For how long the others are told that a target leaves; by then the log's list has dropped it.
const LATELY: Duration = Duration::from_secs(60);

/// Rows of one datagram.
const MAX_PUBLISHED: usize = 64;

/// Lives that are remembered as leaving; of more, those that said so last.
const MAX_LEFT: usize = 4_096;

/// What targets said, by the keys of their lives.
#[derive(Debug, Default)]
pub struct Availability {
    inner: Mutex<Inner>,
    /// Whether a target waits to be taken out of the fleet, so that requests need no lock to see that none does.
    has_departed: AtomicBool,
}

#[derive(Debug, Default)]
struct Inner {
    /// Those that leave, and since when this process knows it.
    left: HashMap<Hash, Instant>,
    /// The same in that order, as long as others are told.
    leaving: VecDeque<(Hash, Instant)>,
    /// Until when targets want no requests.
    paused: HashMap<Hash, Instant>,
    /// Those that leave and were not yet taken out of the fleet.
    departed: Vec<Hash>,
}

/// What one life of a target said of itself, for other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable {
    /// The key of the life.
    pub target: Hash,
    /// What it said.
    pub reason: Reason,
}

/// See [`Unavailable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It leaves.
    Leaving,
    /// It wants no requests from this entry for so long.
    Paused(Duration),
}

/// How many targets are listed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that lately said that they leave.
    pub leaving: i64,
    /// Those that want no requests now.
    pub paused: i64,
}

impl Availability {
    /// Takes in what changed with an answer of a target.
    pub fn note(&self, target: Hash, changes: &[Change], now: Instant) {
        for change in changes {
            match change {
                Change::Leaves => self.record_leaving(target, now),
                Change::Pauses { span, .. } => {
                    self.lock().paused.insert(target, now + *span);
                }
                Change::Limit(_) | Change::Resumes | Change::Unreadable(_) => {}
            }
        }
    }

    /// Takes in that a target leaves.
    pub fn record_leaving(&self, target: Hash, now: Instant) {
        let mut inner = self.lock();
        if inner.left.contains_key(&target) {
            return;
        }
        if inner.left.len() >= MAX_LEFT {
            inner.forget_older_half();
        }
        inner.left.insert(target, now);
        inner.leaving.push_back((target, now));
        inner.departed.push(target);
        self.has_departed.store(true, Ordering::Release);
    }

    /// Targets that were found to leave since this was last asked.
    pub fn take_departed(&self) -> Vec<Hash> {
        if !self.has_departed.swap(false, Ordering::Acquire) {
            return Vec::new();
        }
        std::mem::take(&mut self.lock().departed)
    }

    /// What this life of a target said before; times count from `now`.
    pub fn known(&self, target: Hash, now: Instant) -> SignalState {
        let inner = self.lock();
        let pause = inner.paused.get(&target).and_then(|until| until.checked_duration_since(now));
        SignalState::restored(inner.left.contains_key(&target), pause)
    }

    /// Targets that lately said that they leave.
    pub fn leaving(&self, now: Instant) -> Vec<Hash> {
        let mut inner = self.lock();
        inner.expire(now);
        inner.leaving.iter().map(|(target, _)| *target).collect()
    }

    /// What the other entries are to know.
    pub fn snapshot(&self, now: Instant) -> Vec<Unavailable> {
        let mut inner = self.lock();
        inner.expire(now);
        let leaving = inner.leaving.iter().rev();
        let leaving =
            leaving.map(|(target, _)| Unavailable { target: *target, reason: Reason::Leaving });
        let paused = inner.paused.iter().map(|(target, until)| Unavailable {
            target: *target,
            reason: Reason::Paused(*until - now),
        });
        leaving.chain(paused).take(MAX_PUBLISHED).collect()
    }

    /// How many targets leave or pause.
    pub fn counts(&self, now: Instant) -> Counts {
        let mut inner = self.lock();
        inner.expire(now);
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        Counts { leaving: count(inner.leaving.len()), paused: count(inner.paused.len()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn expire(&mut self, now: Instant) {
        self.paused.retain(|_, until| now < *until);
        while self.leaving.front().is_some_and(|(_, since)| now.duration_since(*since) >= LATELY) {
            self.leaving.pop_front();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Instant> = self.left.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.left.retain(|_, since| *since > middle);
    }
}
