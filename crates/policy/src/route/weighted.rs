//! Least estimated work among a few, own failure domain first, prefixes kept together.

use super::{Candidate, Choice, Query, Route, Stage};
use crate::estimate::Cost;
use crate::number::{below, float};
use crate::{Hash, Time, mix};
use conf::resource::Role;
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
    role: Role,
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
                let home = candidate.domain == query.domain;
                self.able.push(Able { index, wait: wait(candidate), home, role: candidate.role });
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

    /// The least of a few drawn among those allowed, half of them from the own failure domain.
    fn draw(&self, allow: impl Fn(&Able) -> bool, rng: &mut dyn Rng) -> Option<Able> {
        let allowed = || self.able.iter().filter(|able| allow(able));
        let all = allowed().count();
        let homes = allowed().filter(|able| able.home).count();
        let mut best: Option<Able> = None;
        for draw in 0..self.settings.drawn.max(1) {
            let drawn = if draw % 2 == 0 && homes > 0 {
                allowed().filter(|able| able.home).nth(below(homes, rng))
            } else {
                allowed().nth(below(all, rng))
            };
            let Some(&drawn) = drawn else { continue };
            if best.is_none_or(|best| self.price(&drawn) < self.price(&best)) {
                best = Some(drawn);
            }
        }
        best
    }

    /// The one for late binding or a retry. Where prompts may be read by engines that do only that,
    /// it is of the other role: a queue of each kind is fair by itself, and whichever of the two
    /// kinds of engine is short then does not decide alone how long a caller waits.
    fn second(&self, query: &Query, first: &Able, rng: &mut dyn Rng) -> Option<Able> {
        let differs = |able: &Able| able.index != first.index;
        let other_role = match query.stage {
            Stage::Prefill => self.draw(|able| differs(able) && able.role != first.role, rng),
            Stage::Whole | Stage::Decode => None,
        };
        let other = other_role.or_else(|| self.draw(differs, rng));
        other.or_else(|| self.able.iter().copied().find(differs))
    }

    /// The first two targets in the prefix's rendezvous order that are not loaded far beyond the
    /// mean.
    ///
    /// All entries find the same without talking, and a prefix that is too hot for its target
    /// overflows to the next ones in order, so that a few targets cache it and not all. Each
    /// failure domain keeps its own order only if reading the prompt again is cheaper than leaving
    /// the domain: else a prefix would be cached once in every domain, and fewer fit.
    fn affine(&self, query: &Query, candidates: &[Candidate], mean: f64) -> [Option<Able>; 2] {
        let mut best: [Option<(Rank, Able)>; 2] = [None; 2];
        if query.prefix == 0 {
            return [None; 2];
        }
        for able in &self.able {
            let candidate = &candidates[able.index];
            let rates = &candidate.load.rates;
            if able.wait > (mean + query.cost.seconds(rates)) * self.settings.bound {
                continue;
            }
            let reading = Cost::new(query.cost.prefill, 0).seconds(rates);
            let home = able.home && reading < self.settings.spill.as_secs_f64();
            let rank = (home, mix(query.prefix, candidate.key));
            if best[0].is_none_or(|(first, _)| rank > first) {
                best = [Some((rank, *able)), best[0]];
            } else if best[1].is_none_or(|(second, _)| rank > second) {
                best[1] = Some((rank, *able));
            }
        }
        best.map(|found| found.map(|(_, able)| able))
    }
}

/// The place of a target in a prefix's order, the highest first.
type Rank = (bool, Hash);

/// The estimated seconds until a request sent there now would have its first token, and a part of
/// the time that its output would take from others.
///
/// While slots are free it waits for the prompts that are read only. What is being written delays
/// it when all slots are taken, and then for the time in which a slot's share of it ends.
fn wait(candidate: &Candidate) -> f64 {
    let load = &candidate.load;
    let cost = load.cost + candidate.sent;
    let requests = f64::from(load.running + load.waiting);
    let filled = requests / f64::from(load.slots.max(1));
    let reading = Cost::new(cost.prefill, 0).seconds(&load.rates);
    let writing = Cost::new(0, cost.decode).seconds(&load.rates);
    reading + writing * filled.min(1.0)
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
        let [affine, next] = self.affine(query, candidates, mean);
        let first = affine.or_else(|| self.draw(|_| true, rng))?;
        let second = if affine.is_some() { next } else { self.second(query, &first, rng) };
        let homes = self.able.iter().any(|able| able.home);
        Some(Choice {
            first: first.index,
            second: second.map(|able| able.index),
            spilled: homes && !first.home,
            affine: affine.is_some(),
        })
    }
}
