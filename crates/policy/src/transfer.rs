//! Estimates how long KV cache transfers of an engine take, as a source and as a destination.
//!
//! **Load pattern.** Engines transfer hundreds of KV caches per second through links on which
//! transfers run one after another, and the links of some engines become several times slower.
//! **Without this**, these keep their share: their links fill, transfers wait for seconds and are
//! then refused, while prompts are still prefilled for them for nothing. **Approach.** For each
//! engine and direction, the median of the observed transfers is followed in steps. As a rule only
//! one of the two ends of a transfer is slow, and the median of the other end ignores those
//! transfers. The estimate decays while no transfer is observed, so an engine without transfers is
//! tried again.

use crate::Time;
use crate::number::span;
use std::time::Duration;

/// Factor of one step. From 10 ms it takes seven transfers to reach 100 ms, which a busy engine
/// makes within a fifth of a second.
const STEP: f64 = 1.4;

/// Half-life of the estimate without transfers. Within two seconds, the longest that a transfer
/// waits, it falls from those two seconds to 20 ms.
const HALF_LIFE: Duration = Duration::from_millis(300);

/// Duration of a transfer without contention, in seconds, including the first decode step: the
/// medians of 14 engines that were not slow were 7 to 10 ms.
const BASELINE: f64 = 0.01;

/// Upper bound of the estimate, in seconds.
const MAX_ESTIMATE: f64 = 2.0;

/// Estimated transfer time of one engine in one direction.
#[derive(Debug, Clone, Copy)]
pub struct TransferTime {
    seconds: f64,
    updated_at: Time,
}

impl Default for TransferTime {
    fn default() -> Self {
        Self { seconds: BASELINE, updated_at: Time::ZERO }
    }
}

impl TransferTime {
    /// Records how long a transfer took.
    pub fn sample(&mut self, duration: Duration, now: Time) {
        let expected = self.seconds(now);
        let next =
            if duration.as_secs_f64() > expected { expected * STEP } else { expected / STEP };
        *self = Self { seconds: next.clamp(BASELINE, MAX_ESTIMATE), updated_at: now };
    }

    /// Returns the estimated duration of a transfer.
    pub fn expected(&self, now: Time) -> Duration {
        span(self.seconds(now))
    }

    /// Returns by how much a transfer exceeds the duration without contention.
    pub fn excess(&self, now: Time) -> Duration {
        span(self.seconds(now) - BASELINE)
    }

    fn seconds(&self, now: Time) -> f64 {
        let idle = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (self.seconds * (-idle).exp2()).max(BASELINE)
    }
}
