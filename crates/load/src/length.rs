//! Distributions of lengths in tokens.

use rand::Rng;
use rand_distr::{Distribution, LogNormal, Uniform};
use serde::Deserialize;

/// Distribution of the length of prompts or answers, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Length {
    /// A constant.
    Fixed(u32),
    /// Log-normal, which approximates the lengths of real prompts and answers.
    Median {
        /// The median.
        median: u32,
        /// The 95th percentile.
        p95: u32,
    },
    /// Uniform over a range.
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
    /// Whether the parameters are consistent.
    pub(crate) fn is_valid(self) -> bool {
        match self {
            Length::Fixed(_) => true,
            Length::Median { median, p95 } => median > 0 && p95 >= median,
            Length::Range { min, max } => min <= max,
        }
    }

    /// Draws a random length.
    pub(crate) fn draw(self, random: &mut impl Rng) -> u32 {
        match self {
            Length::Fixed(tokens) => tokens,
            Length::Median { median, p95 } => {
                let (median, p95) = (f64::from(median), f64::from(p95));
                let normal = LogNormal::new(median.ln(), (p95 / median).ln() / Z95);
                round_bounded(normal.map_or(median, |normal| normal.sample(random)))
            }
            Length::Range { min, max } => {
                Uniform::new_inclusive(min, max).map_or(min, |range| range.sample(random))
            }
        }
    }
}

/// Rounds a length that may be unbounded or undefined.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded before the cast, and undefined becomes 0"
)]
fn round_bounded(tokens: f64) -> u32 {
    /// Longer than any model's context, in tokens.
    const LONGEST: f64 = 1_000_000.0;
    tokens.round().clamp(0.0, LONGEST) as u32
}
