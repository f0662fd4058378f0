//! Chooses the agents to which an entry keeps connections.
//!
//! **Load pattern.** 390 entries and 700 targets would need 273,000 connections, each with its
//! pings. **Without this**, an entry's 7 KB/s for control traffic are spent on keeping connections
//! alive. **Approach.** Each entry keeps some targets of each failure domain, chosen by rendezvous
//! hashing of the pair, so the choice is stable when others join or leave. Among the targets that
//! it gets reports from, routing still compares loads.

use crate::{Hash, mix};
use std::collections::BTreeMap;

/// Settings of the subset.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of targets that an entry keeps connections to. With 390 entries and 700 targets, 48
    /// give each target 27 entries, plus or minus 5. 64 are too many: a checkpoint of the
    /// configuration each quarter of an hour takes 1.8 of the 7 KB/s for control, and the pings
    /// would exceed the rest.
    pub targets: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { targets: 48 }
    }
}

/// A target that an entry could keep a connection to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The hash of its name.
    pub target: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
}

/// Returns the indexes, in ascending order, of the members that the entry with hash `entry` keeps.
///
/// All are chosen if there are no more than the settings allow. Otherwise each failure domain
/// provides the same number, as far as it has that many, so losing one leaves the entry those of
/// the others.
pub fn choose(settings: &Settings, entry: Hash, members: &[Member]) -> Vec<usize> {
    if members.len() <= settings.targets {
        return (0..members.len()).collect();
    }
    let mut domains: BTreeMap<Hash, Vec<usize>> = BTreeMap::new();
    for (index, member) in members.iter().enumerate() {
        domains.entry(member.domain).or_default().push(index);
    }
    for domain in domains.values_mut() {
        domain.sort_by_key(|&index| mix(entry, members[index].target));
    }
    let mut chosen = Vec::with_capacity(settings.targets);
    while chosen.len() < settings.targets {
        for domain in domains.values_mut() {
            if chosen.len() < settings.targets {
                chosen.extend(domain.pop());
            }
        }
    }
    chosen.sort_unstable();
    chosen
}
