//! Lengths in tokens as distributions.

use rand::Rng;
use rand_distr::{Distribution, LogNormal, Uniform};
use serde::Deserialize;

/// How long prompts or answers are, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Length {
    /// Always the same.
    Fixed(u32),
    /// Log-normal, as lengths of real prompts and answers nearly are.
    Median {
        /// Half are shorter.
        median: u32,
        /// 95 in 100 are shorter.
        p95: u32,
    },
    /// Any length in a range, each as often.
    Range {
        /// The shortest.
        min: u32,
        /// The longest.
        max: u32,
    },
}

/// The standard normal distribution's 95th percentile.
const Z95: f64 = 1.645;

impl Length {
    /// Whether the numbers fit each other.
    pub(crate) fn is_valid(self) -> bool {
        match self {
            Length::Fixed(_) => true,
            Length::Median { median, p95 } => median > 0 && p95 >= median,
            Length::Range { min, max } => min <= max,
        }
    }

    /// Draws a length.
    pub(crate) fn draw(self, random: &mut impl Rng) -> u32 {
        match self {
            Length::Fixed(tokens) => tokens,
            Length::Median { median, p95 } => {
                let (median, p95) = (f64::from(median), f64::from(p95));
                let normal = LogNormal::new(median.ln(), (p95 / median).ln() / Z95);
                whole(normal.map_or(median, |normal| normal.sample(random)))
            }
            Length::Range { min, max } => {
                Uniform::new_inclusive(min, max).map_or(min, |range| range.sample(random))
            }
        }
    }
}

/// Rounds a length that may be beyond all bounds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded before the cast, and undefined becomes 0"
)]
fn whole(tokens: f64) -> u32 {
    /// Longer than any model's context.
    const LONGEST: f64 = 1_000_000.0;
    tokens.round().clamp(0.0, LONGEST) as u32
}
