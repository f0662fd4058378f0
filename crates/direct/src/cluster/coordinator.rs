//! What this entry has granted to others as a coordinator, see [`crate::exchange::coordination`].

mod permits;

use policy::Hash;
use policy::reservations::Reservations;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

pub use permits::Permits;

/// What this entry has granted.
#[derive(Debug)]
pub struct Coordinator {
    inner: Mutex<Inner>,
    /// Permits for requests to targets that named a limit.
    pub permits: Permits,
    started: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    /// Prompts to be read, by engine.
    engines: HashMap<Hash, Reservations>,
    /// Streams, by engine.
    places: HashMap<Hash, Reservations>,
    /// When each group was first asked for here.
    since: HashMap<Hash, Instant>,
}

/// For how long after the first question an entry also goes by what the others say of their work: it
/// knows nothing yet of what another has granted, and a queue is read within this time.
const NEW: Duration = Duration::from_millis(500);

/// Engines and groups that are remembered; those that are gone are forgotten with all others.
const MAX_REMEMBERED: usize = 4_096;

impl Default for Coordinator {
    fn default() -> Self {
        let (inner, permits) = (Mutex::default(), Permits::default());
        Self { inner, permits, started: Instant::now() }
    }
}

impl Coordinator {
    /// Tokens that wait to be read at an engine as far as this entry granted them.
    pub fn queued_tokens(&self, engine: Hash, now: Instant) -> u64 {
        let time = self.time(now);
        let mut inner = self.lock();
        inner.engines.get_mut(&engine).map_or(0, |bookings| bookings.total(time))
    }

    /// Whether this entry was first asked for a group only lately.
    pub fn is_new(&self, group: Hash, now: Instant) -> bool {
        let mut inner = self.lock();
        if inner.since.len() >= MAX_REMEMBERED {
            inner.since.clear();
        }
        now.duration_since(*inner.since.entry(group).or_insert(now)) < NEW
    }

    /// Books a prompt at an engine.
    pub fn book(&self, engine: Hash, booking: u64, tokens: u64, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.engines.len() >= MAX_REMEMBERED {
            inner.engines.clear();
        }
        inner.engines.entry(engine).or_default().reserve(booking, tokens, time);
    }

    /// Streams at an engine as far as this entry granted them.
    pub fn streams(&self, engine: Hash, now: Instant) -> u32 {
        let time = self.time(now);
        let mut inner = self.lock();
        let streams = inner.places.get_mut(&engine).map_or(0, |places| places.total(time));
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// Books a place for a stream at an engine.
    pub fn book_place(&self, engine: Hash, booking: u64, span: Duration, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.places.len() >= MAX_REMEMBERED {
            inner.places.clear();
        }
        inner.places.entry(engine).or_default().reserve_for(booking, 1, time, span);
    }

    /// Ends a booking.
    pub fn end(&self, engine: Hash, booking: u64) {
        let inner = &mut *self.lock();
        for engines in [&mut inner.engines, &mut inner.places] {
            if let Some(bookings) = engines.get_mut(&engine) {
                bookings.release(booking);
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
