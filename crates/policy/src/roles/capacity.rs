//! Capacity of a pool of engines, by role.

use crate::estimate::{Cost, Rates};
use crate::number::float;
use conf::resource::Role;
use std::time::Duration;

/// Rate of tokens that callers ask for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Prompt tokens per second.
    pub prompt: f64,
    /// Output tokens per second.
    pub output: f64,
}

impl Demand {
    /// Moves an exponential average toward a new value, `elapsed` seconds after the last one.
    pub(super) fn toward(&self, new: &Self, elapsed: f64, time_constant: Duration) -> Self {
        let weight = 1.0 - (-elapsed / time_constant.as_secs_f64()).exp();
        Self {
            prompt: self.prompt + (new.prompt - self.prompt) * weight,
            output: self.output + (new.output - self.output) * weight,
        }
    }

    /// Returns the work per second, in output tokens, as [`Cost::work`] counts it.
    pub fn work(&self) -> f64 {
        self.prompt / float(Cost::PREFILL_PER_DECODE) + self.output
    }
}

/// Sums of the rates of the engines of each role.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PoolCapacity {
    prefill: f64,
    decode: f64,
    mixed: Sum,
}

#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Sum {
    prefill: f64,
    decode: f64,
}

impl PoolCapacity {
    /// Returns the capacity with one more engine.
    pub fn with(self, role: Role, rates: Rates) -> Self {
        self.add(role, rates, 1.0)
    }

    /// Returns the capacity with one engine less.
    pub fn without(self, role: Role, rates: Rates) -> Self {
        self.add(role, rates, -1.0)
    }

    fn add(mut self, role: Role, rates: Rates, sign: f64) -> Self {
        match role {
            Role::Prefill => self.prefill += sign * rates.prefill,
            Role::Decode => self.decode += sign * rates.decode,
            Role::Mixed => {
                self.mixed.prefill += sign * rates.prefill;
                self.mixed.decode += sign * rates.decode;
            }
        }
        self
    }

    /// Returns whether some engine serves each stage.
    pub fn covers_all_stages(&self) -> bool {
        let mixed = self.mixed.decode;
        self.prefill + mixed > 0.5 && self.decode + mixed > 0.5
    }

    /// Returns the work served per second under this demand: the largest share of it, at the same
    /// balance of prompt and output, for which mixed engines make up what the others lack.
    ///
    /// `mixing` is what prefill concurrent with decode costs the decode streams, as a share of the
    /// prefill time.
    pub fn goodput(&self, demand: &Demand, mixing: f64) -> f64 {
        const STEPS: u32 = 30;
        let (mut low, mut high) = (0.0, 1.0);
        if self.fits(demand, 1.0, mixing) {
            return demand.work();
        }
        for _ in 0..STEPS {
            let share = (low + high) / 2.0;
            if self.fits(demand, share, mixing) { low = share } else { high = share }
        }
        demand.work() * low
    }

    /// Returns whether this share of the demand can be served.
    fn fits(&self, demand: &Demand, share: f64, mixing: f64) -> bool {
        let prompt = (demand.prompt * share - self.prefill).max(0.0);
        let output = (demand.output * share - self.decode).max(0.0);
        let prefill = ratio(prompt, self.mixed.prefill);
        let decode = ratio(output, self.mixed.decode);
        // An engine that serves only one stage loses nothing to the other.
        let mixing = if decode > 0.0 { mixing } else { 0.0 };
        prefill * (1.0 + mixing) + decode <= 1.0
    }
}

fn ratio(needed: f64, available: f64) -> f64 {
    if needed <= 0.0 { 0.0 } else { needed / available.max(f64::MIN_POSITIVE) }
}
