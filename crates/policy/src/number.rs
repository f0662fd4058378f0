//! Conversions between token counts and floating point, in place of silent `as` casts.

use rand::Rng;
use std::time::Duration;

/// Converts a count to a float. Token counts stay far below 2^52, so no precision is lost.
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}

/// Rounds a float to a count. Negative values and NaN become 0, values too large become the
/// maximum.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from float to integer saturates, and NaN becomes 0"
)]
pub(crate) fn count(value: f64) -> u64 {
    value.round() as u64
}

/// Longest duration that decisions use; longer ones are clamped to it.
const MAX_SPAN: Duration = Duration::from_secs(24 * 3600);

/// Converts seconds to a duration between 0 and a day. NaN becomes a day.
pub(crate) fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_SPAN).min(MAX_SPAN)
}

/// Returns a random number in the range [0, 1).
pub(crate) fn unit(rng: &mut dyn Rng) -> f64 {
    const BITS: u32 = 53;
    float(rng.next_u64() >> (u64::BITS - BITS)) / float(1 << BITS)
}

/// Returns a random index below `len`, which must not be 0.
pub(crate) fn below(len: usize, rng: &mut dyn Rng) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX).max(1);
    let product = u128::from(rng.next_u64()) * u128::from(len);
    usize::try_from(product >> u64::BITS).unwrap_or(0)
}
