//! Ways of choosing that others use, for comparison.

use super::{Candidate, Choice, Query, Route};
use crate::Time;
use rand::Rng;

/// Takes the able targets in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

/// Takes the able target with the fewest requests.
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
        let able = in_turn(&mut self.turn, query, candidates).next();
        able.map(alone)
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
        let able = in_turn(&mut self.turn, query, candidates);
        let requests = |index: &usize| {
            let load = &candidates[*index].load;
            load.running + load.waiting
        };
        able.min_by_key(requests).map(alone)
    }
}

/// The able candidates, beginning after the one that began last, so that ties alternate.
fn in_turn<'a>(
    turn: &mut usize,
    query: &'a Query,
    candidates: &'a [Candidate],
) -> impl Iterator<Item = usize> + 'a {
    *turn = turn.wrapping_add(1);
    let begin = *turn % candidates.len().max(1);
    let indexes = (begin..candidates.len()).chain(0..begin);
    indexes.filter(|&index| candidates[index].can_serve(query))
}

fn alone(first: usize) -> Choice {
    Choice { first, second: None, spilled: false, affine: false }
}
