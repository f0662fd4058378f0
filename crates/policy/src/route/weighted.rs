//! Least estimated work among a few, own failure domain first, prefixes kept together.

use super::{Candidate, Choice, Query, Route};
use crate::number::{below, float};
use crate::{Hash, Time, mix};
use rand::Rng;
use std::time::Duration;

/// Settings of [`Weighted`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Candidates compared. Two suffice against herding; four make up for slots of unequal work.
    pub drawn: usize,
    /// News of a load loses half of its weight in some 0.7 of this time, in favour of the mean.
    /// An engine finishes a usual answer within a few seconds, and then the news is worthless.
    pub memory: Duration,
    /// How much longer a wait in the own failure domain may be before a request leaves it.
    pub spill: Duration,
    /// How far beyond the mean work a target may be loaded for the sake of a prefix.
    pub bound: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            drawn: 4,
            memory: Duration::from_secs(3),
            spill: Duration::from_millis(250),
            bound: 1.25,
        }
    }
}

/// Takes the least estimated wait of a few drawn at random.
#[derive(Debug, Default)]
pub struct Weighted {
    settings: Settings,
    able: Vec<Able>,
}

/// An able candidate and the estimated wait there.
#[derive(Debug, Clone, Copy)]
struct Able {
    index: usize,
    wait: f64,
    home: bool,
}

impl Weighted {
    /// Makes the way with these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings, able: Vec::new() }
    }

    /// Collects the able candidates with their waits and returns the mean wait.
    fn collect(&mut self, query: &Query, candidates: &[Candidate], now: Time) -> f64 {
        self.able.clear();
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.is_able(query) {
                let load = &candidate.load;
                let wait = (load.cost + candidate.sent).seconds(&load.rates);
                let home = candidate.domain == query.domain;
                self.able.push(Able { index, wait, home });
            }
        }
        let total: f64 = self.able.iter().map(|able| able.wait).sum();
        let mean = total / float(u64::try_from(self.able.len()).unwrap_or(1)).max(1.0);
        let memory = self.settings.memory.as_secs_f64();
        for able in &mut self.able {
            let heard = candidates[able.index].heard;
            let age = heard.map_or(f64::INFINITY, |at| now.saturating_sub(at).as_secs_f64());
            able.wait = mean + (able.wait - mean) * (-age / memory).exp();
        }
        mean
    }

    /// The wait with the price of leaving the own failure domain.
    fn price(&self, able: &Able) -> f64 {
        able.wait + if able.home { 0.0 } else { self.settings.spill.as_secs_f64() }
    }

    /// The least of a few drawn, half of them from the own failure domain.
    fn draw(&self, except: Option<usize>, rng: &mut dyn Rng) -> Option<Able> {
        let homes = self.able.iter().filter(|able| able.home).count();
        let mut best: Option<Able> = None;
        for draw in 0..self.settings.drawn.max(1) {
            let drawn = if draw % 2 == 0 && homes > 0 {
                let nth = below(homes, rng);
                self.able.iter().filter(|able| able.home).nth(nth)
            } else {
                self.able.get(below(self.able.len(), rng))
            };
            let Some(&drawn) = drawn.filter(|able| Some(able.index) != except) else { continue };
            if best.is_none_or(|best| self.price(&drawn) < self.price(&best)) {
                best = Some(drawn);
            }
        }
        best
    }

    /// The first target in the prefix's rendezvous order that is not loaded far beyond the mean.
    ///
    /// All entries find the same without talking, and a prefix that is too hot for its target
    /// overflows to the next ones in order, so that a few targets cache it and not all.
    fn affine(&self, query: &Query, candidates: &[Candidate], mean: f64) -> Option<Able> {
        if query.prefix == 0 {
            return None;
        }
        let allow = |able: &&Able| {
            let own = query.cost.seconds(&candidates[able.index].load.rates);
            able.wait <= (mean + own) * self.settings.bound
        };
        let rank = |able: &&Able| rank(query.prefix, &candidates[able.index], able.home);
        self.able.iter().filter(allow).max_by_key(rank).copied()
    }
}

/// The rendezvous rank of a target for a prefix; each failure domain caches for itself.
fn rank(prefix: Hash, candidate: &Candidate, home: bool) -> (bool, Hash) {
    (home, mix(prefix, candidate.key))
}

impl Route for Weighted {
    fn name(&self) -> &'static str {
        "weighted"
    }

    fn choose(
        &mut self,
        query: &Query,
        candidates: &[Candidate],
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        let mean = self.collect(query, candidates, now);
        let affine = self.affine(query, candidates, mean);
        let first = match affine.or_else(|| self.draw(None, rng)) {
            Some(first) => first,
            None => *self.able.first()?,
        };
        let other = || self.able.iter().find(|able| able.index != first.index).copied();
        let second = self.draw(Some(first.index), rng).or_else(other);
        let homes = self.able.iter().any(|able| able.home);
        Some(Choice {
            first: first.index,
            second: second.map(|able| able.index),
            spilled: homes && !first.home,
            affine: affine.is_some(),
        })
    }
}
