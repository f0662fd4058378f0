//! Measures how much work per second is given out, as an average over the last seconds.

use crate::Time;
use crate::number::float;

/// Time constant of the average, in seconds: longer than the gaps between prompts of a group of
/// engines, shorter than a burst.
const TIME_CONSTANT: f64 = 2.0;

/// An exponential average of work per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throughput {
    per_second: f64,
    at: Time,
}

impl Throughput {
    /// Records work that is given out now.
    pub fn record(&mut self, amount: u64, now: Time) {
        self.per_second = self.get(now) + float(amount) / TIME_CONSTANT;
        self.at = now;
    }

    /// Returns the work per second.
    pub fn get(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_second * (-elapsed / TIME_CONSTANT).exp()
    }
}
