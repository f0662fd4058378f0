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
    /// Waits that differ by less count as equal: nobody notices less than some tens of
    /// milliseconds.
    pub noise: Duration,
    /// How far beyond the mean work a target may be loaded for the sake of a prefix.
    pub bound: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            drawn: 4,
            memory: Duration::from_secs(3),
            spill: Duration::from_millis(250),
            noise: Duration::from_millis(20),
            bound: 1.25,
        }
    }
}

/// Takes the least estimated wait of a few drawn at random.
#[derive(Debug, Default)]
pub struct Weighted {
    settings: Settings,
    /// The able candidates, those of the own failure domain first.
    able: Vec<Able>,
    homes: usize,
    mean: f64,
}

/// An able candidate and the estimated wait there, as it was when last heard.
#[derive(Debug, Clone, Copy)]
struct Able {
    index: usize,
    key: Hash,
    wait: f64,
    heard: Option<Time>,
    home: bool,
    role: Role,
}

impl Weighted {
    /// Makes the way with these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Collects the able candidates with their waits, and the mean.
    fn collect(&mut self, query: &Query, candidates: &[Candidate]) {
        self.able.clear();
        self.homes = 0;
        let mut total = 0.0;
        for (index, candidate) in candidates.iter().enumerate() {
            if !candidate.can_serve(query) {
                continue;
            }
            let home = candidate.domain == query.domain;
            let wait = candidate.wait();
            total += wait;
            let (key, heard, role) = (candidate.key, candidate.reported_at, candidate.role);
            self.able.push(Able { index, key, wait, heard, home, role });
            if home {
                let last = self.able.len() - 1;
                self.able.swap(self.homes, last);
                self.homes += 1;
            }
        }
        self.mean = total / float(u64::try_from(self.able.len()).unwrap_or(1)).max(1.0);
    }

    /// The wait now: what was heard long ago says no more than the mean.
    fn wait_now(&self, able: &Able, now: Time) -> f64 {
        let age = able.heard.map_or(f64::INFINITY, |at| now.saturating_sub(at).as_secs_f64());
        let weight = (-age / self.settings.memory.as_secs_f64()).exp();
        self.mean + (able.wait - self.mean) * weight
    }

    /// The wait with the price of leaving the own failure domain.
    fn price(&self, able: &Able, now: Time) -> f64 {
        let leaving = if able.home { 0.0 } else { self.settings.spill.as_secs_f64() };
        self.wait_now(able, now) + leaving
    }

    /// The least of a few drawn among those allowed, half of them from the own failure domain.
    ///
    /// A difference too small to notice does not count, else all entries would still run to the
    /// target that looked the least loaded when they last heard.
    fn draw(&self, allow: impl Fn(&Able) -> bool, now: Time, rng: &mut dyn Rng) -> Option<Able> {
        let (homes, away) = self.able.split_at(self.homes);
        let noise = self.settings.noise.as_secs_f64();
        let mut best: Option<(f64, Able)> = None;
        for draw in 0..self.settings.drawn.max(1) {
            let from =
                if away.is_empty() || (draw % 2 == 0 && !homes.is_empty()) { homes } else { away };
            let Some(drawn) = draw_one(from, &allow, rng) else { continue };
            let price = self.price(&drawn, now);
            if best.is_none_or(|(least, _)| price < least - noise) {
                best = Some((price, drawn));
            }
        }
        best.map(|(_, able)| able)
    }

    /// The one for late binding or a retry. Where prompts may be read by engines that do only that,
    /// it is of the other role: a queue of each kind is fair by itself, and whichever of the two
    /// kinds of engine is short then does not decide alone how long a caller waits.
    fn second(&self, query: &Query, first: &Able, now: Time, rng: &mut dyn Rng) -> Option<Able> {
        let differs = |able: &Able| able.index != first.index;
        let other_role = match query.stage {
            Stage::Prefill => self.draw(|able| differs(able) && able.role != first.role, now, rng),
            Stage::Whole | Stage::Decode => None,
        };
        other_role.or_else(|| self.draw(differs, now, rng))
    }

    /// The first two targets in the prefix's rendezvous order that are not loaded far beyond the
    /// mean.
    ///
    /// All entries find the same without talking, and a prefix that is too hot for its target
    /// overflows to the next ones in order, so that a few targets cache it and not all. Each
    /// failure domain keeps its own order only if reading the prompt again is cheaper than leaving
    /// the domain: else a prefix would be cached once in every domain, and fewer fit.
    fn affine(&self, query: &Query, candidates: &[Candidate], now: Time) -> [Option<Able>; 2] {
        let mut best: [Option<(Rank, Able)>; 2] = [None; 2];
        if query.prefix == 0 {
            return [None; 2];
        }
        let Some(any) = self.able.first() else { return [None; 2] };
        let reading = Cost::new(query.cost.prefill, 0).seconds(&candidates[any.index].load.rates);
        let stays = reading < self.settings.spill.as_secs_f64();
        for able in &self.able {
            let rank = (able.home && stays, mix(query.prefix, able.key));
            let place = best.iter().position(|best| best.is_none_or(|(found, _)| rank > found));
            let Some(place) = place else { continue };
            let own = query.cost.seconds(&candidates[able.index].load.rates);
            if self.wait_now(able, now) > (self.mean + own) * self.settings.bound {
                continue;
            }
            if place == 0 {
                best[1] = best[0];
            }
            best[place] = Some((rank, *able));
        }
        best.map(|found| found.map(|(_, able)| able))
    }
}

/// One of those allowed: a few tries at random, then the next in turn from a random place.
fn draw_one(able: &[Able], allow: &impl Fn(&Able) -> bool, rng: &mut dyn Rng) -> Option<Able> {
    const TRIES: usize = 4;
    for _ in 0..TRIES {
        let drawn = able.get(below(able.len(), rng)).filter(|able| allow(able));
        if drawn.is_some() {
            return drawn.copied();
        }
    }
    let (before, after) = able.split_at(below(able.len(), rng).min(able.len()));
    after.iter().chain(before).find(|able| allow(able)).copied()
}

/// The place of a target in a prefix's order, the highest first.
type Rank = (bool, Hash);

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
        self.collect(query, candidates);
        let [affine, next] = self.affine(query, candidates, now);
        let first = affine.or_else(|| self.draw(|_| true, now, rng))?;
        let second = if affine.is_some() { next } else { self.second(query, &first, now, rng) };
        Some(Choice {
            first: first.index,
            second: second.map(|able| able.index),
            spilled: self.homes > 0 && !first.home,
            affine: affine.is_some(),
        })
    }
}
