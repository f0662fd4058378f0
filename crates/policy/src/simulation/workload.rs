//! The load of a simulation: streams of requests and the arrivals that they generate.

use super::Random;
use crate::CallerId;
use crate::number::count;

/// Requests of one kind from one or more callers.
#[derive(Debug, Clone)]
pub struct ArrivalStream {
    /// The class under which results are counted.
    pub class: &'static str,
    /// The number of callers that send the requests, in equal parts.
    pub callers: usize,
    /// Requests per second of all callers, as a step function: the second from which a rate holds,
    /// and the rate.
    pub rate: Vec<(f64, f64)>,
    /// Mean prompt tokens.
    pub prompt: f64,
    /// Mean output tokens.
    pub output: f64,
    /// The sigma of the log-normal distribution of both lengths.
    pub sigma: f64,
    /// Whether the requests are urgent.
    pub urgent: bool,
    /// The deadline of the first token, in seconds from arrival.
    pub deadline: f64,
    /// The number of prefixes that the requests share, 0 for none.
    pub prefixes: usize,
    /// The fraction of the prompt that is the prefix.
    pub prefix_share: f64,
    /// Whether the requests crash the engine that runs them.
    pub poison: bool,
}

impl Default for ArrivalStream {
    fn default() -> Self {
        Self {
            class: "short",
            callers: 40,
            rate: vec![(0.0, 1.0)],
            prompt: 400.0,
            output: 150.0,
            sigma: 0.9,
            urgent: false,
            deadline: 10.0,
            prefixes: 0,
            prefix_share: 0.0,
            poison: false,
        }
    }
}

/// The arrival of one request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The time of arrival, in seconds.
    pub at: f64,
    /// The class of its stream.
    pub class: &'static str,
    /// The caller that sends it.
    pub caller: CallerId,
    /// The entry that receives it.
    pub entry: usize,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens; decisions do not know them in advance.
    pub output: u64,
    /// Whether it is urgent.
    pub urgent: bool,
    /// The deadline of the first token, in seconds from arrival.
    pub deadline: f64,
    /// The hash of the shared prefix, 0 for none.
    pub prefix: u64,
    /// The fraction of the prompt that is the prefix.
    pub prefix_share: f64,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
}

/// The maximum output tokens of a request, which engines enforce.
const MAX_OUTPUT: f64 = 16_000.0;

/// Generates the arrivals of all streams until `end` seconds, in order of time.
pub fn arrivals(streams: &[ArrivalStream], entries: usize, end: f64, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let salt = u64::try_from(index).unwrap_or(0);
        stream.generate(entries, end, &mut Random::new(seed ^ (salt << 32)), &mut all);
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

impl ArrivalStream {
    /// Returns the rate at a time.
    pub(super) fn rate_at(&self, at: f64) -> f64 {
        let steps = self.rate.iter().rev();
        steps.clone().find(|(from, _)| *from <= at).map_or(0.0, |(_, rate)| *rate)
    }

    /// Generates Poisson arrivals by thinning: draws them at the highest rate, and keeps the
    /// fraction that the rate at the time requires.
    fn generate(&self, entries: usize, end: f64, random: &mut Random, all: &mut Vec<Arrival>) {
        let highest = self.rate.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        if highest <= 0.0 {
            return;
        }
        let mut at = random.exponential(1.0 / highest);
        while at < end {
            if random.unit() * highest < self.rate_at(at) {
                all.push(self.arrival(at, entries, random));
            }
            at += random.exponential(1.0 / highest);
        }
    }

    fn arrival(&self, at: f64, entries: usize, random: &mut Random) -> Arrival {
        let caller = random.below(self.callers.max(1));
        let prefix = match self.prefixes {
            0 => 0,
            number => crate::hash(&format!("{}-{}", self.class, random.below(number))),
        };
        let output = random.log_normal(self.output, self.sigma).min(MAX_OUTPUT);
        Arrival {
            at,
            class: self.class,
            caller: compact_str::format_compact!("{}-{caller}", self.class),
            entry: random.below(entries),
            prompt: count(random.log_normal(self.prompt, self.sigma)).max(1),
            output: count(output).max(1),
            urgent: self.urgent,
            deadline: self.deadline,
            prefix,
            prefix_share: self.prefix_share,
            poison: self.poison,
        }
    }
}
