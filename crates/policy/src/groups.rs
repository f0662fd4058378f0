//! Divides engines into groups and decides which entry coordinates which group.
//!
//! **Load pattern.** Tens to hundreds of entries send prompts to the same engines, and an engine's
//! queue is as long as half of an objective: a tenth of a second. **Without this**, each entry
//! reports what it has sent to all others, and the number of reports grows with the square of the
//! entries. 68 entries can report to each other every 85 to 300 ms, so what they know about a queue
//! is older than the queue is long: prompts arrive late at full engines while others are idle.
//! **Approach.** The engines of a pool form groups, each within one failure domain. One entry
//! coordinates a group: it is asked before a prompt is sent there, knows what it has granted, and
//! refuses when the queue is full. The coordinator is determined by weighted rendezvous hashing
//! among the live entries, so all entries that know the same live entries agree without
//! communication, and a second one is the standby. Prompts with the same prefix ask the same groups
//! in the same order, so that the prefix is cached where it is looked for. Correctness does not
//! depend on agreement: two coordinators of one group grant too much for as long as they differ.

use crate::{Hash, mix};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Settings of groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Maximum number of engines in a group. For each prompt, a coordinator compares this many
    /// engines, which takes about 20 microseconds, and 390 entries in front of 700 engines share 48
    /// groups.
    pub max_engines: usize,
    /// Maximum number of groups that are asked for one prompt. If a third of all groups has room,
    /// one of four asked has it four times in five. Each request takes one round trip.
    pub max_asked_groups: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { max_engines: 16, max_asked_groups: 5 }
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
    /// The size of its VM, in any unit. An entry with twice the weight coordinates twice as many
    /// groups.
    pub weight: f64,
}

/// Engines that are coordinated by one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The hash that identifies it.
    pub key: Hash,
    /// The indexes of its engines.
    pub engines: Vec<usize>,
}

/// Divides the engines into groups. Each failure domain has as many groups as its engines need, and
/// the group of an engine depends only on its key and that number.
pub fn divide(settings: &Settings, engines: &[Engine]) -> Vec<Group> {
    let mut domains: BTreeMap<Hash, Vec<usize>> = BTreeMap::new();
    for (index, engine) in engines.iter().enumerate() {
        domains.entry(engine.domain).or_default().push(index);
    }
    let mut groups: BTreeMap<Hash, Vec<usize>> = BTreeMap::new();
    for (domain, indexes) in domains {
        let number = indexes.len().div_ceil(settings.max_engines.max(1)).max(1);
        let number = u64::try_from(number).unwrap_or(1);
        for index in indexes {
            // An engine that no longer fits changes only the groups of its own domain.
            let slot = (0..number).max_by_key(|&slot| mix(engines[index].key, slot));
            groups.entry(mix(domain, slot.unwrap_or_default())).or_default().push(index);
        }
    }
    groups.into_iter().map(|(key, engines)| Group { key, engines }).collect()
}

/// Returns the indexes of the entries that coordinate a group: first the coordinator, then the
/// standby, which gets the same reports of what engines have cached.
pub fn coordinators(group: Hash, entries: &[Entry]) -> Vec<usize> {
    let mut best: Vec<(usize, f64)> = Vec::with_capacity(COORDINATORS + 1);
    for (index, entry) in entries.iter().enumerate() {
        let score = score(group, entry);
        let position = best.iter().position(|(_, other)| score > *other).unwrap_or(best.len());
        best.insert(position, (index, score));
        best.truncate(COORDINATORS);
    }
    best.into_iter().map(|(index, _)| index).collect()
}

/// Like [`coordinators`], but entries that are near the group come before all others, so that a
/// request to them takes no round trip between regions.
///
/// A single near entry has a standby far away: while it is silent, requests are answered late rather
/// than not at all.
pub fn coordinators_near(
    group: Hash,
    entries: &[Entry],
    is_near: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let (near, far): (Vec<usize>, Vec<usize>) = (0..entries.len()).partition(|&at| is_near(at));
    let among = |indexes: Vec<usize>| {
        let entries: Vec<Entry> = indexes.iter().map(|&at| entries[at]).collect();
        coordinators(group, &entries).into_iter().map(move |at| indexes[at])
    };
    among(near).chain(among(far)).take(COORDINATORS).collect()
}

/// Number of entries that coordinate a group, including the standby.
pub const COORDINATORS: usize = 2;

/// Returns the score of an entry in weighted rendezvous hashing: the highest score wins, with a
/// probability in proportion to the weight.
pub(crate) fn score(group: Hash, entry: &Entry) -> f64 {
    const RANGE: f64 = 4_294_967_296.0;
    let drawn = u32::try_from(mix(entry.key, group) >> 32).unwrap_or(u32::MAX);
    let drawn = (f64::from(drawn) + 0.5) / RANGE;
    -entry.weight.max(f64::MIN_POSITIVE) / drawn.ln()
}

/// Returns the order, by index, in which groups are asked for a prompt with this prefix.
pub fn order(groups: &[Hash], prefix_hash: Hash) -> Vec<usize> {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by_key(|&at| Reverse(mix(groups[at], prefix_hash)));
    order
}
