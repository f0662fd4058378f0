//! Seeded random numbers for simulations, the same in every run.

use crate::number::unit;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A random number generator with the distributions that simulations need.
#[derive(Debug, Clone)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns the underlying generator, to pass to a decision.
    pub fn rng(&mut self) -> &mut dyn rand::Rng {
        &mut self.0
    }

    /// Returns a uniform number in the range from 0 to 1, 1 excluded.
    pub fn unit(&mut self) -> f64 {
        unit(&mut self.0)
    }

    /// Returns a uniform index below `len`.
    pub fn below(&mut self, len: usize) -> usize {
        crate::number::below(len, &mut self.0)
    }

    /// Returns an exponentially distributed number: the time to the next arrival of a Poisson
    /// process.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Returns a log-normal number with this mean; a `sigma` of 0 gives the mean itself.
    pub fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}
