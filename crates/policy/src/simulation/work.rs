//! What callers ask for: streams of requests, and the arrivals they make.

use super::Random;
use crate::CallerId;
use crate::number::count;

/// The requests of one kind from one or more callers.
#[derive(Debug, Clone)]
pub struct Stream {
    /// The class that results are given for.
    pub class: &'static str,
    /// How many callers send it, in equal parts.
    pub callers: usize,
    /// Requests a second of all of them, by pieces: from this second on, this many.
    pub rate: Vec<(f64, f64)>,
    /// Mean prompt tokens.
    pub prompt: f64,
    /// Mean output tokens.
    pub output: f64,
    /// The spread of both: sigma of the log-normal distribution.
    pub sigma: f64,
    /// Whether they are urgent.
    pub urgent: bool,
    /// Seconds until the first token is due.
    pub deadline: f64,
    /// How many prefixes they share, 0 for none.
    pub prefixes: usize,
    /// The part of the prompt that is the prefix.
    pub prefix_share: f64,
    /// Whether they crash the engine that runs them.
    pub poison: bool,
}

impl Default for Stream {
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

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, in seconds.
    pub at: f64,
    /// Its stream's class.
    pub class: &'static str,
    /// Who sends it.
    pub caller: CallerId,
    /// The entry that gets it.
    pub entry: usize,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens, which no decision knows.
    pub output: u64,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Seconds until the first token is due.
    pub deadline: f64,
    /// The shared prefix, or 0.
    pub prefix: u64,
    /// The prefix's part of the prompt.
    pub prefix_share: f64,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
}

/// Output tokens at most, as engines limit them.
const MOST_OUTPUT: f64 = 16_000.0;

/// Makes the arrivals of all streams until `end` seconds, in order of time.
pub fn arrivals(streams: &[Stream], entries: usize, end: f64, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let salt = u64::try_from(index).unwrap_or(0);
        stream.arrive(entries, end, &mut Random::new(seed ^ (salt << 32)), &mut all);
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

impl Stream {
    /// The rate at a time.
    pub(super) fn rate_at(&self, at: f64) -> f64 {
        let pieces = self.rate.iter().rev();
        pieces.clone().find(|(from, _)| *from <= at).map_or(0.0, |(_, rate)| *rate)
    }

    /// Draws arrivals at the highest rate and keeps the part that the rate of the time asks for.
    fn arrive(&self, entries: usize, end: f64, random: &mut Random, all: &mut Vec<Arrival>) {
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
            many => crate::hash(&format!("{}-{}", self.class, random.below(many))),
        };
        let output = random.log_normal(self.output, self.sigma).min(MOST_OUTPUT);
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
