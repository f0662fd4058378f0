//! Random numbers of the model, the same in every run.

use crate::number::unit;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A source of random numbers with the distributions that the model needs.
#[derive(Debug, Clone)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Makes the source with this seed.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// The generator itself, to hand to a decision.
    pub fn rng(&mut self) -> &mut dyn rand::Rng {
        &mut self.0
    }

    /// A number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        unit(&mut self.0)
    }

    /// An index under `len`.
    pub fn below(&mut self, len: usize) -> usize {
        crate::number::below(len, &mut self.0)
    }

    /// A span until the next arrival of a Poisson process.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A log-normal number with this mean; `sigma` of 0 gives the mean itself.
    pub fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}
