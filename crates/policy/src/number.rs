//! Conversions between token counts and floating point, which `as` would do silently.

use rand::Rng;
use std::time::Duration;

/// A count as a float; counts of tokens stay far under 2^52, so nothing is lost.
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}

/// A float as a count, rounded; negative and undefined become 0, too large becomes the largest.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from float to integer saturates, and undefined becomes 0"
)]
pub(crate) fn count(value: f64) -> u64 {
    value.round() as u64
}

/// The longest span that a decision deals with; longer ones are cut to it.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// Seconds as a span between 0 and a day; undefined becomes a day.
pub(crate) fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(LONGEST).min(LONGEST)
}

/// A random number from 0 up to 1.
pub(crate) fn unit(rng: &mut dyn Rng) -> f64 {
    const BITS: u32 = 53;
    float(rng.next_u64() >> (u64::BITS - BITS)) / float(1 << BITS)
}

/// A random index under `len`, which must not be 0.
pub(crate) fn below(len: usize, rng: &mut dyn Rng) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX).max(1);
    let product = u128::from(rng.next_u64()) * u128::from(len);
    usize::try_from(product >> u64::BITS).unwrap_or(0)
}
