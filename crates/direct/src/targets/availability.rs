//! Targets that announced in a response that they are leaving, or that they accept no requests for
//! a while.
//!
//! Only those are listed, so what is published grows with the announcements and not with the number
//! of targets. What one incarnation announced outlasts its record in the log, which may expire and
//! return. The other entries are informed in the datagrams that are sent anyway.

use policy::Hash;
use policy::signals::{Change, SignalState};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long the other entries are informed that a target is leaving. By then its record has been
/// removed from the log.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Upper bound on the targets in one datagram.
const MAX_PUBLISHED: usize = 64;

/// Upper bound on the incarnations remembered as leaving. Of more, the latest ones are kept.
const MAX_LEAVING: usize = 4_096;

/// What targets announced, by the keys of their incarnations.
#[derive(Debug, Default)]
pub struct Availability {
    inner: Mutex<Inner>,
    /// Whether a leaving target is still to be removed from the fleet. Lets requests see without a
    /// lock that there is none.
    has_departed: AtomicBool,
}

#[derive(Debug, Default)]
struct Inner {
    /// Targets that are leaving, and when this process first observed it.
    leaving: HashMap<Hash, Instant>,
    /// The same in that order, for as long as they are published.
    published: VecDeque<(Hash, Instant)>,
    /// Until when targets accept no requests.
    paused: HashMap<Hash, Instant>,
    /// Targets that are leaving and were not yet removed from the fleet.
    departed: Vec<Hash>,
}

/// One incarnation of a target that accepts no requests, as published to the other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable {
    /// The key of the incarnation.
    pub target: Hash,
    /// Why it accepts no requests.
    pub reason: Reason,
}

/// Why a target accepts no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It is leaving.
    Leaving,
    /// It accepts no requests from this entry for this long.
    Paused(Duration),
}

/// The number of listed targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Targets that recently announced that they are leaving.
    pub leaving: i64,
    /// Targets that accept no requests now.
    pub paused: i64,
}

impl Availability {
    /// Records what changed with a response of a target.
    pub fn record(&self, target: Hash, changes: &[Change], now: Instant) {
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

    /// Records that a target is leaving.
    pub fn record_leaving(&self, target: Hash, now: Instant) {
        let mut inner = self.lock();
        if inner.leaving.contains_key(&target) {
            return;
        }
        if inner.leaving.len() >= MAX_LEAVING {
            inner.forget_older_half();
        }
        inner.leaving.insert(target, now);
        inner.published.push_back((target, now));
        inner.departed.push(target);
        self.has_departed.store(true, Ordering::Release);
    }

    /// Returns the targets that were found to be leaving since the last call.
    pub fn take_departed(&self) -> Vec<Hash> {
        if !self.has_departed.swap(false, Ordering::Acquire) {
            return Vec::new();
        }
        std::mem::take(&mut self.lock().departed)
    }

    /// Returns what this incarnation of a target announced before. Times count from `now`.
    pub fn restore(&self, target: Hash, now: Instant) -> SignalState {
        let inner = self.lock();
        let pause = inner.paused.get(&target).and_then(|until| until.checked_duration_since(now));
        SignalState::restored(inner.leaving.contains_key(&target), pause)
    }

    /// Returns the targets that recently announced that they are leaving.
    pub fn leaving(&self, now: Instant) -> Vec<Hash> {
        let mut inner = self.lock();
        inner.expire(now);
        inner.published.iter().map(|(target, _)| *target).collect()
    }

    /// Returns what is to be published to the other entries.
    pub fn snapshot(&self, now: Instant) -> Vec<Unavailable> {
        let mut inner = self.lock();
        inner.expire(now);
        let leaving = inner.published.iter().rev();
        let leaving =
            leaving.map(|(target, _)| Unavailable { target: *target, reason: Reason::Leaving });
        let paused = inner.paused.iter().map(|(target, until)| Unavailable {
            target: *target,
            reason: Reason::Paused(*until - now),
        });
        leaving.chain(paused).take(MAX_PUBLISHED).collect()
    }

    /// Returns the number of targets that are leaving or paused.
    pub fn counts(&self, now: Instant) -> Counts {
        let mut inner = self.lock();
        inner.expire(now);
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        Counts { leaving: count(inner.published.len()), paused: count(inner.paused.len()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn expire(&mut self, now: Instant) {
        self.paused.retain(|_, until| now < *until);
        while self
            .published
            .front()
            .is_some_and(|(_, since)| now.duration_since(*since) >= LEAVING_TTL)
        {
            self.published.pop_front();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Instant> = self.leaving.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.leaving.retain(|_, since| *since > middle);
    }
}
