//! The load: long prompts that share parts and short prompts with long output, at changing rates.

use crate::prefill::Prompt;
use crate::simulation::Random;
use std::time::Duration;

/// The class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A long prompt with little output.
    Long,
    /// A short prompt with long output.
    Short,
}

/// The id of a part that prompts share.
pub(super) type PartId = u32;

/// A request.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub at: f64,
    pub class: Class,
    /// Parts that other prompts share, with their tokens, in order.
    pub shared: Vec<(PartId, u64)>,
    /// Tokens of the part that no other prompt shares.
    pub own: u64,
    /// Output tokens.
    pub output: u64,
    /// The objective for the time to first token, in seconds.
    pub objective: f64,
    /// How long the caller waits for the first token, in seconds.
    pub deadline: f64,
    /// How often it has been refused.
    pub refused: u32,
    /// The time of the caller's first attempt.
    pub first_sent: f64,
}

impl Request {
    /// Returns the number of tokens of the prompt.
    pub fn tokens(&self) -> u64 {
        self.shared.iter().map(|(_, tokens)| tokens).sum::<u64>() + self.own
    }

    /// Returns the prompt in the form that decisions use.
    pub fn prompt(&self, late: bool) -> Prompt {
        let prefix_hash =
            self.shared.iter().fold(0, |hash, (id, _)| crate::mix(hash, (*id).into()));
        let objective = Duration::from_secs_f64(self.objective);
        Prompt { prefix_hash, tokens: self.tokens(), objective, late, short_output: false }
    }
}

/// The rates of both classes over time.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Long prompts per second.
    pub long: f64,
    /// Short prompts per second.
    pub short: f64,
    /// The objective of long prompts for the time to the first token, in seconds.
    pub long_objective: f64,
    /// Changes of the rates: the second from which they hold, and the factors for long and for
    /// short prompts.
    pub swings: Vec<(f64, f64, f64)>,
    /// The number of documents that long prompts share.
    pub documents: usize,
    /// The duration, in seconds.
    pub end: f64,
}

/// Returns a load that swings at two time scales: a phase of 14 s with more short and fewer long
/// prompts and one with the reverse, both with waves of 2.8 s; and twice as many long prompts in
/// the first five seconds of the second phase. The rates per engine are those of the larger of
/// today's users on an ordinary day, for 14 engines.
pub fn swinging() -> Traffic {
    let mut swings = Vec::new();
    let mut at = 0.0_f64;
    while at < 34.0 {
        let (mut long, mut short) = match at {
            at if !(3.0..32.0).contains(&at) => (1.0, 1.0),
            at if at < 18.0 => (0.42, 1.9),
            _ => (1.6, 0.47),
        };
        let wave = ((at - 1.0) / 2.8).floor();
        match (at >= 1.0, wave.rem_euclid(2.0) < 1.0) {
            (false, _) => {}
            (true, true) => (long, short) = (long * 0.57, short * 1.75),
            (true, false) => (long, short) = (long * 1.75, short * 0.59),
        }
        if (18.1..23.1).contains(&at) {
            long *= 2.0;
        }
        swings.push((at, long, short));
        at += 0.1;
    }
    Traffic { long: 179.0, short: 12.8, long_objective: 0.15, swings, documents: 675, end: 34.0 }
}

/// The number of system prompts; each long prompt begins with one of them.
const SYSTEM_PROMPTS: usize = 4;

/// The id of the first document, and of the part that all short prompts share.
const FIRST_DOCUMENT: u32 = 1_000;
const SHORT_PROMPT_PREFIX: u32 = 900;

impl Traffic {
    /// Scales a load for `base` engines to `engines` engines.
    pub fn scale_to(self, engines: usize, base: usize) -> Self {
        let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let factor = number(engines) / number(base.max(1));
        let documents = self.documents * engines / base.max(1);
        Self { long: self.long * factor, short: self.short * factor, documents, ..self }
    }

    /// Generates all requests, in order of time.
    pub(super) fn requests(&self, seed: u64) -> Vec<Request> {
        let mut random = Random::new(seed);
        let documents = self.document_sizes(&mut random);
        let mut all = Vec::new();
        for class in [Class::Long, Class::Short] {
            let mut at = 0.0_f64;
            while at < self.end {
                let rate = self.rate(class, at);
                at += random.exponential(1.0 / rate.max(1e-6)).min(1.0);
                if at < self.end {
                    all.push(request(class, at, self.long_objective, &documents, &mut random));
                }
            }
        }
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }

    fn rate(&self, class: Class, at: f64) -> f64 {
        let swing = self.swings.iter().rev().find(|(from, ..)| *from <= at);
        let (long, short) = swing.map_or((1.0, 1.0), |(_, long, short)| (*long, *short));
        match class {
            Class::Long => self.long * long,
            Class::Short => self.short * short,
        }
    }

    fn document_sizes(&self, random: &mut Random) -> Vec<u64> {
        (0..self.documents).map(|_| tokens(random, 3_780.0, 0.7)).collect()
    }
}

fn request(
    class: Class,
    at: f64,
    long_objective: f64,
    documents: &[u64],
    random: &mut Random,
) -> Request {
    let (shared, own, output, objective, deadline) = match class {
        Class::Long => {
            let system_prompt = u32::try_from(random.below(SYSTEM_PROMPTS)).unwrap_or(0);
            let document = random.below(documents.len());
            let id = FIRST_DOCUMENT + u32::try_from(document).unwrap_or(0);
            let shared = vec![(system_prompt, 2_520), (id, documents[document])];
            (shared, tokens(random, 2_890.0, 1.0), tokens(random, 76.0, 0.5), long_objective, 2.0)
        }
        Class::Short => (
            vec![(SHORT_PROMPT_PREFIX, 79)],
            tokens(random, 141.0, 0.8),
            tokens(random, 4_540.0, 0.6),
            0.12,
            15.0,
        ),
    };
    Request { at, class, shared, own, output, objective, deadline, refused: 0, first_sent: at }
}

fn tokens(random: &mut Random, mean: f64, sigma: f64) -> u64 {
    crate::number::count(random.log_normal(mean, sigma)).max(1)
}
