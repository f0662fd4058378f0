//! Which entry knows the queues of which engines.
//!
//! **Load pattern.** Tens to hundreds of entries send prompts to the same engines, and an engine's
//! queue is as long as half of an objective: a tenth of a second. **Without it** each entry tells
//! all others what it has sent, so what is told grows with the square of the entries; 68 entries can
//! tell each other every 85 to 300 ms, and what they believe of a queue is older than the queue is
//! long: prompts go late to full engines while others are free. **How.** The engines of a pool form
//! groups, each within one failure domain. One entry coordinates a group: it is asked before a
//! prompt is sent there, knows what it granted, and says no when the queue is full. Who coordinates
//! is found by weighted rendezvous hashing among the entries that live, so all that know the same
//! entries agree without asking anybody, and a second one stands by. Prompts with the same start ask
//! the same groups in the same order, so that the start is kept where it is looked for. Nothing depends
//! on all agreeing: two coordinators of one group grant too much for as long as they differ.
//!

use crate::{Hash, mix};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Settings of groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Engines in a group at most. One coordinator decides on each prompt for its group in the time
    /// that this many engines take to be compared, some 20 microseconds, and 390 entries before 700
    /// engines have 48 groups among them.
    pub engines: usize,
    /// Groups that are asked for one prompt at most. If a third of all groups has room, one of four
    /// asked has it four times in five; each question takes one way there and back.
    pub asked: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { engines: 16, asked: 5 }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// The hash of its id.
    pub key: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
}

/// An entry that could coordinate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// The hash of its name.
    pub key: Hash,
    /// How large its VM is, in any unit: one that is twice as large coordinates twice as many groups.
    pub weight: f64,
}

/// Engines that one entry coordinates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its name.
    pub key: Hash,
    /// The indexes of its engines.
    pub engines: Vec<usize>,
}

/// Divides the engines into groups. Each failure domain has as many as its engines need, and an
/// engine's group depends on nothing but its key and that number.
pub fn divide(settings: &Settings, engines: &[Engine]) -> Vec<Group> {
    let mut domains: BTreeMap<Hash, Vec<usize>> = BTreeMap::new();
    for (index, engine) in engines.iter().enumerate() {
        domains.entry(engine.domain).or_default().push(index);
    }
    let mut groups: BTreeMap<Hash, Vec<usize>> = BTreeMap::new();
    for (domain, indexes) in domains {
        let number = indexes.len().div_ceil(settings.engines.max(1)).max(1);
        let number = u64::try_from(number).unwrap_or(1);
        for index in indexes {
            // One more engine than fits doubles the groups of no domain but its own.
            let place = (0..number).max_by_key(|&place| mix(engines[index].key, place));
            groups.entry(mix(domain, place.unwrap_or_default())).or_default().push(index);
        }
    }
    groups.into_iter().map(|(key, engines)| Group { key, engines }).collect()
}

/// The entries that coordinate a group, by their indexes: the first does, the second stands by and
/// is told the same of what engines keep.
pub fn coordinators(group: Hash, entries: &[Entry]) -> Vec<usize> {
    let mut best: Vec<(usize, f64)> = Vec::with_capacity(COORDINATORS + 1);
    for (index, entry) in entries.iter().enumerate() {
        let score = score(group, entry);
        let place = best.iter().position(|(_, other)| score > *other).unwrap_or(best.len());
        best.insert(place, (index, score));
        best.truncate(COORDINATORS);
    }
    best.into_iter().map(|(index, _)| index).collect()
}

/// Entries that coordinate a group or stand by.
pub const COORDINATORS: usize = 2;

/// Weighted rendezvous hashing: the highest score wins, with a chance in proportion to its weight.
fn score(group: Hash, entry: &Entry) -> f64 {
    const RANGE: f64 = 4_294_967_296.0;
    let drawn = u32::try_from(mix(entry.key, group) >> 32).unwrap_or(u32::MAX);
    let drawn = (f64::from(drawn) + 0.5) / RANGE;
    -entry.weight.max(f64::MIN_POSITIVE) / drawn.ln()
}

/// The order in which groups are asked for a prompt that begins with `start`, by the groups' indexes.
pub fn order(groups: &[Hash], start: Hash) -> Vec<usize> {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by_key(|&at| Reverse(mix(groups[at], start)));
    order
}
