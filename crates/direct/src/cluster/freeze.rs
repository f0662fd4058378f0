//! Notices that this process, or its VM, stood still.
//!
//! **Load pattern.** A process is stopped or its VM suspended for seconds, and goes on. **Without
//! this**, what it knew before seems recent: the runtime's clock does not count the time for which a
//! VM is suspended, and datagrams that waited in the socket tell of ages as of when they were sent,
//! while later ones are lost once its buffer is full. **Approach.** The time since boot is looked at
//! several times a second, and before decisions that need a recent view. A gap is a freeze.

use crate::cluster::clock::SuspendClock;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How often the clock is to be looked at.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest gap that counts. The views that rely on this are a quarter of a second younger than
/// they have to be.
const MIN_FREEZE: Duration = Duration::from_millis(200);

/// For how long after a freeze datagrams are received that arrived meanwhile: the buffer of a socket
/// holds some hundreds.
const BACKLOG_TIME: Duration = Duration::from_millis(250);

/// Notices freezes.
#[derive(Debug)]
pub struct Detector {
    clock: Arc<dyn SuspendClock>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    checked_at: policy::Time,
    last: Option<Freeze>,
}

/// A time for which the process stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Freeze {
    /// By the runtime's clock, from which the whole duration is subtracted, though it may not have
    /// counted all of it.
    began_at: Instant,
    ended_at: Instant,
}

impl Detector {
    /// Creates a detector that looks at this clock.
    pub fn new(clock: Arc<dyn SuspendClock>) -> Self {
        let state = Mutex::new(State { checked_at: clock.now(), last: None });
        Self { clock, state }
    }

    /// Looks at the clock.
    pub fn check(&self, now: Instant) {
        let _ = self.last(now);
    }

    /// Returns whether the process stood still at any time since `at`.
    pub fn ended_since(&self, at: Instant, now: Instant) -> bool {
        self.last(now).is_some_and(|freeze| at <= freeze.ended_at)
    }

    /// Returns when a datagram that is received now has arrived at the latest.
    pub fn arrival(&self, now: Instant) -> Instant {
        let recent = self.last(now).filter(|freeze| now < freeze.ended_at + BACKLOG_TIME);
        recent.map_or(now, |freeze| freeze.began_at)
    }

    fn last(&self, now: Instant) -> Option<Freeze> {
        let mut state = self.lock();
        let time = self.clock.now();
        let gap = time.saturating_sub(std::mem::replace(&mut state.checked_at, time));
        if gap >= MIN_FREEZE {
            log::warn!(target: "process", ms = gap.as_millis(); "stood still");
            let began_at = now.checked_sub(gap).unwrap_or(now);
            state.last = Some(Freeze { began_at, ended_at: now });
        }
        state.last
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
