//! The entry's random numbers, all from one seed, so that tests can reproduce a session.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A seeded source of random numbers.
pub(crate) struct Random(Mutex<ChaCha12Rng>);

impl Random {
    /// Creates the generator for a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self(Mutex::new(ChaCha12Rng::seed_from_u64(seed)))
    }

    /// Returns a random number.
    pub(crate) fn number(&self) -> u64 {
        self.with(|rng| rng.next_u64())
    }

    /// Calls `decide` with the generator.
    pub(crate) fn with<T>(&self, decide: impl FnOnce(&mut dyn Rng) -> T) -> T {
        decide(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a random duration between half of `max` and `max`, which spreads retries over time.
    pub(crate) fn jitter(&self, max: Duration) -> Duration {
        const STEPS: u32 = 1_024;
        let step = u32::try_from(self.number() % u64::from(STEPS)).unwrap_or_default();
        max / 2 + max * step / (2 * STEPS)
    }
}
