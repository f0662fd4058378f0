//! What a pool of engines can do, by their roles.

use crate::estimate::{Cost, Rates};
use crate::number::float;
use conf::resource::Role;
use std::time::Duration;

/// Tokens a second that callers ask for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Prompt tokens a second.
    pub prompt: f64,
    /// Output tokens a second.
    pub output: f64,
}

impl Demand {
    /// Moves an average toward a new value, as exponential forgetting does in this time.
    pub(super) fn toward(&self, new: &Self, elapsed: f64, constant: Duration) -> Self {
        let weight = 1.0 - (-elapsed / constant.as_secs_f64()).exp();
        Self {
            prompt: self.prompt + (new.prompt - self.prompt) * weight,
            output: self.output + (new.output - self.output) * weight,
        }
    }

    /// The work of a second, in output tokens, as [`Cost::work`] counts it.
    pub fn work(&self) -> f64 {
        self.prompt / float(Cost::PREFILL_PER_DECODE) + self.output
    }
}

/// The engines of each role, and the sums of their rates.
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
    /// The fleet with one more engine.
    pub fn with(self, role: Role, rates: Rates) -> Self {
        self.add(role, rates, 1.0)
    }

    /// The fleet with one engine less.
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

    /// Whether some engine does each stage of the work.
    pub fn covers_all_stages(&self) -> bool {
        let mixed = self.mixed.decode;
        self.prefill + mixed > 0.5 && self.decode + mixed > 0.5
    }

    /// The work served a second of this demand: the largest part of it, at the same balance of
    /// prompt and output, for which mixed engines can make up what the others lack.
    ///
    /// `mixing` is what reading a prompt beside outputs costs them, as a part of its own time.
    pub fn goodput(&self, demand: &Demand, mixing: f64) -> f64 {
        const STEPS: u32 = 30;
        let (mut low, mut high) = (0.0, 1.0);
        if self.fits(demand, 1.0, mixing) {
            return demand.work();
        }
        for _ in 0..STEPS {
            let part = (low + high) / 2.0;
            if self.fits(demand, part, mixing) { low = part } else { high = part }
        }
        demand.work() * low
    }

    /// Whether a part of the demand can be served.
    fn fits(&self, demand: &Demand, part: f64, mixing: f64) -> bool {
        let prompt = (demand.prompt * part - self.prefill).max(0.0);
        let output = (demand.output * part - self.decode).max(0.0);
        let reading = ratio(prompt, self.mixed.prefill);
        let writing = ratio(output, self.mixed.decode);
        // An engine that does only one kind of work loses nothing to the other.
        let mixing = if writing > 0.0 { mixing } else { 0.0 };
        reading * (1.0 + mixing) + writing <= 1.0
    }
}

fn ratio(need: f64, have: f64) -> f64 {
    if need <= 0.0 { 0.0 } else { need / have.max(f64::MIN_POSITIVE) }
}
