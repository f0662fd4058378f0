//! Generates the requests of a mix: when each arrives and what it asks for.

use crate::Mix;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// One request of a mix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Index in the mix, from 0.
    pub number: u64,
    /// Arrival time since the start of the mix.
    pub at: Duration,
    /// Index of its class in the mix.
    pub class: usize,
    /// Index of its caller in the mix.
    pub caller: usize,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of its answer, in tokens.
    pub output_tokens: u32,
    /// Index of its prompt's prefix among those of the class.
    pub prefix: u32,
}

/// Iterator over the requests of a mix in the order of their arrival.
pub struct Arrivals<'a> {
    mix: &'a Mix,
    random: ChaCha8Rng,
    at: Duration,
    number: u64,
}

impl<'a> Arrivals<'a> {
    /// Starts at the beginning of the mix, with its seed.
    pub fn new(mix: &'a Mix) -> Self {
        let random = ChaCha8Rng::seed_from_u64(mix.seed);
        Self { mix, random, at: Duration::ZERO, number: 0 }
    }

    /// Arrival rate at the current time, in requests a second.
    fn rate(&self) -> f64 {
        let bursts = self.mix.bursts.iter();
        let now = bursts.filter(|burst| (burst.at..burst.at + burst.lasts).contains(&self.at));
        now.fold(self.mix.rate, |rate, burst| rate * burst.times)
    }

    /// Phase of the swing at the current time: a triangle wave from 0 to 1 and back.
    fn swing(&self) -> f64 {
        if self.mix.swing.is_zero() {
            return 0.0;
        }
        let turns = self.at.as_secs_f64() / self.mix.swing.as_secs_f64();
        1.0 - (2.0 * turns.fract() - 1.0).abs()
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap: f64 = Exp1.sample(&mut self.random);
        self.at += Duration::from_secs_f64(gap / self.rate());
        if self.at >= self.mix.duration || self.number >= self.mix.requests {
            return None;
        }
        let swing = self.swing();
        let weights = self.mix.classes.iter().map(|class| {
            let peak = class.share_at_peak.unwrap_or(class.share);
            class.share + (peak - class.share) * swing
        });
        let index = pick(&mut self.random, weights);
        let callers = self.mix.callers.iter().map(|caller| caller.share);
        let caller = pick(&mut self.random, callers);
        let class = &self.mix.classes[index];
        let arrival = Arrival {
            number: self.number,
            at: self.at,
            class: index,
            caller,
            prompt_tokens: class.prompt_tokens.draw(&mut self.random),
            output_tokens: class.output_tokens.draw(&mut self.random).min(class.max_tokens),
            prefix: self.random.random_range(0..class.prefixes.max(1)),
        };
        self.number += 1;
        Some(arrival)
    }
}

/// Picks an index at random by weight; the mix's check ensures that the sum of weights is above 0.
fn pick(random: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let sum: f64 = weights.clone().sum();
    let mut left = random.random::<f64>() * sum;
    let mut last = 0;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
