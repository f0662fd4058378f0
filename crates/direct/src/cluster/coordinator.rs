//! Reservations that this entry has granted as a coordinator, see
//! [`crate::exchange::coordination`].

mod permits;

use policy::Hash;
use policy::reservations::Reservations;
use policy::throughput::Throughput;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

pub use permits::Permits;

/// Reservations and permits that this entry has granted.
#[derive(Debug)]
pub struct Coordinator {
    inner: Mutex<Inner>,
    /// Permits for requests to targets that named a limit.
    pub permits: Permits,
    started: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    /// Tokens to prefill, by engine.
    prefill: HashMap<Hash, Reservations>,
    /// Streams, by engine.
    streams: HashMap<Hash, Reservations>,
    /// Tokens to prefill that were granted lately, by engine, whether or not still queued.
    recent: HashMap<Hash, Reservations>,
    /// Tokens to prefill that were granted per second, by group.
    granted: HashMap<Hash, Throughput>,
    /// When the first request for each group arrived.
    first_requests: HashMap<Hash, Instant>,
}

/// For how long after the first request for a group an entry also considers the work that its peers
/// report: it has no record yet of what another coordinator has granted, and within this time the
/// engines prefill what was queued before.
const WARM_UP: Duration = Duration::from_millis(500);

/// The maximum number of engines and of groups that are tracked. On overflow all are dropped, which
/// removes those that no longer exist.
const MAX_TRACKED: usize = 4_096;

impl Default for Coordinator {
    fn default() -> Self {
        let (inner, permits) = (Mutex::default(), Permits::default());
        Self { inner, permits, started: Instant::now() }
    }
}

impl Coordinator {
    /// Returns the queued prefill tokens that this entry granted at an engine.
    pub fn queued_tokens(&self, engine: Hash, now: Instant) -> u64 {
        let time = self.time(now);
        let mut inner = self.lock();
        inner.prefill.get_mut(&engine).map_or(0, |reservations| reservations.total(time))
    }

    /// Returns whether the first request for a group arrived only recently.
    pub fn is_warming_up(&self, group: Hash, now: Instant) -> bool {
        let mut inner = self.lock();
        if inner.first_requests.len() >= MAX_TRACKED {
            inner.first_requests.clear();
        }
        now.duration_since(*inner.first_requests.entry(group).or_insert(now)) < WARM_UP
    }

    /// Reserves an engine for the prefill of a prompt.
    pub fn reserve_prefill(&self, engine: Hash, reservation: u64, tokens: u64, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.prefill.len() >= MAX_TRACKED {
            inner.prefill.clear();
        }
        inner.prefill.entry(engine).or_default().reserve(reservation, tokens, time);
    }

    /// Records tokens to prefill that were granted at an engine, which count as recent for `span`.
    pub fn record_recent(&self, engine: Hash, tokens: u64, span: Duration, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.recent.len() >= MAX_TRACKED {
            inner.recent.clear();
        }
        let recent = inner.recent.entry(engine).or_default();
        // Drops what is no longer recent.
        recent.total(time);
        // These are never released, so they need no id.
        recent.reserve_for(0, tokens, time, span);
    }

    /// Returns the recent tokens to prefill at an engine.
    pub fn recent_tokens(&self, engine: Hash, now: Instant) -> u64 {
        let time = self.time(now);
        self.lock().recent.get_mut(&engine).map_or(0, |recent| recent.total(time))
    }

    /// Records tokens to prefill that were granted in a group.
    pub fn record_granted(&self, group: Hash, tokens: u64, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.granted.len() >= MAX_TRACKED {
            inner.granted.clear();
        }
        inner.granted.entry(group).or_default().record(tokens, time);
    }

    /// Returns the tokens to prefill that were granted per second in a group.
    pub fn granted_rate(&self, group: Hash, now: Instant) -> f64 {
        let time = self.time(now);
        self.lock().granted.get(&group).map_or(0.0, |granted| granted.get(time))
    }

    /// Returns the streams that this entry granted at an engine.
    pub fn streams(&self, engine: Hash, now: Instant) -> u32 {
        let time = self.time(now);
        let mut inner = self.lock();
        let streams = inner.streams.get_mut(&engine).map_or(0, |streams| streams.total(time));
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// Reserves a slot at an engine for a stream, for at most `ttl`.
    pub fn reserve_slot(&self, engine: Hash, reservation: u64, ttl: Duration, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.streams.len() >= MAX_TRACKED {
            inner.streams.clear();
        }
        inner.streams.entry(engine).or_default().reserve_for(reservation, 1, time, ttl);
    }

    /// Releases a reservation.
    pub fn release(&self, engine: Hash, reservation: u64) {
        let inner = &mut *self.lock();
        for engines in [&mut inner.prefill, &mut inner.streams] {
            if let Some(reservations) = engines.get_mut(&engine) {
                reservations.release(reservation);
            }
        }
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.started)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
