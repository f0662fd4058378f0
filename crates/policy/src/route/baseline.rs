//! Common routing policies, for comparison.

use super::{Candidate, Choice, Query, Route};
use crate::Time;
use rand::Rng;

/// Chooses the eligible targets in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

/// Chooses the eligible target with the fewest requests.
#[derive(Debug, Default)]
pub struct LeastConnections {
    turn: usize,
}

impl Route for RoundRobin {
    fn name(&self) -> &'static str {
        "round robin"
    }

    fn choose(
        &mut self,
        query: &Query,
        candidates: &[Candidate],
        _: Time,
        _: &mut dyn Rng,
    ) -> Option<Choice> {
        let eligible = in_turn(&mut self.turn, query, candidates).next();
        eligible.map(single)
    }
}

impl Route for LeastConnections {
    fn name(&self) -> &'static str {
        "least connections"
    }

    fn choose(
        &mut self,
        query: &Query,
        candidates: &[Candidate],
        _: Time,
        _: &mut dyn Rng,
    ) -> Option<Choice> {
        let eligible = in_turn(&mut self.turn, query, candidates);
        let requests = |index: &usize| {
            let load = &candidates[*index].load;
            load.running + load.waiting
        };
        eligible.min_by_key(requests).map(single)
    }
}

/// Returns the eligible candidates, starting one further with each call, so that ties alternate.
fn in_turn<'a>(
    turn: &mut usize,
    query: &'a Query,
    candidates: &'a [Candidate],
) -> impl Iterator<Item = usize> + 'a {
    *turn = turn.wrapping_add(1);
    let start = *turn % candidates.len().max(1);
    let indexes = (start..candidates.len()).chain(0..start);
    indexes.filter(|&index| candidates[index].can_serve(query))
}

fn single(first: usize) -> Choice {
    Choice { first, second: None, spilled: false, affine: false }
}
