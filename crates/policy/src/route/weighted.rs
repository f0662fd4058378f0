//! Routes to the least estimated wait among a few targets, with preference for the own failure
//! domain and for targets that have the prefix cached.

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
    /// Number of candidates compared. Two suffice against herding; four compensate for slots of
    /// unequal work.
    pub sample_size: usize,
    /// Time constant of the age of a load report. A report loses half of its weight, in favour of
    /// the mean, in about 0.7 of this time. An engine finishes a typical response within a few
    /// seconds, and then the report is worthless.
    pub report_lifetime: Duration,
    /// How much longer the wait in the own failure domain may be before a request leaves it.
    pub spill_threshold: Duration,
    /// Waits that differ by less count as equal. Callers do not notice less than some tens of
    /// milliseconds.
    pub noise: Duration,
    /// Factor of the mean work up to which a target may be loaded for the sake of a prefix.
    pub prefix_bound: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sample_size: 4,
            report_lifetime: Duration::from_secs(3),
            spill_threshold: Duration::from_millis(250),
            noise: Duration::from_millis(20),
            prefix_bound: 1.25,
        }
    }
}

/// Chooses the smallest estimated wait among a few candidates drawn at random.
#[derive(Debug, Default)]
pub struct Weighted {
    settings: Settings,
    /// The eligible candidates, those of the own failure domain first.
    eligible: Vec<Eligible>,
    /// How many of them are in the own failure domain.
    local_count: usize,
    mean_wait: f64,
}

/// A candidate that can serve the query, and the estimated wait there by its last report.
#[derive(Debug, Clone, Copy)]
struct Eligible {
    index: usize,
    key: Hash,
    wait: f64,
    reported_at: Option<Time>,
    is_local: bool,
    role: Role,
}

impl Weighted {
    /// Creates the policy with these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Collects the eligible candidates with their waits, and the mean wait.
    fn collect(&mut self, query: &Query, candidates: &[Candidate]) {
        self.eligible.clear();
        self.local_count = 0;
        let mut total = 0.0;
        for (index, candidate) in candidates.iter().enumerate() {
            if !candidate.can_serve(query) {
                continue;
            }
            let is_local = candidate.domain == query.domain;
            let wait = candidate.wait();
            total += wait;
            let (key, reported_at, role) = (candidate.key, candidate.reported_at, candidate.role);
            self.eligible.push(Eligible { index, key, wait, reported_at, is_local, role });
            if is_local {
                let last = self.eligible.len() - 1;
                self.eligible.swap(self.local_count, last);
                self.local_count += 1;
            }
        }
        self.mean_wait = total / float(u64::try_from(self.eligible.len()).unwrap_or(1)).max(1.0);
    }

    /// Returns the estimated wait now. An old report counts no more than the mean.
    fn wait_now(&self, candidate: &Eligible, now: Time) -> f64 {
        let age =
            candidate.reported_at.map_or(f64::INFINITY, |at| now.saturating_sub(at).as_secs_f64());
        let weight = (-age / self.settings.report_lifetime.as_secs_f64()).exp();
        self.mean_wait + (candidate.wait - self.mean_wait) * weight
    }

    /// Returns the wait plus the cost of leaving the own failure domain.
    fn cost(&self, candidate: &Eligible, now: Time) -> f64 {
        let leaving =
            if candidate.is_local { 0.0 } else { self.settings.spill_threshold.as_secs_f64() };
        self.wait_now(candidate, now) + leaving
    }

    /// Draws a few of the allowed candidates, half of them from the own failure domain, and returns
    /// the one with the lowest cost.
    ///
    /// A difference too small to notice does not count. Otherwise all entries would still choose
    /// the target that looked the least loaded in its last report.
    fn draw(
        &self,
        allow: impl Fn(&Eligible) -> bool,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Eligible> {
        let (local, remote) = self.eligible.split_at(self.local_count);
        let noise = self.settings.noise.as_secs_f64();
        let mut best: Option<(f64, Eligible)> = None;
        for draw in 0..self.settings.sample_size.max(1) {
            let from = if remote.is_empty() || (draw % 2 == 0 && !local.is_empty()) {
                local
            } else {
                remote
            };
            let Some(drawn) = draw_one(from, &allow, rng) else { continue };
            let cost = self.cost(&drawn, now);
            if best.is_none_or(|(lowest, _)| cost < lowest - noise) {
                best = Some((cost, drawn));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Chooses the target for late binding or a retry. Where prompts may go to prefill engines, it
    /// has the other role: the queue of each role is fair by itself, and so the scarcer role alone
    /// does not decide how long a caller waits.
    fn second(
        &self,
        query: &Query,
        first: &Eligible,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Eligible> {
        let differs = |other: &Eligible| other.index != first.index;
        let other_role = match query.stage {
            Stage::Prefill => {
                self.draw(|other| differs(other) && other.role != first.role, now, rng)
            }
            Stage::Whole | Stage::Decode => None,
        };
        other_role.or_else(|| self.draw(differs, now, rng))
    }

    /// Returns the first two targets in the rendezvous order of the prefix that are not loaded far
    /// beyond the mean.
    ///
    /// All entries find the same targets without communication. A prefix that is too hot for its
    /// target overflows to the next ones in order, so that a few targets cache it and not all.
    /// Targets of the own failure domain go first only if computing the prompt again is cheaper
    /// than leaving the domain; otherwise a prefix would be cached once in every domain, and fewer
    /// prefixes would fit.
    fn affine(&self, query: &Query, candidates: &[Candidate], now: Time) -> [Option<Eligible>; 2] {
        let mut best: [Option<(Rank, Eligible)>; 2] = [None; 2];
        if query.prefix == 0 {
            return [None; 2];
        }
        let Some(any) = self.eligible.first() else { return [None; 2] };
        let prefill = Cost::new(query.cost.prefill, 0).seconds(&candidates[any.index].load.rates);
        let prefer_local = prefill < self.settings.spill_threshold.as_secs_f64();
        for candidate in &self.eligible {
            let rank = (candidate.is_local && prefer_local, mix(query.prefix, candidate.key));
            let position = best.iter().position(|best| best.is_none_or(|(found, _)| rank > found));
            let Some(position) = position else { continue };
            let own = query.cost.seconds(&candidates[candidate.index].load.rates);
            if self.wait_now(candidate, now) > (self.mean_wait + own) * self.settings.prefix_bound {
                continue;
            }
            if position == 0 {
                best[1] = best[0];
            }
            best[position] = Some((rank, *candidate));
        }
        best.map(|found| found.map(|(_, candidate)| candidate))
    }
}

/// Draws one of the allowed candidates: a few random attempts, then the next allowed one from a
/// random position.
fn draw_one(
    eligible: &[Eligible],
    allow: &impl Fn(&Eligible) -> bool,
    rng: &mut dyn Rng,
) -> Option<Eligible> {
    const TRIES: usize = 4;
    for _ in 0..TRIES {
        let drawn = eligible.get(below(eligible.len(), rng)).filter(|drawn| allow(drawn));
        if drawn.is_some() {
            return drawn.copied();
        }
    }
    let (before, after) = eligible.split_at(below(eligible.len(), rng).min(eligible.len()));
    after.iter().chain(before).find(|candidate| allow(candidate)).copied()
}

/// The position of a target in the order of a prefix, the highest first.
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
            second: second.map(|candidate| candidate.index),
            spilled: self.local_count > 0 && !first.is_local,
            affine: affine.is_some(),
        })
    }
}
