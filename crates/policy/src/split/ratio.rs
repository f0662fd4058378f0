//! Keeps the split of a pool while its engines are replaced.
//!
//! **Load pattern.** A release, a crash or a scale-out replaces engines under load, one at a time or
//! all at once; the new ones start in the role that their operator starts them in. **Without this**
//! the pool falls back to that split, and [`super::choose`] does not correct it for a minute: under
//! load a change has to outweigh the streams that it interrupts, and demand has to be observed for
//! two horizons first. **Approach.** The ratio that was last decided is kept apart from the engines
//! that it was decided for. While the pool differs from it by whole engines, engines that have just
//! joined change: they have the least work.

use super::{Engine, clamp_prefill, count_prefill, engines_to_change};
use crate::number::float;

/// How a pool is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ratio {
    /// The engines that prefill.
    pub prefill: u32,
    /// All engines.
    pub engines: u32,
}

impl Ratio {
    /// Returns the ratio of a pool with `prefill` of `engines` engines; `None` for an empty one.
    pub fn new(prefill: usize, engines: usize) -> Option<Self> {
        let (prefill, engines) = (u32::try_from(prefill).ok()?, u32::try_from(engines).ok()?);
        (engines > 0).then_some(Self { prefill, engines })
    }

    /// Returns how many of `engines` engines should prefill, where `prefill` do; `None` if that
    /// differs from the ratio by less than one engine. A pool that has lost an engine, or has both
    /// the new and the old one for a moment, is left as it is.
    pub fn restored(self, engines: usize, prefill: usize) -> Option<usize> {
        let count = |count: usize| float(u64::try_from(count).unwrap_or(u64::MAX));
        let exact = count(engines) * f64::from(self.prefill) / f64::from(self.engines.max(1));
        let missing = (exact - count(prefill)).abs();
        // Casting a positive float to an integer saturates.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let moved = (missing + ROUNDING) as usize;
        let restored =
            if exact > count(prefill) { prefill + moved } else { prefill.saturating_sub(moved) };
        clamp_prefill(engines, restored).filter(|restored| *restored != prefill)
    }
}

/// The error of a ratio of counts, in engines.
const ROUNDING: f64 = 1e-6;

/// Returns the indexes of the engines to change so that the pool has the ratio again, of those that
/// have just joined, and how many engines then prefill.
pub fn joined_to_change(
    engines: &[Engine],
    joined: &[bool],
    ratio: Ratio,
) -> Option<(Vec<usize>, usize)> {
    let restored = ratio.restored(engines.len(), count_prefill(engines))?;
    let eligible: Vec<Engine> = engines
        .iter()
        .zip(joined)
        .map(|(engine, joined)| Engine { available: engine.available && *joined, ..*engine })
        .collect();
    let changes = engines_to_change(&eligible, restored);
    (!changes.is_empty()).then_some((changes, restored))
}
