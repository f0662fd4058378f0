//! A planner of roles that knows all arrivals in advance: the upper bound for planners that do not.
//!
//! It finds the roles with the highest goodput by dynamic programming over steps of the length of
//! one role change, and counts the capacity that is lost while engines change.

use super::pool::Scenario;
use super::workload::Arrival;
use crate::Time;
use crate::estimate::Rates;
use crate::number::{count, float};
use crate::roles::{Change, Demand, Engine, Planner, PoolCapacity, Settings};
use conf::resource::Role;
use std::collections::HashMap;

/// The number of engines that only prefill and that only decode; the others are mixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Split {
    prefill: usize,
    decode: usize,
}

/// The maximum number of role changes in one step, to bound the search.
const MAX_CHANGES: usize = 4;

/// The work that one change must gain at least, so that no change is made without benefit.
const CHANGE_COST: f64 = 200.0;

/// The planner that knows all arrivals.
#[derive(Debug)]
pub struct Oracle {
    step: f64,
    splits: Vec<Split>,
}

impl Oracle {
    /// Plans the roles for all arrivals of a scenario.
    pub fn new(scenario: &Scenario, settings: &Settings) -> Self {
        let step = settings.outage.as_secs_f64();
        let demands = demands(&scenario.arrivals, step, scenario.end);
        let search = Search { engines: scenario.engines.len(), mixing: settings.mixing, step };
        Self { step, splits: search.best(&demands) }
    }

    /// Returns the number of role changes in the plan.
    pub fn changes(&self) -> usize {
        let search = Search { engines: 0, mixing: 0.0, step: 0.0 };
        self.splits.windows(2).map(|pair| search.changes(pair[0], pair[1])).sum()
    }
}

impl Planner for Oracle {
    fn name(&self) -> &'static str {
        "knows the future"
    }

    fn observe(&mut self, _: Demand, _: Time) {}

    fn decide(&mut self, engines: &[Engine], now: Time) -> Vec<Change> {
        let index = usize::try_from(count((now.as_secs_f64() / self.step).floor())).unwrap_or(0);
        let Some(split) = self.splits.get(index + 1).or(self.splits.last()) else {
            return Vec::new();
        };
        if engines.iter().any(|engine| engine.changing) {
            return Vec::new();
        }
        let mixed = engines.len().saturating_sub(split.prefill + split.decode);
        let targets =
            [(Role::Prefill, split.prefill), (Role::Decode, split.decode), (Role::Mixed, mixed)];
        let current = |role| engines.iter().filter(|engine| engine.role == role).count();
        let mut roles = Vec::new();
        for (role, desired) in targets {
            roles.extend(std::iter::repeat_n(role, desired.saturating_sub(current(role))));
        }
        let mut spare = Vec::new();
        for (role, desired) in targets {
            let of_role = engines.iter().filter(|engine| engine.role == role);
            spare.extend(of_role.take(current(role).saturating_sub(desired)));
        }
        let pairs = spare.into_iter().zip(roles);
        pairs.map(|(engine, role)| Change { target: engine.name.clone(), role }).collect()
    }
}

/// Returns the mean demand in each step.
fn demands(arrivals: &[Arrival], step: f64, end: f64) -> Vec<Demand> {
    let steps = usize::try_from(count((end / step).ceil())).unwrap_or(0);
    let mut demands = vec![Demand::default(); steps];
    for arrival in arrivals {
        let index = usize::try_from(count((arrival.at / step).floor())).unwrap_or(0);
        if let Some(demand) = demands.get_mut(index) {
            demand.prompt += float(arrival.prompt) / step;
            demand.output += float(arrival.output) / step;
        }
    }
    demands
}

struct Search {
    engines: usize,
    mixing: f64,
    step: f64,
}

impl Search {
    /// Returns the best split for each step, starting with all engines mixed.
    fn best(&self, demands: &[Demand]) -> Vec<Split> {
        let start = Split { prefill: 0, decode: 0 };
        let mut values: HashMap<Split, f64> = HashMap::from([(start, 0.0)]);
        let mut predecessors: Vec<HashMap<Split, Split>> = Vec::new();
        for demand in demands {
            let mut next: HashMap<Split, f64> = HashMap::new();
            let mut from: HashMap<Split, Split> = HashMap::new();
            let mut states: Vec<(Split, f64)> = values.into_iter().collect();
            states.sort_by_key(|(split, _)| *split);
            for (split, value) in states {
                for after in self.reachable(split) {
                    let value = value + self.value(split, after, demand);
                    if next.get(&after).is_none_or(|best| value > *best) {
                        next.insert(after, value);
                        from.insert(after, split);
                    }
                }
            }
            values = next;
            predecessors.push(from);
        }
        let last = values.iter().max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(a.0)));
        let mut path = vec![last.map_or(start, |(split, _)| *split)];
        for from in predecessors.iter().rev() {
            let previous = path.last().and_then(|split| from.get(split)).copied();
            path.push(previous.unwrap_or(start));
        }
        path.reverse();
        path
    }

    /// Returns all splits that one step can reach.
    fn reachable(&self, split: Split) -> Vec<Split> {
        let all = (0..=self.engines)
            .flat_map(|p| (0..=self.engines - p).map(move |d| Split { prefill: p, decode: d }));
        all.filter(|after| self.changes(split, *after) <= MAX_CHANGES).collect()
    }

    /// Returns the number of engines that change between two splits of the same pool.
    fn changes(&self, from: Split, to: Split) -> usize {
        let prefill = to.prefill.cast_signed() - from.prefill.cast_signed();
        let decode = to.decode.cast_signed() - from.decode.cast_signed();
        let mixed = -(prefill + decode);
        [prefill, decode, mixed].iter().map(|n| n.unsigned_abs()).sum::<usize>() / 2
    }

    /// Returns the goodput of a step that changes one split to another, less the cost of its
    /// changes.
    fn value(&self, from: Split, to: Split, demand: &Demand) -> f64 {
        let mixed = |split: Split| self.engines - split.prefill - split.decode;
        let rates = Rates::default();
        let groups = [
            (Role::Prefill, from.prefill.min(to.prefill)),
            (Role::Decode, from.decode.min(to.decode)),
            (Role::Mixed, mixed(from).min(mixed(to))),
        ];
        let pool = groups.into_iter().fold(PoolCapacity::default(), |pool, (role, number)| {
            (0..number).fold(pool, |pool, _| pool.with(role, rates))
        });
        let changes = float(u64::try_from(self.changes(from, to)).unwrap_or(0));
        pool.goodput(demand, self.mixing) * self.step - changes * CHANGE_COST
    }
}
