//! How long engines take to hand KV cache over, as a source and as a destination.
//!
//! **Load pattern.** Engines pass hundreds of KV caches a second through links on which transfers
//! run one after another, and the links of some of them become several times slower. **Without
//! it** they keep their share: their links fill, transfers wait for seconds and are then refused,
//! while prompts go on being read for them in vain. **How.** For each engine and direction the
//! median of the transfers seen is followed by steps. Only one of the two ends of a transfer is
//! slow as a rule, and the other's median ignores those. What was learnt fades while no transfer
//! is seen, so an engine that is left alone is tried again.

use crate::Time;
use crate::number::span;
use std::time::Duration;

/// The factor of one step. From 10 ms it takes seven transfers to 100 ms, which a busy engine makes in
/// a fifth of a second.
const STEP: f64 = 1.4;

/// The time in which what was learnt halves, without a transfer: in two seconds, the longest that a
/// transfer waits, it falls from that to 20 ms.
const HALF_LIFE: Duration = Duration::from_millis(300);

/// What a transfer takes where nothing is in the way, in seconds, with the first step of output: 7 to
/// 10 ms were the medians of 14 engines that were not slow.
const USUAL: f64 = 0.01;

/// The longest that is believed, in seconds.
const MOST: f64 = 2.0;

/// The transfers of one engine in one direction.
#[derive(Debug, Clone, Copy)]
pub struct TransferTime {
    seconds: f64,
    at: Time,
}

impl Default for TransferTime {
    fn default() -> Self {
        Self { seconds: USUAL, at: Time::ZERO }
    }
}

impl TransferTime {
    /// Takes in how long a transfer took.
    pub fn sample(&mut self, took: Duration, now: Time) {
        let expected = self.seconds(now);
        let next = if took.as_secs_f64() > expected { expected * STEP } else { expected / STEP };
        *self = Self { seconds: next.clamp(USUAL, MOST), at: now };
    }

    /// How long a transfer takes.
    pub fn expected(&self, now: Time) -> Duration {
        span(self.seconds(now))
    }

    /// How much longer a transfer takes than where nothing is in the way.
    pub fn excess(&self, now: Time) -> Duration {
        span(self.seconds(now) - USUAL)
    }

    fn seconds(&self, now: Time) -> f64 {
        let idle = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (self.seconds * (-idle).exp2()).max(USUAL)
    }
}
